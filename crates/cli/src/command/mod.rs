//! Commands.

mod apply;
mod check;
mod files;
mod jobs;
mod local;
mod migrate;
mod server;
mod show;
mod standin;

use crate::{
    api::Api,
    args::{Args, Command},
    bench::path,
    exit::Failure,
};

/// Runs the command.
pub fn run(args: Args) -> eyre::Result<()> {
    let api = || Api::new(&args.entry, args.token_file.as_deref(), args.json);
    match args.command {
        Command::Check(args) => check::run(&args),
        Command::Migrate(args) => migrate::run(&args),
        Command::Apply(args) => apply::run(api()?, args),
        Command::Get(_) => show::get(api()?),
        Command::Dump(_) => show::dump(api()?),
        Command::Submit(args) => jobs::submit(api()?, args),
        Command::Cancel(args) => jobs::cancel(api()?, &args),
        Command::Status(args) => jobs::status(api()?, &args),
        Command::Settle(args) => jobs::settle(api()?, &args),
        Command::Entry(args) => server::entry(&args),
        Command::Scheduler(args) => server::scheduler(&args),
        Command::Node(args) => server::node(&args),
        Command::Local(args) => local::run(&args),
        Command::Standin(args) => standin::run(&args),
        Command::Bench(args) => match args.kind.as_str() {
            "path" => path::run(&args),
            kind => Err(Failure::bad_input(format!("bench '{kind}': expected path"))),
        },
    }
}
