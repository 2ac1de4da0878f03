//! Location of reservations for guaranteed gangs on workers.

use schema::{
    config::Config,
    job::{Phase, StopMode},
    shape::Adjacency,
};

use crate::{
    candidates::{self, Candidate, Preference},
    jobs::JobId,
    record::Claim,
    reservations::{Reservation, ReservationId, Reservations},
    state::{Plan, Step, member_need},
    workers::WorkerId,
};

impl Plan {
    /// Rebuilds the reservations from the configuration and reassigns them to active claims.
    ///
    /// A claim whose guarantee no longer exists becomes borrowed work. If it can't be stopped, it
    /// keeps its capacity until it ends.
    pub(crate) fn rebuild_reservations(&mut self, step: &mut Step) {
        for id in std::mem::take(&mut self.pending) {
            self.stop_awaiting(id);
            self.jobs.get_mut(id).pending = false;
            self.queue_add(id);
        }
        for worker in &mut self.workers.list {
            worker.reserved = crate::resources::Resources::default();
            worker.claimed = crate::resources::Resources::default();
        }
        self.reservations = reservations_of(&self.config);
        let mut claims: Vec<JobId> = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            job.reservation = None;
            if !job.rec.members.is_empty() && !job.rec.borrowed {
                claims.push(id);
            }
        }
        claims.sort_by_key(|id| {
            std::cmp::Reverse(self.jobs.get(*id).rec.job.shape.total_accelerators())
        });
        for id in claims {
            self.adopt(step, id);
        }
        self.reservations.needs_locating = true;
        self.locate_missing();
    }

    /// Assigns an active claim to a reservation that matches the workers on which it runs.
    fn adopt(&mut self, step: &mut Step, id: JobId) {
        let rec = &self.jobs.get(id).rec;
        let organisation = rec.job.organisation.clone();
        let previous = rec.claim;
        let mut reservations: Vec<ReservationId> = self
            .reservations
            .of(&organisation)
            .map(|(r, _)| r)
            .collect();
        reservations.sort_by_key(|r| self.reservations.list[*r].claim != previous);
        for reservation in reservations {
            if let Some(parts) = self.find_adoptable_parts(id, reservation) {
                return self.adopt_into(step, id, reservation, parts);
            }
        }
        if self.jobs.get(id).rec.job.stop == StopMode::Never {
            let mut shape = self.jobs.get(id).rec.job.shape;
            shape.memory_mb = self.jobs.get(id).charged_memory_mb();
            self.reservations
                .list
                .push(Reservation::new(organisation, None, shape));
            let parts = (0..shape.members.into()).collect();
            return self.adopt_into(step, id, self.reservations.list.len() - 1, parts);
        }
        let rec = &mut self.jobs.get_mut(id).rec;
        rec.claim = None;
        rec.borrowed = true;
        step.changed.push(id);
    }

    /// Returns the part of the reservation for each member of an active claim at its current
    /// worker, or `None` if the claim does not fit.
    fn find_adoptable_parts(&self, id: JobId, reservation: ReservationId) -> Option<Vec<usize>> {
        let job = self.jobs.get(id);
        let need = member_need(job);
        let reservation = &self.reservations.list[reservation];
        let mut parts: Vec<_> = reservation.parts.clone();
        let mut chosen = Vec::new();
        for member in &job.rec.members {
            let worker = self.workers.find(&member.worker)?;
            let fits = |part: &crate::reservations::ReservationPart, at| {
                part.worker == at && need.fits_in(part.unclaimed)
            };
            let found = parts
                .iter()
                .position(|part| fits(part, Some(worker)))
                .or_else(|| parts.iter().position(|part| fits(part, None)))?;
            parts[found].worker = Some(worker);
            parts[found].unclaimed = parts[found].unclaimed.saturating_sub(need);
            chosen.push(found);
        }
        let located: Vec<WorkerId> = parts.iter().filter_map(|part| part.worker).collect();
        self.are_adjacent(&located, reservation.shape.adjacency)
            .then_some(chosen)
    }

    fn are_adjacent(&self, workers: &[WorkerId], adjacency: Adjacency) -> bool {
        let domain = |w: &WorkerId| match adjacency {
            Adjacency::Worker => *w,
            Adjacency::Rack => self.workers.list[*w].rack,
            Adjacency::DataCentre => self.workers.data_centre_of(*w),
        };
        let unknown = |w: &WorkerId| self.workers.list[*w].info.accelerators == 0;
        let mut known = workers.iter().filter(|w| !unknown(w)).map(domain);
        let first = known.next();
        known.all(|d| Some(d) == first)
    }

    fn adopt_into(
        &mut self,
        step: &mut Step,
        id: JobId,
        reservation: ReservationId,
        parts: Vec<usize>,
    ) {
        let members = self.jobs.get(id).rec.members.clone();
        for (part, member) in parts.iter().zip(&members) {
            let worker = self.workers.find_or_insert_absent(&member.worker);
            self.assign_part(reservation, *part, Some(worker));
        }
        self.assign_reservation(id, reservation, parts);
        let claim = self.reservations.list[reservation].claim;
        let rec = &mut self.jobs.get_mut(id).rec;
        if rec.claim != claim {
            rec.claim = claim;
            step.changed.push(id);
        }
        self.count_claim(id, true);
    }

    /// Moves a part to another worker, or clears its location.
    pub(crate) fn assign_part(
        &mut self,
        reservation: ReservationId,
        i: usize,
        worker: Option<WorkerId>,
    ) {
        let need = self.reservations.list[reservation].need();
        let part = &mut self.reservations.list[reservation].parts[i];
        if let Some(old) = std::mem::replace(&mut part.worker, worker) {
            let old = &mut self.workers.list[old];
            old.reserved = old.reserved.saturating_sub(need);
        }
        if let Some(new) = worker {
            let new = &mut self.workers.list[new];
            new.reserved = new.reserved.saturating_add(need);
        }
    }

    /// Finds workers for the parts without a location, if something changed since the last search.
    pub(crate) fn locate_missing(&mut self) {
        if !std::mem::take(&mut self.reservations.needs_locating) {
            return;
        }
        let mut missing: Vec<ReservationId> = (0..self.reservations.list.len())
            .filter(|r| !self.reservations.list[*r].is_located())
            .collect();
        missing.sort_by_key(|r| self.location_order(*r));
        let failed = missing.into_iter().filter(|r| !self.locate(*r)).count();
        if failed > 0 {
            self.repack();
        }
    }

    fn location_order(&self, reservation: ReservationId) -> impl Ord + use<> {
        let reservation = &self.reservations.list[reservation];
        let total = std::cmp::Reverse(reservation.shape.total_accelerators());
        (
            reservation.is_unclaimed(),
            reservation.shape.adjacency,
            total,
        )
    }

    /// Finds workers for the parts of a reservation without a location. Returns whether all parts
    /// are located afterwards. Located parts with claims do not move.
    fn locate(&mut self, reservation: ReservationId) -> bool {
        if self.reservations.list[reservation].is_unclaimed() {
            self.clear_locations(reservation);
        }
        let r = &self.reservations.list[reservation];
        let missing: Vec<usize> = (0..r.parts.len())
            .filter(|i| r.parts[*i].worker.is_none())
            .collect();
        let candidates = self.reservation_candidates(reservation);
        let count = missing.len() as u16;
        let Some(workers) =
            candidates::choose(&candidates, count, r.shape.adjacency, Preference::Tightest)
        else {
            return missing.is_empty();
        };
        for (i, worker) in missing.into_iter().zip(workers) {
            self.assign_part(reservation, i, Some(worker));
        }
        true
    }

    /// Clears the locations of all parts of a reservation.
    pub(crate) fn clear_locations(&mut self, reservation: ReservationId) {
        for i in 0..self.reservations.list[reservation].parts.len() {
            self.assign_part(reservation, i, None);
        }
    }

    /// Returns the workers with unreserved capacity for parts of the reservation, in the domain of
    /// its located parts.
    fn reservation_candidates(&self, reservation: ReservationId) -> Vec<Candidate> {
        let r = &self.reservations.list[reservation];
        let located = r.parts.iter().find_map(|part| part.worker);
        // The rack of a worker that was not reported since the restore is unknown.
        if located.is_some_and(|l| self.workers.list[l].info.accelerators == 0) {
            return Vec::new();
        }
        let in_domain =
            |w: WorkerId| located.is_none_or(|l| self.are_adjacent(&[l, w], r.shape.adjacency));
        (0..self.workers.list.len())
            .filter(|w| self.workers.list[*w].is_available() && in_domain(*w))
            .map(|w| self.reservation_candidate(w, reservation))
            .collect()
    }

    pub(crate) fn reservation_candidate(
        &self,
        worker: WorkerId,
        reservation: ReservationId,
    ) -> Candidate {
        let w = &self.workers.list[worker];
        let room = w.capacity().saturating_sub(w.reserved);
        let shape = &self.reservations.list[reservation].shape;
        Candidate {
            worker,
            rack: w.rack,
            data_centre: self.workers.data_centre_of(worker),
            room: room.count_of(self.reservations.list[reservation].need(), shape.members),
            cost: room.accelerators,
        }
    }

    /// Locates all unclaimed reservations again. The old locations are kept unless more
    /// reservations fit.
    fn repack(&mut self) {
        let old: Vec<Vec<Option<WorkerId>>> = self
            .reservations
            .list
            .iter()
            .map(|r| r.parts.iter().map(|part| part.worker).collect())
            .collect();
        let before = self.unlocated();
        let mut unclaimed: Vec<ReservationId> = (0..old.len())
            .filter(|r| self.reservations.list[*r].is_unclaimed())
            .collect();
        for reservation in &unclaimed {
            self.clear_locations(*reservation);
        }
        unclaimed.sort_by_key(|r| self.location_order(*r));
        let is_partial = |r: &ReservationId| {
            let r = &self.reservations.list[*r];
            !r.is_unclaimed() && !r.is_located()
        };
        let partial: Vec<ReservationId> = (0..old.len()).filter(is_partial).collect();
        for reservation in partial.iter().chain(&unclaimed) {
            self.locate(*reservation);
        }
        if self.unlocated() < before {
            return;
        }
        for reservation in &unclaimed {
            self.clear_locations(*reservation);
        }
        for reservation in partial.into_iter().chain(unclaimed) {
            for (i, worker) in old[reservation].iter().enumerate() {
                self.assign_part(reservation, i, *worker);
            }
        }
    }

    /// Returns the number of guaranteed gangs for which no capacity is reserved at present.
    ///
    /// It is above zero only while the workers that are up can't hold all guarantees, or while the
    /// heuristic search finds no packing.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// assert_eq!(Plan::new(PlanCfg::default()).unlocated(), 0);
    /// ```
    pub fn unlocated(&self) -> usize {
        self.reservations
            .list
            .iter()
            .filter(|r| !r.is_located())
            .count()
    }

    /// Clears the locations of the unclaimed parts on a worker that takes no new work.
    pub(crate) fn worker_unavailable(&mut self, worker: WorkerId) {
        for reservation in 0..self.reservations.list.len() {
            let here = |part: &crate::reservations::ReservationPart| part.worker == Some(worker);
            if !self.reservations.list[reservation].parts.iter().any(here) {
                continue;
            }
            self.release_unavailable_parts(reservation);
        }
        self.reservations.needs_locating = true;
        self.capacity_changed();
    }

    /// Clears the locations of the unclaimed parts of a reservation on workers that take no new
    /// work.
    pub(crate) fn release_unavailable_parts(&mut self, reservation: ReservationId) {
        let need = self.reservations.list[reservation].need();
        for i in 0..self.reservations.list[reservation].parts.len() {
            let part = self.reservations.list[reservation].parts[i];
            let unavailable = part
                .worker
                .is_some_and(|w| !self.workers.list[w].is_available());
            if unavailable && part.unclaimed == need {
                self.assign_part(reservation, i, None);
                self.reservations.needs_locating = true;
            }
        }
    }

    /// Handles a worker that takes work again.
    pub(crate) fn worker_available(&mut self) {
        self.reservations.needs_locating = true;
        self.capacity_changed();
    }

    /// Returns whether the job would fit into an unclaimed guaranteed gang of its organisation.
    pub(crate) fn fits_a_guarantee(&self, id: JobId) -> bool {
        let job = &self.jobs.get(id).rec.job;
        let need = crate::resources::Resources::of(&job.shape);
        let fits = |shape| {
            let reservation = Reservation::new(job.organisation.clone(), None, shape);
            let fit = reservation.fit(need, job.shape.members, job.shape.adjacency);
            fit.is_some()
        };
        let organisation = self.config.organisations.get(&job.organisation);
        organisation.is_some_and(|o| o.guarantees.iter().any(|g| g.gangs > 0 && fits(g.shape)))
    }

    /// Adds the resources of a running claim to the `claimed` resources of its workers, or
    /// subtracts them.
    pub(crate) fn count_claim(&mut self, id: JobId, add: bool) {
        let job = self.jobs.get(id);
        let need = member_need(job);
        let active = matches!(
            job.rec.phase,
            Phase::Holding | Phase::Running | Phase::Stopping
        );
        if !active || job.reservation.is_none() {
            return;
        }
        for member in &job.rec.members {
            if let Some(w) = self.workers.find(&member.worker) {
                let worker = &mut self.workers.list[w];
                worker.claimed = if add {
                    worker.claimed.saturating_add(need)
                } else {
                    worker.claimed.saturating_sub(need)
                };
            }
        }
    }
}

fn reservations_of(config: &Config) -> Reservations {
    let mut reservations = Reservations::default();
    for organisation in config.organisations.values() {
        for (guarantee, g) in organisation.guarantees.iter().enumerate() {
            for gang in 0..g.gangs {
                let claim = Claim {
                    guarantee: guarantee as u16,
                    gang,
                };
                let organisation = organisation.name.clone();
                reservations
                    .list
                    .push(Reservation::new(organisation, Some(claim), g.shape));
            }
        }
    }
    reservations
}
