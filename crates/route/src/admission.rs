//! Fair admission queue of one entry.

use std::collections::VecDeque;

use base::{clock::Millis, name::Name};
use derive_more::{Display, Error};
use schema::service::Class;

use crate::{admission_cfg::AdmissionCfg, class_queue::ClassQueue};

/// Number of recent service times on which the estimates are based.
const RECENT_SAMPLES: usize = 64;
/// Percentile of the recent service times that is reserved before the deadline of a request.
const SLOW_PERCENTILE: usize = 90;
/// Divisor of the time before the deadline that gives the share which the expected wait may take.
/// The rest absorbs errors of the estimate. Without this reserve, requests expired in the queue in
/// large groups and slots stayed idle: goodput at 3 times capacity was 82% of capacity.
const WAIT_SHARE_DIVISOR: u64 = 2;
/// Inverse weight of the newest sample in the average number of requests in flight.
const IN_FLIGHT_AVERAGE_DIVISOR: f64 = 16.0;

/// A request that waits for dispatch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number that the caller assigned to the request; unique among waiting requests.
    pub id: u64,
    /// Organisation that sent the request.
    pub organisation: Name,
    /// Class of the request: live if somebody waits for the answer, otherwise deferrable.
    pub class: Class,
    /// Time by which the caller needs the answer.
    pub deadline: Millis,
    /// Expected service time in milliseconds. Organisations get equal shares of slot time, not
    /// equal numbers of requests.
    pub cost: u32,
}

/// Reason why a request was not admitted and not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Error)]
pub enum AdmissionError {
    /// The queue of the organisation or of the entry is full.
    #[display("the queue is full")]
    QueueFull,
    /// The answer would arrive after the deadline.
    #[display("the deadline can't be met: the expected time to an answer is {expected}")]
    DeadlineUnreachable {
        /// Expected time to the answer.
        expected: Millis,
    },
}

/// Queue that prefers live to deferrable work, and serves organisations by deficit round robin.
///
/// ```
/// use base::clock::Millis;
/// use route::{admission::{AdmissionQueue, QueuedRequest}, admission_cfg::AdmissionCfg};
/// use schema::service::Class;
///
/// let mut queue = AdmissionQueue::new(AdmissionCfg::default());
/// let organisation = "tulegenov".parse().unwrap();
/// let deadline = Millis(900);
/// let request = QueuedRequest { id: 1, organisation, class: Class::Live, deadline, cost: 50 };
/// queue.push(Millis(0), request).unwrap();
/// assert_eq!(queue.pop(Millis(0)).unwrap().id, 1);
/// ```
#[derive(Debug)]
pub struct AdmissionQueue {
    cfg: AdmissionCfg,
    live: ClassQueue,
    deferrable: ClassQueue,
    /// Dispatches of live work since the last deferrable one, counted while deferrable work waits.
    consecutive_live: u32,
    /// Requests that [`AdmissionQueue::pop`] skipped because they can't meet their deadline.
    skipped: Vec<QueuedRequest>,
    in_flight: usize,
    /// Average number of requests in flight while others waited.
    average_in_flight: f64,
    /// Recent service times in milliseconds, oldest first.
    recent_ms: VecDeque<u64>,
    mean_ms: u64,
    slow_ms: u64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(cfg: AdmissionCfg) -> Self {
        Self {
            cfg,
            live: ClassQueue::default(),
            deferrable: ClassQueue::default(),
            consecutive_live: 0,
            skipped: Vec::new(),
            in_flight: 0,
            average_in_flight: 0.0,
            recent_ms: VecDeque::with_capacity(RECENT_SAMPLES),
            mean_ms: 0,
            slow_ms: 0,
        }
    }

    /// Adds a request, or refuses it immediately.
    pub fn push(&mut self, now: Millis, request: QueuedRequest) -> Result<(), AdmissionError> {
        let queue = self.class(request.class);
        if queue.len_of(&request.organisation) >= self.cfg.queue_per_organisation {
            return Err(AdmissionError::QueueFull);
        }
        if self.len() >= self.cfg.queue_total {
            return Err(AdmissionError::QueueFull);
        }
        let wait = self.expected_wait(&request.organisation, request.class);
        let reserved = Millis(wait.0 * WAIT_SHARE_DIVISOR) + self.slow_service_time();
        if now >= request.deadline || self.is_too_late(now + reserved, request.deadline) {
            let expected = self.expected_response_time(&request.organisation, request.class);
            return Err(AdmissionError::DeadlineUnreachable { expected });
        }
        self.class_mut(request.class).push(request);
        Ok(())
    }

    /// Takes the next request to dispatch; it counts as in flight until
    /// [`AdmissionQueue::finished`].
    ///
    /// Requests that can't meet their deadline are skipped; [`AdmissionQueue::take_expired`]
    /// returns them.
    pub fn pop(&mut self, now: Millis) -> Option<QueuedRequest> {
        loop {
            let class = self.next_class();
            let request = self.class_mut(class).pop()?;
            if self.has_expired(now, &request) {
                self.skipped.push(request);
                continue;
            }
            self.count_dispatch(class);
            self.in_flight += 1;
            self.sample_in_flight();
            return Some(request);
        }
    }

    /// Records the end of a dispatched request, and the service time if it had an answer.
    pub fn finished(&mut self, took: Option<Millis>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let Some(took) = took else {
            return;
        };
        if self.recent_ms.len() == RECENT_SAMPLES {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(took.0);
        let mut sorted: Vec<u64> = self.recent_ms.iter().copied().collect();
        sorted.sort_unstable();
        self.mean_ms = sorted.iter().sum::<u64>() / sorted.len() as u64;
        self.slow_ms = sorted[(sorted.len() - 1) * SLOW_PERCENTILE / 100];
    }

    /// Removes and returns the requests that can no longer meet their deadline; none was run.
    pub fn take_expired(&mut self, now: Millis) -> Vec<QueuedRequest> {
        let mut expired = std::mem::take(&mut self.skipped);
        let expected_answer = now + self.slow_service_time();
        let no_estimate = !self.cfg.early_refusal || self.in_flight == 0;
        let mut late =
            |r: &QueuedRequest| r.deadline <= if no_estimate { now } else { expected_answer };
        expired.extend(self.live.take(&mut late));
        expired.extend(self.deferrable.take(&mut late));
        expired
    }

    /// Removes a request whose caller went away; returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        let mut matches = |r: &QueuedRequest| r.id == id;
        !self.live.take(&mut matches).is_empty() || !self.deferrable.take(&mut matches).is_empty()
    }

    /// Expected time until a request that is added now is dispatched.
    ///
    /// The rate at which the queue is served follows from the requests in flight: while requests
    /// wait, every slot that this entry may use is in use.
    pub fn expected_wait(&self, organisation: &Name, class: Class) -> Millis {
        let interval = self.cfg.deferrable_every.max(2) as usize;
        let own = self.class(class).ahead_of(organisation);
        let ahead = match class {
            Class::Live => own + (own / (interval - 1)).min(self.deferrable.len),
            Class::Deferrable => own + (own * (interval - 1)).min(self.live.len),
        };
        let slots = self.average_in_flight.max(self.in_flight as f64).max(1.0);
        Millis((ahead as f64 * self.mean_ms as f64 / slots) as u64)
    }

    /// Expected time until a request that is added now is answered.
    pub fn expected_response_time(&self, organisation: &Name, class: Class) -> Millis {
        self.expected_wait(organisation, class) + self.slow_service_time()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.live.len + self.deferrable.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// 90th percentile of the recent service times.
    pub fn slow_service_time(&self) -> Millis {
        Millis(self.slow_ms)
    }

    fn sample_in_flight(&mut self) {
        let in_flight = self.in_flight as f64;
        if !self.is_empty() {
            self.average_in_flight +=
                (in_flight - self.average_in_flight) / IN_FLIGHT_AVERAGE_DIVISOR;
        }
        self.average_in_flight = self.average_in_flight.max(in_flight / 2.0);
    }

    fn has_expired(&self, now: Millis, request: &QueuedRequest) -> bool {
        now >= request.deadline
            || self.is_too_late(now + self.slow_service_time(), request.deadline)
    }

    /// Returns whether an answer expected at `answer` misses `deadline`.
    ///
    /// While nothing is in flight, no answer is considered late: otherwise all requests could be
    /// refused after a period of slow answers, and no new answer would correct the estimate.
    fn is_too_late(&self, answer: Millis, deadline: Millis) -> bool {
        self.cfg.early_refusal && self.in_flight > 0 && answer > deadline
    }

    fn next_class(&self) -> Class {
        let due = self.consecutive_live + 1 >= self.cfg.deferrable_every;
        if self.deferrable.len > 0 && (due || self.live.len == 0) {
            Class::Deferrable
        } else {
            Class::Live
        }
    }

    fn count_dispatch(&mut self, class: Class) {
        if class == Class::Deferrable || self.deferrable.len == 0 {
            self.consecutive_live = 0;
        } else {
            self.consecutive_live += 1;
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
