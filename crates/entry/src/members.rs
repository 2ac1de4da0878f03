//! Membership: the row of this entry, the list of all members, and quorum reads.

use std::{
    cell::{Cell, RefCell},
    net,
};

use base::clock::Millis;
use futures_util::future;
use member::{
    membership::Membership,
    rows::{MEMBERS_KEY, MemberList, MemberRole, MemberRow},
};
use store::{client::Table, table::StoreError};
use wire::{
    client::Client,
    message::{Reply, Request},
};

use crate::state::Entry;

/// Timeout for a member's answer.
const QUORUM_READ_TIMEOUT: Millis = Millis(500);

/// The membership of this entry, and all members as last read from the table service.
#[derive(Debug)]
pub struct Members {
    /// Registration and renewal of this entry.
    pub own: Membership,
    last_read: RefCell<Vec<MemberRow>>,
    /// Whether `last_read` has all members: the list was read, and its row was not malformed since.
    is_known: Cell<bool>,
}

impl Members {
    /// Creates a list with this entry, which serves other members on `address`, as the only member.
    pub fn new(id: u64, address: net::SocketAddr) -> Self {
        let own = Membership::new(id, address, MemberRole::Entry);
        let last_read = RefCell::new(vec![own.row()]);
        Self {
            own,
            last_read,
            is_known: Cell::new(false),
        }
    }

    /// Returns the ids of all entries.
    pub fn entries(&self) -> Vec<u64> {
        let last_read = self.last_read.borrow();
        let entries = last_read.iter().filter(|m| m.role == MemberRole::Entry);
        entries.map(|m| m.id).collect()
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.last_read.borrow().len()
    }

    /// Reads the list of all members from the table service.
    pub async fn read(&self, table: &Table) -> Result<(), StoreError> {
        let row = table.get(MEMBERS_KEY).await?;
        let read = MemberList::read(row.as_ref());
        self.is_known.set(read.is_ok());
        let mut list = read?.without(&[self.own.id()]);
        list.members.push(self.own.row());
        *self.last_read.borrow_mut() = list.members;
        Ok(())
    }

    /// Confirms the configuration as of `start` if a majority of the last known members, including
    /// this one, has no higher revision and does not reach the table service either.
    ///
    /// A majority has acknowledged every accepted revision, so any majority contains a member that
    /// knows the newest one. Without the list of members there is no majority. If any member reaches
    /// the table service, the configuration is not confirmed, and this entry waits for its own read
    /// instead.
    pub async fn quorum_read(&self, cx: &Entry, start: Millis) {
        let known_revision = cx.config.revision();
        if known_revision == 0 || !self.is_known.get() {
            return;
        }
        let others: Vec<MemberRow> = {
            let last_read = self.last_read.borrow();
            let others = last_read.iter().filter(|m| m.id != self.own.id());
            others.cloned().collect()
        };
        let votes = future::join_all(others.iter().map(|m| request_vote(m, known_revision))).await;
        let agreed = votes.iter().filter(|v| **v == Vote::For).count() + 1;
        let is_opposed = votes.contains(&Vote::Against);
        if !is_opposed && 2 * agreed > others.len() + 1 {
            cx.config.confirm(start);
        }
    }
}

/// A member's answer to a quorum read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Vote {
    /// The member has no higher revision and does not reach the table service.
    For,
    /// The member has a higher revision or reaches the table service.
    Against,
    /// The member did not answer with a vote.
    Abstained,
}

async fn request_vote(member: &MemberRow, known_revision: u64) -> Vote {
    let client = Client::new(member.address).with_timeout(QUORUM_READ_TIMEOUT);
    let req = Request::QuorumRead {
        member: member.id,
        known_revision,
    };
    match client.call(&req).await {
        Ok(Reply::QuorumRead {
            revision,
            table_reached,
        }) if revision <= known_revision && !table_reached => Vote::For,
        Ok(Reply::QuorumRead { .. }) => Vote::Against,
        _ => Vote::Abstained,
    }
}
