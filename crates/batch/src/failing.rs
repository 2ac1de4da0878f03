//! Workers on which run after run fails. The counts are stored, so that the next leader does not try
//! all of these workers at once at the expense of the jobs' attempts.

use base::{clock::Millis, sorted::SortedMap};

use crate::{job::Text, scheduler::JobScheduler, worker_state::Worker};

/// Maximum number of workers whose failures are stored, so that one row holds them.
const MAX_STORED: usize = 400;

impl JobScheduler {
    /// Returns the workers that get less work because runs have failed there, with the number of
    /// failures since the last success.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().failing_workers().is_empty());
    /// ```
    pub fn failing_workers(&self) -> SortedMap<Text, u32> {
        let failing = self.workers.iter().filter(|(_, w)| w.is_failing());
        let failing = failing.map(|(id, w)| (id.clone(), w.failures));
        failing.take(MAX_STORED).collect()
    }

    /// Restores what [`failing_workers`](Self::failing_workers) returned to an earlier leader. Each
    /// of these workers gets no work as if its last run had failed now.
    ///
    /// ```
    /// use base::{clock::Millis, sorted::SortedMap};
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// let failing: SortedMap<_, _> = [("w".into(), 3)].into_iter().collect();
    /// scheduler.restore_failing_workers(&failing, Millis(1));
    /// assert_eq!(scheduler.failing_workers(), failing);
    /// ```
    pub fn restore_failing_workers(&mut self, failing: &SortedMap<Text, u32>, now: Millis) {
        for (id, failures) in failing.iter() {
            let worker: &mut Worker = self.workers.get_or_default(id.clone());
            worker.restore_failures(*failures, now);
            let no_work_ms = worker.no_work_until.since(now).0;
            log::info!(worker:% = id, failures, no_work_ms; "batch: failing worker restored");
        }
    }
}
