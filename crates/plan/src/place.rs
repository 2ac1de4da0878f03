//! Choice of places on borrowed capacity.

use base::clock::Millis;
use schema::{job::StopMode, shape::Adjacency};

use crate::{
    amount::Amount,
    jobs::JobId,
    plan_cfg::Policy,
    record::Member,
    sites::{self, Prefer, Site},
    state::{Plan, Step},
    workers::{Worker, WorkerId},
};

/// Cost of covering the unclaimed part of a guarantee: a claim stops the job there.
const OVERLAY_COST: u32 = 1 << 16;
/// Cost of each free accelerator of the worker: full workers are filled first.
const FREE_COST: u32 = 1 << 8;
/// Highest cost of free accelerators elsewhere in the rack.
const RACK_COST: u32 = 1 << 7;
/// Highest cost of a different expected end.
const END_COST: u32 = 1 << 6;
/// Difference of expected ends at which the cost is highest.
const END_SPAN: Millis = Millis::from_secs(6 * 3_600);

impl Plan {
    /// Finds free resources for a job that can be stopped.
    pub(crate) fn find_borrowed(&self, step: &Step, id: JobId) -> Option<Vec<Member>> {
        let job = &self.jobs.get(id).rec.job;
        if job.stop == StopMode::Never {
            return None;
        }
        let prefer = match self.cfg.policy {
            Policy::FirstFit => Prefer::First,
            Policy::BestFit | Policy::Full => Prefer::Tightest,
        };
        let choose = |held_too: bool| {
            let sites = self.borrow_sites(step, id, held_too);
            sites::choose(&sites, job.shape.members, job.shape.adjacency, prefer)
        };
        // Urgent work waits for nobody: it uses held back workers where there are no others.
        let workers = choose(false).or_else(|| job.urgent.then(|| choose(true)).flatten())?;
        Some(self.members_at(id, &workers))
    }

    fn borrow_sites(&self, step: &Step, id: JobId, held_too: bool) -> Vec<Site> {
        let (need, members) = self.gang_of(id);
        let end = self.expected_end(step.now, id);
        let least = need.accelerators;
        let mut sites = Vec::new();
        let mut total = 0;
        for (worker, w) in self.workers.list.iter().enumerate() {
            let spare = w.spare();
            if spare.accelerators < least {
                continue;
            }
            let room = spare.count_of(need, members);
            if room == 0 || !w.is_open(step.now) || self.avoids(id, &w.info.name) {
                continue;
            }
            if !held_too && Self::is_held_back(w, id, end) {
                continue;
            }
            total += u32::from(room);
            sites.push(Site {
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
        for site in &mut sites {
            site.cost = self.site_cost(site.worker, need, end, racks[site.rack]);
        }
        sites
    }

    /// Whether the worker is held back for another job that is expected to start before `end`.
    fn is_held_back(worker: &Worker, id: JobId, end: Millis) -> bool {
        let for_other = worker.held_back.filter(|(job, _)| *job != id);
        for_other.is_some_and(|(_, start)| end > start)
    }

    fn site_cost(&self, worker: WorkerId, need: Amount, end: Millis, rack: u32) -> u32 {
        let w = &self.workers.list[worker];
        let free = w.free().accelerators * FREE_COST;
        if self.cfg.policy != Policy::Full {
            return free;
        }
        let unclaimed = w.reserved.minus(w.claimed);
        let covers = !need.fits_in(w.free().minus(unclaimed));
        let overlay = if covers { OVERLAY_COST } else { 0 };
        let difference = w.expected_end.0.abs_diff(end.0).min(END_SPAN.0);
        let ends = difference * u64::from(END_COST) / END_SPAN.0;
        overlay + free + rack + ends as u32
    }

    /// Cost of each rack: low for full racks.
    fn rack_costs(&self) -> Vec<u32> {
        let cost = |workers: &Vec<WorkerId>| {
            let sum = |amount: fn(&Worker) -> Amount| -> u32 {
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

    /// Workers of each domain within which a gang of this adjacency may stand.
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
