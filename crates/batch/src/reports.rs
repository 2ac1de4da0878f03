//! What answers and reports of workers mean for the runs on them.

use base::clock::Millis;

use crate::{
    book::Book,
    job::{TaskId, Text},
    progress::{Phase, RunState},
    worker::{Action, End, How, Order, Refusal, Report, Running, StartReply},
};

/// Starts sent without an answer before the run is stopped. A lost answer is settled by the second
/// start; a gang gives up before its members wait for `gang-timeout` (3 s).
const START_TRIES: u32 = 3;

impl Book {
    /// Handles the answer of a worker to a start.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{book::Book, job::TaskId, worker::StartReply};
    /// let task = TaskId::parse("1.0.0.0").unwrap();
    /// Book::default().start_answered(&task, 1, StartReply::Taken, Millis(1));
    /// ```
    pub fn start_answered(&mut self, id: &TaskId, attempt: u32, reply: StartReply, now: Millis) {
        let Some(task) = self.task_mut(id).filter(|t| t.attempt == attempt) else {
            return;
        };
        let Some(run) = &mut task.run else {
            return;
        };
        match reply {
            StartReply::Taken | StartReply::Refused(Refusal::Old) => {
                run.answered.get_or_insert(now);
                if matches!(run.state, RunState::Ordered | RunState::Adopted) {
                    run.state = RunState::Running;
                }
            }
            StartReply::Refused(refusal) => self.start_refused(id, refusal, now),
            StartReply::Unknown => {
                run.unanswered += 1;
                if run.state == RunState::Stopping {
                    return;
                }
                if run.unanswered < START_TRIES {
                    self.order_start(id, now);
                } else {
                    log::warn!(task:% = id, attempt; "batch: start without answer, stopping");
                    self.stop_unit(id, now);
                }
            }
        }
    }

    fn start_refused(&mut self, id: &TaskId, refusal: Refusal, now: Millis) {
        let Some(run) = self.task(id).and_then(|t| t.run.clone()) else {
            return;
        };
        log::info!(task:% = id, worker:% = run.worker, reason:? = refusal; "batch: start refused");
        if refusal == Refusal::Ticket {
            self.drop_ticket(id, &run.worker);
        } else if refusal != Refusal::Fenced
            && let Some(worker) = self.workers.get_mut(&run.worker)
        {
            worker.refused(now);
        }
        // An earlier start without an answer may still be carried out. The run is over when the
        // worker has taken a stop and shows nothing.
        if run.unanswered > 0 {
            return self.stop_unit(id, now);
        }
        self.drop_run(id);
        self.stop_unit(id, now);
    }

    /// Handles the answer of a worker to a stop. Returns whether only a later report can tell
    /// that the run is gone: the worker never listed it, so it may list no end either.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{book::Book, job::TaskId};
    /// let task = TaskId::parse("1.0.0.0").unwrap();
    /// assert!(!Book::default().stop_answered(&task, 1, Millis(1)));
    /// ```
    pub fn stop_answered(&mut self, id: &TaskId, attempt: u32, now: Millis) -> bool {
        let task = self.task_mut(id).filter(|t| t.attempt == attempt);
        let Some(run) = task.and_then(|t| t.run.as_mut()) else {
            return false;
        };
        // The first answer counts: from then on the run can't begin any more.
        run.answered.get_or_insert(now);
        !run.listed
    }

    /// Handles a report that a worker gave to a call sent at `sent`.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{book::Book, worker::Report};
    /// Book::default().reported("w", &Report::default(), Millis(1), Millis(2), Millis(2));
    /// ```
    pub fn reported(&mut self, id: &str, report: &Report, sent: Millis, now: Millis, wall: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.born != report.born {
            if worker.born != 0 {
                log::warn!(worker = id, life = report.born, before = worker.born; "batch: worker restarted");
            }
            worker.born = report.born;
            worker.processed = 0;
            worker.acked = 0;
        }
        let done = worker.processed;
        for end in report.ends.iter().filter(|e| e.seq > done) {
            self.ended(id, end, now, wall);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.processed = end.seq;
            }
        }
        for running in &report.running {
            self.is_running(id, running, now);
        }
        self.settle_absent(id, report, sent, now);
    }

    fn is_running(&mut self, worker: &str, running: &Running, now: Millis) {
        let task = self.task_mut(&running.task);
        let current = task.filter(|t| {
            let here = t.run.as_ref().is_some_and(|r| &*r.worker == worker);
            t.attempt == running.attempt && here
        });
        let Some(task) = current else {
            log::info!(task:% = running.task, attempt = running.attempt, worker; "batch: unexpected run, stopping");
            self.order_stop(worker.into(), running.task.clone(), running.attempt);
            return;
        };
        if !running.checkpoint.is_empty() {
            task.checkpoint = running.checkpoint.clone();
        }
        let percent = running.percent;
        let is_done = task.done;
        let Some(run) = &mut task.run else {
            return;
        };
        run.percent = percent;
        run.listed = true;
        // A report to a later call that does not list the run shows that it is gone.
        run.answered.get_or_insert(now);
        match run.state {
            RunState::Adopted | RunState::Ordered => run.state = RunState::Running,
            RunState::Running => {}
            RunState::Stopping => return self.stop(&running.task, now),
        }
        let is_final = |p: Phase| p.is_final();
        if !is_done && self.phase(&running.task.job).is_some_and(is_final) {
            self.stop(&running.task, now);
        }
    }

    /// Settles runs that the worker neither runs nor lists as ended.
    fn settle_absent(&mut self, worker: &str, report: &Report, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(worker) else {
            return;
        };
        let listed = |t: &TaskId| report.running.iter().any(|r| r.task == *t);
        let tasks = w.runs.iter().map(|(t, _)| t).filter(|t| !listed(t));
        let tasks: Vec<TaskId> = tasks.cloned().collect();
        for id in tasks {
            let Some(run) = self.task(&id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let is_settled = run.answered.is_some_and(|t| t < sent);
            let other_life = run.born != report.born && run.placed < sent;
            let is_gone = is_settled || (other_life && run.state != RunState::Ordered);
            match run.state {
                _ if is_gone => {
                    log::info!(task:% = id, worker; "batch: run is gone");
                    self.drop_run(&id);
                    self.stop_unit(&id, now);
                }
                RunState::Adopted if self.phase(&id.job).is_some_and(|p| !p.is_final()) => {
                    self.order_start(&id, now);
                }
                RunState::Adopted | RunState::Stopping => self.stop(&id, now),
                RunState::Ordered | RunState::Running => {}
            }
        }
    }

    /// Handles the end of the lease of a worker: nothing runs there any more.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::book::Book::default().lapsed("w", Millis(1));
    /// ```
    pub fn lapsed(&mut self, worker: &str, now: Millis) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.refused(now);
        let tasks: Vec<TaskId> = w.runs.iter().map(|(t, _)| t.clone()).collect();
        for id in tasks {
            log::warn!(task:% = id, worker; "batch: lease of the run is over");
            self.drop_run(&id);
            self.stop_unit(&id, now);
        }
    }

    fn ended(&mut self, worker: &str, end: &End, now: Millis, wall: Millis) {
        let id = &end.task;
        let current = self.task(id).is_some_and(|t| {
            let here = t.run.as_ref().is_some_and(|r| &*r.worker == worker);
            t.attempt == end.attempt && here
        });
        log::info!(
            task:% = id, attempt = end.attempt, worker, how:? = end.how, seq = end.seq, current;
            "batch: end"
        );
        if !current {
            return;
        }
        if let Some(task) = self.task_mut(id)
            && !end.checkpoint.is_empty()
        {
            task.checkpoint = end.checkpoint.clone();
        }
        self.drop_run(id);
        match end.how {
            How::Done if self.step_of(id).is_some_and(|s| s.endless) => {}
            How::Done => self.done(worker, id, now, wall),
            How::Failed => self.failed(worker, id, now, wall),
            How::Stopped | How::Lapsed | How::Broken | How::Alone => self.stop_unit(id, now),
        }
    }

    fn done(&mut self, worker: &str, id: &TaskId, now: Millis, wall: Millis) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.succeeded();
        }
        let gang = self.step_of(id).is_some_and(|s| s.gang);
        for member in self.members(id, gang) {
            if let Some(task) = self.task_mut(&member) {
                task.done = true;
            }
        }
        let all_done = |j: &crate::book::Job| !j.progress.phase.is_final() && j.is_done();
        if self.jobs.get(&id.job).is_some_and(all_done) {
            self.finish(&id.job, Phase::Completed, now, wall);
        }
    }

    fn failed(&mut self, worker: &str, id: &TaskId, now: Millis, wall: Millis) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.failed(now);
        }
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let endless = job.step(id).endless;
        let limit = self.rules.queue(&job.rec.queue).map(|q| q.max_attempts);
        let is_final = job.progress.phase.is_final();
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.fails += 1;
        let given_up = limit.is_some_and(|limit| task.fails >= limit);
        if given_up && !endless && !is_final {
            return self.finish(&id.job, Phase::Failed, now, wall);
        }
        self.stop_unit(id, now);
    }

    /// Stops the other members of a gang of which one has no run.
    pub(crate) fn stop_unit(&mut self, id: &TaskId, now: Millis) {
        let gang = self.step_of(id).is_some_and(|s| s.gang);
        for member in self.members(id, gang) {
            if self.task(&member).is_some_and(|t| !t.done) {
                self.stop(&member, now);
            }
        }
    }

    /// Returns all members of the gang of a subtask, or the subtask alone.
    pub(crate) fn members(&self, id: &TaskId, gang: bool) -> Vec<TaskId> {
        let count = self.step_of(id).map_or(0, |s| s.count as usize);
        if !gang {
            return vec![id.clone()];
        }
        let member = |index| TaskId {
            index,
            ..id.clone()
        };
        (0..count).map(member).collect()
    }

    /// Removes the run of a subtask, which is over.
    pub(crate) fn drop_run(&mut self, id: &TaskId) {
        let run = self.task_mut(id).and_then(|t| t.run.take());
        let Some(run) = run else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&run.worker) {
            worker.remove(id);
        }
        self.dirty.push(id.job.clone());
    }

    /// Orders the start of the present run of a subtask, again if it was ordered before.
    pub(crate) fn order_start(&mut self, id: &TaskId, now: Millis) {
        let Some(text) = self.jobs.get(&id.job).map(|j| j.rec.spec.text.clone()) else {
            return;
        };
        let worker = self.task(id).and_then(|t| t.run.as_ref());
        let worker = worker.map(|r| r.worker.clone());
        let ticket = worker.and_then(|w| self.ticket(id, &w, now));
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let (attempt, checkpoint): (u32, Text) = (task.attempt, task.checkpoint.clone());
        let Some(run) = &mut task.run else {
            return;
        };
        if run.state == RunState::Adopted {
            // The leader before may have sent the start.
            run.unanswered += 1;
        }
        run.state = RunState::Ordered;
        run.ordered = now;
        let worker = run.worker.clone();
        self.orders.push(Order {
            worker,
            task: id.clone(),
            attempt,
            action: Action::Start {
                text,
                checkpoint,
                ticket,
            },
        });
    }
}
