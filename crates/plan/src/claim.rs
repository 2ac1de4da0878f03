//! Claims on guaranteed capacity, and the reclaim of that capacity from borrowed work.

use base::clock::Millis;
use schema::job::{Phase, StopMode};

use crate::{
    candidates::{self, Candidate, Preference},
    jobs::JobId,
    record::Member,
    reservations::ReservationId,
    resources::Resources,
    state::{Plan, Step, member_need},
    workers::WorkerId,
};

/// Fixed cost of interrupting a running job, in accelerator seconds.
const INTERRUPTION_COST: u64 = 60;
/// Work per accelerator that is lost when a job is stopped with a checkpoint.
const CHECKPOINT_LOSS: Millis = Millis(5_000);

/// Assignment of the members of a job to parts of a reservation.
struct Fit {
    reservation: ReservationId,
    parts: Vec<usize>,
    workers: Vec<WorkerId>,
}

impl Plan {
    /// Places a job on free guaranteed capacity. Returns whether it was placed.
    pub(crate) fn claim_free(&mut self, step: &mut Step, id: JobId) -> bool {
        let Some(fit) = self.find_free_claim(step, id) else {
            return false;
        };
        self.assign_reservation(id, fit.reservation, fit.parts);
        self.hold_claim(step, id, &fit.workers);
        true
    }

    fn find_free_claim(&mut self, step: &Step, id: JobId) -> Option<Fit> {
        let fits = self.fits(id);
        if let Some(i) = fits
            .iter()
            .position(|f| self.is_free_for(step, id, &f.workers))
        {
            return fits.into_iter().nth(i);
        }
        let unclaimed = |r: &ReservationId| self.reservations.list[*r].is_unclaimed();
        let reservations: Vec<ReservationId> = fits
            .iter()
            .map(|f| f.reservation)
            .filter(unclaimed)
            .collect();
        reservations
            .into_iter()
            .find_map(|reservation| self.relocate_to_free(step, id, reservation))
    }

    /// Returns the reservations into which the job fits, with the workers of their parts. Partly
    /// claimed reservations come first, then one unclaimed reservation of each guarantee; within
    /// each group, the smallest come first.
    fn fits(&self, id: JobId) -> Vec<Fit> {
        let job = self.jobs.get(id);
        let (need, shape) = (member_need(job), job.rec.job.shape);
        let mut fits = Vec::new();
        let mut seen = Vec::new();
        for (reservation, r) in self.reservations.of(&job.rec.job.organisation) {
            let guarantee = r.claim.map(|c| c.guarantee);
            if r.is_unclaimed() && seen.contains(&guarantee) || !r.is_located() {
                continue;
            }
            let Some(parts) = r.fit(need, shape.members, shape.adjacency) else {
                continue;
            };
            if r.is_unclaimed() {
                seen.push(guarantee);
            }
            let workers = parts
                .iter()
                .filter_map(|part| r.parts[*part].worker)
                .collect();
            fits.push(Fit {
                reservation,
                parts,
                workers,
            });
        }
        fits.sort_by_key(|f| {
            let r = &self.reservations.list[f.reservation];
            (r.is_unclaimed(), r.shape.total_accelerators())
        });
        fits
    }

    /// Returns whether the given workers, one for each member, have enough free resources now.
    fn is_free_for(&self, step: &Step, id: JobId, workers: &[WorkerId]) -> bool {
        let job = self.jobs.get(id);
        let need = member_need(job);
        workers.iter().all(|w| {
            let worker = &self.workers.list[*w];
            let count = workers.iter().filter(|other| *other == w).count() as u16;
            let awaited = if job.pending {
                Resources::default()
            } else {
                worker.awaited
            };
            worker.is_schedulable(step.now)
                && !self.avoids(id, &worker.info.name)
                && need
                    .saturating_mul(count)
                    .fits_in(worker.free().saturating_sub(awaited))
        })
    }

    /// Moves an unclaimed reservation to workers on which the job fits into free resources.
    fn relocate_to_free(
        &mut self,
        step: &Step,
        id: JobId,
        reservation: ReservationId,
    ) -> Option<Fit> {
        let job = self.jobs.get(id);
        let (need, shape) = (member_need(job), job.rec.job.shape);
        let parts =
            self.reservations.list[reservation].fit(need, shape.members, shape.adjacency)?;
        let members_per_part = parts.iter().filter(|part| **part == parts[0]).count() as u16;
        let candidates = self.claim_candidates(step, id, reservation, |plan, worker| {
            let w = &plan.workers.list[worker];
            let room = w
                .spare()
                .count_of(need.saturating_mul(members_per_part), u16::MAX);
            (room, w.spare().accelerators)
        });
        self.move_reservation(reservation, &candidates, Preference::Tightest, parts)
    }

    /// Returns the workers to which a reservation may be moved for a job. `cost_rate` returns the
    /// maximum number of parts and the cost for each worker.
    fn claim_candidates(
        &self,
        step: &Step,
        id: JobId,
        reservation: ReservationId,
        cost_rate: impl Fn(&Self, WorkerId) -> (u16, u32),
    ) -> Vec<Candidate> {
        let r = &self.reservations.list[reservation];
        let mut candidates = Vec::new();
        for (worker, w) in self.workers.list.iter().enumerate() {
            if !w.is_schedulable(step.now) || self.avoids(id, &w.info.name) {
                continue;
            }
            let own_parts = r
                .parts
                .iter()
                .filter(|part| part.worker == Some(worker))
                .count();
            let reserved = w
                .reserved
                .saturating_sub(r.need().saturating_mul(own_parts as u16));
            let room = w.capacity().saturating_sub(reserved);
            let (limit, cost) = cost_rate(self, worker);
            let mut candidate = self.reservation_candidate(worker, reservation);
            candidate.room = room.count_of(r.need(), r.shape.members).min(limit);
            candidate.cost = cost;
            candidates.push(candidate);
        }
        candidates
    }

    fn move_reservation(
        &mut self,
        reservation: ReservationId,
        candidates: &[Candidate],
        preference: Preference,
        parts: Vec<usize>,
    ) -> Option<Fit> {
        let shape = self.reservations.list[reservation].shape;
        let places = candidates::choose(candidates, shape.members, shape.adjacency, preference)?;
        for (i, worker) in places.iter().enumerate() {
            self.assign_part(reservation, i, Some(*worker));
        }
        let workers = parts.iter().map(|part| places[*part]).collect();
        Some(Fit {
            reservation,
            parts,
            workers,
        })
    }

    /// Claims guaranteed capacity and starts to stop the borrowed work on it. Returns whether a
    /// reservation was claimed.
    pub(crate) fn reclaim(&mut self, step: &mut Step, id: JobId) -> bool {
        let Some(fit) = self.find_reclaim(step, id) else {
            return false;
        };
        self.assign_reservation(id, fit.reservation, fit.parts);
        self.await_resources(id, fit.workers);
        self.stop_victims(step, id);
        true
    }

    /// Marks a job as pending until resources become free on these workers, one for each member.
    pub(crate) fn await_resources(&mut self, id: JobId, workers: Vec<WorkerId>) {
        let need = member_need(self.jobs.get(id));
        for worker in &workers {
            let worker = &mut self.workers.list[*worker];
            worker.awaited = worker.awaited.saturating_add(need);
        }
        let job = self.jobs.get_mut(id);
        job.pending = true;
        job.awaited_workers = workers;
        self.pending.push(id);
        self.queue_remove(id);
    }

    fn find_reclaim(&mut self, step: &mut Step, id: JobId) -> Option<Fit> {
        let fits = self.fits(id);
        if fits.is_empty() || !step.count_search() {
            return None;
        }
        let empty = fits
            .iter()
            .find(|f| self.reservations.list[f.reservation].is_unclaimed());
        if let Some(reservation) = empty.map(|f| f.reservation) {
            let moved = self.relocate_to_cheapest(step, id, reservation);
            if moved.is_some() {
                return moved;
            }
        }
        let usable_worker = |w: &WorkerId| {
            let w = &self.workers.list[*w];
            w.is_available() && !self.avoids(id, &w.info.name)
        };
        let usable = |f: &Fit| f.workers.iter().all(usable_worker);
        fits.into_iter().find(usable)
    }

    /// Moves an unclaimed reservation to the workers where stopping borrowed work for the job loses
    /// the least work.
    fn relocate_to_cheapest(
        &mut self,
        step: &Step,
        id: JobId,
        reservation: ReservationId,
    ) -> Option<Fit> {
        let job = self.jobs.get(id);
        let (need, shape) = (member_need(job), job.rec.job.shape);
        let parts =
            self.reservations.list[reservation].fit(need, shape.members, shape.adjacency)?;
        let members_per_part = parts.iter().filter(|part| **part == parts[0]).count() as u16;
        let candidates = self.claim_candidates(step, id, reservation, |plan, worker| {
            let cost = plan.reclaim_cost(step.now, worker, need.saturating_mul(members_per_part));
            (u16::MAX, cost)
        });
        self.move_reservation(reservation, &candidates, Preference::Cheapest, parts)
    }

    /// Returns the cost of freeing the needed resources on one worker; 0 if they are free already
    /// or soon.
    fn reclaim_cost(&self, now: Millis, worker: WorkerId, need: Resources) -> u32 {
        let w = &self.workers.list[worker];
        let soon_free = w
            .free()
            .saturating_add(w.stopping)
            .saturating_sub(w.awaited);
        if need.fits_in(soon_free) {
            return 0;
        }
        let missing = need.saturating_sub(soon_free).accelerators.max(1);
        let victims = self.workers.jobs_on(worker);
        let victims = victims.into_iter().filter(|v| self.is_victim(*v));
        let mut costs: Vec<(u64, u32)> = victims
            .map(|v| {
                (
                    self.victim_cost(now, v),
                    self.usage_on(v, worker).accelerators,
                )
            })
            .collect();
        costs.sort_by_key(|(cost, gain)| cost / u64::from(*gain).max(1));
        let (mut sum, mut gained) = (0, 0);
        for (cost, gain) in costs {
            if gained >= missing {
                break;
            }
            sum += cost;
            gained += gain;
        }
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Returns whether the job may be stopped for a claim, that is, whether it runs on borrowed
    /// capacity.
    fn is_victim(&self, id: JobId) -> bool {
        let job = self.jobs.get(id);
        let active = matches!(job.rec.phase, Phase::Holding | Phase::Running);
        active && job.reservation.is_none() && job.rec.job.stop != StopMode::Never
    }

    /// Returns the work lost by stopping a job plus `INTERRUPTION_COST`, in accelerator seconds.
    pub(crate) fn victim_cost(&self, now: Millis, id: JobId) -> u64 {
        let rec = &self.jobs.get(id).rec;
        let lost = match (rec.phase, rec.job.stop) {
            (Phase::Holding, _) => return 0,
            (_, StopMode::Checkpoint) => CHECKPOINT_LOSS,
            _ => now.since(rec.started_at),
        };
        let accelerators = u64::from(rec.job.shape.total_accelerators());
        INTERRUPTION_COST + lost.0 * accelerators / 1_000
    }

    /// Returns the resources that the job uses on the worker.
    pub(crate) fn usage_on(&self, id: JobId, worker: WorkerId) -> Resources {
        let here = self.workers.list[worker].tasks.iter().filter(|t| **t == id);
        member_need(self.jobs.get(id)).saturating_mul(here.count() as u16)
    }

    /// Stops borrowed work on the workers of a pending claim until all its members will fit.
    fn stop_victims(&mut self, step: &mut Step, id: JobId) {
        let mut workers = self.jobs.get(id).awaited_workers.clone();
        workers.sort_unstable();
        workers.dedup();
        let reason = format!("stopped for {}", self.jobs.get(id).rec.key());
        for worker in workers {
            while let Some(victim) = self.next_victim(step.now, worker) {
                self.interrupt(step, victim, &reason);
            }
        }
    }

    /// Returns the borrowed job to stop next on a worker, or `None` if the awaited resources are
    /// free or become free without another stop.
    fn next_victim(&self, now: Millis, worker: WorkerId) -> Option<JobId> {
        let w = &self.workers.list[worker];
        let soon_free = w.free().saturating_add(w.stopping);
        if w.awaited.fits_in(soon_free) {
            return None;
        }
        let missing = w.awaited.saturating_sub(soon_free);
        let cost_rate = |id: &JobId| {
            let usage = self.usage_on(*id, worker);
            let covers = missing.fits_in(usage);
            let gain = u64::from(usage.accelerators.min(missing.accelerators)).max(1);
            (!covers, self.victim_cost(now, *id) / gain)
        };
        self.workers
            .jobs_on(worker)
            .into_iter()
            .filter(|v| self.is_victim(*v))
            .min_by_key(cost_rate)
    }

    /// Starts the pending claims whose resources are free, and stops more victims for the others.
    pub(crate) fn start_pending_claims(&mut self, step: &mut Step) {
        let mut pending = self.pending.clone();
        pending.sort_by_key(|id| self.jobs.get(*id).reservation.is_none());
        for id in pending {
            let workers = self.jobs.get(id).awaited_workers.clone();
            let available = |w: &WorkerId| self.workers.list[*w].is_available();
            if !workers.iter().all(available) {
                self.release_claim(id);
                self.queue_add(id);
            } else if self.is_free_for(step, id, &workers) {
                self.stop_awaiting(id);
                self.jobs.get_mut(id).pending = false;
                self.pending.retain(|p| *p != id);
                self.hold_claim(step, id, &workers);
            } else if self.jobs.get(id).reservation.is_some() {
                self.stop_victims(step, id);
            } else if !self.will_be_free(&workers) {
                self.release_claim(id);
                self.queue_add(id);
            }
        }
    }

    /// Returns whether the free and the stopping resources cover everything that is awaited on the
    /// workers.
    fn will_be_free(&self, workers: &[WorkerId]) -> bool {
        workers.iter().all(|w| {
            let w = &self.workers.list[*w];
            w.awaited.fits_in(w.free().saturating_add(w.stopping))
        })
    }

    fn hold_claim(&mut self, step: &mut Step, id: JobId, workers: &[WorkerId]) {
        let members = self.pick_members(id, workers);
        let reservation = self.jobs.get(id).reservation;
        let claim = reservation.map(|r| self.reservations.list[r].claim);
        let rec = &mut self.jobs.get_mut(id).rec;
        rec.borrowed = claim.is_none();
        rec.claim = claim.flatten();
        self.hold(step, id, members);
        self.count_claim(id, true);
    }

    /// Picks free accelerators for one member on each entry of `workers`.
    pub(crate) fn pick_members(&self, id: JobId, workers: &[WorkerId]) -> Vec<Member> {
        let count = self.jobs.get(id).rec.job.shape.accelerators;
        let mut picked: Vec<(WorkerId, u32)> = Vec::new();
        for worker in workers {
            let here = picked.iter().filter(|(w, _)| w == worker);
            let except = here.fold(0, |bits, (_, taken)| bits | taken);
            let bits = self.workers.list[*worker].pick_accelerators(count, except);
            picked.push((*worker, bits));
        }
        let member = |(worker, accelerators): (WorkerId, u32)| Member {
            worker: self.workers.list[worker].info.name.clone(),
            accelerators,
        };
        picked.into_iter().map(member).collect()
    }

    /// Assigns parts of a reservation to a job.
    pub(crate) fn assign_reservation(
        &mut self,
        id: JobId,
        reservation: ReservationId,
        parts: Vec<usize>,
    ) {
        let need = member_need(self.jobs.get(id));
        let r = &mut self.reservations.list[reservation];
        for part in &parts {
            r.parts[*part].unclaimed = r.parts[*part].unclaimed.saturating_sub(need);
        }
        r.jobs.push(id);
        let job = self.jobs.get_mut(id);
        job.reservation = Some(reservation);
        job.reservation_parts = parts;
    }

    /// Releases the job's claim, pending or active, if it has one.
    pub(crate) fn release_claim(&mut self, id: JobId) {
        if self.jobs.get(id).pending {
            self.stop_awaiting(id);
            self.jobs.get_mut(id).pending = false;
            self.pending.retain(|p| *p != id);
        }
        let job = self.jobs.get_mut(id);
        let Some(reservation) = job.reservation.take() else {
            return;
        };
        let parts = std::mem::take(&mut job.reservation_parts);
        let need = member_need(job);
        let r = &mut self.reservations.list[reservation];
        for part in parts {
            r.parts[part].unclaimed = r.parts[part].unclaimed.saturating_add(need);
        }
        r.jobs.retain(|j| *j != id);
        if r.claim.is_none() {
            self.clear_locations(reservation);
            self.reservations.list[reservation].parts.clear();
        }
        self.release_unavailable_parts(reservation);
    }

    /// Removes the resources that a pending claim awaits from its workers.
    pub(crate) fn stop_awaiting(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id);
        let need = member_need(job);
        for worker in std::mem::take(&mut job.awaited_workers) {
            let worker = &mut self.workers.list[worker];
            worker.awaited = worker.awaited.saturating_sub(need);
        }
    }
}
