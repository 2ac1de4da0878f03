//! Messages between entries and schedulers.

use std::net;

use base::name::Name;
use schema::{
    config::Config,
    job::{Job, Phase},
};
use serde::{Deserialize, Serialize};

/// Number of the protocol that this version speaks.
pub const PROTOCOL: u16 = 1;

/// Request of one process to another.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Request {
    /// Opens a connection; answered by `Reply::Hello`.
    Hello {
        /// Number of the protocol that the client speaks.
        protocol: u16,
    },
    /// Submits a job; repeating it with the same content is safe.
    Submit {
        /// The job.
        job: Job,
    },
    /// Cancels a job; repeating it is safe.
    Cancel {
        /// Organisation of the job.
        organisation: Name,
        /// Name of the job.
        job: Name,
    },
    /// Asks about one job.
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
        /// Most jobs to return.
        limit: u32,
    },
    /// Changes the configuration.
    Apply {
        /// Id chosen by the client, by which a lost answer can be asked for again.
        change: u64,
        /// Who asks for the change.
        operator: Name,
        /// Records as JSON texts, each in schema version 1 or 2.
        records: Vec<String>,
        /// Revision that the change was made against; `None` for any.
        expected_revision: Option<u64>,
    },
    /// Asks for the configuration if it is newer than `known_revision`.
    ///
    /// It also tells the receiver the revision that the sender has in force.
    Current {
        /// Incarnation id of the sender.
        member: u64,
        /// Revision in force at the sender.
        known_revision: u64,
    },
    /// Asks whether the receiver knows no higher revision, as part of a quorum read.
    QuorumRead {
        /// Incarnation id of the member that is asked. A process that was started again at the same
        /// address does not know what its predecessor acknowledged, so it must not answer.
        member: u64,
        /// Revision in force at the sender.
        known_revision: u64,
    },
    /// Asks whether the process answers.
    Ping,
}

/// Answer to a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Reply {
    /// The connection is open.
    Hello {
        /// Number of the protocol that the server speaks.
        protocol: u16,
    },
    /// State of one job.
    Job {
        /// The state.
        status: JobStatus,
    },
    /// States of jobs in key order.
    Jobs {
        /// The states.
        jobs: Vec<JobStatus>,
    },
    /// The change is in force everywhere.
    Applied {
        /// Revision of the change.
        revision: u64,
    },
    /// The configuration in force at the sender; `config` is `None` when the asker has it already.
    Current {
        /// Revision in force.
        revision: u64,
        /// Newer configuration.
        config: Option<Config>,
        /// Whether the sender is the leader and waits for the asker when it changes the
        /// configuration.
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
        /// Message for people.
        message: String,
        /// Whether the request had an effect.
        done: Effect,
    },
}

/// Code of a failure whose cause is that something the scheduler needs is down.
pub const UNAVAILABLE: &str = "unavailable";

impl Reply {
    /// Returns whether the request was not begun because something is down.
    ///
    /// ```
    /// assert!(!wire::message::Reply::Pong.is_unavailable());
    /// ```
    pub fn is_unavailable(&self) -> bool {
        matches!(self, Self::Failed { code, done: Effect::None, .. } if code == UNAVAILABLE)
    }
}

/// Whether a failed request had an effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It certainly had none.
    None,
    /// It may have had one.
    Maybe,
}

/// State of a job as shown to people and programs.
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
    /// Why the job is in this phase; empty if there is nothing to say.
    pub reason: String,
}
