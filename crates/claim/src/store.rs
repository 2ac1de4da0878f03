//! Operations of the table service that claims need.

use std::future::Future;

use ::store::{
    client::Table,
    mem::MemTable,
    table::{Commit, Row, StoreError, Txn},
};

/// Operations of the table service that claims need.
///
/// A trait lets tests inject lost answers, outages and stale reads.
pub trait Store {
    /// Applies all writes of `txn` if every check holds.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit, StoreError>>;

    /// Reads one row; the read may be stale.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`; the read may be
    /// stale.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, StoreError>>;
}

impl Store for MemTable {
    async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        Ok(Self::commit(self, txn))
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        Ok(Self::get(self, key))
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        Ok(Self::scan(self, prefix, after, limit))
    }
}

impl Store for Table {
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit, StoreError>> {
        Self::commit(self, txn)
    }

    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>> {
        Self::get(self, key)
    }

    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, StoreError>> {
        Self::scan(self, prefix, after, limit)
    }
}
