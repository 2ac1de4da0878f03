//! Time at which a candidate takes over a lease, depending on its settings and on the old holder.

use base::clock::Millis;
use lease::{
    lease_cfg::LeaseCfg,
    machine::{Lease, ObservedLease, Outcome, Step},
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
