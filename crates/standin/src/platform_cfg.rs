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
    /// Address to listen on; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Maximum number of open connections; further ones are closed without an answer.
    pub connections: usize,
    /// Seed of the generator that selects the calls with faults.
    pub seed: u64,
    /// Initial VM list.
    pub vms: Vec<Vm>,
    /// Initial faults.
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
