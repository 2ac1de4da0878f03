//! Workers, and what they say.

use base::clock::Millis;

use crate::job::{Need, TaskId, Text};

/// A worker as the VM list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Info {
    /// Id of the worker.
    pub id: Text,
    /// Service to which it belongs.
    pub service: Text,
    /// Address of its interface.
    pub address: Text,
    /// Its data centre.
    pub zone: Text,
    /// Whether it leaves.
    pub draining: bool,
    /// Least time until a draining worker leaves.
    pub remaining: Option<Millis>,
    /// What it has.
    pub capacity: Need,
    /// Its labels; one names the rack.
    pub labels: Vec<Text>,
    /// Wall-clock time of its start on its own clock; tells two lives under one id apart.
    pub born: u64,
    /// Its clock when it wrote the entry.
    pub clock: Millis,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum How {
    /// The work is done.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The subtask.
    pub task: TaskId,
    /// Number of its start.
    pub attempt: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Text,
    /// Progress in percent.
    pub percent: u32,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Number of the end in this life of the worker.
    pub seq: u64,
    /// The subtask.
    pub task: TaskId,
    /// Number of its start.
    pub attempt: u32,
    /// How it ended.
    pub how: How,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: Text,
}

/// Answer of a worker to a renewal of its lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Its clock.
    pub clock: Millis,
    /// Start of its present life.
    pub born: u64,
    /// All runs.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged, in order.
    pub ends: Vec<End>,
}

/// Answer of a worker to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The run is there.
    Taken,
    /// Nothing was started and nothing will be.
    Refused(Refusal),
    /// No answer: the order may be carried out later.
    Unknown,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// A higher fencing number was seen.
    Fenced,
    /// The run has ended there or was stopped.
    Old,
    /// The lease in the order is over.
    Late,
    /// The worker has no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// Another life of the worker.
    OtherLife,
    /// The worker takes no work now.
    Unhealthy,
    /// The order was not understood.
    Invalid,
}

/// An order for a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The worker.
    pub worker: Text,
    /// The subtask.
    pub task: TaskId,
    /// Number of its start.
    pub attempt: u32,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the run.
    Start {
        /// Text of the job.
        text: Text,
        /// Checkpoint to continue from; empty if there is none.
        checkpoint: Text,
        /// Ticket of the policy service, where the queue needs one.
        ticket: Option<Text>,
    },
    /// Stop the run, or keep it from starting.
    Stop,
}
