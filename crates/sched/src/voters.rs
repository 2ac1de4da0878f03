//! Decides whether a leader without the table may renew task leases, and until when a former leader
//! may do so, without I/O.
//!
//! The leader stores the list of its voters. While its lease is not valid, it calls workers only as
//! long as a majority of them, itself included, has heard of no higher fencing token. The next
//! leader tells the stored voters its token until no such majority is left. From then on no round
//! of the former leader succeeds, so its right has ended [`RIGHT`] later.

use std::net;

use base::clock::Millis;
use serde::{Deserialize, Serialize};
use store::table::Row;

/// Time from the start of a successful round for which task leases may be renewed. All versions
/// must have the same value, because the next leader relies on that of the former one.
pub const RIGHT: Millis = Millis(3_000);
/// Longest time for which task leases are renewed without a valid lease. As with [`RIGHT`], all
/// versions must have the same value.
pub const MAX_OUTAGE: Millis = Millis::from_secs(3_600);
/// Time after a takeover at which a former leader has certainly stopped, with a hundredth added for
/// clocks that run at different rates.
pub const FORMER_LIMIT: Millis = Millis(MAX_OUTAGE.0 + MAX_OUTAGE.0 / 100);

/// A member that is asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Voter {
    /// Incarnation id of the process.
    pub id: u64,
    /// Address of its listener for messages from other processes.
    pub address: net::SocketAddr,
}

/// Content of `voters/{shard}`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct VotersRow {
    /// Incarnation id of the leader.
    pub holder: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// All voters, including the leader.
    pub voters: Vec<Voter>,
}

/// Voters of a leader, and its right to renew task leases without a valid lease.
///
/// ```
/// use base::clock::Millis;
/// use sched::voters::{Voter, Voters};
///
/// let voter = |id| Voter { id, address: "127.0.0.1:7100".parse().unwrap() };
/// let mut voters = Voters::new(0);
/// voters.begin_write(&[voter(1), voter(2), voter(3)]);
/// voters.finish_write(7);
/// assert!(!voters.record_round(Millis(5), &[1]));
/// assert!(voters.record_round(Millis(5), &[1, 3]));
/// assert!(voters.may_renew(Millis(6), Millis(0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Voters {
    /// Version of the row.
    version: u64,
    /// Voters according to the row; empty before the first write.
    stored: Vec<Voter>,
    /// Voters of a write whose outcome is not known.
    pending: Option<Vec<Voter>>,
    /// Start of the last successful round.
    granted_at: Option<Millis>,
}

impl Voters {
    /// Creates the state of a leader that has not stored its voters; `version` is that of the row
    /// of the leader before, 0 without one.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Returns the version of the row.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether the row is known to list exactly these voters.
    pub fn is_stored(&self, voters: &[Voter]) -> bool {
        self.pending.is_none() && self.stored == voters
    }

    /// Records that a write of these voters begins.
    pub fn begin_write(&mut self, voters: &[Voter]) {
        self.pending = Some(voters.to_vec());
    }

    /// Records that the write was applied with `version`.
    pub fn finish_write(&mut self, version: u64) {
        self.version = version;
        self.stored = self.pending.take().unwrap_or_default();
    }

    /// Gives up the right at a planned stop and returns the version of the row; `None` if there is
    /// no row, or a write is under way.
    pub fn withdraw(&mut self) -> Option<u64> {
        self.granted_at = None;
        let voters = std::mem::take(&mut self.stored);
        (self.pending.is_none() && !voters.is_empty()).then_some(self.version)
    }

    /// Returns the voters to ask.
    pub fn to_ask(&self) -> Vec<Voter> {
        let mut voters = self.stored.clone();
        voters.extend(self.pending.iter().flatten());
        voters.sort_by_key(|v| v.id);
        voters.dedup_by_key(|v| v.id);
        voters
    }

    /// Records the ids of those who have heard of no higher fencing token in a round that began at
    /// `started`, including the leader, and returns whether they suffice.
    ///
    /// While a write is under way, the next leader may find either list, so both need a majority.
    pub fn record_round(&mut self, started: Millis, agreed: &[u64]) -> bool {
        let lists = [Some(&self.stored), self.pending.as_ref()];
        let is_enough = lists.iter().flatten().all(|l| is_majority(l, agreed));
        if is_enough {
            self.granted_at = self.granted_at.max(Some(started));
        }
        is_enough
    }

    /// Returns whether task leases may be renewed at `now` although the leader's own lease is not
    /// valid since `lapsed`.
    pub fn may_renew(&self, now: Millis, lapsed: Millis) -> bool {
        let is_granted = self.granted_at.is_some_and(|at| now.since(at) < RIGHT);
        is_granted && now.since(lapsed) < MAX_OUTAGE
    }
}

fn is_majority(voters: &[Voter], agreed: &[u64]) -> bool {
    let count = voters.iter().filter(|v| agreed.contains(&v.id)).count();
    2 * count > voters.len()
}

/// The leader before, which may be cut off and renew task leases.
///
/// ```
/// use base::clock::Millis;
/// use sched::voters::Former;
///
/// let former = Former::read(None, Millis(5));
/// assert!(former.is_over(Millis(5)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Former {
    row: VotersRow,
    /// Voters that have heard of a later leader.
    agreed: Vec<u64>,
    /// Whether no majority can be left.
    is_superseded: bool,
    ends_at: Millis,
}

impl Former {
    /// Reads the row of the leader before at `now`, after the takeover. Without a row there was no
    /// leader with voters, or it has stopped as planned; one that can't be read leaves only the time
    /// limit.
    pub fn read(row: Option<&Row>, now: Millis) -> Self {
        let Some(row) = row else {
            return Self {
                is_superseded: true,
                ends_at: now + RIGHT,
                ..Self::default()
            };
        };
        let content = serde_json::from_str(&row.value).unwrap_or_else(|e| {
            log::error!(row:% = row.key, reason:% = e; "lease: the voters can't be read");
            VotersRow::default()
        });
        Self {
            row: content,
            ends_at: now + FORMER_LIMIT,
            ..Self::default()
        }
    }

    /// Returns the row of the leader before.
    pub fn row(&self) -> &VotersRow {
        &self.row
    }

    /// Returns the voters that have not heard of a later leader; none once no majority is left.
    pub fn to_ask(&self) -> Vec<Voter> {
        if self.is_superseded {
            return Vec::new();
        }
        let voters = self.row.voters.iter().copied();
        voters.filter(|v| !self.agreed.contains(&v.id)).collect()
    }

    /// Records the ids of members that have heard of this leadership by `now`.
    pub fn record_agreed(&mut self, now: Millis, ids: &[u64]) {
        self.agreed.extend(ids);
        if self.is_superseded || self.row.voters.is_empty() {
            return;
        }
        // A former leader that was told has ended, but the right of one before it may have lost its
        // majority just before that one stored its own voters.
        if self.agreed.contains(&self.row.holder) || self.is_majority_lost() {
            self.is_superseded = true;
            self.ends_at = self.ends_at.min(now + RIGHT);
        }
    }

    /// Returns whether those who have not heard of a later leader are no majority.
    fn is_majority_lost(&self) -> bool {
        let left = |v: &&Voter| !self.agreed.contains(&v.id);
        let left = self.row.voters.iter().filter(left).count();
        2 * left <= self.row.voters.len()
    }

    /// Returns whether the voters of this leadership may replace those of the leader before.
    pub fn is_over(&self, now: Millis) -> bool {
        self.is_superseded || now >= self.ends_at
    }

    /// Returns the time from which the leader before renews no task leases.
    pub fn ends_at(&self) -> Millis {
        self.ends_at
    }
}
