//! Commits the scheduler's decisions, then sends the resulting orders.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    job::Text,
    outbox::{self, Outbox, Released},
};
use lease::table::HeartbeatRow;
use store::table::{Commit, StoreError, Txn};

use crate::{
    changes::{Batch, Change, ChangeKind},
    cx::{self, Cx},
    leader::Leader,
    orders,
    rows::{self, ChainRow, FailingRow, PendingRow},
};

/// First sequence number of the heartbeats that commits write. Those of the lease task are lower, so
/// that no two heartbeats of a process are equal.
const COMMIT_COUNTS: u64 = 1 << 40;
/// Delay before a transaction is sent again.
const RETRY_DELAY: Millis = Millis(60);
/// Minimum interval between two writes of the pending counts.
const PENDING_INTERVAL: Millis = Millis(400);

/// Error: the transaction can no longer be committed, because the leadership has ended.
struct LeadershipLost;

/// Commits changes until the leadership ends. New changes are taken after each transaction, so that
/// orders do not wait until everything that was decided before is stored.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    let mut outbox = Outbox::default();
    let mut pending = PendingCounts::default();
    while !leader.ended.get() {
        let changes = leader.scheduler.borrow_mut().take_changes();
        for (priority, waited) in &changes.started_jobs {
            cx.metrics.record_job_start(*priority, *waited);
        }
        for end in &changes.worker_ends {
            cx.metrics.count_worker_end(*end);
        }
        release(&cx, &leader, outbox.add(changes));
        let result = commit_next(&cx, &leader, &mut outbox, &mut pending).await;
        let Ok(pause) = result else {
            cx.lease.borrow_mut().mark_lost();
            cx.wake_lease_task.notify_one();
            return;
        };
        if pause > Millis::ZERO {
            cx::sleep(pause).await;
        }
        let has_more = !outbox.is_empty() || !leader.deleted_jobs.borrow().is_empty();
        if has_more || leader.scheduler.borrow().has_changes() {
            continue;
        }
        tokio::select! {
            () = leader.dirty.notified() => {}
            () = cx::sleep(PENDING_INTERVAL) => {}
        }
    }
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
        let counts = leader.scheduler.borrow().queued_jobs_by_queue();
        (self.written.as_ref() != Some(&counts)).then_some(counts)
    }
}

/// Commits as many changes as one transaction holds. Returns the pause before the next commit.
async fn commit_next(
    cx: &Cx,
    leader: &Rc<Leader>,
    outbox: &mut Outbox,
    pending: &mut PendingCounts,
) -> Result<Millis, LeadershipLost> {
    let started = clock::now();
    let mut batch = Batch::default();
    for (id, progress) in outbox.in_order() {
        if !batch.add(Change::of_progress(cx, leader, id.clone(), progress)) {
            break;
        }
    }
    let stored: Vec<Text> = batch.changes.iter().map(|c| c.id.clone()).collect();
    let mut removed = 0;
    for id in leader.deleted_jobs.borrow().iter() {
        if !batch.add(Change::of_removal(leader, id.clone())) {
            break;
        }
        removed += 1;
    }
    batch.counts = pending.to_write(leader);
    batch.failing = failing_to_write(leader);
    if batch.is_empty() {
        return Ok(Millis::ZERO);
    }
    let encoded_in = clock::now().since(started);
    commit_txn(cx, leader, &mut batch).await?;
    let ended = batch.changes.iter().filter(|c| c.kind == ChangeKind::End);
    let ended: Vec<Text> = ended.map(|c| c.id.clone()).collect();
    if let Some(now) = cx.store_clock.now() {
        leader
            .scheduler
            .borrow_mut()
            .record_stored_ends(&ended, now);
    }
    for change in batch.changes {
        change.mark_stored(leader);
    }
    leader.deleted_jobs.borrow_mut().drain(..removed);
    if batch.counts.is_some() {
        pending.written = batch.counts;
        pending.written_at = clock::now();
    }
    if let Some(failing) = batch.failing {
        *leader.stored_failing.borrow_mut() = failing;
    }
    release(cx, leader, outbox.mark_stored(&stored));
    Ok(outbox::pause_after(encoded_in))
}

/// Returns the failing workers if they are not stored as they are.
fn failing_to_write(leader: &Leader) -> Option<FailingRow> {
    let failing = leader.scheduler.borrow().failing_workers();
    (*leader.stored_failing.borrow() != failing).then_some(failing)
}

/// Commits one transaction as the next link of the commit chain, and retries until it is applied or
/// the leadership ends.
async fn commit_txn(cx: &Cx, leader: &Leader, batch: &mut Batch) -> Result<(), LeadershipLost> {
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
                    return Err(LeadershipLost);
                }
                // An earlier attempt may have been applied although its answer was lost.
                if let Some(version) = read_back(cx, link).await? {
                    leader.chain.set((version, link.count));
                    log::info!(count = link.count, tries; "commit: an earlier attempt was applied");
                    return Ok(());
                }
            }
            Err(e @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) => {
                log::info!(count = link.count, tries, reason:% = e; "commit: attempt failed");
            }
        }
        cx::sleep(RETRY_DELAY).await;
    }
    Err(LeadershipLost)
}

/// Returns the version of the chain row if its content is `link`, or `None` if the row can't be
/// read.
async fn read_back(cx: &Cx, link: ChainRow) -> Result<Option<u64>, LeadershipLost> {
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
    log::warn!(expected:? = link, found:?; "commit: another process has committed");
    Err(LeadershipLost)
}
