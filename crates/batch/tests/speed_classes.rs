//! Placement on workers of different speeds.

mod fleet;

use std::collections::BTreeMap;

use base::clock::Millis;
use batch::{
    config::Config,
    job::{Spec, Step},
    speed_report::StoredForecast,
    worker::{Order, Outcome},
};
use fleet::{Fleet, config, gang, starts, step, stops};
use forecast::stored::{StoredKind, StoredWorker};

/// Factor of slow workers where a third take 1.7 times the base time and the others 0.7 times.
const SLOW: f64 = 2.43;

/// Returns a configuration whose urgent jobs have to end within 1.5 times their estimate and 250 ms.
fn tight() -> Config {
    let mut config = config();
    config.queues[0].slack_factor = 1.5;
    config.queues[0].target_latency = Millis(250);
    config
}

/// Returns a forecast that knows the factors of workers, and that work of each queue takes 0.7 times its
/// estimate on a typical worker.
fn forecast(factors: &[(usize, f64)]) -> StoredForecast {
    let worker = |(i, factor): &(usize, f64)| {
        let log = (factor.ln() * 100.0).round() as i16;
        StoredWorker(format!("w{i:02}").into(), log, 250)
    };
    let kind = |(queue, gang): (&str, bool)| StoredKind {
        queue: Some(queue.into()),
        image: None,
        gang,
        regression: [50.0, 8.5, -0.357, 0.1, 0.0, 0.01, 0.001, 50.0, 0.001],
    };
    let kinds = ["q0", "q1", "q2"].into_iter();
    let kinds = kinds.flat_map(|q| [(q, false), (q, true)]);
    StoredForecast {
        workers: factors.iter().map(worker).collect(),
        services: vec![("svc".into(), 8)],
        kinds: kinds.map(kind).collect(),
    }
}

/// Returns a fleet of 12 workers of which every third is known to be slow and the others not to be. Some
/// urgent work was placed, so that it is known what urgent work needs.
fn mixed() -> Fleet {
    let mut fleet = Fleet::with_config(12, tight());
    let factor = |i: usize| (i, if i.is_multiple_of(3) { SLOW } else { 1.0 });
    let factors: Vec<_> = (0..12).map(factor).collect();
    let now = fleet.now;
    fleet.scheduler.restore_forecast(&forecast(&factors), now);
    fleet.submit("first", 0, gang(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    assert!(!is_slow(&first));
    fleet.finish(&first, 1, Outcome::Done);
    fleet.plan();
    fleet
}

fn is_slow(order: &Order) -> bool {
    let number: usize = order.worker[1..].parse().expect("a number");
    number.is_multiple_of(3)
}

fn slow_count(orders: &[Order]) -> usize {
    orders.iter().filter(|o| is_slow(o)).count()
}

/// Guards against urgent gangs that are late although workers are free on which they would not be.
#[test]
fn urgent_gangs_use_workers_that_are_not_slow() {
    let mut fleet = mixed();
    for i in 0..4 {
        fleet.submit(&format!("urgent-{i}"), 0, gang(2, 8));
    }
    let started = starts(&fleet.plan());
    assert_eq!((started.len(), slow_count(&started)), (8, 0));
}

/// Guards against deferrable work on workers that urgent work needs, and against idle workers.
#[test]
fn deferrable_work_fills_slow_workers_first_and_then_the_others() {
    let mut fleet = mixed();
    fleet.submit("first-half", 2, step(24, 1));
    let started = starts(&fleet.plan());
    assert_eq!((started.len(), slow_count(&started)), (24, 24));
    fleet.submit("second-half", 2, step(72, 1));
    let started = starts(&fleet.plan());
    assert_eq!((started.len(), slow_count(&started)), (72, 8));
}

/// Guards against deferrable work that is late on slow workers while others are free.
#[test]
fn deferrable_work_without_slack_avoids_slow_workers() {
    let mut fleet = mixed();
    fleet.config.queues[1].slack_factor = 1.2;
    fleet.config.queues[1].target_latency = Millis(100);
    let config = fleet.config.clone();
    fleet.scheduler.configure(&std::rc::Rc::new(config));
    fleet.submit("tight", 1, step(70, 1));
    let started = starts(&fleet.plan());
    // It still has a part of its value on slow workers.
    assert_eq!((started.len(), slow_count(&started)), (70, 6));
}

/// A gang goes at the pace of its slowest member. Guards against one that has members on workers of
/// both classes although one class can hold it.
#[test]
fn a_gang_is_not_mixed_if_one_class_can_hold_it() {
    let mut fleet = mixed();
    for (id, members, slow) in [("a", 3, 3), ("b", 3, 0), ("c", 4, 0)] {
        fleet.submit(id, 1, gang(members, 8));
        let started = starts(&fleet.plan());
        assert_eq!(
            (started.len(), slow_count(&started)),
            (members as usize, slow),
            "{id}"
        );
    }
    // One slow worker and one other are left.
    fleet.submit("d", 1, gang(2, 8));
    let started = starts(&fleet.plan());
    assert_eq!((started.len(), slow_count(&started)), (2, 1));
}

/// Guards against an urgent gang that is late on slow workers although deferrable work could be stopped
/// on others.
#[test]
fn urgent_work_preempts_on_other_workers_before_it_uses_slow_ones() {
    let mut fleet = mixed();
    fleet.submit("low", 2, step(96, 1));
    let low = starts(&fleet.plan());
    for (i, order) in low.iter().filter(|o| is_slow(o)).enumerate() {
        fleet.finish(order, i as u64 + 2, Outcome::Done);
    }
    fleet.submit("urgent", 0, gang(2, 8));
    assert!(starts(&fleet.plan()).is_empty(), "slow workers are free");
    fleet.advance(150);
    let changes = fleet.plan();
    let stopped = stops(&changes);
    assert_eq!((stopped.len(), slow_count(&stopped)), (16, 0));
    assert!(starts(&changes).is_empty());
}

/// Fills all workers that are not slow with urgent work that has come so far in 1 s.
fn full_of_urgent_work(percent: u32) -> (Fleet, Vec<Order>) {
    let mut fleet = mixed();
    fleet.submit("busy", 0, gang(8, 8));
    let busy = starts(&fleet.plan());
    assert_eq!((busy.len(), slow_count(&busy)), (8, 0));
    for order in &busy {
        fleet.take(order);
    }
    fleet.advance(1_000);
    for order in &busy {
        fleet.report_running(order, 1, percent);
    }
    (fleet, busy)
}

/// Guards against urgent work that waits for a fast worker for longer than it gains.
#[test]
fn urgent_work_uses_slow_workers_if_the_others_stay_full_for_long() {
    let (mut fleet, _) = full_of_urgent_work(25);
    fleet.submit("urgent", 0, gang(2, 8));
    let started = starts(&fleet.plan());
    assert_eq!((started.len(), slow_count(&started)), (2, 2));
}

/// Guards against urgent work that is late on slow workers although others are free shortly, and against
/// an endless wait for these.
#[test]
fn urgent_work_waits_for_other_workers_that_are_free_shortly() {
    let (mut fleet, busy) = full_of_urgent_work(80);
    fleet.submit("urgent", 0, gang(2, 8));
    for _ in 0..15 {
        assert!(starts(&fleet.plan()).is_empty());
        fleet.advance(100);
        for order in &busy {
            fleet.report_running(order, 1, 95);
        }
    }
    let started = starts(&fleet.plan());
    assert_eq!((started.len(), slow_count(&started)), (2, 2));
}

/// Guards against later steps of urgent jobs that use slow workers at once, because the job was submitted
/// long ago.
#[test]
fn a_later_step_waits_for_other_workers_too() {
    let mut fleet = mixed();
    let spec = Spec {
        text: "spec".into(),
        steps: vec![
            gang(2, 8),
            Step {
                after: vec![0],
                ..gang(4, 8)
            },
        ],
        repeat: None,
    };
    fleet.submit_spec("urgent", 0, "org-a", spec);
    let first = starts(&fleet.plan());
    assert_eq!((first.len(), slow_count(&first)), (2, 0));
    fleet.submit("low", 2, step(80, 1));
    let low = starts(&fleet.plan());
    assert_eq!(low.len(), 80);
    // The second step would be late on slow workers.
    fleet.advance(7_000);
    for (i, order) in low.iter().filter(|o| is_slow(o)).enumerate() {
        fleet.finish(order, i as u64 + 2, Outcome::Done);
    }
    fleet.finish(&first[0], 2, Outcome::Done);
    fleet.finish(&first[1], 2, Outcome::Broken);
    let changes = fleet.plan();
    assert!(starts(&changes).is_empty(), "slow workers are free");
    let stopped = stops(&changes);
    assert_eq!((stopped.len(), slow_count(&stopped)), (16, 0));
}

/// Guards against a new leader that forgets which workers are slow.
#[test]
fn a_new_leader_knows_the_slow_workers() {
    let mut fleet = mixed();
    fleet.restart();
    fleet.submit("urgent", 0, gang(8, 8));
    fleet.submit("low", 2, step(40, 1));
    let started = starts(&fleet.plan());
    let of = |job: &str| -> Vec<Order> {
        let orders = started.iter().filter(|o| &*o.task.job == job);
        orders.cloned().collect()
    };
    assert_eq!((of("urgent").len(), slow_count(&of("urgent"))), (8, 0));
    assert_eq!((of("low").len(), slow_count(&of("low"))), (32, 32));
}

/// Guards against workers of unknown speed that get no work and therefore stay unknown.
#[test]
fn deferrable_work_uses_unknown_workers_after_slow_ones() {
    let mut fleet = Fleet::with_config(6, tight());
    let factors = [(0, SLOW), (1, 1.0), (2, 1.0), (3, 1.0), (4, 1.0)];
    let now = fleet.now;
    fleet.scheduler.restore_forecast(&forecast(&factors), now);
    fleet.submit("urgent", 0, gang(1, 1));
    starts(&fleet.plan());
    fleet.submit("low", 2, step(16, 1));
    let mut used: BTreeMap<String, usize> = BTreeMap::new();
    for order in starts(&fleet.plan()) {
        *used.entry(order.worker.to_string()).or_default() += 1;
    }
    let expected = [("w00".to_owned(), 8), ("w05".to_owned(), 8)];
    assert_eq!(used, BTreeMap::from(expected));
}

/// Time that each run takes in a [`Stream`], 0.7 times its estimate.
const RUN_TIME: Millis = Millis(3_500);

/// A stream of jobs on a fleet whose workers have the given factors.
struct Stream {
    fleet: Fleet,
    factors: Vec<f64>,
    /// Runs with the time of their start.
    runs: Vec<(Order, Millis)>,
    seqs: Vec<u64>,
    placed: Vec<String>,
}

impl Stream {
    fn new(factors: Vec<f64>) -> Self {
        Self {
            fleet: Fleet::with_config(factors.len(), tight()),
            seqs: vec![0; factors.len()],
            factors,
            runs: Vec::new(),
            placed: Vec::new(),
        }
    }

    /// Plays 20 s of urgent and deferrable gangs. All runs take [`RUN_TIME`], so that the decisions
    /// of two streams can be compared; their progress tells how fast the worker is.
    fn play(&mut self) {
        for t in (0..20_000).step_by(100) {
            if t % 700 == 0 {
                self.fleet.submit(&format!("u{t}"), 0, gang(3, 4));
            }
            if t % 900 == 0 {
                self.fleet.submit(&format!("d{t}"), 2, gang(6, 1));
            }
            for order in starts(&self.fleet.plan()) {
                self.fleet.take(&order);
                let placed = format!("{t} {} {}", order.task, order.worker);
                self.placed.push(placed);
                self.runs.push((order, self.fleet.now));
            }
            self.fleet.advance(100);
            for worker in 0..self.factors.len() {
                self.report(worker, t % 500 == 0);
            }
        }
    }

    /// Reports the runs of one worker.
    fn report(&mut self, worker: usize, is_due: bool) {
        let (now, id) = (self.fleet.now, format!("w{worker:02}"));
        let here = |(order, _): &mut (Order, Millis)| *order.worker == *id;
        let here: Vec<_> = self.runs.extract_if(.., here).collect();
        let is_over = |(_, since): &&(Order, Millis)| now.since(*since) >= RUN_TIME;
        let mut finished = Vec::new();
        for (order, _) in here.iter().filter(is_over) {
            self.seqs[worker] += 1;
            finished.push(fleet::finished(order, self.seqs[worker], Outcome::Done));
        }
        let full = RUN_TIME.0 as f64 * self.factors[worker];
        let percent = |at: Millis| (now.since(at).0 as f64 / full * 100.0).clamp(1.0, 100.0) as u32;
        let running = here.iter().filter(|run| !is_over(run));
        let running: Vec<_> = running.map(|(order, at)| (order, percent(*at))).collect();
        if !finished.is_empty() || is_due {
            self.fleet.report_progress(&id, &running, finished);
        }
        self.runs
            .extend(here.into_iter().filter(|run| !is_over(&run)));
    }
}

/// Guards against other placements than before where workers differ little or not at all.
#[test]
fn placements_do_not_depend_on_mild_differences() {
    let equal = vec![1.0; 12];
    let mild = (0..12).map(|i| [0.8, 1.0, 1.3][i % 3]).collect();
    for factors in [equal, mild] {
        let mut before = Stream::new(factors.clone());
        // Runs on cold workers say nothing about speed.
        for info in &mut before.fleet.infos {
            info.cold = Some(Millis(1));
        }
        before.fleet.set_up();
        before.play();
        let mut stream = Stream::new(factors);
        stream.play();
        assert!(stream.placed.len() > 150);
        assert!(stream.placed == before.placed);
        assert_eq!(stream.fleet.scheduler.slow_workers(), 0);
    }
}

/// Guards against slow workers that the reports of runs don't reveal.
#[test]
fn reports_reveal_slow_workers() {
    let factors = (0..12).map(|i| if i % 3 == 0 { SLOW } else { 1.0 });
    let mut stream = Stream::new(factors.collect());
    stream.play();
    let slow = stream.fleet.scheduler.slowest_workers(4);
    let mut ids: Vec<&str> = slow.iter().map(|w| &*w.worker).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["w00", "w03", "w06", "w09"], "{slow:?}");
    assert!(
        slow.iter().all(|w| (2.0..2.9).contains(&w.factor)),
        "{slow:?}"
    );
    assert_eq!(stream.fleet.scheduler.slow_workers(), 4);
}

/// Reports a gang with one slow member, and returns the number of workers whose speed is known.
fn known_by(fleet: &mut Fleet, started: &[Order]) -> usize {
    for order in started {
        fleet.take(order);
    }
    fleet.advance(1_485);
    for (order, percent) in started.iter().zip([41, 41, 17, 41, 41]) {
        fleet.report_progress(&order.worker, &[(order, percent)], Vec::new());
    }
    fleet.plan();
    fleet.submit("next", 0, gang(1, 1));
    fleet.plan();
    fleet.scheduler.slowest_workers(99).len()
}

/// Guards against speeds that are taken from runs whose run time has other reasons.
#[test]
fn runs_on_cold_workers_or_from_checkpoints_or_away_say_nothing() {
    let start = |step: Step| {
        let mut fleet = Fleet::with_config(8, tight());
        fleet.submit("gang", 0, step);
        let started = starts(&fleet.plan());
        known_by(&mut fleet, &started)
    };
    assert_eq!(start(gang(5, 8)), 5);
    let mut cold = Fleet::with_config(8, tight());
    for info in &mut cold.infos {
        info.cold = Some(Millis(3_000));
    }
    cold.set_up();
    cold.submit("gang", 0, gang(5, 8));
    let started = starts(&cold.plan());
    assert_eq!(known_by(&mut cold, &started), 0);
    // Racks have four workers.
    let wide = Step {
        same_rack: true,
        ..gang(5, 8)
    };
    assert_eq!(start(wide), 0);
    let away = Step {
        data_rack: Some("elsewhere".into()),
        ..gang(5, 8)
    };
    assert_eq!(start(away), 0);
    let mut restored = Fleet::with_config(8, tight());
    restored.submit("gang", 0, gang(5, 8));
    for order in starts(&restored.plan()) {
        restored.finish_with(&order, 1, Outcome::Stopped, "half");
    }
    let started = starts(&restored.plan());
    assert_eq!(started.len(), 5);
    assert_eq!(known_by(&mut restored, &started), 0);
}

/// Guards against speeds that are taken from runs that an earlier leader placed, whose start is not
/// known.
#[test]
fn runs_of_an_earlier_leader_say_nothing() {
    let mut fleet = Fleet::with_config(8, tight());
    fleet.submit("gang", 0, gang(5, 8));
    let started = starts(&fleet.plan());
    for order in &started {
        fleet.take(order);
    }
    fleet.advance(2_000);
    fleet.restart();
    fleet.advance(100);
    assert_eq!(known_by(&mut fleet, &started), 0);
}
