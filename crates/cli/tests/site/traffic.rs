//! Seeded jobs shaped like those of a large site, and the callers that submit them.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use base::clock;
use fastrand::Rng;
use serde_json::{Value, json};

use super::{
    judge::{self, Seen},
    rotation::Rotation,
};
use crate::common::keep_alive::Outcome;

/// Number of organisations.
pub const ORGANISATIONS: usize = 10;
/// Pause of a caller before the next try.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// One in this many accepted jobs is submitted again, within this time.
const REPEATS: u64 = 8;
const REPEAT_MS: u64 = 9_000;
/// Pause of a caller that reads the state of accepted jobs, and interval of its requests on other routes.
const READ_PAUSE: time::Duration = time::Duration::from_millis(40);
const EXTRA_INTERVAL: usize = 8;
/// Number of routes that are requested though they may not exist.
const EXTRA_ROUTES: usize = 200;

/// Jobs of one queue, as the site's description names them.
pub struct Class {
    pub queue: &'static str,
    pub priority: u32,
    pub target_ms: u64,
    per_s: f64,
    tries: usize,
    width: f64,
    max_width: u64,
    run_ms: (f64, f64),
    cpu: u64,
    mem_mb: u64,
    gpus: &'static [u64],
    gang: bool,
    two_steps: f64,
    repeats: f64,
    cancels: f64,
}

#[rustfmt::skip]
pub const CLASSES: [Class; 3] = [
    Class { queue: "loan", priority: 0, target_ms: 250, per_s: 8.9, tries: 3, width: 4.7, max_width: 28,
        run_ms: (2_500.0, 8_000.0), cpu: 15_000, mem_mb: 44_000, gpus: &[1, 2, 4, 8, 8], gang: true,
        two_steps: 0.0, repeats: 0.0, cancels: 0.0 },
    Class { queue: "stock", priority: 1, target_ms: 1_000, per_s: 3.0, tries: 2, width: 10.0, max_width: 60,
        run_ms: (8_500.0, 11_000.0), cpu: 52_000, mem_mb: 210_000, gpus: &[1, 2, 4, 8, 8], gang: true,
        two_steps: 0.0, repeats: 0.05, cancels: 0.05 },
    Class { queue: "reserve", priority: 2, target_ms: 3_000, per_s: 2.9, tries: 2, width: 30.0, max_width: 180,
        run_ms: (7_600.0, 11_000.0), cpu: 11_000, mem_mb: 46_000, gpus: &[1], gang: false,
        two_steps: 0.3, repeats: 0.0, cancels: 0.15 },
];

/// What the callers know of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    Accepted,
    Refused,
    Unknown,
    /// Its cancellation was sent.
    Cancelled,
}

/// A job and what became of it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: u64,
    pub class: usize,
    /// Number of subtasks of each step; each step follows the one before.
    pub steps: Vec<u64>,
    /// Cores in thousandths, memory in MB and accelerators of a subtask.
    pub need: [u64; 3],
    pub run_ms: u64,
    pub gang: bool,
    /// Number of occurrences, one each [`INTERVAL`] from the submission; 0 for a single one.
    pub occurrences: u64,
    pub sent: time::Instant,
    pub fate: Fate,
    pub accepted: Option<time::Instant>,
    key: String,
}

/// Interval between the occurrences of a job.
pub const INTERVAL: time::Duration = time::Duration::from_secs(3);

impl Job {
    pub fn path(&self) -> String {
        format!("/{}/{:016x}", CLASSES[self.class].queue, self.id)
    }

    fn new(rng: &mut Rng, class: usize) -> Self {
        let c = &CLASSES[class];
        let mut width = || {
            let w = -c.width * rng.f64().max(1e-9).ln();
            (w.ceil() as u64).clamp(1, c.max_width)
        };
        let mut steps = vec![width()];
        let next = width();
        if rng.f64() < c.two_steps {
            steps.push(next);
        }
        let run = c.run_ms.0 * (0.5 + rng.f64());
        Self {
            id: rng.u64(1..),
            class,
            steps,
            need: [c.cpu, c.mem_mb, c.gpus[rng.usize(..c.gpus.len())]],
            run_ms: run.min(c.run_ms.1) as u64,
            gang: c.gang,
            occurrences: if rng.f64() < c.repeats { 4 } else { 0 },
            sent: time::Instant::now(),
            fate: Fate::Unknown,
            accepted: None,
            key: format!("key-{}", rng.usize(..ORGANISATIONS)),
        }
    }

    fn body(&self, estimate: f64) -> String {
        let step = |(i, count): (usize, &u64)| {
            let mut step = json!({"count": count, "cpu": self.need[0], "mem-mb": self.need[1],
                "gpu": self.need[2], "estimated-ms": (self.run_ms as f64 * estimate) as u64});
            if self.gang {
                step["gang"] = json!(true);
            }
            if i > 0 {
                step["after"] = json!([i - 1]);
            }
            step
        };
        let steps: Vec<Value> = self.steps.iter().enumerate().map(step).collect();
        let gang = if self.gang { self.steps[0] } else { 0 };
        let text = json!({"takes-ms": self.run_ms, "gang": gang, "need": self.need}).to_string();
        let mut body = json!({"spec": text, "steps": steps});
        if self.occurrences > 0 {
            body["repeat-count"] = json!(self.occurrences);
            body["initial-delay-ms"] = json!(clock::wall().0);
            body["interval-ms"] = json!(INTERVAL.as_millis() as u64);
        }
        body.to_string()
    }
}

/// Callers and their jobs.
#[derive(Clone)]
pub struct Callers {
    rotation: Arc<Rotation>,
    pub jobs: Arc<Mutex<Vec<Job>>>,
    pub seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    /// Starts callers, `readers` of which read states.
    pub fn new(rotation: Arc<Rotation>, readers: usize) -> Self {
        let callers = Self {
            rotation,
            jobs: Arc::default(),
            seen: Arc::default(),
            stop: Arc::default(),
        };
        for _ in 0..readers {
            let callers = callers.clone();
            thread::spawn(move || callers.read_states());
        }
        callers
    }

    /// Submits jobs for a time, `load` times as many as the site has.
    pub fn play(&self, seed: u64, load: f64, length: time::Duration) {
        let mut rng = Rng::with_seed(seed);
        let start = time::Instant::now();
        let mut at = 0.0;
        let total: f64 = CLASSES.iter().map(|c| c.per_s).sum();
        loop {
            at -= rng.f64().max(1e-9).ln() / (total * load);
            if at > length.as_secs_f64() {
                return;
            }
            thread::sleep(time::Duration::from_secs_f64(at).saturating_sub(start.elapsed()));
            let mut pick = rng.f64() * total;
            let class = CLASSES.iter().position(|c| {
                pick -= c.per_s;
                pick < 0.0
            });
            let class = class.unwrap_or(0);
            let job = Job::new(&mut rng, class);
            let body = job.body(0.7 + 0.6 * rng.f64());
            let cancel_after = (rng.f64() < CLASSES[class].cancels)
                .then(|| time::Duration::from_millis(rng.u64(500..8_000)));
            let mut jobs = self.jobs.lock().unwrap();
            let index = jobs.len();
            jobs.push(job.clone());
            drop(jobs);
            let callers = self.clone();
            thread::spawn(move || callers.submit(index, &job, &body, cancel_after));
        }
    }

    fn submit(&self, index: usize, job: &Job, body: &str, cancel_after: Option<time::Duration>) {
        let mut fate = Fate::Refused;
        for _ in 0..CLASSES[job.class].tries {
            match self.send("POST", &job.path(), &job.key, body).map(|a| a.0) {
                Some(200..=299) => {
                    fate = Fate::Accepted;
                    break;
                }
                Some(429 | 503) => {}
                Some(status) if (400..500).contains(&status) => eprintln!("{status} for {body}"),
                _ => fate = Fate::Unknown,
            }
            thread::sleep(RETRY_PAUSE);
        }
        let mut jobs = self.jobs.lock().unwrap();
        jobs[index].fate = fate;
        jobs[index].accepted = (fate == Fate::Accepted).then(time::Instant::now);
        drop(jobs);
        if fate == Fate::Accepted && job.id.is_multiple_of(REPEATS) {
            let (callers, job, body) = (self.clone(), job.clone(), body.to_owned());
            thread::spawn(move || {
                thread::sleep(time::Duration::from_millis(job.id % REPEAT_MS));
                callers.send("POST", &job.path(), &job.key, &body);
            });
        }
        if let Some(after) = cancel_after
            && fate != Fate::Refused
        {
            thread::sleep(after);
            self.jobs.lock().unwrap()[index].fate = Fate::Cancelled;
            for _ in 0..3 {
                let answer = self.send("DELETE", &job.path(), &job.key, "");
                if answer.is_some_and(|a| a.0 < 300 || a.0 == 410) {
                    return;
                }
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    /// Sends a request on an open connection or a new one; returns the status and the body.
    fn send(&self, method: &str, path: &str, key: &str, body: &str) -> Option<(u16, Value)> {
        loop {
            let (node, mut connection, is_kept) = self.rotation.take()?;
            let sent = time::Instant::now();
            match connection.send(method, path, key, body) {
                Outcome::Answered { status } => {
                    let body = connection.body();
                    self.rotation.put_back(node, connection);
                    return Some((status, body));
                }
                Outcome::Cut { after } => {
                    let what = format!("{method} {path}");
                    let cut = judge::Cut {
                        node,
                        sent,
                        after,
                        what,
                        is_kept,
                    };
                    self.seen.lock().unwrap().cuts.push(cut);
                    return None;
                }
                Outcome::NotSent => {}
            }
        }
    }

    /// Returns the state of a job; empty without an answer.
    pub fn state(&self, job: &Job) -> String {
        let answer = self.send("GET", &job.path(), &job.key, "");
        answer.map_or_else(String::new, |(status, body)| match status {
            200 => body["state"].as_str().unwrap_or_default().to_owned(),
            status => status.to_string(),
        })
    }

    /// Returns the state of a job, with as many tries as callers make.
    pub fn state_at_last(&self, job: &Job) -> String {
        let mut state = String::new();
        for _ in 0..judge::TRIES {
            state = self.state(job);
            if !state.is_empty() && state.parse::<u16>().is_err() {
                break;
            }
            thread::sleep(RETRY_PAUSE);
        }
        state
    }

    fn read_states(&self) {
        for i in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(READ_PAUSE);
            if i % EXTRA_INTERVAL == 0 {
                let n = fastrand::usize(..EXTRA_ROUTES);
                self.send(
                    "GET",
                    &format!("/extra-{n}/"),
                    &format!("extra-key-{n}"),
                    "",
                );
            }
            let jobs = self.jobs.lock().unwrap();
            if jobs.is_empty() {
                continue;
            }
            let index = fastrand::usize(..jobs.len());
            let job = jobs[index].clone();
            drop(jobs);
            if job.fate == Fate::Accepted {
                let sent = time::Instant::now();
                let state = self.state(&job);
                // A job that was cancelled in between may be shown so.
                if self.jobs.lock().unwrap()[index].fate == Fate::Accepted
                    && judge::is_wrong(&state, sent, &job)
                {
                    let text = format!("job {:016x}: {state}", job.id);
                    self.seen.lock().unwrap().wrong.push((sent, text));
                }
            }
        }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
