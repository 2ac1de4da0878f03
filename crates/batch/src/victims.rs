//! Runs that may be preempted for urgent work, and the work that stopping them would lose.

use base::clock::Millis;

use crate::{
    candidates::Candidates,
    config::URGENT_PRIORITY,
    delay_cost,
    job::{Resources, SubtaskId},
    open_job::Job,
    placement::Pass,
    progress::{Run, RunState},
    ranking::Unit,
    scheduler::JobScheduler,
    shortage::MeanWork,
};

/// Added to the loss of urgent work, so that it is stopped only if nothing else frees enough
/// resources.
const URGENT_PENALTY: u64 = 1 << 40;
/// Time that work covered by a guarantee waits before it preempts urgent work of an organisation
/// that exceeds its guarantee. Such urgent work usually ends within seconds.
const PREEMPT_URGENT_AFTER: Millis = Millis(900);
/// Factor on the loss of work of priority 0 or 1. Such work is worth about twice as much for the
/// same resources and, once stopped, has to wait for several free workers again.
const HIGH_PRIORITY_FACTOR: u64 = 5;

/// A run that may be preempted or whose end may be awaited, or all runs of a gang.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    /// Subtasks that are stopped together.
    pub(crate) tasks: Vec<SubtaskId>,
    /// Resources that become free, by index of the candidate.
    pub(crate) frees: Vec<(usize, Resources)>,
    /// Lost work in core milliseconds.
    pub(crate) lost: u64,
    /// The same, weighted by priority and number of starts.
    pub(crate) loss: u64,
    /// Value of the lost work.
    pub(crate) value: f64,
    /// Number of starts so far.
    pub(crate) starts: u32,
    /// Time until it ends by itself, by the progress that workers have reported.
    pub(crate) projected: Option<Millis>,
    /// Time until it is expected to end by itself.
    pub(crate) remaining: Millis,
    /// Whether a unit has already selected the victim in this pass.
    pub(crate) selected: bool,
    priority: u32,
    /// Whether its organisation is within its guarantee.
    within_guarantee: bool,
}

impl Victim {
    /// Returns whether the victim may be stopped for the unit.
    pub(crate) fn is_preemptible_by(&self, unit: &Unit) -> bool {
        let may_claim = unit.guaranteed && unit.waited >= PREEMPT_URGENT_AFTER;
        let is_lower = self.priority > unit.priority;
        let may_displace = unit.may_displace(self.priority);
        !self.selected && (is_lower || may_displace || (may_claim && !self.within_guarantee))
    }

    /// Returns whether the victim is known to end by itself within the given time.
    pub(crate) fn ends_within(&self, limit: Option<Millis>) -> bool {
        let Some(limit) = limit else {
            return false;
        };
        !self.selected && self.projected.is_some_and(|t| t <= limit)
    }
}

/// All runs that may be preempted, indexed by candidate.
#[derive(Clone, Debug, Default)]
pub(crate) struct Victims {
    pub(crate) all: Vec<Victim>,
    /// Indices of the victims on each candidate, by ascending loss.
    pub(crate) by_candidate: Vec<Vec<usize>>,
}

impl JobScheduler {
    /// Returns the runs that may be preempted in a pass, and those whose end may be awaited.
    pub(crate) fn victims(&self, pass: &Pass, mean_work: &MeanWork) -> Victims {
        let mut victims = Victims {
            all: Vec::new(),
            by_candidate: vec![Vec::new(); pass.candidates.all.len()],
        };
        for job in self.jobs.active() {
            let queue = self.config.queue(&job.accepted.queue);
            let priority = queue.map_or(u32::MAX, |q| q.priority);
            let org = job.accepted.organisation.as_ref();
            let within = org.is_some_and(|o| pass.within_guarantee.binary_search(o).is_ok());
            let by_gain = self.overload_rules.stops_by_gain;
            if priority == URGENT_PRIORITY && within && !by_gain {
                continue;
            }
            let run_times = self.expected_run_times(job);
            for members in job.preemptible_units() {
                let mut victim = Victim {
                    tasks: members,
                    frees: Vec::new(),
                    lost: 0,
                    loss: 0,
                    value: 0.0,
                    starts: 0,
                    projected: None,
                    remaining: Millis::ZERO,
                    selected: false,
                    priority,
                    within_guarantee: within,
                };
                job.compute_loss(&mut victim, &pass.candidates, self.restore_time, pass.now);
                if by_gain {
                    let mean = mean_work.of(&job.accepted.queue);
                    job.compute_end(&mut victim, &run_times, pass.now);
                    victim.value = delay_cost::value_of_lost_work(
                        priority,
                        victim.lost as f64,
                        mean,
                        victim.starts,
                    );
                }
                victims.add(victim);
            }
        }
        for candidate in &mut victims.by_candidate {
            candidate.sort_by_key(|v| victims.all[*v].loss);
        }
        victims
    }
}

impl Victims {
    fn add(&mut self, victim: Victim) {
        let index = self.all.len();
        for (candidate, _) in &victim.frees {
            if self.by_candidate[*candidate].last() != Some(&index) {
                self.by_candidate[*candidate].push(index);
            }
        }
        self.all.push(victim);
    }
}

impl Job {
    /// Returns the runs that may be preempted, the members of a gang grouped together.
    fn preemptible_units(&self) -> Vec<Vec<SubtaskId>> {
        let mut units: Vec<Vec<SubtaskId>> = Vec::new();
        for (id, run) in self.runs() {
            let step = self.step(&id);
            if step.endless || run.state == RunState::Stopping {
                continue;
            }
            // Runs are ordered by step, so the members of a gang are adjacent.
            let same = |unit: &&mut Vec<SubtaskId>| {
                let first = &unit[0];
                step.gang && first.occurrence == id.occurrence && first.step == id.step
            };
            match units.last_mut().filter(same) {
                Some(unit) => unit.push(id),
                None => units.push(vec![id]),
            }
        }
        units
    }

    /// Computes the loss of a victim and the resources that it frees.
    fn compute_loss(
        &self,
        victim: &mut Victim,
        candidates: &Candidates,
        restore: Millis,
        now: Millis,
    ) {
        let factor = match victim.priority {
            0 | 1 => HIGH_PRIORITY_FACTOR,
            _ => 1,
        };
        for id in &victim.tasks {
            let Some(run) = self.subtask(id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let step = self.step(id);
            let mut lost = run.elapsed(step, now);
            // A stop writes a checkpoint, so that only the restore has to be made up for.
            if step.checkpoints {
                lost = lost.min(restore);
            }
            let lost = step.need.weight() * lost.0 / 1_000;
            victim.lost += lost;
            victim.loss += lost * factor;
            if victim.priority == URGENT_PRIORITY {
                victim.loss += URGENT_PENALTY;
            }
            if let Some(candidate) = candidates.index_of(&run.worker) {
                victim.frees.push((candidate, step.reserved()));
            }
        }
        victim.frees.sort_by_key(|(candidate, _)| *candidate);
    }

    /// Computes when a victim ends by itself, and adds to its loss for its earlier starts. The members
    /// of a gang end together, at the pace of the slowest.
    fn compute_end(&self, victim: &mut Victim, run_times: &[Millis], now: Millis) {
        let mut projected = Some(Millis::ZERO);
        for id in &victim.tasks {
            let Some((task, run)) = self.subtask(id).and_then(|t| Some((t, t.run.as_ref()?)))
            else {
                continue;
            };
            victim.starts = victim.starts.max(task.attempt);
            let projection = run.projected_remaining(now);
            projected = projected.zip(projection).map(|(a, b)| a.max(b));
            let step = self.step(id);
            let elapsed = run.elapsed(step, now);
            let expected = match run_times[id.step].since(elapsed) {
                // A run that takes longer than expected may take as long again.
                Millis::ZERO => elapsed,
                rest => rest,
            };
            victim.remaining = victim.remaining.max(projection.unwrap_or(expected));
        }
        victim.projected = projected;
        victim.loss = delay_cost::loss_of_stop(victim.loss, victim.starts);
    }
}

impl Run {
    /// Returns the remaining time by the last report; `None` if that tells nothing.
    fn projected_remaining(&self, now: Millis) -> Option<Millis> {
        // The time of the start is unknown if an earlier leader placed the run.
        let placed_at = self.placed_at?;
        let started_at = self.taken_at.unwrap_or(placed_at);
        let elapsed = self.percent_at.since(started_at);
        let age = now.since(self.percent_at);
        delay_cost::projected_remaining(elapsed, self.percent, age)
    }
}
