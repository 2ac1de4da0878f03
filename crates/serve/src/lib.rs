//! HTTP listeners that run on the thread of the caller's runtime, and the signals of their process.

mod answers;
mod bodies;
pub mod budget;
pub mod chunk_pace;
mod connections;
mod log_limit;
mod read_limit;
mod signals;
mod turns;

use std::{io, net, rc::Rc};

pub use answers::{AnswerBody, AnswerMemory, Answers};
pub use bodies::{Bodies, Body, BodyError, BodySpec, Memory, declared_length};
pub use connections::{Callers, Connections};
pub use log_limit::{LogLimit, LogLimits, log_text};
pub use read_limit::{ReadLimit, limit_reads};
pub use signals::{Signals, survive_hang_up};
pub use turns::Turns;

use base::clock::{self, Millis};
use ntex::{
    Pipeline, Service, ServiceFactory, SharedCfg, fn_service,
    http::{
        ConnectionType, HttpService, HttpServiceConfig, Request, Response,
        error::{DispatchError, HttpError},
    },
    io::{Base, Io, IoConfig},
    rt, time,
};
use tokio::net::TcpListener;

/// Number of connections that wait to be accepted; the system may have a lower limit.
const QUEUE: i32 = 1_024;
/// Number of connections accepted in a turn of the runtime: their first reads are not paced and must not
/// hold up other tasks, and a queue that is emptied too slowly refuses others.
const ACCEPTS_PER_TURN: usize = 16;
/// Delay after a failed accept, so that the loop does not use up a core while the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: time::Millis = time::Millis(50);
/// Connections accepted over the limit, so that their requests get a refusal.
const SPARE_CONNECTIONS: usize = 64;
/// Size up to which the body of a request on them is read.
const MAX_REFUSED_BODY: usize = 256 << 10;
/// Time in which such a body has to arrive.
const REFUSED_BODY_TIMEOUT: Millis = Millis(500);
/// Time in which the first request on the connections that were accepted last has to arrive.
const LAST_REQUEST_DELAY: time::Millis = time::Millis(100);
/// Free bytes of a connection's read buffer below which it grows.
const LOW_READ_BUFFER: usize = 512;
/// Number of unused read buffers that are kept.
const READ_BUFFERS: usize = 64;
/// Turns of the runtime in which requests that have arrived are read before idle connections are
/// closed: one each for the socket, the reader and the parser.
const READ_TURNS: usize = 3;

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; requests on further ones are refused.
    pub max_connections: usize,
    /// Number of open connections from which on each is closed after its next answer, so that callers who
    /// send requests without an end leave room for others.
    pub keep_alive_connections: usize,
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
            keep_alive_connections: usize::MAX,
            idle_timeout: time::Seconds(75),
            // A connection may be opened well before its first request.
            head_timeout: time::Seconds(75),
        }
    }
}

/// Returns the value of [`Limits::keep_alive_connections`] for callers of whom `max_connections` may be
/// connected: a quarter is left for others.
///
/// ```
/// assert_eq!(serve::keep_alive_connections(1_000), 750);
/// ```
pub const fn keep_alive_connections(max_connections: usize) -> usize {
    max_connections - max_connections / 4
}

/// Binds a listener whose queue takes the connections that come while a turn of the runtime lasts. The
/// system drops the first packet of others, and a client repeats it after a second.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
///
/// ```
/// let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
/// assert!(listener.local_addr().unwrap().port() > 0);
/// ```
pub fn bind(addr: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(addr)?;
    // The standard library listens with a queue of 128.
    rustix::net::listen(&listener, QUEUE)?;
    Ok(listener)
}

/// Returns the settings of connections that keep few bytes before they are read.
///
/// ```
/// assert_eq!(serve::io_config().read_buf().high, 2 << 10);
/// ```
pub fn io_config() -> IoConfig {
    IoConfig::new().set_read_buf(bodies::READ_BUFFER, LOW_READ_BUFFER, READ_BUFFERS)
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
    let http_cfg = http_cfg.set_max_buf_size(read_limit::MAX_HEAD);
    let cfg: SharedCfg = SharedCfg::new(name).add(http_cfg).add(io_config()).into();
    let http = http_service(cfg.clone(), connections.clone(), limits, handler).await?;
    let refusing = connections.clone();
    let busy = move |req| busy(refusing.clone(), req);
    let refused = Limits {
        keep_alive_connections: 0,
        ..limits
    };
    let busy = http_service(cfg.clone(), connections.clone(), refused, busy).await?;
    let open = |stream: net::TcpStream| {
        let is_busy = !connections.make_room(limits.max_connections);
        let open = connections.open();
        if is_busy && let Some(suppressed) = connections.refuse() {
            log::warn!(suppressed; "{name}: connection refused: {open} connections are already open");
        }
        if connections.callers().count() >= limits.max_connections + SPARE_CONNECTIONS {
            return;
        }
        let io = stream.set_nonblocking(true);
        let Ok(io) = io.and_then(|()| rt::from_tcp_stream(stream, cfg.clone())) else {
            return;
        };
        let io = limit_reads(io, connections.bodies().clone());
        let guard = connections.guard(io.get_ref());
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
    let mut accepted_in_turn = 0;
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
                accepted_in_turn += 1;
                if accepted_in_turn == ACCEPTS_PER_TURN {
                    accepted_in_turn = 0;
                    tokio::task::yield_now().await;
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
    tokio::join!(http.shutdown::<CallerIo>(), busy.shutdown::<CallerIo>());
    connections.ended().await;
    Ok(())
}

/// Connection of a caller.
type CallerIo = Io<ReadLimit<Base>>;

async fn http_service<F, R>(
    cfg: SharedCfg,
    connections: Connections,
    limits: Limits,
    handler: F,
) -> io::Result<Pipeline<impl Service<CallerIo, Error = DispatchError>>>
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response> + 'static,
{
    let handler = Rc::new(handler);
    let http = HttpService::new(fn_service(move |req: Request| {
        let (handler, connections) = (handler.clone(), connections.clone());
        async move {
            req.extensions_mut().insert(Arrival(clock::now()));
            let Some(io) = req.io().cloned() else {
                return Ok(handler(req).await);
            };
            let callers = connections.callers();
            if !callers.begin_request(&io) {
                callers.end_request(&io);
                return Ok(Response::ServiceUnavailable().finish());
            }
            callers.take_turn(&io).await;
            let mut response = handler(req).await;
            callers.end_request(&io);
            if callers.count() >= limits.keep_alive_connections {
                callers.close_after_answer(&io);
                let head = response.head_mut();
                head.set_connection_type(ConnectionType::Close);
            }
            Ok::<_, HttpError>(response)
        }
    }));
    let http = ServiceFactory::<CallerIo, SharedCfg>::create(&http, cfg).await;
    let http = http.map_err(|()| io::Error::other("cannot create the HTTP service"))?;
    Ok(Pipeline::new(http))
}

/// Time at which the head of a request was received.
#[derive(Clone, Copy, Debug)]
struct Arrival(Millis);

/// Returns the time at which the head of a request was received, from which its deadline counts. It may
/// have waited for its turn since then.
///
/// ```no_run
/// # fn f(req: &ntex::http::Request) {
/// let age = base::clock::now().since(serve::arrived(req));
/// # }
/// ```
pub fn arrived(req: &Request) -> Millis {
    let arrival = req.extensions().get::<Arrival>().copied();
    arrival.map_or_else(clock::now, |a| a.0)
}

/// Refuses a request on a connection over the limit. The next attempt may reach another process at once.
async fn busy(connections: Connections, mut req: Request) -> Response {
    // A connection that is closed with unread bytes is reset, which can lose the answer.
    let spec = BodySpec {
        organisation: None,
        declared: declared_length(req.headers()),
        max_bytes: MAX_REFUSED_BODY,
        timeout: REFUSED_BODY_TIMEOUT,
    };
    let _ = connections.bodies().discard(req.take_payload(), spec).await;
    let mut response = Response::ServiceUnavailable();
    response.header("retry-after", "0").force_close().finish()
}
