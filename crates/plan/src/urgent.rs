//! Urgent work that takes the place of borrowed work that is not urgent.

use schema::job::{Phase, StopMode};

use crate::{
    amount::Amount,
    jobs::JobId,
    plan_cfg::Policy,
    state::{Plan, Step},
    workers::WorkerId,
};

/// Searches for work to stop in one decision; each looks at all running tasks.
const MOST_SEARCHES: usize = 3;
/// Part of its fair share beyond which an organisation's urgent work waits like other work.
const MOST_SHARE: f64 = 1.5;

impl Step {
    /// Counts a search for work to stop; returns whether it is within the limit.
    pub(crate) fn may_search(&mut self) -> bool {
        self.searches += 1;
        self.searches <= MOST_SEARCHES
    }
}

impl Plan {
    /// Starts to stop one borrowed job for an urgent one that found no place. Returns whether it
    /// did.
    ///
    /// The use of the urgent job's organisation is bounded by its fair share, so that marking all
    /// work as urgent gains little.
    pub(crate) fn preempt(&mut self, step: &mut Step, id: JobId) -> bool {
        let job = &self.jobs.get(id).rec.job;
        let allowed = job.urgent && job.stop != StopMode::Never && self.cfg.policy == Policy::Full;
        let within = self.share_used(&job.organisation) < MOST_SHARE;
        if !allowed || !within || !step.may_search() {
            return false;
        }
        let Some((worker, victim)) = self.cheapest_exchange(step, id) else {
            return false;
        };
        let workers = vec![worker; self.gang_of(id).1.into()];
        self.await_room(id, workers);
        let reason = format!("stopped for {}", self.jobs.get(id).rec.key());
        self.interrupt(step, victim, &reason);
        true
    }

    /// Returns the job whose stop loses least among those that make room for the whole gang on
    /// one worker.
    fn cheapest_exchange(&self, step: &Step, id: JobId) -> Option<(WorkerId, JobId)> {
        let (need, members) = self.gang_of(id);
        let whole = need.times(members);
        let mut best = None;
        for (worker, w) in self.workers.list.iter().enumerate() {
            if !w.is_open(step.now) || self.avoids(id, &w.info.name) {
                continue;
            }
            let soon = w.free().plus(w.stopping).minus(w.awaited);
            for victim in &w.tasks {
                if !self.makes_room(*victim, worker, soon, whole) {
                    continue;
                }
                let cost = self.victim_cost(step.now, *victim);
                if best.is_none_or(|(least, _, _)| cost < least) {
                    best = Some((cost, worker, *victim));
                }
            }
        }
        best.map(|(_, worker, victim)| (worker, victim))
    }

    fn makes_room(&self, victim: JobId, worker: WorkerId, soon: Amount, whole: Amount) -> bool {
        let job = self.jobs.get(victim);
        job.rec.phase == Phase::Running
            && job.slot.is_none()
            && !job.rec.job.urgent
            && whole.fits_in(soon.plus(self.share_on(victim, worker)))
    }
}
