//! Measures the latency that an entry adds to a call, under open-loop load at a moderate rate.
//!
//! Each run alternates between direct calls to the backend stand-in, calls through the entry and
//! reads of `/ready`. Usage: `cargo run --release -p entry --example latency [RATE] [SECONDS]`.

use std::{cell::RefCell, env, net::SocketAddr, rc::Rc, time::Duration, time::Instant};

use base::clock::Millis;
use entry::{auth::TokenHash, entry_cfg::EntryCfg};
use ntex::{
    client::{Client, ClientRequest, Connector},
    rt,
};
use serde_json::json;
use standin::{
    backend,
    backend_cfg::{BackendCfg, ServiceTime},
    platform,
    platform_cfg::PlatformCfg,
};
use store::{
    client::Table,
    http::HttpTable,
    http_cfg::HttpCfg,
    table::Txn,
    vm::{Vm, VmRole, VmState},
};

const TOKEN: &str = "token";
const SERVERS: u16 = 10;
/// Zero, because the resolution of the stand-in's timers is coarser than the measured latency.
const SERVICE_TIME: Millis = Millis::ZERO;
const WARM_UP: Duration = Duration::from_secs(1);

/// Kind of a measured request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Call to a backend server without an entry.
    Direct,
    /// Call of a repeatable operation through the entry.
    Entry,
    /// Call through the entry of an operation that is not repeatable, which claims its key.
    Claimed,
    /// Read of `/ready`, which the entry answers itself.
    Ready,
}

const KINDS: [Kind; 4] = [Kind::Direct, Kind::Entry, Kind::Claimed, Kind::Ready];

fn main() {
    let mut args = env::args().skip(1).map(|a| a.parse::<u64>());
    let rate = args.next().and_then(Result::ok).unwrap_or(800);
    let seconds = args.next().and_then(Result::ok).unwrap_or(10);
    let time = ServiceTime {
        min_ms: SERVICE_TIME,
        mean_ms: Millis::ZERO,
        max_ms: SERVICE_TIME,
    };
    let backends = backend::start(BackendCfg {
        servers: SERVERS,
        default_time: time,
        ..BackendCfg::default()
    })
    .expect("the backend stand-in starts");
    let vms = backends.addrs().iter().enumerate();
    let platform = platform::start(PlatformCfg {
        vms: vms.map(|(i, addr)| vm(i, *addr)).collect(),
        ..PlatformCfg::default()
    })
    .expect("the platform stand-in starts");
    let (url, addr) = (platform.url(), platform.addr());
    let servers = backends.addrs().to_vec();
    rt::System::new("load", rt::DefaultRuntime).block_on(async move {
        write_config(&url).await;
        let cfg = json!({ "table": addr, "vm_list": addr, "stop_notice_ms": 0 });
        let cfg = EntryCfg::from_value(cfg).expect("valid settings");
        let entry = entry::start(cfg).expect("the entry starts");
        run_load(entry.addr(), servers, rate, Duration::from_secs(seconds)).await;
    });
}

fn vm(i: usize, address: SocketAddr) -> Vm {
    Vm {
        name: format!("s{i}").parse().expect("a name"),
        address,
        data_centre: "a".parse().expect("a name"),
        role: VmRole::Backend {
            service: "refund".parse().expect("a name"),
        },
        state: VmState::Live,
    }
}

async fn write_config(url: &str) {
    let table = HttpTable::new(url, HttpCfg::default()).await;
    let table = Table::from(table.expect("a client of the table service"));
    let operation = |name: &str, repeatable: bool| json!({ "name": name, "class": "live", "repeatable": repeatable });
    let operations = [operation("score", true), operation("pay", false)];
    let hash = TokenHash::of(TOKEN).to_string();
    let txn = Txn::default()
        .put("rev", json!({ "revision": 1 }).to_string())
        .put(
            "service/refund",
            json!({ "name": "refund", "operations": operations }).to_string(),
        )
        .put(
            "org/o",
            json!({ "name": "o", "token_hashes": [hash] }).to_string(),
        );
    table
        .commit(&txn)
        .await
        .expect("the configuration is written");
}

async fn run_load(entry: SocketAddr, servers: Vec<SocketAddr>, rate: u64, duration: Duration) {
    let client = Client::builder()
        .connector::<()>(Connector::new().limit(512))
        .build(ntex::SharedCfg::default())
        .await
        .expect("a client");
    while !matches!(client.get(format!("http://{entry}/ready")).send().await, Ok(r) if r.status().is_success())
    {
        ntex::time::sleep(ntex::time::Millis(20)).await;
    }
    let samples: Rc<RefCell<Vec<(Kind, Duration)>>> = Rc::default();
    let failed = Rc::new(RefCell::new(0));
    let start = Instant::now();
    let period = Duration::from_nanos(1_000_000_000 / rate);
    let mut n: u32 = 0;
    while start.elapsed() < duration + WARM_UP {
        let due = start + period * n;
        tokio::time::sleep_until(due.into()).await;
        let kind = KINDS[n as usize % KINDS.len()];
        let server = servers[n as usize / KINDS.len() % servers.len()];
        let (client, samples, failed) = (client.clone(), samples.clone(), failed.clone());
        let is_warm = start.elapsed() > WARM_UP;
        rt::spawn(async move {
            let begin = Instant::now();
            let is_complete = send(&client, kind, entry, server, n).await;
            if !is_complete {
                *failed.borrow_mut() += 1;
            } else if is_warm {
                samples.borrow_mut().push((kind, begin.elapsed()));
            }
        });
        n += 1;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    println!(
        "{rate} requests per second in total, {} failed",
        failed.borrow()
    );
    for kind in KINDS {
        report(kind, &samples.borrow());
    }
}

async fn send(client: &Client, kind: Kind, entry: SocketAddr, server: SocketAddr, n: u32) -> bool {
    let call = |operation: &str| -> ClientRequest {
        let req = client.post(format!("http://{entry}/call/refund/{operation}"));
        req.bearer_auth(TOKEN)
    };
    let req = match kind {
        Kind::Direct => {
            let req = client.post(format!("http://{server}/run/score"));
            req.header("x-request-id", n).header("x-organisation", "o")
        }
        Kind::Entry => call("score"),
        Kind::Claimed => call("pay").header("idempotency-key", format!("k{n}")),
        Kind::Ready => client.get(format!("http://{entry}/ready")),
    };
    let body = if kind == Kind::Ready {
        ""
    } else {
        "{\"claim\":1}"
    };
    match req.send_body(body).await {
        Ok(r) => r.status().is_success() && r.body().await.is_ok(),
        Err(_) => false,
    }
}

fn report(kind: Kind, samples: &[(Kind, Duration)]) {
    let mut times: Vec<Duration> = samples
        .iter()
        .filter(|s| s.0 == kind)
        .map(|s| s.1)
        .collect();
    times.sort_unstable();
    let percentile = |percent: usize| {
        times
            .get(times.len() * percent / 100)
            .copied()
            .unwrap_or_default()
    };
    let (n, p50, p90, p99) = (times.len(), percentile(50), percentile(90), percentile(99));
    println!("{kind:?}: {n} requests, p50 {p50:?}, p90 {p90:?}, p99 {p99:?}");
}
