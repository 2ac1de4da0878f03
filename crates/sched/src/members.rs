//! Membership of this process, and the membership rows of all processes, which the leader watches.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use member::rows::{MEMBER_PREFIX, MEMBERS_KEY, MemberList, MemberRow, RevisionRow};
use store::table::{Commit, Key, Row, StoreError, Txn};

use crate::{
    config::{self, Member},
    ctx::{self, Cx},
    leader::Leader,
    lease_task::to_json,
    restore,
};

/// Pause between two attempts to register.
const REGISTER_RETRY: Millis = Millis(100);

/// Registers this process and renews its membership row; never returns.
pub(crate) async fn run_membership(cx: Cx) {
    loop {
        if let Err(e) = cx.membership.renew(&cx.table, None).await {
            log::debug!("sched: renewal of the membership row failed: {e}");
        }
        read_revision(&cx).await;
        let pause = if cx.membership.is_registered() {
            cx.cfg.members.renew_ms
        } else {
            REGISTER_RETRY
        };
        ctx::sleep(pause).await;
    }
}

/// Reads the revision of the configuration, which a standby needs to answer quorum reads.
async fn read_revision(cx: &Cx) {
    let Ok(row) = cx.table.get("rev").await else {
        return;
    };
    cx.table_answered_at.set(clock::now());
    let rev = row.map_or(Ok(RevisionRow::default()), |r| {
        serde_json::from_str(&r.value)
    });
    match rev {
        Ok(rev) => cx.raise_revision(rev.revision),
        Err(e) => log::error!("config: the row `rev` is malformed: {e}"),
    }
}

/// Removes the membership row of this process at a planned stop.
pub(crate) async fn leave(cx: &Cx) {
    if let Err(e) = cx.membership.leave(&cx.table).await {
        log::debug!("sched: removal of the membership row failed: {e}");
    }
}

/// Version of a row and the time at which it was first seen.
#[derive(Clone, Copy, Debug)]
struct RowAge {
    version: u64,
    first_seen: Millis,
}

/// Membership rows as seen in the reads so far.
#[derive(Clone, Debug, Default)]
struct RowHistory {
    rows: SortedMap<Key, RowAge>,
    /// Time of the last successful read.
    last_read: Millis,
}

impl RowHistory {
    /// Records the time of a read. After a long gap it discards the ages of all rows: members can't
    /// renew their rows while the table is down, so an outage must not count as missed renewals.
    fn record_read(&mut self, now: Millis, remove_ms: Millis) {
        if now.since(self.last_read).0 > remove_ms.0 / 2 {
            self.rows = SortedMap::default();
        }
        self.last_read = now;
    }
}

/// Polls the member list, and removes members that don't renew their rows.
pub(crate) async fn run_leader(cx: &Cx, leader: &Rc<Leader>) {
    let mut history = RowHistory::default();
    while leader.is_alive() {
        if let Err(e) = read_rows(cx, leader, &mut history).await {
            log::warn!("sched: the membership rows are unavailable: {e}");
        }
        ctx::sleep(cx.cfg.members.list_ms).await;
    }
}

/// Reads the member list and updates the members that configuration changes wait for.
pub(crate) async fn read_list(cx: &Cx, leader: &Rc<Leader>) -> Result<VersionedList, StoreError> {
    let row = cx.table.get(MEMBERS_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let list = MemberList::read(row.as_ref())?;
    let others = list.members.iter().filter(|m| m.id != cx.id);
    let others = others
        .map(|m| Member {
            id: m.id,
            address: m.address,
        })
        .collect();
    leader.config.set_members(version, others);
    config::push_revision(cx, leader);
    Ok(VersionedList { version, list })
}

/// The member list with the version of its row.
pub(crate) struct VersionedList {
    version: u64,
    list: MemberList,
}

async fn read_rows(
    cx: &Cx,
    leader: &Rc<Leader>,
    history: &mut RowHistory,
) -> Result<(), StoreError> {
    let listed = read_list(cx, leader).await?;
    let rows = restore::scan(cx, MEMBER_PREFIX).await?;
    let now = clock::now();
    history.record_read(now, cx.cfg.members.remove_ms);
    let ages = &mut history.rows;
    ages.retain(|key, _| rows.iter().any(|r| r.key == *key));
    for row in rows {
        let known = ages.get(&row.key).filter(|s| s.version == row.version);
        let first_seen = known.map_or(now, |s| s.first_seen);
        ages.insert(
            row.key.clone(),
            RowAge {
                version: row.version,
                first_seen,
            },
        );
        if now.since(first_seen) < cx.cfg.members.remove_ms {
            continue;
        }
        match serde_json::from_str::<MemberRow>(&row.value) {
            // One removal per read, because it changes the list that the next one has to check.
            Ok(member) => return remove(cx, leader, listed, &row, member.id).await,
            Err(e) => log::error!("sched: the row {} is malformed: {e}", row.key),
        }
    }
    Ok(())
}

async fn remove(
    cx: &Cx,
    leader: &Leader,
    listed: VersionedList,
    row: &Row,
    member: u64,
) -> Result<(), StoreError> {
    let list = listed.list.without(&[member]);
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check(row.key.clone(), row.version)
        .check(MEMBERS_KEY, listed.version)
        .put(MEMBERS_KEY, to_json(&list))
        .delete(row.key.clone());
    match cx.table.commit(&txn).await? {
        Commit::Done { .. } => log::info!("sched: {} is removed", row.key),
        Commit::Conflict { .. } => log::debug!("sched: {} was renewed", row.key),
    }
    Ok(())
}
