//! Paths that an entry serves, and the answers to what is no valid request.

use std::rc::Rc;

use ntex::{
    http::{
        ConnectionType, HeaderMap, Method, Response, StatusCode,
        error::DecodeError,
        h1::{self, Control, ControlAck, control::Reason},
    },
    io::Filter,
    rt,
    util::Bytes,
    web::{HttpRequest, HttpResponse, types::Payload},
};

use crate::{
    call::{self, Call},
    decisions::{self, Ask},
    dump::Dump,
    input::Body,
    refusal::{Code, REFUSED, Refusal},
    state::{Entry, Phase},
};

/// Serves one request.
pub async fn serve(cx: Rc<Entry>, req: HttpRequest, payload: Payload) -> HttpResponse {
    let path = req.path().to_owned();
    let mut parts = path.trim_start_matches('/').splitn(4, '/');
    let parts = [parts.next(), parts.next(), parts.next(), parts.next()];
    let headers = req.headers();
    let post = *req.method() == Method::POST;
    let get = *req.method() == Method::GET;
    let delete = *req.method() == Method::DELETE;
    let mut response = match parts {
        [Some("call"), Some(service), Some(operation), None] if post => {
            serve_call(&cx, headers, payload, service, operation).await
        }
        [Some("ready"), None, ..] if get => ready(&cx),
        [Some("dump"), None, ..] if get => HttpResponse::Ok().json(&Dump::of(&cx)),
        [Some("metrics"), None, ..] if get => metrics(&cx),
        [Some("jobs"), None, ..] if post => decide(&cx, headers, payload, Form::Submit).await,
        [Some("jobs"), None, ..] if get => decide(&cx, headers, payload, Form::Jobs).await,
        [Some("jobs"), Some(o), Some(j), None] if get => {
            decide(&cx, headers, payload, Form::Job(o, j)).await
        }
        [Some("jobs"), Some(o), Some(j), None] if delete => {
            decide(&cx, headers, payload, Form::Cancel(o, j)).await
        }
        [Some("config"), None, ..] if post => decide(&cx, headers, payload, Form::Apply).await,
        [Some("claims"), None, ..] if post => decide(&cx, headers, payload, Form::Settle).await,
        [Some("config"), None, ..] if get => decide(&cx, headers, payload, Form::Config).await,
        [
            Some("call" | "ready" | "dump" | "metrics" | "jobs" | "claims" | "config"),
            ..,
        ] => {
            let message = format!("{} is not served on {path}", req.method());
            Refusal::not_run(Code::Method, message).response()
        }
        _ => Refusal::not_run(Code::NotFound, format!("nothing is served on {path}")).response(),
    };
    if cx.phase.get() != Phase::Serving {
        // Callers move their connections to other entries before this one stops.
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn serve_call(
    cx: &Rc<Entry>,
    headers: &HeaderMap,
    payload: Payload,
    service: &str,
    operation: &str,
) -> HttpResponse {
    let flight = match cx.enter() {
        Ok(flight) => flight,
        Err(refusal) => return refuse(cx, &refusal),
    };
    if !cx.has_config() {
        let message = "this entry has just started and has no configuration yet";
        return refuse(cx, &Refusal::not_run(Code::ConfigUnconfirmed, message));
    }
    let checked = call::check(cx, headers, service, operation);
    let (organisation, target, key, allowed) = match checked {
        Ok(checked) => checked,
        Err(refusal) => return refuse(cx, &refusal),
    };
    // The deadline counts from the arrival of the header block.
    let deadline = base::clock::now() + allowed;
    let body = match body(cx, headers, payload).await {
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
    };
    // The request runs to its end even when the caller goes away, because claims and load counts
    // depend on how it ends.
    let cx = cx.clone();
    let running = rt::spawn(async move {
        let response = call::run(cx, call).await;
        drop(flight);
        response
    });
    running.await.unwrap_or_else(|_| lost())
}

/// Which request about jobs or the configuration a path names.
enum Form<'a> {
    Submit,
    Jobs,
    Job(&'a str, &'a str),
    Cancel(&'a str, &'a str),
    Apply,
    Settle,
    Config,
}

async fn decide(
    cx: &Rc<Entry>,
    headers: &HeaderMap,
    payload: Payload,
    form: Form<'_>,
) -> HttpResponse {
    let flight = match cx.enter() {
        Ok(flight) => flight,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let identity = match cx.identify(headers) {
        Ok(identity) => identity,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let ask = match form {
        Form::Submit => body(cx, headers, payload).await.map(Ask::Submit),
        Form::Apply => body(cx, headers, payload).await.map(Ask::Apply),
        Form::Settle => body(cx, headers, payload).await.map(Ask::Settle),
        Form::Jobs => Ok(Ask::Jobs),
        Form::Config => Ok(Ask::Config),
        Form::Job(o, j) => names(o, j).map(|(o, j)| Ask::Job(o, j)),
        Form::Cancel(o, j) => names(o, j).map(|(o, j)| Ask::Cancel(o, j)),
    };
    let ask = match ask {
        Ok(ask) => ask,
        Err(refusal) => return refuse(cx, &refusal),
    };
    let cx = cx.clone();
    let running = rt::spawn(async move {
        let response = decisions::run(cx, identity, ask).await;
        drop(flight);
        response
    });
    running.await.unwrap_or_else(|_| lost())
}

fn names(organisation: &str, job: &str) -> Result<(base::name::Name, base::name::Name), Refusal> {
    let bad = |e: base::name::NameError| Refusal::not_run(Code::NotFound, e.to_string());
    Ok((
        organisation.parse().map_err(bad)?,
        job.parse().map_err(bad)?,
    ))
}

async fn body(cx: &Entry, headers: &HeaderMap, payload: Payload) -> Result<Body, Refusal> {
    let timeout = cx.cfg.body_timeout;
    cx.bodies.read(headers, payload, timeout).await
}

fn refuse(cx: &Entry, refusal: &Refusal) -> HttpResponse {
    cx.metrics.request(&refusal.code, base::clock::Millis::ZERO);
    refusal.response()
}

/// Answer when the task of a request ended without one, which only a panic does.
fn lost() -> HttpResponse {
    log::error!("entry: the task of a request failed");
    Refusal::unknown(
        Code::OutcomeUnknown,
        "the entry failed while it ran the request",
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
    let text = cx.metrics.text(cx.levels());
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(text)
}

/// Counts connections, refuses those over the limit and answers what is no valid HTTP.
pub fn control<F: Filter, E: ntex::http::ResponseError>(
    cx: &Rc<Entry>,
    control: Control<F, E>,
) -> ControlAck<F> {
    match control {
        Control::Connect(connection) => {
            count_connection(cx, connection.get_ref().get_ref());
            connection.ack()
        }
        Control::Request(request) if cx.connections.get() > cx.cfg.connections => {
            let message = format!("this entry has {} connections open", cx.connections.get());
            let refusal = Refusal::not_run(Code::TooManyConnections, message);
            refuse(cx, &refusal);
            request.fail_with(closing(&refusal))
        }
        Control::Upgrade(upgrade) => {
            let refusal = Refusal::not_run(Code::BadRequest, "upgrades are not served");
            upgrade.fail_with(closing(&refusal))
        }
        Control::Disconnect(Reason::ProtocolError(e)) => {
            let refusal = protocol_refusal(e.err());
            refuse(cx, &refusal);
            e.fail_with(closing(&refusal))
        }
        other => other.ack(),
    }
}

fn count_connection(cx: &Rc<Entry>, io: ntex::io::IoRef) {
    cx.connections.set(cx.connections.get() + 1);
    let cx = cx.clone();
    rt::spawn(async move {
        io.on_disconnect().await;
        cx.connections.set(cx.connections.get() - 1);
    });
}

fn protocol_refusal(e: &h1::ProtocolError) -> Refusal {
    match e {
        h1::ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            Refusal::not_run(Code::HeadersTooLarge, "the header block is too large")
        }
        h1::ProtocolError::SlowRequestTimeout | h1::ProtocolError::SlowPayloadTimeout => {
            Refusal::not_run(Code::TooSlow, "the request did not arrive in time")
        }
        other => Refusal::not_run(Code::BadRequest, other.to_string()),
    }
}

/// Returns a refusal outside the request path, which also closes the connection.
fn closing(refusal: &Refusal) -> Response {
    let status = StatusCode::from_u16(refusal.status.as_u16()).unwrap_or(StatusCode::BAD_REQUEST);
    let mut response = Response::build(status);
    response
        .header(REFUSED, &*refusal.code)
        .content_type("application/json")
        .force_close();
    response.body(Bytes::from(refusal.body()))
}
