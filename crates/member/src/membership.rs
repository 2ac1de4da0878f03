//! The membership of this process: registration, renewal and leaving.

use std::{cell::Cell, net};

use base::clock::{self, Millis};
use store::{
    client::Table,
    table::{Commit, StoreError, Txn},
};
use tokio::sync::Mutex;

use crate::rows::{self, MEMBERS_KEY, MemberList, MemberRole, MemberRow, REVISION_KEY};

/// The membership of this process.
///
/// ```
/// use member::{membership::Membership, rows::MemberRole};
/// let membership = Membership::new(7, "127.0.0.1:7101".parse().unwrap(), MemberRole::Entry);
/// assert!(!membership.is_registered());
/// ```
#[derive(Debug)]
pub struct Membership {
    id: u64,
    address: net::SocketAddr,
    role: MemberRole,
    renewals: Cell<u64>,
    /// Version of this member's row; `None` before the registration and after a write with an
    /// unknown outcome or a conflict.
    version: Cell<Option<u64>>,
    /// Start of the last write of this member's row that is known to be applied.
    renewed_at: Cell<Option<Millis>>,
    /// Whether this member leaves or has left.
    leaving: Cell<bool>,
    /// Held while rows are read and written, so that a renewal under way ends before the member leaves.
    writing: Mutex<()>,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Renewal {
    /// The row is renewed, and the `rev` row had the given version at the time of the transaction.
    Confirmed,
    /// The row is renewed or registered; the version of `rev` was not checked.
    Renewed,
    /// Another transaction was applied first, or a read was stale; the caller retries.
    Retry,
    /// The member leaves or has left; nothing was written.
    Left,
}

/// Maximum number of attempts to leave; one fails if the member list changes at the same time.
const LEAVE_ATTEMPTS: usize = 5;

impl Membership {
    /// Creates the membership without I/O; the first renewal registers the member.
    pub fn new(id: u64, address: net::SocketAddr, role: MemberRole) -> Self {
        Self {
            id,
            address,
            role,
            renewals: Cell::new(0),
            version: Cell::new(None),
            renewed_at: Cell::new(None),
            leaving: Cell::new(false),
            writing: Mutex::new(()),
        }
    }

    /// Returns the incarnation id of this process.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns whether this member's row existed at the last renewal.
    pub fn is_registered(&self) -> bool {
        self.version.get().is_some()
    }

    /// Returns the start of the last write of this member's row that is known to be applied. The row
    /// is not older than that.
    pub fn renewed_at(&self) -> Option<Millis> {
        self.renewed_at.get()
    }

    /// Returns this member's row as it was last written.
    pub fn row(&self) -> MemberRow {
        MemberRow {
            id: self.id,
            address: self.address,
            role: self.role,
            renewed: self.renewals.get(),
        }
    }

    /// Renews this member's row, or registers the member if the row does not exist.
    ///
    /// `rev_version` is the newest version of the `rev` row that this process knows. The
    /// transaction checks it, because a read may be stale and the check of a transaction is not.
    pub async fn renew(
        &self,
        table: &Table,
        rev_version: Option<u64>,
    ) -> Result<Renewal, StoreError> {
        let _guard = self.writing.lock().await;
        if self.leaving.get() {
            return Ok(Renewal::Left);
        }
        let Some(version) = self.version.get() else {
            return self.find_or_register(table).await;
        };
        let key = rows::member_key(self.id);
        let mut txn = Txn::default()
            .check(key.clone(), version)
            .put(key.clone(), self.next_row());
        if let Some(rev_version) = rev_version {
            txn = txn.check(REVISION_KEY, rev_version);
        }
        match self.commit(table, &txn).await? {
            Commit::Done { .. } if rev_version.is_some() => Ok(Renewal::Confirmed),
            Commit::Done { .. } => Ok(Renewal::Renewed),
            Commit::Conflict { keys } if keys.contains(&key) => {
                self.version.set(None);
                Ok(Renewal::Retry)
            }
            Commit::Conflict { .. } => {
                let txn = Txn::default()
                    .check(key.clone(), version)
                    .put(key, self.next_row());
                self.commit(table, &txn).await.map(|_| Renewal::Retry)
            }
        }
    }

    /// Removes this member's row and its item in the member list at a planned stop. The row is not
    /// renewed any more from now on, and a renewal under way ends first.
    ///
    /// If this fails, the leader removes the member once its row is no longer renewed.
    pub async fn leave(&self, table: &Table) -> Result<(), StoreError> {
        self.leaving.set(true);
        let _guard = self.writing.lock().await;
        for _ in 0..LEAVE_ATTEMPTS {
            let row = table.get(MEMBERS_KEY).await?;
            let version = row.as_ref().map_or(0, |row| row.version);
            let list = MemberList::read(row.as_ref())?.without(&[self.id]);
            let txn = Txn::default()
                .check(MEMBERS_KEY, version)
                .put(MEMBERS_KEY, rows::to_json(&list))
                .delete(rows::member_key(self.id));
            if let Commit::Done { .. } = table.commit(&txn).await? {
                return Ok(());
            }
        }
        Err(StoreError::NotDone {
            reason: "the member list keeps changing".into(),
        })
    }

    async fn find_or_register(&self, table: &Table) -> Result<Renewal, StoreError> {
        let key = rows::member_key(self.id);
        if let Some(row) = table.get(&key).await? {
            self.version.set(Some(row.version));
            return Ok(Renewal::Retry);
        }
        let row = table.get(MEMBERS_KEY).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let mut list = MemberList::read(row.as_ref())?.without(&[self.id]);
        let value = self.next_row();
        list.members.push(self.row());
        let txn = Txn::default()
            .check(MEMBERS_KEY, version)
            .check(key.clone(), 0)
            .put(MEMBERS_KEY, rows::to_json(&list))
            .put(key, value);
        match self.commit(table, &txn).await? {
            Commit::Done { .. } => Ok(Renewal::Renewed),
            Commit::Conflict { .. } => Ok(Renewal::Retry),
        }
    }

    /// Counts a renewal and returns the new content of this member's row.
    fn next_row(&self) -> String {
        self.renewals.set(self.renewals.get() + 1);
        rows::to_json(&self.row())
    }

    /// Commits a write of this member's row and records its version. If the outcome is unknown, the
    /// next renewal reads the row again.
    async fn commit(&self, table: &Table, txn: &Txn) -> Result<Commit, StoreError> {
        let started = clock::now();
        let result = table.commit(txn).await;
        match &result {
            Ok(Commit::Done { version }) => {
                self.version.set(Some(*version));
                self.renewed_at.set(Some(started));
            }
            Ok(Commit::Conflict { .. })
            | Err(StoreError::NotDone { .. } | StoreError::Rejected { .. }) => {}
            Err(StoreError::Unknown { .. }) => self.version.set(None),
        }
        result
    }
}
