//! Which of two candidates takes a lease that both could take.

use base::clock::Millis;
use lease::{
    lease_cfg::LeaseCfg,
    machine::{Lease, LeaseSeen, Outcome, Step},
};

const YIELD: Millis = Millis(700);

/// Looks at the rows until the candidate takes the lease, and returns when that is.
fn taken_at(yield_ms: Millis, lease: Option<LeaseSeen>, beat: u64) -> Millis {
    let cfg = LeaseCfg {
        yield_ms,
        ..LeaseCfg::default()
    };
    let mut candidate = Lease::new(1, cfg);
    let mut now = Millis(10_000);
    loop {
        match candidate.step(now) {
            Step::Look => candidate.done(now, Outcome::Rows { lease, beat }),
            Step::Wait { until } => now = until,
            Step::Take { .. } => return now.since(Millis(10_000)),
            step => panic!("{step:?}"),
        }
    }
}

/// Guards against a leader on a small VM although a larger one is there: the small one leaves a free
/// or lapsed lease for at least one look of the others, and takes it soon after.
#[test]
fn a_small_vm_leaves_the_lease_to_others_for_a_while() {
    let cfg = LeaseCfg::default();
    let lapsed = Some(LeaseSeen {
        version: 3,
        holder: 9,
        fence: 2,
        has_ended: false,
    });
    for (lease, beat) in [(None, 0), (lapsed, 4)] {
        let first = taken_at(Millis::ZERO, lease, beat);
        let second = taken_at(YIELD, lease, beat);
        let yielded = second.since(first);
        assert!(yielded >= cfg.look_ms, "{yielded}");
        assert!(yielded <= YIELD + cfg.look_ms, "{yielded}");
    }
}

/// Guards against a pause without a leader after the leader, or all processes, were killed and
/// started again: the lease of a process that has ended for certain needs no wait.
#[test]
fn a_restarted_holder_takes_its_lease_back_at_once() {
    let own = Some(LeaseSeen {
        version: 3,
        holder: 9,
        fence: 2,
        has_ended: true,
    });
    assert_eq!(taken_at(Millis::ZERO, own, 4), Millis::ZERO);
    assert!(taken_at(YIELD, own, 4) >= YIELD, "a small VM yields");
}
