//! Keeps the stored number of pending jobs fresh.

use std::rc::Rc;

use base::clock::{self, Millis};
use store::table::Txn;

use crate::{
    cx::{self, Cx},
    intake,
    leader::Leader,
    rows::{self, PendingRow},
};

/// Age after which the number is stored again though it has not changed, half of its maximum age.
const REFRESH: Millis = Millis(1_000);
/// Interval at which the age is checked.
const CHECK_INTERVAL: Millis = Millis(250);

/// Returns the current counts with the time by the store's clock, or `None` while submissions may be
/// missing: the row then shows its age.
pub(crate) fn count(leader: &Leader) -> Option<PendingRow> {
    if intake::is_late(leader) {
        return None;
    }
    Some(leader.scheduler.borrow().queued_jobs_by_queue())
}

/// Adds the time of the counts.
pub(crate) fn dated(cx: &Cx, mut counts: PendingRow) -> PendingRow {
    if let Some(now) = cx.store_clock.now() {
        counts.insert(rows::PENDING_AT.into(), now.0);
    }
    counts
}

/// Stores the counts again whenever they get old, until the leadership ends. Nothing waits for it, so
/// that a transaction without an answer delays no commit.
pub(crate) async fn refresh(cx: Cx, leader: Rc<Leader>) {
    while !leader.ended.get() {
        cx::sleep(CHECK_INTERVAL).await;
        let age = clock::now().since(leader.counted_at.get());
        if age < REFRESH || cx.acting().is_none() {
            continue;
        }
        let Some(counts) = count(&leader) else {
            continue;
        };
        let row = rows::to_json(&dated(&cx, counts));
        if row.len() > cx.cfg.row_bytes {
            // The next commit stores as many of them as the row holds.
            continue;
        }
        let txn = Txn::default()
            .check(rows::LEASE, leader.held.version)
            .put(rows::PENDING, row);
        let began = clock::now();
        match cx.table.commit(&txn).await {
            Ok(_) => leader.counted_at.set(began),
            Err(e) => log::debug!(reason:% = e; "leader: failed to store the pending counts again"),
        }
    }
}
