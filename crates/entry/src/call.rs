//! The request path: `POST /call/{service}/{operation}`.

use std::rc::Rc;

use base::{clock, clock::Millis, limits, name::Name};
use claim::{
    claims::ClaimOutcome,
    fingerprint, record,
    ticket::{ExecutionOutcome, Ticket},
};
use ntex::{
    http::{HeaderMap, StatusCode, header::HeaderValue},
    web::HttpResponse,
};
use route::{admission::AdmissionError, outcome};
use schema::service::{Operation, Service};
use tokio::time;

use crate::{
    auth::Identity,
    backend::{Answer, DEADLINE, Order},
    balancer::Balancer,
    dispatch,
    input::Body,
    refusal::{Code, Outcome, Refusal},
    state::Entry,
};

/// Header with the idempotency key.
pub const KEY: &str = "idempotency-key";
/// Header that marks an answer as a stored one.
pub const REPLAYED: &str = "x-replayed";

/// Service and operation that a request names.
#[derive(Clone, Debug)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
}

/// A request that has passed the checks of its form.
#[derive(Debug)]
pub struct Call {
    /// Organisation of the caller.
    pub organisation: Name,
    /// What is called.
    pub target: Target,
    /// Idempotency key; always there when the operation may not be repeated.
    pub key: Option<String>,
    /// Point in time until which the caller waits.
    pub deadline: Millis,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Body,
}

/// Time from the start of a claim in which its request may be sent.
///
/// It is shorter than the 10 s after which the member row of a frozen entry is removed, because an
/// operator may then settle the claim and let the key be used again.
const CLAIM_USE: Millis = Millis(5_000);

/// Whole answer to a caller.
#[derive(Debug)]
enum Reply {
    Fresh(Answer),
    Replayed(record::Answer),
}

/// Checks everything about a request that needs no body.
pub fn check(
    cx: &Entry,
    headers: &HeaderMap,
    service: &str,
    operation: &str,
) -> Result<(Name, Target, Option<String>, Millis), Refusal> {
    let organisation = match cx.identify(headers)? {
        Identity::Organisation(name) => name,
        Identity::Operator(_) => {
            let message = "an operator's token can't call services";
            return Err(Refusal::not_run(Code::Forbidden, message));
        }
    };
    let target = resolve(cx, service, operation)?;
    let key = key(headers, &target.operation)?;
    let allowed = deadline(cx, headers, &target.operation)?;
    Ok((organisation, target, key, allowed))
}

/// Runs a request through admission, claim, routing and dispatch.
pub async fn run(cx: Rc<Entry>, call: Call) -> HttpResponse {
    let start = clock::now();
    let result = serve(&cx, &call).await;
    let took = clock::now().since(start);
    match result {
        Ok(reply) => {
            cx.metrics.request("answered", took);
            reply.response()
        }
        Err(refusal) => {
            cx.metrics.request(&refusal.code, took);
            refusal.response()
        }
    }
}

async fn serve(cx: &Rc<Entry>, call: &Call) -> Result<Reply, Refusal> {
    loop {
        confirm_config(cx).await?;
        find_server(cx, &call.target.service.name).await?;
        let balancer = cx.balancer(&call.target.service);
        let server = admitted(&balancer, call).await?;
        let slot = dispatch::Slot::new(balancer.clone(), server);
        let key = call.key.as_deref();
        let Some(key) = key.filter(|_| !call.target.operation.repeatable) else {
            let latest = call.deadline;
            let answer = dispatch::run(cx, call, latest, order(cx, call), slot).await?;
            return Ok(Reply::Fresh(answer));
        };
        if let Some(reply) = claimed(cx, call, key, slot).await? {
            return Ok(reply);
        }
    }
}

/// Refuses the request if no server of `service` takes work.
async fn find_server(cx: &Entry, service: &Name) -> Result<(), Refusal> {
    if cx.vms.serves(service) {
        return Ok(());
    }
    cx.refresh_vms(cx.cfg.vm_poll).await;
    if cx.vms.serves(service) {
        return Ok(());
    }
    let message = format!("no server of {service} takes work");
    Err(Refusal::not_run(Code::NoServer, message))
}

/// Runs a request that may not be repeated under a claim of its key.
///
/// Returns `None` if another request with the key held the claim and was not run, so that this
/// one has to claim the key itself.
async fn claimed(
    cx: &Rc<Entry>,
    call: &Call,
    key: &str,
    slot: dispatch::Slot,
) -> Result<Option<Reply>, Refusal> {
    let (service, operation) = (&call.target.service.name, &call.target.operation.name);
    let print = fingerprint::of(service, operation, &call.body.bytes);
    let latest = clock::now() + CLAIM_USE;
    let begin = cx.claims.begin(&call.organisation, key, &print);
    let left = call.deadline.since(clock::now());
    let Ok(begun) = time::timeout(left.to_duration(), begin).await else {
        // The claim was not taken, so nothing was dispatched and the claim is set to `not_run`.
        cx.metrics.claim("late");
        let message = "the key could not be claimed before the deadline";
        return Err(Refusal::not_run(Code::StoreDown, message));
    };
    match begun {
        ClaimOutcome::Run(ticket) => {
            cx.metrics.claim("run");
            let result = dispatch::run(cx, call, latest, order(cx, call), slot).await;
            settle(ticket, &result);
            result.map(Reply::Fresh).map(Some)
        }
        other => {
            drop(slot);
            other_result(cx, call, other).await
        }
    }
}

async fn other_result(
    cx: &Entry,
    call: &Call,
    begun: ClaimOutcome,
) -> Result<Option<Reply>, Refusal> {
    let (label, result) = match begun {
        ClaimOutcome::Run(_) => unreachable!("a held claim is run"),
        ClaimOutcome::Replay(answer) => ("replay", Ok(Some(Reply::Replayed(answer)))),
        ClaimOutcome::Wait(waiter) => {
            let left = call.deadline.since(clock::now());
            let settled = time::timeout(left.to_duration(), waiter.wait()).await;
            ("wait", of_running(settled.ok()))
        }
        ClaimOutcome::Conflict => ("conflict", Err(conflict())),
        ClaimOutcome::InProgressElsewhere => ("elsewhere", Err(in_progress())),
        ClaimOutcome::Unknown => ("unknown", Err(unknown())),
        ClaimOutcome::NotRunStoreDown => {
            let message = "the key could not be claimed, because the table service does not answer";
            let refusal = Refusal::not_run(Code::StoreDown, message);
            ("store_down", Err(refusal))
        }
    };
    cx.metrics.claim(label);
    result
}

/// Gives a request the result of the running one with the same key.
///
/// Without an answer of the other one, another entry may hold the key, so the request looks at the
/// key again and reports what it finds.
fn of_running(settled: Option<ExecutionOutcome>) -> Result<Option<Reply>, Refusal> {
    match settled {
        Some(ExecutionOutcome::Completed(answer)) => Ok(Some(Reply::Replayed(answer))),
        Some(ExecutionOutcome::NotRun | ExecutionOutcome::Unknown) => Ok(None),
        None => {
            let message = "the running request with this key had no result before the deadline";
            Err(Refusal::unknown(Code::OutcomeUnknown, message))
        }
    }
}

fn settle(ticket: Ticket, result: &Result<Answer, Refusal>) {
    match result {
        Ok(answer) => {
            let content_type = answer.content_type.as_ref();
            let content_type = content_type.and_then(|v| v.to_str().ok()).unwrap_or("");
            let body = answer.body.to_vec();
            ticket.complete(record::Answer::new(
                answer.status.as_u16(),
                content_type,
                body,
            ));
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => ticket.not_run(),
        Err(_) => ticket.unknown(),
    }
}

fn order(cx: &Entry, call: &Call) -> Order {
    Order {
        id: cx.request_id(),
        operation: call.target.operation.name.clone(),
        organisation: call.organisation.clone(),
        content_type: call.content_type.clone(),
        body: call.body.bytes.clone(),
    }
}

/// Refuses the request unless the configuration in force is known to be the newest.
async fn confirm_config(cx: &Entry) -> Result<(), Refusal> {
    if cx.config.is_confirmed(cx.cfg.config_lease) {
        return Ok(());
    }
    cx.refresh_config(cx.cfg.config_lease).await;
    if cx.config.is_confirmed(cx.cfg.config_lease) {
        return Ok(());
    }
    let message = "this entry can't confirm that its configuration is the newest, use another one";
    Err(Refusal::not_run(Code::ConfigUnconfirmed, message))
}

/// Waits for a server; the server counts as in use from then on.
async fn admitted(balancer: &Rc<Balancer>, call: &Call) -> Result<outcome::ServerId, Refusal> {
    let class = call.target.operation.class;
    let place = balancer
        .queue(&call.organisation, class, call.deadline)
        .map_err(not_admitted)?;
    let left = call.deadline.since(clock::now());
    match time::timeout(left.to_duration(), place.wait()).await {
        Ok(granted) => granted.map_err(not_admitted),
        Err(_) => Err(Refusal::not_run(
            Code::Deadline,
            "no server had room before the deadline",
        )),
    }
}

fn not_admitted(refused: AdmissionError) -> Refusal {
    let code = match refused {
        AdmissionError::QueueFull => Code::QueueFull,
        AdmissionError::DeadlineUnreachable { .. } => Code::Deadline,
    };
    Refusal::not_run(code, refused.to_string())
}

fn resolve(cx: &Entry, service: &str, operation: &str) -> Result<Target, Refusal> {
    let force = cx.config.get();
    let found = force.config.services.get(service);
    let service = found.ok_or_else(|| {
        Refusal::not_run(Code::UnknownService, "there is no service of this name")
    })?;
    let mut operations = service.operations.iter();
    let found = operations.find(|o| o.name.as_str() == operation);
    let operation = found.ok_or_else(|| {
        let message = format!("service {} has no operation of this name", service.name);
        Refusal::not_run(Code::UnknownOperation, message)
    })?;
    Ok(Target {
        service: service.clone(),
        operation: operation.clone(),
    })
}

fn key(headers: &HeaderMap, operation: &Operation) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(KEY) else {
        if operation.repeatable {
            return Ok(None);
        }
        let message = format!("operation {} needs the header {KEY}", operation.name);
        return Err(Refusal::not_run(Code::KeyRequired, message));
    };
    let text = value.to_str().unwrap_or_default();
    let is_allowed = |b: u8| b.is_ascii_graphic() && b != b'/';
    if text.is_empty() || text.len() > limits::KEY_BYTES || !text.bytes().all(is_allowed) {
        let message = format!(
            "{KEY} has 1 to {} visible ASCII characters without '/'",
            limits::KEY_BYTES
        );
        return Err(Refusal::not_run(Code::BadKey, message));
    }
    Ok(Some(text.to_owned()))
}

/// Returns the time that the caller allows, up to the limit of the operation.
fn deadline(cx: &Entry, headers: &HeaderMap, operation: &Operation) -> Result<Millis, Refusal> {
    let longest = operation.deadline_ms.min(cx.cfg.max_deadline);
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(longest);
    };
    let asked = value.to_str().ok().and_then(|s| s.parse::<u64>().ok());
    if let Some(ms) = asked.filter(|ms| *ms > 0) {
        return Ok(Millis(ms).min(longest));
    }
    let message = format!("{DEADLINE} is a whole number of milliseconds above 0");
    Err(Refusal::not_run(Code::BadHeader, message))
}

fn conflict() -> Refusal {
    let message = "this idempotency key was used with another request";
    Refusal::not_run(Code::KeyConflict, message)
}

/// The request with this key may be run by the other entry, so its outcome is open; this attempt
/// itself did not run it.
fn in_progress() -> Refusal {
    let message = "a request with this idempotency key is under way on another entry";
    Refusal::not_run(Code::InProgress, message).with_outcome(Outcome::Unknown)
}

fn unknown() -> Refusal {
    let message = "whether the request with this idempotency key was run is not known";
    Refusal::unknown(Code::OutcomeUnknown, message)
}

impl Reply {
    fn response(self) -> HttpResponse {
        match self {
            Self::Fresh(answer) => {
                let mut response = HttpResponse::build(answer.status);
                if let Some(content_type) = answer.content_type {
                    response.header("content-type", content_type);
                }
                response.body(ntex::util::Bytes::copy_from_slice(&answer.body))
            }
            Self::Replayed(answer) => replayed(&answer),
        }
    }
}

fn replayed(answer: &record::Answer) -> HttpResponse {
    let Some(body) = &answer.body else {
        let message = format!(
            "the request with this key ran and was answered with status {}; the answer was too \
             large to be kept",
            answer.status
        );
        let refusal = Refusal::not_run(Code::AnswerNotKept, message);
        return refusal.with_outcome(Outcome::Unknown).response();
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    response.header(REPLAYED, "1");
    if !answer.content_type.is_empty() {
        response.header("content-type", answer.content_type.as_str());
    }
    response.body(ntex::util::Bytes::copy_from_slice(body.as_bytes()))
}
