//! Rows that the scheduler writes beside job records.

use base::{clock::Millis, name::Name};
use plan::record::JobKey;
use serde::{Deserialize, Serialize};
use store::table::Key;

/// Content of `audit/{rev}`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct AuditRow {
    /// Revision that the change made.
    pub revision: u64,
    /// Id of the change, chosen by the client.
    pub change: u64,
    /// Who asked for the change.
    pub operator: Name,
    /// Time of the change, wall clock.
    pub at: Millis,
    /// The records as given.
    pub records: Vec<String>,
}

/// Key of the row of a job.
///
/// ```
/// let (organisation, name) = ("akarihon".parse().unwrap(), "stock-7".parse().unwrap());
/// let key = plan::record::JobKey { organisation, name };
/// assert_eq!(&*sched::rows::job_key(&key), "job/akarihon/stock-7");
/// ```
pub fn job_key(job: &JobKey) -> Key {
    format!("job/{job}").into()
}

/// Key of the audit row of a revision; the digits keep revisions in key order.
///
/// ```
/// assert_eq!(&*sched::rows::audit_key(7), "audit/000000000007");
/// ```
pub fn audit_key(revision: u64) -> Key {
    format!("audit/{revision:012}").into()
}
