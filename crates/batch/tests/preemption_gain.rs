//! Preemption happens only if it gains more than it loses.

mod fleet;

use std::collections::BTreeMap;

use base::clock::Millis;
use batch::{
    job::{Spec, Step},
    worker::{Order, Outcome},
};
use fastrand::Rng;
use fleet::{Fleet, gang, starts, step, stops};

/// An organisation without a guarantee.
const BORROWER: &str = "org-c";

fn submit(fleet: &mut Fleet, id: &str, priority: u32, organisation: &str, step: Step) {
    let spec = Spec {
        text: "spec".into(),
        steps: vec![step],
        repeat: None,
    };
    fleet.submit_spec(id, priority, organisation, spec);
}

fn lasting(estimate: u64, step: Step) -> Step {
    Step {
        estimate: Millis(estimate),
        ..step
    }
}

/// Starts a job of priority 1 that fills one worker, and lets it be taken.
fn start_filler(fleet: &mut Fleet, id: &str, estimate: u64) -> Order {
    submit(fleet, id, 1, BORROWER, lasting(estimate, step(1, 8)));
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    order
}

/// Guards against a stop that gains nothing, because the run would have ended while the urgent job
/// could still wait.
#[test]
fn a_run_that_ends_soon_is_awaited() {
    let mut fleet = Fleet::new(1);
    let run = start_filler(&mut fleet, "filler", 10_000);
    fleet.advance(9_000).report_running(&run, 1, 90);
    submit(&mut fleet, "urgent", 0, BORROWER, step(1, 8));
    for _ in 0..10 {
        assert!(stops(&fleet.plan()).is_empty());
        fleet.advance(100);
    }
    fleet.finish(&run, 1, Outcome::Done);
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against an urgent job that waits for ever for a run whose progress promised its end.
#[test]
fn a_run_that_does_not_end_as_projected_is_stopped() {
    let mut fleet = Fleet::new(1);
    let run = start_filler(&mut fleet, "filler", 30_000);
    // It seems to end within 600 ms, which the urgent job, with 2 s of slack, can wait.
    fleet.advance(5_000).report_running(&run, 1, 90);
    submit(&mut fleet, "urgent", 0, BORROWER, lasting(500, step(1, 8)));
    assert!(stops(&fleet.plan()).is_empty());
    fleet.advance(200);
    assert!(stops(&fleet.plan()).is_empty(), "it is awaited");
    fleet.plan();
    let mut stopped = 0;
    for _ in 0..20 {
        fleet.advance(100);
        stopped += stops(&fleet.plan()).len();
    }
    assert_eq!(stopped, 1);
}

/// Guards against guaranteed work that starts late because it waits for runs to end: the stop has to
/// be ordered within 1 s for a start within 2.7 s.
#[test]
fn guaranteed_work_waits_only_as_long_as_a_stop_still_helps() {
    let mut fleet = Fleet::new(1);
    let run = start_filler(&mut fleet, "filler", 30_000);
    fleet.advance(27_000).report_running(&run, 1, 90);
    submit(&mut fleet, "urgent", 0, "org-a", step(1, 8));
    fleet.plan();
    let since = fleet.now;
    while stops(&fleet.plan()).is_empty() {
        fleet.advance(50);
        let waited = fleet.now.since(since);
        assert!(waited <= Millis(1_000), "no stop after {waited}");
    }
}

/// Guards against lost work for an urgent job that is of no value any more.
#[test]
fn a_job_without_value_stops_nothing_unless_it_is_guaranteed() {
    for (organisation, expected) in [(BORROWER, 0), ("org-a", 1)] {
        let mut fleet = Fleet::new(1);
        start_filler(&mut fleet, "filler", 100_000);
        // The objective of a job of 100 ms is 1,300 ms, so it has no value after 3,900 ms.
        submit(
            &mut fleet,
            "urgent",
            0,
            organisation,
            lasting(100, step(1, 8)),
        );
        fleet.advance(5_000);
        let stopped = stops(&fleet.plan()).len();
        assert_eq!(stopped, expected, "{organisation}");
    }
}

/// Guards against stops of much work for a job that gains less: two jobs that are half done for one.
#[test]
fn a_stop_that_loses_more_than_the_job_gains_is_refused() {
    for (worked, expected) in [(1_000, 2), (60_000, 0)] {
        let mut fleet = Fleet::new(2);
        start_filler(&mut fleet, "filler-1", 100_000);
        start_filler(&mut fleet, "filler-2", 100_000);
        fleet.advance(worked);
        submit(
            &mut fleet,
            "urgent",
            0,
            BORROWER,
            lasting(1_000, gang(2, 8)),
        );
        let mut stopped = 0;
        for _ in 0..10 {
            fleet.advance(100);
            stopped += stops(&fleet.plan()).len();
        }
        assert_eq!(stopped, expected, "after {worked} ms of work");
    }
}

/// Guards against work that is stopped again and again while there is other work to stop.
#[test]
fn a_run_that_was_stopped_before_is_spared() {
    let mut fleet = Fleet::new(2);
    let again = start_filler(&mut fleet, "again", 100_000);
    fleet.finish(&again, 1, Outcome::Stopped);
    let again = starts(&fleet.plan()).remove(0);
    assert_eq!(again.attempt, 2);
    fleet.take(&again);
    // It has worked for less, but its earlier run is lost too.
    start_filler(&mut fleet, "first", 100_000);
    fleet.advance(800);
    submit(&mut fleet, "urgent", 0, BORROWER, step(1, 8));
    fleet.plan();
    fleet.advance(200);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 1);
    assert_eq!(&*stopped[0].task.job, "first");
}

/// Guards against stops for a gang that doesn't fit even after them, and so never starts.
#[test]
fn a_gang_that_does_not_fit_whole_stops_nothing() {
    let mut fleet = Fleet::new(2);
    start_filler(&mut fleet, "low", 100_000);
    submit(&mut fleet, "peer", 0, "org-a", lasting(100_000, step(1, 8)));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    submit(&mut fleet, "urgent", 0, BORROWER, gang(2, 8));
    for _ in 0..30 {
        fleet.advance(100);
        let stopped = stops(&fleet.plan());
        assert!(stopped.is_empty(), "{stopped:?}");
    }
}

/// Guards against waves of stops for one unit: room that its stops free must stay its own.
#[test]
fn a_unit_stops_no_more_than_it_needs_while_its_stops_take_effect() {
    let mut fleet = Fleet::new(6);
    for i in 0..6 {
        start_filler(&mut fleet, &format!("low-{i}"), 100_000);
    }
    submit(&mut fleet, "urgent", 0, BORROWER, gang(2, 8));
    fleet.plan();
    fleet.advance(200);
    let stopped = stops(&fleet.plan());
    assert_eq!(stopped.len(), 2);
    // A tighter job of the same class arrives while the runs are being stopped.
    submit(&mut fleet, "tighter", 0, BORROWER, lasting(300, gang(2, 8)));
    let mut further = 0;
    for _ in 0..4 {
        fleet.advance(100);
        further += stops(&fleet.plan()).len();
    }
    assert!(further <= 2, "{further} more stops");
    for order in &stopped {
        fleet.finish(order, 1, Outcome::Stopped);
    }
    let started = starts(&fleet.plan());
    assert_eq!(started.len(), 2);
    assert!(
        started.iter().all(|o| &*o.task.job == "urgent"),
        "{started:?}"
    );
}

/// Guards against guaranteed work that starts after 2.7 s, in random histories: runs whose progress
/// promises an end that doesn't come, and stops that take 1 s.
#[test]
fn guaranteed_work_starts_in_time_whatever_it_costs() {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let workers = rng.usize(2..9);
        let mut fleet = Fleet::new(workers);
        let mut seqs: BTreeMap<_, u64> = BTreeMap::new();
        for i in 0..workers {
            let shape = lasting(rng.u64(500..100_000), step(1, 8));
            submit(
                &mut fleet,
                &format!("low-{i}"),
                rng.u32(1..3),
                BORROWER,
                shape,
            );
        }
        let running = starts(&fleet.plan());
        for order in &running {
            fleet.take(order);
        }
        fleet.advance(rng.u64(100..20_000));
        for order in &running {
            fleet.report_running(order, 1, rng.u32(0..101));
        }
        let shape = lasting(rng.u64(100..9_000), gang(rng.u32(1..3), 8));
        let wanted = shape.count as usize;
        submit(&mut fleet, "urgent", 0, "org-a", shape);
        let submitted = fleet.now;
        let mut stopping: Vec<(Millis, Order)> = Vec::new();
        let mut started = 0;
        while started < wanted {
            let waited = fleet.now.since(submitted);
            assert!(
                waited <= Millis(2_000),
                "seed {seed}: {started} of {wanted}"
            );
            let now = fleet.now;
            for (_, order) in stopping.extract_if(.., |(at, _)| *at <= now) {
                let seq = seqs.entry(order.worker.clone()).or_default();
                *seq += 1;
                fleet.finish(&order, *seq, Outcome::Stopped);
            }
            let changes = fleet.plan();
            let urgent = |o: &&Order| &*o.task.job == "urgent";
            started += starts(&changes).iter().filter(urgent).count();
            let ends_at = fleet.now + Millis(1_000);
            stopping.extend(stops(&changes).into_iter().map(|o| (ends_at, o)));
            fleet.advance(50);
        }
    }
}
