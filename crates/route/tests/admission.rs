//! Tests of the admission queue (fairness, bounds, early refusal) and of the retry budget.

use base::clock::Millis;
use quickcheck::{Gen, QuickCheck};
use route::{
    admission::{AdmissionError, AdmissionQueue, QueuedRequest},
    admission_cfg::AdmissionCfg,
    outcome::Outcome,
    retry::{FailedAttempt, RetryBudget, RetryDecision},
    retry_cfg::RetryCfg,
};
use schema::service::Class;

const DISTANT_DEADLINE: Millis = Millis(1_000_000);

fn request(id: u64, organisation: &str, class: Class, cost: u32) -> QueuedRequest {
    QueuedRequest {
        id,
        organisation: organisation.parse().unwrap(),
        class,
        deadline: DISTANT_DEADLINE,
        cost,
    }
}

fn check(property: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(100, 13);
    QuickCheck::new().rng(rng).tests(200).quickcheck(property);
}

/// Guards against an organisation that gets more than its share of slot time: while two have
/// waiting requests, the total costs that they dispatched differ by at most the highest cost.
#[test]
fn deficit_round_robin_is_fair() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut queue = AdmissionQueue::new(AdmissionCfg::default());
        let max_cost = rng.u32(1..500);
        for id in 0..400 {
            let organisation = ["a", "b"][rng.usize(..2)];
            let cost = rng.u32(1..=max_cost);
            let _ = queue.push(Millis(0), request(id, organisation, Class::Live, cost));
        }
        let (mut a, mut b) = (0_i64, 0_i64);
        for _ in 0..150 {
            let next = queue.pop(Millis(0)).unwrap();
            let sum = if next.organisation.as_str() == "a" {
                &mut a
            } else {
                &mut b
            };
            *sum += i64::from(next.cost);
            if (a - b).abs() > i64::from(max_cost) {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against starvation of deferrable work, and of live work by deferrable work.
#[test]
fn deferrable_work_gets_one_of_eight_dispatches() {
    let mut queue = AdmissionQueue::new(AdmissionCfg::default());
    for id in 0..200 {
        queue
            .push(Millis(0), request(id, "a", Class::Live, 1))
            .unwrap();
        queue
            .push(Millis(0), request(1_000 + id, "a", Class::Deferrable, 1))
            .unwrap();
    }
    let classes: Vec<Class> = (0..80)
        .map(|_| queue.pop(Millis(0)).unwrap().class)
        .collect();
    for chunk in classes.chunks(8) {
        let deferrable = chunk.iter().filter(|c| **c == Class::Deferrable).count();
        assert_eq!(deferrable, 1, "{chunk:?}");
    }
}

/// Guards against unbounded queues, lost requests, and dispatch of cancelled or expired requests.
#[test]
fn every_request_leaves_the_queue_once() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let cfg = AdmissionCfg {
            queue_per_organisation: 10,
            queue_total: 25,
            ..AdmissionCfg::default()
        };
        let mut queue = AdmissionQueue::new(cfg);
        let (mut open, mut now) = (Vec::new(), Millis(0));
        for id in 0..500 {
            now += Millis(rng.u64(..5));
            match rng.u8(..6) {
                0..=2 => {
                    let class = [Class::Live, Class::Deferrable][rng.usize(..2)];
                    let organisation = ["a", "b", "c"][rng.usize(..3)];
                    let deadline = now + Millis(rng.u64(1..100));
                    let new = QueuedRequest {
                        deadline,
                        ..request(id, organisation, class, rng.u32(..9))
                    };
                    if queue.push(now, new).is_ok() {
                        open.push(id);
                    }
                }
                3 => {
                    let Some(next) = queue.pop(now) else {
                        continue;
                    };
                    if next.deadline <= now || !open.contains(&next.id) {
                        return false;
                    }
                    open.retain(|id| *id != next.id);
                    queue.finished(Some(Millis(rng.u64(1..20))));
                }
                4 if !open.is_empty() => {
                    let id = open.swap_remove(rng.usize(..open.len()));
                    let was_waiting = queue.cancel(id);
                    // A request that `pop` skipped as too late is no longer waiting.
                    let expired = queue.take_expired(now);
                    open.retain(|id| !expired.iter().any(|w| w.id == *id));
                    if !was_waiting && !expired.iter().any(|w| w.id == id) {
                        return false;
                    }
                }
                _ => {
                    let expired = queue.take_expired(now);
                    open.retain(|id| !expired.iter().any(|w| w.id == *id));
                }
            }
            if queue.len() > 25 {
                return false;
            }
        }
        while let Some(next) = queue.pop(now) {
            open.retain(|id| *id != next.id);
        }
        let expired = queue.take_expired(DISTANT_DEADLINE);
        open.retain(|id| !expired.iter().any(|w| w.id == *id));
        open.is_empty()
    }
    check(property);
}

/// Guards against requests that are queued although they will miss their deadline, and against an
/// estimate that refuses all requests forever after a period of slow answers.
#[test]
fn late_requests_are_refused_until_the_estimate_recovers() {
    let mut queue = AdmissionQueue::new(AdmissionCfg::default());
    let soon = |id| QueuedRequest {
        deadline: Millis(1_000),
        ..request(id, "a", Class::Live, 1)
    };
    for id in 0..2 {
        queue.push(Millis(0), soon(id)).unwrap();
        queue.pop(Millis(0)).unwrap();
    }
    queue.finished(Some(Millis(5_000)));
    let refused = queue.push(Millis(0), soon(2));
    assert!(matches!(
        refused,
        Err(AdmissionError::DeadlineUnreachable { .. })
    ));
    queue.finished(None);
    queue.push(Millis(0), soon(3)).unwrap();
    assert_eq!(queue.pop(Millis(0)).unwrap().id, 3);
}

/// Guards against retry storms: the retries in each window stay within the budget.
#[test]
fn retry_budget_is_never_exceeded() {
    fn property(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = RetryBudget::new(RetryCfg::default());
        let (mut requests, mut retries, mut now) = (Vec::new(), Vec::new(), Millis(0));
        for _ in 0..1_500 {
            now += Millis(rng.u64(..40));
            if rng.bool() {
                budget.record_request(now);
                requests.push(now);
                continue;
            }
            let attempt = FailedAttempt {
                repeatable: true,
                outcome: Outcome::Broken,
                broken: 1,
                deadline: DISTANT_DEADLINE,
                expected: Millis(1),
            };
            if budget.decide(now, attempt) != RetryDecision::Retry {
                continue;
            }
            retries.push(now);
            let is_within = |age: u64| move |t: &&Millis| now.since(**t) < Millis(age);
            // Requests leave the window in buckets of 1 s, so it covers 9 to 10 s.
            let allowed = requests.iter().filter(is_within(10_000)).count() / 10;
            if retries.iter().filter(is_within(9_000)).count() > allowed.max(3) {
                return false;
            }
        }
        true
    }
    check(property);
}

/// Guards against retries of non-repeatable requests that may have run, and against retries past
/// the deadline.
#[test]
fn only_safe_attempts_are_retried() {
    let decision = |repeatable, outcome, deadline| {
        let expected = Millis(50);
        let attempt = FailedAttempt {
            repeatable,
            outcome,
            broken: u32::from(outcome == Outcome::Broken),
            deadline: Millis(deadline),
            expected,
        };
        RetryBudget::new(RetryCfg::default()).decide(Millis(0), attempt)
    };
    assert_eq!(
        decision(false, Outcome::Broken, 900),
        RetryDecision::NotRepeatable
    );
    assert_eq!(
        decision(false, Outcome::ServerError, 900),
        RetryDecision::Final
    );
    assert_eq!(decision(false, Outcome::NotRun, 900), RetryDecision::Retry);
    assert_eq!(decision(false, Outcome::NotSent, 900), RetryDecision::Retry);
    assert_eq!(decision(true, Outcome::Broken, 900), RetryDecision::Retry);
    assert_eq!(
        decision(true, Outcome::Broken, 50),
        RetryDecision::PastDeadline
    );
    assert_eq!(decision(true, Outcome::Answered, 900), RetryDecision::Final);
}
