//! Rows, transactions and errors of the table service.

use std::sync;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Most rows in one answer to a scan.
pub const SCAN_ROWS: usize = 1_000;
/// Longest key, in bytes.
pub const KEY_BYTES: usize = 512;
/// Largest transaction, in bytes of its JSON text.
pub const TXN_BYTES: usize = 4 << 20;

/// Key of a row, such as `job/akarihon/stock-7`.
pub type Key = sync::Arc<str>;

/// One row as read from the table service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version of the transaction that last wrote the row.
    pub version: u64,
    /// Content, as JSON text.
    pub value: String,
}

/// Condition of a transaction: the row must have this version.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Check {
    /// Key of the row.
    pub key: Key,
    /// Expected version; 0 means that the row must be absent.
    pub version: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that are applied together, or not at all when a check fails.
///
/// ```
/// use store::table::Txn;
///
/// let txn = Txn::default().check("rev", 0).put("rev", "{}".into());
/// assert_eq!(txn.writes.len(), 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Txn {
    /// Conditions that must all hold.
    pub checks: Vec<Check>,
    /// Changes to apply.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Adds the condition that `key` has `version`; 0 means absent.
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

/// Answer of the table service to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Commit {
    /// All writes are applied.
    Done {
        /// Version that the written rows now have.
        version: u64,
    },
    /// Nothing is applied, because these rows did not have the expected version.
    Conflict {
        /// Key of every failed check.
        keys: Vec<Key>,
    },
}

/// Failure of a call to the platform's storage.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum StoreError {
    /// The call certainly had no effect.
    #[display("not done: {reason}")]
    NotDone {
        /// What was seen.
        reason: String,
    },
    /// The call may have had its effect; read the rows back to find out.
    #[display("outcome unknown: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
}
