//! The table service as claims use it.

use std::future::Future;

use store::{
    client::Table,
    table::{Commit, Row, StoreError, Txn},
};

/// The table service as claims use it.
#[derive(Clone, Debug)]
pub struct ClaimStore(pub Table);

impl claim::store::Store for ClaimStore {
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit, StoreError>> {
        self.0.commit(txn)
    }

    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, StoreError>> {
        self.0.get(key)
    }

    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<Row>, StoreError>> {
        self.0.scan(prefix, after, limit)
    }
}
