//! Crashes of workers while connections to other workers are lost.

mod fleet;

use batch::{job::Text, progress::Phase};
use fleet::{Fleet, starts, step};

/// Time after a start at which a deadly subtask crashes its worker.
const CRASH_DELAY: u64 = 10;
/// Time from a crash until the next worker answers at the address.
const RESTART_DELAY: u64 = 3_000;

/// Starts the job on a worker that crashes at once, while the connections to `cut_off` other workers
/// are reset. These answer again before the crash is proven, unless they have ended too.
fn crash_beside_resets(fleet: &mut Fleet, cut_off: usize, survive: bool) {
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    let ids = fleet.infos.iter().map(|i| i.id.clone());
    let others = ids.filter(|w| *w != order.worker).take(cut_off);
    let others: Vec<Text> = others.collect();
    for other in &others {
        fleet.report(other, &[], Vec::new());
    }
    let now = fleet.advance(CRASH_DELAY).now;
    fleet.lose(&order.worker, now);
    for other in &others {
        fleet.lose(other, now);
    }
    fleet.advance(500);
    for other in others.iter().filter(|_| survive) {
        fleet.scheduler.set_responding(other, true, fleet.now);
        fleet.report(other, &[], Vec::new());
    }
    fleet.advance(RESTART_DELAY).replace(&order.worker);
    fleet.advance(2_000);
}

/// Guards against a deadly subtask that crashes one worker after the other, because connections to
/// other workers were reset each time and the crashes counted as an outage.
#[test]
fn reset_connections_to_other_workers_explain_no_crash() {
    let mut fleet = Fleet::new(8);
    fleet.submit("deadly", 1, step(1, 1));
    for _ in 0..2 {
        crash_beside_resets(&mut fleet, 5, true);
    }
    assert_eq!(fleet.scheduler.phase("deadly"), Some(Phase::Failed));
}

/// Guards against a job that is given up although as many other workers ended with its own.
#[test]
fn workers_that_ended_too_explain_a_crash() {
    let mut fleet = Fleet::new(8);
    fleet.submit("job", 1, step(1, 1));
    for _ in 0..3 {
        crash_beside_resets(&mut fleet, 5, false);
    }
    fleet.plan();
    assert_eq!(fleet.crashes("job"), 0);
}
