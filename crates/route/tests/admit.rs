//! Fairness, bounds and early refusal of admission, and the retry budget.

use base::clock::Millis;
use quickcheck::{Gen, QuickCheck};
use route::{
    admit::{Admit, Refused, Waiting},
    admit_cfg::AdmitCfg,
    outcome::Outcome,
    retry::{Attempt, Budget, Verdict},
    retry_cfg::RetryCfg,
};
use schema::service::Class;

const FAR: Millis = Millis(1_000_000);

fn waiting(id: u64, organisation: &str, class: Class, cost: u32) -> Waiting {
    Waiting {
        id,
        organisation: organisation.parse().unwrap(),
        class,
        deadline: FAR,
        cost,
    }
}

fn check(property: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(100, 13);
    QuickCheck::new().rng(rng).tests(200).quickcheck(property);
}

/// Guards against an organisation that gets more slot time than its share: while two have
/// requests waiting, what they dispatched differs by at most the highest cost.
#[test]
fn deficit_round_robin_is_fair() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut admit = Admit::new(AdmitCfg::default());
        let most = rng.u32(1..500);
        for id in 0..400 {
            let organisation = ["a", "b"][rng.usize(..2)];
            let cost = rng.u32(1..=most);
            let _ = admit.push(Millis(0), waiting(id, organisation, Class::Live, cost));
        }
        let (mut a, mut b) = (0_i64, 0_i64);
        for _ in 0..150 {
            let next = admit.pop(Millis(0)).unwrap();
            let sum = if next.organisation.as_str() == "a" {
                &mut a
            } else {
                &mut b
            };
            *sum += i64::from(next.cost);
            if (a - b).abs() > i64::from(most) {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against starvation of deferrable work, and against live work behind it.
#[test]
fn deferrable_work_gets_one_of_eight_dispatches() {
    let mut admit = Admit::new(AdmitCfg::default());
    for id in 0..200 {
        admit
            .push(Millis(0), waiting(id, "a", Class::Live, 1))
            .unwrap();
        admit
            .push(Millis(0), waiting(1_000 + id, "a", Class::Deferrable, 1))
            .unwrap();
    }
    let classes: Vec<Class> = (0..80)
        .map(|_| admit.pop(Millis(0)).unwrap().class)
        .collect();
    for eight in classes.chunks(8) {
        let deferrable = eight.iter().filter(|c| **c == Class::Deferrable).count();
        assert_eq!(deferrable, 1, "{eight:?}");
    }
}

/// Guards against unbounded queues, lost entries, and dispatch of cancelled or expired ones.
#[test]
fn every_request_leaves_the_queue_once() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let cfg = AdmitCfg {
            queue_per_organisation: 10,
            queue_total: 25,
            ..AdmitCfg::default()
        };
        let mut admit = Admit::new(cfg);
        let (mut open, mut now) = (Vec::new(), Millis(0));
        for id in 0..500 {
            now += Millis(rng.u64(..5));
            match rng.u8(..6) {
                0..=2 => {
                    let class = [Class::Live, Class::Deferrable][rng.usize(..2)];
                    let organisation = ["a", "b", "c"][rng.usize(..3)];
                    let deadline = now + Millis(rng.u64(1..100));
                    let new = Waiting {
                        deadline,
                        ..waiting(id, organisation, class, rng.u32(..9))
                    };
                    if admit.push(now, new).is_ok() {
                        open.push(id);
                    }
                }
                3 => {
                    let Some(next) = admit.pop(now) else {
                        continue;
                    };
                    if next.deadline <= now || !open.contains(&next.id) {
                        return false;
                    }
                    open.retain(|id| *id != next.id);
                    admit.finished(Some(Millis(rng.u64(1..20))));
                }
                4 if !open.is_empty() => {
                    let id = open.swap_remove(rng.usize(..open.len()));
                    let waits = admit.cancel(id);
                    // A request that was skipped as too late is no longer waiting.
                    let expired = admit.expired(now);
                    open.retain(|id| !expired.iter().any(|w| w.id == *id));
                    if !waits && !expired.iter().any(|w| w.id == id) {
                        return false;
                    }
                }
                _ => {
                    let expired = admit.expired(now);
                    open.retain(|id| !expired.iter().any(|w| w.id == *id));
                }
            }
            if admit.len() > 25 {
                return false;
            }
        }
        while let Some(next) = admit.pop(now) {
            open.retain(|id| *id != next.id);
        }
        let expired = admit.expired(FAR);
        open.retain(|id| !expired.iter().any(|w| w.id == *id));
        open.is_empty()
    }
    check(property);
}

/// Guards against requests that wait only to miss their deadline, and against an estimate that
/// refuses everything for good after a time of slow answers.
#[test]
fn late_requests_are_refused_until_the_estimate_recovers() {
    let mut admit = Admit::new(AdmitCfg::default());
    let soon = |id| Waiting {
        deadline: Millis(1_000),
        ..waiting(id, "a", Class::Live, 1)
    };
    for id in 0..2 {
        admit.push(Millis(0), soon(id)).unwrap();
        admit.pop(Millis(0)).unwrap();
    }
    admit.finished(Some(Millis(5_000)));
    let refused = admit.push(Millis(0), soon(2));
    assert!(matches!(refused, Err(Refused::Deadline { .. })));
    admit.finished(None);
    admit.push(Millis(0), soon(3)).unwrap();
    assert_eq!(admit.pop(Millis(0)).unwrap().id, 3);
}

/// Guards against retry storms: in each window the retries stay within the budget.
#[test]
fn retry_budget_is_never_exceeded() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = Budget::new(RetryCfg::default());
        let (mut requests, mut retries, mut now) = (Vec::new(), Vec::new(), Millis(0));
        for _ in 0..1_500 {
            now += Millis(rng.u64(..40));
            if rng.bool() {
                budget.request(now);
                requests.push(now);
                continue;
            }
            let attempt = Attempt {
                repeatable: true,
                outcome: Outcome::Broken,
                deadline: FAR,
                expected: Millis(1),
            };
            if budget.decide(now, attempt) != Verdict::Retry {
                continue;
            }
            retries.push(now);
            let since = |age: u64| move |t: &&Millis| now.since(**t) < Millis(age);
            // Parts of 1 s leave the window together, so its length is 9 to 10 s.
            let allowed = requests.iter().filter(since(10_000)).count() / 10;
            if retries.iter().filter(since(9_000)).count() > allowed.max(3) {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against a repeat of work that may have run, and against retries past the deadline.
#[test]
fn only_safe_attempts_are_retried() {
    let verdict = |repeatable, outcome, deadline| {
        let expected = Millis(50);
        let attempt = Attempt {
            repeatable,
            outcome,
            deadline: Millis(deadline),
            expected,
        };
        Budget::new(RetryCfg::default()).decide(Millis(0), attempt)
    };
    assert_eq!(verdict(false, Outcome::Broken, 900), Verdict::NotRepeatable);
    assert_eq!(verdict(false, Outcome::ServerError, 900), Verdict::Final);
    assert_eq!(verdict(false, Outcome::NotRun, 900), Verdict::Retry);
    assert_eq!(verdict(false, Outcome::NotSent, 900), Verdict::Retry);
    assert_eq!(verdict(true, Outcome::Broken, 900), Verdict::Retry);
    assert_eq!(verdict(true, Outcome::Broken, 50), Verdict::PastDeadline);
    assert_eq!(verdict(true, Outcome::Answered, 900), Verdict::Final);
}
