//! Placement of jobs on borrowed capacity.

use base::clock::Millis;
use schema::{job::StopMode, shape::Adjacency};

use crate::{
    candidates::{self, Candidate, Preference},
    jobs::JobId,
    plan_cfg::Policy,
    record::Member,
    resources::Resources,
    state::{Plan, Step},
    workers::{Worker, WorkerId},
};

/// Cost of using capacity that is reserved for an unclaimed guarantee, where a claim would stop the
/// job.
const RESERVED_COST: u32 = 1 << 16;
/// Cost of each free accelerator of the worker, so that nearly full workers are filled first.
const FREE_COST: u32 = 1 << 8;
/// Highest cost of free accelerators elsewhere in the rack, so that nearly full racks are filled
/// first.
const RACK_COST: u32 = 1 << 7;
/// Highest cost of the difference between the expected ends of the job and of the other jobs on the
/// worker.
const END_COST: u32 = 1 << 6;
/// Difference between expected ends at which `END_COST` is reached.
const END_COST_SPAN: Millis = Millis::from_secs(6 * 3_600);

impl Plan {
    /// Finds free resources for a job that may run on borrowed capacity, which is any job that can
    /// be stopped.
    pub(crate) fn find_borrowed(&self, step: &Step, id: JobId) -> Option<Vec<Member>> {
        let job = &self.jobs.get(id).rec.job;
        if job.stop == StopMode::Never {
            return None;
        }
        let preference = match self.cfg.policy {
            Policy::FirstFit => Preference::First,
            Policy::BestFit | Policy::Full => Preference::Tightest,
        };
        let choose = |include_held_back: bool| {
            let candidates = self.borrow_candidates(step, id, include_held_back);
            candidates::choose(
                &candidates,
                job.shape.members,
                job.shape.adjacency,
                preference,
            )
        };
        // Urgent jobs may use workers held back for other gangs if nothing else fits.
        let workers = choose(false).or_else(|| job.urgent.then(|| choose(true)).flatten())?;
        Some(self.pick_members(id, &workers))
    }

    fn borrow_candidates(&self, step: &Step, id: JobId, include_held_back: bool) -> Vec<Candidate> {
        let (need, members) = self.gang_needs(id);
        let end = self.expected_end(step.now, id);
        let min_accelerators = need.accelerators;
        let mut candidates = Vec::new();
        let mut total = 0;
        for (worker, w) in self.workers.list.iter().enumerate() {
            let spare = w.spare();
            if spare.accelerators < min_accelerators {
                continue;
            }
            let room = spare.count_of(need, members);
            if room == 0 || !w.is_schedulable(step.now) || self.avoids(id, &w.info.name) {
                continue;
            }
            if !include_held_back && Self::is_held_back(w, id, end) {
                continue;
            }
            total += u32::from(room);
            candidates.push(Candidate {
                worker,
                rack: w.rack,
                data_centre: self.workers.data_centre_of(worker),
                room,
                cost: 0,
            });
        }
        if total < u32::from(members) {
            return Vec::new();
        }
        let racks = self.rack_costs();
        for candidate in &mut candidates {
            candidate.cost =
                self.candidate_cost(candidate.worker, need, end, racks[candidate.rack]);
        }
        candidates
    }

    /// Returns whether the worker is held back for another gang that is expected to start before
    /// `end`.
    fn is_held_back(worker: &Worker, id: JobId, end: Millis) -> bool {
        let for_other = worker.held_back.filter(|(job, _)| *job != id);
        for_other.is_some_and(|(_, start)| end > start)
    }

    fn candidate_cost(&self, worker: WorkerId, need: Resources, end: Millis, rack: u32) -> u32 {
        let w = &self.workers.list[worker];
        let free = w.free().accelerators * FREE_COST;
        if self.cfg.policy != Policy::Full {
            return free;
        }
        let unclaimed = w.reserved.saturating_sub(w.claimed);
        let needs_reserved = !need.fits_in(w.free().saturating_sub(unclaimed));
        let reserved_cost = if needs_reserved { RESERVED_COST } else { 0 };
        let difference = w.expected_end.0.abs_diff(end.0).min(END_COST_SPAN.0);
        let end_cost = difference * u64::from(END_COST) / END_COST_SPAN.0;
        reserved_cost + free + rack + end_cost as u32
    }

    /// Returns the cost of each rack; the fuller the rack, the lower its cost.
    fn rack_costs(&self) -> Vec<u32> {
        let cost = |workers: &Vec<WorkerId>| {
            let sum = |amount: fn(&Worker) -> Resources| -> u32 {
                let of = |w: &WorkerId| amount(&self.workers.list[*w]).accelerators;
                workers.iter().map(of).sum()
            };
            sum(Worker::free) * RACK_COST / sum(Worker::capacity).max(1)
        };
        self.workers
            .racks
            .iter()
            .map(|r| cost(&r.workers))
            .collect()
    }

    /// Returns the workers of each topology domain (worker, rack or data centre) that satisfies the
    /// adjacency.
    pub(crate) fn domains(&self, adjacency: Adjacency) -> Vec<Vec<WorkerId>> {
        let racks = &self.workers.racks;
        match adjacency {
            Adjacency::Worker => (0..self.workers.list.len()).map(|w| vec![w]).collect(),
            Adjacency::Rack => racks.iter().map(|r| r.workers.clone()).collect(),
            Adjacency::DataCentre => {
                let count = racks.iter().map(|r| r.data_centre + 1).max().unwrap_or(0);
                let mut domains = vec![Vec::new(); count];
                for rack in racks {
                    domains[rack.data_centre].extend(&rack.workers);
                }
                domains
            }
        }
    }
}
