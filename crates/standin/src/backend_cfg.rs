//! Settings and faults of the backend server stand-in.

use std::net;

use base::{clock::Millis, limits};
use serde::{Deserialize, Serialize};

/// Settings of one or more backend servers that share a thread.
///
/// ```
/// let text = r#"{"servers":50,"operations":[{"operation":"score","time":{"mean_ms":40}}]}"#;
/// let cfg: standin::backend_cfg::BackendCfg = serde_json::from_str(text).unwrap();
/// assert_eq!((cfg.servers, cfg.slots, cfg.operations[0].time.mean_ms.0), (50, 8, 40));
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendCfg {
    /// Address of the first server; port 0 gives each server a free port, other ports count up.
    pub listen: net::SocketAddr,
    /// Number of servers.
    pub servers: u16,
    /// Requests that one server runs at once.
    pub slots: usize,
    /// Requests that wait for a slot; more are answered "not run".
    pub queue: usize,
    /// Most connections to one server; further ones are closed without an answer.
    pub connections: usize,
    /// Service times by operation.
    pub operations: Vec<OperationTime>,
    /// Service time of operations that are not listed.
    pub default_time: ServiceTime,
    /// Seed of service times and faulty answers.
    pub seed: u64,
    /// Whether answers carry `x-load`.
    pub report_load: bool,
    /// Size to which answers are padded, in bytes.
    pub answer_bytes: usize,
    /// Faults at the start.
    pub faults: BackendFaults,
}

impl Default for BackendCfg {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            servers: 1,
            slots: 8,
            queue: 8,
            connections: 60,
            operations: Vec::new(),
            default_time: ServiceTime::default(),
            seed: 1,
            report_load: true,
            answer_bytes: 0,
            faults: BackendFaults::default(),
        }
    }
}

/// Service time of one operation.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperationTime {
    /// Name of the operation.
    pub operation: String,
    /// Its service time.
    pub time: ServiceTime,
}

/// A shifted exponential distribution with an upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Smallest time.
    pub min_ms: Millis,
    /// Mean of the exponential part that is added to the smallest time.
    pub mean_ms: Millis,
    /// Largest time.
    pub max_ms: Millis,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            min_ms: Millis(5),
            mean_ms: Millis(15),
            max_ms: Millis(200),
        }
    }
}

/// Faults of a backend server; the default has none.
///
/// Shares go from 0 (never) to 1 (every request). `PUT /faults` replaces the whole state.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Factor on service times; 10 makes the server ten times slower.
    pub slow_factor: f64,
    /// Share of the requests that fail at once with 500, without being run.
    pub fail: f64,
    /// Share of the requests that are answered "not run".
    pub not_run: f64,
    /// The server takes requests, does nothing and never answers.
    pub silent: bool,
    /// Share of the answers that carry the id and body of another request.
    pub crossed: f64,
    /// Wait between the end of a run and its answer.
    pub late_ms: Millis,
    /// Share of the answers that end in the middle of the body.
    pub truncated: f64,
    /// Share of the answers that are larger than the limit on answers.
    pub oversized: f64,
    /// Share of the requests that are cut off before they are run.
    pub cut_before: f64,
    /// Share of the requests that are cut off after they were run.
    pub cut_after: f64,
    /// Answers carry `x-leaving: 1`.
    pub leaving: bool,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            fail: 0.0,
            not_run: 0.0,
            silent: false,
            crossed: 0.0,
            late_ms: Millis::ZERO,
            truncated: 0.0,
            oversized: 0.0,
            cut_before: 0.0,
            cut_after: 0.0,
            leaving: false,
        }
    }
}

/// Size of an oversized answer, in bytes.
pub const OVERSIZED_BYTES: usize = limits::ANSWER_BYTES + 1;
