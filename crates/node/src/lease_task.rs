//! Runs the scheduler's lease.

use std::rc::Rc;

use lease::task;
use ntex::rt;

use crate::{
    cx::Cx,
    leader::{self, Leader},
};

/// Runs the lease until it is released.
pub(crate) async fn run(cx: Cx) {
    let (lease, changed) = (&cx.lease, &cx.lease_changed);
    task::run(
        lease,
        changed,
        &cx.lease_table,
        &cx.candidate,
        |_| {},
        || update_leader(&cx),
    )
    .await;
}

/// Starts or ends the leader when the lease was won or lost.
fn update_leader(cx: &Cx) {
    let held = cx.lease.borrow().held();
    let fence = cx.leader.borrow().as_ref().map(|l| l.held.fence);
    if fence == held.map(|h| h.fence) {
        return;
    }
    if let Some(leader) = cx.leader.take() {
        leader.end("the lease was lost or released");
    }
    if let Some(held) = held {
        cx.metrics.takeover();
        let leader = Rc::new(Leader::new(held));
        cx.leader.replace(Some(leader.clone()));
        rt::spawn(leader::run(cx.clone(), leader)).detach();
    }
}
