//! Compaction: moves small borrowed jobs to make room for a starving gang.

use base::clock::Millis;
use schema::job::{Phase, StopMode};

use crate::{
    jobs::JobId,
    state::{Plan, Step},
    workers::WorkerId,
};

/// Minimum expected wait of the gang for which moving jobs pays off.
const MIN_WAIT: Millis = Millis::from_secs(30);
/// Minimum remaining run time of a job that is moved.
const MIN_TIME_LEFT: Millis = Millis::from_secs(60);
/// Maximum size of a job that is moved, in accelerators.
const MAX_MOVED_ACCELERATORS: u32 = 8;
/// Number of attempts from which a job is not moved any more.
const MAX_ATTEMPTS: u32 = 6;

/// Workers on which a gang can start once the victims have moved.
struct Move {
    cost: u64,
    accelerators: u32,
    victims: Vec<JobId>,
    workers: Vec<WorkerId>,
}

impl Plan {
    /// Stops small jobs that can continue elsewhere at once, if the time gained for the gang is
    /// worth more than the work lost. `start` is the expected start of the gang without a move.
    /// Returns the workers to hold back for the gang.
    pub(crate) fn compact(
        &mut self,
        step: &mut Step,
        id: JobId,
        start: Millis,
    ) -> Option<Vec<WorkerId>> {
        let wait = start.since(step.now);
        if wait < MIN_WAIT {
            return None;
        }
        let adjacency = self.jobs.get(id).rec.job.shape.adjacency;
        let domains = self.domains(adjacency);
        let moves = domains
            .iter()
            .filter_map(|d| self.domain_move(step.now, id, d));
        let best = moves.min_by_key(|m| m.cost)?;
        let accelerators = u64::from(self.jobs.get(id).rec.job.shape.total_accelerators());
        let gain = (accelerators * wait.0 / 1_000) as f64 * self.fragmentation_weight();
        if best.victims.is_empty() || best.cost as f64 > gain || !self.fits_elsewhere(&best) {
            return None;
        }
        let reason = format!("moved for {}", self.jobs.get(id).rec.key());
        for victim in best.victims {
            self.stop(step, victim, &reason);
        }
        Some(best.workers)
    }

    /// Returns whether the other workers have enough spare accelerators for the moved jobs.
    fn fits_elsewhere(&self, found: &Move) -> bool {
        let spare = |w: &WorkerId| self.workers.list[*w].spare().accelerators;
        let elsewhere = (0..self.workers.list.len())
            .filter(|w| self.workers.list[*w].is_available() && !found.workers.contains(w));
        elsewhere.map(|w| spare(&w)).sum::<u32>() >= found.accelerators
    }

    /// Returns the cheapest move that makes room for the gang in one domain.
    fn domain_move(&self, now: Millis, id: JobId, domain: &[WorkerId]) -> Option<Move> {
        let (_, members) = self.gang_needs(id);
        let mut rooms: Vec<(Move, u16)> = domain
            .iter()
            .filter_map(|w| self.worker_move(now, id, *w))
            .collect();
        rooms.sort_by_key(|(m, room)| m.cost / u64::from(*room));
        let mut left = members;
        let mut total = Move {
            cost: 0,
            accelerators: 0,
            victims: Vec::new(),
            workers: Vec::new(),
        };
        for (part, room) in rooms {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(room);
            total.cost += part.cost;
            total.accelerators += part.accelerators;
            total.victims.extend(part.victims);
            total.workers.extend(part.workers);
        }
        total.victims.sort_unstable();
        total.victims.dedup();
        (left == 0).then_some(total)
    }

    /// Returns the move after which at least one member fits on the worker, and the number of
    /// members that then fit.
    fn worker_move(&self, now: Millis, id: JobId, worker: WorkerId) -> Option<(Move, u16)> {
        let (need, members) = self.gang_needs(id);
        let w = &self.workers.list[worker];
        let held_for_other = w.held_back.is_some_and(|(job, _)| job != id);
        if !w.is_schedulable(now) || held_for_other {
            return None;
        }
        let mut room = w.spare();
        let mut found = Move {
            cost: 0,
            accelerators: 0,
            victims: Vec::new(),
            workers: vec![worker],
        };
        let mut movable: Vec<JobId> = self.workers.jobs_on(worker);
        movable.retain(|v| self.is_movable(now, *v));
        movable.sort_by_key(|v| self.victim_cost(now, *v));
        let mut movable = movable.into_iter();
        while !need.fits_in(room) {
            let victim = movable.next()?;
            room = room.saturating_add(self.usage_on(victim, worker));
            found.cost += self.victim_cost(now, victim);
            found.accelerators += self.jobs.get(victim).rec.job.shape.total_accelerators();
            found.victims.push(victim);
        }
        Some((found, room.count_of(need, members)))
    }

    /// Returns whether a job loses little work when it continues elsewhere.
    fn is_movable(&self, now: Millis, id: JobId) -> bool {
        let job = self.jobs.get(id);
        let rec = &job.rec;
        rec.phase == Phase::Running
            && job.reservation.is_none()
            && !rec.job.urgent
            && rec.job.stop == StopMode::Checkpoint
            && rec.attempt < MAX_ATTEMPTS
            && rec.job.shape.total_accelerators() <= MAX_MOVED_ACCELERATORS
            && self.expected_end(now, id).since(now) >= MIN_TIME_LEFT
    }
}
