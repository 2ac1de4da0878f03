//! HTTP handlers for callers' requests, the readiness check and the operators' endpoints.

use std::cell::Cell;

use base::clock::{self, Millis};
use ntex::http::{ConnectionType, Method, Request, Response, StatusCode};
use platform::paths;
use serve::BodyError;

use crate::{
    accept,
    authorise::{self, Authorised},
    cx::Cx,
    dump, peers,
    refusal::Refusal,
};

/// Maximum size of a body in bytes unless the configuration sets one.
const DEFAULT_MAX_BODY_BYTES: usize = 256 << 10;
/// Timeout of a request whose caller does not state one.
const DEFAULT_TIMEOUT: Millis = Millis(3_000);
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
    let arrived = clock::now();
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
    let body = read_body(cx, req).await?;
    received.set(true);
    let authorised = authorise::authorise(cx, req)?;
    let deadline = arrived + timeout(req).since(ANSWER_MARGIN);
    // A call to a store that answers nothing would only take up the caller's time, and a
    // transaction might still be applied after the caller has left.
    if cx.peers.reach().is_out() {
        return Err(Refusal::Store);
    }
    dispatch(cx, req, authorised, &body, deadline).await
}

async fn dispatch(
    cx: &Cx,
    req: &Request,
    authorised: Authorised,
    body: &[u8],
    deadline: Millis,
) -> Result<Response, Refusal> {
    if authorised.path_suffix.is_empty() {
        return match *req.method() {
            Method::GET => accept::pending(cx, &authorised).await,
            _ => Err(Refusal::Method),
        };
    }
    let is_id = authorised.path_suffix.len() == ID_DIGITS
        && authorised
            .path_suffix
            .bytes()
            .all(|b| b.is_ascii_hexdigit());
    match *req.method() {
        Method::POST if is_id => accept::submit(cx, &authorised, body, deadline).await,
        Method::GET if is_id => accept::phase(cx, &authorised).await,
        Method::DELETE if is_id => accept::cancel(cx, &authorised, deadline).await,
        Method::POST => Err(Refusal::Invalid),
        Method::GET | Method::DELETE => Err(Refusal::NoJob),
        _ => Err(Refusal::Method),
    }
}

/// Number of hexadecimal digits in the id of a job.
const ID_DIGITS: usize = 16;

async fn read_body(cx: &Cx, req: &mut Request) -> Result<ntex::util::Bytes, Refusal> {
    let limit = match cx.config().max_body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        limit => limit,
    };
    let body = serve::read_body(req.take_payload(), limit).await;
    body.map_err(|e| match e {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Broken => Refusal::Invalid,
    })
}

fn timeout(req: &Request) -> Millis {
    let value = req.headers().get(paths::DEADLINE_MS);
    let ms = value
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    ms.map_or(DEFAULT_TIMEOUT, Millis)
}

fn refuse(cx: &Cx, req: &Request, refusal: Refusal) -> Response {
    let age = cx.config_age().map(|a| a.0);
    log::info!(
        method:% = req.method(), path = req.path(), reason:? = refusal,
        config = cx.config().version, age_ms = age;
        "front: refused"
    );
    let elsewhere = refusal == Refusal::Stopping || cx.peers.others_are_served();
    let retry_after = if elsewhere {
        RETRY_ELSEWHERE_S
    } else {
        RETRY_S
    };
    refusal.response(retry_after)
}

/// Handles the balancer's readiness check. A node that the store does not serve reports itself as
/// not ready while other nodes are served. If no node is served it stays ready, because it refuses
/// requests at once and with the correct reason.
pub(crate) fn ready(cx: &Cx, req: &Request) -> Response {
    let is_ready = !cx.stopping.get() && cx.config_age().is_some() && !cx.peers.others_are_served();
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
