//! A job scheduler with workers whose replies and reports a test provides.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{collections::BTreeMap, rc::Rc};

use base::clock::Millis;
use batch::{
    config::{Config, Organisation, Queue},
    job::{AcceptedJob, Resources, Spec, Step, SubtaskId, Text},
    progress::Progress,
    scheduler::{JobScheduler, PendingChanges},
    speed_report::StoredForecast,
    worker::{Action, FinishedRun, Order, Outcome, Report, Running, StartReply, WorkerInfo},
};

/// Wall-clock time at the start of the local clock.
pub const START: Millis = Millis(1_000_000);

/// A scheduler and its identical workers, which have 64 cores, 256 GB and 8 accelerators each. Each
/// rack has 4 workers.
pub struct Fleet {
    pub scheduler: JobScheduler,
    pub now: Millis,
    pub infos: Vec<WorkerInfo>,
    pub config: Config,
    accepted: Vec<AcceptedJob>,
    /// Records of the jobs' progress as committed.
    stored: BTreeMap<Text, String>,
}

impl Fleet {
    pub fn new(workers: usize) -> Self {
        Self::with_config(workers, config())
    }

    pub fn with_config(workers: usize, config: Config) -> Self {
        let mut fleet = Self {
            scheduler: JobScheduler::default(),
            now: Millis(1_000),
            infos: (0..workers).map(info).collect(),
            config,
            accepted: Vec::new(),
            stored: BTreeMap::new(),
        };
        fleet.set_up();
        fleet
    }

    /// Returns a fleet whose racks belong to the data centres `zones` in turn.
    pub fn in_zones(workers: usize, zones: &[&str]) -> Self {
        let mut fleet = Self::new(workers);
        for (i, info) in fleet.infos.iter_mut().enumerate() {
            info.zone = zones[i / 4 % zones.len()].into();
        }
        fleet.set_up();
        fleet
    }

    pub fn evacuate(&mut self, zones: &[&str]) {
        let zones: Vec<Text> = zones.iter().map(|z| (*z).into()).collect();
        self.scheduler.set_evacuated(&zones, self.now);
    }

    /// Returns the data centre of a listed worker.
    pub fn zone_of(&self, worker: &str) -> &str {
        let info = self.infos.iter().find(|i| &*i.id == worker);
        info.map_or("", |i| &i.zone)
    }

    /// Gives a new scheduler the configuration and the VM list.
    pub fn set_up(&mut self) {
        self.scheduler.configure(&Rc::new(self.config.clone()));
        self.scheduler.replace_vm_list(self.infos.clone(), self.now);
    }

    /// Replaces the scheduler by one that knows only what was committed.
    pub fn restart(&mut self) {
        let failing = self.scheduler.failing_workers();
        let stored = StoredForecast::default();
        let forecast = self.scheduler.forecast_to_store(&stored, self.now);
        self.scheduler = JobScheduler::default();
        if let Some(forecast) = forecast {
            self.scheduler.restore_forecast(&forecast, self.now);
        }
        self.scheduler.restore_failing_workers(&failing, self.now);
        // A leader reads the jobs in the order of their ids.
        self.accepted.sort_by(|a, b| a.id.cmp(&b.id));
        for accepted in &self.accepted {
            let progress = self.stored.get(&accepted.id);
            let progress: Option<Progress> =
                progress.map(|p| serde_json::from_str(p).expect("a valid record"));
            let restored = self.scheduler.restore(accepted.clone(), progress);
            assert_eq!(restored, Ok(()));
        }
        self.set_up();
    }

    pub fn wall(&self) -> Millis {
        START + self.now
    }

    /// Submits a job with one step to the queue of the given priority.
    pub fn submit(&mut self, id: &str, priority: u32, step: Step) {
        let spec = Spec {
            text: "spec".into(),
            steps: vec![step],
            repeat: None,
        };
        self.submit_spec(id, priority, "org-a", spec);
    }

    pub fn submit_spec(&mut self, id: &str, priority: u32, organisation: &str, spec: Spec) {
        let accepted = AcceptedJob {
            id: id.into(),
            queue: format!("q{priority}").into(),
            service: "svc".into(),
            organisation: Some(organisation.into()),
            at: self.wall(),
            spec,
        };
        self.accepted.push(accepted.clone());
        assert!(self.scheduler.accept(accepted), "{id} is new");
    }

    /// Runs one scheduling pass and returns its changes as committed.
    pub fn plan(&mut self) -> PendingChanges {
        let wall_now = self.wall();
        self.scheduler.open_due_occurrences(wall_now);
        self.scheduler.place(self.now, wall_now);
        let changes = self.scheduler.take_changes();
        self.scheduler.mark_committed(&changes.acks);
        let record = |(id, progress): &(Text, Progress)| {
            let record = serde_json::to_string(progress).expect("plain data");
            (id.clone(), record)
        };
        self.stored.extend(changes.records.iter().map(record));
        changes
    }

    pub fn advance(&mut self, ms: u64) -> &mut Self {
        self.now += Millis(ms);
        self
    }

    /// Delivers a report of a worker with its running and finished runs.
    pub fn report(&mut self, worker: &str, running: &[&Order], finished: Vec<FinishedRun>) {
        self.report_to(self.now, worker, running, finished);
    }

    /// Delivers a report of a worker that was requested at `sent`.
    pub fn report_to(
        &mut self,
        sent: Millis,
        worker: &str,
        running: &[&Order],
        finished: Vec<FinishedRun>,
    ) {
        let info = self.infos.iter().find(|i| &*i.id == worker);
        let report = Report {
            clock: self.now,
            incarnation: info.map_or(1, |i| i.incarnation),
            running: running.iter().map(|o| run(o)).collect(),
            finished,
            ..Report::default()
        };
        let (now, wall_now) = (self.now, self.wall());
        self.scheduler
            .handle_report(worker, &report, sent, now, wall_now);
    }

    /// Delivers an empty report of another incarnation of a worker.
    pub fn report_life(&mut self, worker: &str, incarnation: u64) {
        let report = Report {
            clock: self.now,
            incarnation,
            ..Report::default()
        };
        let (now, wall_now) = (self.now, self.wall());
        self.scheduler
            .handle_report(worker, &report, now, now, wall_now);
    }

    /// Reports the run of an order with its progress in percent.
    pub fn report_running(&mut self, order: &Order, incarnation: u64, percent: u32) {
        let report = Report {
            clock: self.now,
            incarnation,
            running: vec![Running {
                percent,
                ..run(order)
            }],
            ..Report::default()
        };
        let (now, wall_now) = (self.now, self.wall());
        self.scheduler
            .handle_report(&order.worker, &report, now, now, wall_now);
    }

    /// Delivers a complete report of a worker: its running runs with their progress in percent, and its
    /// finished ones.
    pub fn report_progress(
        &mut self,
        worker: &str,
        running: &[(&Order, u32)],
        finished: Vec<FinishedRun>,
    ) {
        let running = running.iter().map(|(order, percent)| Running {
            percent: *percent,
            ..run(order)
        });
        let report = Report {
            clock: self.now,
            incarnation: 1,
            running: running.collect(),
            finished,
            ..Report::default()
        };
        let (now, wall_now) = (self.now, self.wall());
        self.scheduler
            .handle_report(worker, &report, now, now, wall_now);
    }

    /// Changes the number of accelerators of a worker, whose clock shows the current time.
    pub fn resize(&mut self, worker: &str, accelerators: u64) {
        let now = self.now;
        for info in self.infos.iter_mut().filter(|i| &*i.id == worker) {
            info.capacity.accelerators = accelerators;
            info.clock = now;
        }
        self.scheduler.replace_vm_list(self.infos.clone(), now);
    }

    /// Returns the number of crashes that the stored progress of a job counts.
    pub fn crashes(&self, job: &str) -> u32 {
        let Some(record) = self.stored.get(job) else {
            return 0;
        };
        let progress: Progress = serde_json::from_str(record).expect("a valid record");
        let steps = progress.occurrences.iter().flat_map(|o| &o.steps);
        steps.flatten().map(|t| t.crashes).sum()
    }

    /// Delivers the worker's confirmation of a start.
    pub fn take(&mut self, order: &Order) {
        let now = self.now;
        let taken = StartReply::Taken;
        self.scheduler
            .handle_start_reply(&order.task, order.attempt, taken, now);
    }

    /// Runs a pass whose starts are taken, and returns them.
    pub fn start_all(&mut self) -> Vec<Order> {
        let orders = starts(&self.plan());
        for order in &orders {
            self.take(order);
        }
        orders
    }

    /// Gives the scheduler the VM list.
    pub fn list_workers(&mut self) {
        self.scheduler.replace_vm_list(self.infos.clone(), self.now);
    }

    /// Crashes a worker: its connection closes, and 3 s later another worker answers at its address.
    pub fn crash(&mut self, worker: &str) {
        self.lose(worker, self.now);
        self.advance(3_000).replace(worker);
    }

    /// Lets a worker stop answering after `alive_until`.
    pub fn lose(&mut self, worker: &str, alive_until: Millis) {
        let now = self.now;
        self.scheduler.handle_outage(worker, alive_until, now);
    }

    /// Lets another worker register at the address of `worker` and answer there.
    pub fn replace(&mut self, worker: &str) {
        self.register_successor(worker);
        let (now, wall_now) = (self.now, self.wall());
        self.scheduler.handle_replaced(worker, now, wall_now);
    }

    /// Replaces a worker in the VM list by another one at the same address.
    pub fn register_successor(&mut self, worker: &str) {
        for info in self.infos.iter_mut().filter(|i| &*i.id == worker) {
            info.id = format!("{}'", info.id).into();
            info.incarnation += 1;
            info.draining = false;
        }
        self.infos.sort_by(|a, b| a.id.cmp(&b.id));
        let (infos, now) = (self.infos.clone(), self.now);
        self.scheduler.replace_vm_list(infos, now);
    }

    /// Reports the run of an order as finished.
    pub fn finish(&mut self, order: &Order, seq: u64, outcome: Outcome) {
        self.finish_with(order, seq, outcome, "");
    }

    pub fn finish_with(&mut self, order: &Order, seq: u64, outcome: Outcome, checkpoint: &str) {
        let finished = FinishedRun {
            checkpoint: checkpoint.into(),
            ..finished(order, seq, outcome)
        };
        self.report(&order.worker.clone(), &[], vec![finished]);
    }
}

pub fn run(order: &Order) -> Running {
    Running {
        task: order.task.clone(),
        attempt: order.attempt,
        checkpoint: Text::default(),
        percent: 10,
    }
}

/// Returns the entry of a report for the end of an order's run.
pub fn finished(order: &Order, seq: u64, outcome: Outcome) -> FinishedRun {
    FinishedRun {
        seq,
        task: order.task.clone(),
        attempt: order.attempt,
        outcome,
        checkpoint: Text::default(),
    }
}

pub fn starts(changes: &PendingChanges) -> Vec<Order> {
    let is_start = |o: &&Order| matches!(o.action, Action::Start { .. });
    changes.orders.iter().filter(is_start).cloned().collect()
}

pub fn stops(changes: &PendingChanges) -> Vec<Order> {
    let is_stop = |o: &&Order| o.action == Action::Stop;
    changes.orders.iter().filter(is_stop).cloned().collect()
}

/// Returns a step of `count` subtasks with `accelerators` each.
pub fn step(count: u32, accelerators: u64) -> Step {
    Step {
        count,
        need: Resources {
            cpu: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        estimate: Millis(5_000),
        ..Step::default()
    }
}

/// Returns a step of endless subtasks.
pub fn lasting(count: u32, accelerators: u64) -> Step {
    Step {
        endless: true,
        ..step(count, accelerators)
    }
}

/// Returns a step whose subtasks outlast any test.
pub fn long(count: u32, accelerators: u64) -> Step {
    Step {
        estimate: Millis(3_600_000),
        ..step(count, accelerators)
    }
}

pub fn gang(count: u32, accelerators: u64) -> Step {
    Step {
        gang: true,
        ..step(count, accelerators)
    }
}

pub fn subtask(id: &str) -> SubtaskId {
    SubtaskId::parse(id).unwrap()
}

pub fn info(i: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{i:02}").into(),
        service: "svc".into(),
        address: format!("127.0.0.1:{}", i + 1).into(),
        machine: Some(format!("m{i}").into()),
        zone: "z".into(),
        draining: false,
        remaining: None,
        cold: None,
        capacity: Resources {
            cpu: 64_000,
            memory_mb: 262_144,
            accelerators: 8,
        },
        labels: vec!["a".into(), format!("r{}", i / 4).into()],
        incarnation: 1,
        clock: Millis(1),
    }
}

/// Returns a configuration with three queues of priorities 0 to 2 and two organisations with
/// guarantees.
pub fn config() -> Config {
    let queue = |priority: u32| Queue {
        name: format!("q{priority}").into(),
        host: "h".into(),
        path_prefix: format!("/q{priority}/").into(),
        service: "svc".into(),
        priority,
        max_attempts: 2,
        slack_factor: 3.0,
        target_latency: Millis(1_000),
        public: false,
        policy: None,
    };
    let organisation = |name: &str| Organisation {
        name: name.into(),
        api_keys: vec![format!("key-{name}").into()],
        guaranteed_accelerators: 16,
    };
    Config {
        version: 1,
        queues: (0..3).map(queue).collect(),
        organisations: vec![organisation("org-a"), organisation("org-b")],
        services_without_admission_check: Vec::new(),
        max_body_bytes: 1_000,
    }
}
