//! Load of the leader: starts that wait, and repeated orders and waits, which show that it is short
//! of something.

use base::clock::Millis;

use crate::{
    config::URGENT_PRIORITY, job::SubtaskId, open_job::Job, scheduler::JobScheduler, worker::Action,
};

/// Numbers since the last call of [`JobScheduler::take_order_load`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderLoad {
    /// Starts that were ordered again, because the one before has no answer.
    pub repeated_starts: u64,
    /// Stops that were ordered again, because the run may still exist.
    pub repeated_stops: u64,
    /// Longest wait of a unit that was not placed as a whole.
    pub longest_wait: Millis,
}

impl JobScheduler {
    /// Sets the number of orders in the next pass from which no more deferrable work is placed.
    ///
    /// ```
    /// batch::scheduler::JobScheduler::default().set_max_starts(100);
    /// ```
    pub fn set_max_starts(&mut self, max: usize) {
        self.max_starts = Some(max);
    }

    /// Returns whether a subtask belongs to urgent work.
    ///
    /// ```
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().is_urgent(&task));
    /// ```
    pub fn is_urgent(&self, task: &SubtaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let queue = job.and_then(|j| self.config.queue(&j.accepted.queue));
        queue.is_some_and(|q| q.priority == URGENT_PRIORITY)
    }

    /// Returns the numbers since the last call.
    ///
    /// ```
    /// let load = batch::scheduler::JobScheduler::default().take_order_load();
    /// assert_eq!(load.repeated_stops, 0);
    /// ```
    pub fn take_order_load(&mut self) -> OrderLoad {
        std::mem::take(&mut self.order_load)
    }

    /// Returns the number of starts whose reply is not known yet.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().awaited_starts(), 0);
    /// ```
    pub fn awaited_starts(&self) -> usize {
        let runs = self.jobs.open().flat_map(Job::runs);
        runs.filter(|(_, r)| r.awaits_reply).count()
    }

    /// Returns the number of subtasks that this scheduler has placed.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().placed(), 0);
    /// ```
    pub const fn placed(&self) -> u64 {
        self.placed
    }

    /// Counts the repetitions among the orders that are about to be taken.
    pub(crate) fn count_repeats(&mut self) {
        let (mut starts, mut stops) = (0, 0);
        for order in &self.orders {
            let task = self.subtask(&order.task);
            let task = task.filter(|t| t.attempt == order.attempt);
            let Some(run) = task.and_then(|t| t.run.as_ref()) else {
                continue;
            };
            match order.action {
                Action::Start { .. } => starts += u64::from(run.unanswered_starts > 0),
                Action::Stop => {
                    let is_repeat = run.stop_ordered_at.is_some_and(|t| t < run.ordered_at);
                    stops += u64::from(is_repeat);
                }
            }
        }
        self.order_load.repeated_starts += starts;
        self.order_load.repeated_stops += stops;
    }

    pub(crate) fn record_wait(&mut self, waited: Millis) {
        self.order_load.longest_wait = self.order_load.longest_wait.max(waited);
    }
}
