//! Starts on workers whose capacity changes while they run.

mod fleet;

use std::rc::Rc;

use base::clock::Millis;
use batch::{config::Config, worker::Outcome};
use fleet::{Fleet, config, gang, starts, step, stops};

/// Returns a fleet whose workers start whatever they are told to.
fn unchecked_fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(workers);
    let config = Config {
        services_without_admission_check: vec!["svc".into()],
        ..config()
    };
    fleet.scheduler.configure(&Rc::new(config));
    // Each worker writes another entry after the first read of the list.
    for i in 0..workers {
        let worker = fleet.infos[i].id.clone();
        fleet.resize(&worker, 8);
    }
    fleet
}

/// Guards against a start on a worker that has shrunk below what runs there or is being stopped.
#[test]
fn a_worker_that_shrinks_gets_no_start_until_it_has_room() {
    let mut fleet = unchecked_fleet(1);
    fleet.submit("1", 1, step(6, 1));
    let running = starts(&fleet.plan());
    assert_eq!(running.len(), 6);
    for order in &running {
        fleet.take(order);
    }
    fleet.resize("w00", 4);
    fleet.submit("2", 1, step(1, 1));
    assert!(starts(&fleet.plan()).is_empty());
    // Two that end and two that are being stopped leave no room yet.
    let rest: Vec<_> = running[2..].iter().collect();
    for (seq, order) in running[..2].iter().enumerate() {
        let finished = fleet::finished(order, seq as u64 + 1, Outcome::Done);
        fleet.report("w00", &rest, vec![finished]);
    }
    assert!(starts(&fleet.plan()).is_empty());
    let (now, wall_now) = (fleet.now, fleet.wall());
    fleet.scheduler.cancel("1", now, wall_now);
    assert!(starts(&fleet.plan()).is_empty(), "stops still count");
    let finished = fleet::finished(rest[0], 3, Outcome::Stopped);
    fleet.report("w00", &rest[1..], vec![finished]);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    // It grows again.
    fleet.submit("3", 1, step(4, 1));
    assert!(starts(&fleet.plan()).is_empty());
    fleet.resize("w00", 8);
    assert_eq!(starts(&fleet.plan()).len(), 4);
}

/// Guards against a start that was decided before the worker shrank and is sent afterwards, when a
/// slow store has stored the decision.
#[test]
fn a_start_that_no_longer_fits_is_not_sent() {
    let mut fleet = unchecked_fleet(1);
    fleet.submit("1", 1, step(2, 4));
    let orders = starts(&fleet.plan());
    let admits = |fleet: &Fleet, i: usize| {
        let order = &orders[i];
        fleet
            .scheduler
            .admits_start(&order.task, &order.worker, fleet.now)
    };
    assert!(admits(&fleet, 0) && admits(&fleet, 1));
    fleet.resize("w00", 7);
    assert!(!admits(&fleet, 0) && !admits(&fleet, 1));
    fleet.resize("w00", 8);
    assert!(admits(&fleet, 0));
    // During an outage of the store nobody knows whether the worker has shrunk.
    fleet.advance(3_001);
    assert!(!admits(&fleet, 0));
}

/// Guards against a start on a worker that may have shrunk since its entry left the list.
#[test]
fn an_unchecked_worker_without_an_entry_gets_no_start() {
    let mut fleet = unchecked_fleet(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    fleet.scheduler.replace_vm_list(Vec::new(), now);
    let admits = |fleet: &Fleet| {
        fleet
            .scheduler
            .admits_start(&order.task, &order.worker, fleet.now)
    };
    assert!(!admits(&fleet));
    fleet.scheduler.configure(&Rc::new(config()));
    assert!(admits(&fleet), "a worker that checks it refuses the start");
}

/// Guards against starts on workers without an admission check whose entry is out of date.
#[test]
fn an_unchecked_worker_gets_work_only_with_a_recent_entry() {
    let mut fleet = unchecked_fleet(1);
    fleet.submit("1", 1, step(1, 1));
    fleet.advance(3_001);
    assert!(starts(&fleet.plan()).is_empty());
    // The list is read again, but the worker has not written its entry.
    let (infos, now) = (fleet.infos.clone(), fleet.now);
    fleet.scheduler.replace_vm_list(infos, now);
    assert!(starts(&fleet.plan()).is_empty());
    fleet.resize("w00", 8);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    // Without a clock in its entry, a worker has to be believed whenever the list is read.
    let mut fleet = unchecked_fleet(1);
    fleet.infos[0].clock = Millis::ZERO;
    let (infos, now) = (fleet.infos.clone(), fleet.advance(60_000).now);
    fleet.scheduler.replace_vm_list(infos.clone(), now);
    let now = fleet.advance(60_000).now;
    fleet.scheduler.replace_vm_list(infos, now);
    fleet.submit("1", 1, step(1, 1));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    // Workers that check it themselves take work during an outage of the store.
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    fleet.advance(60_000);
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against starts on the word of an entry that was written before a gap between two reads of
/// the list and is new in the second one.
#[test]
fn an_entry_from_before_a_gap_in_reading_is_not_recent() {
    let read_list = |fleet: &mut Fleet, written_at: Millis| {
        fleet.infos[0].clock = written_at;
        let (infos, now) = (fleet.infos.clone(), fleet.now);
        fleet.scheduler.replace_vm_list(infos, now);
    };
    let mut fleet = unchecked_fleet(1);
    let written_at = fleet.now + Millis(500);
    read_list(fleet.advance(6_000), written_at);
    fleet.submit("1", 1, step(1, 1));
    assert!(starts(&fleet.plan()).is_empty());
    // The next entry was written shortly before the next read.
    let written_at = fleet.now + Millis(300);
    read_list(fleet.advance(800), written_at);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    // An entry may have been written after its row was read, while the rest of the list was.
    let mut fleet = unchecked_fleet(1);
    let (infos, read_at) = (fleet.infos.clone(), fleet.now);
    let now = fleet.advance(6_000).now;
    fleet.scheduler.apply_vm_list(infos, read_at, now);
    read_list(fleet.advance(800), read_at + Millis(300));
    fleet.submit("1", 1, step(1, 1));
    assert!(starts(&fleet.plan()).is_empty());
}

/// Guards against a start beside a run that the scheduler has given up but the worker still lists.
#[test]
fn an_unexpected_run_counts_until_it_is_gone() {
    let mut fleet = unchecked_fleet(1);
    fleet.submit("1", 1, step(1, 8));
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    let now = fleet.advance(7_000).now;
    fleet.scheduler.handle_lease_expiry("w00", now);
    let (now, wall_now) = (fleet.now, fleet.wall());
    fleet.scheduler.cancel("1", now, wall_now);
    fleet.report("w00", &[&order], Vec::new());
    fleet.submit("2", 1, step(1, 1));
    fleet.advance(2_000).resize("w00", 8);
    let changes = fleet.plan();
    assert!(starts(&changes).is_empty(), "{changes:?}");
    assert_eq!(stops(&changes).len(), 1);
    assert!(fleet.scheduler.is_in_use("w00"), "its end has to be seen");
    fleet.report("w00", &[], Vec::new());
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against stops that free nothing for urgent work because the worker had shrunk below what
/// runs there.
#[test]
fn preemption_makes_up_for_a_shrunk_capacity() {
    let mut fleet = Fleet::new(1);
    fleet.submit("low", 2, step(8, 1));
    let running = starts(&fleet.plan());
    for order in &running {
        fleet.take(order);
    }
    fleet.resize("w00", 6);
    fleet.submit("urgent", 0, gang(2, 1));
    fleet.advance(300);
    // Two stops make up for the lost capacity, two free the room.
    assert_eq!(stops(&fleet.plan()).len(), 4);
}

/// Guards against a start beyond the capacity of a worker that restarted with less, while the VM list
/// still shows its entry from before.
#[test]
fn a_restarted_worker_gets_no_start_by_its_entry_from_before() {
    let mut fleet = unchecked_fleet(1);
    fleet.report_life("w00", 2);
    fleet.submit("1", 1, step(8, 1));
    assert!(starts(&fleet.plan()).is_empty());
    // The list is read again before the worker has written its entry.
    fleet.advance(100).resize("w00", 8);
    assert!(starts(&fleet.plan()).is_empty());
    fleet.infos[0].incarnation = 2;
    fleet.advance(100).resize("w00", 4);
    assert_eq!(starts(&fleet.plan()).len(), 4);
}

/// Guards against a worker that gets no more work because an answer of its earlier life arrives after
/// one of the next life.
#[test]
fn a_late_report_of_an_earlier_life_costs_a_worker_little_time() {
    let mut fleet = unchecked_fleet(1);
    fleet.report_life("w00", 2);
    fleet.report_life("w00", 1);
    fleet.infos[0].incarnation = 2;
    fleet.advance(100).resize("w00", 8);
    fleet.submit("1", 1, step(8, 1));
    fleet.advance(10_000).resize("w00", 8);
    assert_eq!(starts(&fleet.plan()).len(), 8);
}
