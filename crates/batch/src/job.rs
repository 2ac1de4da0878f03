//! Jobs as submitted by callers.

use std::sync;

use base::clock::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A shared immutable string, such as the name of a queue or the id of a worker.
pub type Text = sync::Arc<str>;

/// Amounts of the resources that a subtask uses or a worker has.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[display("cpu {cpu}, memory {memory_mb} MB, accelerators {accelerators}")]
#[serde(default)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

/// Number of processor cores that one accelerator counts as when amounts of work are compared.
const CORES_PER_ACCELERATOR: u64 = 8;

impl Resources {
    /// Returns whether each amount is at most that of `available`.
    ///
    /// ```
    /// use batch::job::Resources;
    /// let need = Resources { cpu: 500, memory_mb: 10, accelerators: 1 };
    /// assert!(need.fits_in(Resources { cpu: 500, memory_mb: 20, accelerators: 1 }));
    /// assert!(!need.fits_in(Resources::default()));
    /// ```
    pub const fn fits_in(self, available: Self) -> bool {
        self.cpu <= available.cpu
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Adds `n` times `other`.
    pub(crate) const fn add(&mut self, other: Self, n: u64) {
        self.cpu += other.cpu * n;
        self.memory_mb += other.memory_mb * n;
        self.accelerators += other.accelerators * n;
    }

    /// Subtracts `other`; each amount saturates at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns how many times `self` fits into `available`.
    pub(crate) fn count_in(self, available: Self) -> u64 {
        let times = |need: u64, available: u64| available.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, available.cpu)
            .min(times(self.memory_mb, available.memory_mb))
            .min(times(self.accelerators, available.accelerators))
    }

    /// Returns the sum over all resources of the share of `total`, in thousandths.
    pub(crate) fn share_of(self, total: Self) -> u64 {
        let share = |part: u64, total: u64| (part * 1_000).checked_div(total).unwrap_or(0);
        share(self.cpu, total.cpu)
            + share(self.memory_mb, total.memory_mb)
            + share(self.accelerators, total.accelerators)
    }

    /// Returns the amount of work as thousandths of a core, with accelerators converted to cores.
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
    /// Resources of each subtask.
    pub need: Resources,
    /// Estimated run time of a subtask.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate: Millis,
    /// Indices of the steps that must be done first; all are smaller than the step's own index.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<usize>,
    /// Whether a subtask writes checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the subtasks form a gang: they can only run all at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether a gang is slow if it spans more than one rack.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that the worker must have.
    #[serde(skip_serializing_if = "is_default")]
    pub label: Option<Text>,
    /// Rack that holds the input data; the subtasks are slow elsewhere.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: Option<Text>,
    /// Maximum number of the step's subtasks on one worker; 0 means no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub max_per_worker: u64,
    /// Whether copies of a subtask may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub speculative: bool,
    /// Whether the subtasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub endless: bool,
    /// Image that the subtasks run.
    #[serde(skip_serializing_if = "is_default")]
    pub image: Option<Text>,
    /// Maximum response time of an endless subtask.
    #[serde(skip_serializing_if = "is_default")]
    pub target: Option<Millis>,
    /// Whether the subtasks use only processor time that other work leaves idle.
    #[serde(skip_serializing_if = "is_default")]
    pub fills: bool,
    /// Number of subtasks of an endless step that may be interrupted at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub allowed_misses: u32,
}

/// Returns whether a field can be left out of the record of a job.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl Step {
    /// Checks the step at index `i` of a job.
    fn check(&self, i: usize) -> Result<(), SpecError> {
        if self.count == 0 {
            return Err(SpecError::NoSubtasks(i));
        }
        if self.after.iter().any(|a| *a >= i) {
            return Err(SpecError::After(i));
        }
        let Resources {
            cpu,
            memory_mb,
            accelerators,
        } = self.need;
        let amounts = [cpu, memory_mb, accelerators, self.estimate.0];
        if amounts.into_iter().any(|a| a > MAX_AMOUNT) {
            return Err(SpecError::Amount(i));
        }
        Ok(())
    }

    /// Returns the resources that a subtask reserves on a worker. A subtask that uses only idle
    /// processor time reserves none of it.
    pub fn reserved(&self) -> Resources {
        let cpu = if self.fills { 0 } else { self.need.cpu };
        Resources { cpu, ..self.need }
    }
}

/// Schedule of a job that runs several times.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Wall-clock time of the first occurrence.
    pub first: Millis,
    /// Time between the starts of two occurrences.
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
        let delay = u64::from(k).saturating_mul(self.interval.0);
        Millis(self.first.0.saturating_add(delay))
    }
}

/// Specification of a job as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Spec {
    /// Text that is passed to each subtask.
    pub text: Text,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Schedule, if the job runs at set times.
    pub repeat: Option<Repeat>,
}

/// Reason why a submitted job is invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SpecError {
    /// The job has no steps.
    #[display("a job has at least one step")]
    NoSteps,
    /// A step has no subtasks.
    #[display("step {_0} has no subtasks")]
    NoSubtasks(usize),
    /// The job has too many subtasks.
    #[display(
        "a job has at most {MAX_SUBTASKS} subtasks in all steps and occurrences, this one has {_0}"
    )]
    Subtasks(u64),
    /// A step depends on itself or on a later step.
    #[display("step {_0} waits for a step that is not earlier")]
    After(usize),
    /// An amount or a time is larger than any that can be computed with.
    #[display("step {_0} has an amount or a time above {MAX_AMOUNT}")]
    Amount(usize),
    /// The text is too long.
    #[display("the text of a job has at most {MAX_TEXT} bytes, this one has {_0}")]
    Text(usize),
    /// The record of the job is too long.
    #[display("the record of a job has at most {max} bytes, this one has {bytes}")]
    Record {
        /// Size of the record in bytes.
        bytes: usize,
        /// Maximum size that the table service stores.
        max: usize,
    },
}

/// Maximum number of subtasks of a job, in all steps and occurrences. Without its checkpoint, the
/// progress of a subtask takes up to 110 bytes, and one transaction of the table service stores the
/// progress of a whole job in 1 MB of base64.
pub const MAX_SUBTASKS: u64 = 6_000;
/// Maximum amount of a resource, and maximum time in milliseconds. Sums over all subtasks of all
/// jobs, in thousandths, stay within 64 bits.
pub const MAX_AMOUNT: u64 = 1 << 36;
/// Maximum length of a job's text in bytes, as documented for the submission interface.
const MAX_TEXT: usize = 4_000;

impl Spec {
    /// Checks sizes and dependencies.
    ///
    /// # Errors
    ///
    /// Returns the first violated limit.
    ///
    /// ```
    /// use batch::job::{Spec, SpecError};
    /// assert_eq!(Spec::default().check(), Err(SpecError::NoSteps));
    /// ```
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        if self.text.len() > MAX_TEXT {
            return Err(SpecError::Text(self.text.len()));
        }
        let occurrences = self.repeat.map_or(1, |r| u64::from(r.count));
        let subtasks = self.steps.iter().map(|s| u64::from(s.count)).sum::<u64>();
        let subtasks = subtasks.saturating_mul(occurrences);
        if subtasks > MAX_SUBTASKS {
            return Err(SpecError::Subtasks(subtasks));
        }
        for (i, step) in self.steps.iter().enumerate() {
            step.check(i)?;
        }
        Ok(())
    }
}

/// Steps of a job that is decoded, each checked before it is kept, so that a body with more steps than a
/// job may have takes no more memory than a valid one.
///
/// ```
/// use batch::job::{SpecError, Step, StepList};
/// let mut list = StepList::default();
/// list.push(Step { count: 2, ..Step::default() }).unwrap();
/// assert_eq!(list.push(Step::default()), Err(SpecError::NoSubtasks(1)));
/// assert_eq!(list.into_steps().len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct StepList {
    steps: Vec<Step>,
    subtasks: u64,
}

impl StepList {
    /// Adds the next step.
    ///
    /// # Errors
    ///
    /// Returns the first limit that the step violates, alone or together with those before it.
    pub fn push(&mut self, step: Step) -> Result<(), SpecError> {
        step.check(self.steps.len())?;
        self.subtasks += u64::from(step.count);
        if self.subtasks > MAX_SUBTASKS {
            return Err(SpecError::Subtasks(self.subtasks));
        }
        self.steps.push(step);
        Ok(())
    }

    /// Returns the steps.
    pub fn into_steps(self) -> Vec<Step> {
        self.steps
    }
}

/// Stored record of an accepted job.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct AcceptedJob {
    /// Id chosen by the caller.
    pub id: Text,
    /// Name of the queue.
    pub queue: Text,
    /// Service whose workers run the job.
    pub service: Text,
    /// Organisation that submitted the job; `None` on a public queue.
    pub organisation: Option<Text>,
    /// Wall-clock time of the submission.
    pub at: Millis,
    /// Specification of the job.
    pub spec: Spec,
}

impl AcceptedJob {
    /// Returns whether this is a repeated submission of `other`. Of the steps only what each version
    /// stores is compared: an earlier one may have left out the rest.
    ///
    /// ```
    /// # let job = |text: &str| -> batch::job::AcceptedJob { serde_json::from_str(&format!(
    /// #     r#"{{"id":"1","queue":"q","service":"s","organisation":null,"at":1,
    /// #     "spec":{{"text":"{text}","steps":[{{"count":1}}],"repeat":null}}}}"#)).unwrap() };
    /// assert!(job("a").is_repetition_of(&job("a")));
    /// assert!(!job("a").is_repetition_of(&job("b")));
    /// ```
    pub fn is_repetition_of(&self, other: &Self) -> bool {
        let shape = |job: &Self| -> Vec<(u32, Resources)> {
            let steps = job.spec.steps.iter();
            steps.map(|s| (s.count, s.need)).collect()
        };
        self.id == other.id
            && self.organisation == other.organisation
            && self.queue == other.queue
            && self.spec.text == other.spec.text
            && shape(self) == shape(other)
    }
}

/// Identifies one subtask.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct SubtaskId {
    /// Id of the job.
    pub job: Text,
    /// Index of the occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step.
    pub step: usize,
    /// Index of the subtask within the step.
    pub index: usize,
}

impl SubtaskId {
    /// Parses the format that [`Display`](std::fmt::Display) writes.
    ///
    /// ```
    /// use batch::job::SubtaskId;
    /// let id = SubtaskId::parse("5c0e.0.1.17").unwrap();
    /// assert_eq!((id.step, id.index), (1, 17));
    /// assert_eq!(id.to_string(), "5c0e.0.1.17");
    /// assert!(SubtaskId::parse("5c0e").is_none());
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
