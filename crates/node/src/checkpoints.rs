//! Checkpoints that are stored apart from the progress of their job.
//!
//! Workers choose the length of checkpoints. Where the progress of a job with them would not fit into
//! a transaction, each of them gets a row of its own, which is written with the room that other
//! changes leave. One that is not written yet costs work if the leader and the worker end together.

use base::{clock::Millis, sorted::SortedMap};
use batch::{
    job::{SubtaskId, Text},
    progress::Progress,
};
use store::table::{Row, Txn};

use crate::rows::{self, CheckpointRow};

/// Minimum interval between two writes of the checkpoint of a subtask that runs. Its worker reports
/// the newest one to the next leader.
const MIN_INTERVAL: Millis = Millis(5_000);
/// Maximum size of the checkpoints in one transaction, in bytes, unless a single one is longer. At
/// most 20 such transactions follow each other in a second, so that they fill half of the link of a
/// small VM (20 Mbit/s).
const MAX_BYTES: usize = 48 << 10;

/// Checkpoints stored apart, by job.
#[derive(Debug, Default)]
pub(crate) struct Checkpoints(SortedMap<Text, SortedMap<SubtaskId, Checkpoint>>);

#[derive(Clone, Debug, Default)]
struct Checkpoint {
    /// Content of the row, if there is one; empty if it can't be read.
    stored: Option<Text>,
    /// What the row should hold; `None` if it should not exist.
    wanted: Option<Text>,
    is_running: bool,
    written_at: Option<Millis>,
}

impl Checkpoint {
    fn is_needed(&self) -> bool {
        self.stored.is_some() || self.wanted.is_some()
    }

    fn is_due(&self, now: Millis) -> bool {
        let is_recent = |at| self.is_running && now.since(at) < MIN_INTERVAL;
        self.stored != self.wanted && !self.written_at.is_some_and(is_recent)
    }
}

/// A write of a checkpoint.
#[derive(Clone, Debug)]
pub(crate) struct CheckpointWrite {
    task: SubtaskId,
    /// The checkpoint; `None` deletes its row.
    text: Option<Text>,
}

impl CheckpointWrite {
    /// Adds the write to a transaction.
    pub(crate) fn add_to(&self, txn: Txn) -> Txn {
        let key = format!("{}/{}", rows::CHECKPOINTS, self.task);
        match self.text.clone() {
            Some(checkpoint) => txn.put(key, rows::to_json(&CheckpointRow { checkpoint })),
            None => txn.delete(key),
        }
    }

    fn bytes(&self) -> usize {
        self.text.as_ref().map_or(0, |t| t.len())
    }
}

impl Checkpoints {
    /// Returns whether the checkpoints of a job are stored apart from its progress.
    pub(crate) fn is_apart(&self, job: &str) -> bool {
        self.0.get(job).is_some()
    }

    /// Takes over the checkpoints of a job. Returns the number of those that are longer than a row of
    /// `row_bytes` and can't be stored.
    pub(crate) fn update(&mut self, job: &Text, progress: &Progress, row_bytes: usize) -> usize {
        let before = self.0.get(job);
        let mut too_long = 0;
        let tasks = progress.subtasks().filter_map(|(position, task)| {
            let (occurrence, step, index) = position;
            let id = SubtaskId {
                job: job.clone(),
                occurrence,
                step,
                index,
            };
            let known = before.and_then(|b| b.get(&id)).cloned();
            let checkpoint = task.checkpoint.clone();
            let has_one = !task.done && !checkpoint.is_empty();
            let row = CheckpointRow { checkpoint };
            let fits = rows::to_json(&row).len() <= row_bytes;
            too_long += usize::from(has_one && !fits);
            let checkpoint = Checkpoint {
                wanted: (has_one && fits).then_some(row.checkpoint),
                is_running: task.run.is_some(),
                ..known.unwrap_or_default()
            };
            checkpoint.is_needed().then_some((id, checkpoint))
        });
        let tasks: SortedMap<_, _> = tasks.collect();
        if tasks.is_empty() {
            self.0.remove(job);
        } else {
            self.0.insert(job.clone(), tasks);
        }
        too_long
    }

    /// Deletes the checkpoints of a job that has ended.
    pub(crate) fn end(&mut self, job: &str) {
        let Some(tasks) = self.0.get_mut(job) else {
            return;
        };
        for (_, checkpoint) in tasks.iter_mut() {
            checkpoint.wanted = None;
        }
        self.drop_unneeded(job);
    }

    fn drop_unneeded(&mut self, job: &str) {
        let Some(tasks) = self.0.get_mut(job) else {
            return;
        };
        tasks.retain(|_, c| c.is_needed());
        if tasks.is_empty() {
            self.0.remove(job);
        }
    }

    /// Returns whether any checkpoint is to be written.
    pub(crate) fn has_due(&self, now: Millis) -> bool {
        let mut tasks = self.0.values().flat_map(SortedMap::values);
        tasks.any(|c| c.is_due(now))
    }

    /// Returns the writes for one transaction, at most `max_writes` and `max_bytes`.
    pub(crate) fn due(
        &self,
        now: Millis,
        max_writes: usize,
        max_bytes: usize,
    ) -> Vec<CheckpointWrite> {
        let mut room = max_bytes.min(MAX_BYTES);
        let tasks = self.0.values().flat_map(SortedMap::iter);
        let due = tasks.filter(|(_, c)| c.is_due(now)).map(|(task, c)| {
            let (task, text) = (task.clone(), c.wanted.clone());
            CheckpointWrite { task, text }
        });
        let mut writes = Vec::new();
        for write in due.take(max_writes) {
            let bytes = write.bytes();
            if bytes > room && (!writes.is_empty() || bytes > max_bytes) {
                break;
            }
            room = room.saturating_sub(bytes);
            writes.push(write);
        }
        writes
    }

    /// Records that writes are stored.
    pub(crate) fn mark_stored(&mut self, writes: &[CheckpointWrite], now: Millis) {
        for write in writes {
            let tasks = self.0.get_mut(&write.task.job);
            let Some(checkpoint) = tasks.and_then(|t| t.get_mut(&write.task)) else {
                continue;
            };
            checkpoint.stored.clone_from(&write.text);
            checkpoint.written_at = Some(now);
            if write.text.is_none() {
                self.drop_unneeded(&write.task.job);
            }
        }
    }

    /// Returns what an earlier leader has stored. Rows that can't be read are deleted, and those that do
    /// not belong to an open job, by its id and the version of the row.
    pub(crate) fn restore(stored: &[Row], is_of_open_job: impl Fn(&str, u64) -> bool) -> Self {
        let mut checkpoints = Self::default();
        for row in stored {
            let (_, key) = row.key.split_once('/').unwrap_or_default();
            let Some(task) = SubtaskId::parse(key) else {
                log::error!(row:% = row.key; "checkpoints: unknown kind of row");
                continue;
            };
            let text = rows::from_json::<CheckpointRow>(row).map(|r| r.checkpoint);
            let checkpoint = Checkpoint {
                stored: Some(text.clone().unwrap_or_default()),
                wanted: text.filter(|_| is_of_open_job(&task.job, row.version)),
                ..Checkpoint::default()
            };
            let tasks = checkpoints.0.get_or_default(task.job.clone());
            tasks.insert(task, checkpoint);
        }
        checkpoints
    }

    /// Gives a job's progress the checkpoints that are stored apart.
    pub(crate) fn fill(&self, job: &str, progress: &mut Progress) {
        let Some(tasks) = self.0.get(job) else {
            return;
        };
        for (id, checkpoint) in tasks.iter() {
            let occurrence = progress.occurrences.get_mut(id.occurrence as usize);
            let step = occurrence.and_then(|o| o.steps.get_mut(id.step));
            let task = step.and_then(|s| s.get_mut(id.index));
            if let Some(task) = task.filter(|t| !t.done && t.checkpoint.is_empty()) {
                task.checkpoint = checkpoint.wanted.clone().unwrap_or_default();
            }
        }
    }
}
