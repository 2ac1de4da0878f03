//! HTTP listeners of a process, on the thread of its runtime.

use std::{cell::Cell, io, net, rc::Rc};

use ntex::{
    Pipeline, ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, Payload, Request, Response, error::HttpError},
    io::Io,
    rt, time,
    util::{Bytes, BytesMut},
};

/// Pause after a failed accept, so that a shortage of file descriptors does not use up the core.
const ACCEPT_PAUSE: time::Millis = time::Millis(50);

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections at once; further ones are closed without an answer.
    pub connections: usize,
    /// Time for which an idle connection is kept.
    pub idle: time::Seconds,
    /// Time for a caller to send the head of a request.
    pub head: time::Seconds,
}

impl Default for Limits {
    /// Returns limits for callers that keep connections; the idle time exceeds that of usual
    /// clients, so that a request does not meet a connection that is being closed.
    fn default() -> Self {
        Self {
            connections: 1_024,
            idle: time::Seconds(75),
            head: time::Seconds(5),
        }
    }
}

/// Answers the requests on `listener` with `handler`; it returns only if that is not possible.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
pub async fn listen<F, R>(
    name: &'static str,
    listener: net::TcpListener,
    limits: Limits,
    handler: F,
) -> io::Result<()>
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let http_cfg = HttpServiceConfig::new()
        .set_keepalive_timeout(limits.idle)
        .set_client_timeout(limits.head);
    let cfg: SharedCfg = SharedCfg::new(name).add(http_cfg).into();
    let handler = Rc::new(handler);
    let http = HttpService::new(fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, HttpError>(handler(req).await) }
    }));
    let http = ServiceFactory::<Io, SharedCfg>::create(&http, cfg.clone()).await;
    let http = Pipeline::new(http.map_err(|()| io::Error::other("no HTTP service"))?);
    let open = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("{name}: cannot accept: {e}");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= limits.connections {
            log::warn!("{name}: connection refused, {} are open", open.get());
            continue;
        }
        let io = stream.into_std();
        let Ok(io) = io.and_then(|s| rt::from_tcp_stream(s, cfg.clone())) else {
            continue;
        };
        let (http, guard) = (http.clone(), Open::new(&open));
        rt::spawn(async move {
            let _guard = guard;
            // The error tells about one connection only.
            let _ = http.call(io).await;
        })
        .detach();
    }
}

/// Counts one open connection until it is dropped.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection ended or the body is malformed.
    Broken,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large or does not come whole.
pub async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
