//! Settings of the retry budget.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of the retry budget, with their defaults.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryCfg {
    /// Retries allowed per hundred requests in the window.
    pub percent: u32,
    /// Retries allowed in the window even if there are few requests.
    pub at_least: u32,
    /// Attempts of one request that may end broken. A request that crashes its server would otherwise
    /// crash one after another.
    pub max_broken: u32,
    /// Length of the sliding window over requests and retries.
    pub window_ms: Millis,
}

impl Default for RetryCfg {
    fn default() -> Self {
        Self {
            percent: 10,
            at_least: 3,
            max_broken: 2,
            window_ms: Millis::from_secs(10),
        }
    }
}
