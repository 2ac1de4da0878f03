//! Learned speeds of workers.

use base::clock::Millis;
use forecast::{
    Name,
    observation::{Kind, Observation},
    predictor::{Forecast, Slowness},
};
use quickcheck::quickcheck;
use sim::{Choice, Sim, Work, mean_abs};

#[path = "../examples/sim/mod.rs"]
mod sim;

fn two_classes() -> Vec<f64> {
    (0..120)
        .map(|i| if i % 3 == 0 { 1.7 } else { 0.7 })
        .collect()
}

fn gangs() -> Vec<Work> {
    vec![
        Work::new("a", true, 5, 2_500.0),
        Work::new("b", true, 13, 8_500.0),
    ]
}

fn others() -> Vec<Work> {
    vec![Work::new("c", false, 39, 6_100.0)]
}

/// Share of the errors above a bound.
fn share_above(errors: &[f64], bound: f64) -> f64 {
    errors.iter().filter(|e| e.abs() > bound).count() as f64 / errors.len().max(1) as f64
}

/// Observes one run of a step of its own whose estimate is right on a typical worker.
fn observe(f: &mut Forecast, step: u64, worker: &str, elapsed: u64, progress: f64, now: u64) {
    let obs = Observation {
        step,
        index: 0,
        kind: &Kind::default(),
        worker: &worker.into(),
        service: &"s".into(),
        estimate: Millis(4_000),
        elapsed: Millis(elapsed),
        progress,
    };
    f.observe(&obs, Millis(now));
    f.update(Millis(now));
}

/// Guards against a fit that needs whole runs although gang members report their own pace.
#[test]
fn gangs_show_speeds_within_two_reports() {
    for seed in 0..5 {
        let mut sim = Sim::new(two_classes(), gangs(), seed);
        sim.run(3_000);
        let errors = sim.errors(0.5);
        assert!(errors.len() >= 110, "seed {seed}: {} known", errors.len());
        let wrong = share_above(&errors, 0.2);
        assert!(
            wrong <= 0.03,
            "seed {seed}: {wrong} of the workers are off by more than 20%"
        );
    }
}

/// Guards against scatter within a step being taken for speed.
#[test]
fn other_subtasks_show_speeds_within_three_runs() {
    for seed in 0..5 {
        let mut work = others();
        work[0].median = 2_000.0;
        let mut sim = Sim::new(two_classes(), work, seed);
        sim.slots = 1;
        sim.load = 0.9;
        // Three runs on the slow workers, which take 3.4 s on average.
        sim.run(3 * 4_000);
        let errors = sim.errors(0.0);
        let wrong = share_above(&errors, 0.44);
        // Two deviations of three aged runs; the classes differ by 0.89.
        assert!(
            wrong <= 0.05,
            "seed {seed}: {wrong} of the workers are in the wrong class"
        );
        assert!(
            mean_abs(errors.clone()) < 0.17,
            "seed {seed}: {}",
            mean_abs(errors)
        );
    }
}

/// Guards against a method that only knows two classes.
#[test]
fn classes_and_continuous_speeds_are_learned() {
    let five = (0..120).map(|i| [0.6, 0.8, 1.0, 1.4, 2.0][i % 5]).collect();
    let any = (0..120)
        .map(|i| 0.5 * 4.0_f64.powf(f64::from(i * 37 % 120) / 120.0))
        .collect();
    for (name, factors) in [("five classes", five), ("continuous", any)] {
        let mut sim = Sim::new(factors, [gangs(), others()].concat(), 1);
        sim.run(20_000);
        let errors = sim.errors(0.5);
        assert_eq!(errors.len(), 120, "{name}");
        assert!(
            mean_abs(errors.clone()) < 0.04,
            "{name}: {}",
            mean_abs(errors)
        );
    }
}

/// Guards against noise being taken for speed where all workers are equal.
#[test]
fn equal_workers_stay_equal() {
    for (seed, work) in [
        (1, gangs()),
        (2, others()),
        (3, [gangs(), others()].concat()),
    ] {
        let mut sim = Sim::new(vec![1.0; 120], work, seed);
        for second in 1..=30 {
            sim.run(1_000);
            let wrong = share_above(&sim.errors(0.8), 0.1);
            assert!(wrong <= 0.0, "seed {seed}, second {second}: {wrong}");
        }
        assert!(
            sim.errors(0.8).len() > 100,
            "seed {seed}: too few are known"
        );
        assert!(
            sim.forecast.stored(Millis(sim.now)).workers.is_empty(),
            "seed {seed}"
        );
    }
}

/// Guards against old observations outvoting new ones.
#[test]
fn a_change_of_speed_is_noticed() {
    for seed in 0..5 {
        let mut sim = Sim::new(two_classes(), [gangs(), others()].concat(), seed);
        sim.run(20_000);
        for worker in [0, 1, 2, 3, 4, 5] {
            sim.factors[worker] = 2.4 - sim.factors[worker];
        }
        sim.run(10_000);
        let typical = sim.typical();
        for worker in [0, 1, 2, 3, 4, 5] {
            let factor = sim.forecast.slowness(&sim.names[worker]).factor;
            let off = (factor * typical / sim.factors[worker]).ln();
            assert!(off.abs() < 0.25, "seed {seed}, worker {worker}: {off}");
        }
    }
}

/// Guards against the drift to equal speeds when no gang has members of both classes.
#[test]
fn speeds_last_when_gangs_have_members_of_one_class() {
    let mut sim = Sim::new(two_classes(), [gangs(), others()].concat(), 1);
    sim.choice = Choice::Alike;
    sim.run(90_000);
    let errors = sim.errors(0.5);
    assert!(share_above(&errors, 0.3) <= 0.02, "{}", mean_abs(errors));
    assert!(mean_abs(errors.clone()) < 0.1, "{}", mean_abs(errors));
}

/// Guards against a run that stands still making its worker look slow.
#[test]
fn standstill_is_not_slowness() {
    let mut f = Forecast::default();
    for worker in ["a", "b", "c"] {
        observe(
            &mut f,
            u64::from(worker.as_bytes()[0]),
            worker,
            2_000,
            0.5,
            2_000,
        );
    }
    let before = f.slowness("a");
    for t in 3..20 {
        observe(&mut f, u64::from(b'a'), "a", t * 1_000, 0.5, t * 1_000);
    }
    observe(&mut f, u64::from(b'a'), "a", 21_000, 0.75, 21_000);
    let after = f.slowness("a");
    assert!(
        (after.factor / before.factor).ln().abs() < 0.05,
        "{before:?}, {after:?}"
    );
}

/// Guards against a member that has ended and waits for the others being taken for slow.
#[test]
fn a_gang_member_that_waits_is_not_slow() {
    let kind = Kind {
        gang: true,
        ..Kind::default()
    };
    let mut f = Forecast::default();
    for t in 1..=8_u64 {
        // Members of 2 s, 2 s and 8 s; the last one is first seen when it has ended.
        for (index, worker, time) in [
            (0, "a", 2.0),
            (1, "b", 8.0),
            (2, "c", 8.0),
            (3, "late", 2.0),
        ] {
            let obs = Observation {
                step: 1,
                index,
                kind: &kind,
                worker: &worker.into(),
                service: &"s".into(),
                estimate: Millis(4_000),
                elapsed: Millis(t * 1_000),
                progress: (t as f64 / time).min(1.0),
            };
            if worker != "late" || t > 5 {
                f.observe(&obs, Millis(t * 1_000));
            }
        }
        f.update(Millis(t * 1_000));
    }
    let [a, b, late] = ["a", "b", "late"].map(|w| f.slowness(w).factor);
    // Four times as fast, drawn together by the prior; with the wait it would be no difference.
    assert!(b / a > 2.5, "{a}, {b}");
    assert!(late <= b, "{late}, {b}");
}

/// Guards against the pace before a change of speed hiding the one after it until the run ends.
#[test]
fn a_change_during_a_run_shows_in_the_run() {
    let kind = Kind {
        gang: true,
        ..Kind::default()
    };
    let mut f = Forecast::default();
    for t in 2..=8_u64 {
        for index in 0..8 {
            // From 2 s on, the first worker takes twice as long.
            let pace = if index == 0 { 0.05 } else { 0.1 };
            let obs = Observation {
                step: 1,
                index,
                kind: &kind,
                worker: &format!("w{index}").into(),
                service: &"s".into(),
                estimate: Millis(10_000),
                elapsed: Millis(t * 1_000),
                progress: 0.2 + (t - 2) as f64 * pace,
            };
            f.observe(&obs, Millis(t * 1_000));
        }
        f.update(Millis(t * 1_000));
    }
    let [changed, same] = ["w0", "w1"].map(|w| f.slowness(w).factor);
    // The pace over the whole run differs by 1.6 only.
    assert!(changed / same > 1.7, "{changed}, {same}");
}

/// Guards against speeds that only show by comparison within a step.
#[test]
fn steps_of_one_subtask_show_speeds() {
    let mut sim = Sim::new(two_classes(), vec![Work::new("a", false, 1, 4_000.0)], 1);
    sim.run(40_000);
    let errors = sim.errors(0.0);
    assert_eq!(errors.len(), 120);
    assert!(share_above(&errors, 0.44) <= 0.03, "{}", mean_abs(errors));
}

/// Guards against one run that was held up deciding about its worker.
#[test]
fn one_outlier_has_little_effect() {
    let mut f = Forecast::default();
    for round in 0..6 {
        for (i, worker) in ["a", "b", "c", "d"].iter().enumerate() {
            let held_up = round == 5 && i == 0;
            let elapsed = if held_up { 12_000 } else { 4_000 };
            observe(
                &mut f,
                round * 4 + i as u64,
                worker,
                elapsed,
                1.0,
                (round + 1) * 4_000,
            );
        }
    }
    let s = f.slowness("a");
    assert!(s.factor.ln() < 0.15, "{s:?}");
}

/// Guards against certainty from a single run.
#[test]
fn little_is_known_from_one_run() {
    let mut f = Forecast::default();
    observe(&mut f, 1, "a", 3_000, 0.3, 3_000);
    assert!(f.slowness("a").confidence < 0.6, "{:?}", f.slowness("a"));
    assert_eq!(f.slowness("b"), Slowness::UNKNOWN);
    observe(&mut f, 2, "c", 300, 0.05, 4_000);
    assert_eq!(f.slowness("c"), Slowness::UNKNOWN, "5% is too coarse");
}

/// Guards against speeds fading while there is no work.
#[test]
fn idle_time_does_not_age() {
    let mut sim = Sim::new(two_classes(), gangs(), 1);
    sim.run(10_000);
    sim.forecast.update(Millis(sim.now + 1_000));
    let before = sim.forecast.slowest(40);
    sim.forecast.update(Millis(sim.now + 3_600_000));
    assert_eq!(sim.forecast.slowest(40), before);
    assert!(before.iter().all(|(_, s)| s.factor > 2.0), "{before:?}");
}

/// Guards against a new incarnation starting unknown, and against a worker that is gone coming back.
#[test]
fn a_restart_keeps_the_speed_and_forgetting_drops_it() {
    let mut sim = Sim::new(two_classes(), gangs(), 1);
    sim.run(10_000);
    let (name, before) = sim.forecast.slowest(1).remove(0);
    sim.forecast.worker_restarted(&name);
    let after = sim.forecast.slowness(&name);
    assert!(
        after.factor > 1.5 && after.confidence < before.confidence,
        "{before:?}, {after:?}"
    );
    sim.forecast.forget_worker(&name);
    assert_eq!(sim.forecast.slowness(&name), Slowness::UNKNOWN);
}

/// Guards against memory that grows with workers, kinds and steps.
#[test]
fn the_state_is_bounded() {
    let mut f = Forecast::default();
    for i in 0..6_000_u64 {
        let kind = Kind {
            queue: Some(format!("q{}", i % 200).into()),
            ..Kind::default()
        };
        let worker: Name = format!("w{i}").into();
        let obs = Observation {
            step: i,
            index: 0,
            kind: &kind,
            worker: &worker,
            service: &format!("s{}", i % 100).into(),
            estimate: Millis(1_000),
            elapsed: Millis(1_000),
            progress: 0.5,
        };
        f.observe(&obs, Millis(i));
    }
    f.update(Millis(6_000));
    assert!(f.slowest(usize::MAX).len() <= 2_048);
    let stored = f.stored(Millis(6_000));
    assert!(stored.kinds.len() <= 64 && stored.services.len() <= 64);
}

quickcheck! {
    /// Guards against panics and numbers that are not finite on reports of any content.
    fn any_observations_are_safe(reports: Vec<(u8, u8, u8, u16, f64, bool)>) -> bool {
        let mut f = Forecast::default();
        for (i, (step, index, worker, elapsed, progress, gang)) in reports.iter().enumerate() {
            let kind = Kind { gang: *gang, ..Kind::default() };
            let name: Name = format!("w{}", worker % 8).into();
            let now = Millis(i as u64 * 100);
            let obs = Observation {
                step: u64::from(step % 16),
                index: usize::from(index % 4),
                kind: &kind,
                worker: &name,
                service: &format!("s{}", worker % 2).into(),
                estimate: Millis(u64::from(*elapsed) % 7 * 1_000),
                elapsed: Millis(u64::from(*elapsed)),
                progress: if i % 3 == 0 { *progress } else { f64::from(*index) / 255.0 },
            };
            f.observe(&obs, now);
            f.update(now);
            match worker % 64 {
                0 => f.forget_worker(&name),
                1 => f.worker_restarted(&name),
                2 => f = Forecast::restore(&f.stored(now), now),
                _ => {}
            }
        }
        let run_time = f.run_time(&Kind::default(), Millis(1_000));
        let speeds = f.slowest(usize::MAX);
        run_time.likely >= run_time.median
            && speeds.iter().all(|(_, s)| s.factor > 0.0 && s.factor.is_finite())
            && speeds.iter().all(|(_, s)| (0.0..=1.0).contains(&s.confidence))
    }
}
