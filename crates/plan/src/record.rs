//! Durable record of a job.

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

/// Place of one member of a gang.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Worker on which the member runs.
    pub worker: Name,
    /// Accelerators of the worker, bit `i` for accelerator `i`.
    pub accelerators: u32,
}

/// Durable record of a job, written before any order that follows from it is sent.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub job: Job,
    /// Current phase.
    pub phase: Phase,
    /// Number of the current or last attempt; 0 before the first.
    pub attempt: u32,
    /// Places of the members of the current attempt; empty while waiting.
    pub members: Vec<Member>,
    /// Whether the gang runs on capacity beyond its organisation's guarantee.
    pub borrowed: bool,
    /// Whether the job's cancellation was accepted.
    pub cancelled: bool,
    /// Time of acceptance, wall clock.
    pub submitted_at: Millis,
    /// Start of the current attempt, wall clock; zero if there is none.
    pub started_at: Millis,
    /// Run time that earlier attempts completed and checkpointed.
    pub completed_ms: Millis,
    /// Distinct workers on which the job failed.
    pub failed_on: Vec<Name>,
    /// Failures on workers that were not found at fault.
    #[serde(default)]
    pub failures: u32,
    /// Why the job is in this phase, for people; empty if there is nothing to say.
    pub reason: String,
    /// Memory with which each member of the current attempt is charged, in MiB; at least the
    /// declared memory, and 0 before the first attempt.
    #[serde(default)]
    pub charged_memory_mb: u32,
    /// Highest memory that a member reported, in MiB; 0 before the first report.
    #[serde(default)]
    pub peak_memory_mb: u32,
    /// Time of the final phase, wall clock; zero before.
    #[serde(default)]
    pub ended_at: Millis,
    /// Guaranteed gang whose capacity the current attempt uses; none if it runs on borrowed
    /// capacity or not at all.
    #[serde(default)]
    pub claim: Option<Claim>,
}

/// One guaranteed gang of an organisation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct Claim {
    /// Position of the guarantee in the organisation's list.
    pub guarantee: u16,
    /// Number of the gang within the guarantee, from 0.
    pub gang: u16,
}

impl JobRecord {
    /// Returns the record of a job that was just submitted.
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
