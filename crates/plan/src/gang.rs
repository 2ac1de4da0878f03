//! Steps of a gang: hold, commit, go, stop.

use base::{clock::Millis, name::Name};
use schema::job::{Phase, StopMode};

use crate::{
    jobs::{JobId, Progress},
    order::{Action, Order},
    record::{JobKey, Member},
    state::{Plan, Step, need},
    workers::Status,
};

impl Plan {
    /// Places a waiting job and asks its members to hold.
    pub(crate) fn hold(&mut self, step: &mut Step, id: JobId, members: Vec<Member>) {
        let job = self.jobs.get_mut(id);
        job.progress = vec![Progress::Asked; members.len()];
        job.heard_at = vec![step.now; members.len()];
        job.rec.members = members;
        job.rec.attempt += 1;
        job.rec.reason.clear();
        job.checkpointed = true;
        job.over_by = None;
        let need = need(job);
        self.workers.take(id, &self.jobs.get(id).rec.members, need);
        self.count_usage(id, true);
        self.jobs.get_mut(id).expected = self.expected_run_time(id);
        self.note_end(step, id);
        self.enter(step, id, Phase::Holding);
        self.send_outstanding(step, id);
    }

    /// Commits the start of a gang whose members are all held.
    pub(crate) fn start(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        job.progress.fill(Progress::Asked);
        job.heard_at.fill(step.now);
        job.rec.started_at = step.now;
        self.enter(step, id, Phase::Running);
        self.send_outstanding(step, id);
    }

    /// Gives up an attempt before its commit.
    pub(crate) fn abort(&mut self, step: &mut Step, id: JobId, phase: Phase, reason: &str) {
        self.order_members(step, id, Action::Release);
        self.clear(id);
        self.jobs.get_mut(id).rec.reason = reason.into();
        self.enter(step, id, phase);
    }

    /// Stops all members of a running gang.
    pub(crate) fn stop(&mut self, step: &mut Step, id: JobId, reason: &str) {
        let job = self.jobs.get_mut(id);
        for progress in &mut job.progress {
            let gone = matches!(progress, Progress::Done | Progress::Stopped);
            *progress = if gone { *progress } else { Progress::Asked };
        }
        job.checkpointed = job.progress.iter().all(|p| *p == Progress::Asked);
        job.rec.reason = reason.into();
        self.enter(step, id, Phase::Stopping);
        self.count_stopping(id, true);
        self.mark_absent(id);
        self.send_outstanding(step, id);
        self.end_stop(step, id);
    }

    /// Takes a gang off its workers whatever its phase; it waits again afterwards.
    pub(crate) fn interrupt(&mut self, step: &mut Step, id: JobId, reason: &str) {
        match self.jobs.get(id).rec.phase {
            Phase::Holding => self.abort(step, id, Phase::Waiting, reason),
            Phase::Running => self.stop(step, id, reason),
            _ => {}
        }
    }

    /// Marks the members on workers that are known to be lost as stopped.
    fn mark_absent(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id);
        for (i, member) in job.rec.members.iter().enumerate() {
            let worker = self.workers.find(&member.worker);
            let lost = worker.is_some_and(|w| self.workers.is_lost(w));
            if lost && job.progress[i] == Progress::Asked {
                job.progress[i] = Progress::Stopped;
                job.checkpointed = false;
            }
        }
    }

    /// Ends the stop of a gang once no member can run any more.
    pub(crate) fn end_stop(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        let gone = |p: &Progress| matches!(p, Progress::Done | Progress::Stopped);
        if job.rec.phase != Phase::Stopping || !job.progress.iter().all(gone) {
            return;
        }
        let all_done = job.all(Progress::Done);
        if job.checkpointed && !all_done {
            job.rec.completed_ms += step.now.since(job.rec.started_at);
        }
        let phase = self.phase_after_stop(id, all_done);
        self.clear(id);
        self.enter(step, id, phase);
    }

    fn phase_after_stop(&mut self, id: JobId, all_done: bool) -> Phase {
        let rec = &self.jobs.get(id).rec;
        if rec.cancelled {
            return Phase::Cancelled;
        }
        if all_done {
            return Phase::Done;
        }
        if self.is_own_fault(id) {
            return Phase::Failed;
        }
        match self.refusal(id) {
            Some(refusal) => {
                self.jobs.get_mut(id).rec.reason = refusal;
                Phase::Refused
            }
            None => Phase::Waiting,
        }
    }

    /// Ends a gang of which all members are done.
    pub(crate) fn done(&mut self, step: &mut Step, id: JobId) {
        self.clear(id);
        self.enter(step, id, Phase::Done);
    }

    /// Adds the members of a stopping gang to the resources that become free soon, or takes
    /// them off.
    pub(crate) fn count_stopping(&mut self, id: JobId, add: bool) {
        let job = self.jobs.get(id);
        if job.rec.phase != Phase::Stopping {
            return;
        }
        let need = need(job);
        for member in &job.rec.members {
            if let Some(w) = self.workers.find(&member.worker) {
                let worker = &mut self.workers.list[w];
                worker.stopping = if add {
                    worker.stopping.plus(need)
                } else {
                    worker.stopping.minus(need)
                };
            }
        }
    }

    /// Frees the accelerators of all members.
    fn clear(&mut self, id: JobId) {
        self.count_stopping(id, false);
        self.count_claim(id, false);
        self.count_usage(id, false);
        self.unclaim(id);
        self.capacity_changed();
        let job = self.jobs.get_mut(id);
        let members = std::mem::take(&mut job.rec.members);
        job.progress.clear();
        job.heard_at.clear();
        let need = need(job);
        self.workers.give_back(id, &members, need);
        let job = self.jobs.get_mut(id);
        job.rec.borrowed = false;
        job.rec.claim = None;
    }

    pub(crate) fn enter(&mut self, step: &mut Step, id: JobId, phase: Phase) {
        self.queue_remove(id);
        let job = self.jobs.get_mut(id);
        job.rec.phase = phase;
        job.since = step.now;
        step.changed.push(id);
        match phase {
            Phase::Holding | Phase::Running | Phase::Stopping => self.active.insert(id),
            _ => self.active.remove(&id),
        };
        if phase.is_final() {
            job.rec.ended_at = step.now;
            let rec = job.rec.clone();
            self.learn(&rec);
        } else if phase == Phase::Waiting {
            job.rec.started_at = Millis::ZERO;
            self.queue_add(id);
        }
    }

    /// Sends the order of the current phase to all members that did not confirm it.
    pub(crate) fn send_outstanding(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        job.sent_at = step.now;
        let action = match job.rec.phase {
            Phase::Holding => Action::Hold {
                cores: job.rec.job.shape.cores,
                memory_mb: job.charged_mb(),
            },
            Phase::Running => Action::Go,
            Phase::Stopping => Action::Stop {
                checkpoint: !job.rec.cancelled && job.rec.job.stop == StopMode::Checkpoint,
            },
            _ => return,
        };
        for (i, member) in job.rec.members.iter().enumerate() {
            if job.progress[i] == Progress::Asked {
                step.orders.push(Order {
                    attempt: job.attempt(),
                    member: member.clone(),
                    action,
                });
            }
        }
    }

    /// Notes the expected end of a gang on its workers.
    fn note_end(&mut self, step: &Step, id: JobId) {
        let end = self.expected_end(step.now, id);
        for member in &self.jobs.get(id).rec.members {
            if let Some(w) = self.workers.find(&member.worker) {
                let worker = &mut self.workers.list[w];
                worker.expected_end = worker.expected_end.max(end);
            }
        }
    }

    fn order_members(&mut self, step: &mut Step, id: JobId, action: Action) {
        let job = self.jobs.get(id);
        let order = |member: &Member| Order {
            attempt: job.attempt(),
            member: member.clone(),
            action,
        };
        step.orders.extend(job.rec.members.iter().map(order));
    }

    /// Cancels a job; a job that ended keeps its phase.
    pub(crate) fn cancel(&mut self, step: &mut Step, key: &JobKey) {
        let Some(id) = self.jobs.find(key) else {
            return;
        };
        let job = self.jobs.get_mut(id);
        if job.rec.phase.is_final() || job.rec.cancelled {
            return;
        }
        job.rec.cancelled = true;
        step.changed.push(id);
        match job.rec.phase {
            Phase::Holding => self.abort(step, id, Phase::Cancelled, "cancelled"),
            Phase::Running => self.stop(step, id, "cancelled"),
            Phase::Waiting => {
                self.unclaim(id);
                self.enter(step, id, Phase::Cancelled);
            }
            _ => {}
        }
    }

    /// Handles the loss of a worker: its members are gone, the rest of their gangs stops.
    pub(crate) fn worker_lost(&mut self, step: &mut Step, name: &Name) {
        let Some(id) = self.workers.find(name) else {
            return;
        };
        self.workers.list[id].status = Status::Absent;
        self.workers.list[id].lost = true;
        self.worker_closed(id);
        for job in self.workers.jobs_on(id) {
            match self.jobs.get(job).rec.phase {
                Phase::Stopping => {
                    self.mark_absent(job);
                    self.end_stop(step, job);
                }
                _ => self.interrupt(step, job, "a worker is lost"),
            }
        }
    }
}
