//! Reports of workers, and the passing of time.

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
    /// Handles a report about one member.
    pub(crate) fn report(
        &mut self,
        step: &mut Step,
        attempt: &Attempt,
        worker: &Name,
        report: Report,
    ) {
        let Some((id, members)) = self.members_on(attempt, worker) else {
            return Self::refuse_unknown(step, attempt, worker, report);
        };
        for i in &members {
            self.jobs.get_mut(id).heard_at[*i] = step.now;
        }
        match self.jobs.get(id).rec.phase {
            Phase::Holding => self.report_holding(step, id, &members, worker, report),
            Phase::Running => self.report_running(step, id, &members, worker, report),
            Phase::Stopping => self.report_stopping(step, id, &members, report),
            _ => {}
        }
    }

    /// Returns the members of the attempt on the worker, if the attempt is the current one.
    fn members_on(&self, attempt: &Attempt, worker: &Name) -> Option<(JobId, Vec<usize>)> {
        let id = self.jobs.find(&attempt.job)?;
        let rec = &self.jobs.get(id).rec;
        let here = |i: &usize| rec.members[*i].worker == *worker;
        let members: Vec<usize> = (0..rec.members.len()).filter(here).collect();
        (rec.attempt == attempt.attempt && !members.is_empty()).then_some((id, members))
    }

    /// Tells a worker to give up an attempt that is not the current one.
    fn refuse_unknown(step: &mut Step, attempt: &Attempt, worker: &Name, report: Report) {
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
            Report::Held => self.held(step, id, members, worker),
            Report::NotHeld | Report::Failed => {
                self.rest(step, worker);
                self.abort(step, id, Phase::Waiting, "a worker did not hold");
            }
            _ => {}
        }
    }

    fn held(&mut self, step: &mut Step, id: JobId, members: &[usize], worker: &Name) {
        if let Some(w) = self.workers.find(worker) {
            self.workers.list[w].missed_holds = 0;
        }
        self.mark(id, members, Progress::Held);
        if self.jobs.get(id).all(Progress::Held) {
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
                self.mark(id, members, Progress::Running);
                self.measure(step, id, members, memory_mb);
            }
            Report::Done => {
                self.mark(id, members, Progress::Done);
                self.succeeded(worker);
                if self.jobs.get(id).all(Progress::Done) {
                    self.done(step, id);
                }
            }
            Report::Failed => {
                self.mark(id, members, Progress::Stopped);
                self.failed(step, id, worker);
                self.stop(step, id, "a member failed");
            }
            Report::NotHeld | Report::Stopped { .. } => {
                self.mark(id, members, Progress::Stopped);
                self.stop(step, id, "a member stopped by itself");
            }
        }
    }

    fn report_stopping(&mut self, step: &mut Step, id: JobId, members: &[usize], report: Report) {
        match report {
            Report::Done => self.mark(id, members, Progress::Done),
            Report::Stopped { checkpoint } => {
                self.mark(id, members, Progress::Stopped);
                self.jobs.get_mut(id).checkpointed &= checkpoint;
            }
            Report::Failed | Report::NotHeld => {
                self.mark(id, members, Progress::Stopped);
                self.jobs.get_mut(id).checkpointed = false;
            }
            Report::Held | Report::Running { .. } => return,
        }
        self.end_stop(step, id);
    }

    fn mark(&mut self, id: JobId, members: &[usize], progress: Progress) {
        let job = self.jobs.get_mut(id);
        for i in members {
            if job.progress[*i] != Progress::Done {
                job.progress[*i] = progress;
            }
        }
    }

    /// Keeps new members away from a worker that did not hold.
    fn rest(&mut self, step: &Step, worker: &Name) {
        let Some(id) = self.workers.find(worker) else {
            return;
        };
        let worker = &mut self.workers.list[id];
        worker.missed_holds = (worker.missed_holds + 1).min(6);
        let factor = 1 << (worker.missed_holds - 1);
        worker.rest_until = step.now + base::clock::Millis(self.cfg.hold_backoff.0 * factor);
    }

    /// Handles the passing of time.
    pub(crate) fn tick(&mut self, step: &mut Step) {
        self.lose_absent(step);
        self.tick_health(step.now);
        self.tick_fleet(step);
        let jobs: Vec<JobId> = self.active.iter().copied().collect();
        for id in jobs {
            self.tick_job(step, id);
        }
        self.hold_back(step);
        // Waits and rests end by time alone, so all classes are tried again once all were.
        if self.queue.len > 0 && self.tried_at == self.generation {
            self.capacity_changed();
        }
    }

    /// Compares the waiting jobs with the fleet once all workers had the time to be reported.
    fn tick_fleet(&mut self, step: &mut Step) {
        let known = step.now.since(self.restored_at) >= self.cfg.fleet_grace;
        if known && !self.knows_fleet {
            self.knows_fleet = true;
            self.recheck = true;
        }
        if std::mem::take(&mut self.recheck) {
            self.refuse_impossible(step);
        }
    }

    fn tick_job(&mut self, step: &mut Step, id: JobId) {
        if step.changed.len() >= self.cfg.max_records {
            return;
        }
        let job = self.jobs.get(id);
        if job.rec.phase == Phase::Holding && step.now.since(job.since) >= self.cfg.hold_limit {
            return self.hold_missed(step, id);
        }
        if job.rec.phase == Phase::Running {
            self.poll_silent(step, id);
        }
        let job = self.jobs.get(id);
        let asked = job.progress.contains(&Progress::Asked);
        if asked && step.now.since(job.sent_at) >= self.cfg.resend_after {
            self.send_outstanding(step, id);
        }
    }

    /// Asks the running members again that did not report for a while.
    fn poll_silent(&mut self, step: &Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        for (progress, heard_at) in job.progress.iter_mut().zip(&mut job.heard_at) {
            let silent = step.now.since(*heard_at) >= self.cfg.poll_after;
            if silent && *progress == Progress::Running {
                *progress = Progress::Asked;
                *heard_at = step.now;
            }
        }
    }

    fn hold_missed(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get(id);
        let late = job.rec.members.iter().zip(&job.progress);
        let late: Vec<Name> = late
            .filter(|(_, p)| **p == Progress::Asked)
            .map(|(member, _)| member.worker.clone())
            .collect();
        for worker in &late {
            self.rest(step, worker);
        }
        self.abort(step, id, Phase::Waiting, "a worker did not answer a hold");
    }

    /// Gives up workers that were not reported since the restore.
    fn lose_absent(&mut self, step: &mut Step) {
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
