//! Open connections of a listener, and how they are closed.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::clock::{self, Millis};
use ntex::io::IoRef;
use tokio::sync::watch;

use crate::{bodies::Bodies, log_limit::LogLimits, turns::Turns};

/// Time for which a connection without a request under way is not closed in favour of another one, so
/// that a new caller can send its request.
const MIN_IDLE: Millis = Millis(250);
/// Size up to which the rest of an answer arrives at once at a caller that reads: the buffers of the system
/// have taken more than that before.
const SMALL_REST: usize = 64 << 10;
/// Time for which a connection with a small rest is not closed in favour of another one.
const SMALL_REST_TIME: Millis = Millis(1_000);
/// Time for which one with a larger rest is not.
const LARGE_REST_TIME: Millis = Millis(10_000);
/// Number of requests that begin in a turn of the runtime.
const REQUESTS_PER_TURN: usize = 16;
/// Budget of the bodies of listeners that read none.
const SMALL_BUDGET: usize = 1 << 20;

/// Connections of one listener; clones share them.
///
/// ```
/// let connections = serve::Connections::default();
/// assert_eq!((connections.open(), connections.refused()), (0, 0));
/// ```
#[derive(Clone, Debug)]
pub struct Connections(Rc<State>);

#[derive(Debug)]
struct State {
    open: watch::Sender<usize>,
    refused: Cell<u64>,
    closing: watch::Sender<bool>,
    callers: Callers,
    bodies: Rc<Bodies>,
    log_limits: LogLimits,
}

impl Default for Connections {
    fn default() -> Self {
        Self::new(Rc::new(Bodies::new(SMALL_BUDGET, 1)))
    }
}

impl Connections {
    /// Creates the state of a listener whose requests have their bodies in `bodies`.
    pub fn new(bodies: Rc<Bodies>) -> Self {
        Self(Rc::new(State {
            open: watch::Sender::default(),
            refused: Cell::default(),
            closing: watch::Sender::default(),
            callers: Callers::default(),
            bodies,
            log_limits: LogLimits::default(),
        }))
    }

    /// Returns how many idle connections were closed so far in favour of others.
    pub fn displaced(&self) -> u64 {
        self.0.callers.displaced()
    }

    /// Returns the bodies of the requests.
    pub fn bodies(&self) -> &Rc<Bodies> {
        &self.0.bodies
    }

    /// Closes idle connections until fewer than `max` are open; returns whether there is room for
    /// another one. Without idle ones the largest and slowest body gives way, whose connection
    /// closes after its refusal.
    pub(crate) fn make_room(&self, max: usize) -> bool {
        let callers = &self.0.callers;
        while callers.count() >= max {
            if !callers.close_idle() {
                return self.0.bodies.shed_one();
            }
        }
        true
    }

    pub(crate) fn callers(&self) -> &Callers {
        &self.0.callers
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        *self.0.open.borrow()
    }

    /// Returns how many connections were closed so far because too many were open.
    pub fn refused(&self) -> u64 {
        self.0.refused.get()
    }

    /// Closes the listener, then idle connections, and each other one after its answer.
    /// [`listen`](crate::listen) returns when all of them have ended.
    ///
    /// ```
    /// serve::Connections::default().close();
    /// ```
    pub fn close(&self) {
        self.0.closing.send_replace(true);
    }

    /// Returns once [`Self::close`] has been called.
    pub(crate) async fn closing(&self) {
        // The channel stays open while `self` exists.
        let _ = self.0.closing.subscribe().wait_for(|c| *c).await;
    }

    /// Returns once no connection is open.
    pub(crate) async fn ended(&self) {
        let _ = self.0.open.subscribe().wait_for(|n| *n == 0).await;
    }

    /// Counts a refused connection. Returns how many lines about others were left out, if one may be logged.
    pub(crate) fn refuse(&self) -> Option<u64> {
        self.0.refused.set(self.refused() + 1);
        self.0.log_limits.take("refused")
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn guard(&self, io: IoRef) -> Guard {
        self.0.open.send_modify(|n| *n += 1);
        self.0.callers.insert(io.clone());
        Guard {
            connections: self.clone(),
            io,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Guard {
    connections: Connections,
    io: IoRef,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let state = &self.connections.0;
        state.callers.remove(&self.io);
        state.open.send_modify(|n| *n -= 1);
    }
}

/// Open connections with what their callers do, from which an idle one is closed when too many are
/// open.
///
/// ```
/// let callers = serve::Callers::default();
/// assert_eq!((callers.count(), callers.close_idle()), (0, false));
/// ```
#[derive(Debug)]
pub struct Callers {
    open: RefCell<Vec<Caller>>,
    displaced: Cell<u64>,
    turns: Rc<Turns>,
}

#[derive(Debug)]
struct Caller {
    io: IoRef,
    requests: usize,
    has_answer: bool,
    idle_since: Millis,
    /// Whether the connection is closed after its last answer.
    is_closing: bool,
    /// Number of its last request among those of all connections.
    last_turn: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            open: RefCell::default(),
            displaced: Cell::default(),
            turns: Rc::new(Turns::new(REQUESTS_PER_TURN)),
        }
    }
}

impl Callers {
    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns how many connections [`Self::close_idle`] has closed so far.
    pub const fn displaced(&self) -> u64 {
        self.displaced.get()
    }

    /// Adds a connection.
    pub fn insert(&self, io: IoRef) {
        self.open.borrow_mut().push(Caller {
            io,
            requests: 0,
            has_answer: false,
            idle_since: clock::now(),
            is_closing: false,
            last_turn: self.turns.latest(),
        });
    }

    /// Removes a connection.
    pub fn remove(&self, io: &IoRef) {
        self.open.borrow_mut().retain(|c| c.io != *io);
    }

    /// Returns the number of connections for which `f` holds.
    pub fn count_where(&self, f: impl Fn(&IoRef) -> bool) -> usize {
        self.open.borrow().iter().filter(|c| f(&c.io)).count()
    }

    /// Counts a request of a connection as under way until [`Self::end_request`]. Returns `false` if the
    /// connection was to be closed after its last answer: the request is not served, and the connection
    /// closes.
    pub fn begin_request(&self, io: &IoRef) -> bool {
        let is_closing = self.with_caller(io, |c| {
            c.requests += 1;
            c.is_closing
        });
        if is_closing == Some(true) {
            // The library serves requests that it has received behind the last one.
            io.close();
            return false;
        }
        true
    }

    /// Closes a connection after the answer to its request under way.
    pub fn close_after_answer(&self, io: &IoRef) {
        self.with_caller(io, |c| c.is_closing = true);
    }

    /// Waits until a request of a connection may begin. In each turn of the runtime some begin, first those
    /// of the connections that were served least recently.
    pub async fn take_turn(&self, io: &IoRef) {
        let last = self.with_caller(io, |c| c.last_turn);
        let turn = self.turns.take(last.unwrap_or(self.turns.latest())).await;
        self.with_caller(io, |c| c.last_turn = turn);
    }

    /// Ends a request of a connection.
    pub fn end_request(&self, io: &IoRef) {
        self.with_caller(io, |c| {
            c.requests = c.requests.saturating_sub(1);
            c.has_answer = true;
            c.idle_since = clock::now();
        });
    }

    fn with_caller<T>(&self, io: &IoRef, f: impl FnOnce(&mut Caller) -> T) -> Option<T> {
        self.open
            .borrow_mut()
            .iter_mut()
            .find(|c| c.io == *io)
            .map(f)
    }

    /// Closes the connection without a request under way that is idle for the longest time: first among
    /// those that had no answer yet, last those whose callers do not read their answers. Returns whether
    /// there was one.
    pub fn close_idle(&self) -> bool {
        let now = clock::now();
        let mut open = self.open.borrow_mut();
        let rank = |c: &Caller| {
            let unsent = c.io.with_write_dst_buf(|b| b.len());
            let is_idle = c.requests == 0 && now.since(c.idle_since) >= min_idle(unsent);
            is_idle.then_some((unsent > 0, c.has_answer, c.idle_since))
        };
        let idle = open.iter().enumerate();
        let idle = idle.filter_map(|(i, c)| rank(c).map(|rank| (rank, i)));
        let Some((_, i)) = idle.min() else {
            return false;
        };
        open.swap_remove(i).io.terminate();
        self.displaced.set(self.displaced.get() + 1);
        true
    }
}

/// Returns the time since the end of the last request after which a connection may be closed in favour of
/// another one, if `unsent` bytes of answers are left to send.
const fn min_idle(unsent: usize) -> Millis {
    match unsent {
        0 => MIN_IDLE,
        1..=SMALL_REST => SMALL_REST_TIME,
        _ => LARGE_REST_TIME,
    }
}
