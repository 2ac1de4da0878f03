//! The buckthorncove binary: all roles and operator commands.

mod api;
mod args;
mod bench;
mod command;
mod exit;
mod log_out;
mod logs;
mod world;

use std::process;

fn main() -> process::ExitCode {
    let args: args::Args = argh::from_env();
    logs::init(args.command.log_form());
    exit::report(command::run(args))
}
