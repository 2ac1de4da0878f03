//! Deletes the stored rows of jobs after their retention time.

use std::rc::Rc;

use base::clock::Millis;
use store::table::Txn;

use crate::{
    cx::{self, Cx},
    leader::Leader,
    rows,
};

/// Interval between two rounds.
const INTERVAL: Millis = Millis(5_000);
/// Maximum number of jobs in a round. One commit deletes the leader's rows of all of them.
const MAX_JOBS: usize = 10;
/// Maximum number of jobs in a round whose time of the end is stored later. One commit stores all of
/// them.
const MAX_UNKNOWN_ENDS: usize = 90;

/// Deletes ended jobs until the leadership ends. It runs concurrently with the commits, so that no
/// decision waits for a deletion.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    while !leader.ended.get() {
        cx::sleep(INTERVAL).await;
        let Some(now) = cx.store_clock.now() else {
            log::warn!("retention: no answer of the store tells the time, nothing is removed");
            continue;
        };
        let unknown = leader
            .scheduler
            .borrow_mut()
            .mark_unknown_ends(now, MAX_UNKNOWN_ENDS);
        if unknown > 0 {
            log::info!(jobs = unknown; "retention: the time of an end is not known and counts from now");
        }
        remove(&cx, &leader, now).await;
        if unknown > 0 || !leader.deleted_jobs.borrow().is_empty() {
            leader.dirty.notify_one();
        }
    }
}

/// Deletes the rows of the jobs whose retention time is over at the time `now` of the store's clock.
async fn remove(cx: &Cx, leader: &Leader, now: Millis) {
    let keep = cx.cfg.keep_ms;
    let ended = leader
        .scheduler
        .borrow_mut()
        .remove_ended(now, keep, MAX_JOBS);
    for (id, ended_at) in ended {
        let age_ms = now.since(ended_at).0;
        log::info!(job:% = id, ended_at = ended_at.0, age_ms, keep_ms = keep.0; "retention: job removed");
        // The row of the job is deleted first: without a phase it would count as a new job.
        let txn = Txn::default()
            .delete(rows::job_key(&id))
            .delete(rows::cancel_key(&id));
        match cx.table.commit(&txn).await {
            Ok(_) => leader.deleted_jobs.borrow_mut().push(id),
            // The next leader finds the job and deletes it.
            Err(e) => log::info!(job:% = id, reason:% = e; "retention: failed to delete a job"),
        }
    }
}
