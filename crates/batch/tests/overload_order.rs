//! Order of waiting units while they need more room than there is.

mod fleet;

use std::collections::BTreeSet;

use base::clock::Millis;
use batch::{
    delay_cost::{OverloadRules, WaitingOrder},
    job::{Spec, Step, Text},
    worker::{Order, Outcome},
};
use fastrand::Rng;
use fleet::{Fleet, gang, starts, step};

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

fn names(orders: &[Order]) -> BTreeSet<Text> {
    orders.iter().map(|o| o.task.job.clone()).collect()
}

/// A fleet with the given number of workers, full of one run each.
fn full(workers: usize) -> (Fleet, Vec<Order>) {
    let mut fleet = Fleet::new(workers);
    submit(
        &mut fleet,
        "filler",
        1,
        BORROWER,
        lasting(50_000, step(workers as u32, 8)),
    );
    let running = starts(&fleet.plan());
    assert_eq!(running.len(), workers);
    (fleet, running)
}

/// Guards against a job that becomes late although another one could have waited.
#[test]
fn a_job_that_a_wait_would_make_late_starts_before_one_due_earlier() {
    let (mut fleet, running) = full(1);
    // Due at 16 s, with 11 s of slack.
    submit(&mut fleet, "long", 1, BORROWER, lasting(5_000, step(1, 8)));
    fleet.plan();
    fleet.advance(5_000);
    // Due at 15 s, with 7 s of slack.
    submit(&mut fleet, "short", 1, BORROWER, lasting(3_000, step(1, 8)));
    fleet.plan();
    // 4 s are left for the long one, as long as a typical run lasts, and 5 s for the short one.
    fleet.advance(2_000).finish(&running[0], 1, Outcome::Done);
    assert_eq!(
        names(&starts(&fleet.plan())),
        BTreeSet::from(["long".into()])
    );
}

/// Guards against a few large jobs that delay many small ones while all have time.
#[test]
fn jobs_with_time_start_by_value_for_their_work() {
    let (mut fleet, running) = full(1);
    submit(&mut fleet, "large", 1, BORROWER, lasting(9_000, step(8, 8)));
    submit(&mut fleet, "small", 1, BORROWER, lasting(9_000, step(1, 8)));
    fleet.plan();
    fleet.advance(100).finish(&running[0], 1, Outcome::Done);
    assert_eq!(
        names(&starts(&fleet.plan())),
        BTreeSet::from(["small".into()])
    );
}

/// Guards against jobs of no value that take room from those that still have some.
#[test]
fn a_job_without_value_waits_for_those_with_some() {
    let (mut fleet, running) = full(1);
    submit(
        &mut fleet,
        "worthless",
        1,
        BORROWER,
        lasting(100, step(1, 8)),
    );
    fleet.plan();
    fleet.advance(8_000);
    submit(&mut fleet, "late", 1, BORROWER, lasting(9_000, step(1, 8)));
    fleet.plan();
    fleet.advance(21_000).finish(&running[0], 1, Outcome::Done);
    assert_eq!(
        names(&starts(&fleet.plan())),
        BTreeSet::from(["late".into()])
    );
}

/// Guards against starvation: later jobs that can be in time come for ever, and one that is too late
/// has to start all the same.
#[test]
fn a_lasting_overload_starves_no_job() {
    for priority in [1, 2] {
        let (mut fleet, mut running) = full(1);
        submit(
            &mut fleet,
            "old",
            priority,
            BORROWER,
            lasting(100, step(1, 8)),
        );
        // Too late after 3.9 s.
        fleet.advance(5_000);
        let mut rounds = 0;
        loop {
            rounds += 1;
            for i in 0..2 {
                let id = format!("new-{rounds}-{i}");
                submit(&mut fleet, &id, 1, BORROWER, lasting(1_000, step(1, 8)));
            }
            fleet.plan();
            let ended = running.remove(0);
            fleet.advance(1_000).finish(&ended, rounds, Outcome::Done);
            running = starts(&fleet.plan());
            assert_eq!(running.len(), 1);
            if &*running[0].task.job == "old" {
                break;
            }
            assert!(rounds < 70, "not started after {rounds} s");
        }
        assert!(
            rounds > 10,
            "the test has to reach the time when it is too late"
        );
    }
}

/// Guards against starvation in random histories: after 60 s, no later job of the same class goes
/// first, whatever its cost of delay.
#[test]
fn a_job_that_has_waited_for_a_minute_goes_first() {
    for seed in 0..10 {
        let mut rng = Rng::with_seed(seed);
        let (mut fleet, mut running) = full(1);
        let mut waiting: Vec<(Text, Millis)> = Vec::new();
        let mut overdue_starts = 0;
        for round in 0..150 {
            for i in 0..rng.usize(1..4) {
                let id = format!("job-{round}-{i}");
                let shape = lasting(rng.u64(100..9_000), step(1, 8));
                submit(&mut fleet, &id, rng.u32(1..3), BORROWER, shape);
                waiting.push((id.as_str().into(), fleet.now));
            }
            fleet.plan();
            let ended = running.remove(0);
            fleet
                .advance(rng.u64(500..1_500))
                .finish(&ended, round + 1, Outcome::Done);
            running = starts(&fleet.plan());
            let started = &running[0].task.job;
            let at = waiting.iter().position(|(id, _)| id == started);
            let (_, since) = waiting.remove(at.expect("a waiting job"));
            let is_overdue = |since: Millis| fleet.now.since(since) >= Millis(60_000);
            let overdue = waiting.iter().filter(|(_, since)| is_overdue(*since));
            assert!(
                is_overdue(since) || overdue.count() == 0,
                "seed {seed}, round {round}"
            );
            overdue_starts += u32::from(is_overdue(since));
        }
        assert!(overdue_starts > 0, "seed {seed}: no job waits for long");
    }
}

/// Guards against guaranteed work that waits behind other urgent work because of its cost of delay, and
/// urgent work behind deferrable work, in random histories.
#[test]
fn guaranteed_work_always_starts_first() {
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let (mut fleet, running) = full(2);
        let mut waiting: Vec<(Text, u32)> = Vec::new();
        for i in 0..12 {
            let estimate = rng.u64(100..9_000);
            // Two jobs of 8 accelerators are within the guarantee.
            let (class, priority, organisation) = match i {
                3 | 8 => (0, 0, "org-a"),
                _ if rng.bool() => (1, 0, BORROWER),
                _ => (2, rng.u32(1..3), BORROWER),
            };
            let id = format!("job-{i}");
            submit(
                &mut fleet,
                &id,
                priority,
                organisation,
                lasting(estimate, step(1, 8)),
            );
            waiting.push((id.as_str().into(), class));
            fleet.advance(rng.u64(0..20));
        }
        let mut running = running;
        let mut seq = 0;
        let mut last = 0;
        while !waiting.is_empty() {
            let ended = running.remove(0);
            seq += 1;
            fleet
                .advance(rng.u64(1..200))
                .finish(&ended, seq, Outcome::Done);
            for order in starts(&fleet.plan()) {
                let Some(at) = waiting.iter().position(|(id, _)| *id == order.task.job) else {
                    running.push(order);
                    continue;
                };
                let (_, class) = waiting.remove(at);
                assert!(class >= last, "seed {seed}: {order:?} after class {last}");
                last = class;
                running.push(order);
            }
            if running.is_empty() {
                break;
            }
        }
    }
}

/// Guards against another order or other stops where there is room for all: a deployment without
/// overload has to be served as before.
#[test]
fn with_ample_room_the_order_is_as_before() {
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let plain = OverloadRules {
            order: WaitingOrder::Due,
            stops_by_gain: false,
        };
        let mut fleets = [Fleet::new(24), Fleet::new(24)];
        fleets[0].scheduler.set_overload_rules(plain);
        let mut running: Vec<Order> = Vec::new();
        let mut seq = 0;
        for round in 0..60 {
            for i in 0..rng.usize(0..3) {
                let id = format!("{:04x}-{round}-{i}", rng.u16(..));
                let (count, size) = (rng.u32(1..4), 1 << rng.u32(0..4));
                let shape = if rng.bool() {
                    gang(count, size)
                } else {
                    step(count, size)
                };
                let priority = rng.u32(0..3);
                let shape = lasting(rng.u64(100..9_000), shape);
                for fleet in &mut fleets {
                    submit(fleet, &id, priority, "org-a", shape.clone());
                }
            }
            let [before, now] = fleets.each_mut().map(|f| starts(&f.plan()));
            assert_eq!(before, now, "seed {seed}, round {round}");
            running.extend(now);
            while running.len() > 20 {
                let order = running.remove(rng.usize(..running.len()));
                seq += 1;
                for fleet in &mut fleets {
                    fleet.finish(&order, seq, Outcome::Done);
                }
            }
            for fleet in &mut fleets {
                fleet.advance(200);
            }
        }
    }
}
