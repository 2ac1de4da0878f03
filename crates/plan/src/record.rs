//! Durable records of jobs.

use base::{clock::Millis, name::Name};
use derive_more::Display;
use schema::job::{Job, Phase};
use serde::{Deserialize, Serialize};

/// Key of a job: its organisation and its name.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[display("{organisation}/{name}")]
pub struct JobKey {
    /// Organisation that submitted the job.
    pub organisation: Name,
    /// Name of the job.
    pub name: Name,
}

/// Placement of one member of a gang.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Worker on which the member runs.
    pub worker: Name,
    /// Mask of the accelerators: bit `i` stands for accelerator `i`.
    pub accelerators: u32,
}

/// Durable record of a job. It is committed before any order that depends on it is sent.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub job: Job,
    /// Current phase.
    pub phase: Phase,
    /// Number of the current or last attempt; 0 before the first.
    pub attempt: u32,
    /// Placement of the members in the current attempt; empty while waiting.
    pub members: Vec<Member>,
    /// Whether the gang runs on capacity beyond its organisation's guarantees.
    pub borrowed: bool,
    /// Whether the job's cancellation was accepted.
    pub cancelled: bool,
    /// Time of acceptance, wall clock.
    pub submitted_at: Millis,
    /// Start of the current attempt, wall clock; zero if there is none.
    pub started_at: Millis,
    /// Run time completed and checkpointed by earlier attempts.
    pub completed_ms: Millis,
    /// Distinct workers on which the job failed.
    pub failed_on: Vec<Name>,
    /// Number of failures on workers that were not found at fault.
    #[serde(default)]
    pub failures: u32,
    /// Sum of the weights of the crashes of workers that the job may have caused.
    #[serde(default)]
    pub crash_weight: u32,
    /// Human-readable reason for the phase; empty if there is none.
    pub reason: String,
    /// Memory charged to each member of the current attempt, in MiB: at least the declared memory,
    /// or 0 before the first attempt.
    #[serde(default)]
    pub charged_memory_mb: u32,
    /// Highest memory usage reported by a member, in MiB; 0 before the first report.
    #[serde(default)]
    pub peak_memory_mb: u32,
    /// End of the job, wall clock, for corrections of run times; zero before. Retention does not
    /// depend on it.
    #[serde(default)]
    pub ended_at: Millis,
    /// Guaranteed gang whose capacity the current attempt uses; `None` if it runs on borrowed
    /// capacity or not at all.
    #[serde(default)]
    pub claim: Option<Claim>,
}

/// One guaranteed gang of an organisation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Claim {
    /// Index of the guarantee in the organisation's list.
    pub guarantee: u16,
    /// Index of the gang within the guarantee.
    pub gang: u16,
}

impl JobRecord {
    /// Returns the record of a newly submitted job.
    pub fn submitted(job: Job, now: Millis) -> Self {
        Self {
            job,
            phase: Phase::Waiting,
            attempt: 0,
            members: Vec::new(),
            borrowed: false,
            cancelled: false,
            submitted_at: now,
            started_at: Millis::ZERO,
            completed_ms: Millis::ZERO,
            failed_on: Vec::new(),
            failures: 0,
            crash_weight: 0,
            reason: String::new(),
            charged_memory_mb: 0,
            peak_memory_mb: 0,
            ended_at: Millis::ZERO,
            claim: None,
        }
    }

    /// Returns the key of the job.
    pub fn key(&self) -> JobKey {
        JobKey {
            organisation: self.job.organisation.clone(),
            name: self.job.name.clone(),
        }
    }
}
