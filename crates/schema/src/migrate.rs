//! Migration of records from schema version 1 to version 2.

use crate::{
    read::{self, ReadError},
    text, v2,
};

/// Converts every version 1 record of a file to version 2 and leaves version 2 records unchanged.
///
/// The line of an error is the line in the file. Comments in converted records are lost.
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
