//! Measures the rate and latency of commits and reads of the table client against the platform
//! stand-in.
//!
//! `cargo run --release -p standin --example table_bench [SECONDS]`

use std::{env, rc::Rc, time::Instant};

use futures_util::future;
use hdrhistogram::Histogram;
use standin::{platform, platform_cfg::PlatformCfg};
use store::{http::HttpTable, http_cfg::HttpCfg, table::Txn};

/// Numbers of connections that are measured.
const CONNECTIONS: [usize; 2] = [1, 16];
/// Maximum latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const DEFAULT_SECONDS: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
enum Workload {
    Commits,
    Reads,
}

#[ntex::main]
async fn main() {
    let seconds = env::args().nth(1).and_then(|s| s.parse().ok());
    let seconds = seconds.unwrap_or(DEFAULT_SECONDS);
    for connections in CONNECTIONS {
        for workload in [Workload::Commits, Workload::Reads] {
            measure(workload, connections, seconds).await;
        }
    }
}

/// Keeps one call in progress on each connection and prints the rate and latencies.
async fn measure(workload: Workload, connections: usize, seconds: f64) {
    let platform = platform::start(PlatformCfg::default()).expect("the stand-in starts");
    let cfg = HttpCfg {
        connections,
        ..HttpCfg::default()
    };
    let table = Rc::new(
        HttpTable::new(&platform.url(), cfg)
            .await
            .expect("the client is created"),
    );
    let callers = (0..connections).map(|i| call_until_end(workload, table.clone(), i, seconds));
    let mut latencies =
        Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("the precision is valid");
    for caller_latencies in future::join_all(callers).await {
        latencies
            .add(caller_latencies)
            .expect("the histograms have the same bounds");
    }
    println!(
        "{workload:?} on {connections} connections: {:.0}/s, p50 {} us, p99 {} us",
        latencies.len() as f64 / seconds,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99)
    );
}

async fn call_until_end(
    workload: Workload,
    table: Rc<HttpTable>,
    caller: usize,
    seconds: f64,
) -> Histogram<u64> {
    let mut latencies = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the precision is valid");
    let value = format!("\"{}\"", "x".repeat(200));
    let key = format!("row/{caller}");
    let txn = Txn::default().put(key.as_str(), value);
    table.commit(&txn).await.expect("no faults are set");
    let start = Instant::now();
    while start.elapsed().as_secs_f64() < seconds {
        let sent_at = Instant::now();
        match workload {
            Workload::Commits => drop(table.commit(&txn).await.expect("no faults are set")),
            Workload::Reads => drop(table.get(&key).await.expect("no faults are set")),
        }
        latencies.saturating_record(sent_at.elapsed().as_micros() as u64);
    }
    latencies
}
