//! Deletes the stored rows of jobs after their retention time.

use std::rc::Rc;

use base::clock::{self, Millis};
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

/// Deletes ended jobs until the leadership ends. It runs concurrently with the commits, so that no
/// decision waits for a deletion.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    while !leader.ended.get() {
        cx::sleep(INTERVAL).await;
        let ended_before = Millis(clock::wall().0.saturating_sub(cx.cfg.keep_ms.0));
        let ended = leader
            .scheduler
            .borrow_mut()
            .remove_ended(ended_before, MAX_JOBS);
        for (id, since) in ended {
            let age_ms = clock::wall().since(since).0;
            log::info!(job:% = id, since = since.0, age_ms, keep_ms = cx.cfg.keep_ms.0; "retention: job removed");
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
        if !leader.deleted_jobs.borrow().is_empty() {
            leader.dirty.notify_one();
        }
    }
}
