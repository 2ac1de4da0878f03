//! Retry rules and the retry budget.

use std::collections::VecDeque;

use base::clock::Millis;

use crate::{outcome::Outcome, retry_cfg::RetryCfg};

/// Parts into which the window of the budget is divided.
const PARTS: u64 = 10;

/// Budget that bounds retries to a share of the recent requests.
///
/// ```
/// use base::clock::Millis;
/// use route::{outcome::Outcome, retry::{Attempt, Budget, Verdict}, retry_cfg::RetryCfg};
///
/// let mut budget = Budget::new(RetryCfg::default());
/// budget.request(Millis(0));
/// let attempt = Attempt {
///     repeatable: true,
///     outcome: Outcome::Broken,
///     deadline: Millis(1_000),
///     expected: Millis(50),
/// };
/// assert_eq!(budget.decide(Millis(10), attempt), Verdict::Retry);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: RetryCfg,
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// A failed attempt for which a retry is considered.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the operation may run more than once.
    pub repeatable: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Point in time at which the caller needs the answer.
    pub deadline: Millis,
    /// Expected service time of the next attempt.
    pub expected: Millis,
}

/// Whether a failed attempt is tried again, on another server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Try again on a server that has not been tried; the budget has been charged.
    Retry,
    /// The outcome needs no retry.
    Final,
    /// The request may have been run and must not be repeated.
    NotRepeatable,
    /// The answer would arrive after the deadline.
    PastDeadline,
    /// The budget is used up.
    OverBudget,
}

impl Budget {
    /// Creates a budget without history.
    pub fn new(cfg: RetryCfg) -> Self {
        Self {
            cfg,
            parts: VecDeque::new(),
        }
    }

    /// Counts one dispatched request, not its retries.
    ///
    /// Refused requests must not be counted: at 3 times capacity they would raise the budget to
    /// 30% of the dispatched ones.
    pub fn request(&mut self, now: Millis) {
        self.part(now).requests += 1;
    }

    /// Decides whether a failed attempt is tried again, and charges the budget if so.
    pub fn decide(&mut self, now: Millis, attempt: Attempt) -> Verdict {
        match attempt.outcome {
            Outcome::Answered | Outcome::Cancelled => return Verdict::Final,
            Outcome::ServerError if !attempt.repeatable => return Verdict::Final,
            Outcome::Broken if !attempt.repeatable => return Verdict::NotRepeatable,
            _ => {}
        }
        if now + attempt.expected >= attempt.deadline {
            return Verdict::PastDeadline;
        }
        if self.left(now) == 0 {
            return Verdict::OverBudget;
        }
        self.part(now).retries += 1;
        Verdict::Retry
    }

    /// Retries that the budget allows at this moment.
    pub fn left(&mut self, now: Millis) -> u32 {
        self.expire(now);
        let requests: u32 = self.parts.iter().map(|p| p.requests).sum();
        let retries: u32 = self.parts.iter().map(|p| p.retries).sum();
        let allowed = (requests * self.cfg.percent / 100).max(self.cfg.at_least);
        allowed.saturating_sub(retries)
    }

    fn expire(&mut self, now: Millis) {
        while let Some(first) = self.parts.front() {
            if now.since(first.start) < self.cfg.window_ms {
                return;
            }
            self.parts.pop_front();
        }
    }

    fn part(&mut self, now: Millis) -> &mut Part {
        let length = (self.cfg.window_ms.0 / PARTS).max(1);
        let start = Millis(now.0 / length * length);
        if self.parts.back().is_none_or(|p| p.start < start) {
            self.parts.push_back(Part {
                start,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
