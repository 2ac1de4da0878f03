//! The table service as the other crates see it: over HTTP or in memory.

use derive_more::From;
use ntex::time;

use crate::{
    http::HttpTable,
    mem::MemTable,
    table::{Commit, Key, Row, SCAN_ROWS, StoreError, Txn},
};

/// Times that [`Table::settle`] reads and repeats before it gives up.
const SETTLE_ROUNDS: u32 = 6;
/// Pause after the first round; each further pause is twice as long.
const SETTLE_PAUSE: time::Millis = time::Millis(50);

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
    Applied {
        /// Version of the row that was read back or written.
        version: u64,
    },
    /// Another writer has changed a row that the transaction checks, and the row that was read
    /// back does not carry the id: the writes are not applied and never will be, or they were
    /// applied and then overwritten by a writer that removed the id.
    Superseded,
}

impl Table {
    /// Applies all writes of `txn` if every check holds.
    ///
    /// Returns `NotDone` only if nothing is applied, and `Unknown` if the writes may be applied.
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

    /// Reads one row; the row may be stale.
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

    /// Reads up to `limit` rows, and at most [`SCAN_ROWS`], whose keys start with `prefix` and
    /// follow `after`, in key order.
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

    /// Reads all rows whose keys start with `prefix`, in key order and in as many calls as needed.
    ///
    /// The calls are separate reads: rows that change meanwhile may be seen in either state.
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
            let page = self.scan(prefix, &after, SCAN_ROWS).await?;
            let full = page.len() == SCAN_ROWS;
            rows.extend(page);
            match rows.last() {
                Some(last) if full => after = last.key.clone(),
                _ => return Ok(rows),
            }
        }
    }

    /// Reads a row back and returns it if it carries the id that the writer put into it.
    ///
    /// A row proves that the write was applied. `None` proves nothing, because the read may be
    /// stale and the write may still be under way.
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
        mine: impl Fn(&str) -> bool,
    ) -> Result<Option<Row>, StoreError> {
        let row = self.get(key).await?;
        Ok(row.filter(|r| mine(&r.value)))
    }

    /// Settles a commit whose outcome is unknown. It may be called any number of times.
    ///
    /// `key` is a row that `txn` both checks and writes, and `mine` recognises the id that the
    /// writer put into it. The row is read back; if it does not carry the id, `txn` is sent again,
    /// which is safe because its check on `key` fails once a copy has been applied. Rows are
    /// deleted and inserted again under new versions, so a check on a version can't hold twice;
    /// with a check on absence, `key` must not be deleted while the outcome is open.
    ///
    /// Returns `Unknown` if the outcome is still open.
    ///
    /// ```
    /// use store::{client::{Settled, Table}, mem::MemTable, table::Txn};
    ///
    /// # ntex::rt::System::new("doc", ntex::rt::DefaultRuntime).block_on(async {
    /// let table = Table::from(MemTable::default());
    /// let txn = Txn::default().check("a", 0).put("a", r#"{"id":"x7"}"#.into());
    /// let mine = |value: &str| value.contains("x7");
    /// let settled = table.settle(&txn, "a", mine).await.unwrap();
    /// assert_eq!(settled, Settled::Applied { version: 1 });
    /// assert_eq!(table.settle(&txn, "a", mine).await.unwrap(), settled);
    /// # });
    /// ```
    pub async fn settle(
        &self,
        txn: &Txn,
        key: &str,
        mine: impl Fn(&str) -> bool,
    ) -> Result<Settled, StoreError> {
        let checked = txn.checks.iter().any(|c| &*c.key == key);
        let written = txn.writes.iter().any(|w| &*w.key == key);
        if !checked || !written {
            return Err(StoreError::Unknown {
                reason: format!("the transaction does not both check and write {key}"),
            });
        }
        let mut pause = SETTLE_PAUSE;
        for round in 0..SETTLE_ROUNDS {
            if round > 0 {
                time::sleep(pause).await;
                pause = time::Millis(pause.0 * 2);
            }
            if let Some(row) = self.read_back(key, &mine).await.map_err(still_open)? {
                return Ok(Settled::Applied {
                    version: row.version,
                });
            }
            if let Commit::Done { version } = self.commit(txn).await.map_err(still_open)? {
                return Ok(Settled::Applied { version });
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
        let row = self.get(key).await.map_err(still_open)?;
        let version = row.as_ref().map_or(0, |r| r.version);
        if row.is_some_and(|r| mine(&r.value)) {
            return Ok(Some(Settled::Applied { version }));
        }
        let current = Txn::default().check(key, version);
        match self.commit(&current).await.map_err(still_open)? {
            Commit::Done { .. } => Ok(Some(Settled::Superseded)),
            Commit::Conflict { .. } => Ok(None),
        }
    }
}

/// A failed attempt to settle leaves the outcome of the first commit open.
fn still_open(err: StoreError) -> StoreError {
    match err {
        StoreError::NotDone { reason } | StoreError::Unknown { reason } => {
            StoreError::Unknown { reason }
        }
    }
}
