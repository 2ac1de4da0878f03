//! Requests of callers, the readiness check, and the operators' address.

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

/// Largest body before a configuration says otherwise, in bytes.
const BODY_BYTES: usize = 256 << 10;
/// Longest work on a request whose caller does not say how long it waits.
const WAITS: Millis = Millis(3_000);
/// Time before a caller gives up at which it gets its answer: the way back takes up to 10 ms.
const WAY_BACK: Millis = Millis(150);

/// When a caller may come back after the store refused this node and others are served, in
/// seconds: the balancer chooses another node for the next try.
const RETRY_ELSEWHERE_S: u16 = 0;
/// When a caller may come back after the store refused this node and perhaps all, in seconds.
/// Outages last seconds, and a caller has a few tries only.
const RETRY_S: u16 = 1;

/// Serves a request of a caller.
pub(crate) async fn serve(cx: Cx, req: Request) -> Response {
    let guard = Guard::new(&cx);
    let mut response = answer(&cx, req).await;
    drop(guard);
    if cx.stopping.get() {
        // The caller's next request goes to another entry.
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

async fn answer(cx: &Cx, mut req: Request) -> Response {
    let arrived = clock::now();
    let result = carry_out(cx, &mut req, arrived).await;
    let name = result
        .as_ref()
        .map_or_else(|refusal| refusal.name(), |_| "done");
    cx.metrics.request(name, clock::now().since(arrived));
    result.unwrap_or_else(|refusal| refuse(cx, &req, refusal))
}

async fn carry_out(cx: &Cx, req: &mut Request, arrived: Millis) -> Result<Response, Refusal> {
    let body = read_body(cx, req).await?;
    let passed = authorise::pass(cx, req)?;
    let until = arrived + waits(req).since(WAY_BACK);
    act(cx, req, passed, &body, until).await
}

async fn act(
    cx: &Cx,
    req: &Request,
    passed: Authorised,
    body: &[u8],
    until: Millis,
) -> Result<Response, Refusal> {
    if passed.rest.is_empty() {
        return match *req.method() {
            Method::GET => accept::pending(cx, &passed).await,
            _ => Err(Refusal::Method),
        };
    }
    let is_id =
        passed.rest.len() == ID_DIGITS && passed.rest.bytes().all(|b| b.is_ascii_hexdigit());
    match *req.method() {
        Method::POST if is_id => accept::submit(cx, &passed, body, until).await,
        Method::GET if is_id => accept::phase(cx, &passed).await,
        Method::DELETE if is_id => accept::cancel(cx, &passed, until).await,
        Method::POST => Err(Refusal::Invalid),
        Method::GET | Method::DELETE => Err(Refusal::NoJob),
        _ => Err(Refusal::Method),
    }
}

/// Hexadecimal digits of the id of a job.
const ID_DIGITS: usize = 16;

async fn read_body(cx: &Cx, req: &mut Request) -> Result<ntex::util::Bytes, Refusal> {
    let limit = match cx.rules().max_body_bytes {
        0 => BODY_BYTES,
        limit => limit,
    };
    let body = serve::read_body(req.take_payload(), limit).await;
    body.map_err(|e| match e {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Broken => Refusal::Invalid,
    })
}

fn waits(req: &Request) -> Millis {
    let value = req.headers().get(paths::WAITS_MS);
    let ms = value
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok());
    ms.map_or(WAITS, Millis)
}

fn refuse(cx: &Cx, req: &Request, refusal: Refusal) -> Response {
    let age = cx.config_age().map(|a| a.0);
    log::info!(
        method:% = req.method(), path = req.path(), reason:? = refusal,
        config = cx.rules().version, age_ms:? = age;
        "front: refused"
    );
    let retry_after = if cx.peers.others_are_served() {
        RETRY_ELSEWHERE_S
    } else {
        RETRY_S
    };
    refusal.response(retry_after)
}

/// Serves the readiness check of the balancer. A node that the store does not serve leaves callers
/// to others if these are served; if none is, it stays, because its refusals are true and early.
pub(crate) fn ready(cx: &Cx, req: &Request) -> Response {
    let is_ready = !cx.stopping.get() && cx.config_age().is_some() && !cx.peers.others_are_served();
    match (req.path() == paths::READY, is_ready) {
        (true, true) => Response::Ok().finish(),
        (true, false) => Response::ServiceUnavailable().finish(),
        (false, _) => Response::new(StatusCode::NOT_FOUND),
    }
}

/// Serves the operators' address.
pub(crate) fn operate(cx: &Cx, req: &Request) -> Response {
    match req.path() {
        "/metrics" => Response::Ok()
            .content_type("text/plain")
            .body(cx.metrics.text(cx)),
        peers::PATH if peers::is_served(cx) => Response::Ok().finish(),
        peers::PATH => Response::ServiceUnavailable().finish(),
        "/dump" => Response::Ok()
            .content_type("application/json")
            .body(dump::of(cx)),
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}

/// Counts a request until it is answered.
struct Guard(Cx);

impl Guard {
    fn new(cx: &Cx) -> Self {
        cx.requests.set(cx.requests.get() + 1);
        Self(cx.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
    }
}
