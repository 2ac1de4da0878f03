//! Fair admission queue of one entry.

use std::collections::VecDeque;

use base::{clock::Millis, name::Name};
use derive_more::{Display, Error};
use schema::service::Class;

use crate::{admit_cfg::AdmitCfg, fair::ClassQueue};

/// Number of recent service times that the estimates use.
const RECENT: usize = 64;
/// Percentile of the recent service times that a request must have left before its deadline.
const SLOW_PERCENT: usize = 90;
/// Share of the time before the deadline that the expected wait may take, as a divisor. The rest
/// absorbs errors of the estimate; without it requests expire in the queue in large groups and
/// slots stay idle (goodput at 3 times capacity was 82% of capacity).
const WAIT_SHARE: u64 = 2;
/// Weight of the newest sample in the average number of requests in flight, as a divisor.
const LEVEL_DIVISOR: f64 = 16.0;

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
    /// Expected service time in milliseconds; organisations share slot time, not requests.
    pub cost: u32,
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
/// let deadline = Millis(900);
/// let waiting = Waiting { id: 1, organisation, class: Class::Live, deadline, cost: 50 };
/// admit.push(Millis(0), waiting).unwrap();
/// assert_eq!(admit.pop(Millis(0)).unwrap().id, 1);
/// ```
#[derive(Debug)]
pub struct Admit {
    cfg: AdmitCfg,
    live: ClassQueue,
    deferrable: ClassQueue,
    /// Dispatches of live work since the last deferrable one, counted while deferrable work waits.
    live_in_row: u32,
    skipped: Vec<Waiting>,
    in_flight: usize,
    /// Average number of requests in flight while others waited.
    level: f64,
    recent: VecDeque<u64>,
    mean_ms: u64,
    slow_ms: u64,
}

impl Admit {
    /// Creates an empty queue.
    pub fn new(cfg: AdmitCfg) -> Self {
        Self {
            cfg,
            live: ClassQueue::default(),
            deferrable: ClassQueue::default(),
            live_in_row: 0,
            skipped: Vec::new(),
            in_flight: 0,
            level: 0.0,
            recent: VecDeque::with_capacity(RECENT),
            mean_ms: 0,
            slow_ms: 0,
        }
    }

    /// Adds a request, or refuses it at once.
    pub fn push(&mut self, now: Millis, waiting: Waiting) -> Result<(), Refused> {
        let queue = self.class(waiting.class);
        if queue.len_of(&waiting.organisation) >= self.cfg.queue_per_organisation {
            return Err(Refused::Full);
        }
        if self.len() >= self.cfg.queue_total {
            return Err(Refused::Full);
        }
        let wait = self.wait(&waiting.organisation, waiting.class);
        let reserved = Millis(wait.0 * WAIT_SHARE) + self.service();
        if now >= waiting.deadline || self.is_too_late(now + reserved, waiting.deadline) {
            let expected = self.expected(&waiting.organisation, waiting.class);
            return Err(Refused::Deadline { expected });
        }
        self.class_mut(waiting.class).push(waiting);
        Ok(())
    }

    /// Takes the next request to dispatch; it counts as in flight until [`Admit::finished`].
    ///
    /// Requests that can't meet their deadline are skipped: take them with [`Admit::expired`].
    pub fn pop(&mut self, now: Millis) -> Option<Waiting> {
        loop {
            let class = self.next_class();
            let waiting = self.class_mut(class).pop()?;
            if self.has_expired(now, &waiting) {
                self.skipped.push(waiting);
                continue;
            }
            self.count_dispatch(class);
            self.in_flight += 1;
            self.sample_level();
            return Some(waiting);
        }
    }

    /// Records the end of a dispatched request and the service time of its answer, if it had one.
    pub fn finished(&mut self, took: Option<Millis>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(took) = took else {
            return;
        };
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(took.0);
        let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        self.mean_ms = sorted.iter().sum::<u64>() / sorted.len() as u64;
        self.slow_ms = sorted[(sorted.len() - 1) * SLOW_PERCENT / 100];
    }

    /// Removes and returns the requests that can no longer meet their deadline; none was run.
    pub fn expired(&mut self, now: Millis) -> Vec<Waiting> {
        let mut expired = std::mem::take(&mut self.skipped);
        let until = now + self.service();
        let no_estimate = !self.cfg.early_refusal || self.in_flight == 0;
        let mut late = |w: &Waiting| w.deadline <= if no_estimate { now } else { until };
        expired.extend(self.live.take(&mut late));
        expired.extend(self.deferrable.take(&mut late));
        expired
    }

    /// Removes a waiting request whose caller went away; returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        let mut matches = |w: &Waiting| w.id == id;
        !self.live.take(&mut matches).is_empty() || !self.deferrable.take(&mut matches).is_empty()
    }

    /// Expected time until a request that is added now is dispatched.
    ///
    /// The requests in flight give the rate at which the queue is served: while requests wait,
    /// every slot that this entry gets is in use.
    pub fn wait(&self, organisation: &Name, class: Class) -> Millis {
        let every = self.cfg.deferrable_every.max(2) as usize;
        let own = self.class(class).ahead_of(organisation);
        let ahead = match class {
            Class::Live => own + (own / (every - 1)).min(self.deferrable.len),
            Class::Deferrable => own + (own * (every - 1)).min(self.live.len),
        };
        let slots = self.level.max(self.in_flight as f64).max(1.0);
        Millis((ahead as f64 * self.mean_ms as f64 / slots) as u64)
    }

    /// Expected time until a request that is added now has its answer.
    pub fn expected(&self, organisation: &Name, class: Class) -> Millis {
        self.wait(organisation, class) + self.service()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.live.len + self.deferrable.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Service time that most of the recent answers did not exceed.
    pub fn service(&self) -> Millis {
        Millis(self.slow_ms)
    }

    fn sample_level(&mut self) {
        let in_flight = self.in_flight as f64;
        if !self.is_empty() {
            self.level += (in_flight - self.level) / LEVEL_DIVISOR;
        }
        self.level = self.level.max(in_flight / 2.0);
    }

    fn has_expired(&self, now: Millis, waiting: &Waiting) -> bool {
        now >= waiting.deadline || self.is_too_late(now + self.service(), waiting.deadline)
    }

    /// Returns whether an answer expected at `answer` misses `deadline`.
    ///
    /// While nothing is in flight every request is tried: otherwise a time of slow answers would
    /// leave an estimate that no new answer could correct.
    fn is_too_late(&self, answer: Millis, deadline: Millis) -> bool {
        self.cfg.early_refusal && self.in_flight > 0 && answer > deadline
    }

    fn next_class(&self) -> Class {
        let due = self.live_in_row + 1 >= self.cfg.deferrable_every;
        if self.deferrable.len > 0 && (due || self.live.len == 0) {
            Class::Deferrable
        } else {
            Class::Live
        }
    }

    fn count_dispatch(&mut self, class: Class) {
        if class == Class::Deferrable || self.deferrable.len == 0 {
            self.live_in_row = 0;
        } else {
            self.live_in_row += 1;
        }
    }

    fn class(&self, class: Class) -> &ClassQueue {
        match class {
            Class::Live => &self.live,
            Class::Deferrable => &self.deferrable,
        }
    }

    fn class_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Live => &mut self.live,
            Class::Deferrable => &mut self.deferrable,
        }
    }
}
