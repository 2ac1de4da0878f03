//! Order and number of the calls to one worker.
//!
//! The connections of calls at the same time stay open, and a VM has no room for one for each run
//! of all workers. So the calls to a worker follow each other in order, and each call under way
//! speaks for those that wait: while the worker answers, they wait for as long as it takes; when it
//! is silent, they count as unanswered like the calls that were sent.

use std::collections::VecDeque;

use base::clock::Millis;

/// Maximum number of calls under way to a worker. With the renewal of its lease that makes three
/// connections, for which a VM has room with the 1,100 workers of a large site.
const MAX_CALLS: usize = 2;
/// Maximum time for which a call holds up the next one. It is longer than a burst of orders to all
/// workers takes on the link of a small VM, so that a burst opens no second connections.
const MAX_HOLD_UP: Millis = Millis(100);
/// Time in which the calls that wait should be sent; the more there are, the shorter one holds up
/// the next one. The members of a gang wait for each other for at least 3 s.
const QUEUE_TIME: Millis = Millis(1_000);
/// Time for which a call waits for a worker that answers no call.
const MAX_SILENCE: Millis = Millis(700);
/// Maximum time for the answer to a call.
const MAX_CALL: Millis = Millis(700);
/// Maximum time for a wait for a silent worker and the call after it. Three tries of a start fit
/// into the time that the members of a gang wait for each other (3 s).
const MAX_TRY: Millis = Millis(800);

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
#[derive(Debug, Default)]
pub struct CallQueue {
    next_id: u64,
    waiting: VecDeque<Waiting>,
    /// Calls under way with the times when they were sent, the oldest first.
    under_way: Vec<(u64, Millis)>,
    /// Time of the last answer.
    answered_at: Millis,
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
            self.answered_at = now;
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
        let answered_at = self.answered_at;
        let mut turns = Vec::new();
        if now.since(answered_at) >= MAX_SILENCE {
            self.waiting.retain(|w| {
                let is_silent = now.since(w.since.max(answered_at)) >= MAX_SILENCE;
                if is_silent {
                    turns.push((w.id, Turn::GiveUp));
                }
                !is_silent
            });
        }
        while self.free_at().is_some_and(|t| t <= now)
            && let Some(next) = self.waiting.pop_front()
        {
            let silent = now.since(next.since.max(answered_at));
            let limit = Millis(MAX_TRY.0 - silent.0).min(MAX_CALL);
            self.under_way.push((next.id, now));
            turns.push((next.id, Turn::Send(limit)));
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
        let given_up_at = oldest.max(self.answered_at) + MAX_SILENCE;
        Some(self.free_at().map_or(given_up_at, |t| t.min(given_up_at)))
    }

    /// Returns the time from which one more call may be sent.
    fn free_at(&self) -> Option<Millis> {
        let waiting = self.waiting.len().max(1) as u64;
        let hold_up = Millis(QUEUE_TIME.0 / waiting).min(MAX_HOLD_UP);
        let last = self.under_way.last().map(|(_, sent)| *sent + hold_up);
        (self.under_way.len() < MAX_CALLS).then(|| last.unwrap_or_default())
    }
}
