//! Jobs, workers and configuration of the comparison.

use base::clock::Millis;
use batch::{
    config::{Config, Queue},
    job::{Resources, SubtaskId, Text},
    worker::WorkerInfo,
};

use crate::WORKERS_PER_RACK;

/// One kind of jobs.
#[derive(Clone, Copy)]
pub struct Class {
    pub per_s: f64,
    pub width: u32,
    pub base: f64,
    pub accelerators: &'static [u64],
    pub gang: bool,
    pub same_rack: f64,
    pub slack: f64,
    pub target: Millis,
    /// Standard deviation of the logarithm of estimate / base time.
    pub estimate_error: f64,
}

const SIZES: &[u64] = &[1, 2, 4, 8, 8];

/// Kinds of the deployment whose workers differ.
pub const KINDS: [Class; 3] = [
    Class {
        per_s: 6.5,
        width: 5,
        base: 2_100.0,
        accelerators: SIZES,
        gang: true,
        same_rack: 0.5,
        slack: 1.5,
        target: Millis(250),
        estimate_error: 0.18,
    },
    Class {
        per_s: 1.2,
        width: 13,
        base: 7_200.0,
        accelerators: SIZES,
        gang: true,
        same_rack: 0.0,
        slack: 2.5,
        target: Millis(1_000),
        estimate_error: 0.9,
    },
    Class {
        per_s: 1.2,
        width: 39,
        base: 6_500.0,
        accelerators: &[1],
        gang: false,
        same_rack: 0.0,
        slack: 4.0,
        target: Millis(2_000),
        estimate_error: 0.9,
    },
];

pub fn subtask(job: &Text, index: usize) -> SubtaskId {
    SubtaskId {
        job: job.clone(),
        occurrence: 0,
        step: 0,
        index,
    }
}

pub fn info(i: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{i:04}").into(),
        service: "svc".into(),
        address: format!("127.0.0.1:{}", i + 1).into(),
        machine: Some(format!("m{i}").into()),
        zone: "z".into(),
        draining: false,
        remaining: None,
        cold: None,
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

pub fn config() -> Config {
    let queue = |(i, c): (usize, &Class)| Queue {
        name: format!("q{i}").into(),
        host: "h".into(),
        path_prefix: format!("/q{i}/").into(),
        service: "svc".into(),
        priority: i as u32,
        max_attempts: 3,
        slack_factor: c.slack,
        target_latency: c.target,
        public: false,
        policy: None,
    };
    Config {
        version: 1,
        queues: KINDS.iter().enumerate().map(queue).collect(),
        organisations: Vec::new(),
        services_without_admission_check: Vec::new(),
        max_body_bytes: 262_144,
    }
}
