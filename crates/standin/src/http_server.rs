//! HTTP server of the stand-ins: one thread that runs its own ntex system and any number of
//! listeners.

use std::{
    cell, future, io, net, rc,
    rc::Rc,
    task::{Context, Poll},
    thread,
};

use futures_util::StreamExt;
use ntex::{
    Pipeline, ServiceFactory, fn_service,
    http::{
        self, HeaderMap, HttpService, HttpServiceConfig, Method, Payload, Response, StatusCode,
        body::{Body, BodySize, MessageBody},
        error,
    },
    io::{Io, IoRef},
    rt, time,
    util::{Bytes, BytesMut},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::oneshot;

/// Timeout of idle connections. It is longer than that of any client, so that the client closes the
/// connection first.
const IDLE_TIMEOUT: time::Seconds = time::Seconds(75);
/// Delay after a failed `accept`, for example while the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: time::Millis = time::Millis(50);

/// An HTTP request with its complete body.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Request {
    /// Returns the value of a header; empty if it is absent or not text.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Parses the body as JSON; an error is the answer to send to the caller.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::bad_request(&e.to_string()))
    }
}

/// How much of an answer is sent to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// The complete answer.
    Complete,
    /// The head and half of the body; then the connection is closed.
    Truncated,
    /// Nothing; the connection is closed.
    Disconnect,
    /// Nothing; the connection stays open.
    Never,
}

/// An HTTP answer, and how much of it is sent.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
    pub(crate) delivery: Delivery,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Reply {
    pub(crate) fn new(status: StatusCode, body: Bytes) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            delivery: Delivery::Complete,
        }
    }

    pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Self {
        let text = serde_json::to_vec(body).expect("answers of the stand-ins can be serialised");
        let mut reply = Self::new(status, Bytes::from(text));
        reply
            .headers
            .push(("content-type", "application/json".into()));
        reply
    }

    pub(crate) fn ok<T: Serialize>(body: &T) -> Self {
        Self::json(StatusCode::OK, body)
    }

    pub(crate) fn error(status: StatusCode, error: &str) -> Self {
        Self::json(status, &ErrorBody { error })
    }

    pub(crate) fn bad_request(error: &str) -> Self {
        Self::error(StatusCode::BAD_REQUEST, error)
    }

    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::new(status, Bytes::new())
    }

    #[must_use]
    pub(crate) fn with_delivery(mut self, delivery: Delivery) -> Self {
        self.delivery = delivery;
        self
    }
}

/// A service with its own listener.
pub(crate) trait Service: Clone + Send + 'static {
    /// Answers one request. The future runs to completion even if the caller disconnects.
    fn serve(&self, request: Request) -> impl Future<Output = Reply> + 'static;

    /// Maximum number of open connections; further ones are closed without an answer.
    fn max_connections(&self) -> usize;

    /// Maximum size of a request body, in bytes.
    fn max_body_bytes(&self) -> usize;

    /// Called when a connection is closed because too many are open.
    fn on_connection_refused(&self) {}
}

/// A running HTTP server; dropping it stops it.
#[derive(Debug)]
pub(crate) struct HttpServer {
    addrs: Vec<net::SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl HttpServer {
    /// Starts a thread that serves each service on its own address.
    pub(crate) fn start<S: Service>(
        name: &str,
        services: Vec<(net::SocketAddr, S)>,
    ) -> io::Result<Self> {
        let mut bound = Vec::with_capacity(services.len());
        let mut addrs = Vec::with_capacity(services.len());
        for (addr, service) in services {
            let listener = net::TcpListener::bind(addr)?;
            listener.set_nonblocking(true)?;
            addrs.push(listener.local_addr()?);
            bound.push((listener, service));
        }
        let (stop, stopped) = oneshot::channel();
        let system = name.to_owned();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                rt::System::new(&system, rt::DefaultRuntime).block_on(async move {
                    for (listener, service) in bound {
                        rt::spawn(accept(listener, service)).detach();
                    }
                    let _ = stopped.await;
                });
            })?;
        Ok(Self {
            addrs,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    pub(crate) fn addrs(&self) -> &[net::SocketAddr] {
        &self.addrs
    }

    /// Closes all listeners and connections and waits for the thread to end.
    pub(crate) fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<cell::Cell<usize>>);

impl ConnectionGuard {
    fn new(count: &Rc<cell::Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept<S: Service>(listener: net::TcpListener, service: S) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("standin: cannot register the listener: {e}"),
    };
    let http_cfg = HttpServiceConfig::new()
        .set_keepalive_timeout(IDLE_TIMEOUT)
        .set_client_timeout(time::Seconds::ZERO);
    let cfg: ntex::SharedCfg = ntex::SharedCfg::new("standin").add(http_cfg).into();
    let handler = service.clone();
    let http = HttpService::new(fn_service(move |req| handle(handler.clone(), req)));
    let Ok(http) = ServiceFactory::<Io, ntex::SharedCfg>::create(&http, cfg.clone()).await else {
        return log::error!("standin: cannot create the HTTP service");
    };
    let http = Pipeline::new(http);
    let open = rc::Rc::new(cell::Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("standin: cannot accept: {e}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.get() >= service.max_connections() {
            service.on_connection_refused();
            continue;
        }
        let stream = stream.into_std();
        let io = stream.and_then(|s| rt::from_tcp_stream(s, cfg.clone()));
        let Ok(io) = io else { continue };
        let (http, guard) = (http.clone(), ConnectionGuard::new(&open));
        rt::spawn(async move {
            let _guard = guard;
            let _ = http.call(io).await;
        })
        .detach();
    }
}

async fn handle<S: Service>(
    service: S,
    mut req: http::Request,
) -> Result<Response, error::HttpError> {
    let io = req.io().cloned();
    let Ok(body) = read_body(req.take_payload(), service.max_body_bytes()).await else {
        return Ok(respond(Reply::empty(StatusCode::PAYLOAD_TOO_LARGE), io));
    };
    let request = Request {
        method: req.method().clone(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: req.headers().clone(),
        body,
    };
    let result = rt::spawn(service.serve(request)).await;
    let reply = result
        .unwrap_or_else(|_| Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "the stand-in failed"));
    match reply.delivery {
        Delivery::Never => future::pending().await,
        Delivery::Disconnect => disconnect(io.as_ref()).await,
        Delivery::Truncated if reply.body.is_empty() => disconnect(io.as_ref()).await,
        Delivery::Complete | Delivery::Truncated => Ok(respond(reply, io)),
    }
}

/// Closes the connection and never returns, so that no answer is sent.
async fn disconnect<T>(io: Option<&IoRef>) -> T {
    if let Some(io) = io {
        io.terminate();
    }
    future::pending().await
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, ()> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| ())?;
        if body.len() + chunk.len() > limit {
            return Err(());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn respond(reply: Reply, io: Option<IoRef>) -> Response {
    let mut builder = Response::build(reply.status);
    for (name, value) in reply.headers {
        builder.header(name, value);
    }
    match reply.delivery {
        Delivery::Truncated => {
            let body = TruncatedBody {
                declared_len: reply.body.len() as u64,
                first_half: Some(reply.body.slice(..reply.body.len() / 2)),
                io,
            };
            builder.body(Body::from_message(body))
        }
        _ if reply.body.is_empty() => builder.finish(),
        _ => builder.body(reply.body),
    }
}

/// A body that declares its full length, sends only the first half and closes the connection.
struct TruncatedBody {
    declared_len: u64,
    first_half: Option<Bytes>,
    io: Option<IoRef>,
}

impl MessageBody for TruncatedBody {
    fn size(&self) -> BodySize {
        BodySize::Sized(self.declared_len)
    }

    fn poll_next_chunk(
        &mut self,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn std::error::Error>>>> {
        if let Some(half) = self.first_half.take() {
            return Poll::Ready(Some(Ok(half)));
        }
        if let Some(io) = self.io.take() {
            io.close();
        }
        Poll::Ready(Some(Err(Rc::new(io::Error::other("truncated")))))
    }
}
