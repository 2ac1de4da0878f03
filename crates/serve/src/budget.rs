//! Decisions about the memory for request bodies under way, without I/O and clock.

use std::sync::Arc;

use base::{clock::Millis, sorted::SortedMap};

/// Size up to which a body counts as small: it displaces any larger one that still arrives.
const SMALL: usize = 64 << 10;
/// Time after which a body that still arrives gives way to any other. A request has 3 s in all unless
/// its caller states more.
const SLOW: Millis = Millis(1_000);
/// Time after which it gives way to another connection when as many as allowed are open: as long as
/// an idle connection is kept then.
const SLOW_CONNECTION: Millis = Millis(250);

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
/// assert_eq!(budget.reserve(large, 90_000, Millis(0)), Decision::Granted(vec![]));
/// let small = budget.begin(None, Some(20_000), Millis(5));
/// assert_eq!(budget.reserve(small, 20_000, Millis(5)), Decision::Granted(vec![large]));
/// assert_eq!(budget.used(), 110_000);
/// budget.end(large);
/// assert_eq!(budget.used(), 20_000);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    used: usize,
    /// Those of them that belong to shed bodies, whose readers drop them in their next turn.
    leaving: usize,
    next: u64,
    /// In order of their ids.
    open: Vec<Open>,
    organisations: SortedMap<Option<Arc<str>>, Usage>,
}

/// What the bodies of an organisation use.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    bodies: usize,
    /// Bytes of those that are not shed.
    bytes: usize,
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

impl Open {
    /// Returns the product of size and age.
    const fn held(&self, now: Millis) -> u64 {
        self.bytes as u64 * (now.since(self.since).0 + 1)
    }
}

/// Answer to a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The bytes are reserved. The bodies with these ids give way and have to be told so.
    Granted(Vec<u64>),
    /// Bodies that were read whole hold the bytes; the request may wait for the end of one.
    Wait,
    /// This body gives way.
    Shed,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            leaving: 0,
            next: 0,
            open: Vec::new(),
            organisations: SortedMap::default(),
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
        self.organisations
            .get_or_default(organisation.clone())
            .bodies += 1;
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
        let shed = if is_alone || self.used - self.leaving + bytes <= self.limit {
            Vec::new()
        } else {
            match self.make_room(i, bytes, now) {
                Ok(shed) => shed,
                Err(decision) => return decision,
            }
        };
        self.used += bytes;
        self.open[i].bytes += bytes;
        self.usage(i).bytes += bytes;
        Decision::Granted(shed)
    }

    /// Marks a body as read whole, so that it does not give way any more. Returns `false` if it has given
    /// way before: its bytes have been granted to others.
    pub fn complete(&mut self, id: u64) -> bool {
        let Some(i) = self.position(id) else {
            return false;
        };
        if self.open[i].state == State::Shed {
            return false;
        }
        self.open[i].state = State::Whole;
        true
    }

    /// Frees the bytes of a body beyond `bytes`; returns how many it has kept. Those of one that gives way
    /// stay counted until its end.
    pub fn shrink(&mut self, id: u64, bytes: usize) -> usize {
        let Some(i) = self.position(id) else {
            return 0;
        };
        if self.open[i].state != State::Shed {
            let freed = self.open[i].bytes.saturating_sub(bytes);
            self.used -= freed;
            self.usage(i).bytes -= freed;
            self.open[i].bytes -= freed;
        }
        self.open[i].bytes
    }

    /// Removes a body and frees its bytes.
    pub fn end(&mut self, id: u64) {
        let Some(i) = self.position(id) else {
            return;
        };
        let (bytes, state) = (self.open[i].bytes, self.open[i].state);
        self.used -= bytes;
        if state == State::Shed {
            self.leaving -= bytes;
        } else {
            self.usage(i).bytes -= bytes;
        }
        self.usage(i).bodies -= 1;
        let body = self.open.remove(i);
        let usage = self.organisations.get(&body.organisation);
        if usage.is_some_and(|u| u.bodies == 0) {
            self.organisations.remove(&body.organisation);
        }
    }

    /// Sheds the body that arrives with the largest product of size and age, if one has arrived for
    /// long enough, so that another connection can be served.
    pub fn shed_one(&mut self, now: Millis) -> Option<u64> {
        let open = self.open.iter().enumerate();
        let is_slow = |o: &Open| o.state == State::Reading && now.since(o.since) >= SLOW_CONNECTION;
        let slow = open.filter(|(_, o)| is_slow(o));
        let (i, _) = slow.max_by_key(|(_, o)| o.held(now))?;
        Some(self.shed(i))
    }

    fn shed(&mut self, i: usize) -> u64 {
        let bytes = self.open[i].bytes;
        self.open[i].state = State::Shed;
        self.leaving += bytes;
        self.usage(i).bytes -= bytes;
        self.open[i].id
    }

    /// Sheds bodies until `bytes` more fit.
    fn make_room(
        &mut self,
        requester: usize,
        bytes: usize,
        now: Millis,
    ) -> Result<Vec<u64>, Decision> {
        let mut shed = Vec::new();
        self.usage(requester).bytes += bytes;
        let result = loop {
            if self.used - self.leaving + bytes <= self.limit {
                break Ok(());
            }
            match self.victim(requester, bytes, now) {
                Some(i) => shed.push(self.shed(i)),
                None if self.size(requester, bytes) > SMALL
                    && self.is_over_share(&self.open[requester]) =>
                {
                    break Err(Decision::Shed);
                }
                None => break Err(Decision::Wait),
            }
        };
        self.usage(requester).bytes -= bytes;
        result.map(|()| shed).inspect_err(|decision| {
            if *decision == Decision::Shed {
                self.shed(requester);
            }
        })
    }

    /// Returns the body that gives way to another one, which needs `bytes` more.
    fn victim(&self, requester: usize, bytes: usize, now: Millis) -> Option<usize> {
        let req = &self.open[requester];
        let size = self.size(requester, bytes);
        let gives_way = |o: &Open| {
            let is_slow = o.bytes > 0 && now.since(o.since) >= SLOW;
            let is_larger = size <= SMALL && o.bytes > size;
            let is_reading = o.state == State::Reading && o.id != req.id;
            is_reading && (is_slow || is_larger) && self.is_over_share(o)
        };
        let victims = self.open.iter().enumerate().filter(|(_, o)| gives_way(o));
        victims.max_by_key(|(_, o)| o.held(now)).map(|(i, _)| i)
    }

    /// Returns the size that a body has at least, if it gets `bytes` more.
    fn size(&self, i: usize, bytes: usize) -> usize {
        let body = &self.open[i];
        body.declared.unwrap_or(0).max(body.bytes + bytes)
    }

    fn is_over_share(&self, body: &Open) -> bool {
        let share = self.limit / self.organisations.len().max(1);
        let usage = self.organisations.get(&body.organisation);
        usage.is_some_and(|u| u.bytes > share)
    }

    fn usage(&mut self, i: usize) -> &mut Usage {
        let organisation = self.open[i].organisation.clone();
        self.organisations.get_or_default(organisation)
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.open.binary_search_by_key(&id, |o| o.id).ok()
    }
}
