//! In-memory table with the semantics of the table service.

use std::{collections::BTreeMap, ops::Bound, sync};

use crate::table::{Check, Commit, Key, MAX_SCAN_ROWS, Row, Txn};

/// In-memory table; clones share the same rows.
///
/// ```
/// use store::{mem::MemTable, table::{Commit, Txn}};
///
/// let table = MemTable::default();
/// let txn = Txn::default().check("a", 0).put("a", "1".into());
/// assert_eq!(table.commit(&txn), Commit::Done { version: 1 });
/// assert_eq!(table.commit(&txn), Commit::Conflict { keys: vec!["a".into()] });
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemTable {
    inner: sync::Arc<sync::Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    rows: BTreeMap<Key, Row>,
}

impl Inner {
    fn is_satisfied(&self, check: &Check) -> bool {
        let version = self.rows.get(&check.key).map_or(0, |row| row.version);
        version == check.version
    }
}

impl MemTable {
    /// Applies all writes of `txn` if every check holds.
    ///
    /// ```
    /// use store::{mem::MemTable, table::{Commit, Txn}};
    /// let done = MemTable::default().commit(&Txn::default());
    /// assert_eq!(done, Commit::Done { version: 1 });
    /// ```
    pub fn commit(&self, txn: &Txn) -> Commit {
        let mut inner = self.lock();
        let failed: Vec<Key> = txn
            .checks
            .iter()
            .filter(|c| !inner.is_satisfied(c))
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Commit::Conflict { keys: failed };
        }
        inner.version += 1;
        let version = inner.version;
        for write in &txn.writes {
            match &write.value {
                None => {
                    inner.rows.remove(&write.key);
                }
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        version,
                        value: value.clone(),
                    };
                    inner.rows.insert(write.key.clone(), row);
                }
            }
        }
        Commit::Done { version }
    }

    /// Reads one row.
    ///
    /// ```
    /// assert!(store::mem::MemTable::default().get("a").is_none());
    /// ```
    pub fn get(&self, key: &str) -> Option<Row> {
        self.lock().rows.get(key).cloned()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    ///
    /// Returns at most [`MAX_SCAN_ROWS`] rows.
    ///
    /// ```
    /// assert!(store::mem::MemTable::default().scan("job/", "", 10).is_empty());
    /// ```
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let inner = self.lock();
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let following = inner.rows.range::<str, _>((start, Bound::Unbounded));
        let matching = following.take_while(|(k, _)| k.starts_with(prefix));
        matching
            .take(limit.min(MAX_SCAN_ROWS))
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
