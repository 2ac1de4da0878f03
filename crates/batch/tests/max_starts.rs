//! Placement while few starts can be sent.

mod fleet;

use fleet::{Fleet, starts, step};

/// Guards against work that holds workers while its starts wait for a full link, and against urgent
/// work that waits with it.
#[test]
fn deferrable_work_is_not_placed_beyond_the_limit() {
    let mut fleet = Fleet::new(8);
    for (id, priority) in [("1", 1), ("2", 2), ("3", 0)] {
        fleet.submit(id, priority, step(4, 1));
    }
    fleet.scheduler.set_max_starts(0);
    let placed = starts(&fleet.plan());
    assert_eq!(placed.len(), 4);
    assert!(placed.iter().all(|o| &*o.task.job == "3"), "{placed:?}");
    // The urgent starts have no answer yet, which does not count here.
    fleet.scheduler.set_max_starts(1);
    let placed = starts(&fleet.plan());
    assert!(placed.iter().all(|o| &*o.task.job == "1"), "{placed:?}");
    assert_eq!(placed.len(), 4, "a unit is placed as a whole");
    fleet.scheduler.set_max_starts(100);
    assert_eq!(starts(&fleet.plan()).len(), 4);
}

/// Guards against starts that count as under way for ever because they were not sent.
#[test]
fn a_start_that_is_no_longer_wanted_is_not_awaited() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let start = starts(&fleet.plan()).remove(0);
    fleet.report("w00", &[&start], Vec::new());
    assert!(!fleet.scheduler.is_start_wanted(&start.task, start.attempt));
    fleet
        .scheduler
        .handle_unwanted_start(&start.task, start.attempt);
    assert_eq!(fleet.scheduler.awaited_starts(), 0);
}
