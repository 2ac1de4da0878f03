//! Executor: commits decisions in batches and then sends their orders.

use std::rc::Rc;

use base::clock::{self, Millis};
use store::table::{Commit, Key, StoreError, Txn};

use crate::{
    ctx::{self, Cx},
    leader::Leader,
    lease_task::to_json,
    queue::{Batch, CommitOutcome},
    rate_limiter::RateLimiter,
    rows,
};

/// Interval at which a suspended holder checks whether it may act again.
const SUSPENDED_POLL: Millis = Millis(20);
/// Maximum number of attempts to find out by reads whether a transaction was applied.
const RESOLVE_TRIES: usize = 50;
/// Maximum random pause before the backlog of an outage is written, so that schedulers and
/// entries do not all start at once.
const RECOVERY_JITTER_MS: u64 = 500;
/// Maximum number of records in one transaction during a recovery.
const RECOVERY_BATCH: usize = 20;
/// Time without a backlog after which a recovery ends.
const RECOVERY_QUIET_TIME: Millis = Millis(1_000);

/// Reason why a transaction was given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommitError {
    /// The lease is lost; `maybe` tells whether the transaction may have been applied.
    Lost { maybe: bool },
    /// Rows have unexpected versions although the lease is held.
    Conflict { keys: Vec<Key> },
}

/// Commits decisions until the leadership ends.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) {
    let mut limiter = RateLimiter::default();
    while leader.is_alive() {
        let batch = leader.with_state(|s| {
            let limit = batch_limit(cx, s.is_recovering(clock::now()));
            s.queue.next_batch(limit)
        });
        match batch.flatten() {
            Some(batch) => commit_batch(cx, leader, batch, &mut limiter).await,
            None => leader.wake_executor.notified().await,
        }
    }
}

async fn commit_batch(cx: &Cx, leader: &Rc<Leader>, mut batch: Batch, limiter: &mut RateLimiter) {
    if !batch.records.is_empty() {
        wait_for_rate_limit(cx, leader, batch.records.len(), limiter).await;
    }
    match commit_records(cx, leader, &mut batch).await {
        Ok(version) => {
            let records = std::mem::take(&mut batch.records);
            let written = records.len();
            leader.with_state(|s| s.record_commit(version, records));
            let orders = batch.finish(CommitOutcome::Committed);
            leader.with_state(|s| s.send(orders));
            end_outage(cx, leader, written, limiter).await;
        }
        Err(CommitError::Lost { maybe }) => {
            batch.finish(if maybe {
                CommitOutcome::Unknown
            } else {
                CommitOutcome::Dropped
            });
        }
        Err(CommitError::Conflict { .. }) => {
            batch.finish(CommitOutcome::Unknown);
            cx.end_leadership("a job record has an unexpected version, the state is rebuilt");
        }
    }
}

/// Returns the maximum number of records in one transaction.
fn batch_limit(cx: &Cx, recovering: bool) -> usize {
    if recovering {
        // A delayed large batch would exceed the rate limit together with the next one.
        cx.cfg.commit.batch.min(RECOVERY_BATCH)
    } else {
        cx.cfg.commit.batch
    }
}

async fn wait_for_rate_limit(cx: &Cx, leader: &Leader, records: usize, limiter: &mut RateLimiter) {
    let (commit, now) = (&cx.cfg.commit, clock::now());
    let recovering = leader.with_state(|s| s.is_recovering(now)).unwrap_or(false);
    let wait = if recovering {
        // A delayed batch must not permit a burst after it.
        limiter.drop_burst(now);
        limiter.reserve(now, records, commit.recovery_writes_per_s)
    } else {
        limiter.reserve(now, records, commit.writes_per_s)
    };
    if wait > Millis::ZERO {
        ctx::sleep(wait).await;
    }
}

/// Ends an outage after a successful commit. The backlog is written at the recovery rate.
async fn end_outage(cx: &Cx, leader: &Leader, records: usize, limiter: &mut RateLimiter) {
    let now = clock::now();
    let ended = leader.with_state(|s| {
        let ended = std::mem::take(&mut s.stuck);
        if ended || (now < s.recover_until && !s.queue.is_empty()) {
            s.recover_until = now + RECOVERY_QUIET_TIME;
        }
        ended
    });
    if ended == Some(true) {
        // The rate limiter counted the first batch before the outage, but it was written now.
        limiter.drop_burst(now);
        limiter.reserve(now, records, cx.cfg.commit.recovery_writes_per_s);
        log::info!("sched: the table accepts transactions again");
        ctx::sleep(Millis(fastrand::u64(..RECOVERY_JITTER_MS))).await;
    }
}

/// Commits the records of a batch, with retries as long as the lease is held.
async fn commit_records(
    cx: &Cx,
    leader: &Rc<Leader>,
    batch: &mut Batch,
) -> Result<u64, CommitError> {
    if batch.records.is_empty() {
        wait_until_acting(cx, leader, false).await?;
        return Ok(0);
    }
    let txn = transaction(cx, leader, batch);
    let started = clock::now();
    let watchdog = async {
        ctx::sleep(cx.cfg.commit.stuck_ms).await;
        begin_outage(leader, batch);
        std::future::pending::<()>().await;
    };
    let result = tokio::select! {
        result = commit_txn(cx, leader, &txn) => result,
        () = watchdog => unreachable!("the watchdog never ends"),
    };
    log::trace!("sched: commit took {}", clock::now().since(started));
    result
}

/// Marks the table as stuck, and sends stop orders before their records are committed.
fn begin_outage(leader: &Leader, batch: &mut Batch) {
    log::warn!(
        "sched: a transaction is stuck, sending stop orders before their records are committed"
    );
    let mut stops = batch.take_stops();
    leader.with_state(|s| {
        s.stuck = true;
        stops.extend(s.queue.take_stops());
        s.send(stops);
    });
}

fn transaction(cx: &Cx, leader: &Leader, batch: &Batch) -> Txn {
    let mut txn = Txn::default().check(cx.lease_key(), leader.held.version);
    for record in &batch.records {
        let (job, key) = (record.key(), rows::job_key(&record.key()));
        let version = leader.with_state(|s| s.committed.get(&job).map_or(0, |s| s.version));
        // The check keeps a delayed copy of this transaction from overwriting a later one.
        txn = txn.check(key.clone(), version.unwrap_or(0));
        txn = txn.put(key, to_json(record));
    }
    txn
}

/// Sends a transaction until it is known to be applied or the lease is lost.
pub(crate) async fn commit_txn(cx: &Cx, leader: &Leader, txn: &Txn) -> Result<u64, CommitError> {
    let mut maybe = false;
    loop {
        wait_until_acting(cx, leader, maybe).await?;
        match cx.table.commit(txn).await {
            Ok(Commit::Done { version }) => return Ok(version),
            Ok(Commit::Conflict { keys }) => {
                return resolve_conflict(cx, leader, txn, &keys, maybe).await;
            }
            Err(StoreError::NotDone { reason } | StoreError::Rejected { reason }) => {
                log::debug!("sched: a transaction was not applied: {reason}");
            }
            Err(StoreError::Unknown { reason }) => {
                maybe = true;
                log::debug!("sched: outcome of a transaction is unknown: {reason}");
            }
        }
        ctx::sleep(cx.cfg.commit.retry_ms).await;
    }
}

/// Finds out whether a transaction that met a conflict was applied by an earlier attempt.
async fn resolve_conflict(
    cx: &Cx,
    leader: &Leader,
    txn: &Txn,
    keys: &[Key],
    maybe: bool,
) -> Result<u64, CommitError> {
    if keys.contains(&cx.lease_key()) {
        cx.lose_lease("another scheduler has taken the lease");
        return Err(CommitError::Lost { maybe });
    }
    if !maybe {
        return Err(CommitError::Conflict {
            keys: keys.to_vec(),
        });
    }
    // An earlier copy of this transaction may have caused the conflict.
    for _ in 0..RESOLVE_TRIES {
        wait_until_acting(cx, leader, maybe).await?;
        match find_applied(cx, txn).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => {
                return Err(CommitError::Conflict {
                    keys: keys.to_vec(),
                });
            }
            Err(reason) => log::debug!("sched: read after a conflict failed: {reason}"),
        }
        ctx::sleep(cx.cfg.commit.retry_ms).await;
    }
    Err(CommitError::Conflict {
        keys: keys.to_vec(),
    })
}

/// Reads the last row that the transaction writes and returns its version if the transaction was
/// applied; `None` if it certainly was not.
async fn find_applied(cx: &Cx, txn: &Txn) -> Result<Option<u64>, StoreError> {
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

/// Waits until the holder may act. A holder whose renewals fail is suspended until they succeed.
async fn wait_until_acting(cx: &Cx, leader: &Leader, maybe: bool) -> Result<(), CommitError> {
    while !cx.is_acting(leader) {
        if !leader.is_alive() {
            return Err(CommitError::Lost { maybe });
        }
        ctx::sleep(SUSPENDED_POLL).await;
    }
    Ok(())
}
