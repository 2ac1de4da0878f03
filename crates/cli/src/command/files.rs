//! Record files.

use std::{fs, path};

use eyre::WrapErr;
use schema::{read, record::VersionedRecord, text};

use crate::exit::Failure;

/// One record with the place where it stands.
#[derive(Clone, Debug)]
pub struct Found {
    /// File and line, such as `teams.json:12`.
    pub place: String,
    /// Text of the record.
    pub text: String,
    /// The record.
    pub versioned: VersionedRecord,
}

/// Returns the record files that `paths` name, with those in directories in name order.
pub fn list(paths: &[String]) -> eyre::Result<Vec<path::PathBuf>> {
    if paths.is_empty() {
        return Err(Failure::bad_input("no record file is named"));
    }
    let mut files = Vec::new();
    for name in paths {
        let path = path::PathBuf::from(name);
        if !path.is_dir() {
            files.push(path);
            continue;
        }
        let mut inside = Vec::new();
        for item in fs::read_dir(&path).wrap_err_with(|| format!("directory {name}"))? {
            let file = item?.path();
            if file.extension().is_some_and(|e| e == "json") {
                inside.push(file);
            }
        }
        inside.sort();
        files.append(&mut inside);
    }
    Ok(files)
}

/// Reads and checks all records; all errors are reported together.
pub fn read(paths: &[String]) -> eyre::Result<Vec<Found>> {
    let mut found = Vec::new();
    let mut errors = Vec::new();
    for file in list(paths)? {
        let name = file.display().to_string();
        let content =
            fs::read_to_string(&file).map_err(|e| Failure::bad_input(format!("{name}: {e}")))?;
        for part in text::split(&content) {
            match read::read(&part.text) {
                Ok(versioned) => {
                    let place = format!("{name}:{}", part.line);
                    found.push(Found {
                        place,
                        text: part.text,
                        versioned,
                    });
                }
                Err(e) => {
                    let line = part.line + e.line - 1;
                    errors.push(format!("{name}:{line}: {}: {}", e.field, e.problem));
                }
            }
        }
    }
    if errors.is_empty() {
        return Ok(found);
    }
    Err(Failure::bad_input(errors.join("\n       ")))
}
