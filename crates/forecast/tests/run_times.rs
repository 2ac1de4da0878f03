//! Corrected run times.

use base::clock::Millis;
use forecast::{
    observation::{Kind, Observation},
    predictor::Forecast,
};
use sim::{Sim, Work};

#[path = "../examples/sim/mod.rs"]
mod sim;

fn two_classes() -> Vec<f64> {
    (0..120)
        .map(|i| if i % 3 == 0 { 1.7 } else { 0.7 })
        .collect()
}

/// Observes the members of a step, half done, on workers of their own.
fn observe(f: &mut Forecast, kind: &Kind, step: u64, members: usize, estimate: u64, time: u64) {
    for index in 0..members {
        let obs = Observation {
            step,
            index,
            kind,
            worker: &format!("w{}", (step as usize * 3 + index) % 100).into(),
            service: &"s".into(),
            estimate: Millis(estimate),
            elapsed: Millis(time / 2),
            progress: 0.5,
        };
        f.observe(&obs, Millis(step * 1_000));
    }
    f.update(Millis(step * 1_000));
}

/// Guards against a correction by a factor where estimates are noise, and against an interval that
/// is too narrow or too wide for admission and placement.
#[test]
fn noisy_estimates_are_corrected_and_quantiles_hold() {
    let mut work = vec![
        Work::new("a", true, 5, 2_500.0),
        Work::new("b", true, 13, 8_500.0),
        Work::new("c", false, 39, 6_100.0),
    ];
    work[1].error = 0.18;
    let (mut predictions, mut errors) = (0.0, [[0.0; 3]; 3]);
    for seed in 0..4 {
        let mut sim = Sim::new(two_classes(), work.clone(), seed);
        sim.run(25_000);
        sim.predictions.clear();
        sim.run(60_000);
        predictions += 0.25;
        for (kind, sums) in errors.iter_mut().enumerate() {
            let (median, estimate, within) = sim.run_times(kind);
            sums[0] += median;
            sums[1] += estimate;
            sums[2] += within;
        }
    }
    for (kind, sums) in errors.iter().enumerate() {
        let [median, estimate, within] = sums.map(|s| s / (4.0 * predictions));
        if kind == 1 {
            assert!(
                median < 1.2 * estimate,
                "good estimates get worse: {median}, {estimate}"
            );
        } else {
            assert!(
                median < 0.65 * estimate,
                "kind {kind}: {median}, {estimate}"
            );
        }
        assert!(
            (0.77..=0.95).contains(&within),
            "kind {kind}: {within} within likely"
        );
    }
}

/// Guards against a prior that is too strong or too weak: 5 observations move half of the way.
#[test]
fn the_prior_is_worth_five_observations() {
    let kind = Kind::default();
    let mut f = Forecast::default();
    assert_eq!(f.run_time(&kind, Millis(1_000)).median, Millis(1_000));
    assert!(f.run_time(&kind, Millis(1_000)).confidence <= 0.0);
    for step in 0..40 {
        observe(&mut f, &kind, step, 12, 1_000, 3_000);
        if step == 4 {
            let s = f.run_time(&kind, Millis(1_000));
            assert!(
                (1_600..2_000).contains(&s.median.0),
                "3,000 ms times 5 of 10: {s:?}"
            );
        }
    }
    let s = f.run_time(&kind, Millis(1_000));
    assert!(
        (2_500..=3_000).contains(&s.median.0) && s.confidence > 0.8,
        "{s:?}"
    );
}

/// Guards against a wide step outweighing many narrow ones.
#[test]
fn a_step_is_one_observation() {
    let kind = Kind {
        gang: true,
        ..Kind::default()
    };
    let (mut wide, mut narrow) = (Forecast::default(), Forecast::default());
    observe(&mut wide, &kind, 1, 64, 1_000, 3_000);
    observe(&mut narrow, &kind, 1, 4, 1_000, 3_000);
    let (wide, narrow) = (
        wide.run_time(&kind, Millis(1_000)),
        narrow.run_time(&kind, Millis(1_000)),
    );
    assert!(wide.confidence <= 1.0 / 6.0 + 1e-9, "{wide:?}");
    assert!(
        (wide.confidence - narrow.confidence).abs() < 0.05,
        "{wide:?}, {narrow:?}"
    );
}

/// Guards against run times of slow workers being taken for run times of the work.
#[test]
fn run_times_are_those_of_a_typical_worker() {
    let mut work = Work::new("a", true, 5, 3_000.0);
    (work.spread, work.error) = (0.0, 0.0);
    let kind = work.kind.clone();
    let mut sim = Sim::new(two_classes(), vec![work], 1);
    sim.run(30_000);
    let s = sim.forecast.run_time(&kind, Millis(3_000));
    assert!((s.median.0 as f64 / 2_100.0).ln().abs() < 0.1, "{s:?}");
}

/// Guards against one kind's errors being applied to another.
#[test]
fn kinds_are_apart() {
    let gang = Kind {
        gang: true,
        ..Kind::default()
    };
    let mut f = Forecast::default();
    for step in 0..20 {
        observe(&mut f, &gang, step, 5, 1_000, 4_000);
    }
    assert_eq!(
        f.run_time(&Kind::default(), Millis(1_000)).median,
        Millis(1_000)
    );
}

/// Guards against each new image starting from submitted estimates that its queue gets wrong.
#[test]
fn a_new_image_starts_from_its_queue() {
    let image = |queue: &str, image: &str| Kind {
        queue: Some(queue.into()),
        image: Some(image.into()),
        gang: false,
    };
    let mut f = Forecast::default();
    for step in 0..40 {
        let kind = image("q", ["a", "b"][step as usize % 2]);
        observe(&mut f, &kind, step, 12, 1_000, 3_000);
    }
    let new = f.run_time(&image("q", "c"), Millis(1_000));
    assert!((2_000..3_000).contains(&new.median.0), "{new:?}");
    assert!((0.3..=0.5).contains(&new.confidence), "{new:?}");
    let other = f.run_time(&image("r", "c"), Millis(1_000));
    assert_eq!(other.median, Millis(1_000), "another queue");
    // The image turns out to take as long as estimated.
    for step in 40..100 {
        observe(&mut f, &image("q", "c"), step, 12, 1_000, 1_000);
    }
    let [c, a] = ["c", "a"].map(|i| f.run_time(&image("q", i), Millis(1_000)).median.0);
    assert!((900..1_300).contains(&c) && a > 1_900, "{c}, {a}");
}
