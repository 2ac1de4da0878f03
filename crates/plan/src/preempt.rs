//! Preemption: urgent jobs take the place of borrowed work that is not urgent.

use schema::job::{Phase, StopMode};

use crate::{
    jobs::JobId,
    plan_cfg::Policy,
    resources::Resources,
    state::{Plan, Step},
    workers::WorkerId,
};

/// Maximum number of victim searches in one decision; each search scans all running tasks.
const MAX_SEARCHES: usize = 3;
/// Multiple of its fair share from which the urgent work of an organisation no longer preempts
/// other work.
const MAX_FAIR_SHARE_USE: f64 = 1.5;

impl Step {
    /// Counts a victim search. Returns whether it is within the limit.
    pub(crate) fn count_search(&mut self) -> bool {
        self.victim_searches += 1;
        self.victim_searches <= MAX_SEARCHES
    }
}

impl Plan {
    /// Starts to stop one borrowed job for an urgent job that found no place. Returns whether it
    /// did.
    ///
    /// The usage of the urgent job's organisation is limited relative to its fair share, so that
    /// marking all work as urgent gains little.
    pub(crate) fn preempt(&mut self, step: &mut Step, id: JobId) -> bool {
        let job = &self.jobs.get(id).rec.job;
        let allowed = job.urgent && job.stop != StopMode::Never && self.cfg.policy == Policy::Full;
        let within_share = self.share_used(&job.organisation) < MAX_FAIR_SHARE_USE;
        if !allowed || !within_share || !step.count_search() {
            return false;
        }
        let Some((worker, victim)) = self.cheapest_victim(step, id) else {
            return false;
        };
        let workers = vec![worker; self.gang_needs(id).1.into()];
        self.await_resources(id, workers);
        let reason = format!("stopped for {}", self.jobs.get(id).rec.key());
        self.interrupt(step, victim, &reason);
        true
    }

    /// Returns the worker and job whose stop loses the least work among the jobs that free enough
    /// resources for the whole gang on one worker.
    fn cheapest_victim(&self, step: &Step, id: JobId) -> Option<(WorkerId, JobId)> {
        let (need, members) = self.gang_needs(id);
        let gang_need = need.saturating_mul(members);
        let mut best = None;
        for (worker, w) in self.workers.list.iter().enumerate() {
            if !w.is_schedulable(step.now) || self.avoids(id, &w.info.name) {
                continue;
            }
            let soon_free = w
                .free()
                .saturating_add(w.stopping)
                .saturating_sub(w.awaited);
            for victim in &w.tasks {
                if !self.frees_enough(*victim, worker, soon_free, gang_need) {
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

    fn frees_enough(
        &self,
        victim: JobId,
        worker: WorkerId,
        soon_free: Resources,
        gang_need: Resources,
    ) -> bool {
        let job = self.jobs.get(victim);
        job.rec.phase == Phase::Running
            && job.reservation.is_none()
            && !job.rec.job.urgent
            && gang_need.fits_in(soon_free.saturating_add(self.usage_on(victim, worker)))
    }
}
