//! The search for room for one unit.

use base::clock::Millis;

use crate::{
    advice::{Advice, StepId},
    book::Book,
    job::{Step, TaskId, Text},
    order::Unit,
    rooms::{Request, Room, Rooms, When},
};

/// Urgent work waits this long for a rack near its data or for one rack for all of a gang. It has
/// to begin within the reclaim bound (2.9 s at least) and may have to stop others first.
const URGENT_PATIENCE: Millis = Millis(1_500);
/// Other work waits this share of its estimate, in percent: elsewhere it takes a multiple of it.
const PATIENCE_PERCENT: u64 = 150;

/// A search for room for one unit.
pub(crate) struct Search<'a> {
    pub(crate) book: &'a Book,
    pub(crate) unit: &'a Unit,
    pub(crate) step: &'a Step,
    pub(crate) service: &'a Text,
    /// The tickets of the step, where the queue needs them.
    pub(crate) tickets: Option<Tickets<'a>>,
}

/// Tickets of a step at a time; nothing is known before the first answer of the policy service.
#[derive(Clone, Copy)]
pub(crate) struct Tickets<'a> {
    pub(crate) known: Option<&'a Advice>,
    pub(crate) now: Millis,
}

impl Book {
    /// Returns a search for room for a unit.
    pub(crate) fn search<'a>(
        &'a self,
        unit: &'a Unit,
        step: &'a Step,
        service: &'a Text,
        now: Millis,
    ) -> Search<'a> {
        let tickets = self.is_advised(&unit.job).then(|| Tickets {
            known: self.advice.get(&StepId::from(&unit.tasks[0])),
            now,
        });
        Search {
            book: self,
            unit,
            step,
            service,
            tickets,
        }
    }
}

impl Search<'_> {
    /// Returns the index of a room for each subtask. A unit that is placed whole gets all or
    /// none; of others, as many as fit.
    pub(crate) fn find(&self, rooms: &mut Rooms, when: When) -> Vec<usize> {
        let wanted = self.unit.tasks.len();
        let anywhere = self.request(when, false);
        if rooms.has_failed(&anywhere) {
            return Vec::new();
        }
        let all = self.usable(rooms);
        let spreads = self.may_spread() || self.must_spread(rooms, &all);
        let one_rack = self.wants_one_rack() && !spreads;
        let req = Request {
            one_rack,
            ..anywhere
        };
        if one_rack && rooms.has_failed(&req) {
            return Vec::new();
        }
        let mut found = self.near(rooms, &all, when);
        if found.len() < wanted && spreads {
            let spread = self.fill(rooms, &all, when);
            if spread.len() > found.len() {
                found = spread;
            }
        }
        // A search on fewer workers than others may use says nothing about them.
        let is_plain = self.step.label.is_none()
            && self.step.data_rack.is_none()
            && self.step.max_per_worker == 0
            && !self.step.fills
            && self.step.target.is_none()
            && self.tickets.is_none();
        if found.is_empty() && is_plain {
            rooms.note_failed(req);
        }
        found
    }

    fn request(&self, when: When, one_rack: bool) -> Request {
        Request {
            when,
            service: self.service.clone(),
            need: self.step.reserved(),
            count: if self.unit.whole {
                self.unit.tasks.len()
            } else {
                1
            },
            one_rack,
            urgent: self.unit.priority == 0,
        }
    }

    fn wants_one_rack(&self) -> bool {
        self.step.gang && self.step.same_rack
    }

    /// Returns the rooms that the unit may use, whatever is free there.
    pub(crate) fn usable(&self, rooms: &Rooms) -> Vec<usize> {
        let all = 0..rooms.rooms.len();
        all.filter(|i| self.is_usable(&rooms.rooms[*i])).collect()
    }

    /// Returns the sets of rooms of which one has to hold the unit, out of the usable ones.
    pub(crate) fn sets(&self, rooms: &Rooms) -> Vec<Vec<usize>> {
        let all = self.usable(rooms);
        if self.may_spread() || self.must_spread(rooms, &all) {
            return vec![all];
        }
        self.near_sets(rooms, &all)
    }

    /// Returns the sets of rooms that are best for the unit, out of `all`: the rack of its data,
    /// each rack for a gang that wants one, else all.
    fn near_sets(&self, rooms: &Rooms, all: &[usize]) -> Vec<Vec<usize>> {
        let usable = |i: &usize| all.binary_search(i).is_ok();
        let of = |rack: &[usize]| rack.iter().copied().filter(usable).collect();
        match &self.step.data_rack {
            Some(rack) => vec![of(rooms.rack(rack))],
            None if self.wants_one_rack() => rooms.by_rack().iter().map(|r| of(r)).collect(),
            None => vec![all.to_vec()],
        }
    }

    fn is_usable(&self, room: &Room) -> bool {
        if (room.protected && self.unit.priority != 0) || self.disturbs(room) {
            return false;
        }
        let has_label = |label: &Text| {
            let worker = self.book.workers.get(&room.worker);
            worker.is_some_and(|w| w.has_label(label))
        };
        room.service == *self.service
            && self.tickets.is_none_or(|t| self.has_ticket(t, room))
            && self.step.label.as_ref().is_none_or(has_label)
    }

    fn has_ticket(&self, tickets: Tickets, room: &Room) -> bool {
        let born = self.book.workers.get(&room.worker).map(|w| w.born);
        let (Some(known), Some(born)) = (tickets.known, born) else {
            return false;
        };
        known.ticket(&room.worker, born, tickets.now).is_some()
    }

    /// Returns whether the unit and a run on the worker would be work that fills and work with a
    /// response time to keep: the former slows the latter by amounts that change within seconds.
    fn disturbs(&self, room: &Room) -> bool {
        match (self.step.fills, self.step.target.is_some()) {
            (true, _) => room.serves,
            (false, true) => room.filled,
            (false, false) => false,
        }
    }

    /// Returns whether the unit has waited long enough to run far from its data or on more racks.
    fn may_spread(&self) -> bool {
        let patience = match self.unit.priority {
            0 => URGENT_PATIENCE,
            _ => Millis(self.step.estimate.0 * PATIENCE_PERCENT / 100),
        };
        self.unit.waited >= patience
    }

    /// Returns whether a gang is wider than any rack, so that waiting for one is of no use.
    fn must_spread(&self, rooms: &Rooms, all: &[usize]) -> bool {
        if !self.wants_one_rack() {
            return false;
        }
        let need = self.step.reserved();
        let most = match self.step.max_per_worker {
            0 => u64::MAX,
            most => most,
        };
        let mut racks = vec![0_u64; rooms.by_rack().len()];
        for room in all.iter().map(|i| &rooms.rooms[*i]) {
            let count = need.count_in(room.capacity).min(most);
            racks[room.rack] = racks[room.rack].saturating_add(count);
        }
        let wanted = self.unit.tasks.len() as u64;
        racks.iter().all(|count| *count < wanted)
    }

    /// Searches on the rack that is best for the unit; all racks if it has no preference.
    fn near(&self, rooms: &Rooms, all: &[usize], when: When) -> Vec<usize> {
        let sets = self.near_sets(rooms, all);
        if let [set] = &sets[..] {
            return self.fill(rooms, set, when);
        }
        let fitting = sets.iter().filter_map(|set| {
            let found = self.fill(rooms, set, when);
            let free = set.iter().map(|i| rooms.rooms[*i].at(when).accelerators);
            let free: u64 = free.sum();
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
            let count = need.count_in(room.at(when));
            let count = if count > 0 {
                count.min(self.limit(&room.worker))
            } else {
                0
            };
            if count > 0 {
                fitting.push((room.at(when).share_of(room.capacity), *i, count));
            }
        }
        let total = fitting.iter().map(|(.., n)| (*n).min(wanted as u64));
        if self.unit.whole && total.sum::<u64>() < wanted as u64 {
            return Vec::new();
        }
        fitting.sort_by_key(|(free, ..)| *free);
        let mut found = Vec::with_capacity(wanted);
        for (_, i, count) in fitting {
            let rest = (wanted - found.len()) as u64;
            found.extend(std::iter::repeat_n(i, count.min(rest) as usize));
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
