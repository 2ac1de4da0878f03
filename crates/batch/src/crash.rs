//! Attribution of crashes of workers to the subtasks that ran there.
//!
//! A crash is counted for each run on the worker. Most of them are innocent, so a subtask with a
//! crash is started again where nothing else has just started: the next crash then shows whether it
//! is the cause. A subtask is given up only after such a crash, and never if it lasts until its job
//! is cancelled: see [`rest`](crate::rest).

use std::{cmp::Reverse, collections::BTreeSet, mem};

use base::clock::Millis;

use crate::{
    job::{SubtaskId, Text},
    job_end::JobEnd,
    progress::{Phase, Subtask},
    scheduler::JobScheduler,
    worker::Report,
    worker_end::{EndCause, Existence, Explanation, LostRun, LostWorker, Outage, WorkerEnd},
};

/// Number of crashes after which a subtask is given up if the last one came right after its start,
/// on a worker where nothing else had just started and while no other worker went away.
const MAX_CRASHES: u32 = 2;
/// The same if another worker went away at about the same time.
const MAX_CRASHES_AMONG_OTHERS: u32 = 3;
/// The same if the crash seems to have a cause outside of the worker.
const MAX_CRASHES_IN_OUTAGE: u32 = 4;
/// Number of crashes after which a subtask runs alone on a worker.
pub(crate) const MAX_SHARED_CRASHES: u32 = 3;
/// Number of crashes after which a subtask is given up if the last one came while it ran alone, long
/// after its start.
const MAX_LATE_CRASHES: u32 = MAX_SHARED_CRASHES + 1;
/// Number of crashes after which a subtask is given up in any case.
const MAX_CRASHES_IN_ALL: u32 = MAX_SHARED_CRASHES + 2;
/// Time span that a run has to last for the earlier crashes of its subtask to be forgotten.
const FORGET_AFTER: Millis = Millis(60_000);
/// Number of other workers of a rack that show its loss, if all were missing when this leader first
/// called them. Two of them may have crashed by themselves at different times before.
const MIN_MISSING_OF_RACK: usize = 2;
/// Number of other workers that show an outage which also took a worker where a run had just started,
/// if they went away at the same time, had no such run and none of its job. One or two may have
/// crashed by themselves.
const MIN_LOST_IN_OUTAGE: usize = 3;
/// Maximum time between two outages that count as simultaneous.
const SIMULTANEOUS: Millis = Millis(200);
/// Time for which outages are kept for comparison, and unexplained losses for an explanation.
pub(crate) const OUTAGE_MEMORY: Millis = Millis(60_000);

impl Subtask {
    /// Forgets earlier crashes if a run has lasted for long enough. Returns whether there were any.
    pub(crate) const fn forget_crashes(&mut self, age: Millis) -> bool {
        let forgets = age.0 >= FORGET_AFTER.0 && (self.crashes > 0 || self.has_unproven_crash);
        if forgets {
            self.crashes = 0;
            self.has_unproven_crash = false;
        }
        forgets
    }
}

impl Outage {
    /// Returns whether both workers went away at about the same time. Of workers that were missing
    /// when this leader first called them, only those of one rack count, because nothing tells when
    /// they went away.
    fn is_simultaneous(&self, other: &Self) -> bool {
        let overlaps = self.from <= other.to + SIMULTANEOUS && other.from <= self.to + SIMULTANEOUS;
        self.worker != other.worker
            && overlaps
            && self.was_in_contact == other.was_in_contact
            && (self.was_in_contact || self.is_same_rack(other))
    }

    fn is_same_rack(&self, other: &Self) -> bool {
        self.rack.is_some() && self.rack == other.rack
    }

    /// Returns whether `other`, which happened at the same time, shows a cause outside of the worker:
    /// a worker that went away without a reason of its own, or one of the same rack.
    fn has_common_cause(&self, other: &Self) -> bool {
        match other.explanation {
            Explanation::None => true,
            Explanation::FreshRun => self.is_same_rack(other),
            Explanation::Suspect => false,
        }
    }
}

impl JobScheduler {
    /// Decides why a worker has ended, counts a crash for its runs and gives up the job that caused
    /// it, if that is certain.
    pub(crate) fn judge(&mut self, lost: &LostWorker, now: Millis, wall_now: Millis) {
        // A worker that has answered since lost its connections only, which is no reason for another one
        // to end.
        let has_survived = |o: &Outage| {
            let worker = self.workers.get(&o.worker);
            worker.is_some_and(|w| w.has_survived(o))
        };
        let others = self
            .outages
            .iter()
            .filter(|o| o.is_simultaneous(&lost.outage) && !has_survived(o));
        let others: Vec<&Outage> = others.collect();
        let with_others = others.len();
        let common = others.iter().filter(|o| lost.outage.has_common_cause(o));
        let min_common = if lost.outage.was_in_contact {
            1
        } else {
            MIN_MISSING_OF_RACK
        };
        let common_cause = common.count() >= min_common;
        let unrelated = others.iter().filter(|o| lost.is_unrelated(o));
        let unrelated: BTreeSet<&Text> = unrelated.map(|o| &o.worker).collect();
        let unrelated = unrelated.len();
        let is_outage = common_cause
            && (lost.outage.explanation == Explanation::None || unrelated >= MIN_LOST_IN_OUTAGE);
        let cause = match lost {
            lost if lost.was_leaving => EndCause::Left,
            _ if is_outage => EndCause::Outage,
            _ => EndCause::Crashed,
        };
        log::warn!(
            worker:% = lost.id, life = lost.incarnation, cause = cause.name(), runs = lost.runs.len(),
            in_contact = lost.outage.was_in_contact, with_others, common_cause, unrelated,
            silent_ms = now.since(lost.outage.from).0;
            "batch: worker ended"
        );
        let gave_up = cause == EndCause::Crashed
            && self.count_crash(lost, with_others, common_cause, now, wall_now);
        self.worker_ends.push(WorkerEnd {
            cause,
            runs: lost.runs.len(),
            gave_up,
        });
    }

    /// Returns whether a job was given up.
    fn count_crash(
        &mut self,
        lost: &LostWorker,
        with_others: usize,
        common_cause: bool,
        now: Millis,
        wall_now: Millis,
    ) -> bool {
        let may_be_cause =
            |r: &&LostRun| r.existence == Existence::Existed && (r.fresh || !common_cause);
        let suspects = lost.runs.iter().filter(may_be_cause);
        let suspects: Vec<&LostRun> = suspects.collect();
        for run in &suspects {
            let Some(task) = self.subtask_mut(&run.task).filter(|t| !t.done) else {
                continue;
            };
            task.forget_crashes(run.age);
            task.crashes += 1;
            task.isolation_wait = None;
            let crashes = task.crashes;
            self.dirty.push(run.task.job.clone());
            log::warn!(
                task:% = run.task, attempt = run.attempt, worker:% = lost.id, crashes,
                fresh = run.fresh, age_ms = run.age.0;
                "batch: worker crashed under the run"
            );
            if self.is_endless(&run.task) {
                self.rest(&run.task, &lost.id, lost.outage.from);
            }
        }
        for run in lost
            .runs
            .iter()
            .filter(|r| r.existence == Existence::Possible)
        {
            let Some(task) = self.subtask_mut(&run.task).filter(|t| !t.done) else {
                continue;
            };
            task.has_unproven_crash = true;
            self.dirty.push(run.task.job.clone());
            log::info!(
                task:% = run.task, attempt = run.attempt, worker:% = lost.id;
                "batch: worker ended after a start that may not have reached it"
            );
        }
        let limit = match (lost.outage.explanation, with_others) {
            (Explanation::None, _) => MAX_LATE_CRASHES,
            _ if common_cause => MAX_CRASHES_IN_OUTAGE,
            (_, 0) => MAX_CRASHES,
            _ => MAX_CRASHES_AMONG_OTHERS,
        };
        let crashes = |r: &LostRun| self.subtask(&r.task).map_or(0, |t| t.crashes);
        let culprit = culprit(lost);
        let limit_of = |r: &LostRun| match &culprit {
            Some(job) if r.task.job == *job => limit.min(MAX_CRASHES_IN_ALL),
            _ => MAX_CRASHES_IN_ALL,
        };
        let is_at_fault = |r: &&&LostRun| crashes(r) >= limit_of(r) && !self.is_endless(&r.task);
        let at_fault = suspects.iter().filter(is_at_fault);
        let mut at_fault: Vec<&LostRun> = at_fault.copied().collect();
        at_fault.sort_by_key(|r| (&r.task.job, Reverse(crashes(r))));
        at_fault.dedup_by_key(|r| &r.task.job);
        let at_fault = at_fault
            .into_iter()
            .map(|r| (r.task.clone(), crashes(r), limit_of(r)));
        let mut gave_up = false;
        for (task, crashes, limit) in at_fault.collect::<Vec<_>>() {
            if self.phase(&task.job).is_none_or(Phase::is_final) {
                continue;
            }
            log::error!(task:%, crashes, limit, worker:% = lost.id; "batch: given up, it crashes its workers");
            let end = JobEnd::Crashes {
                task: &task,
                crashes,
                limit,
            };
            self.finish(&task.job, end, now, wall_now);
            gave_up = true;
        }
        gave_up
    }

    /// Returns whether a worker has to answer another call right before a start of the subtask. If it
    /// ends without an answer to the start, only that tells whether the start has reached it.
    ///
    /// ```
    /// use batch::{scheduler::JobScheduler, job::SubtaskId};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().needs_contact(&task));
    /// ```
    pub fn needs_contact(&self, task: &SubtaskId) -> bool {
        self.subtask(task)
            .is_some_and(|t| t.has_unproven_crash || t.crashes > 0)
    }

    /// Finds the losses that a new VM list explains.
    pub(crate) fn explain_losses(&mut self, now: Millis, wall_now: Millis) {
        if !mem::take(&mut self.has_new_list) || self.unexplained_losses.is_empty() {
            return;
        }
        let losses = mem::take(&mut self.unexplained_losses);
        let fates = self.fates(&losses);
        for (lost, fate) in losses.into_iter().zip(fates) {
            match fate {
                Fate::Survived => {}
                Fate::Ended => self.judge(&lost, now, wall_now),
                Fate::Unknown if now.since(lost.outage.to) > OUTAGE_MEMORY => {}
                Fate::Unknown => self.unexplained_losses.push(lost),
            }
        }
    }

    /// Removes what a report shows not to be lost: the runs of an incarnation that is still there, and those
    /// of the next one.
    pub(crate) fn settle_losses(&mut self, worker: &str, report: &Report) {
        let mut losses = mem::take(&mut self.unexplained_losses);
        losses.retain_mut(|lost| {
            if *lost.id != *worker {
                return true;
            }
            let is_lost = |r: &LostRun| r.confirmed || self.may_precede(report, &r.task, r.attempt);
            lost.runs.retain(is_lost);
            lost.incarnation != report.incarnation && !lost.runs.is_empty()
        });
        self.unexplained_losses = losses;
    }

    fn fates(&self, losses: &[LostWorker]) -> Vec<Fate> {
        let infos = || self.workers.values().filter_map(|w| w.info.as_ref());
        let mut addresses: Vec<&Text> = infos().map(|i| &i.address).collect();
        let mut machines: Vec<&Text> = infos().filter_map(|i| i.machine.as_ref()).collect();
        addresses.sort_unstable();
        machines.sort_unstable();
        let fate = |lost: &LostWorker| {
            let worker = self.workers.get(&lost.id);
            let same_id = worker.and_then(|w| w.info.as_ref());
            let has_reported =
                worker.is_some_and(|w| w.incarnation > lost.incarnation && w.clock.is_some());
            let is_certain = has_reported || lost.runs.iter().all(|r| r.confirmed);
            let is_listed =
                |all: &[&Text], key: &Text| !key.is_empty() && all.binary_search(&key).is_ok();
            match same_id {
                Some(i) if i.incarnation > lost.incarnation && is_certain => Fate::Ended,
                Some(i) if i.incarnation != lost.incarnation => Fate::Unknown,
                Some(i) if lost.listed_at.is_none_or(|t| i.clock > t) => Fate::Survived,
                None if is_listed(&addresses, &lost.address) => Fate::Ended,
                None if lost
                    .machine
                    .as_ref()
                    .is_some_and(|m| is_listed(&machines, m)) =>
                {
                    Fate::Ended
                }
                _ => Fate::Unknown,
            }
        };
        losses.iter().map(fate).collect()
    }
}

/// What became of a worker whose lease expired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Unknown,
    /// A worker of another incarnation has its id, its address or its hardware.
    Ended,
    /// It is still there.
    Survived,
}

/// Returns the job whose subtask crashed the worker, or `None` if runs of several jobs may be the
/// cause.
fn culprit(lost: &LostWorker) -> Option<Text> {
    let has_no_fresh_run = lost.outage.explanation == Explanation::None;
    let mut runs = lost.runs.iter().filter(|r| r.fresh || has_no_fresh_run);
    let job = &runs.next()?.task.job;
    runs.all(|r| r.task.job == *job).then(|| job.clone())
}
