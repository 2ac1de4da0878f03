//! Room for urgent work: what is stopped for it, with the least work lost.

use base::clock::Millis;

use crate::{
    book::Book,
    job::{Need, Step, TaskId, Text},
    order::Unit,
    place::{Rooms, Search, When},
    progress::RunState,
};

/// Work that a stopped subtask loses although it saves its progress: the time since the last
/// checkpoint and the restore.
const CHECKPOINT_LOSS: Millis = Millis(1_600);

/// Added to the loss of urgent work, so that it is stopped only where nothing else makes room.
const URGENT_LOSS: u64 = 1 << 40;
/// A claim of a guarantee waits this long before it stops urgent work of an organisation that uses
/// more than its guarantee: that work usually ends within seconds.
const STOP_URGENT_AFTER: Millis = Millis(900);

/// A run that may be stopped, with all that ends with it.
#[derive(Clone, Debug)]
struct Victim {
    tasks: Vec<(TaskId, usize, Need)>,
    /// Lost work in core milliseconds.
    loss: u64,
}

impl Book {
    /// Keeps room that becomes free for the unit, or stops other work to make it. `may_stop`
    /// tells whether the unit has waited long enough for that.
    pub(crate) fn make_room(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        rooms: &mut Rooms,
        may_stop: bool,
        now: Millis,
    ) {
        let search = Search {
            book: self,
            unit,
            step,
            service,
        };
        let mut found = search.find(rooms, When::AfterStops);
        let mut stops = Vec::new();
        if found.len() < unit.tasks.len() {
            let Some(plan) = search.stop_others(rooms, now) else {
                return;
            };
            (found, stops) = plan;
        }
        // A unit that waits keeps the room that it is going to use, so that nothing is started
        // there which would have to be stopped for it.
        for (id, room, need) in stops {
            rooms.rooms[room].later.add(need, 1);
            if may_stop {
                log::info!(task:% = id, for_job:% = unit.job; "batch: preempted");
                self.stop(&id, now);
            }
        }
        for room in found {
            rooms.rooms[room].take(step.reserved());
        }
    }

    /// Returns the runs that may be stopped for the unit, by what they lose.
    fn victims(&self, unit: &Unit, rooms: &Rooms, now: Millis) -> Vec<Victim> {
        let mut victims: Vec<Victim> = Vec::new();
        let mut taken: Vec<TaskId> = Vec::new();
        for room in &rooms.rooms {
            let Some(worker) = self.workers.get(&room.worker) else {
                continue;
            };
            for (task, _) in &worker.runs {
                if taken.contains(task) || !self.may_stop_for(task, unit) {
                    continue;
                }
                let gang = self.step_of(task).is_some_and(|s| s.gang);
                let members = self.members(task, gang);
                taken.extend(members.iter().cloned());
                victims.push(self.victim(&members, rooms, now));
            }
        }
        victims.sort_by_key(|v| v.loss);
        victims
    }

    fn may_stop_for(&self, task: &TaskId, unit: &Unit) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let state = job.task(task).and_then(|t| t.run.as_ref()).map(|r| r.state);
        if state.is_none_or(|s| s == RunState::Stopping) || job.step(task).endless {
            return false;
        }
        let priority = self
            .rules
            .queue(&job.rec.queue)
            .map_or(u32::MAX, |q| q.priority);
        let org = job.rec.organisation.as_deref();
        let within = org.is_some_and(|o| self.is_within_guarantee(o));
        let claims = unit.guaranteed && unit.waited >= STOP_URGENT_AFTER;
        priority > unit.priority || (claims && !within)
    }

    /// Work of a higher priority is worth about twice as much for the same use of workers.
    fn loss_factor(&self, task: &TaskId) -> u64 {
        let job = self.jobs.get(&task.job);
        let queue = job.and_then(|j| self.rules.queue(&j.rec.queue));
        match queue.map(|q| q.priority) {
            Some(0 | 1) => 2,
            _ => 1,
        }
    }

    fn is_urgent(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let queue = job.and_then(|j| self.rules.queue(&j.rec.queue));
        queue.is_some_and(|q| q.priority == 0)
    }

    fn victim(&self, members: &[TaskId], rooms: &Rooms, now: Millis) -> Victim {
        let mut victim = Victim {
            tasks: Vec::new(),
            loss: 0,
        };
        for id in members {
            let Some(run) = self.task(id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let Some(step) = self.step_of(id) else {
                continue;
            };
            let urgent = self.is_urgent(id);
            let mut lost = now.since(run.placed);
            if step.checkpoints {
                lost = lost.min(CHECKPOINT_LOSS);
            }
            let weight = step.need.weight() * self.loss_factor(id);
            victim.loss += weight * lost.0 / 1_000;
            if urgent {
                victim.loss += URGENT_LOSS;
            }
            let at = |r: &crate::place::Room| r.worker == run.worker;
            if let Some(room) = rooms.rooms.iter().position(at) {
                victim.tasks.push((id.clone(), room, step.reserved()));
            }
        }
        victim
    }
}

/// Rooms for the subtasks of a unit, and the runs to stop.
type Plan = (Vec<usize>, Vec<(TaskId, usize, Need)>);

impl Search<'_> {
    /// Adds the cheapest victims until the unit fits, then leaves out those it does not need.
    fn stop_others(&self, rooms: &Rooms, now: Millis) -> Option<Plan> {
        let usable = |v: &Victim| {
            v.tasks
                .iter()
                .any(|(_, r, _)| self.is_usable(&rooms.rooms[*r]))
        };
        let mut victims = self.book.victims(self.unit, rooms, now);
        victims.retain(usable);
        let mut trial = rooms.clone();
        let mut chosen: Vec<Victim> = Vec::new();
        let mut found = self.find(&trial, When::AfterStops);
        for victim in victims {
            if found.len() == self.unit.tasks.len() {
                break;
            }
            for (_, room, need) in &victim.tasks {
                trial.rooms[*room].later.add(*need, 1);
            }
            chosen.push(victim);
            found = self.find(&trial, When::AfterStops);
        }
        if found.len() < self.unit.tasks.len() && (self.unit.whole || found.is_empty()) {
            return None;
        }
        // The dearest first: a cheap victim that is not needed costs less than a dear one.
        for i in (0..chosen.len()).rev() {
            let mut without = trial.clone();
            for (_, room, need) in &chosen[i].tasks {
                let room = &mut without.rooms[*room];
                room.later = room.later.minus(*need);
            }
            let still = self.find(&without, When::AfterStops);
            if still.len() == found.len() {
                trial = without;
                found = still;
                chosen.remove(i);
            }
        }
        let stops = chosen.into_iter().flat_map(|v| v.tasks).collect();
        Some((found, stops))
    }
}
