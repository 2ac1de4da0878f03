//! Times and counts that a leader must not derive from its own start or from another VM's clock.

mod fleet;

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::Config,
    job::{AcceptedJob, Spec, Step},
    progress::Phase,
    worker::{Outcome, Report, StartReply},
};
use fleet::{Fleet, START, config, finished, gang, starts, step, stops};

/// Guards against work that is lost with a draining worker because the new leader counts the
/// remaining time of the worker from its own start.
#[test]
fn a_new_leader_stops_work_on_a_draining_worker_in_time() {
    let mut fleet = Fleet::new(1);
    let saving = Step {
        checkpoints: true,
        estimate: Millis(20_000),
        ..step(1, 1)
    };
    fleet.submit("saves", 1, saving);
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    fleet.infos[0].draining = true;
    fleet.infos[0].remaining = Some(Millis(4_000));
    fleet.infos[0].clock = fleet.now;
    let shutdown = fleet.now + Millis(4_000);
    fleet.advance(1_500).restart();
    fleet.advance(20).report_running(&order, 1, 10);
    fleet.now = Millis(shutdown.0 - 2_000);
    fleet.scheduler.evacuate(fleet.now);
    assert_eq!(stops(&fleet.plan()).len(), 1);
}

/// Guards against a guarantee that is claimed late because the clock of the entry that accepted the
/// job is ahead.
#[test]
fn urgent_work_from_an_entry_whose_clock_is_ahead_preempts_in_time() {
    let mut fleet = Fleet::new(1);
    fleet.submit("low", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    let urgent = AcceptedJob {
        id: "urgent".into(),
        queue: "q0".into(),
        service: "svc".into(),
        organisation: Some("org-a".into()),
        at: START + fleet.now + Millis(5_000),
        spec: Spec {
            text: "spec".into(),
            steps: vec![gang(1, 8)],
            repeat: None,
        },
    };
    assert!(fleet.scheduler.accept(urgent));
    assert!(stops(&fleet.plan()).is_empty(), "its wait begins");
    fleet.advance(250);
    assert_eq!(stops(&fleet.plan()).len(), 1);
}

/// Guards against a second run of a subtask whose end is not in the report, because a worker lists
/// only the first ends that were not acknowledged.
#[test]
fn a_run_that_an_incomplete_report_leaves_out_is_not_taken_for_gone() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(2, 1));
    let orders = starts(&fleet.plan());
    for order in &orders {
        fleet.take(order);
    }
    let (now, wall_now) = (fleet.advance(100).now, fleet.wall());
    let report = |is_complete, ends| Report {
        clock: now,
        incarnation: 1,
        running: Vec::new(),
        finished: ends,
        is_complete,
    };
    let first = report(false, vec![finished(&orders[0], 1, Outcome::Done)]);
    fleet
        .scheduler
        .handle_report("w00", &first, now, now, wall_now);
    assert!(starts(&fleet.plan()).is_empty());
    let second = report(true, vec![finished(&orders[1], 2, Outcome::Done)]);
    fleet
        .scheduler
        .handle_report("w00", &second, now, now, wall_now);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
}

/// Guards against starts beyond the allowed number of failures because the queue of the job is no
/// longer configured.
#[test]
fn a_job_of_a_removed_queue_keeps_its_limit_of_attempts() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    fleet.take(&first);
    fleet.advance(100).finish(&first, 1, Outcome::Failed);
    let second = starts(&fleet.plan()).remove(0);
    fleet.restart();
    let config = Config {
        queues: Vec::new(),
        ..config()
    };
    fleet.scheduler.configure(&Rc::new(config));
    fleet.advance(100).report_running(&second, 1, 10);
    fleet.finish(&second, 2, Outcome::Failed);
    assert!(starts(&fleet.advance(5_000).plan()).is_empty());
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Failed));
}

/// Guards against a start beyond the capacity of a worker without an admission check whose entry
/// was old before the new leader read it.
#[test]
fn a_new_leader_does_not_take_an_old_entry_for_a_recent_one() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    fleet.advance(60_000).restart();
    let config = Config {
        services_without_admission_check: vec!["svc".into()],
        ..config()
    };
    fleet.scheduler.configure(&Rc::new(config));
    assert!(starts(&fleet.plan()).is_empty());
    fleet.advance(800).resize("w00", 8);
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against accelerators that a new leader keeps free because it takes the urgent work that
/// runs already for a burst.
#[test]
fn a_new_leader_reserves_nothing_for_a_steady_load() {
    let mut fleet = Fleet::new(4);
    fleet.submit("urgent", 0, gang(3, 8));
    let urgent = starts(&fleet.plan());
    assert_eq!(urgent.len(), 3);
    fleet.advance(60_000).restart();
    for order in &urgent {
        fleet.report_running(order, 1, 10);
    }
    fleet.submit("low", 1, step(1, 8));
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against a second run of a subtask whose start is carried out in the next life of its
/// worker, after a report of that life did not list it.
#[test]
fn a_start_under_way_to_a_restarted_worker_is_stopped_before_the_next_one() {
    for takeover in [false, true] {
        let mut fleet = Fleet::new(2);
        fleet.submit("1", 1, step(1, 1));
        let first = starts(&fleet.plan()).remove(0);
        if takeover {
            fleet.advance(100).restart();
        } else {
            for _ in 0..3 {
                let (now, unknown) = (fleet.now, StartReply::Unknown);
                fleet
                    .scheduler
                    .handle_start_reply(&first.task, 1, unknown, now);
            }
            assert_eq!(stops(&fleet.plan()).len(), 1);
        }
        fleet.advance(500).report_life(&first.worker, 2);
        let changes = fleet.plan();
        assert!(starts(&changes).is_empty(), "takeover {takeover}");
        assert_eq!(stops(&changes).len(), 1, "takeover {takeover}");
        let now = fleet.now;
        fleet.scheduler.handle_stop_reply(&first.task, 1, now);
        fleet.advance(10).report_life(&first.worker, 2);
        assert_eq!(starts(&fleet.plan())[0].attempt, 2);
    }
}

/// Guards against a crash that is counted for a run of the current life of a worker, because another
/// run there was placed in an earlier life.
#[test]
fn a_new_leader_counts_no_crash_for_a_run_of_the_current_life() {
    let mut fleet = Fleet::new(1);
    fleet.submit("2", 1, step(1, 1));
    let old = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    let unknown = StartReply::Unknown;
    fleet
        .scheduler
        .handle_start_reply(&old.task, 1, unknown, now);
    fleet.plan();
    // The worker restarts, and the start that is not answered is repeated in its next life.
    fleet.report_life("w00", 2);
    fleet.infos[0].incarnation = 2;
    fleet.advance(100).resize("w00", 8);
    fleet.submit("1", 1, step(1, 1));
    let new = starts(&fleet.plan()).remove(0);
    assert_eq!(&*new.task.job, "1");
    fleet.take(&new);
    let before = fleet.crashes("1");
    fleet.advance(600).restart();
    fleet.report_running(&new, 2, 10);
    fleet.plan();
    assert_eq!(fleet.crashes("1"), before);
}

/// Guards against a start on a worker that has announced its shutdown since the start was decided.
#[test]
fn a_new_leader_repeats_no_start_on_a_draining_worker() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.infos[0].draining = true;
    fleet.infos[0].remaining = Some(Millis(4_000));
    fleet.restart();
    let now = fleet.now;
    assert!(
        !fleet
            .scheduler
            .admits_start(&order.task, &order.worker, now)
    );
}

/// Guards against urgent work that waits for stops during a burst, because a new leader has given
/// the free accelerators to deferrable work.
#[test]
fn a_new_leader_keeps_room_for_a_burst() {
    let mut fleet = Fleet::new(4);
    fleet.submit("urgent-0", 0, gang(3, 8));
    let urgent = starts(&fleet.plan());
    assert_eq!(urgent.len(), 3);
    // Outage and takeover took as long as the leases of the workers.
    fleet.advance(6_000).restart();
    for order in &urgent {
        fleet.report_running(order, 1, 10);
    }
    fleet.submit("low", 1, step(1, 8));
    assert!(starts(&fleet.plan()).is_empty(), "room for a burst");
    fleet.advance(500).submit("urgent-1", 0, gang(1, 8));
    let begun = starts(&fleet.plan());
    assert_eq!(begun.len(), 1);
    assert_eq!(&*begun[0].task.job, "urgent-1");
}

/// Guards against failures that count against jobs because each new leader takes a worker on which
/// everything fails for a healthy one.
#[test]
fn a_new_leader_knows_on_which_workers_runs_fail() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    for seq in 1..3 {
        let order = starts(&fleet.plan()).remove(0);
        fleet.take(&order);
        fleet.advance(10).finish(&order, seq, Outcome::Failed);
    }
    fleet.submit("2", 1, step(1, 1));
    fleet.plan();
    fleet.restart();
    assert!(starts(&fleet.plan()).is_empty());
    let order = starts(&fleet.advance(1_000).plan()).remove(0);
    fleet.take(&order);
    fleet.advance(10).finish(&order, 3, Outcome::Done);
    assert!(fleet.scheduler.failing_workers().is_empty());
}
