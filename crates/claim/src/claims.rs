//! Claims of one entry.

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
    ticket::{Settled, Ticket, Waiter},
};

/// What a request that claimed its key has to do.
#[derive(Debug)]
pub enum Begun {
    /// The claim holds: run the request and settle the ticket.
    Run(Ticket),
    /// The request ran before: give the stored answer with `x-replayed: 1`.
    Replay(Answer),
    /// The request is running on this entry: wait for its result.
    Wait(Waiter),
    /// The key belongs to another request: 409 `key_conflict`.
    Conflict,
    /// The request is running on another entry: 409 `in_progress`.
    InProgressElsewhere,
    /// It is not known whether the request ran: 504 `outcome_unknown`.
    Unknown,
    /// The claim could not be written; the request was not run: 503.
    NotRunStoreDown,
}

impl Begun {
    /// The same answer for another request with the same key and fingerprint.
    pub(crate) fn copy(&self) -> Self {
        match self {
            Self::Replay(answer) => Self::Replay(answer.clone()),
            Self::Conflict => Self::Conflict,
            Self::InProgressElsewhere => Self::InProgressElsewhere,
            Self::NotRunStoreDown => Self::NotRunStoreDown,
            Self::Run(_) | Self::Wait(_) | Self::Unknown => Self::Unknown,
        }
    }
}

/// Claims of one entry; clones share the same claims.
///
/// ```
/// use claim::{claims::{Begun, Claims}, claim_cfg::ClaimCfg, fingerprint, record::Answer};
/// use store::mem::MemTable;
///
/// # let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # rt.block_on(async {
/// let (claims, driver) = Claims::new(ClaimCfg::default(), MemTable::default(), 1);
/// let name = |text: &str| text.parse::<base::name::Name>().unwrap();
/// let print = fingerprint::of(&name("refund"), &name("pay"), b"{}");
/// let work = async {
///     let begun = claims.begin(&name("tulegenov"), "k1", &print).await;
///     let Begun::Run(ticket) = begun else { panic!() };
///     ticket.complete(Answer::new(200, "text/plain", b"paid".to_vec()));
///     let begun = claims.begin(&name("tulegenov"), "k1", &print).await;
///     assert!(matches!(begun, Begun::Replay(_)));
/// };
/// tokio::select! { () = work => {} () = driver.run() => {} }
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct Claims {
    pub(crate) shared: Rc<Shared>,
}

/// State that claims, tickets and the driver share; an entry has one thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) owner: u64,
    pub(crate) cell: RefCell<Inner>,
    pub(crate) work: Notify,
}

#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) next_nonce: u64,
    pub(crate) local: SortedMap<Key, Local>,
    pub(crate) asks: Vec<Ask>,
    pub(crate) settles: Vec<Settle>,
}

/// A claim that this entry holds, until its settlement is in the table.
#[derive(Debug)]
pub(crate) struct Local {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) progress: watch::Sender<Progress>,
}

/// How far a claim of this entry has come.
#[derive(Debug)]
pub(crate) enum Progress {
    /// The claim is not in the table yet.
    Claiming,
    /// The claim holds and the request runs.
    Held,
    /// The claim was not made, for this reason.
    Refused(Begun),
    /// The request ended; the row still says `in_progress`.
    Settled(Settled),
}

/// A claim that waits for its transaction.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: u64,
    /// Version that the row must have; 0 for absent.
    pub(crate) version: u64,
    /// Batches of which the claim has been a part.
    pub(crate) tries: u32,
    /// Whether an earlier write may take effect although no answer arrived.
    pub(crate) uncertain: bool,
    pub(crate) reply: oneshot::Sender<Begun>,
}

/// A settlement that waits for its transaction.
#[derive(Clone, Debug)]
pub(crate) struct Settle {
    pub(crate) key: Key,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) nonce: u64,
    pub(crate) version: u64,
    pub(crate) settled: Settled,
}

impl Claims {
    /// Creates the claims of the entry with member id `owner`, and the driver that the entry must
    /// run beside them.
    pub fn new<S: Store>(cfg: ClaimCfg, store: S, owner: u64) -> (Self, Driver<S>) {
        let shared = Rc::new(Shared {
            owner,
            cell: RefCell::default(),
            work: Notify::new(),
        });
        let driver = Driver::new(cfg, store, shared.clone());
        (Self { shared }, driver)
    }

    /// Claims `key` of `organisation` for the request with this fingerprint.
    ///
    /// The future may be dropped at any time: a claim that nobody takes is set to `not_run`.
    pub async fn begin(&self, organisation: &Name, key: &str, fingerprint: &Fingerprint) -> Begun {
        let key = record::row_key(organisation, key);
        while let Some((same, mut progress)) = self.local(&key, fingerprint) {
            if !same {
                return Begun::Conflict;
            }
            let decided = progress
                .wait_for(|p| !matches!(p, Progress::Claiming))
                .await;
            let begun = decided.ok().map(|p| p.begun());
            match begun {
                Some(Some(begun)) => return begun,
                Some(None) => return Begun::Wait(Waiter::new(progress)),
                // The caller that was claiming the key went away.
                None => {}
            }
        }
        let answer = self.ask(key, fingerprint);
        match answer.await {
            Ok(Begun::Run(ticket)) => Begun::Run(ticket.delivered()),
            Ok(begun) => begun,
            // The driver is gone: nothing was sent to a backend server.
            Err(_) => Begun::NotRunStoreDown,
        }
    }

    /// Progress of the claim that this entry has for `key`, and whether it has this fingerprint.
    fn local(
        &self,
        key: &Key,
        fingerprint: &Fingerprint,
    ) -> Option<(bool, watch::Receiver<Progress>)> {
        let inner = self.shared.cell.borrow();
        let local = inner.local.get(&**key)?;
        let same = local.fingerprint == *fingerprint;
        Some((same, local.progress.subscribe()))
    }

    /// Queues a claim for the next transaction.
    fn ask(&self, key: Key, fingerprint: &Fingerprint) -> oneshot::Receiver<Begun> {
        let (reply, answer) = oneshot::channel();
        let mut inner = self.shared.cell.borrow_mut();
        inner.next_nonce += 1;
        let nonce = inner.next_nonce;
        let local = Local {
            fingerprint: fingerprint.clone(),
            progress: watch::Sender::new(Progress::Claiming),
        };
        inner.local.insert(key.clone(), local);
        inner.asks.push(Ask {
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
        answer
    }

    /// Number of claims whose settlement is not yet in the table.
    pub fn unsettled(&self) -> usize {
        self.shared.cell.borrow().local.len()
    }
}

impl Progress {
    /// What a further request with the same key and fingerprint is told; `None` to wait.
    fn begun(&self) -> Option<Begun> {
        match self {
            Self::Claiming | Self::Held => None,
            Self::Refused(begun) => Some(begun.copy()),
            Self::Settled(Settled::Completed(answer)) => Some(Begun::Replay(answer.clone())),
            Self::Settled(Settled::Unknown) => Some(Begun::Unknown),
            // The row still says `in_progress`, so the key can't be claimed yet.
            Self::Settled(Settled::NotRun) => Some(Begun::NotRunStoreDown),
        }
    }
}
