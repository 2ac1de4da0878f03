//! A fleet of real nodes on stand-ins for the store and hundreds of workers.

pub mod judge;
pub mod rotation;
pub mod traffic;
pub mod troubles;

use std::{
    collections::BTreeMap,
    fs, iter, net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use platform_standin::{
    store::Store,
    worker::{Gangs, Reborn, Worker},
};
use rustix::process::{Pid, Signal};
use serde_json::{Value, json};

use crate::common::{self, Process, wait_until};
use traffic::{CLASSES, ORGANISATIONS};

pub type Addrs = Arc<Vec<net::SocketAddr>>;

/// Number of nodes and workers, and of the data centres that they are spread over.
pub const NODES: usize = 33;
pub const WORKERS: usize = 350;
pub const DATA_CENTRES: usize = 5;
/// Time that a member of a gang waits for the others (`gang-timeout-ms` of the site).
const GANG_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Workers per rack.
const RACK: usize = 20;
/// Cores in thousandths, memory in MB and accelerators of a worker.
pub const ROOM: [u64; 3] = [128_000, 524_288, 8];
/// Number of nodes with half a core; the others have 0.12.
const LARGE_NODES: usize = 10;
/// Interval at which a worker writes its entry, and number of groups that take turns in it.
const HEARTBEAT: time::Duration = time::Duration::from_millis(1_500);
const HEARTBEAT_GROUPS: usize = 15;
/// Interval at which workers apply what is due without a call.
const TICK: time::Duration = time::Duration::from_millis(20);
/// Period of the outside quota of processor time, and interval at which its use is read.
const PERIOD: time::Duration = time::Duration::from_millis(100);
const QUOTA_CHECK: time::Duration = time::Duration::from_millis(2);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
const START_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Nodes whose processor time is limited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Short {
    None,
    Leader,
    All,
}

/// Limit of processor time.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    pub short: Short,
    pub share: f64,
    /// Whether a process stands for the rest of each period even if it used nothing.
    pub by_slice: bool,
}

pub struct Fleet {
    pub nodes: Vec<Process>,
    pub addrs: Addrs,
    /// Addresses at which the balancer asks for readiness.
    pub ready_addrs: Addrs,
    operator_addrs: Vec<net::SocketAddr>,
    pub store: Store,
    pub workers: Vec<Worker>,
    /// Process ids of the nodes, by node; locked while one of them is replaced.
    pids: Arc<Mutex<Vec<u32>>>,
    stop: Arc<AtomicBool>,
}

impl Fleet {
    pub fn start(test: &str) -> Self {
        let dir = common::temp_dir(test);
        eprintln!("logs in {}", dir.display());
        let stop: Arc<AtomicBool> = Arc::default();
        let store = Store::start(&stop).unwrap();
        store.put("op", "config", &Shape::default().config(1));
        let gangs = Gangs::new(GANG_TIMEOUT);
        let start = |i: usize| {
            let run_time = time::Duration::ZERO;
            let worker = Worker::start(&stop, &format!("w-{i}"), run_time, Reborn::SameId).unwrap();
            worker.set_room(ROOM[0], ROOM[1], ROOM[2], &gangs);
            worker.set_stop_time(time::Duration::from_millis(100 + 8 * (i as u64 * 37 % 100)));
            worker
        };
        let workers: Vec<Worker> = (0..WORKERS).map(start).collect();
        store.put_all(
            "servers",
            (0..WORKERS).filter_map(|i| entry(&workers[i], i)).collect(),
        );
        keep_registered(workers.clone(), store.clone(), stop.clone());
        let addrs: Vec<_> = (0..NODES).map(|_| common::free_addr()).collect();
        let operator_addrs: Vec<_> = (0..NODES).map(|_| common::free_addr()).collect();
        let ready_addrs: Vec<_> = (0..NODES).map(|_| common::free_addr()).collect();
        let node = |i: usize| {
            let share = if i < LARGE_NODES { 0.5 } else { 0.12 };
            let cfg = json!({"name": format!("n{i}"), "zone": format!("dc-{}", i % DATA_CENTRES),
                "listen": addrs[i], "listen_ready": ready_addrs[i],
                "listen_metrics": operator_addrs[i], "store": store.addr(), "row_bytes": 65_536,
                "worker_lease_ms": 6_000, "worker_heartbeat_ms": 1_500, "revoke_ms": 5_000,
                "keep_ms": 120_000, "restore_ms": 100, "cpu_share": share, "cores": 1,
                "grace_ms": 6_000});
            let settings = common::write_settings(&dir, &format!("node-{i}"), &cfg);
            Process::start("node", settings, addrs[i])
        };
        let nodes: Vec<Process> = (0..NODES).map(node).collect();
        let pids = nodes.iter().map(Process::pid).collect();
        let mut fleet = Self {
            nodes,
            addrs: Arc::new(addrs),
            ready_addrs: Arc::new(ready_addrs),
            operator_addrs,
            store,
            workers,
            pids: Arc::new(Mutex::new(pids)),
            stop,
        };
        for i in 0..NODES {
            let headers = [("authorization", "Bearer key-0")];
            wait_until("node is ready", START_TIMEOUT, || {
                fleet.nodes[i].assert_running();
                let (addr, host) = (fleet.addrs[i], "callers.example");
                common::http::send_with_host(host, addr, "GET", "/loan/", &headers, "")
                    .filter(|a| a.status == 200)
            });
        }
        fleet
    }

    pub fn leader(&self) -> usize {
        wait_until("a node leads", START_TIMEOUT, || self.find_leader())
    }

    fn find_leader(&self) -> Option<usize> {
        find_leader(&self.store, &self.operator_addrs)
    }

    /// Kills a node that still runs, and starts it again.
    pub fn replace(&mut self, i: usize) {
        let mut pids = self.pids.lock().unwrap();
        self.nodes[i].kill();
        self.nodes[i].restart();
        pids[i] = self.nodes[i].pid();
    }

    /// Limits the processor time of nodes until `until`.
    pub fn limit(&self, limit: Limit, until: Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let (pids, store) = (self.pids.clone(), self.store.clone());
        let addrs = self.operator_addrs.clone();
        thread::spawn(move || {
            while !until.load(Ordering::Relaxed) && limit.short != Short::None {
                let end = time::Instant::now() + PERIOD;
                // A killed process is replaced between two periods only.
                let pids = pids.lock().unwrap();
                let mut open: Vec<(u32, u64)> = match limit.short {
                    Short::All => pids.iter().map(|p| (*p, used_ns(*p))).collect(),
                    _ => find_leader(&store, &addrs)
                        .iter()
                        .map(|i| (pids[*i], used_ns(pids[*i])))
                        .collect(),
                };
                let mut stopped = Vec::new();
                let quota = PERIOD.mul_f64(limit.share);
                while time::Instant::now() < end {
                    let slice_over = time::Instant::now() + PERIOD > end + quota;
                    open.retain(|(pid, before)| {
                        let used = used_ns(*pid).saturating_sub(*before);
                        let over = if limit.by_slice {
                            slice_over
                        } else {
                            used >= quota.as_nanos() as u64
                        };
                        if over {
                            signal(*pid, Signal::STOP);
                            stopped.push(*pid);
                        }
                        !over
                    });
                    thread::sleep(QUOTA_CHECK);
                }
                for pid in stopped {
                    signal(pid, Signal::CONT);
                }
                drop(pids);
                // Lets a waiting kill take the lock.
                thread::sleep(time::Duration::from_micros(200));
            }
        })
    }

    /// Returns the processor time of each node in seconds.
    pub fn processor_time(&self) -> Vec<f64> {
        let time = |p: &Process| {
            let stat = fs::read_to_string(format!("/proc/{}/stat", p.pid())).unwrap_or_default();
            let fields: Vec<&str> = stat
                .rsplit(')')
                .next()
                .unwrap_or_default()
                .split_whitespace()
                .collect();
            let ticks = |i: usize| {
                fields
                    .get(i)
                    .and_then(|f| f.parse::<f64>().ok())
                    .unwrap_or(0.0)
            };
            (ticks(11) + ticks(12)) / TICKS_PER_S
        };
        self.nodes.iter().map(time).collect()
    }

    /// Returns the sums over all nodes of the metrics that tell of orders, runs, leases and commits.
    pub fn metrics(&self) -> BTreeMap<String, f64> {
        let names = [
            "node_orders_total",
            "node_run_ends",
            "node_takeovers",
            "node_worker_outages",
            "node_commits_total",
            "node_lost_runs",
            "node_given_up",
            "node_lease_gap_seconds_sum",
            "node_lease_gap_seconds_count",
            "node_requests_total",
            "node_pass_seconds_sum",
            "node_pass_seconds_count",
            "node_runs",
            "node_open_jobs",
        ];
        let mut sums = BTreeMap::new();
        for addr in &self.operator_addrs {
            let text = common::get(*addr, "/metrics").map_or_else(String::new, |a| {
                a.body.as_str().unwrap_or_default().to_owned()
            });
            for line in text
                .lines()
                .filter(|l| names.iter().any(|n| l.starts_with(n)))
            {
                if let Some((name, value)) = line.rsplit_once(' ') {
                    let name = name.replace("otel_scope_name=\"node\"", "");
                    *sums.entry(name).or_insert(0.0) += value.parse().unwrap_or(0.0);
                }
            }
        }
        sums
    }

    /// Returns the number of log lines of all nodes by message.
    pub fn messages(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for node in &self.nodes {
            for line in node.log().lines() {
                let line: Value = serde_json::from_str(line).unwrap_or_default();
                let mut name = line["msg"].as_str().unwrap_or("(malformed)").to_owned();
                if name.starts_with("orders:") || name == "workers: no answer" {
                    let detail =
                        [&line["reply"], &line["kind"]].map(|v| v.as_str().unwrap_or_default());
                    // What follows is the duration.
                    let detail = detail.concat();
                    name = format!("{name} {}", detail.split('"').next().unwrap_or_default());
                }
                *counts.entry(name).or_insert(0) += 1;
            }
        }
        counts
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn find_leader(store: &Store, operator_addrs: &[net::SocketAddr]) -> Option<usize> {
    let row = store.get("control", "lease")?;
    let address = row["address"].as_str()?;
    operator_addrs.iter().position(|a| a.to_string() == address)
}

fn signal(pid: u32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid.cast_signed()) {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

/// Returns the processor time of the main thread, which runs all tasks of a node.
fn used_ns(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Returns the entry of a worker in the VM list; `None` while it is down.
fn entry(worker: &Worker, i: usize) -> Option<(String, Value)> {
    let zone = i % DATA_CENTRES;
    let rack = format!("r{zone}-{}", i / DATA_CENTRES / RACK);
    let (id, mut entry) = worker.entry(&rack, "ready")?;
    entry["zone"] = json!(format!("dc-{zone}"));
    entry["capacity"] = json!({"cpu": ROOM[0], "mem-mb": ROOM[1], "gpu": ROOM[2]});
    Some((id, entry))
}

fn keep_registered(workers: Vec<Worker>, store: Store, stop: Arc<AtomicBool>) {
    let (ticked, stopped) = (workers.clone(), stop.clone());
    thread::spawn(move || {
        while !stopped.load(Ordering::Relaxed) {
            ticked.iter().for_each(Worker::tick);
            thread::sleep(TICK);
        }
    });
    thread::spawn(move || {
        for group in (0..HEARTBEAT_GROUPS).cycle() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let members = (group..WORKERS).step_by(HEARTBEAT_GROUPS);
            let entries = members.filter_map(|i| entry(&workers[i], i));
            store.put_all("servers", entries.collect());
            thread::sleep(HEARTBEAT / HEARTBEAT_GROUPS as u32);
        }
    });
}

/// What one version of the configuration holds.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of additional routes, each with an API key of its own.
    pub extra: usize,
    pub target_factor: u64,
    /// Priority of each queue of the traffic; `None` if it is missing.
    pub priorities: [Option<u32>; CLASSES.len()],
    pub max_attempts: u32,
    /// Share of all accelerators that is guaranteed, in percent.
    pub guaranteed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            extra: 0,
            target_factor: 1,
            priorities: CLASSES.map(|c| Some(c.priority)),
            max_attempts: 4,
            guaranteed: 62,
        }
    }
}

impl Shape {
    pub fn config(&self, version: u64) -> Value {
        let route = |(c, priority): (&traffic::Class, &Option<u32>)| {
            let priority = (*priority)?;
            Some(
                json!({"name": c.queue, "host": "callers.example", "path-prefix": format!("/{}/", c.queue),
                "service": "svc", "priority": priority, "max-attempts": self.max_attempts,
                "slack-factor": 3.0, "target-latency-ms": c.target_ms * self.target_factor}),
            )
        };
        let extra_route = |i: usize| {
            json!({"name": format!("extra-{i}"), "host": "callers.example",
                "path-prefix": format!("/extra-{i}/"), "service": "svc", "priority": 2})
        };
        let routes = iter::zip(&CLASSES, &self.priorities).filter_map(route);
        let routes = routes.chain((0..self.extra).map(extra_route));
        let guaranteed = WORKERS as u64 * ROOM[2] * self.guaranteed / 100 / ORGANISATIONS as u64;
        let api_keys = |i: usize| -> Vec<String> {
            let added = (i..self.extra)
                .step_by(ORGANISATIONS)
                .map(|n| format!("extra-key-{n}"));
            [format!("key-{i}")].into_iter().chain(added).collect()
        };
        let tenant = |i: usize| {
            json!({"name": format!("org-{i}"), "api-keys": api_keys(i),
                "guaranteed": {"gpu": guaranteed}})
        };
        json!({"version": version, "routes": routes.collect::<Vec<_>>(),
            "services": [{"name": "svc", "admission-check": true}],
            "limits": {"max-body-bytes": 262_144},
            "tenants": (0..ORGANISATIONS).map(tenant).collect::<Vec<_>>()})
    }
}
