//! Commits the scheduler's decisions, then sends the resulting orders.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    job::Text,
    progress::{Phase, Progress},
    scheduler::PendingChanges,
};
use store::table::{Commit, StoreError, Txn};

use crate::{
    cx::{self, Cx},
    leader::Leader,
    orders,
    rows::{self, ChainRow, PendingRow, PhaseRow},
};

/// Maximum number of jobs in one transaction. The store limits a transaction to 100 entries, and
/// there are two for each job and a few more.
const MAX_JOBS: usize = 40;
/// Size of the records in one transaction, in bytes, at which no more are added. The JSON form of a
/// transaction may have 1 MB, and base64 makes the records a third larger.
const MAX_BYTES: usize = 500_000;
/// Delay before a transaction is sent again.
const RETRY_DELAY: Millis = Millis(60);
/// Minimum interval between two writes of the pending counts.
const PENDING_INTERVAL: Millis = Millis(400);

/// Error: the transaction can no longer be committed, because the leadership has ended.
struct LeadershipLost;

/// Commits changes until the leadership ends.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    let mut pending = PendingCounts::default();
    while !leader.ended.get() {
        let batch = leader.scheduler.borrow_mut().take_changes();
        if let Err(LeadershipLost) = commit(&cx, &leader, batch, &mut pending).await {
            cx.lease.borrow_mut().mark_lost();
            cx.wake_lease_task.notify_one();
            return;
        }
        if leader.scheduler.borrow().has_changes() {
            continue;
        }
        tokio::select! {
            () = leader.dirty.notified() => {}
            () = cx::sleep(PENDING_INTERVAL) => {}
        }
    }
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

async fn commit(
    cx: &Cx,
    leader: &Rc<Leader>,
    batch: PendingChanges,
    pending: &mut PendingCounts,
) -> Result<(), LeadershipLost> {
    for (priority, waited) in &batch.started_jobs {
        cx.metrics.record_job_start(*priority, *waited);
    }
    let mut records = batch.records.into_iter().peekable();
    let mut deleted = std::mem::take(&mut *leader.deleted_jobs.borrow_mut());
    let mut counts = pending.to_write(leader);
    while records.peek().is_some() || !deleted.is_empty() || counts.is_some() {
        let mut txn = Txn::default();
        let mut phases = Vec::new();
        let (mut jobs, mut bytes) = (0, 0);
        while jobs < MAX_JOBS && bytes < MAX_BYTES {
            let Some((id, progress)) = records.next() else {
                break;
            };
            jobs += 1;
            bytes += add_rows(leader, &mut txn, &id, &progress, &mut phases);
        }
        if jobs < MAX_JOBS / 2 {
            for id in deleted.drain(..) {
                txn = txn
                    .delete(format!("{}/{id}", rows::PROGRESS))
                    .delete(format!("{}/{id}", rows::PHASES));
            }
        }
        let written = counts.take();
        if let Some(counts) = &written {
            txn = txn.put(rows::PENDING, rows::to_json(counts));
        }
        commit_txn(cx, leader, txn).await?;
        let mut stored = leader.stored_phases.borrow_mut();
        for (id, phase) in phases {
            stored.insert(id, phase);
        }
        if written.is_some() {
            pending.written = written;
            pending.written_at = clock::now();
        }
    }
    leader.scheduler.borrow_mut().mark_committed(&batch.acks);
    leader.committed.notify_waiters();
    orders::send(cx, leader, batch.orders);
    Ok(())
}

/// Adds the rows of a job to the transaction and returns the size of its progress in bytes.
fn add_rows(
    leader: &Leader,
    txn: &mut Txn,
    id: &Text,
    progress: &Progress,
    phases: &mut Vec<(Text, Phase)>,
) -> usize {
    let key = format!("{}/{id}", rows::PROGRESS);
    let old = std::mem::take(txn);
    let mut bytes = 0;
    *txn = if progress.phase.is_final() && !progress.has_runs() {
        old.delete(key)
    } else {
        let value = rows::to_json(progress);
        bytes = value.len();
        old.put(key, value)
    };
    if leader.stored_phases.borrow().get(id) != Some(&progress.phase) {
        let organisation = leader.scheduler.borrow().organisation(id);
        let row = PhaseRow {
            phase: progress.phase,
            organisation,
        };
        let old = std::mem::take(txn);
        *txn = old.put(format!("{}/{id}", rows::PHASES), rows::to_json(&row));
        phases.push((id.clone(), progress.phase));
    }
    bytes
}

/// Commits one transaction as the next link of the commit chain, and retries until it is applied or
/// the leadership ends.
async fn commit_txn(cx: &Cx, leader: &Leader, txn: Txn) -> Result<(), LeadershipLost> {
    let (version, count) = leader.chain.get();
    let link = ChainRow {
        fence: leader.held.fence,
        count: count + 1,
    };
    let txn = txn
        .check(rows::LEASE, leader.held.version)
        .check(rows::CHAIN, version)
        .put(rows::CHAIN, rows::to_json(&link));
    let started = clock::now();
    let mut tries = 0;
    while !leader.ended.get() {
        tries += 1;
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
