//! Order and number of the calls to one worker.
//!
//! The connections of calls at the same time stay open, and a VM has no room for one for each run
//! of all workers. So the calls to a worker follow each other in order, and each call under way
//! speaks for those that wait: while the worker answers, they wait for as long as it takes; when it
//! is silent, they count as unanswered like the calls that were sent.

use std::collections::VecDeque;

use base::clock::Millis;

use crate::answer_time::MIN_CALL_LIMIT;

/// Maximum number of calls under way to a worker. With the renewal of its lease that makes three
/// connections, for which a VM has room with the 1,100 workers of a large site.
const MAX_CALLS: usize = 2;
/// Maximum time for which a call holds up the next one. It is longer than a burst of orders to all
/// workers takes on the link of a small VM, so that a burst opens no second connections.
const MAX_HOLD_UP: Millis = Millis(100);
/// Time in which the calls that wait should be sent; the more there are, the shorter one holds up
/// the next one. The members of a gang wait for each other for at least 3 s.
const QUEUE_TIME: Millis = Millis(1_000);
/// Time by which the wait for a silent worker and the call after it together may exceed the time
/// limit of one call.
const EXTRA_TRY: Millis = Millis(100);

/// Place of a call among those that wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// Before all calls that wait.
    First,
    /// After all calls that wait.
    Last,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// It is to be sent now, and has this time for its answer.
    Send(Millis),
    /// It is not sent, because the worker is silent.
    GiveUp,
}

/// The calls to one worker that wait or are under way, apart from the sequential renewal.
///
/// ```
/// use base::clock::Millis;
/// use batch::call_queue::{CallQueue, Place, Turn};
///
/// let mut queue = CallQueue::default();
/// let first = queue.add(Place::Last, Millis(5));
/// let second = queue.add(Place::Last, Millis(5));
/// assert_eq!(queue.advance(Millis(5)), [(first, Turn::Send(Millis(700)))]);
/// queue.end(first, true, Millis(7));
/// assert_eq!(queue.advance(Millis(7)), [(second, Turn::Send(Millis(700)))]);
/// ```
#[derive(Debug)]
pub struct CallQueue {
    next_id: u64,
    waiting: VecDeque<Waiting>,
    /// Calls under way with the times when they were sent, the oldest first; `None` while such a call
    /// is [held](Self::hold).
    under_way: Vec<(u64, Option<Millis>)>,
    /// Time since when no call has been answered; `None` if the last one was.
    silent_since: Option<Millis>,
    /// Time limit for the answer to a call, also for the silence of the worker while calls wait.
    limit: Millis,
}

impl Default for CallQueue {
    fn default() -> Self {
        Self {
            next_id: 0,
            waiting: VecDeque::new(),
            under_way: Vec::new(),
            silent_since: None,
            limit: MIN_CALL_LIMIT,
        }
    }
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    since: Millis,
}

impl CallQueue {
    /// Adds a call that waits for its turn, and returns its number.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use batch::call_queue::{CallQueue, Place};
    /// assert_eq!(CallQueue::default().add(Place::Last, Millis(1)), 1);
    /// ```
    pub fn add(&mut self, place: Place, now: Millis) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        let waiting = Waiting { id, since: now };
        match place {
            Place::First => self.waiting.push_front(waiting),
            Place::Last => self.waiting.push_back(waiting),
        }
        id
    }

    /// Records that a call has ended: with or without an answer, or without having been sent in its
    /// turn.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// batch::call_queue::CallQueue::default().end(1, false, Millis(1));
    /// ```
    pub fn end(&mut self, id: u64, answered: bool, now: Millis) {
        self.under_way.retain(|(call, _)| *call != id);
        if answered {
            // Calls that are still under way have been silent from now on.
            let is_sent = |(_, sent): &(u64, Option<Millis>)| sent.is_some();
            self.silent_since = self.under_way.iter().any(is_sent).then_some(now);
        }
    }

    /// Sets the time limit for the answers to the calls that are sent from now on.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// use batch::call_queue::{CallQueue, Place, Turn};
    /// let mut queue = CallQueue::default();
    /// queue.set_limit(Millis(1_500));
    /// let id = queue.add(Place::Last, Millis(5));
    /// assert_eq!(queue.advance(Millis(5)), [(id, Turn::Send(Millis(1_500)))]);
    /// ```
    pub const fn set_limit(&mut self, limit: Millis) {
        self.limit = limit;
    }

    /// Records that a call whose turn has come is not sent yet, for a reason outside of the worker.
    /// The worker is not silent meanwhile.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// use batch::call_queue::{CallQueue, Place};
    /// let mut queue = CallQueue::default();
    /// let id = queue.add(Place::Last, Millis(5));
    /// queue.add(Place::Last, Millis(5));
    /// queue.advance(Millis(5));
    /// queue.hold(id);
    /// assert!(queue.next_at().is_none(), "the second call waits for the first");
    /// queue.mark_sent(id, Millis(900));
    /// assert!(queue.next_at().is_some());
    /// ```
    pub fn hold(&mut self, id: u64) {
        self.set_sent(id, None);
        if self.under_way.iter().all(|(_, sent)| sent.is_none()) {
            self.silent_since = None;
        }
    }

    /// Records that a [held](Self::hold) call is sent.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// batch::call_queue::CallQueue::default().mark_sent(1, Millis(1));
    /// ```
    pub fn mark_sent(&mut self, id: u64, now: Millis) {
        self.set_sent(id, Some(now));
        self.silent_since.get_or_insert(now);
    }

    fn set_sent(&mut self, id: u64, sent: Option<Millis>) {
        if let Some(call) = self.under_way.iter_mut().find(|(call, _)| *call == id) {
            call.1 = sent;
        }
    }

    /// Returns the waiting calls whose turn has come, which are under way from now on, and those
    /// that are given up.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert!(batch::call_queue::CallQueue::default().advance(Millis(1)).is_empty());
    /// ```
    pub fn advance(&mut self, now: Millis) -> Vec<(u64, Turn)> {
        let (silent_since, limit) = (self.silent_since, self.limit);
        let silence =
            |w: &Waiting| silent_since.map_or(Millis::ZERO, |t| now.since(t.max(w.since)));
        let mut turns = Vec::new();
        if silent_since.is_some() {
            self.waiting.retain(|w| {
                let is_silent = silence(w) >= limit;
                if is_silent {
                    turns.push((w.id, Turn::GiveUp));
                }
                !is_silent
            });
        }
        while self.free_at().is_some_and(|t| t <= now)
            && let Some(next) = self.waiting.pop_front()
        {
            let rest = (limit + EXTRA_TRY).since(silence(&next)).min(limit);
            self.under_way.push((next.id, Some(now)));
            self.silent_since.get_or_insert(now);
            turns.push((next.id, Turn::Send(rest)));
        }
        turns
    }

    /// Returns the time of the next [`advance`](Self::advance) if no call ends before, or `None` if
    /// no call waits.
    ///
    /// ```
    /// assert!(batch::call_queue::CallQueue::default().next_at().is_none());
    /// ```
    pub fn next_at(&self) -> Option<Millis> {
        let oldest = self.waiting.iter().map(|w| w.since).min()?;
        let given_up_at = self.silent_since.map(|t| oldest.max(t) + self.limit);
        [self.free_at(), given_up_at].into_iter().flatten().min()
    }

    /// Returns the time from which one more call may be sent.
    fn free_at(&self) -> Option<Millis> {
        let waiting = self.waiting.len().max(1) as u64;
        let hold_up = Millis(QUEUE_TIME.0 / waiting).min(MAX_HOLD_UP);
        match self.under_way.last() {
            _ if self.under_way.len() >= MAX_CALLS => None,
            Some((_, sent)) => sent.map(|t| t + hold_up),
            None => Some(Millis::ZERO),
        }
    }
}
