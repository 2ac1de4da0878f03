//! How often a stop is ordered while reports list its run.

mod fleet;

use base::clock::Millis;
use batch::worker::{Action, Order, StartReply};
use fleet::{Fleet, starts, step, stops};

/// Maximum time that a stop takes at a worker.
const STOP_TIME: Millis = Millis(900);

/// What a worker does with the first stop.
#[derive(Clone, Copy, Debug)]
enum Answer {
    None,
    At(u64),
    /// The call ends without an answer.
    Fails(u64),
}

/// Returns the times of the stop orders, in milliseconds after the cancellation, for a run that each
/// of the reports within 3 s lists.
fn stop_times(answer: Answer) -> Vec<u64> {
    let mut fleet = Fleet::new(1);
    fleet.scheduler.set_stop_time(STOP_TIME);
    fleet.submit("1", 1, step(1, 8));
    let started: Order = starts(&fleet.plan()).remove(0);
    fleet.take(&started);
    let (now, wall_now) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("1", now, wall_now));
    let mut times = Vec::new();
    for ms in (0..3_000).step_by(50) {
        times.extend(stops(&fleet.plan()).iter().map(|_| ms));
        let (task, now) = (&started.task, fleet.now);
        match answer {
            Answer::At(at) if at == ms => {
                fleet.scheduler.handle_stop_reply(task, 1, now);
            }
            Answer::Fails(at) if at == ms => {
                fleet.scheduler.handle_unanswered_stop(task, 1, now);
            }
            _ => {}
        }
        fleet.advance(50).report("w00", &[&started], Vec::new());
    }
    times
}

/// Guards against stops that fill the leader's link while many runs are being stopped.
#[test]
fn a_stop_is_not_repeated_while_it_may_be_answered_or_take_effect() {
    assert_eq!(stop_times(Answer::None), [0]);
    for at in [0, 500, 1_500] {
        let repeated = stop_times(Answer::At(at));
        assert_eq!(repeated[0], 0, "{repeated:?}");
        let is_early = |t: &&u64| **t > 0 && **t < at + STOP_TIME.0;
        assert_eq!(
            repeated.iter().find(is_early),
            None,
            "answered after {at} ms"
        );
    }
}

/// Guards against a run that goes on because its stop was lost, or had no effect.
#[test]
fn a_stop_without_an_answer_or_effect_is_repeated() {
    assert_eq!(stop_times(Answer::At(100))[1], 1_400);
    assert_eq!(stop_times(Answer::Fails(700))[1], 1_100);
}

/// Guards against stops that wait for their turn and are sent although the run is known to be gone.
#[test]
fn a_stop_of_a_run_that_is_gone_is_not_wanted() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 8));
    let started = starts(&fleet.plan()).remove(0);
    fleet.take(&started);
    let (now, wall_now) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("1", now, wall_now));
    let stop = stops(&fleet.plan()).remove(0);
    let is_wanted = |fleet: &Fleet| {
        let scheduler = &fleet.scheduler;
        scheduler.is_stop_wanted(&stop.worker, &stop.task, stop.attempt)
    };
    assert!(is_wanted(&fleet));
    fleet.advance(10).report("w00", &[], Vec::new());
    assert!(!is_wanted(&fleet));
}

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
    for ms in (100..STOP_TIME.0).step_by(100) {
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
    for ms in (100..STOP_TIME.0).step_by(100) {
        fleet.advance(100).report("w00", &[&unexpected], Vec::new());
        let repeated = stops(&fleet.plan());
        assert!(repeated.is_empty(), "{ms} ms after the answer");
    }
    fleet
        .advance(2_000)
        .report("w00", &[&unexpected], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1);
}
