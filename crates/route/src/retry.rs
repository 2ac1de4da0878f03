//! Retry rules and retry budget.

use std::collections::VecDeque;

use base::clock::Millis;

use crate::{outcome::Outcome, retry_cfg::RetryCfg};

/// Number of buckets into which the window of the budget is divided.
const BUCKETS: u64 = 10;

/// Budget that limits retries to a share of the recent requests.
///
/// ```
/// use base::clock::Millis;
/// use route::{
///     outcome::Outcome,
///     retry::{FailedAttempt, RetryBudget, RetryDecision},
///     retry_cfg::RetryCfg,
/// };
///
/// let mut budget = RetryBudget::new(RetryCfg::default());
/// budget.record_request(Millis(0));
/// let attempt = FailedAttempt {
///     repeatable: true,
///     outcome: Outcome::Broken,
///     broken: 1,
///     deadline: Millis(1_000),
///     expected: Millis(50),
/// };
/// assert_eq!(budget.decide(Millis(10), attempt), RetryDecision::Retry);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryCfg,
    /// Buckets of the window, oldest first.
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// A failed attempt for which a retry is considered.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether the operation may run more than once.
    pub repeatable: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Number of attempts of the request that ended broken, including this one.
    pub broken: u32,
    /// Time by which the caller needs the answer.
    pub deadline: Millis,
    /// Expected service time of the next attempt.
    pub expected: Millis,
}

/// Decision on whether a failed attempt is retried on another server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry on a server that has not been tried; the retry is already charged to the budget.
    Retry,
    /// The outcome goes to the caller without a retry.
    Final,
    /// The request may have been run and must not be repeated.
    NotRepeatable,
    /// The request may be what breaks the servers.
    TooManyBroken,
    /// The answer would arrive after the deadline.
    PastDeadline,
    /// The budget is used up.
    OverBudget,
}

impl RetryBudget {
    /// Creates a budget without history.
    pub fn new(cfg: RetryCfg) -> Self {
        Self {
            cfg,
            buckets: VecDeque::new(),
        }
    }

    /// Counts one dispatched request; its retries are not counted here.
    ///
    /// Refused requests must not be counted: at 3 times capacity they would raise the budget to
    /// 30% of the dispatched requests.
    pub fn record_request(&mut self, now: Millis) {
        self.current_bucket(now).requests += 1;
    }

    /// Decides whether a failed attempt is retried, and charges the budget if so.
    pub fn decide(&mut self, now: Millis, attempt: FailedAttempt) -> RetryDecision {
        match attempt.outcome {
            Outcome::Answered | Outcome::Cancelled => return RetryDecision::Final,
            Outcome::ServerError if !attempt.repeatable => return RetryDecision::Final,
            Outcome::Broken if !attempt.repeatable => return RetryDecision::NotRepeatable,
            _ => {}
        }
        if attempt.broken >= self.cfg.max_broken {
            return RetryDecision::TooManyBroken;
        }
        if now + attempt.expected >= attempt.deadline {
            return RetryDecision::PastDeadline;
        }
        if self.remaining(now) == 0 {
            return RetryDecision::OverBudget;
        }
        self.current_bucket(now).retries += 1;
        RetryDecision::Retry
    }

    /// Number of retries that the budget still allows.
    pub fn remaining(&mut self, now: Millis) -> u32 {
        self.expire(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let allowed = (requests * self.cfg.percent / 100).max(self.cfg.at_least);
        allowed.saturating_sub(retries)
    }

    fn expire(&mut self, now: Millis) {
        while let Some(first) = self.buckets.front() {
            if now.since(first.start) < self.cfg.window_ms {
                return;
            }
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, now: Millis) -> &mut Bucket {
        let length = (self.cfg.window_ms.0 / BUCKETS).max(1);
        let start = Millis(now.0 / length * length);
        if self.buckets.back().is_none_or(|b| b.start < start) {
            self.buckets.push_back(Bucket {
                start,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
