//! Preemption and reserved resources for urgent work on full workers.

mod fleet;

use base::clock::Millis;
use batch::{
    job::Step,
    scheduler::JobScheduler,
    worker::{Outcome, StartReply},
};
use fleet::{Fleet, gang, starts, step, stops};

/// Guards against work of lower priority that takes resources that become free for a waiting urgent
/// job. It would have to be stopped right away.
#[test]
fn deferrable_work_does_not_take_resources_held_for_urgent_work() {
    let mut fleet = Fleet::new(2);
    fleet.submit("low-1", 1, step(2, 8));
    let low = starts(&fleet.plan());
    assert_eq!(low.len(), 2);
    fleet.advance(10).submit("urgent", 0, gang(2, 8));
    fleet.submit("low-2", 1, step(1, 8));
    assert!(starts(&fleet.plan()).is_empty());
    // One worker becomes free while the urgent gang still waits for the second.
    fleet.advance(50).finish(&low[0], 1, Outcome::Done);
    let changes = fleet.plan();
    assert!(starts(&changes).is_empty(), "{changes:?}");
    fleet.advance(300);
    assert_eq!(stops(&fleet.plan()).len(), 1);
    fleet.advance(200).finish(&low[1], 1, Outcome::Stopped);
    let started = starts(&fleet.plan());
    assert!(
        started.iter().all(|o| &*o.task.job == "urgent"),
        "{started:?}"
    );
    assert_eq!(started.len(), 2);
}

/// Guards against avoidable loss of work: of two possible victims, the one that loses less is
/// stopped.
#[test]
fn the_run_with_the_smallest_loss_is_preempted() {
    let mut fleet = Fleet::new(2);
    fleet.submit("old", 1, step(1, 8));
    let old = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    fleet
        .scheduler
        .handle_start_reply(&old.task, 1, StartReply::Taken, now);
    fleet.advance(4_000).submit("new", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.advance(500).submit("urgent", 0, step(1, 8));
    fleet.plan();
    fleet.advance(300);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 1);
    assert_eq!(&*stopped[0].task.job, "new");
}

/// A new leader does not know when its predecessor placed a run. Guards against a loss of years for
/// such runs, so that work was stopped that loses far more.
#[test]
fn a_run_of_an_earlier_leader_loses_what_its_progress_shows() {
    let mut fleet = Fleet::new(2);
    let long = Step {
        estimate: Millis(10_000),
        ..step(1, 8)
    };
    fleet.submit("old", 1, long.clone());
    let old = starts(&fleet.plan()).remove(0);
    fleet.advance(500);
    fleet.restart();
    fleet.report_running(&old, 1, 5);
    fleet.submit("new", 1, long);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.advance(4_000).report_running(&old, 1, 6);
    fleet.submit("urgent", 0, step(1, 8));
    fleet.plan();
    fleet.advance(300);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 1);
    assert_eq!(&*stopped[0].task.job, "old", "6% of 10 s are lost, not 4 s");
}

/// A stop writes a checkpoint. Guards against a stop of work without checkpoints that loses more
/// than it takes to restore one.
#[test]
fn a_run_with_checkpoints_loses_only_the_restore() {
    let mut fleet = Fleet::new(2);
    fleet.scheduler = JobScheduler::new(Millis(250));
    fleet.set_up();
    let saving = Step {
        checkpoints: true,
        ..step(1, 8)
    };
    fleet.submit("saving", 1, saving);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.advance(1_000).submit("plain", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.advance(500).submit("urgent", 0, step(1, 8));
    fleet.plan();
    fleet.advance(300);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 1);
    assert_eq!(&*stopped[0].task.job, "saving");
}

/// Guards against accelerators that stay reserved for urgent work after the urgent load has ended.
#[test]
fn the_reserve_ends_with_the_urgent_load() {
    let mut fleet = Fleet::new(2);
    fleet.submit("urgent", 0, step(2, 8));
    for order in starts(&fleet.plan()) {
        fleet.advance(2_500).finish(&order, 1, Outcome::Done);
    }
    fleet.submit("low", 1, step(2, 8));
    let mut placed = starts(&fleet.plan()).len();
    for _ in 0..120 {
        fleet.advance(250);
        placed += starts(&fleet.plan()).len();
    }
    assert_eq!(placed, 2);
}

/// Guards against a gang that waits for a single rack although it does not fit on any.
#[test]
fn a_gang_larger_than_any_rack_does_not_wait_for_one() {
    let mut fleet = Fleet::new(8);
    let wide = |count| Step {
        same_rack: true,
        ..gang(count, 8)
    };
    // A rack has four workers of 8 accelerators.
    fleet.submit("wide", 1, wide(5));
    assert_eq!(starts(&fleet.plan()).len(), 5);
    fleet.advance(10).submit("fits", 1, wide(4));
    assert!(
        starts(&fleet.plan()).is_empty(),
        "a gang that fits on one rack has to wait for it"
    );
}

/// Guards against starvation of large work of priority 1 under bursts of urgent work. After each
/// stop it has to wait for whole workers, so deferrable work is stopped instead even if that loses
/// a few times as much.
#[test]
fn deferrable_work_is_preempted_before_work_of_priority_1() {
    let mut fleet = Fleet::new(2);
    fleet.submit("deferrable", 2, step(8, 1));
    assert_eq!(starts(&fleet.plan()).len(), 8);
    fleet.advance(4_000).submit("wide", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.advance(4_000).submit("urgent", 0, step(1, 8));
    fleet.plan();
    fleet.advance(300);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 8, "{stopped:?}");
    assert!(stopped.iter().all(|o| &*o.task.job == "deferrable"));
}
