//! Rows of the membership and of the configuration revision.

use std::net;

use serde::{Deserialize, Serialize};
use store::table::{Key, Row, StoreError};

/// Key of the list of all members.
pub const MEMBERS_KEY: &str = "members";
/// Prefix of the rows that members renew.
pub const MEMBER_PREFIX: &str = "member/";
/// Key of the configuration revision.
pub const REVISION_KEY: &str = "rev";

/// Content of `rev`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RevisionRow {
    /// Revision of the configuration.
    pub revision: u64,
}

/// Content of `member/{id}`, and an item of the member list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberRow {
    /// Random incarnation id of the process.
    pub id: u64,
    /// Address of the listener for messages from other processes.
    pub address: net::SocketAddr,
    /// Role of the process.
    pub role: MemberRole,
    /// Number of renewals, which makes each renewal change the row.
    #[serde(default)]
    pub renewed: u64,
}

/// Role of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Serves callers and operators.
    Entry,
    /// Competes for the lease.
    Scheduler,
}

/// Content of `members`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct MemberList {
    /// All members, in the order of their registration.
    pub members: Vec<MemberRow>,
}

impl MemberList {
    /// Reads the list from its row; an absent row counts as an empty list.
    ///
    /// # Errors
    ///
    /// Returns an error if the row is malformed. It must not be replaced then, because it may list
    /// members that a later version registered.
    ///
    /// ```
    /// assert!(member::rows::MemberList::read(None).unwrap().members.is_empty());
    /// ```
    pub fn read(row: Option<&Row>) -> Result<Self, StoreError> {
        let Some(row) = row else {
            return Ok(Self::default());
        };
        serde_json::from_str(&row.value).map_err(|e| StoreError::NotDone {
            reason: format!("the row {} is malformed: {e}", row.key),
        })
    }

    /// Returns the list without the members with these ids.
    ///
    /// ```
    /// let list = member::rows::MemberList::default();
    /// assert_eq!(list.clone().without(&[1]), list);
    /// ```
    #[must_use]
    pub fn without(mut self, ids: &[u64]) -> Self {
        self.members.retain(|m| !ids.contains(&m.id));
        self
    }
}

/// Returns the key of the row of a member.
///
/// ```
/// assert_eq!(&*member::rows::member_key(255), "member/00000000000000ff");
/// ```
pub fn member_key(id: u64) -> Key {
    format!("{MEMBER_PREFIX}{id:016x}").into()
}

/// Serializes the content of a row as JSON.
///
/// ```
/// use member::rows::{RevisionRow, to_json};
/// assert_eq!(to_json(&RevisionRow { revision: 2 }), r#"{"revision":2}"#);
/// ```
pub fn to_json<T: Serialize>(row: &T) -> String {
    // Serialization can't fail, because the rows are plain data.
    serde_json::to_string(row).unwrap_or_default()
}
