//! Writes for callers' requests, which are repeated while the store does not carry them out.

use base::clock::{self, Millis};
use batch::job::Text;
use store::table::{Commit, StoreError, Txn};

use crate::{
    cx::{self, Cx},
    peers,
    refusal::Refusal,
};

/// Delay before a refused or unanswered write is sent again.
const RETRY_DELAY: Millis = Millis(60);
/// Time for which a write that the store refuses is repeated. A refusal costs the caller less than
/// a longer wait, and the store may serve another entry.
const MAX_REFUSED_TIME: Millis = Millis(200);

/// Request of a caller that a write belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Request {
    Submission,
    Cancellation,
}

impl Request {
    const fn name(self) -> &'static str {
        match self {
            Self::Submission => "submission",
            Self::Cancellation => "cancellation",
        }
    }
}

/// A write that is repeated until its outcome is known or the deadline passes.
pub(crate) struct RetriedWrite {
    request: Request,
    job: Text,
    started: Millis,
    deadline: Millis,
    refused_since: Option<Millis>,
    /// Whether an earlier attempt may still be applied.
    unknown: bool,
    tries: u32,
}

impl RetriedWrite {
    pub(crate) fn new(request: Request, job: &str, deadline: Millis) -> Self {
        Self {
            request,
            job: job.into(),
            started: clock::now(),
            deadline,
            refused_since: None,
            unknown: false,
            tries: 0,
        }
    }

    pub(crate) const fn tries(&self) -> u32 {
        self.tries
    }

    /// Returns whether the outcome of an attempt is unknown.
    pub(crate) const fn is_unknown(&self) -> bool {
        self.unknown
    }

    /// Returns the time since the write was first tried.
    pub(crate) fn age(&self) -> Millis {
        clock::now().since(self.started)
    }

    /// Commits `txn`, which must be idempotent.
    pub(crate) async fn commit(&mut self, cx: &Cx, txn: &Txn) -> Result<Commit, Refusal> {
        loop {
            if cx.peers.reach().is_out() {
                log::info!(
                    job:% = self.job, request = self.request.name(), tries = self.tries,
                    unknown = self.unknown, ms = self.age().0;
                    "accept: the store answers nothing"
                );
                return Err(self.refusal());
            }
            self.tries += 1;
            let sent = clock::now();
            let remaining = self.deadline.since(sent).to_duration();
            let result = tokio::time::timeout(remaining, cx.table.commit(txn)).await;
            let error = match result {
                Ok(Ok(commit)) => return Ok(commit),
                Ok(Err(e)) => e,
                Err(_) => StoreError::Unknown {
                    reason: "the time of the caller is over".into(),
                },
            };
            let now = clock::now();
            match &error {
                StoreError::Unknown { .. } => self.unknown = true,
                StoreError::Rejected { .. } => {
                    log::error!(
                        job:% = self.job, request = self.request.name(), tries = self.tries,
                        unknown = self.unknown, reason:% = error, ms = self.age().0;
                        "accept: the store rejects the write"
                    );
                    return Err(self.rejection());
                }
                StoreError::NotDone { .. } => {
                    peers::record_loss(cx, "accept", sent);
                    let since = *self.refused_since.get_or_insert(now);
                    if !self.unknown && now.since(since) >= MAX_REFUSED_TIME {
                        log::info!(
                            job:% = self.job, request = self.request.name(), tries = self.tries,
                            unknown = self.unknown, reason:% = error, ms = self.age().0;
                            "accept: the store refuses"
                        );
                        return Err(self.refusal());
                    }
                }
            }
            if now + RETRY_DELAY >= self.deadline {
                log::info!(
                    job:% = self.job, request = self.request.name(), tries = self.tries,
                    unknown = self.unknown, reason:% = error, ms = self.age().0;
                    "accept: no time left"
                );
                return Err(self.refusal());
            }
            cx::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the refusal to report for a write that never succeeds.
    const fn rejection(&self) -> Refusal {
        if self.unknown {
            Refusal::Unknown
        } else {
            Refusal::TooLarge
        }
    }

    /// Returns the refusal to report: a write that may have been applied must not count as refused.
    pub(crate) const fn refusal(&self) -> Refusal {
        if self.unknown {
            Refusal::Unknown
        } else {
            Refusal::Store
        }
    }
}
