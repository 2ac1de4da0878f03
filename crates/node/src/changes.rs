//! What one transaction of the leader stores.

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::{
    job::Text,
    progress::{Phase, Progress},
    speed_report::StoredForecast,
};
use serde::Serialize;
use store::{long_row, table::Txn};

use crate::{
    checkpoints::CheckpointWrite,
    cx::Cx,
    leader::Leader,
    pending,
    rows::{self, FailingRow, PendingRow, PhaseRow},
};

/// Maximum number of writes in one transaction besides those of the commit itself: two checks and two
/// writes. The store limits a transaction to 100 entries.
const MAX_WRITES: usize = 96;
/// Maximum size of the values in one transaction, in bytes. The JSON form of a transaction may have
/// 1 MB, and base64 makes the values a third larger.
const MAX_BYTES: usize = 700_000;

/// Size of an entry of a row besides its name and its number: a colon and a comma, or the braces.
const ENTRY_BYTES: usize = 2;
/// Maximum size of the progress of a job, in bytes, so that one transaction holds it with the phase of
/// the job.
const MAX_PROGRESS_BYTES: usize = MAX_BYTES - 1_000;

/// How much one transaction stores.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Content {
    /// As much as it has room for.
    #[default]
    Many,
    /// One item: a change, or one of the others.
    One,
}

/// What one transaction stores.
pub(crate) struct Batch {
    content: Content,
    began: Millis,
    /// Time that it took to encode the changes.
    pub(crate) encoded_in: Millis,
    /// Changes of several jobs.
    pub(crate) changes: Vec<Change>,
    /// The pending counts, if they are to be written.
    pub(crate) counts: Option<PendingRow>,
    /// The failing workers, if they are to be written.
    pub(crate) failing: Option<FailingRow>,
    pub(crate) checkpoints: Vec<CheckpointWrite>,
    /// The forecast, if it is written with the other changes.
    pub(crate) forecast: Option<StoredForecast>,
    /// Encoded rows of the counts, the failing workers and the forecast.
    others: Vec<(&'static str, String)>,
    writes: usize,
    bytes: usize,
}

impl Batch {
    pub(crate) fn new(content: Content) -> Self {
        Self {
            content,
            began: clock::now(),
            encoded_in: Millis::ZERO,
            changes: Vec::new(),
            counts: None,
            failing: None,
            checkpoints: Vec::new(),
            forecast: None,
            others: Vec::new(),
            writes: 0,
            bytes: 0,
        }
    }

    /// Returns the number of items.
    pub(crate) fn len(&self) -> usize {
        let others = [
            self.counts.is_some(),
            self.failing.is_some(),
            self.forecast.is_some(),
        ];
        let others = others.into_iter().filter(|is_added| *is_added).count();
        self.changes.len() + others + self.checkpoints.len()
    }

    pub(crate) fn is_single(&self) -> bool {
        self.len() == 1
    }

    /// Returns whether there is room for values of some bytes in some rows.
    fn has_room(&self, writes: usize, bytes: usize) -> bool {
        let is_allowed = self.content == Content::Many || self.is_empty();
        is_allowed && self.writes + writes <= MAX_WRITES && self.bytes + bytes <= MAX_BYTES
    }

    /// Adds a change if the transaction has room for it, and returns whether it was added.
    pub(crate) fn add(&mut self, change: Change) -> bool {
        let (writes, bytes) = (change.txn.writes.len(), change.bytes());
        if !self.has_room(writes, bytes) {
            return false;
        }
        self.writes += writes;
        self.bytes += bytes;
        self.changes.push(change);
        self.encoded_in = clock::now().since(self.began);
        true
    }

    /// Adds the pending counts, if they are to be written and there is room for them.
    pub(crate) fn add_counts(&mut self, cx: &Cx, counts: Option<PendingRow>) {
        let Some(counts) = counts else {
            return;
        };
        let row = pending::dated(cx, counts.clone());
        let added = self.add_row(rows::PENDING, row, cx.cfg.row_bytes);
        self.counts = added.map(|_| counts);
    }

    /// Adds the failing workers, if they are to be written and there is room for them.
    pub(crate) fn add_failing(&mut self, failing: Option<FailingRow>, row_bytes: usize) {
        self.failing = failing.and_then(|failing| self.add_row(rows::FAILING, failing, row_bytes));
    }

    /// Adds the forecast if it is to be written, is not too long and there is room for it. The next leader
    /// can learn it anew, so it is no reason for a transaction of its own.
    pub(crate) fn add_forecast(&mut self, forecast: Option<StoredForecast>, row_bytes: usize) {
        let Some(forecast) = forecast.filter(|_| self.has_changes()) else {
            return;
        };
        let value = rows::to_json(&forecast);
        if value.len() > row_bytes {
            log::warn!(bytes = value.len(), row_bytes; "commit: the forecast is longer than a row");
        } else if self.has_room(1, value.len()) {
            self.writes += 1;
            self.bytes += value.len();
            self.others.push((rows::FORECAST, value));
            self.forecast = Some(forecast);
        }
    }

    /// Adds a row with as many of the entries as it holds.
    fn add_row<T: Serialize>(
        &mut self,
        key: &'static str,
        entries: SortedMap<Text, T>,
        row_bytes: usize,
    ) -> Option<SortedMap<Text, T>> {
        let mut value = rows::to_json(&entries);
        if value.len() > row_bytes {
            let mut bytes = ENTRY_BYTES;
            let kept = entries.iter().take_while(|(name, number)| {
                bytes += rows::to_json(name).len() + rows::to_json(number).len() + ENTRY_BYTES;
                bytes <= row_bytes
            });
            let kept: SortedMap<&Text, &T> = kept.collect();
            let (all, kept_count) = (entries.len(), kept.len());
            log::warn!(row = key, all, kept = kept_count; "commit: a row has no room for all entries");
            value = rows::to_json(&kept);
        }
        if !self.has_room(1, value.len()) {
            return None;
        }
        self.writes += 1;
        self.bytes += value.len();
        self.others.push((key, value));
        Some(entries)
    }

    /// Adds checkpoints of jobs whose progress is stored without them.
    pub(crate) fn add_checkpoints(&mut self, leader: &Leader) {
        let (writes, bytes) = (MAX_WRITES - self.writes, MAX_BYTES - self.bytes);
        let writes = match self.content {
            Content::Many => writes,
            Content::One => usize::from(self.is_empty()),
        };
        let checkpoints = leader.checkpoints.borrow();
        self.checkpoints = checkpoints.due(clock::now(), writes, bytes);
    }

    pub(crate) const fn is_empty(&self) -> bool {
        !self.has_changes() && self.checkpoints.is_empty()
    }

    /// Returns whether anything but checkpoints is stored.
    pub(crate) const fn has_changes(&self) -> bool {
        !self.changes.is_empty() || self.counts.is_some() || self.failing.is_some()
    }

    pub(crate) fn txn(&self) -> Txn {
        let mut txn = Txn::default();
        for change in &self.changes {
            txn.writes.extend(change.txn.writes.iter().cloned());
        }
        for write in &self.checkpoints {
            txn = write.add_to(txn);
        }
        for (key, value) in &self.others {
            txn = txn.put(*key, value.clone());
        }
        txn
    }

    pub(crate) fn has_ends(&self) -> bool {
        self.changes.iter().any(|c| c.kind == ChangeKind::End)
    }

    /// Returns the jobs whose end is stored for the first time: id, phase and the time since the end.
    pub(crate) fn ends(&self) -> impl Iterator<Item = (&Text, Phase, Millis)> {
        let wall_now = clock::wall();
        let ends = self.changes.iter().filter(|c| c.phase.is_some());
        ends.filter_map(move |change| {
            let end = change.end.as_ref()?;
            Some((&change.id, end.phase, wall_now.since(end.at)))
        })
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
            leader.checkpoints.borrow_mut().end(&change.id);
            change.write_end(cx, leader, progress.of_ended_job(None));
        } else {
            change.write_open(cx, leader, progress);
        }
        change
    }

    /// Writes the progress of an open job. Its checkpoints are stored apart if they do not fit.
    fn write_open(&mut self, cx: &Cx, leader: &Leader, progress: &Progress) {
        let value = rows::to_json(progress);
        let mut checkpoints = leader.checkpoints.borrow_mut();
        if !checkpoints.is_apart(&self.id) && value.len() <= MAX_PROGRESS_BYTES {
            return self.write(cx, leader, &value);
        }
        let too_long = checkpoints.update(&self.id, progress, cx.cfg.row_bytes);
        if too_long > 0 {
            log::warn!(job:% = self.id, too_long, row_bytes = cx.cfg.row_bytes; "commit: checkpoints are longer than a row");
            cx.metrics.count_unstored("checkpoint", too_long);
        }
        drop(checkpoints);
        self.write(cx, leader, &rows::to_json(&progress.without_checkpoints()));
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
        // Nothing of an ended job starts again.
        self.write(cx, leader, &rows::to_json(&stored.without_checkpoints()));
        self.end = Some(end);
    }

    fn write(&mut self, cx: &Cx, leader: &Leader, value: &str) {
        let key = format!("{}/{}", rows::PROGRESS, self.id);
        let stored = stored_rows(leader, &self.id);
        let max = cx.cfg.row_bytes;
        let (mut txn, count) = long_row::put(Txn::default(), &key, value, max, stored);
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

    /// Returns the size of the written values in bytes.
    pub(crate) fn bytes(&self) -> usize {
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
