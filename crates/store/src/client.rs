//! Table client with an HTTP and an in-memory implementation.

use derive_more::From;
use ntex::time;

use crate::{
    http::HttpTable,
    mem::MemTable,
    table::{Commit, Key, MAX_SCAN_ROWS, Row, StoreError, Txn},
};

/// Attempts of [`Table::settle`] before it gives up; each one reads the row and repeats the commit.
const SETTLE_ATTEMPTS: u32 = 6;
/// Delay after the first attempt; it doubles after every further attempt.
const SETTLE_FIRST_DELAY: time::Millis = time::Millis(50);

/// A table that is accessed over HTTP or kept in memory.
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
    /// In-memory table.
    Mem(MemTable),
}

/// Outcome of a commit as determined by [`Table::settle`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settled {
    /// The writes are applied.
    Applied {
        /// Version of the row that was read back or written.
        version: u64,
    },
    /// Another writer has changed a row that the transaction checks, and the row that was read
    /// back does not contain the id of the write.
    ///
    /// Either the writes are not applied and never will be, or they were applied and then
    /// overwritten by a writer that removed the id.
    Superseded,
}

impl Table {
    /// Applies all writes of `txn` if every check holds.
    ///
    /// Returns [`StoreError::NotDone`] only if no write is applied, and [`StoreError::Unknown`] if
    /// the writes may be applied.
    ///
    /// ```
    /// use store::{client::Table, mem::MemTable, table::{Commit, Txn}};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// let txn = Txn::default().check("rev", 0).put("rev", "1".into());
    /// assert_eq!(table.commit(&txn).await, Ok(Commit::Done { version: 1 }));
    /// # });
    /// ```
    pub async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        match self {
            Self::Http(table) => table.commit(txn).await,
            Self::Mem(table) => Ok(table.commit(txn)),
        }
    }

    /// Reads one row, which may be stale.
    ///
    /// ```
    /// use store::{client::Table, mem::MemTable};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// assert_eq!(table.get("rev").await, Ok(None));
    /// # });
    /// ```
    pub async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        match self {
            Self::Http(table) => table.get(key).await,
            Self::Mem(table) => Ok(table.get(key)),
        }
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    ///
    /// Returns at most [`MAX_SCAN_ROWS`] rows.
    ///
    /// ```
    /// use store::{client::Table, mem::MemTable, table::Txn};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// let txn = Txn::default().put("job/a", "1".into()).put("job/b", "2".into());
    /// table.commit(&txn).await.unwrap();
    /// assert_eq!(table.scan("job/", "job/a", 10).await.unwrap().len(), 1);
    /// # });
    /// ```
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

    /// Reads all rows whose keys start with `prefix`, in key order.
    ///
    /// The rows are read in pages, not in one snapshot: a row that changes in the meantime may be
    /// returned in its old or its new state.
    ///
    /// ```
    /// use store::{client::Table, mem::MemTable};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// assert_eq!(table.scan_all("job/").await, Ok(vec![]));
    /// # });
    /// ```
    pub async fn scan_all(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        let mut rows = Vec::new();
        let mut after: Key = "".into();
        loop {
            let page = self.scan(prefix, &after, MAX_SCAN_ROWS).await?;
            let is_full = page.len() == MAX_SCAN_ROWS;
            rows.extend(page);
            match rows.last() {
                Some(last) if is_full => after = last.key.clone(),
                _ => return Ok(rows),
            }
        }
    }

    /// Reads a row back and returns it if `is_own` recognises the id that the writer put into it.
    ///
    /// A returned row proves that the write was applied. `None` proves nothing, because the read
    /// may be stale and the write may still be in flight.
    ///
    /// ```
    /// use store::{client::Table, mem::MemTable, table::Txn};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// table.commit(&Txn::default().put("a", r#"{"id":"x7"}"#.into())).await.unwrap();
    /// let row = table.read_back("a", |value| value.contains("x7")).await.unwrap();
    /// assert_eq!(row.unwrap().version, 1);
    /// # });
    /// ```
    pub async fn read_back(
        &self,
        key: &str,
        is_own: impl Fn(&str) -> bool,
    ) -> Result<Option<Row>, StoreError> {
        let row = self.get(key).await?;
        Ok(row.filter(|r| is_own(&r.value)))
    }

    /// Determines the outcome of a commit that returned [`StoreError::Unknown`], and repeats the
    /// commit if needed. It may be called any number of times.
    ///
    /// `key` is a row that `txn` both checks and writes, and `is_own` recognises the id that the
    /// writer put into it. The row is read back; if it does not contain the id, `txn` is sent
    /// again, which is safe because its check on `key` fails once a copy has been applied. A row
    /// that is deleted and inserted again gets a new version, so a check on a version can't hold
    /// twice; with a check on absence, `key` must not be deleted while the outcome is unknown.
    ///
    /// Returns [`StoreError::Unknown`] if the outcome is still unknown.
    ///
    /// ```
    /// use store::{client::{Settled, Table}, mem::MemTable, table::Txn};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// let txn = Txn::default().check("a", 0).put("a", r#"{"id":"x7"}"#.into());
    /// let is_own = |value: &str| value.contains("x7");
    /// let settled = table.settle(&txn, "a", is_own).await.unwrap();
    /// assert_eq!(settled, Settled::Applied { version: 1 });
    /// assert_eq!(table.settle(&txn, "a", is_own).await.unwrap(), settled);
    /// # });
    /// ```
    pub async fn settle(
        &self,
        txn: &Txn,
        key: &str,
        is_own: impl Fn(&str) -> bool,
    ) -> Result<Settled, StoreError> {
        let checked = txn.checks.iter().any(|c| &*c.key == key);
        let written = txn.writes.iter().any(|w| &*w.key == key);
        if !checked || !written {
            return Err(StoreError::Unknown {
                reason: format!("the transaction must both check and write {key}"),
            });
        }
        let mut delay = SETTLE_FIRST_DELAY;
        for attempt in 0..SETTLE_ATTEMPTS {
            if attempt > 0 {
                time::sleep(delay).await;
                delay = time::Millis(delay.0 * 2);
            }
            if let Some(row) = self
                .read_back(key, &is_own)
                .await
                .map_err(outcome_unknown)?
            {
                return Ok(Settled::Applied {
                    version: row.version,
                });
            }
            if let Commit::Done { version } = self.commit(txn).await.map_err(outcome_unknown)? {
                return Ok(Settled::Applied { version });
            }
            if let Some(settled) = self.read_and_confirm(key, &is_own).await? {
                return Ok(settled);
            }
        }
        Err(StoreError::Unknown {
            reason: format!("all reads of {key} were stale"),
        })
    }

    /// Reads the row and verifies by a transaction without writes that the read is not stale.
    ///
    /// Returns `None` if the read is stale and the row does not contain the id.
    async fn read_and_confirm(
        &self,
        key: &str,
        is_own: &impl Fn(&str) -> bool,
    ) -> Result<Option<Settled>, StoreError> {
        let row = self.get(key).await.map_err(outcome_unknown)?;
        let version = row.as_ref().map_or(0, |r| r.version);
        if row.is_some_and(|r| is_own(&r.value)) {
            return Ok(Some(Settled::Applied { version }));
        }
        let version_check = Txn::default().check(key, version);
        match self.commit(&version_check).await.map_err(outcome_unknown)? {
            Commit::Done { .. } => Ok(Some(Settled::Superseded)),
            Commit::Conflict { .. } => Ok(None),
        }
    }
}

/// Turns the error of an attempt to settle into `Unknown`: the outcome of the original commit is
/// not known, even if the attempt itself had no effect.
fn outcome_unknown(err: StoreError) -> StoreError {
    match err {
        StoreError::NotDone { reason }
        | StoreError::Rejected { reason }
        | StoreError::Unknown { reason } => StoreError::Unknown { reason },
    }
}
