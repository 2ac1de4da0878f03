//! Invariants of subtasks under random sequences of replies, reports and lost orders.

mod fleet;

use std::collections::BTreeMap;

use batch::{
    job::{Step, SubtaskId},
    worker::{Action, FinishedRun, Order, Outcome, Refusal, StartReply},
};
use fleet::{Fleet, gang, step};
use quickcheck::{Gen, QuickCheck};

/// Actual state of the simulated workers, independent of the replies that they gave.
#[derive(Default)]
struct SimulatedWorkers {
    /// Attempt numbers of the existing runs, by worker and subtask.
    running: BTreeMap<(String, SubtaskId), u32>,
    last_seq: BTreeMap<String, u64>,
    finished: BTreeMap<String, Vec<FinishedRun>>,
    /// Highest attempt number that was stopped or ended, by worker and subtask.
    last_ended: BTreeMap<(String, SubtaskId), u32>,
    done: Vec<SubtaskId>,
}

impl SimulatedWorkers {
    fn start(&mut self, order: &Order) -> bool {
        let key = (order.worker.to_string(), order.task.clone());
        if self
            .last_ended
            .get(&key)
            .is_some_and(|a| order.attempt <= *a)
        {
            return false;
        }
        let others = self
            .running
            .iter()
            .filter(|((w, t), _)| *t == order.task && *w != key.0);
        assert_eq!(others.count(), 0, "two runs of {}", order.task);
        assert!(
            !self.done.contains(&order.task),
            "{} runs again",
            order.task
        );
        self.running.insert(key, order.attempt);
        true
    }

    fn end(&mut self, worker: &str, task: &SubtaskId, attempt: u32, outcome: Outcome) {
        let key = (worker.to_owned(), task.clone());
        self.last_ended.insert(key.clone(), attempt);
        if self.running.remove(&key).is_none() {
            return;
        }
        if outcome == Outcome::Done {
            self.done.push(task.clone());
        }
        let seq = self.last_seq.entry(worker.to_owned()).or_default();
        *seq += 1;
        self.finished
            .entry(worker.to_owned())
            .or_default()
            .push(FinishedRun {
                seq: *seq,
                task: task.clone(),
                attempt,
                outcome,
                checkpoint: "".into(),
            });
    }
}

fn run_history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(6);
    let mut workers = SimulatedWorkers::default();
    let mut delayed: Vec<Order> = Vec::new();
    for round in 0..150_u64 {
        fleet.advance(rng.u64(1..400));
        if round % 10 == 0 && round < 100 {
            let shape: fn(u32, u64) -> Step = if rng.bool() { gang } else { step };
            let step = shape(rng.u32(1..5), rng.u64(1..9));
            fleet.submit(&format!("{round:x}"), rng.u32(0..3), step);
        }
        for order in fleet.plan().orders {
            handle_order(&mut fleet, &mut workers, &mut delayed, &mut rng, &order);
        }
        // Some unanswered orders are carried out late, after newer ones.
        if !delayed.is_empty() && rng.u8(0..4) == 0 {
            let order = delayed.swap_remove(rng.usize(0..delayed.len()));
            workers.start(&order);
        }
        if let Some(((worker, task), attempt)) = pick_running(&workers, &mut rng) {
            let outcome = [
                Outcome::Done,
                Outcome::Done,
                Outcome::Failed,
                Outcome::Lapsed,
            ][rng.usize(0..4)];
            workers.end(&worker, &task, attempt, outcome);
        }
        report(&mut fleet, &workers, rng.usize(0..6));
    }
}

fn pick_running(
    workers: &SimulatedWorkers,
    rng: &mut fastrand::Rng,
) -> Option<((String, SubtaskId), u32)> {
    if workers.running.is_empty() || rng.bool() {
        return None;
    }
    let i = rng.usize(0..workers.running.len());
    workers.running.iter().nth(i).map(|(k, a)| (k.clone(), *a))
}

fn handle_order(
    fleet: &mut Fleet,
    workers: &mut SimulatedWorkers,
    delayed: &mut Vec<Order>,
    rng: &mut fastrand::Rng,
    order: &Order,
) {
    let now = fleet.now;
    match (&order.action, rng.u8(0..10)) {
        (Action::Start { .. }, 0) => {
            delayed.push(order.clone());
            fleet.scheduler.handle_start_reply(
                &order.task,
                order.attempt,
                StartReply::Unknown,
                now,
            );
        }
        (Action::Start { .. }, 1) => {
            let refused = StartReply::Refused(Refusal::Unhealthy);
            fleet
                .scheduler
                .handle_start_reply(&order.task, order.attempt, refused, now);
        }
        (Action::Start { .. }, roll) => {
            let taken = workers.start(order);
            let reply = match (taken, roll) {
                (_, 2) => StartReply::Unknown,
                (true, _) => StartReply::Taken,
                (false, _) => StartReply::Refused(Refusal::Old),
            };
            fleet
                .scheduler
                .handle_start_reply(&order.task, order.attempt, reply, now);
        }
        (Action::Stop, 0) => {}
        (Action::Stop, roll) => {
            workers.end(&order.worker, &order.task, order.attempt, Outcome::Stopped);
            if roll > 1 {
                fleet
                    .scheduler
                    .handle_stop_reply(&order.task, order.attempt, now);
            }
        }
    }
}

fn report(fleet: &mut Fleet, workers: &SimulatedWorkers, i: usize) {
    let worker = fleet.infos[i].id.clone();
    fleet.advance(1);
    let here = workers.running.iter().filter(|((w, _), _)| **w == *worker);
    let orders: Vec<Order> = here
        .map(|((_, task), attempt)| Order {
            worker: worker.clone(),
            task: task.clone(),
            attempt: *attempt,
            action: Action::Stop,
        })
        .collect();
    let finished = workers.finished.get(&*worker).cloned().unwrap_or_default();
    let orders: Vec<&Order> = orders.iter().collect();
    let sent = fleet.now;
    fleet.advance(1).report_to(sent, &worker, &orders, finished);
}

/// Guards against concurrent runs of a subtask and against runs after it is done, in the presence
/// of lost replies, delayed orders, refusals and lost stops.
#[test]
fn a_subtask_never_runs_twice() {
    fn property(seed: u64) {
        run_history(seed);
    }
    QuickCheck::new()
        .rng(Gen::new(64))
        .tests(200)
        .quickcheck(property as fn(u64));
}
