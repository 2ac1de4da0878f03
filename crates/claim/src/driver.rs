//! The task that writes claims and settlements to the table.

use std::{mem, rc::Rc};

use base::clock;
use store::table::{Commit, StoreError, Txn};
use tokio::time;

use crate::{
    claim_cfg::ClaimCfg,
    claims::{Ask, Begun, Settle, Shared},
    record::{Record, State},
    store::Store,
    ticket::Ticket,
};

/// Writes claims and settlements to the table, with one transaction under way at a time.
#[derive(Debug)]
pub struct Driver<S> {
    cfg: ClaimCfg,
    store: S,
    shared: Rc<Shared>,
}

impl<S: Store> Driver<S> {
    pub(crate) fn new(cfg: ClaimCfg, store: S, shared: Rc<Shared>) -> Self {
        Self { cfg, store, shared }
    }

    /// Runs until it is dropped.
    pub async fn run(self) {
        loop {
            let (asks, settles) = {
                let mut inner = self.shared.cell.borrow_mut();
                (mem::take(&mut inner.asks), mem::take(&mut inner.settles))
            };
            if asks.is_empty() && settles.is_empty() {
                self.shared.work.notified().await;
                continue;
            }
            for settle in settles {
                self.settle(settle).await;
            }
            for ask in asks {
                let begun = self.claim(&ask).await;
                if !matches!(begun, Begun::Run(_)) {
                    self.shared.cell.borrow_mut().local.remove(&*ask.key);
                }
                // A ticket that can't be delivered settles itself when it is dropped.
                let _ = ask.reply.send(begun);
            }
        }
    }

    async fn claim(&self, ask: &Ask) -> Begun {
        let record = self.record(&ask.fingerprint, ask.nonce, State::InProgress);
        let mut version = 0;
        for _ in 0..self.cfg.tries {
            let txn = Txn::default()
                .check(ask.key.clone(), version)
                .put(ask.key.clone(), to_json(&record));
            match self.store.commit(&txn).await {
                Ok(Commit::Done { version }) => return self.ticket(ask, version),
                Err(StoreError::NotDone { .. }) => return Begun::NotRunStoreDown,
                Ok(Commit::Conflict { .. }) | Err(StoreError::Unknown { .. }) => {}
            }
            let Ok(Some(row)) = self.store.get(&ask.key).await else {
                continue;
            };
            let Ok(found) = serde_json::from_str::<Record>(&row.value) else {
                return Begun::Unknown;
            };
            if found.owner == self.shared.owner && found.nonce == ask.nonce {
                return self.ticket(ask, row.version);
            }
            if found.fingerprint != ask.fingerprint {
                return Begun::Conflict;
            }
            match found.state {
                State::Completed(answer) => return Begun::Replay(answer),
                State::InProgress => return Begun::InProgressElsewhere,
                State::Unknown => return Begun::Unknown,
                State::NotRun => version = row.version,
            }
        }
        Begun::NotRunStoreDown
    }

    async fn settle(&self, settle: Settle) {
        let state = settle.settled.clone().into_state();
        let record = self.record(&settle.fingerprint, settle.nonce, state);
        let txn = Txn::default()
            .check(settle.key.clone(), settle.version)
            .put(settle.key.clone(), to_json(&record));
        while self.store.commit(&txn).await.is_err() {
            time::sleep(self.cfg.retry_ms.to_duration()).await;
        }
        self.shared.cell.borrow_mut().local.remove(&*settle.key);
    }

    fn ticket(&self, ask: &Ask, version: u64) -> Begun {
        Begun::Run(Ticket::new(
            self.shared.clone(),
            ask.key.clone(),
            ask.fingerprint.clone(),
            ask.nonce,
            version,
        ))
    }

    fn record(
        &self,
        fingerprint: &crate::fingerprint::Fingerprint,
        nonce: u64,
        state: State,
    ) -> Record {
        Record {
            fingerprint: fingerprint.clone(),
            owner: self.shared.owner,
            nonce,
            written_ms: clock::wall(),
            state,
        }
    }
}

fn to_json(record: &Record) -> String {
    serde_json::to_string(record).expect("a claim record is valid JSON")
}
