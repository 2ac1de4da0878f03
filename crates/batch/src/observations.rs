//! What the progress and the ends of runs tell about the speed of workers and about estimates.

use std::hash::{DefaultHasher, Hash, Hasher};

use base::clock::Millis;
use forecast::observation::Observation;

use crate::{
    candidates::Candidates,
    config::URGENT_PRIORITY,
    job::{Step, SubtaskId},
    open_job::Job,
    progress::Run,
    ranking::Unit,
    scheduler::JobScheduler,
    typical_work::kind_of,
};

/// Progress at which a run is done, in percent.
const DONE_PERCENT: u32 = 100;

impl JobScheduler {
    /// Observes a run that its worker reports as running. `before` is the progress of the last report.
    /// A member of a gang stays at 100% until the others are done too, so only the first report of it
    /// counts.
    pub(crate) fn observe_progress(&mut self, id: &SubtaskId, before: u32, now: Millis) {
        let Some(run) = self.subtask(id).and_then(|t| t.run.as_ref()) else {
            return;
        };
        if before < DONE_PERCENT && run.percent > 0 {
            let progress = f64::from(run.percent.min(DONE_PERCENT)) / f64::from(DONE_PERCENT);
            self.observe(id, progress, now);
        }
    }

    /// Observes a run that is done, before it is removed. A gang ends at the pace of its slowest member
    /// and its end is reported for one member only, so it says nothing about the worker of that one.
    pub(crate) fn observe_done(&mut self, id: &SubtaskId, now: Millis) {
        let Some((run, step)) = self.run_of(id) else {
            return;
        };
        let (is_gang, expected) = (step.gang, run.expected);
        let job = self.jobs.get(&id.job);
        let elapsed = job.and_then(|job| job.time_of_work(id, now));
        if let (Some(elapsed), Some(expected)) = (elapsed, expected)
            && elapsed.0 > 0
            && expected.0 > 0
        {
            let error = (elapsed.0 as f64 / expected.0 as f64).ln();
            self.run_time_errors.push(error);
        }
        if !is_gang {
            self.observe(id, 1.0, now);
        }
    }

    fn observe(&mut self, id: &SubtaskId, progress: f64, now: Millis) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(elapsed) = job.time_of_work(id, now) else {
            return;
        };
        let Some(run) = job.subtask(id).and_then(|t| t.run.as_ref()) else {
            return;
        };
        let worker = self.workers.get(&run.worker);
        let Some(worker) = worker.filter(|w| !w.is_cold(now)) else {
            return;
        };
        let Some(info) = &worker.info else {
            return;
        };
        let step = job.step(id);
        let obs = Observation {
            step: step_number(id),
            index: id.index,
            kind: &kind_of(&job.accepted.queue, step),
            worker: &run.worker,
            service: &info.service,
            estimate: step.estimate,
            elapsed,
            progress,
        };
        self.forecast.observe(&obs, now);
    }

    /// Returns the logarithms of the ratios of run times to expected run times since the last call.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().take_run_time_errors().is_empty());
    /// ```
    pub fn take_run_time_errors(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.run_time_errors)
    }

    /// Forgets the speeds of workers that are no longer known.
    pub(crate) fn forget_speeds(&mut self) {
        let all = self.forecast.slowest(usize::MAX);
        for (id, _) in all {
            if self.workers.get(&id).is_none() {
                self.forecast.forget_worker(&id);
            }
        }
    }

    /// Adds the waiting urgent work of queues of which no work is known.
    pub(crate) fn note_typical_work(&mut self, units: &[Unit]) {
        for unit in units.iter().filter(|u| u.priority == URGENT_PRIORITY) {
            let Some(job) = self.jobs.get(&unit.job) else {
                continue;
            };
            if !self.typical_work.knows(&job.accepted.queue) {
                let step = &job.accepted.spec.steps[unit.step];
                self.typical_work.record(&job.accepted.queue, step);
            }
        }
    }

    /// Adds work that was placed.
    pub(crate) fn record_typical(&mut self, unit: &Unit, step: &Step) {
        if let Some(job) = self.jobs.get(&unit.job) {
            self.typical_work.record(&job.accepted.queue, step);
        }
    }
}

/// Returns whether run times on the chosen candidates tell how fast these are. Runs away from their
/// data or rack, and those on cold workers, take longer.
pub(crate) fn measures_speed(step: &Step, all: &Candidates, chosen: &[usize]) -> bool {
    let is_cold = |i: &usize| all.all[*i].is_cold;
    let mut racks = chosen.iter().map(|i| all.all[*i].rack);
    let first = racks.next();
    let is_apart = step.gang && step.same_rack && racks.any(|r| Some(r) != first);
    let rack = step.data_rack.as_ref().map(|name| all.rack(name));
    let is_away = |i: &usize| rack.is_some_and(|r| r.binary_search(i).is_err());
    let is_bounded = !step.endless && !step.fills;
    is_bounded && !is_apart && !chosen.iter().any(is_cold) && !chosen.iter().any(is_away)
}

impl Job {
    /// Returns how long a run has worked, if that tells how fast its worker is. The members of a gang
    /// begin together.
    fn time_of_work(&self, id: &SubtaskId, now: Millis) -> Option<Millis> {
        let began = |run: &Run| run.began_at.filter(|_| run.expected.is_some());
        let began_at = if self.step(id).gang {
            let tasks = &self.progress.occurrences.get(id.occurrence as usize)?.steps[id.step];
            let mut all = tasks.iter().map(|t| t.run.as_ref().and_then(began));
            all.try_fold(Millis::ZERO, |last, began| Some(last.max(began?)))?
        } else {
            began(self.subtask(id)?.run.as_ref()?)?
        };
        Some(now.since(began_at))
    }
}

/// Returns a number that the subtasks of one step share.
fn step_number(id: &SubtaskId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&id.job, id.occurrence, id.step).hash(&mut hasher);
    hasher.finish()
}
