//! Seeded troubles of a fleet: planned stops of all nodes, signals, changes of the configuration, kills.

use std::{cmp, ops, thread, time};

use fastrand::Rng;
use platform_standin::worker::LostStart;

use super::{Fleet, NODES, Shape, WORKERS, traffic::CLASSES};

/// Time between SIGTERM and SIGKILL.
const GRACE: time::Duration = time::Duration::from_secs(6);
const POLL: time::Duration = time::Duration::from_millis(20);
/// Maximum number of nodes that are stopped at once, and range of the pause before the next ones in ms.
const AT_ONCE: usize = 7;
const PAUSE_MS: ops::Range<u64> = 500..4_000;
/// Maximum number of routes that a change adds, and of versions that it skips.
const ROUTES: usize = 200;
const VERSIONS: u64 = 3;

/// Maximum number of workers that lose a start at once.
const LOST_STARTS: usize = 40;
/// Range of the delay of a lost start and of the time for which further ones are refused, in ms.
const LOST_START_MS: ops::Range<u64> = 0..2_500;

/// What was done to a node or to all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Kills the leader.
    Kill,
    /// Kills many nodes at once, the leader too.
    Herd,
    /// Stops all nodes in groups, the leader in the first.
    Roll,
    Term,
    Hup,
    Change,
    /// Crashes many workers, which come back under their ids.
    Restart,
    /// Loses the answers to starts, which are carried out later.
    LostStarts,
    /// Adds, removes and changes the queues of the traffic.
    Queues,
    /// The process ended by itself.
    End,
}

#[derive(Clone, Copy, Debug)]
pub struct Event {
    pub kind: Kind,
    /// The node; `None` for all nodes.
    pub node: Option<usize>,
    pub at: time::Instant,
}

pub struct Troubles {
    rng: Rng,
    /// Troubles with their times; the next one is the last.
    due: Vec<(time::Duration, Kind)>,
    /// Nodes that will be stopped; the next one is the last.
    rolled: Vec<usize>,
    next_group: time::Instant,
    stopping: Vec<(usize, time::Instant)>,
    version: u64,
    /// Whether the queues of the traffic are not all there as at first.
    has_odd_queues: bool,
    pub events: Vec<Event>,
}

impl Troubles {
    pub fn new(seed: u64, length: time::Duration, counts: &[(Kind, u32)]) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut due = Vec::new();
        for (count, kind) in counts.iter().map(|(k, c)| (*c, *k)) {
            let at = |i: u32| match kind {
                Kind::Kill | Kind::Herd => length * (i + 1) / (count + 1),
                _ => length.mul_f64((f64::from(i) + 0.3 * rng.f64()) / f64::from(count)),
            };
            due.extend((0..count).map(at).map(|at| (at, kind)));
        }
        due.sort_by_key(|(at, _)| cmp::Reverse(*at));
        Self {
            rng,
            due,
            rolled: Vec::new(),
            next_group: time::Instant::now(),
            stopping: Vec::new(),
            version: 1,
            has_odd_queues: false,
            events: Vec::new(),
        }
    }

    /// Plays the troubles until the traffic is over and all nodes run.
    pub fn play(&mut self, fleet: &mut Fleet, is_over: impl Fn() -> bool) {
        let began = time::Instant::now();
        while !(is_over() && self.stopping.is_empty()) {
            thread::sleep(POLL);
            self.restart_ended(fleet);
            if is_over() {
                continue;
            }
            while self
                .due
                .last()
                .is_some_and(|(at, _)| *at <= began.elapsed())
            {
                let kind = self.due.pop().map(|(_, kind)| kind);
                self.act(kind.unwrap(), fleet);
            }
            if !self.rolled.is_empty() && time::Instant::now() >= self.next_group {
                self.stop_group(fleet);
            }
        }
        if self.has_odd_queues {
            self.configure(fleet, &Shape::default());
        }
    }

    /// Returns the number of processes that ended by themselves.
    pub fn ends(&self) -> usize {
        self.events.iter().filter(|e| e.kind == Kind::End).count()
    }

    fn note(&mut self, kind: Kind, node: Option<usize>) {
        let at = time::Instant::now();
        self.events.push(Event { kind, node, at });
    }

    fn restart_ended(&mut self, fleet: &mut Fleet) {
        for i in 0..NODES {
            let stop = self.stopping.iter().position(|(n, _)| *n == i);
            let has_ended = fleet.nodes[i].has_ended();
            match stop {
                Some(s) if has_ended || self.stopping[s].1.elapsed() >= GRACE => {
                    if !has_ended {
                        eprintln!("node {i} outlives the grace period");
                    }
                    self.stopping.swap_remove(s);
                    fleet.replace(i);
                }
                None if has_ended => {
                    eprintln!("node {i} ended by itself");
                    self.note(Kind::End, Some(i));
                    fleet.replace(i);
                }
                _ => {}
            }
        }
    }

    fn act(&mut self, kind: Kind, fleet: &mut Fleet) {
        match kind {
            Kind::Kill => self.kill(fleet, 0),
            Kind::Herd => {
                let others = self.rng.usize(NODES / 2..NODES);
                self.kill(fleet, others);
            }
            Kind::Roll => {
                self.rolled = (0..NODES).collect();
                self.rng.shuffle(&mut self.rolled);
                let leader = fleet.leader();
                self.rolled.retain(|i| *i != leader);
                self.rolled.push(leader);
            }
            Kind::Hup => {
                let count = 1 + self.rng.usize(..NODES);
                for i in self.rng.choose_multiple(0..NODES, count) {
                    self.note(kind, Some(i));
                    fleet.nodes[i].hang_up();
                }
            }
            Kind::Change => {
                let shape = Shape {
                    extra: self.rng.usize(..ROUTES),
                    target_factor: self.rng.u64(1..4),
                    ..Shape::default()
                };
                self.note(kind, None);
                self.configure(fleet, &shape);
            }
            Kind::Restart => {
                let count = self.rng.usize(WORKERS / 20..WORKERS * 3 / 5);
                for i in self.rng.choose_multiple(0..WORKERS, count) {
                    fleet.workers[i].crash();
                }
            }
            Kind::LostStarts => {
                let count = self.rng.usize(1..=LOST_STARTS);
                for i in self.rng.choose_multiple(0..WORKERS, count) {
                    let mut any = || time::Duration::from_millis(self.rng.u64(LOST_START_MS));
                    fleet.workers[i].lose_start(LostStart {
                        delay: any(),
                        refusing: any() / 2,
                    });
                }
            }
            Kind::Queues => {
                let mut any = |p: u32| match self.rng.u8(..4) {
                    0 => None,
                    1 => Some(self.rng.u32(..3)),
                    _ => Some(p),
                };
                let shape = Shape {
                    priorities: CLASSES.map(|c| any(c.priority)),
                    extra: self.rng.usize(..ROUTES),
                    max_attempts: self.rng.u32(3..6),
                    guaranteed: self.rng.u64(..62),
                    ..Shape::default()
                };
                self.note(kind, None);
                self.configure(fleet, &shape);
                self.has_odd_queues = true;
            }
            Kind::Term | Kind::End => {}
        }
    }

    /// Crashes two thirds of the workers, which come back under their ids.
    pub fn restart_most(&mut self, fleet: &Fleet) {
        for i in self.rng.choose_multiple(0..WORKERS, WORKERS * 2 / 3) {
            fleet.workers[i].crash();
        }
    }

    fn configure(&mut self, fleet: &Fleet, shape: &Shape) {
        self.version += 1 + self.rng.u64(..VERSIONS);
        let config = shape.config(self.version);
        fleet.store.put("op", "config", &config);
    }

    /// Kills the leader and `others`.
    fn kill(&mut self, fleet: &mut Fleet, others: usize) {
        let leader = fleet.leader();
        let mut killed = self.rng.choose_multiple(0..NODES, others);
        killed.retain(|i| *i != leader);
        killed.push(leader);
        for i in &killed {
            self.note(Kind::Kill, Some(*i));
            self.stopping.retain(|(n, _)| n != i);
            fleet.nodes[*i].kill();
        }
        for i in &killed {
            fleet.replace(*i);
        }
        eprintln!(
            "killed and restarted {} nodes, the leader {leader}",
            killed.len()
        );
    }

    fn stop_group(&mut self, fleet: &Fleet) {
        for _ in 0..self.rng.usize(1..=AT_ONCE) {
            let Some(i) = self.rolled.pop() else { return };
            if self.stopping.iter().any(|(n, _)| *n == i) {
                continue;
            }
            self.note(Kind::Term, Some(i));
            fleet.nodes[i].terminate();
            self.stopping.push((i, time::Instant::now()));
        }
        let pause = time::Duration::from_millis(self.rng.u64(PAUSE_MS));
        self.next_group = time::Instant::now() + pause;
    }
}
