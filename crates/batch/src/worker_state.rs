//! State of one worker: its capacity, its runs and its health.

use base::clock::Millis;

use crate::{
    job::{Resources, SubtaskId, Text},
    stop_order::StopOrder,
    worker::WorkerInfo,
    worker_end::Outage,
};

/// Time without new work after a worker refused a start or failed runs; doubles with each further
/// failure.
const BACKOFF: Millis = Millis(1_000);
/// Maximum number of doublings of [`BACKOFF`]: 16 s, after which a single subtask shows whether the
/// worker is healthy again.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Consecutive failures after which a worker gets no work for [`BACKOFF`]. A single failure may be
/// caused by the subtask itself.
const BACKOFF_FAILURES: u32 = 2;

/// Maximum time for which the VM list has the entry of an incarnation that has ended: three intervals
/// of 1.5 s, and as much again while the store is slow.
const OLD_ENTRY_TIME: Millis = Millis(9_000);

/// Time without new work after a worker answers again from its second recent outage; doubles with
/// each further outage. A flapping worker goes down and up within a second or two. A single outage
/// may be caused by the network.
const PROBATION: Millis = Millis(500);
/// Maximum number of doublings of [`PROBATION`].
const MAX_PROBATION_DOUBLINGS: u32 = 4;
/// Time for which a step of endless work is not started again on a worker where a run of it failed.
/// Such work is to be back within 6 s of its last run.
const ENDLESS_RETRY_DELAY: Millis = Millis(2_000);
/// Time after a refusal or an outage for which a worker gets no work at all, unless its backoff or
/// probation is shorter. After that it may get work that no other worker has room for.
const MIN_HOLD_OFF: Millis = Millis(2_000);
/// Time after which an outage no longer counts as recent.
const OUTAGE_MEMORY: Millis = Millis(20_000);

/// A worker with the runs that may exist on it, see [`Run`](crate::progress::Run).
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    /// Entry in the VM list; none if it is not listed.
    pub(crate) info: Option<WorkerInfo>,
    /// Last known address; empty if unknown.
    pub(crate) address: Text,
    /// Last listed hardware.
    pub(crate) machine: Option<Text>,
    /// Last listed data centre; `None` if the worker was never listed.
    pub(crate) zone: Option<Text>,
    /// Last listed capacity.
    pub(crate) last_capacity: Option<Resources>,
    /// Incarnation that wrote the last entry, and the time on its clock.
    pub(crate) entry_clock: Option<(u64, Millis)>,
    /// Time after which the entry was written; `None` if it was in the first list that this leader
    /// read.
    pub(crate) entry_written_after: Option<Millis>,
    /// Resources of listed runs that should not exist and are being stopped.
    pub(crate) unexpected: Resources,
    /// Stops of these runs, by subtask and attempt.
    pub(crate) unexpected_stops: Vec<(SubtaskId, u32, StopOrder)>,
    /// Accelerators of the runs that the last report lists.
    pub(crate) listed: u64,
    /// Current incarnation; 0 if unknown.
    pub(crate) incarnation: u64,
    /// Incarnation whose end a report or a later entry has shown, and when.
    ended: Option<(u64, Millis)>,
    /// Whether another worker answers at its address, so that this one is gone.
    pub(crate) replaced: bool,
    /// Time of the last answer, or of a later sign that the worker was alive.
    pub(crate) alive_until: Millis,
    /// Time of the last answer.
    pub(crate) answered_at: Millis,
    /// The current outage.
    pub(crate) outage: Option<Outage>,
    /// Runs that may exist, with the resources that they reserve.
    pub(crate) runs: Vec<(SubtaskId, Resources)>,
    /// Resources that the runs reserve together.
    reserved: Resources,
    /// Highest sequence number of a finished run that was processed.
    pub(crate) processed_seq: u64,
    /// Highest sequence number of a finished run whose outcome is stored.
    pub(crate) stored_seq: u64,
    /// Time until which the worker gets no new work after failures or refusals.
    pub(crate) no_work_until: Millis,
    /// Time until which it gets none after repeated outages.
    pub(crate) probation_until: Millis,
    /// Time of the last failure, refusal or end of an outage after which it gets none for some time.
    held_off_at: Millis,
    /// Time at which a draining worker shuts down.
    pub(crate) shutdown_at: Option<Millis>,
    /// A time on the worker's clock, and the local time when the worker reported it.
    pub(crate) clock: Option<(Millis, Millis)>,
    /// Whether the worker currently fails to answer.
    pub(crate) unresponsive: bool,
    /// Whether only a report tells if runs whose leases have expired were those of the next incarnation.
    pub(crate) awaits_report: bool,
    /// Number of outages that are at most [`OUTAGE_MEMORY`] apart.
    recent_outages: u32,
    /// End of the last outage.
    responding_since: Millis,
    /// Failed runs since the last success.
    pub(crate) failures: u32,
    /// Steps of endless work, by job and index, of which a run has failed here, with the time.
    failed_endless: Vec<(Text, usize, Millis)>,
}

impl Worker {
    /// Records an answer of the worker.
    pub(crate) fn record_answer(&mut self, now: Millis) {
        self.alive_until = now;
        self.answered_at = now;
    }

    pub(crate) fn add_run(&mut self, task: SubtaskId, need: Resources) {
        self.reserved.add(need, 1);
        self.runs.push((task, need));
    }

    pub(crate) fn remove_run(&mut self, task: &SubtaskId) {
        let removed = self.runs.extract_if(.., |(t, _)| t == task);
        for (_, need) in removed {
            self.reserved = self.reserved.saturating_sub(need);
        }
    }

    /// Returns the resources of all runs that may exist.
    pub(crate) fn used(&self) -> Resources {
        let mut used = self.unexpected;
        used.add(self.reserved, 1);
        used
    }

    /// Returns whether a run exists or may exist here, the outcome of a finished run is not stored, or a
    /// report is to tell what has become of runs.
    pub(crate) fn is_in_use(&self) -> bool {
        let has_unexpected = self.unexpected != Resources::default();
        let awaits_report = self.awaits_report && self.info.is_some();
        let has_unstored = self.processed_seq > self.stored_seq;
        !self.runs.is_empty() || has_unexpected || has_unstored || awaits_report
    }

    /// Returns whether new work may be placed on the worker, if need be while it is held off.
    pub(crate) fn accepts_work(&self, now: Millis) -> bool {
        !self.unresponsive
            && !self.replaced
            && now >= self.earliest_work()
            && self.has_current_entry()
            && self.info.as_ref().is_some_and(|i| !i.draining)
    }

    /// Returns the time until which the worker gets no new work at all. One on which everything fails would
    /// use up the attempts of the jobs that it gets.
    fn earliest_work(&self) -> Millis {
        let earliest = self.held_off_until().min(self.held_off_at + MIN_HOLD_OFF);
        if self.is_failing() {
            earliest.max(self.no_work_until)
        } else {
            earliest
        }
    }

    /// Returns the time until which the worker gets no new work that others have room for.
    pub(crate) fn held_off_until(&self) -> Millis {
        self.no_work_until.max(self.probation_until)
    }

    /// Returns whether the entry in the VM list is one of the current incarnation. Another one may
    /// have other resources.
    fn has_current_entry(&self) -> bool {
        let entry = self.info.as_ref();
        entry.is_some_and(|i| i.incarnation == self.incarnation)
    }

    /// Returns whether an entry in the VM list shows that the worker has another incarnation. The
    /// entry of a restarted worker may name the incarnation before for some time.
    pub(crate) fn is_new_life(&self, incarnation: u64, now: Millis) -> bool {
        let has_ended = self
            .ended
            .is_some_and(|(ended, at)| ended == incarnation && now.since(at) < OLD_ENTRY_TIME);
        incarnation != self.incarnation && !has_ended
    }

    /// Returns whether a later incarnation is known to have begun.
    pub(crate) fn has_ended(&self, incarnation: u64) -> bool {
        let has_ended = self.ended.is_some_and(|(ended, _)| ended == incarnation);
        // A late report that was taken for that of a restart must not hide the current incarnation.
        incarnation < self.incarnation && has_ended
    }

    /// Starts the incarnation that the entry in the VM list names. That of a new leader's first list
    /// may be older than the one in the stored runs.
    pub(crate) fn start_listed_life(&mut self, incarnation: u64, now: Millis) {
        if incarnation > self.incarnation {
            self.ended = Some((self.incarnation, now));
        }
        self.start_life(incarnation);
    }

    /// Starts the incarnation that a report names.
    pub(crate) fn start_reported_life(&mut self, incarnation: u64, now: Millis) {
        self.ended = Some((self.incarnation, now));
        self.start_life(incarnation);
    }

    /// Starts another incarnation, whose finished runs are numbered anew.
    fn start_life(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.processed_seq = 0;
        self.stored_seq = 0;
        self.replaced = false;
        self.unexpected = Resources::default();
        self.unexpected_stops.clear();
        self.listed = 0;
        self.outage = None;
        self.clock = None;
        self.shutdown_at = None;
    }

    /// Returns how old the worker's entry is by the worker's own clock; `None` if a clock is unknown.
    pub(crate) fn entry_age(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        let info = self.info.as_ref().filter(|i| i.clock > Millis::ZERO)?;
        let is_current = info.incarnation == self.incarnation;
        is_current.then(|| (clock + now.since(at)).since(info.clock))
    }

    /// Returns whether the worker is slow for some time after it was idle or has started.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        let cold = self.info.as_ref().and_then(|i| i.cold);
        cold.is_some_and(|time| time > self.entry_age(now).unwrap_or_default())
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let labels = self.info.iter().flat_map(|i| &i.labels);
        labels.into_iter().any(|l| &**l == label)
    }

    /// Returns the label that names the rack, by convention the last one.
    pub(crate) fn rack(&self) -> Option<&Text> {
        self.info.as_ref()?.labels.last()
    }

    pub(crate) fn back_off(&mut self, now: Millis) {
        self.no_work_until = self.no_work_until.max(now + BACKOFF);
        self.held_off_at = now;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.is_failing() {
            let doublings = (self.failures - BACKOFF_FAILURES).min(MAX_BACKOFF_DOUBLINGS);
            self.no_work_until = self.no_work_until.max(now + Millis(BACKOFF.0 << doublings));
            self.held_off_at = now;
        }
    }

    /// Records that a run of endless work has failed. Such work may fail at any time and never ends
    /// with a success, so that it says nothing about the worker.
    pub(crate) fn record_endless_failure(&mut self, task: &SubtaskId, now: Millis) {
        self.failed_endless.retain(|(job, step, at)| {
            let is_same = *job == task.job && *step == task.step;
            !is_same && now.since(*at) < ENDLESS_RETRY_DELAY
        });
        let failure = (task.job.clone(), task.step, now);
        self.failed_endless.push(failure);
    }

    /// Returns whether a run of a step of endless work has just failed here.
    pub(crate) fn has_failed_endless(&self, job: &str, step: usize, now: Millis) -> bool {
        self.failed_endless.iter().any(|(of_job, of_step, at)| {
            let is_same = **of_job == *job && *of_step == step;
            is_same && now.since(*at) < ENDLESS_RETRY_DELAY
        })
    }

    /// Returns whether the worker gets less work because runs have failed there.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failures >= BACKOFF_FAILURES
    }

    /// Sets the number of failures that an earlier leader has counted.
    pub(crate) fn restore_failures(&mut self, failures: u32, now: Millis) {
        self.failures = failures.saturating_sub(1);
        self.record_failure(now);
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the worker went down and up several times lately.
    pub(crate) fn is_flapping(&self, now: Millis) -> bool {
        self.recent_outages > 1 && now.since(self.responding_since) <= OUTAGE_MEMORY
    }

    /// Records whether the worker answers. Each recovery counts as one outage.
    pub(crate) fn set_responding(&mut self, responding: bool, now: Millis) {
        let recovered = self.unresponsive && responding;
        self.unresponsive = !responding;
        if responding {
            self.outage = None;
        }
        if !recovered {
            return;
        }
        if now.since(self.responding_since) > OUTAGE_MEMORY {
            self.recent_outages = 0;
        }
        self.responding_since = now;
        self.recent_outages += 1;
        if self.recent_outages > 1 {
            let doublings = (self.recent_outages - 2).min(MAX_PROBATION_DOUBLINGS);
            let end = now + Millis(PROBATION.0 << doublings);
            self.probation_until = self.probation_until.max(end);
            self.held_off_at = now;
        }
    }
}
