//! Rewrites records of schema version 1 in version 2.

use crate::{
    read::{self, ReadError},
    text, v2,
};

/// Rewrites every record of a file in version 2; records in version 2 stay as they are.
///
/// The error names the line of the file. Comments in rewritten records are not kept.
///
/// ```
/// let old = "{version: 1, type: 'policy', packing: 8}";
/// let new = schema::migrate::file(old).unwrap();
/// assert!(new.contains("\"fragmentation_percent\": 80"));
/// assert_eq!(schema::migrate::file(&new).unwrap(), new);
/// ```
pub fn file(content: &str) -> Result<String, ReadError> {
    let mut records = Vec::new();
    for part in text::split(content) {
        let read = read::read(&part.text).map_err(|mut e| {
            e.line += part.line - 1;
            e
        })?;
        records.push(match read.version {
            crate::record::Version::V2 => part.text,
            crate::record::Version::V1 => v2::write(&read.record) + "\n",
        });
    }
    Ok(records.join("---\n"))
}
