//! Numbers about repeated orders and waits.

mod fleet;

use base::clock::Millis;
use batch::{order_load::OrderLoad, worker::StartReply};
use fleet::{Fleet, starts, step};

/// Time after which a stop without effect is ordered again.
const STOP_RETRY: u64 = 400;

/// Guards against repeated orders that look like first ones, and the other way round.
#[test]
fn repeated_orders_are_counted() {
    let mut fleet = Fleet::new(1);
    fleet.submit("a", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    assert_eq!(fleet.scheduler.awaited_starts(), 1);
    assert_eq!(fleet.scheduler.placed(), 1);
    assert_eq!(fleet.scheduler.take_order_load(), OrderLoad::default());
    let now = fleet.now;
    let (task, attempt) = (&first.task, first.attempt);
    fleet
        .scheduler
        .handle_start_reply(task, attempt, StartReply::Unknown, now);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    assert_eq!(fleet.scheduler.take_order_load().repeated_starts, 1);
    fleet.take(&first);
    assert_eq!(fleet.scheduler.awaited_starts(), 0);
    fleet.scheduler.cancel("a", now, fleet.wall());
    fleet.plan();
    assert_eq!(fleet.scheduler.take_order_load().repeated_stops, 0);
    let now = fleet.now;
    fleet
        .scheduler
        .handle_unanswered_stop(&first.task, attempt, now);
    fleet
        .advance(STOP_RETRY)
        .report("w00", &[&first], Vec::new());
    fleet.plan();
    assert_eq!(fleet.scheduler.take_order_load().repeated_stops, 1);
    assert_eq!(fleet.scheduler.take_order_load(), OrderLoad::default());
}

/// Guards against a wait that the load does not show.
#[test]
fn the_longest_wait_is_shown() {
    let mut fleet = Fleet::new(1);
    fleet.submit("wide", 1, step(1, 9));
    fleet.plan();
    fleet.advance(4_000).plan();
    assert_eq!(
        fleet.scheduler.take_order_load().longest_wait,
        Millis(4_000)
    );
}
