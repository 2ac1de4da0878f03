//! Room for urgent work: what is stopped for it, with the least work lost.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{
    book::Book,
    job::{Need, Step, Text},
    order::Unit,
    place::Pass,
    rooms::{Rooms, When},
    search::Search,
    victims::{Victim, Victims},
};

impl Book {
    /// Keeps room that becomes free for the unit, or stops other work to make it. `may_stop`
    /// tells whether the unit has waited long enough for that.
    pub(crate) fn make_room(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        pass: &mut Pass,
        may_stop: bool,
    ) {
        let search = self.search(unit, step, service, pass.now);
        let mut found = search.find(&mut pass.rooms, When::AfterStops);
        let mut stops = Vec::new();
        if found.len() < unit.tasks.len() {
            let mut victims = match pass.victims.take() {
                Some(victims) => victims,
                None => self.victims(pass),
            };
            let plan = search.stop_others(&pass.rooms, &victims);
            for index in plan.iter().flat_map(|p| &p.stops) {
                let victim = &mut victims.all[*index];
                victim.chosen = true;
                stops.push(victim.clone());
            }
            pass.victims = Some(victims);
            let Some(plan) = plan else {
                return;
            };
            found = plan.rooms;
            pass.rooms.note_stops();
        }
        // A unit that waits keeps the room that it is going to use, so that nothing is started
        // there which would have to be stopped for it.
        for victim in stops {
            for (room, need) in victim.frees {
                pass.rooms.rooms[room].later.add(need, 1);
            }
            if may_stop {
                let tasks = victim.tasks.len();
                log::info!(task:% = victim.tasks[0], tasks, loss = victim.loss, for_job:% = unit.job; "batch: preempted");
                for id in &victim.tasks {
                    self.stop(id, pass.now);
                }
            }
        }
        for room in found {
            pass.rooms.rooms[room].take(step.reserved());
        }
    }
}

/// Rooms for the subtasks of a unit, and the runs to stop.
#[derive(Debug, Default)]
struct Plan {
    rooms: Vec<usize>,
    /// Indices of victims.
    stops: Vec<usize>,
    loss: u64,
}

/// Victims of one room that together make room for more subtasks there.
#[derive(Debug)]
struct Offer {
    room: usize,
    gained: u64,
    /// Indices of victims.
    stops: Vec<usize>,
    loss: u64,
}

impl Search<'_> {
    /// Returns the plan that loses least; none if no stops make enough room.
    fn stop_others(&self, rooms: &Rooms, victims: &Victims) -> Option<Plan> {
        let sets = self.sets(rooms);
        let plans = sets.iter().filter_map(|set| self.plan(rooms, victims, set));
        let missing = |p: &Plan| self.unit.tasks.len() - p.rooms.len();
        plans.min_by_key(|p| (missing(p), p.loss))
    }

    /// Takes the cheapest offers of the rooms of one set until the unit fits, then leaves out the
    /// stops that it does not need.
    fn plan(&self, rooms: &Rooms, victims: &Victims, set: &[usize]) -> Option<Plan> {
        let wanted = self.unit.tasks.len() as u64;
        let mut fits: Vec<(usize, u64)> = Vec::new();
        let mut total = 0;
        for room in set {
            let count = self.count(rooms, *room, Need::default()).min(wanted);
            if count > 0 {
                fits.push((*room, count));
            }
            total += count;
        }
        let mut plan = Plan::default();
        let mut offers: Vec<Offer> = Vec::new();
        if total < wanted {
            for room in set {
                self.offers(rooms, victims, *room, &mut offers);
            }
        }
        // Offers of one room build on each other, so each enters once the one before is taken.
        let price = |i: usize| Reverse((offers[i].loss / offers[i].gained, i));
        let is_first = |i: &usize| *i == 0 || offers[*i - 1].room != offers[*i].room;
        let firsts = (0..offers.len()).filter(is_first);
        let mut heap: BinaryHeap<_> = firsts.map(price).collect();
        while total < wanted {
            let Some(Reverse((_, i))) = heap.pop() else {
                break;
            };
            let offer = &offers[i];
            total += offer.gained;
            match fits.binary_search_by_key(&offer.room, |(room, _)| *room) {
                Ok(at) => fits[at].1 += offer.gained,
                Err(at) => fits.insert(at, (offer.room, offer.gained)),
            }
            let new = offer.stops.iter().filter(|v| !plan.stops.contains(v));
            let new: Vec<usize> = new.copied().collect();
            plan.stops.extend(new);
            if offers.get(i + 1).is_some_and(|o| o.room == offer.room) {
                heap.push(price(i + 1));
            }
        }
        if total == 0 || (self.unit.whole && total < wanted) {
            return None;
        }
        // What is used of rooms that are free anyway comes first.
        fits.sort_by_key(|(room, _)| plan.frees(victims, *room).weight());
        for (room, count) in fits {
            let rest = wanted - plan.rooms.len() as u64;
            let used = count.min(rest) as usize;
            plan.rooms.extend(std::iter::repeat_n(room, used));
        }
        self.leave_out(rooms, victims, &mut plan);
        Some(plan)
    }

    /// Returns how many subtasks of the unit fit into a room once the stops there have taken
    /// effect and `freed` is free as well.
    fn count(&self, rooms: &Rooms, room: usize, freed: Need) -> u64 {
        let room = &rooms.rooms[room];
        let mut free = room.later;
        free.add(freed, 1);
        let count = self.step.reserved().count_in(free);
        if count == 0 {
            return 0;
        }
        count.min(self.limit(&room.worker))
    }

    /// Adds the offers of one room, the smallest loss first.
    fn offers(&self, rooms: &Rooms, victims: &Victims, room: usize, offers: &mut Vec<Offer>) {
        let wanted = self.unit.tasks.len() as u64;
        let mut freed = Need::default();
        let mut fits = self.count(rooms, room, freed);
        let (mut stops, mut loss) = (Vec::new(), 0);
        for index in &victims.by_room[room] {
            if fits >= wanted {
                return;
            }
            let victim = &victims.all[*index];
            if !victim.may_stop_for(self.unit) {
                continue;
            }
            freed.add(victim.frees_in(room), 1);
            stops.push(*index);
            loss += victim.loss;
            let now = self.count(rooms, room, freed);
            if now > fits {
                offers.push(Offer {
                    room,
                    gained: now - fits,
                    stops: std::mem::take(&mut stops),
                    loss: std::mem::take(&mut loss),
                });
                fits = now;
            }
        }
    }

    /// Leaves out the stops that the plan does not need. The dearest first: a cheap victim that is
    /// not needed costs less than a dear one.
    fn leave_out(&self, rooms: &Rooms, victims: &Victims, plan: &mut Plan) {
        let loss = |v: &usize| victims.all[*v].loss;
        plan.stops.sort_by_key(loss);
        for i in (0..plan.stops.len()).rev() {
            let victim = &victims.all[plan.stops[i]];
            let is_needed = victim.frees.iter().any(|(room, _)| {
                let used = plan.rooms.iter().filter(|r| *r == room).count() as u64;
                let freed = plan.frees(victims, *room).minus(victim.frees_in(*room));
                used > 0 && self.count(rooms, *room, freed) < used
            });
            if !is_needed {
                plan.stops.remove(i);
            }
        }
        plan.loss = plan.stops.iter().map(loss).sum();
    }
}

impl Plan {
    /// Returns what the stops of the plan free in a room.
    fn frees(&self, victims: &Victims, room: usize) -> Need {
        let mut freed = Need::default();
        for index in &self.stops {
            freed.add(victims.all[*index].frees_in(room), 1);
        }
        freed
    }
}

impl Victim {
    /// Returns what its stop frees in a room.
    fn frees_in(&self, room: usize) -> Need {
        let mut freed = Need::default();
        let first = self.frees.partition_point(|(r, _)| *r < room);
        for (_, need) in self.frees[first..].iter().take_while(|(r, _)| *r == room) {
            freed.add(*need, 1);
        }
        freed
    }
}
