//! Kinds of jobs, workers and configuration of the played load.

use base::clock::Millis;
use batch::{
    config::{Config, Organisation, Queue},
    job::Resources,
    worker::WorkerInfo,
};

pub(crate) const WORKERS: usize = 350;
pub(crate) const WORKERS_PER_RACK: usize = 10;
pub(crate) const ORGANISATIONS: u32 = 12;
pub(crate) const GUARANTEE: u64 = 96;
/// Time in which jobs are submitted, and the time after that in which they may end.
pub(crate) const DURATION: Millis = Millis(50_000);
pub(crate) const DRAIN: Millis = Millis(30_000);
pub(crate) const PASS_INTERVAL: u64 = 20;
/// Time from a decision until its order takes effect at the worker, without the stop itself.
pub(crate) const ORDER_TIME: Millis = Millis(60);
pub(crate) const MAX_STOP_TIME: u64 = 900;
pub(crate) const REPORT_INTERVAL: Millis = Millis(1_500);
pub(crate) const RESTORE_TIME: Millis = Millis(250);
/// Time within which guaranteed work has to start.
pub(crate) const RECLAIM: Millis = Millis(2_700);
pub(crate) const WINDOW: Millis = Millis(2_000);
pub(crate) const WALL_START: Millis = Millis(1_000_000);

pub(crate) struct Kind {
    pub(crate) per_s: f64,
    pub(crate) width: f64,
    pub(crate) run_time: f64,
    /// Standard deviation of the logarithm of run time / estimate.
    pub(crate) estimate_error: f64,
    /// The same after the correction by a forecast.
    pub(crate) corrected_error: f64,
    pub(crate) accelerators: &'static [u64],
    pub(crate) cpu_per_accelerator: u64,
    pub(crate) gang: bool,
    pub(crate) slack: f64,
    pub(crate) target: Millis,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        per_s: 9.2,
        width: 5.0,
        run_time: 2_500.0,
        estimate_error: 0.9,
        corrected_error: 0.3,
        accelerators: &[1, 2, 4, 8, 8],
        cpu_per_accelerator: 940,
        gang: true,
        slack: 1.5,
        target: Millis(300),
    },
    Kind {
        per_s: 1.7,
        width: 13.0,
        run_time: 8_500.0,
        estimate_error: 0.2,
        corrected_error: 0.2,
        accelerators: &[1, 2, 4, 8, 8],
        cpu_per_accelerator: 3_200,
        gang: true,
        slack: 3.0,
        target: Millis(1_000),
    },
    Kind {
        per_s: 2.1,
        width: 39.0,
        run_time: 6_100.0,
        estimate_error: 0.9,
        corrected_error: 0.3,
        accelerators: &[1],
        cpu_per_accelerator: 5_600,
        gang: false,
        slack: 3.0,
        target: Millis(3_000),
    },
];

pub(crate) struct Job {
    pub(crate) kind: usize,
    pub(crate) organisation: u32,
    pub(crate) submitted: Millis,
    pub(crate) objective: Millis,
    pub(crate) work: f64,
    pub(crate) run_time: f64,
    pub(crate) accelerators: u64,
    pub(crate) cores: f64,
    pub(crate) checkpoints: bool,
    pub(crate) ended: Option<Millis>,
    /// Subtasks that have not started.
    pub(crate) to_start: u32,
    /// Time when the last subtask started.
    pub(crate) started: Option<Millis>,
    pub(crate) guaranteed: bool,
}

pub(crate) fn info(i: usize) -> WorkerInfo {
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

pub(crate) fn config() -> Config {
    let queue = |(i, k): (usize, &Kind)| Queue {
        name: format!("q{i}").into(),
        host: "h".into(),
        path_prefix: format!("/q{i}/").into(),
        service: "svc".into(),
        priority: i as u32,
        max_attempts: 3,
        slack_factor: k.slack,
        target_latency: k.target,
        public: false,
        policy: None,
    };
    let organisation = |i: u32| Organisation {
        name: format!("org-{i}").into(),
        api_keys: vec![format!("key-{i}").into()],
        guaranteed_accelerators: GUARANTEE,
    };
    Config {
        version: 1,
        queues: KINDS.iter().enumerate().map(queue).collect(),
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        services_without_admission_check: Vec::new(),
        max_body_bytes: 262_144,
    }
}
