//! Crashes of workers in simulated fleets, judged by which jobs are given up.

mod fleet;

use base::clock::Millis;
use batch::{
    job::Text,
    progress::Phase,
    worker::{Action, Order, Outcome},
};
use fleet::{Fleet, gang, step};
use quickcheck::{Gen, QuickCheck};

/// Time after a start at which a deadly subtask crashes its worker.
const CRASH_DELAY: u64 = 10;

/// Workers that run what they are told to, with crashes and losses of power.
struct Workers {
    fleet: Fleet,
    /// Orders of the existing runs with the times of their starts.
    running: Vec<(Order, Millis)>,
    last_seq: u64,
    crashes: usize,
}

impl Workers {
    fn new(count: usize) -> Self {
        Self {
            fleet: Fleet::new(count),
            running: Vec::new(),
            last_seq: 0,
            crashes: 0,
        }
    }

    /// Runs a pass and carries out its orders.
    fn step(&mut self) {
        let orders = self.fleet.plan().orders;
        for order in orders {
            if let Action::Start { .. } = order.action {
                self.fleet.take(&order);
                self.running.push((order, self.fleet.now));
                continue;
            }
            let same =
                |(o, _): &(Order, Millis)| o.task == order.task && o.attempt == order.attempt;
            let stopped: Vec<_> = self.running.extract_if(.., |r| same(r)).collect();
            for (order, _) in stopped {
                self.end(&order, Outcome::Stopped);
            }
        }
    }

    /// Reports the end of a run that is no longer in [`Self::running`].
    fn end(&mut self, order: &Order, outcome: Outcome) {
        self.last_seq += 1;
        let finished = fleet::finished(order, self.last_seq, outcome);
        let here = self.running.iter().map(|(o, _)| o);
        let here: Vec<&Order> = here.filter(|o| o.worker == order.worker).collect();
        let worker = order.worker.clone();
        self.fleet.report(&worker, &here, vec![finished]);
    }

    /// Ends the members of gangs that lost one, and work that has lasted long enough.
    fn end_runs(&mut self, gone: &[(Order, Millis)], is_gang: impl Fn(&Order) -> bool) {
        let now = self.fleet.now;
        let is_broken =
            |o: &Order| is_gang(o) && gone.iter().any(|(g, _)| g.task.job == o.task.job);
        let is_done = |since: Millis| now.since(since) > Millis(5_000);
        let ended = |(o, since): &mut (Order, Millis)| is_broken(o) || is_done(*since);
        let ended: Vec<_> = self.running.extract_if(.., ended).collect();
        for (order, _) in ended {
            let outcome = if is_broken(&order) {
                Outcome::Broken
            } else {
                Outcome::Done
            };
            self.end(&order, outcome);
        }
    }

    /// Crashes the workers with fresh runs of deadly subtasks, and cuts the power of a rack. Returns
    /// the runs that are gone.
    fn crash(
        &mut self,
        is_deadly: impl Fn(&Order, Millis) -> bool,
        rack: Option<&str>,
    ) -> Vec<(Order, Millis)> {
        let now = self.fleet.now;
        let deadly = self.running.iter();
        let deadly = deadly.filter(|(o, since)| is_deadly(o, now.since(*since)));
        let mut lost: Vec<Text> = deadly.map(|(o, _)| o.worker.clone()).collect();
        lost.sort();
        lost.dedup();
        self.crashes += lost.len();
        let of_rack = self
            .fleet
            .infos
            .iter()
            .filter(|i| Some(&*i.labels[1]) == rack);
        lost.extend(of_rack.map(|i| i.id.clone()));
        lost.sort();
        lost.dedup();
        for worker in &lost {
            self.fleet.lose(worker, now);
        }
        self.fleet.advance(3_000);
        for worker in &lost {
            self.fleet.replace(worker);
        }
        let gone = |(o, _): &mut (Order, Millis)| lost.contains(&o.worker);
        self.running.extract_if(.., gone).collect()
    }
}

/// Plays jobs of random shapes, the first three of them deadly, on workers whose racks also lose
/// power.
fn deadly_jobs_fail_and_others_complete(seed: u64) -> bool {
    const JOBS: usize = 12;
    const DEADLY: usize = 3;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut workers = Workers::new(12);
    let gangs: Vec<bool> = (0..JOBS).map(|_| rng.bool()).collect();
    for (i, is_gang) in gangs.iter().enumerate() {
        let (count, size) = (rng.u32(1..5), [1, 2, 4, 8][rng.usize(..4)]);
        let step = if *is_gang {
            gang(count, size)
        } else {
            step(count, size)
        };
        workers
            .fleet
            .submit(&format!("{i:02}"), rng.u32(0..3), step);
    }
    let index = |o: &Order| o.task.job.parse::<usize>().unwrap();
    let is_deadly = |o: &Order, _| o.task.index == 0 && index(o) < DEADLY;
    for round in 0..400 {
        workers.step();
        workers.fleet.advance(CRASH_DELAY);
        let rack = (round % 5 == 2).then(|| format!("r{}", rng.u8(..3)));
        let gone = workers.crash(is_deadly, rack.as_deref());
        workers.end_runs(&gone, |o| gangs[index(o)]);
        let phase = |i: usize| workers.fleet.scheduler.phase(&format!("{i:02}")).unwrap();
        if (0..JOBS).all(|i| phase(i).is_final()) {
            let failed = (0..JOBS).filter(|i| phase(*i) == Phase::Failed);
            assert_eq!(failed.collect::<Vec<_>>(), [0, 1, 2], "seed {seed}");
            let crashes = workers.crashes;
            assert!(crashes <= DEADLY * 5, "seed {seed}: {crashes} crashes");
            return true;
        }
    }
    panic!("seed {seed}: jobs are still open");
}

/// Guards against deadly jobs that stay, and against others that are given up, in random mixes.
#[test]
fn deadly_jobs_fail_and_all_others_complete() {
    let property: fn(u64) -> bool = deadly_jobs_fail_and_others_complete;
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(100, 24))
        .quickcheck(property);
}

/// Guards against a subtask that crashes its workers long after its start, beside others that have
/// just started.
#[test]
fn a_subtask_that_crashes_workers_late_is_found_alone() {
    let mut workers = Workers::new(3);
    workers.fleet.submit("late", 1, step(1, 1));
    let is_deadly = |o: &Order, age| &*o.task.job == "late" && age >= Millis(4_000);
    for round in 0..200 {
        workers.fleet.submit(&format!("{round}"), 1, step(3, 1));
        workers.step();
        workers.fleet.advance(500);
        let gone = workers.crash(is_deadly, None);
        workers.end_runs(&gone, |_| false);
        if workers.fleet.scheduler.phase("late") == Some(Phase::Failed) {
            // Two more starts after the third crash are the most that is allowed.
            assert!(workers.crashes <= 5, "{} crashes", workers.crashes);
            return;
        }
    }
    panic!("{} crashes", workers.crashes);
}
