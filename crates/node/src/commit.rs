//! Commits the scheduler's decisions, then sends the resulting orders.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    job::Text,
    outbox::{self, Outbox, Released},
    progress::Progress,
};
use lease::table::HeartbeatRow;
use store::{
    long_row,
    table::{Commit, StoreError, Txn},
};

use crate::{
    cx::{self, Cx},
    leader::Leader,
    orders,
    rows::{self, ChainRow, FailingRow, PendingRow, PhaseRow},
};

/// Maximum number of writes in one transaction besides those of [`commit_txn`], the pending counts and
/// the failing workers. The store limits a transaction to 100 entries, and checks count as well.
const MAX_WRITES: usize = 94;
/// Maximum size of the values in one transaction, in bytes. The JSON form of a transaction may have
/// 1 MB, and base64 makes the values a third larger.
const MAX_BYTES: usize = 700_000;
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

/// What one transaction stores.
#[derive(Default)]
struct Batch {
    /// Changes of several jobs.
    changes: Vec<Change>,
    /// The pending counts, if they are to be written.
    counts: Option<PendingRow>,
    /// The failing workers, if they are to be written.
    failing: Option<FailingRow>,
    writes: usize,
    bytes: usize,
}

impl Batch {
    /// Adds a change if the transaction has room for it, and returns whether it was added. The
    /// first change is always added.
    fn add(&mut self, change: Change) -> bool {
        let writes = self.writes + change.txn.writes.len();
        let bytes = self.bytes + change.bytes();
        if !self.changes.is_empty() && (writes > MAX_WRITES || bytes > MAX_BYTES) {
            return false;
        }
        (self.writes, self.bytes) = (writes, bytes);
        self.changes.push(change);
        true
    }

    const fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.counts.is_none() && self.failing.is_none()
    }

    fn txn(&self) -> Txn {
        let mut txn = Txn::default();
        for change in &self.changes {
            txn.writes.extend(change.txn.writes.iter().cloned());
        }
        if let Some(counts) = &self.counts {
            txn = txn.put(rows::PENDING, rows::to_json(counts));
        }
        if let Some(failing) = &self.failing {
            txn = txn.put(rows::FAILING, rows::to_json(failing));
        }
        txn
    }

    fn has_ends(&self) -> bool {
        self.changes.iter().any(|c| c.kind == ChangeKind::End)
    }

    /// Sets the times of the ends to the current one. Callers see an end once it is stored, which may
    /// be the effect of any attempt.
    fn update_ends(&mut self, cx: &Cx, leader: &Leader) {
        for change in &mut self.changes {
            if let Some(end) = change.end.take() {
                change.write_end(cx, leader, end);
            }
        }
    }
}

/// What a change stores about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChangeKind {
    /// The progress of an open job.
    Progress,
    /// The end of a job.
    End,
    /// That the job is removed.
    Removal,
}

/// Writes for one job, which belong into one transaction.
struct Change {
    id: Text,
    txn: Txn,
    /// Row of the phase, if the phase changes.
    phase: Option<PhaseRow>,
    /// Progress of an ended job, without the time of the end unless it was known before.
    end: Option<Progress>,
    /// Number of rows that hold the progress after the writes.
    rows: usize,
    kind: ChangeKind,
}

impl Change {
    fn of_progress(cx: &Cx, leader: &Leader, id: Text, progress: &Progress) -> Self {
        let phase = Some(progress.phase);
        let phase = phase.filter(|p| leader.stored_phases.borrow().get(&id) != Some(p));
        let phase = phase.map(|phase| PhaseRow {
            phase,
            organisation: leader.scheduler.borrow().organisation(&id),
            ended_at: None,
        });
        let mut change = Self {
            id,
            txn: Txn::default(),
            phase,
            end: None,
            rows: 0,
            kind: ChangeKind::Progress,
        };
        if progress.phase.is_final() {
            change.kind = ChangeKind::End;
            change.write_end(cx, leader, progress.of_ended_job(None));
        } else {
            change.write(cx, leader, progress);
        }
        change
    }

    /// Writes the end of a job with the current time, unless its time was known before.
    fn write_end(&mut self, cx: &Cx, leader: &Leader, end: Progress) {
        let mut stored = end.of_ended_job(cx.store_clock.now());
        if end.ended_at.is_none() {
            // A leader of the version before counts from this time.
            stored.at = clock::wall();
        }
        if let Some(row) = &mut self.phase {
            row.ended_at = stored.ended_at;
        }
        self.write(cx, leader, &stored);
        self.end = Some(end);
    }

    fn write(&mut self, cx: &Cx, leader: &Leader, progress: &Progress) {
        let key = format!("{}/{}", rows::PROGRESS, self.id);
        let stored = stored_rows(leader, &self.id);
        let (value, max) = (rows::to_json(progress), cx.cfg.row_bytes);
        let (mut txn, count) = long_row::put(Txn::default(), &key, &value, max, stored);
        if let Some(row) = &self.phase {
            txn = txn.put(format!("{}/{}", rows::PHASES, self.id), rows::to_json(row));
        }
        self.txn = txn;
        self.rows = count;
    }

    fn of_removal(leader: &Leader, id: Text) -> Self {
        let key = format!("{}/{id}", rows::PROGRESS);
        let stored = stored_rows(leader, &id);
        let txn = long_row::delete(Txn::default(), &key, 0..stored.max(1));
        Self {
            txn: txn.delete(format!("{}/{id}", rows::PHASES)),
            id,
            phase: None,
            end: None,
            rows: 0,
            kind: ChangeKind::Removal,
        }
    }

    fn bytes(&self) -> usize {
        let values = self.txn.writes.iter().flat_map(|w| &w.value);
        values.map(String::len).sum()
    }

    fn mark_stored(self, leader: &Leader) {
        if self.kind == ChangeKind::Removal {
            leader.progress_rows.borrow_mut().remove(&self.id);
            leader.stored_phases.borrow_mut().remove(&self.id);
            if leader.has_skipped_jobs.take() {
                leader.read_again.notify_one();
            }
            return;
        }
        leader
            .progress_rows
            .borrow_mut()
            .insert(self.id.clone(), self.rows);
        if let Some(row) = self.phase {
            leader.stored_phases.borrow_mut().insert(self.id, row.phase);
        }
    }
}

/// Returns the number of rows that hold the stored progress of a job.
fn stored_rows(leader: &Leader, id: &str) -> usize {
    leader.progress_rows.borrow().get(id).copied().unwrap_or(0)
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
