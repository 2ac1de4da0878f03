//! Where subtasks start.

use base::clock::Millis;

use crate::{
    book::Book,
    capacity::Worker,
    job::{Need, Step, TaskId, Text},
    order::Unit,
    progress::{Phase, Run, RunState},
};

/// Urgent work waits this long for a rack near its data or for one rack for all of a gang. It has
/// to begin within the reclaim bound (2.9 s at least) and may have to stop others first.
const URGENT_PATIENCE: Millis = Millis(1_500);
/// Urgent work waits this long for room before it stops others: urgent runs are short, and one of
/// them often ends in that time.
const PREEMPT_AFTER: Millis = Millis(100);
/// Other work waits this share of its estimate, in percent: elsewhere it takes a multiple of it.
const PATIENCE_PERCENT: u64 = 150;

/// Runs that are expected to end within this time count for gangs that wait. It is the length of a
/// typical deferrable run: what is kept is used within about one generation of runs.
const SOON: Millis = Millis(8_000);
/// Most gangs that keep room in one pass; each keeps accelerators unused until all are free.
const KEEPING_UNITS: usize = 10;
/// Waiting time from which the reason is logged.
const LONG_WAIT: Millis = Millis(3_000);
/// Time between two log lines about the same job.
const NOTE_EVERY: Millis = Millis(5_000);

/// Room on the workers during one pass.
#[derive(Clone, Debug)]
pub(crate) struct Rooms {
    pub(crate) rooms: Vec<Room>,
    /// Accelerators that deferrable work leaves free.
    pub(crate) reserve: u64,
    /// Units that wait and keep room in this pass.
    waiting: usize,
}

impl Rooms {
    /// Keeps empty workers for urgent work: it often needs all accelerators of several workers of
    /// one rack, and scattered free ones are of no use to it.
    fn protect(&mut self) {
        let mut empty: Vec<(usize, usize)> = Vec::new();
        for (i, room) in self.rooms.iter().enumerate() {
            let neighbours = self
                .rooms
                .iter()
                .filter(|r| r.rack == room.rack && r.is_empty());
            if room.is_empty() {
                empty.push((usize::MAX - neighbours.count(), i));
            }
        }
        empty.sort_by(|a, b| (a.0, &self.rooms[a.1].rack).cmp(&(b.0, &self.rooms[b.1].rack)));
        let mut kept = 0;
        for (_, i) in empty {
            if kept >= self.reserve {
                return;
            }
            self.rooms[i].protected = true;
            kept += self.rooms[i].capacity.accelerators;
        }
    }
}

/// Room on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    pub(crate) worker: Text,
    pub(crate) rack: Text,
    pub(crate) service: Text,
    /// What is free now and promised to nobody before in the queue.
    pub(crate) free: Need,
    /// What is free once the ordered stops have taken effect.
    pub(crate) later: Need,
    /// What is free once the runs that end soon have ended.
    pub(crate) soon: Need,
    /// What the worker has.
    pub(crate) capacity: Need,
    /// Whether it is kept for urgent work.
    pub(crate) protected: bool,
}

/// Which room a search counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum When {
    Now,
    AfterStops,
    Soon,
}

impl Room {
    pub(crate) fn at(&self, when: When) -> Need {
        match when {
            When::Now => self.free,
            When::AfterStops => self.later,
            When::Soon => self.soon,
        }
    }

    pub(crate) fn take(&mut self, need: Need) {
        self.free = self.free.minus(need);
        self.later = self.later.minus(need);
        self.soon = self.soon.minus(need);
    }

    fn is_empty(&self) -> bool {
        self.free == self.capacity
    }
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
        let units = self.units(wall);
        if units.is_empty() {
            return;
        }
        let mut rooms = self.rooms(now);
        rooms.reserve = self.reserve(now);
        rooms.protect();
        for unit in units {
            self.place_unit(&unit, &mut rooms, now, wall);
        }
    }

    fn place_unit(&mut self, unit: &Unit, rooms: &mut Rooms, now: Millis, wall: Millis) {
        let Some(job) = self.jobs.get(&unit.job) else {
            return;
        };
        let step = job.rec.spec.steps[unit.step].clone();
        let queue = self.rules.queue(&job.rec.queue);
        let service = queue.map_or(&job.rec.service, |q| &q.service).clone();
        let search = Search {
            book: self,
            unit,
            step: &step,
            service: &service,
        };
        let found = search.find(rooms, When::Now);
        for (id, room) in unit.tasks.iter().zip(&found) {
            let worker = rooms.rooms[*room].worker.clone();
            rooms.rooms[*room].take(step.reserved());
            self.start(id, worker, now, wall);
        }
        if found.len() == unit.tasks.len() {
            return;
        }
        self.note_waiting(unit, found.len(), rooms, now);
        if unit.priority != 0 {
            return self.keep_room(unit, &step, &service, rooms);
        }
        let may_stop = unit.waited >= PREEMPT_AFTER;
        let mut rest = unit.clone();
        rest.tasks.drain(..found.len());
        self.make_room(&rest, &step, &service, rooms, may_stop, now);
    }

    /// Keeps room for a gang that waits for runs that end soon. Without it, small work takes each
    /// accelerator that becomes free, and the room for a gang never comes together.
    fn keep_room(&self, unit: &Unit, step: &Step, service: &Text, rooms: &mut Rooms) {
        if !unit.whole || !unit.rank.is_in_time() || rooms.waiting >= KEEPING_UNITS {
            return;
        }
        let search = Search {
            book: self,
            unit,
            step,
            service,
        };
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

    pub(crate) fn rooms(&self, now: Millis) -> Rooms {
        let open = self.workers.iter().filter(|(_, w)| w.is_open(now));
        let room = |(id, w): (&Text, &Worker)| {
            let free = w.free();
            let (mut later, mut soon) = (free, free);
            for (task, need) in &w.runs {
                let run = self.task(task).and_then(|t| t.run.as_ref());
                let (Some(run), Some(step)) = (run, self.step_of(task)) else {
                    continue;
                };
                let stops = run.state == RunState::Stopping;
                if stops {
                    later.add(*need, 1);
                }
                if stops || (!step.endless && run.expected_left(step, now) <= SOON) {
                    soon.add(*need, 1);
                }
            }
            Room {
                worker: id.clone(),
                rack: w.rack().cloned().unwrap_or_default(),
                service: w
                    .info
                    .as_ref()
                    .map(|i| i.service.clone())
                    .unwrap_or_default(),
                free,
                later,
                soon,
                protected: false,
                capacity: w.info.as_ref().map(|i| i.capacity).unwrap_or_default(),
            }
        };
        Rooms {
            rooms: open.map(room).collect(),
            reserve: 0,
            waiting: 0,
        }
    }

    fn start(&mut self, id: &TaskId, worker: Text, now: Millis, wall: Millis) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
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
        let Some(w) = self.workers.get_mut(&worker) else {
            return;
        };
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
        let waited = wall.since(job.rec.at);
        log::info!(task:% = id, attempt, worker:%, waited_ms = waited.0; "batch: placed");
        self.dirty.push(id.job.clone());
        self.order_start(id, now);
    }
}

/// A search for room for one unit.
pub(crate) struct Search<'a> {
    pub(crate) book: &'a Book,
    pub(crate) unit: &'a Unit,
    pub(crate) step: &'a Step,
    pub(crate) service: &'a Text,
}

impl Search<'_> {
    /// Returns the index of a room for each subtask. A unit that is placed whole gets all or
    /// none; of others, as many as fit.
    pub(crate) fn find(&self, rooms: &Rooms, when: When) -> Vec<usize> {
        let usable = |i: &usize| self.is_usable(&rooms.rooms[*i]);
        let all: Vec<usize> = (0..rooms.rooms.len()).filter(usable).collect();
        let near = self.near(rooms, &all, when);
        if near.len() == self.unit.tasks.len()
            || !(self.may_spread() || self.must_spread(rooms, &all))
        {
            return near;
        }
        let spread = self.fill(rooms, &all, when);
        if spread.len() > near.len() {
            spread
        } else {
            near
        }
    }

    pub(crate) fn is_usable(&self, room: &Room) -> bool {
        let worker = self.book.workers.get(&room.worker);
        let label = self.step.label.as_deref();
        let fits = |l: &str| worker.is_some_and(|w| w.has_label(l));
        let is_kept = room.protected && self.unit.priority != 0;
        let disturbs = worker.is_some_and(|w| self.disturbs(w));
        !is_kept && !disturbs && room.service == *self.service && label.is_none_or(fits)
    }

    /// Returns whether the unit and a run on the worker would be work that fills and work with a
    /// response time to keep: the former slows the latter by amounts that change within seconds.
    fn disturbs(&self, worker: &Worker) -> bool {
        let steps = worker.runs.iter().filter_map(|(t, _)| self.book.step_of(t));
        let mut steps = steps.into_iter();
        match (self.step.fills, self.step.target.is_some()) {
            (true, _) => steps.any(|s| s.target.is_some()),
            (false, true) => steps.any(|s| s.fills),
            (false, false) => false,
        }
    }

    /// Returns whether the unit has waited long enough to run far from its data or on more racks.
    pub(crate) fn may_spread(&self) -> bool {
        let patience = match self.unit.priority {
            0 => URGENT_PATIENCE,
            _ => Millis(self.step.estimate.0 * PATIENCE_PERCENT / 100),
        };
        self.unit.waited >= patience
    }

    /// Returns whether a gang is wider than any rack, so that waiting for one is of no use.
    fn must_spread(&self, rooms: &Rooms, all: &[usize]) -> bool {
        if !(self.step.gang && self.step.same_rack) {
            return false;
        }
        let need = self.step.reserved();
        let most = match self.step.max_per_worker {
            0 => u64::MAX,
            most => most,
        };
        let mut racks: Vec<(&Text, u64)> = Vec::new();
        for room in all.iter().map(|i| &rooms.rooms[*i]) {
            let count = need.count_in(room.capacity).min(most);
            match racks.binary_search_by(|(rack, _)| (*rack).cmp(&room.rack)) {
                Ok(at) => racks[at].1 = racks[at].1.saturating_add(count),
                Err(at) => racks.insert(at, (&room.rack, count)),
            }
        }
        let wanted = self.unit.tasks.len() as u64;
        racks.iter().all(|(_, count)| *count < wanted)
    }

    /// Searches on the rack that is best for the unit; all racks if it has no preference.
    fn near(&self, rooms: &Rooms, all: &[usize], when: When) -> Vec<usize> {
        let on_rack = |rack: &Text| -> Vec<usize> {
            let here = all.iter().filter(|i| rooms.rooms[**i].rack == *rack);
            here.copied().collect()
        };
        if let Some(rack) = &self.step.data_rack {
            return self.fill(rooms, &on_rack(rack), when);
        }
        if !(self.step.gang && self.step.same_rack) {
            return self.fill(rooms, all, when);
        }
        let mut racks: Vec<&Text> = all.iter().map(|i| &rooms.rooms[*i].rack).collect();
        racks.sort();
        racks.dedup();
        let fitting = racks.into_iter().filter_map(|rack| {
            let here = on_rack(rack);
            let found = self.fill(rooms, &here, when);
            let free: u64 = here
                .iter()
                .map(|i| rooms.rooms[*i].at(when).accelerators)
                .sum();
            (found.len() == self.unit.tasks.len()).then_some((free, found))
        });
        // The fullest rack, so that the others stay free for large gangs.
        let best = fitting.min_by_key(|(free, _)| *free);
        best.map_or_else(Vec::new, |(_, found)| found)
    }

    /// Fills the fullest workers first.
    fn fill(&self, rooms: &Rooms, among: &[usize], when: When) -> Vec<usize> {
        let need = self.step.reserved();
        let wanted = self.unit.tasks.len();
        let mut fitting: Vec<(u64, usize, u64)> = Vec::new();
        for i in among {
            let room = &rooms.rooms[*i];
            let count = need.count_in(room.at(when)).min(self.limit(&room.worker));
            if count > 0 {
                fitting.push((room.at(when).share_of(room.capacity), *i, count));
            }
        }
        fitting.sort_by_key(|(free, ..)| *free);
        let mut found = Vec::with_capacity(wanted);
        for (_, i, count) in fitting {
            let rest = (wanted - found.len()) as u64;
            found.extend(std::iter::repeat_n(i, count.min(rest) as usize));
        }
        if self.unit.whole && found.len() < wanted {
            return Vec::new();
        }
        found
    }

    /// Returns how many more subtasks of the step may run on the worker.
    pub(crate) fn limit(&self, worker: &Text) -> u64 {
        if self.step.max_per_worker == 0 {
            return u64::MAX;
        }
        let same = |t: &TaskId| {
            let first = &self.unit.tasks[0];
            t.job == first.job && t.occurrence == first.occurrence && t.step == first.step
        };
        let runs = self.book.workers.get(worker).map(|w| &w.runs);
        let used = runs.into_iter().flatten().filter(|(t, _)| same(t)).count();
        self.step.max_per_worker.saturating_sub(used as u64)
    }
}
