//! Settings of server health.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of server health, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthCfg {
    /// Number of consecutive failures after which a server is ejected.
    pub eject_after: u32,
    /// Time before the first probe of an ejected server.
    pub probe_first_ms: Millis,
    /// Maximum time between two probes.
    pub probe_max_ms: Millis,
    /// Half-life, while no answers arrive, of the difference between a server's average and the
    /// typical service time. Without this decay a server that was slow once would lose every later
    /// comparison.
    pub forget_half_ms: Millis,
    /// Minimum service time that is recorded for a failure.
    pub failure_counts_as_ms: Millis,
}

impl Default for HealthCfg {
    fn default() -> Self {
        Self {
            eject_after: 5,
            probe_first_ms: Millis(500),
            probe_max_ms: Millis::from_secs(30),
            forget_half_ms: Millis::from_secs(5),
            failure_counts_as_ms: Millis::from_secs(5),
        }
    }
}
