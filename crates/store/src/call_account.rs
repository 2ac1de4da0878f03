//! Account of the calls of HTTP clients, by purpose and outcome.

use std::{cell::Cell, rc::Rc};

use base::clock::{self, Millis};
use transfer::exchange::Exchange;

use crate::http_client::{Answer, CallError};

/// Upper bounds of the latency buckets, in ms. Renewals wait at the worker for up to 1.5 s.
pub const LATENCY_BOUNDS: [u64; 11] = [1, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_000, 5_000];
/// Estimated bytes of a request line with its headers.
const REQUEST_HEAD_BYTES: u64 = 180;
/// Estimated bytes of a status line with its headers.
const ANSWER_HEAD_BYTES: u64 = 110;

/// What a call is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Sequential renewal of a worker's lease.
    Renewal,
    /// Renewal beside the sequential ones.
    Extension,
    /// Report of a worker beside its renewals.
    Report,
    /// Check that a worker answers before a start.
    Contact,
    /// Start of a run.
    Start,
    /// Stop of a run.
    Stop,
    /// Read of the VM list.
    List,
    /// Wait for changes of a table.
    Feed,
    /// Transaction.
    Commit,
    /// Transaction or read for the leader lease.
    Lease,
    /// Read of the configuration, or wait for its changes.
    Config,
    /// Other read of the store.
    Read,
    /// Request for tickets.
    Policy,
    /// Question to another node.
    Peer,
}

impl Purpose {
    /// All purposes, in the order of their declaration.
    pub const ALL: [Self; 14] = [
        Self::Renewal,
        Self::Extension,
        Self::Report,
        Self::Contact,
        Self::Start,
        Self::Stop,
        Self::List,
        Self::Feed,
        Self::Commit,
        Self::Lease,
        Self::Config,
        Self::Read,
        Self::Policy,
        Self::Peer,
    ];

    /// Returns the name of the purpose, a label of metrics.
    ///
    /// ```
    /// assert_eq!(store::call_account::Purpose::Stop.name(), "stop");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Renewal => "renewal",
            Self::Extension => "extension",
            Self::Report => "report",
            Self::Contact => "contact",
            Self::Start => "start",
            Self::Stop => "stop",
            Self::List => "list",
            Self::Feed => "feed",
            Self::Commit => "commit",
            Self::Lease => "lease",
            Self::Config => "config",
            Self::Read => "read",
            Self::Policy => "policy",
            Self::Peer => "peer",
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete answer with any status.
    Answered,
    /// The connection was refused.
    Refused,
    /// No complete answer within the limit.
    NoAnswer,
    /// The connection closed without an answer.
    Closed,
    /// Nothing was sent.
    NotSent,
    /// The caller no longer waited, for example because a repeated read was answered first.
    Abandoned,
}

impl Outcome {
    /// All outcomes, in the order of their declaration.
    pub const ALL: [Self; 6] = [
        Self::Answered,
        Self::Refused,
        Self::NoAnswer,
        Self::Closed,
        Self::NotSent,
        Self::Abandoned,
    ];

    /// Returns the name of the outcome, a label of metrics.
    ///
    /// ```
    /// assert_eq!(store::call_account::Outcome::NoAnswer.name(), "no_answer");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::NoAnswer => "no_answer",
            Self::Closed => "closed",
            Self::NotSent => "not_sent",
            Self::Abandoned => "abandoned",
        }
    }

    const fn of(result: &Result<Answer, CallError>) -> Self {
        match result {
            Ok(_) => Self::Answered,
            Err(CallError::Refused(_)) => Self::Refused,
            Err(CallError::NoAnswer(_) | CallError::TooLong(_)) => Self::NoAnswer,
            Err(CallError::Closed(_)) => Self::Closed,
            Err(CallError::NotSent(_)) => Self::NotSent,
        }
    }
}

/// Number of calls and their bytes, with an estimate of the headers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Number of calls.
    pub calls: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// Time from sending a call to its complete answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Latency {
    /// Number of answers up to each of [`LATENCY_BOUNDS`] and above the one before it.
    pub buckets: [u64; LATENCY_BOUNDS.len()],
    /// Number of all answers.
    pub answers: u64,
    /// Sum of the times in ms.
    pub sum_ms: u64,
}

impl Latency {
    fn record(&mut self, took: Millis) {
        let index = LATENCY_BOUNDS.partition_point(|bound| *bound < took.0);
        if let Some(bucket) = self.buckets.get_mut(index) {
            *bucket += 1;
        }
        self.answers += 1;
        self.sum_ms += took.0;
    }
}

/// Account of calls; the clients of a process share one.
///
/// ```
/// use store::call_account::{CallAccount, Outcome, Purpose};
/// let account = CallAccount::default();
/// assert_eq!(account.traffic(Purpose::Start, Outcome::Answered).calls, 0);
/// ```
#[derive(Debug, Default)]
pub struct CallAccount {
    traffic: [[Cell<Traffic>; Outcome::ALL.len()]; Purpose::ALL.len()],
    latencies: [Cell<Latency>; Purpose::ALL.len()],
}

impl CallAccount {
    /// Returns the calls of a purpose with an outcome.
    ///
    /// ```
    /// use store::call_account::{CallAccount, Outcome, Purpose};
    /// CallAccount::default().traffic(Purpose::Feed, Outcome::Closed);
    /// ```
    pub const fn traffic(&self, purpose: Purpose, outcome: Outcome) -> Traffic {
        self.traffic[purpose as usize][outcome as usize].get()
    }

    /// Returns the latency of the answered calls of a purpose.
    ///
    /// ```
    /// use store::call_account::{CallAccount, Purpose};
    /// assert_eq!(CallAccount::default().latency(Purpose::Start).answers, 0);
    /// ```
    pub const fn latency(&self, purpose: Purpose) -> Latency {
        self.latencies[purpose as usize].get()
    }

    fn record(&self, purpose: Purpose, outcome: Outcome, sent_bytes: u64, received_bytes: u64) {
        let cell = &self.traffic[purpose as usize][outcome as usize];
        let before = cell.get();
        cell.set(Traffic {
            calls: before.calls + 1,
            sent_bytes: before.sent_bytes + sent_bytes,
            received_bytes: before.received_bytes + received_bytes,
        });
    }

    fn record_latency(&self, purpose: Purpose, took: Millis) {
        let cell = &self.latencies[purpose as usize];
        let mut latency = cell.get();
        latency.record(took);
        cell.set(latency);
    }
}

/// A call under way. It counts as abandoned if it is dropped before its result is recorded.
#[derive(Debug)]
pub(crate) struct OpenCall {
    account: Rc<CallAccount>,
    purpose: Purpose,
    body_bytes: u64,
    /// What has arrived of the answer, whether it gets complete or not.
    exchange: Rc<Exchange>,
    /// Time when the call was sent; `None` while it waits for a connection.
    sent_at: Option<Millis>,
    is_recorded: bool,
}

impl OpenCall {
    pub(crate) const fn new(
        account: Rc<CallAccount>,
        purpose: Purpose,
        body_bytes: u64,
        exchange: Rc<Exchange>,
    ) -> Self {
        Self {
            account,
            purpose,
            body_bytes,
            exchange,
            sent_at: None,
            is_recorded: false,
        }
    }

    pub(crate) fn set_sent(&mut self) {
        self.sent_at = Some(clock::now());
    }

    pub(crate) fn record(mut self, result: &Result<Answer, CallError>) {
        if let (Ok(_), Some(sent_at)) = (result, self.sent_at) {
            let took = clock::now().since(sent_at);
            self.account.record_latency(self.purpose, took);
        }
        self.end(Outcome::of(result));
    }

    fn end(&mut self, outcome: Outcome) {
        self.is_recorded = true;
        let head = self.exchange.first().map_or(0, |_| ANSWER_HEAD_BYTES);
        let received = head + self.exchange.bytes() as u64;
        let is_sent = self.sent_at.is_some() && outcome != Outcome::NotSent;
        let sent = match outcome {
            Outcome::Refused => 0,
            _ if is_sent => REQUEST_HEAD_BYTES + self.body_bytes,
            _ => 0,
        };
        self.account.record(self.purpose, outcome, sent, received);
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.end(Outcome::Abandoned);
        }
    }
}
