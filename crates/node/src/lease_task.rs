//! Task that acquires, renews and releases the leader lease.

use std::rc::Rc;

use lease::{machine::Outcome, table::StepResult, task};
use ntex::rt;

use crate::{
    cx::Cx,
    leader::{self, Leader},
    peers,
};

/// Acquires and renews the lease until it is released on shutdown.
pub(crate) async fn run(cx: Cx) {
    let (lease, wake) = (&cx.lease, &cx.wake_lease_task);
    task::run(
        lease,
        wake,
        &cx.lease_table,
        &cx.candidate,
        |result| record_result(&cx, result),
        || update_leader(&cx),
    )
    .await;
}

fn record_result(cx: &Cx, result: StepResult) {
    match result.outcome {
        Outcome::Rows { .. } | Outcome::Done { .. } | Outcome::Conflict { .. } => {
            peers::record_answer(cx);
        }
        Outcome::NotDone | Outcome::Unknown => peers::record_loss(cx, "lease"),
    }
}

/// Starts or ends this process's leadership if the lease was won or lost since the last call.
fn update_leader(cx: &Cx) {
    let held = cx.lease.borrow().held();
    let leader_fence = cx.leader.borrow().as_ref().map(|l| l.held.fence);
    if leader_fence == held.map(|h| h.fence) {
        return;
    }
    if let Some(leader) = cx.leader.take() {
        leader.end("the lease was lost or released");
    }
    if let Some(held) = held {
        cx.metrics.count_takeover();
        let leader = Rc::new(Leader::new(held));
        cx.leader.replace(Some(leader.clone()));
        rt::spawn(leader::run(cx.clone(), leader)).detach();
    }
}
