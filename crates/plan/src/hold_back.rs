//! Holds back workers for large gangs that wait too long.

use base::clock::Millis;
use schema::job::Phase;

use crate::{
    jobs::JobId,
    plan_cfg::Policy,
    resources::Resources,
    state::{Plan, Step},
    workers::WorkerId,
};

/// Number of racks per starving gang for which workers may be held back at the same time.
const RACKS_PER_HELD_BACK_GANG: usize = 4;
/// Number of accelerators from which a gang counts as large.
const LARGE_GANG: u32 = 8;

/// Number of gangs for which workers are chosen in one tick; each choice scans all running tasks.
const MAX_GANGS_PER_TICK: usize = 1;

/// Workers on which a gang can start, and the expected time.
struct EarliestStart {
    start: Millis,
    workers: Vec<WorkerId>,
}

impl Plan {
    /// Chooses the gangs for which workers are held back, and the workers.
    pub(crate) fn hold_back(&mut self, step: &mut Step) {
        if self.cfg.policy != Policy::Full {
            return;
        }
        let held: Vec<(JobId, WorkerId)> = self.held_back();
        let max = (self.workers.racks.len() / RACKS_PER_HELD_BACK_GANG).max(1);
        let starving = self.starving(step.now, max, &held);
        let changed = self.release_held_back(|job| !starving.contains(&job));
        let chosen = self.next_to_hold_back(&starving, &held);
        if changed || !chosen.is_empty() {
            self.capacity_changed();
        }
        for id in chosen {
            let current: Vec<WorkerId> = held.iter().filter(|h| h.0 == id).map(|h| h.1).collect();
            self.release_held_back(|job| job == id);
            self.hold_back_for(step, id, &current);
        }
    }

    /// Returns the gangs whose workers are chosen in this tick: first those without workers, then
    /// one of the others in round-robin order.
    fn next_to_hold_back(&mut self, starving: &[JobId], held: &[(JobId, WorkerId)]) -> Vec<JobId> {
        let (with_workers, mut chosen): (Vec<JobId>, Vec<JobId>) = starving
            .iter()
            .partition(|id| held.iter().any(|h| h.0 == **id));
        self.hold_back_turn += 1;
        if !with_workers.is_empty() {
            chosen.push(with_workers[self.hold_back_turn % with_workers.len()]);
        }
        chosen.truncate(MAX_GANGS_PER_TICK);
        chosen
    }

    fn release_held_back(&mut self, selects: impl Fn(JobId) -> bool) -> bool {
        let mut changed = false;
        for worker in &mut self.workers.list {
            if worker.held_back.is_some_and(|(job, _)| selects(job)) {
                worker.held_back = None;
                changed = true;
            }
        }
        changed
    }

    fn hold_back_for(&mut self, step: &mut Step, id: JobId, current: &[WorkerId]) {
        let Some(earliest) = self.choose_start(step.now, id, current) else {
            return;
        };
        let moved = self.compact(step, id, earliest.start);
        let start = moved.as_ref().map_or(earliest.start, |_| step.now);
        for worker in moved.unwrap_or(earliest.workers) {
            self.workers.list[worker].held_back = Some((id, start));
        }
    }

    fn held_back(&self) -> Vec<(JobId, WorkerId)> {
        let workers = self.workers.list.iter().enumerate();
        workers
            .filter_map(|(w, worker)| Some((worker.held_back?.0, w)))
            .collect()
    }

    /// Returns the large gangs that have waited beyond the limit, longest first. Gangs with workers
    /// held back already take precedence.
    fn starving(&self, now: Millis, max: usize, held: &[(JobId, WorkerId)]) -> Vec<JobId> {
        let limit = self.cfg.starve_after.0 as f64 * (1.0 - self.fragmentation_weight() * 0.9);
        let mut starving: Vec<(bool, Millis, JobId)> = Vec::new();
        for class in &self.queue.classes {
            let Some((at, id)) = class.jobs.first().copied() else {
                continue;
            };
            let large = self.jobs.get(id).rec.job.shape.total_accelerators() >= LARGE_GANG;
            let waited = now.since(at).0 as f64 >= limit;
            if large && waited && self.has_quota(id) {
                let new = !held.iter().any(|h| h.0 == id);
                starving.push((new, at, id));
            }
        }
        starving.sort_unstable();
        starving.into_iter().take(max).map(|s| s.2).collect()
    }

    /// Returns the workers of the domain in which the gang is expected to start first. Workers held
    /// back before are kept unless others are expected to be free in less than half the time.
    fn choose_start(&self, now: Millis, id: JobId, current: &[WorkerId]) -> Option<EarliestStart> {
        let (need, members) = self.gang_needs(id);
        let adjacency = self.jobs.get(id).rec.job.shape.adjacency;
        let mut best: Option<(u64, EarliestStart)> = None;
        for domain in self.domains(adjacency) {
            let Some(earliest) = self.earliest_start(now, &domain, need, members) else {
                continue;
            };
            let wait = earliest.start.since(now).0;
            let kept = current.iter().any(|w| domain.contains(w));
            let adjusted = if kept { wait / 2 } else { wait };
            if best.as_ref().is_none_or(|(b, _)| adjusted < *b) {
                best = Some((adjusted, earliest));
            }
        }
        best.map(|(_, earliest)| earliest)
    }

    fn earliest_start(
        &self,
        now: Millis,
        domain: &[WorkerId],
        need: Resources,
        members: u16,
    ) -> Option<EarliestStart> {
        let mut times: Vec<(Millis, WorkerId)> = Vec::new();
        for worker in domain {
            let w = &self.workers.list[*worker];
            if w.is_available() && w.held_back.is_none() {
                self.member_times(now, *worker, need, members, &mut times);
            }
        }
        if times.len() < usize::from(members) {
            return None;
        }
        times.sort_unstable();
        times.truncate(members.into());
        let start = times.last()?.0;
        let mut workers: Vec<WorkerId> = times.into_iter().map(|t| t.1).collect();
        workers.sort_unstable();
        workers.dedup();
        Some(EarliestStart { start, workers })
    }

    /// Adds the expected time at which each further member fits on the worker.
    fn member_times(
        &self,
        now: Millis,
        worker: WorkerId,
        need: Resources,
        members: u16,
        times: &mut Vec<(Millis, WorkerId)>,
    ) {
        let w = &self.workers.list[worker];
        let mut room = w.spare();
        let mut fitting = room.count_of(need, members);
        times.extend((0..fitting).map(|_| (now, worker)));
        let jobs = self.workers.jobs_on(worker);
        let mut ends: Vec<(Millis, JobId)> = jobs
            .into_iter()
            .map(|job| match self.jobs.get(job).rec.phase {
                Phase::Stopping => (now, job),
                _ => (self.expected_end(now, job), job),
            })
            .collect();
        ends.sort_unstable();
        for (end, job) in ends {
            let here = w.tasks.iter().filter(|t| **t == job).count() as u16;
            room = room.saturating_add(self.gang_needs(job).0.saturating_mul(here));
            let new_fitting = room.count_of(need, members);
            times.extend((fitting..new_fitting).map(|_| (end, worker)));
            fitting = new_fitting;
        }
    }
}
