//! Location of the guaranteed gangs on workers.

use schema::{
    config::Config,
    job::{Phase, StopMode},
    shape::Adjacency,
};

use crate::{
    jobs::JobId,
    record::Claim,
    sites::{self, Prefer, Site},
    slots::{Slot, SlotId, Slots},
    state::{Plan, Step, need},
    workers::WorkerId,
};

impl Plan {
    /// Builds the slots of the configuration anew and gives active claims their slots back.
    ///
    /// A claim whose guarantee is gone turns into borrowed work, or keeps its capacity to its
    /// end if it can't be stopped.
    pub(crate) fn rebuild_slots(&mut self, step: &mut Step) {
        for id in std::mem::take(&mut self.pending) {
            self.unawait(id);
            self.jobs.get_mut(id).pending = false;
            self.queue_add(id);
        }
        for worker in &mut self.workers.list {
            worker.reserved = crate::amount::Amount::default();
            worker.claimed = crate::amount::Amount::default();
        }
        self.slots = slots_of(&self.config);
        let mut claims: Vec<JobId> = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            job.slot = None;
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
        self.slots.unsettled = true;
        self.locate_all();
    }

    /// Finds a slot for an active claim at the workers on which it runs.
    fn adopt(&mut self, step: &mut Step, id: JobId) {
        let rec = &self.jobs.get(id).rec;
        let own = rec.job.organisation.clone();
        let first = rec.claim;
        let mut slots: Vec<SlotId> = self.slots.of(&own).map(|(s, _)| s).collect();
        slots.sort_by_key(|s| self.slots.list[*s].claim != first);
        for slot in slots {
            if let Some(boxes) = self.adoptable(id, slot) {
                return self.adopt_into(step, id, slot, boxes);
            }
        }
        if self.jobs.get(id).rec.job.stop == StopMode::Never {
            let mut shape = self.jobs.get(id).rec.job.shape;
            shape.memory_mb = self.jobs.get(id).charged_mb();
            self.slots.list.push(Slot::new(own, None, shape));
            let boxes = (0..shape.members.into()).collect();
            return self.adopt_into(step, id, self.slots.list.len() - 1, boxes);
        }
        let rec = &mut self.jobs.get_mut(id).rec;
        rec.claim = None;
        rec.borrowed = true;
        step.changed.push(id);
    }

    /// Returns the boxes in which the members of an active claim already stand.
    fn adoptable(&self, id: JobId, slot: SlotId) -> Option<Vec<usize>> {
        let job = self.jobs.get(id);
        let need = need(job);
        let slot = &self.slots.list[slot];
        let mut left: Vec<_> = slot.boxes.clone();
        let mut chosen = Vec::new();
        for member in &job.rec.members {
            let worker = self.workers.find(&member.worker)?;
            let fits = |b: &crate::slots::SlotBox, at| b.worker == at && need.fits_in(b.left);
            let found = left
                .iter()
                .position(|b| fits(b, Some(worker)))
                .or_else(|| left.iter().position(|b| fits(b, None)))?;
            left[found].worker = Some(worker);
            left[found].left = left[found].left.minus(need);
            chosen.push(found);
        }
        let located: Vec<WorkerId> = left.iter().filter_map(|b| b.worker).collect();
        self.are_adjacent(&located, slot.shape.adjacency)
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

    fn adopt_into(&mut self, step: &mut Step, id: JobId, slot: SlotId, boxes: Vec<usize>) {
        let members = self.jobs.get(id).rec.members.clone();
        for (b, member) in boxes.iter().zip(&members) {
            let worker = self.workers.find_or_absent(&member.worker);
            self.put_box(slot, *b, Some(worker));
        }
        self.attach(id, slot, boxes);
        let claim = self.slots.list[slot].claim;
        let rec = &mut self.jobs.get_mut(id).rec;
        if rec.claim != claim {
            rec.claim = claim;
            step.changed.push(id);
        }
        self.count_claim(id, true);
    }

    /// Moves a box to a worker, or takes it off its worker.
    pub(crate) fn put_box(&mut self, slot: SlotId, i: usize, worker: Option<WorkerId>) {
        let need = self.slots.list[slot].need();
        let b = &mut self.slots.list[slot].boxes[i];
        if let Some(old) = std::mem::replace(&mut b.worker, worker) {
            let old = &mut self.workers.list[old];
            old.reserved = old.reserved.minus(need);
        }
        if let Some(new) = worker {
            let new = &mut self.workers.list[new];
            new.reserved = new.reserved.plus(need);
        }
    }

    /// Locates the boxes that have no worker, if something changed since the last try.
    pub(crate) fn locate_all(&mut self) {
        if !std::mem::take(&mut self.slots.unsettled) {
            return;
        }
        let mut missing: Vec<SlotId> = (0..self.slots.list.len())
            .filter(|s| !self.slots.list[*s].is_located())
            .collect();
        missing.sort_by_key(|s| self.size_rank(*s));
        let failed = missing.into_iter().filter(|s| !self.locate(*s)).count();
        if failed > 0 {
            self.repack();
        }
    }

    fn size_rank(&self, slot: SlotId) -> impl Ord + use<> {
        let slot = &self.slots.list[slot];
        let total = std::cmp::Reverse(slot.shape.total_accelerators());
        (slot.is_empty(), slot.shape.adjacency, total)
    }

    /// Locates the missing boxes of a slot; boxes with claims stay where they are.
    fn locate(&mut self, slot: SlotId) -> bool {
        if self.slots.list[slot].is_empty() {
            self.unlocate(slot);
        }
        let s = &self.slots.list[slot];
        let missing: Vec<usize> = (0..s.boxes.len())
            .filter(|i| s.boxes[*i].worker.is_none())
            .collect();
        let sites = self.reserve_sites(slot);
        let count = missing.len() as u16;
        let Some(workers) = sites::choose(&sites, count, s.shape.adjacency, Prefer::Tightest)
        else {
            return missing.is_empty();
        };
        for (i, worker) in missing.into_iter().zip(workers) {
            self.put_box(slot, i, Some(worker));
        }
        true
    }

    /// Takes all boxes of a slot off their workers.
    pub(crate) fn unlocate(&mut self, slot: SlotId) {
        for i in 0..self.slots.list[slot].boxes.len() {
            self.put_box(slot, i, None);
        }
    }

    /// Workers with room to set boxes of the slot aside, in the domain of its located boxes.
    fn reserve_sites(&self, slot: SlotId) -> Vec<Site> {
        let s = &self.slots.list[slot];
        let located = s.boxes.iter().find_map(|b| b.worker);
        // The rack of a worker that was not reported since the restore is not known.
        if located.is_some_and(|l| self.workers.list[l].info.accelerators == 0) {
            return Vec::new();
        }
        let near =
            |w: WorkerId| located.is_none_or(|l| self.are_adjacent(&[l, w], s.shape.adjacency));
        (0..self.workers.list.len())
            .filter(|w| self.workers.list[*w].is_sound() && near(*w))
            .map(|w| self.reserve_site(w, slot))
            .collect()
    }

    pub(crate) fn reserve_site(&self, worker: WorkerId, slot: SlotId) -> Site {
        let w = &self.workers.list[worker];
        let room = w.capacity().minus(w.reserved);
        let shape = &self.slots.list[slot].shape;
        Site {
            worker,
            rack: w.rack,
            data_centre: self.workers.data_centre_of(worker),
            room: room.count_of(self.slots.list[slot].need(), shape.members),
            cost: room.accelerators,
        }
    }

    /// Locates all unclaimed slots anew; keeps the old locations unless more slots fit.
    fn repack(&mut self) {
        let old: Vec<Vec<Option<WorkerId>>> = self
            .slots
            .list
            .iter()
            .map(|s| s.boxes.iter().map(|b| b.worker).collect())
            .collect();
        let before = self.unlocated();
        let mut free: Vec<SlotId> = (0..old.len())
            .filter(|s| self.slots.list[*s].is_empty())
            .collect();
        for slot in &free {
            self.unlocate(*slot);
        }
        free.sort_by_key(|s| self.size_rank(*s));
        let is_partial = |s: &SlotId| {
            let s = &self.slots.list[*s];
            !s.is_empty() && !s.is_located()
        };
        let partial: Vec<SlotId> = (0..old.len()).filter(is_partial).collect();
        for slot in partial.iter().chain(&free) {
            self.locate(*slot);
        }
        if self.unlocated() < before {
            return;
        }
        for slot in &free {
            self.unlocate(*slot);
        }
        for slot in partial.into_iter().chain(free) {
            for (i, worker) in old[slot].iter().enumerate() {
                self.put_box(slot, i, *worker);
            }
        }
    }

    /// Number of guaranteed gangs for which no capacity is set aside at present.
    ///
    /// It is above zero only while the workers that are up can't hold all guarantees, or while
    /// the search does not find a packing.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// assert_eq!(Plan::new(PlanCfg::default()).unlocated(), 0);
    /// ```
    pub fn unlocated(&self) -> usize {
        self.slots.list.iter().filter(|s| !s.is_located()).count()
    }

    /// Takes the unclaimed boxes off a worker that takes no new work.
    pub(crate) fn worker_closed(&mut self, worker: WorkerId) {
        for slot in 0..self.slots.list.len() {
            let here = |b: &crate::slots::SlotBox| b.worker == Some(worker);
            if !self.slots.list[slot].boxes.iter().any(here) {
                continue;
            }
            self.settle_slot(slot);
        }
        self.slots.unsettled = true;
        self.capacity_changed();
    }

    /// Takes the unused boxes of a slot off workers that take no new work.
    pub(crate) fn settle_slot(&mut self, slot: SlotId) {
        let need = self.slots.list[slot].need();
        for i in 0..self.slots.list[slot].boxes.len() {
            let b = self.slots.list[slot].boxes[i];
            let closed = b.worker.is_some_and(|w| !self.workers.list[w].is_sound());
            if closed && b.left == need {
                self.put_box(slot, i, None);
                self.slots.unsettled = true;
            }
        }
    }

    /// Notes that a worker takes work again.
    pub(crate) fn worker_opened(&mut self) {
        self.slots.unsettled = true;
        self.capacity_changed();
    }

    /// Returns whether the job fits into a guaranteed gang of its organisation when that is
    /// unclaimed.
    pub(crate) fn fits_a_guarantee(&self, id: JobId) -> bool {
        let job = &self.jobs.get(id).rec.job;
        let need = crate::amount::Amount::of(&job.shape);
        let fits = |shape| {
            let slot = Slot::new(job.organisation.clone(), None, shape);
            let fit = slot.fit(need, job.shape.members, job.shape.adjacency);
            fit.is_some()
        };
        let organisation = self.config.organisations.get(&job.organisation);
        organisation.is_some_and(|o| o.guarantees.iter().any(|g| g.gangs > 0 && fits(g.shape)))
    }

    /// Adds the members of a running claim to the claimed part of their workers, or takes them
    /// off.
    pub(crate) fn count_claim(&mut self, id: JobId, add: bool) {
        let job = self.jobs.get(id);
        let need = need(job);
        let active = matches!(
            job.rec.phase,
            Phase::Holding | Phase::Running | Phase::Stopping
        );
        if !active || job.slot.is_none() {
            return;
        }
        for member in &job.rec.members {
            if let Some(w) = self.workers.find(&member.worker) {
                let worker = &mut self.workers.list[w];
                worker.claimed = if add {
                    worker.claimed.plus(need)
                } else {
                    worker.claimed.minus(need)
                };
            }
        }
    }
}

fn slots_of(config: &Config) -> Slots {
    let mut slots = Slots::default();
    for organisation in config.organisations.values() {
        for (guarantee, g) in organisation.guarantees.iter().enumerate() {
            for gang in 0..g.gangs {
                let claim = Claim {
                    guarantee: guarantee as u16,
                    gang,
                };
                let own = organisation.name.clone();
                slots.list.push(Slot::new(own, Some(claim), g.shape));
            }
        }
    }
    slots
}
