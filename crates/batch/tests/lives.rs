//! Workers that are back under their id: what one life does is not counted to another.

mod fleet;

use base::clock::Millis;
use batch::grant::Grants;
use fleet::{Fleet, starts, step};

const LEASE: Millis = Millis(6_000);

/// Guards against a second run of a subtask: the lease of the first one counted as over once the VM list
/// named the next life of its worker, which had taken the start.
#[test]
fn a_lease_that_the_next_life_may_have_taken_is_not_over() {
    let mut grants = Grants::default();
    grants.observe_entry(1, Millis(500_000), Millis(1_000));
    grants.grant(LEASE, Millis(2_000));
    grants.observe_entry(2, Millis(90), Millis(2_200));
    let end = grants.expires_at();
    assert!(end >= Millis(2_000) + LEASE, "{end}");
}

/// Guards against jobs that are given up for crashes that they have outlived.
#[test]
fn a_run_that_the_next_life_lists_is_no_crash_of_the_former_one() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(5).take(&order);
    fleet.advance(5).report_running(&order, 2, 10);
    fleet.plan();
    assert_eq!(fleet.crashes("1"), 0);
    assert_eq!(fleet.scheduler.runs_on("w00"), 1);
}
