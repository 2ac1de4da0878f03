//! A scheduler with a simple model of its workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use base::clock::Millis;
use batch::{
    delay_cost::OverloadRules,
    job::{AcceptedJob, Resources, Spec, Step, SubtaskId, Text},
    progress::Phase,
    scheduler::JobScheduler,
    worker::{Action, FinishedRun, Order, Outcome, Report, Running, StartReply, WorkerInfo},
};
use fastrand::Rng;

use crate::load::{
    self, DRAIN, DURATION, GUARANTEE, Job, KINDS, MAX_STOP_TIME, ORDER_TIME, ORGANISATIONS,
    PASS_INTERVAL, REPORT_INTERVAL, RESTORE_TIME, WALL_START, WORKERS,
};

struct Run {
    order: Order,
    started: Millis,
    length: f64,
    cores: f64,
    checkpoints: bool,
}

#[derive(Default)]
struct Worker {
    id: Text,
    runs: Vec<Run>,
    finished: Vec<FinishedRun>,
    next_seq: u64,
    reports_at: Millis,
    down_until: Millis,
}

pub(crate) struct Site {
    scheduler: JobScheduler,
    /// Draws the jobs, which don't depend on decisions.
    rng: Rng,
    /// Draws delays of orders and reports.
    delays: Rng,
    now: Millis,
    infos: Vec<WorkerInfo>,
    workers: Vec<Worker>,
    pub(crate) jobs: BTreeMap<Text, Job>,
    /// Orders under way, by the time when they take effect.
    orders: Vec<(Millis, Order)>,
    /// Subtasks that have started.
    begun: BTreeSet<SubtaskId>,
    /// Work done before a stop that wrote a checkpoint.
    saved: BTreeMap<SubtaskId, f64>,
    bursts: Vec<(Millis, Millis, usize)>,
    outages: Vec<(Millis, f64)>,
    corrected: bool,
    load: f64,
    next_id: u64,
    pub(crate) stops: u64,
    pub(crate) lost: f64,
    pub(crate) stops_by_task: BTreeMap<SubtaskId, u32>,
    pub(crate) lapsed_claims: u64,
}

impl Site {
    pub(crate) fn new(seed: u64, rules: OverloadRules, corrected: bool, load: f64) -> Self {
        let mut rng = Rng::with_seed(seed + 1);
        let infos: Vec<WorkerInfo> = (0..WORKERS).map(load::info).collect();
        let worker = |i: &WorkerInfo| Worker {
            id: i.id.clone(),
            next_seq: 1,
            ..Worker::default()
        };
        let burst = |rng: &mut Rng, kind| {
            let start = Millis(rng.u64(5_000..40_000));
            (start, start + Millis(rng.u64(4_000..6_000)), kind)
        };
        let bursts = (0..3)
            .flat_map(|kind| [burst(&mut rng, kind), burst(&mut rng, kind)])
            .collect();
        let outages = [0.1, 0.25].map(|share| (Millis(rng.u64(8_000..42_000)), share));
        let mut scheduler = JobScheduler::new(RESTORE_TIME);
        scheduler.configure(&Rc::new(load::config()));
        scheduler.set_overload_rules(rules);
        scheduler.set_stop_time(Millis(MAX_STOP_TIME));
        scheduler.apply_vm_list(infos.clone(), Millis(1), Millis(1));
        Self {
            scheduler,
            rng,
            delays: Rng::with_seed(seed),
            now: Millis(1),
            workers: infos.iter().map(worker).collect(),
            infos,
            jobs: BTreeMap::new(),
            orders: Vec::new(),
            begun: BTreeSet::new(),
            saved: BTreeMap::new(),
            bursts,
            outages: outages.to_vec(),
            corrected,
            load,
            next_id: 0,
            stops: 0,
            lost: 0.0,
            stops_by_task: BTreeMap::new(),
            lapsed_claims: 0,
        }
    }

    fn wall(&self) -> Millis {
        WALL_START + self.now
    }

    pub(crate) fn play(&mut self) {
        while self.now < DURATION + DRAIN {
            self.now += Millis(1);
            if self.now < DURATION {
                self.submit_due();
            }
            self.lose_workers();
            self.apply_orders();
            self.report();
            if self.now.0.is_multiple_of(PASS_INTERVAL) {
                self.pass();
            }
        }
    }

    fn submit_due(&mut self) {
        for (kind, k) in KINDS.iter().enumerate() {
            let in_burst =
                |b: &(Millis, Millis, usize)| b.2 == kind && b.0 <= self.now && self.now < b.1;
            let factor = if self.bursts.iter().any(in_burst) {
                3.0
            } else {
                1.0
            };
            if self.rng.f64() < k.per_s * factor * self.load / 1_000.0 {
                self.submit(kind);
            }
        }
    }

    fn normal(&mut self) -> f64 {
        let (a, b) = (1.0 - self.rng.f64(), self.rng.f64());
        (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
    }

    fn submit(&mut self, kind: usize) {
        let k = &KINDS[kind];
        self.next_id += 1;
        let id: Text = format!("{:08x}{}", self.rng.u32(..), self.next_id).into();
        let spread = 0.3 - 1.2 * (1.0 - self.rng.f64()).ln();
        let count = ((k.width * spread / 1.5) as u32).max(1);
        let accelerators = k.accelerators[self.rng.usize(..k.accelerators.len())];
        // The mean of the log-normal distribution is `run_time`.
        let run_time = k.run_time * (0.35 * self.normal() - 0.06).exp();
        let error = if self.corrected {
            k.corrected_error
        } else {
            k.estimate_error
        };
        let estimate = run_time * (error * self.normal()).exp();
        let step = Step {
            count,
            need: Resources {
                cpu: k.cpu_per_accelerator * accelerators,
                memory_mb: 1_000 * accelerators,
                accelerators,
            },
            estimate: Millis(estimate as u64),
            gang: k.gang,
            same_rack: k.gang && self.rng.f64() < 0.6,
            checkpoints: self.rng.f64() < 0.45,
            ..Step::default()
        };
        let organisation = self.rng.u32(..ORGANISATIONS);
        let job = Job {
            kind,
            organisation,
            submitted: self.now,
            objective: Millis((run_time * k.slack) as u64) + k.target,
            work: f64::from(count) * run_time * accelerators as f64,
            run_time,
            accelerators: accelerators * u64::from(count),
            cores: (8 * accelerators) as f64 + step.need.cpu as f64 / 1_000.0,
            checkpoints: step.checkpoints,
            ended: None,
            to_start: count,
            started: None,
            guaranteed: kind == 0,
        };
        let accepted = AcceptedJob {
            id: id.clone(),
            queue: format!("q{kind}").into(),
            service: "svc".into(),
            organisation: Some(format!("org-{organisation}").into()),
            at: self.wall(),
            spec: Spec {
                text: "x".into(),
                steps: vec![step],
                repeat: None,
            },
        };
        self.scheduler.accept(accepted);
        self.jobs.insert(id.clone(), job);
        let is_within = self.used_by(organisation) <= GUARANTEE;
        let open =
            |j: &&mut Job| j.kind == 0 && j.organisation == organisation && j.ended.is_none();
        // A job that exceeds the guarantee takes it from the others of the organisation.
        for job in self.jobs.values_mut().filter(open) {
            job.guaranteed &= is_within;
        }
    }

    /// Returns the accelerators of the open urgent jobs of an organisation.
    fn used_by(&self, organisation: u32) -> u64 {
        let open = self
            .jobs
            .values()
            .filter(|j| j.kind == 0 && j.organisation == organisation && j.ended.is_none());
        open.map(|j| j.accelerators).sum()
    }

    /// Takes workers away without notice; their runs are lost and they come back after 5 s.
    fn lose_workers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.outages.extract_if(.., |o| o.0 <= now).collect();
        for (_, share) in due {
            let wall_now = self.wall();
            let first = self.delays.usize(..WORKERS);
            for i in 0..(WORKERS as f64 * share) as usize {
                let w = &mut self.workers[(first + i) % WORKERS];
                w.down_until = now + Millis(5_000);
                for run in std::mem::take(&mut w.runs) {
                    w.finish(&run.order, Outcome::Broken, now);
                }
                let report = Report {
                    clock: now,
                    incarnation: 1,
                    running: Vec::new(),
                    finished: w.finished.clone(),
                    is_complete: true,
                };
                self.scheduler
                    .handle_report(&w.id, &report, now, now, wall_now);
                self.scheduler.set_responding(&w.id, false, now);
            }
        }
        for w in &mut self.workers {
            if w.down_until == now {
                self.scheduler.set_responding(&w.id, true, now);
            }
        }
    }

    fn pass(&mut self) {
        let (now, wall_now) = (self.now, self.wall());
        if now.0.is_multiple_of(800) {
            self.scheduler.apply_vm_list(self.infos.clone(), now, now);
        }
        self.scheduler.open_due_occurrences(wall_now);
        self.scheduler.place(now, wall_now);
        self.scheduler.take_run_ends();
        self.lapsed_claims += self.scheduler.take_preemptions().lapsed_claims;
        let changes = self.scheduler.take_changes();
        self.scheduler.mark_committed(&changes.acks);
        for order in changes.orders {
            let delay = match order.action {
                Action::Start { .. } => ORDER_TIME,
                Action::Stop => {
                    ORDER_TIME + Millis(self.delays.u64(MAX_STOP_TIME / 3..MAX_STOP_TIME))
                }
            };
            self.orders.push((now + delay, order));
        }
    }

    fn worker(&mut self, id: &Text) -> &mut Worker {
        let found = self.workers.binary_search_by(|w| w.id.cmp(id));
        &mut self.workers[found.expect("a known worker")]
    }

    fn apply_orders(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.orders.extract_if(.., |o| o.0 <= now).collect();
        for (_, order) in due {
            match order.action {
                Action::Start { .. } => self.start(order),
                Action::Stop => self.stop(&order),
            }
        }
    }

    fn start(&mut self, order: Order) {
        let now = self.now;
        if !self.scheduler.is_start_wanted(&order.task, order.attempt) {
            return;
        }
        let down = self.worker(&order.worker).down_until > now;
        let reply = if down {
            StartReply::NotSent
        } else {
            StartReply::Taken
        };
        self.scheduler
            .handle_start_reply(&order.task, order.attempt, reply, now);
        if down {
            return;
        }
        let job = self.jobs.get_mut(&order.task.job).expect("a known job");
        if self.begun.insert(order.task.clone()) {
            job.to_start -= 1;
        }
        if job.to_start == 0 {
            job.started.get_or_insert(now);
        }
        let saved = self.saved.get(&order.task).copied();
        let restore = saved.map_or(0.0, |_| RESTORE_TIME.0 as f64);
        let length = (job.run_time - saved.unwrap_or(0.0)).max(10.0) + restore;
        let run = Run {
            started: now,
            length,
            cores: job.cores,
            checkpoints: job.checkpoints,
            order,
        };
        let first_report = now + Millis(self.delays.u64(450..1_500));
        let w = self.worker(&run.order.worker.clone());
        if w.runs.is_empty() {
            w.reports_at = first_report;
        }
        w.runs.push(run);
    }

    fn stop(&mut self, order: &Order) {
        let now = self.now;
        self.scheduler
            .handle_stop_reply(&order.task, order.attempt, now);
        let w = self.worker(&order.worker);
        let is_meant = |r: &Run| r.order.task == order.task && r.order.attempt == order.attempt;
        let Some(at) = w.runs.iter().position(is_meant) else {
            return;
        };
        let run = w.runs.remove(at);
        w.finish(&run.order, Outcome::Stopped, now);
        let elapsed = now.since(run.started).0 as f64;
        let lost = if run.checkpoints {
            *self.saved.entry(order.task.clone()).or_default() += elapsed;
            RESTORE_TIME.0 as f64
        } else {
            elapsed
        };
        self.lost += lost / 1_000.0 * run.cores;
        self.stops += 1;
        *self.stops_by_task.entry(order.task.clone()).or_default() += 1;
    }

    /// Delivers the reports of the workers on which a run ends or whose report is due.
    fn report(&mut self) {
        let (now, wall_now) = (self.now, self.wall());
        for w in &mut self.workers {
            if w.down_until > now || (w.runs.is_empty() && w.finished.is_empty()) {
                continue;
            }
            let is_over = |r: &mut Run| now.since(r.started).0 as f64 >= r.length;
            let ended: Vec<Run> = w.runs.extract_if(.., is_over).collect();
            for run in &ended {
                w.finish(&run.order, Outcome::Done, now);
            }
            if now < w.reports_at {
                continue;
            }
            w.reports_at = now + REPORT_INTERVAL;
            let acked = self.scheduler.stored_seq(&w.id).map_or(0, |(_, seq)| seq);
            w.finished.retain(|f| f.seq > acked);
            let running = |r: &Run| Running {
                task: r.order.task.clone(),
                attempt: r.order.attempt,
                checkpoint: Text::default(),
                percent: (100.0 * now.since(r.started).0 as f64 / r.length) as u32,
            };
            let report = Report {
                clock: now,
                incarnation: 1,
                running: w.runs.iter().map(running).collect(),
                finished: w.finished.clone(),
                is_complete: true,
            };
            let sent = Millis(now.0 - 1);
            self.scheduler
                .handle_report(&w.id, &report, sent, now, wall_now);
        }
        for (id, job) in &mut self.jobs {
            if job.ended.is_none() && self.scheduler.phase(id) == Some(Phase::Completed) {
                job.ended = Some(now);
            }
        }
    }
}

impl Worker {
    fn finish(&mut self, order: &Order, outcome: Outcome, now: Millis) {
        self.finished.push(FinishedRun {
            seq: self.next_seq,
            task: order.task.clone(),
            attempt: order.attempt,
            outcome,
            checkpoint: Text::default(),
        });
        self.next_seq += 1;
        self.reports_at = now;
    }
}
