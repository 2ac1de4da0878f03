//! Settings of the platform stand-in.

use std::net;

use serde::Deserialize;
use store::vm::Vm;

use crate::faults::Faults;

/// Settings of the platform stand-in.
///
/// ```
/// let text = r#"{"listen":"127.0.0.1:7000","faults":{"read_lag_ms":200}}"#;
/// let cfg: standin::platform_cfg::PlatformCfg = serde_json::from_str(text).unwrap();
/// assert_eq!((cfg.listen.port(), cfg.faults.read_lag_ms.0), (7_000, 200));
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformCfg {
    /// Address to listen on; port 0 takes a free port.
    pub listen: net::SocketAddr,
    /// Most connections at once.
    pub connections: usize,
    /// Seed of the choices of faulty calls.
    pub seed: u64,
    /// VM list at the start.
    pub vms: Vec<Vm>,
    /// Faults at the start.
    pub faults: Faults,
}

impl Default for PlatformCfg {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            connections: 4_096,
            seed: 1,
            vms: Vec::new(),
            faults: Faults::default(),
        }
    }
}
