//! Decisions about the memory for request bodies under way, without I/O and clock.

use std::sync::Arc;

use base::{clock::Millis, sorted::SortedMap};

/// Size up to which a body counts as small: it displaces any larger one that still arrives.
const SMALL: usize = 64 << 10;
/// Time after which a body that still arrives gives way to any other. A request has 3 s in all unless
/// its caller states more.
const SLOW: Millis = Millis(1_000);

/// Budget for the bytes of bodies under way.
///
/// When it is full, bodies that still arrive give way: of those whose organisation uses more than its
/// share, the one with the largest product of size and age. A body that was read whole stays.
///
/// ```
/// use base::clock::Millis;
/// use serve::budget::{Budget, Decision};
/// let mut budget = Budget::new(100_000);
/// let large = budget.begin(None, None, Millis(0));
/// assert_eq!(budget.reserve(large, 90_000, Millis(0)), Decision::Granted);
/// let small = budget.begin(None, Some(20_000), Millis(5));
/// assert_eq!(budget.reserve(small, 20_000, Millis(5)), Decision::Wait(vec![large]));
/// budget.end(large);
/// assert_eq!(budget.reserve(small, 20_000, Millis(5)), Decision::Granted);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    used: usize,
    /// Those of them that belong to shed bodies.
    leaving: usize,
    next: u64,
    /// In order of their ids.
    open: Vec<Open>,
}

/// A body under way.
#[derive(Clone, Debug)]
struct Open {
    id: u64,
    organisation: Option<Arc<str>>,
    declared: Option<usize>,
    bytes: usize,
    since: Millis,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Reading,
    /// Gives way; its bytes are counted until its reader has dropped them.
    Shed,
    /// Read whole.
    Whole,
}

/// Answer to a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The bytes are reserved.
    Granted,
    /// The bytes are not free yet. The bodies with these ids give way now and have to be told so.
    Wait(Vec<u64>),
    /// This body gives way.
    Shed,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            leaving: 0,
            next: 0,
            open: Vec::new(),
        }
    }

    /// Returns the number of bytes in use.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of bodies under way.
    pub const fn bodies(&self) -> usize {
        self.open.len()
    }

    /// Adds a body that begins at `now` and returns its id.
    pub fn begin(
        &mut self,
        organisation: Option<Arc<str>>,
        declared: Option<usize>,
        now: Millis,
    ) -> u64 {
        let id = self.next;
        self.next += 1;
        self.open.push(Open {
            id,
            organisation,
            declared,
            bytes: 0,
            since: now,
            state: State::Reading,
        });
        id
    }

    /// Reserves `bytes` more for a body.
    pub fn reserve(&mut self, id: u64, bytes: usize, now: Millis) -> Decision {
        let Some(i) = self.position(id) else {
            return Decision::Shed;
        };
        if self.open[i].state == State::Shed {
            return Decision::Shed;
        }
        // A body within the limit of a single one is never larger than the machine allows.
        let is_alone = self.used == self.open[i].bytes;
        if is_alone || self.used + bytes <= self.limit {
            self.used += bytes;
            self.open[i].bytes += bytes;
            return Decision::Granted;
        }
        self.make_room(i, bytes, now)
    }

    /// Marks a body as read whole: it does not give way any more.
    pub fn complete(&mut self, id: u64) {
        if let Some(i) = self.position(id) {
            self.open[i].state = State::Whole;
        }
    }

    /// Removes a body and frees its bytes.
    pub fn end(&mut self, id: u64) {
        if let Some(i) = self.position(id) {
            let body = self.open.remove(i);
            self.used -= body.bytes;
            if body.state == State::Shed {
                self.leaving -= body.bytes;
            }
        }
    }

    /// Sheds the body that arrives for the longest time, if that is a second at least.
    pub fn shed_slowest(&mut self, now: Millis) -> Option<u64> {
        let reading = |i: &usize| self.open[*i].state == State::Reading;
        // Bodies are in the order in which they began.
        let slowest = (0..self.open.len()).find(reading)?;
        (now.since(self.open[slowest].since) >= SLOW).then(|| self.shed(slowest))
    }

    fn shed(&mut self, i: usize) -> u64 {
        let body = &mut self.open[i];
        body.state = State::Shed;
        self.leaving += body.bytes;
        body.id
    }

    fn make_room(&mut self, requester: usize, bytes: usize, now: Millis) -> Decision {
        let mut shed = Vec::new();
        if self.used + bytes <= self.limit + self.leaving {
            return Decision::Wait(shed);
        }
        let mut usage = self.usage();
        *usage.get_or_default(self.open[requester].organisation.clone()) += bytes;
        let share = self.limit / usage.len().max(1);
        while self.used + bytes > self.limit + self.leaving {
            if let Some(i) = self.victim(requester, bytes, &usage, share, now) {
                *usage.get_or_default(self.open[i].organisation.clone()) -= self.open[i].bytes;
                shed.push(self.shed(i));
                continue;
            }
            let used = usage.get(&self.open[requester].organisation);
            if shed.is_empty() && used.is_some_and(|u| *u > share) {
                self.shed(requester);
                return Decision::Shed;
            }
            break;
        }
        Decision::Wait(shed)
    }

    /// Returns the body that gives way to another one, which needs `bytes` more.
    fn victim(
        &self,
        requester: usize,
        bytes: usize,
        usage: &SortedMap<Option<Arc<str>>, usize>,
        share: usize,
        now: Millis,
    ) -> Option<usize> {
        let req = &self.open[requester];
        let size = req.declared.unwrap_or(0).max(req.bytes + bytes);
        let is_over_share = |o: &Open| usage.get(&o.organisation).is_some_and(|u| *u > share);
        let gives_way = |o: &Open| {
            let is_slow = o.bytes > 0 && now.since(o.since) >= SLOW;
            let is_larger = size <= SMALL && o.bytes > size;
            let is_reading = o.state == State::Reading && o.id != req.id;
            is_reading && (is_slow || is_larger) && is_over_share(o)
        };
        let held = |o: &Open| o.bytes as u64 * (now.since(o.since).0 + 1);
        let open = self.open.iter().enumerate();
        let victims = open.filter(|(_, o)| gives_way(o));
        victims.max_by_key(|(_, o)| held(o)).map(|(i, _)| i)
    }

    /// Returns the bytes of each organisation without those of shed bodies.
    fn usage(&self) -> SortedMap<Option<Arc<str>>, usize> {
        let mut usage = SortedMap::default();
        let staying = self.open.iter().filter(|o| o.state != State::Shed);
        for o in staying {
            *usage.get_or_default(o.organisation.clone()) += o.bytes;
        }
        usage
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.open.binary_search_by_key(&id, |o| o.id).ok()
    }
}
