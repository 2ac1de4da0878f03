//! Schema version 2, the current one.
//!
//! A record is `{schema: 2, kind: KIND, spec: {...}}`; `spec` has the fields of the model.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    read::{self, ReadError},
    record::Record,
};

/// Record kinds of version 2, as listed in error messages.
const KINDS: &str = "organisation, team, service, placement, job, remove";

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Envelope<T> {
    schema: u32,
    kind: String,
    spec: T,
}

/// Parses a record of the given `kind`.
pub(crate) fn read(text: &str, kind: Option<&str>) -> Result<Record, ReadError> {
    match kind {
        Some("organisation") => Ok(Record::Organisation(spec(text)?)),
        Some("team") => Ok(Record::Team(spec(text)?)),
        Some("service") => Ok(Record::Service(spec(text)?)),
        Some("placement") => Ok(Record::Placement(spec(text)?)),
        Some("job") => Ok(Record::Job(spec(text)?)),
        Some("remove") => Ok(Record::Remove(spec(text)?)),
        Some(kind) => {
            let problem = format!("unknown kind '{kind}'; expected one of {KINDS}");
            Err(ReadError::in_field(text, "kind", problem))
        }
        None => {
            let problem = format!("missing kind; expected one of {KINDS}");
            Err(ReadError::in_field(text, "kind", problem))
        }
    }
}

fn spec<T: DeserializeOwned>(text: &str) -> Result<T, ReadError> {
    Ok(read::parse::<Envelope<T>>(text)?.spec)
}

/// Serialises a record in version 2.
///
/// ```
/// use schema::{config::Placement, read, record::Record, v2};
///
/// let record = Record::Placement(Placement { fragmentation_percent: 80 });
/// assert_eq!(read::read(&v2::write(&record)).unwrap().record, record);
/// ```
pub fn write(record: &Record) -> String {
    match record {
        Record::Organisation(spec) => envelope("organisation", spec),
        Record::Team(spec) => envelope("team", spec),
        Record::Service(spec) => envelope("service", spec),
        Record::Placement(spec) => envelope("placement", spec),
        Record::Job(spec) => envelope("job", spec),
        Record::Remove(spec) => envelope("remove", spec),
    }
}

fn envelope<T: Serialize>(kind: &str, spec: &T) -> String {
    let envelope = Envelope {
        schema: 2,
        kind: kind.into(),
        spec,
    };
    // Serialisation can't fail, because all map keys in the model are strings.
    serde_json::to_string_pretty(&envelope).unwrap_or_default()
}
