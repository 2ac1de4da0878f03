//! Settings of the platform's HTTP clients.

use base::clock::Millis;
use serde::Deserialize;

/// Settings of [`HttpTable`](crate::http::HttpTable), [`Objects`](crate::objects::Objects) and
/// [`Vms`](crate::vms::Vms).
///
/// ```
/// use store::http_cfg::HttpCfg;
///
/// let cfg: HttpCfg = serde_json::from_str(r#"{"connections":4}"#).unwrap();
/// assert_eq!((cfg.connections, cfg.connect_ms.0), (4, 500));
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HttpCfg {
    /// Maximum number of concurrent connections; further calls wait for a free one.
    pub connections: usize,
    /// Maximum wait for a free connection. A call that exceeds it has sent nothing.
    pub queue_ms: Millis,
    /// Timeout for opening a connection. A call that exceeds it has sent nothing.
    pub connect_ms: Millis,
    /// Timeout for the complete answer, measured from the time at which a connection is free.
    ///
    /// It includes opening the connection and must exceed twice `connect_ms`: a call may wait for
    /// the connection attempt of another call to fail before it makes its own, and the outcome of
    /// a call that exceeds this timeout counts as unknown.
    pub call_ms: Millis,
    /// Maximum size of an answer in bytes.
    pub answer_bytes: usize,
}

impl Default for HttpCfg {
    fn default() -> Self {
        Self {
            connections: 16,
            queue_ms: Millis(1_000),
            connect_ms: Millis(500),
            call_ms: Millis(2_000),
            answer_bytes: 64 << 20,
        }
    }
}
