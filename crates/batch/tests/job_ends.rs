//! Log lines about the ends of jobs.

mod fleet;
mod lines;

use batch::worker::Outcome;
use fleet::{Fleet, starts, step};
use lines::{Line, start_capture, take_lines};

/// Returns the only line about the end of a job.
fn end() -> Line {
    let mut lines = take_lines("batch: job phase changed");
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines.remove(0)
}

/// Guards against a failed job whose line does not tell failures of a subtask from crashes of workers,
/// and neither from a cancellation.
#[test]
fn the_end_of_a_job_names_its_cause() {
    start_capture();
    let mut fleet = Fleet::new(4);
    fleet.submit("failing", 1, step(1, 1));
    for seq in 1.. {
        let Some(order) = starts(&fleet.advance(20_000).plan()).pop() else {
            break;
        };
        fleet.take(&order);
        fleet.finish(&order, seq, Outcome::Failed);
    }
    let failed = end();
    assert_eq!([&failed["phase"], &failed["cause"]], ["failed", "failures"]);
    assert_eq!(failed["task"], "failing.0.0.0");
    assert_eq!(failed["count"], failed["limit"]);
    fleet.submit("deadly", 1, step(1, 1));
    for _ in 0..2 {
        let order = starts(&fleet.advance(20_000).plan()).remove(0);
        fleet.take(&order);
        fleet.advance(10).crash(&order.worker);
    }
    let crashed = end();
    assert_eq!(
        [&crashed["phase"], &crashed["cause"]],
        ["failed", "crashes"]
    );
    assert_eq!(crashed["count"], "2");
    fleet.submit("unwanted", 1, step(1, 1));
    let (now, wall_now) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("unwanted", now, wall_now));
    let cancelled = end();
    assert_eq!(cancelled["cause"], "cancelled");
    assert_eq!(cancelled["age_ms"], "0");
}
