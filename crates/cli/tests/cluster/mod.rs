//! Nodes as real processes on stand-ins for the users' platform.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod proxy;

use std::{
    collections::BTreeMap,
    net,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use platform_standin::{
    store::Store,
    worker::{Gangs, Reborn, Worker},
};
use serde_json::{Value, json};

use crate::common::{self, Answer, Process, wait_until};
use proxy::{Link, Proxy};

/// Time limit for a condition, such as a takeover or the end of a job; a takeover takes up to 1.7 s.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Maximum size of a row in the settings of the nodes. It is below the limit of the store, so that
/// the progress of a job with hundreds of subtasks takes several rows.
pub const ROW_BYTES: usize = 16 << 10;
/// Interval at which workers write their entries in the VM list.
const REGISTER_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// API key of the organisation in the first configuration.
pub const API_KEY: &str = "key-one";

/// What a node connects to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Peer {
    Store,
    Worker,
}

/// Running nodes with their store and workers.
pub struct Cluster {
    pub nodes: Vec<Process>,
    /// Addresses of the nodes' interface for operators, one of which is in the lease row.
    pub operator_addrs: Vec<net::SocketAddr>,
    /// Addresses at which the load balancer asks for the nodes' readiness.
    pub ready_addrs: Vec<net::SocketAddr>,
    /// Whether the store refuses the first node.
    pub refuse_first_node: Arc<AtomicBool>,
    pub store: Store,
    /// Proxies between the nodes and the store, by node; empty without proxies.
    pub store_proxies: Vec<Proxy>,
    /// Proxies in front of the workers, by worker; empty without proxies.
    pub worker_proxies: Vec<Proxy>,
    pub workers: Vec<Worker>,
    stop: Arc<AtomicBool>,
}

impl Cluster {
    /// Starts nodes that connect to the store and the workers directly.
    pub fn start(test: &str, nodes: usize, workers: usize, run_ms: u64) -> Self {
        Self::start_reborn(test, nodes, workers, run_ms, Reborn::OtherId)
    }

    /// Starts nodes; `reborn` tells under which id a crashed worker comes back.
    pub fn start_reborn(
        test: &str,
        nodes: usize,
        workers: usize,
        run_ms: u64,
        reborn: Reborn,
    ) -> Self {
        let settings = json!({});
        Self::build(
            test,
            nodes,
            workers,
            run_ms,
            reborn,
            &settings,
            |_, addr| (addr, None),
        )
    }

    /// Starts nodes with further settings.
    pub fn start_with_settings(
        test: &str,
        nodes: usize,
        workers: usize,
        run_ms: u64,
        settings: &Value,
    ) -> Self {
        let reborn = Reborn::OtherId;
        Self::build(test, nodes, workers, run_ms, reborn, settings, |_, addr| {
            (addr, None)
        })
    }

    /// Starts nodes that connect to the store and the workers through proxies, one for each node
    /// and each worker.
    pub fn start_behind_proxies(test: &str, nodes: usize, workers: usize, run_ms: u64) -> Self {
        Self::start_reborn_behind_proxies(test, nodes, workers, run_ms, Reborn::OtherId)
    }

    /// Starts such nodes; `reborn` tells under which id a crashed worker comes back.
    pub fn start_reborn_behind_proxies(
        test: &str,
        nodes: usize,
        workers: usize,
        run_ms: u64,
        reborn: Reborn,
    ) -> Self {
        let settings = json!({});
        Self::build(test, nodes, workers, run_ms, reborn, &settings, proxied)
    }

    /// Starts such nodes with further settings.
    pub fn start_behind_proxies_with_settings(
        test: &str,
        nodes: usize,
        workers: usize,
        run_ms: u64,
        settings: &Value,
    ) -> Self {
        let reborn = Reborn::OtherId;
        Self::build(test, nodes, workers, run_ms, reborn, settings, proxied)
    }

    /// Starts one node whose connections to the `peers` share a link.
    pub fn start_on_link(
        test: &str,
        workers: usize,
        run_ms: u64,
        link: &Link,
        peers: &[Peer],
    ) -> Self {
        let (reborn, settings) = (Reborn::OtherId, json!({}));
        Self::build(test, 1, workers, run_ms, reborn, &settings, |peer, addr| {
            let link = peers.contains(&peer).then(|| link.clone());
            let proxy = Proxy::start_on(addr, link).unwrap();
            (proxy.addr(), Some(proxy))
        })
    }

    fn build(
        test: &str,
        nodes: usize,
        workers: usize,
        run_ms: u64,
        reborn: Reborn,
        settings: &Value,
        connect: impl Fn(Peer, net::SocketAddr) -> (net::SocketAddr, Option<Proxy>),
    ) -> Self {
        let dir = common::temp_dir(test);
        let stop = Arc::new(AtomicBool::new(false));
        let store = Store::start(&stop).unwrap();
        store.put("op", "config", &config(1, &[API_KEY]));
        let run_time = time::Duration::from_millis(run_ms);
        let start = |i| Worker::start(&stop, &format!("i-{i}"), run_time, reborn).unwrap();
        let workers: Vec<Worker> = (0..workers).map(start).collect();
        let gangs = Gangs::default();
        for worker in &workers {
            worker.share_gangs(&gangs);
        }
        let mut worker_proxies = Vec::new();
        let mut registrations = Vec::new();
        for worker in &workers {
            let (address, proxy) = connect(Peer::Worker, worker.addr());
            worker_proxies.extend(proxy);
            let mut registration = Registration::new(worker.clone(), address);
            registration.update(&store);
            registrations.push(registration);
        }
        keep_registered(registrations, store.clone(), stop.clone());
        let refuse_first_node: Arc<AtomicBool> = Arc::default();
        let refusable_addr = store.serve_refusable(&stop, &refuse_first_node).unwrap();
        let store_addr = |i: usize| if i == 0 { refusable_addr } else { store.addr() };
        let store_for = |i: usize| connect(Peer::Store, store_addr(i));
        let (stores, store_proxies): (Vec<_>, Vec<_>) = (0..nodes).map(store_for).unzip();
        let operator_addrs: Vec<_> = (0..nodes).map(|_| common::free_addr()).collect();
        let ready_addrs: Vec<_> = (0..nodes).map(|_| common::free_addr()).collect();
        let node = |i: usize| {
            let callers_addr = common::free_addr();
            let mut cfg = json!({"name": format!("n{i}"), "zone": "z", "listen": callers_addr,
                "listen_ready": ready_addrs[i], "listen_metrics": operator_addrs[i],
                "store": stores[i], "row_bytes": ROW_BYTES});
            for (name, value) in settings.as_object().into_iter().flatten() {
                cfg[name] = value.clone();
            }
            Process::start(
                "node",
                common::write_settings(&dir, &format!("node-{i}"), &cfg),
                callers_addr,
            )
        };
        let mut cluster = Self {
            nodes: (0..nodes).map(node).collect(),
            operator_addrs: operator_addrs.clone(),
            ready_addrs: ready_addrs.clone(),
            refuse_first_node,
            store: store.clone(),
            store_proxies: store_proxies.into_iter().flatten().collect(),
            worker_proxies,
            workers,
            stop,
        };
        for i in 0..nodes {
            wait_until("node is ready", TIMEOUT, || {
                cluster.nodes[i].assert_running();
                cluster.get(i, "/q/").filter(|a| a.status == 200)
            });
        }
        cluster
    }

    /// Starts a further worker, which keeps its id, and writes its entry in the VM list.
    pub fn add_worker(&mut self, run_ms: u64) {
        let id = format!("i-{}", self.workers.len());
        let run_time = time::Duration::from_millis(run_ms);
        let worker = Worker::start(&self.stop, &id, run_time, Reborn::SameId).unwrap();
        let mut registration = Registration::new(worker.clone(), worker.addr());
        registration.update(&self.store);
        keep_registered(vec![registration], self.store.clone(), self.stop.clone());
        self.workers.push(worker);
    }

    /// Sends a request to a node as a caller with an API key.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<Answer> {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        common::http::send_with_host(
            "callers.example",
            self.nodes[node].http,
            method,
            path,
            &headers,
            body,
        )
    }

    /// Sends a `GET` with the API key of the organisation.
    pub fn get(&self, node: usize, path: &str) -> Option<Answer> {
        self.call(node, "GET", path, API_KEY, "")
    }

    /// Submits a job with one step of `count` subtasks that take a whole worker each.
    pub fn submit(&self, node: usize, id: u64, count: u64, gang: bool) -> Option<Answer> {
        self.submit_text(node, id, "work", count, gang)
    }

    /// Submits such a job with a text, which tells the workers what it does.
    pub fn submit_text(
        &self,
        node: usize,
        id: u64,
        text: &str,
        count: u64,
        gang: bool,
    ) -> Option<Answer> {
        let step = json!({"count": count, "cpu": 1_000, "mem-mb": 100, "gpu": 8,
            "estimated-ms": 500, "gang": gang});
        self.submit_step(node, id, text, &step)
    }

    /// Submits a job with one step.
    pub fn submit_step(&self, node: usize, id: u64, text: &str, step: &Value) -> Option<Answer> {
        let body = json!({"spec": text, "steps": [step]}).to_string();
        self.call(node, "POST", &format!("/q/{id:016x}"), API_KEY, &body)
    }

    /// Returns the state of a job; empty without an answer.
    pub fn state(&self, node: usize, id: u64) -> String {
        let answer = self.get(node, &format!("/q/{id:016x}"));
        answer.map_or_else(String::new, |a| a.text("state").to_owned())
    }

    /// Waits until a node reports that a job is in a state.
    pub fn wait_for_state(&self, node: usize, id: u64, state: &str) {
        wait_until(&format!("job {id} is {state}"), TIMEOUT, || {
            (self.state(node, id) == state).then_some(())
        });
    }

    /// Checks the runs of all workers; see [`check_runs`].
    pub fn check_runs(&self) -> BTreeMap<String, usize> {
        check_runs(&self.workers)
    }

    /// Returns the index of the node that holds the lease.
    pub fn leader(&self) -> usize {
        wait_until("a node leads", TIMEOUT, || {
            let row = self.store.get("control", "lease")?;
            let address = row["address"].as_str()?.to_owned();
            self.operator_addrs
                .iter()
                .position(|a| a.to_string() == address)
        })
    }
}

/// Asserts that no subtask ran twice at the same time, nor again after it was done, unless the
/// worker's lease ended before the completion was acknowledged. Returns the number of runs by
/// job.
pub fn check_runs(workers: &[Worker]) -> BTreeMap<String, usize> {
    let mut tasks: BTreeMap<String, Vec<_>> = BTreeMap::new();
    for run in workers.iter().flat_map(Worker::runs) {
        tasks.entry(run.task.clone()).or_default().push(run);
    }
    let mut jobs: BTreeMap<String, usize> = BTreeMap::new();
    for (task, mut runs) in tasks {
        runs.sort_by_key(|r| r.started);
        for pair in runs.windows(2) {
            let first_end = pair[0].ended;
            assert!(
                first_end.is_some_and(|(t, _)| t <= pair[1].started),
                "{task} ran twice at the same time: {runs:?}"
            );
            assert!(
                pair[0].lapsed || first_end.is_none_or(|(_, how)| how != "done"),
                "{task} ran again after it was done: {runs:?}"
            );
        }
        let job = task.split('.').next().unwrap_or_default().to_owned();
        *jobs.entry(job).or_default() += runs.len();
    }
    jobs
}

fn proxied(_: Peer, addr: net::SocketAddr) -> (net::SocketAddr, Option<Proxy>) {
    let proxy = Proxy::start(addr).unwrap();
    (proxy.addr(), Some(proxy))
}

/// Entry of a worker in the VM list.
struct Registration {
    worker: Worker,
    /// Address that the entry names, which may be that of a proxy.
    address: net::SocketAddr,
    /// Id in the list; `None` while the worker is not listed.
    listed: Option<String>,
}

impl Registration {
    fn new(worker: Worker, address: net::SocketAddr) -> Self {
        let listed = None;
        Self {
            worker,
            address,
            listed,
        }
    }

    /// Writes the worker's entry, and removes the one of its life before.
    fn update(&mut self, store: &Store) {
        let Some((id, mut entry)) = self.worker.entry("r1", "ready") else {
            return;
        };
        if store.is_out() {
            return;
        }
        entry["address"] = json!(self.address);
        store.put("servers", &id, &entry);
        if let Some(old) = self.listed.replace(id.clone())
            && old != id
        {
            store.delete("servers", &old);
        }
    }
}

/// Keeps the entries of the workers up to date until `stop` is set.
fn keep_registered(mut registrations: Vec<Registration>, store: Store, stop: Arc<AtomicBool>) {
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            for registration in &mut registrations {
                registration.update(&store);
            }
            thread::sleep(REGISTER_INTERVAL);
        }
    });
}

/// Returns the configuration row with one organisation and its API keys.
pub fn config(version: u64, keys: &[&str]) -> Value {
    json!({"version": version,
        "routes": [{"name": "q", "host": "callers.example", "path-prefix": "/q/",
            "service": "svc", "priority": 1, "max-attempts": 2, "slack-factor": 3.0,
            "target-latency-ms": 1_000}],
        "services": [{"name": "svc", "admission-check": true}],
        "limits": {"max-body-bytes": 20_000},
        "tenants": [{"name": "org", "api-keys": keys, "guaranteed": {"gpu": 8}}]})
}
