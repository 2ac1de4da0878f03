//! Command line.

use argh::FromArgs;

/// Schedules multi-accelerator jobs under guarantees for organisations.
///
/// Exit codes: 0 done; 1 refused or failed without effect; 2 wrong command line, settings or
/// record; 3 outcome unknown, ask again.
#[derive(Debug, FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Entry(Entry),
    Scheduler(Scheduler),
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

/// Run the process that decides where jobs run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "scheduler")]
pub struct Scheduler {
    /// settings file, JSON with comments
    #[argh(positional)]
    pub settings: String,
}

/// Run the whole system in this process on stand-ins, submit a gang job, send a claim score and
/// print what happened.
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
    /// platform, worker or backend
    #[argh(positional)]
    pub kind: String,
    /// settings file, JSON with comments; defaults are used without it
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
}

/// Rewrite record files of schema version 1 in version 2.
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

/// How to reach an entry.
macro_rules! api_options {
    ($(#[$doc:meta])* $name:ident, $command:literal { $($(#[$field_doc:meta])* $field:ident: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Debug, FromArgs)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)*
            /// address of any entry (default 127.0.0.1:7000)
            #[argh(option, default = "String::from(\"127.0.0.1:7000\")")]
            pub entry: String,
            /// file that holds the access token
            #[argh(option)]
            pub token_file: Option<String>,
            /// print JSON for scripts
            #[argh(switch)]
            pub json: bool,
        }
    };
}

api_options! {
    /// Apply record files as one change of the configuration; repeating it is safe.
    Apply, "apply" {
        /// record files or directories of them (*.json)
        #[argh(positional)]
        paths: Vec<String>,
        /// show the difference and change nothing
        #[argh(switch)]
        dry_run: bool,
        /// id of an earlier apply whose outcome was unknown
        #[argh(option)]
        change: Option<u64>,
    }
}

api_options! {
    /// Print the configuration in force as records of schema version 2.
    Get, "get" {}
}

api_options! {
    /// Submit the job of a record file; repeating it is safe.
    Submit, "submit" {
        /// record file of the job
        #[argh(positional)]
        path: String,
        /// wait until the job has ended
        #[argh(switch)]
        wait: bool,
    }
}

api_options! {
    /// Cancel a job; repeating it is safe.
    Cancel, "cancel" {
        /// job as ORGANISATION/NAME
        #[argh(positional)]
        job: String,
    }
}

api_options! {
    /// Settle a request whose outcome is unknown, after you have looked at the backend service.
    Settle, "settle" {
        /// request as ORGANISATION/KEY
        #[argh(positional)]
        key: String,
        /// whether the request ran: "ran" or "not-run"
        #[argh(positional)]
        outcome: String,
    }
}

api_options! {
    /// Show jobs and their phases.
    Status, "status" {
        /// job as ORGANISATION/NAME; all jobs without it
        #[argh(positional)]
        job: Option<String>,
    }
}

api_options! {
    /// Print the state of a process as JSON.
    Dump, "dump" {}
}

/// Measure the request path or the decisions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// path
    #[argh(positional)]
    pub kind: String,
    /// requests a second
    #[argh(option, default = "500")]
    pub rate: u64,
    /// seconds of load for each case
    #[argh(option, default = "5")]
    pub seconds: u64,
}
