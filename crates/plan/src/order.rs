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
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// An order to one worker.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Order {
    /// Attempt to which the order belongs.
    pub attempt: Attempt,
    /// Worker and accelerators of the member.
    pub member: Member,
    /// What the worker has to do.
    pub action: Action,
}

/// What a worker has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Hold the accelerators for this attempt until a `Go`, a `Release` or the expiry of the hold.
    Hold {
        /// Cores of the member.
        cores: u16,
        /// Memory of the member, in MiB.
        memory_mb: u32,
    },
    /// Start the held task.
    Go,
    /// Release a hold that will not be started.
    Release,
    /// Stop the task.
    Stop {
        /// Whether to take a checkpoint first.
        checkpoint: bool,
    },
    /// Limit the task to its declared resources.
    Throttle,
}
