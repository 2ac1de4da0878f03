//! Whether a node reports itself as ready, and since when.

use std::cell::Cell;

use base::clock::{self, Millis};

use crate::cx::{Ctx, Cx};

/// Whether a node is ready, and why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Readiness {
    Ready,
    /// The process ends.
    Stopping,
    /// The configuration was never read.
    NoConfig,
    /// The store serves other nodes and not this one.
    Store,
}

impl Readiness {
    /// Returns the current state.
    pub(crate) fn of(cx: &Ctx) -> Self {
        if cx.stopping.get() {
            Self::Stopping
        } else if cx.config_age().is_none() {
            Self::NoConfig
        } else if cx.peers.others_are_served() {
            Self::Store
        } else {
            Self::Ready
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Stopping => "stopping",
            Self::NoConfig => "no_config",
            Self::Store => "store",
        }
    }
}

/// The last logged state and the time of the change to it.
#[derive(Debug)]
pub(crate) struct Logged(Cell<(Readiness, Millis)>);

impl Default for Logged {
    fn default() -> Self {
        Self(Cell::new((Readiness::NoConfig, clock::now())))
    }
}

/// Logs the state if it has changed since the last call.
pub(crate) fn record(cx: &Cx) {
    let (before, since) = cx.readiness.0.get();
    let state = Readiness::of(cx);
    if state == before {
        return;
    }
    let now = clock::now();
    cx.readiness.0.set((state, now));
    let before_ms = now.since(since).0;
    let config_age_ms = cx.config_age().map(|a| a.0);
    match state {
        Readiness::Ready => {
            log::info!(before = before.name(), before_ms, config_age_ms; "node: ready");
        }
        Readiness::Stopping | Readiness::NoConfig | Readiness::Store => {
            log::warn!(
                reason = state.name(), before = before.name(), before_ms, config_age_ms;
                "node: not ready"
            );
        }
    }
}
