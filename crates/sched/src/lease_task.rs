//! Carries out the steps of the lease on the table service.

use std::rc::Rc;

use base::clock::{self, Millis};
use store::table::{Commit, StoreError, Txn};

use crate::{
    ctx::Cx,
    leader::Leader,
    lease::{LeaseSeen, Outcome, Step},
    rows::{BeatRow, LeaseRow},
};

/// Runs the lease until it is handed over.
pub(crate) async fn run(cx: Cx) {
    let mut count = 0;
    loop {
        let step = cx.lease.borrow_mut().step(clock::now());
        match step {
            Step::Ended => return,
            Step::Wait { until } => pause(&cx, until.since(clock::now())).await,
            step => {
                count += 1;
                let outcome = carry_out(&cx, step, count).await;
                cx.lease.borrow_mut().done(clock::now(), outcome);
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

async fn carry_out(cx: &Cx, step: Step, count: u64) -> Outcome {
    let beat = to_json(&BeatRow {
        holder: cx.id,
        count,
    });
    match step {
        Step::Take {
            lease,
            beat: seen,
            fence,
        } => {
            let row = LeaseRow {
                holder: cx.id,
                fence,
                address: cx.addr,
            };
            let txn = Txn::default()
                .check(cx.lease_key(), lease)
                .check(cx.beat_key(), seen)
                .put(cx.lease_key(), to_json(&row))
                .put(cx.beat_key(), beat);
            commit(cx, &txn).await
        }
        Step::Renew { lease } => {
            let txn = Txn::default().check(cx.lease_key(), lease);
            commit(cx, &txn.put(cx.beat_key(), beat)).await
        }
        Step::Release { lease } => {
            let txn = Txn::default().check(cx.lease_key(), lease);
            commit(cx, &txn.delete(cx.beat_key())).await
        }
        Step::Look | Step::Wait { .. } | Step::Ended => look(cx).await,
    }
}

async fn commit(cx: &Cx, txn: &Txn) -> Outcome {
    let outcome = match cx.lease_table.commit(txn).await {
        Ok(Commit::Done { version }) => Outcome::Done { version },
        Ok(Commit::Conflict { keys }) => Outcome::Conflict {
            lease: keys.contains(&cx.lease_key()),
        },
        Err(StoreError::NotDone { reason }) => {
            log::debug!("lease: {reason}");
            return Outcome::NotDone;
        }
        Err(StoreError::Unknown { reason }) => {
            log::debug!("lease: {reason}");
            return Outcome::Unknown;
        }
    };
    cx.table_seen.set(clock::now());
    outcome
}

async fn look(cx: &Cx) -> Outcome {
    let (lease, beat) = (cx.lease_key(), cx.beat_key());
    let (lease, beat) = tokio::join!(cx.lease_table.get(&lease), cx.lease_table.get(&beat));
    let (Ok(lease), Ok(beat)) = (lease, beat) else {
        return Outcome::NotDone;
    };
    cx.table_seen.set(clock::now());
    let Some(row) = lease else {
        return Outcome::Rows {
            lease: None,
            beat: beat.map_or(0, |r| r.version),
        };
    };
    let value: LeaseRow = match serde_json::from_str(&row.value) {
        Ok(value) => value,
        Err(e) => {
            log::error!("lease: the row {} is not readable: {e}", row.key);
            return Outcome::NotDone;
        }
    };
    cx.holder.set(Some(value.address));
    Outcome::Rows {
        lease: Some(LeaseSeen {
            version: row.version,
            holder: value.holder,
            fence: value.fence,
        }),
        beat: beat.map_or(0, |r| r.version),
    }
}

/// Writes a row's content; the rows of this crate are plain data and always have a JSON form.
pub(crate) fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are plain data")
}
