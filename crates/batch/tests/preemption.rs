//! Room for urgent work on full workers.

mod fleet;

use batch::{
    job::Step,
    worker::{Outcome, StartReply},
};
use fleet::{Fleet, gang, starts, step, stops};

/// Guards against room that becomes free for a waiting urgent job and is taken by work of lower
/// priority, which then has to be stopped at once.
#[test]
fn deferrable_work_leaves_the_room_that_urgent_work_waits_for() {
    let mut fleet = Fleet::new(2);
    fleet.submit("low-1", 1, step(2, 8));
    let low = starts(&fleet.plan());
    assert_eq!(low.len(), 2);
    fleet.after(10).submit("urgent", 0, gang(2, 8));
    fleet.submit("low-2", 1, step(1, 8));
    assert!(starts(&fleet.plan()).is_empty());
    // One worker becomes free while the urgent gang still waits for the second.
    fleet.after(50).end(&low[0], 1, Outcome::Done);
    let batch = fleet.plan();
    assert!(starts(&batch).is_empty(), "{batch:?}");
    fleet.after(300);
    assert_eq!(stops(&fleet.plan()).len(), 1);
    fleet.after(200).end(&low[1], 1, Outcome::Stopped);
    let started = starts(&fleet.plan());
    assert!(
        started.iter().all(|o| &*o.task.job == "urgent"),
        "{started:?}"
    );
    assert_eq!(started.len(), 2);
}

/// Guards against lost work: of two runs that would make room, the one that loses less is stopped.
#[test]
fn the_run_that_loses_least_is_stopped() {
    let mut fleet = Fleet::new(2);
    fleet.submit("old", 1, step(1, 8));
    let old = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    fleet
        .scheduler
        .handle_start_reply(&old.task, 1, StartReply::Taken, now);
    fleet.after(4_000).submit("new", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.after(500).submit("urgent", 0, step(1, 8));
    fleet.plan();
    fleet.after(300);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 1);
    assert_eq!(&*stopped[0].task.job, "new");
}

/// Guards against room that is kept free for urgent work for ever, once there is none.
#[test]
fn the_reserve_ends_with_the_urgent_load() {
    let mut fleet = Fleet::new(2);
    fleet.submit("urgent", 0, step(2, 8));
    for order in starts(&fleet.plan()) {
        fleet.after(2_500).end(&order, 1, Outcome::Done);
    }
    fleet.submit("low", 1, step(2, 8));
    let mut placed = starts(&fleet.plan()).len();
    for _ in 0..120 {
        fleet.after(250);
        placed += starts(&fleet.plan()).len();
    }
    assert_eq!(placed, 2);
}

/// Guards against a gang that waits for one rack although no rack could ever hold it.
#[test]
fn a_gang_wider_than_any_rack_does_not_wait_for_one() {
    let mut fleet = Fleet::new(8);
    let wide = |count| Step {
        same_rack: true,
        ..gang(count, 8)
    };
    // A rack has four workers of 8 accelerators.
    fleet.submit("wide", 1, wide(5));
    assert_eq!(starts(&fleet.plan()).len(), 5);
    fleet.after(10).submit("fits", 1, wide(4));
    assert!(
        starts(&fleet.plan()).is_empty(),
        "it waits for a whole rack"
    );
}

/// Guards against wide work of priority 1 that never ends under bursts of urgent work: it waits for
/// whole workers after each stop, so deferrable work is stopped in its place even if that loses a
/// few times as much.
#[test]
fn deferrable_work_is_stopped_before_work_of_priority_1() {
    let mut fleet = Fleet::new(2);
    fleet.submit("deferrable", 2, step(8, 1));
    assert_eq!(starts(&fleet.plan()).len(), 8);
    fleet.after(4_000).submit("wide", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.after(4_000).submit("urgent", 0, step(1, 8));
    fleet.plan();
    fleet.after(300);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 8, "{stopped:?}");
    assert!(stopped.iter().all(|o| &*o.task.job == "deferrable"));
}
