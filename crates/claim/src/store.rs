//! The calls of the table service that claims need.

use std::future::Future;

use ::store::{
    mem::MemTable,
    table::{Commit, Row, StoreError, Txn},
};

/// The calls of the table service that claims need.
pub trait Store {
    /// Applies all writes of `txn` if every check holds.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit, StoreError>>;

    /// Reads one row; the read may be stale.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>>;

    /// Reads up to `limit` rows with `prefix` that follow `after`; the read may be stale.
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
