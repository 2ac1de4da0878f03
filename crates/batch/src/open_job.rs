//! A job with its progress, as the scheduler keeps it.

use crate::{
    job::{AcceptedJob, Step, SubtaskId},
    progress::{Occurrence, Progress, Run, Subtask},
    wait_log::WaitRecord,
};

/// A job and its progress.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) accepted: AcceptedJob,
    pub(crate) progress: Progress,
    pub(crate) wait: WaitRecord,
}

impl Job {
    pub(crate) fn step(&self, id: &SubtaskId) -> &Step {
        &self.accepted.spec.steps[id.step]
    }

    pub(crate) fn subtask(&self, id: &SubtaskId) -> Option<&Subtask> {
        let occurrence = self.progress.occurrences.get(id.occurrence as usize)?;
        occurrence.steps.get(id.step)?.get(id.index)
    }

    /// Returns all runs that may exist, ordered by occurrence, step and index.
    pub(crate) fn runs(&self) -> impl Iterator<Item = (SubtaskId, &Run)> {
        let occurrences = self.progress.occurrences.iter().enumerate();
        occurrences.flat_map(move |(k, o)| {
            o.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().filter_map(move |(index, t)| {
                    let run = t.run.as_ref()?;
                    Some((self.subtask_id(k, step, index), run))
                })
            })
        })
    }

    pub(crate) fn subtask_id(&self, occurrence: usize, step: usize, index: usize) -> SubtaskId {
        SubtaskId {
            job: self.accepted.id.clone(),
            occurrence: occurrence as u32,
            step,
            index,
        }
    }

    /// Returns whether all steps that `step` depends on are done.
    pub(crate) fn dependencies_done(&self, occurrence: &Occurrence, step: usize) -> bool {
        let done = |s: &usize| occurrence.steps[*s].iter().all(|t| t.done);
        self.accepted.spec.steps[step].after.iter().all(done)
    }

    /// Returns whether all occurrences are done.
    pub(crate) fn is_done(&self) -> bool {
        let count = self.accepted.spec.repeat.map_or(1, |r| r.count as usize);
        self.progress.occurrences.len() >= count
            && self.progress.occurrences.iter().all(Occurrence::is_done)
    }
}
