//! Runs the lease of the scheduler.

use std::rc::Rc;

use base::clock::{self, Millis};
use lease::{machine::Step, table};
use ntex::rt;

use crate::{
    cx::Cx,
    leader::{self, Leader},
};

/// Runs the lease until it is handed over.
pub(crate) async fn run(cx: Cx) {
    let mut count = 0;
    loop {
        let step = cx.lease.borrow_mut().step(clock::now());
        match step {
            Step::Ended => {
                follow(&cx);
                return;
            }
            Step::Wait { until } => pause(&cx, until.since(clock::now())).await,
            step => {
                count += 1;
                let carried = table::carry_out(&cx.lease_table, &cx.who, step, count).await;
                cx.lease.borrow_mut().done(clock::now(), carried.outcome);
            }
        }
        follow(&cx);
    }
}

async fn pause(cx: &Cx, span: Millis) {
    tokio::select! {
        () = cx.lease_changed.notified() => {}
        () = tokio::time::sleep(span.to_duration()) => {}
    }
}

/// Begins or ends the leadership as the lease says.
fn follow(cx: &Cx) {
    let held = cx.lease.borrow().held();
    let fence = cx.leader.borrow().as_ref().map(|l| l.held.fence);
    if fence == held.map(|h| h.fence) {
        return;
    }
    if let Some(leader) = cx.leader.take() {
        leader.end("the lease is lost or handed over");
    }
    if let Some(held) = held {
        cx.metrics.takeover();
        let leader = Rc::new(Leader::new(held));
        cx.leader.replace(Some(leader.clone()));
        rt::spawn(leader::run(cx.clone(), leader)).detach();
    }
}
