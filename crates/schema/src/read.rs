//! Parsing of one record in either schema version.

use derive_more::{Display, Error};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    check,
    record::{Version, VersionedRecord},
    text, v1, v2,
};

/// A record that can't be parsed, or an invalid value in it.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
#[display("line {line}: {field}: {problem}")]
pub struct ReadError {
    /// Line within the record's text, from 1.
    pub line: usize,
    /// Path of the field, or `record` if the error concerns the whole record.
    pub field: String,
    /// What is wrong, and what was expected.
    pub problem: String,
}

impl ReadError {
    /// Creates an error for a field that appears in `text`.
    pub(crate) fn in_field(text: &str, field: &str, problem: impl Into<String>) -> Self {
        Self {
            line: text::line_of(text, field),
            field: field.into(),
            problem: problem.into(),
        }
    }
}

/// The fields that identify the schema version and the kind of a record.
#[derive(Debug, Deserialize)]
struct Head {
    schema: Option<u32>,
    version: Option<u32>,
    kind: Option<String>,
    r#type: Option<String>,
}

/// Reads one record in schema version 1 or 2 and checks its values.
///
/// ```
/// let old = schema::read::read("{version: 1, type: 'group', tenant: 'a', group: 'g', max_gpus: 8}");
/// let new = schema::read::read(
///     "{schema: 2, kind: 'team', spec: {organisation: 'a', name: 'g', quota_accelerators: 8}}",
/// );
/// assert_eq!(old.unwrap().record, new.unwrap().record);
/// ```
pub fn read(text: &str) -> Result<VersionedRecord, ReadError> {
    let head: Head = parse(text)?;
    let (version, record) = match (head.schema, head.version) {
        (Some(2), None) => (Version::V2, v2::read(text, head.kind.as_deref())?),
        (None, Some(1)) => (Version::V1, v1::read(text, head.r#type.as_deref())?),
        (Some(found), None) => return Err(unknown_version(text, "schema", found)),
        (None, Some(found)) => return Err(unknown_version(text, "version", found)),
        (Some(_), Some(_)) => {
            let problem = "both 'schema' (version 2) and 'version' (version 1) are given; expected one of them";
            return Err(ReadError::in_field(text, "schema", problem));
        }
        (None, None) => {
            let problem = "missing schema version; expected 'schema: 2' or 'version: 1'";
            return Err(ReadError::in_field(text, "record", problem));
        }
    };
    check::record(&record)
        .map_err(|e| ReadError::in_field(text, &e.field, e.problem))
        .map(|()| VersionedRecord { version, record })
}

/// Parses `text` into `T`.
///
/// The error has the line that the parser reports, or else the line on which the field appears.
pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ReadError> {
    json5::from_str(text).map_err(|e| {
        let problem = e.to_string();
        let field = quoted(&problem).unwrap_or("record").to_owned();
        let line = match e.position() {
            Some(position) => position.line + 1,
            None => text::line_of(text, &field),
        };
        ReadError {
            line,
            field,
            problem,
        }
    })
}

/// Returns the first name in backticks, which is how the parser quotes field names.
fn quoted(message: &str) -> Option<&str> {
    message.split('`').nth(1)
}

fn unknown_version(text: &str, field: &str, found: u32) -> ReadError {
    let problem = format!("unknown schema version {found}; expected 'schema: 2' or 'version: 1'");
    ReadError::in_field(text, field, problem)
}
