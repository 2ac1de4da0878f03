//! How often a stop is ordered while reports list its run.

mod fleet;

use base::clock::Millis;
use batch::worker::Order;
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
