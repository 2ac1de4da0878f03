//! A system of real processes on stand-ins, which tests can kill, freeze and stop.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod http;

use std::{
    fs, net, path, process,
    sync::atomic::{AtomicU16, Ordering},
    thread, time,
};

use base::clock::{self, Millis};
pub use http::{Answer, get, send};
use rustix::process::{Pid, Signal};
use serde_json::{Value, json};
use standin::{backend, backend_cfg, platform, platform_cfg, worker, worker_cfg};
use store::vm::{Vm, VmRole, VmState};

/// Access token of the operator and of both organisations.
pub const TOKEN: &str = "bench-token";
const TOKEN_HASH: &str = "7137e16f75a1d75b6fd65930672814806cdc1a0d6e0aa38611afc996a402258b";
/// Operator's token, which differs from those of the organisations.
pub const OPERATOR: &str = "operator-demo-token";
const OPERATOR_HASH: &str = "053fa11d794b3d944f1cd07a6cd7e574762682bb9e02bbbac8fb0690c6403e6e";
/// Longest wait for a condition, unless a test states a bound of its own.
pub const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Next port to hand out.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
const FIRST_PORT: u16 = 10_000;

/// Returns an address that no other call returns.
///
/// Each test process has a loopback address of its own, derived from its process id. Outgoing
/// loopback connections start from 127.0.0.1, so neither they nor another run on this machine
/// can take a port between its choice and its use.
pub fn free_addr() -> net::SocketAddr {
    let [_, high, mid, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 64 | (high & 0x3f), mid, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port >= FIRST_PORT, "all ports are used");
    net::SocketAddr::from((ip, port))
}

/// Returns an empty folder for one test of this process; two runs of a test on one machine must
/// not replace each other's settings.
pub fn scratch(test: &str) -> path::PathBuf {
    let name = format!("{test}-{}", process::id());
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // A process with the same id may have left one.
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Waits until `f` returns a value; panics with `what` after the limit.
pub fn until<T>(what: &str, limit: time::Duration, mut f: impl FnMut() -> Option<T>) -> T {
    let start = time::Instant::now();
    loop {
        if let Some(value) = f() {
            return value;
        }
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// A process of buckthorncove; it is killed when dropped.
pub struct Proc {
    child: process::Child,
    role: &'static str,
    settings: path::PathBuf,
    /// Address of its HTTP interface.
    pub http: net::SocketAddr,
}

impl Proc {
    /// Starts a process; `http` is the address at which it is reached.
    pub fn start(role: &'static str, settings: path::PathBuf, http: net::SocketAddr) -> Self {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))
            .unwrap();
        let child = process::Command::new(env!("CARGO_BIN_EXE_buckthorncove"))
            .arg(role)
            .arg(&settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self {
            child,
            role,
            settings,
            http,
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).unwrap();
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        *self = Self::start(self.role, self.settings.clone(), self.http);
    }

    /// Stops the process from running until `thaw`.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process run again.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let status = until("end of the process", LIMIT, || {
            self.child.try_wait().unwrap()
        });
        status.code()
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.http, "/ready").is_some_and(|a| a.status == 200)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Panics with the log if the process has ended.
    pub fn assert_running(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            let (role, http, log) = (self.role, self.http, self.log());
            panic!("{role} {http} ended with {status}\n{log}");
        }
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("--- log of {} {}\n{}", self.role, self.http, self.log());
        }
    }
}

/// Sizes and settings of a system.
#[derive(Clone, Debug)]
pub struct Builder {
    pub entries: usize,
    pub schedulers: usize,
    pub workers: usize,
    pub backends: backend_cfg::BackendCfg,
    pub behaviour: worker_cfg::Behaviour,
    /// Index of an entry that knows no scheduler, as when the network between them is cut.
    pub cut_off_entry: Option<usize>,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            entries: 2,
            schedulers: 2,
            workers: 4,
            backends: backend_cfg::BackendCfg {
                servers: 3,
                ..Default::default()
            },
            behaviour: worker_cfg::Behaviour {
                run_ms: Millis(300),
                ..Default::default()
            },
            cut_off_entry: None,
        }
    }
}

/// A running system.
pub struct System {
    pub entries: Vec<Proc>,
    pub schedulers: Vec<Proc>,
    pub backends: backend::Handle,
    pub workers: worker::Handle,
    pub vms: Vec<Vm>,
    pub platform: platform::Handle,
}

impl Builder {
    /// Starts the system and applies the configuration.
    pub fn start(&self, test: &str) -> System {
        let dir = scratch(test);
        let platform = platform::start(platform_cfg::PlatformCfg::default()).unwrap();
        let workers = worker::start_all(self.worker_cfgs()).unwrap();
        let backends = backend::start(self.backends.clone()).unwrap();
        let vms = vms(&workers, &backends);
        platform.set_vms(vms.clone());
        let wires: Vec<net::SocketAddr> = (0..self.schedulers).map(|_| free_addr()).collect();
        let schedulers = wires.iter().enumerate().map(|(i, wire)| {
            let http = free_addr();
            let cfg = json!({ "platform": platform.addr(), "wire": wire, "http": http });
            Proc::start(
                "scheduler",
                write(&dir, &format!("scheduler-{i}"), &cfg),
                http,
            )
        });
        let schedulers = schedulers.collect();
        let entries = (0..self.entries).map(|i| {
            let http = free_addr();
            let cfg = json!({
                "listen": http, "listen_members": free_addr(),
                "table": platform.addr(), "vm_list": platform.addr(),
                "schedulers": if self.cut_off_entry == Some(i) { &[] } else { wires.as_slice() },
                "expected_entries": self.entries,
                "operators": [{ "name": "operator", "token_hash": OPERATOR_HASH }],
            });
            Proc::start("entry", write(&dir, &format!("entry-{i}"), &cfg), http)
        });
        let entries = entries.collect();
        let mut system = System {
            entries,
            schedulers,
            backends,
            workers,
            vms,
            platform,
        };
        system.until_started();
        system.configure();
        system
    }

    fn worker_cfgs(&self) -> Vec<worker_cfg::WorkerCfg> {
        let cfg = |i| {
            let mut cfg = worker_cfg::WorkerCfg::default();
            cfg.info.name = format!("worker-{i}").parse().unwrap();
            cfg.behaviour = self.behaviour.clone();
            cfg
        };
        (0..self.workers).map(cfg).collect()
    }
}

/// Writes a settings file.
pub fn write(dir: &path::Path, name: &str, cfg: &Value) -> path::PathBuf {
    let file = dir.join(name).with_extension("json");
    fs::write(&file, cfg.to_string()).unwrap();
    file
}

fn vms(workers: &worker::Handle, backends: &backend::Handle) -> Vec<Vm> {
    let vm = |name: String, address: &net::SocketAddr, role| Vm {
        name: name.parse().unwrap(),
        address: *address,
        data_centre: "dc-1".parse().unwrap(),
        role,
        state: VmState::Live,
    };
    let rack = || VmRole::Worker {
        rack: "rack-1".parse().unwrap(),
    };
    let service = || VmRole::Backend {
        service: "refund".parse().unwrap(),
    };
    let workers = workers.addrs().iter().enumerate();
    let backends = backends.addrs().iter().enumerate();
    workers
        .map(|(i, a)| vm(format!("worker-{i}"), a, rack()))
        .chain(backends.map(|(i, a)| vm(format!("refund-{i}"), a, service())))
        .collect()
}

impl System {
    /// Waits until all processes listen; a process that ends at its start fails the test at once.
    fn until_started(&mut self) {
        for proc in self.entries.iter_mut().chain(&mut self.schedulers) {
            until(&format!("start of {}", proc.http), LIMIT, || {
                proc.assert_running();
                get(proc.http, "/ready").map(drop)
            });
        }
    }

    fn configure(&self) {
        let records = [
            json!({"schema": 2, "kind": "organisation", "spec": {
                "name": "weddings", "token_hashes": [TOKEN_HASH],
                "guarantees": [{"gangs": 1, "shape": {"members": 1, "accelerators": 8,
                    "cores": 8, "memory_mb": 1024, "adjacency": "worker"}}]}}),
            json!({"version": 1, "type": "group", "tenant": "weddings", "group": "scoring",
                "max_gpus": 512}),
            json!({"version": 1, "type": "backend", "backend": "refund", "calls": [
                {"call": "score", "interactive": true, "retry": true, "timeout_s": 5},
                {"call": "payout", "interactive": true, "retry": false, "timeout_s": 5},
                {"call": "transfer", "interactive": true, "retry": false, "timeout_s": 60}]}),
        ];
        let records: Vec<String> = records.iter().map(Value::to_string).collect();
        until("first configuration", LIMIT, || {
            self.apply(0, 1, &records).filter(|a| a.status == 200)
        });
        let ready = || self.entries.iter().all(Proc::is_ready).then_some(());
        until("entries are ready", LIMIT, ready);
    }

    /// Applies records through one entry.
    pub fn apply(&self, entry: usize, change: u64, records: &[String]) -> Option<Answer> {
        let body = json!({ "change": change, "records": records }).to_string();
        self.operate(entry, "POST", "/config", &body)
    }

    /// Sends a request of the operator.
    pub fn operate(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<Answer> {
        let bearer = format!("Bearer {OPERATOR}");
        send(
            self.entries[entry].http,
            method,
            path,
            &[("authorization", &bearer)],
            body,
        )
    }

    /// Sends a request of a caller.
    pub fn call(&self, entry: usize, operation: &str, key: Option<&str>) -> Option<Answer> {
        call(self.entries[entry].http, operation, key)
    }

    /// Returns the number of executions of all backend servers that carry `key` in the body.
    pub fn executions(&self, key: &str) -> usize {
        let all = self
            .backends
            .servers()
            .iter()
            .flat_map(backend::Server::history);
        all.filter(|e| e.key.as_deref() == Some(key)).count()
    }

    /// Submits a job of `members` times 8 accelerators.
    pub fn submit(&self, entry: usize, name: &str, members: u16) -> Option<Answer> {
        let job = json!({"schema": 2, "kind": "job", "spec": {
            "organisation": "weddings", "team": "scoring", "name": name, "kind": "score",
            "shape": {"members": members, "accelerators": 8, "cores": 8, "memory_mb": 1024,
                "adjacency": "rack"},
            "run_time_ms": 60_000}});
        self.operate(entry, "POST", "/jobs", &job.to_string())
    }

    /// Returns the phase of a job; empty if no answer comes.
    pub fn phase(&self, entry: usize, name: &str) -> String {
        let answer = self.operate(entry, "GET", &format!("/jobs/weddings/{name}"), "");
        answer.map_or_else(String::new, |a| a.text("phase").to_owned())
    }

    /// Waits until a job has reached a phase.
    pub fn until_phase(&self, name: &str, phase: &str, limit: time::Duration) {
        until(&format!("job {name} {phase}"), limit, || {
            (0..self.entries.len())
                .any(|e| self.phase(e, name) == phase)
                .then_some(())
        });
    }
}

/// Sends a request of a caller to an entry; the body carries the key for the server's history.
pub fn call(entry: net::SocketAddr, operation: &str, key: Option<&str>) -> Option<Answer> {
    let bearer = format!("Bearer {TOKEN}");
    let mut headers = vec![("authorization", bearer.as_str())];
    if let Some(key) = key {
        headers.push(("idempotency-key", key));
    }
    let body = json!({ "key": key.unwrap_or("none") }).to_string();
    send(
        entry,
        "POST",
        &format!("/call/refund/{operation}"),
        &headers,
        &body,
    )
}

/// Returns the time on the clock that the stand-ins use in their histories.
pub fn now() -> Millis {
    clock::now()
}
