//! Settings of the HTTP clients of the platform.

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
    /// Most connections kept to the platform; further calls wait for one.
    pub connections: usize,
    /// Longest wait for a free connection. Reaching it means that nothing was sent.
    pub queue_ms: Millis,
    /// Longest wait for a new connection. Reaching it means that nothing was sent.
    pub connect_ms: Millis,
    /// Longest wait for a whole answer, from the time when a connection is free.
    ///
    /// It includes the opening of the connection and must exceed twice `connect_ms`: a call may
    /// wait for the connection of another call to fail before it opens its own, and a call that
    /// reaches this limit counts as unknown.
    pub call_ms: Millis,
    /// Largest answer, in bytes.
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
