//! Why jobs end.

use crate::{job::SubtaskId, progress::Phase};

/// Cause of the end of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) enum JobEnd<'a> {
    /// All subtasks are done.
    Done,
    /// A subtask has failed as often as its queue allows.
    Failures {
        task: &'a SubtaskId,
        failures: u32,
        limit: u32,
    },
    /// A subtask crashes the workers that start it.
    Crashes {
        task: &'a SubtaskId,
        crashes: u32,
        limit: u32,
    },
    /// A caller has cancelled the job.
    Cancelled,
}

impl JobEnd<'_> {
    pub(crate) const fn phase(self) -> Phase {
        match self {
            Self::Done => Phase::Completed,
            Self::Failures { .. } | Self::Crashes { .. } => Phase::Failed,
            Self::Cancelled => Phase::Cancelled,
        }
    }

    /// Returns the cause as a field of log lines.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failures { .. } => "failures",
            Self::Crashes { .. } => "crashes",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns the subtask at fault, its count and the limit that the count has reached.
    pub(crate) const fn fault(&self) -> Option<(&SubtaskId, u32, u32)> {
        match self {
            Self::Failures {
                task,
                failures: count,
                limit,
            }
            | Self::Crashes {
                task,
                crashes: count,
                limit,
            } => Some((task, *count, *limit)),
            Self::Done | Self::Cancelled => None,
        }
    }
}
