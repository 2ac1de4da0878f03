//! Repetition of stops.

mod fleet;

use batch::worker::{Action, Order, StartReply};
use fleet::{Fleet, starts, step, stops};

/// Time that a stop may take on some sites (`stop-timeout-ms`).
const STOP_TIME_MS: u64 = 900;

/// Guards against a leader that fills its link with stops: each report still lists the run.
#[test]
fn a_stop_that_was_answered_is_not_sent_again_while_it_may_take_effect() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let start = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    let taken = StartReply::Taken;
    fleet
        .scheduler
        .handle_start_reply(&start.task, 1, taken, now);
    fleet.advance(100).report("w00", &[&start], Vec::new());
    let (now, wall_now) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("1", now, wall_now));
    assert_eq!(stops(&fleet.plan()).len(), 1);
    let now = fleet.advance(10).now;
    fleet.scheduler.handle_stop_reply(&start.task, 1, now);
    for ms in (100..STOP_TIME_MS).step_by(100) {
        fleet.advance(100).report("w00", &[&start], Vec::new());
        let repeated = stops(&fleet.plan());
        assert!(repeated.is_empty(), "{ms} ms after the answer");
    }
    // It has had no effect in its time.
    fleet.advance(2_000).report("w00", &[&start], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1);
}

/// Guards against the same for a run that the leader doesn't know.
#[test]
fn a_stop_of_an_unexpected_run_is_not_sent_again_at_each_report() {
    let mut fleet = Fleet::new(1);
    fleet.plan();
    let unexpected = Order {
        worker: "w00".into(),
        task: fleet::subtask("ff.0.0.0"),
        attempt: 1,
        action: Action::Stop,
    };
    fleet.report("w00", &[&unexpected], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1);
    let now = fleet.advance(10).now;
    fleet.scheduler.handle_stop_reply(&unexpected.task, 1, now);
    for ms in (100..STOP_TIME_MS).step_by(100) {
        fleet.advance(100).report("w00", &[&unexpected], Vec::new());
        let repeated = stops(&fleet.plan());
        assert!(repeated.is_empty(), "{ms} ms after the answer");
    }
    fleet
        .advance(2_000)
        .report("w00", &[&unexpected], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1);
}
