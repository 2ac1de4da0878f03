//! Orders to workers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::record::{JobKey, Member};

/// One attempt to run a job.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[display("{job}#{attempt}")]
pub struct Attempt {
    /// The job.
    pub job: JobKey,
    /// Number of the attempt.
    pub attempt: u32,
}

/// An order to one worker.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// Attempt to which the order belongs.
    pub attempt: Attempt,
    /// Worker and accelerators.
    pub member: Member,
    /// What the worker has to do.
    pub action: Action,
}

/// What a worker has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Keep the accelerators for this attempt until `Go`, `Release` or expiry.
    Hold {
        /// Cores of the member.
        cores: u16,
        /// Memory of the member, in MiB.
        memory_mb: u32,
    },
    /// Start the held task.
    Go,
    /// Give up a hold that will not be started.
    Release,
    /// Stop the task, with a checkpoint first if `checkpoint` is set.
    Stop {
        /// Whether to take a checkpoint.
        checkpoint: bool,
    },
    /// Limit the task to its declared resources.
    Throttle,
}
