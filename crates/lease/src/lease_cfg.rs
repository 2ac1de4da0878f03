//! Settings of the lease.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseCfg {
    /// Interval at which the holder renews the lease.
    pub renew_ms: Millis,
    /// Time for which the holder acts after the start of its last successful renewal.
    pub hold_ms: Millis,
    /// Time without a renewal after which a candidate takes over.
    pub take_ms: Millis,
    /// Interval at which a candidate reads the rows of the lease.
    pub look_ms: Millis,
    /// Additional time for which a candidate waits before it takes over a lease that it could take.
    /// It is set on small VMs, so that a larger VM becomes the leader if there is one.
    pub yield_ms: Millis,
}

impl Default for LeaseCfg {
    fn default() -> Self {
        Self {
            renew_ms: Millis(1_000),
            hold_ms: Millis(4_000),
            take_ms: Millis(6_000),
            look_ms: Millis(500),
            yield_ms: Millis::ZERO,
        }
    }
}
