//! Search for workers on which a unit can be placed. A unit is the subtasks of one step that may
//! start now, see [`Unit`].

use base::clock::Millis;

use crate::{
    candidates::{Candidate, Candidates, FreeAt, SearchRequest},
    config::URGENT_PRIORITY,
    isolation::{Isolation, IsolationState, WaitState},
    job::{Step, SubtaskId, Text},
    policy::{StepId, StepTickets},
    ranking::Unit,
    scheduler::JobScheduler,
    speed_class::{Preference, SpeedSet},
    worker_state::Worker,
};

/// Time that urgent work waits for its data rack, or for one rack that holds its whole gang. It
/// has to start within 2.9 s at the strictest and may have to preempt other work in that time.
const URGENT_LOCALITY_WAIT: Millis = Millis(1_500);
/// Time that other work waits for such a rack, in percent of its estimated run time. On other
/// workers the run takes several times the estimate, so waiting this long is worthwhile.
const LOCALITY_WAIT_PERCENT: u64 = 150;
/// Maximum time that work waits for such a rack while its service has ample room.
const MAX_WAIT_BESIDE_ROOM: Millis = Millis(2_000);

/// Search for workers for one unit.
#[derive(Clone, Copy)]
pub(crate) struct Search<'a> {
    pub(crate) scheduler: &'a JobScheduler,
    pub(crate) unit: &'a Unit,
    pub(crate) step: &'a Step,
    pub(crate) service: &'a Text,
    pub(crate) now: Millis,
    /// Check for tickets, if the queue requires them.
    pub(crate) tickets: Option<TicketCheck<'a>>,
    /// Whether workers that are held off may be used.
    pub(crate) uses_held_off: bool,
    /// Whether workers may be used whatever else runs there.
    pub(crate) ignores_isolation: bool,
}

/// Known tickets of a step, and the time at which they have to be valid.
#[derive(Clone, Copy)]
pub(crate) struct TicketCheck<'a> {
    /// `None` before the first request to the policy service.
    pub(crate) known: Option<&'a StepTickets>,
    pub(crate) now: Millis,
    /// Whether the policy service is taken to allow all workers that it has not denied.
    pub(crate) assumes_tickets: bool,
}

impl JobScheduler {
    /// Returns a search for workers for a unit.
    pub(crate) fn search<'a>(
        &'a self,
        unit: &'a Unit,
        step: &'a Step,
        service: &'a Text,
        now: Millis,
    ) -> Search<'a> {
        let tickets = self.needs_tickets(&unit.job).then(|| TicketCheck {
            known: self.step_tickets.get(&StepId::from(&unit.tasks[0])),
            now,
            assumes_tickets: false,
        });
        Search {
            scheduler: self,
            unit,
            step,
            service,
            now,
            tickets,
            uses_held_off: false,
            ignores_isolation: false,
        }
    }
}

impl Search<'_> {
    /// Returns the index of a candidate for each subtask that fits. For an all-or-nothing unit, the
    /// result covers all subtasks or is empty.
    pub(crate) fn find(&self, candidates: &mut Candidates, when: FreeAt) -> Vec<usize> {
        let found = self.find_sound(candidates, when);
        if found.len() == self.unit.tasks.len() || !self.may_use_held_off(candidates) {
            return found;
        }
        let search = Self {
            uses_held_off: true,
            ..*self
        };
        let all = search.usable(candidates);
        let can_spread = search.may_spread(candidates) || search.must_spread(candidates, &all);
        search.find_in_sets(candidates, &all, can_spread, when).0
    }

    /// Returns whether the unit has waited long enough, beside room for it, to use workers that are
    /// held off.
    pub(crate) fn may_use_held_off(&self, candidates: &Candidates) -> bool {
        let service = candidates.service(self.service);
        candidates.has_held_off
            && self.unit.waited >= MAX_WAIT_BESIDE_ROOM
            && service.is_some_and(|s| candidates.is_half_idle(s))
    }

    /// Searches the workers that are not held off.
    fn find_sound(&self, candidates: &mut Candidates, when: FreeAt) -> Vec<usize> {
        let sets = self.sets();
        let has_failed = |set: &SpeedSet| candidates.has_failed(&self.request(when, false, *set));
        // A worker may admit a unit that is isolated although it admits no others.
        let is_ordinary = self.unit.isolation == Isolation::None
            && self.unit.isolation_wait != WaitState::Over
            && !self.ignores_isolation;
        if is_ordinary && sets.iter().all(has_failed) {
            return Vec::new();
        }
        let all = self.usable(candidates);
        let can_spread = self.may_spread(candidates) || self.must_spread(candidates, &all);
        let (found, failed) = self.find_in_sets(candidates, &all, can_spread, when);
        // A failed search is recorded only if the step has no restrictions, because otherwise the
        // search for another step may still succeed.
        let is_unrestricted = self.step.label.is_none()
            && self.step.data_rack.is_none()
            && self.step.max_per_worker == 0
            && !self.step.endless
            && !self.step.fills
            && is_ordinary
            && self.step.target.is_none()
            && self.tickets.is_none();
        for req in failed.into_iter().filter(|_| is_unrestricted) {
            candidates.record_failure(req);
        }
        found
    }

    pub(crate) fn request(&self, when: FreeAt, one_rack: bool, speeds: SpeedSet) -> SearchRequest {
        SearchRequest {
            when,
            service: self.service.clone(),
            need: self.step.reserved(),
            count: if self.unit.all_or_nothing {
                self.unit.tasks.len()
            } else {
                1
            },
            one_rack,
            urgent: self.has_precedence(),
            speeds,
        }
    }

    pub(crate) fn needs_one_rack(&self) -> bool {
        self.step.gang && self.step.same_rack
    }

    /// Returns the candidates that the unit may use, whether or not they have enough free
    /// resources.
    pub(crate) fn usable(&self, candidates: &Candidates) -> Vec<usize> {
        let Some(service) = candidates.service(self.service) else {
            return Vec::new();
        };
        let mut usable = Vec::with_capacity(candidates.all.len());
        for (i, candidate) in candidates.all.iter().enumerate() {
            let is_usable = self.is_admitted(candidate) && self.is_suitable(candidate, service);
            if is_usable {
                usable.push(i);
            }
        }
        usable
    }

    /// Returns sets of usable candidates; the whole unit has to be placed within one of them.
    pub(crate) fn candidate_sets(&self, candidates: &Candidates) -> Vec<Vec<usize>> {
        let all = self.usable(candidates);
        if self.may_spread(candidates) || self.must_spread(candidates, &all) {
            return vec![self.allowed(candidates, &all).into_owned()];
        }
        let allowed = self.allowed(candidates, &all);
        self.preferred_sets(candidates, &allowed)
    }

    fn worker(&self, candidate: &Candidate) -> Option<&Worker> {
        let workers = &self.scheduler.workers;
        let (_, worker) = workers
            .nth(candidate.position)
            .filter(|(id, _)| **id == candidate.worker)?;
        Some(worker)
    }

    /// Returns the preferred subsets of `all`: the data rack, each single rack for a gang that
    /// needs one rack, otherwise all candidates.
    fn preferred_sets(&self, candidates: &Candidates, all: &[usize]) -> Vec<Vec<usize>> {
        match &self.step.data_rack {
            Some(rack) => {
                let usable = |i: &usize| all.binary_search(i).is_ok();
                let rack = candidates.rack(rack).iter().copied();
                vec![rack.filter(usable).collect()]
            }
            None if self.needs_one_rack() => {
                let mut sets = vec![Vec::new(); candidates.by_rack().len()];
                for i in all {
                    sets[candidates.all[*i].rack].push(*i);
                }
                sets
            }
            None => vec![all.to_vec()],
        }
    }

    /// Returns whether what else runs on a candidate admits a run of the unit.
    pub(crate) fn is_admitted(&self, candidate: &Candidate) -> bool {
        let (isolation, wait) = (self.unit.isolation, self.unit.isolation_wait);
        let admits = |state: IsolationState| state.admits(isolation, self.has_precedence(), wait);
        self.ignores_isolation || admits(candidate.isolation)
    }

    /// Returns the workers that would be used if it didn't matter what else runs there, if that is all
    /// that keeps the unit from them; otherwise none.
    pub(crate) fn kept_from(&self, candidates: &mut Candidates) -> Vec<usize> {
        let service = candidates.service(self.service);
        let service = service.filter(|_| candidates.may_exclude(self.unit.isolation));
        let Some(service) = service else {
            return Vec::new();
        };
        let need = self.step.reserved();
        let is_kept_from = |c: &Candidate| {
            !self.is_admitted(c) && need.fits_in(c.free) && self.is_suitable(c, service)
        };
        if !candidates.all.iter().any(is_kept_from) {
            return Vec::new();
        }
        let search = Self {
            ignores_isolation: true,
            ..*self
        };
        search.find(candidates, FreeAt::Now)
    }

    fn has_precedence(&self) -> bool {
        self.unit.priority == URGENT_PRIORITY || self.step.endless
    }

    /// Returns whether the unit, which needs the service with the given index, may run on a candidate,
    /// whatever else has just started there.
    fn is_suitable(&self, candidate: &Candidate, service: usize) -> bool {
        if (candidate.is_held_off && !self.uses_held_off)
            || self.is_reserved(candidate)
            || self.interferes_with(candidate)
            || (self.step.endless && self.has_just_failed(candidate))
        {
            return false;
        }
        let has_label = |label: &Text| {
            let worker = self.worker(candidate);
            worker.is_some_and(|w| w.has_label(label))
        };
        candidate.service == service
            && self.tickets.is_none_or(|t| self.has_ticket(t, candidate))
            && self.step.label.as_ref().is_none_or(has_label)
    }

    /// Returns whether a candidate is kept free for other work. Endless work is not kept from it,
    /// because it has to run again soon after its last run.
    pub(crate) fn is_reserved(&self, candidate: &Candidate) -> bool {
        candidate.reserved_for_urgent && self.unit.priority != URGENT_PRIORITY && !self.step.endless
    }

    /// Returns whether a run of the step, which is endless, has just failed on the candidate.
    pub(crate) fn has_just_failed(&self, candidate: &Candidate) -> bool {
        let (job, step) = (&self.unit.job, self.unit.step);
        let worker = self.worker(candidate);
        worker.is_some_and(|w| w.has_failed_endless(job, step, self.now))
    }

    pub(crate) fn has_ticket(&self, tickets: TicketCheck, candidate: &Candidate) -> bool {
        if tickets.assumes_tickets {
            return tickets
                .known
                .is_none_or(|t| !t.is_denied(&candidate.worker));
        }
        let incarnation = self.worker(candidate).map(|w| w.incarnation);
        let (Some(known), Some(incarnation)) = (tickets.known, incarnation) else {
            return false;
        };
        known
            .ticket(&candidate.worker, incarnation, tickets.now)
            .is_some()
    }

    /// Returns whether placing the unit here would combine work that uses leftover processor time
    /// with work that has a response time target. The former slows down the latter by amounts that
    /// vary within seconds.
    pub(crate) fn interferes_with(&self, candidate: &Candidate) -> bool {
        match (self.step.fills, self.step.target.is_some()) {
            (true, _) => candidate.has_latency_target,
            (false, true) => candidate.has_filler,
            (false, false) => false,
        }
    }

    /// Returns whether the unit has waited long enough to run outside its data rack or on several
    /// racks.
    fn may_spread(&self, candidates: &Candidates) -> bool {
        self.unit.waited >= self.locality_wait(candidates)
    }

    /// Returns how long the unit waits for its data rack, or for one rack if it needs one.
    pub(crate) fn locality_wait(&self, candidates: &Candidates) -> Millis {
        let usual = match self.unit.priority {
            URGENT_PRIORITY => URGENT_LOCALITY_WAIT,
            _ => Millis(self.step.estimate.0 * LOCALITY_WAIT_PERCENT / 100),
        };
        if self.has_ample_room(candidates) {
            usual.min(MAX_WAIT_BESIDE_ROOM)
        } else {
            usual
        }
    }

    /// Returns whether more than half of the unit's service is free.
    pub(crate) fn has_ample_room(&self, candidates: &Candidates) -> bool {
        let service = candidates.service(self.service);
        service.is_some_and(|s| candidates.has_ample_room(s))
    }

    /// Returns whether the data rack can't hold the unit, or no single rack can hold a gang that needs
    /// one, so that waiting for it is pointless.
    fn must_spread(&self, candidates: &Candidates, all: &[usize]) -> bool {
        if let Some(rack) = &self.step.data_rack {
            return !self.can_hold(rack, candidates);
        }
        if !self.needs_one_rack() {
            return false;
        }
        let need = self.step.reserved();
        let limit = self.step_limit();
        let mut racks = vec![0_u64; candidates.by_rack().len()];
        for candidate in all.iter().map(|i| &candidates.all[*i]) {
            let count = need.count_in(candidate.capacity).min(limit);
            racks[candidate.rack] = racks[candidate.rack].saturating_add(count);
        }
        let wanted = self.unit.tasks.len() as u64;
        racks.iter().all(|count| *count < wanted)
    }

    /// Returns whether the workers of a rack could hold the unit if they were idle.
    pub(crate) fn can_hold(&self, rack: &Text, candidates: &Candidates) -> bool {
        let (need, limit) = (self.step.reserved(), self.step_limit());
        let wanted = if self.unit.all_or_nothing {
            self.unit.tasks.len() as u64
        } else {
            1
        };
        let count = |capacity| need.count_in(capacity).min(limit).min(wanted);
        let taking_work = candidates.rack(rack).iter().map(|i| &candidates.all[*i]);
        let service = candidates.service(self.service);
        let of_service = taking_work.filter(|c| service == Some(c.service));
        if of_service.map(|c| count(c.capacity)).sum::<u64>() >= wanted {
            return true;
        }
        // Workers that don't take work now may do so soon, unless they are about to leave or evacuated.
        let infos = self.scheduler.workers.values().filter_map(|w| {
            let is_of_rack = w.rack() == Some(rack) && !self.scheduler.is_evacuated(w);
            let info = w.info.as_ref().filter(|_| is_of_rack)?;
            (info.service == *self.service && !info.draining).then_some(info)
        });
        infos.map(|i| count(i.capacity)).sum::<u64>() >= wanted
    }

    fn step_limit(&self) -> u64 {
        match self.step.max_per_worker {
            0 => u64::MAX,
            limit => limit,
        }
    }

    /// Searches the preferred sets of candidates.
    pub(crate) fn find_preferred(
        &self,
        candidates: &Candidates,
        all: &[usize],
        when: FreeAt,
    ) -> Vec<usize> {
        let sets = self.preferred_sets(candidates, all);
        if let [set] = &sets[..] {
            return self.pack(candidates, set, when);
        }
        let fitting = sets.iter().filter_map(|set| {
            let found = self.pack(candidates, set, when);
            let free = set
                .iter()
                .map(|i| candidates.all[*i].free_at(when).accelerators);
            let free: u64 = free.sum();
            // A gang goes at the pace of its slowest member.
            let rank = found.iter().map(|i| self.rank(&candidates.all[*i])).max();
            (found.len() == self.unit.tasks.len()).then_some((rank, free, found))
        });
        // Prefers the fullest rack, so that the others stay free for large gangs.
        let cold = |found: &[usize]| found.iter().filter(|i| candidates.all[**i].is_cold).count();
        let best = fitting.min_by_key(|(rank, free, found)| (*rank, cold(found), *free));
        best.map_or_else(Vec::new, |(.., found)| found)
    }

    /// Chooses candidates for as many subtasks as fit, the fullest workers first, and returns the
    /// index of one for each of these subtasks; none if an all-or-nothing unit does not fit.
    pub(crate) fn pack(
        &self,
        candidates: &Candidates,
        indices: &[usize],
        when: FreeAt,
    ) -> Vec<usize> {
        let need = self.step.reserved();
        let wanted = self.unit.tasks.len();
        let mut fitting: Vec<(u64, usize, u64)> = Vec::new();
        for i in indices {
            let candidate = &candidates.all[*i];
            let free = candidate.free_at(when);
            if !need.fits_in(free) {
                continue;
            }
            let count = need.count_in(free).min(self.remaining_limit(candidate));
            if count > 0 {
                fitting.push((free.share_of(candidate.capacity), *i, count));
            }
        }
        let total = fitting.iter().map(|(.., n)| (*n).min(wanted as u64));
        if self.unit.all_or_nothing && total.sum::<u64>() < wanted as u64 {
            return Vec::new();
        }
        fitting.sort_by_key(|(free, ..)| *free);
        if self.unit.isolation > Isolation::None {
            // A crash of an emptier worker hits fewer others.
            fitting.reverse();
        }
        if self.unit.preference != Preference::None {
            fitting.sort_by_key(|(_, i, _)| self.rank(&candidates.all[*i]));
        }
        // Many starts at once would keep workers slow that have just returned to service.
        fitting.sort_by_key(|(_, i, _)| {
            let candidate = &candidates.all[*i];
            (candidate.is_held_off, candidate.is_cold)
        });
        let mut found = Vec::with_capacity(wanted);
        for (_, i, count) in fitting {
            let rest = (wanted - found.len()) as u64;
            found.extend(std::iter::repeat_n(i, count.min(rest) as usize));
        }
        found
    }

    /// Returns the candidate to keep free of new work for a unit that has to run alone: the emptiest
    /// one that becomes idle.
    pub(crate) fn find_worker_to_empty(&self, candidates: &Candidates) -> Option<usize> {
        let service = candidates.service(self.service)?;
        let all = candidates.all.iter().enumerate();
        let fitting = all.filter(|(_, c)| {
            let fits = self.step.reserved().fits_in(c.capacity);
            fits && c.isolation.can_be_emptied() && self.is_suitable(c, service)
        });
        let free = |c: &Candidate| c.free.share_of(c.capacity);
        fitting.max_by_key(|(_, c)| free(c)).map(|(i, _)| i)
    }

    /// Returns how many more subtasks of the step may run on the worker.
    pub(crate) fn remaining_limit(&self, candidate: &Candidate) -> u64 {
        if self.step.max_per_worker == 0 {
            return u64::MAX;
        }
        let same = |t: &SubtaskId| {
            let first = &self.unit.tasks[0];
            t.job == first.job && t.occurrence == first.occurrence && t.step == first.step
        };
        let runs = self.worker(candidate).map(|w| &w.runs);
        let used = runs.into_iter().flatten().filter(|(t, _)| same(t)).count();
        self.step.max_per_worker.saturating_sub(used as u64)
    }
}
