//! Background task that writes claims and settlements to the table.

use std::{mem, rc::Rc};

use store::table::{Commit, Key, StoreError, Txn};
use tokio::time;

use crate::{
    batch::{Batch, Item, ReadBack},
    claim_cfg::ClaimCfg,
    claims::{ClaimOutcome, PendingClaim, PendingSettlement, Progress, Shared},
    record::{self, Record, State},
    store::Store,
    ticket::{ExecutionOutcome, Ticket},
};

/// Writes claims and settlements to the table, one transaction at a time.
///
/// Claims that arrive during a transaction share the next one.
#[derive(Debug)]
pub struct Driver<S> {
    cfg: ClaimCfg,
    store: S,
    shared: Rc<Shared>,
    /// Time until which settlements are paused after a call to the store failed.
    settlements_paused_until: Option<time::Instant>,
}

impl<S: Store> Driver<S> {
    pub(crate) fn new(cfg: ClaimCfg, store: S, shared: Rc<Shared>) -> Self {
        Self {
            cfg,
            store,
            shared,
            settlements_paused_until: None,
        }
    }

    /// Writes queued claims and settlements until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let batch = self.next_batch();
            if batch.items.is_empty() {
                self.wait_for_work().await;
                continue;
            }
            self.write(batch).await;
        }
    }

    async fn wait_for_work(&self) {
        let work = self.shared.work.notified();
        match self.settlements_paused_until {
            None => work.await,
            Some(until) => {
                let _ = time::timeout_at(until, work).await;
            }
        }
    }

    /// Takes the items of the next transaction from the queues, settlements first.
    fn next_batch(&mut self) -> Batch {
        if self
            .settlements_paused_until
            .is_some_and(|t| time::Instant::now() >= t)
        {
            self.settlements_paused_until = None;
        }
        let mut inner = self.shared.inner.borrow_mut();
        let mut items = Vec::new();
        if self.settlements_paused_until.is_none() {
            let n = inner.pending_settlements.len().min(self.cfg.group);
            items.extend(inner.pending_settlements.drain(..n).map(Item::Settlement));
        }
        let n = inner.pending_claims.len().min(self.cfg.group - items.len());
        let claims: Vec<PendingClaim> = inner.pending_claims.drain(..n).collect();
        for claim in claims {
            if claim.reply.is_closed() && !claim.uncertain {
                inner.local.remove(&*claim.key);
                continue;
            }
            items.push(Item::Claim(claim));
        }
        Batch { items }
    }

    /// Commits a batch; removes conflicting items, resolves each of them, and sends the rest again.
    async fn write(&mut self, mut batch: Batch) {
        let mut tries = 0;
        while !batch.items.is_empty() {
            let txn = batch.txn(self.shared.owner);
            match self.store.commit(&txn).await {
                Ok(Commit::Done { version }) => {
                    self.settlements_paused_until = None;
                    return self.finish(batch, version);
                }
                Ok(Commit::Conflict { keys }) => {
                    let conflicting = batch.remove(&keys);
                    for item in conflicting {
                        self.resolve_conflict(item).await;
                    }
                }
                Err(StoreError::NotDone { .. } | StoreError::Rejected { .. }) => {
                    return self.defer(batch);
                }
                Err(StoreError::Unknown { .. }) => {
                    batch.mark_uncertain();
                    tries += 1;
                    match self.read_back(&batch).await {
                        Some(ReadBack::Applied(version)) => return self.finish(batch, version),
                        Some(ReadBack::NotFound) if tries < self.cfg.tries => {}
                        _ => return self.defer(batch),
                    }
                }
            }
        }
    }

    /// Reads one row of a transaction whose answer was lost, to find out whether it was applied.
    ///
    /// Returns `None` if the read fails or the row is not a valid record, and `NotFound` if the
    /// batch has no new claim.
    ///
    /// Transactions are atomic, so one row is enough. The row must belong to a claim that was first
    /// sent with this batch: the row of any other claim may come from an earlier transaction.
    async fn read_back(&self, batch: &Batch) -> Option<ReadBack> {
        let Some(claim) = batch.first_new_claim() else {
            return Some(ReadBack::NotFound);
        };
        let row = self.store.get(&claim.key).await.ok()?;
        let Some(row) = row else {
            return Some(ReadBack::NotFound);
        };
        let record = record::parse(&row.value)?;
        if record.was_written_by(self.shared.owner, claim.nonce) {
            return Some(ReadBack::Applied(row.version));
        }
        Some(ReadBack::NotFound)
    }

    /// Grants the claims of a committed batch, and removes those that it settled from the
    /// local claims.
    fn finish(&self, batch: Batch, version: u64) {
        for item in batch.items {
            match item {
                Item::Claim(claim) => self.grant(claim, version),
                Item::Settlement(settlement) => self.remove_local_claim(&settlement.key),
            }
        }
    }

    /// Refuses the claims of a batch that was not confirmed, and requeues its settlements.
    fn defer(&mut self, batch: Batch) {
        self.pause_settlements();
        for item in batch.items {
            match item {
                Item::Claim(claim) => self.refuse_store_unavailable(claim),
                Item::Settlement(settlement) => self.requeue_settlement(settlement),
            }
        }
    }

    /// Pauses settlements, so that calls to a failing store are not retried in a tight loop.
    fn pause_settlements(&mut self) {
        self.settlements_paused_until =
            Some(time::Instant::now() + self.cfg.retry_ms.to_duration());
    }

    /// Reads the row of an item whose check failed, and completes, refuses or requeues the item.
    async fn resolve_conflict(&mut self, item: Item) {
        match item {
            Item::Claim(claim) => self.resolve_claim(claim).await,
            Item::Settlement(settlement) => self.resolve_settlement(settlement).await,
        }
    }

    async fn resolve_claim(&self, mut claim: PendingClaim) {
        let Ok(row) = self.store.get(&claim.key).await else {
            return self.refuse_store_unavailable(claim);
        };
        let Some(row) = row else {
            if claim.version > 0 && self.is_absent(&claim.key).await {
                claim.version = 0;
            }
            return self.retry_claim(claim);
        };
        let Some(found) = record::parse(&row.value) else {
            log::error!("claim: row {} is not a valid claim record", claim.key);
            return self.reply(claim, ClaimOutcome::Unknown);
        };
        if found.was_written_by(self.shared.owner, claim.nonce) {
            if found.state == State::InProgress {
                return self.grant(claim, row.version);
            }
            // The retention sweep (`retention::sweep`) set the row to `unknown` because this
            // entry's member row was missing. Nothing was sent, and the row stays `unknown`.
            return self.reply(claim, ClaimOutcome::Unknown);
        }
        if found.fingerprint != claim.fingerprint {
            return self.reply(claim, ClaimOutcome::Conflict);
        }
        match found.state {
            State::Completed(answer) => self.reply(claim, ClaimOutcome::Replay(answer)),
            State::Unknown => self.reply(claim, ClaimOutcome::Unknown),
            State::InProgress => {
                let outcome = self.outcome_for_claim_in_progress(&found).await;
                self.reply(claim, outcome);
            }
            State::NotRun => {
                claim.version = row.version;
                self.retry_claim(claim);
            }
        }
    }

    /// Returns the outcome for a request whose key has another claim in progress, with the record
    /// `found`.
    async fn outcome_for_claim_in_progress(&self, found: &Record) -> ClaimOutcome {
        if found.owner == self.shared.owner {
            // The other claim is no longer a local claim: it has been settled and this read is
            // stale.
            return ClaimOutcome::Unknown;
        }
        match self.store.get(&record::member_key(found.owner)).await {
            Ok(None) => ClaimOutcome::Unknown,
            Ok(Some(_)) | Err(_) => ClaimOutcome::InProgressElsewhere,
        }
    }

    async fn resolve_settlement(&mut self, mut settlement: PendingSettlement) {
        let Ok(row) = self.store.get(&settlement.key).await else {
            self.pause_settlements();
            return self.requeue_settlement(settlement);
        };
        let Some(row) = row else {
            if settlement.version > 0 && self.is_absent(&settlement.key).await {
                settlement.version = 0;
            }
            self.pause_settlements();
            return self.requeue_settlement(settlement);
        };
        if row.version <= settlement.version {
            // The row has changed since it had the version of the settlement: the read is stale.
            self.pause_settlements();
            return self.requeue_settlement(settlement);
        }
        let Some(found) = record::parse(&row.value) else {
            log::error!("claim: row {} is not a valid claim record", settlement.key);
            return self.remove_local_claim(&settlement.key);
        };
        if !found.was_written_by(self.shared.owner, settlement.nonce) {
            // The row belongs to another claim, so a lost insert of this claim can no longer take
            // effect.
            return self.remove_local_claim(&settlement.key);
        }
        match found.state {
            // The retention sweep (`retention::sweep`) sets `unknown` when this entry's member row
            // is missing; this settlement's outcome replaces it.
            State::InProgress | State::Unknown
                if settlement.outcome != ExecutionOutcome::Unknown =>
            {
                settlement.version = row.version;
                self.requeue_settlement(settlement);
            }
            State::InProgress => {
                settlement.version = row.version;
                self.requeue_settlement(settlement);
            }
            state => {
                if state != settlement.outcome.into_state() {
                    log::warn!(
                        "claim: row {} was settled differently by an operator",
                        settlement.key
                    );
                }
                self.remove_local_claim(&settlement.key);
            }
        }
    }

    /// Returns whether the row of a claim is certainly absent, so that no write that checks an
    /// earlier version of it can take effect any more. A read may be stale, a check is not.
    async fn is_absent(&self, key: &Key) -> bool {
        let txn = Txn::default().check(key.clone(), 0);
        matches!(self.store.commit(&txn).await, Ok(Commit::Done { .. }))
    }

    /// Queues a claim for the next transaction, or refuses it after the last try.
    fn retry_claim(&self, mut claim: PendingClaim) {
        claim.tries += 1;
        if claim.tries >= self.cfg.tries {
            return self.refuse_store_unavailable(claim);
        }
        self.shared
            .inner
            .borrow_mut()
            .pending_claims
            .insert(0, claim);
    }

    fn requeue_settlement(&self, settlement: PendingSettlement) {
        self.shared
            .inner
            .borrow_mut()
            .pending_settlements
            .push(settlement);
    }

    /// Sends the caller its ticket; the claim is already in the table.
    fn grant(&self, claim: PendingClaim, version: u64) {
        let ticket = Ticket::new(
            self.shared.clone(),
            claim.key,
            claim.fingerprint,
            claim.nonce,
            version,
        );
        let inner = self.shared.inner.borrow();
        if let Some(local) = inner.local.get(ticket.key()) {
            local.progress.send_replace(Progress::Held);
        }
        drop(inner);
        // A ticket that can't be delivered sets its claim to `not_run` when it is dropped.
        let undelivered = claim.reply.send(ClaimOutcome::Run(ticket));
        mem::drop(undelivered);
    }

    /// Refuses a claim because the store is down.
    ///
    /// If its insert may have taken effect, or may still do so, the row is set to `not_run` once
    /// the store is reachable again.
    fn refuse_store_unavailable(&self, claim: PendingClaim) {
        if !claim.uncertain {
            return self.reply(claim, ClaimOutcome::NotRunStoreDown);
        }
        self.shared.settle(PendingSettlement {
            key: claim.key,
            fingerprint: claim.fingerprint,
            nonce: claim.nonce,
            version: claim.version,
            outcome: ExecutionOutcome::NotRun,
        });
        let _ = claim.reply.send(ClaimOutcome::NotRunStoreDown);
    }

    /// Sends the outcome of a claim that was not made, and removes it from the local claims.
    fn reply(&self, claim: PendingClaim, outcome: ClaimOutcome) {
        let local = self.shared.inner.borrow_mut().local.remove(&*claim.key);
        if let Some(local) = local {
            local
                .progress
                .send_replace(Progress::Refused(outcome.for_duplicate()));
        }
        let _ = claim.reply.send(outcome);
    }

    fn remove_local_claim(&self, key: &Key) {
        self.shared.inner.borrow_mut().local.remove(&**key);
    }
}

impl Batch {
    /// Builds the transaction that writes the rows of all items.
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
