//! Settings and behaviour of the worker stand-in.

use std::net;

use base::{clock::Millis, name::Name};
use plan::event::WorkerInfo;
use serde::{Deserialize, Serialize};

/// Settings of one worker.
///
/// ```
/// let text = r#"{"hold_ms":500,"behaviour":{"run_ms":50}}"#;
/// let cfg: standin::worker_cfg::WorkerCfg = serde_json::from_str(text).unwrap();
/// assert_eq!((cfg.hold_ms.0, cfg.info.accelerators), (500, 8));
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerCfg {
    /// Address to listen on; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Name, rack, data centre and resources of the worker.
    pub info: WorkerInfo,
    /// Time after which a hold expires.
    pub hold_ms: Millis,
    /// Maximum number of open connections; further ones are closed without an answer.
    pub connections: usize,
    /// Initial behaviour.
    pub behaviour: Behaviour,
}

impl Default for WorkerCfg {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            info: WorkerInfo {
                name: name("worker-1"),
                rack: name("rack-1"),
                data_centre: name("dc-1"),
                accelerators: 8,
                cores: 64,
                memory_mb: 256 << 10,
            },
            hold_ms: Millis(20_000),
            connections: 256,
            behaviour: Behaviour::default(),
        }
    }
}

fn name(s: &str) -> Name {
    s.parse().expect("the default names are valid")
}

/// Simulated behaviour of a worker and its tasks. `PUT /behaviour` replaces all fields.
///
/// ```
/// use standin::worker_cfg::Behaviour;
///
/// let behaviour: Behaviour = serde_json::from_str(r#"{"run_ms":50}"#).unwrap();
/// assert_eq!(behaviour.run_ms.0, 50);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Run time of tasks whose job is not listed in `jobs`.
    pub run_ms: Millis,
    /// Behaviour of the tasks of individual jobs.
    pub jobs: Vec<JobBehaviour>,
    /// Whether every task fails as soon as it is started.
    pub fails_all: bool,
    /// Whether every hold is refused.
    pub refuses_holds: bool,
    /// Whether the worker reads requests, does nothing and never answers. Its tasks keep running.
    pub silent: bool,
    /// Time from an order to stop, or from the expiry of a lease, to the end of the task.
    pub stop_ms: Millis,
    /// Time after the start of a task during which its memory use is reported as 0.
    pub usage_lag_ms: Millis,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            run_ms: Millis::from_secs(60),
            jobs: Vec::new(),
            fails_all: false,
            refuses_holds: false,
            silent: false,
            stop_ms: Millis(20),
            usage_lag_ms: Millis::ZERO,
        }
    }
}

/// Behaviour of the tasks of one job.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobBehaviour {
    /// Name of the job, in any organisation.
    pub job: Name,
    /// Run time of its tasks.
    pub run_ms: Millis,
    /// Memory use of a running task that is not throttled, in MiB; the declared memory if absent.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Whether its tasks fail at the end of their run time.
    #[serde(default)]
    pub fails: bool,
}
