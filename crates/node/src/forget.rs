//! Deletes what is stored of jobs that ended long ago.

use std::rc::Rc;

use base::clock::{self, Millis};
use store::table::Txn;

use crate::{
    cx::{self, Cx},
    leader::Leader,
    rows,
};

/// Time between two rounds.
const EVERY: Millis = Millis(5_000);
/// Most jobs in a round; the leader's rows of all go with one commit.
const MOST: usize = 10;

/// Forgets jobs until the leadership ends. It runs beside the commits, so that no decision waits
/// for a deletion.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    while !leader.ended.get() {
        cx::sleep(EVERY).await;
        let before = Millis(clock::wall().0.saturating_sub(cx.cfg.keep_ms.0));
        let ids = leader.book.borrow_mut().remove_ended(before, MOST);
        for id in ids {
            // The row of the job goes first: without a phase it would count as a new job.
            let txn = Txn::default()
                .delete(rows::job(&id))
                .delete(rows::cancel(&id));
            match cx.table.commit(&txn).await {
                Ok(_) => leader.forgotten.borrow_mut().push(id),
                // The next leader finds the job and forgets it.
                Err(e) => log::info!(job:% = id, reason:% = e; "forget: the job stays stored"),
            }
        }
        if !leader.forgotten.borrow().is_empty() {
            leader.dirty.notify_one();
        }
    }
}
