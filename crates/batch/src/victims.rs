//! Runs that may be stopped for urgent work, and what that would lose.

use base::clock::Millis;

use crate::{
    book::{Book, Job},
    job::{Need, TaskId},
    order::Unit,
    place::Pass,
    progress::RunState,
    rooms::Rooms,
};

/// Work that a stopped subtask loses although it saves its progress: the time since the last
/// checkpoint and the restore.
const CHECKPOINT_LOSS: Millis = Millis(1_600);
/// Added to the loss of urgent work, so that it is stopped only where nothing else makes room.
const URGENT_LOSS: u64 = 1 << 40;
/// A claim of a guarantee waits this long before it stops urgent work of an organisation that uses
/// more than its guarantee: that work usually ends within seconds.
const STOP_URGENT_AFTER: Millis = Millis(900);
/// A stop of work of priority 0 or 1 counts this many times its loss: such work is worth about
/// twice as much for the same use of workers, and waits for room on several workers again.
const HIGH_PRIORITY_FACTOR: u64 = 5;

/// A run that may be stopped, with all that ends with it.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    /// Its subtasks.
    pub(crate) tasks: Vec<TaskId>,
    /// What becomes free, by room.
    pub(crate) frees: Vec<(usize, Need)>,
    /// Lost work in core milliseconds.
    pub(crate) loss: u64,
    /// Whether a unit of this pass has it stopped already.
    pub(crate) chosen: bool,
    priority: u32,
    /// Whether its organisation uses no more than its guarantee.
    within_guarantee: bool,
}

impl Victim {
    /// Returns whether it may be stopped for the unit.
    pub(crate) fn may_stop_for(&self, unit: &Unit) -> bool {
        let claims = unit.guaranteed && unit.waited >= STOP_URGENT_AFTER;
        !self.chosen && (self.priority > unit.priority || (claims && !self.within_guarantee))
    }
}

/// All runs that may be stopped, and which of them are in each room.
#[derive(Clone, Debug, Default)]
pub(crate) struct Victims {
    pub(crate) all: Vec<Victim>,
    /// Indices of the victims in each room, the smallest loss first.
    pub(crate) by_room: Vec<Vec<usize>>,
}

impl Book {
    /// Returns the runs that may be stopped in a pass.
    pub(crate) fn victims(&self, pass: &Pass) -> Victims {
        let mut victims = Victims {
            all: Vec::new(),
            by_room: vec![Vec::new(); pass.rooms.rooms.len()],
        };
        for job in self.jobs.values() {
            let queue = self.rules.queue(&job.rec.queue);
            let priority = queue.map_or(u32::MAX, |q| q.priority);
            let org = job.rec.organisation.as_ref();
            let within = org.is_some_and(|o| pass.claims.binary_search(o).is_ok());
            if priority == 0 && within {
                continue;
            }
            for members in job.stoppable() {
                let mut victim = Victim {
                    tasks: members,
                    frees: Vec::new(),
                    loss: 0,
                    chosen: false,
                    priority,
                    within_guarantee: within,
                };
                job.weigh(&mut victim, &pass.rooms, pass.now);
                victims.add(victim);
            }
        }
        for room in &mut victims.by_room {
            room.sort_by_key(|v| victims.all[*v].loss);
        }
        victims
    }
}

impl Victims {
    fn add(&mut self, victim: Victim) {
        let index = self.all.len();
        for (room, _) in &victim.frees {
            if self.by_room[*room].last() != Some(&index) {
                self.by_room[*room].push(index);
            }
        }
        self.all.push(victim);
    }
}

impl Job {
    /// Returns the runs that may be stopped: the members of a gang together, others alone.
    fn stoppable(&self) -> Vec<Vec<TaskId>> {
        let mut units: Vec<Vec<TaskId>> = Vec::new();
        for (id, run) in self.runs() {
            let step = self.step(&id);
            if step.endless || run.state == RunState::Stopping {
                continue;
            }
            // Runs come in order, so the members of a gang follow one another.
            let same = |unit: &&mut Vec<TaskId>| {
                let first = &unit[0];
                step.gang && first.occurrence == id.occurrence && first.step == id.step
            };
            match units.last_mut().filter(same) {
                Some(unit) => unit.push(id),
                None => units.push(vec![id]),
            }
        }
        units
    }

    /// Sets what is lost and what becomes free.
    fn weigh(&self, victim: &mut Victim, rooms: &Rooms, now: Millis) {
        let factor = match victim.priority {
            0 | 1 => HIGH_PRIORITY_FACTOR,
            _ => 1,
        };
        for id in &victim.tasks {
            let Some(run) = self.task(id).and_then(|t| t.run.as_ref()) else {
                continue;
            };
            let step = self.step(id);
            let mut lost = now.since(run.placed);
            if step.checkpoints {
                lost = lost.min(CHECKPOINT_LOSS);
            }
            victim.loss += step.need.weight() * factor * lost.0 / 1_000;
            if victim.priority == 0 {
                victim.loss += URGENT_LOSS;
            }
            if let Some(room) = rooms.of(&run.worker) {
                victim.frees.push((room, step.reserved()));
            }
        }
        victim.frees.sort_by_key(|(room, _)| *room);
    }
}
