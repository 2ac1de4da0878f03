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
    /// Kind of work; corrections of declared numbers are learned for each kind.
    pub kind: Name,
    /// What the gang needs.
    pub shape: Shape,
    /// Declared run time.
    pub run_time_ms: Millis,
    /// Whether the job goes before others and may reclaim guaranteed capacity at once.
    #[serde(default)]
    pub urgent: bool,
    /// What can be done with the job when its capacity is reclaimed.
    #[serde(default)]
    pub stop: StopMode,
}

/// What can be done with a running job when its capacity is reclaimed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// It can be checkpointed and continued later.
    #[default]
    Checkpoint,
    /// It can be stopped and started from the beginning.
    Restart,
    /// It must not be stopped, so it never uses borrowed capacity.
    Never,
}

/// Phase of a job.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted, not placed.
    #[display("waiting")]
    Waiting,
    /// Placed; the workers are asked to hold the accelerators.
    #[display("holding")]
    Holding,
    /// All members are held and the start is decided.
    #[display("running")]
    Running,
    /// The whole gang is being stopped and will wait again or end.
    #[display("stopping")]
    Stopping,
    /// Ended by itself with success.
    #[display("done")]
    Done,
    /// Ended by a fault of its own.
    #[display("failed")]
    Failed,
    /// Refused; it never starts.
    #[display("refused")]
    Refused,
    /// Cancelled; it never starts again.
    #[display("cancelled")]
    Cancelled,
}

impl Phase {
    /// Returns whether the phase never changes any more.
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
