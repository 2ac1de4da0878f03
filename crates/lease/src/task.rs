//! Runs the state machine of the lease in a process.

use std::cell::RefCell;

use base::clock;
use tokio::sync::Notify;

use crate::{
    machine::{Lease, Step},
    table::{self, Candidate, Carried, Rows},
};

/// Runs `lease` until it is handed over. `changed` ends a pause early. `carried` gets what came of
/// each step on the table, and `follow` is called whenever the lease may have been won or lost.
pub async fn run<R: Rows>(
    lease: &RefCell<Lease>,
    changed: &Notify,
    rows: &R,
    who: &Candidate,
    mut carried: impl FnMut(Carried),
    mut follow: impl FnMut(),
) {
    let mut count = 0;
    loop {
        let step = lease.borrow_mut().step(clock::now());
        match step {
            Step::Ended => return follow(),
            Step::Wait { until } => {
                let span = until.since(clock::now()).to_duration();
                tokio::select! {
                    () = changed.notified() => {}
                    () = tokio::time::sleep(span) => {}
                }
            }
            step => {
                count += 1;
                let result = table::carry_out(rows, who, step, count).await;
                lease.borrow_mut().done(clock::now(), result.outcome);
                carried(result);
            }
        }
        follow();
    }
}
