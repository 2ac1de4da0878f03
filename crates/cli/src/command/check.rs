//! `check`: validates files without contacting any process.

use std::fs;

use schema::{change, config::Config, record::Record};

use super::files;
use crate::{args, exit::Failure};

/// Runs the command.
pub fn run(args: &args::Check) -> eyre::Result<()> {
    if let Some(path) = &args.entry {
        check_settings(path, |text| {
            entry::entry_cfg::EntryCfg::parse(text).map(drop)
        })?;
    }
    if let Some(path) = &args.scheduler {
        check_settings(path, |text| sched::cfg::read(text).map(drop))?;
    }
    if let Some(path) = &args.node {
        check_settings(path, |text| node::node_cfg::read(text).map(drop))?;
    }
    if !args.paths.is_empty() {
        check_records(&args.paths)?;
    }
    Ok(())
}

fn check_settings<E: std::fmt::Display>(
    path: &str,
    parse: impl Fn(&str) -> Result<(), E>,
) -> eyre::Result<()> {
    let text = fs::read_to_string(path).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    parse(&text).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    println!("{path}: settings are valid");
    Ok(())
}

fn check_records(paths: &[String]) -> eyre::Result<()> {
    let records = files::read(paths)?;
    let configuration: Vec<_> = records
        .iter()
        .filter(|r| !matches!(r.versioned.record, Record::Job(_) | Record::Remove(_)))
        .map(|r| r.versioned.clone())
        .collect();
    change::apply(&Config::default(), &configuration)
        .map_err(|e| Failure::bad_input(e.to_string()))?;
    for record in &records {
        println!(
            "{}: {} (schema version {})",
            record.location,
            record.versioned.record.title(),
            record.versioned.version
        );
    }
    println!("{} records are valid", records.len());
    Ok(())
}
