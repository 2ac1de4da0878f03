//! Failures of jobs and workers.

use base::name::Name;

use crate::{
    jobs::JobId,
    state::{Plan, Step},
};

/// Distinct workers after whose failures a job is at fault itself.
const JOB_FAILURES: usize = 3;

impl Plan {
    /// Notes that a member of the job failed on a worker.
    pub(crate) fn failed(&mut self, step: &mut Step, id: JobId, worker: &Name) {
        let rec = &mut self.jobs.get_mut(id).rec;
        if !rec.failed_on.contains(worker) {
            rec.failed_on.push(worker.clone());
            step.changed.push(id);
        }
    }

    /// Returns whether the job failed on enough distinct workers to be at fault itself.
    pub(crate) fn is_own_fault(&self, id: JobId) -> bool {
        self.jobs.get(id).rec.failed_on.len() >= JOB_FAILURES
    }

    /// Notes the memory that a member uses.
    pub(crate) fn measure(&mut self, _: &mut Step, id: JobId, _: &[usize], memory_mb: u32) {
        let rec = &mut self.jobs.get_mut(id).rec;
        rec.peak_memory_mb = rec.peak_memory_mb.max(memory_mb);
    }
}
