//! The buckthorncove binary: the server processes and the operator commands.

mod api;
mod args;
mod bench;
mod command;
mod exit;
mod log_writer;
mod logs;
mod system;

use std::process;

fn main() -> process::ExitCode {
    let args: args::Args = argh::from_env();
    logs::init(args.command.log_format());
    exit::report(command::run(args))
}
