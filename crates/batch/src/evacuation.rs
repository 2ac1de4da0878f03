//! Evacuation of draining workers.
//!
//! A worker that shuts down ends all runs on it. Runs that can't finish before are stopped in time:
//! those with checkpoints as late as possible, the others at once, because any further work on them
//! would be lost.

use base::clock::Millis;

use crate::{
    job::{Step, SubtaskId, Text},
    progress::{Run, RunState},
    scheduler::JobScheduler,
    worker::WorkerInfo,
};

/// Time before a worker's shutdown at which runs with checkpoints are stopped: a stop takes up to
/// 0.9 s, and the VM list is up to 0.8 s old.
const STOP_LEAD_TIME: Millis = Millis(2_000);
/// Minimum progress for extrapolating the run time; below it the submitted estimate is more
/// accurate.
const MIN_EXTRAPOLATION_PERCENT: u32 = 10;

impl JobScheduler {
    /// Stops runs that can't finish before their worker shuts down.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().evacuate(Millis(1));
    /// ```
    pub fn evacuate(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (_, worker) in self.workers.iter() {
            let Some(shutdown_at) = worker.shutdown_at else {
                continue;
            };
            for (task, _) in &worker.runs {
                if self.must_stop(task, shutdown_at, now) {
                    stops.push(task.clone());
                }
            }
        }
        for task in stops {
            log::info!(task:% = task; "batch: stopped, its worker leaves");
            self.stop(&task, now);
            self.stop_gang(&task, now);
        }
    }

    fn must_stop(&self, id: &SubtaskId, shutdown_at: Millis, now: Millis) -> bool {
        let Some(run) = self.subtask(id).and_then(|t| t.run.as_ref()) else {
            return false;
        };
        let Some(step) = self.step_of(id) else {
            return false;
        };
        // Stopping an endless run counts as an interruption, but losing it with its worker does
        // not.
        if run.state != RunState::Running || step.endless {
            return false;
        }
        let remaining = shutdown_at.since(now);
        let ends_in_time = run.expected_remaining(step, now) <= remaining;
        let is_late = remaining <= STOP_LEAD_TIME;
        !ends_in_time && (is_late || !step.checkpoints)
    }

    /// Updates the shutdown time of a worker. The remaining time in its entry counts from when the
    /// worker wrote the entry; until a report shows its clock, from when the entry was first read.
    pub(crate) fn update_shutdown_time(&mut self, id: &Text, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let life = worker.incarnation;
        let is_leaving = |i: &&WorkerInfo| i.draining && i.incarnation == life;
        let Some(info) = worker.info.as_ref().filter(is_leaving) else {
            // The entry of the next incarnation may be read before the end of this one is noticed, and that
            // of the former one after it.
            let incarnation = worker.info.as_ref().map(|i| i.incarnation);
            if incarnation == Some(worker.incarnation) {
                worker.shutdown_at = None;
            }
            return;
        };
        let remaining = info.remaining.unwrap_or_default();
        let age = worker.entry_age(now).unwrap_or_default();
        let shutdown_at = now + remaining.since(age);
        if worker.shutdown_at.is_none() {
            log::info!(
                worker:% = id, remaining_ms = remaining.0, entry_age_ms = age.0;
                "batch: worker is draining"
            );
        }
        worker.shutdown_at = Some(
            worker
                .shutdown_at
                .map_or(shutdown_at, |t| t.min(shutdown_at)),
        );
    }
}

impl Run {
    /// Returns for how long the run has been working. If an earlier leader placed it, this follows
    /// from its progress and the estimate; half of the estimate if it has not reported any progress.
    pub(crate) fn elapsed(&self, step: &Step, now: Millis) -> Millis {
        match (self.placed_at, self.percent) {
            (Some(placed_at), _) => now.since(placed_at),
            (None, 0) => Millis(step.estimate.0 / 2),
            (None, percent) => Millis(step.estimate.0 * u64::from(percent.min(100)) / 100),
        }
    }

    /// Returns the expected remaining run time.
    pub(crate) fn expected_remaining(&self, step: &Step, now: Millis) -> Millis {
        let elapsed = self.elapsed(step, now);
        match self.percent {
            p if p >= MIN_EXTRAPOLATION_PERCENT => {
                Millis(elapsed.0 * u64::from(100 - p.min(100)) / u64::from(p))
            }
            _ => step.estimate.since(elapsed),
        }
    }
}
