//! The request path: `POST /call/{service}/{operation}`.

use std::rc::Rc;

use base::{clock, clock::Millis, limits, name::Name};
use claim::{
    claims::ClaimOutcome,
    fingerprint, record,
    ticket::{ExecutionOutcome, Ticket},
};
use ntex::{
    http::{self, HeaderMap, StatusCode, header::HeaderValue},
    io::IoRef,
    web::HttpResponse,
};
use route::{admission::AdmissionError, outcome};
use schema::service::{Operation, Service};
use serve::AnswerBody;
use tokio::time;

use crate::{
    auth::Identity,
    backend::{Answer, BackendRequest, DEADLINE},
    balancer::Balancer,
    body::Body,
    dispatch,
    refusal::{Code, Outcome, Refusal},
    state::Entry,
};

/// Header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that marks an answer as the stored answer to an earlier request.
pub const REPLAYED: &str = "x-replayed";

/// Service and operation of a request.
#[derive(Clone, Debug)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
}

/// A request that has passed all checks.
#[derive(Debug)]
pub struct Call {
    /// Organisation of the caller.
    pub organisation: Name,
    /// Service and operation to call.
    pub target: Target,
    /// Idempotency key; always present if the operation is not repeatable.
    pub key: Option<String>,
    /// Time until which the caller waits for the answer.
    pub deadline: Millis,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Body,
    /// Connection of the caller.
    pub io: Option<IoRef>,
}

/// Time after the start of a claim within which its request may be sent.
///
/// Shorter than the 10 s after which the member row of a frozen entry is removed: from then on an
/// operator may settle the claim and make the key usable again.
const CLAIM_SEND_LIMIT: Millis = Millis(5_000);
/// Time after the last renewal of the member row within which a claimed request may be sent, with a
/// margin before the removal of the row.
const MEMBER_SEND_LIMIT: Millis = Millis(9_000);

/// Complete answer to a caller.
#[derive(Debug)]
enum Reply {
    Fresh(Answer),
    Replayed(record::Answer),
}

/// Returns the time before which a request has to be sent whose claim starts at `now`. The member
/// row of this entry was last renewed at `renewed_at`, or never.
///
/// ```
/// use base::clock::Millis;
/// use entry::call::latest_claimed_start;
///
/// let now = Millis(60_000);
/// assert_eq!(latest_claimed_start(now, Some(Millis(59_500))), Millis(65_000));
/// assert_eq!(latest_claimed_start(now, Some(Millis(53_000))), Millis(62_000));
/// assert_eq!(latest_claimed_start(now, None), Millis(0));
/// ```
pub fn latest_claimed_start(now: Millis, renewed_at: Option<Millis>) -> Millis {
    let by_member_row = renewed_at.map_or(Millis::ZERO, |at| at + MEMBER_SEND_LIMIT);
    (now + CLAIM_SEND_LIMIT).min(by_member_row)
}

/// Runs the checks of a request that need no body.
///
/// Returns the organisation, the target, the idempotency key and the time allowed for the answer.
pub fn check(
    cx: &Entry,
    headers: &HeaderMap,
    service: &str,
    operation: &str,
) -> Result<(Name, Target, Option<String>, Millis), Refusal> {
    let organisation = match cx.identify(headers)? {
        Identity::Organisation(name) => name,
        Identity::Operator(_) => {
            let message = "operators can't call services";
            return Err(Refusal::not_run(Code::Forbidden, message));
        }
    };
    let target = resolve(cx, service, operation)?;
    let key = idempotency_key(headers, &target.operation)?;
    let allowed = allowed_time(cx, headers, &target.operation)?;
    Ok((organisation, target, key, allowed))
}

/// Serves a request: admission, claim, dispatch and answer.
pub async fn run(cx: Rc<Entry>, call: Call) -> HttpResponse {
    let start = clock::now();
    let result = serve(&cx, &call).await;
    let took = clock::now().since(start);
    match result {
        Ok(reply) => {
            cx.metrics.request("answered", took);
            reply.response(call.io)
        }
        Err(refusal) => {
            cx.metrics.request(&refusal.code, took);
            refusal.response()
        }
    }
}

async fn serve(cx: &Rc<Entry>, call: &Call) -> Result<Reply, Refusal> {
    loop {
        require_confirmed_config(cx).await?;
        require_server(cx, &call.target.service.name).await?;
        let balancer = cx.balancer(&call.target.service);
        let server = admit(&balancer, call).await?;
        let slot = dispatch::Slot::new(balancer.clone(), server);
        let key = call.key.as_deref();
        let Some(key) = key.filter(|_| !call.target.operation.repeatable) else {
            let latest_start = call.deadline;
            let request = backend_request(cx, call);
            let answer = dispatch::run(cx, call, latest_start, request, slot).await?;
            return Ok(Reply::Fresh(answer));
        };
        if let Some(reply) = run_claimed(cx, call, key, slot).await? {
            return Ok(reply);
        }
    }
}

/// Refuses the request if no server of `service` accepts new requests.
async fn require_server(cx: &Entry, service: &Name) -> Result<(), Refusal> {
    if cx.vm_list.has_available_server(service) {
        return Ok(());
    }
    cx.refresh_vm_list(cx.cfg.vm_poll).await;
    if cx.vm_list.has_available_server(service) {
        return Ok(());
    }
    let message = format!("no server of {service} accepts new requests");
    Err(Refusal::not_run(Code::NoServer, message))
}

/// Claims the idempotency key of a request that is not repeatable, and runs the request.
///
/// Returns `None` if a running request with the same key ended without an answer, so that the key
/// has to be claimed again.
async fn run_claimed(
    cx: &Rc<Entry>,
    call: &Call,
    key: &str,
    slot: dispatch::Slot,
) -> Result<Option<Reply>, Refusal> {
    let (service, operation) = (&call.target.service.name, &call.target.operation.name);
    let fingerprint = fingerprint::of(service, operation, &call.body.bytes);
    let latest_start = latest_claimed_start(clock::now(), cx.members.own.renewed_at());
    let claiming = cx.claims.begin(&call.organisation, key, &fingerprint);
    let left = call.deadline.since(clock::now());
    let Ok(claimed) = time::timeout(left.to_duration(), claiming).await else {
        // Nothing was dispatched; if the claim is still written, it is settled as `not_run`.
        cx.metrics.claim("late");
        let message = "the idempotency key could not be claimed before the deadline";
        return Err(Refusal::not_run(Code::StoreDown, message));
    };
    match claimed {
        ClaimOutcome::Run(ticket) => {
            cx.metrics.claim("run");
            let request = backend_request(cx, call);
            let result = dispatch::run(cx, call, latest_start, request, slot).await;
            settle(ticket, &result);
            result.map(Reply::Fresh).map(Some)
        }
        other => {
            drop(slot);
            result_without_run(cx, call, other).await
        }
    }
}

/// Returns the result of a request whose claim does not allow it to run.
async fn result_without_run(
    cx: &Entry,
    call: &Call,
    claimed: ClaimOutcome,
) -> Result<Option<Reply>, Refusal> {
    let (label, result) = match claimed {
        ClaimOutcome::Run(_) => unreachable!("the caller runs the request"),
        ClaimOutcome::Replay(answer) => ("replay", Ok(Some(Reply::Replayed(answer)))),
        ClaimOutcome::Wait(waiter) => {
            let left = call.deadline.since(clock::now());
            let settled = time::timeout(left.to_duration(), waiter.wait()).await;
            ("wait", result_of_running(settled.ok()))
        }
        ClaimOutcome::Conflict => ("conflict", Err(key_conflict())),
        ClaimOutcome::InProgressElsewhere => ("elsewhere", Err(in_progress())),
        ClaimOutcome::Unknown => ("unknown", Err(outcome_unknown())),
        ClaimOutcome::NotRunStoreDown => {
            let message = "the idempotency key could not be claimed, because the table service is \
                           not available";
            let refusal = Refusal::not_run(Code::StoreDown, message);
            ("store_down", Err(refusal))
        }
    };
    cx.metrics.claim(label);
    result
}

/// Returns the result of a running request for another request with the same key.
///
/// Returns `None` if the running one ended without an answer: another entry may hold the key by
/// now, so the key has to be claimed again.
fn result_of_running(settled: Option<ExecutionOutcome>) -> Result<Option<Reply>, Refusal> {
    match settled {
        Some(ExecutionOutcome::Completed(answer)) => Ok(Some(Reply::Replayed(answer))),
        Some(ExecutionOutcome::NotRun | ExecutionOutcome::Unknown) => Ok(None),
        None => {
            let message =
                "the running request with this idempotency key did not end before the deadline";
            Err(Refusal::unknown(Code::OutcomeUnknown, message))
        }
    }
}

/// Settles the claim with the result of the request.
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

fn backend_request(cx: &Entry, call: &Call) -> BackendRequest {
    BackendRequest {
        id: cx.request_id(),
        operation: call.target.operation.name.clone(),
        organisation: call.organisation.clone(),
        content_type: call.content_type.clone(),
        body: call.body.bytes.clone(),
    }
}

/// Refuses the request unless the configuration in force is confirmed as the newest.
async fn require_confirmed_config(cx: &Entry) -> Result<(), Refusal> {
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

/// Waits for a server with a free slot; the request counts as in flight there from then on.
async fn admit(balancer: &Rc<Balancer>, call: &Call) -> Result<outcome::ServerId, Refusal> {
    let class = call.target.operation.class;
    let queued = balancer
        .enqueue(&call.organisation, class, call.deadline)
        .map_err(not_admitted)?;
    let left = call.deadline.since(clock::now());
    match time::timeout(left.to_duration(), queued.wait()).await {
        Ok(granted) => granted.map_err(not_admitted),
        Err(_) => Err(Refusal::not_run(
            Code::Deadline,
            "no server had a free slot before the deadline",
        )),
    }
}

fn not_admitted(error: AdmissionError) -> Refusal {
    let code = match error {
        AdmissionError::QueueFull => Code::QueueFull,
        AdmissionError::DeadlineUnreachable { .. } => Code::Deadline,
    };
    Refusal::not_run(code, error.to_string())
}

fn resolve(cx: &Entry, service: &str, operation: &str) -> Result<Target, Refusal> {
    let active = cx.config.get();
    let found = active.config.services.get(service);
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

fn idempotency_key(headers: &HeaderMap, operation: &Operation) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        if operation.repeatable {
            return Ok(None);
        }
        let message = format!(
            "operation {} requires the header {IDEMPOTENCY_KEY}",
            operation.name
        );
        return Err(Refusal::not_run(Code::KeyRequired, message));
    };
    let text = value.to_str().unwrap_or_default();
    let is_allowed = |b: u8| b.is_ascii_graphic() && b != b'/';
    if text.is_empty() || text.len() > limits::KEY_BYTES || !text.bytes().all(is_allowed) {
        let message = format!(
            "{IDEMPOTENCY_KEY} must be 1 to {} visible ASCII characters without '/'",
            limits::KEY_BYTES
        );
        return Err(Refusal::not_run(Code::BadKey, message));
    }
    Ok(Some(text.to_owned()))
}

/// Returns the time that the caller allows for the answer, up to the limits of the operation and
/// the entry.
fn allowed_time(cx: &Entry, headers: &HeaderMap, operation: &Operation) -> Result<Millis, Refusal> {
    let longest = operation.deadline_ms.min(cx.cfg.max_deadline);
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(longest);
    };
    let requested = value.to_str().ok().and_then(|s| s.parse::<u64>().ok());
    if let Some(ms) = requested.filter(|ms| *ms > 0) {
        return Ok(Millis(ms).min(longest));
    }
    let message = format!("{DEADLINE} must be a whole number of milliseconds above 0");
    Err(Refusal::not_run(Code::BadHeader, message))
}

fn key_conflict() -> Refusal {
    let message = "this idempotency key was used with another request";
    Refusal::not_run(Code::KeyConflict, message)
}

/// The other entry may run the request, so its outcome is unknown; this entry did not run it.
fn in_progress() -> Refusal {
    let message = "a request with this idempotency key is running on another entry";
    Refusal::not_run(Code::InProgress, message).with_outcome(Outcome::Unknown)
}

fn outcome_unknown() -> Refusal {
    let message = "it is unknown whether the request with this idempotency key was run";
    Refusal::unknown(Code::OutcomeUnknown, message)
}

impl Reply {
    /// Returns the response, which is written to `io`.
    fn response(self, io: Option<IoRef>) -> HttpResponse {
        match self {
            Self::Fresh(answer) => {
                let mut response = HttpResponse::build(answer.status);
                if let Some(content_type) = answer.content_type {
                    response.header("content-type", content_type);
                }
                match answer.memory {
                    Some(memory) => {
                        let body = AnswerBody::new(answer.body, memory, io);
                        response.body(http::body::Body::from_message(body))
                    }
                    None => response.body(ntex::util::Bytes::copy_from_slice(&answer.body)),
                }
            }
            Self::Replayed(answer) => replayed(&answer),
        }
    }
}

fn replayed(answer: &record::Answer) -> HttpResponse {
    let Some(body) = &answer.body else {
        let message = format!(
            "the request with this idempotency key ran with status {}, but its answer was too \
             large to be stored",
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
