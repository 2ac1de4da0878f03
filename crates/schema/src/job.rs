//! Jobs and their phases.

use base::{clock::Millis, name::Name};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::shape::Shape;

/// A job that runs as one gang.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Organisation that submitted the job.
    pub organisation: Name,
    /// Team whose quota the job uses.
    pub team: Name,
    /// Name, unique in the organisation.
    pub name: Name,
    /// Kind of work; corrections to the declared values are learned per kind.
    pub kind: Name,
    /// Resources that the gang needs.
    pub shape: Shape,
    /// Declared run time.
    pub run_time_ms: Millis,
    /// Whether the job is placed before others and may reclaim guaranteed capacity immediately.
    #[serde(default)]
    pub urgent: bool,
    /// How the job can be stopped when its capacity is reclaimed.
    #[serde(default)]
    pub stop: StopMode,
}

/// How a running job can be stopped when its capacity is reclaimed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// The job can be checkpointed and resumed later.
    #[default]
    Checkpoint,
    /// The job can be stopped and later restarted from the beginning.
    Restart,
    /// The job must not be stopped, so it never uses borrowed capacity.
    Never,
}

/// Phase of a job.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted but not placed yet.
    #[display("waiting")]
    Waiting,
    /// Placed; the workers are asked to hold the accelerators.
    #[display("holding")]
    Holding,
    /// The accelerators of all members are held and the scheduler has decided to start the job.
    #[display("running")]
    Running,
    /// The whole gang is being stopped; the job then waits again or ends.
    #[display("stopping")]
    Stopping,
    /// The job finished successfully.
    #[display("done")]
    Done,
    /// The job failed by itself.
    #[display("failed")]
    Failed,
    /// The job was refused and never starts.
    #[display("refused")]
    Refused,
    /// The job was cancelled and never starts again.
    #[display("cancelled")]
    Cancelled,
}

impl Phase {
    /// Returns whether no other phase can follow.
    ///
    /// ```
    /// use schema::job::Phase;
    /// assert!(Phase::Refused.is_final());
    /// assert!(!Phase::Running.is_final());
    /// ```
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            Self::Done | Self::Failed | Self::Refused | Self::Cancelled
        )
    }
}
