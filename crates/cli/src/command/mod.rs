//! One file for each command.

mod apply;
mod check;
mod files;
mod jobs;
mod migrate;
mod show;

use crate::args::{Args, Command};

/// Runs the command.
pub fn run(args: Args) -> eyre::Result<()> {
    match args.command {
        Command::Check(args) => check::run(&args),
        Command::Migrate(args) => migrate::run(&args),
        Command::Apply(args) => apply::run(args),
        Command::Get(args) => show::get(&args),
        Command::Dump(args) => show::dump(&args),
        Command::Submit(args) => jobs::submit(args),
        Command::Cancel(args) => jobs::cancel(&args),
        Command::Status(args) => jobs::status(&args),
        Command::Settle(args) => jobs::settle(&args),
        Command::Entry(_)
        | Command::Scheduler(_)
        | Command::Local(_)
        | Command::Standin(_)
        | Command::Bench(_) => Err(eyre::eyre!("not built yet")),
    }
}
