//! The membership of this process: registration, renewal and leaving.

use std::{cell::Cell, net};

use store::{
    client::Table,
    table::{Commit, StoreError, Txn},
};

use crate::rows::{self, MEMBERS_KEY, MemberList, MemberRole, MemberRow, REV_KEY};

/// The membership of this process.
///
/// ```
/// use member::{own::Own, rows::MemberRole};
/// let own = Own::new(7, "127.0.0.1:7101".parse().unwrap(), MemberRole::Entry);
/// assert!(!own.is_registered());
/// ```
#[derive(Debug)]
pub struct Own {
    id: u64,
    address: net::SocketAddr,
    role: MemberRole,
    renewals: Cell<u64>,
    /// Version of the own row; `None` before the registration and while the row is unknown.
    version: Cell<Option<u64>>,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Renewal {
    /// The row is renewed, and the `rev` row had the given version at that moment.
    Confirmed,
    /// The row is renewed or registered; nothing is known about `rev`.
    Renewed,
    /// Another transaction came first, or a read was stale; try again.
    Again,
}

impl Own {
    /// Creates the membership; the first renewal registers it.
    pub fn new(id: u64, address: net::SocketAddr, role: MemberRole) -> Self {
        Self {
            id,
            address,
            role,
            renewals: Cell::new(0),
            version: Cell::new(None),
        }
    }

    /// Returns the incarnation id of this process.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns whether the own row was there at the last renewal.
    pub fn is_registered(&self) -> bool {
        self.version.get().is_some()
    }

    /// Returns the own row as it was last written.
    pub fn row(&self) -> MemberRow {
        MemberRow {
            id: self.id,
            address: self.address,
            role: self.role,
            renewed: self.renewals.get(),
        }
    }

    /// Renews the own row, or registers it if it is not there.
    ///
    /// `rev` is the version of the `rev` row that this process takes for the newest. The
    /// transaction checks it, because a read may be stale and the check of a transaction is not.
    pub async fn renew(&self, table: &Table, rev: Option<u64>) -> Result<Renewal, StoreError> {
        let Some(version) = self.version.get() else {
            return self.find_or_register(table).await;
        };
        let key = rows::member_key(self.id);
        let mut txn = Txn::default()
            .check(key.clone(), version)
            .put(key.clone(), self.next_row());
        if let Some(rev) = rev {
            txn = txn.check(REV_KEY, rev);
        }
        match self.commit(table, &txn).await? {
            Commit::Done { .. } if rev.is_some() => Ok(Renewal::Confirmed),
            Commit::Done { .. } => Ok(Renewal::Renewed),
            Commit::Conflict { keys } if keys.contains(&key) => {
                self.version.set(None);
                Ok(Renewal::Again)
            }
            Commit::Conflict { .. } => {
                let txn = Txn::default()
                    .check(key.clone(), version)
                    .put(key, self.next_row());
                self.commit(table, &txn).await.map(|_| Renewal::Again)
            }
        }
    }

    /// Removes the own row and the entry in the list, at a planned stop.
    ///
    /// A member that can't be removed here is removed by the leader when it is not renewed.
    pub async fn leave(&self, table: &Table) -> Result<(), StoreError> {
        let row = table.get(MEMBERS_KEY).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let list = MemberList::read(row.as_ref()).without(&[self.id]);
        let txn = Txn::default()
            .check(MEMBERS_KEY, version)
            .put(MEMBERS_KEY, rows::to_json(&list))
            .delete(rows::member_key(self.id));
        table.commit(&txn).await.map(|_| ())
    }

    async fn find_or_register(&self, table: &Table) -> Result<Renewal, StoreError> {
        let key = rows::member_key(self.id);
        if let Some(row) = table.get(&key).await? {
            self.version.set(Some(row.version));
            return Ok(Renewal::Again);
        }
        let row = table.get(MEMBERS_KEY).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let mut list = MemberList::read(row.as_ref()).without(&[self.id]);
        let own = self.next_row();
        list.members.push(self.row());
        let txn = Txn::default()
            .check(MEMBERS_KEY, version)
            .check(key.clone(), 0)
            .put(MEMBERS_KEY, rows::to_json(&list))
            .put(key, own);
        match self.commit(table, &txn).await? {
            Commit::Done { .. } => Ok(Renewal::Renewed),
            Commit::Conflict { .. } => Ok(Renewal::Again),
        }
    }

    fn next_row(&self) -> String {
        self.renewals.set(self.renewals.get() + 1);
        rows::to_json(&self.row())
    }

    /// Commits a write of the own row; after a lost answer the row is looked up again.
    async fn commit(&self, table: &Table, txn: &Txn) -> Result<Commit, StoreError> {
        let result = table.commit(txn).await;
        match &result {
            Ok(Commit::Done { version }) => self.version.set(Some(*version)),
            Ok(Commit::Conflict { .. }) | Err(StoreError::NotDone { .. }) => {}
            Err(StoreError::Unknown { .. }) => self.version.set(None),
        }
        result
    }
}
