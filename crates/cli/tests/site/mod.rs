//! Nodes on a stand-in of the users' platform, as a test sees them.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod proxy;

use std::{
    collections::BTreeMap,
    net,
    sync::{Arc, atomic::AtomicBool},
    time,
};

use platform_standin::{store::Store, worker::Worker};
use serde_json::{Value, json};

use crate::common::{self, Answer, Proc, until};
use proxy::Proxy;

/// Longest wait for a takeover and the end of a job; a takeover takes up to 2.5 s.
pub const LIMIT: time::Duration = time::Duration::from_secs(15);
pub const KEY: &str = "key-one";

/// Nodes, a store and workers.
pub struct Site {
    pub nodes: Vec<Proc>,
    /// Addresses of the nodes for operators, which the row of the lease names.
    pub operators: Vec<net::SocketAddr>,
    /// Addresses of the nodes for the balancer.
    pub ready: Vec<net::SocketAddr>,
    /// Whether the store refuses the first node.
    pub first_refused: Arc<AtomicBool>,
    pub store: Store,
    /// Ways from the nodes to the store, where there are proxies.
    pub ways: Vec<Proxy>,
    /// Ways to the workers, where there are proxies.
    pub worker_ways: Vec<Proxy>,
    pub workers: Vec<Worker>,
    _stop: Arc<AtomicBool>,
}

impl Site {
    /// Starts nodes that reach the store and the workers directly.
    pub fn start(test: &str, nodes: usize, workers: usize, run_ms: u64) -> Self {
        Self::build(test, nodes, workers, run_ms, |addr| (addr, None))
    }

    /// Starts nodes that reach the store and the workers through proxies, one for each node and
    /// each worker.
    pub fn start_behind_proxies(test: &str, nodes: usize, workers: usize, run_ms: u64) -> Self {
        Self::build(test, nodes, workers, run_ms, |addr| {
            let proxy = Proxy::start(addr).unwrap();
            (proxy.addr(), Some(proxy))
        })
    }

    fn build(
        test: &str,
        nodes: usize,
        workers: usize,
        run_ms: u64,
        way: impl Fn(net::SocketAddr) -> (net::SocketAddr, Option<Proxy>),
    ) -> Self {
        let dir = common::scratch(test);
        let stop = Arc::new(AtomicBool::new(false));
        let store = Store::start(&stop).unwrap();
        store.put("op", "config", &config(1, &[KEY]));
        let run_time = time::Duration::from_millis(run_ms);
        let start = |_| Worker::start(&stop, run_time).unwrap();
        let workers: Vec<Worker> = (0..workers).map(start).collect();
        let mut worker_ways = Vec::new();
        for (i, worker) in workers.iter().enumerate() {
            let mut entry = worker.entry("r1", "ready");
            let address = entry["address"].as_str().unwrap().parse().unwrap();
            let (address, proxy) = way(address);
            worker_ways.extend(proxy);
            entry["address"] = json!(address);
            store.put("servers", &format!("i-{i}"), &entry);
        }
        let first_refused: Arc<AtomicBool> = Arc::default();
        let entrance = store.serve_refusable(&stop, &first_refused).unwrap();
        let store_of = |i: usize| way(if i == 0 { entrance } else { store.addr() });
        let (stores, ways): (Vec<_>, Vec<_>) = (0..nodes).map(store_of).unzip();
        let operators: Vec<_> = (0..nodes).map(|_| common::free_addr()).collect();
        let ready: Vec<_> = (0..nodes).map(|_| common::free_addr()).collect();
        let node = |i: usize| {
            let front = common::free_addr();
            let cfg = json!({"name": format!("n{i}"), "zone": "z", "listen": front,
                "listen_ready": ready[i], "listen_metrics": operators[i],
                "store": stores[i]});
            Proc::start(
                "node",
                common::write(&dir, &format!("node-{i}"), &cfg),
                front,
            )
        };
        let mut site = Self {
            nodes: (0..nodes).map(node).collect(),
            operators: operators.clone(),
            ready: ready.clone(),
            first_refused,
            store: store.clone(),
            ways: ways.into_iter().flatten().collect(),
            worker_ways,
            workers,
            _stop: stop,
        };
        for i in 0..nodes {
            until("node is ready", LIMIT, || {
                site.nodes[i].assert_running();
                site.get(i, "/q/").filter(|a| a.status == 200)
            });
        }
        site
    }

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
        common::http::send_as(
            "callers.example",
            self.nodes[node].http,
            method,
            path,
            &headers,
            body,
        )
    }

    pub fn get(&self, node: usize, path: &str) -> Option<Answer> {
        self.call(node, "GET", path, KEY, "")
    }

    pub fn submit(&self, node: usize, id: u64, count: u64, gang: bool) -> Option<Answer> {
        let step = json!({"count": count, "cpu": 1_000, "mem-mb": 100, "gpu": 8,
            "estimated-ms": 500, "gang": gang});
        let body = json!({"spec": "work", "steps": [step]}).to_string();
        self.call(node, "POST", &format!("/q/{id:016x}"), KEY, &body)
    }

    pub fn state(&self, node: usize, id: u64) -> String {
        let answer = self.get(node, &format!("/q/{id:016x}"));
        answer.map_or_else(String::new, |a| a.text("state").to_owned())
    }

    pub fn until_state(&self, node: usize, id: u64, state: &str) {
        until(&format!("job {id} is {state}"), LIMIT, || {
            (self.state(node, id) == state).then_some(())
        });
    }

    /// Checks that no subtask ran twice at a time, or again after it was done unless the worker's
    /// lease was over before that was acknowledged; returns the number of runs by job.
    pub fn check_runs(&self) -> BTreeMap<String, usize> {
        let mut tasks: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for run in self.workers.iter().flat_map(Worker::runs) {
            tasks.entry(run.task.clone()).or_default().push(run);
        }
        let mut jobs: BTreeMap<String, usize> = BTreeMap::new();
        for (task, mut runs) in tasks {
            runs.sort_by_key(|r| r.started);
            for pair in runs.windows(2) {
                let ended = pair[0].ended;
                assert!(
                    ended.is_some_and(|(t, _)| t <= pair[1].started),
                    "{task} ran twice: {runs:?}"
                );
                assert!(
                    pair[0].lapsed || ended.is_none_or(|(_, how)| how != "done"),
                    "{task} ran again: {runs:?}"
                );
            }
            let job = task.split('.').next().unwrap_or_default().to_owned();
            *jobs.entry(job).or_default() += runs.len();
        }
        jobs
    }

    /// Returns the index of the node that holds the lease.
    pub fn leader(&self) -> usize {
        until("a node leads", LIMIT, || {
            let row = self.store.get("control", "lease")?;
            let address = row["address"].as_str()?.to_owned();
            self.operators.iter().position(|a| a.to_string() == address)
        })
    }
}

pub fn config(version: u64, keys: &[&str]) -> Value {
    json!({"version": version,
        "routes": [{"name": "q", "host": "callers.example", "path-prefix": "/q/",
            "service": "svc", "priority": 1, "max-attempts": 2, "slack-factor": 3.0,
            "target-latency-ms": 1_000}],
        "services": [{"name": "svc", "admission-check": true}],
        "limits": {"max-body-bytes": 20_000},
        "tenants": [{"name": "org", "api-keys": keys, "guaranteed": {"gpu": 8}}]})
}
