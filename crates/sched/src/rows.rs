//! Keys of job rows, and the audit rows of configuration changes.

use base::{clock::Millis, name::Name};
use plan::record::JobKey;
use serde::{Deserialize, Serialize};
use store::table::Key;

/// Content of `audit/{revision}`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AuditRow {
    /// Revision that the change created.
    pub revision: u64,
    /// Id of the change, chosen by the client.
    pub change: u64,
    /// Name of the operator who requested the change.
    pub operator: Name,
    /// Wall-clock time of the change.
    pub at: Millis,
    /// Records of the change as received.
    pub records: Vec<String>,
}

/// Returns the key of the row of a job.
///
/// ```
/// let (organisation, name) = ("akarihon".parse().unwrap(), "stock-7".parse().unwrap());
/// let key = plan::record::JobKey { organisation, name };
/// assert_eq!(&*sched::rows::job_key(&key), "job/akarihon/stock-7");
/// ```
pub fn job_key(job: &JobKey) -> Key {
    format!("job/{job}").into()
}

/// Returns the key of the row with the ages of rows that the leader of a shard measures.
///
/// ```
/// assert_eq!(&*sched::rows::ages_key(&"main".parse().unwrap()), "ages/main");
/// ```
pub fn ages_key(shard: &Name) -> Key {
    format!("ages/{shard}").into()
}

/// Returns the key of the row with the voters of the leader of a shard.
///
/// ```
/// assert_eq!(&*sched::rows::voters_key(&"main".parse().unwrap()), "voters/main");
/// ```
pub fn voters_key(shard: &Name) -> Key {
    format!("voters/{shard}").into()
}

/// Returns the key of the audit row of a revision; the padding sorts the keys by revision.
///
/// ```
/// assert_eq!(&*sched::rows::audit_key(7), "audit/000000000007");
/// ```
pub fn audit_key(revision: u64) -> Key {
    format!("audit/{revision:012}").into()
}
