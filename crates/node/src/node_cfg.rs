//! Settings of a node.

use std::net;

use base::clock::Millis;
use lease::lease_cfg::LeaseCfg;
use serde::{Deserialize, Serialize};
use settings::CfgError;

/// Settings of a node, as JSON with comments.
///
/// ```
/// let cfg = node::node_cfg::read("{ name: 'n1' /* any text */ }").unwrap();
/// assert_eq!(cfg.name, "n1");
/// let small = node::node_cfg::read("{ cpu_share: 0.12 }").unwrap();
/// assert!(small.lease.yield_ms > cfg.lease.yield_ms);
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
    /// Address of the metrics and of the state dump.
    pub listen_metrics: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Address of the policy service; none if no queue needs tickets.
    pub policy: Option<net::SocketAddr>,
    /// Most open connections of callers. An idle one takes about 10 KB.
    pub connections: usize,
    /// Longest lease of what runs on a worker.
    pub worker_lease_ms: Millis,
    /// Time after which a removed key is refused everywhere.
    pub revoke_ms: Millis,
    /// Time for which a job that has ended can be read.
    pub keep_ms: Millis,
    /// Time from SIGTERM to the end of the process.
    pub grace_ms: Millis,
    /// Share of a core that the VM gives to the process.
    pub cpu_share: f64,
    /// Speed of the VM's core, as a multiple of an ordinary one.
    pub cores: f64,
    /// Settings of the scheduler's lease.
    pub lease: LeaseCfg,
}

/// Processor below which a VM leaves the lease to others, in cores. The leader of 3,000 workers used
/// 0.24 of a core (docs/CAPACITY.md).
const LEADER_CORES: f64 = 0.25;
/// Time for which a smaller VM leaves the lease to others: a larger one looks every 0.5 s.
const YIELD: Millis = Millis(700);

impl Default for NodeCfg {
    fn default() -> Self {
        let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: "node".into(),
            zone: String::new(),
            listen: any,
            listen_ready: any,
            listen_metrics: any,
            store: any,
            policy: None,
            connections: 2_000,
            worker_lease_ms: Millis(6_000),
            revoke_ms: Millis(5_000),
            keep_ms: Millis::from_secs(120),
            grace_ms: Millis(6_000),
            // A takeover takes 2.5 s at most, well inside the 6 s for which workers hold leases;
            // a store that is 60 times slower than usual (0.5 s) does not end a leadership.
            lease: LeaseCfg {
                renew_ms: Millis(500),
                hold_ms: Millis(1_700),
                take_ms: Millis(2_000),
                look_ms: Millis(500),
                yield_ms: Millis::ZERO,
            },
            cpu_share: 1.0,
            cores: 1.0,
        }
    }
}

/// Reads settings; values that are left out have their defaults.
///
/// # Errors
///
/// Returns the path, the value and what was expected for the first value that is not acceptable.
pub fn read(text: &str) -> Result<NodeCfg, CfgError> {
    let mut cfg: NodeCfg = settings::read(text)?;
    if cfg.lease.yield_ms == Millis::ZERO && cfg.cpu_share * cfg.cores < LEADER_CORES {
        cfg.lease.yield_ms = YIELD;
    }
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
    settings::check_less(
        "lease.take_ms and lease.yield_ms",
        lease.take_ms + lease.yield_ms,
        "half of worker_lease_ms",
        Millis(cfg.worker_lease_ms.0 / 2),
    )?;
    Ok(cfg)
}
