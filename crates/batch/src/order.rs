//! Which subtasks may start, and in which order they are placed.

use base::{clock::Millis, sorted::SortedMap};

use crate::{
    book::{Book, Job},
    job::{Step, TaskId, Text},
    progress::{Occurrence, Progress},
};

/// A job earns nothing later than this multiple of its objective.
const WORTHLESS_AFTER: u64 = 3;

/// Subtasks of one step that may start now.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) rank: Rank,
    pub(crate) job: Text,
    pub(crate) step: usize,
    pub(crate) tasks: Vec<TaskId>,
    /// Whether all are placed or none.
    pub(crate) whole: bool,
    pub(crate) priority: u32,
    /// Whether the organisation claims its guarantee.
    pub(crate) guaranteed: bool,
    /// How long the unit has waited.
    pub(crate) waited: Millis,
}

/// Place of a unit in the queue; lower comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Claims of guarantees come before all others.
    unguaranteed: bool,
    /// Urgent work comes before all other work.
    deferrable: bool,
    outlook: Outlook,
    priority: u32,
    /// End of the completion objective.
    due: Millis,
}

impl Rank {
    /// Returns whether the job can end within its objective.
    pub(crate) fn is_in_time(self) -> bool {
        self.outlook == Outlook::InTime
    }
}

/// What a job can still earn.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Outlook {
    /// It can end within its objective.
    InTime,
    /// It ends late, for a part of its worth.
    Late,
    /// It ends too late to be of use.
    Worthless,
}

impl Book {
    /// Opens the occurrences that are due and returns the time of the next one.
    ///
    /// ```
    /// use base::{clock::Millis, sorted::SortedMap};
    /// assert!(batch::book::Book::default().open_due(Millis(1)).is_none());
    /// ```
    pub fn open_due(&mut self, wall: Millis) -> Option<Millis> {
        let mut next: Option<Millis> = None;
        for (_, job) in self.jobs.iter_mut() {
            if job.progress.phase.is_final() {
                continue;
            }
            while let Some(due) = job.next_due() {
                if due > wall {
                    next = Some(next.map_or(due, |n| n.min(due)));
                    break;
                }
                let occurrence = Progress::open(&job.rec);
                job.progress.occurrences.push(occurrence);
            }
        }
        next
    }

    /// Returns the units that may start, first come first.
    pub(crate) fn units(&self, claims: &[Text], wall: Millis) -> Vec<Unit> {
        let mut units = Vec::new();
        for job in self.jobs.values().filter(|j| !j.progress.phase.is_final()) {
            let org = job.rec.organisation.as_ref();
            let guaranteed = org.is_some_and(|o| claims.binary_search(o).is_ok());
            self.units_of(job, guaranteed, wall, &mut units);
        }
        units.sort_by_key(|u| u.rank);
        units
    }

    fn units_of(&self, job: &Job, guaranteed: bool, wall: Millis, units: &mut Vec<Unit>) {
        let queue = self.rules.queue(&job.rec.queue);
        let priority = queue.map_or(u32::MAX, |q| q.priority);
        let slack = queue.map_or(1.0, |q| q.slack);
        let target = queue.map_or(Millis::ZERO, |q| q.target);
        let objective = Millis((job.chain().0 as f64 * slack) as u64) + target;
        for (k, occurrence) in job.progress.occurrences.iter().enumerate() {
            let start = job.rec.spec.repeat.map_or(job.rec.at, |r| r.due(k as u32));
            let guaranteed = guaranteed && priority == 0;
            let end = wall + job.chain_left(occurrence);
            let rank = Rank {
                unguaranteed: !guaranteed,
                deferrable: priority > 0,
                outlook: match end.since(start) {
                    took if took <= objective => Outlook::InTime,
                    took if took.0 <= WORTHLESS_AFTER * objective.0 => Outlook::Late,
                    _ => Outlook::Worthless,
                },
                priority,
                due: start + objective,
            };
            for (s, step) in job.rec.spec.steps.iter().enumerate() {
                let tasks = job.startable(k, s, step);
                if tasks.is_empty() || !job.is_open(occurrence, s) {
                    continue;
                }
                units.push(Unit {
                    rank,
                    job: job.rec.id.clone(),
                    step: s,
                    tasks,
                    whole: step.gang,
                    priority,
                    guaranteed,
                    waited: wall.since(start),
                });
            }
        }
    }

    /// Returns the organisations whose open jobs of priority 0 fit into their guarantee, sorted.
    pub(crate) fn claims(&self) -> Vec<Text> {
        let mut used: SortedMap<Text, u64> = SortedMap::default();
        for job in self.jobs.values().filter(|j| !j.progress.phase.is_final()) {
            let queue = self.rules.queue(&job.rec.queue);
            if let Some(org) = &job.rec.organisation
                && queue.is_some_and(|q| q.priority == 0)
            {
                *used.get_or_default(org.clone()) += job.accelerators();
            }
        }
        let organisations = self.rules.organisations.iter();
        let within = organisations.filter(|o| {
            let used = used.get(&o.name).copied().unwrap_or(0);
            used <= o.guaranteed
        });
        let mut claims: Vec<Text> = within.map(|o| o.name.clone()).collect();
        claims.sort_unstable();
        claims
    }
}

impl Job {
    fn next_due(&self) -> Option<Millis> {
        let opened = self.progress.occurrences.len() as u32;
        match self.rec.spec.repeat {
            None => (opened == 0).then_some(Millis::ZERO),
            Some(repeat) => (opened < repeat.count).then(|| repeat.due(opened)),
        }
    }

    /// Returns the estimate of the longest chain of steps.
    fn chain(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        for step in &self.rec.spec.steps {
            let before = step.after.iter().map(|a| ends[*a]).max();
            ends.push(before.unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimate of the longest chain of steps that are not done.
    fn chain_left(&self, occurrence: &Occurrence) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        for (step, tasks) in self.rec.spec.steps.iter().zip(&occurrence.steps) {
            let before = step.after.iter().map(|a| ends[*a]).max();
            let is_done = tasks.iter().all(|t| t.done);
            let left = if is_done { Millis::ZERO } else { step.estimate };
            ends.push(before.unwrap_or_default() + left);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the accelerators of the widest step.
    fn accelerators(&self) -> u64 {
        let of = |s: &Step| s.need.accelerators * u64::from(s.count);
        self.rec.spec.steps.iter().map(of).max().unwrap_or(0)
    }

    /// Returns the subtasks of a step that may start: all members of a gang or none.
    fn startable(&self, k: usize, s: usize, step: &Step) -> Vec<TaskId> {
        let tasks = &self.progress.occurrences[k].steps[s];
        if step.gang && tasks.iter().any(|t| t.run.is_some() || t.done) {
            return Vec::new();
        }
        let free = tasks.iter().enumerate();
        let free = free.filter(|(_, t)| t.run.is_none() && !t.done);
        free.map(|(i, _)| self.task_id(k, s, i)).collect()
    }
}
