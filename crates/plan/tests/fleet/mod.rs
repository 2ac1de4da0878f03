//! Fake workers that only answer orders, and builders for jobs, workers and configurations.
#![allow(dead_code)]

pub mod packing;
pub mod simulation;

use std::collections::BTreeMap;

use base::{clock::Millis, name::Name};
use plan::{
    event::{Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    record::Member,
};
use schema::{
    config::Config,
    job::{Job, StopMode},
    organisation::{Guarantee, Organisation},
    shape::{Adjacency, Shape},
};

pub fn name(text: &str) -> Name {
    text.parse().unwrap()
}

pub fn worker(i: usize, per_rack: usize) -> WorkerInfo {
    WorkerInfo {
        name: name(&format!("w{i}")),
        rack: name(&format!("r{}", i / per_rack)),
        data_centre: name("dc"),
        accelerators: 8,
        cores: 64,
        memory_mb: 256 << 10,
    }
}

pub fn shape(members: u16, accelerators: u16, adjacency: Adjacency) -> Shape {
    Shape {
        members,
        accelerators,
        cores: 2,
        memory_mb: 1024,
        adjacency,
    }
}

pub fn job(organisation: &str, title: &str, shape: Shape) -> Job {
    Job {
        organisation: name(organisation),
        team: name("team"),
        name: name(title),
        kind: name("kind"),
        shape,
        run_time_ms: Millis::from_secs(60),
        urgent: false,
        stop: StopMode::Checkpoint,
    }
}

/// Builds a configuration with the given guarantees: organisation, number of gangs and shape.
pub fn config(revision: u64, guarantees: &[(&str, u16, Shape)]) -> Config {
    let mut config = Config {
        revision,
        ..Config::default()
    };
    for (organisation, gangs, shape) in guarantees {
        let org = Organisation {
            name: name(organisation),
            token_hashes: Vec::new(),
            guarantees: Vec::new(),
            weight: 1,
        };
        if config.organisations.get(&org.name).is_none() {
            config.organisations.insert(org.name.clone(), org.clone());
        }
        let org = config.organisations.get_mut(&org.name).unwrap();
        org.guarantees.push(Guarantee {
            gangs: *gangs,
            shape: *shape,
        });
    }
    config
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// Held until the given time.
    Held(Millis),
    Running,
    Ended(Report),
}

/// Tasks known to one worker. Orders are idempotent.
#[derive(Clone, Debug, Default)]
pub struct FakeWorker {
    pub tasks: BTreeMap<Attempt, (Vec<Member>, TaskState)>,
}

impl FakeWorker {
    pub fn accelerators_in_use(&self) -> u32 {
        let live = self
            .tasks
            .values()
            .filter(|(_, task)| !matches!(task, TaskState::Ended(_)));
        live.flat_map(|(members, _)| members)
            .fold(0, |bits, m| bits | m.accelerators)
    }

    /// Executes an order and returns the report.
    pub fn handle_order(&mut self, now: Millis, order: &Order) -> Option<Report> {
        match order.action {
            Action::Hold { .. } => Some(self.hold(now, order)),
            Action::Go => Some(self.go(order)),
            Action::Release => {
                self.tasks.remove(&order.attempt);
                None
            }
            Action::Stop { checkpoint } => Some(self.stop(order, checkpoint)),
            Action::Throttle => None,
        }
    }

    fn hold(&mut self, now: Millis, order: &Order) -> Report {
        if let Some((members, task)) = self.tasks.get_mut(&order.attempt) {
            if !members.contains(&order.member) {
                members.push(order.member.clone());
            }
            return Self::answer(*task);
        }
        if self.accelerators_in_use() & order.member.accelerators != 0 {
            return Report::NotHeld;
        }
        let until = now + Millis::from_secs(20);
        let entry = (vec![order.member.clone()], TaskState::Held(until));
        self.tasks.insert(order.attempt.clone(), entry);
        Report::Held
    }

    fn go(&mut self, order: &Order) -> Report {
        let Some((_, task)) = self.tasks.get_mut(&order.attempt) else {
            return Report::NotHeld;
        };
        if matches!(task, TaskState::Held(_)) {
            *task = TaskState::Running;
        }
        Self::answer(*task)
    }

    fn stop(&mut self, order: &Order, checkpoint: bool) -> Report {
        let Some((_, task)) = self.tasks.get_mut(&order.attempt) else {
            return Report::Stopped { checkpoint: false };
        };
        if !matches!(task, TaskState::Ended(_)) {
            *task = TaskState::Ended(Report::Stopped { checkpoint });
        }
        Self::answer(*task)
    }

    fn answer(task: TaskState) -> Report {
        match task {
            TaskState::Held(_) => Report::Held,
            TaskState::Running => Report::Running { memory_mb: 1 },
            TaskState::Ended(report) => report,
        }
    }
}

/// Fake workers by name.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub workers: BTreeMap<Name, FakeWorker>,
}

impl Fleet {
    pub fn handle_order(&mut self, now: Millis, order: &Order) -> Option<Event> {
        let worker = self.workers.entry(order.member.worker.clone()).or_default();
        let report = worker.handle_order(now, order)?;
        Some(Event::Member {
            attempt: order.attempt.clone(),
            worker: order.member.worker.clone(),
            report,
        })
    }

    /// Drops the holds that expired.
    pub fn expire(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            let keep = |task: &TaskState| !matches!(task, TaskState::Held(until) if *until <= now);
            worker.tasks.retain(|_, (_, task)| keep(task));
        }
    }

    /// Ends the tasks of the attempt on all workers and returns the reports.
    pub fn end_tasks(&mut self, attempt: &Attempt, report: Report) -> Vec<Event> {
        let mut events = Vec::new();
        for (worker, fake) in &mut self.workers {
            let Some((_, task)) = fake.tasks.get_mut(attempt) else {
                continue;
            };
            if *task == TaskState::Running {
                *task = TaskState::Ended(report);
                events.push(Event::Member {
                    attempt: attempt.clone(),
                    worker: worker.clone(),
                    report,
                });
            }
        }
        events
    }
}
