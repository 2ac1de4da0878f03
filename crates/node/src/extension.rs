//! Extends the leases of all workers before the leader's own lease lapses.
//!
//! A leader without a valid lease renews no worker's. The sequential renewals wait at the workers,
//! so that some leases are older than others by [`worker_session::HOLD_TIME`] when the store stops answering.
//! An outage and a takeover together may then last longer than what is left of them.

use std::{cell::RefCell, rc::Rc};

use base::clock::{self, Millis};
use batch::job::Text;
use ntex::rt;

use crate::{
    cx::{self, Cx},
    leader::Leader,
    worker_session::{self, RECENT_RENEWAL},
};

/// Number of workers that are called at the same time. Each call takes a few milliseconds.
const CONCURRENT_CALLS: usize = 48;
/// Minimum interval between two checks.
const MIN_CHECK_INTERVAL: Millis = Millis(20);

/// Extends the leases each time that the leader's lease is at risk, until the leadership ends.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    while !leader.ended.get() {
        let now = clock::now();
        let risk = cx.lease.borrow().at_risk_from(leader.held);
        let Some(at) = risk else {
            return;
        };
        let is_at_risk = now >= at && cx.acting().is_some();
        if is_at_risk {
            extend_all(&cx, &leader);
        }
        // A renewal of the leader's lease ends the risk for longer than this pause, so that the next
        // risk is not missed. Leases that were just renewed are left out.
        let wait = if is_at_risk {
            RECENT_RENEWAL
        } else {
            at.since(now)
        };
        cx::sleep(wait.max(MIN_CHECK_INTERVAL)).await;
    }
}

fn extend_all(cx: &Cx, leader: &Rc<Leader>) {
    let workers = leader.scheduler.borrow().workers_with_runs();
    log::info!(fence = leader.held.fence, workers = workers.len(); "leader: lease at risk, extending those of the workers");
    let queue = Rc::new(RefCell::new(workers));
    for _ in 0..CONCURRENT_CALLS {
        rt::spawn(extend_next(cx.clone(), leader.clone(), queue.clone())).detach();
    }
}

async fn extend_next(cx: Cx, leader: Rc<Leader>, queue: Rc<RefCell<Vec<Text>>>) {
    while let Some(worker) = next(&queue) {
        worker_session::extend_lease(&cx, &leader, &worker).await;
    }
}

fn next(queue: &RefCell<Vec<Text>>) -> Option<Text> {
    queue.borrow_mut().pop()
}
