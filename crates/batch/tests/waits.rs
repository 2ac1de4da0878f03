//! Waits of work for which the fleet has room: each preference has an end.

mod fleet;

use base::clock::Millis;
use batch::{job::Step, progress::Phase, worker::Outcome};
use fastrand::Rng;
use fleet::{Fleet, gang, step};
use quickcheck::{Gen, QuickCheck};

/// Maximum wait for work that the fleet has room for.
const MAX_WAIT: Millis = Millis(2_000);
/// Interval between two passes.
const PASS: u64 = 250;
/// Number of workers in a rack of the fleet.
const RACK: usize = 4;
/// Run time of the other work, which outlasts the test.
const LONG: Millis = Millis(600_000);

/// Submits a job and returns the time until all of its subtasks have been started, or `None` if they
/// are not within 20 s.
fn wait_of(fleet: &mut Fleet, priority: u32, step: Step) -> Option<Millis> {
    let submitted = fleet.now;
    let mut missing = step.count as usize;
    fleet.submit("waiting", priority, step);
    while fleet.now.since(submitted) <= Millis(20_000) {
        let orders = fleet.start_all();
        missing -= orders.iter().filter(|o| &*o.task.job == "waiting").count();
        if missing == 0 {
            return Some(fleet.now.since(submitted));
        }
        fleet.advance(PASS);
    }
    None
}

/// Starts long work that uses `accelerators` of a worker.
fn occupy(fleet: &mut Fleet, worker: usize, accelerators: u64) {
    let label = format!("only-{worker}");
    // The last label names the rack.
    fleet.infos[worker].labels.insert(0, label.as_str().into());
    let (infos, now) = (fleet.infos.clone(), fleet.now);
    fleet.scheduler.replace_vm_list(infos, now);
    let busy = Step {
        estimate: LONG,
        label: Some(label.into()),
        ..step(1, accelerators)
    };
    fleet.submit(&format!("busy-{worker}"), 1, busy);
    assert_eq!(fleet.start_all().len(), 1);
}

/// Lets urgent work use two workers for 4 s beside a gang that waits for more room than there is. Its
/// load leaves a reserve.
fn play_urgent_work(fleet: &mut Fleet) {
    fleet.submit("wide", 1, gang(16, 8));
    fleet.start_all();
    fleet.submit("urgent", 0, step(2, 8));
    let urgent = fleet.start_all();
    assert_eq!(urgent.len(), 2);
    for _ in 0..16 {
        fleet.advance(PASS);
        fleet.start_all();
    }
    for (order, seq) in urgent.iter().zip(1..) {
        fleet.finish(order, seq, Outcome::Done);
    }
}

fn is_in_time(wait: Option<Millis>) -> bool {
    wait.is_some_and(|w| w <= MAX_WAIT)
}

/// Guards against a job that waits for its data rack, of which no worker is left.
#[test]
fn work_does_not_wait_for_a_rack_that_is_gone() {
    for step in [step(2, 1), gang(2, 1)] {
        let mut fleet = Fleet::new(16);
        fleet.infos.drain(..RACK);
        let (infos, now) = (fleet.infos.clone(), fleet.now);
        fleet.scheduler.replace_vm_list(infos, now);
        let step = Step {
            data_rack: Some("r0".into()),
            estimate: Millis(40_000),
            ..step
        };
        let wait = wait_of(&mut fleet, 1, step.clone());
        assert_eq!(wait, Some(Millis::ZERO), "{step:?}");
    }
}

/// Guards against a gang that waits for a data rack which is too small for it.
#[test]
fn work_does_not_wait_for_a_rack_that_is_too_small() {
    let mut fleet = Fleet::new(16);
    let step = Step {
        data_rack: Some("r0".into()),
        estimate: Millis(40_000),
        ..gang(6, 8)
    };
    assert_eq!(wait_of(&mut fleet, 1, step), Some(Millis::ZERO));
}

/// Guards against a job that waits for a rack full of long work, beside idle racks.
#[test]
fn work_does_not_wait_long_for_a_full_rack_beside_idle_ones() {
    let mut fleet = Fleet::new(16);
    for worker in 0..RACK {
        occupy(&mut fleet, worker, 8);
    }
    let step = Step {
        data_rack: Some("r0".into()),
        estimate: Millis(40_000),
        ..step(2, 1)
    };
    let wait = wait_of(&mut fleet, 1, step);
    assert!(is_in_time(wait), "{wait:?}");
}

/// Guards against a gang that waits for one rack with room for all of it, beside twice that room.
#[test]
fn a_gang_does_not_wait_long_for_one_rack_beside_idle_workers() {
    let mut fleet = Fleet::new(16);
    for rack in 0..4 {
        occupy(&mut fleet, rack * RACK, 8);
    }
    let step = Step {
        same_rack: true,
        estimate: Millis(40_000),
        ..gang(4, 8)
    };
    let wait = wait_of(&mut fleet, 1, step);
    assert!(is_in_time(wait), "{wait:?}");
}

/// Guards against work that waits until the runs on a worker have ended, because three workers have
/// crashed under it.
#[test]
fn a_suspect_does_not_wait_long_for_a_worker_of_its_own() {
    let mut fleet = Fleet::new(4);
    for worker in 0..4 {
        occupy(&mut fleet, worker, 1);
    }
    fleet.submit("suspect", 1, step(1, 1));
    let mut crashed = fleet.now;
    for crashes in 0..4 {
        let order = loop {
            let orders = fleet.start_all();
            if let Some(order) = orders.into_iter().find(|o| &*o.task.job == "suspect") {
                break order;
            }
            assert!(
                fleet.now.since(crashed) <= MAX_WAIT,
                "after {crashes} crashes"
            );
            fleet.advance(PASS);
        };
        let now = fleet.advance(2_500).now;
        fleet.lose(&order.worker, now);
        fleet.advance(3_000).replace(&order.worker);
        crashed = fleet.now;
    }
}

/// Guards against lasting work that has lost its worker and is not started on an idle one, which is
/// kept free for urgent work.
#[test]
fn lasting_work_is_started_on_a_reserved_worker() {
    let mut fleet = Fleet::new(8);
    for worker in 2..8 {
        occupy(&mut fleet, worker, 8);
    }
    play_urgent_work(&mut fleet);
    // Waits for the same room, and may not use what is reserved.
    fleet.submit("narrow", 1, step(1, 8));
    let lasting = Step {
        endless: true,
        ..step(1, 8)
    };
    let wait = wait_of(&mut fleet, 1, lasting);
    assert!(is_in_time(wait), "{wait:?}");
}

/// Guards against an idle service whose workers are kept free for urgent work of a full one.
#[test]
fn the_reserve_leaves_an_idle_service_alone() {
    let mut fleet = Fleet::new(16);
    for info in &mut fleet.infos[..RACK] {
        info.service = "idle".into();
        info.clock = fleet.now;
    }
    let mut config = fleet::config();
    config.version = 2;
    config.queues[2].service = "idle".into();
    fleet.scheduler.configure(&std::rc::Rc::new(config));
    let (infos, now) = (fleet.infos.clone(), fleet.now);
    fleet.scheduler.replace_vm_list(infos, now);
    for worker in RACK..14 {
        occupy(&mut fleet, worker, 8);
    }
    play_urgent_work(&mut fleet);
    let wait = wait_of(&mut fleet, 2, step(4, 8));
    assert!(is_in_time(wait), "{wait:?}");
}

/// Returns a step of any shape.
fn any_step(rng: &mut Rng) -> Step {
    let accelerators = [1, 2, 4, 8][rng.usize(..4)];
    let count = rng.u32(1..=6);
    Step {
        gang: rng.bool(),
        same_rack: rng.bool(),
        data_rack: rng.bool().then(|| format!("r{}", rng.u8(..5)).into()),
        endless: rng.u8(..4) == 0,
        estimate: Millis(rng.u64(1_000..60_000)),
        ..step(count, accelerators)
    }
}

/// Plays a job of any shape on a calm fleet that has room for it twice over, and of which it uses, with
/// all other work, less than half.
fn work_with_room_starts_soon(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::new(16);
    let step = any_step(&mut rng);
    let (mut used, all) = (u64::from(step.count) * step.need.accelerators, 16 * 8);
    let mut workers: Vec<usize> = (0..16).collect();
    rng.shuffle(&mut workers);
    for worker in workers {
        let accelerators = [1, 4, 8][rng.usize(..3)];
        if (used + accelerators) * 2 >= all {
            break;
        }
        occupy(&mut fleet, worker, accelerators);
        used += accelerators;
    }
    fleet.advance(5_000);
    fleet.start_all();
    let fits = |need: u64| {
        let idle = |w: &batch::worker::WorkerInfo| {
            let has_own = w.labels.len() > 2;
            if has_own { 0 } else { 8 / need }
        };
        fleet.infos.iter().map(idle).sum::<u64>()
    };
    if fits(step.need.accelerators) < 2 * u64::from(step.count) {
        return true;
    }
    let priority = rng.u32(0..3);
    let wait = wait_of(&mut fleet, priority, step.clone());
    assert!(is_in_time(wait), "seed {seed}: {wait:?} {step:?}");
    assert_eq!(fleet.scheduler.phase("waiting"), Some(Phase::Running));
    true
}

/// Takes a worker away: it is silent and may still be listed, was replaced, or announces its shutdown.
fn lose(fleet: &mut Fleet, worker: &str, rng: &mut Rng) {
    let (kind, now, wall) = (rng.u8(..4), fleet.now, fleet.wall());
    match kind {
        0 | 1 => {
            fleet.lose(worker, now);
            let now = fleet.advance(6_000).now;
            fleet.scheduler.handle_lease_expiry(worker, now);
        }
        2 => fleet.scheduler.handle_replaced(worker, now, wall),
        _ => {}
    }
    let mut infos = fleet.infos.iter_mut();
    match kind {
        0 => {}
        1 | 2 => fleet.infos.retain(|i| &*i.id != worker),
        _ => infos.find(|i| &*i.id == worker).unwrap().draining = true,
    }
}

/// Plays losses of workers of a data rack, beside runs and short outages of others, and a job with that
/// rack.
fn work_starts_soon_after_losses(seed: u64) -> bool {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::new(16);
    fleet.submit("beside", rng.u32(0..3), step(rng.u32(1..20), 1));
    let orders = fleet.start_all();
    let ids: Vec<_> = fleet.infos.iter().map(|i| i.id.clone()).collect();
    for worker in &ids[..rng.usize(1..=RACK)] {
        lose(&mut fleet, worker, &mut rng);
    }
    for _ in 0..rng.u32(0..20) {
        let worker = &ids[rng.usize(RACK..16)];
        fleet.lose(worker, fleet.now);
        let now = fleet.advance(rng.u64(0..400)).now;
        fleet.scheduler.set_responding(worker, true, now);
    }
    fleet.list_workers();
    if rng.u8(..4) == 0 {
        fleet.restart();
        for order in orders.iter().filter(|o| ids[RACK..].contains(&o.worker)) {
            let of_worker = orders.iter().filter(|o| o.worker == order.worker);
            fleet.report(&order.worker, &of_worker.collect::<Vec<_>>(), vec![]);
        }
    }
    let step = Step {
        data_rack: Some("r0".into()),
        estimate: Millis(40_000),
        ..if rng.bool() { step(2, 2) } else { gang(2, 8) }
    };
    let wait = wait_of(&mut fleet, 1, step);
    assert!(is_in_time(wait), "seed {seed}: {wait:?}");
    true
}

/// Guards against work that waits for a data rack of which workers are lost, beside idle ones.
#[test]
fn work_starts_soon_after_losses_in_its_rack() {
    let property: fn(u64) -> bool = work_starts_soon_after_losses;
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(100, 69))
        .quickcheck(property);
}

/// Guards against any wait beyond its bound in a calm system with room.
#[test]
fn work_with_room_starts_soon_in_any_calm_fleet() {
    let property: fn(u64) -> bool = work_with_room_starts_soon;
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 48))
        .quickcheck(property);
}
