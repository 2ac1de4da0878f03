//! Rows of the table service that an entry reads or writes itself.

use std::net;

use serde::{Deserialize, Serialize};
use store::table::Key;

/// Content of `rev`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RevRow {
    /// Revision of the configuration.
    pub revision: u64,
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

/// Key of the configuration revision.
pub const REV_KEY: &str = "rev";
/// Prefix of the member rows.
pub const MEMBER_PREFIX: &str = "member/";

/// Key of the row of a member.
///
/// ```
/// assert_eq!(&*entry::rows::member_key(255), "member/00000000000000ff");
/// ```
pub fn member_key(id: u64) -> Key {
    format!("{MEMBER_PREFIX}{id:016x}").into()
}
