//! Settings of the admission queue.

use serde::{Deserialize, Serialize};

/// Settings of the admission queue, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionCfg {
    /// Maximum number of waiting requests of one organisation in one class.
    pub queue_per_organisation: usize,
    /// Maximum number of waiting requests in total.
    pub queue_total: usize,
    /// While deferrable work waits, one of this many dispatches is deferrable.
    pub deferrable_every: u32,
    /// Whether requests that can't meet their deadline are refused before they are run.
    pub early_refusal: bool,
}

impl Default for AdmissionCfg {
    fn default() -> Self {
        Self {
            queue_per_organisation: 256,
            queue_total: 1_024,
            deferrable_every: 8,
            early_refusal: true,
        }
    }
}
