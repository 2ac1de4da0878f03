//! Limits of calls to a store that is fast, slow, slower, or silent.

use base::clock::Millis;
use store::latency::{Latency, LatencyCfg};

const CFG: LatencyCfg = LatencyCfg {
    min_ms: Millis(50),
    max_ms: Millis(3_000),
};

fn after(samples: &[(u64, usize)]) -> Latency {
    let mut latency = Latency::new(CFG);
    for (ms, count) in samples {
        for _ in 0..*count {
            latency.record(Millis(*ms));
        }
    }
    latency
}

/// Guards against a limit so long that a lost answer blocks everything behind it.
#[test]
fn a_fast_store_has_the_shortest_limit() {
    assert_eq!(after(&[(8, 20)]).limit(), CFG.min_ms);
}

/// Guards against calls to a slow store that are repeated just before they are answered.
#[test]
fn the_limit_follows_a_store_that_becomes_slow_and_recovers() {
    let slow = after(&[(8, 50), (700, 1)]);
    assert!(slow.limit() > Millis(700), "{}", slow.limit());
    let slow = after(&[(8, 50), (700, 30)]);
    let limit = slow.limit();
    assert!(limit > Millis(700) && limit < Millis(1_500), "{limit}");
    let recovered = after(&[(8, 50), (700, 30), (8, 60)]);
    assert!(recovered.limit() < Millis(100), "{}", recovered.limit());
}

/// Guards against calls that never reach their answer because each is given up at the limit of
/// before: without an answer there is no new sample.
#[test]
fn the_limit_doubles_while_nothing_is_answered() {
    let mut silent = after(&[(8, 50)]);
    let mut limits = Vec::new();
    for _ in 0..10 {
        limits.push(silent.limit().0);
        silent.record_timeout();
    }
    assert_eq!(limits[..4], [50, 100, 200, 400]);
    assert_eq!(silent.limit(), CFG.max_ms);
    silent.record(Millis(8));
    assert_eq!(silent.limit(), CFG.min_ms);
}
