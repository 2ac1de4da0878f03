//! Commits the scheduler's decisions, then sends the resulting orders.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    job::Text,
    outbox::{self, Outbox, Released},
    speed_report::StoredForecast,
};
use lease::table::HeartbeatRow;
use store::table::{Commit, StoreError, Txn};

use crate::{
    changes::{Batch, Change, ChangeKind, Content},
    cx::{self, Cx},
    leader::Leader,
    orders, pending,
    rows::{self, ChainRow, FailingRow, PendingRow},
};

/// First sequence number of the heartbeats that commits write. Those of the lease task are lower, so
/// that no two heartbeats of a process are equal.
const COMMIT_COUNTS: u64 = 1 << 40;
/// Time for which the progress of a job is not stored after it turned out to be too long.
const HOLD_BACK_TIME: Millis = Millis(5_000);
/// Pause after a commit that stored only checkpoints.
const CHECKPOINT_PAUSE: Millis = Millis(50);
/// Delay before a transaction is sent again.
const RETRY_DELAY: Millis = Millis(60);
/// Minimum interval between two writes of the pending counts.
const PENDING_INTERVAL: Millis = Millis(400);

/// Minimum interval between two writes of the forecast.
const FORECAST_INTERVAL: Millis = Millis(3_000);

/// Reason why a transaction was not committed.
enum CommitError {
    /// It can no longer be committed, because the leadership has ended.
    LeadershipLost,
    /// The store rejects it for good.
    Rejected,
}

/// Commits changes until the leadership ends. New changes are taken after each transaction, so that
/// orders do not wait until everything that was decided before is stored.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    let mut outbox = Outbox::default();
    let mut pending = PendingCounts::default();
    // Number of items to store one by one, to find the one that the store rejects.
    let mut singles: usize = 0;
    while !leader.ended.get() {
        let changes = leader.scheduler.borrow_mut().take_changes();
        for (priority, waited) in &changes.started_jobs {
            cx.metrics.record_job_start(*priority, *waited);
        }
        for end in &changes.worker_ends {
            cx.metrics.count_worker_end(*end);
        }
        release(&cx, &leader, outbox.add(changes, clock::now()));
        let content = if singles > 0 {
            Content::One
        } else {
            Content::Many
        };
        let mut batch = next_batch(&cx, &leader, &outbox, &pending, content);
        if !batch.is_empty() {
            let pause = match commit_txn(&cx, &leader, &mut batch).await {
                Ok(()) => {
                    log_ends(&cx, &leader, &batch);
                    singles = singles.saturating_sub(1);
                    record_stored(&cx, &leader, &mut outbox, &mut pending, batch)
                }
                Err(CommitError::Rejected) if batch.is_single() => {
                    singles = 0;
                    skip_rejected(&cx, &leader, &mut pending, batch);
                    Millis::ZERO
                }
                Err(CommitError::Rejected) => {
                    singles = batch.len();
                    Millis::ZERO
                }
                Err(CommitError::LeadershipLost) => {
                    cx.lease.borrow_mut().mark_lost();
                    cx.wake_lease_task.notify_one();
                    return;
                }
            };
            if pause > Millis::ZERO {
                cx::sleep(pause).await;
            }
            if has_more(&leader, &outbox) {
                continue;
            }
        }
        tokio::select! {
            () = leader.dirty.notified() => {}
            () = cx::sleep(wait(&leader, &outbox)) => {}
        }
    }
}

/// Returns the time until something may have to be stored.
fn wait(leader: &Leader, outbox: &Outbox) -> Millis {
    let next = outbox.next_at(leader.window.deferral());
    // What is due and was not stored is held back.
    let wait = next.map(|t| t.since(clock::now()));
    let wait = wait.filter(|w| *w > Millis::ZERO);
    wait.unwrap_or(PENDING_INTERVAL).min(PENDING_INTERVAL)
}

/// Returns whether more is to be stored at once.
fn has_more(leader: &Leader, outbox: &Outbox) -> bool {
    let next = outbox.next_at(leader.window.deferral());
    next.is_some_and(|t| t <= clock::now())
        || !leader.deleted_jobs.borrow().is_empty()
        || leader.scheduler.borrow().has_changes()
        || leader.checkpoints.borrow().has_due(clock::now())
}

/// Sends orders and allows acknowledgements whose jobs are stored.
fn release(cx: &Cx, leader: &Rc<Leader>, released: Released) {
    leader.scheduler.borrow_mut().mark_committed(&released.acks);
    leader.committed.notify_waiters();
    orders::send(cx, leader, released.orders);
}

/// The pending counts as last written: for each queue, the number of jobs that have not started.
#[derive(Default)]
struct PendingCounts {
    written: Option<PendingRow>,
    written_at: Millis,
}

impl PendingCounts {
    /// Returns the current counts if they have to be written.
    fn to_write(&self, leader: &Leader) -> Option<PendingRow> {
        if self.written.is_some() && clock::now().since(self.written_at) < PENDING_INTERVAL {
            return None;
        }
        let counts = pending::count(leader)?;
        (self.written.as_ref() != Some(&counts)).then_some(counts)
    }

    fn mark_written(&mut self, leader: &Leader, counts: Option<PendingRow>) {
        if counts.is_some() {
            self.written = counts;
            self.written_at = clock::now();
            leader.counted_at.set(self.written_at);
        }
    }
}

/// Returns as many changes as one transaction holds, or one if `content` says so.
fn next_batch(
    cx: &Cx,
    leader: &Leader,
    outbox: &Outbox,
    pending: &PendingCounts,
    content: Content,
) -> Batch {
    let mut batch = Batch::new(content);
    for (id, progress) in outbox.due(clock::now(), leader.window.deferral()) {
        if is_held_back(leader, id) {
            continue;
        }
        let change = Change::of_progress(cx, leader, id.clone(), progress);
        let bytes = change.bytes();
        if batch.add(change) {
            continue;
        }
        if batch.has_changes() {
            break;
        }
        hold_back(cx, leader, id, bytes);
    }
    for id in leader.deleted_jobs.borrow().iter() {
        if !batch.add(Change::of_removal(leader, id.clone())) {
            break;
        }
    }
    batch.add_counts(cx, pending.to_write(leader));
    batch.add_failing(failing_to_write(leader), cx.cfg.row_bytes);
    if content == Content::Many && batch.has_changes() {
        batch.add_forecast(forecast_to_write(leader), cx.cfg.row_bytes);
    }
    batch.add_checkpoints(leader);
    batch
}

/// Returns whether the progress of a job is not to be stored for now.
fn is_held_back(leader: &Leader, id: &str) -> bool {
    let held_back = leader.held_back.borrow();
    held_back.get(id).is_some_and(|until| clock::now() < *until)
}

/// Holds back the progress of a job that can't be stored. The job's orders wait for it, and those of
/// other jobs do not. It gets shorter when runs of the job end.
fn hold_back(cx: &Cx, leader: &Leader, id: &Text, bytes: usize) {
    let retry_ms = HOLD_BACK_TIME.0;
    log::error!(job:% = id, bytes, retry_ms; "commit: the progress of the job can't be stored");
    cx.metrics.count_unstored("progress", 1);
    let until = clock::now() + HOLD_BACK_TIME;
    leader.held_back.borrow_mut().insert(id.clone(), until);
}

/// Records that a batch is stored, and sends what waited for it. Returns the pause before the next
/// commit.
fn record_stored(
    cx: &Cx,
    leader: &Rc<Leader>,
    outbox: &mut Outbox,
    pending: &mut PendingCounts,
    batch: Batch,
) -> Millis {
    let (mut ended, mut stored, mut removed) = (Vec::new(), Vec::new(), 0);
    for change in &batch.changes {
        match change.kind {
            ChangeKind::Progress => stored.push(change.id.clone()),
            ChangeKind::End => {
                stored.push(change.id.clone());
                ended.push(change.id.clone());
            }
            ChangeKind::Removal => removed += 1,
        }
    }
    if let Some(now) = cx.store_clock.now() {
        leader
            .scheduler
            .borrow_mut()
            .record_stored_ends(&ended, now);
    }
    let pause = if batch.has_changes() {
        outbox::pause_after(batch.encoded_in)
    } else {
        CHECKPOINT_PAUSE
    };
    for change in batch.changes {
        change.mark_stored(leader);
    }
    leader.deleted_jobs.borrow_mut().drain(..removed);
    let mut checkpoints = leader.checkpoints.borrow_mut();
    checkpoints.mark_stored(&batch.checkpoints, clock::now());
    drop(checkpoints);
    pending.mark_written(leader, batch.counts);
    if let Some(failing) = batch.failing {
        *leader.stored_failing.borrow_mut() = failing;
    }
    if let Some(forecast) = batch.forecast {
        *leader.stored_forecast.borrow_mut() = forecast;
    }
    release(cx, leader, outbox.mark_stored(&stored));
    pause
}

/// Logs the ends of jobs that are stored now, from when on callers see them.
fn log_ends(cx: &Cx, leader: &Leader, batch: &Batch) {
    let version = leader.chain.get().0;
    for (id, phase, waited) in batch.ends() {
        cx.metrics.record_stored_end(waited);
        log::info!(
            job:% = id, phase:%, version, fence = leader.held.fence, waited_ms = waited.0;
            "commit: end stored"
        );
    }
}

/// Handles a transaction of one item that the store rejects for good, so that it holds up no other one.
fn skip_rejected(cx: &Cx, leader: &Leader, pending: &mut PendingCounts, batch: Batch) {
    for change in &batch.changes {
        match change.kind {
            ChangeKind::Progress | ChangeKind::End => {
                hold_back(cx, leader, &change.id, change.bytes());
            }
            ChangeKind::Removal => {
                log::error!(job:% = change.id; "commit: the rows of the job can't be deleted");
                leader.deleted_jobs.borrow_mut().remove(0);
            }
        }
    }
    let mut checkpoints = leader.checkpoints.borrow_mut();
    checkpoints.mark_stored(&batch.checkpoints, clock::now());
    cx.metrics
        .count_unstored("checkpoint", batch.checkpoints.len());
    pending.mark_written(leader, batch.counts);
    if let Some(failing) = batch.failing {
        *leader.stored_failing.borrow_mut() = failing;
    }
}

/// Returns the failing workers if they are not stored as they are.
fn failing_to_write(leader: &Leader) -> Option<FailingRow> {
    let failing = leader.scheduler.borrow().failing_workers();
    (*leader.stored_failing.borrow() != failing).then_some(failing)
}

/// Returns the forecast if it differs materially from the stored one. That is looked at once in
/// [`FORECAST_INTERVAL`], also if the store rejects the row.
fn forecast_to_write(leader: &Leader) -> Option<StoredForecast> {
    let now = clock::now();
    if now.since(leader.forecast_checked_at.get()) < FORECAST_INTERVAL {
        return None;
    }
    leader.forecast_checked_at.set(now);
    let scheduler = leader.scheduler.borrow();
    scheduler.forecast_to_store(&leader.stored_forecast.borrow(), now)
}

/// Commits one transaction as the next link of the commit chain, and retries until it is applied or
/// the leadership ends.
async fn commit_txn(cx: &Cx, leader: &Leader, batch: &mut Batch) -> Result<(), CommitError> {
    let (version, count) = leader.chain.get();
    let link = ChainRow {
        fence: leader.held.fence,
        count: count + 1,
    };
    // Each commit also renews the lease, because a slow store applies only a few transactions a
    // second. The chain row comes last: it shows whether a commit without an answer was applied.
    let heartbeat = HeartbeatRow {
        holder: cx.candidate.id,
        count: COMMIT_COUNTS + link.count,
    };
    let link_txn = |txn: Txn| {
        txn.check(rows::LEASE, leader.held.version)
            .check(rows::CHAIN, version)
            .put(rows::HEARTBEAT, rows::to_json(&heartbeat))
            .put(rows::CHAIN, rows::to_json(&link))
    };
    let mut txn = link_txn(batch.txn());
    let started = clock::now();
    let mut tries = 0;
    while !leader.ended.get() {
        // A commit after the release of the lease would write the heartbeat row again, and the other
        // candidates would wait until it is old.
        if cx.lease.borrow().held() != Some(leader.held) {
            break;
        }
        tries += 1;
        if tries > 1 && batch.has_ends() {
            batch.update_ends(cx, leader);
            txn = link_txn(batch.txn());
        }
        let sent = clock::now();
        let result = cx.table.commit(&txn).await;
        let outcome = match &result {
            Ok(Commit::Done { .. }) => "done",
            Ok(Commit::Conflict { .. }) => "conflict",
            Err(StoreError::NotDone { .. }) => "not_done",
            Err(StoreError::Rejected { .. }) => "rejected",
            Err(StoreError::Unknown { .. }) => "unknown",
        };
        cx.metrics.record_commit(outcome, clock::now().since(sent));
        match result {
            Ok(Commit::Done { version }) => {
                leader.chain.set((version, link.count));
                // All attempts write the same heartbeat, and the first one may have been applied.
                cx.lease.borrow_mut().record_renewal(leader.held, started);
                let ms = clock::now().since(started).0;
                log::debug!(count = link.count, tries, ms; "commit: done");
                return Ok(());
            }
            Ok(Commit::Conflict { keys }) => {
                if keys.iter().any(|k| &**k == rows::LEASE) {
                    return Err(CommitError::LeadershipLost);
                }
                // An earlier attempt may have been applied although its answer was lost.
                if let Some(version) = read_back(cx, link).await? {
                    leader.chain.set((version, link.count));
                    log::info!(count = link.count, tries; "commit: an earlier attempt was applied");
                    return Ok(());
                }
            }
            Err(StoreError::Rejected { reason }) => {
                let items = batch.len();
                log::error!(count = link.count, tries, items, reason; "commit: the store rejects the transaction");
                return Err(CommitError::Rejected);
            }
            Err(e @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) => {
                log::info!(count = link.count, tries, reason:% = e; "commit: attempt failed");
            }
        }
        cx::sleep(RETRY_DELAY).await;
    }
    Err(CommitError::LeadershipLost)
}

/// Returns the version of the chain row if its content is `link`, or `None` if the row can't be
/// read.
async fn read_back(cx: &Cx, link: ChainRow) -> Result<Option<u64>, CommitError> {
    let (_, key) = rows::CHAIN.split_once('/').unwrap_or_default();
    let row = match cx.table.get_row(rows::CONTROL, key).await {
        Ok(row) => row,
        Err(e) => {
            log::info!(reason:% = e; "commit: failed to read the chain row");
            return Ok(None);
        }
    };
    let found = row.as_ref().and_then(rows::from_json::<ChainRow>);
    if found == Some(link) {
        return Ok(row.map(|r| r.version));
    }
    log::warn!(
        fence = link.fence, count = link.count, found_fence = found.map(|f| f.fence),
        found_count = found.map(|f| f.count);
        "commit: another process has committed"
    );
    Err(CommitError::LeadershipLost)
}
