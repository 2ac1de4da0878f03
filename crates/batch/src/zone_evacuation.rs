//! Evacuation of data centres: while an operator asks for it, no subtask starts there.
//!
//! What runs there goes on, because bounded runs end by themselves and the stop of a lasting run would
//! interrupt healthy work.

use base::clock::Millis;

use crate::{
    job::{SubtaskId, Text},
    progress::RunState,
    scheduler::JobScheduler,
    worker_state::Worker,
};

/// The evacuated data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    /// Their names, sorted.
    zones: Vec<Text>,
    /// Number of starts that were rolled back.
    rolled_back: u64,
}

impl JobScheduler {
    /// Replaces the set of evacuated data centres.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{job::SubtaskId, scheduler::JobScheduler};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// let mut scheduler = JobScheduler::default();
    /// assert!(!scheduler.is_start_evacuated(&task, &"w".into()));
    /// scheduler.set_evacuated(&["zone-b".into()], Millis(1));
    /// assert!(scheduler.is_start_evacuated(&task, &"w".into()), "its data centre is not known");
    /// ```
    pub fn set_evacuated(&mut self, zones: &[Text], _now: Millis) {
        if self.evacuations.zones == zones {
            return;
        }
        self.evacuations.zones = zones.to_vec();
        self.evacuations.zones.sort_unstable();
    }

    /// Returns whether a worker is in an evacuated data centre. One whose data centre is not known may
    /// be.
    pub(crate) fn is_evacuated(&self, worker: &Worker) -> bool {
        let zones = &self.evacuations.zones;
        !zones.is_empty()
            && (worker.zone.as_ref()).is_none_or(|zone| zones.binary_search(zone).is_ok())
    }

    /// Returns whether a start must not be sent, because it would start a subtask in an evacuated data
    /// centre: that of `task`, or another member of its gang, which starts once the gang is whole.
    ///
    /// ```
    /// use batch::{job::SubtaskId, scheduler::JobScheduler};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// assert!(!JobScheduler::default().is_start_evacuated(&task, &"w".into()));
    /// ```
    pub fn is_start_evacuated(&self, task: &SubtaskId, worker: &Text) -> bool {
        if self.evacuations.zones.is_empty() {
            return false;
        }
        let is_there = |worker: &Text| {
            let worker = self.workers.get(worker);
            worker.is_none_or(|w| self.is_evacuated(w))
        };
        let has_run_there = |member: &SubtaskId| {
            let run = self.subtask(member).and_then(|t| t.run.as_ref());
            run.is_some_and(|r| is_there(&r.worker))
        };
        let gang = self.step_of(task).is_some_and(|s| s.gang);
        is_there(worker) || (gang && self.gang_members(task, gang).iter().any(has_run_there))
    }

    /// Takes back a start that is not sent because of an evacuation: its run is removed, and the rest of
    /// its gang is stopped. If an earlier start of the run has no answer, the run may exist and is kept
    /// until a report tells.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{job::SubtaskId, scheduler::JobScheduler};
    /// let task = SubtaskId::parse("1.0.0.0").unwrap();
    /// JobScheduler::default().roll_back_start(&task, 1, Millis(1));
    /// ```
    pub fn roll_back_start(&mut self, id: &SubtaskId, attempt: u32, now: Millis) {
        let task = self.subtask_mut(id).filter(|t| t.attempt == attempt);
        let Some(run) = task.and_then(|t| t.run.as_mut()) else {
            return;
        };
        run.awaits_reply = false;
        let (worker, may_exist) = (run.worker.clone(), run.may_start_late());
        if may_exist {
            // The next report lists the run, or it is stopped, see `resolve_missing_runs`.
            run.state = RunState::Running;
        }
        log::info!(task:% = id, attempt, worker:%, may_exist; "batch: start not sent, its data centre is evacuated");
        self.evacuations.rolled_back += 1;
        if !may_exist {
            self.remove_run(id);
            self.stop_gang(id, now);
        }
    }

    /// Returns the number of starts that were rolled back.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().starts_rolled_back(), 0);
    /// ```
    pub const fn starts_rolled_back(&self) -> u64 {
        self.evacuations.rolled_back
    }
}
