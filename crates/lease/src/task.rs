//! Runs the state machine of the lease as an asynchronous task.

use std::cell::RefCell;

use base::clock::{self, Millis};
use tokio::sync::Notify;

use crate::{
    machine::{Lease, Step},
    table::{self, Candidate, LeaseTable, StepResult},
};

/// Runs `lease` until it is released. `wake` ends a wait early. `on_result` gets each
/// step on the table, its start and its result, and `on_change` is called whenever the lease may have been
/// won or lost.
pub async fn run<T: LeaseTable>(
    lease: &RefCell<Lease>,
    wake: &Notify,
    table: &T,
    candidate: &Candidate,
    mut on_result: impl FnMut(Step, Millis, StepResult),
    mut on_change: impl FnMut(),
) {
    let mut count = 0;
    loop {
        let step = lease.borrow_mut().next_step(clock::now());
        match step {
            Step::Ended => return on_change(),
            Step::Wait { until } => {
                let span = until.since(clock::now()).to_duration();
                tokio::select! {
                    () = wake.notified() => {}
                    () = tokio::time::sleep(span) => {}
                }
            }
            step => {
                count += 1;
                let started = clock::now();
                let result = table::execute(table, candidate, step, count).await;
                lease.borrow_mut().complete(clock::now(), result.outcome);
                on_result(step, started, result);
            }
        }
        on_change();
    }
}
