//! HTTP listeners that run on the thread of the caller's runtime.

mod connections;

use std::{io, net, rc::Rc};

pub use connections::Connections;

use futures_util::FutureExt;
use ntex::{
    Pipeline, ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, HttpServiceConfig, Payload, Request, Response, error::HttpError},
    io::Io,
    rt, time,
    util::{Bytes, BytesMut},
};
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, so that the loop does not use up a core while the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: time::Millis = time::Millis(50);
/// Maximum number of connections that wait to be accepted (the default of the listener).
const MAX_BACKLOG: usize = 1_024;
/// Time in which the first request on the connections that were accepted last has to arrive.
const LAST_REQUEST_DELAY: time::Millis = time::Millis(100);
/// Turns of the runtime in which requests that have arrived are read before idle connections are
/// closed: one each for the socket, the reader and the parser.
const READ_TURNS: usize = 3;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed without an answer.
    pub max_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Seconds,
    /// Time in which a caller must send the head of a request.
    pub head_timeout: time::Seconds,
}

impl Default for Limits {
    /// Returns limits for callers that keep connections open. The idle timeout is longer than that
    /// of common clients, so that a client does not send a request on a connection that the server
    /// is closing.
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            idle_timeout: time::Seconds(75),
            head_timeout: time::Seconds(5),
        }
    }
}

/// Serves the requests on `listener` with `handler` until the `connections` have been closed and have
/// ended.
///
/// # Errors
///
/// Returns an error if the listener can't be registered with the runtime or the HTTP service can't
/// be created.
pub async fn listen<F, R>(
    name: &'static str,
    listener: net::TcpListener,
    limits: Limits,
    connections: Connections,
    handler: F,
) -> io::Result<()>
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let http_cfg = HttpServiceConfig::new()
        .set_keepalive_timeout(limits.idle_timeout)
        .set_client_timeout(limits.head_timeout);
    let cfg: SharedCfg = SharedCfg::new(name).add(http_cfg).into();
    let handler = Rc::new(handler);
    let http = HttpService::new(fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, HttpError>(handler(req).await) }
    }));
    let http = ServiceFactory::<Io, SharedCfg>::create(&http, cfg.clone()).await;
    let http =
        Pipeline::new(http.map_err(|()| io::Error::other("cannot create the HTTP service"))?);
    let open = |stream: TcpStream| {
        if connections.open() >= limits.max_connections {
            let open = connections.open();
            log::warn!("{name}: connection closed: {open} connections are already open");
            connections.refuse();
            return;
        }
        let io = stream.into_std();
        let Ok(io) = io.and_then(|s| rt::from_tcp_stream(s, cfg.clone())) else {
            return;
        };
        let (http, guard) = (http.clone(), connections.guard());
        rt::spawn(async move {
            let _guard = guard;
            // An error ends this connection only.
            let _ = http.call(io).await;
        })
        .detach();
    };
    loop {
        let accepted = tokio::select! {
            () = connections.closing() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => open(stream),
            Err(e) => {
                log::warn!("{name}: cannot accept: {e}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets connections that it has not accepted.
    for _ in 0..MAX_BACKLOG {
        let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
            break;
        };
        open(stream);
    }
    drop(listener);
    time::sleep(LAST_REQUEST_DELAY).await;
    for _ in 0..READ_TURNS {
        tokio::task::yield_now().await;
    }
    http.shutdown::<Io>().await;
    connections.ended().await;
    Ok(())
}

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection was closed before the end of the body, or the body is malformed.
    Broken,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large, incomplete or malformed.
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
