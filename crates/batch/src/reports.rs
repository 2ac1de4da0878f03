//! Handling of workers' replies to orders, their reports, and expired leases.

use base::clock::Millis;

use crate::{
    job::{Resources, Step, SubtaskId, Text},
    progress::{ClosedStart, Phase, RunState},
    scheduler::JobScheduler,
    stop_order::StopOrder,
    worker::{Action, Order, Refusal, Report, Running, StartReply},
    worker_end::PROVING_TIME,
};

/// Number of unanswered starts after which the run is stopped. The second start makes up for a lost
/// reply. A gang gives up before its members have waited for `gang-timeout` (3 s).
const MAX_UNANSWERED_STARTS: u32 = 3;
/// Number of starts that were not sent after which the worker counts as refusing them.
const MAX_UNSENT_STARTS: u32 = 2;

impl JobScheduler {
    /// Handles a worker's reply to a start order.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{scheduler::JobScheduler, job::SubtaskId, worker::StartReply};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// JobScheduler::default().handle_start_reply(&task, 1, StartReply::Taken, Millis(1));
    /// ```
    pub fn handle_start_reply(
        &mut self,
        id: &SubtaskId,
        attempt: u32,
        reply: StartReply,
        now: Millis,
    ) {
        let task = self.subtask(id).filter(|t| t.attempt == attempt);
        let Some(worker) = task.and_then(|t| Some(t.run.as_ref()?.worker.clone())) else {
            return;
        };
        self.count_unanswered(&id.job, reply);
        let Some(worker) = self.workers.get_mut(&worker) else {
            return;
        };
        let is_in_contact = worker.is_in_contact(now);
        let incarnation = worker.incarnation;
        match reply {
            StartReply::Taken => worker.record_answer(now),
            StartReply::Closed if is_in_contact => worker.alive_until = now,
            _ => {}
        }
        let Some(run) = self.run_mut(id) else {
            return;
        };
        run.awaits_reply = false;
        match reply {
            StartReply::Taken | StartReply::Refused(Refusal::Old) => {
                run.answered_at.get_or_insert(now);
                if reply == StartReply::Taken {
                    let is_first = run.taken_at.is_none() && !run.may_start_late();
                    run.began_at = run.began_at.or(is_first.then_some(now));
                    run.confirm(incarnation, now);
                }
                if matches!(run.state, RunState::Ordered | RunState::Adopted) {
                    run.state = RunState::Running;
                }
            }
            StartReply::Refused(refusal) => self.handle_refusal(id, refusal, now),
            StartReply::NotSent => self.handle_unsent_start(id, now),
            StartReply::Unknown | StartReply::Closed => {
                // A start that has been under way for longer may not have been carried out when the
                // worker crashed for another reason.
                if reply == StartReply::Closed && now.since(run.ordered_at) < PROVING_TIME {
                    run.closed_start = Some(ClosedStart {
                        at: now,
                        in_contact: is_in_contact,
                    });
                }
                run.unanswered_starts += 1;
                // A run that the worker has confirmed needs no further start.
                if matches!(run.state, RunState::Running | RunState::Stopping) {
                    return;
                }
                if run.unanswered_starts < MAX_UNANSWERED_STARTS {
                    self.order_start(id, now);
                } else {
                    log::warn!(task:% = id, attempt; "batch: start unanswered, stopping");
                    self.stop_gang(id, now);
                }
            }
        }
    }

    /// Orders a start again that was not sent. The leader's own link may be the reason, so that the
    /// first time says nothing about the worker.
    fn handle_unsent_start(&mut self, id: &SubtaskId, now: Millis) {
        let Some(run) = self.run_mut(id) else {
            return;
        };
        run.unsent_starts += 1;
        if run.unsent_starts >= MAX_UNSENT_STARTS {
            self.handle_refusal(id, Refusal::Unhealthy, now);
        } else if run.state == RunState::Ordered {
            self.order_start(id, now);
        }
    }

    /// Records that a start order is not sent, because it is no longer [wanted](Self::is_start_wanted).
    ///
    /// ```
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// JobScheduler::default().handle_unwanted_start(&task, 1);
    /// ```
    pub fn handle_unwanted_start(&mut self, id: &SubtaskId, attempt: u32) {
        let task = self.subtask_mut(id).filter(|t| t.attempt == attempt);
        if let Some(run) = task.and_then(|t| t.run.as_mut()) {
            run.awaits_reply = false;
        }
    }

    /// Records that a try of a start order has no answer, although the order was answered when it was
    /// sent again. It is called before the reply is handled.
    ///
    /// ```
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// JobScheduler::default().handle_lost_start(&task, 1);
    /// ```
    pub fn handle_lost_start(&mut self, id: &SubtaskId, attempt: u32) {
        let task = self.subtask_mut(id).filter(|t| t.attempt == attempt);
        if let Some(run) = task.and_then(|t| t.run.as_mut()) {
            run.has_lost_start = true;
        }
    }

    fn handle_refusal(&mut self, id: &SubtaskId, refusal: Refusal, now: Millis) {
        let Some(run) = self.subtask(id).and_then(|t| t.run.clone()) else {
            return;
        };
        let lost_try = run.may_start_late();
        log::info!(task:% = id, worker:% = run.worker, reason = refusal.name(), lost_try; "batch: start refused");
        if refusal == Refusal::Ticket {
            self.remove_ticket(id, &run.worker);
        } else if refusal != Refusal::Fenced
            && let Some(worker) = self.workers.get_mut(&run.worker)
        {
            worker.back_off(now);
        }
        // An earlier, unanswered start may still be carried out. The run is over only when the
        // worker has acknowledged a stop and a later report does not list the run.
        if run.may_start_late() {
            return self.stop_gang(id, now);
        }
        self.remove_run(id);
        self.stop_gang(id, now);
    }

    /// Handles a worker's reply to a stop order. Returns whether a new report is needed to tell
    /// that the run is gone: a worker that never listed the run may not report its end either.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().handle_stop_reply(&task, 1, Millis(1)));
    /// ```
    pub fn handle_stop_reply(&mut self, id: &SubtaskId, attempt: u32, now: Millis) -> bool {
        let task = self.subtask_mut(id).filter(|t| t.attempt == attempt);
        let Some(run) = task.and_then(|t| t.run.as_mut()) else {
            self.record_unexpected_stop(id, attempt, StopOrder::Answered(now));
            return false;
        };
        // The time of the first reply counts: the run can't start after it.
        run.answered_at.get_or_insert(now);
        run.stop_order = Some(StopOrder::Answered(now));
        !run.listed
    }

    /// Records that a stop order was given up without an answer, so that the next report that lists
    /// the run repeats it.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// JobScheduler::default().handle_unanswered_stop(&task, 1, Millis(1));
    /// ```
    pub fn handle_unanswered_stop(&mut self, id: &SubtaskId, attempt: u32, now: Millis) {
        let task = self.subtask_mut(id).filter(|t| t.attempt == attempt);
        match task.and_then(|t| t.run.as_mut()) {
            Some(run) => run.stop_order = Some(StopOrder::Unanswered(now)),
            None => self.record_unexpected_stop(id, attempt, StopOrder::Unanswered(now)),
        }
    }

    /// Handles a worker's report. `sent` is the time when the request for it was sent.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{scheduler::JobScheduler, worker::Report};
    /// JobScheduler::default().handle_report("w", &Report::default(), Millis(1), Millis(2), Millis(2));
    /// ```
    pub fn handle_report(
        &mut self,
        id: &str,
        report: &Report,
        sent: Millis,
        now: Millis,
        wall_now: Millis,
    ) {
        if self.is_outdated(id, report, sent) {
            log::info!(worker = id, life = report.incarnation; "batch: late report of an earlier life");
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.incarnation != report.incarnation {
            let before = worker.incarnation;
            if before != 0 {
                log::warn!(worker = id, life = report.incarnation, before; "batch: worker restarted");
                let mut lost = self.lost_worker(id, sent, now);
                if let Some(lost) = &mut lost {
                    lost.runs
                        .retain(|r| self.was_run_of(before, &r.task, report));
                }
                if let Some(lost) = lost.filter(|l| !l.runs.is_empty()) {
                    self.judge(&lost, now, wall_now);
                }
                self.forget_answers(id);
                self.forecast.worker_restarted(id);
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.start_reported_life(report.incarnation, now);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.record_answer(now);
        worker.clock = (report.clock > Millis::ZERO).then_some((report.clock, now));
        worker.awaits_report = false;
        self.settle_losses(id, report);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let processed = worker.processed_seq;
        for finished in report.finished.iter().filter(|f| f.seq > processed) {
            self.handle_finished(id, finished, now, wall_now);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.processed_seq = finished.seq;
            }
        }
        for running in &report.running {
            self.handle_running(id, running, now);
        }
        self.count_unexpected_runs(id, report);
        self.record_listed(id, report);
        self.resolve_missing_runs(id, report, sent, now);
        self.update_shutdown_time(&id.into(), now);
    }

    /// Returns whether a run was one of the incarnation `before`, when a report of the next one arrives.
    fn was_run_of(&self, before: u64, task: &SubtaskId, report: &Report) -> bool {
        let Some(t) = self.subtask(task) else {
            return false;
        };
        let Some(run) = t.run.as_ref().filter(|r| r.incarnation == before) else {
            return false;
        };
        run.state != RunState::Adopted || self.may_precede(report, task, t.attempt)
    }

    /// Returns whether an incarnation before the one that reports may have had a run. The leader that placed
    /// the run may not have known the next one, which lists the run then, or has begun before the job was
    /// accepted.
    pub(crate) fn may_precede(&self, report: &Report, task: &SubtaskId, attempt: u32) -> bool {
        let job = self.jobs.get(&task.job);
        let accepted_at = job.map_or(Millis::ZERO, |j| j.accepted.at);
        accepted_at < Millis(report.incarnation) && !report.names(task, attempt)
    }

    /// Returns whether a report may come from an earlier incarnation than the current one: it names
    /// one that has ended, or another one and was requested at `sent`, before the last report arrived.
    /// Calls overtake each other.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{scheduler::JobScheduler, worker::Report};
    /// assert!(!JobScheduler::default().is_outdated("w", &Report::default(), Millis(1)));
    /// ```
    pub fn is_outdated(&self, worker: &str, report: &Report, sent: Millis) -> bool {
        self.workers.get(worker).is_some_and(|w| {
            let is_late = w.clock.is_some_and(|(_, at)| sent < at);
            w.incarnation != report.incarnation && (is_late || w.has_ended(report.incarnation))
        })
    }

    fn handle_running(&mut self, worker: &str, running: &Running, now: Millis) {
        let incarnation = self.workers.get(worker).map_or(0, |w| w.incarnation);
        let task = self.subtask_mut(&running.task);
        let current = task.filter(|t| {
            let here = t.run.as_ref().is_some_and(|r| &*r.worker == worker);
            t.attempt == running.attempt && here
        });
        let Some(task) = current else {
            return self.stop_unexpected(worker, &running.task, running.attempt, now);
        };
        if !task.done && !running.checkpoint.is_empty() {
            task.checkpoint = running.checkpoint.clone();
        }
        let percent = running.percent;
        let is_done = task.done;
        let Some(run) = &mut task.run else {
            return;
        };
        let percent_before = std::mem::replace(&mut run.percent, percent);
        run.percent_at = now;
        run.listed = true;
        // If the report to a later request does not list the run, the run is gone.
        run.confirm(incarnation, now);
        let age = run.known_age(now);
        match run.state {
            RunState::Adopted | RunState::Ordered => run.state = RunState::Running,
            RunState::Running => {}
            RunState::Stopping => return self.stop(&running.task, now),
        }
        let is_final = |p: Phase| p.is_final();
        if is_done {
            return;
        }
        if task.forget_crashes(age) {
            log::info!(task:% = running.task, worker, age_ms = age.0; "batch: crashes forgotten, the run lasts");
            self.dirty.push(running.task.job.clone());
        }
        if self.phase(&running.task.job).is_some_and(is_final) {
            self.stop(&running.task, now);
        } else {
            self.observe_progress(&running.task, percent_before, now);
        }
    }

    /// Counts the resources of listed runs that should not exist. They are in use until a report no
    /// longer lists them.
    fn count_unexpected_runs(&mut self, worker: &str, report: &Report) {
        let Some(w) = self.workers.get(worker) else {
            return;
        };
        let is_known = |t: &SubtaskId| w.runs.iter().any(|(known, _)| known == t);
        let mut unexpected = Resources::default();
        for running in report.running.iter().filter(|r| !is_known(&r.task)) {
            let capacity = w.info.as_ref().map(|i| i.capacity).unwrap_or_default();
            // Of an unknown job nothing tells what its run needs.
            let need = self.step_of(&running.task).map_or(capacity, Step::reserved);
            unexpected.add(need, 1);
        }
        let is_listed = |task: &SubtaskId, attempt: u32| {
            let mut running = report.running.iter();
            running.any(|r| r.task == *task && r.attempt == attempt)
        };
        if let Some(w) = self.workers.get_mut(worker) {
            w.unexpected = unexpected;
            w.unexpected_stops
                .retain(|(task, attempt, _)| is_listed(task, *attempt));
        }
    }

    /// Forgets the answers of an earlier life of the worker about runs of which a start may still be
    /// under way: its next life may carry it out, and only a stop there prevents that.
    fn forget_answers(&mut self, worker: &str) {
        let runs = self.workers.get(worker).map(|w| &w.runs);
        let tasks = runs.into_iter().flatten().map(|(t, _)| t.clone());
        let tasks: Vec<SubtaskId> = tasks.collect();
        for id in tasks {
            if let Some(run) = self.run_mut(&id)
                && (run.awaits_reply || run.may_start_late())
            {
                run.answered_at = None;
                run.taken_at = None;
                run.began_at = None;
                run.listed = false;
                run.stop_order = None;
            }
        }
    }

    /// Handles the runs that the report lists neither as running nor as finished. The end of a run
    /// may be missing from a report that is not complete.
    fn resolve_missing_runs(&mut self, worker: &str, report: &Report, sent: Millis, now: Millis) {
        let Some(w) = self.workers.get(worker) else {
            return;
        };
        let listed = |t: &SubtaskId| report.running.iter().any(|r| r.task == *t);
        let tasks = w.runs.iter().map(|(t, _)| t).filter(|t| !listed(t));
        let tasks: Vec<SubtaskId> = tasks.cloned().collect();
        for id in tasks {
            let Some(run) = self.subtask(&id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let is_gone = report.is_complete && run.answered_at.is_some_and(|t| t < sent);
            let is_unanswered = run.answered_at.is_none();
            let is_other_incarnation = run.incarnation != report.incarnation;
            match run.state {
                _ if is_gone => {
                    log::info!(task:% = id, worker; "batch: run is gone");
                    self.remove_run(&id);
                    self.stop_gang(&id, now);
                }
                RunState::Adopted if is_other_incarnation => self.stop(&id, now),
                RunState::Running if is_unanswered => self.stop(&id, now),
                RunState::Adopted if !report.is_complete => {}
                RunState::Adopted if self.phase(&id.job).is_some_and(|p| !p.is_final()) => {
                    self.repeat_start(&id, now);
                }
                RunState::Adopted | RunState::Stopping => self.stop(&id, now),
                RunState::Ordered | RunState::Running => {}
            }
        }
    }

    /// Repeats a start that an earlier leader may not have sent. Its ticket is not known, and the worker
    /// refuses a start without one, so that the subtask is placed again with a new ticket.
    fn repeat_start(&mut self, id: &SubtaskId, now: Millis) {
        let worker = self.subtask(id).and_then(|t| t.run.as_ref());
        let worker = worker.map(|r| r.worker.clone()).unwrap_or_default();
        if !self.needs_tickets(&id.job) || self.ticket(id, &worker, now).is_some() {
            return self.order_start(id, now);
        }
        log::info!(task:% = id, worker:%; "batch: start of an earlier leader not repeated without a ticket");
        self.stop_gang(id, now);
    }

    /// Returns whether a start order is still to be sent. While the decision was being stored, the run
    /// may have been stopped, confirmed or removed.
    ///
    /// ```
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().is_start_wanted(&task, 1));
    /// ```
    pub fn is_start_wanted(&self, task: &SubtaskId, attempt: u32) -> bool {
        let subtask = self.subtask(task).filter(|t| t.attempt == attempt);
        let run = subtask.and_then(|t| t.run.as_ref());
        run.is_some_and(|r| r.state == RunState::Ordered)
    }

    /// Orders a start of the subtask's current run, or repeats the order.
    pub(crate) fn order_start(&mut self, id: &SubtaskId, now: Millis) {
        let Some(text) = self.jobs.get(&id.job).map(|j| j.accepted.spec.text.clone()) else {
            return;
        };
        let worker = self.subtask(id).and_then(|t| t.run.as_ref());
        let worker = worker.map(|r| r.worker.clone());
        let ticket = worker.and_then(|w| self.ticket(id, &w, now));
        let Some(task) = self.subtask_mut(id) else {
            return;
        };
        let (attempt, checkpoint): (u32, Text) = (task.attempt, task.checkpoint.clone());
        let Some(run) = &mut task.run else {
            return;
        };
        if run.state == RunState::Adopted {
            // The previous leader may have sent the start.
            run.unanswered_starts += 1;
        }
        run.state = RunState::Ordered;
        run.awaits_reply = true;
        run.ordered_at = now;
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
