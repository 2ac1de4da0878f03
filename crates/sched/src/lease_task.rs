//! Carries out the steps of the lease on the table service.

use std::rc::Rc;

use base::clock;
use lease::{
    table::{Candidate, StepResult},
    task,
};

use crate::{ctx::Cx, leader::Leader};

/// Runs the lease until it is handed over.
pub(crate) async fn run(cx: Cx) {
    let who = Candidate {
        id: cx.id,
        address: cx.addr,
        lease_key: cx.lease_key(),
        heartbeat_key: cx.beat_key(),
    };
    let carried = |carried: StepResult| {
        if carried.is_answered() {
            cx.table_seen.set(clock::now());
        }
        if carried.holder.is_some() {
            cx.holder.set(carried.holder);
        }
    };
    let (lease, changed) = (&cx.lease, &cx.lease_changed);
    task::run(lease, changed, &cx.lease_table, &who, carried, || {
        follow(&cx);
    })
    .await;
}

/// Starts or ends the leadership as the lease says.
fn follow(cx: &Cx) {
    let held = cx.lease.borrow().held();
    let fence = cx.leader.borrow().as_ref().map(|l| l.held.fence);
    if fence == held.map(|h| h.fence) {
        return;
    }
    if fence.is_some() {
        cx.end_leadership("the lease is lost or handed over");
    }
    if let Some(held) = held {
        log::info!("lease: holding with fencing number {}", held.fence);
        let leader = Rc::new(Leader::new(held));
        cx.leader.replace(Some(leader.clone()));
        leader.start(cx);
    }
}

/// Writes a row's content; the rows of this crate are plain data and always have a JSON form.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are plain data")
}
