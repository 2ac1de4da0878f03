//! Endless runs, which last until their job is cancelled, and filler work, which uses only leftover
//! processor time.

mod fleet;

use base::clock::Millis;
use batch::{
    job::Step,
    progress::Phase,
    worker::{Outcome, StartReply},
};
use fleet::{Fleet, starts, step, stops};

fn serving() -> Step {
    Step {
        endless: true,
        target: Some(Millis(50)),
        ..step(1, 1)
    }
}

fn filler() -> Step {
    Step {
        fills: true,
        ..step(1, 0)
    }
}

/// Guards against endless runs that are given up after failures or counted as done.
#[test]
fn endless_runs_restart_after_any_outcome() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, serving());
    let ends = [
        Outcome::Failed,
        Outcome::Failed,
        Outcome::Failed,
        Outcome::Done,
        Outcome::Lapsed,
    ];
    for (seq, outcome) in ends.into_iter().enumerate() {
        fleet.advance(20_000);
        let order = starts(&fleet.plan()).remove(0);
        assert_eq!(order.attempt, seq as u32 + 1);
        fleet.advance(1_000).finish(&order, seq as u64 + 1, outcome);
        assert_eq!(
            fleet.scheduler.phase("1"),
            Some(Phase::Running),
            "{outcome:?}"
        );
    }
}

/// Guards against filler work that increases the response times of serving work on the same worker.
#[test]
fn filler_work_is_not_placed_beside_serving_work() {
    let mut fleet = Fleet::new(2);
    fleet.submit("serving", 1, serving());
    let serving = starts(&fleet.plan()).remove(0);
    fleet.submit("filler", 2, filler());
    let filler = starts(&fleet.plan()).remove(0);
    assert_ne!(serving.worker, filler.worker);
    // Conversely, more serving work is not placed on the worker with filler work.
    fleet.submit(
        "more",
        1,
        Step {
            count: 7,
            ..self::serving()
        },
    );
    assert!(
        starts(&fleet.plan())
            .iter()
            .all(|o| o.worker == serving.worker)
    );
}

/// Guards against stops of endless runs, whether to preempt them or to evacuate a draining worker.
#[test]
fn endless_runs_are_not_stopped() {
    let mut fleet = Fleet::new(1);
    fleet.submit(
        "1",
        1,
        Step {
            count: 8,
            ..serving()
        },
    );
    let orders = starts(&fleet.plan());
    let now = fleet.now;
    for order in &orders {
        fleet
            .scheduler
            .handle_start_reply(&order.task, 1, StartReply::Taken, now);
    }
    fleet.submit("urgent", 0, step(1, 8));
    fleet.advance(5_000);
    assert!(stops(&fleet.plan()).is_empty());
    fleet.infos[0].draining = true;
    fleet
        .scheduler
        .replace_vm_list(fleet.infos.clone(), fleet.now);
    fleet.scheduler.evacuate(fleet.now);
    assert!(stops(&fleet.plan()).is_empty());
}

/// Guards against work that is lost with a draining worker although there was time to stop it.
#[test]
fn runs_that_cannot_finish_are_stopped_before_their_worker_shuts_down() {
    let mut fleet = Fleet::new(1);
    fleet.submit("long", 1, step(1, 1));
    let checkpoints = Step {
        checkpoints: true,
        ..step(1, 1)
    };
    fleet.submit("saves", 1, checkpoints);
    for order in starts(&fleet.plan()) {
        let now = fleet.now;
        fleet
            .scheduler
            .handle_start_reply(&order.task, 1, StartReply::Taken, now);
    }
    fleet.infos[0].draining = true;
    fleet.infos[0].remaining = Some(Millis(3_000));
    fleet
        .scheduler
        .replace_vm_list(fleet.infos.clone(), fleet.now);
    fleet.scheduler.evacuate(fleet.now);
    let first = stops(&fleet.plan());
    assert_eq!(first.len(), 1);
    assert_eq!(&*first[0].task.job, "long");
    fleet.advance(1_500);
    fleet.scheduler.evacuate(fleet.now);
    let second = stops(&fleet.plan());
    assert!(second.iter().any(|o| &*o.task.job == "saves"), "{second:?}");
}

/// Guards against sound workers without work, because all endless runs there failed at the same moment:
/// such work ends in no other way.
#[test]
fn failures_of_endless_work_do_not_spoil_their_workers() {
    let mut fleet = Fleet::new(2);
    let lasting = Step {
        endless: true,
        ..step(14, 1)
    };
    fleet.submit("lasting", 1, lasting);
    let placed = starts(&fleet.plan());
    assert_eq!(placed.len(), 14);
    for order in &placed {
        fleet.take(order);
    }
    fleet.advance(10_000);
    for worker in ["w00", "w01"] {
        let here = placed.iter().filter(|o| &*o.worker == worker);
        let ends = here
            .zip(1..)
            .map(|(o, seq)| fleet::finished(o, seq, Outcome::Failed));
        let ends = ends.collect();
        fleet.report(worker, &[], ends);
    }
    fleet.submit("other", 1, step(2, 1));
    let other = starts(&fleet.plan());
    assert_eq!(other.len(), 2, "other work starts at once: {other:?}");
    assert!(other.iter().all(|o| &*o.task.job == "other"));
    assert!(fleet.scheduler.failing_workers().iter().next().is_none());
    // 9 s after its last run endless work has to be back, wherever it fits.
    fleet.advance(2_000);
    assert_eq!(starts(&fleet.plan()).len(), 14);
}

/// Guards against endless work that is started again and again on a worker that fails all of it.
#[test]
fn endless_work_moves_away_from_where_it_fails() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, serving());
    let first = starts(&fleet.plan()).remove(0);
    fleet.advance(500).finish(&first, 1, Outcome::Failed);
    let second = starts(&fleet.plan()).remove(0);
    assert_ne!(second.worker, first.worker);
}
