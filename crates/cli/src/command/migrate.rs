//! `migrate`: converts record files to schema version 2.

use std::fs;

use eyre::WrapErr;
use schema::migrate;

use super::files;
use crate::{args, exit::Failure};

/// Runs the command; if any file is unreadable or invalid, none is changed.
pub fn run(args: &args::Migrate) -> eyre::Result<()> {
    let mut rewritten = Vec::new();
    for file in files::list(&args.paths)? {
        let name = file.display().to_string();
        let content =
            fs::read_to_string(&file).map_err(|e| Failure::bad_input(format!("{name}: {e}")))?;
        let new =
            migrate::file(&content).map_err(|e| Failure::bad_input(format!("{name}: {e}")))?;
        rewritten.push((file, content, new));
    }
    for (file, content, new) in rewritten {
        if !args.write {
            print!("{new}");
            continue;
        }
        if new != content {
            replace_file(&file, &new)?;
            println!("{}: rewritten", file.display());
        }
    }
    Ok(())
}

/// Replaces a file atomically, so that an interruption leaves either the old or the new content.
fn replace_file(file: &std::path::Path, content: &str) -> eyre::Result<()> {
    let temporary = file.with_extension("json.new");
    fs::write(&temporary, content)
        .wrap_err_with(|| format!("can't write {}", temporary.display()))?;
    fs::rename(&temporary, file).wrap_err_with(|| format!("can't replace {}", file.display()))
}
