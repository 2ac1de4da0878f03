//! Members of the system: the row of this entry, the other members, and reads from a quorum of them.

use std::{cell::RefCell, net};

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

/// Longest wait for a member's answer.
const QUORUM_READ_TIMEOUT: Millis = Millis(500);

/// The membership of this entry, and all members as last read from the table.
#[derive(Debug)]
pub struct Members {
    /// Registration and renewal of this entry.
    pub own: Membership,
    last: RefCell<Vec<MemberRow>>,
}

impl Members {
    /// Starts with this entry, which serves members on `address`, as the only member.
    pub fn new(id: u64, address: net::SocketAddr) -> Self {
        let own = Membership::new(id, address, MemberRole::Entry);
        let last = RefCell::new(vec![own.row()]);
        Self { own, last }
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

    /// Reads the list of all members.
    pub async fn read(&self, table: &Table) -> Result<(), StoreError> {
        let row = table.get(MEMBERS_KEY).await?;
        let mut list = MemberList::read(row.as_ref()).without(&[self.own.id()]);
        list.members.push(self.own.row());
        *self.last.borrow_mut() = list.members;
        Ok(())
    }

    /// Confirms the configuration as of `start` if a majority of the last known members, this one
    /// included, has no higher revision and does not reach the table service either.
    ///
    /// An accepted revision is known to a majority, so any majority contains a member that knows
    /// the newest one. A member that reaches the table service makes this entry wait for its own
    /// read instead.
    pub async fn quorum_read(&self, cx: &Entry, start: Millis) {
        let known_revision = cx.config.revision();
        if known_revision == 0 {
            return;
        }
        let others: Vec<MemberRow> = {
            let last = self.last.borrow();
            let others = last.iter().filter(|m| m.id != self.own.id());
            others.cloned().collect()
        };
        let answers = future::join_all(others.iter().map(|m| ask(m, known_revision))).await;
        let agreeing = answers.iter().filter(|a| **a == Vote::For).count() + 1;
        let is_opposed = answers.contains(&Vote::Against);
        if !is_opposed && 2 * agreeing > others.len() + 1 {
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

async fn ask(member: &MemberRow, known_revision: u64) -> Vote {
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
        _ => Vote::Silent,
    }
}
