//! Tests of the worker's tasks on a clock of their own.

use base::clock::Millis;
use plan::{
    event::Report,
    order::{Action, Attempt, Order},
    record::{JobKey, Member},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::{
    worker::{OrdersBody, Run},
    worker_cfg::{Behaviour, JobBehaviour, WorkerCfg},
    worker_task::{Fenced, Machine},
};

const SEED: u64 = 20_261_204;
const LEASE: Millis = Millis(30_000);
const GO: Action = Action::Go;
const HOLD: Action = Action::Hold {
    cores: 8,
    memory_mb: 1_000,
};
const STOP: Action = Action::Stop { checkpoint: true };
const STOPPED: Report = Report::Stopped { checkpoint: true };
const UNSTARTED: Report = Report::Stopped { checkpoint: false };
const RUNNING: Report = Report::Running { memory_mb: 1_000 };

fn attempt(number: u32) -> Attempt {
    Attempt {
        job: JobKey {
            organisation: "tulegenov".parse().unwrap(),
            name: "score".parse().unwrap(),
        },
        attempt: number,
    }
}

/// A worker with the time and the fencing number of the next call.
struct Bench {
    machine: Machine,
    now: u64,
    fence: u64,
}

impl Bench {
    fn new() -> Self {
        Self::with(Behaviour::default())
    }

    fn with(behaviour: Behaviour) -> Self {
        let cfg = WorkerCfg {
            behaviour,
            ..WorkerCfg::default()
        };
        Self {
            machine: Machine::new(cfg),
            now: 1_000,
            fence: 5,
        }
    }

    fn call(
        &mut self,
        renew: &[u32],
        orders: &[(u32, u32, Action)],
    ) -> Result<Vec<(u32, u32, Report)>, Fenced> {
        let worker = self.machine.cfg.info.name.clone();
        let order = |(number, accelerators, action): &(u32, u32, Action)| Order {
            attempt: attempt(*number),
            member: Member {
                worker: worker.clone(),
                accelerators: *accelerators,
            },
            action: *action,
        };
        let body = OrdersBody {
            fence: self.fence,
            lease_ms: LEASE,
            renew: renew.iter().map(|n| attempt(*n)).collect(),
            orders: orders.iter().map(order).collect(),
        };
        let answer = self.machine.orders(Millis(self.now), &body)?;
        let tasks = answer.tasks.into_iter();
        Ok(tasks
            .map(|t| (t.attempt.attempt, t.accelerators, t.report))
            .collect())
    }

    /// Sends orders for accelerator 0 of attempt 1 and returns its report, if it has one.
    fn report(&mut self, actions: &[Action]) -> Option<Report> {
        let orders: Vec<_> = actions.iter().map(|a| (1, 1, *a)).collect();
        let tasks = self.call(&[1], &orders).unwrap();
        assert!(tasks.len() <= 1, "{tasks:?}");
        tasks.first().map(|t| t.2)
    }
}

/// Guards against orders or renewals of a scheduler that has lost its lease.
#[test]
fn lower_fencing_numbers_are_refused() {
    let mut w = Bench::new();
    assert_eq!(w.report(&[HOLD, GO]), Some(RUNNING));
    w.fence = 6;
    assert_eq!(w.report(&[]), Some(RUNNING));
    w.fence = 5;
    w.now += 20_000;
    let refused = Err(Fenced { highest_fence: 6 });
    assert_eq!(w.call(&[1], &[(1, 1, STOP), (2, 2, HOLD)]), refused);
    w.fence = 6;
    w.now += 9_999;
    assert_eq!(w.call(&[], &[]).unwrap(), [(1, 1, RUNNING)]);
    w.now += 1;
    w.machine.advance(Millis(w.now + 20));
    assert_eq!(w.machine.history[0].end, Some(STOPPED));
}

/// Guards against holds that last for ever, end early, or start after their end.
#[test]
fn holds_expire() {
    let mut w = Bench::new();
    assert_eq!(w.report(&[HOLD]), Some(Report::Held));
    w.now += 19_999;
    assert_eq!(w.report(&[]), Some(Report::Held));
    w.now += 1;
    assert_eq!(w.report(&[GO]), Some(Report::NotHeld));
    assert_eq!(w.report(&[HOLD]), Some(Report::Held));
    w.now += 15_000;
    assert_eq!(w.report(&[HOLD]), Some(Report::Held));
    w.now += 15_000;
    assert_eq!(w.report(&[]), Some(Report::Held));
    assert_eq!(w.machine.history, []);
}

/// Guards against tasks that outlive their lease, and against accelerators that are given away
/// before the task has stopped.
#[test]
fn tasks_stop_when_their_lease_lapses() {
    let mut w = Bench::with(Behaviour {
        stop_ms: Millis(500),
        ..Behaviour::default()
    });
    w.report(&[HOLD, GO]);
    w.now += 20_000;
    assert_eq!(w.report(&[]), Some(RUNNING));
    w.now += 30_499;
    let tasks = w.call(&[], &[(2, 1, HOLD)]).unwrap();
    assert_eq!(tasks, [(1, 1, RUNNING), (2, 1, Report::NotHeld)]);
    w.now += 1;
    let tasks = w.call(&[], &[(2, 1, HOLD)]).unwrap();
    assert_eq!(tasks, [(1, 1, STOPPED), (2, 1, Report::Held)]);
    assert_eq!(w.machine.history[0].ended_at, Some(Millis(51_500)));
}

/// Guards against orders whose repetition changes the outcome, and against attempts that start
/// twice.
#[test]
fn orders_are_idempotent() {
    let cases: [(&str, &[Action], Report, usize); 9] = [
        ("hold", &[HOLD], Report::Held, 0),
        ("go", &[HOLD, GO], RUNNING, 1),
        ("go without hold", &[GO], Report::NotHeld, 0),
        ("release", &[HOLD, Action::Release], Report::NotHeld, 0),
        ("release of a run", &[HOLD, GO, Action::Release], RUNNING, 1),
        ("stop", &[HOLD, GO, STOP], STOPPED, 1),
        ("stop of a hold", &[HOLD, STOP], UNSTARTED, 0),
        ("stop of nothing", &[STOP], UNSTARTED, 0),
        ("go after stop", &[HOLD, STOP, GO], UNSTARTED, 0),
    ];
    for (name, actions, expected, runs) in cases {
        let mut w = Bench::new();
        w.report(actions);
        w.now += 20;
        for _ in 0..2 {
            assert_eq!(
                w.report(&actions[actions.len() - 1..]),
                Some(expected),
                "{name}"
            );
        }
        assert_eq!(w.machine.history.len(), runs, "{name}");
    }
    let mut w = Bench::new();
    w.report(&[HOLD, GO, STOP]);
    w.now += 20;
    assert_eq!(w.report(&[HOLD, GO]), Some(STOPPED));
    assert_eq!(w.call(&[], &[]).unwrap(), []);
    assert_eq!(w.report(&[HOLD, GO]), Some(Report::NotHeld));
    assert_eq!(w.machine.history.len(), 1);
}

/// Guards against resources that are held twice or do not exist.
#[test]
fn holds_beyond_the_resources_are_refused() {
    let hold = |cores, memory_mb| Action::Hold { cores, memory_mb };
    let cases = [
        ("free", 0b0001_1100, hold(32, 1), true),
        ("one accelerator taken", 0b0000_0110, hold(1, 1), false),
        ("beyond the worker", 0b1_0000_0000, hold(1, 1), false),
        ("too many cores", 0b0001_0000, hold(57, 1), false),
        ("too much memory", 0b0001_0000, hold(1, 261_145), false),
        ("the rest", 0b1111_1100, hold(56, 261_144), true),
    ];
    for (name, mask, action, granted) in cases {
        let mut w = Bench::new();
        let tasks = w.call(&[], &[(1, 0b11, HOLD), (2, mask, action)]).unwrap();
        let report = if granted {
            Report::Held
        } else {
            Report::NotHeld
        };
        assert_eq!(tasks[1], (2, mask, report), "{name}");
    }
    let mut w = Bench::with(Behaviour {
        refuses_holds: true,
        ..Behaviour::default()
    });
    assert_eq!(w.report(&[HOLD]), Some(Report::NotHeld));
}

/// Guards against outcomes that a new scheduler never sees, or that are kept for ever.
#[test]
fn ended_tasks_are_dropped_when_their_scheduler_knows() {
    let mut w = Bench::with(Behaviour {
        run_ms: Millis(10),
        ..Behaviour::default()
    });
    w.report(&[HOLD, GO]);
    w.now += 10;
    assert_eq!(w.call(&[], &[]).unwrap(), [(1, 1, Report::Done)]);
    w.fence = 6;
    assert_eq!(w.call(&[], &[]).unwrap(), [(1, 1, Report::Done)]);
    assert_eq!(w.report(&[]), Some(Report::Done));
    assert_eq!(w.call(&[], &[]).unwrap(), []);
}

/// Guards against behaviour switches without effect.
#[test]
fn behaviour_shapes_runs() {
    let job = JobBehaviour {
        job: "score".parse().unwrap(),
        run_ms: Millis(400),
        memory_mb: Some(3_000),
        fails: true,
    };
    let mut w = Bench::with(Behaviour {
        jobs: vec![job],
        usage_lag_ms: Millis(100),
        ..Behaviour::default()
    });
    let running = |memory_mb| Some(Report::Running { memory_mb });
    assert_eq!(w.report(&[HOLD, GO]), running(0));
    w.now += 99;
    assert_eq!(w.report(&[]), running(0));
    w.now += 1;
    assert_eq!(w.report(&[]), running(3_000));
    assert_eq!(w.report(&[Action::Throttle]), running(1_000));
    w.now += 300;
    assert_eq!(w.report(&[]), Some(Report::Failed));
    assert_eq!(w.machine.history[0].ended_at, Some(Millis(1_400)));
    w.machine.behaviour.fails_all = true;
    let tasks = w.call(&[1], &[(2, 2, HOLD), (2, 2, GO)]).unwrap();
    assert_eq!(tasks[1], (2, 2, Report::Failed));
}

/// One call of a random schedule.
#[derive(Clone, Debug)]
struct Step {
    wait: u64,
    renew: bool,
    orders: Vec<(u32, u32, u8)>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut orders: Vec<(u32, u32, u8)> = Arbitrary::arbitrary(g);
        orders.truncate(6);
        Self {
            wait: u64::from(u16::arbitrary(g) % 6_000),
            renew: bool::arbitrary(g),
            orders,
        }
    }
}

fn overlap(a: &Run, b: &Run) -> bool {
    let ends = |r: &Run| r.ended_at.unwrap_or(Millis(u64::MAX));
    a.accelerators & b.accelerators != 0 && a.started_at < ends(b) && b.started_at < ends(a)
}

fn runs_are_exclusive(steps: Vec<Step>) -> bool {
    let mut w = Bench::with(Behaviour {
        run_ms: Millis(9_000),
        stop_ms: Millis(5_000),
        ..Behaviour::default()
    });
    for step in steps {
        w.now += step.wait;
        let renew: &[u32] = if step.renew { &[0, 1, 2, 3, 4, 5] } else { &[] };
        let order = |(attempt, mask, action): &(u32, u32, u8)| {
            let action = [HOLD, HOLD, GO, GO, Action::Release, STOP][usize::from(*action % 6)];
            (
                attempt % 6,
                [1, 2, 3, 6, 12, 0xF0][*mask as usize % 6],
                action,
            )
        };
        let orders: Vec<_> = step.orders.iter().map(order).collect();
        w.call(renew, &orders).unwrap();
    }
    let runs = &w.machine.history;
    runs.iter().enumerate().all(|(i, a)| {
        runs[..i].iter().all(|b| {
            let same = a.attempt == b.attempt && a.accelerators == b.accelerators;
            !same && !overlap(a, b)
        })
    })
}

/// Guards against any schedule of orders that uses an accelerator twice at a time or starts a
/// task twice.
#[test]
fn no_schedule_uses_an_accelerator_twice() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(400)
        .quickcheck(runs_are_exclusive as fn(Vec<Step>) -> bool);
}
