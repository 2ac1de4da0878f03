//! Claims of guaranteed capacity, and reclaim from borrowed work.

use base::clock::Millis;
use schema::job::{Phase, StopMode};

use crate::{
    amount::Amount,
    jobs::JobId,
    record::Member,
    sites::{self, Prefer, Site},
    slots::SlotId,
    state::{Plan, Step, need},
    workers::WorkerId,
};

/// Cost of breaking one job by a reclaim, in accelerator seconds.
const BREAK_COST: u64 = 60;
/// Work lost by a stop with a checkpoint, per accelerator.
const CHECKPOINT_LOSS: Millis = Millis(5_000);

/// Members of a job in boxes of a slot.
struct Fit {
    slot: SlotId,
    boxes: Vec<usize>,
    workers: Vec<WorkerId>,
}

impl Plan {
    /// Places a job in guaranteed capacity that is free. Returns whether it did.
    pub(crate) fn claim_free(&mut self, step: &mut Step, id: JobId) -> bool {
        let Some(fit) = self.find_free_claim(step, id) else {
            return false;
        };
        self.attach(id, fit.slot, fit.boxes);
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
        let unclaimed = |s: &SlotId| self.slots.list[*s].is_empty();
        let slots: Vec<SlotId> = fits.iter().map(|f| f.slot).filter(unclaimed).collect();
        slots
            .into_iter()
            .find_map(|slot| self.relocate_to_free(step, id, slot))
    }

    /// Returns the slots into which the job fits, with their locations: partly claimed slots
    /// first, then one unclaimed slot of each guarantee, smallest first.
    fn fits(&self, id: JobId) -> Vec<Fit> {
        let job = self.jobs.get(id);
        let (need, shape) = (need(job), job.rec.job.shape);
        let mut fits = Vec::new();
        let mut seen = Vec::new();
        for (slot, s) in self.slots.of(&job.rec.job.organisation) {
            let guarantee = s.claim.map(|c| c.guarantee);
            if s.is_empty() && seen.contains(&guarantee) || !s.is_located() {
                continue;
            }
            let Some(boxes) = s.fit(need, shape.members, shape.adjacency) else {
                continue;
            };
            if s.is_empty() {
                seen.push(guarantee);
            }
            let workers = boxes.iter().filter_map(|b| s.boxes[*b].worker).collect();
            fits.push(Fit {
                slot,
                boxes,
                workers,
            });
        }
        fits.sort_by_key(|f| {
            let s = &self.slots.list[f.slot];
            (s.is_empty(), s.shape.total_accelerators())
        });
        fits
    }

    /// Returns whether the workers, one for each member, have the free resources now.
    fn is_free_for(&self, step: &Step, id: JobId, workers: &[WorkerId]) -> bool {
        let job = self.jobs.get(id);
        let need = need(job);
        workers.iter().all(|w| {
            let worker = &self.workers.list[*w];
            let count = workers.iter().filter(|other| *other == w).count() as u16;
            let awaited = if job.pending {
                Amount::default()
            } else {
                worker.awaited
            };
            worker.is_open(step.now)
                && !self.avoids(id, &worker.info.name)
                && need.times(count).fits_in(worker.free().minus(awaited))
        })
    }

    /// Moves an unclaimed slot to workers where the job fits into free resources.
    fn relocate_to_free(&mut self, step: &Step, id: JobId, slot: SlotId) -> Option<Fit> {
        let job = self.jobs.get(id);
        let (need, shape) = (need(job), job.rec.job.shape);
        let boxes = self.slots.list[slot].fit(need, shape.members, shape.adjacency)?;
        let first = boxes.iter().filter(|b| **b == boxes[0]).count() as u16;
        let sites = self.claim_sites(step, id, slot, |plan, worker| {
            let w = &plan.workers.list[worker];
            let room = w.spare().count_of(need.times(first), u16::MAX);
            (room, w.spare().accelerators)
        });
        self.move_slot(slot, &sites, Prefer::Tightest, boxes)
    }

    /// Workers to which a slot may be moved for a job, with a limit on the boxes and a cost.
    fn claim_sites(
        &self,
        step: &Step,
        id: JobId,
        slot: SlotId,
        rate: impl Fn(&Self, WorkerId) -> (u16, u32),
    ) -> Vec<Site> {
        let s = &self.slots.list[slot];
        let mut sites = Vec::new();
        for (worker, w) in self.workers.list.iter().enumerate() {
            if !w.is_open(step.now) || self.avoids(id, &w.info.name) {
                continue;
            }
            let own = s.boxes.iter().filter(|b| b.worker == Some(worker)).count();
            let reserved = w.reserved.minus(s.need().times(own as u16));
            let room = w.capacity().minus(reserved);
            let (limit, cost) = rate(self, worker);
            let mut site = self.reserve_site(worker, slot);
            site.room = room.count_of(s.need(), s.shape.members).min(limit);
            site.cost = cost;
            sites.push(site);
        }
        sites
    }

    fn move_slot(
        &mut self,
        slot: SlotId,
        sites: &[Site],
        prefer: Prefer,
        boxes: Vec<usize>,
    ) -> Option<Fit> {
        let shape = self.slots.list[slot].shape;
        let places = sites::choose(sites, shape.members, shape.adjacency, prefer)?;
        for (i, worker) in places.iter().enumerate() {
            self.put_box(slot, i, Some(*worker));
        }
        let workers = boxes.iter().map(|b| places[*b]).collect();
        Some(Fit {
            slot,
            boxes,
            workers,
        })
    }

    /// Starts to stop borrowed work for a job with a claim. Returns whether it did.
    pub(crate) fn reclaim(&mut self, step: &mut Step, id: JobId) -> bool {
        let Some(fit) = self.find_reclaim(step, id) else {
            return false;
        };
        self.attach(id, fit.slot, fit.boxes);
        self.await_room(id, fit.workers);
        self.stop_victims(step, id);
        true
    }

    /// Makes a job wait for resources on these workers, one for each member.
    pub(crate) fn await_room(&mut self, id: JobId, workers: Vec<WorkerId>) {
        let need = need(self.jobs.get(id));
        for worker in &workers {
            let worker = &mut self.workers.list[*worker];
            worker.awaited = worker.awaited.plus(need);
        }
        let job = self.jobs.get_mut(id);
        job.pending = true;
        job.awaits = workers;
        self.pending.push(id);
        self.queue_remove(id);
    }

    fn find_reclaim(&mut self, step: &mut Step, id: JobId) -> Option<Fit> {
        let fits = self.fits(id);
        if fits.is_empty() || !step.may_search() {
            return None;
        }
        let empty = fits.iter().find(|f| self.slots.list[f.slot].is_empty());
        if let Some(slot) = empty.map(|f| f.slot) {
            let moved = self.relocate_to_cheap(step, id, slot);
            if moved.is_some() {
                return moved;
            }
        }
        let open = |w: &WorkerId| {
            let w = &self.workers.list[*w];
            w.is_sound() && !self.avoids(id, &w.info.name)
        };
        let usable = |f: &Fit| f.workers.iter().all(open);
        fits.into_iter().find(usable)
    }

    /// Moves an unclaimed slot to the workers where the least work is lost for the job.
    fn relocate_to_cheap(&mut self, step: &Step, id: JobId, slot: SlotId) -> Option<Fit> {
        let job = self.jobs.get(id);
        let (need, shape) = (need(job), job.rec.job.shape);
        let boxes = self.slots.list[slot].fit(need, shape.members, shape.adjacency)?;
        let first = boxes.iter().filter(|b| **b == boxes[0]).count() as u16;
        let sites = self.claim_sites(step, id, slot, |plan, worker| {
            let cost = plan.reclaim_cost(step.now, worker, need.times(first));
            (u16::MAX, cost)
        });
        self.move_slot(slot, &sites, Prefer::Cheapest, boxes)
    }

    /// Cost of making room on one worker; zero if the room is there.
    fn reclaim_cost(&self, now: Millis, worker: WorkerId, need: Amount) -> u32 {
        let w = &self.workers.list[worker];
        let soon = w.free().plus(w.stopping).minus(w.awaited);
        if need.fits_in(soon) {
            return 0;
        }
        let missing = need.minus(soon).accelerators.max(1);
        let victims = self.workers.jobs_on(worker);
        let victims = victims.into_iter().filter(|v| self.is_victim(*v));
        let mut costs: Vec<(u64, u32)> = victims
            .map(|v| {
                (
                    self.victim_cost(now, v),
                    self.share_on(v, worker).accelerators,
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

    /// Whether the job may be stopped for a claim: it runs on borrowed capacity.
    fn is_victim(&self, id: JobId) -> bool {
        let job = self.jobs.get(id);
        let active = matches!(job.rec.phase, Phase::Holding | Phase::Running);
        active && job.slot.is_none() && job.rec.job.stop != StopMode::Never
    }

    /// Lost work of a stopped job plus the cost of breaking a job, in accelerator seconds.
    pub(crate) fn victim_cost(&self, now: Millis, id: JobId) -> u64 {
        let rec = &self.jobs.get(id).rec;
        let lost = match (rec.phase, rec.job.stop) {
            (Phase::Holding, _) => return 0,
            (_, StopMode::Checkpoint) => CHECKPOINT_LOSS,
            _ => now.since(rec.started_at),
        };
        let accelerators = u64::from(rec.job.shape.total_accelerators());
        BREAK_COST + lost.0 * accelerators / 1_000
    }

    /// What the job uses on the worker.
    pub(crate) fn share_on(&self, id: JobId, worker: WorkerId) -> Amount {
        let here = self.workers.list[worker].tasks.iter().filter(|t| **t == id);
        need(self.jobs.get(id)).times(here.count() as u16)
    }

    /// Stops borrowed work on the workers of a pending claim until its members fit.
    fn stop_victims(&mut self, step: &mut Step, id: JobId) {
        let mut workers = self.jobs.get(id).awaits.clone();
        workers.sort_unstable();
        workers.dedup();
        let reason = format!("stopped for {}", self.jobs.get(id).rec.key());
        for worker in workers {
            while let Some(victim) = self.next_victim(step.now, worker) {
                self.interrupt(step, victim, &reason);
            }
        }
    }

    /// Returns the borrowed job to stop next on a worker with too little room for its claims.
    fn next_victim(&self, now: Millis, worker: WorkerId) -> Option<JobId> {
        let w = &self.workers.list[worker];
        let soon = w.free().plus(w.stopping);
        if w.awaited.fits_in(soon) {
            return None;
        }
        let missing = w.awaited.minus(soon);
        let rate = |id: &JobId| {
            let share = self.share_on(*id, worker);
            let covers = missing.fits_in(share);
            let gain = u64::from(share.accelerators.min(missing.accelerators)).max(1);
            (!covers, self.victim_cost(now, *id) / gain)
        };
        self.workers
            .jobs_on(worker)
            .into_iter()
            .filter(|v| self.is_victim(*v))
            .min_by_key(rate)
    }

    /// Starts the pending claims that have their room, and stops more victims for the others.
    pub(crate) fn serve_pending(&mut self, step: &mut Step) {
        let mut pending = self.pending.clone();
        pending.sort_by_key(|id| self.jobs.get(*id).slot.is_none());
        for id in pending {
            let workers = self.jobs.get(id).awaits.clone();
            let sound = |w: &WorkerId| self.workers.list[*w].is_sound();
            if !workers.iter().all(sound) {
                self.unclaim(id);
                self.queue_add(id);
            } else if self.is_free_for(step, id, &workers) {
                self.unawait(id);
                self.jobs.get_mut(id).pending = false;
                self.pending.retain(|p| *p != id);
                self.hold_claim(step, id, &workers);
            } else if self.jobs.get(id).slot.is_some() {
                self.stop_victims(step, id);
            } else if !self.is_room_coming(&workers) {
                self.unclaim(id);
                self.queue_add(id);
            }
        }
    }

    /// Whether what stops on the workers leaves enough for all that wait for it.
    fn is_room_coming(&self, workers: &[WorkerId]) -> bool {
        workers.iter().all(|w| {
            let w = &self.workers.list[*w];
            w.awaited.fits_in(w.free().plus(w.stopping))
        })
    }

    fn hold_claim(&mut self, step: &mut Step, id: JobId, workers: &[WorkerId]) {
        let members = self.members_at(id, workers);
        let slot = self.jobs.get(id).slot.map(|s| self.slots.list[s].claim);
        let rec = &mut self.jobs.get_mut(id).rec;
        rec.borrowed = slot.is_none();
        rec.claim = slot.flatten();
        self.hold(step, id, members);
        self.count_claim(id, true);
    }

    /// Picks free accelerators for one member on each of the workers.
    pub(crate) fn members_at(&self, id: JobId, workers: &[WorkerId]) -> Vec<Member> {
        let count = self.jobs.get(id).rec.job.shape.accelerators;
        let mut picked: Vec<(WorkerId, u32)> = Vec::new();
        for worker in workers {
            let here = picked.iter().filter(|(w, _)| w == worker);
            let except = here.fold(0, |bits, (_, b)| bits | b);
            let bits = self.workers.list[*worker].pick(count, except);
            picked.push((*worker, bits));
        }
        let member = |(worker, accelerators): (WorkerId, u32)| Member {
            worker: self.workers.list[worker].info.name.clone(),
            accelerators,
        };
        picked.into_iter().map(member).collect()
    }

    /// Gives a job the boxes of a slot.
    pub(crate) fn attach(&mut self, id: JobId, slot: SlotId, boxes: Vec<usize>) {
        let need = need(self.jobs.get(id));
        let s = &mut self.slots.list[slot];
        for b in &boxes {
            s.boxes[*b].left = s.boxes[*b].left.minus(need);
        }
        s.jobs.push(id);
        let job = self.jobs.get_mut(id);
        job.slot = Some(slot);
        job.boxes = boxes;
    }

    /// Takes a job out of its slot, if it has one.
    pub(crate) fn unclaim(&mut self, id: JobId) {
        if self.jobs.get(id).pending {
            self.unawait(id);
            self.jobs.get_mut(id).pending = false;
            self.pending.retain(|p| *p != id);
        }
        let job = self.jobs.get_mut(id);
        let Some(slot) = job.slot.take() else {
            return;
        };
        let boxes = std::mem::take(&mut job.boxes);
        let need = need(job);
        let s = &mut self.slots.list[slot];
        for b in boxes {
            s.boxes[b].left = s.boxes[b].left.plus(need);
        }
        s.jobs.retain(|j| *j != id);
        if s.claim.is_none() {
            self.unlocate(slot);
            self.slots.list[slot].boxes.clear();
        }
        self.settle_slot(slot);
    }

    /// Ends the wait of a pending claim for resources.
    pub(crate) fn unawait(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id);
        let need = need(job);
        for worker in std::mem::take(&mut job.awaits) {
            let worker = &mut self.workers.list[worker];
            worker.awaited = worker.awaited.minus(need);
        }
    }
}
