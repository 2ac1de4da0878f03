//! Attribution of crashes of workers to the jobs that ran there.

use std::mem;

use base::{clock::Millis, name::Name};
use schema::job::Phase;

use crate::{
    jobs::JobId,
    record::{JobKey, JobRecord},
    state::{Plan, Step},
};

/// Time that a job has to run on a worker before a crash is no longer attributed to its start.
const PROVING_TIME: Millis = Millis(2_000);
/// Weight of a crash right after the start of a job, if no other job had just started there.
const SOLE_SUSPECT: u32 = 2;
/// Weight of a crash that has several suspects, or that came late while only this job ran there.
const OTHER_SUSPECT: u32 = 1;
/// Sum of the weights from which the job is at fault: three crashes as the sole suspect.
const CRASH_LIMIT: u32 = 3 * SOLE_SUSPECT;
/// Number of other workers that show an outage, if they crashed at the same time as a worker, had no
/// job that had just started and none of those suspected of its crash. One or two may have crashed by
/// themselves.
const MIN_LOST_IN_OUTAGE: usize = 3;
/// Time for which crashes are kept for comparison.
const CRASH_MEMORY: Millis = Millis(60_000);

/// A crash of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    worker: Name,
    /// Last time at which the worker was alive.
    from: Millis,
    /// Time at which it had restarted.
    to: Millis,
    /// Whether a job had just started there.
    has_fresh: bool,
    /// Jobs that ran or were being stopped there.
    jobs: Vec<JobKey>,
    /// Those that may be the cause, and the weight that was added to each.
    suspects: Vec<JobKey>,
    weight: u32,
    /// Other workers whose crashes are unrelated, up to [`MIN_LOST_IN_OUTAGE`].
    unrelated: Vec<Name>,
}

impl Crash {
    /// Counts another crash if it happened at the same time for a reason that is none of the jobs
    /// suspected of this one. Returns whether the crash is now known as part of an outage.
    fn compare(&mut self, other: &Self) -> bool {
        if self.unrelated.len() >= MIN_LOST_IN_OUTAGE {
            return true;
        }
        let is_simultaneous = self.from <= other.to && other.from <= self.to;
        let has_suspect = self.suspects.iter().any(|job| other.jobs.contains(job));
        let is_known = self.worker == other.worker || self.unrelated.contains(&other.worker);
        if is_simultaneous && !other.has_fresh && !has_suspect && !is_known {
            self.unrelated.push(other.worker.clone());
        }
        self.unrelated.len() >= MIN_LOST_IN_OUTAGE
    }
}

/// Returns whether the job has crashed too many workers.
pub(crate) fn is_at_fault(rec: &JobRecord) -> bool {
    rec.crash_weight >= CRASH_LIMIT
}

impl Plan {
    /// Handles a worker that has lost the tasks that it ran: it has crashed. Jobs that ran beside
    /// others that had just started are not suspected.
    pub(crate) fn worker_restarted(&mut self, step: &mut Step, name: &Name, silent: Millis) {
        let Some(worker) = self.workers.find(name) else {
            return;
        };
        let running = |id: &JobId| self.jobs.get(*id).rec.phase == Phase::Running;
        let all: Vec<JobId> = self.workers.jobs_on(worker);
        let jobs: Vec<JobId> = all.iter().copied().filter(running).collect();
        let alive_until = step.now.since(silent);
        // After a restore the phase began before `phase_since`, and `started_at` is by the wall clock
        // of another leader, which may be ahead.
        let age = |id: &JobId| {
            let job = self.jobs.get(*id);
            alive_until.since(job.phase_since.min(job.rec.started_at))
        };
        let fresh = jobs.iter().copied().filter(|id| age(id) < PROVING_TIME);
        let fresh: Vec<JobId> = fresh.collect();
        let key = |id: &JobId| self.jobs.get(*id).rec.key();
        let has_fresh = !fresh.is_empty();
        let (suspects, weight) = match (&fresh[..], &jobs[..]) {
            ([_], _) => (fresh, SOLE_SUSPECT),
            ([], [_]) => (jobs, OTHER_SUSPECT),
            _ => (fresh, OTHER_SUSPECT),
        };
        let crash = Crash {
            worker: name.clone(),
            from: alive_until,
            to: step.now,
            has_fresh,
            jobs: all.iter().map(key).collect(),
            suspects: suspects.iter().map(key).collect(),
            weight,
            unrelated: Vec::new(),
        };
        for id in suspects {
            let rec = &mut self.jobs.get_mut(id).rec;
            rec.crash_weight += weight;
            log::warn!(
                job:% = rec.key(), attempt = rec.attempt, worker:% = name, weight, sum = rec.crash_weight,
                limit = CRASH_LIMIT;
                "plan: worker crashed under the job"
            );
            step.changed.push(id);
        }
        self.crashes
            .retain(|c| step.now.since(c.to) <= CRASH_MEMORY);
        self.clear_suspects(step, crash);
    }

    /// Takes back the weights of crashes that many workers share. The first of them is counted before
    /// the others are known.
    fn clear_suspects(&mut self, step: &mut Step, mut new: Crash) {
        let mut crashes = mem::take(&mut self.crashes);
        for crash in &mut crashes {
            if new.compare(crash) {
                self.clear(step, &mut new);
            }
            if crash.compare(&new) {
                self.clear(step, crash);
            }
        }
        crashes.push(new);
        self.crashes = crashes;
    }

    fn clear(&mut self, step: &mut Step, crash: &mut Crash) {
        for key in crash.suspects.drain(..) {
            let Some(id) = self.jobs.find(&key) else {
                continue;
            };
            let rec = &mut self.jobs.get_mut(id).rec;
            if rec.phase.is_final() {
                continue;
            }
            rec.crash_weight = rec.crash_weight.saturating_sub(crash.weight);
            log::info!(
                job:% = key, worker:% = crash.worker, weight = crash.weight, sum = rec.crash_weight;
                "plan: worker crashed with many others, the job is not suspected"
            );
            step.changed.push(id);
        }
    }
}
