//! Events that the scheduler passes to the plan, and the resulting decisions.

use base::{clock::Millis, name::Name};
use schema::{config::Config, job::Job};
use serde::{Deserialize, Serialize};

use crate::{
    order::{Attempt, Order},
    record::{JobKey, JobRecord},
};

/// A worker as reported by the platform.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkerInfo {
    /// Name of the worker.
    pub name: Name,
    /// Rack of the worker.
    pub rack: Name,
    /// Data centre of the rack.
    pub data_centre: Name,
    /// Number of accelerators, at most 32.
    pub accelerators: u16,
    /// Processor cores.
    pub cores: u16,
    /// Memory, in MiB.
    pub memory_mb: u32,
}

/// Input of the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A configuration came into force.
    Configured {
        /// The new configuration.
        config: Config,
    },
    /// A worker is up and takes work.
    WorkerUp {
        /// The worker.
        worker: WorkerInfo,
    },
    /// A worker is about to leave. It gets no new work, and its tasks are moved.
    WorkerLeaving {
        /// Name of the worker.
        worker: Name,
    },
    /// A worker is lost, and the leases of its tasks have expired.
    WorkerLost {
        /// Name of the worker.
        worker: Name,
    },
    /// A worker answers but has lost all tasks that it ran.
    WorkerRestarted {
        /// Name of the worker.
        worker: Name,
        /// Time since its last answer before. A span, because the clock of the answers is not that
        /// of the plan.
        silent: Millis,
    },
    /// The scheduler has learned the sizes of all listed workers, or a worker of unknown size was
    /// listed.
    FleetKnown {
        /// Whether the sizes of all listed workers are known.
        known: bool,
    },
    /// A job was submitted.
    Submitted {
        /// The job.
        job: Job,
    },
    /// Cancellation of a job was requested.
    CancelAsked {
        /// The job.
        job: JobKey,
    },
    /// A worker reported on a member of a gang.
    Member {
        /// The attempt.
        attempt: Attempt,
        /// Name of the worker.
        worker: Name,
        /// What the worker reports.
        report: Report,
    },
    /// Time has passed. Sent at least once a second.
    Tick,
}

/// Report of a worker on a member of a gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// The accelerators are held.
    Held,
    /// The worker can't hold the accelerators, or the hold expired.
    NotHeld,
    /// The task runs.
    Running {
        /// Memory in use, in MiB.
        memory_mb: u32,
    },
    /// The task ended successfully.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped, and its accelerators are free.
    Stopped {
        /// Whether a checkpoint was taken.
        checkpoint: bool,
    },
}

/// Result of an event: records to commit, then orders to send.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decision {
    /// Records that must be durable before any of the orders is sent.
    pub records: Vec<JobRecord>,
    /// Orders to workers.
    pub orders: Vec<Order>,
}
