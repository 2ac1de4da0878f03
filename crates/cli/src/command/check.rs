//! `check`: checks files without contacting any process.

use std::fs;

use schema::{change, config::Config, record::Record};

use super::files;
use crate::{args, exit::Failure};

/// Runs the command.
pub fn run(args: &args::Check) -> eyre::Result<()> {
    if let Some(path) = &args.entry {
        settings(path, |text| {
            entry::entry_cfg::EntryCfg::parse(text).map(drop)
        })?;
    }
    if let Some(path) = &args.scheduler {
        settings(path, |text| sched::cfg::read(text).map(drop))?;
    }
    if let Some(path) = &args.node {
        settings(path, |text| node::node_cfg::read(text).map(drop))?;
    }
    if !args.paths.is_empty() {
        records(&args.paths)?;
    }
    Ok(())
}

fn settings<E: std::fmt::Display>(
    path: &str,
    read: impl Fn(&str) -> Result<(), E>,
) -> eyre::Result<()> {
    let text = fs::read_to_string(path).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    read(&text).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    println!("{path}: settings are valid");
    Ok(())
}

fn records(paths: &[String]) -> eyre::Result<()> {
    let found = files::read(paths)?;
    let configuration: Vec<_> = found
        .iter()
        .filter(|f| !matches!(f.versioned.record, Record::Job(_) | Record::Remove(_)))
        .map(|f| f.versioned.clone())
        .collect();
    change::apply(&Config::default(), &configuration)
        .map_err(|e| Failure::bad_input(e.to_string()))?;
    for f in &found {
        println!(
            "{}: {} (schema version {})",
            f.place,
            f.versioned.record.title(),
            f.versioned.version
        );
    }
    println!("{} records are valid", found.len());
    Ok(())
}
