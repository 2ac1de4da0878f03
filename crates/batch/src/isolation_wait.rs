//! Waits of subtasks that are kept from workers only because of what else runs there. Each has an end:
//! crashes and new starts may go on for ever.

use base::clock::Millis;

use crate::{
    candidates::Candidates,
    isolation::{Isolation, IsolationState, WaitState},
    job::{Step, Text},
    placement::Pass,
    ranking::Unit,
    scheduler::JobScheduler,
};

impl JobScheduler {
    /// Keeps workers free of ordinary starts for units that have to start apart from others and already
    /// wait for that.
    pub(crate) fn hold_quiet_workers(&self, units: &[Unit], pass: &mut Pass) {
        let waits =
            |u: &&Unit| u.isolation == Isolation::Start && u.isolation_wait == WaitState::Waiting;
        for unit in units.iter().filter(waits) {
            let Some(job) = self.jobs.get(&unit.job) else {
                continue;
            };
            let step = &job.accepted.spec.steps[unit.step];
            let search = self.search(unit, step, self.service_of(job), pass.now);
            for i in search.kept_from(&mut pass.candidates) {
                pass.candidates.isolate(i, IsolationState::hold_quiet);
            }
        }
    }

    /// Records whether only other work keeps a unit from workers, and holds a worker for one that has to
    /// be alone.
    pub(crate) fn wait_for_isolation(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        candidates: &mut Candidates,
        now: Millis,
    ) {
        if unit.isolation == Isolation::Alone {
            return self.wait_alone(unit, step, service, candidates, now);
        }
        let search = self.search(unit, step, service, now);
        let is_kept_from = !search.kept_from(candidates).is_empty();
        if !is_kept_from && unit.isolation_wait == WaitState::None {
            return;
        }
        if is_kept_from && unit.isolation_wait == WaitState::None {
            log::info!(
                job:% = unit.job, step = unit.step, subtasks = unit.tasks.len(),
                isolated = unit.isolation > Isolation::None;
                "batch: kept from workers by what else runs there"
            );
        }
        for id in &unit.tasks {
            if let Some(task) = self.subtask_mut(id) {
                if is_kept_from {
                    task.wait_for_isolation(false, now);
                } else {
                    task.isolation_wait = None;
                }
            }
        }
    }

    /// Keeps a worker free of new work for a unit that has to run alone, if one will become idle.
    fn wait_alone(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        candidates: &mut Candidates,
        now: Millis,
    ) {
        let search = self.search(unit, step, service, now);
        let to_empty = search.find_worker_to_empty(candidates);
        // Lasting work, and work for which there is room beside others, may not wait until the runs on
        // the held worker have ended.
        let may_wait_long = !step.endless && !search.has_ample_room(candidates);
        if let Some(i) = to_empty {
            candidates.isolate(i, IsolationState::hold);
        }
        for id in &unit.tasks {
            let worker = to_empty.map(|i| candidates.all[i].worker.clone());
            let Some(task) = self.subtask_mut(id) else {
                continue;
            };
            if task.isolation_wait.is_none() {
                log::info!(task:% = id, crashes = task.crashes, held = worker.as_deref().unwrap_or_default(); "batch: waits for a worker of its own");
            }
            task.wait_for_isolation(worker.is_some() && may_wait_long, now);
        }
    }
}
