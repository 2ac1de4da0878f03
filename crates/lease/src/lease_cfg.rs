//! Settings of the lease.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Settings of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeaseCfg {
    /// Time between two renewals by the holder.
    pub renew_ms: Millis,
    /// Time after the start of the last successful renewal during which the holder acts.
    pub hold_ms: Millis,
    /// Time without a renewal after which a candidate takes over.
    pub take_ms: Millis,
    /// Time between two looks of a candidate.
    pub look_ms: Millis,
    /// Time for which a candidate leaves a lease that it could take to others. It is set on small
    /// VMs, so that a larger one leads if there is any.
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
