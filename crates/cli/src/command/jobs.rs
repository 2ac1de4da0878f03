//! `submit`, `cancel`, `status` and `settle`.

use ntex::{http::Method, time};
use serde::Deserialize;
use serde_json::json;
use wire::message::JobStatus;

use super::files;
use crate::{
    api::{self, Api},
    args,
    exit::Failure,
};

/// Interval at which `submit --wait` asks for the job's status.
const POLL_INTERVAL: time::Millis = time::Millis(500);

/// Answer to `GET /jobs`.
#[derive(Debug, Deserialize)]
struct Jobs {
    jobs: Vec<JobStatus>,
}

/// Submits a job and, with `--wait`, prints its status until the job has ended.
pub fn submit(api: Api, args: args::Submit) -> eyre::Result<()> {
    let records = files::read(std::slice::from_ref(&args.path))?;
    let [job] = records.as_slice() else {
        return Err(Failure::bad_input(format!(
            "{}: expected one job record",
            args.path
        )));
    };
    let text = job.text.clone();
    api::block_on(async move {
        let mut status: JobStatus = api.send_json(Method::POST, "/jobs", Some(text)).await?;
        print_status(&status, api.json)?;
        while args.wait && !status.phase.is_final() {
            time::sleep(POLL_INTERVAL).await;
            let path = format!("/jobs/{}/{}", status.organisation, status.name);
            let next: eyre::Result<JobStatus> = api.send_json(Method::GET, &path, None).await;
            let next = next.map_err(|e| {
                Failure::unknown(format!("the job is submitted, its end is not known: {e:#}"))
            })?;
            if next != status {
                print_status(&next, api.json)?;
            }
            status = next;
        }
        Ok(())
    })
}

/// Cancels a job.
pub fn cancel(api: Api, args: &args::Cancel) -> eyre::Result<()> {
    let path = job_path(&args.job)?;
    api::block_on(async move {
        let status: JobStatus = api.send_json(Method::DELETE, &path, None).await?;
        print_status(&status, api.json)
    })
}

/// Prints the status of one job or of all jobs.
pub fn status(api: Api, args: &args::Status) -> eyre::Result<()> {
    let path = match &args.job {
        Some(job) => job_path(job)?,
        None => "/jobs".into(),
    };
    let single = args.job.is_some();
    api::block_on(async move {
        let jobs: Vec<JobStatus> = if single {
            vec![api.send_json(Method::GET, &path, None).await?]
        } else {
            api.send_json::<Jobs>(Method::GET, &path, None).await?.jobs
        };
        jobs.iter()
            .try_for_each(|status| print_status(status, api.json))
    })
}

/// Records whether a request with an unknown outcome ran.
pub fn settle(api: Api, args: &args::Settle) -> eyre::Result<()> {
    let (organisation, key) = args
        .key
        .split_once('/')
        .ok_or_else(|| Failure::bad_input("expected ORGANISATION/KEY"))?;
    let outcome = match args.outcome.as_str() {
        "ran" => "ran",
        "not-run" => "not_run",
        other => {
            let message = format!("outcome '{other}': expected 'ran' or 'not-run'");
            return Err(Failure::bad_input(message));
        }
    };
    let body = json!({ "organisation": organisation, "key": key, "outcome": outcome }).to_string();
    api::block_on(async move {
        let answer = api.send(Method::POST, "/claims", Some(body), None).await?;
        println!("{answer}");
        Ok(())
    })
}

fn job_path(job: &str) -> eyre::Result<String> {
    match job.split_once('/') {
        Some((organisation, name)) => Ok(format!("/jobs/{organisation}/{name}")),
        None => Err(Failure::bad_input(format!(
            "'{job}': expected ORGANISATION/NAME"
        ))),
    }
}

fn print_status(status: &JobStatus, json: bool) -> eyre::Result<()> {
    if json {
        println!("{}", serde_json::to_string(status)?);
        return Ok(());
    }
    let workers: Vec<&str> = status
        .workers
        .iter()
        .map(base::name::Name::as_str)
        .collect();
    let placement = match workers.as_slice() {
        [] => String::new(),
        workers => format!(" on {}", workers.join(" ")),
    };
    let reason = match status.reason.as_str() {
        "" => String::new(),
        reason => format!(": {reason}"),
    };
    let JobStatus {
        organisation,
        name,
        phase,
        attempt,
        ..
    } = status;
    println!("{organisation}/{name} {phase} attempt {attempt}{placement}{reason}");
    Ok(())
}
