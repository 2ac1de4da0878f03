//! Starts that were not sent because no connection was opened in time.

mod fleet;

use batch::worker::StartReply;
use fleet::{Fleet, gang, starts, stops};

/// Guards against a gang that is stopped, and a worker that gets no work, because the leader's own
/// link was full for a moment.
#[test]
fn a_start_that_was_not_sent_is_sent_again() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, gang(2, 8));
    let first = starts(&fleet.plan());
    fleet.take(&first[0]);
    let (task, now) = (&first[1].task, fleet.now);
    fleet
        .scheduler
        .handle_start_reply(task, 1, StartReply::NotSent, now);
    let changes = fleet.plan();
    assert!(stops(&changes).is_empty());
    assert_eq!(starts(&changes), [first[1].clone()]);
}

/// Guards against a gang that waits for a worker which is gone.
#[test]
fn a_worker_without_a_connection_counts_as_refusing() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, gang(2, 8));
    let first = starts(&fleet.plan());
    fleet.take(&first[0]);
    for _ in 0..2 {
        let (task, now) = (&first[1].task, fleet.now);
        fleet
            .scheduler
            .handle_start_reply(task, 1, StartReply::NotSent, now);
    }
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 1, "{stopped:?}");
    assert_eq!(stopped[0].task, first[0].task);
}
