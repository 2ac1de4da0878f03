//! Reserve of accelerators that deferrable work leaves free for urgent work.
//!
//! It absorbs bursts of urgent jobs while the workers are full. Without it, each burst would
//! preempt deferrable work, which would restart after the burst and be preempted again by the next
//! one.

use base::clock::Millis;

use crate::{config::URGENT_PRIORITY, open_job::Job, progress::RunState, scheduler::JobScheduler};

/// Time constant of the moving averages of urgent load. Urgent runs take about 2.5 s, so it covers
/// several generations of them.
const TIME_CONSTANT: Millis = Millis(5_000);
/// Number of mean deviations above the mean that are kept free. Urgent jobs are gangs that arrive
/// at random, so their load is often one deviation above the mean, but rarely two.
const DEVIATIONS: f64 = 1.0;

/// Age from which urgent work counts as a steady load. It covers several generations of urgent runs
/// and an outage that they survive.
const STEADY_AFTER: Millis = Millis(30_000);

/// Maximum share of accelerators that are kept free, in percent. After a burst the mean stays high
/// for some seconds, and deferrable work must not wait all that time.
const MAX_PERCENT: u64 = 25;

/// Moving averages of the load of urgent work, in accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentLoad {
    mean: f64,
    /// Mean absolute deviation from the mean.
    deviation: f64,
    /// Time of the last update; `None` before the first one of this leader.
    updated_at: Option<Millis>,
    /// Last time at which an urgent run existed.
    last_load_at: Millis,
}

impl UrgentLoad {
    /// Updates the averages with the load since the last call. In the first call, `recent` is the
    /// part of work that is not older than [`STEADY_AFTER`]. Without any load for [`TIME_CONSTANT`]
    /// the averages start anew, because their tail would keep resources free for urgent work that
    /// no longer comes.
    fn observe(&mut self, load: f64, recent: f64, now: Millis) {
        if load > 0.0 {
            self.last_load_at = now;
        } else if now.since(self.last_load_at) >= TIME_CONSTANT {
            *self = Self {
                updated_at: Some(now),
                ..Self::default()
            };
            return;
        }
        let Some(updated_at) = self.updated_at.replace(now) else {
            // A new leader does not know the load before. What came lately may be a burst that goes on.
            self.mean = load;
            self.deviation = recent;
            return;
        };
        let elapsed = now.since(updated_at).0 as f64 / TIME_CONSTANT.0 as f64;
        let weight = 1.0 - (-elapsed).exp();
        self.deviation += weight * ((load - self.mean).abs() - self.deviation);
        self.mean += weight * (load - self.mean);
    }

    /// Returns the load to expect during a burst.
    fn expected(&self) -> f64 {
        self.mean + DEVIATIONS * self.deviation
    }
}

impl JobScheduler {
    /// Returns the number of accelerators that deferrable work has to leave free now. It is 0 while
    /// more than half of all are free, because a burst then fits without a reserve.
    pub(crate) fn reserve(&mut self, now: Millis, wall_now: Millis) -> u64 {
        let load = self.urgent_load(wall_now, None);
        let recent = match self.urgent.updated_at {
            None => self.urgent_load(wall_now, Some(STEADY_AFTER)),
            Some(_) => 0.0,
        };
        self.urgent.observe(load, recent, now);
        let (all, free) = self.accelerators();
        if free > all / 2 {
            return 0;
        }
        let max_reserve = all * MAX_PERCENT / 100;
        ((self.urgent.expected() - load).max(0.0) as u64).min(max_reserve)
    }

    /// Returns the total number of accelerators of the listed workers that are not evacuated, and how
    /// many are free.
    fn accelerators(&self) -> (u64, u64) {
        let (mut all, mut free) = (0, 0);
        for worker in self.workers.values().filter(|w| !self.is_evacuated(w)) {
            all += worker.info.as_ref().map_or(0, |i| i.capacity.accelerators);
            free += worker.free().accelerators;
        }
        (all, free)
    }

    /// Returns the number of accelerators that urgent runs use, or those of work that is not older
    /// than `max_age`.
    fn urgent_load(&self, wall_now: Millis, max_age: Option<Millis>) -> f64 {
        let is_urgent = |job: &&Job| {
            let queue = self.config.queue(&job.accepted.queue);
            queue.is_some_and(|q| q.priority == URGENT_PRIORITY)
        };
        let mut load = 0;
        for job in self.jobs.active().filter(is_urgent) {
            for (k, occurrence) in job.progress.occurrences.iter().enumerate() {
                let age = wall_now.since(job.occurrence_start(k as u32));
                if max_age.is_some_and(|max| age > max) {
                    continue;
                }
                for (step, tasks) in job.accepted.spec.steps.iter().zip(&occurrence.steps) {
                    let runs = tasks.iter().filter_map(|t| t.run.as_ref());
                    let count = runs.filter(|r| r.state != RunState::Stopping).count();
                    load += step.reserved().accelerators * count as u64;
                }
            }
        }
        load as f64
    }
}
