//! Task that acquires, renews and releases the leader lease.

use std::rc::Rc;

use base::clock::Millis;
use lease::{
    machine::{Outcome, Step},
    table::StepResult,
    task,
};
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
        |step, started, result| {
            record_result(&cx, step, started, result);
            spread_takeovers(&cx);
        },
        || update_leader(&cx),
    )
    .await;
}

/// Spreads the takeovers of all nodes so that few of them send a transaction in the time that one
/// takes, which is about twice as long as a read.
fn spread_takeovers(cx: &Cx) {
    let read = cx.pace.mean_read().unwrap_or_default();
    let nodes = cx.peers.count() as u64 + 1;
    cx.lease.borrow_mut().set_spread(Millis(read.0 * nodes));
}

/// Records whether the store answers. Only a failed read shows that it does not: a part of a slow
/// store refuses transactions while it has too many.
fn record_result(cx: &Cx, step: Step, started: Millis, result: StepResult) {
    match (step, result.outcome) {
        (_, Outcome::Rows { .. } | Outcome::Done { .. } | Outcome::Conflict { .. }) => {
            peers::record_answer(cx);
        }
        (Step::Read, Outcome::NotDone | Outcome::Unknown) => {
            peers::record_loss(cx, "lease", started);
        }
        _ => {}
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
