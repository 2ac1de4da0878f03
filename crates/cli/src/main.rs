//! The buckthorncove binary: all roles and operator commands.

mod api;
mod args;
mod command;
mod exit;
mod logs;

use std::process;

fn main() -> process::ExitCode {
    let args: args::Args = argh::from_env();
    logs::init();
    exit::report(command::run(args))
}
