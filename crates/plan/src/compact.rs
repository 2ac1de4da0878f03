//! Moves of small borrowed jobs that make room for a starving gang.

use base::clock::Millis;
use schema::job::{Phase, StopMode};

use crate::{
    jobs::JobId,
    state::{Plan, Step},
    workers::WorkerId,
};

/// Expected waits below this are not worth a move.
const LEAST_WAIT: Millis = Millis::from_secs(30);
/// Jobs with less run time left are not moved.
const LEAST_LEFT: Millis = Millis::from_secs(60);
/// Largest gang that is moved, in accelerators.
const LARGEST_MOVED: u32 = 8;
/// Attempts after which a job is not moved any more.
const MOST_ATTEMPTS: u32 = 6;

/// Workers on which a gang can start after some jobs were moved.
struct Move {
    cost: u64,
    accelerators: u32,
    victims: Vec<JobId>,
    workers: Vec<WorkerId>,
}

impl Plan {
    /// Stops small jobs that can continue elsewhere at once, if that lets the gang start much
    /// earlier than `start`. Returns the workers that are held back for the gang.
    pub(crate) fn compact(
        &mut self,
        step: &mut Step,
        id: JobId,
        start: Millis,
    ) -> Option<Vec<WorkerId>> {
        let wait = start.since(step.now);
        if wait < LEAST_WAIT {
            return None;
        }
        let adjacency = self.jobs.get(id).rec.job.shape.adjacency;
        let domains = self.domains(adjacency);
        let moves = domains
            .iter()
            .filter_map(|d| self.find_move(step.now, id, d));
        let best = moves.min_by_key(|m| m.cost)?;
        let accelerators = u64::from(self.jobs.get(id).rec.job.shape.total_accelerators());
        let gain = (accelerators * wait.0 / 1_000) as f64 * self.weight();
        if best.victims.is_empty() || best.cost as f64 > gain || !self.fits_elsewhere(&best) {
            return None;
        }
        let reason = format!("moved for {}", self.jobs.get(id).rec.key());
        for victim in best.victims {
            self.stop(step, victim, &reason);
        }
        Some(best.workers)
    }

    /// Whether the moved jobs find as many accelerators on other workers.
    fn fits_elsewhere(&self, found: &Move) -> bool {
        let spare = |w: &WorkerId| self.workers.list[*w].spare().accelerators;
        let elsewhere = (0..self.workers.list.len())
            .filter(|w| self.workers.list[*w].is_sound() && !found.workers.contains(w));
        elsewhere.map(|w| spare(&w)).sum::<u32>() >= found.accelerators
    }

    /// Returns the cheapest moves that make room for the gang in one domain.
    fn find_move(&self, now: Millis, id: JobId, domain: &[WorkerId]) -> Option<Move> {
        let (_, members) = self.gang_of(id);
        let mut rooms: Vec<(Move, u16)> = domain
            .iter()
            .filter_map(|w| self.make_room(now, id, *w))
            .collect();
        rooms.sort_by_key(|(m, room)| m.cost / u64::from(*room));
        let mut left = members;
        let mut all = Move {
            cost: 0,
            accelerators: 0,
            victims: Vec::new(),
            workers: Vec::new(),
        };
        for (one, room) in rooms {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(room);
            all.cost += one.cost;
            all.accelerators += one.accelerators;
            all.victims.extend(one.victims);
            all.workers.extend(one.workers);
        }
        all.victims.sort_unstable();
        all.victims.dedup();
        (left == 0).then_some(all)
    }

    /// Returns the moves after which at least one member fits on the worker, and how many fit.
    fn make_room(&self, now: Millis, id: JobId, worker: WorkerId) -> Option<(Move, u16)> {
        let (need, members) = self.gang_of(id);
        let w = &self.workers.list[worker];
        let other = w.held_back.is_some_and(|(job, _)| job != id);
        if !w.is_open(now) || other {
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
            room = room.plus(self.share_on(victim, worker));
            found.cost += self.victim_cost(now, victim);
            found.accelerators += self.jobs.get(victim).rec.job.shape.total_accelerators();
            found.victims.push(victim);
        }
        Some((found, room.count_of(need, members)))
    }

    /// Whether a job loses little when it continues elsewhere.
    fn is_movable(&self, now: Millis, id: JobId) -> bool {
        let job = self.jobs.get(id);
        let rec = &job.rec;
        rec.phase == Phase::Running
            && job.slot.is_none()
            && !rec.job.urgent
            && rec.job.stop == StopMode::Checkpoint
            && rec.attempt < MOST_ATTEMPTS
            && rec.job.shape.total_accelerators() <= LARGEST_MOVED
            && self.expected_end(now, id).since(now) >= LEAST_LEFT
    }
}
