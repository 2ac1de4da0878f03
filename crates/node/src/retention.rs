//! Deletes the stored rows of jobs after their retention time.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::job::Text;
use store::table::{Commit, Key, Txn};

use crate::{
    cx::{self, Cx},
    leader::{Leader, RemovedJob},
    rows,
};

/// Interval between two rounds.
const INTERVAL: Millis = Millis(5_000);
/// Delay before the next round if a round left jobs over.
const FULL_ROUND_DELAY: Millis = Millis(200);
/// Maximum number of jobs in a round. Twelve commits delete the leader's rows of all of them.
const MAX_JOBS: usize = 500;
/// Latency of transactions above which nothing is removed and rounds do not follow at once, so that
/// decisions do not wait for them.
const MAX_LATENCY: Millis = Millis(500);
/// Maximum number of jobs in a transaction, which has at most 100 entries: one check and two writes
/// for each job.
const MAX_TXN_JOBS: usize = 33;
/// Maximum number of jobs in a round whose time of the end is stored later. One commit stores all of
/// them.
const MAX_UNKNOWN_ENDS: usize = 90;

/// Deletes ended jobs until the leadership ends. It runs concurrently with the commits, so that no
/// decision waits for a deletion.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    // The first round stores the times of ends that the version before has left without one, because
    // it removes such jobs too early if it leads again.
    let mut has_more = true;
    while !leader.ended.get() {
        cx::sleep(if has_more { FULL_ROUND_DELAY } else { INTERVAL }).await;
        let Some(now) = cx.store_clock.now() else {
            log::warn!("retention: no answer of the store tells the time, nothing is removed");
            continue;
        };
        let marked = leader
            .scheduler
            .borrow_mut()
            .mark_unknown_ends(now, MAX_UNKNOWN_ENDS);
        let jobs = marked
            .iter()
            .filter(|id| is_end_stored(&leader, id))
            .count();
        if jobs > 0 {
            log::info!(jobs; "retention: the time of an end is not known and counts from now");
        }
        has_more = marked.len() == MAX_UNKNOWN_ENDS && is_store_fast(&cx);
        if clock::now().since(leader.started_at) >= INTERVAL {
            has_more |= remove(&cx, &leader, now).await;
            remove_cancellations(&cx, &leader, now).await;
        }
        if !marked.is_empty() || !leader.deleted_jobs.borrow().is_empty() {
            leader.dirty.notify_one();
        }
    }
}

fn is_store_fast(cx: &Cx) -> bool {
    cx.pace.read_back_after() < MAX_LATENCY
}

fn is_end_stored(leader: &Leader, id: &str) -> bool {
    let phases = leader.stored_phases.borrow();
    phases.get(id).is_some_and(|p| p.is_final())
}

/// Deletes the rows of the jobs whose retention time is over at the time `now` of the store's clock.
/// Returns whether there may be more of them.
async fn remove(cx: &Cx, leader: &Leader, now: Millis) -> bool {
    if !is_store_fast(cx) {
        return false;
    }
    let keep = cx.cfg.keep_ms;
    let mut expired = leader.scheduler.borrow().expired_jobs(now, keep, MAX_JOBS);
    let mut has_more = expired.len() == MAX_JOBS;
    // A transaction can't span the parts of the table of jobs.
    expired.sort_by_cached_key(|id| rows::job_table(id));
    let parts = expired.chunk_by(|a, b| rows::job_table(a) == rows::job_table(b));
    for jobs in parts.flat_map(|part| part.chunks(MAX_TXN_JOBS)) {
        if cx.acting().is_none() {
            return false;
        }
        // The rows of the jobs are deleted first: without a phase they would count as new jobs.
        let (removed, version) = match cx.table.commit(&deletion(leader, jobs)).await {
            Ok(Commit::Done { version }) => (jobs.to_vec(), version),
            Ok(Commit::Conflict { keys }) => {
                // An earlier attempt was applied. The other jobs are deleted in the next round.
                let is_gone = |id: &&Text| keys.contains(&rows::job_key(id));
                let gone: Vec<Text> = jobs.iter().filter(is_gone).cloned().collect();
                let Some(version) = current_version(cx, &jobs[0]).await else {
                    return false;
                };
                has_more = true;
                (gone, version)
            }
            Err(e) => {
                log::info!(jobs = jobs.len(), reason:% = e; "retention: failed to delete jobs, trying again later");
                return false;
            }
        };
        for id in &removed {
            let phase = leader.scheduler.borrow().phase(id);
            let ended_at = leader.scheduler.borrow_mut().remove_job(id);
            let age_ms = ended_at.map_or(0, |at| now.since(at).0);
            let row = leader.job_versions.borrow_mut().remove(id);
            let removed = RemovedJob {
                row: row.unwrap_or(version),
                deleted: version,
            };
            leader.removed_jobs.borrow_mut().insert(id.clone(), removed);
            log::info!(
                job:% = id, phase = phase.map(|p| p.to_string()), age_ms, keep_ms = keep.0,
                version = removed.row, removed_version = removed.deleted, fence = leader.held.fence;
                "retention: job removed"
            );
        }
        leader.deleted_jobs.borrow_mut().extend(removed);
    }
    has_more
}

/// Deletes the cancellations of ids whose jobs were never known, once no submission from before can be
/// under way any more. What is left over is deleted in later rounds.
async fn remove_cancellations(cx: &Cx, leader: &Leader, now: Millis) {
    if !is_store_fast(cx) {
        return;
    }
    let keep = cx.cfg.keep_ms;
    let mut expired = leader.cancellations.borrow().expired(now, keep, MAX_JOBS);
    expired.sort_by_cached_key(|(id, _)| rows::job_table(id));
    let parts = expired.chunk_by(|(a, _), (b, _)| rows::job_table(a) == rows::job_table(b));
    for part in parts.flat_map(|part| part.chunks(MAX_TXN_JOBS)) {
        if cx.acting().is_none() {
            return;
        }
        let txn = part.iter().fold(Txn::default(), |txn, (id, version)| {
            txn.check(rows::job_key(id), 0)
                .check(rows::cancel_key(id), *version)
                .delete(rows::cancel_key(id))
        });
        let changed = match cx.table.commit(&txn).await {
            Ok(Commit::Done { .. }) => None,
            // The id was cancelled again, a job has it now, or an earlier attempt was applied. What is
            // still stored is deleted with the job, or known again with the next change or leader.
            Ok(Commit::Conflict { keys }) => Some(keys),
            Err(e) => {
                log::info!(reason:% = e; "retention: failed to delete cancellations, trying again later");
                return;
            }
        };
        let is_changed = |keys: &Vec<Key>, id: &Text| {
            keys.contains(&rows::cancel_key(id)) || keys.contains(&rows::job_key(id))
        };
        let is_gone = |id: &Text| changed.as_ref().is_none_or(|keys| is_changed(keys, id));
        let mut cancellations = leader.cancellations.borrow_mut();
        for (id, version) in part.iter().filter(|(id, _)| is_gone(id)) {
            cancellations.forget(id, *version);
        }
        log::info!(ids = part.len(), complete = changed.is_none(); "retention: cancellations of unknown jobs removed");
    }
}

/// Returns a transaction that deletes the rows of jobs. An attempt without an answer may be applied
/// later, and callers may use the ids again once a row is deleted, so it checks the versions.
fn deletion(leader: &Leader, jobs: &[Text]) -> Txn {
    let versions = leader.job_versions.borrow();
    jobs.iter().fold(Txn::default(), |txn, id| {
        let version = versions.get(id).copied().unwrap_or_default();
        txn.check(rows::job_key(id), version)
            .delete(rows::job_key(id))
            .delete(rows::cancel_key(id))
    })
}

/// Returns the newest version of the store, which is that of the deletion of the row or later.
async fn current_version(cx: &Cx, id: &str) -> Option<u64> {
    let (from, to) = (format!("{id}."), format!("{id}/"));
    let page = cx.table.read(&rows::job_table(id), &from, &to).await;
    page.ok().map(|p| p.version)
}
