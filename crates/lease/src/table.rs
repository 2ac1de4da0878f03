//! Executes the steps of the lease on a table service.

use std::net;

use serde::{Deserialize, Serialize};
use store::{
    client,
    table::{Commit, Key, Row, StoreError, Txn},
};

use crate::machine::{ObservedLease, Outcome, Step};

/// Content of the lease row; it changes only on takeover.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseRow {
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Fencing token; every takeover increases it.
    pub fence: u64,
    /// Address at which the holder serves the other processes of the system.
    pub address: net::SocketAddr,
}

/// Content of the heartbeat row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct HeartbeatRow {
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Sequence number of the renewal, which makes each renewal change the row.
    pub count: u64,
}

/// Result of reading two rows; `None` if the row is absent.
pub type RowPair = (Option<Row>, Option<Row>);

/// Access to the rows of a lease in a table service.
pub trait LeaseTable {
    /// Applies all writes of `txn` if every check holds.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit, StoreError>>;

    /// Reads two rows; the read of `first` does not happen after the read of `second`.
    fn get_pair(
        &self,
        first: &str,
        second: &str,
    ) -> impl Future<Output = Result<RowPair, StoreError>>;
}

impl LeaseTable for client::Table {
    async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        Self::commit(self, txn).await
    }

    async fn get_pair(&self, first: &str, second: &str) -> Result<RowPair, StoreError> {
        Ok((self.get(first).await?, self.get(second).await?))
    }
}

/// A process that competes for a lease, and the keys of the rows of the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Random incarnation id of the process.
    pub id: u64,
    /// Address at which the process serves the other processes of the system.
    pub address: net::SocketAddr,
    /// Key of the lease row.
    pub lease_key: Key,
    /// Key of the heartbeat row.
    pub heartbeat_key: Key,
}

/// Result of an executed step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepResult {
    /// Outcome for the state machine.
    pub outcome: Outcome,
    /// Address of the holder if the lease row was read.
    pub holder: Option<net::SocketAddr>,
}

impl StepResult {
    /// Returns whether the table service answered.
    ///
    /// ```
    /// use lease::{machine::Outcome, table::StepResult};
    /// assert!(!StepResult { outcome: Outcome::Unknown, holder: None }.is_answered());
    /// ```
    pub const fn is_answered(&self) -> bool {
        !matches!(self.outcome, Outcome::NotDone | Outcome::Unknown)
    }
}

impl From<Outcome> for StepResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            holder: None,
        }
    }
}

/// Executes a step; `count` is written to the heartbeat row as the sequence number.
pub async fn execute(
    table: &impl LeaseTable,
    candidate: &Candidate,
    step: Step,
    count: u64,
) -> StepResult {
    let heartbeat = to_json(&HeartbeatRow {
        holder: candidate.id,
        count,
    });
    match step {
        Step::Acquire {
            lease_version,
            heartbeat_version,
            fence,
        } => {
            let row = LeaseRow {
                holder: candidate.id,
                fence,
                address: candidate.address,
            };
            let txn = Txn::default()
                .check(candidate.lease_key.clone(), lease_version)
                .check(candidate.heartbeat_key.clone(), heartbeat_version)
                .put(candidate.lease_key.clone(), to_json(&row))
                .put(candidate.heartbeat_key.clone(), heartbeat);
            commit(table, candidate, &txn).await.into()
        }
        Step::Renew { lease_version } => {
            let txn = Txn::default().check(candidate.lease_key.clone(), lease_version);
            let txn = txn.put(candidate.heartbeat_key.clone(), heartbeat);
            commit(table, candidate, &txn).await.into()
        }
        Step::Release { lease_version } => {
            let txn = Txn::default().check(candidate.lease_key.clone(), lease_version);
            let txn = txn.delete(candidate.heartbeat_key.clone());
            commit(table, candidate, &txn).await.into()
        }
        Step::Read | Step::Wait { .. } | Step::Ended => read_rows(table, candidate).await,
    }
}

async fn commit(table: &impl LeaseTable, candidate: &Candidate, txn: &Txn) -> Outcome {
    match table.commit(txn).await {
        Ok(Commit::Done { version }) => Outcome::Done { version },
        Ok(Commit::Conflict { keys }) => Outcome::Conflict {
            lease_changed: keys.contains(&candidate.lease_key),
        },
        Err(StoreError::NotDone { reason } | StoreError::Rejected { reason }) => {
            log::debug!("lease: the transaction failed: {reason}");
            Outcome::NotDone
        }
        Err(StoreError::Unknown { reason }) => {
            log::debug!("lease: the outcome of the transaction is unknown: {reason}");
            Outcome::Unknown
        }
    }
}

async fn read_rows(table: &impl LeaseTable, candidate: &Candidate) -> StepResult {
    // The heartbeat row is read first, so that the check of the heartbeat row fails if a takeover
    // happens between the two reads.
    let Ok((heartbeat, lease)) = table
        .get_pair(&candidate.heartbeat_key, &candidate.lease_key)
        .await
    else {
        return Outcome::NotDone.into();
    };
    let heartbeat_version = heartbeat.map_or(0, |r| r.version);
    let Some(row) = lease else {
        return Outcome::Rows {
            lease: None,
            heartbeat_version,
        }
        .into();
    };
    let value: LeaseRow = match serde_json::from_str(&row.value) {
        Ok(value) => value,
        Err(e) => {
            log::error!("lease: the row {} is not readable: {e}", row.key);
            return Outcome::NotDone.into();
        }
    };
    let lease = ObservedLease {
        version: row.version,
        holder: value.holder,
        fence: value.fence,
        holder_ended: value.address == candidate.address && value.holder != candidate.id,
    };
    StepResult {
        outcome: Outcome::Rows {
            lease: Some(lease),
            heartbeat_version,
        },
        holder: Some(value.address),
    }
}

/// Serializes the content of a row. It can't fail, because the rows are plain data.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are plain data")
}
