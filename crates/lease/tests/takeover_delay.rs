//! Time at which a candidate takes over a lease, depending on its settings and on the old holder.

use base::clock::Millis;
use lease::{
    lease_cfg::LeaseCfg,
    machine::{Held, Lease, ObservedLease, Outcome, Step},
};

const YIELD: Millis = Millis(700);

/// Runs a candidate on unchanging rows and returns the time until it acquires the lease.
fn time_to_acquire(
    yield_ms: Millis,
    lease: Option<ObservedLease>,
    heartbeat_version: u64,
) -> Millis {
    let cfg = LeaseCfg {
        yield_ms,
        ..LeaseCfg::default()
    };
    let mut candidate = Lease::new(1, cfg);
    let mut now = Millis(10_000);
    loop {
        match candidate.next_step(now) {
            Step::Read => candidate.complete(
                now,
                Outcome::Rows {
                    lease,
                    heartbeat_version,
                },
            ),
            Step::Wait { until } => now = until,
            Step::Acquire { .. } => return now.since(Millis(10_000)),
            step => panic!("{step:?}"),
        }
    }
}

/// Guards against a leader on a small VM while a larger VM is available: the small VM leaves a free
/// or expired lease to the others for at least one read interval, and then acquires it.
#[test]
fn a_small_vm_delays_its_takeover() {
    let cfg = LeaseCfg::default();
    let expired = Some(ObservedLease {
        version: 3,
        holder: 9,
        fence: 2,
        holder_ended: false,
    });
    for (lease, heartbeat_version) in [(None, 0), (expired, 4)] {
        let without_delay = time_to_acquire(Millis::ZERO, lease, heartbeat_version);
        let with_delay = time_to_acquire(YIELD, lease, heartbeat_version);
        let delay = with_delay.since(without_delay);
        assert!(delay >= cfg.look_ms, "{delay}");
        assert!(delay <= YIELD + cfg.look_ms, "{delay}");
    }
}

/// Guards against a leader on a small VM while larger ones are available: with the takeovers of
/// hundreds of candidates spread over a second, a small VM of low rank came before a large one of
/// high rank.
#[test]
fn a_small_vm_of_low_rank_comes_after_a_large_one_of_high_rank() {
    let time_to_acquire = |id: u64, yield_ms: Millis| {
        let cfg = LeaseCfg {
            yield_ms,
            ..LeaseCfg::default()
        };
        let mut lease = Lease::new(id, cfg);
        lease.set_spread(Millis(1_500));
        first_transaction(&mut lease)
    };
    let (small, large) = (
        time_to_acquire(0, YIELD),
        time_to_acquire(999, Millis::ZERO),
    );
    assert!(large < small, "{large} {small}");
}

/// Returns the time until a candidate sends its first transaction for a lease that was released.
fn first_transaction(lease: &mut Lease) -> u64 {
    let start = Millis(10_000);
    let mut now = start;
    loop {
        match lease.next_step(now) {
            Step::Read => lease.complete(
                now,
                Outcome::Rows {
                    lease: None,
                    heartbeat_version: 0,
                },
            ),
            Step::Wait { until } => now = until,
            Step::Acquire { .. } => return now.since(start).0,
            step => panic!("{step:?}"),
        }
    }
}

/// Returns the time until each of 40 candidates sends its first transaction for a lease that was
/// released.
fn first_transactions(spread: Millis) -> Vec<u64> {
    let candidate = |i: u64| {
        let mut lease = Lease::new(i.wrapping_mul(0x9e37_79b9_7f4a_7c15), LeaseCfg::default());
        lease.set_spread(spread);
        first_transaction(&mut lease)
    };
    (1..=40).map(candidate).collect()
}

/// All nodes see that a lease is released. Guards against transactions of all of them at once: a
/// store that applies one after another, in 0.4 s each, refused the commits of the new holder.
#[test]
fn candidates_do_not_send_their_transactions_at_once() {
    let txn = 400;
    let mut times = first_transactions(Millis(40 * txn / 2));
    times.sort_unstable();
    let first = times[0];
    assert!(first <= txn, "{first}");
    let meanwhile = times.iter().filter(|t| **t < first + txn).count();
    assert!(meanwhile <= 5, "{times:?}");
    assert!(first_transactions(Millis::ZERO).iter().all(|t| *t == 0));
}

/// Guards against a candidate that sends its transaction again and again to a store which refuses
/// it because it has too many: the rows are read first.
#[test]
fn a_refused_takeover_reads_the_rows_again() {
    let mut lease = Lease::new(1, LeaseCfg::default());
    let free = Outcome::Rows {
        lease: None,
        heartbeat_version: 0,
    };
    let now = Millis(10_000);
    lease.next_step(now);
    lease.complete(now, free);
    assert!(matches!(lease.next_step(now), Step::Acquire { .. }));
    lease.complete(now, Outcome::NotDone);
    let Step::Wait { until } = lease.next_step(now) else {
        panic!("no pause");
    };
    assert_eq!(lease.next_step(until), Step::Read);
    lease.complete(until, free);
    assert!(matches!(lease.next_step(until), Step::Acquire { .. }));
}

/// Returns a process that holds the lease since `now`.
fn holder(now: Millis) -> (Lease, Held) {
    let mut lease = Lease::new(1, LeaseCfg::default());
    let held = Held {
        fence: 1,
        version: 5,
    };
    for outcome in [
        Outcome::Rows {
            lease: None,
            heartbeat_version: 0,
        },
        Outcome::Done {
            version: held.version,
        },
    ] {
        lease.next_step(now);
        lease.complete(now, outcome);
    }
    assert_eq!(lease.acting(now), Some(held));
    (lease, held)
}

/// Guards against renewals that compete with commits for a slow store, and against a process that
/// acts on a commit of an earlier leadership or on one that is older than its last renewal.
#[test]
fn a_commit_of_the_holder_renews_the_lease() {
    let cfg = LeaseCfg::default();
    let start = Millis(10_000);
    let (mut lease, held) = holder(start);
    let committed = start + Millis(cfg.hold_ms.0 / 2);
    lease.record_renewal(held, committed);
    let until = committed + cfg.renew_ms;
    assert_eq!(lease.next_step(committed), Step::Wait { until });
    let before_end = committed + cfg.hold_ms.since(Millis(1));
    assert!(lease.acting(before_end).is_some());
    assert!(lease.acting(committed + cfg.hold_ms).is_none());
    lease.record_renewal(held, start);
    assert!(lease.acting(before_end).is_some(), "not shortened");
    let other = Held { fence: 2, ..held };
    lease.record_renewal(other, committed + cfg.hold_ms);
    assert!(lease.acting(committed + cfg.hold_ms).is_none());
}

/// Guards against commits of a process that is releasing its lease: they would make the other
/// candidates wait until the heartbeat is old.
#[test]
fn a_process_that_releases_the_lease_does_not_hold_it() {
    let start = Millis(10_000);
    let (mut lease, held) = holder(start);
    lease.stop();
    assert!(matches!(lease.next_step(start), Step::Release { .. }));
    assert!(lease.held().is_none());
    lease.record_renewal(held, start + Millis(10));
    assert!(lease.held().is_none() && lease.acting(start).is_none());
}

/// Guards against a renewal that started before the last commit and shortens the lease.
#[test]
fn a_late_answer_to_a_renewal_does_not_shorten_the_lease() {
    let cfg = LeaseCfg::default();
    let start = Millis(10_000);
    let (mut lease, held) = holder(start);
    let renewal = start + cfg.renew_ms;
    assert!(matches!(lease.next_step(renewal), Step::Renew { .. }));
    let committed = renewal + Millis(300);
    lease.record_renewal(held, committed);
    lease.complete(committed + Millis(10), Outcome::Done { version: 9 });
    let before_end = committed + cfg.hold_ms.since(Millis(1));
    assert!(lease.acting(before_end).is_some());
}

/// After the leader or all processes were killed and restarted, the lease of a process that has
/// certainly exited must be taken over without a wait, so that there is no time without a leader.
#[test]
fn a_restarted_holder_reacquires_its_lease_at_once() {
    let predecessor = Some(ObservedLease {
        version: 3,
        holder: 9,
        fence: 2,
        holder_ended: true,
    });
    assert_eq!(time_to_acquire(Millis::ZERO, predecessor, 4), Millis::ZERO);
    assert!(
        time_to_acquire(YIELD, predecessor, 4) >= YIELD,
        "the delay of a small VM still applies"
    );
}

/// Returns the time from the end of an outage of the store until a candidate takes over. The
/// heartbeat was first seen `seen_before` the outage, and is still the same after it.
fn time_to_acquire_after_outage(cfg: LeaseCfg, seen_before: Millis, outage: Millis) -> Millis {
    let rows = Outcome::Rows {
        lease: Some(ObservedLease {
            version: 3,
            holder: 9,
            fence: 2,
            holder_ended: false,
        }),
        heartbeat_version: 4,
    };
    let mut candidate = Lease::new(0, cfg);
    let mut now = Millis(10_000);
    let start = now + seen_before;
    let end = start + outage;
    loop {
        match candidate.next_step(now) {
            Step::Read if now < start || now >= end => candidate.complete(now, rows),
            Step::Read => {
                now = (now + Millis(50)).min(end);
                candidate.complete(now, Outcome::NotDone);
            }
            Step::Wait { until } => now = until,
            Step::Acquire { .. } => return now.since(end),
            step => panic!("{step:?}"),
        }
    }
}

/// Guards against runs that lapse because the leader was lost in an outage of the store: candidates
/// waited for a whole lease after it, although its lease had ended long before.
#[test]
fn a_lease_that_ended_during_an_outage_is_taken_over_soon_after_it() {
    let cfg = LeaseCfg::default();
    let seen_before = Millis(10);
    let outage = Millis(2 * cfg.take_ms.0);
    let delay = time_to_acquire_after_outage(cfg, seen_before, outage);
    let bound = Millis(2 * cfg.renew_ms.0) + cfg.look_ms;
    assert!(delay <= bound, "{delay}");
    assert!(
        delay >= Millis(2 * cfg.renew_ms.0),
        "the holder renews first: {delay}"
    );
}

/// Guards against a takeover from a holder that may still act, after an outage that is shorter than
/// its lease.
#[test]
fn a_short_outage_does_not_shorten_the_wait_for_the_holder() {
    let cfg = LeaseCfg::default();
    let (seen_before, outage) = (Millis(10), cfg.hold_ms + Millis(100));
    let delay = time_to_acquire_after_outage(cfg, seen_before, outage);
    assert!(seen_before + outage + delay >= cfg.take_ms, "{delay}");
}
