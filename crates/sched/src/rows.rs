//! Rows that the scheduler writes beside job records.

use std::net;

use base::{clock::Millis, name::Name};
use plan::record::JobKey;
use serde::{Deserialize, Serialize};
use store::table::Key;

/// Content of `lease/{shard}`; it changes only on takeover.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseRow {
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Fencing number; every takeover raises it.
    pub fence: u64,
    /// Address of the holder's wire listener.
    pub address: net::SocketAddr,
}

/// Content of `beat/{shard}`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BeatRow {
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Number of the renewal.
    pub count: u64,
}

/// Content of `member/{id}`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberRow {
    /// Random incarnation id of the process.
    pub id: u64,
    /// Address of its wire listener.
    pub address: net::SocketAddr,
    /// What the process does.
    pub role: MemberRole,
    /// Number of renewals, which makes each renewal change the row.
    #[serde(default)]
    pub renewed: u64,
}

/// What a member does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// It serves callers and operators.
    Entry,
    /// It competes for the lease.
    Scheduler,
}

/// Content of `rev`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RevRow {
    /// Revision of the configuration.
    pub revision: u64,
}

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

/// Key of the membership row of an incarnation.
///
/// ```
/// assert_eq!(&*sched::rows::member_key(255), "member/00000000000000ff");
/// ```
pub fn member_key(id: u64) -> Key {
    format!("member/{id:016x}").into()
}
