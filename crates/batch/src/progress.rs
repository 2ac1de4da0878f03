//! Progress of a job, the part of its state that is stored.

use base::{clock::Millis, sorted::SortedMap};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    isolation::{Isolation, IsolationWait},
    job::{AcceptedJob, Spec, SpecError, Text},
    stop_order::StopOrder,
};

/// Phase of a job.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No subtask has started.
    #[default]
    #[display("queued")]
    Queued,
    /// At least one subtask has started.
    #[display("running")]
    Running,
    /// All subtasks are done.
    #[display("completed")]
    Completed,
    /// A subtask failed too often.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl Phase {
    /// Returns whether the job has ended, so that no subtask will start any more.
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

/// State of a run. It is not stored, because a new leader learns it from the workers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum RunState {
    /// Loaded from the store; the worker has not reported yet.
    #[default]
    Adopted,
    /// The start was ordered but not answered.
    Ordered,
    /// The worker has confirmed the run.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A start order whose connection closed without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ClosedStart {
    /// Time when the connection closed.
    pub(crate) at: Millis,
    /// Whether the worker was in contact right before, so that the order has reached it.
    pub(crate) in_contact: bool,
}

/// A run that may exist on a worker: it was placed and is not known to have ended.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// Id of the worker.
    #[serde(rename = "w")]
    pub worker: Text,
    /// Incarnation of the worker that is known to have the run, or that was known when it was placed.
    #[serde(rename = "b")]
    pub incarnation: u64,
    #[serde(skip)]
    pub(crate) state: RunState,
    /// How far it was kept apart from other work when it was placed; `None` if an earlier leader placed
    /// it.
    #[serde(skip)]
    pub(crate) isolation: Option<Isolation>,
    /// Time when the run was placed; `None` if an earlier leader placed it.
    #[serde(skip)]
    pub(crate) placed_at: Option<Millis>,
    /// Time when the worker first answered an order about the run or listed it.
    #[serde(skip)]
    pub(crate) answered_at: Option<Millis>,
    /// Time when the worker first confirmed that the run exists there.
    #[serde(skip)]
    pub(crate) taken_at: Option<Millis>,
    /// Time when the worker confirmed the start by its answer to the first order; `None` if the start
    /// may have been earlier.
    #[serde(skip)]
    pub(crate) began_at: Option<Millis>,
    /// Expected run time when it was placed; `None` if its run time does not tell how fast the worker is,
    /// or an earlier leader placed it.
    #[serde(skip)]
    pub(crate) expected: Option<Millis>,
    /// The last start order whose connection closed without an answer.
    #[serde(skip)]
    pub(crate) closed_start: Option<ClosedStart>,
    /// Time of the first stop order.
    #[serde(skip)]
    pub(crate) stop_ordered_at: Option<Millis>,
    /// What became of the last stop order; `None` before the first one of this leader.
    #[serde(skip)]
    pub(crate) stop_order: Option<StopOrder>,
    /// Time of the last order about the run.
    #[serde(skip)]
    pub(crate) ordered_at: Millis,
    /// Last reported progress in percent.
    #[serde(skip)]
    pub(crate) percent: u32,
    /// Time of the report with this progress.
    #[serde(skip)]
    pub(crate) percent_at: Millis,
    /// Whether a start was ordered whose reply is not known yet.
    #[serde(skip)]
    pub(crate) awaits_reply: bool,
    /// Number of start orders that were not sent.
    #[serde(skip)]
    pub(crate) unsent_starts: u32,
    /// Number of start orders without an answer.
    #[serde(skip)]
    pub(crate) unanswered_starts: u32,
    /// Whether a start order was answered only after it had been sent again: the first try has no
    /// answer.
    #[serde(skip)]
    pub(crate) has_lost_start: bool,
    /// Whether the worker has listed it as running.
    #[serde(skip)]
    pub(crate) listed: bool,
}

impl Run {
    /// Records that an incarnation of the worker has the run.
    pub(crate) fn confirm(&mut self, incarnation: u64, now: Millis) {
        self.incarnation = incarnation;
        self.taken_at.get_or_insert(now);
        self.answered_at.get_or_insert(now);
    }

    /// Returns whether an incarnation has confirmed to this leader that it has the run.
    pub(crate) const fn is_confirmed_by(&self, incarnation: u64) -> bool {
        self.taken_at.is_some() && self.incarnation == incarnation
    }

    /// Returns whether a start without an answer was sent, which may still be carried out.
    pub(crate) const fn may_start_late(&self) -> bool {
        self.unanswered_starts > 0 || self.has_lost_start
    }
}

/// State of one subtask. The stored field names are short because a row holds hundreds of subtasks.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Subtask {
    /// Highest attempt number of a start that may have been sent.
    #[serde(rename = "a", skip_serializing_if = "is_zero")]
    pub attempt: u32,
    /// Number of failed runs.
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Number of workers that crashed under the subtask.
    #[serde(rename = "x", skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Whether a worker ended after a start that it had not answered, which may not have reached it.
    #[serde(rename = "u", skip_serializing_if = "std::ops::Not::not")]
    pub has_unproven_crash: bool,
    /// Whether the subtask is done.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Wait for a worker where nothing else is in its way. It is not stored: the wait begins anew with
    /// the next leader.
    #[serde(skip)]
    pub(crate) isolation_wait: Option<IsolationWait>,
    /// End of the last run on a worker that was lost, or the time since when the subtask, which is endless,
    /// has had no room. It is not stored.
    #[serde(skip)]
    pub(crate) idle_since: Option<Millis>,
    /// Time until which the subtask is not started. It is not stored: the next leader may start it
    /// once without the rest.
    #[serde(skip)]
    pub(crate) rests_until: Millis,
    /// Time since when the subtask waits for a worker that is not slow. It is not stored: the next leader
    /// counts from the submission, or anew for a later step.
    #[serde(skip)]
    pub(crate) avoids_slow_since: Option<Millis>,
    /// Newest checkpoint.
    #[serde(rename = "c", skip_serializing_if = "str::is_empty")]
    pub checkpoint: Text,
    /// Run that may exist.
    #[serde(rename = "r", skip_serializing_if = "Option::is_none")]
    pub run: Option<Run>,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// State of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Occurrence {
    /// Subtasks by step and index.
    pub steps: Vec<Vec<Subtask>>,
    /// Time of the first pass of this leader that considered the occurrence.
    #[serde(skip)]
    pub(crate) considered_at: Option<Millis>,
    /// Time when runs were last stopped for a unit of the occurrence that has not started since.
    #[serde(skip)]
    pub(crate) claimed_at: Option<Millis>,
}

/// Time for which a unit keeps its claim on the room of runs that were stopped for it. A stop takes up
/// to 0.9 s, its report and the orders up to as much again.
const CLAIM_TIME: Millis = Millis(2_000);

impl Occurrence {
    /// Returns how long ago runs were stopped for a unit that has not started since; `None` if it has
    /// lost its claim on their room.
    pub(crate) fn claimed(&self, now: Millis) -> Option<Millis> {
        let age = now.since(self.claimed_at?);
        (age < CLAIM_TIME).then_some(age)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().flatten().all(|t| t.done)
    }

    /// Returns how long the occurrence, which began at the wall-clock time `start`, has waited. The
    /// wall clock of the entry that accepted the job may be ahead, so the time that the leader has
    /// measured itself counts too.
    pub(crate) fn waited(&self, start: Millis, now: Millis, wall_now: Millis) -> Millis {
        let measured = self.considered_at.map_or(Millis::ZERO, |t| now.since(t));
        wall_now.since(start).max(measured)
    }
}

/// Stored progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Progress {
    /// Phase of the job.
    pub phase: Phase,
    /// Name of the queue, so that waiting jobs can be counted without their records.
    pub queue: Text,
    /// Wall-clock time when the current phase began.
    pub at: Millis,
    /// Time of the end by the clock of the store; `None` before the end is stored, and in rows of
    /// earlier versions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<Millis>,
    /// Occurrences that have become due.
    pub occurrences: Vec<Occurrence>,
    /// Maximum number of failed runs of a subtask when one was last started. It stays in force after
    /// the queue is removed from the configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_attempts: Option<u32>,
    /// Addresses of the workers that may have a run, by worker id. The next leader asks there whether
    /// a worker that is no longer listed has ended.
    #[serde(skip_serializing_if = "SortedMap::is_empty")]
    pub addresses: SortedMap<Text, Text>,
}

/// Reason why the progress of a job does not fit its specification.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RecordError {
    /// The specification is invalid.
    #[display("invalid specification: {_0}")]
    Spec(SpecError),
    /// There are more occurrences than specified.
    #[display("progress of {_0} occurrences")]
    Occurrences(usize),
    /// An occurrence has another number of steps.
    #[display("progress of {found} steps, {expected} are specified")]
    Steps {
        /// Number of steps of the progress.
        found: usize,
        /// Number of specified steps.
        expected: usize,
    },
    /// A step has another number of subtasks.
    #[display("progress of {found} subtasks in step {step}, {expected} are specified")]
    Subtasks {
        /// Index of the step.
        step: usize,
        /// Number of subtasks of the progress.
        found: usize,
        /// Specified number of subtasks.
        expected: usize,
    },
}

impl Progress {
    /// Checks that the progress is one of a job with the given specification.
    pub(crate) fn check(&self, spec: &Spec) -> Result<(), RecordError> {
        spec.check().map_err(RecordError::Spec)?;
        let occurrences = self.occurrences.len();
        if occurrences > spec.repeat.map_or(1, |r| r.count as usize) {
            return Err(RecordError::Occurrences(occurrences));
        }
        for occurrence in &self.occurrences {
            let (found, expected) = (occurrence.steps.len(), spec.steps.len());
            if found != expected {
                return Err(RecordError::Steps { found, expected });
            }
            for (step, (tasks, specified)) in occurrence.steps.iter().zip(&spec.steps).enumerate() {
                let (found, expected) = (tasks.len(), specified.count as usize);
                if found != expected {
                    return Err(RecordError::Subtasks {
                        step,
                        found,
                        expected,
                    });
                }
            }
        }
        Ok(())
    }

    /// Returns the progress without its checkpoints.
    ///
    /// ```
    /// let progress = batch::progress::Progress::default();
    /// assert_eq!(progress.without_checkpoints(), progress);
    /// ```
    #[must_use]
    pub fn without_checkpoints(&self) -> Self {
        let mut progress = self.clone();
        for (_, task) in progress.subtasks_mut() {
            task.checkpoint = Text::default();
        }
        progress
    }

    /// Returns all subtasks with their positions: occurrence, step and index.
    ///
    /// ```
    /// assert!(batch::progress::Progress::default().subtasks().next().is_none());
    /// ```
    pub fn subtasks(&self) -> impl Iterator<Item = ((u32, usize, usize), &Subtask)> {
        let occurrences = (0..).zip(&self.occurrences);
        occurrences.flat_map(|(occurrence, o)| {
            let steps = o.steps.iter().enumerate();
            steps.flat_map(move |(step, tasks)| {
                let tasks = tasks.iter().enumerate();
                tasks.map(move |(index, task)| ((occurrence, step, index), task))
            })
        })
    }

    /// Like [`subtasks`](Self::subtasks), to change them.
    ///
    /// ```
    /// assert!(batch::progress::Progress::default().subtasks_mut().next().is_none());
    /// ```
    pub fn subtasks_mut(&mut self) -> impl Iterator<Item = ((u32, usize, usize), &mut Subtask)> {
        let occurrences = (0..).zip(&mut self.occurrences);
        occurrences.flat_map(|(occurrence, o)| {
            let steps = o.steps.iter_mut().enumerate();
            steps.flat_map(move |(step, tasks)| {
                let tasks = tasks.iter_mut().enumerate();
                tasks.map(move |(index, task)| ((occurrence, step, index), task))
            })
        })
    }

    /// Returns whether any run may exist.
    ///
    /// ```
    /// assert!(!batch::progress::Progress::default().has_runs());
    /// ```
    pub fn has_runs(&self) -> bool {
        let tasks = self.occurrences.iter().flat_map(|o| &o.steps).flatten();
        tasks.into_iter().any(|t| t.run.is_some())
    }

    pub(crate) fn new(accepted: &AcceptedJob) -> Self {
        let queue = accepted.queue.clone();
        Self {
            queue,
            at: accepted.at,
            ..Self::default()
        }
    }

    pub(crate) fn new_occurrence(accepted: &AcceptedJob) -> Occurrence {
        let tasks = |count: u32| vec![Subtask::default(); count as usize];
        let steps = accepted.spec.steps.iter().map(|s| tasks(s.count)).collect();
        Occurrence {
            steps,
            considered_at: None,
            claimed_at: None,
        }
    }
}
