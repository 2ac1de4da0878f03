//! Times and counts that a leader must not derive from its own start or from another VM's clock.

mod fleet;

use base::clock::Millis;
use batch::job::{AcceptedJob, Spec, Step};
use fleet::{Fleet, START, gang, starts, step, stops};

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
