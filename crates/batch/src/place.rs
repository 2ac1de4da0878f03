//! Where subtasks start.

use base::clock::Millis;

use crate::{
    book::Book,
    job::{Step, TaskId, Text},
    order::Unit,
    progress::{Phase, Run, RunState},
    rooms::{Rooms, When},
    victims::Victims,
};

/// Urgent work waits this long for room before it stops others: urgent runs are short, and one of
/// them often ends in that time.
const PREEMPT_AFTER: Millis = Millis(100);
/// Most gangs that keep room in one pass; each keeps accelerators unused until all are free.
const KEEPING_UNITS: usize = 10;
/// Waiting time from which the reason is logged.
const LONG_WAIT: Millis = Millis(3_000);
/// Time between two log lines about the same job.
const NOTE_EVERY: Millis = Millis(5_000);

/// What one pass knows.
pub(crate) struct Pass {
    pub(crate) rooms: Rooms,
    /// Organisations whose urgent work fits into their guarantee.
    pub(crate) claims: Vec<Text>,
    /// Runs that may be stopped; collected when the first unit needs them.
    pub(crate) victims: Option<Victims>,
    pub(crate) now: Millis,
}

impl Book {
    /// Starts what may start and fits, first come first. Work of priority 0 that does not fit
    /// stops others.
    ///
    /// ```
    /// use base::clock::Millis;
    /// batch::book::Book::default().place(Millis(1), Millis(1));
    /// ```
    pub fn place(&mut self, now: Millis, wall: Millis) {
        let claims = self.claims();
        let units = self.units(&claims, wall);
        if units.is_empty() {
            return;
        }
        let reserve = self.reserve(now);
        let mut pass = Pass {
            rooms: self.rooms(now),
            claims,
            victims: None,
            now,
        };
        pass.rooms.protect(reserve);
        for unit in units {
            self.place_unit(&unit, &mut pass, wall);
        }
    }

    fn place_unit(&mut self, unit: &Unit, pass: &mut Pass, wall: Millis) {
        let Some(job) = self.jobs.get(&unit.job) else {
            return;
        };
        let step = job.rec.spec.steps[unit.step].clone();
        let queue = self.rules.queue(&job.rec.queue);
        let service = queue.map_or(&job.rec.service, |q| &q.service).clone();
        let (rooms, now) = (&mut pass.rooms, pass.now);
        let search = self.search(unit, &step, &service, now);
        let found = search.find(rooms, When::Now);
        let mut placed = Vec::with_capacity(found.len());
        for (id, room) in unit.tasks.iter().zip(&found) {
            let worker = rooms.rooms[*room].worker.clone();
            rooms.rooms[*room].take(step.reserved());
            if let Some(attempt) = self.start(id, worker.clone(), now, wall) {
                placed.push(format!("{}#{attempt}@{worker}", id.index));
            }
        }
        if !placed.is_empty() {
            // One line for all: a line for each subtask of a wide step would fill the log.
            log::info!(
                job:% = unit.job, occurrence = unit.tasks[0].occurrence, step = unit.step,
                waited_ms = unit.waited.0, tasks = placed.join(" ");
                "batch: placed"
            );
        }
        if found.len() == unit.tasks.len() {
            return;
        }
        self.note_waiting(unit, found.len(), rooms, now);
        self.ask(unit, &step, &service, rooms, now);
        if unit.priority != 0 {
            return self.keep_room(unit, &step, &service, rooms, now);
        }
        let may_stop = unit.waited >= PREEMPT_AFTER;
        let mut rest = unit.clone();
        rest.tasks.drain(..found.len());
        self.make_room(&rest, &step, &service, pass, may_stop);
    }

    /// Keeps room for a gang that waits for runs that end soon. Without it, small work takes each
    /// accelerator that becomes free, and the room for a gang never comes together.
    fn keep_room(&self, unit: &Unit, step: &Step, service: &Text, rooms: &mut Rooms, now: Millis) {
        if !unit.whole || !unit.rank.is_in_time() || rooms.waiting >= KEEPING_UNITS {
            return;
        }
        let search = self.search(unit, step, service, now);
        let found = search.find(rooms, When::Soon);
        rooms.waiting += usize::from(!found.is_empty());
        for room in found {
            rooms.rooms[room].take(step.reserved());
        }
    }

    /// Logs now and then why a unit waits.
    fn note_waiting(&mut self, unit: &Unit, placed: usize, rooms: &Rooms, now: Millis) {
        if unit.waited < LONG_WAIT {
            return;
        }
        let Some(job) = self.jobs.get_mut(&unit.job) else {
            return;
        };
        if now.since(job.noted) < NOTE_EVERY {
            return;
        }
        job.noted = now;
        let free: u64 = rooms.rooms.iter().map(|r| r.free.accelerators).sum();
        let need = job.rec.spec.steps[unit.step].need;
        log::info!(
            job:% = unit.job, step = unit.step, tasks = unit.tasks.len(), placed, priority = unit.priority,
            accelerators = need.accelerators, waited_ms = unit.waited.0, free, reserve = rooms.reserve,
            workers = rooms.rooms.len();
            "batch: waits for room"
        );
    }

    /// Starts a subtask and returns the number of the start.
    fn start(&mut self, id: &TaskId, worker: Text, now: Millis, wall: Millis) -> Option<u32> {
        let job = self.jobs.get_mut(&id.job)?;
        let step = &job.rec.spec.steps[id.step];
        let need = step.reserved();
        let tasks = &mut job.progress.occurrences[id.occurrence as usize].steps[id.step];
        if step.gang && id.index == 0 {
            // All members carry the same number and the same checkpoint.
            let attempt = tasks.iter().map(|t| t.attempt).max().unwrap_or(0);
            let newest = tasks.iter().map(|t| &t.checkpoint).find(|c| !c.is_empty());
            let checkpoint = newest.cloned().unwrap_or_default();
            for task in tasks.iter_mut() {
                task.attempt = attempt;
                task.checkpoint = checkpoint.clone();
            }
        }
        let w = self.workers.get_mut(&worker)?;
        let task = &mut tasks[id.index];
        task.attempt += 1;
        let attempt = task.attempt;
        task.run = Some(Run {
            worker: worker.clone(),
            born: w.born,
            state: RunState::Ordered,
            placed: now,
            answered: None,
            ordered: now,
            percent: 0,
            unanswered: 0,
            listed: false,
        });
        w.add(id.clone(), need);
        if job.progress.phase == Phase::Queued {
            job.progress.phase = Phase::Running;
            job.progress.at = wall;
            let priority = self
                .rules
                .queue(&job.rec.queue)
                .map_or(u32::MAX, |q| q.priority);
            self.started.push((priority, wall.since(job.rec.at)));
        }
        self.dirty.push(id.job.clone());
        self.order_start(id, now);
        Some(attempt)
    }
}
