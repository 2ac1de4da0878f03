//! Tables, keys and content of the rows that the system stores.

use base::{clock::Millis, sorted::SortedMap};
use batch::{
    job::{AcceptedJob, Text},
    progress::Phase,
};
use serde::{Deserialize, Serialize};
use store::table::{Key, Row};

/// Table of accepted jobs and their cancellations. Entries write it, and the leader watches it.
pub(crate) const JOBS: &str = "jobs";
/// Table of the progress of jobs; only the leader writes and reads it.
pub(crate) const PROGRESS: &str = "progress";
/// Table of the checkpoints that are stored apart from the progress of their job, by subtask.
pub(crate) const CHECKPOINTS: &str = "checkpoints";
/// Table of the phases of jobs, which entries read for callers.
pub(crate) const PHASES: &str = "phases";
/// Table of the control rows: the lease, the commit chain and the pending counts.
pub(crate) const CONTROL: &str = "control";
/// Table of all nodes by name. Each node writes its own row at its start and at intervals.
pub(crate) const NODES: &str = "nodes";
/// Row with the sequence number of the leader's last commit.
pub(crate) const CHAIN: &str = "control/chain";
/// Row with the number of pending jobs of each queue: those in phase [`Phase::Queued`].
pub(crate) const PENDING: &str = "control/pending";
/// Row with the workers on which run after run fails; it sorts after the lease row.
pub(crate) const FAILING: &str = "control/workers";
/// Row with what the leader has learned about the speed of workers and about run times.
pub(crate) const FORECAST: &str = "control/forecast";
/// Row of the leader lease.
pub(crate) const LEASE: &str = "control/lease";
/// Heartbeat row of the lease; it sorts before the lease row.
pub(crate) const HEARTBEAT: &str = "control/beat";

/// Number of parts of [`JOBS`]. The store applies the transactions of a part one after another, so
/// a slow store (0.5 s for each) still stores this many submissions concurrently, and submissions
/// neither wait for the leader's commits nor delay the renewal of its lease.
const JOB_PART_COUNT: u8 = 16;

/// Returns the names of all parts of [`JOBS`].
pub(crate) fn job_tables() -> impl Iterator<Item = String> {
    (0..JOB_PART_COUNT).map(|part| format!("{JOBS}:{part}"))
}

/// Returns the part of [`JOBS`] that holds a job.
pub(crate) fn job_table(id: &str) -> String {
    let sum = id
        .bytes()
        .fold(0_u8, |sum, b| sum.wrapping_mul(31).wrapping_add(b));
    format!("{JOBS}:{}", sum % JOB_PART_COUNT)
}

/// Returns the key of the row of an accepted job.
pub(crate) fn job_key(id: &str) -> Key {
    format!("{}/{id}.job", job_table(id)).into()
}

/// Returns the key of the row of a cancellation, which sorts before the row of the job.
pub(crate) fn cancel_key(id: &str) -> Key {
    format!("{}/{id}.cancel", job_table(id)).into()
}

/// Kind of a row of [`JOBS`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobRowKind {
    /// An accepted job.
    Job,
    /// The cancellation of a job.
    Cancel,
}

/// Splits the key of a row of [`JOBS`] into the id of the job and the kind of the row.
pub(crate) fn parse_job_key(key: &str) -> Option<(&str, JobRowKind)> {
    let (_, key) = key.split_once('/')?;
    let (id, kind) = key.rsplit_once('.')?;
    match kind {
        "job" => Some((id, JobRowKind::Job)),
        "cancel" => Some((id, JobRowKind::Cancel)),
        _ => None,
    }
}

/// Content of [`CHAIN`]. Each commit checks the version of the row and rewrites it, so that a
/// commit whose answer was lost can't be applied after a later one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct ChainRow {
    pub(crate) fence: u64,
    pub(crate) count: u64,
}

/// Content of the row of an accepted job.
#[derive(Debug, Serialize)]
pub(crate) struct JobRow<'a> {
    #[serde(flatten)]
    pub(crate) job: &'a AcceptedJob,
    /// Time of the acceptance by the store's clock, which all nodes share.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) stored_at: Option<Millis>,
}

/// Time of the acceptance in the row of a job; earlier versions wrote none.
#[derive(Deserialize)]
struct AcceptanceTime {
    stored_at: Option<Millis>,
}

/// Decodes the row of an accepted job. The time of its submission is translated from the wall clock of
/// the node that accepted it to the local one, if `store_now`, the time of the store's clock, is known.
pub(crate) fn accepted_job(
    row: &Row,
    store_now: Option<Millis>,
    wall_now: Millis,
) -> Option<AcceptedJob> {
    let mut job: AcceptedJob = from_json(row)?;
    let stored_at = from_json::<AcceptanceTime>(row).and_then(|t| t.stored_at);
    if let (Some(stored_at), Some(store_now)) = (stored_at, store_now) {
        job.at = Millis(wall_now.since(store_now.since(stored_at)).0);
    }
    Some(job)
}

/// Returns the age of the row of a job by the store's clock, if both times are known.
pub(crate) fn age_of_job(row: &Row, store_now: Option<Millis>) -> Option<Millis> {
    let stored_at = from_json::<AcceptanceTime>(row)?.stored_at?;
    Some(store_now?.since(stored_at))
}

/// Content of the row of a cancellation. A cancellation of a job that is not known bars the id, because
/// its submission may still be applied. Earlier versions write an empty object, and only beside the row
/// of a job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub(crate) struct CancelRow {
    /// Organisations whose callers have cancelled the id; empty means that of the job.
    organisations: Vec<Option<Text>>,
    /// Time of the last of these cancellations by the store's clock.
    pub(crate) stored_at: Option<Millis>,
}

impl CancelRow {
    /// Returns the content after a further cancellation at `now` of the store's clock.
    #[must_use]
    pub(crate) fn and(&self, organisation: Option<&Text>, now: Option<Millis>) -> Self {
        let mut organisations = self.organisations.clone();
        organisations.push(organisation.cloned());
        organisations.sort_unstable();
        organisations.dedup();
        Self {
            organisations,
            stored_at: now,
        }
    }

    /// Returns the age by the store's clock, if both times are known.
    pub(crate) fn age(&self, store_now: Option<Millis>) -> Option<Millis> {
        Some(store_now?.since(self.stored_at?))
    }

    /// Returns whether a job of an organisation is cancelled.
    pub(crate) fn applies_to(&self, organisation: Option<&Text>) -> bool {
        self.organisations.is_empty()
            || self
                .organisations
                .binary_search_by(|o| o.as_ref().cmp(&organisation))
                .is_ok()
    }
}

/// Content of a row of [`PHASES`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct PhaseRow {
    pub(crate) phase: Phase,
    pub(crate) organisation: Option<Text>,
    /// Time of the end by the store's clock; earlier versions write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) ended_at: Option<Millis>,
}

impl PhaseRow {
    /// Returns whether the row may be that of a removed job, whose id another one may have.
    pub(crate) fn is_expired(&self, store_now: Option<Millis>, keep: Millis) -> bool {
        let age = self.ended_at.zip(store_now).map(|(at, now)| now.since(at));
        age.is_some_and(|age| age >= keep)
    }
}

/// Content of a row of [`CHECKPOINTS`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct CheckpointRow {
    #[serde(rename = "c")]
    pub(crate) checkpoint: Text,
}

/// Content of [`FAILING`]: the number of failures by worker id.
pub(crate) type FailingRow = SortedMap<Text, u32>;

/// Content of [`PENDING`]: the number of pending jobs by queue, and under [`PENDING_AT`] the time by the
/// store's clock at which they were counted.
pub(crate) type PendingRow = SortedMap<Text, u64>;

/// Entry of a [`PendingRow`] that is no queue. Earlier versions write none and look up queues only.
pub(crate) const PENDING_AT: &str = "";

/// Encodes the content of a row. Rows are plain data and always have a JSON form.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are plain data")
}

/// Decodes the content of a row; returns `None` and logs an error if it is malformed.
pub(crate) fn from_json<T: for<'a> Deserialize<'a>>(row: &Row) -> Option<T> {
    match serde_json::from_str(&row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            let bytes = row.value.len();
            log::error!(row:% = row.key, version = row.version, bytes, reason:% = e; "node: malformed row");
            None
        }
    }
}
