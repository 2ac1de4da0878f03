//! Workers held back for gangs that wait too long.

use base::clock::Millis;
use schema::job::Phase;

use crate::{
    amount::Amount,
    jobs::JobId,
    plan_cfg::Policy,
    state::{Plan, Step},
    workers::WorkerId,
};

/// Racks for each starving gang that may have workers held back at the same time.
const RACKS_PER_GANG: usize = 4;
/// Accelerators from which a gang counts as large.
const LARGE: u32 = 8;

/// Gangs for which workers are chosen in one tick; each choice looks at all running tasks.
const CHOICES: usize = 1;

/// Workers on which a gang can start, and when.
struct Drain {
    start: Millis,
    workers: Vec<WorkerId>,
}

impl Plan {
    /// Chooses the gangs for which workers are held back, and these workers.
    pub(crate) fn hold_back(&mut self, step: &mut Step) {
        if self.cfg.policy != Policy::Full {
            return;
        }
        let held: Vec<(JobId, WorkerId)> = self.held_back();
        let most = (self.workers.racks.len() / RACKS_PER_GANG).max(1);
        let starving = self.starving(step.now, most, &held);
        let changed = self.release_held(|job| !starving.contains(&job));
        let chosen = self.next_to_hold(&starving, &held);
        if changed || !chosen.is_empty() {
            self.capacity_changed();
        }
        for id in chosen {
            let stay: Vec<WorkerId> = held.iter().filter(|h| h.0 == id).map(|h| h.1).collect();
            self.release_held(|job| job == id);
            self.hold_back_for(step, id, &stay);
        }
    }

    /// Returns the gangs whose workers are chosen in this tick: those without any first, then
    /// the others in turn.
    fn next_to_hold(&mut self, starving: &[JobId], held: &[(JobId, WorkerId)]) -> Vec<JobId> {
        let (old, mut chosen): (Vec<JobId>, Vec<JobId>) = starving
            .iter()
            .partition(|id| held.iter().any(|h| h.0 == **id));
        self.hold_turn += 1;
        if !old.is_empty() {
            chosen.push(old[self.hold_turn % old.len()]);
        }
        chosen.truncate(CHOICES);
        chosen
    }

    fn release_held(&mut self, which: impl Fn(JobId) -> bool) -> bool {
        let mut changed = false;
        for worker in &mut self.workers.list {
            if worker.held_back.is_some_and(|(job, _)| which(job)) {
                worker.held_back = None;
                changed = true;
            }
        }
        changed
    }

    fn hold_back_for(&mut self, step: &mut Step, id: JobId, stay: &[WorkerId]) {
        let Some(drain) = self.next_drain(step.now, id, stay) else {
            return;
        };
        let moved = self.compact(step, id, drain.start);
        let start = moved.as_ref().map_or(drain.start, |_| step.now);
        for worker in moved.unwrap_or(drain.workers) {
            self.workers.list[worker].held_back = Some((id, start));
        }
    }

    fn held_back(&self) -> Vec<(JobId, WorkerId)> {
        let workers = self.workers.list.iter().enumerate();
        workers
            .filter_map(|(w, worker)| Some((worker.held_back?.0, w)))
            .collect()
    }

    /// Returns the large gangs that waited longest beyond the limit; those that have workers
    /// held back already stay first.
    fn starving(&self, now: Millis, most: usize, held: &[(JobId, WorkerId)]) -> Vec<JobId> {
        let limit = self.cfg.starve_after.0 as f64 * (1.0 - self.weight() * 0.9);
        let mut starving: Vec<(bool, Millis, JobId)> = Vec::new();
        for class in &self.queue.classes {
            let Some((at, id)) = class.jobs.first().copied() else {
                continue;
            };
            let large = self.jobs.get(id).rec.job.shape.total_accelerators() >= LARGE;
            let waited = now.since(at).0 as f64 >= limit;
            if large && waited && self.has_quota(id) {
                let new = !held.iter().any(|h| h.0 == id);
                starving.push((new, at, id));
            }
        }
        starving.sort_unstable();
        starving.into_iter().take(most).map(|s| s.2).collect()
    }

    /// Returns the workers of one domain on which the gang can start first, as far as the
    /// expected ends tell. Workers held back before are kept unless others are much earlier.
    fn next_drain(&self, now: Millis, id: JobId, stay: &[WorkerId]) -> Option<Drain> {
        let (need, members) = self.gang_of(id);
        let adjacency = self.jobs.get(id).rec.job.shape.adjacency;
        let mut best: Option<(u64, Drain)> = None;
        for domain in self.domains(adjacency) {
            let Some(drain) = self.drain(now, &domain, need, members) else {
                continue;
            };
            let wait = drain.start.since(now).0;
            let kept = stay.iter().any(|w| domain.contains(w));
            let rated = if kept { wait / 2 } else { wait };
            if best.as_ref().is_none_or(|(b, _)| rated < *b) {
                best = Some((rated, drain));
            }
        }
        best.map(|(_, drain)| drain)
    }

    fn drain(&self, now: Millis, domain: &[WorkerId], need: Amount, members: u16) -> Option<Drain> {
        let mut times: Vec<(Millis, WorkerId)> = Vec::new();
        for worker in domain {
            let w = &self.workers.list[*worker];
            if w.is_sound() && w.held_back.is_none() {
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
        Some(Drain { start, workers })
    }

    /// Adds the expected times at which one more member fits on the worker.
    fn member_times(
        &self,
        now: Millis,
        worker: WorkerId,
        need: Amount,
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
            room = room.plus(self.gang_of(job).0.times(here));
            let now_fitting = room.count_of(need, members);
            times.extend((fitting..now_fitting).map(|_| (end, worker)));
            fitting = now_fitting;
        }
    }
}
