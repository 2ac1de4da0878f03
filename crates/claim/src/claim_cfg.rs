//! Settings of claims.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of claims, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimCfg {
    /// Maximum number of claims and settlements in one transaction.
    pub group: usize,
    /// Maximum number of attempts to write a claim after lost answers or conflicts; then the request
    /// is refused.
    pub tries: u32,
    /// Pause between attempts to write settlements while the store is not reachable.
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
