//! Fault state of the platform stand-in.

use base::clock::Millis;
use serde::{Deserialize, Serialize};

/// Faults of the platform; the default has none.
///
/// Shares go from 0 (never) to 1 (every call). `PUT /faults` replaces the whole state.
///
/// ```
/// let faults: standin::faults::Faults = serde_json::from_str(r#"{"outage":true}"#).unwrap();
/// assert!(faults.outage && !faults.vm_outage);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Table service and object store answer 503 and do nothing.
    pub outage: bool,
    /// Share of the calls of table service and object store that are refused with 503.
    pub refused: f64,
    /// Table service and object store take requests, do nothing and never answer.
    pub silent: bool,
    /// Wait before a call of table service or object store takes effect.
    pub slow_ms: Millis,
    /// Share of the writes that take effect and whose answer is lost with the connection.
    pub lost_answers: f64,
    /// Share of the writes that are lost with the connection and take no effect.
    pub lost_requests: f64,
    /// Share of the calls that take effect and whose answer ends in the middle of its body.
    pub cut_answers: f64,
    /// Age of the state that table reads see.
    pub read_lag_ms: Millis,
    /// Age of the VM list.
    pub vm_lag_ms: Millis,
    /// The VM list answers 503.
    pub vm_outage: bool,
}
