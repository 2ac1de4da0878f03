//! Claims that one entry makes on idempotency keys.

use std::{cell::RefCell, rc::Rc};

use base::{name::Name, sorted::SortedMap};
use store::table::Key;
use tokio::sync::{Notify, oneshot, watch};

use crate::{
    claim_cfg::ClaimCfg,
    driver::Driver,
    fingerprint::Fingerprint,
    record::{self, Answer},
    store::Store,
    ticket::{ExecutionOutcome, Ticket, Waiter},
};

/// Result of claiming an idempotency key: how the request proceeds.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is in the table: run the request and settle the ticket.
    Run(Ticket),
    /// The request ran before: return the stored answer with `x-replayed: 1`.
    Replay(Answer),
    /// The same request is running on this entry: wait for its result.
    Wait(Waiter),
    /// The key was used for a different request: 409 `key_conflict`.
    Conflict,
    /// The same request is running on another entry: 409 `in_progress`.
    InProgressElsewhere,
    /// It is not known whether the request ran: 504 `outcome_unknown`.
    Unknown,
    /// The claim could not be written; the request was not run: 503.
    NotRunStoreDown,
}

impl ClaimOutcome {
    /// The outcome for a further request with the same key and fingerprint.
    pub(crate) fn for_duplicate(&self) -> Self {
        match self {
            Self::Replay(answer) => Self::Replay(answer.clone()),
            Self::Conflict => Self::Conflict,
            Self::InProgressElsewhere => Self::InProgressElsewhere,
            Self::NotRunStoreDown => Self::NotRunStoreDown,
            Self::Run(_) | Self::Wait(_) | Self::Unknown => Self::Unknown,
        }
    }
}

/// Handle to the claims of one entry; clones share the same claims.
///
/// ```
/// use claim::{claims::{ClaimOutcome, Claims}, claim_cfg::ClaimCfg, fingerprint, record::Answer};
/// use store::mem::MemTable;
///
/// # let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # rt.block_on(async {
/// let (claims, driver) = Claims::new(ClaimCfg::default(), MemTable::default(), 1);
/// let name = |text: &str| text.parse::<base::name::Name>().unwrap();
/// let fingerprint = fingerprint::of(&name("refund"), &name("pay"), b"{}");
/// let work = async {
///     let outcome = claims.begin(&name("tulegenov"), "k1", &fingerprint).await;
///     let ClaimOutcome::Run(ticket) = outcome else { panic!() };
///     ticket.complete(Answer::new(200, "text/plain", b"paid".to_vec()));
///     let outcome = claims.begin(&name("tulegenov"), "k1", &fingerprint).await;
///     assert!(matches!(outcome, ClaimOutcome::Replay(_)));
/// };
/// tokio::select! { () = work => {} () = driver.run() => {} }
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct Claims {
    pub(crate) shared: Rc<Shared>,
}

/// State shared by claims, tickets and the driver, all of which run on the entry's one thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) owner: u64,
    pub(crate) inner: RefCell<Inner>,
    /// Notified when a claim or settlement is queued.
    pub(crate) work: Notify,
}

#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) next_nonce: u64,
    pub(crate) local: SortedMap<Key, LocalClaim>,
    pub(crate) pending_claims: Vec<PendingClaim>,
    pub(crate) pending_settlements: Vec<PendingSettlement>,
}

/// A claim that this entry is making or holds, until its settlement is in the table.
#[derive(Debug)]
pub(crate) struct LocalClaim {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) progress: watch::Sender<Progress>,
}

/// Progress of a claim of this entry.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The claim is not in the table yet.
    Claiming,
    /// The claim is in the table and the request runs.
    Held,
    /// The claim was not made, for this reason.
    Refused(ClaimOutcome),
    /// The request ended; the row is still `in_progress`.
    Settled(ExecutionOutcome),
}

/// A claim that waits for its transaction.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: u64,
    /// Version that the row must have; 0 if the row must be absent.
    pub(crate) version: u64,
    /// Number of earlier transactions that included the claim.
    pub(crate) tries: u32,
    /// Whether an earlier write without an answer may have taken effect, or may still do so.
    pub(crate) uncertain: bool,
    pub(crate) reply: oneshot::Sender<ClaimOutcome>,
}

/// A settlement that waits for its transaction.
#[derive(Clone, Debug)]
pub(crate) struct PendingSettlement {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: u64,
    pub(crate) version: u64,
    pub(crate) outcome: ExecutionOutcome,
}

impl Claims {
    /// Creates the claims of the entry with member id `owner`, and the driver, which the entry must
    /// run concurrently.
    pub fn new<S: Store>(cfg: ClaimCfg, store: S, owner: u64) -> (Self, Driver<S>) {
        let shared = Rc::new(Shared {
            owner,
            inner: RefCell::default(),
            work: Notify::new(),
        });
        let driver = Driver::new(cfg, store, shared.clone());
        (Self { shared }, driver)
    }

    /// Claims `key` of `organisation` for the request with this fingerprint.
    ///
    /// The future may be dropped at any time: a claim whose caller is gone is set to `not_run`.
    pub async fn begin(
        &self,
        organisation: &Name,
        key: &str,
        fingerprint: &Fingerprint,
    ) -> ClaimOutcome {
        let key = record::claim_key(organisation, key);
        while let Some((same, mut progress)) = self.local(&key, fingerprint) {
            if !same {
                return ClaimOutcome::Conflict;
            }
            let decided = progress
                .wait_for(|p| !matches!(p, Progress::Claiming))
                .await;
            let outcome = decided.ok().map(|p| p.claim_outcome());
            match outcome {
                Some(Some(outcome)) => return outcome,
                Some(None) => return ClaimOutcome::Wait(Waiter::new(progress)),
                // The caller that was claiming the key has gone away.
                None => {}
            }
        }
        let outcome = self.enqueue(key, fingerprint);
        match outcome.await {
            Ok(ClaimOutcome::Run(ticket)) => ClaimOutcome::Run(ticket.mark_delivered()),
            Ok(outcome) => outcome,
            // The driver has stopped: nothing was sent to a backend server.
            Err(_) => ClaimOutcome::NotRunStoreDown,
        }
    }

    /// Progress of this entry's claim on `key`, and whether the claim has this fingerprint.
    fn local(
        &self,
        key: &Key,
        fingerprint: &Fingerprint,
    ) -> Option<(bool, watch::Receiver<Progress>)> {
        let inner = self.shared.inner.borrow();
        let local = inner.local.get(&**key)?;
        let same = local.fingerprint == *fingerprint;
        Some((same, local.progress.subscribe()))
    }

    /// Queues a claim for the next transaction.
    fn enqueue(&self, key: Key, fingerprint: &Fingerprint) -> oneshot::Receiver<ClaimOutcome> {
        let (reply, outcome) = oneshot::channel();
        let mut inner = self.shared.inner.borrow_mut();
        inner.next_nonce += 1;
        let nonce = inner.next_nonce;
        let local = LocalClaim {
            fingerprint: fingerprint.clone(),
            progress: watch::Sender::new(Progress::Claiming),
        };
        inner.local.insert(key.clone(), local);
        inner.pending_claims.push(PendingClaim {
            key,
            fingerprint: fingerprint.clone(),
            nonce,
            version: 0,
            tries: 0,
            uncertain: false,
            reply,
        });
        drop(inner);
        self.shared.work.notify_one();
        outcome
    }

    /// Number of claims whose settlement is not yet in the table.
    pub fn unsettled(&self) -> usize {
        self.shared.inner.borrow().local.len()
    }
}

impl Progress {
    /// The outcome for a further request with the same key and fingerprint; `None` to wait.
    fn claim_outcome(&self) -> Option<ClaimOutcome> {
        match self {
            Self::Claiming | Self::Held => None,
            Self::Refused(outcome) => Some(outcome.for_duplicate()),
            Self::Settled(ExecutionOutcome::Completed(answer)) => {
                Some(ClaimOutcome::Replay(answer.clone()))
            }
            Self::Settled(ExecutionOutcome::Unknown) => Some(ClaimOutcome::Unknown),
            // The row is still `in_progress`, so the key can't be claimed yet.
            Self::Settled(ExecutionOutcome::NotRun) => Some(ClaimOutcome::NotRunStoreDown),
        }
    }
}
