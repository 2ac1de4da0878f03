//! What a leader passes on to the next one.

use base::clock::Millis;
use forecast::{predictor::Forecast, stored::Stored};
use sim::{Sim, Work, mean_abs};

#[path = "../examples/sim/mod.rs"]
mod sim;

fn learned() -> Sim {
    let factors = (0..120)
        .map(|i| if i % 3 == 0 { 1.7 } else { 0.7 })
        .collect();
    let work = vec![
        Work::new("a", true, 5, 2_500.0),
        Work::new("c", false, 39, 6_100.0),
    ];
    let mut sim = Sim::new(factors, work, 1);
    sim.run(20_000);
    sim
}

/// Guards against a stored form that is too large for its row or loses what matters.
#[test]
fn the_stored_form_is_small_and_keeps_factors_and_corrections() {
    let sim = learned();
    let stored = sim.forecast.stored(Millis(sim.now));
    let listed = stored.workers.len();
    let slow = stored.workers.iter().filter(|w| w.1 > 60).count();
    assert_eq!(
        slow, 40,
        "the slow workers differ by 0.89 from the typical one"
    );
    assert!(listed <= 44, "{listed}");
    let workers = serde_json::to_string(&stored.workers).unwrap();
    assert!(workers.len() < 25 * listed, "{}", workers.len());
    let json = serde_json::to_string(&stored).unwrap();
    let restored = Forecast::restore(&serde_json::from_str(&json).unwrap(), Millis(5));
    for (name, before) in sim.forecast.slowest(40) {
        let after = restored.slowness(&name);
        assert!(
            (after.factor / before.factor).ln().abs() < 0.1,
            "{before:?}, {after:?}"
        );
        assert!(
            after.confidence < before.confidence,
            "{before:?}, {after:?}"
        );
    }
    let kind = &sim.work[0].kind;
    let (before, after) = [&sim.forecast, &restored]
        .map(|f| f.run_time(kind, Millis(4_000)))
        .into();
    let off = (after.median.0 as f64 / before.median.0 as f64).ln();
    assert!(
        off.abs() < 0.15 && after.confidence < before.confidence,
        "{before:?}, {after:?}"
    );
}

/// Guards against the median of the few stored workers becoming the typical worker.
#[test]
fn slow_workers_stay_slow_after_a_change_of_leader() {
    let mut sim = learned();
    sim.forecast = Forecast::restore(&sim.forecast.stored(Millis(sim.now)), Millis(sim.now));
    for _ in 0..20 {
        sim.run(250);
        let slow = sim.forecast.slowness(&sim.names[0]);
        assert!(slow.factor > 1.9, "{slow:?} at {}", sim.now);
        let wrong = sim.errors(0.6).iter().filter(|e| e.abs() > 0.5).count();
        assert!(wrong <= 2, "{wrong} workers at {}", sim.now);
    }
    let errors = sim.errors(0.5);
    assert!(mean_abs(errors.clone()) < 0.08, "{}", mean_abs(errors));
}

/// Guards against a leader that can't start because the row is of another version or was changed.
#[test]
fn other_contents_are_harmless() {
    assert_eq!(
        serde_json::from_str::<Stored>("{}").unwrap(),
        Stored::default()
    );
    for row in [
        r#"{"w":[["a",32767,0]],"k":[{"r":[-1,0,0,0,0,0,0,0,0]},{"r":[1e30,0,0,0,0,0,0,0,0]}]}"#,
        r#"{"x":1,"s":[["batch",4294967295]],"k":[{"r":[1,1e5,1e5,0,1e5,0,0,0,0]}]}"#,
    ] {
        let stored = serde_json::from_str(row).unwrap();
        let mut sim = learned();
        sim.forecast = Forecast::restore(&stored, Millis(sim.now));
        sim.run(2_000);
        assert!(
            sim.forecast
                .slowest(200)
                .iter()
                .all(|(_, s)| s.factor.is_finite())
        );
    }
}
