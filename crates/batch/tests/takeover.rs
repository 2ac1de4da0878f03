//! What a new leader reads again instead of deriving it from the time of its start.

mod fleet;

use base::clock::Millis;
use batch::job::Step;
use fleet::{Fleet, starts, step, stops};

/// Guards against work that is lost with a draining worker because the new leader counts the
/// remaining time of the worker from its own start.
#[test]
fn a_new_leader_stops_work_on_a_draining_worker_in_time() {
    let mut fleet = Fleet::new(1);
    let saving = Step {
        checkpoints: true,
        estimate: Millis(20_000),
        ..step(1, 1)
    };
    fleet.submit("saves", 1, saving);
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    fleet.infos[0].draining = true;
    fleet.infos[0].remaining = Some(Millis(4_000));
    fleet.infos[0].clock = fleet.now;
    let shutdown = fleet.now + Millis(4_000);
    fleet.advance(1_500).restart();
    fleet.advance(20).report_running(&order, 1, 10);
    fleet.now = Millis(shutdown.0 - 2_000);
    fleet.scheduler.evacuate(fleet.now);
    assert_eq!(stops(&fleet.plan()).len(), 1);
}
