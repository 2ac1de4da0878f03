//! Settings of admission.

use serde::{Deserialize, Serialize};

/// Settings of admission, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmitCfg {
    /// Most waiting requests of one organisation in one class.
    pub queue_per_organisation: usize,
    /// Most waiting requests in all.
    pub queue_total: usize,
    /// One of this many dispatches goes to deferrable work while it waits.
    pub deferrable_every: u32,
    /// Whether requests that can't meet their deadline are refused before they are run.
    pub early_refusal: bool,
}

impl Default for AdmitCfg {
    fn default() -> Self {
        Self {
            queue_per_organisation: 256,
            queue_total: 1_024,
            deferrable_every: 8,
            early_refusal: true,
        }
    }
}
