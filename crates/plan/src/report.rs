//! Handling of worker reports and of ticks.

use base::name::Name;
use schema::job::Phase;

use crate::{
    event::Report,
    jobs::{JobId, Progress},
    order::{Action, Attempt, Order},
    record::Member,
    state::{Plan, Step},
    workers::Status,
};

impl Plan {
    /// Handles a worker's report about its members of an attempt.
    pub(crate) fn report(
        &mut self,
        step: &mut Step,
        attempt: &Attempt,
        worker: &Name,
        report: Report,
    ) {
        let Some((id, members)) = self.members_on(attempt, worker) else {
            return Self::reject_stale_attempt(step, attempt, worker, report);
        };
        for i in &members {
            self.jobs.get_mut(id).last_report_at[*i] = step.now;
        }
        match self.jobs.get(id).rec.phase {
            Phase::Holding => self.report_holding(step, id, &members, worker, report),
            Phase::Running => self.report_running(step, id, &members, worker, report),
            Phase::Stopping => self.report_stopping(step, id, &members, report),
            _ => {}
        }
    }

    /// Returns the indices of the members on the worker, if the attempt is the current one.
    fn members_on(&self, attempt: &Attempt, worker: &Name) -> Option<(JobId, Vec<usize>)> {
        let id = self.jobs.find(&attempt.job)?;
        let rec = &self.jobs.get(id).rec;
        let here = |i: &usize| rec.members[*i].worker == *worker;
        let members: Vec<usize> = (0..rec.members.len()).filter(here).collect();
        (rec.attempt == attempt.attempt && !members.is_empty()).then_some((id, members))
    }

    /// Tells a worker to release or stop an attempt that is not the current one.
    fn reject_stale_attempt(step: &mut Step, attempt: &Attempt, worker: &Name, report: Report) {
        let action = match report {
            Report::Held => Action::Release,
            Report::Running { .. } => Action::Stop { checkpoint: false },
            _ => return,
        };
        step.orders.push(Order {
            attempt: attempt.clone(),
            member: Member {
                worker: worker.clone(),
                accelerators: 0,
            },
            action,
        });
    }

    fn report_holding(
        &mut self,
        step: &mut Step,
        id: JobId,
        members: &[usize],
        worker: &Name,
        report: Report,
    ) {
        match report {
            Report::Held => self.record_held(step, id, members, worker),
            Report::NotHeld | Report::Failed => {
                self.back_off(step, worker);
                self.abort(step, id, Phase::Waiting, "a worker did not hold");
            }
            _ => {}
        }
    }

    fn record_held(&mut self, step: &mut Step, id: JobId, members: &[usize], worker: &Name) {
        if let Some(w) = self.workers.find(worker) {
            self.workers.list[w].missed_holds = 0;
        }
        self.set_progress(id, members, Progress::Held);
        if self.jobs.get(id).all_members(Progress::Held) {
            self.start(step, id);
        }
    }

    fn report_running(
        &mut self,
        step: &mut Step,
        id: JobId,
        members: &[usize],
        worker: &Name,
        report: Report,
    ) {
        match report {
            Report::Held => {}
            Report::Running { memory_mb } => {
                self.set_progress(id, members, Progress::Running);
                self.check_memory(step, id, members, memory_mb);
            }
            Report::Done => {
                self.set_progress(id, members, Progress::Done);
                self.record_success(worker);
                if self.jobs.get(id).all_members(Progress::Done) {
                    self.finish_job(step, id);
                }
            }
            Report::Failed => {
                self.set_progress(id, members, Progress::Stopped);
                self.record_failure(step, id, worker);
                self.stop(step, id, "a member failed");
            }
            Report::NotHeld | Report::Stopped { .. } => {
                self.set_progress(id, members, Progress::Stopped);
                self.stop(step, id, "a member stopped by itself");
            }
        }
    }

    fn report_stopping(&mut self, step: &mut Step, id: JobId, members: &[usize], report: Report) {
        match report {
            Report::Done => self.set_progress(id, members, Progress::Done),
            Report::Stopped { checkpoint } => {
                self.set_progress(id, members, Progress::Stopped);
                self.jobs.get_mut(id).checkpointed &= checkpoint;
            }
            Report::Failed | Report::NotHeld => {
                self.set_progress(id, members, Progress::Stopped);
                self.jobs.get_mut(id).checkpointed = false;
            }
            Report::Held | Report::Running { .. } => return,
        }
        self.finish_stop(step, id);
    }

    fn set_progress(&mut self, id: JobId, members: &[usize], progress: Progress) {
        let job = self.jobs.get_mut(id);
        for i in members {
            if job.progress[*i] != Progress::Done {
                job.progress[*i] = progress;
            }
        }
    }

    /// Excludes a worker that missed a hold from placement, for a time that doubles with each miss.
    fn back_off(&mut self, step: &Step, worker: &Name) {
        let Some(id) = self.workers.find(worker) else {
            return;
        };
        let worker = &mut self.workers.list[id];
        worker.missed_holds = (worker.missed_holds + 1).min(6);
        let factor = 1 << (worker.missed_holds - 1);
        worker.backoff_until = step.now + base::clock::Millis(self.cfg.hold_backoff.0 * factor);
    }

    /// Handles a tick: timeouts, resends and expired quarantines.
    pub(crate) fn tick(&mut self, step: &mut Step) {
        self.declare_absent_lost(step);
        self.tick_health(step.now);
        self.recheck_limits(step);
        let jobs: Vec<JobId> = self.active.iter().copied().collect();
        for id in jobs {
            self.tick_job(step, id);
        }
        self.hold_back(step);
        // Wait limits and backoffs expire without an event, so all classes are retried once all
        // were tried.
        if self.queue.len > 0 && self.all_tried_at == self.generation {
            self.capacity_changed();
        }
    }

    /// Sets whether the sizes of all listed workers are known. Once they are, the next tick checks
    /// the waiting jobs against them.
    pub(crate) fn set_fleet_known(&mut self, known: bool) {
        self.recheck_limits |= known && !self.fleet_known;
        self.fleet_known = known;
    }

    fn recheck_limits(&mut self, step: &mut Step) {
        if std::mem::take(&mut self.recheck_limits) {
            self.refuse_impossible(step);
        }
    }

    fn tick_job(&mut self, step: &mut Step, id: JobId) {
        if step.changed.len() >= self.cfg.max_records {
            return;
        }
        let job = self.jobs.get(id);
        if job.rec.phase == Phase::Holding && step.now.since(job.phase_since) >= self.cfg.hold_limit
        {
            return self.hold_timed_out(step, id);
        }
        if job.rec.phase == Phase::Running {
            self.poll_silent(step, id);
        }
        let job = self.jobs.get(id);
        let unconfirmed = job.progress.contains(&Progress::Unconfirmed);
        if unconfirmed && step.now.since(job.last_order_at) >= self.cfg.resend_after {
            self.send_outstanding(step, id);
        }
    }

    /// Marks running members without a recent report as unconfirmed, so that their order is sent
    /// again.
    fn poll_silent(&mut self, step: &Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        for (progress, last_report_at) in job.progress.iter_mut().zip(&mut job.last_report_at) {
            let silent = step.now.since(*last_report_at) >= self.cfg.poll_after;
            if silent && *progress == Progress::Running {
                *progress = Progress::Unconfirmed;
                *last_report_at = step.now;
            }
        }
    }

    fn hold_timed_out(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get(id);
        let late_workers = job.rec.members.iter().zip(&job.progress);
        let late_workers: Vec<Name> = late_workers
            .filter(|(_, p)| **p == Progress::Unconfirmed)
            .map(|(member, _)| member.worker.clone())
            .collect();
        for worker in &late_workers {
            self.back_off(step, worker);
        }
        self.abort(step, id, Phase::Waiting, "a worker did not answer a hold");
    }

    /// Declares workers lost that hold tasks and were not reported since the restore.
    fn declare_absent_lost(&mut self, step: &mut Step) {
        if step.now.since(self.restored_at) < self.cfg.absent_limit {
            return;
        }
        let absent = |w: &&crate::workers::Worker| {
            w.status == Status::Absent && !w.lost && !w.tasks.is_empty()
        };
        let names: Vec<Name> = self
            .workers
            .list
            .iter()
            .filter(absent)
            .map(|w| w.info.name.clone())
            .collect();
        for name in names {
            self.worker_lost(step, &name);
        }
    }
}
