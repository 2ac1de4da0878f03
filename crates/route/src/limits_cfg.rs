//! Settings of the limits per backend server.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

use crate::{health_cfg::HealthCfg, limits::Policy};

/// Settings of the limits per backend server, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsCfg {
    /// Policy by which servers are selected.
    pub policy: Policy,
    /// Requests that one backend server runs concurrently.
    pub slots: u16,
    /// Connections that one backend server accepts from all entries together.
    pub connections: u16,
    /// Entries that are expected to share the servers.
    pub entries: u16,
    /// Factor by which the sum of all entries' caps may exceed the slots of a server.
    pub overcommit: u16,
    /// Age from which a load report or a peer's counts are ignored.
    pub report_max_age_ms: Millis,
    /// Settings of server health.
    pub health: HealthCfg,
}

impl Default for LimitsCfg {
    fn default() -> Self {
        Self {
            policy: Policy::ReportedLoad,
            slots: 8,
            connections: 60,
            entries: 9,
            overcommit: 2,
            report_max_age_ms: Millis(1_000),
            health: HealthCfg::default(),
        }
    }
}

impl LimitsCfg {
    /// Maximum number of connections that this entry opens to one server.
    ///
    /// ```
    /// assert_eq!(route::limits_cfg::LimitsCfg::default().connection_cap(), 6);
    /// ```
    pub fn connection_cap(&self) -> u16 {
        (self.connections / self.entries.max(1)).max(1)
    }

    /// Maximum number of requests that this entry has in flight at one server while it doesn't know
    /// the load from other entries.
    ///
    /// ```
    /// assert_eq!(route::limits_cfg::LimitsCfg::default().unreported_cap(), 2);
    /// ```
    pub fn unreported_cap(&self) -> u16 {
        let share = self.slots * self.overcommit;
        share
            .div_ceil(self.entries.max(1))
            .clamp(1, self.connection_cap())
    }
}
