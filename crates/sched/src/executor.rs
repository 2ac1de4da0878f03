//! Executor: commits decisions in batches and sends their orders afterwards.

use std::rc::Rc;

use base::clock::{self, Millis};
use store::table::{Commit, Key, StoreError, Txn};

use crate::{
    ctx::{self, Cx},
    leader::Leader,
    lease_task::to_json,
    pace::Pace,
    queue::{Batch, Settled},
    rows,
};

/// Time between two looks at whether a suspended holder may act again.
const SUSPENDED_POLL: Millis = Millis(20);
/// Most tries to find out by reads whether a transaction was applied.
const SETTLE_TRIES: usize = 50;
/// Longest random pause before the backlog of an outage is written, so that schedulers and
/// entries do not all start at once.
const RECOVERY_JITTER_MS: u64 = 500;

/// Most records of one transaction during a recovery.
const RECOVERY_BATCH: usize = 20;
/// Time without a backlog after which a recovery is over.
const RECOVERY_REST: Millis = Millis(1_000);

/// Why a transaction has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Abandoned {
    /// The lease is lost; `maybe` tells whether the transaction may be applied.
    Lost { maybe: bool },
    /// Rows are not as expected, though the lease is held.
    Conflict { keys: Vec<Key> },
}

/// Commits decisions until the leadership ends.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) {
    let mut pace = Pace::default();
    while leader.is_alive() {
        let batch = leader.with(|s| {
            let limit = batch_limit(cx, s.is_recovering(clock::now()));
            s.queue.next_batch(limit)
        });
        match batch.flatten() {
            Some(batch) => commit(cx, leader, batch, &mut pace).await,
            None => leader.work.notified().await,
        }
    }
}

async fn commit(cx: &Cx, leader: &Rc<Leader>, mut batch: Batch, pace: &mut Pace) {
    if !batch.records.is_empty() {
        wait_for_pace(cx, leader, batch.records.len(), pace).await;
    }
    match write(cx, leader, &mut batch).await {
        Ok(version) => {
            let records = std::mem::take(&mut batch.records);
            let written = records.len();
            leader.with(|s| s.committed(version, records));
            let orders = batch.settle(Settled::Committed);
            leader.with(|s| s.send(orders));
            after_outage(cx, leader, written, pace).await;
        }
        Err(Abandoned::Lost { maybe }) => {
            batch.settle(if maybe {
                Settled::Unknown
            } else {
                Settled::Dropped
            });
        }
        Err(Abandoned::Conflict { .. }) => {
            batch.settle(Settled::Unknown);
            cx.end_leadership("a job record is not as expected, the state is rebuilt");
        }
    }
}

/// Returns the most records of one transaction.
fn batch_limit(cx: &Cx, recovering: bool) -> usize {
    if recovering {
        // Large batches would exceed the limit of a second whenever one of them is late.
        cx.cfg.commit.batch.min(RECOVERY_BATCH)
    } else {
        cx.cfg.commit.batch
    }
}

async fn wait_for_pace(cx: &Cx, leader: &Leader, records: usize, pace: &mut Pace) {
    let (commit, now) = (&cx.cfg.commit, clock::now());
    let recovering = leader.with(|s| s.is_recovering(now)).unwrap_or(false);
    let wait = if recovering {
        // A delayed batch does not entitle the next ones to a burst.
        pace.empty(now);
        pace.wait(now, records, commit.recovery_writes_per_s)
    } else {
        pace.wait(now, records, commit.writes_per_s)
    };
    if wait > Millis::ZERO {
        ctx::sleep(wait).await;
    }
}

/// Ends the mark of an outage; the backlog is written at the pace of a recovery.
async fn after_outage(cx: &Cx, leader: &Leader, records: usize, pace: &mut Pace) {
    let now = clock::now();
    let ended = leader.with(|s| {
        let ended = std::mem::take(&mut s.stuck);
        if ended || (now < s.recover_until && !s.queue.is_empty()) {
            s.recover_until = now + RECOVERY_REST;
        }
        ended
    });
    if ended == Some(true) {
        // The first batch was paid for before the outage, but is written now.
        pace.empty(now);
        pace.wait(now, records, cx.cfg.commit.recovery_writes_per_s);
        log::info!("sched: the table takes transactions again");
        ctx::sleep(Millis(fastrand::u64(..RECOVERY_JITTER_MS))).await;
    }
}

/// Commits the records of a batch, whatever it takes, as long as the lease is held.
async fn write(cx: &Cx, leader: &Rc<Leader>, batch: &mut Batch) -> Result<u64, Abandoned> {
    if batch.records.is_empty() {
        wait_acting(cx, leader, false).await?;
        return Ok(0);
    }
    let txn = transaction(cx, leader, batch);
    let started = clock::now();
    let watch = async {
        ctx::sleep(cx.cfg.commit.stuck_ms).await;
        outage(leader, batch);
        std::future::pending::<()>().await;
    };
    let result = tokio::select! {
        result = settle(cx, leader, &txn) => result,
        () = watch => unreachable!("the watch never ends"),
    };
    log::trace!("sched: commit took {}", clock::now().since(started));
    result
}

/// Notes that the table does not take transactions, and sends the stops ahead of their records.
fn outage(leader: &Leader, batch: &mut Batch) {
    log::warn!("sched: a transaction is not settled, stops go ahead of their records");
    let mut stops = batch.take_stops();
    leader.with(|s| {
        s.stuck = true;
        stops.extend(s.queue.take_stops());
        s.send(stops);
    });
}

fn transaction(cx: &Cx, leader: &Leader, batch: &Batch) -> Txn {
    let mut txn = Txn::default().check(cx.lease_key(), leader.held.version);
    for record in &batch.records {
        let (job, key) = (record.key(), rows::job_key(&record.key()));
        let version = leader.with(|s| s.committed.get(&job).map_or(0, |s| s.version));
        // The check keeps a copy of this transaction that arrives late from undoing a later one.
        txn = txn.check(key.clone(), version.unwrap_or(0));
        txn = txn.put(key, to_json(record));
    }
    txn
}

/// Sends a transaction until it is known to be applied, or until the lease is lost.
pub(crate) async fn settle(cx: &Cx, leader: &Leader, txn: &Txn) -> Result<u64, Abandoned> {
    let mut maybe = false;
    loop {
        wait_acting(cx, leader, maybe).await?;
        match cx.table.commit(txn).await {
            Ok(Commit::Done { version }) => return Ok(version),
            Ok(Commit::Conflict { keys }) => return conflict(cx, leader, txn, &keys, maybe).await,
            Err(StoreError::NotDone { reason }) => log::debug!("sched: {reason}"),
            Err(StoreError::Unknown { reason }) => {
                maybe = true;
                log::debug!("sched: {reason}");
            }
        }
        ctx::sleep(cx.cfg.commit.retry_ms).await;
    }
}

async fn conflict(
    cx: &Cx,
    leader: &Leader,
    txn: &Txn,
    keys: &[Key],
    maybe: bool,
) -> Result<u64, Abandoned> {
    if keys.contains(&cx.lease_key()) {
        cx.lose_lease("another scheduler has taken the lease");
        return Err(Abandoned::Lost { maybe });
    }
    if !maybe {
        return Err(Abandoned::Conflict {
            keys: keys.to_vec(),
        });
    }
    // The cause may be an earlier copy of this transaction.
    for _ in 0..SETTLE_TRIES {
        wait_acting(cx, leader, maybe).await?;
        match find_own(cx, txn).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => {
                return Err(Abandoned::Conflict {
                    keys: keys.to_vec(),
                });
            }
            Err(reason) => log::debug!("sched: {reason}"),
        }
        ctx::sleep(cx.cfg.commit.retry_ms).await;
    }
    Err(Abandoned::Conflict {
        keys: keys.to_vec(),
    })
}

/// Reads the last written row back; `None` if it is certainly not as the transaction writes it.
async fn find_own(cx: &Cx, txn: &Txn) -> Result<Option<u64>, StoreError> {
    let Some(write) = txn.writes.last() else {
        return Ok(None);
    };
    let row = cx.table.get(&write.key).await?;
    if let Some(row) = &row
        && Some(&row.value) == write.value.as_ref()
    {
        return Ok(Some(row.version));
    }
    if row.is_none() && write.value.is_none() {
        return Ok(Some(0));
    }
    let version = row.map_or(0, |r| r.version);
    let confirm = Txn::default().check(write.key.clone(), version);
    match cx.table.commit(&confirm).await? {
        Commit::Done { .. } => Ok(None),
        Commit::Conflict { .. } => Err(StoreError::Unknown {
            reason: "the read is stale".into(),
        }),
    }
}

/// Waits until the holder may act; a holder whose renewals fail is suspended until they succeed.
async fn wait_acting(cx: &Cx, leader: &Leader, maybe: bool) -> Result<(), Abandoned> {
    while !cx.is_acting(leader) {
        if !leader.is_alive() {
            return Err(Abandoned::Lost { maybe });
        }
        ctx::sleep(SUSPENDED_POLL).await;
    }
    Ok(())
}
