//! A system of real processes on stand-ins, which tests can kill, suspend and stop.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod crowd;
pub mod flood;
pub mod http;
pub mod keep_alive;
pub mod open_callers;

use std::{
    env, fs, net, path, process,
    sync::atomic::{AtomicU16, Ordering},
    thread, time,
};

use base::clock::{self, Millis};
pub use http::{Answer, get, send};
use rustix::process::{Pid, Signal};
use serde_json::{Value, json};
use standin::{backend, backend_cfg, platform, platform_cfg, worker, worker_cfg};
use store::vm::{Vm, VmRole, VmState};

/// Access token of the organisation.
pub const ORGANISATION_TOKEN: &str = "bench-token";
const ORGANISATION_TOKEN_HASH: &str =
    "7137e16f75a1d75b6fd65930672814806cdc1a0d6e0aa38611afc996a402258b";
/// Access token of the operator.
pub const OPERATOR_TOKEN: &str = "operator-demo-token";
const OPERATOR_TOKEN_HASH: &str =
    "053fa11d794b3d944f1cd07a6cd7e574762682bb9e02bbbac8fb0690c6403e6e";
/// Time limit for a condition, unless a test sets its own.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Next port that [`free_addr`] returns.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
const FIRST_PORT: u16 = 10_000;

/// Returns an address that no other call returns.
///
/// Each test process uses its own loopback address, derived from its process id. Outgoing loopback
/// connections start from 127.0.0.1, so neither they nor another test run on this machine can take
/// a port between its choice and its use.
pub fn free_addr() -> net::SocketAddr {
    let [_, high, mid, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 64 | (high & 0x3f), mid, low);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port >= FIRST_PORT, "no ports are left");
    net::SocketAddr::from((ip, port))
}

/// Returns an empty directory for one test. Its name contains the process id, so that concurrent
/// runs of a test don't overwrite each other's settings.
pub fn temp_dir(test: &str) -> path::PathBuf {
    let name = format!("{test}-{}", process::id());
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // An earlier process with the same id may have left one.
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Waits until `f` returns a value; panics with `what` after `limit`.
pub fn wait_until<T>(what: &str, limit: time::Duration, mut f: impl FnMut() -> Option<T>) -> T {
    let start = time::Instant::now();
    loop {
        if let Some(value) = f() {
            return value;
        }
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// A running buckthorncove process, which is killed when dropped.
pub struct Process {
    child: process::Child,
    role: &'static str,
    settings: path::PathBuf,
    /// Address of the process's HTTP interface.
    pub http: net::SocketAddr,
}

impl Process {
    /// Starts a process whose settings make it listen for HTTP at `http`.
    pub fn start(role: &'static str, settings: path::PathBuf, http: net::SocketAddr) -> Self {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))
            .unwrap();
        // Another build can be played in its place.
        let bin = env::var_os("BUCKTHORNCOVE_BIN");
        let bin = bin.unwrap_or_else(|| env!("CARGO_BIN_EXE_buckthorncove").into());
        let child = process::Command::new(bin)
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

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        *self = Self::start(self.role, self.settings.clone(), self.http);
    }

    /// Changes a setting for the next start.
    pub fn change_setting(&self, name: &str, value: Value) {
        let text = fs::read_to_string(&self.settings).unwrap();
        let mut cfg: Value = serde_json::from_str(&text).unwrap();
        cfg[name] = value;
        fs::write(&self.settings, cfg.to_string()).unwrap();
    }

    /// Suspends the process with SIGSTOP until `thaw`.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a frozen process.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a planned stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Waits until the process has ended and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let status = wait_until("end of the process", TIMEOUT, || {
            self.child.try_wait().unwrap()
        });
        status.code()
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.http, "/ready").is_some_and(|a| a.status == 200)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Panics with the process's log if it has ended.
    pub fn assert_running(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            let (role, http, log) = (self.role, self.http, self.log());
            panic!("{role} {http} ended with {status}\n{log}");
        }
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("--- log of {} {}\n{}", self.role, self.http, self.log());
        }
    }
}

/// Number of processes in a system, and their settings.
#[derive(Clone, Debug)]
pub struct Builder {
    pub entries: usize,
    pub schedulers: usize,
    pub workers: usize,
    pub backends: backend_cfg::BackendCfg,
    pub behaviour: worker_cfg::Behaviour,
    /// Index of an entry without schedulers in its settings, as if the network between them failed.
    pub entry_without_schedulers: Option<usize>,
    /// Further settings of the entries.
    pub entry_settings: Value,
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
            entry_without_schedulers: None,
            entry_settings: json!({}),
        }
    }
}

/// A running system.
pub struct System {
    pub entries: Vec<Process>,
    pub schedulers: Vec<Process>,
    pub backends: backend::Handle,
    pub workers: worker::Handle,
    pub vms: Vec<Vm>,
    pub platform: platform::Handle,
}

impl Builder {
    /// Starts the system and applies the configuration.
    pub fn start(&self, test: &str) -> System {
        let dir = temp_dir(test);
        let platform = platform::start(platform_cfg::PlatformCfg::default()).unwrap();
        let workers = worker::start_all(self.worker_cfgs()).unwrap();
        let backends = backend::start(self.backends.clone()).unwrap();
        let vms = vms(&workers, &backends);
        platform.set_vms(vms.clone());
        let wire_addrs: Vec<net::SocketAddr> = (0..self.schedulers).map(|_| free_addr()).collect();
        let schedulers = wire_addrs.iter().enumerate().map(|(i, wire)| {
            let http = free_addr();
            let cfg = json!({ "platform": platform.addr(), "wire": wire, "http": http });
            Process::start(
                "scheduler",
                write_settings(&dir, &format!("scheduler-{i}"), &cfg),
                http,
            )
        });
        let schedulers = schedulers.collect();
        let entries = (0..self.entries).map(|i| {
            let http = free_addr();
            let mut cfg = json!({
                "listen": http, "listen_members": free_addr(),
                "table": platform.addr(), "vm_list": platform.addr(),
                "schedulers": if self.entry_without_schedulers == Some(i) { &[] } else { wire_addrs.as_slice() },
                "expected_entries": self.entries,
                "operators": [{ "name": "operator", "token_hash": OPERATOR_TOKEN_HASH }],
            });
            for (name, value) in self.entry_settings.as_object().into_iter().flatten() {
                cfg[name] = value.clone();
            }
            Process::start("entry", write_settings(&dir, &format!("entry-{i}"), &cfg), http)
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
        system.wait_until_started();
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

/// Writes a settings file and returns its path.
pub fn write_settings(dir: &path::Path, name: &str, cfg: &Value) -> path::PathBuf {
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
    /// Waits until all processes listen; fails at once if one of them ends.
    fn wait_until_started(&mut self) {
        for proc in self.entries.iter_mut().chain(&mut self.schedulers) {
            wait_until(&format!("start of {}", proc.http), TIMEOUT, || {
                proc.assert_running();
                get(proc.http, "/ready").map(drop)
            });
        }
    }

    /// Applies the first configuration and waits until the entries are ready.
    fn configure(&self) {
        let records = [
            json!({"schema": 2, "kind": "organisation", "spec": {
                "name": "weddings", "token_hashes": [ORGANISATION_TOKEN_HASH],
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
        wait_until("first configuration", TIMEOUT, || {
            self.apply(0, 1, &records).filter(|a| a.status == 200)
        });
        let ready = || self.entries.iter().all(Process::is_ready).then_some(());
        wait_until("entries are ready", TIMEOUT, ready);
    }

    /// Applies records through one entry.
    pub fn apply(&self, entry: usize, change: u64, records: &[String]) -> Option<Answer> {
        let body = json!({ "change": change, "records": records }).to_string();
        self.send_as_operator(entry, "POST", "/config", &body)
    }

    /// Sends a request as the operator.
    pub fn send_as_operator(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Answer> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        send(
            self.entries[entry].http,
            method,
            path,
            &[("authorization", &bearer)],
            body,
        )
    }

    /// Sends a request to the service as the organisation; see [`call`].
    pub fn call(&self, entry: usize, operation: &str, key: Option<&str>) -> Option<Answer> {
        call(self.entries[entry].http, operation, key)
    }

    /// Returns how often the backend servers executed a request with `key` in its body.
    pub fn executions(&self, key: &str) -> usize {
        let all = self
            .backends
            .servers()
            .iter()
            .flat_map(backend::Server::history);
        all.filter(|e| e.key.as_deref() == Some(key)).count()
    }

    /// Submits a gang job of `members` members with 8 accelerators each.
    pub fn submit(&self, entry: usize, name: &str, members: u16) -> Option<Answer> {
        let job = json!({"schema": 2, "kind": "job", "spec": {
            "organisation": "weddings", "team": "scoring", "name": name, "kind": "score",
            "shape": {"members": members, "accelerators": 8, "cores": 8, "memory_mb": 1024,
                "adjacency": "rack"},
            "run_time_ms": 60_000}});
        self.send_as_operator(entry, "POST", "/jobs", &job.to_string())
    }

    /// Returns the phase of a job; empty without an answer.
    pub fn phase(&self, entry: usize, name: &str) -> String {
        let answer = self.send_as_operator(entry, "GET", &format!("/jobs/weddings/{name}"), "");
        answer.map_or_else(String::new, |a| a.text("phase").to_owned())
    }

    /// Waits until any entry reports that a job is in a phase.
    pub fn wait_for_phase(&self, name: &str, phase: &str, limit: time::Duration) {
        wait_until(&format!("job {name} {phase}"), limit, || {
            (0..self.entries.len())
                .any(|e| self.phase(e, name) == phase)
                .then_some(())
        });
    }
}

/// Sends a request to the service through an entry, as the organisation. The body repeats the key,
/// which the backend servers keep in their histories.
pub fn call(entry: net::SocketAddr, operation: &str, key: Option<&str>) -> Option<Answer> {
    let bearer = format!("Bearer {ORGANISATION_TOKEN}");
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

/// Returns the time on the clock of the stand-ins' histories.
pub fn now() -> Millis {
    clock::now()
}
