//! Workers with several lives, for a job scheduler whose calls a test carries.

use std::collections::{BTreeMap, BTreeSet};

use base::clock::Millis;
use batch::{
    job::{Resources, Spec, Step, SubtaskId, Text},
    worker::{Action, FinishedRun, Order, Outcome, Refusal, StartReply},
};
use fastrand::Rng;

use crate::fleet::{Fleet, gang, step};

pub const WORKERS: usize = 16;
const GANG_TIMEOUT: Millis = Millis(4_000);
const STOP_TIME: Millis = Millis(200);

#[derive(Clone, Copy, Debug)]
pub struct RunState {
    pub attempt: u32,
    pub started: Millis,
    /// Time from which the run works: that of its start, or when its gang is complete.
    pub at_work: Option<Millis>,
    pub stopped_at: Option<Millis>,
}

/// Services, each with half of the workers of each rack.
pub const SERVICES: [&str; 2] = ["svc", "other"];

/// One life of a worker.
#[derive(Debug, Default)]
pub struct Life {
    pub incarnation: u64,
    pub born: Millis,
    pub running: BTreeMap<SubtaskId, RunState>,
    pub last_ended: BTreeMap<SubtaskId, u32>,
    pub seq: u64,
    pub finished: Vec<FinishedRun>,
    pub lease_end: Millis,
}

#[derive(Debug, Default)]
pub struct Machine {
    pub life: Life,
    pub down_until: Option<Millis>,
    /// Time until which it is cut off.
    pub cut_until: Millis,
    pub renewed_at: Millis,
    pub granted_until: Millis,
    pub has_outage: bool,
    pub entry_at: Millis,
}

#[derive(Debug)]
pub struct InFlight {
    pub at: Millis,
    pub order: Order,
    pub is_lost: bool,
    pub answers: bool,
}

pub struct World {
    pub fleet: Fleet,
    pub rng: Rng,
    pub machines: Vec<Machine>,
    pub orders: Vec<InFlight>,
    pub steps: BTreeMap<Text, Vec<Step>>,
    pub run_times: BTreeMap<Text, Millis>,
    /// Priority of the queue of each job, which names the queue.
    pub queues: BTreeMap<Text, u32>,
    /// Service of each queue in force, by priority; that of a missing queue is the first one.
    pub services: [&'static str; 3],
    pub done: BTreeSet<SubtaskId>,
    pub version: u64,
    pub calm_from: Option<Millis>,
    pub standing: BTreeMap<Text, Millis>,
    pub list_at: Millis,
}

fn members(id: &SubtaskId, step: &Step) -> Vec<SubtaskId> {
    let one = |index| SubtaskId {
        index,
        ..id.clone()
    };
    (0..step.count as usize).map(one).collect()
}

impl World {
    pub fn new(seed: u64) -> Self {
        let machine = |_| Machine {
            life: Life {
                incarnation: 1,
                ..Life::default()
            },
            ..Machine::default()
        };
        let mut fleet = Fleet::new(WORKERS);
        for (i, info) in fleet.infos.iter_mut().enumerate() {
            info.service = SERVICES[i % 2].into();
        }
        fleet.set_up();
        Self {
            fleet,
            rng: Rng::with_seed(seed),
            machines: (0..WORKERS).map(machine).collect(),
            orders: Vec::new(),
            steps: BTreeMap::new(),
            run_times: BTreeMap::new(),
            queues: BTreeMap::new(),
            services: [SERVICES[0]; 3],
            done: BTreeSet::new(),
            version: 1,
            calm_from: None,
            standing: BTreeMap::new(),
            list_at: Millis::ZERO,
        }
    }

    pub fn is_calm(&self) -> bool {
        self.calm_from.is_some()
    }

    pub fn chance(&mut self, one_in: u32) -> bool {
        self.rng.u32(0..one_in) == 0
    }

    pub fn is_reachable(&self, i: usize) -> bool {
        self.machines[i].down_until.is_none() && self.machines[i].cut_until <= self.fleet.now
    }

    pub fn index(&self, worker: &str) -> usize {
        let found = self.fleet.infos.iter().position(|i| &*i.id == worker);
        found.expect("a known worker")
    }

    pub fn submit(&mut self, n: u64) {
        let id = format!("{n:x}");
        let shape: fn(u32, u64) -> Step = if self.rng.bool() { gang } else { step };
        let mut steps = vec![shape(
            self.rng.u32(1..7),
            [1, 1, 2, 4, 8][self.rng.usize(..5)],
        )];
        if self.chance(4) {
            let mut second = step(self.rng.u32(1..5), 1);
            second.after = vec![0];
            steps.push(second);
        }
        let run_time = Millis(self.rng.u64(300..6_000));
        for step in &mut steps {
            step.estimate = Millis(run_time.0 * self.rng.u64(5..20) / 10);
            step.same_rack = step.gang && self.rng.bool();
            if self.rng.u8(..3) == 0 {
                step.data_rack = Some(format!("r{}", self.rng.usize(..WORKERS / 4)).into());
            }
            if self.rng.u8(..6) == 0 && !step.gang {
                step.max_per_worker = 1;
            }
        }
        let spec = Spec {
            text: "spec".into(),
            steps: steps.clone(),
            repeat: None,
        };
        self.steps.insert(id.as_str().into(), steps);
        self.run_times.insert(id.as_str().into(), run_time);
        let org = ["org-a", "org-b", "org-c"][self.rng.usize(..3)];
        let priority = self.rng.u32(0..3);
        self.queues.insert(id.as_str().into(), priority);
        self.fleet.submit_spec(&id, priority, org, spec);
    }

    pub fn start(&mut self, i: usize, order: &Order) -> StartReply {
        let now = self.fleet.now;
        let step = &self.steps[&order.task.job][order.task.step];
        let need = step.need;
        let life = &mut self.machines[i].life;
        if life
            .running
            .get(&order.task)
            .is_some_and(|r| r.attempt == order.attempt)
        {
            return StartReply::Taken;
        }
        let highest = life.last_ended.get(&order.task);
        if life.running.contains_key(&order.task) || highest.is_some_and(|h| order.attempt <= *h) {
            return StartReply::Refused(Refusal::Old);
        }
        let mut used = Resources::default();
        for task in life.running.keys() {
            let need = self.steps[&task.job][task.step].need;
            used.cpu += need.cpu;
            used.memory_mb += need.memory_mb;
            used.accelerators += need.accelerators;
        }
        used.cpu += need.cpu;
        used.memory_mb += need.memory_mb;
        used.accelerators += need.accelerators;
        if !used.fits_in(self.fleet.infos[i].capacity) {
            return StartReply::Refused(Refusal::Room);
        }
        life.lease_end = life.lease_end.max(now + Millis(6_000));
        let run = RunState {
            attempt: order.attempt,
            started: now,
            at_work: (!step.gang).then_some(now),
            stopped_at: None,
        };
        life.running.insert(order.task.clone(), run);
        StartReply::Taken
    }

    pub fn end(&mut self, i: usize, task: &SubtaskId, outcome: Outcome) {
        let life = &mut self.machines[i].life;
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.seq += 1;
        life.last_ended.insert(task.clone(), run.attempt);
        life.finished.push(FinishedRun {
            seq: life.seq,
            task: task.clone(),
            attempt: run.attempt,
            outcome,
            checkpoint: Text::default(),
        });
    }

    pub fn end_due_runs(&mut self) {
        let now = self.fleet.now;
        let mut present: BTreeMap<(Text, usize, u32), usize> = BTreeMap::new();
        for machine in &self.machines {
            for (task, run) in &machine.life.running {
                let key = (task.job.clone(), task.step, run.attempt);
                *present.entry(key).or_default() += 1;
            }
        }
        let mut ends = Vec::new();
        for (i, machine) in self.machines.iter_mut().enumerate() {
            let is_lapsed = now > machine.life.lease_end;
            for (task, run) in &mut machine.life.running {
                let step = &self.steps[&task.job][task.step];
                let count = present[&(task.job.clone(), task.step, run.attempt)];
                let is_complete = count == step.count as usize;
                if step.gang && is_complete {
                    run.at_work.get_or_insert(now);
                }
                let run_time = self.run_times[&task.job];
                let outcome = match run.at_work {
                    _ if run.stopped_at.is_some_and(|t| now.since(t) >= STOP_TIME) => {
                        Some(Outcome::Stopped)
                    }
                    _ if is_lapsed => Some(Outcome::Lapsed),
                    Some(_) if step.gang && !is_complete => Some(Outcome::Broken),
                    Some(t) if now.since(t) >= run_time => Some(Outcome::Done),
                    None if now.since(run.started) >= GANG_TIMEOUT => Some(Outcome::Alone),
                    _ => None,
                };
                if let Some(outcome) = outcome {
                    ends.push((i, task.clone(), outcome));
                }
            }
        }
        for (i, task, outcome) in ends {
            let is_failed = outcome == Outcome::Done && !self.is_calm() && self.rng.u8(..40) == 0;
            let outcome = if is_failed { Outcome::Failed } else { outcome };
            self.end(i, &task, outcome);
        }
    }

    pub fn acknowledge(&mut self, i: usize, acked: u64) {
        let life = &mut self.machines[i].life;
        for run in life.finished.extract_if(.., |r| r.seq <= acked) {
            if run.outcome == Outcome::Done {
                let step = &self.steps[&run.task.job][run.task.step];
                if step.gang {
                    self.done.extend(members(&run.task, step));
                } else {
                    self.done.insert(run.task);
                }
            }
        }
    }

    pub fn crash(&mut self, i: usize) {
        let (now, down) = (self.fleet.now, Millis(self.rng.u64(50..1_600)));
        let machine = &mut self.machines[i];
        if machine.down_until.is_some() {
            return;
        }
        machine.life = Life {
            incarnation: machine.life.incarnation + 1,
            born: now + down,
            ..Life::default()
        };
        machine.down_until = Some(now + down);
        if self.rng.bool()
            && self
                .fleet
                .scheduler
                .is_in_use(&self.fleet.infos[i].id.clone())
        {
            // The connection closes.
            self.lose(i, now);
        }
    }

    pub fn lose(&mut self, i: usize, alive_until: Millis) {
        if !self.machines[i].has_outage {
            self.machines[i].has_outage = true;
            let id = self.fleet.infos[i].id.clone();
            self.fleet.lose(&id, alive_until);
        }
    }

    pub fn carry_out(&mut self, i: usize, order: &Order) -> StartReply {
        match order.action {
            Action::Start { .. } => self.start(i, order),
            Action::Stop => {
                let now = self.fleet.now;
                let life = &mut self.machines[i].life;
                let last = life.last_ended.entry(order.task.clone()).or_default();
                if let Some(run) = life.running.get_mut(&order.task)
                    && run.attempt <= order.attempt
                {
                    run.stopped_at.get_or_insert(now);
                } else {
                    *last = order.attempt.max(*last);
                }
                StartReply::Taken
            }
        }
    }
}
