//! Progress of a job: the part of its state that is stored.

use base::clock::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::job::{Accepted, Text};

/// Phase of a job.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No subtask has started.
    #[default]
    #[display("queued")]
    Queued,
    /// Some subtask has started.
    #[display("running")]
    Running,
    /// All subtasks are done.
    #[display("completed")]
    Completed,
    /// A subtask was given up.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl Phase {
    /// Returns whether no subtask will start any more.
    ///
    /// ```
    /// use batch::progress::Phase;
    /// assert!(Phase::Failed.is_final());
    /// assert!(!Phase::Queued.is_final());
    /// ```
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// State of a run. It is not stored: a new leader asks the workers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum RunState {
    /// Taken over from the store; the worker has not been heard yet.
    #[default]
    Adopted,
    /// The start is ordered and not answered.
    Ordered,
    /// The worker has it.
    Running,
    /// A stop is ordered.
    Stopping,
}

/// A run that may exist on a worker.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// Id of the worker.
    #[serde(rename = "w")]
    pub worker: Text,
    /// Start of the worker's life.
    #[serde(rename = "b")]
    pub born: u64,
    #[serde(skip)]
    pub(crate) state: RunState,
    /// When the run was placed.
    #[serde(skip)]
    pub(crate) placed: Millis,
    /// When the worker answered the last order about the run.
    #[serde(skip)]
    pub(crate) answered: Option<Millis>,
    /// When the last order about the run was issued.
    #[serde(skip)]
    pub(crate) ordered: Millis,
    /// Progress in percent, as last reported.
    #[serde(skip)]
    pub(crate) percent: u32,
    /// Starts sent without an answer.
    #[serde(skip)]
    pub(crate) unanswered: u32,
    /// Whether the worker has listed it as running.
    #[serde(skip)]
    pub(crate) listed: bool,
}

/// State of one subtask; the field names are short because a row holds hundreds.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Task {
    /// Highest number of a start that may have been sent.
    #[serde(rename = "a", skip_serializing_if = "is_zero")]
    pub attempt: u32,
    /// Runs that ended failed.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub fails: u32,
    /// Whether it is done.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Newest checkpoint.
    #[serde(rename = "c", skip_serializing_if = "str::is_empty")]
    pub checkpoint: Text,
    /// The run that may exist.
    #[serde(rename = "r", skip_serializing_if = "Option::is_none")]
    pub run: Option<Run>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// One occurrence: the subtasks of each step.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Occurrence {
    /// Subtasks by step and index.
    pub steps: Vec<Vec<Task>>,
}

impl Occurrence {
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|t| t.done)
    }
}

/// Stored progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Progress {
    /// Phase of the job.
    pub phase: Phase,
    /// Queue, so that waiting jobs can be counted without their record.
    pub queue: Text,
    /// Wall-clock time of the last phase.
    pub at: Millis,
    /// Occurrences that have begun.
    pub occurrences: Vec<Occurrence>,
}

impl Progress {
    /// Returns whether any run may exist.
    ///
    /// ```
    /// assert!(!batch::progress::Progress::default().has_runs());
    /// ```
    pub fn has_runs(&self) -> bool {
        let tasks = self.occurrences.iter().flat_map(|o| &o.steps).flatten();
        tasks.into_iter().any(|t| t.run.is_some())
    }

    pub(crate) fn new(rec: &Accepted) -> Self {
        let queue = rec.queue.clone();
        Self {
            queue,
            at: rec.at,
            ..Self::default()
        }
    }

    pub(crate) fn open(rec: &Accepted) -> Occurrence {
        let tasks = |count: u32| vec![Task::default(); count as usize];
        let steps = rec.spec.steps.iter().map(|s| tasks(s.count)).collect();
        Occurrence { steps }
    }
}
