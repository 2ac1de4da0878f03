//! Plays the events of a leader at a large site without I/O, so that a profiler shows what they cost:
//!
//! `valgrind --tool=callgrind target/release/examples/large_site`

use std::{
    collections::BTreeMap,
    env,
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
};

use base::clock::Millis;
use batch::{
    config::{Config, Organisation, Queue},
    job::{AcceptedJob, Resources, Spec, Step, SubtaskId, Text},
    outbox::{Outbox, Released},
    scheduler::JobScheduler,
    worker::{Action, FinishedRun, Outcome, Report, Running, StartReply, WorkerInfo},
};
use fastrand::Rng;

const WORKERS: usize = 1_100;
const WORKERS_PER_RACK: usize = 20;
const ENDED_JOBS: usize = 3_000;
/// Time before the jobs of the measured time are submitted, in which the workers fill up.
const WARM_UP: Millis = Millis(6_000);
const DURATION: Millis = Millis(2_000);
/// Delay between an event and the pass for it.
const PASS_DELAY: Millis = Millis(4);
const COMMIT_TIME: Millis = Millis(8);
const START_TIME: Millis = Millis(3);
const HOLD_TIME: Millis = Millis(1_500);
const LIST_INTERVAL: Millis = Millis(800);
/// Maximum number of jobs in one transaction.
const JOBS_PER_COMMIT: usize = 40;
const WALL_START: Millis = Millis(1_000_000);

/// One class of jobs: queue, jobs a second, subtasks, run time, accelerators, resources.
struct Class {
    priority: u32,
    per_s: f64,
    width: f64,
    run_time: Millis,
    accelerators: &'static [u64],
    cpu: u64,
    memory_mb: u64,
    gang: bool,
}

const CLASSES: [Class; 3] = [
    Class {
        priority: 0,
        per_s: 15.6,
        width: 8.0,
        run_time: Millis(2_500),
        accelerators: &[1, 2, 4, 8, 8],
        cpu: 7_500,
        memory_mb: 20_000,
        gang: true,
    },
    Class {
        priority: 1,
        per_s: 2.74,
        width: 26.0,
        run_time: Millis(11_000),
        accelerators: &[1, 2, 4, 8, 8],
        cpu: 26_000,
        memory_mb: 53_000,
        gang: true,
    },
    Class {
        priority: 2,
        per_s: 9.0,
        width: 78.0,
        run_time: Millis(6_100),
        accelerators: &[1],
        cpu: 5_600,
        memory_mb: 8_200,
        gang: false,
    },
];

/// A run on a worker.
struct WorkerRun {
    task: SubtaskId,
    attempt: u32,
    ends_at: Millis,
}

#[derive(Default)]
struct Worker {
    id: Text,
    runs: Vec<WorkerRun>,
    finished: Vec<FinishedRun>,
    next_seq: u64,
    /// Time at which the renewal under way is answered without an end of a run.
    answers_at: Millis,
}

struct Site {
    scheduler: JobScheduler,
    outbox: Outbox,
    rng: Rng,
    now: Millis,
    infos: Vec<WorkerInfo>,
    workers: Vec<Worker>,
    /// Run time of the subtasks of a job.
    run_times: BTreeMap<Text, Millis>,
    /// Starts under way, by the time of their replies.
    starts: Vec<(Millis, Text, SubtaskId, u32)>,
    /// Jobs in the transaction under way, and when it is applied.
    commit: Option<(Millis, Vec<Text>)>,
    next_pass: Option<Millis>,
    next_id: u64,
    passes: usize,
    placed: usize,
    ended: usize,
    reports: usize,
    bytes: usize,
    /// Hash of all orders with their times: equal as long as no decision changes.
    orders: DefaultHasher,
}

fn main() {
    let seconds = env::args().nth(1).and_then(|s| s.parse().ok());
    let duration = seconds.map_or(DURATION, |s: u64| Millis(s * 1_000));
    let mut site = Site::new();
    let end = site.now + WARM_UP + duration;
    while site.now < end {
        site.step();
    }
    println!(
        "{} passes, {} starts, {} ends, {} reports, {} bytes stored, orders {:016x}, {:?}",
        site.passes,
        site.placed,
        site.ended,
        site.reports,
        site.bytes,
        site.orders.finish(),
        site.scheduler.counts()
    );
}

impl Site {
    fn new() -> Self {
        let infos: Vec<WorkerInfo> = (0..WORKERS).map(info).collect();
        let worker = |i: &WorkerInfo| Worker {
            id: i.id.clone(),
            next_seq: 1,
            ..Worker::default()
        };
        let mut site = Self {
            scheduler: JobScheduler::default(),
            outbox: Outbox::default(),
            rng: Rng::with_seed(1),
            now: Millis(1_000),
            workers: infos.iter().map(worker).collect(),
            infos,
            run_times: BTreeMap::new(),
            starts: Vec::new(),
            commit: None,
            next_pass: None,
            next_id: 0,
            passes: 0,
            placed: 0,
            ended: 0,
            reports: 0,
            bytes: 0,
            orders: DefaultHasher::new(),
        };
        site.scheduler.configure(&Rc::new(config()));
        site.scheduler
            .apply_vm_list(site.infos.clone(), site.now, site.now);
        for _ in 0..ENDED_JOBS {
            let id = site.submit(&CLASSES[2]);
            site.scheduler.cancel(&id, site.now, site.wall());
        }
        site.scheduler.take_changes();
        site
    }

    fn wall(&self) -> Millis {
        WALL_START + self.now
    }

    /// Plays one millisecond.
    fn step(&mut self) {
        self.now += Millis(1);
        let now = self.now;
        let mut changed = false;
        for class in &CLASSES {
            if self.rng.f64() < class.per_s / 1_000.0 {
                self.submit(class);
                changed = true;
            }
        }
        if now.0.is_multiple_of(LIST_INTERVAL.0) {
            self.scheduler.apply_vm_list(self.infos.clone(), now, now);
            changed = true;
        }
        changed |= self.answer_starts();
        changed |= self.answer_renewals();
        if changed {
            self.next_pass.get_or_insert(now + PASS_DELAY);
        }
        if self.next_pass.take_if(|t| *t <= now).is_some() {
            self.scheduler.open_due_occurrences(self.wall());
            self.scheduler.evacuate(now);
            self.scheduler.place(now, self.wall());
            self.scheduler.take_run_ends();
            self.passes += 1;
        }
        self.run_commits();
    }

    fn submit(&mut self, class: &Class) -> Text {
        // Ids of callers are random.
        let id: Text = format!("{:016x}", self.rng.u64(..)).into();
        self.next_id += 1;
        let spread = 0.3 - 1.2 * (1.0 - self.rng.f64()).ln();
        let size = class.accelerators[self.rng.usize(..class.accelerators.len())];
        let share = size as f64 / 8.0;
        let step = Step {
            count: ((class.width * spread / 1.5) as u32).max(1),
            need: Resources {
                cpu: (class.cpu as f64 * share.max(0.25)) as u64,
                memory_mb: (class.memory_mb as f64 * share.max(0.25)) as u64,
                accelerators: size,
            },
            estimate: class.run_time,
            gang: class.gang && self.rng.f64() < 0.8,
            same_rack: self.rng.f64() < 0.6,
            checkpoints: self.rng.f64() < 0.45,
            ..Step::default()
        };
        let accepted = AcceptedJob {
            id: id.clone(),
            queue: format!("q{}", class.priority).into(),
            service: "svc".into(),
            organisation: Some(format!("org-{}", self.rng.u32(..24)).into()),
            at: self.wall(),
            spec: Spec {
                text: "x".repeat(150).into(),
                steps: vec![step],
                repeat: None,
            },
        };
        self.run_times.insert(id.clone(), class.run_time);
        self.scheduler.accept(accepted);
        id
    }

    fn answer_starts(&mut self) -> bool {
        let now = self.now;
        let due: Vec<_> = self.starts.extract_if(.., |s| s.0 <= now).collect();
        let any = !due.is_empty();
        for (_, worker, task, attempt) in due {
            let run_time = self.run_times[&task.job];
            let ends_at = now + Millis((run_time.0 as f64 * (0.7 + 0.6 * self.rng.f64())) as u64);
            let taken = StartReply::Taken;
            self.scheduler
                .handle_start_reply(&task, attempt, taken, now);
            let w = self.worker(&worker);
            w.runs.push(WorkerRun {
                task,
                attempt,
                ends_at,
            });
            if w.answers_at == Millis::ZERO {
                w.answers_at = now + HOLD_TIME;
            }
        }
        any
    }

    fn worker(&mut self, id: &Text) -> &mut Worker {
        let found = self.workers.binary_search_by(|w| w.id.cmp(id));
        &mut self.workers[found.expect("a known worker")]
    }

    /// Delivers the reports of the workers on which a run ends or whose renewal is over.
    fn answer_renewals(&mut self) -> bool {
        let (now, wall_now) = (self.now, self.wall());
        let mut any = false;
        for w in &mut self.workers {
            if w.runs.is_empty() && w.finished.is_empty() {
                w.answers_at = Millis::ZERO;
                continue;
            }
            let ended: Vec<_> = w.runs.extract_if(.., |r| r.ends_at <= now).collect();
            if ended.is_empty() && now < w.answers_at {
                continue;
            }
            let acked = self.scheduler.stored_seq(&w.id).map_or(0, |(_, seq)| seq);
            w.finished.retain(|f| f.seq > acked);
            for run in ended {
                w.finished.push(FinishedRun {
                    seq: w.next_seq,
                    task: run.task,
                    attempt: run.attempt,
                    outcome: Outcome::Done,
                    checkpoint: Text::default(),
                });
                w.next_seq += 1;
                self.ended += 1;
            }
            // While ends are not acknowledged, the next renewal is answered after the commit.
            w.answers_at = if w.finished.is_empty() {
                now + HOLD_TIME
            } else {
                now + COMMIT_TIME + START_TIME
            };
            let running = |r: &WorkerRun| Running {
                task: r.task.clone(),
                attempt: r.attempt,
                checkpoint: Text::default(),
                percent: 50,
            };
            let report = Report {
                clock: now,
                incarnation: 1,
                running: w.runs.iter().map(running).collect(),
                finished: w.finished.clone(),
                is_complete: true,
            };
            let sent = Millis(now.0 - 2);
            self.scheduler
                .handle_report(&w.id, &report, sent, now, wall_now);
            self.reports += 1;
            any = true;
        }
        any
    }

    fn run_commits(&mut self) {
        let now = self.now;
        if let Some((_, stored)) = self.commit.take_if(|(at, _)| *at <= now) {
            let released = self.outbox.mark_stored(&stored);
            self.release(released);
        }
        if self.commit.is_some() || !self.scheduler.has_changes() && self.outbox.is_empty() {
            return;
        }
        let changes = self.scheduler.take_changes();
        for order in &changes.orders {
            let is_start = matches!(order.action, Action::Start { .. });
            let task = order.task.to_string();
            (now, is_start, &order.worker, task, order.attempt).hash(&mut self.orders);
        }
        let released = self.outbox.add(changes, now);
        self.release(released);
        let mut stored = Vec::new();
        for (id, progress) in self
            .outbox
            .due(now, Millis::ZERO)
            .into_iter()
            .take(JOBS_PER_COMMIT)
        {
            self.bytes += serde_json::to_string(progress).map_or(0, |s| s.len());
            stored.push(id.clone());
        }
        if !stored.is_empty() {
            self.commit = Some((now + COMMIT_TIME, stored));
        }
    }

    fn release(&mut self, released: Released) {
        self.scheduler.mark_committed(&released.acks);
        for order in released.orders {
            match order.action {
                Action::Start { .. } => {
                    let wanted = self.scheduler.is_start_wanted(&order.task, order.attempt);
                    let fits = self
                        .scheduler
                        .admits_start(&order.task, &order.worker, self.now);
                    if wanted && fits {
                        self.placed += 1;
                        let at = self.now + START_TIME;
                        self.starts
                            .push((at, order.worker, order.task, order.attempt));
                    }
                }
                Action::Stop => {
                    let now = self.now;
                    self.scheduler
                        .handle_stop_reply(&order.task, order.attempt, now);
                    let w = self.worker(&order.worker);
                    // The stopped run is missing in the next report.
                    w.runs.retain(|r| r.task != order.task);
                    w.answers_at = now + START_TIME;
                }
            }
        }
    }
}

fn info(i: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("refund-svc-{i:04}").into(),
        service: "svc".into(),
        address: format!("127.0.0.1:{}", i + 1).into(),
        machine: Some(format!("m{i}").into()),
        zone: "z".into(),
        draining: false,
        remaining: None,
        cold_remaining: None,
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
    let queue = |c: &Class| Queue {
        name: format!("q{}", c.priority).into(),
        host: "h".into(),
        path_prefix: format!("/q{}/", c.priority).into(),
        service: "svc".into(),
        priority: c.priority,
        max_attempts: 3,
        slack_factor: 2.0,
        target_latency: Millis(1_000),
        public: false,
        policy: None,
    };
    let organisation = |i: u32| Organisation {
        name: format!("org-{i}").into(),
        api_keys: vec![format!("key-{i}").into()],
        guaranteed_accelerators: 64,
    };
    Config {
        version: 1,
        queues: CLASSES.iter().map(queue).collect(),
        organisations: (0..24).map(organisation).collect(),
        services_without_admission_check: Vec::new(),
        max_body_bytes: 262_144,
    }
}
