//! Attribution of crashes of workers to the jobs that ran there.

use base::{clock::Millis, name::Name};
use schema::job::Phase;

use crate::{
    jobs::JobId,
    record::JobRecord,
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
        let jobs: Vec<JobId> = self.workers.jobs_on(worker);
        let jobs: Vec<JobId> = jobs.into_iter().filter(running).collect();
        let alive_until = step.now.since(silent);
        // After a restore the phase began before `phase_since`, and `started_at` is by the wall clock
        // of another leader, which may be ahead.
        let age = |id: &JobId| {
            let job = self.jobs.get(*id);
            alive_until.since(job.phase_since.min(job.rec.started_at))
        };
        let fresh = jobs.iter().copied().filter(|id| age(id) < PROVING_TIME);
        let fresh: Vec<JobId> = fresh.collect();
        let (suspects, weight) = match (&fresh[..], &jobs[..]) {
            ([_], _) => (fresh, SOLE_SUSPECT),
            ([], [_]) => (jobs, OTHER_SUSPECT),
            _ => (fresh, OTHER_SUSPECT),
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
    }
}
