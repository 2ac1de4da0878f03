//! `entry` and `scheduler`: run one process until it is told to stop.

use std::fs;

use crate::{args, exit::Failure};

/// Runs an entry.
pub fn entry(args: &args::Entry) -> eyre::Result<()> {
    let path = &args.settings;
    let cfg = entry::entry_cfg::EntryCfg::parse(&read(path)?)
        .map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    Ok(entry::run(cfg)?)
}

/// Runs a scheduler.
pub fn scheduler(args: &args::Scheduler) -> eyre::Result<()> {
    let path = &args.settings;
    let cfg =
        sched::cfg::read(&read(path)?).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    Ok(sched::run(cfg)?)
}

fn read(path: &str) -> eyre::Result<String> {
    fs::read_to_string(path).map_err(|e| Failure::bad_input(format!("{path}: {e}")))
}
