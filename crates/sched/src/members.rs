//! Membership rows: the own one, and those of all processes as the leader sees them.

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

/// Pause between two tries to register.
const REGISTER_PAUSE: Millis = Millis(100);

/// Renews the own row; it never returns.
pub(crate) async fn run_own(cx: Cx) {
    loop {
        if let Err(e) = cx.own.renew(&cx.table, None).await {
            log::debug!("sched: the membership row is not renewed: {e}");
        }
        learn_revision(&cx).await;
        let pause = if cx.own.is_registered() {
            cx.cfg.members.renew_ms
        } else {
            REGISTER_PAUSE
        };
        ctx::sleep(pause).await;
    }
}

/// Reads the revision, which a standby needs in order to answer quorum reads.
async fn learn_revision(cx: &Cx) {
    let Ok(row) = cx.table.get("rev").await else {
        return;
    };
    cx.table_seen.set(clock::now());
    let rev = row.map_or(Ok(RevisionRow::default()), |r| {
        serde_json::from_str(&r.value)
    });
    match rev {
        Ok(rev) => cx.note_revision(rev.revision),
        Err(e) => log::error!("config: the row rev is not readable: {e}"),
    }
}

/// Removes the own row at a planned stop.
pub(crate) async fn remove_own(cx: &Cx) {
    if let Err(e) = cx.own.leave(&cx.table).await {
        log::debug!("sched: the membership row is not removed: {e}");
    }
}

/// A row with the time at which its version was first seen.
#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Millis,
}

/// What the leader has seen of the membership rows.
#[derive(Clone, Debug, Default)]
struct Sight {
    seen: SortedMap<Key, Seen>,
    /// Time of the last successful look.
    looked: Millis,
}

impl Sight {
    /// Forgets everything after a time without sight: nobody can renew while the table is down,
    /// so that time does not count.
    fn look(&mut self, now: Millis, remove_ms: Millis) {
        if now.since(self.looked).0 > remove_ms.0 / 2 {
            self.seen = SortedMap::default();
        }
        self.looked = now;
    }
}

/// Reads the list of members, and removes those whose rows are not renewed.
pub(crate) async fn run_leader(cx: &Cx, leader: &Rc<Leader>) {
    let mut sight = Sight::default();
    while leader.is_alive() {
        if let Err(e) = look(cx, leader, &mut sight).await {
            log::debug!("sched: the membership rows are not available: {e}");
        }
        ctx::sleep(cx.cfg.members.list_ms).await;
    }
}

/// Reads the list of all members.
pub(crate) async fn read_list(cx: &Cx, leader: &Rc<Leader>) -> Result<Listed, StoreError> {
    let row = cx.table.get(MEMBERS_KEY).await?;
    let version = row.as_ref().map_or(0, |row| row.version);
    let list = MemberList::read(row.as_ref());
    let others = list.members.iter().filter(|m| m.id != cx.id);
    let others = others
        .map(|m| Member {
            id: m.id,
            address: m.address,
        })
        .collect();
    leader.config.set_members(version, others);
    config::push_missing(cx, leader);
    Ok(Listed { version, list })
}

/// The list of members with the version of its row.
pub(crate) struct Listed {
    version: u64,
    list: MemberList,
}

async fn look(cx: &Cx, leader: &Rc<Leader>, sight: &mut Sight) -> Result<(), StoreError> {
    let listed = read_list(cx, leader).await?;
    let rows = restore::scan(cx, MEMBER_PREFIX).await?;
    let now = clock::now();
    sight.look(now, cx.cfg.members.remove_ms);
    let seen = &mut sight.seen;
    seen.retain(|key, _| rows.iter().any(|r| r.key == *key));
    for row in rows {
        let known = seen.get(&row.key).filter(|s| s.version == row.version);
        let since = known.map_or(now, |s| s.since);
        seen.insert(
            row.key.clone(),
            Seen {
                version: row.version,
                since,
            },
        );
        if now.since(since) >= cx.cfg.members.remove_ms {
            // One removal at a time: it changes the list that the next one has to check.
            return remove(cx, leader, listed, &row).await;
        }
    }
    Ok(())
}

async fn remove(cx: &Cx, leader: &Leader, listed: Listed, row: &Row) -> Result<(), StoreError> {
    let Ok(member) = serde_json::from_str::<MemberRow>(&row.value) else {
        log::error!("sched: the row {} is not readable", row.key);
        return Ok(());
    };
    let list = listed.list.without(&[member.id]);
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
