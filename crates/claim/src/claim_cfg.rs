//! Settings of claims.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of claims, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimCfg {
    /// Most claims and settlements in one transaction.
    pub group: usize,
    /// Tries to settle a claim whose answer was lost before the request is refused.
    pub tries: u32,
    /// Pause between two tries to reach the store for settlements.
    pub retry_ms: Millis,
}

impl Default for ClaimCfg {
    fn default() -> Self {
        Self {
            group: 64,
            tries: 3,
            retry_ms: Millis(250),
        }
    }
}
