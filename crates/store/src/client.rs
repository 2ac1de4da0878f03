//! The table service as the other crates see it: over HTTP or in memory.

use derive_more::From;

use crate::{
    http::HttpTable,
    mem::MemTable,
    table::{Commit, Row, StoreError, Txn},
};

/// Times that [`Table::settle`] reads and repeats before it gives up.
const SETTLE_ROUNDS: usize = 3;

/// A table, over HTTP or in memory.
///
/// ```
/// use store::{client::Table, mem::MemTable, table::Txn};
///
/// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
/// let table = Table::from(MemTable::default());
/// table.commit(&Txn::default().put("a", "1".into())).await.unwrap();
/// assert_eq!(table.get("a").await.unwrap().unwrap().value, "1");
/// # });
/// ```
#[derive(Clone, Debug, From)]
pub enum Table {
    /// Client of the table service.
    Http(HttpTable),
    /// Table in memory.
    Mem(MemTable),
}

/// What became of a commit whose outcome was unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settled {
    /// The writes are applied.
    Applied,
    /// The writes are not applied and never will be, because another writer has changed a row
    /// that the transaction checks; or they were applied and then overwritten.
    Superseded,
}

impl Table {
    /// Applies all writes of `txn` if every check holds.
    pub async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        match self {
            Self::Http(table) => table.commit(txn).await,
            Self::Mem(table) => Ok(table.commit(txn)),
        }
    }

    /// Reads one row; the row may be stale.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        match self {
            Self::Http(table) => table.get(key).await,
            Self::Mem(table) => Ok(table.get(key)),
        }
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    pub async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, StoreError> {
        match self {
            Self::Http(table) => table.scan(prefix, after, limit).await,
            Self::Mem(table) => Ok(table.scan(prefix, after, limit)),
        }
    }

    /// Reads a row back and tells whether it carries the id that the writer put into it.
    ///
    /// `true` proves that the write was applied. `false` proves nothing, because the read may be
    /// stale and the write may still be under way.
    pub async fn has_mark(
        &self,
        key: &str,
        mine: impl Fn(&str) -> bool,
    ) -> Result<bool, StoreError> {
        let row = self.get(key).await?;
        Ok(row.is_some_and(|r| mine(&r.value)))
    }

    /// Settles a commit whose outcome is unknown. It may be called any number of times.
    ///
    /// `key` is a row that `txn` both checks and writes, and `mine` recognises the id that the
    /// writer put into it. The row is read back; if it does not carry the id, `txn` is sent again,
    /// which is safe because its check on `key` fails once a copy has been applied.
    ///
    /// Returns `Unknown` if the outcome is still open.
    pub async fn settle(
        &self,
        txn: &Txn,
        key: &str,
        mine: impl Fn(&str) -> bool,
    ) -> Result<Settled, StoreError> {
        if !txn.checks.iter().any(|c| &*c.key == key) {
            return Err(StoreError::Unknown {
                reason: format!("the transaction has no check on {key}"),
            });
        }
        for _ in 0..SETTLE_ROUNDS {
            if self.has_mark(key, &mine).await.map_err(still_unknown)? {
                return Ok(Settled::Applied);
            }
            match self.commit(txn).await.map_err(still_unknown)? {
                Commit::Done { .. } => return Ok(Settled::Applied),
                Commit::Conflict { .. } => {}
            }
            if let Some(settled) = self.confirm(key, &mine).await? {
                return Ok(settled);
            }
        }
        Err(StoreError::Unknown {
            reason: format!("reads of {key} are stale"),
        })
    }

    /// Reads the row and confirms by a transaction without writes that the read is not stale.
    async fn confirm(
        &self,
        key: &str,
        mine: &impl Fn(&str) -> bool,
    ) -> Result<Option<Settled>, StoreError> {
        let row = self.get(key).await.map_err(still_unknown)?;
        if row.as_ref().is_some_and(|r| mine(&r.value)) {
            return Ok(Some(Settled::Applied));
        }
        let check = Txn::default().check(key, row.map_or(0, |r| r.version));
        match self.commit(&check).await.map_err(still_unknown)? {
            Commit::Done { .. } => Ok(Some(Settled::Superseded)),
            Commit::Conflict { .. } => Ok(None),
        }
    }
}

/// A failed attempt to settle leaves the outcome of the first commit open.
fn still_unknown(err: StoreError) -> StoreError {
    match err {
        StoreError::NotDone { reason } | StoreError::Unknown { reason } => {
            StoreError::Unknown { reason }
        }
    }
}
