//! Selection of the subtasks that may start, and the order in which they are placed.

use std::cell::LazyCell;

use base::{clock::Millis, sorted::SortedMap};

use crate::{
    config::URGENT_PRIORITY,
    delay_cost::{SortKey, TOO_LATE_FACTOR},
    isolation::{Isolation, WaitState},
    job::{Step, SubtaskId, Text},
    open_job::Job,
    progress::{Occurrence, Progress, Subtask},
    scheduler::JobScheduler,
    speed_class::Preference,
};

/// Unit of placement: the subtasks of one step that may start now.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) rank: Rank,
    pub(crate) job: Text,
    pub(crate) step: usize,
    pub(crate) tasks: Vec<SubtaskId>,
    /// Whether the subtasks can only be placed together.
    pub(crate) all_or_nothing: bool,
    pub(crate) priority: u32,
    /// Whether the job is covered by its organisation's guarantee.
    pub(crate) guaranteed: bool,
    /// How long the unit has waited.
    pub(crate) waited: Millis,
    /// Time from the submission to the expected end if the unit starts now.
    pub(crate) took: Millis,
    /// Time since the last run of its first subtask; `None` if it is not endless, has never run or has
    /// not waited yet.
    pub(crate) idle: Option<Millis>,
    /// Completion objective, counted from the submission.
    pub(crate) objective: Millis,
    /// Time since runs were stopped for the unit; `None` if that is long ago.
    pub(crate) claimed: Option<Millis>,
    /// How far its subtasks have to be kept apart from other work.
    pub(crate) isolation: Isolation,
    /// Whether only other work on the workers keeps them from starting.
    pub(crate) isolation_wait: WaitState,
    /// Workers that it uses first.
    pub(crate) preference: Preference,
}

/// Sort key of a unit; lower ranks are placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Work covered by a guarantee comes before all other work.
    unguaranteed: bool,
    /// Urgent work comes before all other work.
    deferrable: bool,
    timeliness: Timeliness,
    /// Order by cost of delay while there is too little room.
    key: SortKey,
    priority: u32,
    /// End of the completion objective.
    due: Millis,
}

impl Rank {
    /// Returns whether the job can end within its objective.
    pub(crate) fn is_in_time(self) -> bool {
        self.timeliness == Timeliness::InTime
    }

    /// Sets the order among units of the same timeliness.
    pub(crate) const fn order_by(&mut self, key: SortKey) {
        self.key = key;
    }

    /// Returns the expected completion relative to the objective.
    pub(crate) const fn timeliness(self) -> Timeliness {
        self.timeliness
    }

    /// Puts the unit before all others of its class, whatever its priority and timeliness, in the order
    /// of `key`.
    pub(crate) const fn put_first(&mut self, key: SortKey) {
        self.timeliness = Timeliness::InTime;
        self.key = key;
        self.priority = 0;
    }
}

/// Expected completion of a job relative to its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Timeliness {
    /// The job can end within its objective.
    InTime,
    /// The job ends late but still has part of its value.
    Late,
    /// The job ends too late to be of value.
    TooLate,
}

impl JobScheduler {
    /// Adds the occurrences that are due and returns the time of the next one.
    ///
    /// ```
    /// use base::{clock::Millis, sorted::SortedMap};
    /// assert!(batch::scheduler::JobScheduler::default().open_due_occurrences(Millis(1)).is_none());
    /// ```
    pub fn open_due_occurrences(&mut self, wall_now: Millis) -> Option<Millis> {
        let mut next: Option<Millis> = None;
        for job in self.jobs.open_mut() {
            while let Some(due) = job.next_due() {
                if due > wall_now {
                    next = Some(next.map_or(due, |n| n.min(due)));
                    break;
                }
                let occurrence = Progress::new_occurrence(&job.accepted);
                job.progress.occurrences.push(occurrence);
            }
        }
        next
    }

    /// Records that a pass considers the open occurrences, whose wait is measured from then on.
    pub(crate) fn mark_considered(&mut self, now: Millis) {
        for job in self.jobs.open_mut() {
            for occurrence in &mut job.progress.occurrences {
                occurrence.considered_at.get_or_insert(now);
            }
        }
    }

    /// Returns the units that may start, in order of rank.
    pub(crate) fn units(
        &self,
        within_guarantee: &[Text],
        now: Millis,
        wall_now: Millis,
    ) -> Vec<Unit> {
        let mut units = Vec::new();
        for job in self.jobs.open() {
            let org = job.accepted.organisation.as_ref();
            let guaranteed = org.is_some_and(|o| within_guarantee.binary_search(o).is_ok());
            self.units_of(job, guaranteed, now, wall_now, &mut units);
        }
        units.sort_by_key(|u| u.rank);
        units
    }

    fn units_of(
        &self,
        job: &Job,
        guaranteed: bool,
        now: Millis,
        wall_now: Millis,
        units: &mut Vec<Unit>,
    ) {
        let queue = self.config.queue(&job.accepted.queue);
        let priority = queue.map_or(u32::MAX, |q| q.priority);
        let slack = queue.map_or(1.0, |q| q.slack_factor);
        let target = queue.map_or(Millis::ZERO, |q| q.target_latency);
        let guaranteed = guaranteed && priority == URGENT_PRIORITY;
        let run_times = LazyCell::new(|| self.expected_run_times(job));
        let rank_of = |occurrence, start| {
            // Callers measure the objective on the true run times, not on the submitted estimates.
            let critical_path = job.critical_path(&run_times);
            let objective = Millis((critical_path.0 as f64 * slack) as u64) + target;
            let end = wall_now + job.remaining_critical_path(occurrence, &run_times);
            let took = end.since(start);
            let rank = Rank {
                unguaranteed: !guaranteed,
                deferrable: priority > URGENT_PRIORITY,
                timeliness: match took {
                    took if took <= objective => Timeliness::InTime,
                    took if took.0 <= TOO_LATE_FACTOR * objective.0 => Timeliness::Late,
                    _ => Timeliness::TooLate,
                },
                key: SortKey::NONE,
                priority,
                due: start + objective,
            };
            (rank, took, objective)
        };
        for (k, occurrence) in job.progress.occurrences.iter().enumerate() {
            let start = job.occurrence_start(k as u32);
            let mut rank = None;
            for (s, step) in job.accepted.spec.steps.iter().enumerate() {
                if !job.dependencies_done(occurrence, s) {
                    continue;
                }
                let tasks = job.startable(k, s, step, now);
                if tasks.is_empty() {
                    continue;
                }
                let (rank, took, objective) =
                    *rank.get_or_insert_with(|| rank_of(occurrence, start));
                let mut rank = rank;
                if step.endless && tasks.iter().any(|id| job.has_run(id)) {
                    // It has to run again soon after its last run, however late its job is.
                    rank.put_first(SortKey::NONE);
                }
                for (isolation, isolation_wait, tasks) in job.by_isolation(tasks, step, now) {
                    units.push(Unit {
                        rank,
                        job: job.accepted.id.clone(),
                        step: s,
                        idle: job.idle(&tasks, step, now),
                        tasks,
                        all_or_nothing: step.gang,
                        priority,
                        guaranteed,
                        waited: occurrence.waited(start, now, wall_now),
                        took,
                        objective,
                        claimed: occurrence.claimed(now),
                        isolation,
                        isolation_wait,
                        preference: Preference::None,
                    });
                }
            }
        }
    }

    /// Returns the sorted names of the organisations whose open urgent jobs fit into their
    /// guarantee.
    pub(crate) fn organisations_within_guarantee(&self) -> Vec<Text> {
        let mut used: SortedMap<Text, u64> = SortedMap::default();
        for job in self.jobs.open() {
            let queue = self.config.queue(&job.accepted.queue);
            if let Some(org) = &job.accepted.organisation
                && queue.is_some_and(|q| q.priority == URGENT_PRIORITY)
            {
                *used.get_or_default(org.clone()) += job.accelerators();
            }
        }
        let organisations = self.config.organisations.iter();
        let within = organisations.filter(|o| {
            let used = used.get(&o.name).copied().unwrap_or(0);
            used <= o.guaranteed_accelerators
        });
        let mut within_guarantee: Vec<Text> = within.map(|o| o.name.clone()).collect();
        within_guarantee.sort_unstable();
        within_guarantee
    }
}

impl Job {
    /// Returns the wall-clock time at which occurrence `k` began.
    pub(crate) fn occurrence_start(&self, k: u32) -> Millis {
        let repeat = self.accepted.spec.repeat;
        repeat.map_or(self.accepted.at, |r| r.due(k))
    }

    fn next_due(&self) -> Option<Millis> {
        let opened = self.progress.occurrences.len() as u32;
        match self.accepted.spec.repeat {
            None => (opened == 0).then_some(Millis::ZERO),
            Some(repeat) => (opened < repeat.count).then(|| repeat.due(opened)),
        }
    }

    /// Returns the duration of the critical path through the steps with the given run times.
    pub(crate) fn critical_path(&self, run_times: &[Millis]) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        for (step, run_time) in self.accepted.spec.steps.iter().zip(run_times) {
            let before = step.after.iter().map(|a| ends[*a]).max();
            ends.push(before.unwrap_or_default() + *run_time);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the duration of the critical path through the steps that are not done, with the given
    /// run times.
    fn remaining_critical_path(&self, occurrence: &Occurrence, run_times: &[Millis]) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        let steps = self.accepted.spec.steps.iter().zip(run_times);
        for ((step, run_time), tasks) in steps.zip(&occurrence.steps) {
            let before = step.after.iter().map(|a| ends[*a]).max();
            let is_done = tasks.iter().all(|t| t.done);
            let remaining = if is_done { Millis::ZERO } else { *run_time };
            ends.push(before.unwrap_or_default() + remaining);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the largest number of accelerators that one step uses.
    fn accelerators(&self) -> u64 {
        let accelerators = |s: &Step| s.need.accelerators * u64::from(s.count);
        self.accepted
            .spec
            .steps
            .iter()
            .map(accelerators)
            .max()
            .unwrap_or(0)
    }

    /// Returns for how long the first of the subtasks, if they are endless, has not run.
    fn idle(&self, ids: &[SubtaskId], step: &Step, now: Millis) -> Option<Millis> {
        let since = |id: &SubtaskId| self.subtask(id)?.idle_since;
        let ids = ids.iter().filter(|_| step.endless);
        ids.filter_map(since).map(|t| now.since(t)).max()
    }

    fn has_run(&self, id: &SubtaskId) -> bool {
        self.subtask(id).is_some_and(|t| t.attempt > 0)
    }

    /// Splits the subtasks of a step by their isolation; a gang stays whole. Each part waits as long as
    /// the first of its subtasks.
    fn by_isolation(
        &self,
        tasks: Vec<SubtaskId>,
        step: &Step,
        now: Millis,
    ) -> impl Iterator<Item = (Isolation, WaitState, Vec<SubtaskId>)> {
        let isolation = |id: &SubtaskId| {
            let subtask = self.subtask(id);
            subtask.map_or(Isolation::None, |t| t.isolation(now))
        };
        let wait = |id: &SubtaskId| {
            let subtask = self.subtask(id);
            subtask.map_or(WaitState::None, |t| t.isolation_wait(now))
        };
        let mut parts: [(WaitState, Vec<SubtaskId>); 3] = Default::default();
        let strictest = tasks.iter().map(isolation).max().unwrap_or_default();
        for id in tasks {
            let part = if step.gang { strictest } else { isolation(&id) };
            let (longest, ids) = &mut parts[part as usize];
            *longest = wait(&id).max(*longest);
            ids.push(id);
        }
        let all = [Isolation::None, Isolation::Start, Isolation::Alone];
        all.into_iter()
            .zip(parts)
            .map(|(isolation, (wait, ids))| (isolation, wait, ids))
            .filter(|(.., ids)| !ids.is_empty())
    }

    /// Returns the subtasks of a step that have no run, are not done and do not rest. A gang is
    /// returned whole or not at all.
    fn startable(&self, k: usize, s: usize, step: &Step, now: Millis) -> Vec<SubtaskId> {
        let tasks = &self.progress.occurrences[k].steps[s];
        let is_startable = |t: &Subtask| t.run.is_none() && !t.done && !t.is_resting(now);
        if step.gang && !tasks.iter().all(is_startable) {
            return Vec::new();
        }
        let free = tasks.iter().enumerate().filter(|(_, t)| is_startable(t));
        free.map(|(i, _)| self.subtask_id(k, s, i)).collect()
    }
}
