//! Preemption: selects the runs to stop for urgent work so that the least work is lost.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{
    candidates::{Candidates, FreeAt},
    job::{Resources, Step, Text},
    placement::Pass,
    ranking::Unit,
    scheduler::JobScheduler,
    search::Search,
    victims::{Victim, Victims},
};

impl JobScheduler {
    /// Holds the resources that become free for the unit, and stops other runs if those are not
    /// enough. Without `may_stop`, the resources are held but nothing is stopped yet. Returns for how
    /// many of its subtasks there will be room.
    pub(crate) fn preempt_for(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        pass: &mut Pass,
        may_stop: bool,
    ) -> usize {
        let search = self.search(unit, step, service, pass.now);
        let mut found = search.find(&mut pass.candidates, FreeAt::AfterStops);
        let mut stops = Vec::new();
        if found.len() < unit.tasks.len() {
            let mut victims = match pass.victims.take() {
                Some(victims) => victims,
                None => self.victims(pass),
            };
            let plan = search.plan_preemption(&pass.candidates, &victims);
            for index in plan.iter().flat_map(|p| &p.stops) {
                let victim = &mut victims.all[*index];
                victim.selected = true;
                stops.push(victim.clone());
            }
            pass.victims = Some(victims);
            let Some(plan) = plan else {
                return 0;
            };
            found = plan.candidates;
            pass.candidates.invalidate_after_stops();
        }
        // Resources that the unit is going to use are held even while it waits, so that nothing is
        // started there that would have to be stopped again.
        for victim in stops {
            for (candidate, need) in victim.frees {
                pass.candidates.all[candidate].free_after_stop(need);
            }
            if may_stop {
                let tasks = victim.tasks.len();
                log::info!(task:% = victim.tasks[0], tasks, loss = victim.loss, for_job:% = unit.job; "batch: preempted");
                for id in &victim.tasks {
                    self.stop(id, pass.now);
                }
            }
        }
        for candidate in &found {
            pass.candidates.all[*candidate].take(step.reserved());
        }
        found.len()
    }
}

/// Placement of a unit, with the runs to stop for it.
#[derive(Debug, Default)]
struct Plan {
    /// Index of the candidate for each subtask.
    candidates: Vec<usize>,
    /// Indices of the victims to stop.
    stops: Vec<usize>,
    loss: u64,
}

/// Victims on one worker that have to be stopped together for more subtasks to fit there.
#[derive(Debug)]
struct VictimGroup {
    candidate: usize,
    /// Number of additional subtasks that fit.
    extra_tasks: u64,
    /// Indices of the victims to stop.
    stops: Vec<usize>,
    loss: u64,
}

impl Search<'_> {
    /// Returns the plan that places most subtasks and, among those, loses least work. Returns
    /// `None` if no plan frees enough resources.
    fn plan_preemption(&self, candidates: &Candidates, victims: &Victims) -> Option<Plan> {
        let sets = self.candidate_sets(candidates);
        let plans = sets
            .iter()
            .filter_map(|set| self.plan(candidates, victims, set));
        let missing = |p: &Plan| self.unit.tasks.len() - p.candidates.len();
        plans.min_by_key(|p| (missing(p), p.loss))
    }

    /// Adds the cheapest victim groups of one set of candidates until the unit fits, then removes
    /// the stops that are not needed.
    fn plan(&self, candidates: &Candidates, victims: &Victims, set: &[usize]) -> Option<Plan> {
        let wanted = self.unit.tasks.len() as u64;
        let mut fits: Vec<(usize, u64)> = Vec::new();
        let mut total = 0;
        for candidate in set {
            let count = self
                .fitting_count(candidates, *candidate, Resources::default())
                .min(wanted);
            if count > 0 {
                fits.push((*candidate, count));
            }
            total += count;
        }
        let mut plan = Plan::default();
        let mut groups: Vec<VictimGroup> = Vec::new();
        if total < wanted {
            for candidate in set {
                self.add_victim_groups(candidates, victims, *candidate, &mut groups);
            }
        }
        // Groups of one candidate build on each other, so each is considered only after the
        // previous one is chosen.
        let cost = |i: usize| Reverse((groups[i].loss / groups[i].extra_tasks, i));
        let is_first = |i: &usize| *i == 0 || groups[*i - 1].candidate != groups[*i].candidate;
        let firsts = (0..groups.len()).filter(is_first);
        let mut heap: BinaryHeap<_> = firsts.map(cost).collect();
        while total < wanted {
            let Some(Reverse((_, i))) = heap.pop() else {
                break;
            };
            let group = &groups[i];
            total += group.extra_tasks;
            match fits.binary_search_by_key(&group.candidate, |(candidate, _)| *candidate) {
                Ok(at) => fits[at].1 += group.extra_tasks,
                Err(at) => fits.insert(at, (group.candidate, group.extra_tasks)),
            }
            let new = group.stops.iter().filter(|v| !plan.stops.contains(v));
            let new: Vec<usize> = new.copied().collect();
            plan.stops.extend(new);
            if groups
                .get(i + 1)
                .is_some_and(|o| o.candidate == group.candidate)
            {
                heap.push(cost(i + 1));
            }
        }
        if total == 0 || (self.unit.all_or_nothing && total < wanted) {
            return None;
        }
        // Candidates that need the fewest resources freed are used first.
        fits.sort_by_key(|(candidate, _)| plan.frees(victims, *candidate).weight());
        for (candidate, count) in fits {
            let rest = wanted - plan.candidates.len() as u64;
            let used = count.min(rest) as usize;
            plan.candidates.extend(std::iter::repeat_n(candidate, used));
        }
        self.drop_unneeded_stops(candidates, victims, &mut plan);
        Some(plan)
    }

    /// Returns how many subtasks of the unit fit on a candidate once the ordered stops have taken
    /// effect and `freed` is free as well.
    fn fitting_count(&self, candidates: &Candidates, candidate: usize, freed: Resources) -> u64 {
        let candidate = &candidates.all[candidate];
        let mut free = candidate.free_after_stops;
        free.add(freed.saturating_sub(candidate.excess), 1);
        let need = self.step.reserved();
        if !need.fits_in(free) {
            return 0;
        }
        let count = need.count_in(free);
        count.min(self.remaining_limit(candidate))
    }

    /// Adds the victim groups of one candidate, starting with the victims of smallest loss.
    fn add_victim_groups(
        &self,
        candidates: &Candidates,
        victims: &Victims,
        candidate: usize,
        groups: &mut Vec<VictimGroup>,
    ) {
        let wanted = self.unit.tasks.len() as u64;
        let mut freed = Resources::default();
        let mut fits = self.fitting_count(candidates, candidate, freed);
        let (mut stops, mut loss) = (Vec::new(), 0);
        for index in &victims.by_candidate[candidate] {
            if fits >= wanted {
                return;
            }
            let victim = &victims.all[*index];
            if !victim.is_preemptible_by(self.unit) {
                continue;
            }
            freed.add(victim.frees_in(candidate), 1);
            stops.push(*index);
            loss += victim.loss;
            let now = self.fitting_count(candidates, candidate, freed);
            if now > fits {
                groups.push(VictimGroup {
                    candidate,
                    extra_tasks: now - fits,
                    stops: std::mem::take(&mut stops),
                    loss: std::mem::take(&mut loss),
                });
                fits = now;
            }
        }
    }

    /// Removes the stops that the plan does not need, trying the victims of greatest loss first
    /// because dropping those saves the most work.
    fn drop_unneeded_stops(&self, candidates: &Candidates, victims: &Victims, plan: &mut Plan) {
        let loss = |v: &usize| victims.all[*v].loss;
        plan.stops.sort_by_key(loss);
        for i in (0..plan.stops.len()).rev() {
            let victim = &victims.all[plan.stops[i]];
            let is_needed = victim.frees.iter().any(|(candidate, _)| {
                let used = plan.candidates.iter().filter(|r| *r == candidate).count() as u64;
                let freed = plan
                    .frees(victims, *candidate)
                    .saturating_sub(victim.frees_in(*candidate));
                used > 0 && self.fitting_count(candidates, *candidate, freed) < used
            });
            if !is_needed {
                plan.stops.remove(i);
            }
        }
        plan.loss = plan.stops.iter().map(loss).sum();
    }
}

impl Plan {
    /// Returns the resources that the plan's stops free on a candidate.
    fn frees(&self, victims: &Victims, candidate: usize) -> Resources {
        let mut freed = Resources::default();
        for index in &self.stops {
            freed.add(victims.all[*index].frees_in(candidate), 1);
        }
        freed
    }
}

impl Victim {
    /// Returns the resources that stopping the victim frees on a candidate.
    fn frees_in(&self, candidate: usize) -> Resources {
        let mut freed = Resources::default();
        let first = self.frees.partition_point(|(r, _)| *r < candidate);
        for (_, need) in self.frees[first..]
            .iter()
            .take_while(|(r, _)| *r == candidate)
        {
            freed.add(*need, 1);
        }
        freed
    }
}
