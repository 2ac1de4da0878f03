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
    /// Maximum time without progress, measured from the time at which a connection is free.
    ///
    /// It includes opening the connection and must exceed twice `connect_ms`: a call may wait for
    /// the connection attempt of another call to fail before it makes its own, and the outcome of
    /// a call that exceeds this time counts as unknown.
    pub call_ms: Millis,
    /// Rate, in bytes per ms, at which the body of a request is sent at least. Its time comes on top
    /// of `call_ms`, because what waits in the buffers of a connection can't be seen.
    pub min_send_rate: u64,
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
            min_send_rate: 64,
            answer_bytes: 64 << 20,
        }
    }
}
