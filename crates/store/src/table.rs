//! Rows, transactions, size limits and errors of the table service.

use std::sync;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum number of rows in the answer to a scan.
pub const MAX_SCAN_ROWS: usize = 1_000;
/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Maximum size of a transaction in bytes of its JSON text.
pub const MAX_TXN_BYTES: usize = 4 << 20;

/// Key of a row, such as `job/akarihon/stock-7`.
pub type Key = sync::Arc<str>;

/// One row as read from the table service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version of the transaction that last wrote the row.
    pub version: u64,
    /// Content of the row, as JSON text.
    pub value: String,
}

/// Precondition of a transaction: the row must have the given version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Check {
    /// Key of the row.
    pub key: Key,
    /// Expected version; 0 means that the row must be absent.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that are applied atomically if all checks hold, and not at all otherwise.
///
/// ```
/// use store::table::Txn;
///
/// let txn = Txn::default().check("rev", 0).put("rev", "{}".into());
/// assert_eq!(txn.writes.len(), 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Txn {
    /// Preconditions, which must all hold.
    pub checks: Vec<Check>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the precondition that `key` has `version`; 0 means absent.
    ///
    /// ```
    /// assert_eq!(store::table::Txn::default().check("a", 3).checks[0].version, 3);
    /// ```
    #[must_use]
    pub fn check(mut self, key: impl Into<Key>, version: u64) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a write of `value` to `key`.
    ///
    /// ```
    /// assert!(store::table::Txn::default().put("a", "1".into()).writes[0].value.is_some());
    /// ```
    #[must_use]
    pub fn put(mut self, key: impl Into<Key>, value: String) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Adds the deletion of `key`.
    ///
    /// ```
    /// assert!(store::table::Txn::default().delete("a").writes[0].value.is_none());
    /// ```
    #[must_use]
    pub fn delete(mut self, key: impl Into<Key>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Commit {
    /// All writes are applied.
    Done {
        /// Version that the written rows now have.
        version: u64,
    },
    /// No write is applied, because some rows did not have the expected version.
    Conflict {
        /// Key of every failed check.
        keys: Vec<Key>,
    },
}

/// Failure of a call to the platform's storage.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum StoreError {
    /// The call is known to have had no effect.
    #[display("not done: {reason}")]
    NotDone {
        /// Description of the failure.
        reason: String,
    },
    /// The call has had no effect and never will: it is invalid or too large.
    #[display("rejected: {reason}")]
    Rejected {
        /// Description of the failure.
        reason: String,
    },
    /// The call may have taken effect; read the rows back to find out.
    #[display("outcome unknown: {reason}")]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
}
