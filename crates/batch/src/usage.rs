//! Accelerators in use, as the scheduler counts them and as the workers report them.

use crate::{job::SubtaskId, scheduler::JobScheduler, worker::Report, worker_state::Worker};

/// Sums over all workers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Accelerators of the workers in the VM list.
    pub capacity: u64,
    /// Accelerators of the runs that may exist.
    pub used: u64,
    /// Accelerators of the runs that the last report of each worker lists.
    pub listed: u64,
    /// Workers in the VM list that do not answer.
    pub silent: u64,
}

impl JobScheduler {
    /// Returns the accelerators in use. While no order is under way, `used` equals `listed`.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().usage().used, 0);
    /// ```
    pub fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for worker in self.workers.values() {
            usage.used += worker.used().accelerators;
            usage.listed += worker.listed;
            if let Some(info) = &worker.info {
                usage.capacity += info.capacity.accelerators;
                usage.silent += u64::from(worker.unresponsive);
            }
        }
        usage
    }

    /// Records what a report lists. Runs that should not exist have been counted before.
    pub(crate) fn record_listed(&mut self, worker: &str, report: &Report) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.record_listed(report);
        }
    }
}

impl Worker {
    fn record_listed(&mut self, report: &Report) {
        let is_listed = |task: &SubtaskId| report.running.iter().any(|r| r.task == *task);
        let known = self.runs.iter().filter(|(task, _)| is_listed(task));
        let known: u64 = known.map(|(_, need)| need.accelerators).sum();
        self.listed = known + self.unexpected.accelerators;
    }
}
