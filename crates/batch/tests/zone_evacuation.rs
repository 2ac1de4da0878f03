//! Evacuation of data centres, and the return to service.

mod fleet;

use std::collections::BTreeMap;

use base::clock::Millis;
use batch::{
    job::{Spec, Step, Text},
    worker::{Order, Outcome, StartReply},
};
use fastrand::Rng;
use fleet::{Fleet, gang, starts, step, stops};

fn zones_of(fleet: &Fleet, orders: &[Order]) -> Vec<String> {
    let zones = orders.iter().map(|o| fleet.zone_of(&o.worker).to_owned());
    zones.collect()
}

/// Runs a pass and returns the data centre of each start.
fn placed(fleet: &mut Fleet) -> Vec<String> {
    let orders = starts(&fleet.plan());
    zones_of(fleet, &orders)
}

/// Guards against work that is placed in an evacuated data centre, and against a data centre that
/// stays empty after its return to service.
#[test]
fn nothing_starts_in_an_evacuated_data_centre() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    fleet.evacuate(&["b"]);
    fleet.submit("1", 1, step(8, 8));
    let first = starts(&fleet.plan());
    assert_eq!(zones_of(&fleet, &first), ["a"; 4]);
    fleet.evacuate(&["a", "b"]);
    assert!(starts(&fleet.advance(100).plan()).is_empty());
    fleet.evacuate(&["a"]);
    let second = starts(&fleet.plan());
    assert_eq!(zones_of(&fleet, &second), ["b"; 4]);
}

/// Guards against an evacuation that stops what runs, or hides its end.
#[test]
fn runs_in_an_evacuated_data_centre_end_by_themselves() {
    let mut fleet = Fleet::in_zones(4, &["a"]);
    fleet.submit("bounded", 1, gang(2, 8));
    let lasting = Step {
        endless: true,
        ..step(1, 8)
    };
    fleet.submit("lasting", 1, lasting);
    let orders = starts(&fleet.plan());
    assert_eq!(orders.len(), 3);
    for order in &orders {
        fleet.take(order);
    }
    fleet.evacuate(&["a"]);
    for _ in 0..20 {
        assert!(fleet.advance(250).plan().orders.is_empty());
    }
    let bounded = orders.iter().find(|o| &*o.task.job == "bounded").unwrap();
    fleet.finish(bounded, 1, Outcome::Done);
    assert_eq!(
        fleet.scheduler.phase("bounded"),
        Some(batch::progress::Phase::Completed)
    );
}

/// Guards against orders that were queued before the request and are sent after it, and against a gang
/// that starts in part.
#[test]
fn a_queued_start_is_rolled_back_with_its_gang() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    for worker in ["w00", "w01", "w02"] {
        fleet.infos.retain(|i| &*i.id != worker);
    }
    fleet.set_up();
    fleet.submit("1", 1, gang(3, 8));
    let orders = starts(&fleet.plan());
    let in_b = orders.iter().find(|o| fleet.zone_of(&o.worker) == "b");
    let in_b = in_b.expect("one worker of `a` can't hold the gang").clone();
    fleet.evacuate(&["b"]);
    for order in &orders {
        let is_evacuated = fleet
            .scheduler
            .is_start_evacuated(&order.task, &order.worker);
        assert!(is_evacuated, "the gang could not become whole: {order:?}");
    }
    fleet.scheduler.roll_back_start(&in_b.task, 1, fleet.now);
    let changes = fleet.plan();
    let stopped: Vec<_> = stops(&changes).into_iter().map(|o| o.task).collect();
    assert_eq!(stopped.len(), 2);
    assert!(!stopped.contains(&in_b.task), "its run never existed");
    for order in &orders {
        let is_wanted = fleet.scheduler.is_start_wanted(&order.task, 1);
        assert!(!is_wanted, "{order:?}");
    }
    assert!(starts(&changes).is_empty());
    for order in orders.iter().filter(|o| **o != in_b) {
        let now = fleet.now;
        fleet.scheduler.handle_stop_reply(&order.task, 1, now);
        fleet.advance(10).report(&order.worker, &[], Vec::new());
    }
    fleet.evacuate(&[]);
    let again = starts(&fleet.plan());
    assert_eq!(again.len(), 3, "without a backoff");
    assert!(again.iter().all(|o| o.attempt == 2));
}

/// Guards against a start that is repeated in an evacuated data centre because the first one was not
/// answered, and against a stop of a run that this start began.
#[test]
fn an_unanswered_start_is_not_repeated_and_its_run_is_kept() {
    let mut fleet = Fleet::in_zones(4, &["a"]);
    fleet.submit("1", 1, step(2, 8));
    let orders = starts(&fleet.plan());
    let now = fleet.now;
    for order in &orders {
        let reply = StartReply::Unknown;
        fleet
            .scheduler
            .handle_start_reply(&order.task, 1, reply, now);
    }
    fleet.evacuate(&["a"]);
    let repeated = starts(&fleet.plan());
    assert_eq!(repeated.len(), 2);
    for order in &repeated {
        assert!(
            fleet
                .scheduler
                .is_start_evacuated(&order.task, &order.worker)
        );
        fleet.scheduler.roll_back_start(&order.task, 1, now);
    }
    assert!(fleet.plan().orders.is_empty());
    let [begun, lost] = &orders[..] else {
        panic!("two subtasks were placed");
    };
    fleet
        .advance(100)
        .report(&begun.worker, &[begun], Vec::new());
    fleet.report(&lost.worker, &[], Vec::new());
    let changes = fleet.plan();
    assert_eq!(stops(&changes).len(), 1);
    assert_eq!(stops(&changes)[0].task, lost.task);
    assert!(starts(&changes).is_empty());
}

/// Guards against a new leader that repeats the starts of its predecessor in an evacuated data centre.
#[test]
fn a_new_leader_repeats_no_start_there() {
    let mut fleet = Fleet::in_zones(4, &["a"]);
    fleet.submit("1", 1, step(1, 8));
    let order = starts(&fleet.plan()).remove(0);
    fleet.restart();
    fleet.evacuate(&["a"]);
    fleet.advance(100).report(&order.worker, &[], Vec::new());
    for repeated in starts(&fleet.plan()) {
        let (task, worker) = (&repeated.task, &repeated.worker);
        assert!(fleet.scheduler.is_start_evacuated(task, worker));
    }
}

/// Guards against starts on a worker whose entry is gone, so that its data centre is forgotten.
#[test]
fn a_start_on_an_unlisted_worker_is_checked_too() {
    let mut fleet = Fleet::in_zones(4, &["a"]);
    fleet.submit("1", 1, step(1, 8));
    let order = starts(&fleet.plan()).remove(0);
    let infos = std::mem::take(&mut fleet.infos);
    fleet.set_up();
    fleet.evacuate(&["b"]);
    let is_evacuated = |fleet: &Fleet| {
        fleet
            .scheduler
            .is_start_evacuated(&order.task, &order.worker)
    };
    assert!(!is_evacuated(&fleet));
    fleet.evacuate(&["a"]);
    assert!(is_evacuated(&fleet));
    fleet.restart();
    fleet.evacuate(&["b"]);
    assert!(is_evacuated(&fleet), "its data centre is not known");
    fleet.infos = infos;
}

/// Guards against a job that waits for its data rack while that can't start anything.
#[test]
fn an_evacuated_data_rack_is_no_reason_to_wait() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    fleet.evacuate(&["b"]);
    let near = Step {
        data_rack: Some("r1".into()),
        ..step(1, 8)
    };
    fleet.submit("1", 1, near);
    assert_eq!(placed(&mut fleet), ["a"]);
}

/// Guards against a gang that waits for a rack which only an evacuated data centre has.
#[test]
fn racks_there_hold_no_gang() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    fleet.infos.remove(0);
    fleet.infos[0].labels = vec!["a".into(), "r9".into()];
    fleet.set_up();
    fleet.evacuate(&["b"]);
    let tight = Step {
        same_rack: true,
        ..gang(3, 8)
    };
    fleet.submit("1", 1, tight);
    assert_eq!(placed(&mut fleet), ["a"; 3]);
}

/// Guards against a job that runs on a worker without its label because those that have it are
/// evacuated.
#[test]
fn a_label_stays_a_condition() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    for info in &mut fleet.infos[4..] {
        info.labels.insert(0, "special".into());
    }
    fleet.set_up();
    fleet.evacuate(&["b"]);
    let labelled = Step {
        label: Some("special".into()),
        ..step(1, 8)
    };
    fleet.submit("1", 1, labelled);
    for _ in 0..100 {
        assert!(fleet.advance(250).plan().orders.is_empty());
    }
    fleet.evacuate(&[]);
    assert_eq!(placed(&mut fleet), ["b"]);
}

/// Guards against preemption of runs whose resources nothing may use.
#[test]
fn no_run_there_is_preempted() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    fleet.submit("low", 2, step(8, 8));
    let low = starts(&fleet.plan());
    for order in &low {
        fleet.take(order);
    }
    fleet.evacuate(&["b"]);
    fleet.submit("urgent", 0, gang(6, 8));
    for _ in 0..10 {
        assert!(fleet.advance(250).plan().orders.is_empty());
    }
    // Guaranteed work preempts whatever the stops lose.
    let spec = Spec {
        text: "spec".into(),
        steps: vec![gang(2, 8)],
        repeat: None,
    };
    fleet.submit_spec("small", 0, "org-b", spec);
    fleet.plan();
    let stopped = stops(&fleet.advance(250).plan());
    assert_eq!(zones_of(&fleet, &stopped), ["a"; 2]);
}

/// Guards against evacuated workers that count in a decision about the others, such as the reserve for
/// urgent work or ample room.
#[test]
fn the_others_are_used_as_if_they_were_all() {
    for seed in 0..30 {
        let mut whole = Fleet::in_zones(16, &["a", "b"]);
        let mut part = Fleet::in_zones(16, &["a", "b"]);
        part.infos.retain(|i| &*i.zone == "a");
        part.set_up();
        whole.evacuate(&["b"]);
        let orders = [&mut whole, &mut part].map(|fleet| play(fleet, seed));
        assert!(orders[0] == orders[1], "seed {seed}");
        assert!(orders[0].iter().any(|o| !o.is_empty()));
    }
}

/// Plays random submissions and ends, and returns the orders of each pass.
fn play(fleet: &mut Fleet, seed: u64) -> Vec<Vec<Order>> {
    let mut rng = Rng::with_seed(seed);
    let mut running: Vec<(u64, Order)> = Vec::new();
    let mut seqs: BTreeMap<Text, u64> = BTreeMap::new();
    let mut all = Vec::new();
    for i in 0..200 {
        if rng.u32(..4) == 0 {
            let priority = rng.u32(..3);
            let rack = (rng.u32(..3) == 0).then(|| format!("r{}", 2 * rng.u32(..2)).into());
            let count = rng.u32(1..5);
            let step = match rng.u32(..3) {
                0 => gang(count, 8),
                1 => Step {
                    same_rack: true,
                    ..gang(count, 4)
                },
                _ => step(count, 4),
            };
            let step = Step {
                data_rack: rack.filter(|_| !step.gang),
                ..step
            };
            fleet.submit(&format!("j{i}"), priority, step);
        }
        let orders = fleet.advance(100).plan().orders;
        settle(fleet, &orders, &mut running, &mut seqs, &mut rng);
        all.push(orders);
    }
    all
}

/// Lets workers carry out orders at once and end their runs later.
fn settle(
    fleet: &mut Fleet,
    orders: &[Order],
    running: &mut Vec<(u64, Order)>,
    seqs: &mut BTreeMap<Text, u64>,
    rng: &mut Rng,
) {
    for order in orders {
        if order.action == batch::worker::Action::Stop {
            running.retain(|(_, o)| o.task != order.task);
            end(fleet, order, seqs, Outcome::Stopped);
        } else {
            fleet.take(order);
            running.push((fleet.now.0 + rng.u64(500..4_000), order.clone()));
        }
    }
    let now = fleet.now.0;
    let over: Vec<_> = running.extract_if(.., |(at, _)| *at <= now).collect();
    for (_, order) in over {
        end(fleet, &order, seqs, Outcome::Done);
    }
}

fn end(fleet: &mut Fleet, order: &Order, seqs: &mut BTreeMap<Text, u64>, outcome: Outcome) {
    let seq = seqs.entry(order.worker.clone()).or_default();
    *seq += 1;
    fleet.finish(order, *seq, outcome);
}

/// Guards against a burst of starts on workers that are slow after an evacuation, while others have room.
#[test]
fn cold_workers_are_used_after_warm_ones() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    for info in &mut fleet.infos[..4] {
        info.cold = Some(Millis(3_000));
    }
    fleet.set_up();
    // The fullest workers come first among equally warm ones.
    fleet.submit("0", 1, step(1, 4));
    assert_eq!(placed(&mut fleet), ["b"]);
    fleet.submit("1", 1, step(8, 4));
    let zones = placed(&mut fleet);
    assert_eq!(zones, [["b"; 7].as_slice(), &["a"]].concat());
    let tight = Step {
        same_rack: true,
        ..gang(2, 4)
    };
    fleet.submit("2", 1, tight);
    assert_eq!(placed(&mut fleet), ["a"; 2], "they are not excluded");
}

/// Guards against a worker that counts as cold for as long as its entry is not written again.
#[test]
fn a_worker_is_cold_for_the_time_that_its_entry_tells() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    for info in &mut fleet.infos[..4] {
        info.cold = Some(Millis(1_000));
        info.clock = fleet.now;
    }
    fleet.set_up();
    fleet.report("w00", &[], Vec::new());
    fleet.submit("0", 1, step(1, 4));
    assert_eq!(placed(&mut fleet), ["b"]);
    fleet.submit("1", 1, step(7, 4));
    assert_eq!(placed(&mut fleet), ["b"; 7]);
    fleet.advance(1_000).submit("2", 1, step(1, 4));
    let order = starts(&fleet.plan()).remove(0);
    assert_eq!(&*order.worker, "w00", "only its age is known");
}

/// Guards against an operator who waits for runs that are not listed, or for lasting ones, which do not
/// end by themselves.
#[test]
fn the_runs_that_are_left_are_listed() {
    let mut fleet = Fleet::in_zones(8, &["a", "b"]);
    let lasting = Step {
        endless: true,
        ..step(2, 8)
    };
    fleet.submit("lasting", 1, lasting);
    fleet.submit("bounded", 1, step(30, 1));
    let in_a = |o: &&Order| o.worker < "w04".into();
    let orders = starts(&fleet.plan());
    let count = orders.iter().filter(in_a).count();
    fleet.evacuate(&["a"]);
    let zones = fleet.scheduler.evacuated_zones();
    let [zone] = &zones[..] else {
        panic!("one data centre is evacuated");
    };
    assert_eq!((&*zone.zone, zone.workers, zone.runs), ("a", 4, count));
    let is_lasting = |o: &&Order| &*o.task.job == "lasting";
    let lasting = orders.iter().filter(in_a).filter(is_lasting).count();
    assert_eq!(zone.lasting, lasting);
    assert_eq!(zone.left.len(), count.min(20));
    let listed = zone.left.iter().filter(|r| r.lasting).count();
    assert_eq!(listed, lasting, "those that do not end come first");
}
