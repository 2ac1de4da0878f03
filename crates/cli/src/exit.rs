//! Exit codes of all commands.

use std::process;

use derive_more::{Display, Error};

/// The request was refused or failed, and had no effect.
pub const REFUSED: u8 = 1;
/// The command line, a settings file or a record is invalid.
pub const BAD_INPUT: u8 = 2;
/// The request may have had an effect; repeating the command shows whether it had.
pub const UNKNOWN: u8 = 3;

/// Failure of a command with its exit code.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub struct Failure {
    code: u8,
    message: String,
}

impl Failure {
    /// Returns an error for a refused request.
    pub fn refused(message: impl Into<String>) -> eyre::Report {
        Self {
            code: REFUSED,
            message: message.into(),
        }
        .into()
    }

    /// Returns an error for invalid input.
    pub fn bad_input(message: impl Into<String>) -> eyre::Report {
        Self {
            code: BAD_INPUT,
            message: message.into(),
        }
        .into()
    }

    /// Returns an error for a request whose outcome is unknown.
    pub fn unknown(message: impl Into<String>) -> eyre::Report {
        Self {
            code: UNKNOWN,
            message: message.into(),
        }
        .into()
    }
}

/// Prints the error of a command, if any, and returns the exit code.
pub fn report(result: eyre::Result<()>) -> process::ExitCode {
    let Err(e) = result else {
        return process::ExitCode::SUCCESS;
    };
    eprintln!("error: {e:#}");
    let code = e.downcast_ref::<Failure>().map_or(REFUSED, |f| f.code);
    process::ExitCode::from(code)
}
