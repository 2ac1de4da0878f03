//! Tickets, which are the right to run a claimed request, and waiters for the results.

use std::rc::Rc;

use store::table::Key;
use tokio::sync::watch;

use crate::{
    claims::{PendingSettlement, Progress, Shared},
    fingerprint::Fingerprint,
    record::{Answer, State},
};

/// How the execution of a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExecutionOutcome {
    /// The request ran and returned this answer.
    Completed(Answer),
    /// The request was certainly not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl ExecutionOutcome {
    pub(crate) fn into_state(self) -> State {
        match self {
            Self::Completed(answer) => State::Completed(answer),
            Self::NotRun => State::NotRun,
            Self::Unknown => State::Unknown,
        }
    }
}

/// Right to run one claimed request; settle it with the outcome.
///
/// Dropping a ticket without settling it records `unknown`, because the request may have been
/// sent.
#[derive(Debug)]
pub struct Ticket {
    shared: Rc<Shared>,
    key: Key,
    fingerprint: Fingerprint,
    nonce: u64,
    version: u64,
    /// Whether the caller of `begin` has received the ticket.
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

    pub(crate) fn mark_delivered(mut self) -> Self {
        self.delivered = true;
        self
    }

    /// Records that the request ran and returned `answer`.
    pub fn complete(mut self, answer: Answer) {
        self.settle(ExecutionOutcome::Completed(answer));
    }

    /// Records that the request was certainly not run.
    pub fn not_run(mut self) {
        self.settle(ExecutionOutcome::NotRun);
    }

    /// Records that the request may have run.
    pub fn unknown(mut self) {
        self.settle(ExecutionOutcome::Unknown);
    }

    fn settle(&mut self, outcome: ExecutionOutcome) {
        self.settled = true;
        self.shared.settle(PendingSettlement {
            key: self.key.clone(),
            fingerprint: self.fingerprint.clone(),
            nonce: self.nonce,
            version: self.version,
            outcome,
        });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        // No request was sent for a ticket that never reached the caller of `begin`.
        self.settle(if self.delivered {
            ExecutionOutcome::Unknown
        } else {
            ExecutionOutcome::NotRun
        });
    }
}

impl Shared {
    /// Notifies the waiters of the outcome, and queues the settlement for the next transaction.
    pub(crate) fn settle(&self, settlement: PendingSettlement) {
        let mut inner = self.inner.borrow_mut();
        if let Some(local) = inner.local.get(&*settlement.key) {
            let settled = Progress::Settled(settlement.outcome.clone());
            local.progress.send_replace(settled);
        }
        inner.pending_settlements.push(settlement);
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
    pub async fn wait(mut self) -> ExecutionOutcome {
        let is_settled = |p: &Progress| matches!(p, Progress::Settled(_));
        match self.progress.wait_for(is_settled).await.as_deref() {
            Ok(Progress::Settled(outcome)) => outcome.clone(),
            // The entry is stopping: the request may have run.
            _ => ExecutionOutcome::Unknown,
        }
    }
}
