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
    /// Address to listen on; port 0 takes a free port.
    pub listen: net::SocketAddr,
    /// Name, rack, data centre and sizes of the worker.
    pub info: WorkerInfo,
    /// Time after which a hold expires.
    pub hold_ms: Millis,
    /// Most connections at once.
    pub connections: usize,
    /// Behaviour at the start.
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

/// How a worker treats its tasks. `PUT /behaviour` replaces the whole state.
///
/// ```
/// let b: standin::worker_cfg::Behaviour = serde_json::from_str(r#"{"run_ms":50}"#).unwrap();
/// assert_eq!(b.run_ms.0, 50);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Run time of tasks whose job is not listed.
    pub run_ms: Millis,
    /// Run times and memory use by job.
    pub jobs: Vec<JobBehaviour>,
    /// Every task fails as soon as it is started.
    pub fails_all: bool,
    /// Every hold is refused.
    pub refuses_holds: bool,
    /// The worker takes calls, does nothing and never answers; its tasks keep running.
    pub silent: bool,
    /// Time from an order to stop, or from the lapse of a lease, to the end of the task.
    pub stop_ms: Millis,
    /// Age of the memory use that is reported.
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
    /// Memory in use while a task runs and is not throttled; the declared memory if absent.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Whether its tasks fail at the end of their run time.
    #[serde(default)]
    pub fails: bool,
}
