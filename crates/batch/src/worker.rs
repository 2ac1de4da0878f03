//! Workers, their reports and replies, and the orders sent to them.

use base::clock::Millis;

use crate::job::{Resources, SubtaskId, Text};

/// Entry of a worker in the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub id: Text,
    /// Service that the worker belongs to.
    pub service: Text,
    /// Network address of the worker.
    pub address: Text,
    /// Hardware that the worker runs on; the next worker on it has another id or incarnation.
    pub machine: Option<Text>,
    /// Data centre of the worker.
    pub zone: Text,
    /// Whether the worker is about to shut down.
    pub draining: bool,
    /// Minimum time until a draining worker shuts down.
    pub remaining: Option<Millis>,
    /// Time for which the worker still runs more slowly than usual.
    pub cold_remaining: Option<Millis>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker; the last one names the rack.
    pub labels: Vec<Text>,
    /// Incarnation: the worker's wall-clock time at its start. It distinguishes restarts under the
    /// same id.
    pub incarnation: u64,
    /// Time on the worker's clock when it wrote the entry.
    pub clock: Millis,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The subtask completed.
    Done,
    /// The run failed, because of the subtask or the worker.
    Failed,
    /// An order stopped the run.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

impl Outcome {
    /// Returns the name, a label of metrics and a field of log lines.
    ///
    /// ```
    /// assert_eq!(batch::worker::Outcome::Lapsed.name(), "lapsed");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The subtask.
    pub task: SubtaskId,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Text,
    /// Progress in percent.
    pub percent: u32,
}

/// A run that a worker reports as finished.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRun {
    /// Sequence number of the finished run within the worker's incarnation.
    pub seq: u64,
    /// The subtask.
    pub task: SubtaskId,
    /// Attempt number of the run.
    pub attempt: u32,
    /// How the run ended.
    pub outcome: Outcome,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Text,
}

/// Reply of a worker to a lease renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Time on the worker's clock.
    pub clock: Millis,
    /// Current incarnation of the worker.
    pub incarnation: u64,
    /// All runs that exist on the worker.
    pub running: Vec<Running>,
    /// Finished runs that were not acknowledged, by sequence number.
    pub finished: Vec<FinishedRun>,
    /// Whether the report names all running runs and all finished ones that were not acknowledged. A
    /// worker returns a limited number of them at a time, and a row may be malformed.
    pub is_complete: bool,
}

impl Report {
    /// Returns whether the worker lists a run as running or finished.
    pub(crate) fn names(&self, task: &SubtaskId, attempt: u32) -> bool {
        let is_running = |r: &Running| r.task == *task && r.attempt == attempt;
        let is_finished = |r: &FinishedRun| r.task == *task && r.attempt == attempt;
        self.running.iter().any(is_running) || self.finished.iter().any(is_finished)
    }
}

impl Default for Report {
    fn default() -> Self {
        Self {
            clock: Millis::ZERO,
            incarnation: 0,
            running: Vec::new(),
            finished: Vec::new(),
            is_complete: true,
        }
    }
}

/// Reply of a worker to a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The run exists on the known incarnation of the worker.
    Taken,
    /// The try that was answered did not start a run and will not start one later. An earlier one
    /// without an answer may, see
    /// [`handle_lost_start`](crate::scheduler::JobScheduler::handle_lost_start).
    Refused(Refusal),
    /// The order was not sent, because no connection to the worker was opened in time.
    NotSent,
    /// No reply: the order may still be carried out.
    Unknown,
    /// The connection closed without a reply: the order may have been carried out, and the worker may
    /// have crashed on it.
    Closed,
}

impl StartReply {
    /// Returns what the reply tells if another incarnation of the worker than the known one gave it. That
    /// one has not refused a start that the known one may still carry out.
    ///
    /// ```
    /// use batch::worker::StartReply;
    /// assert_eq!(StartReply::Taken.of_other_incarnation(), StartReply::Unknown);
    /// ```
    #[must_use]
    pub const fn of_other_incarnation(self) -> Self {
        match self {
            Self::Taken | Self::Refused(Refusal::Old) => Self::Unknown,
            Self::Refused(_) | Self::NotSent | Self::Unknown | Self::Closed => self,
        }
    }
}

/// Reason why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run has already ended or been stopped.
    Old,
    /// The lease in the order has expired.
    Late,
    /// The worker lacks free resources.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The order is for another incarnation of the worker.
    OtherLife,
    /// The worker currently accepts no work.
    Unhealthy,
    /// The worker could not decode the order.
    Invalid,
}

impl Refusal {
    /// Returns the name, a label of metrics and a field of log lines.
    ///
    /// ```
    /// assert_eq!(batch::worker::Refusal::Room.name(), "room");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Old => "old",
            Self::Late => "late",
            Self::Room => "room",
            Self::Ticket => "ticket",
            Self::OtherLife => "other_worker",
            Self::Unhealthy => "unhealthy",
            Self::Invalid => "invalid",
        }
    }
}

/// An order for a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The worker.
    pub worker: Text,
    /// The subtask.
    pub task: SubtaskId,
    /// Attempt number of the run.
    pub attempt: u32,
    /// Requested action.
    pub action: Action,
}

/// Action that an order requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the run.
    Start {
        /// Text of the job.
        text: Text,
        /// Checkpoint to continue from; empty if there is none.
        checkpoint: Text,
        /// Ticket of the policy service, if the queue requires one.
        ticket: Option<Text>,
    },
    /// Stop the run, or prevent it from starting.
    Stop,
}
