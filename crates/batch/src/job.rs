//! Jobs as callers submit them.

use std::sync;

use base::clock::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A shared text, such as the name of a queue or a worker.
pub type Text = sync::Arc<str>;

/// What one subtask takes from a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct Need {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

/// Processor cores that one accelerator counts for when work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;

impl Need {
    /// Returns whether `self` fits into `room`.
    ///
    /// ```
    /// use batch::job::Need;
    /// let need = Need { cpu: 500, memory_mb: 10, accelerators: 1 };
    /// assert!(need.fits(Need { cpu: 500, memory_mb: 20, accelerators: 1 }));
    /// assert!(!need.fits(Need::default()));
    /// ```
    pub const fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Adds `n` times `other`.
    pub(crate) const fn add(&mut self, other: Self, n: u64) {
        self.cpu += other.cpu * n;
        self.memory_mb += other.memory_mb * n;
        self.accelerators += other.accelerators * n;
    }

    /// Subtracts `other`; what is below zero is zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns how often `self` fits into `room`.
    pub(crate) fn count_in(self, room: Self) -> u64 {
        let times = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, room.cpu)
            .min(times(self.memory_mb, room.memory_mb))
            .min(times(self.accelerators, room.accelerators))
    }

    /// Returns the sum of the shares of `whole`, in thousandths.
    pub(crate) fn share_of(self, whole: Self) -> u64 {
        let share = |part: u64, whole: u64| (part * 1_000).checked_div(whole).unwrap_or(0);
        share(self.cpu, whole.cpu)
            + share(self.memory_mb, whole.memory_mb)
            + share(self.accelerators, whole.accelerators)
    }

    /// Returns the weight in thousandths of a core, accelerators included.
    pub(crate) const fn weight(self) -> u64 {
        self.cpu + self.accelerators * CORES_PER_ACCELERATOR * 1_000
    }
}

/// One step of a job: `count` subtasks of the same shape.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a step"
)]
pub struct Step {
    /// Number of subtasks.
    pub count: u32,
    /// What each subtask takes.
    pub need: Need,
    /// Rough estimate of the run time of a subtask.
    pub estimate: Millis,
    /// Earlier steps that must be done first.
    pub after: Vec<usize>,
    /// Whether a subtask saves its progress.
    pub checkpoints: bool,
    /// Whether the subtasks work only together.
    pub gang: bool,
    /// Whether a gang is slow on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Text>,
    /// Rack where the data is; slow elsewhere.
    pub data_rack: Option<Text>,
    /// Most subtasks of the step on one worker; zero means no limit.
    pub max_per_worker: u64,
    /// Whether copies may run in parallel.
    pub speculative: bool,
    /// Whether the subtasks run until the job is cancelled.
    pub endless: bool,
    /// What the subtasks run.
    pub image: Option<Text>,
    /// Response time of an endless subtask that must not be exceeded.
    pub target: Option<Millis>,
    /// Whether the subtasks use only processor time that others leave.
    pub fills: bool,
    /// Subtasks of an endless step that may be interrupted at the same time.
    pub allowed_misses: u32,
}

impl Step {
    /// Returns what a subtask reserves on a worker: work that fills reserves no processor time.
    pub fn reserved(&self) -> Need {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Need { cpu, ..self.need }
    }
}

/// Times at which the steps of a job run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Wall-clock time of the first.
    pub first: Millis,
    /// Time between two.
    pub interval: Millis,
}

impl Repeat {
    /// Returns the wall-clock time at which occurrence `k` is due.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::job::Repeat;
    /// let repeat = Repeat { count: 3, first: Millis(100), interval: Millis(10) };
    /// assert_eq!(repeat.due(2), Millis(120));
    /// ```
    pub fn due(&self, k: u32) -> Millis {
        Millis(self.first.0 + u64::from(k) * self.interval.0)
    }
}

/// What a caller submits.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Spec {
    /// Text that each subtask gets.
    pub text: Text,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Occurrences of a job that runs at set times.
    pub repeat: Option<Repeat>,
}

/// Reason why a submitted job can't be taken.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SpecError {
    /// The job has no steps or too many.
    #[display("a job has 1 to {MAX_STEPS} steps, this one has {_0}")]
    Steps(usize),
    /// A step has no subtasks, or the job too many.
    #[display("a step has 1 to {MAX_TASKS} subtasks, step {step} has {count}")]
    Count {
        /// Index of the step.
        step: usize,
        /// Its subtasks.
        count: u32,
    },
    /// A step waits for a step that is not earlier.
    #[display("step {_0} waits for a step that is not earlier")]
    After(usize),
    /// The text is too long.
    #[display("the text of a job has at most {MAX_TEXT} bytes, this one has {_0}")]
    Text(usize),
}

/// Most steps of a job; keeps its record within one row of the table service.
const MAX_STEPS: usize = 64;
/// Most subtasks of a step; the record of a job takes up to 100 bytes a subtask and a row 64 KB.
const MAX_TASKS: u32 = 400;
/// Longest text of a job in bytes, as the submission interface states it.
const MAX_TEXT: usize = 4_000;

impl Spec {
    /// Checks sizes and dependencies.
    ///
    /// ```
    /// use batch::job::{Spec, SpecError};
    /// assert_eq!(Spec::default().check(), Err(SpecError::Steps(0)));
    /// ```
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::Steps(self.steps.len()));
        }
        if self.text.len() > MAX_TEXT {
            return Err(SpecError::Text(self.text.len()));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                let count = step.count;
                return Err(SpecError::Count { step: i, count });
            }
            if step.after.iter().any(|a| *a >= i) {
                return Err(SpecError::After(i));
            }
        }
        Ok(())
    }
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Accepted {
    /// Id that the caller chose.
    pub id: Text,
    /// Queue, by the name of its route.
    pub queue: Text,
    /// Service whose workers run the job.
    pub service: Text,
    /// Organisation that submitted it; none on a public queue.
    pub organisation: Option<Text>,
    /// Wall-clock time of the submission.
    pub at: Millis,
    /// The job itself.
    pub spec: Spec,
}

/// Names one subtask.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Id of the job.
    pub job: Text,
    /// Number of the occurrence; 0 for a job without them.
    pub occurrence: u32,
    /// Index of the step.
    pub step: usize,
    /// Index within the step.
    pub index: usize,
}

impl TaskId {
    /// Reads the form that [`Display`](std::fmt::Display) writes.
    ///
    /// ```
    /// use batch::job::TaskId;
    /// let id = TaskId::parse("5c0e.0.1.17").unwrap();
    /// assert_eq!((id.step, id.index), (1, 17));
    /// assert_eq!(id.to_string(), "5c0e.0.1.17");
    /// assert!(TaskId::parse("5c0e").is_none());
    /// ```
    pub fn parse(s: &str) -> Option<Self> {
        let mut parts = s.split('.');
        let id = Self {
            job: parts.next()?.into(),
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(id)
    }
}
