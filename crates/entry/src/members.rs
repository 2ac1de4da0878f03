//! Members of the system: the row of this entry, the other members, and their vouching.

use std::{
    cell::{Cell, RefCell},
    net,
};

use base::clock::Millis;
use futures_util::future;
use schema::config::Config;
use store::{
    client::Table,
    table::{StoreError, Txn},
};
use wire::{
    client::Client,
    message::{Reply, Request},
};

use crate::{
    rows::{MEMBER_PREFIX, MemberRole, MemberRow, member_key},
    state::Entry,
};

/// Most members that are read.
const MEMBERS: usize = 1_000;
/// Longest wait for a member's answer.
const VOUCH_TIMEOUT: Millis = Millis(500);

/// Members as last read from the table.
#[derive(Debug)]
pub struct Members {
    id: u64,
    address: net::SocketAddr,
    renewed: Cell<u64>,
    last: RefCell<Vec<MemberRow>>,
}

impl Members {
    /// Starts with this entry, which serves members on `address`, as the only member.
    pub fn new(id: u64, address: net::SocketAddr) -> Self {
        let me = MemberRow {
            id,
            address,
            role: MemberRole::Entry,
            renewed: 0,
        };
        Self {
            id,
            address,
            renewed: Cell::new(0),
            last: RefCell::new(vec![me]),
        }
    }

    /// Returns the ids of all entries.
    pub fn entries(&self) -> Vec<u64> {
        let last = self.last.borrow();
        let entries = last.iter().filter(|m| m.role == MemberRole::Entry);
        entries.map(|m| m.id).collect()
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.last.borrow().len()
    }

    /// Writes this entry's row.
    pub async fn renew(&self, table: &Table) -> Result<(), StoreError> {
        self.renewed.set(self.renewed.get() + 1);
        let row = MemberRow {
            id: self.id,
            address: self.address,
            role: MemberRole::Entry,
            renewed: self.renewed.get(),
        };
        let value = serde_json::to_string(&row).expect("a member row is valid JSON");
        let txn = Txn::default().put(member_key(self.id), value);
        table.commit(&txn).await.map(|_| ())
    }

    /// Deletes this entry's row.
    pub async fn leave(&self, table: &Table) -> Result<(), StoreError> {
        let txn = Txn::default().delete(member_key(self.id));
        table.commit(&txn).await.map(|_| ())
    }

    /// Reads the rows of all members.
    pub async fn read(&self, table: &Table) -> Result<(), StoreError> {
        let rows = table.scan(MEMBER_PREFIX, "", MEMBERS).await?;
        let parsed = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<MemberRow>(&row.value).ok());
        let mut members: Vec<MemberRow> = parsed.filter(|m| m.id != self.id).collect();
        members.push(MemberRow {
            id: self.id,
            address: self.address,
            role: MemberRole::Entry,
            renewed: self.renewed.get(),
        });
        *self.last.borrow_mut() = members;
        Ok(())
    }

    /// Takes the newest configuration that any other member has in force.
    ///
    /// The first read of the table may be stale, so an entry that has just started could otherwise
    /// serve a revision lower than an accepted one.
    pub async fn catch_up(&self, cx: &Entry) {
        let others = self.others();
        let answers = future::join_all(others.iter().map(|a| newer(*a, cx.config.revision())));
        for config in answers.await.into_iter().flatten() {
            cx.config.install(config);
        }
        cx.caught_up.set(true);
    }

    fn others(&self) -> Vec<net::SocketAddr> {
        let last = self.last.borrow();
        let others = last.iter().filter(|m| m.id != self.id);
        others.map(|m| m.address).collect()
    }

    /// Confirms the configuration as of `start` if a majority of the last known members, this one
    /// included, has no higher revision and does not reach the table service either.
    ///
    /// An accepted revision is known to a majority, so any majority contains a member that knows
    /// the newest one. A member that reaches the table service makes this entry wait for its own
    /// read instead.
    pub async fn vouch(&self, cx: &Entry, start: Millis) {
        let known_revision = cx.config.revision();
        if known_revision == 0 {
            return;
        }
        let others = self.others();
        let answers = future::join_all(others.iter().map(|a| ask(*a, known_revision))).await;
        let vouching = answers.iter().filter(|a| **a == Vote::For).count() + 1;
        let is_opposed = answers.contains(&Vote::Against);
        if !is_opposed && 2 * vouching > others.len() + 1 {
            cx.config.confirm(start);
        }
    }
}

/// What a member says about a revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Vote {
    /// It has no higher revision and does not reach the table service.
    For,
    /// It has a higher revision or reaches the table service.
    Against,
    /// It does not answer.
    Silent,
}

/// Asks a member for its configuration if that is newer than `known_revision`.
async fn newer(address: net::SocketAddr, known_revision: u64) -> Option<Config> {
    let client = Client::new(address).with_timeout(VOUCH_TIMEOUT);
    // Member 0 is no member, so a leader does not take this as an acknowledgement.
    let req = Request::Current {
        member: 0,
        known_revision,
    };
    match client.call(&req).await {
        Ok(Reply::Current { config, .. }) => config,
        _ => None,
    }
}

async fn ask(address: net::SocketAddr, known_revision: u64) -> Vote {
    let client = Client::new(address).with_timeout(VOUCH_TIMEOUT);
    match client.call(&Request::Vouch { known_revision }).await {
        Ok(Reply::Vouch {
            revision,
            table_reached,
        }) if revision <= known_revision && !table_reached => Vote::For,
        Ok(Reply::Vouch { .. }) => Vote::Against,
        _ => Vote::Silent,
    }
}
