//! Invariants of subtasks under random sequences of takeovers, restarts of workers, lost commits, late
//! orders and late reports.

mod fleet;

use std::collections::BTreeMap;

use base::clock::Millis;
use batch::{
    job::{Step, SubtaskId, Text},
    progress::Phase,
    worker::{Action, FinishedRun, Order, Outcome, Refusal, Report, Running, StartReply},
};
use fleet::{Fleet, gang, step};
use quickcheck::{Gen, QuickCheck};

const WORKERS: usize = 6;
/// Number of rounds with faults.
const ROUNDS: u64 = 150;
/// Number of rounds without faults, after which all jobs have ended.
const CALM_ROUNDS: u64 = 400;

/// One life of a worker.
#[derive(Default)]
struct Life {
    incarnation: u64,
    /// Highest fencing token that it has seen.
    fence: u64,
    /// Attempt numbers of the existing runs.
    running: BTreeMap<SubtaskId, u32>,
    /// Highest attempt number that was stopped or ended.
    last_ended: BTreeMap<SubtaskId, u32>,
    seq: u64,
    /// Ends that are not acknowledged, with the time of each.
    finished: Vec<(FinishedRun, u64)>,
}

impl Life {
    fn report(&self, clock: Millis) -> Report {
        let running = self.running.iter().map(|(task, attempt)| Running {
            task: task.clone(),
            attempt: *attempt,
            checkpoint: Text::default(),
            percent: 10,
        });
        Report {
            clock,
            incarnation: self.incarnation,
            running: running.collect(),
            finished: self.finished.iter().map(|(run, _)| run.clone()).collect(),
            is_complete: true,
        }
    }
}

/// An order under way to one life of a worker.
struct Late {
    order: Order,
    fence: u64,
    incarnation: u64,
}

struct World {
    fleet: Fleet,
    rng: fastrand::Rng,
    lives: Vec<Life>,
    /// Orders that wait for their decisions to be stored.
    orders: Vec<Order>,
    /// Worker that carries out its orders late.
    slow: usize,
    late: Vec<Late>,
    /// Last report of a life that has ended, with its worker and the time of the request.
    late_report: Option<(usize, Report, Millis)>,
    /// Fencing token of the leader.
    fence: u64,
    /// Time of the last start of each subtask, counted in starts and ends.
    last_start: BTreeMap<SubtaskId, u64>,
    events: u64,
    calm: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        let life = |_| Life {
            incarnation: 1,
            ..Life::default()
        };
        Self {
            fleet: Fleet::new(WORKERS),
            rng: fastrand::Rng::with_seed(seed),
            lives: (0..WORKERS).map(life).collect(),
            orders: Vec::new(),
            slow: 0,
            late: Vec::new(),
            late_report: None,
            fence: 1,
            last_start: BTreeMap::new(),
            events: 0,
            calm: false,
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.u32(0..one_in) == 0
    }

    fn index(&self, worker: &str) -> usize {
        let found = self.fleet.infos.iter().position(|i| &*i.id == worker);
        found.expect("a known worker")
    }

    fn start(&mut self, worker: usize, order: &Order) -> StartReply {
        let life = &self.lives[worker];
        let (task, attempt) = (&order.task, order.attempt);
        if life.running.get(task) == Some(&attempt) {
            return StartReply::Taken;
        }
        if life.last_ended.get(task).is_some_and(|a| attempt <= *a) {
            return StartReply::Refused(Refusal::Old);
        }
        let running = self.lives.iter().filter(|l| l.running.contains_key(task));
        assert_eq!(running.count(), 0, "two runs of {task}");
        self.events += 1;
        self.last_start.insert(task.clone(), self.events);
        self.lives[worker].running.insert(task.clone(), attempt);
        StartReply::Taken
    }

    fn end(&mut self, worker: usize, task: &SubtaskId, attempt: u32, outcome: Outcome) {
        self.events += 1;
        let life = &mut self.lives[worker];
        let last = life.last_ended.entry(task.clone()).or_default();
        *last = attempt.max(*last);
        if life.running.get(task) != Some(&attempt) {
            return;
        }
        life.running.remove(task);
        life.seq += 1;
        let run = FinishedRun {
            seq: life.seq,
            task: task.clone(),
            attempt,
            outcome,
            checkpoint: Text::default(),
        };
        life.finished.push((run, self.events));
    }

    /// Carries out an order if its fencing token is high enough.
    fn carry_out(&mut self, worker: usize, order: &Order, fence: u64) -> StartReply {
        let life = &mut self.lives[worker];
        if fence < life.fence {
            return StartReply::Refused(Refusal::Fenced);
        }
        life.fence = fence;
        match order.action {
            Action::Start { .. } => self.start(worker, order),
            Action::Stop => {
                self.end(worker, &order.task, order.attempt, Outcome::Stopped);
                StartReply::Taken
            }
        }
    }

    fn send(&mut self, order: &Order) {
        let is_start = matches!(order.action, Action::Start { .. });
        let scheduler = &self.fleet.scheduler;
        if is_start && !scheduler.is_start_wanted(&order.task, order.attempt) {
            return;
        }
        let worker = self.index(&order.worker);
        let is_repeated = is_start && !self.calm && self.chance(5);
        if is_repeated {
            self.lose_try(worker, order);
        }
        let is_refused = is_start && !self.calm && self.chance(if is_repeated { 2 } else { 20 });
        let is_late = !self.calm && worker == self.slow && !self.chance(4);
        let is_lost = !is_refused && (is_late || (!self.calm && self.chance(8)));
        let mut reply = StartReply::Unknown;
        if is_refused {
            reply = StartReply::Refused(Refusal::Unhealthy);
        } else if is_late {
            self.late.push(self.under_way(worker, order));
        } else {
            reply = self.carry_out(worker, order, self.fence);
        }
        if is_lost {
            reply = StartReply::Unknown;
        }
        let (task, attempt, now) = (&order.task, order.attempt, self.fleet.now);
        let scheduler = &mut self.fleet.scheduler;
        match order.action {
            Action::Start { .. } => scheduler.handle_start_reply(task, attempt, reply, now),
            Action::Stop if reply == StartReply::Taken => {
                if scheduler.handle_stop_reply(task, attempt, now) {
                    self.fleet.advance(5);
                    self.report(worker);
                }
            }
            Action::Stop => scheduler.handle_unanswered_stop(task, attempt, now),
        }
    }

    fn under_way(&self, worker: usize, order: &Order) -> Late {
        Late {
            order: order.clone(),
            fence: self.fence,
            incarnation: self.lives[worker].incarnation,
        }
    }

    /// Sends a try of a start that gets no answer before it is sent again at once: it is carried out
    /// now, later or never.
    fn lose_try(&mut self, worker: usize, order: &Order) {
        match self.rng.u8(0..3) {
            0 => drop(self.carry_out(worker, order, self.fence)),
            1 => self.late.push(self.under_way(worker, order)),
            _ => {}
        }
        let scheduler = &mut self.fleet.scheduler;
        scheduler.handle_lost_start(&order.task, order.attempt);
    }

    fn carry_out_late(&mut self) {
        let lives = &self.lives;
        let infos = &self.fleet.infos;
        self.late.retain(|l| {
            let life = infos
                .iter()
                .zip(lives)
                .find(|(i, _)| i.id == l.order.worker);
            life.is_some_and(|(_, life)| life.incarnation == l.incarnation)
        });
        if self.late.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.late.len());
        let late = self.late.swap_remove(i);
        let worker = self.index(&late.order.worker);
        self.carry_out(worker, &late.order, late.fence);
    }

    /// Asks a worker for a report, with an acknowledgement of the stored ends.
    fn report(&mut self, worker: usize) {
        let id = self.fleet.infos[worker].id.clone();
        let sent = self.fleet.now;
        self.fleet.advance(1);
        let stored = self.fleet.scheduler.stored_seq(&id);
        let life = &mut self.lives[worker];
        life.fence = self.fence;
        let acked = stored.filter(|(incarnation, _)| *incarnation == life.incarnation);
        let acked = acked.map_or(0, |(_, seq)| seq);
        for (run, at) in life.finished.extract_if(.., |(run, _)| run.seq <= acked) {
            if run.outcome == Outcome::Done {
                let last = self.last_start.get(&run.task);
                assert!(last < Some(&at), "{} runs again", run.task);
            }
        }
        let report = life.report(self.fleet.now);
        let (now, wall_now) = (self.fleet.now, self.fleet.wall());
        self.fleet
            .scheduler
            .handle_report(&id, &report, sent, now, wall_now);
    }

    /// Restarts a worker under its id. The VM list shows it later.
    fn restart_worker(&mut self, worker: usize) {
        let (now, life) = (self.fleet.now, &mut self.lives[worker]);
        self.late_report = Some((worker, life.report(now), now));
        *life = Life {
            incarnation: life.incarnation + 1,
            ..Life::default()
        };
    }

    /// Delivers the last report of an ended life after one of the next life.
    fn deliver_late_report(&mut self) {
        let Some((worker, report, sent)) = self.late_report.take() else {
            return;
        };
        self.report(worker);
        let id = self.fleet.infos[worker].id.clone();
        let (now, wall_now) = (self.fleet.now, self.fleet.wall());
        self.fleet
            .scheduler
            .handle_report(&id, &report, sent, now, wall_now);
    }

    fn read_list(&mut self) {
        let worker = self.rng.usize(0..WORKERS);
        self.fleet.infos[worker].incarnation = self.lives[worker].incarnation;
        let (infos, now) = (self.fleet.infos.clone(), self.fleet.now);
        self.fleet.scheduler.replace_vm_list(infos, now);
    }

    fn end_some(&mut self) {
        let worker = self.rng.usize(0..WORKERS);
        let all = &self.lives[worker].running;
        if all.is_empty() {
            return;
        }
        let i = self.rng.usize(0..all.len());
        let run = all.iter().nth(i).map(|(t, a)| (t.clone(), *a));
        let Some((task, attempt)) = run else {
            return;
        };
        let outcome = match self.rng.u8(0..6) {
            0 if !self.calm => Outcome::Failed,
            1 if !self.calm => Outcome::Lapsed,
            _ => Outcome::Done,
        };
        self.end(worker, &task, attempt, outcome);
    }

    fn take_over(&mut self) {
        self.orders.clear();
        self.fence += 1;
        // It answers a call of the leader before.
        self.late_report = None;
        self.fleet.restart();
    }

    fn round(&mut self) {
        let ms = self.rng.u64(1..300);
        self.fleet.advance(ms);
        if !self.calm && self.chance(10) {
            // The leader ends before its decisions are stored.
            let (now, wall_now) = (self.fleet.now, self.fleet.wall());
            self.fleet.scheduler.open_due_occurrences(wall_now);
            self.fleet.scheduler.place(now, wall_now);
            self.fleet.scheduler.take_changes();
            self.take_over();
        }
        // Storing a decision takes a while. If the leader ends before its order is sent, the next one
        // finds it stored.
        self.orders.extend(self.fleet.plan().orders);
        let sent = if self.calm {
            self.orders.len()
        } else {
            self.rng.usize(0..=self.orders.len())
        };
        for order in self.orders.drain(..sent).collect::<Vec<_>>() {
            self.send(&order);
        }
        if !self.calm && self.chance(12) {
            self.take_over();
        }
        if !self.calm && self.chance(20) {
            // Orders reach its next life before the leader knows of it.
            self.slow = self.rng.usize(0..WORKERS);
            self.restart_worker(self.slow);
        }
        if self.chance(3) {
            self.carry_out_late();
        }
        if self.chance(4) {
            self.deliver_late_report();
        }
        if self.chance(3) {
            self.read_list();
        }
        self.end_some();
        let worker = self.rng.usize(0..WORKERS);
        self.report(worker);
    }
}

fn run_history(seed: u64) {
    let mut world = World::new(seed);
    let mut jobs = Vec::new();
    for round in 0..ROUNDS {
        if round % 4 == 0 {
            let shape: fn(u32, u64) -> Step = if world.rng.bool() { gang } else { step };
            let step = shape(world.rng.u32(1..5), world.rng.u64(1..9));
            let id = format!("{round:x}");
            world.fleet.submit(&id, world.rng.u32(0..3), step);
            jobs.push(id);
        }
        world.round();
    }
    world.calm = true;
    for _ in 0..CALM_ROUNDS {
        world.round();
    }
    for id in jobs {
        let phase = world.fleet.scheduler.phase(&id);
        assert!(phase.is_some_and(Phase::is_final), "job {id}: {phase:?}");
    }
}

/// Guards against concurrent runs of a subtask, runs after its end and jobs that never end, when
/// leaders change, workers restart under the same id, and starts are refused or taken on a second try
/// while the first one is still under way.
#[test]
fn takeovers_and_restarts_of_workers_cause_no_second_run() {
    fn property(seed: u64) {
        run_history(seed);
    }
    QuickCheck::new()
        .rng(Gen::new(64))
        .tests(1_000)
        .quickcheck(property as fn(u64));
}
