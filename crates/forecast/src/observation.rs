//! What the caller observes of a run.

use base::clock::Millis;

use crate::Name;

/// Kind of work whose estimates are wrong in the same way.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Kind {
    /// Queue of the job.
    pub queue: Option<Name>,
    /// Image that the subtasks run.
    pub image: Option<Name>,
    /// Whether the subtasks form a gang.
    pub gang: bool,
}

/// How far a run has come on a worker. The caller leaves out runs whose duration says nothing about
/// the worker: those away from their data or rack, on a worker that is still cold, restored from a
/// checkpoint, failed or without progress.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Number that the subtasks of one step share.
    pub step: u64,
    /// Index of the subtask within the step. A worker may run several subtasks of a step.
    pub index: usize,
    /// Kind of work.
    pub kind: &'a Kind,
    /// Id of the worker.
    pub worker: &'a Name,
    /// Service of the worker.
    pub service: &'a Name,
    /// Submitted estimate of the run time.
    pub estimate: Millis,
    /// Time that the run has worked so far.
    pub elapsed: Millis,
    /// Share of the work that was done in that time, above 0 and up to 1.
    pub progress: f64,
}
