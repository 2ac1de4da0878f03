//! Preemption: selects the runs to stop for urgent work so that the least work is lost.

use std::{cmp::Reverse, collections::BinaryHeap};

use base::clock::Millis;

use crate::{
    candidates::{Candidates, FreeAt},
    delay_cost::{self, Delay},
    job::{Resources, Step, Text},
    placement::Pass,
    ranking::Unit,
    restart,
    scheduler::JobScheduler,
    search::Search,
    victims::{Victim, Victims},
};

/// Time after stops for a unit without a guarantee in which no more are ordered for it. The reports of the
/// stopped runs arrive in that time.
const STOP_INTERVAL: Millis = Millis(1_300);

/// Result of an attempt to make room for a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Claim {
    /// There will be room for this number of its subtasks.
    Room(usize),
    /// Stops would make room, but the unit gains less than they lose.
    NoGain,
}

impl Claim {
    /// Returns for how many subtasks there will be room.
    pub(crate) const fn covered(self) -> usize {
        match self {
            Self::Room(count) => count,
            Self::NoGain => 0,
        }
    }
}

impl JobScheduler {
    /// Holds the resources that become free for the unit, and stops other runs if those are not
    /// enough and the unit gains more than that loses. Without `may_stop`, the resources are held but
    /// nothing is stopped yet.
    pub(crate) fn preempt_for(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        pass: &mut Pass,
        may_stop: bool,
    ) -> Claim {
        let search = self.search(unit, step, service, pass.now);
        let mut found = search.find(&mut pass.candidates, FreeAt::AfterStops);
        let mut stops = Vec::new();
        if found.len() < unit.tasks.len() {
            let mean_work = pass.mean_work.take().unwrap_or_else(|| self.mean_work());
            let job = self.jobs.get(&unit.job);
            let delay = job.map(|j| self.delay_of(unit, j, &mean_work));
            let mut victims = match pass.victims.take() {
                Some(victims) => victims,
                None => self.victims(pass, &mean_work),
            };
            let max_wait = self.max_wait_for_ends(unit, delay.as_ref());
            let plan = search.plan_preemption(&pass.candidates, &victims, max_wait);
            let pays = plan
                .as_ref()
                .is_none_or(|p| self.pays(p, unit, delay.as_ref(), &victims));
            let plan = plan.filter(|_| pays);
            for index in plan.iter().flat_map(|p| &p.stops) {
                let victim = &mut victims.all[*index];
                let awaited = victim.ends_within(max_wait);
                victim.selected = true;
                stops.push((victim.clone(), awaited));
            }
            pass.victims = Some(victims);
            pass.mean_work = Some(mean_work);
            let Some(plan) = plan else {
                return if pays { Claim::Room(0) } else { Claim::NoGain };
            };
            found = plan.candidates;
            pass.candidates.invalidate_after_stops();
        }
        // Resources that the unit is going to use are held even while it waits, so that nothing is
        // started there that would have to be stopped again.
        for (victim, awaited) in stops {
            for (candidate, need) in &victim.frees {
                pass.candidates.all[*candidate].free_after_stop(*need);
            }
            if may_stop && !awaited {
                self.stop_victim(&victim, unit, pass.now);
            }
        }
        for candidate in &found {
            pass.candidates.all[*candidate].take(step.reserved());
        }
        Claim::Room(found.len())
    }

    /// Returns for how long the unit may wait for the ends of other runs instead of stopping them;
    /// `None` if it waits for none.
    fn max_wait_for_ends(&self, unit: &Unit, delay: Option<&Delay>) -> Option<Millis> {
        if unit.has_to_restart() {
            return Some(restart::MAX_WAIT_FOR_ENDS);
        }
        let delay = delay.filter(|_| self.overload_rules.stops_by_gain)?;
        let wait = delay_cost::max_wait_for_ends(delay, unit.guaranteed, self.stop_time());
        Some(wait)
    }

    /// Returns whether the unit gains more than the stops lose. Guaranteed work is entitled to its room
    /// whatever it costs.
    fn pays(&self, plan: &Plan, unit: &Unit, delay: Option<&Delay>, victims: &Victims) -> bool {
        if unit.guaranteed
            || unit.has_to_restart()
            || plan.loss == 0
            || !self.overload_rules.stops_by_gain
        {
            return true;
        }
        let Some(delay) = delay else {
            return true;
        };
        if unit.claimed.is_some_and(|age| age < STOP_INTERVAL) {
            return false;
        }
        let victims = || plan.stops.iter().map(|v| &victims.all[*v]);
        let max_wait = self.max_wait_for_ends(unit, Some(delay));
        let stopped = victims().filter(|v| !v.ends_within(max_wait));
        let loss = stopped.map(|v| v.value).sum();
        let wait = victims().map(|v| v.remaining).max().unwrap_or_default();
        delay_cost::is_gain(delay, loss, Millis(self.stop_time().0 / 2), wait)
    }
}

/// Placement of a unit, with the runs to stop for it.
#[derive(Debug, Default)]
struct Plan {
    /// Index of the candidate for each subtask.
    candidates: Vec<usize>,
    /// Indices of the victims to stop or to wait for.
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
    fn plan_preemption(
        &self,
        candidates: &Candidates,
        victims: &Victims,
        max_wait: Option<Millis>,
    ) -> Option<Plan> {
        let sets = self.candidate_sets(candidates);
        let plans = sets
            .iter()
            .filter_map(|set| self.plan(candidates, victims, set, max_wait));
        let missing = |p: &Plan| self.unit.tasks.len() - p.candidates.len();
        plans.min_by_key(|p| (missing(p), p.loss))
    }

    /// Adds the cheapest victim groups of one set of candidates until the unit fits, then removes
    /// the stops that are not needed.
    fn plan(
        &self,
        candidates: &Candidates,
        victims: &Victims,
        set: &[usize],
        max_wait: Option<Millis>,
    ) -> Option<Plan> {
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
                self.add_victim_groups(candidates, victims, *candidate, max_wait, &mut groups);
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
        self.drop_unneeded_stops(candidates, victims, max_wait, &mut plan);
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

    /// Adds the victim groups of one candidate, starting with the runs whose end the unit can wait for
    /// and then the victims of smallest loss.
    fn add_victim_groups(
        &self,
        candidates: &Candidates,
        victims: &Victims,
        candidate: usize,
        max_wait: Option<Millis>,
        groups: &mut Vec<VictimGroup>,
    ) {
        let wanted = self.unit.tasks.len() as u64;
        let mut freed = Resources::default();
        let mut fits = self.fitting_count(candidates, candidate, freed);
        let (mut stops, mut loss) = (Vec::new(), 0);
        let here = &victims.by_candidate[candidate];
        let (ending, others): (Vec<usize>, Vec<usize>) = here
            .iter()
            .partition(|v| victims.all[**v].ends_within(max_wait));
        for index in ending.iter().chain(&others) {
            if fits >= wanted {
                return;
            }
            let victim = &victims.all[*index];
            if !victim.ends_within(max_wait) && !victim.is_preemptible_by(self.unit) {
                continue;
            }
            freed.add(victim.frees_in(candidate), 1);
            stops.push(*index);
            loss += victim.loss_beyond(max_wait);
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
    fn drop_unneeded_stops(
        &self,
        candidates: &Candidates,
        victims: &Victims,
        max_wait: Option<Millis>,
        plan: &mut Plan,
    ) {
        let loss = |v: &usize| victims.all[*v].loss_beyond(max_wait);
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
    /// Returns the work that is lost for a unit that can wait for `max_wait` until runs end.
    fn loss_beyond(&self, max_wait: Option<Millis>) -> u64 {
        if self.ends_within(max_wait) {
            return 0;
        }
        self.loss
    }

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
