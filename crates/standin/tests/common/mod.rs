//! Setup that the contract tests share.
#![allow(dead_code, reason = "each test file uses only some of these functions")]

use std::time::Duration;

use base::clock::{self, Millis};
use ntex::{
    client::{Client, ClientResponse, error::ClientError},
    http::Method,
    time,
};
use standin::{faults::Faults, platform, platform_cfg::PlatformCfg};
use store::{http::HttpTable, http_cfg::HttpCfg};

/// Maximum time to wait for a condition.
const WAIT_LIMIT: Millis = Millis::from_secs(10);

/// Returns client settings with a short timeout, for tests of unanswered calls.
pub fn short_timeout() -> HttpCfg {
    HttpCfg {
        call_ms: Millis(1_000),
        ..HttpCfg::default()
    }
}

/// Starts a platform with these faults and creates a table client for it.
pub async fn platform_with(faults: Faults) -> (platform::Handle, HttpTable) {
    let cfg = PlatformCfg {
        faults,
        ..PlatformCfg::default()
    };
    let platform = platform::start(cfg).unwrap();
    let table = HttpTable::new(&platform.url(), short_timeout())
        .await
        .unwrap();
    (platform, table)
}

/// Polls until `condition` returns true; panics after [`WAIT_LIMIT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = clock::now();
    while !condition() {
        assert!(
            clock::now().since(start) < WAIT_LIMIT,
            "not within {WAIT_LIMIT}: {what}"
        );
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request with these headers on a new connection.
pub async fn send(
    method: Method,
    url: String,
    headers: &[(&str, &str)],
    body: String,
) -> Result<ClientResponse, ClientError> {
    let client = Client::new().await;
    let mut req = client.request(method, url).timeout(time::Millis(2_000));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req.send_body(body).await
}
