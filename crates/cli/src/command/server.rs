//! `entry`, `scheduler` and `node`: run a server process until it receives a signal to stop.

use std::{env, fs};

use crate::{args, exit::Failure};

/// Runs an entry, the process that serves callers and operators.
pub fn entry(args: &args::Entry) -> eyre::Result<()> {
    serve::survive_hang_up()?;
    let path = &args.settings;
    let cfg = entry::entry_cfg::EntryCfg::parse(&read_settings(path)?)
        .map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    Ok(entry::run(cfg)?)
}

/// Runs a scheduler, the process that places jobs on workers.
pub fn scheduler(args: &args::Scheduler) -> eyre::Result<()> {
    serve::survive_hang_up()?;
    let path = &args.settings;
    let cfg = sched::cfg::read(&read_settings(path)?)
        .map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    Ok(sched::run(cfg)?)
}

/// Environment variable with the path of a node's settings file, used if no path is given as an
/// argument.
const SETTINGS_VAR: &str = "BUCKTHORNCOVE_SETTINGS";

/// Runs a node, the process that accepts jobs on a VM and may become the leader.
pub fn node(args: &args::Node) -> eyre::Result<()> {
    serve::survive_hang_up()?;
    let path = match &args.settings {
        Some(path) => path.clone(),
        None => env::var(SETTINGS_VAR).map_err(|e| {
            Failure::bad_input(format!(
                "no settings file is given, and {SETTINGS_VAR} can't be used: {e}"
            ))
        })?,
    };
    let cfg = node::node_cfg::read_for_start(&read_settings(&path)?)
        .map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    for problem in &cfg.problems {
        log::warn!(problem:%; "node: a setting can't be used");
    }
    Ok(node::process::run(cfg.settings)?)
}

fn read_settings(path: &str) -> eyre::Result<String> {
    fs::read_to_string(path).map_err(|e| Failure::bad_input(format!("{path}: {e}")))
}
