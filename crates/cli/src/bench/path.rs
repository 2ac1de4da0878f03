//! Latency and processor time that an entry adds to a request.

use std::net;

use base::clock::Millis;
use ntex::{client, http::Method};
use serde_json::json;
use standin::{backend_cfg, worker_cfg};

use super::load::{self, Load, Measured};
use crate::{
    api::{self, Api},
    args,
    world::{World, WorldCfg},
};

/// Access token of the organisation that sends the requests.
const TOKEN: &str = "bench-token";
/// SHA-256 of the access token.
const TOKEN_HASH: &str = "7137e16f75a1d75b6fd65930672814806cdc1a0d6e0aa38611afc996a402258b";
/// Access token of the operator, who applies the configuration.
const OPERATOR: &str = "operator-demo-token";
/// SHA-256 of the operator's access token.
const OPERATOR_HASH: &str = "053fa11d794b3d944f1cd07a6cd7e574762682bb9e02bbbac8fb0690c6403e6e";
/// Service time of the backend servers.
const SERVICE_TIME: Millis = Millis(5);
/// Backend servers.
const SERVERS: u16 = 10;
/// Times that each case is measured; direct calls and calls through the entry alternate.
const ROUNDS: usize = 3;
/// Tries to apply the configuration while the processes start.
const APPLY_TRIES: usize = 100;

/// Runs the bench and prints its table.
pub fn run(args: &args::Bench) -> eyre::Result<()> {
    let world = World::start(&cfg()?)?;
    let entry = world.entries[0].addr();
    let backends = world.backends.addrs().to_vec();
    let load = Load {
        rate: args.rate,
        seconds: args.seconds,
    };
    api::block_on(async move {
        configure(&Api::with_token(&entry.to_string(), OPERATOR)).await?;
        println!(
            "{} requests a second, service time {SERVICE_TIME}",
            load.rate
        );
        println!(
            "{:<10}{:>9}{:>9}{:>9}{:>8}{:>12}{:>14}",
            "case", "p50 us", "p99 us", "p99.9 us", "failed", "unanswered", "cpu us/request"
        );
        for _ in 0..ROUNDS {
            print("direct", load, &direct(load, backends.clone()).await?);
            print("score", load, &through(load, entry, "score", false).await?);
            print("payout", load, &through(load, entry, "payout", true).await?);
        }
        Ok(())
    })
}

fn cfg() -> eyre::Result<WorldCfg> {
    let time = backend_cfg::ServiceTime {
        min_ms: SERVICE_TIME,
        mean_ms: Millis(0),
        max_ms: SERVICE_TIME,
    };
    Ok(WorldCfg {
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
        operator_token_hash: OPERATOR_HASH.into(),
    })
}

async fn configure(api: &Api) -> eyre::Result<()> {
    let organisation = json!({ "schema": 2, "kind": "organisation",
        "spec": { "name": "bench", "token_hashes": [TOKEN_HASH] } });
    let service = json!({ "schema": 2, "kind": "service", "spec": { "name": "refund", "operations": [
        { "name": "score", "class": "live", "repeatable": true },
        { "name": "payout", "class": "live", "repeatable": false },
    ] } });
    let records = [organisation.to_string(), service.to_string()];
    let body = json!({ "change": 1, "records": records }).to_string();
    for _ in 1..APPLY_TRIES {
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

async fn direct(load: Load, backends: Vec<net::SocketAddr>) -> eyre::Result<Measured> {
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

async fn through(
    load: Load,
    entry: net::SocketAddr,
    operation: &'static str,
    keyed: bool,
) -> eyre::Result<Measured> {
    let client = client().await?;
    let run = fastrand::u64(..);
    load::run(load, |i| {
        let mut req = client
            .post(format!("http://{entry}/call/refund/{operation}"))
            .bearer_auth(TOKEN);
        if keyed {
            req = req.header("idempotency-key", format!("{run}-{i}"));
        }
        succeeds(req)
    })
    .await
}

async fn succeeds(req: client::ClientRequest) -> bool {
    let answer = match req.send_body("{\"claim\":17}").await {
        Ok(answer) => answer,
        Err(e) => {
            log::warn!("bench: no answer: {e}");
            return false;
        }
    };
    if !answer.status().is_success() {
        log::warn!("bench: status {}", answer.status());
        return false;
    }
    answer.body().await.is_ok()
}

fn print(case: &str, load: Load, m: &Measured) {
    let total = load.rate * load.seconds;
    println!(
        "{case:<10}{:>9}{:>9}{:>9}{:>8}{:>12}{:>14}",
        m.latency.value_at_quantile(0.5),
        m.latency.value_at_quantile(0.99),
        m.latency.value_at_quantile(0.999),
        m.failed,
        m.unanswered,
        m.cpu.as_micros() as u64 / total.max(1),
    );
}
