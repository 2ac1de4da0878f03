//! HTTP routes of an entry, connection limits, and answers to invalid requests.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    limits,
    name::Name,
};
use ntex::{
    http::{
        ConnectionType, HeaderMap, Method, Response, StatusCode,
        error::DecodeError,
        h1::{self, Control, ControlAck, control::Reason},
    },
    io::{Filter, IoRef},
    rt,
    util::Bytes,
    web::{HttpRequest, HttpResponse, types::Payload},
};

use crate::{
    auth::Identity,
    body::{Body, BodyLimits},
    call::{self, Call},
    control_plane::{self, ControlRequest},
    dump::Dump,
    refusal::{Code, REFUSED, Refusal},
    state::{Entry, Phase},
};

/// Connections accepted over the limit, so that their requests get a refusal.
pub const SPARE_CONNECTIONS: usize = 64;

/// Serves one request.
pub async fn serve(cx: Rc<Entry>, req: HttpRequest, payload: Payload) -> HttpResponse {
    // The deadline is measured from the arrival of the headers.
    let arrived = clock::now();
    let Some(io) = req.io().cloned() else {
        return answer(&cx, req, payload, arrived).await;
    };
    if !cx.callers.begin_request(&io) {
        cx.callers.end_request(&io);
        return HttpResponse::ServiceUnavailable().finish();
    }
    cx.callers.take_turn(&io).await;
    let mut response = answer(&cx, req, payload, arrived).await;
    cx.callers.end_request(&io);
    if cx.connections() >= serve::keep_alive_connections(cx.cfg.connections) {
        cx.callers.close_after_answer(&io);
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn answer(
    cx: &Rc<Entry>,
    req: HttpRequest,
    payload: Payload,
    arrived: Millis,
) -> HttpResponse {
    let path = req.path().to_owned();
    let mut parts = path.trim_start_matches('/').splitn(4, '/');
    let parts = [parts.next(), parts.next(), parts.next(), parts.next()];
    let headers = req.headers();
    let post = *req.method() == Method::POST;
    let get = *req.method() == Method::GET;
    let delete = *req.method() == Method::DELETE;
    let mut response = match parts {
        [Some("call"), Some(service), Some(operation), None] if post => {
            serve_call(cx, &req, payload, service, operation, arrived).await
        }
        [Some("ready"), None, ..] if get => ready(cx),
        [Some("dump"), None, ..] if get => HttpResponse::Ok().json(&Dump::of(cx)),
        [Some("metrics"), None, ..] if get => metrics(cx),
        [Some("jobs"), None, ..] if post => {
            serve_control(cx, headers, payload, ControlRoute::Submit).await
        }
        [Some("jobs"), None, ..] if get => {
            serve_control(cx, headers, payload, ControlRoute::Jobs).await
        }
        [Some("jobs"), Some(o), Some(j), None] if get => {
            serve_control(cx, headers, payload, ControlRoute::Job(o, j)).await
        }
        [Some("jobs"), Some(o), Some(j), None] if delete => {
            serve_control(cx, headers, payload, ControlRoute::Cancel(o, j)).await
        }
        [Some("config"), None, ..] if post => {
            serve_control(cx, headers, payload, ControlRoute::Apply).await
        }
        [Some("claims"), None, ..] if post => {
            serve_control(cx, headers, payload, ControlRoute::Settle).await
        }
        [Some("config"), None, ..] if get => {
            serve_control(cx, headers, payload, ControlRoute::Config).await
        }
        [
            Some("call" | "ready" | "dump" | "metrics" | "jobs" | "claims" | "config"),
            ..,
        ] => {
            let message = format!("{path} does not support {}", req.method());
            Refusal::not_run(Code::Method, message).response()
        }
        _ => Refusal::not_run(Code::NotFound, format!("{path} does not exist")).response(),
    };
    if cx.phase.get() != Phase::Serving {
        // Makes callers move to other entries before this one stops.
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn serve_call(
    cx: &Rc<Entry>,
    req: &HttpRequest,
    payload: Payload,
    service: &str,
    operation: &str,
    arrived: Millis,
) -> HttpResponse {
    let headers = req.headers();
    let guard = match cx.begin_request() {
        Ok(guard) => guard,
        Err(refusal) => return refuse(cx, &refusal),
    };
    if !cx.has_config() {
        let message = "this entry has no configuration yet";
        return refuse(cx, &Refusal::not_run(Code::ConfigUnconfirmed, message));
    }
    let checked = call::check(cx, headers, service, operation);
    let (organisation, target, key, allowed) = match checked {
        Ok(checked) => checked,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let deadline = arrived + allowed;
    let max_bytes = limits::BODY_BYTES;
    let body = match read_body(cx, &organisation, headers, payload, max_bytes).await {
        Ok(body) => body,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let call = Call {
        organisation,
        target,
        key,
        deadline,
        content_type: headers.get("content-type").cloned(),
        body,
        io: req.io().cloned(),
    };
    // The request completes even if the caller disconnects, because claims and load counts depend
    // on its result.
    let cx = cx.clone();
    let running = rt::spawn(async move {
        let response = call::run(cx, call).await;
        drop(guard);
        response
    });
    running.await.unwrap_or_else(|_| task_failed())
}

/// Route of a request to the control plane.
enum ControlRoute<'a> {
    Submit,
    Jobs,
    Job(&'a str, &'a str),
    Cancel(&'a str, &'a str),
    Apply,
    Settle,
    Config,
}

async fn serve_control(
    cx: &Rc<Entry>,
    headers: &HeaderMap,
    payload: Payload,
    route: ControlRoute<'_>,
) -> HttpResponse {
    let guard = match cx.begin_request() {
        Ok(guard) => guard,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let identity = match cx.identify(headers) {
        Ok(identity) => identity,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let (Identity::Organisation(sender) | Identity::Operator(sender)) = &identity;
    let request = match route {
        ControlRoute::Submit => {
            let body = read_body(cx, sender, headers, payload, limits::JOB_RECORD_BYTES);
            body.await.map(ControlRequest::Submit)
        }
        ControlRoute::Apply => read_body(cx, sender, headers, payload, limits::BODY_BYTES)
            .await
            .map(ControlRequest::Apply),
        ControlRoute::Settle => read_body(cx, sender, headers, payload, limits::BODY_BYTES)
            .await
            .map(ControlRequest::Settle),
        ControlRoute::Jobs => Ok(ControlRequest::Jobs),
        ControlRoute::Config => Ok(ControlRequest::Config),
        ControlRoute::Job(o, j) => names(o, j).map(|(o, j)| ControlRequest::Job(o, j)),
        ControlRoute::Cancel(o, j) => names(o, j).map(|(o, j)| ControlRequest::Cancel(o, j)),
    };
    let request = match request {
        Ok(request) => request,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let cx = cx.clone();
    let running = rt::spawn(async move {
        let response = control_plane::run(cx, identity, request).await;
        drop(guard);
        response
    });
    running.await.unwrap_or_else(|_| task_failed())
}

fn names(organisation: &str, job: &str) -> Result<(base::name::Name, base::name::Name), Refusal> {
    let bad = |e: base::name::NameError| Refusal::not_run(Code::NotFound, e.to_string());
    Ok((
        organisation.parse().map_err(bad)?,
        job.parse().map_err(bad)?,
    ))
}

async fn read_body(
    cx: &Entry,
    sender: &Name,
    headers: &HeaderMap,
    payload: Payload,
    max_bytes: usize,
) -> Result<Body, Refusal> {
    let sender = Some(sender.as_ref().into());
    let limits = BodyLimits {
        bytes: max_bytes,
        timeout: cx.cfg.body_timeout,
    };
    Body::read(&cx.bodies, sender, headers, payload, limits).await
}

/// Counts a refusal and returns its response.
fn refuse(cx: &Entry, refusal: &Refusal) -> HttpResponse {
    cx.metrics.request(&refusal.code, Millis::ZERO);
    refusal.response()
}

/// Returns the answer to a request whose task panicked.
fn task_failed() -> HttpResponse {
    log::error!("entry: the task of a request panicked");
    Refusal::unknown(
        Code::OutcomeUnknown,
        "the entry failed while it served the request",
    )
    .response()
}

fn ready(cx: &Entry) -> HttpResponse {
    if cx.is_ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    let code = match cx.phase.get() {
        Phase::Serving => Code::ConfigUnconfirmed,
        Phase::Notice | Phase::Draining => Code::Stopping,
    };
    Refusal::not_run(code, "this entry is not ready").response()
}

fn metrics(cx: &Entry) -> HttpResponse {
    let text = cx.metrics.encode(&cx.gauge_values());
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(text)
}

/// Handles connection events: counts connections, and refuses requests over the connection limit,
/// upgrades and invalid HTTP.
pub fn on_control<F: Filter, E: ntex::http::ResponseError>(
    cx: &Rc<Entry>,
    control: Control<F, E>,
) -> ControlAck<F> {
    match control {
        Control::Connect(connection) => {
            count_connection(cx, connection.get_ref().get_ref());
            connection.ack()
        }
        Control::Request(request) if cx.connections() > cx.cfg.connections => {
            let message = format!("this entry has {} connections open", cx.connections());
            let refusal = Refusal::not_run(Code::TooManyConnections, message);
            refuse(cx, &refusal);
            if let Some(io) = request.get_ref().io() {
                if cx.callers.begin_request(io) {
                    cx.callers.close_after_answer(io);
                }
                cx.callers.end_request(io);
            }
            request.fail_with(closing_response(&refusal))
        }
        Control::Upgrade(upgrade) => {
            let refusal = Refusal::not_run(Code::BadRequest, "upgrades are not supported");
            upgrade.fail_with(closing_response(&refusal))
        }
        Control::Disconnect(Reason::ProtocolError(e)) => {
            let refusal = protocol_refusal(e.err());
            refuse(cx, &refusal);
            e.fail_with(closing_response(&refusal))
        }
        other => other.ack(),
    }
}

/// Counts a connection until it ends. Beyond the limit idle ones are closed in its favour; without
/// idle ones it gets a refusal, or is closed at once if too many wait for theirs.
fn count_connection(cx: &Rc<Entry>, io: IoRef) {
    cx.callers.insert(io.clone());
    while cx.connections() > cx.cfg.connections && cx.callers.close_idle() {}
    if cx.connections() > cx.cfg.connections {
        cx.bodies.shed_one();
    }
    if cx.connections() > cx.cfg.connections + SPARE_CONNECTIONS {
        cx.callers.remove(&io);
        io.terminate();
        return;
    }
    let cx = cx.clone();
    rt::spawn(async move {
        io.on_disconnect().await;
        cx.callers.remove(&io);
    });
}

fn protocol_refusal(e: &h1::ProtocolError) -> Refusal {
    match e {
        h1::ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            Refusal::not_run(Code::HeadersTooLarge, "the header block is too large")
        }
        h1::ProtocolError::SlowRequestTimeout | h1::ProtocolError::SlowPayloadTimeout => {
            Refusal::not_run(Code::TooSlow, "the request was not received in time")
        }
        other => Refusal::not_run(Code::BadRequest, other.to_string()),
    }
}

/// Returns the response to a refused connection or protocol error, which closes the connection.
fn closing_response(refusal: &Refusal) -> Response {
    let status = StatusCode::from_u16(refusal.status.as_u16()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = Response::build(status);
    response
        .header(REFUSED, &*refusal.code)
        .content_type("application/json")
        .force_close();
    if let Some(seconds) = refusal.retry_after() {
        response.header("retry-after", seconds);
    }
    response.body(Bytes::from(refusal.body()))
}
