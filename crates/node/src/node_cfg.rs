//! Settings of a node.

use std::{fmt, mem, net};

use base::{clock::Millis, number};
use lease::lease_cfg::LeaseCfg;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use settings::{CfgError, Replaced};

use crate::{cx, evacuation::MIN_EVACUATE_MS};

/// Settings of a node, as JSON with comments.
///
/// ```
/// let cfg = node::node_cfg::read("{ name: 'n1' /* any text */ }").unwrap();
/// assert_eq!(cfg.name, "n1");
/// let small = node::node_cfg::read("{ cpu_share: 0.12 }").unwrap();
/// assert!(small.lease.yield_ms > cfg.lease.yield_ms);
/// let e = node::node_cfg::read("{ row_bytes: 10 }").unwrap_err();
/// assert!(e.to_string().contains("row_bytes: invalid value 10: must be at least 8192"));
/// let e = node::node_cfg::read("{ link_mbps: 0 }").unwrap_err();
/// assert!(e.to_string().contains("link_mbps: invalid value 0.0: must be at least 0.032"));
/// let e = node::node_cfg::read("{ evacuate_ms: 500 }").unwrap_err();
/// assert!(e.to_string().contains("evacuate_ms: invalid value 500: must be at least 2000"));
/// let e = node::node_cfg::read("{ nmae: 'n1' }").unwrap_err();
/// assert!(e.to_string().contains("nmae: invalid value \"n1\": unknown setting"));
/// ```
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeCfg {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub zone: String,
    /// Address at which callers are served.
    pub listen: net::SocketAddr,
    /// Address of the readiness check.
    pub listen_ready: net::SocketAddr,
    /// Address for operators and other nodes: metrics, state dump and queries about the store.
    pub listen_metrics: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Maximum size of the value of a row of the store, in bytes.
    #[serde(deserialize_with = "number::floor")]
    pub row_bytes: usize,
    /// Address of the policy service; `None` if no queue requires tickets.
    pub policy: Option<net::SocketAddr>,
    /// Maximum number of open connections of callers, if memory and descriptors suffice for them. An idle
    /// one takes about 10 KB.
    pub connections: usize,
    /// Maximum duration of a lease that is granted to a worker.
    #[serde(deserialize_with = "number::floor")]
    pub worker_lease_ms: Millis,
    /// Interval at which workers write their entries in the VM list.
    #[serde(deserialize_with = "number::ceil")]
    pub worker_heartbeat_ms: Millis,
    /// Time after which a worker that has announced its shutdown gets no new work.
    #[serde(deserialize_with = "number::floor")]
    pub worker_drain_ms: Millis,
    /// Maximum time that a stop takes at a worker.
    #[serde(deserialize_with = "number::ceil")]
    pub worker_stop_ms: Millis,
    /// Time after which every node refuses a removed API key.
    #[serde(deserialize_with = "number::floor")]
    pub revoke_ms: Millis,
    /// Time after a request to evacuate a data centre from which on no subtask starts there; `None` if
    /// there are no such requests.
    #[serde(deserialize_with = "number::floor_option")]
    pub evacuate_ms: Option<Millis>,
    /// Time that a run needs to continue from a checkpoint.
    #[serde(deserialize_with = "number::ceil")]
    pub restore_ms: Millis,
    /// Time for which the phase of a job can be read after its end.
    #[serde(deserialize_with = "number::ceil")]
    pub keep_ms: Millis,
    /// Maximum time from SIGTERM to the exit of the process.
    #[serde(deserialize_with = "number::floor")]
    pub grace_ms: Millis,
    /// Share of a core that the process may use on the VM.
    pub cpu_share: f64,
    /// Memory of the VM in MiB.
    #[serde(deserialize_with = "number::floor")]
    pub memory_mb: usize,
    /// Maximum number of file descriptors of the process; `None` if there is no such limit.
    #[serde(deserialize_with = "number::floor_option")]
    pub max_fds: Option<usize>,
    /// Speed of the VM's core, as a multiple of a standard core.
    pub cores: f64,
    /// Bandwidth of the VM's link in Mbit/s.
    pub link_mbps: f64,
    /// Settings of the leader lease.
    pub lease: LeaseCfg,
}

/// Processing capacity, in cores, below which a VM yields the lease to others. The leader of 3,000
/// workers used 0.24 of a core (docs/CAPACITY.md).
const LEADER_CORES: f64 = 0.25;
/// Time for which such a VM yields the lease to others. A candidate reads the lease every 0.5 s.
const YIELD_TIME: Millis = Millis(700);

/// Minimum of [`NodeCfg::cpu_share`] and [`NodeCfg::cores`].
const MIN_CORES: f64 = 0.01;

/// Number of long transfers for which the link has room at once.
const LINK_SHARES: f64 = 4.0;
/// Bytes per ms that a link of 1 Mbit/s carries.
const BYTES_PER_MS: f64 = 125.0;
/// Minimum of [`NodeCfg::link_mbps`]: each share is a byte per ms.
const MIN_LINK_MBPS: f64 = LINK_SHARES / BYTES_PER_MS;

/// Memory of the smallest VM in MiB.
const SMALLEST_MEMORY_MB: usize = 120;
/// Minimum of [`NodeCfg::memory_mb`]: a body of the default limit fits in the budget.
const MIN_MEMORY_MB: usize = 16;
/// Part of the memory for request bodies. A leader of the design size takes about half of the smallest
/// VM (docs/CAPACITY.md), connections take a quarter.
const BODY_MEMORY_PART: usize = 8;
/// Number of connections per MiB of memory: each may hold an incomplete head of 16 KiB, all of them a
/// quarter of the memory.
const CONNECTIONS_PER_MB: usize = 16;
/// Number of descriptors that are not for callers: 200 for files, those of the connections to workers,
/// 100 for the store, the policy service and other nodes, and the connections of the two other listeners.
const OTHER_FDS: usize =
    200 + cx::WORKER_CONNECTIONS + 100 + 2 * (MAX_OPERATORS + SPARE_CONNECTIONS);
/// Connections over a limit which get a refusal.
const SPARE_CONNECTIONS: usize = 64;
/// Maximum number of connections of operators, other nodes and the readiness check, for each of the
/// two listeners.
const MAX_OPERATORS: usize = 64;
/// Minimum number of callers' connections.
const MIN_CONNECTIONS: usize = 64;

/// Minimum of [`NodeCfg::row_bytes`]: a job with a text of 4,000 bytes fits in one row.
const MIN_ROW_BYTES: usize = 8 << 10;

impl NodeCfg {
    /// Returns the rate, in bytes per ms, at which a request is sent at least.
    pub(crate) fn min_send_rate(&self) -> u64 {
        (self.link_mbps * BYTES_PER_MS / LINK_SHARES) as u64
    }

    /// Returns the budget of bytes for request bodies under way.
    pub(crate) const fn body_memory(&self) -> usize {
        (self.memory_mb << 20) / BODY_MEMORY_PART
    }

    /// Returns the maximum number of callers' connections, for which memory and descriptors suffice.
    pub(crate) fn callers(&self) -> usize {
        let by_memory = self.memory_mb * CONNECTIONS_PER_MB;
        let free_fds = |fds: usize| fds.saturating_sub(OTHER_FDS + SPARE_CONNECTIONS);
        let by_fds = self.max_fds.map_or(usize::MAX, free_fds);
        let max = self.connections.min(by_memory).min(by_fds);
        max.max(MIN_CONNECTIONS.min(self.connections))
    }

    /// Returns the maximum number of connections of each other listener.
    pub(crate) fn operators(&self) -> usize {
        self.connections.min(MAX_OPERATORS)
    }
}

impl Default for NodeCfg {
    fn default() -> Self {
        let loopback = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "node".into(),
            zone: String::new(),
            listen: loopback,
            listen_ready: loopback,
            listen_metrics: loopback,
            store: loopback,
            row_bytes: 1 << 16,
            policy: None,
            connections: 2_000,
            worker_lease_ms: Millis(6_000),
            worker_heartbeat_ms: Millis(1_500),
            worker_drain_ms: Millis(2_000),
            worker_stop_ms: Millis(1_000),
            revoke_ms: Millis(5_000),
            evacuate_ms: None,
            restore_ms: Millis(600),
            keep_ms: Millis::from_secs(120),
            grace_ms: Millis(6_000),
            // A takeover takes at most 1.7 s, well below the 6 s leases of workers. A store that takes
            // 0.9 s for a transaction does not end a leadership, because each commit renews the lease.
            lease: LeaseCfg {
                renew_ms: Millis(300),
                hold_ms: Millis(900),
                take_ms: Millis(1_150),
                look_ms: Millis(500),
                yield_ms: Millis::ZERO,
            },
            cpu_share: 1.0,
            memory_mb: SMALLEST_MEMORY_MB,
            max_fds: None,
            cores: 1.0,
            link_mbps: 2.0,
        }
    }
}

/// Settings that the platform's template takes from the deployment, sorted.
const FIGURES: [&str; 15] = [
    "cores",
    "cpu_share",
    "evacuate_ms",
    "grace_ms",
    "keep_ms",
    "link_mbps",
    "max_fds",
    "memory_mb",
    "restore_ms",
    "revoke_ms",
    "row_bytes",
    "worker_drain_ms",
    "worker_heartbeat_ms",
    "worker_lease_ms",
    "worker_stop_ms",
];

/// Parses settings. Missing values have their defaults; a duration may also be given in seconds, such
/// as `grace_s` for `grace_ms`. A number with a fraction is rounded to the safe side.
///
/// # Errors
///
/// Returns the path and the value of the first invalid setting, and what was expected.
pub fn read(text: &str) -> Result<NodeCfg, CfgError> {
    let replaced = read_for_start(text)?;
    let first = replaced.problems.into_iter().next();
    first.map_or(Ok(replaced.settings), Err)
}

/// Parses settings as [`read`] does, but replaces figures of the deployment that can't be used by
/// their defaults, or by the nearest value that can. Otherwise one such figure would keep all nodes
/// from starting.
///
/// # Errors
///
/// Returns the path and the value of the first other invalid setting, and what was expected.
///
/// ```
/// use base::clock::Millis;
/// let cfg = node::node_cfg::read_for_start("{ grace_s: 6.5, row_bytes: 10 }").unwrap();
/// assert_eq!(cfg.settings.grace_ms, Millis(6_500));
/// assert_eq!(cfg.settings.row_bytes, 8_192);
/// let problem = cfg.problems[0].to_string();
/// assert!(problem.contains("row_bytes: invalid value 10: must be at least 8192"));
/// ```
pub fn read_for_start(text: &str) -> Result<Replaced<NodeCfg>, CfgError> {
    let mut replaced = settings::read_replacing::<NodeCfg>(text, &FIGURES)?;
    let Replaced {
        settings: cfg,
        problems,
    } = &mut replaced;
    cfg.raise_figures(problems);
    let lease = &cfg.lease;
    settings::check_less(
        "lease.renew_ms",
        lease.renew_ms,
        "lease.hold_ms",
        lease.hold_ms,
    )?;
    settings::check_less(
        "lease.hold_ms",
        lease.hold_ms,
        "lease.take_ms",
        lease.take_ms,
    )?;
    let half_lease = Millis(cfg.worker_lease_ms.0 / 2);
    let is_small = cfg.cpu_share * cfg.cores < LEADER_CORES;
    let has_time = cfg.lease.take_ms + YIELD_TIME < half_lease;
    if cfg.lease.yield_ms == Millis::ZERO && is_small && has_time {
        cfg.lease.yield_ms = YIELD_TIME;
    }
    let check = settings::check_less(
        "lease.take_ms and lease.yield_ms",
        cfg.lease.take_ms + cfg.lease.yield_ms,
        "half of worker_lease_ms",
        half_lease,
    );
    problems.extend(check.err());
    Ok(replaced)
}

impl NodeCfg {
    /// Raises figures that are too small, and records each.
    fn raise_figures(&mut self, problems: &mut Vec<CfgError>) {
        let evacuate = self.evacuate_ms.as_mut();
        problems.extend(
            [
                raise("row_bytes", &mut self.row_bytes, MIN_ROW_BYTES),
                raise("memory_mb", &mut self.memory_mb, MIN_MEMORY_MB),
                raise("link_mbps", &mut self.link_mbps, MIN_LINK_MBPS),
                raise("cpu_share", &mut self.cpu_share, MIN_CORES),
                raise("cores", &mut self.cores, MIN_CORES),
                evacuate.and_then(|t| raise("evacuate_ms", &mut t.0, MIN_EVACUATE_MS.0)),
            ]
            .into_iter()
            .flatten(),
        );
    }
}

/// Raises a value to its minimum; returns the error if it was below.
fn raise<T>(path: &str, value: &mut T, min: T) -> Option<CfgError>
where
    T: Copy + PartialOrd + fmt::Display + Into<Value>,
{
    (*value < min).then(|| {
        let problem = format!("must be at least {min}");
        let found = mem::replace(value, min);
        settings::invalid_value(path, &found.into(), problem)
    })
}
