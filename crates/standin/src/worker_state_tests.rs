//! Tests of the tasks of a worker on a simulated clock.

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
    worker_state::{Fenced, WorkerState},
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
const NOT_STARTED: Report = Report::Stopped { checkpoint: false };
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

/// A worker with the time and the fencing token of the next call.
struct Fixture {
    state: WorkerState,
    now: u64,
    fence: u64,
}

impl Fixture {
    fn new() -> Self {
        Self::with(Behaviour::default())
    }

    fn with(behaviour: Behaviour) -> Self {
        let cfg = WorkerCfg {
            behaviour,
            ..WorkerCfg::default()
        };
        Self {
            state: WorkerState::new(cfg),
            now: 1_000,
            fence: 5,
        }
    }

    fn call(
        &mut self,
        renew: &[u32],
        orders: &[(u32, u32, Action)],
    ) -> Result<Vec<(u32, u32, Report)>, Fenced> {
        let name = self.state.cfg.info.name.clone();
        let order = |(number, accelerators, action): &(u32, u32, Action)| Order {
            attempt: attempt(*number),
            member: Member {
                worker: name.clone(),
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
        let answer = self.state.apply_orders(Millis(self.now), &body)?;
        let tasks = answer.tasks.into_iter();
        Ok(tasks
            .map(|t| (t.attempt.attempt, t.accelerators, t.report))
            .collect())
    }

    /// Renews attempt 1, sends orders for its accelerator 0 and returns the report on it, if any.
    fn send(&mut self, actions: &[Action]) -> Option<Report> {
        let orders: Vec<_> = actions.iter().map(|a| (1, 1, *a)).collect();
        let tasks = self.call(&[1], &orders).unwrap();
        assert!(tasks.len() <= 1, "{tasks:?}");
        tasks.first().map(|t| t.2)
    }
}

/// Guards against a worker that accepts orders or renewals from a scheduler that lost its lease.
#[test]
fn lower_fencing_tokens_are_refused() {
    let mut worker = Fixture::new();
    assert_eq!(worker.send(&[HOLD, GO]), Some(RUNNING));
    worker.fence = 6;
    assert_eq!(worker.send(&[]), Some(RUNNING));
    worker.fence = 5;
    worker.now += 20_000;
    let refused = Err(Fenced { highest_fence: 6 });
    assert_eq!(worker.call(&[1], &[(1, 1, STOP), (2, 2, HOLD)]), refused);
    worker.fence = 6;
    worker.now += 9_999;
    assert_eq!(worker.call(&[], &[]).unwrap(), [(1, 1, RUNNING)]);
    worker.now += 1;
    worker.state.advance(Millis(worker.now + 20));
    assert_eq!(worker.state.history[0].end, Some(STOPPED));
}

/// Guards against holds that never expire, expire early, or can be started after their expiry.
#[test]
fn holds_expire() {
    let mut worker = Fixture::new();
    assert_eq!(worker.send(&[HOLD]), Some(Report::Held));
    worker.now += 19_999;
    assert_eq!(worker.send(&[]), Some(Report::Held));
    worker.now += 1;
    assert_eq!(worker.send(&[GO]), Some(Report::NotHeld));
    assert_eq!(worker.send(&[HOLD]), Some(Report::Held));
    worker.now += 15_000;
    assert_eq!(worker.send(&[HOLD]), Some(Report::Held));
    worker.now += 15_000;
    assert_eq!(worker.send(&[]), Some(Report::Held));
    assert_eq!(worker.state.history, []);
}

/// Guards against tasks that run on after their lease expired, and against accelerators that are
/// held for another task before the first one has stopped.
#[test]
fn tasks_stop_when_their_lease_expires() {
    let mut worker = Fixture::with(Behaviour {
        stop_ms: Millis(500),
        ..Behaviour::default()
    });
    worker.send(&[HOLD, GO]);
    worker.now += 20_000;
    assert_eq!(worker.send(&[]), Some(RUNNING));
    worker.now += 30_499;
    let tasks = worker.call(&[], &[(2, 1, HOLD)]).unwrap();
    assert_eq!(tasks, [(1, 1, RUNNING), (2, 1, Report::NotHeld)]);
    worker.now += 1;
    let tasks = worker.call(&[], &[(2, 1, HOLD)]).unwrap();
    assert_eq!(tasks, [(1, 1, STOPPED), (2, 1, Report::Held)]);
    assert_eq!(worker.state.history[0].ended_at, Some(Millis(51_500)));
}

/// Guards against repeated orders that change the outcome, and against attempts that start twice.
#[test]
fn orders_are_idempotent() {
    let cases: [(&str, &[Action], Report, usize); 9] = [
        ("hold", &[HOLD], Report::Held, 0),
        ("go", &[HOLD, GO], RUNNING, 1),
        ("go without hold", &[GO], Report::NotHeld, 0),
        ("release", &[HOLD, Action::Release], Report::NotHeld, 0),
        ("release of a run", &[HOLD, GO, Action::Release], RUNNING, 1),
        ("stop", &[HOLD, GO, STOP], STOPPED, 1),
        ("stop of a hold", &[HOLD, STOP], NOT_STARTED, 0),
        ("stop of nothing", &[STOP], NOT_STARTED, 0),
        ("go after stop", &[HOLD, STOP, GO], NOT_STARTED, 0),
    ];
    for (name, actions, expected, runs) in cases {
        let mut worker = Fixture::new();
        worker.send(actions);
        worker.now += 20;
        for _ in 0..2 {
            assert_eq!(
                worker.send(&actions[actions.len() - 1..]),
                Some(expected),
                "{name}"
            );
        }
        assert_eq!(worker.state.history.len(), runs, "{name}");
    }
    let mut worker = Fixture::new();
    worker.send(&[HOLD, GO, STOP]);
    worker.now += 20;
    assert_eq!(worker.send(&[HOLD, GO]), Some(STOPPED));
    assert_eq!(worker.call(&[], &[]).unwrap(), []);
    assert_eq!(worker.send(&[HOLD, GO]), Some(Report::NotHeld));
    assert_eq!(worker.state.history.len(), 1);
}

/// Guards against holds of resources that are already held or do not exist.
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
        let mut worker = Fixture::new();
        let tasks = worker
            .call(&[], &[(1, 0b11, HOLD), (2, mask, action)])
            .unwrap();
        let report = if granted {
            Report::Held
        } else {
            Report::NotHeld
        };
        assert_eq!(tasks[1], (2, mask, report), "{name}");
    }
    let mut worker = Fixture::with(Behaviour {
        refuses_holds: true,
        ..Behaviour::default()
    });
    assert_eq!(worker.send(&[HOLD]), Some(Report::NotHeld));
}

/// Guards against reports on ended tasks that never reach a new scheduler or are kept for ever.
#[test]
fn ended_tasks_are_removed_after_they_were_reported() {
    let mut worker = Fixture::with(Behaviour {
        run_ms: Millis(10),
        ..Behaviour::default()
    });
    worker.send(&[HOLD, GO]);
    worker.now += 10;
    assert_eq!(worker.call(&[], &[]).unwrap(), [(1, 1, Report::Done)]);
    worker.fence = 6;
    assert_eq!(worker.call(&[], &[]).unwrap(), [(1, 1, Report::Done)]);
    assert_eq!(worker.send(&[]), Some(Report::Done));
    assert_eq!(worker.call(&[], &[]).unwrap(), []);
}

/// Guards against settings of the behaviour that have no effect.
#[test]
fn behaviour_settings_take_effect() {
    let job = JobBehaviour {
        job: "score".parse().unwrap(),
        run_ms: Millis(400),
        memory_mb: Some(3_000),
        fails: true,
    };
    let mut worker = Fixture::with(Behaviour {
        jobs: vec![job],
        usage_lag_ms: Millis(100),
        ..Behaviour::default()
    });
    let running = |memory_mb| Some(Report::Running { memory_mb });
    assert_eq!(worker.send(&[HOLD, GO]), running(0));
    worker.now += 99;
    assert_eq!(worker.send(&[]), running(0));
    worker.now += 1;
    assert_eq!(worker.send(&[]), running(3_000));
    assert_eq!(worker.send(&[Action::Throttle]), running(1_000));
    worker.now += 300;
    assert_eq!(worker.send(&[]), Some(Report::Failed));
    assert_eq!(worker.state.history[0].ended_at, Some(Millis(1_400)));
    worker.state.behaviour.fails_all = true;
    let tasks = worker.call(&[1], &[(2, 2, HOLD), (2, 2, GO)]).unwrap();
    assert_eq!(tasks[1], (2, 2, Report::Failed));
}

/// One call of a random sequence.
#[derive(Clone, Debug)]
struct Step {
    delay_ms: u64,
    renew: bool,
    orders: Vec<(u32, u32, u8)>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut orders: Vec<(u32, u32, u8)> = Arbitrary::arbitrary(g);
        orders.truncate(6);
        Self {
            delay_ms: u64::from(u16::arbitrary(g) % 6_000),
            renew: bool::arbitrary(g),
            orders,
        }
    }
}

/// Returns whether two runs use the same accelerator at the same time.
fn share_accelerators(a: &Run, b: &Run) -> bool {
    let ends = |r: &Run| r.ended_at.unwrap_or(Millis(u64::MAX));
    a.accelerators & b.accelerators != 0 && a.started_at < ends(b) && b.started_at < ends(a)
}

fn runs_are_exclusive(steps: Vec<Step>) -> bool {
    let mut worker = Fixture::with(Behaviour {
        run_ms: Millis(9_000),
        stop_ms: Millis(5_000),
        ..Behaviour::default()
    });
    for step in steps {
        worker.now += step.delay_ms;
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
        worker.call(renew, &orders).unwrap();
    }
    let runs = &worker.state.history;
    runs.iter().enumerate().all(|(i, a)| {
        runs[..i].iter().all(|b| {
            let is_same_task = a.attempt == b.attempt && a.accelerators == b.accelerators;
            !is_same_task && !share_accelerators(a, b)
        })
    })
}

/// Guards against sequences of orders that run two tasks on one accelerator at the same time or
/// start a task twice.
#[test]
fn random_orders_never_share_an_accelerator() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(400)
        .quickcheck(runs_are_exclusive as fn(Vec<Step>) -> bool);
}
