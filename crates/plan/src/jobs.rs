//! Table of jobs.

use base::{clock::Millis, sorted::SortedMap};

use crate::{
    order::Attempt,
    queue::ClassId,
    record::{JobKey, JobRecord},
    slots::SlotId,
    workers::WorkerId,
};

/// Position of a job in the table.
pub type JobId = usize;

/// What is known about one member of the current attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The last order was not confirmed.
    Asked,
    /// The accelerators are held.
    Held,
    /// The task runs.
    Running,
    /// The task ended with success.
    Done,
    /// The task does not run any more, or its worker is lost.
    Stopped,
}

/// A job with its state in memory.
#[derive(Clone, Debug)]
pub struct JobState {
    /// Durable record.
    pub rec: JobRecord,
    /// One entry for each member of the record.
    pub progress: Vec<Progress>,
    /// Time of the last report about each member.
    pub heard_at: Vec<Millis>,
    /// Start of the current phase, as far as this process knows.
    pub since: Millis,
    /// Time of the last order.
    pub sent_at: Millis,
    /// Whether each member that stopped took a checkpoint.
    pub checkpointed: bool,
    /// Time since which a member uses more memory than it is charged with, and the member.
    pub over_by: Option<(Millis, usize)>,
    /// Expected run time of the whole job, computed when it was placed.
    pub expected: Millis,
    /// Class of a waiting job in the queue.
    pub class: Option<ClassId>,
    /// Slot of a claim.
    pub slot: Option<SlotId>,
    /// Box of the slot for each member.
    pub boxes: Vec<usize>,
    /// Whether the job has a claim and waits until borrowed work is stopped for it.
    pub pending: bool,
    /// Workers, one for each member, on which a pending claim waits for resources.
    pub awaits: Vec<WorkerId>,
}

impl JobState {
    pub fn new(rec: JobRecord, now: Millis) -> Self {
        Self {
            progress: vec![Progress::Asked; rec.members.len()],
            heard_at: vec![now; rec.members.len()],
            rec,
            since: now,
            sent_at: now,
            checkpointed: true,
            over_by: None,
            expected: Millis::ZERO,
            class: None,
            slot: None,
            boxes: Vec::new(),
            pending: false,
            awaits: Vec::new(),
        }
    }

    pub fn attempt(&self) -> Attempt {
        Attempt {
            job: self.rec.key(),
            attempt: self.rec.attempt,
        }
    }

    pub fn all(&self, progress: Progress) -> bool {
        self.progress.iter().all(|p| *p == progress)
    }

    /// Memory with which each member is charged.
    pub fn charged_mb(&self) -> u32 {
        self.rec.charged_memory_mb.max(self.rec.job.shape.memory_mb)
    }
}

/// Jobs by position and by key.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    slots: Vec<Option<JobState>>,
    free: Vec<JobId>,
    index: SortedMap<JobKey, JobId>,
}

impl Jobs {
    pub fn insert(&mut self, job: JobState) -> JobId {
        let key = job.rec.key();
        let id = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[id] = Some(job);
        self.index.insert(key, id);
        id
    }

    pub fn remove(&mut self, key: &JobKey) {
        if let Some(id) = self.index.remove(key) {
            self.slots[id] = None;
            self.free.push(id);
        }
    }

    pub fn find(&self, key: &JobKey) -> Option<JobId> {
        self.index.get(key).copied()
    }

    pub fn get(&self, id: JobId) -> &JobState {
        self.slots[id].as_ref().expect("the job is in the table")
    }

    pub fn get_mut(&mut self, id: JobId) -> &mut JobState {
        self.slots[id].as_mut().expect("the job is in the table")
    }

    pub fn iter(&self) -> impl Iterator<Item = (JobId, &JobState)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(id, job)| Some((id, job.as_ref()?)))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (JobId, &mut JobState)> {
        self.slots
            .iter_mut()
            .enumerate()
            .filter_map(|(id, job)| Some((id, job.as_mut()?)))
    }
}
