//! Set-up shared by the contract tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use base::clock::{self, Millis};
use ntex::{
    client::{Client, ClientResponse, error::ClientError},
    http::Method,
    time,
};
use standin::{faults::Faults, platform, platform_cfg::PlatformCfg};
use store::{http::HttpTable, http_cfg::HttpCfg};

/// Longest wait for a condition.
const LIMIT: Millis = Millis::from_secs(10);

/// Client settings whose timeouts are short enough for tests of unanswered calls.
pub fn quick() -> HttpCfg {
    HttpCfg {
        call_ms: Millis(1_000),
        ..HttpCfg::default()
    }
}

/// Starts a platform with these faults and a table client of it.
pub async fn platform_with(faults: Faults) -> (platform::Handle, HttpTable) {
    let cfg = PlatformCfg {
        faults,
        ..PlatformCfg::default()
    };
    let platform = platform::start(cfg).unwrap();
    let table = HttpTable::new(&platform.url(), quick()).await.unwrap();
    (platform, table)
}

/// Polls until `holds` returns true, and panics after a limit.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = clock::now();
    while !holds() {
        assert!(clock::now().since(start) < LIMIT, "waited too long: {what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a request with headers on a connection of its own.
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
