//! Ends of workers that had runs.

use base::clock::Millis;

use crate::{
    crash::OUTAGE_MEMORY,
    grant::Expired,
    job::{Resources, SubtaskId, Text},
    progress::{ClosedStart, Run, RunState},
    scheduler::JobScheduler,
    worker::FinishedRun,
    worker_state::Worker,
};

/// Time that a run has to last before a crash of its worker is no longer attributed to its start.
pub(crate) const PROVING_TIME: Millis = Millis(500);

/// Time from a crash until its connections are found closed. The other members of a gang may report
/// their end before that, and the gang is stopped.
const NOTICE_DELAY: Millis = Millis(50);

/// Maximum time between two answers of a worker that is in contact.
const MAX_REPORT_GAP: Millis = Millis(3_000);

/// What ended a worker, or the trust in it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// It crashed.
    Crashed,
    /// It ended together with others for a reason that lies outside of its runs, such as a loss of
    /// power.
    Outage,
    /// It shut down as announced.
    Left,
    /// It did not answer until its lease expired; it may have crashed or be unreachable.
    LeaseExpired,
}

impl EndCause {
    /// Returns the name, a label of metrics and a field of log lines.
    ///
    /// ```
    /// use batch::worker_end::EndCause;
    /// assert_eq!(EndCause::LeaseExpired.name(), "lease_expired");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Outage => "outage",
            Self::Left => "left",
            Self::LeaseExpired => "lease_expired",
        }
    }
}

/// End of a worker that had runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerEnd {
    /// What ended it.
    pub cause: EndCause,
    /// Number of its runs.
    pub runs: usize,
    /// Whether a job was given up because of it.
    pub gave_up: bool,
}

/// A worker that ended, with what ran on it.
#[derive(Clone, Debug)]
pub(crate) struct LostWorker {
    pub(crate) id: Text,
    pub(crate) address: Text,
    pub(crate) machine: Option<Text>,
    pub(crate) incarnation: u64,
    /// Time on the worker's clock when it last wrote its entry in the VM list.
    pub(crate) listed_at: Option<Millis>,
    pub(crate) outage: Outage,
    /// Whether it had announced its shutdown.
    pub(crate) was_leaving: bool,
    pub(crate) runs: Vec<LostRun>,
}

impl LostWorker {
    /// Returns whether another worker went away that had no reason of its own, nor a run of a job that
    /// had just started on this one.
    pub(crate) fn is_unrelated(&self, other: &Outage) -> bool {
        let is_there = |r: &LostRun| other.jobs.binary_search(&r.task.job).is_ok();
        other.was_in_contact
            && other.explanation == Explanation::None
            && !self.runs.iter().any(|r| r.fresh && is_there(r))
    }
}

/// A run on a worker that ended.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    pub(crate) task: SubtaskId,
    pub(crate) attempt: u32,
    /// Time that the run is known to have lasted.
    pub(crate) age: Millis,
    /// Whether the worker may have ended because the run started.
    pub(crate) fresh: bool,
    pub(crate) existence: Existence,
    /// Whether the incarnation that ended has confirmed it. Otherwise the next one may have it.
    pub(crate) confirmed: bool,
}

/// Whether a run existed when its worker ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Existence {
    /// It did.
    Existed,
    /// A start of it was sent right before, and may have reached the worker.
    Possible,
    /// Nothing shows that it did. A start that the worker has not answered may not have been carried out,
    /// and a run that was stopped may have ended before.
    Unproven,
}

/// A run on a worker that did not answer until its lease was over.
#[derive(Clone, Debug)]
pub(crate) struct LapsedRun {
    worker: Text,
    task: SubtaskId,
    attempt: u32,
    expired_at: Millis,
}

/// Time span in which a worker went away.
#[derive(Clone, Debug)]
pub(crate) struct Outage {
    pub(crate) worker: Text,
    /// Incarnation that went away.
    pub(crate) incarnation: u64,
    pub(crate) rack: Option<Text>,
    /// Last time at which it was alive.
    pub(crate) from: Millis,
    /// Time at which it was first found missing.
    pub(crate) to: Millis,
    /// Whether it was in contact with this leader before.
    pub(crate) was_in_contact: bool,
    pub(crate) explanation: Explanation,
    /// Jobs that had runs on it, sorted.
    pub(crate) jobs: Vec<Text>,
}

/// What on a worker may explain that it went away.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Explanation {
    #[default]
    None,
    /// A run had just started.
    FreshRun,
    /// A run had just started whose subtask has crashed a worker before.
    Suspect,
}

impl Worker {
    /// Returns whether the worker has answered a short while ago.
    pub(crate) fn is_in_contact(&self, now: Millis) -> bool {
        self.answered_at > Millis::ZERO && now.since(self.answered_at) <= MAX_REPORT_GAP
    }

    /// Returns the time until which the worker was alive; `None` if it was not in contact.
    fn last_seen(&self, now: Millis) -> Option<Millis> {
        let is_recent = now.since(self.alive_until) <= MAX_REPORT_GAP;
        (self.alive_until > Millis::ZERO && is_recent).then_some(self.alive_until)
    }

    /// Returns whether the incarnation that went away in an outage has answered since, so that only its
    /// connections were lost.
    pub(crate) fn has_survived(&self, outage: &Outage) -> bool {
        self.incarnation == outage.incarnation
            && self.outage.is_none()
            && self.answered_at > outage.to
    }

    /// Returns the outage of the worker that is found missing at `now`. Of one that was not in contact,
    /// only that time can be compared with other outages.
    fn outage(&self, id: Text, explanation: Explanation, now: Millis) -> Outage {
        let last_seen = self.last_seen(now);
        let mut jobs: Vec<Text> = self.runs.iter().map(|(t, _)| t.job.clone()).collect();
        jobs.sort_unstable();
        jobs.dedup();
        Outage {
            worker: id,
            incarnation: self.incarnation,
            rack: self.rack().cloned(),
            from: last_seen.unwrap_or(now),
            to: now,
            was_in_contact: last_seen.is_some(),
            explanation,
            jobs,
        }
    }
}

impl Run {
    /// Returns for how long the run is known to have lasted at `at`.
    pub(crate) fn known_age(&self, at: Millis) -> Millis {
        self.taken_at.map_or(Millis::ZERO, |t| at.since(t))
    }

    /// Returns the start of the run on which the connection closed when its worker went away, which
    /// was alive until `at`.
    fn start_closed_at(&self, at: Millis) -> Option<ClosedStart> {
        let is_near = |t: Millis| t <= at + NOTICE_DELAY && at <= t + NOTICE_DELAY;
        self.closed_start.filter(|s| is_near(s.at))
    }

    /// Returns whether the run existed when its worker, which was alive until `at`, crashed. An
    /// unanswered start counts if its connection closed in the crash of a worker that was in contact:
    /// a network partition may close connections as well. An earlier leader sent its starts right
    /// after it had stored them.
    fn existed(&self, at: Millis) -> bool {
        let had_arrived = self.start_closed_at(at).is_some_and(|s| s.in_contact);
        let had_started = self.taken_at.is_some() || had_arrived;
        let was_stopped = |t: Millis| t + NOTICE_DELAY < at;
        match self.state {
            RunState::Adopted => true,
            RunState::Ordered | RunState::Running => had_started,
            RunState::Stopping => {
                let had_started = had_started || self.placed_at.is_none();
                had_started && !self.stop_ordered_at.is_some_and(was_stopped)
            }
        }
    }

    /// Returns whether a crash at `at` may be due to the start of the run. Of a run that an earlier
    /// leader started the time of the start is unknown.
    pub(crate) fn is_fresh(&self, at: Millis) -> bool {
        let started_here = self.placed_at.is_some() || self.state == RunState::Ordered;
        started_here && self.known_age(at) < PROVING_TIME
    }
}

impl JobScheduler {
    /// Handles the first failed call of an outage of a worker: it was alive at `alive_until`, or at
    /// any time before if that is unknown (0), and is missing at `now`.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// scheduler.handle_outage("w", Millis(1), Millis(2));
    /// ```
    pub fn handle_outage(&mut self, worker: &str, alive_until: Millis, now: Millis) {
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.set_responding(false, now);
        w.alive_until = w.alive_until.max(alive_until);
        let from = w.last_seen(now).unwrap_or(now);
        let explanation = self.explanation(worker, from);
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let outage = w.outage(worker.into(), explanation, now);
        w.outage.get_or_insert_with(|| outage.clone());
        self.outages.retain(|o| now.since(o.to) <= OUTAGE_MEMORY);
        self.outages.push(outage);
    }

    fn explanation(&self, worker: &str, at: Millis) -> Explanation {
        let runs = self.workers.get(worker).map(|w| &w.runs);
        let tasks = runs
            .into_iter()
            .flatten()
            .filter_map(|(t, _)| self.subtask(t));
        let explanations = tasks.map(|t| match &t.run {
            Some(run) if !run.is_fresh(at) => Explanation::None,
            Some(_) if t.crashes > 0 => Explanation::Suspect,
            Some(_) => Explanation::FreshRun,
            None => Explanation::None,
        });
        explanations.max().unwrap_or_default()
    }

    /// Handles an answer of another worker at the address of `worker`: its incarnation has ended,
    /// and its runs are gone.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// scheduler.handle_replaced("w", Millis(1), Millis(1));
    /// ```
    pub fn handle_replaced(&mut self, worker: &str, now: Millis, wall_now: Millis) {
        let Some(lost) = self.lost_worker(worker, now, now) else {
            return;
        };
        if let Some(w) = self.workers.get_mut(worker) {
            w.replaced = true;
            w.awaits_report = false;
            w.unexpected = Resources::default();
        }
        self.remove_lost_runs(&lost, now);
        self.judge(&lost, now, wall_now);
    }

    /// Handles the expiry of a worker's lease, after which none of its runs exists any more.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::scheduler::JobScheduler::default().handle_lease_expiry("w", Millis(1));
    /// ```
    pub fn handle_lease_expiry(&mut self, worker: &str, now: Millis) {
        self.handle_expired_runs(worker, Expired::All, now);
    }

    /// Handles the end of runs whose leases have expired.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{grant::Expired, scheduler::JobScheduler};
    /// JobScheduler::default().handle_expired_runs("w", Expired::Confirmed, Millis(1));
    /// ```
    pub fn handle_expired_runs(&mut self, worker: &str, expired: Expired, now: Millis) {
        let Some(mut lost) = self.lost_worker(worker, now, now) else {
            return;
        };
        match expired {
            Expired::Nothing => lost.runs.clear(),
            Expired::Confirmed => lost.runs.retain(|r| r.confirmed),
            Expired::All => {}
        }
        if let Some(w) = self.workers.get_mut(worker)
            && expired == Expired::All
        {
            w.unexpected = Resources::default();
        }
        if lost.runs.is_empty() {
            return;
        }
        if let Some(w) = self.workers.get_mut(worker) {
            w.back_off(now);
            w.awaits_report |= lost.runs.iter().any(|r| !r.confirmed);
        }
        for run in &lost.runs {
            log::warn!(
                task:% = run.task, attempt = run.attempt, worker, life = lost.incarnation,
                confirmed = run.confirmed, age_ms = run.age.0;
                "batch: lease of the run is over"
            );
        }
        self.worker_ends.push(WorkerEnd {
            cause: EndCause::LeaseExpired,
            runs: lost.runs.len(),
            gave_up: false,
        });
        self.remove_lost_runs(&lost, now);
        self.lapsed_runs
            .retain(|r| now.since(r.expired_at) <= OUTAGE_MEMORY);
        self.lapsed_runs
            .extend(lost.runs.iter().map(|run| LapsedRun {
                worker: lost.id.clone(),
                task: run.task.clone(),
                attempt: run.attempt,
                expired_at: now,
            }));
        self.unexplained_losses.push(lost);
    }

    /// Returns whether a finished run is one whose lease expired before its worker reported the end, and
    /// forgets it.
    pub(crate) fn take_lapsed_run(&mut self, worker: &str, finished: &FinishedRun) -> bool {
        let position = self.lapsed_runs.iter().position(|r| {
            *r.worker == *worker && r.task == finished.task && r.attempt == finished.attempt
        });
        position.map(|i| self.lapsed_runs.swap_remove(i)).is_some()
    }

    fn remove_lost_runs(&mut self, lost: &LostWorker, now: Millis) {
        for run in &lost.runs {
            self.remove_run(&run.task);
            if let Some(task) = self.subtask_mut(&run.task) {
                task.idle_since = Some(lost.outage.from);
            }
            self.stop_gang(&run.task, now);
        }
    }

    /// Returns a worker that has ended, with its runs that were placed up to `placed_until`.
    pub(crate) fn lost_worker(
        &self,
        id: &str,
        placed_until: Millis,
        now: Millis,
    ) -> Option<LostWorker> {
        let worker = self.workers.get(id)?;
        let id: Text = id.into();
        let found_now = || worker.outage(id.clone(), Explanation::None, now);
        let mut outage = worker.outage.clone().unwrap_or_else(found_now);
        // The answer to a start may arrive after the first failure of another call.
        outage.from = outage.from.max(worker.alive_until);
        let from = outage.from;
        let runs = worker.runs.iter().filter_map(|(task, _)| {
            let subtask = self.subtask(task)?;
            let run = subtask.run.as_ref()?;
            if run.placed_at.is_some_and(|t| t > placed_until) {
                return None;
            }
            let existence = match () {
                () if run.existed(from) => Existence::Existed,
                () if run.start_closed_at(from).is_some() => Existence::Possible,
                () => Existence::Unproven,
            };
            Some(LostRun {
                task: task.clone(),
                attempt: subtask.attempt,
                age: run.known_age(from),
                fresh: run.is_fresh(from),
                existence,
                confirmed: run.is_confirmed_by(worker.incarnation),
            })
        });
        let runs: Vec<LostRun> = runs.collect();
        outage.explanation = self.explanation(&id, from);
        Some(LostWorker {
            id: id.clone(),
            address: worker.address.clone(),
            machine: worker.machine.clone(),
            incarnation: worker.incarnation,
            listed_at: worker.info.as_ref().map(|i| i.clock),
            outage,
            was_leaving: worker.shutdown_at.is_some(),
            runs,
        })
    }
}
