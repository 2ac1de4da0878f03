//! Tickets of held claims, and waiters for their results.

use std::rc::Rc;

use store::table::Key;
use tokio::sync::watch;

use crate::{
    claims::{Progress, Settle, Shared},
    fingerprint::Fingerprint,
    record::{Answer, State},
};

/// How a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settled {
    /// It ran and this is its answer.
    Completed(Answer),
    /// It was certainly not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Settled {
    pub(crate) fn into_state(self) -> State {
        match self {
            Self::Completed(answer) => State::Completed(answer),
            Self::NotRun => State::NotRun,
            Self::Unknown => State::Unknown,
        }
    }
}

/// Right to run one request; settle it with the outcome.
///
/// A ticket that is dropped without a settlement counts as `unknown`, because the request may
/// have been sent.
#[derive(Debug)]
pub struct Ticket {
    shared: Rc<Shared>,
    key: Key,
    fingerprint: Fingerprint,
    nonce: u64,
    version: u64,
    delivered: bool,
    settled: bool,
}

impl Ticket {
    pub(crate) fn new(
        shared: Rc<Shared>,
        key: Key,
        fingerprint: Fingerprint,
        nonce: u64,
        version: u64,
    ) -> Self {
        Self {
            shared,
            key,
            fingerprint,
            nonce,
            version,
            delivered: false,
            settled: false,
        }
    }

    pub(crate) fn key(&self) -> &str {
        &self.key
    }

    pub(crate) fn delivered(mut self) -> Self {
        self.delivered = true;
        self
    }

    /// Records that the request ran and what it answered.
    pub fn complete(mut self, answer: Answer) {
        self.settle(Settled::Completed(answer));
    }

    /// Records that the request was certainly not run.
    pub fn not_run(mut self) {
        self.settle(Settled::NotRun);
    }

    /// Records that the request may have run.
    pub fn unknown(mut self) {
        self.settle(Settled::Unknown);
    }

    fn settle(&mut self, settled: Settled) {
        self.settled = true;
        self.shared.settle(Settle {
            key: self.key.clone(),
            fingerprint: self.fingerprint.clone(),
            nonce: self.nonce,
            version: self.version,
            settled,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        // A ticket that never reached the caller of `begin` can't have led to a dispatch.
        self.settle(if self.delivered {
            Settled::Unknown
        } else {
            Settled::NotRun
        });
    }
}

impl Shared {
    /// Tells the waiters, and queues the settlement for the table.
    pub(crate) fn settle(&self, settle: Settle) {
        let mut inner = self.cell.borrow_mut();
        if let Some(local) = inner.local.get(&*settle.key) {
            let settled = Progress::Settled(settle.settled.clone());
            local.progress.send_replace(settled);
        }
        inner.settles.push(settle);
        drop(inner);
        self.work.notify_one();
    }
}

/// Waits for the result of a request that runs on this entry.
#[derive(Debug)]
pub struct Waiter {
    progress: watch::Receiver<Progress>,
}

impl Waiter {
    pub(crate) fn new(progress: watch::Receiver<Progress>) -> Self {
        Self { progress }
    }

    /// Returns how the running request ended.
    pub async fn wait(mut self) -> Settled {
        let ended = |p: &Progress| matches!(p, Progress::Settled(_));
        match self.progress.wait_for(ended).await.as_deref() {
            Ok(Progress::Settled(settled)) => settled.clone(),
            // The entry stops: the request may have run.
            _ => Settled::Unknown,
        }
    }
}
