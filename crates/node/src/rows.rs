//! Rows of the system in the store.

use base::sorted::SortedMap;
use batch::{job::Text, progress::Phase};
use serde::{Deserialize, Serialize};
use store::table::Key;

/// Table of accepted jobs and their cancellations; entries write it and the leader follows it.
pub(crate) const JOBS: &str = "jobs";
/// Table of the progress of jobs; only the leader writes and reads it.
pub(crate) const PROGRESS: &str = "progress";
/// Table of the phases of jobs, as callers ask for them.
pub(crate) const PHASES: &str = "phases";
/// Table of the rows of the leadership.
pub(crate) const CONTROL: &str = "control";
/// Table of all nodes, by name; each writes its own row at its start.
pub(crate) const NODES: &str = "nodes";
/// Row with the number of the leader's last commit.
pub(crate) const CHAIN: &str = "control/chain";
/// Row with the numbers of waiting jobs.
pub(crate) const PENDING: &str = "control/pending";
/// Row of the scheduler's lease.
pub(crate) const LEASE: &str = "control/lease";
/// Row of the renewals of the lease; it sorts before the lease.
pub(crate) const BEAT: &str = "control/beat";

/// Parts of [`JOBS`]. The store carries out the transactions of a part one after another, so a
/// slow store (0.5 s for each) still stores this many submissions at a time, and none of them
/// waits for the commits of the leader or holds up its lease.
const JOB_PARTS: u8 = 16;

/// Returns all parts of [`JOBS`].
pub(crate) fn job_tables() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|part| format!("{JOBS}:{part}"))
}

/// Returns the part of [`JOBS`] in which a job stands.
pub(crate) fn job_table(id: &str) -> String {
    let sum = id
        .bytes()
        .fold(0_u8, |sum, b| sum.wrapping_mul(31).wrapping_add(b));
    format!("{JOBS}:{}", sum % JOB_PARTS)
}

/// Key of the row of an accepted job.
pub(crate) fn job(id: &str) -> Key {
    format!("{}/{id}.job", job_table(id)).into()
}

/// Key of the row of a cancellation; it sorts before that of the job.
pub(crate) fn cancel(id: &str) -> Key {
    format!("{}/{id}.cancel", job_table(id)).into()
}

/// What a row of [`JOBS`] says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Intake {
    Job,
    Cancel,
}

/// Splits the key of a row of [`JOBS`] into the id and what the row says.
pub(crate) fn intake(key: &str) -> Option<(&str, Intake)> {
    let (_, key) = key.split_once('/')?;
    let (id, kind) = key.rsplit_once('.')?;
    match kind {
        "job" => Some((id, Intake::Job)),
        "cancel" => Some((id, Intake::Cancel)),
        _ => None,
    }
}

/// Content of a row of [`CHAIN`]. Each commit checks the row and writes it, so that a commit whose
/// answer was lost can't be carried out after a later one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct ChainRow {
    pub(crate) fence: u64,
    pub(crate) count: u64,
}

/// Content of a row of [`PHASES`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(crate) struct PhaseRow {
    pub(crate) phase: Phase,
    pub(crate) organisation: Option<Text>,
}

/// Content of [`PENDING`]: waiting jobs by queue.
pub(crate) type PendingRow = SortedMap<Text, u64>;

/// Writes the content of a row; rows are plain data and always have a JSON form.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are plain data")
}

/// Reads the content of a row; one that is not readable is logged and left out.
pub(crate) fn from_json<T: for<'a> Deserialize<'a>>(row: &store::table::Row) -> Option<T> {
    match serde_json::from_str(&row.value) {
        Ok(value) => Some(value),
        Err(e) => {
            log::error!("node: row {} is not readable: {e}", row.key);
            None
        }
    }
}
