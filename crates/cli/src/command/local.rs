//! `local`: runs the whole system in one process, with a demonstration.

use std::time;

use eyre::{WrapErr, bail};
use ntex::http::Method;
use schema::{job::Phase, text};
use serde_json::json;
use standin::{backend_cfg, worker_cfg};
use wire::message::JobStatus;

use super::standin as standin_command;
use crate::{
    api::{self, Api},
    args,
    system::{System, SystemCfg},
};

/// Access token of the operator.
const OPERATOR_TOKEN: &str = "operator-demo-token";
/// SHA-256 of the operator's access token.
const OPERATOR_TOKEN_HASH: &str =
    "053fa11d794b3d944f1cd07a6cd7e574762682bb9e02bbbac8fb0690c6403e6e";
/// Access token of the organisation that sends the requests.
const ORGANISATION_TOKEN: &str = "weddings-demo-token";
/// Records of the demonstration, in both schema versions.
const RECORDS: [&str; 4] = [
    include_str!("../../../../examples/local/organisations.json"),
    include_str!("../../../../examples/local/teams.json"),
    include_str!("../../../../examples/local/services.json"),
    include_str!("../../../../examples/local/placement.json"),
];
/// Job record of the demonstration.
const JOB: &str = include_str!("../../../../examples/jobs/orchard-check.json");
/// Time limit for each step.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Delay before a step is repeated or a job's status is asked for again.
const RETRY_DELAY: ntex::time::Millis = ntex::time::Millis(50);

/// Runs the command.
pub fn run(args: &args::Local) -> eyre::Result<()> {
    let system = System::start(&cfg()?)?;
    let addr = system.entries[0].addr().to_string();
    println!("system: 2 entries, 2 schedulers, 8 workers in 2 racks, 4 backend servers");
    println!("entry: http://{addr}");
    api::block_on(demonstrate(Api::with_token(&addr, OPERATOR_TOKEN)))?;
    let executions: usize = system
        .backends
        .servers()
        .iter()
        .map(|s| s.history().len())
        .sum();
    println!("backend servers: {executions} executions for 3 requests");
    if executions != 2 {
        bail!("expected 2 executions: one score, and one payout for two requests");
    }
    if args.stay {
        let message = format!("token of the operator: {OPERATOR_TOKEN}; press Ctrl-C to stop");
        standin_command::wait_for_signal(message)?;
    }
    Ok(())
}

fn cfg() -> eyre::Result<SystemCfg> {
    Ok(SystemCfg {
        entries: 2,
        schedulers: 2,
        workers: 8,
        rack_size: 4,
        backends: backend_cfg::BackendCfg {
            servers: 4,
            ..Default::default()
        },
        service: "refund".parse()?,
        behaviour: worker_cfg::Behaviour {
            run_ms: base::clock::Millis(400),
            ..Default::default()
        },
        operator_token_hash: OPERATOR_TOKEN_HASH.into(),
    })
}

async fn demonstrate(api: Api) -> eyre::Result<()> {
    apply(&api).await?;
    submit(&api).await?;
    let caller = api.for_token(ORGANISATION_TOKEN);
    let score = retry(|| {
        caller.send(
            Method::POST,
            "/call/refund/score",
            Some(request_body()),
            None,
        )
    })
    .await;
    println!("score: {}", score.wrap_err("the score request failed")?);
    let key = Some("payout-2026-17");
    for attempt in ["first", "repeated"] {
        let payout = caller
            .send(
                Method::POST,
                "/call/refund/payout",
                Some(request_body()),
                key,
            )
            .await;
        println!(
            "payout ({attempt} request, key payout-2026-17): {}",
            payout.wrap_err("the payout request failed")?
        );
    }
    Ok(())
}

fn request_body() -> String {
    json!({ "claim": 17 }).to_string()
}

async fn apply(api: &Api) -> eyre::Result<()> {
    let records: Vec<String> = RECORDS
        .iter()
        .flat_map(|file| text::split(file))
        .map(|part| part.text)
        .collect();
    let count = records.len();
    let change = json!({ "change": 1, "records": records }).to_string();
    let answer = retry(|| api.send(Method::POST, "/config", Some(change.clone()), None)).await?;
    println!("configuration: {count} records of schema versions 1 and 2 applied: {answer}");
    Ok(())
}

async fn submit(api: &Api) -> eyre::Result<()> {
    let job = Some(JOB.to_owned());
    let mut status: JobStatus = retry(|| api.send_json(Method::POST, "/jobs", job.clone())).await?;
    let path = format!("/jobs/{}/{}", status.organisation, status.name);
    let started = time::Instant::now();
    let mut shown = None;
    loop {
        if shown != Some(status.phase) {
            let workers: Vec<String> = status.workers.iter().map(ToString::to_string).collect();
            println!(
                "job {}: {} {}",
                status.name,
                status.phase,
                workers.join(" ")
            );
            shown = Some(status.phase);
        }
        if status.phase.is_final() {
            break;
        }
        if started.elapsed() > STEP_TIMEOUT {
            bail!(
                "job {} is still {}: {}",
                status.name,
                status.phase,
                status.reason
            );
        }
        ntex::time::sleep(RETRY_DELAY).await;
        status = api.send_json(Method::GET, &path, None).await?;
    }
    if status.phase != Phase::Done {
        bail!(
            "job {} ended as {}: {}",
            status.name,
            status.phase,
            status.reason
        );
    }
    Ok(())
}

/// Repeats a step until it succeeds or the time limit passes; processes that have just started may
/// refuse requests.
async fn retry<F, R, T>(step: F) -> eyre::Result<T>
where
    F: Fn() -> R,
    R: Future<Output = eyre::Result<T>>,
{
    let started = time::Instant::now();
    loop {
        match step().await {
            Ok(value) => return Ok(value),
            Err(e) if started.elapsed() > STEP_TIMEOUT => return Err(e),
            Err(_) => ntex::time::sleep(RETRY_DELAY).await,
        }
    }
}
