//! Life cycle of a gang: hold, commit, go, stop.

use base::{clock::Millis, name::Name};
use schema::job::{Phase, StopMode};

use crate::{
    crash,
    jobs::{JobId, Progress},
    order::{Action, Order},
    record::{JobKey, Member},
    state::{Plan, Step, member_need},
    workers::Status,
};

impl Plan {
    /// Places a waiting job and sends a hold to each member.
    pub(crate) fn hold(&mut self, step: &mut Step, id: JobId, members: Vec<Member>) {
        let job = self.jobs.get_mut(id);
        job.progress = vec![Progress::Unconfirmed; members.len()];
        job.last_report_at = vec![step.now; members.len()];
        job.rec.members = members;
        job.rec.attempt += 1;
        job.rec.reason.clear();
        job.checkpointed = true;
        job.over_memory_since = None;
        let need = member_need(job);
        self.workers
            .allocate(id, &self.jobs.get(id).rec.members, need);
        self.count_usage(id, true);
        self.jobs.get_mut(id).expected_run_time = self.expected_run_time(id);
        self.record_expected_end(step, id);
        self.enter_phase(step, id, Phase::Holding);
        self.send_outstanding(step, id);
    }

    /// Commits the start of a gang once all members are held.
    pub(crate) fn start(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        job.progress.fill(Progress::Unconfirmed);
        job.last_report_at.fill(step.now);
        job.rec.started_at = step.now;
        self.enter_phase(step, id, Phase::Running);
        self.send_outstanding(step, id);
    }

    /// Abandons an attempt before its start is committed.
    pub(crate) fn abort(&mut self, step: &mut Step, id: JobId, phase: Phase, reason: &str) {
        self.send_to_members(step, id, Action::Release);
        self.free_members(id);
        self.jobs.get_mut(id).rec.reason = reason.into();
        self.enter_phase(step, id, phase);
    }

    /// Stops all members of a running gang.
    pub(crate) fn stop(&mut self, step: &mut Step, id: JobId, reason: &str) {
        let job = self.jobs.get_mut(id);
        for progress in &mut job.progress {
            let ended = matches!(progress, Progress::Done | Progress::Stopped);
            *progress = if ended {
                *progress
            } else {
                Progress::Unconfirmed
            };
        }
        job.checkpointed = job.progress.iter().all(|p| *p == Progress::Unconfirmed);
        job.rec.reason = reason.into();
        self.enter_phase(step, id, Phase::Stopping);
        self.count_stopping(id, true);
        self.mark_lost_members(id);
        self.send_outstanding(step, id);
        self.finish_stop(step, id);
    }

    /// Aborts a holding gang or stops a running one, so that it returns to the queue.
    pub(crate) fn interrupt(&mut self, step: &mut Step, id: JobId, reason: &str) {
        match self.jobs.get(id).rec.phase {
            Phase::Holding => self.abort(step, id, Phase::Waiting, reason),
            Phase::Running => self.stop(step, id, reason),
            _ => {}
        }
    }

    /// Marks the members on lost workers as stopped.
    fn mark_lost_members(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id);
        for (i, member) in job.rec.members.iter().enumerate() {
            let worker = self.workers.find(&member.worker);
            let lost = worker.is_some_and(|w| self.workers.is_lost(w));
            if lost && job.progress[i] == Progress::Unconfirmed {
                job.progress[i] = Progress::Stopped;
                job.checkpointed = false;
            }
        }
    }

    /// Finishes stopping a gang once no member can still be running.
    pub(crate) fn finish_stop(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        let ended = |p: &Progress| matches!(p, Progress::Done | Progress::Stopped);
        if job.rec.phase != Phase::Stopping || !job.progress.iter().all(ended) {
            return;
        }
        let all_done = job.all_members(Progress::Done);
        if job.checkpointed && !all_done {
            job.rec.completed_ms += step.now.since(job.rec.started_at);
        }
        let phase = self.phase_after_stop(id, all_done);
        self.free_members(id);
        self.enter_phase(step, id, phase);
    }

    fn phase_after_stop(&mut self, id: JobId, all_done: bool) -> Phase {
        let rec = &self.jobs.get(id).rec;
        if rec.cancelled {
            return Phase::Cancelled;
        }
        if all_done {
            return Phase::Done;
        }
        if self.is_job_at_fault(id) {
            let rec = &mut self.jobs.get_mut(id).rec;
            if crash::is_at_fault(rec) {
                rec.reason = "it crashes its workers".into();
            }
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

    /// Finishes a job whose members are all done.
    pub(crate) fn finish_job(&mut self, step: &mut Step, id: JobId) {
        self.free_members(id);
        self.enter_phase(step, id, Phase::Done);
    }

    /// Adds the resources of a stopping gang to the `stopping` resources of its workers, or
    /// subtracts them.
    pub(crate) fn count_stopping(&mut self, id: JobId, add: bool) {
        let job = self.jobs.get(id);
        if job.rec.phase != Phase::Stopping {
            return;
        }
        let need = member_need(job);
        for member in &job.rec.members {
            if let Some(w) = self.workers.find(&member.worker) {
                let worker = &mut self.workers.list[w];
                worker.stopping = if add {
                    worker.stopping.saturating_add(need)
                } else {
                    worker.stopping.saturating_sub(need)
                };
            }
        }
    }

    /// Frees the resources of all members, and releases the claim.
    fn free_members(&mut self, id: JobId) {
        self.count_stopping(id, false);
        self.count_claim(id, false);
        self.count_usage(id, false);
        self.release_claim(id);
        self.capacity_changed();
        let job = self.jobs.get_mut(id);
        let members = std::mem::take(&mut job.rec.members);
        job.progress.clear();
        job.last_report_at.clear();
        let need = member_need(job);
        self.workers.release(id, &members, need);
        let job = self.jobs.get_mut(id);
        job.rec.borrowed = false;
        job.rec.claim = None;
    }

    pub(crate) fn enter_phase(&mut self, step: &mut Step, id: JobId, phase: Phase) {
        self.queue_remove(id);
        let job = self.jobs.get_mut(id);
        job.rec.phase = phase;
        job.phase_since = step.now;
        step.changed.push(id);
        match phase {
            Phase::Holding | Phase::Running | Phase::Stopping => self.active.insert(id),
            _ => self.active.remove(&id),
        };
        if phase.is_final() {
            job.rec.ended_at = step.now;
            let rec = job.rec.clone();
            self.update_correction(&rec);
        } else if phase == Phase::Waiting {
            job.rec.started_at = Millis::ZERO;
            self.queue_add(id);
        }
    }

    /// Sends the order of the current phase to each member that has not confirmed it.
    pub(crate) fn send_outstanding(&mut self, step: &mut Step, id: JobId) {
        let job = self.jobs.get_mut(id);
        job.last_order_at = step.now;
        let action = match job.rec.phase {
            Phase::Holding => Action::Hold {
                cores: job.rec.job.shape.cores,
                memory_mb: job.charged_memory_mb(),
            },
            Phase::Running => Action::Go,
            Phase::Stopping => Action::Stop {
                checkpoint: !job.rec.cancelled && job.rec.job.stop == StopMode::Checkpoint,
            },
            _ => return,
        };
        for (i, member) in job.rec.members.iter().enumerate() {
            if job.progress[i] == Progress::Unconfirmed {
                step.orders.push(Order {
                    attempt: job.attempt(),
                    member: member.clone(),
                    action,
                });
            }
        }
    }

    /// Records the expected end of a gang on its workers.
    fn record_expected_end(&mut self, step: &Step, id: JobId) {
        let end = self.expected_end(step.now, id);
        for member in &self.jobs.get(id).rec.members {
            if let Some(w) = self.workers.find(&member.worker) {
                let worker = &mut self.workers.list[w];
                worker.expected_end = worker.expected_end.max(end);
            }
        }
    }

    fn send_to_members(&mut self, step: &mut Step, id: JobId, action: Action) {
        let job = self.jobs.get(id);
        let order = |member: &Member| Order {
            attempt: job.attempt(),
            member: member.clone(),
            action,
        };
        step.orders.extend(job.rec.members.iter().map(order));
    }

    /// Cancels a job. A job that has ended keeps its phase.
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
                self.release_claim(id);
                self.enter_phase(step, id, Phase::Cancelled);
            }
            _ => {}
        }
    }

    /// Handles the loss of a worker: stops the remaining members of its gangs.
    pub(crate) fn worker_lost(&mut self, step: &mut Step, name: &Name) {
        let Some(id) = self.workers.find(name) else {
            return;
        };
        self.workers.list[id].status = Status::Absent;
        self.workers.list[id].lost = true;
        self.worker_unavailable(id);
        for job in self.workers.jobs_on(id) {
            match self.jobs.get(job).rec.phase {
                Phase::Stopping => {
                    self.mark_lost_members(job);
                    self.finish_stop(step, job);
                }
                _ => self.interrupt(step, job, "a worker is lost"),
            }
        }
    }
}
