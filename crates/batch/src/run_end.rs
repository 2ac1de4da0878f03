//! Ends of runs that workers report.

use base::clock::Millis;

use crate::{
    job::{SubtaskId, Text},
    job_end::JobEnd,
    open_job::Job,
    scheduler::JobScheduler,
    worker::{FinishedRun, Outcome},
};

impl JobScheduler {
    /// Handles the end of a run that a worker reported.
    pub(crate) fn handle_finished(
        &mut self,
        worker: &str,
        finished: &FinishedRun,
        now: Millis,
        wall_now: Millis,
    ) {
        let id = &finished.task;
        let current = self.subtask(id).is_some_and(|t| {
            let here = t.run.as_ref().is_some_and(|r| &*r.worker == worker);
            t.attempt == finished.attempt && here
        });
        log::info!(
            task:% = id, attempt = finished.attempt, worker, how = finished.outcome.name(), seq = finished.seq, current;
            "batch: end"
        );
        if !current {
            return self.handle_late_end(worker, finished, now, wall_now);
        }
        self.run_ends.push(finished.outcome);
        if let Some(task) = self.subtask_mut(id)
            && !finished.checkpoint.is_empty()
        {
            task.checkpoint = finished.checkpoint.clone();
        }
        if finished.outcome == Outcome::Done {
            self.observe_done(id, now);
        }
        self.remove_run(id);
        // An earlier run was done after all.
        if self.subtask(id).is_some_and(|t| t.done) && finished.outcome != Outcome::Done {
            return;
        }
        match finished.outcome {
            Outcome::Done if self.is_endless(id) => {}
            Outcome::Done => self.handle_done(worker, id, now, wall_now),
            Outcome::Failed => self.handle_failure(worker, id, now, wall_now),
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {
                self.stop_gang(id, now);
            }
        }
    }

    /// Handles the end of a run that is not the current one of its subtask. One that was done before its
    /// lease was over, on a worker that could not tell, counts: a later run is stopped.
    fn handle_late_end(
        &mut self,
        worker: &str,
        finished: &FinishedRun,
        now: Millis,
        wall_now: Millis,
    ) {
        let id = &finished.task;
        let was_lapsed = self.take_lapsed_run(worker, finished);
        let is_open = self.phase(&id.job).is_some_and(|p| !p.is_final());
        let is_endless = self.is_endless(id);
        let is_done = self.subtask(id).is_none_or(|t| t.done);
        if !was_lapsed || finished.outcome != Outcome::Done || !is_open || is_endless || is_done {
            return;
        }
        log::info!(task:% = id, attempt = finished.attempt, worker; "batch: done before its lease was over");
        self.stop_gang(id, now);
        self.handle_done(worker, id, now, wall_now);
        self.dirty.push(id.job.clone());
    }

    fn handle_done(&mut self, worker: &str, id: &SubtaskId, now: Millis, wall_now: Millis) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.record_success();
        }
        let gang = self.step_of(id).is_some_and(|s| s.gang);
        for member in self.gang_members(id, gang) {
            if let Some(task) = self.subtask_mut(&member) {
                task.done = true;
                task.checkpoint = Text::default();
            }
        }
        let all_done = |j: &Job| !j.progress.phase.is_final() && j.is_done();
        if self.jobs.get(&id.job).is_some_and(all_done) {
            self.finish(&id.job, JobEnd::Done, now, wall_now);
        }
    }

    fn handle_failure(&mut self, worker: &str, id: &SubtaskId, now: Millis, wall_now: Millis) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let endless = job.step(id).endless;
        match self.workers.get_mut(worker) {
            Some(w) if endless => w.record_endless_failure(id, now),
            Some(w) => w.record_failure(now),
            None => {}
        }
        let limit = self
            .config
            .queue(&job.accepted.queue)
            .map(|q| q.max_attempts)
            .or(job.progress.max_attempts);
        let is_final = job.progress.phase.is_final();
        let Some(task) = self.subtask_mut(id) else {
            return;
        };
        task.failures += 1;
        let failures = task.failures;
        let reached = limit.filter(|limit| failures >= *limit);
        if let Some(limit) = reached
            && !endless
            && !is_final
        {
            let end = JobEnd::Failures {
                task: id,
                failures,
                limit,
            };
            return self.finish(&id.job, end, now, wall_now);
        }
        self.stop_gang(id, now);
    }

    /// Stops the subtask and, if it belongs to a gang, all other members that are not done.
    pub(crate) fn stop_gang(&mut self, id: &SubtaskId, now: Millis) {
        let gang = self.step_of(id).is_some_and(|s| s.gang);
        for member in self.gang_members(id, gang) {
            if self.subtask(&member).is_some_and(|t| !t.done) {
                self.stop(&member, now);
            }
        }
    }

    /// Returns all members of the subtask's step if it is a gang, otherwise the subtask alone.
    pub(crate) fn gang_members(&self, id: &SubtaskId, gang: bool) -> Vec<SubtaskId> {
        let count = self.step_of(id).map_or(0, |s| s.count as usize);
        if !gang {
            return vec![id.clone()];
        }
        let member = |index| SubtaskId {
            index,
            ..id.clone()
        };
        (0..count).map(member).collect()
    }

    /// Removes the run of a subtask after it has ended.
    pub(crate) fn remove_run(&mut self, id: &SubtaskId) {
        let run = self.subtask_mut(id).and_then(|t| t.run.take());
        let Some(run) = run else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.remove_run(id);
        }
        self.jobs.settle(&id.job);
        self.dirty.push(id.job.clone());
    }
}
