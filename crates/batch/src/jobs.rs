//! All known jobs. Those that have ended are kept for their retention time and are many more than
//! the others, so they are kept apart: each pass looks up and iterates over the others.

use base::sorted::SortedMap;

use crate::{job::Text, open_job::Job};

/// Jobs by id.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    /// Jobs that have not ended or that have runs.
    active: SortedMap<Text, Job>,
    /// Jobs that have ended and have no runs.
    ended: SortedMap<Text, Job>,
}

impl Jobs {
    pub(crate) fn get(&self, id: &str) -> Option<&Job> {
        self.active.get(id).or_else(|| self.ended.get(id))
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        let active = self.active.get_mut(id);
        active.or_else(|| self.ended.get_mut(id))
    }

    pub(crate) fn insert(&mut self, job: Job) {
        let id = job.accepted.id.clone();
        self.remove(&id);
        if is_ended(&job) {
            self.ended.insert(id, job);
        } else {
            self.active.insert(id, job);
        }
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<Job> {
        self.active.remove(id).or_else(|| self.ended.remove(id))
    }

    /// Moves a job to those that have ended, if it has ended and its last run is gone.
    pub(crate) fn settle(&mut self, id: &str) {
        if self.active.get(id).is_some_and(is_ended)
            && let Some(job) = self.active.remove(id)
        {
            self.ended.insert(job.accepted.id.clone(), job);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.active.len() + self.ended.len()
    }

    /// Iterates over the jobs that have not ended or that have runs, in the order of their ids.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Job> {
        self.active.values()
    }

    /// Iterates over the jobs that have not ended, in the order of their ids.
    pub(crate) fn open(&self) -> impl Iterator<Item = &Job> {
        self.active().filter(|j| !j.progress.phase.is_final())
    }

    /// Iterates over the jobs that have not ended, in the order of their ids.
    pub(crate) fn open_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        let active = self.active.iter_mut().map(|(_, j)| j);
        active.filter(|j| !j.progress.phase.is_final())
    }

    /// Iterates over the jobs that have ended and have no runs, in the order of their ids.
    pub(crate) fn ended(&self) -> impl Iterator<Item = &Job> {
        self.ended.values()
    }
}

fn is_ended(job: &Job) -> bool {
    job.progress.phase.is_final() && !job.progress.has_runs()
}
