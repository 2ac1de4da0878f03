//! `standin`: runs a stand-in until it receives SIGINT or SIGTERM.

use std::fs;

use serde::de::DeserializeOwned;
use standin::{backend, platform, worker};
use tokio::signal::unix::{SignalKind, signal};

use crate::{api, args, exit::Failure};

/// Runs the command.
pub fn run(args: &args::Standin) -> eyre::Result<()> {
    match args.kind.as_str() {
        "platform" => {
            let handle = platform::start(read_settings(args)?)?;
            wait_for_signal(format!("standin: platform on {}", handle.addr()))
        }
        "worker" => {
            let handle = worker::start(read_settings(args)?)?;
            wait_for_signal(format!("standin: worker on {}", handle.addr()))
        }
        "backend" => {
            let handle = backend::start(read_settings(args)?)?;
            let addrs: Vec<String> = handle.addrs().iter().map(ToString::to_string).collect();
            wait_for_signal(format!("standin: backend on {}", addrs.join(" ")))
        }
        kind => {
            let expected = "expected platform, worker or backend";
            Err(Failure::bad_input(format!("stand-in '{kind}': {expected}")))
        }
    }
}

fn read_settings<T: DeserializeOwned + Default>(args: &args::Standin) -> eyre::Result<T> {
    let Some(path) = &args.settings else {
        return Ok(T::default());
    };
    let text = fs::read_to_string(path).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    json5::from_str(&text).map_err(|e| Failure::bad_input(format!("{path}: {e}")))
}

/// Prints `message` and waits for SIGINT or SIGTERM, so that the caller can stop what it runs. The
/// handlers are installed first, so a signal sent after the message is not missed.
pub fn wait_for_signal(message: String) -> eyre::Result<()> {
    api::block_on(async move {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        println!("{message}");
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Ok(())
    })
}
