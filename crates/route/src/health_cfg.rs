//! Settings of server health.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of server health, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthCfg {
    /// Failures in a row that eject a server.
    pub eject_after: u32,
    /// Time before the first probe of an ejected server.
    pub probe_first_ms: Millis,
    /// Longest time between two probes.
    pub probe_max_ms: Millis,
    /// Time without an answer after which half of the distance to the typical service time is
    /// forgotten. Without this a server that was slow once would lose every comparison for good.
    pub forget_half_ms: Millis,
    /// Service time that a failure counts as.
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
