//! What one transaction of the leader stores.

use base::clock;
use batch::{job::Text, progress::Progress};
use store::{long_row, table::Txn};

use crate::{
    cx::Cx,
    leader::Leader,
    rows::{self, FailingRow, PendingRow, PhaseRow},
};

/// Maximum number of writes in one transaction besides those of the commit itself, the pending counts
/// and the failing workers. The store limits a transaction to 100 entries, and checks count as well.
const MAX_WRITES: usize = 94;
/// Maximum size of the values in one transaction, in bytes. The JSON form of a transaction may have
/// 1 MB, and base64 makes the values a third larger.
const MAX_BYTES: usize = 700_000;

/// What one transaction stores.
#[derive(Default)]
pub(crate) struct Batch {
    /// Changes of several jobs.
    pub(crate) changes: Vec<Change>,
    /// The pending counts, if they are to be written.
    pub(crate) counts: Option<PendingRow>,
    /// The failing workers, if they are to be written.
    pub(crate) failing: Option<FailingRow>,
    writes: usize,
    bytes: usize,
}

impl Batch {
    /// Adds a change if the transaction has room for it, and returns whether it was added. The
    /// first change is always added.
    pub(crate) fn add(&mut self, change: Change) -> bool {
        let writes = self.writes + change.txn.writes.len();
        let bytes = self.bytes + change.bytes();
        if !self.changes.is_empty() && (writes > MAX_WRITES || bytes > MAX_BYTES) {
            return false;
        }
        (self.writes, self.bytes) = (writes, bytes);
        self.changes.push(change);
        true
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.counts.is_none() && self.failing.is_none()
    }

    pub(crate) fn txn(&self) -> Txn {
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

    pub(crate) fn has_ends(&self) -> bool {
        self.changes.iter().any(|c| c.kind == ChangeKind::End)
    }

    /// Sets the times of the ends to the current one. Callers see an end once it is stored, which may
    /// be the effect of any attempt.
    pub(crate) fn update_ends(&mut self, cx: &Cx, leader: &Leader) {
        for change in &mut self.changes {
            if let Some(end) = change.end.take() {
                change.write_end(cx, leader, end);
            }
        }
    }
}

/// What a change stores about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeKind {
    /// The progress of an open job.
    Progress,
    /// The end of a job.
    End,
    /// That the job is removed.
    Removal,
}

/// Writes for one job, which belong into one transaction.
pub(crate) struct Change {
    pub(crate) id: Text,
    txn: Txn,
    /// Row of the phase, if the phase changes.
    phase: Option<PhaseRow>,
    /// Progress of an ended job, without the time of the end unless it was known before.
    end: Option<Progress>,
    /// Number of rows that hold the progress after the writes.
    rows: usize,
    pub(crate) kind: ChangeKind,
}

impl Change {
    pub(crate) fn of_progress(cx: &Cx, leader: &Leader, id: Text, progress: &Progress) -> Self {
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

    pub(crate) fn of_removal(leader: &Leader, id: Text) -> Self {
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

    pub(crate) fn mark_stored(self, leader: &Leader) {
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
