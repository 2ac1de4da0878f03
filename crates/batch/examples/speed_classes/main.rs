//! Compares orders of placement on workers of different speeds, without I/O:
//!
//! `cargo run --release -p batch --example speed_classes -- [seconds] [seed]`
//!
//! `none` learns nothing and places as without speeds; `fixed` knows the class of each worker from the
//! beginning; `learned` places by expected end from the progress of runs.

mod load;

use std::{collections::BTreeMap, env, rc::Rc, time::Instant};

use base::clock::Millis;
use batch::{
    job::{AcceptedJob, Resources, Spec, Step, Text},
    scheduler::JobScheduler,
    speed_report::StoredForecast,
    worker::{Action, FinishedRun, Order, Outcome, Report, Running, StartReply, WorkerInfo},
};
use fastrand::Rng;
use forecast::stored::{StoredKind, StoredWorker};
use load::{Class, KINDS, config, info, subtask};

const WORKERS: usize = 350;
const WORKERS_PER_RACK: usize = 14;
const TICK: Millis = Millis(5);
/// Time from a decision to the start, and from an end to its report.
const ORDER_TIME: Millis = Millis(15);
const REPORT_INTERVAL: Millis = Millis(1_500);
const LIST_INTERVAL: Millis = Millis(1_500);
const PASS_INTERVAL: Millis = Millis(100);
const WALL_START: Millis = Millis(1_000_000);
/// Length of the windows for which the share of urgent jobs in time is printed.
const WINDOW: Millis = Millis(5_000);
/// Factor on the run time of a gang that spans several racks although it should not.
const REMOTE_FACTOR: f64 = 3.0;
/// Factor by which a job may miss its objective and keep part of its value.
const TOO_LATE_FACTOR: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    None,
    Fixed,
    Learned,
}

struct Run {
    worker: usize,
    /// Time at which the worker has started it.
    began_at: Option<Millis>,
    /// Run time on its worker.
    work: f64,
    attempt: u32,
}

struct Job {
    class: usize,
    submitted: Millis,
    objective: Millis,
    base: f64,
    /// Base times of the subtasks relative to that of the job.
    scatter: Vec<f64>,
    need: u64,
    same_rack: bool,
    runs: BTreeMap<usize, Run>,
    done: usize,
}

#[derive(Clone, Copy, Default)]
struct Tally {
    jobs: u32,
    in_time: u32,
    useful: u32,
    /// Sum of the times from submission to end.
    took: u64,
}

struct Site {
    policy: Policy,
    scheduler: JobScheduler,
    rng: Rng,
    now: Millis,
    infos: Vec<WorkerInfo>,
    speeds: Vec<f64>,
    kinds: Vec<Class>,
    jobs: BTreeMap<Text, Job>,
    seqs: Vec<u64>,
    reported_at: Vec<Millis>,
    /// Orders to carry out, by time.
    orders: Vec<(Millis, Order)>,
    passed_at: Millis,
    tally: Vec<Tally>,
    /// Urgent jobs and those of them in time, by the time of their submission.
    windows: BTreeMap<u64, (u32, u32)>,
    stops: u32,
    /// Work lost by stops, in accelerator milliseconds.
    lost: u64,
    idle: [u64; 2],
    ticks: u64,
    passes: u32,
    pass_us: u64,
}

fn main() {
    let mut args = env::args().skip(1);
    let seconds = args.next().and_then(|s| s.parse().ok()).unwrap_or(60);
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let equal: fn(usize) -> f64 = |_| 1.0;
    let mixed: fn(usize) -> f64 = |i| [0.7, 0.7, 1.7][i % 3];
    let mild: fn(usize) -> f64 = |i| [0.8, 1.0, 1.3][i % 3];
    for (name, speed, load) in [
        ("mixed 0.7 0.7 1.7", mixed, 1.0),
        ("mixed, load 1.6", mixed, 1.6),
        ("mixed, load 2.2", mixed, 2.2),
        ("mixed, load 3.2", mixed, 3.2),
        ("mild 0.8 1.0 1.3", mild, 1.0),
        ("equal", equal, 1.0),
        ("equal, load 2.2", equal, 2.2),
    ] {
        println!("{name}");
        for policy in [Policy::None, Policy::Fixed, Policy::Learned] {
            let mut site = Site::new(policy, speed, load, seed);
            site.play(Millis(seconds * 1_000));
            site.print();
        }
    }
}

impl Site {
    fn new(policy: Policy, speed: fn(usize) -> f64, load: f64, seed: u64) -> Self {
        let scale = |class: &Class| Class {
            per_s: class.per_s * load,
            ..*class
        };
        let mut infos: Vec<WorkerInfo> = (0..WORKERS).map(info).collect();
        if policy != Policy::Learned {
            // Runs on cold workers say nothing about speed.
            for info in &mut infos {
                info.cold = Some(Millis(1));
            }
        }
        let mut site = Self {
            policy,
            scheduler: JobScheduler::default(),
            rng: Rng::with_seed(seed),
            now: Millis(1_000),
            infos,
            speeds: (0..WORKERS).map(speed).collect(),
            kinds: KINDS.iter().map(scale).collect(),
            jobs: BTreeMap::new(),
            seqs: vec![0; WORKERS],
            reported_at: vec![Millis::ZERO; WORKERS],
            orders: Vec::new(),
            passed_at: Millis::ZERO,
            tally: vec![Tally::default(); KINDS.len()],
            windows: BTreeMap::new(),
            stops: 0,
            lost: 0,
            idle: [0; 2],
            ticks: 0,
            passes: 0,
            pass_us: 0,
        };
        site.scheduler.configure(&Rc::new(config()));
        let (infos, now) = (site.infos.clone(), site.now);
        site.scheduler.replace_vm_list(infos, now);
        if policy == Policy::Fixed {
            let stored = site.true_forecast();
            site.scheduler.restore_forecast(&stored, now);
        }
        site
    }

    /// Returns a forecast that knows the workers and nothing of the kinds but their mean.
    fn true_forecast(&self) -> StoredForecast {
        let mut sorted = self.speeds.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let typical = sorted[WORKERS / 2];
        let worker = |(info, speed): (&WorkerInfo, &f64)| {
            let log = ((speed / typical).ln() * 100.0).round() as i16;
            StoredWorker(info.id.clone(), log, 250)
        };
        let kind = |(i, class): (usize, &Class)| StoredKind {
            queue: Some(format!("q{i}").into()),
            image: None,
            gang: class.gang,
            regression: [
                200.0,
                class.base.ln() as f32,
                typical.ln() as f32,
                (0.1 + class.estimate_error.powi(2)) as f32,
                -(class.estimate_error.powi(2)) as f32,
                (class.estimate_error.powi(2) + 0.01) as f32,
                0.001,
                200.0,
                0.02,
            ],
        };
        StoredForecast {
            workers: self.infos.iter().zip(&self.speeds).map(worker).collect(),
            services: Vec::new(),
            kinds: KINDS.iter().enumerate().map(kind).collect(),
        }
    }

    fn wall(&self) -> Millis {
        WALL_START + self.now
    }

    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0
    }

    fn play(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            for class in 0..self.kinds.len() {
                if self.rng.f64() < self.kinds[class].per_s * TICK.0 as f64 / 1_000.0 {
                    self.submit(class);
                    self.passed_at = Millis::ZERO;
                }
            }
            self.carry_out();
            self.report();
            if self.now.0.is_multiple_of(LIST_INTERVAL.0) {
                let (infos, now) = (self.infos.clone(), self.now);
                self.scheduler.replace_vm_list(infos, now);
            }
            if self.now.since(self.passed_at) >= PASS_INTERVAL {
                self.pass();
            }
            self.count_idle();
        }
    }

    fn submit(&mut self, class: usize) {
        let kind = self.kinds[class];
        let id: Text = format!("{:016x}", self.rng.u64(..)).into();
        let base = kind.base * (0.3 * self.normal()).exp();
        let estimate = base * (kind.estimate_error * self.normal()).exp();
        let scatter = if kind.gang { 0.0 } else { 0.2 };
        let scatter = (0..kind.width).map(|_| (scatter * self.normal()).exp());
        let scatter: Vec<f64> = scatter.collect();
        let need = kind.accelerators[self.rng.usize(..kind.accelerators.len())];
        let same_rack = self.rng.f64() < kind.same_rack;
        let step = Step {
            count: kind.width,
            need: Resources {
                cpu: 5_000 * need,
                memory_mb: 8_000 * need,
                accelerators: need,
            },
            estimate: Millis(estimate as u64),
            gang: kind.gang,
            same_rack,
            ..Step::default()
        };
        let accepted = AcceptedJob {
            id: id.clone(),
            queue: format!("q{class}").into(),
            service: "svc".into(),
            organisation: None,
            at: self.wall(),
            spec: Spec {
                text: "x".into(),
                steps: vec![step],
                repeat: None,
            },
        };
        let job = Job {
            class,
            submitted: self.now,
            objective: Millis((base * kind.slack) as u64) + kind.target,
            base,
            scatter,
            need,
            same_rack,
            runs: BTreeMap::new(),
            done: 0,
        };
        self.jobs.insert(id, job);
        self.scheduler.accept(accepted);
    }

    fn pass(&mut self) {
        let (now, wall_now) = (self.now, self.wall());
        self.passed_at = now;
        self.scheduler.open_due_occurrences(wall_now);
        let began = Instant::now();
        self.scheduler.place(now, wall_now);
        self.pass_us += began.elapsed().as_micros() as u64;
        self.passes += 1;
        let changes = self.scheduler.take_changes();
        self.scheduler.mark_committed(&changes.acks);
        self.scheduler.take_run_ends();
        let at = now + ORDER_TIME;
        self.orders
            .extend(changes.orders.into_iter().map(|o| (at, o)));
    }

    fn carry_out(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.orders.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, order) in due {
            let (task, attempt) = (&order.task, order.attempt);
            let worker: usize = order.worker[1..].parse().expect("a number");
            let Some(job) = self.jobs.get_mut(&task.job) else {
                continue;
            };
            match order.action {
                Action::Start { .. } => {
                    if !self.scheduler.is_start_wanted(task, attempt) {
                        continue;
                    }
                    let work = job.base * job.scatter[task.index] * self.speeds[worker];
                    let run = Run {
                        worker,
                        began_at: Some(now),
                        work,
                        attempt,
                    };
                    job.runs.insert(task.index, run);
                    let taken = StartReply::Taken;
                    self.scheduler.handle_start_reply(task, attempt, taken, now);
                }
                Action::Stop => {
                    let run = job.runs.get(&task.index);
                    if let Some(began_at) = run.and_then(|r| r.began_at) {
                        self.stops += 1;
                        self.lost += job.need * now.since(began_at).0;
                    }
                    job.runs.remove(&task.index);
                    self.scheduler.handle_stop_reply(task, attempt, now);
                    self.reported_at[worker] = Millis::ZERO;
                    self.passed_at = Millis::ZERO;
                }
            }
        }
    }

    /// Reports the ends of runs, and the progress of the others when it is due.
    fn report(&mut self) {
        let (now, speeds) = (self.now, &self.speeds);
        let mut running: Vec<Vec<Running>> = vec![Vec::new(); WORKERS];
        let mut ended: Vec<Vec<(Text, usize, u32, bool)>> = vec![Vec::new(); WORKERS];
        for (id, job) in &mut self.jobs {
            let is_gang = KINDS[job.class].gang;
            let is_whole = job.runs.len() == job.scatter.len();
            let mut racks = job.runs.values().map(|r| r.worker / WORKERS_PER_RACK);
            let first = racks.next();
            let is_remote = job.same_rack && racks.any(|r| Some(r) != first);
            let factor = if is_remote { REMOTE_FACTOR } else { 1.0 };
            let began = job.runs.values().filter_map(|r| r.began_at).max();
            let slowest = job.runs.values().map(|r| speeds[r.worker]);
            let slowest = slowest.fold(0.0, f64::max);
            let progress = |run: &Run| -> f64 {
                let began_at = if is_gang { began } else { run.began_at };
                let elapsed = began_at.map_or(0, |t| now.since(t).0) as f64;
                if is_gang && !is_whole {
                    return 0.0;
                }
                (elapsed / (run.work * factor)).min(1.0)
            };
            let is_over = is_gang && is_whole && job.runs.values().all(|r| progress(r) >= 1.0);
            for (index, run) in &job.runs {
                let p = progress(run);
                if is_over || (!is_gang && p >= 1.0) {
                    // The end of a gang is reported for a slowest member.
                    let tells = !is_gang || speeds[run.worker] >= slowest;
                    ended[run.worker].push((id.clone(), *index, run.attempt, tells));
                } else {
                    running[run.worker].push(Running {
                        task: subtask(id, *index),
                        attempt: run.attempt,
                        checkpoint: Text::default(),
                        percent: (p * 100.0) as u32,
                    });
                }
            }
        }
        for (worker, (running, ended)) in running.into_iter().zip(ended).enumerate() {
            let is_due = now.since(self.reported_at[worker]) >= REPORT_INTERVAL;
            if !ended.is_empty()
                || (is_due && !running.is_empty())
                || self.reported_at[worker].0 == 0
            {
                self.report_worker(worker, running, ended);
            }
        }
    }

    fn report_worker(
        &mut self,
        worker: usize,
        running: Vec<Running>,
        ended: Vec<(Text, usize, u32, bool)>,
    ) {
        let (now, wall_now) = (self.now, self.wall());
        self.reported_at[worker] = now;
        let mut finished = Vec::new();
        for (id, index, attempt, tells) in ended {
            let job = self.jobs.get_mut(&id).expect("a known job");
            job.runs.remove(&index);
            job.done += 1;
            let (is_done, class) = (job.done == job.scatter.len(), job.class);
            if is_done {
                let took = now.since(job.submitted);
                let tally = &mut self.tally[class];
                tally.jobs += 1;
                tally.in_time += u32::from(took <= job.objective);
                tally.useful += u32::from(took.0 <= TOO_LATE_FACTOR * job.objective.0);
                tally.took += took.0;
                if class == 0 {
                    let window = self.windows.entry(job.submitted.0 / WINDOW.0).or_default();
                    window.0 += 1;
                    window.1 += u32::from(took <= job.objective);
                }
            }
            if tells {
                self.seqs[worker] += 1;
                finished.push(FinishedRun {
                    seq: self.seqs[worker],
                    task: subtask(&id, index),
                    attempt,
                    outcome: Outcome::Done,
                    checkpoint: Text::default(),
                });
            }
            self.passed_at = Millis::ZERO;
        }
        let report = Report {
            clock: now,
            incarnation: 1,
            running,
            finished,
            is_complete: true,
        };
        let sent = Millis(now.0 - 2);
        let id = self.infos[worker].id.clone();
        self.scheduler
            .handle_report(&id, &report, sent, now, wall_now);
    }

    fn count_idle(&mut self) {
        let mut used = [0, 0];
        for job in self.jobs.values() {
            for run in job.runs.values() {
                used[usize::from(self.speeds[run.worker] > 1.5)] += job.need;
            }
        }
        let slow = self.speeds.iter().filter(|s| **s > 1.5).count() as u64;
        self.idle[0] += (WORKERS as u64 - slow) * 8 - used[0];
        self.idle[1] += slow * 8 - used[1];
        self.ticks += 1;
        self.jobs.retain(|_, j| j.done < j.scatter.len());
    }

    fn print(&self) {
        let share = |n: u32, all: u32| 100.0 * f64::from(n) / f64::from(all.max(1));
        // Jobs that should have ended by now and have not.
        let overdue = |class| {
            let jobs = self.jobs.values().filter(|j| j.class == class);
            let late = jobs.filter(|j| self.now.since(j.submitted) > j.objective);
            late.count() as u32
        };
        let kinds = self.tally.iter().enumerate().map(|(class, t)| {
            let all = t.jobs + overdue(class);
            format!(
                "{:5.1}% in time {:5.1}% useful {:5} ms",
                share(t.in_time, all),
                share(t.useful, all),
                t.took / u64::from(t.jobs.max(1)),
            )
        });
        let kinds: Vec<String> = kinds.collect();
        println!(
            "  {:8} {} | idle {:4} others {:4} slow | {} stops, lost {} accelerator s | slow {} | pass {} us",
            format!("{:?}", self.policy),
            kinds.join(" | "),
            self.idle[0] / self.ticks,
            self.idle[1] / self.ticks,
            self.stops,
            self.lost / 1_000,
            self.scheduler.slow_workers(),
            self.pass_us / u64::from(self.passes.max(1)),
        );
        let windows = self.windows.values();
        let windows = windows.map(|(all, in_time)| format!("{:.0}", share(*in_time, *all)));
        let windows: Vec<String> = windows.collect();
        println!("           urgent in time each 5 s: {}", windows.join(" "));
    }
}
