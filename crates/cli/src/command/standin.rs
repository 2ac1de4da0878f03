//! `standin`: runs a stand-in until it is interrupted.

use std::fs;

use serde::de::DeserializeOwned;
use standin::{backend, platform, worker};

use crate::{api, args, exit::Failure};

/// Runs the command.
pub fn run(args: &args::Standin) -> eyre::Result<()> {
    match args.kind.as_str() {
        "platform" => {
            let handle = platform::start(settings(args)?)?;
            println!("standin: platform on {}", handle.addr());
            wait()
        }
        "worker" => {
            let handle = worker::start(settings(args)?)?;
            println!("standin: worker on {}", handle.addr());
            wait()
        }
        "backend" => {
            let handle = backend::start(settings(args)?)?;
            let addrs: Vec<String> = handle.addrs().iter().map(ToString::to_string).collect();
            println!("standin: backend on {}", addrs.join(" "));
            wait()
        }
        kind => {
            let expected = "expected platform, worker or backend";
            Err(Failure::bad_input(format!("stand-in '{kind}': {expected}")))
        }
    }
}

fn settings<T: DeserializeOwned + Default>(args: &args::Standin) -> eyre::Result<T> {
    let Some(path) = &args.settings else {
        return Ok(T::default());
    };
    let text = fs::read_to_string(path).map_err(|e| Failure::bad_input(format!("{path}: {e}")))?;
    json5::from_str(&text).map_err(|e| Failure::bad_input(format!("{path}: {e}")))
}

/// Waits for an interrupt.
pub fn wait() -> eyre::Result<()> {
    api::block_on(async { Ok(tokio::signal::ctrl_c().await?) })
}
