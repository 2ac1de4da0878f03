//! Reading of record files.

use std::{fs, path};

use eyre::WrapErr;
use schema::{read, record::VersionedRecord, text};

use crate::exit::Failure;

/// A record with its location in a file.
#[derive(Clone, Debug)]
pub struct LocatedRecord {
    /// File and line, such as `teams.json:12`.
    pub location: String,
    /// Source text of the record.
    pub text: String,
    /// The parsed record.
    pub versioned: VersionedRecord,
}

/// Returns the files in `paths`; a directory stands for its `.json` files, sorted by name.
pub fn list(paths: &[String]) -> eyre::Result<Vec<path::PathBuf>> {
    if paths.is_empty() {
        return Err(Failure::bad_input("no record files are given"));
    }
    let mut files = Vec::new();
    for name in paths {
        let path = path::PathBuf::from(name);
        if !path.is_dir() {
            files.push(path);
            continue;
        }
        let mut children = Vec::new();
        for child in
            fs::read_dir(&path).wrap_err_with(|| format!("can't list the directory {name}"))?
        {
            let file = child?.path();
            if file.extension().is_some_and(|e| e == "json") {
                children.push(file);
            }
        }
        children.sort();
        files.append(&mut children);
    }
    Ok(files)
}

/// Reads and validates all records; the error lists every invalid one.
pub fn read(paths: &[String]) -> eyre::Result<Vec<LocatedRecord>> {
    let mut records = Vec::new();
    let mut errors = Vec::new();
    for file in list(paths)? {
        let name = file.display().to_string();
        let content =
            fs::read_to_string(&file).map_err(|e| Failure::bad_input(format!("{name}: {e}")))?;
        for part in text::split(&content) {
            match read::read(&part.text) {
                Ok(versioned) => {
                    let location = format!("{name}:{}", part.line);
                    records.push(LocatedRecord {
                        location,
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
        return Ok(records);
    }
    Err(Failure::bad_input(errors.join("\n       ")))
}
