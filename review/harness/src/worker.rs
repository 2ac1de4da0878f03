//! Stand-in for a minion, a process of its own.
//!
//! The text of a job (`spec`) tells what its subtasks do, as JSON: `ms` is the time that they work,
//! `how` how they end (`done` by default), `endless` that they work until they are stopped, and
//! `checkpoint_bytes` the length of their checkpoints. `POST /control/fail` ends all runs as `failed`;
//! after `POST /control/grey` the answer to the next start is lost and further ones are shed for 1 s.

use std::{
    collections::BTreeMap,
    net,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use platform_standin::http::{Answer, Request};
use serde_json::{Value, json};

use crate::{http, server};

/// Longest lease, `hold-max-ms`.
const MAX_LEASE_MS: u64 = 6_000;
/// Time that a stop takes, below `stop-timeout-ms` (200).
const STOP_TIME: Duration = Duration::from_millis(60);
/// Interval of the entries in the list of minions, `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Work between two checkpoints, `checkpoint-s`.
const CHECKPOINT_MS: u128 = 1_000;
/// Time for which a grey minion sheds starts.
const SHED_TIME: Duration = Duration::from_secs(1);
/// Number of ends in one answer.
const MAX_ENDS: usize = 500;

struct Run {
    task: String,
    attempt: u64,
    spec: Value,
    started: Instant,
    stop_at: Option<Instant>,
    need: u64,
}

struct State {
    id: String,
    born: u64,
    start: Instant,
    fence: u64,
    lease_end: u64,
    gpu: u64,
    runs: Vec<Run>,
    ends: BTreeMap<u64, Value>,
    next_end: u64,
    /// Highest attempt that was stopped or has ended, by subtask.
    barred: BTreeMap<String, u64>,
    /// Whether the answer to the next start is lost.
    loses_answer: bool,
    /// Time until which starts are refused with 503.
    sheds_until: Option<Instant>,
}

impl State {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    fn checkpoint(&self, run: &Run) -> String {
        let bytes = run.spec["checkpoint_bytes"].as_u64().unwrap_or(0) as usize;
        if bytes == 0 || run.started.elapsed().as_millis() < CHECKPOINT_MS {
            return String::new();
        }
        let count = run.started.elapsed().as_millis() / CHECKPOINT_MS;
        format!("{:0>bytes$}", format!("{}-{count:x}", run.task))
    }

    /// Ends the runs that are due.
    fn advance(&mut self) {
        let now = Instant::now();
        let lapsed = self.clock() > self.lease_end;
        let mut i = 0;
        while i < self.runs.len() {
            let run = &self.runs[i];
            let ms = run.spec["ms"].as_u64().unwrap_or(300);
            let endless = run.spec["endless"].as_bool().unwrap_or(false);
            let how = if run.stop_at.is_some_and(|t| t <= now) {
                "stopped"
            } else if lapsed {
                "lapsed"
            } else if !endless && run.started.elapsed() >= Duration::from_millis(ms) {
                run.spec["how"].as_str().unwrap_or("done")
            } else {
                i += 1;
                continue;
            }
            .to_owned();
            self.end(i, &how);
        }
    }

    fn end(&mut self, i: usize, how: &str) {
        let saved = match how {
            "stopped" => self.checkpoint(&self.runs[i]),
            _ => String::new(),
        };
        let run = self.runs.remove(i);
        log(
            &self.id,
            &format!("end {} #{} {how}", run.task, run.attempt),
        );
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = (*barred).max(run.attempt);
        let end = json!([self.next_end, run.task, run.attempt, how, saved]);
        self.ends.insert(self.next_end, end);
        self.next_end += 1;
    }

    /// Applies the epoch number; returns `false` for one that is too low.
    fn admit(&mut self, body: &Value) -> bool {
        let fence = body["fencing-token"].as_u64().unwrap_or(0);
        self.fence = self.fence.max(fence);
        fence == self.fence
    }

    fn extend(&mut self, body: &Value) {
        let end = body["deadline-ms"].as_u64().unwrap_or(0);
        let end = end.min(self.clock() + MAX_LEASE_MS);
        self.lease_end = self.lease_end.max(end);
    }

    fn start_run(&mut self, body: &Value) -> (u16, &'static str) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        if body["deadline-ms"].as_u64().unwrap_or(0) <= self.clock() {
            return (409, "late");
        }
        self.extend(body);
        if let Some(run) = self.runs.iter().find(|r| r.task == task) {
            let same = run.attempt == attempt;
            return if same { (200, "") } else { (409, "old") };
        }
        if self.barred.get(&task).is_some_and(|a| attempt <= *a) {
            return (409, "old");
        }
        let text = body["spec"].as_str().unwrap_or_default();
        let spec: Value = serde_json::from_str(text).unwrap_or(Value::Null);
        let need = spec["gpu"].as_u64().unwrap_or(0);
        let used: u64 = self.runs.iter().map(|r| r.need).sum();
        if used + need > self.gpu {
            return (409, "room");
        }
        log(&self.id, &format!("start {task} #{attempt}"));
        self.runs.push(Run {
            task,
            attempt,
            spec,
            started: Instant::now(),
            stop_at: None,
            need,
        });
        (200, "")
    }

    fn stop_run(&mut self, body: &Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let barred = self.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(attempt);
        let mut runs = self.runs.iter_mut();
        if let Some(run) = runs.find(|r| r.task == task && r.attempt <= attempt) {
            run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
        }
    }

    fn report(&self) -> Value {
        let running = self.runs.iter().map(|r| {
            let endless = r.spec["endless"].as_bool().unwrap_or(false);
            let ms = r.spec["ms"].as_u64().unwrap_or(300).max(1);
            let percent = r.started.elapsed().as_millis() as u64 * 100 / ms;
            let percent = if endless { 100 } else { percent.min(99) };
            json!([r.task, r.attempt, self.checkpoint(r), percent, 0])
        });
        let running: Vec<Value> = running.collect();
        let ends: Vec<&Value> = self.ends.values().take(MAX_ENDS).collect();
        json!({"clock-ms": self.clock(), "born": self.born, "running": running, "finished": ends})
    }

    fn entry(&self, addr: net::SocketAddr, rack: &str, sequence: u64) -> Value {
        json!({"service": "svc", "address": addr, "zone": "z", "version": "v1", "slots": 8,
            "state": "ready", "cold-remaining-ms": 0, "machine": format!("m-{}", self.id),
            "capacity": {"cpu": 64_000, "mem-mb": 262_144, "gpu": self.gpu},
            "labels": ["a", rack], "clock-ms": self.clock(), "born": self.born,
            "sequence": sequence})
    }
}

/// Writes a line for the harness, which reads the standard output.
fn log(id: &str, text: &str) {
    println!("{id} {text}");
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    state.advance();
    state
}

/// Runs a minion until the process is killed. `cfg` holds `id`, `addr`, the address `seen` by
/// others, `store`, `rack` and `gpu`.
pub fn run(cfg: &Value) -> ! {
    let text = |name: &str| cfg[name].as_str().unwrap_or_default().to_owned();
    let addr: net::SocketAddr = text("addr").parse().expect("address of the minion");
    let seen: net::SocketAddr = text("seen").parse().expect("address seen by others");
    let store: net::SocketAddr = text("store").parse().expect("address of the store");
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let state = Arc::new(Mutex::new(State {
        id: text("id"),
        born: born.map_or(1, |d| d.as_millis() as u64),
        start: Instant::now(),
        fence: 0,
        lease_end: 0,
        gpu: cfg["gpu"].as_u64().unwrap_or(8),
        runs: Vec::new(),
        ends: BTreeMap::new(),
        next_end: 1,
        barred: BTreeMap::new(),
        loses_answer: false,
        sheds_until: None,
    }));
    let served = state.clone();
    let listener = net::TcpListener::bind(addr).expect("listener of the minion");
    thread::spawn(move || server::serve(&listener, &move |req: &Request| answer(&served, req)));
    let ticking = state.clone();
    thread::spawn(move || {
        loop {
            drop(lock(&ticking));
            thread::sleep(Duration::from_millis(5));
        }
    });
    for sequence in 1.. {
        let entry = lock(&state).entry(seen, &text("rack"), sequence);
        let _ = put(store, "servers", &text("id"), &entry);
        thread::sleep(HEARTBEAT);
    }
    unreachable!("the loop does not end")
}

/// Writes a row through the store's interface.
pub fn put(
    store: net::SocketAddr,
    table: &str,
    key: &str,
    value: &Value,
) -> std::io::Result<http::Answer> {
    let value = crate::base64(value.to_string().as_bytes());
    let body = json!({"expected-revision": [], "remove": [],
        "writes": [{"table": table, "part": "", "key": key, "value": value}]});
    let limit = Duration::from_secs(2);
    http::send(store, "POST", "/-/rows-tx", &[], &body.to_string(), limit)
}

fn answer(shared: &Mutex<State>, req: &Request) -> Answer {
    let mut state = lock(shared);
    if req.target == "POST /control/fail" {
        while !state.runs.is_empty() {
            state.end(0, "failed");
        }
        return Some((200, Value::Null));
    }
    if req.target == "POST /control/grey" {
        state.loses_answer = true;
        return Some((200, Value::Null));
    }
    if !req.expected_worker.is_empty() && req.expected_worker != state.id {
        return Some((421, json!({"clock-ms": state.clock()})));
    }
    if !state.admit(&req.body) {
        return Some((409, json!({"clock-ms": state.clock(), "reason": "fence"})));
    }
    match req.target.as_str() {
        "POST /-/run-start" => {
            if state.sheds_until.is_some_and(|t| Instant::now() < t) {
                log(&state.id, "refuses a start with 503");
                return Some((503, json!({"clock-ms": state.clock()})));
            }
            let (status, reason) = state.start_run(&req.body);
            if std::mem::take(&mut state.loses_answer) {
                log(&state.id, "loses the answer to a start");
                state.sheds_until = Some(Instant::now() + SHED_TIME);
                return None;
            }
            let mut body = json!({"clock-ms": state.clock()});
            if !reason.is_empty() {
                body["reason"] = reason.into();
            }
            Some((status, body))
        }
        "POST /-/run-stop" => {
            state.stop_run(&req.body);
            Some((200, json!({"clock-ms": state.clock()})))
        }
        "POST /-/hold" => {
            state.extend(&req.body);
            let seen = req.body["last-seen"].as_u64().unwrap_or(0);
            state.ends.retain(|n, _| *n > seen);
            drop(state);
            let wait = req.body["wait-ms"].as_u64().unwrap_or(0).min(2_000);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let state = lock(shared);
                if !state.ends.is_empty() || Instant::now() >= until {
                    return Some((200, state.report()));
                }
                drop(state);
                thread::sleep(Duration::from_millis(3));
            }
        }
        _ => Some((404, Value::Null)),
    }
}
