//! Probation and backoff of workers, beside room that work could use.

mod fleet;

use base::clock::Millis;
use batch::worker::{Outcome, Refusal, StartReply};
use fleet::{Fleet, starts, step};

/// Maximum wait for work that the fleet has room for.
const MAX_WAIT: Millis = Millis(2_000);
const PASS: u64 = 250;
const WORKERS: usize = 8;

/// Returns the time until a subtask of a new job is started, or `None` if it is not within 30 s.
fn wait_of(fleet: &mut Fleet) -> Option<Millis> {
    let submitted = fleet.now;
    fleet.submit("waiting", 1, step(1, 1));
    while fleet.now.since(submitted) <= Millis(30_000) {
        if !starts(&fleet.plan()).is_empty() {
            return Some(fleet.now.since(submitted));
        }
        fleet.advance(PASS);
    }
    None
}

fn ids(fleet: &Fleet) -> Vec<batch::job::Text> {
    fleet.infos.iter().map(|i| i.id.clone()).collect()
}

/// Lets the first workers go down and up six times, each time for 2.5 s.
fn flap(fleet: &mut Fleet, count: usize) {
    let flapping: Vec<_> = ids(fleet).into_iter().take(count).collect();
    for _ in 0..6 {
        fleet.advance(1_500);
        let now = fleet.now;
        for id in &flapping {
            fleet.lose(id, now);
        }
        let now = fleet.advance(2_500).now;
        for id in &flapping {
            fleet.scheduler.set_responding(id, true, now);
        }
    }
}

/// Guards against work that waits beside idle workers, all of which were out of reach some times.
#[test]
fn work_does_not_wait_for_the_probation_of_all_workers() {
    let mut fleet = Fleet::new(WORKERS);
    flap(&mut fleet, WORKERS);
    fleet.advance(1_500);
    let wait = wait_of(&mut fleet);
    assert!(wait.is_some_and(|w| w <= MAX_WAIT), "{wait:?}");
}

/// Guards against work that stands still right after an outage of most workers, because each of them
/// is spared for others.
#[test]
fn work_starts_at_once_where_most_workers_went_away_together() {
    for (count, is_spared) in [(WORKERS, false), (5, false), (4, true), (1, true)] {
        let mut fleet = Fleet::new(WORKERS);
        flap(&mut fleet, count);
        fleet.submit("job", 1, step(WORKERS as u32, 8));
        let placed = starts(&fleet.plan()).len();
        let expected = if is_spared { WORKERS - count } else { WORKERS };
        assert_eq!(placed, expected, "{count} of {WORKERS} workers");
    }
}

/// Guards against the same while some of the workers are not back yet.
#[test]
fn the_first_workers_that_are_back_from_an_outage_of_all_get_work() {
    let mut fleet = Fleet::new(WORKERS);
    flap(&mut fleet, WORKERS);
    let now = fleet.advance(1_500).now;
    for id in ids(&fleet) {
        fleet.lose(&id, now);
    }
    let now = fleet.advance(2_500).now;
    for id in ids(&fleet).iter().take(2) {
        fleet.scheduler.set_responding(id, true, now);
    }
    fleet.submit("job", 1, step(WORKERS as u32, 8));
    assert_eq!(starts(&fleet.plan()).len(), 2);
}

/// Guards against work that uses up its attempts on workers on which everything fails.
#[test]
fn work_waits_for_the_backoff_of_workers_on_which_everything_fails() {
    let mut fleet = Fleet::new(WORKERS);
    let mut seq = 0;
    for round in 0..7 {
        for n in 0..WORKERS {
            fleet.submit(&format!("bad-{round}-{n}"), 1, step(1, 8));
        }
        let orders = starts(&fleet.plan());
        assert_eq!(orders.len(), WORKERS, "round {round}");
        seq += 1;
        for order in &orders {
            fleet.take(order);
        }
        fleet.advance(50);
        for order in &orders {
            fleet.finish(order, seq, Outcome::Failed);
        }
        for order in &orders {
            let (job, now, wall) = (order.task.job.clone(), fleet.now, fleet.wall());
            fleet.scheduler.cancel(&job, now, wall);
        }
        if round < 6 {
            fleet.advance(16_000);
        }
    }
    let wait = wait_of(&mut fleet);
    assert_eq!(wait, Some(Millis(16_000)));
}

/// Guards against work that waits beside idle workers, all of which have just refused a start.
#[test]
fn work_does_not_wait_long_after_refusals_of_all_workers() {
    let mut fleet = Fleet::new(WORKERS);
    fleet.submit("refused", 1, step(WORKERS as u32, 8));
    for order in starts(&fleet.plan()) {
        let now = fleet.now;
        let reply = StartReply::Refused(Refusal::Unhealthy);
        fleet
            .scheduler
            .handle_start_reply(&order.task, order.attempt, reply, now);
    }
    let wait = wait_of(&mut fleet);
    assert!(wait.is_some_and(|w| w <= MAX_WAIT), "{wait:?}");
}
