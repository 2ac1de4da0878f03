//! Settings and injected faults of the backend server stand-in.

use std::net;

use base::{clock::Millis, limits};
use serde::{Deserialize, Serialize};

/// Settings of one or more backend servers that run on one thread.
///
/// ```
/// let text = r#"{"servers":50,"operations":[{"operation":"score","time":{"mean_ms":40}}]}"#;
/// let cfg: standin::backend_cfg::BackendCfg = serde_json::from_str(text).unwrap();
/// assert_eq!((cfg.servers, cfg.slots, cfg.operations[0].time.mean_ms.0), (50, 8, 40));
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendCfg {
    /// Address of the first server. Port 0 selects a free port for each server; any other port is
    /// increased by 1 from server to server.
    pub listen: net::SocketAddr,
    /// Number of servers.
    pub servers: u16,
    /// Maximum number of requests that one server runs at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are answered "not run".
    pub queue: usize,
    /// Maximum number of open connections to one server; further ones are closed without an answer.
    pub connections: usize,
    /// Service times of individual operations.
    pub operations: Vec<OperationTime>,
    /// Service time of operations that are not listed.
    pub default_time: ServiceTime,
    /// Seed of the generator that draws service times and selects requests with faults; server `i`
    /// uses `seed + i`.
    pub seed: u64,
    /// Whether answers have the header `x-load`.
    pub report_load: bool,
    /// Number of padding bytes in every answer.
    pub answer_bytes: usize,
    /// Initial faults of every server.
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

/// Shifted exponential distribution with an upper bound.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Minimum time.
    pub min_ms: Millis,
    /// Mean of the exponential part that is added to the minimum.
    pub mean_ms: Millis,
    /// Maximum time.
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

/// Faults that a backend server injects; the default injects none.
///
/// Shares range from 0 (no request) to 1 (every request). `PUT /faults` replaces all fields.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Factor by which service times are multiplied; 10 makes the server ten times slower.
    pub slow_factor: f64,
    /// Share of the requests that are answered with 500 at once and not run.
    pub fail: f64,
    /// Share of the requests that are answered "not run".
    pub not_run: f64,
    /// The server reads requests, does nothing and never answers.
    pub silent: bool,
    /// Share of the answers that have the request id and body of the previous answer.
    pub crossed: f64,
    /// Delay between the end of a run and its answer.
    pub late_ms: Millis,
    /// Share of the answers that end in the middle of the body.
    pub truncated: f64,
    /// Share of the answers that are larger than [`limits::ANSWER_BYTES`].
    pub oversized: f64,
    /// Share of the requests whose connection is closed before they are run.
    pub cut_before: f64,
    /// Share of the requests that are run, but whose connection is closed before the answer.
    pub cut_after: f64,
    /// Answers have the header `x-leaving: 1`.
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
pub const OVERSIZED_ANSWER_BYTES: usize = limits::ANSWER_BYTES + 1;
