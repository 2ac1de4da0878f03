//! Membership rows: the own one, and those of all processes as the leader sees them.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use store::table::{Key, Row, Txn};

use crate::{
    config::{self, Member},
    ctx::{self, Cx},
    leader::Leader,
    lease_task::to_json,
    restore,
    rows::{self, MemberRole, MemberRow, RevRow},
};

/// Renews the own row; it never returns.
pub(crate) async fn run_own(cx: Cx) {
    let mut renewed = 0;
    loop {
        renewed += 1;
        let row = MemberRow {
            id: cx.id,
            address: cx.addr,
            role: MemberRole::Scheduler,
            renewed,
        };
        let txn = Txn::default().put(rows::member_key(cx.id), to_json(&row));
        if let Err(e) = cx.table.commit(&txn).await {
            log::debug!("sched: the membership row is not renewed: {e}");
        }
        learn_revision(&cx).await;
        ctx::sleep(cx.cfg.members.renew_ms).await;
    }
}

/// Reads the revision, which a standby needs in order to vouch for it.
async fn learn_revision(cx: &Cx) {
    let Ok(row) = cx.table.get("rev").await else {
        return;
    };
    cx.table_seen.set(clock::now());
    let rev = row.map_or(Ok(RevRow::default()), |r| serde_json::from_str(&r.value));
    match rev {
        Ok(rev) => cx.note_revision(rev.revision),
        Err(e) => log::error!("config: the row rev is not readable: {e}"),
    }
}

/// Removes the own row at a planned stop.
pub(crate) async fn remove_own(cx: &Cx) {
    let txn = Txn::default().delete(rows::member_key(cx.id));
    if let Err(e) = cx.table.commit(&txn).await {
        log::debug!("sched: the membership row is not removed: {e}");
    }
}

/// A row with the time at which its version was first seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Millis,
}

/// Reads all rows and removes those that are not renewed.
pub(crate) async fn run_leader(cx: &Cx, leader: &Rc<Leader>) {
    let mut seen: SortedMap<Key, Seen> = SortedMap::default();
    while leader.is_alive() {
        match restore::scan(cx, "member/").await {
            Ok(rows) => take(cx, leader, &mut seen, &rows).await,
            Err(e) => log::debug!("sched: the membership rows are not available: {e}"),
        }
        ctx::sleep(cx.cfg.members.list_ms).await;
    }
}

async fn take(cx: &Cx, leader: &Rc<Leader>, seen: &mut SortedMap<Key, Seen>, rows: &[Row]) {
    let now = clock::now();
    seen.retain(|key, _| rows.iter().any(|r| r.key == *key));
    let mut members = Vec::new();
    for row in rows {
        let known = seen.get(&row.key).filter(|s| s.version == row.version);
        let since = known.map_or(now, |s| s.since);
        let version = row.version;
        seen.insert(row.key.clone(), Seen { version, since });
        if now.since(since) >= cx.cfg.members.remove_ms {
            remove(cx, leader, row).await;
        } else {
            members.extend(member(row).filter(|m| m.id != cx.id));
        }
    }
    leader.config.set_members(members);
    config::push_missing(cx, leader);
}

fn member(row: &Row) -> Option<Member> {
    let member: MemberRow = serde_json::from_str(&row.value).ok()?;
    Some(Member {
        id: member.id,
        address: member.address,
    })
}

async fn remove(cx: &Cx, leader: &Leader, row: &Row) {
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check(row.key.clone(), row.version)
        .delete(row.key.clone());
    match cx.table.commit(&txn).await {
        Ok(_) => log::info!("sched: {} is removed or was renewed", row.key),
        Err(e) => log::debug!("sched: {} is not removed: {e}", row.key),
    }
}
