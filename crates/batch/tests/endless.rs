//! Work that lasts until its job is cancelled, and work that fills gaps beside it.

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

fn filling() -> Step {
    Step {
        fills: true,
        ..step(1, 0)
    }
}

/// Guards against lasting work that is given up after failures or counted as done.
#[test]
fn lasting_work_starts_again_however_it_ends() {
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
        fleet.after(20_000);
        let order = starts(&fleet.plan()).remove(0);
        assert_eq!(order.attempt, seq as u32 + 1);
        fleet.after(1_000).end(&order, seq as u64 + 1, outcome);
        assert_eq!(
            fleet.scheduler.phase("1"),
            Some(Phase::Running),
            "{outcome:?}"
        );
    }
}

/// Guards against work that fills gaps and slows down the response times of work beside it.
#[test]
fn filling_work_keeps_away_from_serving_work() {
    let mut fleet = Fleet::new(2);
    fleet.submit("serving", 1, serving());
    let serving = starts(&fleet.plan()).remove(0);
    fleet.submit("filling", 2, filling());
    let filling = starts(&fleet.plan()).remove(0);
    assert_ne!(serving.worker, filling.worker);
    // And the other way round: more serving work keeps away from the worker that fills.
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

/// Guards against an order that interrupts lasting work, for urgent work or for a leaving worker.
#[test]
fn lasting_work_is_not_stopped() {
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
    fleet.after(5_000);
    assert!(stops(&fleet.plan()).is_empty());
    fleet.infos[0].draining = true;
    fleet
        .scheduler
        .update_workers(fleet.infos.clone(), fleet.now);
    fleet.scheduler.evacuate(fleet.now);
    assert!(stops(&fleet.plan()).is_empty());
}

/// Guards against a leaving worker that takes unfinished work with it although there was time.
#[test]
fn work_that_cannot_end_in_time_leaves_before_its_worker() {
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
        .update_workers(fleet.infos.clone(), fleet.now);
    fleet.scheduler.evacuate(fleet.now);
    let first = stops(&fleet.plan());
    assert_eq!(first.len(), 1);
    assert_eq!(&*first[0].task.job, "long");
    fleet.after(1_500);
    fleet.scheduler.evacuate(fleet.now);
    let second = stops(&fleet.plan());
    assert!(second.iter().any(|o| &*o.task.job == "saves"), "{second:?}");
}
