//! Work on workers that leave.
//!
//! A worker that leaves ends everything that runs on it. What can't be done before is stopped
//! while there is time: work with checkpoints as late as possible, other work at once, because all
//! that it does until then is lost.

use base::clock::Millis;

use crate::{
    book::Book,
    job::{Step, TaskId, Text},
    progress::{Run, RunState},
};

/// Time before a worker leaves at which work with checkpoints is stopped: a stop takes up to
/// 0.9 s, and the list of workers is up to 0.8 s old.
const STOP_BEFORE: Millis = Millis(2_000);
/// Progress from which the run time is extrapolated; below it the submitted estimate is better.
const KNOWN_PERCENT: u32 = 10;

impl Book {
    /// Stops work that can't be done before its worker leaves.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::book::Book::default().evacuate(Millis(1));
    /// ```
    pub fn evacuate(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (_, worker) in self.workers.iter() {
            let Some(leaves_at) = worker.leaves_at else {
                continue;
            };
            for (task, _) in &worker.runs {
                if self.has_to_go(task, leaves_at, now) {
                    stops.push(task.clone());
                }
            }
        }
        for task in stops {
            log::info!(task:% = task; "batch: stopped, its worker leaves");
            self.stop(&task, now);
            self.stop_unit(&task, now);
        }
    }

    fn has_to_go(&self, id: &TaskId, leaves_at: Millis, now: Millis) -> bool {
        let Some(run) = self.task(id).and_then(|t| t.run.as_ref()) else {
            return false;
        };
        let Some(step) = self.step_of(id) else {
            return false;
        };
        // An order that interrupts lasting work counts as a miss; the end of its worker does not.
        if run.state != RunState::Running || step.endless {
            return false;
        }
        let left = leaves_at.since(now);
        let ends_in_time = run.expected_left(step, now) <= left;
        let is_late = left <= STOP_BEFORE;
        !ends_in_time && (is_late || !step.checkpoints)
    }

    /// Notes when a draining worker leaves, counted from when its notice was first seen.
    pub(crate) fn note_leaving(&mut self, id: &Text, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(info) = worker.info.as_ref().filter(|i| i.draining) else {
            worker.leaves_at = None;
            return;
        };
        let remaining = info.remaining.unwrap_or_default();
        if worker.leaves_at.is_none() {
            log::info!(worker:% = id, remaining_ms = remaining.0; "batch: worker leaves");
            worker.leaves_at = Some(now + remaining);
        }
    }
}

impl Run {
    /// Returns the time that the run is expected to need from now on.
    pub(crate) fn expected_left(&self, step: &Step, now: Millis) -> Millis {
        let elapsed = now.since(self.placed);
        match self.percent {
            p if p >= KNOWN_PERCENT => {
                Millis(elapsed.0 * u64::from(100 - p.min(100)) / u64::from(p))
            }
            _ => step.estimate.since(elapsed),
        }
    }
}
