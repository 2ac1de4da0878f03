//! Which workers are slow for urgent work, and which workers a unit uses first.

use base::clock::Millis;
use batch::speed_class::{Preference, SpeedClass, Speeds, Work};
use forecast::predictor::Slowness;

fn known(factors: &[f64]) -> Vec<Slowness> {
    let known = |factor: &f64| Slowness {
        factor: *factor,
        confidence: 0.8,
    };
    factors.iter().map(known).collect()
}

/// Guards against classes that split equal workers, or that name all workers slow.
#[test]
fn classes_need_a_clear_difference() {
    let equal = known(&[0.93, 0.97, 1.0, 1.03, 1.08]);
    for limit in [0.5, 0.95, 1.0, 1.05, 2.0] {
        assert_eq!(Speeds::of(&equal, limit), None, "{limit}");
    }
    // Most workers are slow.
    let mostly = known(&[0.4, 0.4, 1.0, 1.0, 1.0, 1.0]);
    let speeds = Speeds::of(&mostly, 0.9).expect("two classes");
    assert_eq!(speeds.class(mostly[0]), SpeedClass::Other);
    assert_eq!(speeds.class(mostly[5]), SpeedClass::Slow);
    // Nothing but slow workers is known, and the others are unknown.
    let mut some = known(&[2.4, 2.4]);
    assert_eq!(Speeds::of(&some, 2.0), None);
    some.push(Slowness::UNKNOWN);
    let speeds = Speeds::of(&some, 2.0).expect("two classes");
    assert_eq!(speeds.class(some[2]), SpeedClass::Unknown);
}

/// Factors become exact only after several runs. Guards against slow workers that count as others until
/// then, because the limit is near the factor of slow workers.
#[test]
fn two_groups_are_told_apart_by_the_gap_between_them() {
    let two = known(&[0.8, 0.9, 1.0, 1.0, 1.0, 1.8, 2.0, 2.3, 2.4]);
    let speeds = Speeds::of(&two, 2.14).expect("two classes");
    let slow = two.iter().filter(|w| speeds.class(**w) == SpeedClass::Slow);
    assert_eq!(slow.count(), 4);
    // Without a gap the limit alone counts.
    let all: Vec<f64> = (0..20).map(|i| 0.6 + 0.1 * f64::from(i)).collect();
    let all = known(&all);
    let speeds = Speeds::of(&all, 2.14).expect("two classes");
    let slow = all.iter().filter(|w| speeds.class(**w) == SpeedClass::Slow);
    assert_eq!(slow.count(), 4);
}

/// Guards against a class of a few workers that are above the limit by chance.
#[test]
fn single_workers_count_as_slow_only_for_certain() {
    let mut all = known(&[1.0; 100]);
    // The confidence of 0.8 is a standard deviation of 10%.
    all.extend(known(&[1.6]));
    assert_eq!(Speeds::of(&all, 1.5), None);
    all.extend(known(&[1.6, 1.6]));
    assert!(Speeds::of(&all, 1.5).is_some());
    all.truncate(100);
    all.extend(known(&[1.7]));
    assert!(Speeds::of(&all, 1.5).is_some());
}

/// Guards against work that takes the workers that others need more.
#[test]
fn the_preference_follows_from_the_ends_on_each_class() {
    let speeds = Speeds::of(&known(&[1.0, 1.0, 2.4]), 2.0).expect("two classes");
    let work = |is_urgent, due_in, useful_for| {
        speeds.preference(&Work {
            is_urgent,
            median: Millis(1_000),
            likely: Millis(1_300),
            rest: Millis(500),
            due_in: Millis(due_in),
            useful_for: Millis(useful_for),
        })
    };
    let avoids = |p: Preference| matches!(p, Preference::AvoidSlow { .. });
    // On slow workers it ends after 2.9 s if only the rest is fast, or 4.32 s at the likely run time if
    // the rest is slow too. On the others it ends after 1.5 s.
    assert!(!avoids(work(false, 3_000, 9_000)));
    assert!(avoids(work(true, 3_000, 9_000)));
    assert!(avoids(work(true, 4_200, 9_000)));
    assert!(!avoids(work(true, 4_400, 9_000)));
    assert!(avoids(work(false, 2_000, 9_000)));
    // It is late everywhere.
    assert!(avoids(work(true, 1_000, 9_000)));
    assert!(!avoids(work(false, 1_000, 9_000)));
    // It is of value only on the others, or nowhere.
    assert!(avoids(work(false, 0, 2_000)));
    assert!(!avoids(work(true, 0, 0)));
}
