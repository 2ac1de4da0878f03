//! The task that writes claims and settlements to the table.

use std::{mem, rc::Rc};

use store::table::{Commit, Key, StoreError, Txn};
use tokio::time;

use crate::{
    batch::{Batch, Found, Item},
    claim_cfg::ClaimCfg,
    claims::{Ask, Begun, Progress, Settle, Shared},
    record::{self, Record, State},
    store::Store,
    ticket::{Settled, Ticket},
};

/// Writes claims and settlements to the table, with one transaction under way at a time.
///
/// While a transaction is under way further claims collect; they share the next transaction.
#[derive(Debug)]
pub struct Driver<S> {
    cfg: ClaimCfg,
    store: S,
    shared: Rc<Shared>,
    /// Settlements wait until then, because the store was not reached.
    held_until: Option<time::Instant>,
}

impl<S: Store> Driver<S> {
    pub(crate) fn new(cfg: ClaimCfg, store: S, shared: Rc<Shared>) -> Self {
        Self {
            cfg,
            store,
            shared,
            held_until: None,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        loop {
            let batch = self.collect();
            if batch.items.is_empty() {
                self.idle().await;
                continue;
            }
            self.write(batch).await;
        }
    }

    async fn idle(&self) {
        let work = self.shared.work.notified();
        match self.held_until {
            None => work.await,
            Some(until) => {
                let _ = time::timeout_at(until, work).await;
            }
        }
    }

    /// Takes the work of one transaction, settlements first.
    fn collect(&mut self) -> Batch {
        if self.held_until.is_some_and(|t| time::Instant::now() >= t) {
            self.held_until = None;
        }
        let mut inner = self.shared.cell.borrow_mut();
        let mut items = Vec::new();
        if self.held_until.is_none() {
            let n = inner.settles.len().min(self.cfg.group);
            items.extend(inner.settles.drain(..n).map(Item::Settle));
        }
        let n = inner.asks.len().min(self.cfg.group - items.len());
        let asks: Vec<Ask> = inner.asks.drain(..n).collect();
        for ask in asks {
            if ask.reply.is_closed() && !ask.uncertain {
                inner.local.remove(&*ask.key);
                continue;
            }
            items.push(Item::Ask(ask));
        }
        Batch { items }
    }

    /// Commits a batch; conflicting items are dropped and the rest is sent again.
    async fn write(&mut self, mut batch: Batch) {
        let mut tries = 0;
        while !batch.items.is_empty() {
            let txn = batch.txn(self.shared.owner);
            match self.store.commit(&txn).await {
                Ok(Commit::Done { version }) => {
                    self.held_until = None;
                    return self.all_done(batch, version);
                }
                Ok(Commit::Conflict { keys }) => {
                    let conflicting = batch.split(&keys);
                    for item in conflicting {
                        self.examine(item).await;
                    }
                }
                Err(StoreError::NotDone { .. }) => return self.all_failed(batch),
                Err(StoreError::Unknown { .. }) => {
                    batch.mark_uncertain();
                    tries += 1;
                    match self.read_back(&batch).await {
                        Some(Found::Applied(version)) => return self.all_done(batch, version),
                        Some(Found::NotSeen) if tries < self.cfg.tries => {}
                        _ => return self.all_failed(batch),
                    }
                }
            }
        }
    }

    /// Looks for one row of a transaction whose answer was lost; `None` if the read fails.
    ///
    /// A transaction applies as a whole, so one row tells about all. The row must belong to a
    /// claim that was first sent with this batch: any other may have been written before.
    async fn read_back(&self, batch: &Batch) -> Option<Found> {
        let Some(ask) = batch.first_new_ask() else {
            return Some(Found::NotSeen);
        };
        let row = self.store.get(&ask.key).await.ok()?;
        let Some(row) = row else {
            return Some(Found::NotSeen);
        };
        let record = record::parse(&row.value)?;
        if record.is_by(self.shared.owner, ask.nonce) {
            return Some(Found::Applied(row.version));
        }
        Some(Found::NotSeen)
    }

    fn all_done(&self, batch: Batch, version: u64) {
        for item in batch.items {
            match item {
                Item::Ask(ask) => self.holds(ask, version),
                Item::Settle(settle) => self.forget(&settle.key),
            }
        }
    }

    fn all_failed(&mut self, batch: Batch) {
        self.hold();
        for item in batch.items {
            match item {
                Item::Ask(ask) => self.store_down(ask),
                Item::Settle(settle) => self.again(settle),
            }
        }
    }

    /// Pauses settlements, so that a store that is down is not asked all the time.
    fn hold(&mut self) {
        self.held_until = Some(time::Instant::now() + self.cfg.retry_ms.to_duration());
    }

    /// Finds out why the check of one item failed.
    async fn examine(&mut self, item: Item) {
        match item {
            Item::Ask(ask) => self.examine_ask(ask).await,
            Item::Settle(settle) => self.examine_settle(settle).await,
        }
    }

    async fn examine_ask(&self, mut ask: Ask) {
        let Ok(row) = self.store.get(&ask.key).await else {
            return self.store_down(ask);
        };
        let Some(row) = row else {
            // The read is stale, since the check found the row.
            return self.ask_again(ask);
        };
        let Some(found) = record::parse(&row.value) else {
            log::error!("claim: row {} is not a claim", ask.key);
            return self.reply(ask, Begun::Unknown);
        };
        if found.is_by(self.shared.owner, ask.nonce) {
            if found.state == State::InProgress {
                return self.holds(ask, row.version);
            }
            // The sweep took this entry for dead; nothing was sent, and the row stays unknown.
            return self.reply(ask, Begun::Unknown);
        }
        if found.fingerprint != ask.fingerprint {
            return self.reply(ask, Begun::Conflict);
        }
        match found.state {
            State::Completed(answer) => self.reply(ask, Begun::Replay(answer)),
            State::Unknown => self.reply(ask, Begun::Unknown),
            State::InProgress => {
                let begun = self.in_progress(&found).await;
                self.reply(ask, begun);
            }
            State::NotRun => {
                ask.version = row.version;
                self.ask_again(ask);
            }
        }
    }

    async fn in_progress(&self, found: &Record) -> Begun {
        if found.owner == self.shared.owner {
            // A claim of this entry that is no longer held: its settlement could not be written.
            return Begun::Unknown;
        }
        match self.store.get(&record::member_key(found.owner)).await {
            Ok(None) => Begun::Unknown,
            Ok(Some(_)) | Err(_) => Begun::InProgressElsewhere,
        }
    }

    async fn examine_settle(&mut self, mut settle: Settle) {
        let Ok(Some(row)) = self.store.get(&settle.key).await else {
            self.hold();
            return self.again(settle);
        };
        let Some(found) = record::parse(&row.value) else {
            log::error!("claim: row {} is not a claim", settle.key);
            return self.forget(&settle.key);
        };
        if !found.is_by(self.shared.owner, settle.nonce) {
            // The row of another claim: a lost insert of this one can't take effect any more.
            return self.forget(&settle.key);
        }
        match found.state {
            // The sweep sets `unknown` when it takes this entry for dead; the entry knows better.
            State::InProgress | State::Unknown if settle.settled != Settled::Unknown => {
                settle.version = row.version;
                self.again(settle);
            }
            State::InProgress => {
                settle.version = row.version;
                self.again(settle);
            }
            state => {
                if state != settle.settled.into_state() {
                    log::warn!("claim: row {} was settled by an operator", settle.key);
                }
                self.forget(&settle.key);
            }
        }
    }

    /// Queues a claim for the next transaction, or refuses it after the last try.
    fn ask_again(&self, mut ask: Ask) {
        ask.tries += 1;
        if ask.tries >= self.cfg.tries {
            return self.store_down(ask);
        }
        self.shared.cell.borrow_mut().asks.insert(0, ask);
    }

    fn again(&self, settle: Settle) {
        self.shared.cell.borrow_mut().settles.push(settle);
    }

    fn holds(&self, ask: Ask, version: u64) {
        let ticket = Ticket::new(
            self.shared.clone(),
            ask.key,
            ask.fingerprint,
            ask.nonce,
            version,
        );
        let inner = self.shared.cell.borrow();
        if let Some(local) = inner.local.get(ticket.key()) {
            local.progress.send_replace(Progress::Held);
        }
        drop(inner);
        // A ticket that can't be delivered sets its claim to `not_run` when it is dropped.
        let undelivered = ask.reply.send(Begun::Run(ticket));
        mem::drop(undelivered);
    }

    /// Refuses a claim. If its insert may have taken effect, or may still take effect, the row is
    /// set to `not_run` when the store is back.
    fn store_down(&self, ask: Ask) {
        if !ask.uncertain {
            return self.reply(ask, Begun::NotRunStoreDown);
        }
        self.shared.settle(Settle {
            key: ask.key,
            fingerprint: ask.fingerprint,
            nonce: ask.nonce,
            version: ask.version,
            settled: Settled::NotRun,
        });
        let _ = ask.reply.send(Begun::NotRunStoreDown);
    }

    fn reply(&self, ask: Ask, begun: Begun) {
        let local = self.shared.cell.borrow_mut().local.remove(&*ask.key);
        if let Some(local) = local {
            local.progress.send_replace(Progress::Refused(begun.copy()));
        }
        let _ = ask.reply.send(begun);
    }

    fn forget(&self, key: &Key) {
        self.shared.cell.borrow_mut().local.remove(&**key);
    }
}

/// Builds the transaction of a batch.
impl Batch {
    fn txn(&self, owner: u64) -> Txn {
        let mut txn = Txn::default();
        for item in &self.items {
            let record = item.record(owner);
            txn = txn
                .check(item.key().clone(), item.version())
                .put(item.key().clone(), record::to_json(&record));
        }
        txn
    }
}
