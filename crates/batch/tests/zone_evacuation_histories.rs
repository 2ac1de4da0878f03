//! Random histories of evacuations, queued orders and changes of leader.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use batch::{
    job::{SubtaskId, Text},
    scheduler::PendingChanges,
    worker::{Action, Order, Outcome},
};
use fastrand::Rng;
use fleet::{Fleet, gang, starts, step};

/// Guards against starts that slip through while data centres are evacuated and return in turn, orders
/// wait in queues and leaders change, and against jobs that never run after that.
#[test]
fn random_evacuations_of_two_data_centres() {
    for seed in 0..60 {
        let mut history = History::new(seed);
        for _ in 0..150 {
            history.pass(true);
        }
        history.evacuated.clear();
        for _ in 0..400 {
            history.pass(false);
        }
        let counts = history.fleet.scheduler.counts();
        assert_eq!((counts.open, counts.runs), (0, 0), "seed {seed}");
    }
}

/// A fleet in three data centres, of which two are evacuated at times.
struct History {
    fleet: Fleet,
    rng: Rng,
    evacuated: Vec<&'static str>,
    /// Orders that wait to be sent, with the time of their turn.
    queued: Vec<(u64, Order)>,
    running: Vec<(u64, Order)>,
    /// Subtasks and attempts of all starts so far.
    placed: BTreeSet<(SubtaskId, u32)>,
    /// Jobs that are gangs.
    gangs: BTreeSet<Text>,
    seqs: BTreeMap<Text, u64>,
    submitted: u32,
    passes: u32,
    seed: u64,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::in_zones(24, &["a", "b", "c"]),
            rng: Rng::with_seed(seed),
            evacuated: Vec::new(),
            queued: Vec::new(),
            running: Vec::new(),
            placed: BTreeSet::new(),
            gangs: BTreeSet::new(),
            seqs: BTreeMap::new(),
            submitted: 0,
            passes: 0,
            seed,
        }
    }

    fn pass(&mut self, is_busy: bool) {
        if is_busy && self.rng.u32(..10) == 0 {
            let zone = self.rng.choice(["a", "b"]).unwrap();
            match self.evacuated.iter().position(|z| *z == zone) {
                Some(i) => drop(self.evacuated.remove(i)),
                None => self.evacuated.push(zone),
            }
        }
        if is_busy && self.rng.u32(..2) == 0 {
            self.submitted += 1;
            let count = self.rng.u32(1..7);
            let step = if self.rng.bool() {
                self.gangs.insert(format!("j{}", self.submitted).into());
                gang(count, 8)
            } else {
                step(count, 4)
            };
            let priority = self.rng.u32(..3);
            self.fleet
                .submit(&format!("j{}", self.submitted), priority, step);
        }
        self.fleet.advance(100);
        self.fleet.evacuate(&self.evacuated);
        let changes = self.fleet.plan();
        self.check_placed(&changes);
        for order in changes.orders {
            let turn = self.fleet.now.0 + self.rng.u64(0..400);
            self.queued.push((turn, order));
        }
        if is_busy && self.rng.u32(..30) == 0 {
            self.change_leader();
        }
        self.passes += 1;
        if self.passes.is_multiple_of(15) {
            self.report_all();
        }
        self.send();
        let now = self.fleet.now.0;
        let over: Vec<_> = self.running.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in over {
            if self.is_complete(&order) {
                self.end(&order, Outcome::Done);
            } else {
                self.running.push((now + 100, order));
            }
        }
    }

    /// Returns whether all members of a gang run.
    fn is_complete(&self, order: &Order) -> bool {
        let of_job = |o: &Order| o.task.job == order.task.job;
        let is_queued = self.queued.iter().any(|(_, o)| of_job(o));
        !is_queued
    }

    /// Lets another leader take over, which knows only what was committed, and loses all orders that wait.
    fn change_leader(&mut self) {
        self.queued.clear();
        self.fleet.advance(1).restart();
        self.report_all();
    }

    /// Delivers the reports of all workers, each of which answers a renewal within 1.5 s.
    fn report_all(&mut self) {
        let workers: Vec<Text> = self.fleet.infos.iter().map(|i| i.id.clone()).collect();
        for worker in workers {
            self.report_of(&worker);
        }
    }

    /// Asserts that no new start is ordered in an evacuated data centre. A new leader may order those of its
    /// predecessor again, which are not sent then.
    fn check_placed(&mut self, changes: &PendingChanges) {
        for order in &starts(changes) {
            if !self.placed.insert((order.task.clone(), order.attempt)) {
                continue;
            }
            let zone = self.fleet.zone_of(&order.worker);
            assert!(
                !self.evacuated.contains(&zone),
                "seed {}: {order:?}",
                self.seed
            );
        }
    }

    /// Sends the orders whose turn it is, as a leader does.
    fn send(&mut self) {
        let now = self.fleet.now.0;
        let due: Vec<_> = self.queued.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            let (task, attempt, at) = (&order.task, order.attempt, self.fleet.now);
            let scheduler = &mut self.fleet.scheduler;
            if order.action == Action::Stop {
                if scheduler.is_stop_wanted(&order.worker, task, attempt) {
                    let ran = self
                        .running
                        .extract_if(.., |(_, o)| o.task == *task)
                        .count()
                        > 0;
                    scheduler.handle_stop_reply(task, attempt, at);
                    if ran {
                        self.end(&order, Outcome::Stopped);
                    } else {
                        self.fleet.advance(1);
                        self.report_of(&order.worker);
                    }
                }
            } else if !scheduler.is_start_wanted(task, attempt) {
                scheduler.handle_unwanted_start(task, attempt);
            } else if scheduler.is_start_evacuated(task, &order.worker) {
                scheduler.roll_back_start(task, attempt, at);
            } else {
                let zone = self.fleet.zone_of(&order.worker);
                assert!(
                    !self.evacuated.contains(&zone),
                    "seed {}: {order:?}",
                    self.seed
                );
                self.check_gang(&order);
                self.fleet.take(&order);
                let end = now + self.rng.u64(300..3_000);
                self.running.push((end, order));
            }
        }
    }

    /// Asserts that the start of a member does not complete a gang in an evacuated data centre.
    fn check_gang(&self, order: &Order) {
        let is_of_gang = |o: &Order| {
            o.task.job == order.task.job
                && self.gangs.contains(&o.task.job)
                && o.attempt == order.attempt
        };
        for (_, member) in self.running.iter().filter(|(_, o)| is_of_gang(o)) {
            let zone = self.fleet.zone_of(&member.worker);
            assert!(
                !self.evacuated.contains(&zone),
                "seed {}: {order:?}",
                self.seed
            );
        }
    }

    fn report_of(&mut self, worker: &Text) {
        let here = self.running.iter().map(|(_, o)| o);
        let here: Vec<&Order> = here.filter(|o| o.worker == *worker).collect();
        self.fleet.report(worker, &here, Vec::new());
    }

    fn end(&mut self, order: &Order, outcome: Outcome) {
        let seq = self.seqs.entry(order.worker.clone()).or_default();
        *seq += 1;
        let finished = fleet::finished(order, *seq, outcome);
        let here = self.running.iter().map(|(_, o)| o);
        let here: Vec<&Order> = here.filter(|o| o.worker == order.worker).collect();
        self.fleet.report(&order.worker, &here, vec![finished]);
    }
}
