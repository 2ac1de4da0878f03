//! `bench path`: latency and processor time that an entry adds to a request.

use std::net;

use base::clock::Millis;
use ntex::{client, http::Method};
use serde_json::json;
use standin::{backend_cfg, worker_cfg};

use super::load::{self, Load, Measurement};
use crate::{
    api::{self, Api},
    args,
    system::{System, SystemCfg},
};

/// Access token of the organisation that sends the requests.
const ORGANISATION_TOKEN: &str = "bench-token";
/// SHA-256 of the organisation's access token.
const ORGANISATION_TOKEN_HASH: &str =
    "7137e16f75a1d75b6fd65930672814806cdc1a0d6e0aa38611afc996a402258b";
/// Access token of the operator, who applies the configuration.
const OPERATOR_TOKEN: &str = "operator-demo-token";
/// SHA-256 of the operator's access token.
const OPERATOR_TOKEN_HASH: &str =
    "053fa11d794b3d944f1cd07a6cd7e574762682bb9e02bbbac8fb0690c6403e6e";
/// Service time of the backend servers.
const SERVICE_TIME: Millis = Millis(5);
/// Number of backend servers.
const SERVERS: u16 = 10;
/// Number of measurements of each case; direct calls and calls through the entry alternate.
const ROUNDS: usize = 3;
/// Maximum number of attempts to apply the configuration, which fail while the processes start.
const MAX_APPLY_ATTEMPTS: usize = 100;

/// Runs the benchmark and prints a table of the results.
pub fn run(args: &args::Bench) -> eyre::Result<()> {
    let system = System::start(&cfg()?)?;
    let entry = system.entries[0].addr();
    let backends = system.backends.addrs().to_vec();
    let load = Load {
        rate: args.rate,
        seconds: args.seconds,
    };
    api::block_on(async move {
        configure(&Api::with_token(&entry.to_string(), OPERATOR_TOKEN)).await?;
        println!(
            "{} requests per second, service time {SERVICE_TIME}",
            load.rate
        );
        println!(
            "{:<10}{:>9}{:>9}{:>9}{:>8}{:>12}{:>14}",
            "case", "p50 us", "p99 us", "p99.9 us", "failed", "unanswered", "cpu us/request"
        );
        for _ in 0..ROUNDS {
            print_row("direct", load, &direct(load, backends.clone()).await?);
            print_row(
                "score",
                load,
                &via_entry(load, entry, "score", false).await?,
            );
            print_row(
                "payout",
                load,
                &via_entry(load, entry, "payout", true).await?,
            );
        }
        Ok(())
    })
}

fn cfg() -> eyre::Result<SystemCfg> {
    let time = backend_cfg::ServiceTime {
        min_ms: SERVICE_TIME,
        mean_ms: Millis(0),
        max_ms: SERVICE_TIME,
    };
    Ok(SystemCfg {
        entries: 1,
        schedulers: 1,
        workers: 1,
        rack_size: 1,
        backends: backend_cfg::BackendCfg {
            servers: SERVERS,
            default_time: time,
            ..Default::default()
        },
        service: "refund".parse()?,
        behaviour: worker_cfg::Behaviour::default(),
        operator_token_hash: OPERATOR_TOKEN_HASH.into(),
    })
}

/// Applies the configuration, with retries while the processes start.
async fn configure(api: &Api) -> eyre::Result<()> {
    let organisation = json!({ "schema": 2, "kind": "organisation",
        "spec": { "name": "bench", "token_hashes": [ORGANISATION_TOKEN_HASH] } });
    let service = json!({ "schema": 2, "kind": "service", "spec": { "name": "refund", "operations": [
        { "name": "score", "class": "live", "repeatable": true },
        { "name": "payout", "class": "live", "repeatable": false },
    ] } });
    let records = [organisation.to_string(), service.to_string()];
    let body = json!({ "change": 1, "records": records }).to_string();
    for _ in 1..MAX_APPLY_ATTEMPTS {
        if api
            .send(Method::POST, "/config", Some(body.clone()), None)
            .await
            .is_ok()
        {
            return Ok(());
        }
        ntex::time::sleep(ntex::time::Millis(100)).await;
    }
    api.send(Method::POST, "/config", Some(body), None)
        .await
        .map(drop)
}

async fn client() -> eyre::Result<client::Client> {
    client::Client::builder()
        .connector::<client::Connector>(client::Connector::default().limit(500))
        .build(ntex::SharedCfg::new("bench"))
        .await
        .map_err(|e| eyre::eyre!("{e}"))
}

/// Measures requests that go straight to the backend servers.
async fn direct(load: Load, backends: Vec<net::SocketAddr>) -> eyre::Result<Measurement> {
    let client = client().await?;
    load::run(load, |i| {
        let server = backends[i as usize % backends.len()];
        let req = client
            .post(format!("http://{server}/run/score"))
            .header("x-request-id", i.to_string())
            .header("x-organisation", "bench")
            .header("x-deadline-ms", "1000");
        succeeds(req)
    })
    .await
}

/// Measures requests that go through the entry.
async fn via_entry(
    load: Load,
    entry: net::SocketAddr,
    operation: &'static str,
    with_key: bool,
) -> eyre::Result<Measurement> {
    let client = client().await?;
    let run = fastrand::u64(..);
    load::run(load, |i| {
        let mut req = client
            .post(format!("http://{entry}/call/refund/{operation}"))
            .bearer_auth(ORGANISATION_TOKEN);
        if with_key {
            req = req.header("idempotency-key", format!("{run}-{i}"));
        }
        succeeds(req)
    })
    .await
}

/// Sends a request and returns whether a complete answer reports success.
async fn succeeds(req: client::ClientRequest) -> bool {
    let answer = match req.send_body("{\"claim\":17}").await {
        Ok(answer) => answer,
        Err(e) => {
            log::warn!("bench: a request got no answer: {e}");
            return false;
        }
    };
    if !answer.status().is_success() {
        log::warn!("bench: a request got status {}", answer.status());
        return false;
    }
    answer.body().await.is_ok()
}

fn print_row(case: &str, load: Load, measured: &Measurement) {
    let total = load.rate * load.seconds;
    println!(
        "{case:<10}{:>9}{:>9}{:>9}{:>8}{:>12}{:>14}",
        measured.latency.value_at_quantile(0.5),
        measured.latency.value_at_quantile(0.99),
        measured.latency.value_at_quantile(0.999),
        measured.failed,
        measured.unanswered,
        measured.cpu.as_micros() as u64 / total.max(1),
    );
}
