//! Tests of the choice of backend servers, partly with random sequences of events.

use base::clock::Millis;
use quickcheck::{Gen, QuickCheck};
use route::{
    health_cfg::HealthCfg,
    limits::{Limits, Policy},
    limits_cfg::LimitsCfg,
    outcome::{Load, Outcome, ServerId},
};

const POLICIES: [Policy; 4] = [
    Policy::StaticDivision,
    Policy::TwoChoices,
    Policy::ReportedLoad,
    Policy::Exchange,
];
const OUTCOMES: [Outcome; 4] = [
    Outcome::Answered,
    Outcome::ServerError,
    Outcome::Broken,
    Outcome::Cancelled,
];

fn id(i: usize) -> ServerId {
    format!("s{i}").parse().unwrap()
}

fn limits(policy: Policy, servers: usize, eject_after: u32) -> Limits {
    let cfg = LimitsCfg {
        policy,
        health: HealthCfg {
            eject_after,
            ..HealthCfg::default()
        },
        ..LimitsCfg::default()
    };
    let mut limits = Limits::new(cfg, 1, 7);
    (0..servers).for_each(|i| limits.add_server(id(i)));
    limits
}

fn check(property: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(100, 11);
    QuickCheck::new().rng(rng).tests(200).quickcheck(property);
}

/// Expected state of one server.
#[derive(Clone, Default)]
struct ServerModel {
    leaving: bool,
    in_flight: u16,
    failures: u32,
    ejected_until: Option<Millis>,
}

/// Guards against selecting a server over its connection cap, or one that is leaving, excluded or
/// ejected.
#[test]
fn picks_only_available_servers() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let policy = POLICIES[rng.usize(..4)];
        let health = HealthCfg::default();
        let mut limits = limits(policy, 6, health.eject_after);
        let mut models = vec![ServerModel::default(); 6];
        let mut now = Millis(0);
        for _ in 0..400 {
            now += Millis(rng.u64(..30));
            let i = rng.usize(..6);
            let model = &mut models[i];
            match rng.u8(..10) {
                0 => {
                    limits.set_leaving(&id(i));
                    model.leaving = true;
                }
                1 => {
                    limits.add_server(id(i));
                    model.leaving = false;
                }
                2..=5 if model.in_flight > 0 => {
                    let outcome = OUTCOMES[rng.usize(..4)];
                    let used = rng.u16(..9);
                    let load = Some(Load { used, slots: 8 });
                    limits.finished(now, &id(i), outcome, Millis(5), load);
                    model.in_flight -= 1;
                    if outcome == Outcome::Answered {
                        model.failures = 0;
                        model.ejected_until = None;
                    } else if outcome.is_failure() {
                        model.failures += 1;
                        if model.failures >= health.eject_after && model.ejected_until.is_none() {
                            model.ejected_until = Some(now + health.probe_first_ms);
                        }
                    }
                }
                _ => {
                    let exclude = [id(rng.usize(..6))];
                    let Some(picked) = limits.pick(now, &exclude) else {
                        continue;
                    };
                    let model = &mut models[picked.as_str()[1..].parse::<usize>().unwrap()];
                    let ejected = model.ejected_until.is_some_and(|until| now < until);
                    if picked == exclude[0] || model.leaving || ejected || model.in_flight >= 6 {
                        return false;
                    }
                    limits.started(now, &picked);
                    model.in_flight += 1;
                }
            }
        }
        (0..6).all(|i| limits.in_flight(&id(i)) == models[i].in_flight)
    }
    check(property);
}

/// Guards against overload under static division: all entries together use each slot once.
#[test]
fn static_division_gives_each_slot_to_one_entry() {
    let mut total = 0;
    for me in 1..=9 {
        let cfg = LimitsCfg {
            policy: Policy::StaticDivision,
            ..LimitsCfg::default()
        };
        let mut limits = Limits::new(cfg, me, me);
        (0..50).for_each(|i| limits.add_server(id(i)));
        limits.set_members((1..=9).collect());
        while let Some(picked) = limits.pick(Millis(0), &[]) {
            limits.started(Millis(0), &picked);
            total += 1;
        }
    }
    assert_eq!(total, 400);
}

/// Guards against a server that attracts traffic because it fails immediately, with ejection and
/// without it, when only the score counts.
#[test]
fn fast_failing_server_gets_little_traffic() {
    let ejection = [HealthCfg::default().eject_after, u32::MAX];
    for (policy, eject_after) in POLICIES.iter().flat_map(|p| ejection.map(|e| (*p, e))) {
        let mut limits = limits(policy, 10, eject_after);
        let mut failed = 0;
        for i in 0..5_000 {
            let now = Millis(i * 10);
            let picked = limits.pick(now, &[]).unwrap();
            limits.started(now, &picked);
            if picked == id(0) {
                failed += 1;
                limits.finished(now, &picked, Outcome::ServerError, Millis(0), None);
            } else {
                let end = now + Millis(5);
                limits.finished(end, &picked, Outcome::Answered, Millis(5), None);
            }
        }
        assert!(failed < 50, "{policy}: {failed} of 5000 requests");
    }
}

/// Guards against a recovered server that stays ejected, and against concurrent probes.
#[test]
fn ejected_server_is_probed_one_at_a_time_and_readmitted() {
    let mut limits = limits(Policy::TwoChoices, 1, HealthCfg::default().eject_after);
    let cfg = HealthCfg::default();
    for _ in 0..cfg.eject_after {
        limits.started(Millis(0), &id(0));
        limits.finished(Millis(0), &id(0), Outcome::ServerError, Millis(0), None);
    }
    assert_eq!(limits.pick(Millis(0), &[]), None);
    let due = cfg.probe_first_ms;
    assert_eq!(limits.pick(due, &[]), Some(id(0)));
    limits.started(due, &id(0));
    assert_eq!(limits.pick(due, &[]), None, "a second concurrent probe");
    limits.finished(due, &id(0), Outcome::ServerError, Millis(0), None);
    assert_eq!(limits.pick(due + due, &[]), None, "no backoff");
    let later = due + due + due;
    assert_eq!(limits.pick(later, &[]), Some(id(0)));
    limits.started(later, &id(0));
    limits.finished(later, &id(0), Outcome::Answered, Millis(5), None);
    assert_eq!(limits.pick(later, &[]), Some(id(0)));
    assert!(limits.has_available(later));
}

/// Guards against wrong counts of a server that is removed and added again with requests in flight.
#[test]
fn removed_server_keeps_its_requests_in_flight() {
    let mut limits = limits(Policy::TwoChoices, 1, HealthCfg::default().eject_after);
    limits.started(Millis(0), &id(0));
    limits.remove_server(&id(0));
    assert_eq!(limits.pick(Millis(0), &[]), None);
    assert_eq!(limits.in_flight(&id(0)), 1);
    limits.add_server(id(0));
    assert_eq!(limits.in_flight(&id(0)), 1);
    limits.remove_server(&id(0));
    limits.finished(Millis(9), &id(0), Outcome::Answered, Millis(9), None);
    assert_eq!(limits.in_flight(&id(0)), 0);
    assert!(limits.counts().is_empty());
}
