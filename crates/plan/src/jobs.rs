//! Table of jobs.

use base::{clock::Millis, sorted::SortedMap};

use crate::{
    order::Attempt,
    queue::ClassId,
    record::{JobKey, JobRecord},
    reservations::ReservationId,
    workers::WorkerId,
};

/// Index of a job in the table.
pub type JobId = usize;

/// Last known state of a member in the current attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The worker has not confirmed the last order.
    Unconfirmed,
    /// The accelerators are held.
    Held,
    /// The task runs.
    Running,
    /// The task ended successfully.
    Done,
    /// The task has stopped, or its worker is lost.
    Stopped,
}

/// A job with its durable record and its in-memory state.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Durable record.
    pub rec: JobRecord,
    /// Progress of each member of the record.
    pub progress: Vec<Progress>,
    /// Time of the last report about each member.
    pub last_report_at: Vec<Millis>,
    /// Start of the current phase, or the time of the restore if that is later.
    pub phase_since: Millis,
    /// Time of the last order.
    pub last_order_at: Millis,
    /// Whether every stopped member took a checkpoint.
    pub checkpointed: bool,
    /// Time at which a member first exceeded its charged memory, and the index of the member.
    pub over_memory_since: Option<(Millis, usize)>,
    /// Expected run time of the whole job, computed when it was placed or restored.
    pub expected_run_time: Millis,
    /// Class in the queue, for a waiting job.
    pub class: Option<ClassId>,
    /// Claimed reservation.
    pub reservation: Option<ReservationId>,
    /// Part of the reservation for each member, by index.
    pub reservation_parts: Vec<usize>,
    /// Whether the job waits until enough capacity becomes free on `awaited_workers`.
    pub pending: bool,
    /// Worker of each member on which a pending job awaits resources.
    pub awaited_workers: Vec<WorkerId>,
}

impl JobState {
    pub fn new(rec: JobRecord, now: Millis) -> Self {
        Self {
            progress: vec![Progress::Unconfirmed; rec.members.len()],
            last_report_at: vec![now; rec.members.len()],
            rec,
            phase_since: now,
            last_order_at: now,
            checkpointed: true,
            over_memory_since: None,
            expected_run_time: Millis::ZERO,
            class: None,
            reservation: None,
            reservation_parts: Vec::new(),
            pending: false,
            awaited_workers: Vec::new(),
        }
    }

    pub fn attempt(&self) -> Attempt {
        Attempt {
            job: self.rec.key(),
            attempt: self.rec.attempt,
        }
    }

    pub fn all_members(&self, progress: Progress) -> bool {
        self.progress.iter().all(|p| *p == progress)
    }

    /// Memory charged to each member, in MiB.
    pub fn charged_memory_mb(&self) -> u32 {
        self.rec.charged_memory_mb.max(self.rec.job.shape.memory_mb)
    }
}

/// Jobs by index and by key.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    entries: Vec<Option<JobState>>,
    free: Vec<JobId>,
    index: SortedMap<JobKey, JobId>,
}

impl Jobs {
    pub fn insert(&mut self, job: JobState) -> JobId {
        let key = job.rec.key();
        let id = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[id] = Some(job);
        self.index.insert(key, id);
        id
    }

    pub fn remove(&mut self, key: &JobKey) {
        if let Some(id) = self.index.remove(key) {
            self.entries[id] = None;
            self.free.push(id);
        }
    }

    pub fn find(&self, key: &JobKey) -> Option<JobId> {
        self.index.get(key).copied()
    }

    pub fn get(&self, id: JobId) -> &JobState {
        self.entries[id].as_ref().expect("the job is in the table")
    }

    pub fn get_mut(&mut self, id: JobId) -> &mut JobState {
        self.entries[id].as_mut().expect("the job is in the table")
    }

    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobState)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(id, job)| Some((id, job.as_ref()?)))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (JobId, &mut JobState)> {
        self.entries
            .iter_mut()
            .enumerate()
            .filter_map(|(id, job)| Some((id, job.as_mut()?)))
    }
}
