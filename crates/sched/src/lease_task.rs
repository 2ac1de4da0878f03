//! Task that competes for the lease and starts and ends leaderships.

use std::rc::Rc;

use base::clock;
use lease::{
    table::{Candidate, StepResult},
    task,
};

use crate::{ctx::Cx, leader::Leader};

/// Competes for the lease and renews it until it is released.
pub(crate) async fn run(cx: Cx) {
    let candidate = Candidate {
        id: cx.id,
        address: cx.addr,
        lease_key: cx.lease_key(),
        heartbeat_key: cx.heartbeat_key(),
    };
    let on_result = |_, _, result: StepResult| {
        if result.is_answered() {
            cx.table_answered_at.set(clock::now());
        }
        if result.holder.is_some() {
            cx.holder.set(result.holder);
        }
    };
    let (lease, changed) = (&cx.lease, &cx.lease_changed);
    task::run(
        lease,
        changed,
        &cx.lease_table,
        &candidate,
        on_result,
        || {
            update_leadership(&cx);
        },
    )
    .await;
}

/// Starts or ends the leadership after a change of the lease.
fn update_leadership(cx: &Cx) {
    let held = cx.lease.borrow().held();
    let fence = cx.leader.borrow().as_ref().map(|l| l.held.fence);
    if fence == held.map(|h| h.fence) {
        return;
    }
    if fence.is_some() {
        cx.end_leadership("the lease was lost or released");
    }
    if let Some(held) = held {
        log::info!("lease: holding with fencing token {}", held.fence);
        let leader = Rc::new(Leader::new(held));
        cx.leader.replace(Some(leader.clone()));
        leader.start(cx);
    }
}

/// Serialises the value of a row; the row types of this crate can't fail to serialise.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows serialise to JSON")
}
