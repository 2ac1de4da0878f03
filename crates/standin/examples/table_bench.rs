//! Measures commits and reads a second of the table client against the platform stand-in.
//!
//! `cargo run --release -p standin --example table_bench [SECONDS]`

use std::{env, rc::Rc, time::Instant};

use futures_util::future;
use hdrhistogram::Histogram;
use standin::{platform, platform_cfg::PlatformCfg};
use store::{http::HttpTable, http_cfg::HttpCfg, table::Txn};

const CONNECTIONS: [usize; 2] = [1, 16];
const MAX_MICROS: u64 = 60_000_000;
const DEFAULT_SECONDS: f64 = 3.0;

#[derive(Clone, Copy, Debug)]
enum Load {
    Commits,
    Reads,
}

#[ntex::main]
async fn main() {
    let seconds = env::args().nth(1).and_then(|s| s.parse().ok());
    let seconds = seconds.unwrap_or(DEFAULT_SECONDS);
    for connections in CONNECTIONS {
        for load in [Load::Commits, Load::Reads] {
            measure(load, connections, seconds).await;
        }
    }
}

/// Keeps one call at a time on each connection and prints rate and latencies.
async fn measure(load: Load, connections: usize, seconds: f64) {
    let platform = platform::start(PlatformCfg::default()).expect("a free port");
    let cfg = HttpCfg {
        connections,
        ..HttpCfg::default()
    };
    let table = Rc::new(
        HttpTable::new(&platform.url(), cfg)
            .await
            .expect("a client"),
    );
    let callers = (0..connections).map(|i| call_until_end(load, table.clone(), i, seconds));
    let mut total = Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("valid precision");
    for micros in future::join_all(callers).await {
        total.add(micros).expect("same bounds");
    }
    println!(
        "{load:?} on {connections} connections: {:.0}/s, p50 {} us, p99 {} us",
        total.len() as f64 / seconds,
        total.value_at_quantile(0.5),
        total.value_at_quantile(0.99)
    );
}

async fn call_until_end(
    load: Load,
    table: Rc<HttpTable>,
    caller: usize,
    seconds: f64,
) -> Histogram<u64> {
    let mut micros = Histogram::new_with_max(MAX_MICROS, 3).expect("valid precision");
    let value = format!("\"{}\"", "x".repeat(200));
    let key = format!("row/{caller}");
    let txn = Txn::default().put(key.as_str(), value);
    table.commit(&txn).await.expect("no faults are set");
    let start = Instant::now();
    while start.elapsed().as_secs_f64() < seconds {
        let sent = Instant::now();
        match load {
            Load::Commits => drop(table.commit(&txn).await.expect("no faults are set")),
            Load::Reads => drop(table.get(&key).await.expect("no faults are set")),
        }
        micros.saturating_record(sent.elapsed().as_micros() as u64);
    }
    micros
}
