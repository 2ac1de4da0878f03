//! Plays bursts of load against the scheduler and prints what each order of waiting units earns:
//!
//! `cargo run --release -p batch --example overload -- [SEEDS] [--corrected] [--load=FACTOR]`
//!
//! `--corrected` submits estimates as a forecast corrects them, `--load` multiplies the rate of jobs, and
//! `--only=ORDER-GAIN` (as in `--only=Mixed-true`) plays one line of the table.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    rc::Rc,
};

use base::clock::Millis;
use batch::{
    config::{Config, Organisation, Queue},
    delay_cost::{OverloadRules, WaitingOrder},
    job::{AcceptedJob, Resources, Spec, Step, SubtaskId, Text},
    progress::Phase,
    scheduler::JobScheduler,
    worker::{Action, FinishedRun, Order, Outcome, Report, Running, StartReply, WorkerInfo},
};
use fastrand::Rng;

const WORKERS: usize = 350;
const WORKERS_PER_RACK: usize = 10;
const ORGANISATIONS: u32 = 12;
const GUARANTEE: u64 = 96;
/// Time in which jobs are submitted, and the time after that in which they may end.
const DURATION: Millis = Millis(50_000);
const DRAIN: Millis = Millis(30_000);
const PASS_INTERVAL: u64 = 20;
/// Time from a decision until its order takes effect at the worker, without the stop itself.
const ORDER_TIME: Millis = Millis(60);
const MAX_STOP_TIME: u64 = 900;
const REPORT_INTERVAL: Millis = Millis(1_500);
const RESTORE_TIME: Millis = Millis(250);
/// Time within which guaranteed work has to start.
const RECLAIM: Millis = Millis(2_700);
const WINDOW: Millis = Millis(2_000);
const WALL_START: Millis = Millis(1_000_000);

struct Kind {
    per_s: f64,
    width: f64,
    run_time: f64,
    /// Standard deviation of the logarithm of run time / estimate.
    estimate_error: f64,
    /// The same after the correction by a forecast.
    corrected_error: f64,
    accelerators: &'static [u64],
    cpu_per_accelerator: u64,
    gang: bool,
    slack: f64,
    target: Millis,
}

const KINDS: [Kind; 3] = [
    Kind {
        per_s: 9.2,
        width: 5.0,
        run_time: 2_500.0,
        estimate_error: 0.9,
        corrected_error: 0.3,
        accelerators: &[1, 2, 4, 8, 8],
        cpu_per_accelerator: 940,
        gang: true,
        slack: 1.5,
        target: Millis(300),
    },
    Kind {
        per_s: 1.7,
        width: 13.0,
        run_time: 8_500.0,
        estimate_error: 0.2,
        corrected_error: 0.2,
        accelerators: &[1, 2, 4, 8, 8],
        cpu_per_accelerator: 3_200,
        gang: true,
        slack: 3.0,
        target: Millis(1_000),
    },
    Kind {
        per_s: 2.1,
        width: 39.0,
        run_time: 6_100.0,
        estimate_error: 0.9,
        corrected_error: 0.3,
        accelerators: &[1],
        cpu_per_accelerator: 5_600,
        gang: false,
        slack: 3.0,
        target: Millis(3_000),
    },
];

struct Job {
    kind: usize,
    organisation: u32,
    submitted: Millis,
    objective: Millis,
    work: f64,
    run_time: f64,
    accelerators: u64,
    cores: f64,
    checkpoints: bool,
    ended: Option<Millis>,
    /// Subtasks that have not started.
    to_start: u32,
    /// Time when the last subtask started.
    started: Option<Millis>,
    guaranteed: bool,
}

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

struct Site {
    scheduler: JobScheduler,
    /// Draws the jobs, which don't depend on decisions.
    rng: Rng,
    /// Draws delays of orders and reports.
    delays: Rng,
    now: Millis,
    infos: Vec<WorkerInfo>,
    workers: Vec<Worker>,
    jobs: BTreeMap<Text, Job>,
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
    stops: u64,
    lost: f64,
    stops_by_task: BTreeMap<SubtaskId, u32>,
    lapsed_claims: u64,
}

/// Result of one played load.
#[derive(Default)]
struct Score {
    /// Value that was earned and that was asked for, by kind, size class and organisation.
    kinds: [(f64, f64); 3],
    sizes: [(f64, f64); 3],
    on_time: [(f64, f64); 3],
    organisations: BTreeMap<u32, (f64, f64)>,
    windows: Vec<f64>,
    unfinished: u32,
    reclaims: (u32, u32),
    stops: u64,
    stopped_again: u32,
    lost: f64,
    lapsed_claims: u64,
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let seeds = args.iter().find_map(|a| a.parse().ok()).unwrap_or(4_u64);
    let corrected = args.iter().any(|a| a == "--corrected");
    let load = args
        .iter()
        .find_map(|a| a.strip_prefix("--load=")?.parse().ok());
    let load = load.unwrap_or(1.0);
    let only = args.iter().find_map(|a| a.strip_prefix("--only="));
    println!(
        "{:<22} {:>5} | {:>17} | {:>17} | {:>14} | {:>5} {:>5} {:>5} | {:>6} {:>5} {:>8} | {:>8} {:>6} {:>6}",
        "rules",
        "value",
        "value by kind",
        "on time by kind",
        "by size 10/20/70",
        "org",
        "w10%",
        "wmin",
        "stops",
        "again",
        "lost c-s",
        "late",
        "undone",
        "lapsed"
    );
    let orders = [
        WaitingOrder::Due,
        WaitingOrder::LeastLaxity,
        WaitingOrder::ShortestWork,
        WaitingOrder::Density,
        WaitingOrder::Mixed,
    ];
    for (stops_by_gain, order) in [false, true]
        .into_iter()
        .flat_map(|g| orders.map(|o| (g, o)))
    {
        if only.is_some_and(|o| o != format!("{order:?}-{stops_by_gain}")) {
            continue;
        }
        let rules = OverloadRules {
            order,
            stops_by_gain,
        };
        let mut total = Score::default();
        for seed in 0..seeds {
            let mut site = Site::new(seed, rules, corrected, load);
            site.play();
            site.score(&mut total);
        }
        let stops = if stops_by_gain { " gain" } else { "" };
        total.print(&format!("{order:?}{stops}"), seeds);
    }
}

fn ratio((part, all): (f64, f64)) -> f64 {
    if all > 0.0 { part / all } else { 1.0 }
}

impl Score {
    fn print(&mut self, name: &str, seeds: u64) {
        let sum = |values: &[(f64, f64)]| {
            let add = |a: (f64, f64), b: &(f64, f64)| (a.0 + b.0, a.1 + b.1);
            ratio(values.iter().fold((0.0, 0.0), add))
        };
        let three = |v: &[(f64, f64); 3]| {
            let shown: Vec<String> = v.iter().map(|p| format!("{:.3}", ratio(*p))).collect();
            shown.join(" ")
        };
        self.windows.sort_by(f64::total_cmp);
        let tenth = self.windows.len() / 10;
        let worst = self.windows[..tenth.max(1)].iter().sum::<f64>() / tenth.max(1) as f64;
        let worst_org = self.organisations.values().map(|p| ratio(*p));
        let n = seeds as f64;
        println!(
            "{name:<22} {:.3} | {} | {} | {} | {:.3} {:.3} {:.3} | {:>6.0} {:>5.0} {:>8.0} | {:>3}/{:<4} {:>6} {:>6}",
            sum(&self.kinds),
            three(&self.kinds),
            three(&self.on_time),
            three(&self.sizes),
            worst_org.fold(1.0, f64::min),
            worst,
            self.windows[0],
            self.stops as f64 / n,
            f64::from(self.stopped_again) / n,
            self.lost / n,
            self.reclaims.0,
            self.reclaims.1,
            self.unfinished,
            self.lapsed_claims as f64 / n
        );
    }
}

impl Site {
    fn new(seed: u64, rules: OverloadRules, corrected: bool, load: f64) -> Self {
        let mut rng = Rng::with_seed(seed + 1);
        let infos: Vec<WorkerInfo> = (0..WORKERS).map(info).collect();
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
        scheduler.configure(&Rc::new(config()));
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

    fn play(&mut self) {
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

    fn score(&self, total: &mut Score) {
        let mut work = [(0.0, 0.0); 3];
        for job in self.jobs.values() {
            work[job.kind].0 += job.work;
            work[job.kind].1 += 1.0;
        }
        let mean = work.map(ratio);
        let mut windows: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        let add = |sum: &mut (f64, f64), part: f64, all: f64| {
            sum.0 += part;
            sum.1 += all;
        };
        for (kind, _) in KINDS.iter().enumerate() {
            let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| j.kind == kind).collect();
            jobs.sort_by(|a, b| b.work.total_cmp(&a.work));
            for (i, job) in jobs.iter().enumerate() {
                let value = (0.3 + 0.7 * job.work / mean[kind]).min(4.0);
                let took = job.ended.map(|t| t.since(job.submitted));
                // The callers' value of late jobs isn't known; it is taken to fall linearly.
                let share = took.map_or(0.0, |t| {
                    let over = t.0 as f64 / job.objective.0 as f64;
                    ((3.0 - over) / 2.0).clamp(0.0, 1.0)
                });
                let class = match i * 10 / jobs.len() {
                    0 => 0,
                    1 | 2 => 1,
                    _ => 2,
                };
                let in_time = took.is_some_and(|t| t <= job.objective);
                add(&mut total.kinds[kind], value * share, value);
                add(&mut total.on_time[kind], f64::from(u8::from(in_time)), 1.0);
                add(&mut total.sizes[class], share, 1.0);
                let of_org = total.organisations.entry(job.organisation).or_default();
                add(of_org, value * share, value);
                let window = windows.entry(job.submitted.0 / WINDOW.0).or_default();
                add(window, value * share, value);
                total.unfinished += u32::from(job.ended.is_none());
                if job.guaranteed {
                    let late = job.started.is_none_or(|t| t.since(job.submitted) > RECLAIM);
                    total.reclaims.0 += u32::from(late);
                    total.reclaims.1 += 1;
                }
            }
        }
        total.windows.extend(windows.values().map(|w| ratio(*w)));
        total.stops += self.stops;
        total.lost += self.lost;
        total.lapsed_claims += self.lapsed_claims;
        let again = self.stops_by_task.values().filter(|n| **n > 1);
        total.stopped_again += again.count() as u32;
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

fn info(i: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{i:04}").into(),
        service: "svc".into(),
        address: format!("127.0.0.1:{}", i + 1).into(),
        machine: Some(format!("m{i}").into()),
        zone: "z".into(),
        draining: false,
        remaining: None,
        capacity: Resources {
            cpu: 64_000,
            memory_mb: 131_072,
            accelerators: 8,
        },
        labels: vec!["a".into(), format!("r{:03}", i / WORKERS_PER_RACK).into()],
        incarnation: 1,
        clock: Millis(1),
    }
}

fn config() -> Config {
    let queue = |(i, k): (usize, &Kind)| Queue {
        name: format!("q{i}").into(),
        host: "h".into(),
        path_prefix: format!("/q{i}/").into(),
        service: "svc".into(),
        priority: i as u32,
        max_attempts: 3,
        slack_factor: k.slack,
        target_latency: k.target,
        public: false,
        policy: None,
    };
    let organisation = |i: u32| Organisation {
        name: format!("org-{i}").into(),
        api_keys: vec![format!("key-{i}").into()],
        guaranteed_accelerators: GUARANTEE,
    };
    Config {
        version: 1,
        queues: KINDS.iter().enumerate().map(queue).collect(),
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        services_without_admission_check: Vec::new(),
        max_body_bytes: 262_144,
    }
}
