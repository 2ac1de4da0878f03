//! Calls of the leader and repeated orders, as one log line.

use base::clock::{self, Millis};
use store::call_account::{CallAccount, Outcome, Purpose};

use crate::{cx::Cx, leader::Leader};

/// Interval between two lines.
const INTERVAL: Millis = Millis(5_000);
/// Wait of a unit from which on the line is written.
const LONG_WAIT: Millis = Millis(3_000);
/// Calls that are answered at once. The answers to others wait for something to happen.
const PROMPT: [Purpose; 5] = [
    Purpose::Extension,
    Purpose::Report,
    Purpose::Contact,
    Purpose::Start,
    Purpose::Stop,
];

/// Numbers at the time of the last line.
#[derive(Debug)]
pub(crate) struct LoadLog {
    at: Millis,
    before: Totals,
}

/// Sums over the purposes of calls.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    calls: u64,
    no_answers: u64,
    closed: u64,
    sent_bytes: u64,
    received_bytes: u64,
    /// Sent bytes of commits, of renewals and reports, and of orders.
    sent_commits: u64,
    sent_renewals: u64,
    sent_orders: u64,
    /// Received bytes of reads of whole tables and of the VM list.
    received_reads: u64,
    starts: u64,
    stops: u64,
    extensions: u64,
    /// Answers to calls of [`PROMPT`], and the sum of their times in ms.
    prompt: (u64, u64),
    /// Answered commits, likewise.
    commits: (u64, u64),
}

impl LoadLog {
    pub(crate) fn new(cx: &Cx) -> Self {
        Self {
            at: clock::now(),
            before: Totals::of(&cx.calls),
        }
    }

    /// Writes the line if it is due. It is left out while the lease is valid, all calls are answered and
    /// nothing is repeated or waits for long.
    pub(crate) fn record(&mut self, cx: &Cx, leader: &Leader) {
        let now = clock::now();
        let took = now.since(self.at);
        if took < INTERVAL {
            return;
        }
        let totals = Totals::of(&cx.calls);
        let new = totals.since(self.before);
        *self = Self {
            at: now,
            before: totals,
        };
        let mut scheduler = leader.scheduler.borrow_mut();
        let load = scheduler.take_order_load();
        let acting = cx.acting().is_some();
        let is_calm = acting
            && new.no_answers == 0
            && load.repeated_starts + load.repeated_stops == 0
            && load.longest_wait < LONG_WAIT;
        if is_calm {
            return;
        }
        let mean = |(answers, ms): (u64, u64)| ms.checked_div(answers).unwrap_or_default();
        let usage = scheduler.usage();
        log::info!(
            ms = took.0, acting, calls = new.calls, no_answers = new.no_answers, closed = new.closed,
            starts = new.starts, repeated_starts = load.repeated_starts,
            stops = new.stops, repeated_stops = load.repeated_stops, extensions = new.extensions,
            awaited_starts = scheduler.awaited_starts(),
            answer_ms = mean(new.prompt), commits = new.commits.0, commit_ms = mean(new.commits),
            window = leader.window.size(), waiting_calls = leader.window.waiting(),
            sent_bytes = new.sent_bytes, sent_commits = new.sent_commits,
            sent_renewals = new.sent_renewals, sent_orders = new.sent_orders,
            received_bytes = new.received_bytes, received_reads = new.received_reads,
            longest_wait_ms = load.longest_wait.0, silent_workers = usage.silent,
            capacity = usage.capacity, used = usage.used, listed = usage.listed;
            "leader: load"
        );
    }
}

impl Totals {
    fn of(account: &CallAccount) -> Self {
        let mut totals = Self::default();
        for purpose in Purpose::ALL {
            let (mut calls, mut sent, mut received) = (0, 0, 0);
            for outcome in Outcome::ALL {
                let traffic = account.traffic(purpose, outcome);
                calls += traffic.calls;
                sent += traffic.sent_bytes;
                received += traffic.received_bytes;
                match outcome {
                    Outcome::NoAnswer => totals.no_answers += traffic.calls,
                    Outcome::Closed => totals.closed += traffic.calls,
                    Outcome::Answered
                    | Outcome::Refused
                    | Outcome::NotSent
                    | Outcome::Abandoned => {}
                }
            }
            totals.calls += calls;
            totals.sent_bytes += sent;
            totals.received_bytes += received;
            match purpose {
                Purpose::Start => totals.starts = calls,
                Purpose::Stop => totals.stops = calls,
                Purpose::Extension => totals.extensions = calls,
                _ => {}
            }
            match purpose {
                Purpose::Commit => totals.sent_commits += sent,
                Purpose::Start | Purpose::Stop => totals.sent_orders += sent,
                Purpose::Renewal | Purpose::Extension | Purpose::Report | Purpose::Contact => {
                    totals.sent_renewals += sent;
                }
                Purpose::Read | Purpose::List => totals.received_reads += received,
                Purpose::Feed
                | Purpose::Lease
                | Purpose::Config
                | Purpose::Policy
                | Purpose::Peer => {}
            }
        }
        for latency in PROMPT.map(|p| account.latency(p)) {
            totals.prompt.0 += latency.answers;
            totals.prompt.1 += latency.sum_ms;
        }
        let commits = account.latency(Purpose::Commit);
        totals.commits = (commits.answers, commits.sum_ms);
        totals
    }

    const fn since(self, before: Self) -> Self {
        Self {
            calls: self.calls - before.calls,
            no_answers: self.no_answers - before.no_answers,
            closed: self.closed - before.closed,
            sent_bytes: self.sent_bytes - before.sent_bytes,
            received_bytes: self.received_bytes - before.received_bytes,
            sent_commits: self.sent_commits - before.sent_commits,
            sent_renewals: self.sent_renewals - before.sent_renewals,
            sent_orders: self.sent_orders - before.sent_orders,
            received_reads: self.received_reads - before.received_reads,
            starts: self.starts - before.starts,
            stops: self.stops - before.stops,
            extensions: self.extensions - before.extensions,
            prompt: (
                self.prompt.0 - before.prompt.0,
                self.prompt.1 - before.prompt.1,
            ),
            commits: (
                self.commits.0 - before.commits.0,
                self.commits.1 - before.commits.1,
            ),
        }
    }
}
