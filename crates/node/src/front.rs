//! HTTP handlers for callers' requests, the readiness check and the operators' endpoints.

use std::cell::Cell;

use base::{
    clock::{self, Millis},
    number,
};
use ntex::http::{ConnectionType, Method, Request, Response, StatusCode};
use platform::paths;
use serve::{Body, BodyError, BodySpec};

use crate::{
    accept,
    authorise::{self, Authorised},
    cx::Cx,
    dump, peers,
    readiness::Readiness,
    refusal::Refusal,
};

/// Maximum size of a body in bytes unless the configuration sets one.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 10;
/// Timeout of a request whose caller does not state one.
const DEFAULT_TIMEOUT: Millis = Millis(3_000);
/// Time in which the body of a request that is refused by its head may arrive before the refusal is
/// sent and the connection closed.
const REFUSED_BODY_TIMEOUT: Millis = Millis(500);
/// Time by which the answer is sent before the caller's timeout. The answer takes up to 10 ms to
/// arrive.
const ANSWER_MARGIN: Millis = Millis(150);

/// Value of `retry-after`, in seconds, if other nodes are served: the balancer sends the next
/// attempt to one of them.
const RETRY_ELSEWHERE_S: u16 = 0;
/// Value of `retry-after`, in seconds, if the store may be unavailable to all nodes. Outages last
/// seconds, and a caller makes only a few attempts.
const RETRY_S: u16 = 1;

/// Handles a request of a caller.
pub(crate) async fn serve(cx: Cx, req: Request) -> Response {
    let guard = cx.requests.begin(clock::now());
    let mut response = answer(&cx, req).await;
    drop(guard);
    if cx.stopping.get() {
        // Closing the connection sends the caller's next request to another entry.
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn answer(cx: &Cx, mut req: Request) -> Response {
    let arrived = serve::arrived(&req);
    let received = Cell::new(false);
    let mut due = cx.answers_due.subscribe();
    let result = tokio::select! {
        result = process(cx, &mut req, arrived, &received) => result,
        _ = due.wait_for(|due| *due) => Err(interrupted(req.method(), received.get())),
    };
    let name = result
        .as_ref()
        .map_or_else(|refusal| refusal.name(), |_| "done");
    cx.metrics.record_request(name, clock::now().since(arrived));
    result.unwrap_or_else(|refusal| refuse(cx, &req, refusal))
}

/// Returns the refusal of a request that is given up while it is carried out. A write may have been sent
/// once its body was received.
fn interrupted(method: &Method, received: bool) -> Refusal {
    match *method {
        Method::POST | Method::DELETE if received => Refusal::Unknown,
        _ => Refusal::Stopping,
    }
}

async fn process(
    cx: &Cx,
    req: &mut Request,
    arrived: Millis,
    received: &Cell<bool>,
) -> Result<Response, Refusal> {
    let deadline = arrived + timeout(req).since(ANSWER_MARGIN);
    let head = check_head(cx, req);
    let body = read_body(cx, req, head.as_ref(), deadline).await?;
    received.set(true);
    head?;
    // The key may have been removed while the body arrived.
    let (authorised, operation) = check_head(cx, req)?;
    match operation {
        Operation::Pending => read_by(deadline, accept::pending(cx, &authorised)).await,
        Operation::Submit => match body {
            RequestBody::Kept(body) => {
                body.decoding().await;
                accept::submit(cx, &authorised, body, deadline).await
            }
            RequestBody::Dropped => Err(Refusal::Invalid),
        },
        Operation::Phase => read_by(deadline, accept::phase(cx, &authorised)).await,
        Operation::Cancel => accept::cancel(cx, &authorised, deadline).await,
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Operation {
    Pending,
    Submit,
    Phase,
    Cancel,
}

/// Judges a request by its head.
fn check_head(cx: &Cx, req: &Request) -> Result<(Authorised, Operation), Refusal> {
    let authorised = authorise::authorise(cx, req)?;
    // A call to a store that answers nothing would only take up the caller's time, and a
    // transaction might still be applied after the caller has left.
    if cx.peers.reach().is_out() {
        return Err(Refusal::Store);
    }
    let operation = operation(req.method(), &authorised.path_suffix)?;
    Ok((authorised, operation))
}

fn operation(method: &Method, path_suffix: &str) -> Result<Operation, Refusal> {
    if path_suffix.is_empty() {
        return match *method {
            Method::GET => Ok(Operation::Pending),
            _ => Err(Refusal::Method),
        };
    }
    let is_id =
        path_suffix.len() == ID_DIGITS && path_suffix.bytes().all(|b| b.is_ascii_hexdigit());
    match *method {
        Method::POST if is_id => Ok(Operation::Submit),
        Method::GET if is_id => Ok(Operation::Phase),
        Method::DELETE if is_id => Ok(Operation::Cancel),
        Method::POST => Err(Refusal::Invalid),
        Method::GET | Method::DELETE => Err(Refusal::NoJob),
        _ => Err(Refusal::Method),
    }
}

/// Gives up a read that the store has not answered by `deadline`.
async fn read_by(
    deadline: Millis,
    read: impl Future<Output = Result<Response, Refusal>>,
) -> Result<Response, Refusal> {
    let remaining = deadline.since(clock::now()).to_duration();
    let read = tokio::time::timeout(remaining, read).await;
    read.unwrap_or(Err(Refusal::Store))
}

/// Number of hexadecimal digits in the id of a job.
const ID_DIGITS: usize = 16;

/// Body of a request, which only a submission keeps.
enum RequestBody {
    Kept(Body),
    Dropped,
}

/// Reads the body of a request that was judged by its head. A body that nobody needs is received too,
/// because a connection that is closed with unread bytes is reset, which can lose the answer.
async fn read_body(
    cx: &Cx,
    req: &mut Request,
    head: Result<&(Authorised, Operation), &Refusal>,
    deadline: Millis,
) -> Result<RequestBody, Refusal> {
    let max_bytes = match cx.config().max_body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        limit => limit,
    };
    let spec = BodySpec {
        organisation: head.ok().and_then(|(a, _)| a.organisation.clone()),
        declared: serve::declared_length(req.headers()),
        max_bytes,
        timeout: deadline.since(clock::now()),
    };
    let bodies = cx.connections.bodies();
    let payload = req.take_payload();
    let result = match head {
        Ok((_, Operation::Submit)) => bodies.read(payload, spec).await.map(RequestBody::Kept),
        Ok(_) => {
            let received = bodies.discard(payload, spec).await;
            received.map(|()| RequestBody::Dropped)
        }
        Err(refusal) => {
            let timeout = spec.timeout.min(REFUSED_BODY_TIMEOUT);
            let received = bodies.discard(payload, BodySpec { timeout, ..spec }).await;
            match received {
                // The refusal by the head does not depend on the rest of the body.
                Err(BodyError::TooSlow | BodyError::Full) => return Err(*refusal),
                received => received.map(|()| RequestBody::Dropped),
            }
        }
    };
    result.map_err(Refusal::of_body)
}

fn timeout(req: &Request) -> Millis {
    let value = req.headers().get(paths::DEADLINE_MS);
    let ms = value
        .and_then(|v| v.to_str().ok())
        .and_then(number::parse_floor);
    ms.map_or(DEFAULT_TIMEOUT, Millis)
}

fn refuse(cx: &Cx, req: &Request, refusal: Refusal) -> Response {
    // `serve` logs refused bodies, a line for each cause at a time.
    if !matches!(
        refusal,
        Refusal::SlowBody | Refusal::BodiesFull | Refusal::Chunks
    ) {
        log_refusal(cx, req, refusal);
    }
    let elsewhere = refusal == Refusal::Stopping || cx.peers.others_are_served();
    let retry_after = if elsewhere {
        RETRY_ELSEWHERE_S
    } else {
        RETRY_S
    };
    refusal.response(retry_after)
}

fn log_refusal(cx: &Cx, req: &Request, refusal: Refusal) {
    let Some(suppressed) = cx.log_limits.take(refusal.name()) else {
        return;
    };
    let age = cx.config_age().map(|a| a.0);
    log::info!(
        method = serve::log_text(req.method().as_str()), path = serve::log_text(req.path()), reason:? = refusal,
        config = cx.config().version, age_ms = age, suppressed;
        "front: refused"
    );
}

/// Handles the balancer's readiness check. A node that the store does not serve reports itself as
/// not ready while other nodes are served. If no node is served it stays ready, because it refuses
/// requests at once and with the correct reason.
pub(crate) fn ready(cx: &Cx, req: &Request) -> Response {
    let is_ready = Readiness::of(cx) == Readiness::Ready;
    match (req.path() == paths::READINESS, is_ready) {
        (true, true) => Response::Ok().finish(),
        (true, false) => Response::ServiceUnavailable().finish(),
        (false, _) => Response::new(StatusCode::NOT_FOUND),
    }
}

/// Handles a request on the operators' address.
pub(crate) fn serve_operators(cx: &Cx, req: &Request) -> Response {
    match req.path() {
        "/metrics" => Response::Ok()
            .content_type("text/plain")
            .body(cx.metrics.text(cx)),
        peers::PATH => peers::answer(cx),
        "/dump" => Response::Ok()
            .content_type("application/json")
            .body(dump::to_json(cx)),
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}
