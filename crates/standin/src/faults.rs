//! Injected faults of the platform stand-in.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Faults that the platform injects; the default injects none.
///
/// Shares range from 0 (no call) to 1 (every call). `PUT /faults` replaces all fields.
///
/// ```
/// let faults: standin::faults::Faults = serde_json::from_str(r#"{"outage":true}"#).unwrap();
/// assert!(faults.outage && !faults.vm_outage);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The table service and the object store answer every call with 503 and do nothing.
    pub outage: bool,
    /// Share of the calls to the table service and the object store that are refused with 503.
    pub refused: f64,
    /// The table service and the object store read requests, do nothing and never answer.
    pub silent: bool,
    /// Delay before a call to the table service or the object store takes effect.
    pub slow_ms: Millis,
    /// Share of the writes that take effect, but whose connection is closed before the answer.
    pub lost_answers: f64,
    /// Share of the writes that have no effect and whose connection is closed.
    pub lost_requests: f64,
    /// Share of the calls that take effect, but whose answer ends in the middle of the body.
    pub cut_answers: f64,
    /// Age of the state that reads of the table return.
    pub read_lag_ms: Millis,
    /// Prefix of the keys whose reads lag; empty for all.
    pub read_lag_prefix: String,
    /// Age of the VM list that is returned.
    pub vm_lag_ms: Millis,
    /// Reads of the VM list are answered with 503.
    pub vm_outage: bool,
}
