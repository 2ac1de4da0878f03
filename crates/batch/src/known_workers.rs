//! What a scheduler knows of its workers.

use crate::{
    job::{Resources, Text},
    progress::RunState,
    scheduler::JobScheduler,
    worker_state::Worker,
};

impl JobScheduler {
    /// Returns the known incarnation of a worker, 0 if none is, and whether the VM list names the worker.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().life("w"), (0, false));
    /// ```
    pub fn life(&self, worker: &str) -> (u64, bool) {
        let worker = self.workers.get(worker);
        worker.map_or((0, false), |w| (w.incarnation, w.info.is_some()))
    }

    /// Returns the ids of the workers that are [in use](Self::is_in_use), in ascending order.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().workers_in_use().is_empty());
    /// ```
    pub fn workers_in_use(&self) -> Vec<Text> {
        let used = self.workers.iter().filter(|(_, w)| w.is_in_use());
        used.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the ids of the workers that answer and on which runs may exist.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().workers_with_runs().is_empty());
    /// ```
    pub fn workers_with_runs(&self) -> Vec<Text> {
        let with_runs = |w: &Worker| !w.runs.is_empty() && !w.unresponsive;
        let workers = self.workers.iter().filter(|(_, w)| with_runs(w));
        workers.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of runs that may exist on a worker.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().runs_on("w"), 0);
    /// ```
    pub fn runs_on(&self, worker: &str) -> usize {
        self.workers.get(worker).map_or(0, |w| w.runs.len())
    }

    /// Returns whether a worker has listed runs that should not exist and are being stopped.
    ///
    /// ```
    /// assert!(!batch::scheduler::JobScheduler::default().has_unexpected_runs("w"));
    /// ```
    pub fn has_unexpected_runs(&self, worker: &str) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|w| w.unexpected != Resources::default())
    }

    /// Returns whether an earlier leader placed runs on a worker that has not reported since.
    ///
    /// ```
    /// assert!(!batch::scheduler::JobScheduler::default().has_adopted_runs("w"));
    /// ```
    pub fn has_adopted_runs(&self, worker: &str) -> bool {
        let runs = self.workers.get(worker).map(|w| &w.runs);
        let mut tasks = runs.into_iter().flatten().map(|(task, _)| task);
        tasks.any(|t| {
            self.run_of(t)
                .is_some_and(|(r, _)| r.state == RunState::Adopted)
        })
    }
}
