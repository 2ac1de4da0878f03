//! Messages between entries and schedulers.

use std::net;

use base::name::Name;
use schema::{
    config::Config,
    job::{Job, Phase},
};
use serde::{Deserialize, Serialize};

/// Version of the protocol that this process speaks.
pub const PROTOCOL: u16 = 1;

/// Request from one process to another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Request {
    /// Opens a connection; answered by `Reply::Hello`.
    Hello {
        /// Version of the protocol that the client speaks.
        protocol: u16,
    },
    /// Submits a job; idempotent for the same content.
    Submit {
        /// The job.
        job: Job,
    },
    /// Cancels a job; idempotent.
    Cancel {
        /// Organisation of the job.
        organisation: Name,
        /// Name of the job.
        job: Name,
    },
    /// Asks for the status of one job.
    JobStatus {
        /// Organisation of the job.
        organisation: Name,
        /// Name of the job.
        job: Name,
    },
    /// Lists jobs in key order.
    Jobs {
        /// Organisation whose jobs are listed; `None` for all.
        organisation: Option<Name>,
        /// Maximum number of jobs to return.
        limit: u32,
    },
    /// Changes the configuration.
    Apply {
        /// Id chosen by the client, with which it asks again after a lost answer.
        change: u64,
        /// Name of the operator who requests the change.
        operator: Name,
        /// Records as JSON texts, each in schema version 1 or 2.
        records: Vec<String>,
        /// Revision on which the change is based; `None` for any.
        expected_revision: Option<u64>,
    },
    /// Asks for the configuration if it is newer than `known_revision`.
    ///
    /// It also informs the receiver of the revision in force at the sender.
    Current {
        /// Incarnation id of the sender.
        member: u64,
        /// Revision in force at the sender.
        known_revision: u64,
    },
    /// Asks whether the receiver knows no higher revision, as part of a quorum read.
    QuorumRead {
        /// Incarnation id of the member that is asked. A process that was restarted at the same
        /// address does not know what its predecessor acknowledged, so it must not answer.
        member: u64,
        /// Revision in force at the sender.
        known_revision: u64,
    },
    /// Checks that the process answers.
    Ping,
    /// Tells the fencing token of a leader and asks for the highest one that the receiver has heard
    /// of. A process of the version before does not answer.
    Fence {
        /// Incarnation id of the member that is asked; another process must not answer.
        member: u64,
        /// Shard of the leader.
        shard: Name,
        /// Fencing token of the leader.
        fence: u64,
    },
}

/// Answer to a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Reply {
    /// The connection is open.
    Hello {
        /// Version of the protocol that the server speaks.
        protocol: u16,
    },
    /// Status of one job.
    Job {
        /// The status.
        status: JobStatus,
    },
    /// Statuses of jobs in key order.
    Jobs {
        /// The statuses.
        jobs: Vec<JobStatus>,
    },
    /// The change is in force everywhere.
    Applied {
        /// Revision of the change.
        revision: u64,
    },
    /// The configuration in force at the sender; `config` is `None` if the requester already has
    /// it.
    Current {
        /// Revision in force.
        revision: u64,
        /// Newer configuration.
        config: Option<Config>,
        /// Whether the sender is the leader and a configuration change waits for the requester.
        listed: bool,
    },
    /// Answer to `QuorumRead`.
    QuorumRead {
        /// Revision in force at the sender.
        revision: u64,
        /// Whether the sender reaches the table service.
        table_reached: bool,
    },
    /// Answer to `Ping`.
    Pong,
    /// This scheduler does not hold the lease.
    NotLeader {
        /// Address of the holder if known.
        leader: Option<net::SocketAddr>,
    },
    /// The request failed.
    Failed {
        /// Machine-readable code, such as `unknown_organisation`.
        code: String,
        /// Human-readable message.
        message: String,
        /// Whether the request may have had an effect.
        done: Effect,
    },
    /// Answer to `Fence`.
    Fence {
        /// Highest fencing token of the shard that the member has heard of.
        highest: u64,
    },
}

/// Code of a failure that is caused by the outage of a service that the scheduler needs.
pub const UNAVAILABLE: &str = "unavailable";

impl Reply {
    /// Returns whether the request had no effect because a service that the scheduler needs is
    /// down.
    ///
    /// ```
    /// assert!(!wire::message::Reply::Pong.is_unavailable());
    /// ```
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Self::Failed { code, done: Effect::None, .. } if code == UNAVAILABLE)
    }
}

/// Whether a failed request may have had an effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It had no effect.
    None,
    /// It may have had an effect.
    Maybe,
}

/// Status of a job as reported to users and programs.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JobStatus {
    /// Organisation of the job.
    pub organisation: Name,
    /// Name of the job.
    pub name: Name,
    /// Current phase.
    pub phase: Phase,
    /// Number of the current or last attempt.
    pub attempt: u32,
    /// Workers of the current attempt.
    pub workers: Vec<Name>,
    /// Reason why the job is in this phase; empty if there is none.
    pub reason: String,
}
