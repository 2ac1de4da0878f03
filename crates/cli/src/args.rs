//! Command line arguments.

use argh::FromArgs;

use crate::logs;

/// Schedules multi-accelerator jobs, with guaranteed capacity for organisations.
///
/// Exit codes: 0 success; 1 refused or failed without effect; 2 invalid command line, settings or
/// record; 3 outcome unknown, repeat the command to find out.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// address of any entry, for operator commands (default 127.0.0.1:7000)
    #[argh(option, default = "String::from(\"127.0.0.1:7000\")")]
    pub entry: String,
    /// file that holds the access token, for operator commands
    #[argh(option)]
    pub token_file: Option<String>,
    /// print machine-readable JSON
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Entry(Entry),
    Scheduler(Scheduler),
    Node(Node),
    Local(Local),
    Standin(Standin),
    Check(Check),
    Migrate(Migrate),
    Apply(Apply),
    Get(Get),
    Submit(Submit),
    Cancel(Cancel),
    Settle(Settle),
    Status(Status),
    Dump(Dump),
    Bench(Bench),
}

/// Run the process that serves callers and operators.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Entry {
    /// settings file, JSON with comments
    #[argh(positional)]
    pub settings: String,
}

/// Run the process that places jobs on workers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scheduler")]
pub struct Scheduler {
    /// settings file, JSON with comments
    #[argh(positional)]
    pub settings: String,
}

impl Command {
    /// Returns the log format: long-running processes write JSON.
    pub const fn log_format(&self) -> logs::Format {
        match self {
            Self::Entry(_) | Self::Scheduler(_) | Self::Node(_) => logs::Format::Json,
            _ => logs::Format::Text,
        }
    }
}

/// Run the process of a VM on the users' platform, which accepts jobs and may become the leader.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "node")]
pub struct Node {
    /// settings file, JSON with comments; without it, `BUCKTHORNCOVE_SETTINGS` names the file
    #[argh(positional)]
    pub settings: Option<String>,
}

/// Run the whole system in this process on stand-ins, submit a gang job, send requests to a
/// backend service and print the results.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "local")]
pub struct Local {
    /// keep running after the demonstration until it is interrupted
    #[argh(switch)]
    pub stay: bool,
}

/// Run a stand-in for an outside system, for tests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "standin")]
pub struct Standin {
    /// stand-in to run: platform, worker or backend
    #[argh(positional)]
    pub kind: String,
    /// settings file, JSON with comments; built-in defaults apply without it
    #[argh(positional)]
    pub settings: Option<String>,
}

/// Check record files or a settings file without contacting any process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// record files or directories of them (*.json)
    #[argh(positional)]
    pub paths: Vec<String>,
    /// settings file of an entry
    #[argh(option)]
    pub entry: Option<String>,
    /// settings file of a scheduler
    #[argh(option)]
    pub scheduler: Option<String>,
    /// settings file of a node
    #[argh(option)]
    pub node: Option<String>,
}

/// Convert record files from schema version 1 to version 2.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "migrate")]
pub struct Migrate {
    /// record files or directories of them (*.json)
    #[argh(positional)]
    pub paths: Vec<String>,
    /// replace the files instead of printing the result
    #[argh(switch)]
    pub write: bool,
}

/// Apply record files as one change of the configuration; repeating it is safe.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// record files or directories of them (*.json)
    #[argh(positional)]
    pub paths: Vec<String>,
    /// show the difference and change nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// id of an earlier apply whose outcome was unknown
    #[argh(option)]
    pub change: Option<u64>,
}

/// Print the configuration in force as records of schema version 2.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {}

/// Submit the job of a record file; repeating it is safe.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// record file of the job
    #[argh(positional)]
    pub path: String,
    /// wait until the job has ended
    #[argh(switch)]
    pub wait: bool,
}

/// Cancel a job; repeating it is safe.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// job as ORGANISATION/NAME
    #[argh(positional)]
    pub job: String,
}

/// Record whether a request with an unknown outcome ran, after you have checked the backend
/// service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settle")]
pub struct Settle {
    /// request as ORGANISATION/KEY
    #[argh(positional)]
    pub key: String,
    /// whether the request ran: "ran" or "not-run"
    #[argh(positional)]
    pub outcome: String,
}

/// Show jobs and their phases.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// job as ORGANISATION/NAME (default: all jobs)
    #[argh(positional)]
    pub job: Option<String>,
}

/// Print the state of a process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct Dump {}

/// Measure the latency and the processor time that an entry adds to requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// benchmark to run: path
    #[argh(positional)]
    pub kind: String,
    /// requests per second
    #[argh(option, default = "500")]
    pub rate: u64,
    /// seconds of load for each case
    #[argh(option, default = "5")]
    pub seconds: u64,
}
