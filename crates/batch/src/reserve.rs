//! Room that deferrable work leaves for urgent work.
//!
//! It answers bursts of urgent jobs on full workers: without it each burst stops deferrable work,
//! which starts again in the next gap and is stopped again by the next burst.

use base::clock::Millis;

use crate::{book::Book, progress::RunState};

/// Time constant of the mean and the spread of urgent load; urgent runs take about 2.5 s, so it
/// covers several generations of them.
const MEMORY: Millis = Millis(5_000);
/// Spreads above the mean that are kept free. Urgent jobs are gangs that come at random, so their
/// load is often one spread above its mean, seldom two.
const SPREADS: f64 = 1.0;

/// Most accelerators that are kept free, in percent of all. After a burst the mean is high for some
/// seconds; deferrable work must not wait for all of that time.
const MOST_PERCENT: u64 = 25;

/// Load of urgent work, in accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentLoad {
    mean: f64,
    /// Mean absolute difference from the mean.
    spread: f64,
    at: Millis,
}

impl UrgentLoad {
    /// Takes the load that has been there since the last call.
    fn observe(&mut self, load: f64, now: Millis) {
        let elapsed = now.since(self.at).0 as f64 / MEMORY.0 as f64;
        self.at = now;
        let weight = 1.0 - (-elapsed).exp();
        self.spread += weight * ((load - self.mean).abs() - self.spread);
        self.mean += weight * (load - self.mean);
    }

    /// Returns the load to expect in a burst.
    fn expected(&self) -> f64 {
        self.mean + SPREADS * self.spread
    }
}

impl Book {
    /// Returns the accelerators that deferrable work leaves free now; none while half of all are
    /// free, since a burst then finds room.
    pub(crate) fn reserve(&mut self, now: Millis) -> u64 {
        let load = self.urgent_load();
        self.urgent.observe(load, now);
        let (all, free) = self.accelerators();
        if free > all / 2 {
            return 0;
        }
        let most = all * MOST_PERCENT / 100;
        ((self.urgent.expected() - load).max(0.0) as u64).min(most)
    }

    /// Returns the accelerators of all listed workers, and those that are free.
    fn accelerators(&self) -> (u64, u64) {
        let (mut all, mut free) = (0, 0);
        for (_, worker) in self.workers.iter() {
            all += worker.info.as_ref().map_or(0, |i| i.capacity.accelerators);
            free += worker.free().accelerators;
        }
        (all, free)
    }

    /// Returns the accelerators that urgent runs use.
    fn urgent_load(&self) -> f64 {
        let mut load = 0;
        for (_, worker) in self.workers.iter() {
            for (task, need) in &worker.runs {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let queue = self.rules.queue(&job.rec.queue);
                let run = job.task(task).and_then(|t| t.run.as_ref());
                let stops = run.is_some_and(|r| r.state == RunState::Stopping);
                if !stops && queue.is_some_and(|q| q.priority == 0) {
                    load += need.accelerators;
                }
            }
        }
        load as f64
    }
}
