//! Random histories: whatever workers answer, the promises about subtasks hold.

mod fleet;

use std::collections::BTreeMap;

use batch::{
    job::{Step, TaskId},
    worker::{Action, FinishedRun, Order, Outcome, Refusal, StartReply},
};
use fleet::{Fleet, gang, step};
use quickcheck::{Gen, QuickCheck};

/// What a worker really runs, whatever it answered.
#[derive(Default)]
struct Truth {
    /// Numbers of runs by worker and subtask.
    running: BTreeMap<(String, TaskId), u32>,
    seq: BTreeMap<String, u64>,
    ends: BTreeMap<String, Vec<FinishedRun>>,
    /// Highest number that was stopped or ended, by worker and subtask.
    closed: BTreeMap<(String, TaskId), u32>,
    done: Vec<TaskId>,
}

impl Truth {
    fn start(&mut self, order: &Order) -> bool {
        let key = (order.worker.to_string(), order.task.clone());
        if self.closed.get(&key).is_some_and(|a| order.attempt <= *a) {
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

    fn end(&mut self, worker: &str, task: &TaskId, attempt: u32, outcome: Outcome) {
        let key = (worker.to_owned(), task.clone());
        self.closed.insert(key.clone(), attempt);
        if self.running.remove(&key).is_none() {
            return;
        }
        if outcome == Outcome::Done {
            self.done.push(task.clone());
        }
        let seq = self.seq.entry(worker.to_owned()).or_default();
        *seq += 1;
        self.ends
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

fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::new(6);
    let mut truth = Truth::default();
    let mut late: Vec<Order> = Vec::new();
    for round in 0..150_u64 {
        fleet.after(rng.u64(1..400));
        if round % 10 == 0 && round < 100 {
            let shape: fn(u32, u64) -> Step = if rng.bool() { gang } else { step };
            let step = shape(rng.u32(1..5), rng.u64(1..9));
            fleet.submit(&format!("{round:x}"), rng.u32(0..3), step);
        }
        for order in fleet.plan().orders {
            answer(&mut fleet, &mut truth, &mut late, &mut rng, &order);
        }
        // Orders without an answer are carried out later, after newer ones.
        if !late.is_empty() && rng.u8(0..4) == 0 {
            let order = late.swap_remove(rng.usize(0..late.len()));
            truth.start(&order);
        }
        if let Some(((worker, task), attempt)) = pick(&truth, &mut rng) {
            let outcome = [
                Outcome::Done,
                Outcome::Done,
                Outcome::Failed,
                Outcome::Lapsed,
            ][rng.usize(0..4)];
            truth.end(&worker, &task, attempt, outcome);
        }
        report(&mut fleet, &truth, rng.usize(0..6));
    }
}

fn pick(truth: &Truth, rng: &mut fastrand::Rng) -> Option<((String, TaskId), u32)> {
    if truth.running.is_empty() || rng.bool() {
        return None;
    }
    let i = rng.usize(0..truth.running.len());
    truth.running.iter().nth(i).map(|(k, a)| (k.clone(), *a))
}

fn answer(
    fleet: &mut Fleet,
    truth: &mut Truth,
    late: &mut Vec<Order>,
    rng: &mut fastrand::Rng,
    order: &Order,
) {
    let now = fleet.now;
    match (&order.action, rng.u8(0..10)) {
        (Action::Start { .. }, 0) => {
            late.push(order.clone());
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
        (Action::Start { .. }, fate) => {
            let taken = truth.start(order);
            let reply = match (taken, fate) {
                (_, 2) => StartReply::Unknown,
                (true, _) => StartReply::Taken,
                (false, _) => StartReply::Refused(Refusal::Old),
            };
            fleet
                .scheduler
                .handle_start_reply(&order.task, order.attempt, reply, now);
        }
        (Action::Stop, 0) => {}
        (Action::Stop, fate) => {
            truth.end(&order.worker, &order.task, order.attempt, Outcome::Stopped);
            if fate > 1 {
                fleet
                    .scheduler
                    .handle_stop_reply(&order.task, order.attempt, now);
            }
        }
    }
}

fn report(fleet: &mut Fleet, truth: &Truth, i: usize) {
    let worker = fleet.infos[i].id.clone();
    fleet.after(1);
    let here = truth.running.iter().filter(|((w, _), _)| **w == *worker);
    let orders: Vec<Order> = here
        .map(|((_, task), attempt)| Order {
            worker: worker.clone(),
            task: task.clone(),
            attempt: *attempt,
            action: Action::Stop,
        })
        .collect();
    let ends = truth.ends.get(&*worker).cloned().unwrap_or_default();
    let orders: Vec<&Order> = orders.iter().collect();
    let sent = fleet.now;
    fleet.after(1).report_to(sent, &worker, &orders, ends);
}

/// Guards against two runs of a subtask at a time and against runs after it was done, under lost
/// answers, late orders, refusals and lost stops.
#[test]
fn a_subtask_never_runs_twice() {
    fn holds(seed: u64) {
        play(seed);
    }
    QuickCheck::new()
        .rng(Gen::new(64))
        .tests(200)
        .quickcheck(holds as fn(u64));
}
