//! HTTP listeners that run on the thread of the caller's runtime, and the signals of their process.

mod connections;
mod signals;

use std::{io, net, rc::Rc};

pub use connections::Connections;
pub use signals::{Signals, survive_hang_up};

use ntex::{
    Pipeline, Service, ServiceFactory, SharedCfg, fn_service,
    http::{
        HttpService, HttpServiceConfig, Payload, Request, Response,
        error::{DispatchError, HttpError},
    },
    io::Io,
    rt, time,
    util::{Bytes, BytesMut},
};
use tokio::net::TcpListener;

/// Delay after a failed accept, so that the loop does not use up a core while the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: time::Millis = time::Millis(50);
/// Connections accepted over the limit, so that their requests get a refusal.
const SPARE_CONNECTIONS: usize = 64;
/// Size up to which the body of a request on them is read.
const MAX_REFUSED_BODY: usize = 256 << 10;
/// Time in which the first request on the connections that were accepted last has to arrive.
const LAST_REQUEST_DELAY: time::Millis = time::Millis(100);
/// Turns of the runtime in which requests that have arrived are read before idle connections are
/// closed: one each for the socket, the reader and the parser.
const READ_TURNS: usize = 3;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; requests on further ones are refused.
    pub max_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Seconds,
    /// Time in which a caller must send the head of a request; for the first one it counts from the
    /// start of the connection.
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
            // A connection may be opened well before its first request.
            head_timeout: time::Seconds(75),
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
    let http = http_service(cfg.clone(), handler).await?;
    let busy = http_service(cfg.clone(), busy).await?;
    let open = |stream: net::TcpStream| {
        let open = connections.open();
        let is_busy = open >= limits.max_connections;
        if is_busy {
            log::warn!("{name}: connection refused: {open} connections are already open");
            connections.refuse();
        }
        if open >= limits.max_connections + SPARE_CONNECTIONS {
            return;
        }
        let io = stream.set_nonblocking(true);
        let Ok(io) = io.and_then(|()| rt::from_tcp_stream(stream, cfg.clone())) else {
            return;
        };
        let guard = connections.guard();
        let (http, busy) = (http.clone(), busy.clone());
        rt::spawn(async move {
            let _guard = guard;
            // An error ends this connection only.
            if is_busy {
                let _ = busy.call(io).await;
            } else {
                let _ = http.call(io).await;
            }
        })
        .detach();
    };
    loop {
        let accepted = tokio::select! {
            () = connections.closing() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Ok(stream) = stream.into_std() {
                    open(stream);
                }
            }
            Err(e) => {
                log::warn!("{name}: cannot accept: {e}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets connections that it has not accepted. The runtime may not have
    // noticed them yet, so the socket itself is asked.
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        open(stream);
    }
    drop(listener);
    time::sleep(LAST_REQUEST_DELAY).await;
    for _ in 0..READ_TURNS {
        tokio::task::yield_now().await;
    }
    tokio::join!(http.shutdown::<Io>(), busy.shutdown::<Io>());
    connections.ended().await;
    Ok(())
}

async fn http_service<F, R>(
    cfg: SharedCfg,
    handler: F,
) -> io::Result<Pipeline<impl Service<Io, Error = DispatchError>>>
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    let handler = Rc::new(handler);
    let http = HttpService::new(fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, HttpError>(handler(req).await) }
    }));
    let http = ServiceFactory::<Io, SharedCfg>::create(&http, cfg).await;
    let http = http.map_err(|()| io::Error::other("cannot create the HTTP service"))?;
    Ok(Pipeline::new(http))
}

/// Refuses a request on a connection over the limit. The next attempt may reach another process at once.
async fn busy(mut req: Request) -> Response {
    // A connection that is closed with unread bytes is reset, which can lose the answer.
    let _ = read_body(req.take_payload(), MAX_REFUSED_BODY).await;
    let mut response = Response::ServiceUnavailable();
    response.header("retry-after", "0").force_close().finish()
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
