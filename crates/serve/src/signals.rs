//! Signals that a server process handles.

use std::{io, sync};

use signal_hook::{consts, flag};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Keeps SIGHUP from ending a process that has no [`Signals`] yet. A server process calls it before
/// anything else, because it may be sent the signal as soon as its id is known.
///
/// ```
/// serve::survive_hang_up()?;
/// # Ok::<_, std::io::Error>(())
/// ```
///
/// # Errors
///
/// Returns an error if the handler can't be installed.
pub fn survive_hang_up() -> io::Result<()> {
    let unused = sync::Arc::default();
    flag::register(consts::SIGHUP, unused).map(|_| ())
}

/// Handlers of SIGTERM, SIGINT and SIGHUP. Without them these signals would kill a process that has
/// accepted connections, so they are installed before its listeners are opened.
#[derive(Debug)]
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers in the current runtime.
    ///
    /// ```
    /// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    /// let _guard = runtime.enter();
    /// serve::Signals::new()?;
    /// # Ok::<_, std::io::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if a handler can't be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; `process` is the prefix of the log line about SIGHUP.
    ///
    /// ```
    /// # async fn example() -> std::io::Result<()> {
    /// serve::Signals::new()?.stop("node").await;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn stop(&mut self, process: &str) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.int.recv() => return,
                _ = self.hup.recv() => log::info!("{process}: SIGHUP is ignored, settings are read at start only"),
            }
        }
    }
}
