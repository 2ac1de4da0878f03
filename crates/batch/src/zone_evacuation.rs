//! Evacuation of data centres: while an operator asks for it, no subtask starts there.
//!
//! What runs there goes on, because bounded runs end by themselves and the stop of a lasting run would
//! interrupt healthy work.

use base::{clock::Millis, sorted::SortedMap};
use serde::Serialize;

use crate::{
    job::{SubtaskId, Text},
    progress::RunState,
    scheduler::JobScheduler,
    worker_state::Worker,
};

/// Minimum time between two log lines about the runs that are left in a data centre.
const LOG_INTERVAL: Millis = Millis(1_000);
/// Maximum number of runs that [`EvacuatedZone::left`] lists.
const MAX_LISTED: usize = 20;

/// The evacuated data centres.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    /// Their names, sorted.
    zones: Vec<Text>,
    /// Numbers of runs and of lasting ones that were last logged, by data centre.
    logged: SortedMap<Text, (usize, usize)>,
    /// Time of the last check whether these numbers have changed.
    checked_at: Millis,
}

/// What is left in an evacuated data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EvacuatedZone {
    /// Name of the data centre.
    pub zone: Text,
    /// Number of its workers that are listed or have runs.
    pub workers: usize,
    /// Number of runs that may exist there.
    pub runs: usize,
    /// Number of these that do not end by themselves.
    pub lasting: usize,
    /// Up to 20 of these runs, the lasting ones first.
    pub left: Vec<LeftRun>,
}

/// A run in an evacuated data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LeftRun {
    /// Id of the subtask.
    pub task: String,
    /// The worker.
    pub worker: Text,
    /// Whether it does not end by itself.
    pub lasting: bool,
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
    pub fn set_evacuated(&mut self, zones: &[Text], now: Millis) {
        if self.evacuations.zones != zones {
            self.evacuations.zones = zones.to_vec();
            self.evacuations.zones.sort_unstable();
        }
        self.log_evacuations(now);
    }

    /// Logs how many runs are left in each evacuated data centre, if that has changed.
    fn log_evacuations(&mut self, now: Millis) {
        let state = &self.evacuations;
        let is_over = state.zones.is_empty() && state.logged.is_empty();
        if is_over || now.since(state.checked_at) < LOG_INTERVAL {
            return;
        }
        self.evacuations.checked_at = now;
        let logged = std::mem::take(&mut self.evacuations.logged);
        for zone in self.evacuated_zones() {
            let counts = (zone.runs, zone.lasting);
            if logged.get(&zone.zone) != Some(&counts) {
                log::info!(
                    zone:% = zone.zone, workers = zone.workers, runs = zone.runs, lasting = zone.lasting;
                    "batch: left in an evacuated data centre"
                );
            }
            self.evacuations.logged.insert(zone.zone, counts);
        }
    }

    /// Returns what is left in each evacuated data centre.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().evacuated_zones().is_empty());
    /// ```
    pub fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        let zone = |zone: &Text| EvacuatedZone {
            zone: zone.clone(),
            ..EvacuatedZone::default()
        };
        let mut zones: Vec<_> = self.evacuations.zones.iter().map(zone).collect();
        if zones.is_empty() {
            return zones;
        }
        for (id, worker) in self.workers.iter() {
            let zone = worker.zone.as_ref();
            let index = zone.and_then(|z| self.evacuations.zones.binary_search(z).ok());
            let Some(zone) = index.map(|i| &mut zones[i]) else {
                continue;
            };
            zone.workers += 1;
            for (task, _) in &worker.runs {
                zone.add_run(id, task, self.is_endless(task));
            }
        }
        zones
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
        if !may_exist {
            self.remove_run(id);
            self.stop_gang(id, now);
        }
    }
}

impl EvacuatedZone {
    /// Counts a run, and lists it if there is room, or if it lasts and a bounded one can make room.
    fn add_run(&mut self, worker: &Text, task: &SubtaskId, lasting: bool) {
        self.runs += 1;
        let index = if lasting {
            self.lasting.min(self.left.len())
        } else {
            self.left.len()
        };
        self.lasting += usize::from(lasting);
        if index < MAX_LISTED {
            let run = LeftRun {
                task: task.to_string(),
                worker: worker.clone(),
                lasting,
            };
            self.left.insert(index, run);
            self.left.truncate(MAX_LISTED);
        }
    }
}
