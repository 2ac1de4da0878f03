//! Carries out the steps of the lease on a table service.

use std::net;

use serde::{Deserialize, Serialize};
use store::{
    client,
    table::{Commit, Key, Row, StoreError, Txn},
};

use crate::machine::{LeaseSeen, Outcome, Step};

/// Content of the lease row; it changes only on takeover.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseRow {
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Fencing number; every takeover raises it.
    pub fence: u64,
    /// Address of the holder for other processes of the system.
    pub address: net::SocketAddr,
}

/// Content of the beat row.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct BeatRow {
    /// Incarnation id of the holder.
    pub holder: u64,
    /// Number of the renewal.
    pub count: u64,
}

/// Two rows as read; `None` if absent.
pub type Pair = (Option<Row>, Option<Row>);

/// A table service that holds the rows of a lease.
pub trait Rows {
    /// Applies all writes of `txn` if every check holds.
    fn commit(&self, txn: &Txn) -> impl Future<Output = Result<Commit, StoreError>>;

    /// Reads two rows, the first not after the second.
    fn get_pair(&self, first: &str, second: &str)
    -> impl Future<Output = Result<Pair, StoreError>>;
}

impl Rows for client::Table {
    async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        Self::commit(self, txn).await
    }

    async fn get_pair(&self, first: &str, second: &str) -> Result<Pair, StoreError> {
        Ok((self.get(first).await?, self.get(second).await?))
    }
}

/// Who competes for a lease, and where its rows are.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Random incarnation id.
    pub id: u64,
    /// Address for other processes of the system.
    pub address: net::SocketAddr,
    /// Key of the lease row.
    pub lease_key: Key,
    /// Key of the beat row.
    pub beat_key: Key,
}

/// What came of a step, and the holder if a row named it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Carried {
    /// For the state machine.
    pub outcome: Outcome,
    /// Address of the holder, if the lease row was read.
    pub holder: Option<net::SocketAddr>,
}

impl Carried {
    /// Returns whether the table service answered.
    ///
    /// ```
    /// use lease::{machine::Outcome, table::Carried};
    /// assert!(!Carried { outcome: Outcome::Unknown, holder: None }.is_answered());
    /// ```
    pub const fn is_answered(&self) -> bool {
        !matches!(self.outcome, Outcome::NotDone | Outcome::Unknown)
    }
}

impl From<Outcome> for Carried {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            holder: None,
        }
    }
}

/// Carries out a step; `count` numbers the renewals.
pub async fn carry_out(rows: &impl Rows, who: &Candidate, step: Step, count: u64) -> Carried {
    let beat = to_json(&BeatRow {
        holder: who.id,
        count,
    });
    match step {
        Step::Take {
            lease,
            beat: seen,
            fence,
        } => {
            let row = LeaseRow {
                holder: who.id,
                fence,
                address: who.address,
            };
            let txn = Txn::default()
                .check(who.lease_key.clone(), lease)
                .check(who.beat_key.clone(), seen)
                .put(who.lease_key.clone(), to_json(&row))
                .put(who.beat_key.clone(), beat);
            commit(rows, who, &txn).await.into()
        }
        Step::Renew { lease } => {
            let txn = Txn::default().check(who.lease_key.clone(), lease);
            let txn = txn.put(who.beat_key.clone(), beat);
            commit(rows, who, &txn).await.into()
        }
        Step::Release { lease } => {
            let txn = Txn::default().check(who.lease_key.clone(), lease);
            let txn = txn.delete(who.beat_key.clone());
            commit(rows, who, &txn).await.into()
        }
        Step::Look | Step::Wait { .. } | Step::Ended => look(rows, who).await,
    }
}

async fn commit(rows: &impl Rows, who: &Candidate, txn: &Txn) -> Outcome {
    match rows.commit(txn).await {
        Ok(Commit::Done { version }) => Outcome::Done { version },
        Ok(Commit::Conflict { keys }) => Outcome::Conflict {
            lease: keys.contains(&who.lease_key),
        },
        Err(StoreError::NotDone { reason }) => {
            log::debug!("lease: {reason}");
            Outcome::NotDone
        }
        Err(StoreError::Unknown { reason }) => {
            log::debug!("lease: {reason}");
            Outcome::Unknown
        }
    }
}

async fn look(rows: &impl Rows, who: &Candidate) -> Carried {
    // The beat is read first: a takeover between the two reads then fails the check of the lease.
    let Ok((beat, lease)) = rows.get_pair(&who.beat_key, &who.lease_key).await else {
        return Outcome::NotDone.into();
    };
    let beat = beat.map_or(0, |r| r.version);
    let Some(row) = lease else {
        return Outcome::Rows { lease: None, beat }.into();
    };
    let value: LeaseRow = match serde_json::from_str(&row.value) {
        Ok(value) => value,
        Err(e) => {
            log::error!("lease: the row {} is not readable: {e}", row.key);
            return Outcome::NotDone.into();
        }
    };
    let lease = LeaseSeen {
        version: row.version,
        holder: value.holder,
        fence: value.fence,
        has_ended: value.address == who.address && value.holder != who.id,
    };
    Carried {
        outcome: Outcome::Rows {
            lease: Some(lease),
            beat,
        },
        holder: Some(value.address),
    }
}

/// Writes a row's content; the rows are plain data and always have a JSON form.
fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are plain data")
}
