//! Health of workers and jobs: quarantine and probing of faulty workers, and detection of faulty
//! jobs.

use base::{clock::Millis, name::Name};
use schema::job::Phase;

use crate::{
    crash,
    jobs::JobId,
    state::{Plan, Step},
};

/// Number of distinct workers on which a job must fail to be considered faulty, and of distinct
/// jobs that must fail in a row on a worker to quarantine it.
const DISTINCT_FAILURE_LIMIT: usize = 3;
/// Number of failures after which a job is considered faulty even if too few distinct workers
/// exist.
const FAILURE_LIMIT: u32 = 6;
/// Length of the first quarantine. It doubles each time, up to `MAX_QUARANTINE`.
const MIN_QUARANTINE: Millis = Millis::from_secs(60);
/// Length of the longest quarantine.
const MAX_QUARANTINE: Millis = Millis::from_secs(3_600);

/// Failure history and state of a worker.
#[derive(Clone, Debug)]
pub struct Health<K> {
    /// Distinct jobs that failed since the last success.
    failed_jobs: Vec<K>,
    state: State,
    /// Length of the next quarantine.
    next_quarantine: Millis,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Healthy,
    Quarantined {
        until: Millis,
    },
    /// Takes one job at a time until one succeeds.
    Probing,
}

impl<K> Default for Health<K> {
    fn default() -> Self {
        Self {
            failed_jobs: Vec::new(),
            state: State::Healthy,
            next_quarantine: MIN_QUARANTINE,
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
        self.failed_jobs.clear();
        if self.state == State::Probing {
            *self = Self::default();
        }
    }

    /// Records a failure. Returns whether it puts the worker into quarantine.
    pub fn failure(&mut self, now: Millis, job: K) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let limit_reached =
            self.failed_jobs.len() >= DISTINCT_FAILURE_LIMIT || self.state == State::Probing;
        if !limit_reached || self.is_quarantined() {
            return false;
        }
        self.state = State::Quarantined {
            until: now + self.next_quarantine,
        };
        self.next_quarantine = Millis((self.next_quarantine.0 * 2).min(MAX_QUARANTINE.0));
        self.failed_jobs.clear();
        true
    }

    /// Starts probing once the quarantine is over. Returns whether it did.
    pub fn tick(&mut self, now: Millis) -> bool {
        let over = matches!(self.state, State::Quarantined { until } if until <= now);
        if over {
            self.state = State::Probing;
        }
        over
    }
}

impl Plan {
    /// Records a success on a worker.
    pub(crate) fn record_success(&mut self, worker: &Name) {
        if let Some(id) = self.workers.find(worker) {
            self.workers.list[id].health.success();
        }
    }

    /// Records the failure of a member of the job on a worker.
    pub(crate) fn record_failure(&mut self, step: &mut Step, id: JobId, worker: &Name) {
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
            self.worker_unavailable(w);
            self.clear_failures_on(step, worker);
            for job in self.workers.jobs_on(w) {
                if self.jobs.get(job).rec.phase == Phase::Holding {
                    self.interrupt(step, job, "the worker is in quarantine");
                }
            }
        }
    }

    /// Removes the failures on a quarantined worker from the records of its jobs, since the worker
    /// was at fault.
    fn clear_failures_on(&mut self, step: &mut Step, worker: &Name) {
        let failed_there = |id: &JobId| self.jobs.get(*id).rec.failed_on.contains(worker);
        let unfinished = self.waiting().chain(self.active.iter().copied());
        let jobs: Vec<JobId> = unfinished.filter(failed_there).collect();
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

    /// Returns whether the job is faulty: it failed on enough workers that are not at fault, failed
    /// too often, crashed workers, or exceeded the maximum correction of its declared memory.
    pub(crate) fn is_job_at_fault(&self, id: JobId) -> bool {
        let rec = &self.jobs.get(id).rec;
        let failed = rec.failed_on.len() >= DISTINCT_FAILURE_LIMIT || rec.failures >= FAILURE_LIMIT;
        failed || crash::is_at_fault(rec) || self.exceeds_max_correction(id)
    }

    /// Returns whether the job must not run on the worker because it failed there. A job that
    /// failed on all workers may use any of them again.
    pub(crate) fn avoids(&self, id: JobId, worker: &Name) -> bool {
        let failed_on = &self.jobs.get(id).rec.failed_on;
        failed_on.len() < self.workers.list.len() && failed_on.contains(worker)
    }

    /// Ends the quarantines that are over.
    pub(crate) fn tick_health(&mut self, now: Millis) {
        for id in 0..self.workers.list.len() {
            if self.workers.list[id].health.tick(now) {
                self.worker_available();
            }
        }
    }
}
