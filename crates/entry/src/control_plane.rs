//! Control plane: requests about jobs, the configuration and claims.
//!
//! The leading scheduler decides requests about jobs and the configuration.

use std::rc::Rc;

use base::{clock, limits, name::Name};
use ntex::{
    http::{HeaderMap, StatusCode},
    web::HttpResponse,
};
use schema::{
    config::Config,
    job::{Job, Phase},
    read,
    record::Record,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use wire::message::{Effect, JobStatus, Reply, Request};

use crate::{
    auth::Identity,
    body::{self, Body},
    refusal::{Code, Outcome, Refusal},
    settle,
    state::Entry,
};

/// Maximum number of jobs that one answer lists.
const MAX_LISTED_JOBS: u32 = 1_000;
/// Header with the id of a configuration change, with which it can be sent again after a lost
/// answer.
pub const CHANGE_ID: &str = "x-change";

/// A request to the control plane.
#[derive(Debug)]
pub enum ControlRequest {
    /// Submits the job in the body.
    Submit(Body),
    /// Lists the caller's jobs, or all jobs for an operator.
    Jobs,
    /// Shows one job.
    Job(Name, Name),
    /// Cancels one job.
    Cancel(Name, Name),
    /// Changes the configuration with the records in the body.
    Apply(Body),
    /// Shows the configuration.
    Config,
    /// Settles the claim in the body.
    Settle(Body),
}

/// Body of `POST /config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    /// Records, each as an object or as a string of JSON text.
    records: Vec<Value>,
    /// Revision on which the change is based.
    expected_revision: Option<u64>,
    /// Id of the change, which makes the request idempotent; random by default.
    change: Option<u64>,
}

/// State of a job as shown to callers.
#[derive(Debug, Serialize)]
struct JobView<'a> {
    organisation: &'a Name,
    name: &'a Name,
    phase: Phase,
    attempt: u32,
    workers: &'a [Name],
    reason: &'a str,
}

#[derive(Debug, Serialize)]
struct JobsView<'a> {
    jobs: Vec<JobView<'a>>,
}

#[derive(Debug, Serialize)]
struct AppliedView {
    revision: u64,
    change: u64,
}

#[derive(Debug, Serialize)]
struct ConfigView<'a> {
    revision: u64,
    config: &'a Config,
}

/// Authorises a request, runs it and returns the answer.
pub async fn run(cx: Rc<Entry>, identity: Identity, request: ControlRequest) -> HttpResponse {
    let start = clock::now();
    let result = answer(&cx, &identity, request).await;
    let took = clock::now().since(start);
    match result {
        Ok(response) => {
            cx.metrics.request("decided", took);
            response
        }
        Err(refusal) => {
            cx.metrics.request(&refusal.code, took);
            refusal.response()
        }
    }
}

/// Authenticates the sender of a request to the control plane.
pub fn identify(cx: &Entry, headers: &HeaderMap) -> Result<Identity, Refusal> {
    cx.identify(headers)
}

async fn answer(
    cx: &Entry,
    identity: &Identity,
    request: ControlRequest,
) -> Result<HttpResponse, Refusal> {
    match request {
        ControlRequest::Submit(body) => {
            let job = read_job(&body)?;
            authorise(identity, &job.organisation)?;
            let reply = send(cx, &Request::Submit { job }).await?;
            job_response(reply, StatusCode::ACCEPTED)
        }
        ControlRequest::Jobs => {
            let organisation = match identity {
                Identity::Organisation(name) => Some(name.clone()),
                Identity::Operator(_) => None,
            };
            let req = Request::Jobs {
                organisation,
                limit: MAX_LISTED_JOBS,
            };
            match send(cx, &req).await? {
                Reply::Jobs { jobs } => {
                    let jobs = jobs.iter().map(view).collect();
                    Ok(HttpResponse::Ok().json(&JobsView { jobs }))
                }
                other => Err(unexpected(&other)),
            }
        }
        ControlRequest::Job(organisation, job) => {
            authorise(identity, &organisation)?;
            let reply = send(cx, &Request::JobStatus { organisation, job }).await?;
            job_response(reply, StatusCode::OK)
        }
        ControlRequest::Cancel(organisation, job) => {
            authorise(identity, &organisation)?;
            let reply = send(cx, &Request::Cancel { organisation, job }).await?;
            job_response(reply, StatusCode::OK)
        }
        ControlRequest::Apply(body) => apply(cx, require_operator(identity)?, &body).await,
        ControlRequest::Settle(body) => settle::run(cx, &require_operator(identity)?, &body).await,
        ControlRequest::Config => {
            require_operator(identity)?;
            show_config(cx).await
        }
    }
}

/// Parses a job record of any schema version.
fn read_job(body: &Body) -> Result<Job, Refusal> {
    let bad = |message: String| Refusal::not_run(Code::BadRecord, message);
    let text = str::from_utf8(&body.bytes).map_err(|e| bad(e.to_string()))?;
    let versioned = read::read(text).map_err(|e| bad(e.to_string()))?;
    match versioned.record {
        Record::Job(job) => Ok(job),
        other => Err(bad(format!(
            "expected a job record, found {}",
            other.title()
        ))),
    }
}

async fn apply(cx: &Entry, operator: Name, body: &Body) -> Result<HttpResponse, Refusal> {
    let change: Change = body::json(&body.bytes)?;
    if change.records.len() > limits::APPLY_RECORDS {
        let message = format!(
            "a change can have at most {} records",
            limits::APPLY_RECORDS
        );
        return Err(Refusal::not_run(Code::TooManyRecords, message));
    }
    let id = change.change.unwrap_or_else(|| fastrand::u64(1..));
    let records = change.records.into_iter().map(|record| match record {
        Value::String(text) => text,
        other => other.to_string(),
    });
    let req = Request::Apply {
        change: id,
        operator,
        records: records.collect(),
        expected_revision: change.expected_revision,
    };
    // With the id, the operator can safely send a change with an unknown decision again.
    let with_id = |mut refusal: Refusal| {
        refusal.message = format!("{} (change {id})", refusal.message);
        refusal
    };
    match send(cx, &req).await.map_err(with_id)? {
        Reply::Applied { revision } => {
            let view = AppliedView {
                revision,
                change: id,
            };
            let mut response = HttpResponse::Ok();
            response.header(CHANGE_ID, id.to_string());
            Ok(response.json(&view))
        }
        other => Err(unexpected(&other)),
    }
}

async fn show_config(cx: &Entry) -> Result<HttpResponse, Refusal> {
    // No member has the id 0, so the leader does not count this as an acknowledgement.
    let req = Request::Current {
        member: 0,
        known_revision: 0,
    };
    match send(cx, &req).await? {
        Reply::Current {
            revision, config, ..
        } => {
            let config = config.unwrap_or_default();
            let config = &config;
            Ok(HttpResponse::Ok().json(&ConfigView { revision, config }))
        }
        other => Err(unexpected(&other)),
    }
}

/// Sends `req` to the leader and converts a failure reply into a refusal.
async fn send(cx: &Entry, req: &Request) -> Result<Reply, Refusal> {
    match cx.schedulers.call(req, cx.cfg.scheduler_timeout).await? {
        Reply::Failed {
            code,
            message,
            done,
        } => Err(refusal_from(code, message, done)),
        reply => Ok(reply),
    }
}

fn refusal_from(code: String, message: String, done: Effect) -> Refusal {
    if done == Effect::Maybe {
        return Refusal {
            code: code.into(),
            ..Refusal::unknown(Code::DecisionUnknown, message)
        };
    }
    let status = match code.as_str() {
        c if c.starts_with("unknown_") || c == "not_found" => StatusCode::NOT_FOUND,
        c if c.contains("conflict") || c.contains("revision") || c.contains("exists") => {
            StatusCode::CONFLICT
        }
        c if c.contains("quota") || c.contains("full") => StatusCode::TOO_MANY_REQUESTS,
        c if c.contains("store") || c.contains("unavailable") || c.contains("leader") => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        _ => StatusCode::UNPROCESSABLE_ENTITY,
    };
    Refusal {
        status,
        code: code.into(),
        outcome: Outcome::NotRun,
        message,
    }
}

/// Permits operators and the organisation that owns the job.
fn authorise(identity: &Identity, organisation: &Name) -> Result<(), Refusal> {
    match identity {
        Identity::Operator(_) => Ok(()),
        Identity::Organisation(own) if own == organisation => Ok(()),
        Identity::Organisation(_) => {
            let message = "the access token belongs to another organisation";
            Err(Refusal::not_run(Code::Forbidden, message))
        }
    }
}

fn require_operator(identity: &Identity) -> Result<Name, Refusal> {
    match identity {
        Identity::Operator(name) => Ok(name.clone()),
        Identity::Organisation(_) => {
            let message = "this request requires an operator's access token";
            Err(Refusal::not_run(Code::Forbidden, message))
        }
    }
}

fn job_response(reply: Reply, status: StatusCode) -> Result<HttpResponse, Refusal> {
    match reply {
        Reply::Job { status: job } => Ok(HttpResponse::build(status).json(&view(&job))),
        other => Err(unexpected(&other)),
    }
}

fn view(status: &JobStatus) -> JobView<'_> {
    JobView {
        organisation: &status.organisation,
        name: &status.name,
        phase: status.phase,
        attempt: status.attempt,
        workers: &status.workers,
        reason: &status.reason,
    }
}

fn unexpected(reply: &Reply) -> Refusal {
    let message = format!("the scheduler sent an unexpected answer: {reply:?}");
    Refusal::unknown(Code::DecisionUnknown, message)
}
