//! Deletes the stored rows of jobs after their retention time.

use std::rc::Rc;

use base::clock::Millis;
use store::table::{Commit, Txn};

use crate::{
    cx::{self, Cx},
    leader::Leader,
    rows,
};

/// Interval between two rounds.
const INTERVAL: Millis = Millis(5_000);
/// Delay before the next round if a round left jobs over.
const FULL_ROUND_DELAY: Millis = Millis(200);
/// Maximum number of jobs in a round. Twelve commits delete the leader's rows of all of them.
const MAX_JOBS: usize = 500;
/// Latency of transactions above which nothing is removed, so that decisions do not wait for it.
const MAX_LATENCY: Millis = Millis(500);
/// Maximum number of jobs in a transaction, which has at most 100 entries.
const MAX_TXN_JOBS: usize = 45;
/// Maximum number of jobs in a round whose time of the end is stored later. One commit stores all of
/// them.
const MAX_UNKNOWN_ENDS: usize = 90;

/// Deletes ended jobs until the leadership ends. It runs concurrently with the commits, so that no
/// decision waits for a deletion.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    let mut has_more = false;
    while !leader.ended.get() {
        cx::sleep(if has_more { FULL_ROUND_DELAY } else { INTERVAL }).await;
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
        has_more = remove(&cx, &leader, now).await;
        if unknown > 0 || !leader.deleted_jobs.borrow().is_empty() {
            leader.dirty.notify_one();
        }
    }
}

/// Deletes the rows of the jobs whose retention time is over at the time `now` of the store's clock.
/// Returns whether there may be more of them.
async fn remove(cx: &Cx, leader: &Leader, now: Millis) -> bool {
    if cx.pace.read_back_after() >= MAX_LATENCY {
        return false;
    }
    let keep = cx.cfg.keep_ms;
    let mut expired = leader.scheduler.borrow().expired_jobs(now, keep, MAX_JOBS);
    let has_more = expired.len() == MAX_JOBS;
    // A transaction can't span the parts of the table of jobs.
    expired.sort_by_cached_key(|id| rows::job_table(id));
    let parts = expired.chunk_by(|a, b| rows::job_table(a) == rows::job_table(b));
    for jobs in parts.flat_map(|part| part.chunks(MAX_TXN_JOBS)) {
        if cx.acting().is_none() {
            return false;
        }
        // The rows of the jobs are deleted first: without a phase they would count as new jobs.
        let txn = jobs.iter().fold(Txn::default(), |txn, id| {
            txn.delete(rows::job_key(id)).delete(rows::cancel_key(id))
        });
        let version = match cx.table.commit(&txn).await {
            Ok(Commit::Done { version }) => version,
            Ok(Commit::Conflict { .. }) => return false,
            Err(e) => {
                log::info!(jobs = jobs.len(), reason:% = e; "retention: failed to delete jobs, trying again later");
                return false;
            }
        };
        for id in jobs {
            let ended_at = leader.scheduler.borrow_mut().remove_job(id);
            let age_ms = ended_at.map_or(0, |at| now.since(at).0);
            leader.removed_jobs.borrow_mut().insert(id.clone(), version);
            log::info!(job:% = id, age_ms, keep_ms = keep.0; "retention: job removed");
        }
        leader.deleted_jobs.borrow_mut().extend_from_slice(jobs);
    }
    has_more
}
