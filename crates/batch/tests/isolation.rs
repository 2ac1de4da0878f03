//! Subtasks that run alone because workers crashed under them, beside lasting work on every worker.

mod fleet;

use batch::{
    job::Step,
    progress::Phase,
    worker::{Order, Outcome},
};
use fleet::{Fleet, starts, step};

const WORKERS: u32 = 8;
/// Time for which a job that could run may have nothing running.
const MAX_WAIT: u64 = 3_000;
/// Interval between two passes.
const PASS: u64 = 250;
/// Run time of a job whose worker does not crash any more.
const RUN_TIME: u64 = 6_000;
/// Maximum number of workers that one subtask may crash.
const MAX_CRASHES: usize = 5;

/// What was seen of a job.
struct Seen {
    phase: Option<Phase>,
    crashes: usize,
    longest_wait: u64,
}

/// Plays a job of one subtask whose worker crashes some time after each start, and no more after
/// `crashes` of them, beside one subtask of a lasting job on each worker.
fn play(after: u64, crashes: usize) -> Seen {
    let mut fleet = Fleet::new(WORKERS as usize);
    let lasting = Step {
        endless: true,
        max_per_worker: 1,
        ..step(WORKERS, 1)
    };
    fleet.submit("lasting", 1, lasting);
    let placed = start_all(&mut fleet);
    assert_eq!(placed.len(), WORKERS as usize);
    fleet.advance(5_000);
    fleet.submit("odd", 1, step(1, 1));
    let mut seen = Seen {
        phase: None,
        crashes: 0,
        longest_wait: 0,
    };
    let mut waited = 0;
    for seq in 0..2_000 {
        if let Some(order) = start_all(&mut fleet).into_iter().find(is_odd) {
            waited = 0;
            if seen.crashes == crashes {
                fleet.advance(RUN_TIME).finish(&order, seq, Outcome::Done);
            } else {
                seen.crashes += 1;
                let now = fleet.advance(after).now;
                fleet.lose(&order.worker, now);
                fleet.advance(3_000).replace(&order.worker);
            }
        }
        seen.phase = fleet.scheduler.phase("odd");
        if seen.phase.is_some_and(Phase::is_final) {
            break;
        }
        seen.longest_wait = seen.longest_wait.max(waited);
        waited += PASS;
        fleet.advance(PASS);
    }
    assert_eq!(fleet.scheduler.phase("lasting"), Some(Phase::Running));
    seen
}

fn is_odd(order: &Order) -> bool {
    &*order.task.job == "odd"
}

fn start_all(fleet: &mut Fleet) -> Vec<Order> {
    let orders = starts(&fleet.plan());
    for order in &orders {
        fleet.take(order);
    }
    orders
}

/// Guards against a job that waits for ever for a worker of its own, and against one that is never
/// given up once it shares one.
#[test]
fn isolation_has_an_end() {
    let cases = [
        ("a culprit at its start", 10, usize::MAX, Phase::Failed, 2),
        (
            "a late culprit",
            4_000,
            usize::MAX,
            Phase::Failed,
            MAX_CRASHES,
        ),
        ("three unrelated crashes", 2_000, 3, Phase::Completed, 3),
        ("four unrelated crashes", 2_000, 4, Phase::Completed, 4),
        ("crashes after a minute", 61_000, 12, Phase::Completed, 12),
    ];
    for (name, after, crashes, phase, most) in cases {
        let seen = play(after, crashes);
        assert_eq!(seen.phase, Some(phase), "{name}");
        assert!(seen.crashes <= most, "{name}: {} crashes", seen.crashes);
        assert!(
            seen.longest_wait <= MAX_WAIT,
            "{name}: {} ms",
            seen.longest_wait
        );
    }
}
