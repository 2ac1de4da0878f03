//! Test cluster of stand-ins for the platform and the workers, and of real schedulers.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod history;
pub mod relay;

use std::{future::Future, net};

use base::{
    clock::{self, Millis},
    name::Name,
};
use plan::{event::WorkerInfo, record::JobRecord};
use sched::cfg::Settings;
use schema::{
    job::{Job, Phase, StopMode},
    shape::{Adjacency, Shape},
};
use standin::{platform, platform_cfg::PlatformCfg, worker, worker_cfg::WorkerCfg};
use store::vm::{Vm, VmRole, VmState};
use wire::{
    client::Client,
    message::{JobStatus, Reply, Request},
};

/// Maximum wait for a condition; longer than a takeover of the lease.
pub const LIMIT: Millis = Millis(15_000);

pub struct Cluster {
    pub platform: platform::Handle,
    pub workers: worker::Handle,
    pub schedulers: Vec<sched::Handle>,
}

impl Cluster {
    pub fn new(workers: usize, schedulers: usize) -> Self {
        let platform = platform::start(PlatformCfg::default()).unwrap();
        let workers = worker::start_all((0..workers).map(worker_cfg).collect()).unwrap();
        let mut cluster = Self {
            platform,
            workers,
            schedulers: Vec::new(),
        };
        cluster.platform.set_vms(cluster.vms());
        for _ in 0..schedulers {
            cluster.add_scheduler(|_| {});
        }
        cluster
    }

    pub fn vms(&self) -> Vec<Vm> {
        let vm = |(i, addr): (usize, &net::SocketAddr)| Vm {
            name: worker_cfg(i).info.name,
            address: *addr,
            data_centre: name("dc-1"),
            role: VmRole::Worker {
                rack: worker_cfg(i).info.rack,
            },
            state: VmState::Live,
        };
        self.workers.addrs().iter().enumerate().map(vm).collect()
    }

    pub fn add_scheduler(&mut self, change: impl FnOnce(&mut Settings)) {
        let mut cfg = Settings {
            platform: self.platform.addr(),
            ..Settings::default()
        };
        change(&mut cfg);
        self.schedulers.push(sched::start(cfg).unwrap());
    }

    /// Waits for a leader and returns its index.
    pub async fn leader(&self) -> usize {
        eventually("a scheduler leads", async || {
            for (i, sched) in self.schedulers.iter().enumerate() {
                let list = Request::Jobs {
                    organisation: None,
                    limit: 0,
                };
                let client = Client::new(sched.addr()).with_timeout(Millis(300));
                if matches!(client.call(&list).await, Ok(Reply::Jobs { .. })) {
                    return Some(i);
                }
            }
            None
        })
        .await
    }

    pub async fn client(&self) -> Client {
        Client::new(self.schedulers[self.leader().await].addr())
    }

    /// Creates the organisation `org` with the team `team` and waits until all workers are up.
    pub async fn configure(&self) -> Client {
        let client = self.client().await;
        let reply = client.call(&apply(1, None, &base_records())).await.unwrap();
        assert_eq!(reply, Reply::Applied { revision: 1 });
        eventually("all workers are up", async || {
            let leader = &self.schedulers[self.leader().await];
            let metrics = get(leader.http_addr(), "/metrics").await;
            let up = format!("sched_workers_up {}\n", self.workers.addrs().len());
            metrics.contains(&up).then_some(())
        })
        .await;
        client
    }

    /// Returns the stored record of a job of any organisation.
    pub fn record(&self, job: &str) -> Option<JobRecord> {
        let rows = self.platform.rows("job/");
        let end = format!("/{job}");
        let row = rows.iter().find(|r| r.key.ends_with(&end))?;
        Some(serde_json::from_str(&row.value).unwrap())
    }

    pub async fn wait_for_phase(&self, job: &str, phase: Phase) -> JobRecord {
        let what = format!("{job} is {phase}");
        eventually(&what, async || {
            self.record(job).filter(|r| r.phase == phase)
        })
        .await
    }

    pub async fn wait_for_running(&self, job: &str, members: usize) {
        eventually(&format!("{job} runs"), async || {
            (self.running(job) == members).then_some(())
        })
        .await;
    }

    /// Returns the number of running tasks of the job.
    pub fn running(&self, job: &str) -> usize {
        let runs = self
            .workers
            .workers()
            .iter()
            .flat_map(worker::Worker::history);
        runs.filter(|r| r.attempt.job.name.as_str() == job && r.ended_at.is_none())
            .count()
    }
}

pub fn name(s: &str) -> Name {
    s.parse().unwrap()
}

pub fn worker_cfg(i: usize) -> WorkerCfg {
    WorkerCfg {
        info: WorkerInfo {
            name: name(&format!("worker-{i}")),
            rack: name(&format!("rack-{}", i / 8)),
            ..WorkerCfg::default().info
        },
        ..WorkerCfg::default()
    }
}

pub fn base_records() -> Vec<String> {
    vec![
        "{schema: 2, kind: 'organisation', spec: {name: 'org'}}".into(),
        "{schema: 2, kind: 'team', spec: {organisation: 'org', name: 'team', quota_accelerators: 9999}}"
            .into(),
    ]
}

pub fn apply(change: u64, expected_revision: Option<u64>, records: &[String]) -> Request {
    Request::Apply {
        change,
        operator: name("tester"),
        records: records.to_vec(),
        expected_revision,
    }
}

/// Returns a job with a gang of `members` that use `accelerators` each.
pub fn job(job: &str, members: u16, accelerators: u16) -> Job {
    Job {
        organisation: name("org"),
        team: name("team"),
        name: name(job),
        kind: name("test"),
        shape: Shape {
            members,
            accelerators,
            cores: 1,
            memory_mb: 64,
            adjacency: Adjacency::DataCentre,
        },
        run_time_ms: Millis(60_000),
        urgent: false,
        stop: StopMode::Checkpoint,
    }
}

pub async fn submit(client: &Client, job: Job) -> JobStatus {
    match client.call(&Request::Submit { job }).await {
        Ok(Reply::Job { status }) => status,
        other => panic!("{other:?}"),
    }
}

pub fn cancel(job: &str) -> Request {
    Request::Cancel {
        organisation: name("org"),
        job: name(job),
    }
}

pub fn status(job: &str) -> Request {
    Request::JobStatus {
        organisation: name("org"),
        job: name(job),
    }
}

/// Polls `f` until it returns a value; panics after [`LIMIT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, f: impl Fn() -> F) -> T {
    let start = clock::now();
    loop {
        if let Some(found) = f().await {
            return found;
        }
        assert!(
            clock::now().since(start) < LIMIT,
            "timed out after {LIMIT}: {what}"
        );
        pause(5).await;
    }
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Millis(ms).to_duration()).await;
}

pub async fn get(addr: net::SocketAddr, path: &str) -> String {
    let client = ntex::client::Client::new().await;
    let url = format!("http://{addr}{path}");
    let resp = client.get(url).send().await.unwrap();
    String::from_utf8(resp.body().await.unwrap().to_vec()).unwrap()
}

/// Shortens the lease so that a takeover takes two seconds instead of seven.
pub fn fast_lease(cfg: &mut Settings) {
    cfg.lease.renew_ms = Millis(250);
    cfg.lease.hold_ms = Millis(1_000);
    cfg.lease.take_ms = Millis(1_500);
    cfg.lease.look_ms = Millis(100);
}
