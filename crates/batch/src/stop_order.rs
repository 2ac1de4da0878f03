//! Stop orders and their repetition.
//!
//! A stop takes effect some time after its answer, and reports list the run until then. A leader that
//! took each of them for a lost stop would send several for each run, and most of them while many
//! runs are stopped at once.

use base::clock::Millis;

use crate::{
    job::{SubtaskId, Text},
    progress::RunState,
    scheduler::JobScheduler,
    worker::{Action, Order},
};

/// Maximum time that a stop takes at a worker, if the settings don't tell.
pub(crate) const DEFAULT_STOP_TIME: Millis = Millis(1_000);
/// Time after which an order that failed, or one without effect, is sent again.
pub const RETRY_DELAY: Millis = Millis(400);

/// What became of a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopOrder {
    /// It waits for its turn or for its answer.
    UnderWay,
    /// The worker answered it at this time.
    Answered(Millis),
    /// It was given up without an answer at this time.
    Unanswered(Millis),
}

impl StopOrder {
    /// Returns whether a report that still lists the run calls for another order. A stop takes up
    /// to `stop_time` at the worker.
    pub(crate) fn is_due_again(self, stop_time: Millis, now: Millis) -> bool {
        match self {
            Self::UnderWay => false,
            Self::Answered(at) => now.since(at) >= stop_time + RETRY_DELAY,
            Self::Unanswered(at) => now.since(at) >= RETRY_DELAY,
        }
    }
}

impl JobScheduler {
    /// Sets the maximum time that a stop takes at a worker.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().set_stop_time(Millis(900));
    /// ```
    pub fn set_stop_time(&mut self, time: Millis) {
        self.stop_time = Some(time);
    }

    /// Orders a stop of the subtask's run, if it has one. A stop that was ordered before is
    /// repeated once its worker has not answered it, or has answered it and still lists the run.
    pub(crate) fn stop(&mut self, task: &SubtaskId, now: Millis) {
        let stop_time = self.stop_time();
        let Some(t) = self.subtask_mut(task) else {
            return;
        };
        let attempt = t.attempt;
        let Some(run) = &mut t.run else {
            return;
        };
        let is_ordered = run.state == RunState::Stopping;
        if is_ordered
            && run
                .stop_order
                .is_some_and(|o| !o.is_due_again(stop_time, now))
        {
            return;
        }
        run.state = RunState::Stopping;
        run.stop_order = Some(StopOrder::UnderWay);
        run.stop_ordered_at.get_or_insert(now);
        run.ordered_at = now;
        let worker = run.worker.clone();
        self.order_stop(worker, task.clone(), attempt);
    }

    pub(crate) fn order_stop(&mut self, worker: Text, task: SubtaskId, attempt: u32) {
        self.orders.push(Order {
            worker,
            task,
            attempt,
            action: Action::Stop,
        });
    }

    /// Returns whether a stop order is still to be sent: the run may exist, or the worker lists it
    /// although it should not exist.
    ///
    /// ```
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().is_stop_wanted(&"w".into(), &task, 1));
    /// ```
    pub fn is_stop_wanted(&self, worker: &Text, task: &SubtaskId, attempt: u32) -> bool {
        let subtask = self.subtask(task).filter(|t| t.attempt == attempt);
        let run = subtask.and_then(|t| t.run.as_ref());
        run.is_some_and(|r| r.worker == *worker)
            || self.workers.get(worker).is_some_and(|w| {
                let mut stops = w.unexpected_stops.iter();
                stops.any(|(t, a, _)| t == task && *a == attempt)
            })
    }

    /// Orders a stop of a listed run that should not exist, unless one is still to take effect.
    pub(crate) fn stop_unexpected(
        &mut self,
        worker: &str,
        task: &SubtaskId,
        attempt: u32,
        now: Millis,
    ) {
        let stop_time = self.stop_time();
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let stops = &mut w.unexpected_stops;
        match stops
            .iter_mut()
            .find(|(t, a, _)| t == task && *a == attempt)
        {
            Some((.., order)) if !order.is_due_again(stop_time, now) => return,
            Some((.., order)) => *order = StopOrder::UnderWay,
            None => stops.push((task.clone(), attempt, StopOrder::UnderWay)),
        }
        log::info!(task:%, attempt, worker; "batch: unexpected run, stopping");
        self.order_stop(worker.into(), task.clone(), attempt);
    }

    /// Records what became of the stop of a run that should not exist.
    pub(crate) fn record_unexpected_stop(
        &mut self,
        task: &SubtaskId,
        attempt: u32,
        order: StopOrder,
    ) {
        for (_, worker) in self.workers.iter_mut() {
            let stops = worker.unexpected_stops.iter_mut();
            for (.., known) in stops.filter(|(t, a, _)| t == task && *a == attempt) {
                *known = order;
            }
        }
    }

    pub(crate) fn stop_time(&self) -> Millis {
        self.stop_time.unwrap_or(DEFAULT_STOP_TIME)
    }
}
