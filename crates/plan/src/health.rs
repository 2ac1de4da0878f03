//! Failures of workers and jobs: quarantine, probes, and jobs at fault themselves.

use base::{clock::Millis, name::Name};
use schema::job::Phase;

use crate::{
    jobs::JobId,
    state::{Plan, Step},
};

/// Distinct workers after whose failures a job is at fault itself, and failures in a row of
/// distinct jobs after which a worker is.
const FAILURES: usize = 3;
/// Failures after which a job is at fault itself where there are too few workers to tell.
const MOST_FAILURES: u32 = 6;
/// Length of the first quarantine; it doubles until `LONGEST_QUARANTINE`.
const QUARANTINE: Millis = Millis::from_secs(60);
/// Length of the longest quarantine.
const LONGEST_QUARANTINE: Millis = Millis::from_secs(3_600);

/// Failures of a worker.
#[derive(Clone, Debug)]
pub struct Health<K> {
    /// Jobs of the last failures in a row, distinct.
    strikes: Vec<K>,
    state: State,
    /// Length of the next quarantine.
    next: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Sound,
    Quarantined {
        until: Millis,
    },
    /// One job at a time, until one succeeds.
    Probing,
}

impl<K> Default for Health<K> {
    fn default() -> Self {
        Self {
            strikes: Vec::new(),
            state: State::Sound,
            next: QUARANTINE,
        }
    }
}

impl<K: PartialEq> Health<K> {
    pub fn is_quarantined(&self) -> bool {
        matches!(self.state, State::Quarantined { .. })
    }

    pub fn is_probing(&self) -> bool {
        self.state == State::Probing
    }

    pub fn success(&mut self) {
        self.strikes.clear();
        if self.state == State::Probing {
            *self = Self::default();
        }
    }

    /// Notes a failure; returns whether the worker is quarantined by it.
    pub fn failure(&mut self, now: Millis, job: K) -> bool {
        if !self.strikes.contains(&job) {
            self.strikes.push(job);
        }
        let enough = self.strikes.len() >= FAILURES || self.state == State::Probing;
        if !enough || self.is_quarantined() {
            return false;
        }
        self.state = State::Quarantined {
            until: now + self.next,
        };
        self.next = Millis((self.next.0 * 2).min(LONGEST_QUARANTINE.0));
        self.strikes.clear();
        true
    }

    /// Ends a quarantine whose time is over; returns whether it did.
    pub fn tick(&mut self, now: Millis) -> bool {
        let over = matches!(self.state, State::Quarantined { until } if until <= now);
        if over {
            self.state = State::Probing;
        }
        over
    }
}

impl Plan {
    /// Notes a success on a worker.
    pub(crate) fn succeeded(&mut self, worker: &Name) {
        if let Some(id) = self.workers.find(worker) {
            self.workers.list[id].health.success();
        }
    }

    /// Notes that a member of the job failed on a worker.
    pub(crate) fn failed(&mut self, step: &mut Step, id: JobId, worker: &Name) {
        let rec = &mut self.jobs.get_mut(id).rec;
        rec.failures += 1;
        if !rec.failed_on.contains(worker) {
            rec.failed_on.push(worker.clone());
        }
        step.changed.push(id);
        let key = rec.key();
        let Some(w) = self.workers.find(worker) else {
            return;
        };
        if self.workers.list[w].health.failure(step.now, key) {
            self.worker_closed(w);
            self.forgive(step, worker);
            for job in self.workers.jobs_on(w) {
                if self.jobs.get(job).rec.phase == Phase::Holding {
                    self.interrupt(step, job, "the worker is in quarantine");
                }
            }
        }
    }

    /// Takes a quarantined worker off the lists of failures: the worker was at fault.
    fn forgive(&mut self, step: &mut Step, worker: &Name) {
        let blamed = |id: &JobId| self.jobs.get(*id).rec.failed_on.contains(worker);
        let open = self.waiting().chain(self.active.iter().copied());
        let jobs: Vec<JobId> = open.filter(blamed).collect();
        for id in jobs {
            let waiting = self.jobs.get(id).class.is_some();
            if waiting {
                self.queue_remove(id);
            }
            let rec = &mut self.jobs.get_mut(id).rec;
            rec.failed_on.retain(|w| w != worker);
            rec.failures = rec.failures.saturating_sub(1);
            if waiting {
                self.queue_add(id);
            }
            step.changed.push(id);
        }
    }

    /// Returns whether the job is at fault itself: it failed on enough sound workers, or outgrew
    /// the largest correction of its declared memory.
    pub(crate) fn is_own_fault(&self, id: JobId) -> bool {
        let rec = &self.jobs.get(id).rec;
        let failed = rec.failed_on.len() >= FAILURES || rec.failures >= MOST_FAILURES;
        failed || self.outgrew_all(id)
    }

    /// Whether the job is to be kept off a worker on which it failed. A job that failed on all
    /// workers may use any of them again.
    pub(crate) fn avoids(&self, id: JobId, worker: &Name) -> bool {
        let failed_on = &self.jobs.get(id).rec.failed_on;
        failed_on.len() < self.workers.list.len() && failed_on.contains(worker)
    }

    /// Ends quarantines whose time is over.
    pub(crate) fn tick_health(&mut self, now: Millis) {
        for id in 0..self.workers.list.len() {
            if self.workers.list[id].health.tick(now) {
                self.worker_opened();
            }
        }
    }
}
