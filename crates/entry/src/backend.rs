//! Connections to backend servers, and validation of their answers.
//!
//! Each connection has its own ntex client, which opens at most one connection. A client is reused
//! only after a complete answer to its own request. Dropping a client closes its connection, so the
//! bytes of a late or mismatched answer are never read as the answer to a later request.

use std::{cell::Cell, cell::RefCell, net, rc::Rc};

use base::{clock, clock::Millis, limits, name::Name, sorted::SortedMap};
use bytes::Bytes;
use derive_more::{Display, Error};
use ntex::{
    SharedCfg,
    client::{Client, ClientResponse, Connector, error::ClientError},
    connect,
    http::{StatusCode, Uri, error::PayloadError, header::HeaderValue},
    io::cfg::IoConfig,
    service,
};
use serve::{AnswerMemory, Answers};
use tokio::time;

/// Header with the request id, which the answer repeats.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the organisation of the caller.
pub const ORGANISATION: &str = "x-organisation";
/// Header with the time left until the deadline.
pub const DEADLINE: &str = "x-deadline-ms";
/// Header with the server's load, as `USED/SLOTS`.
const LOAD: &str = "x-load";
/// Header that marks the server as leaving.
const LEAVING: &str = "x-leaving";
/// Size up to which an answer takes no memory from the budget.
const SMALL_ANSWER: usize = 64 << 10;
/// Header that states that the server did not run the request.
const NOT_RUN: &str = "x-not-run";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// Request id, which the answer has to repeat.
    pub id: String,
    /// Operation to run.
    pub operation: Name,
    /// Organisation of the caller.
    pub organisation: Name,
    /// Content type given by the caller.
    pub content_type: Option<HeaderValue>,
    /// Body given by the caller.
    pub body: Bytes,
}

/// Complete answer of a backend server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
    /// Memory of a large body in the budget.
    pub memory: Option<Rc<AnswerMemory>>,
    /// Load of the server at the time of the answer.
    pub load: Option<Load>,
    /// Whether the server is leaving and must get no new requests.
    pub leaving: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
}

/// Load that a backend server reports in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Slots in use.
    pub used: u16,
    /// Total number of slots.
    pub slots: u16,
}

/// Why there is no complete answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Error)]
pub enum BackendError {
    /// The connection limit of the server is reached; nothing was sent.
    #[display("all connections to the server are in use")]
    ConnectionLimit,
    /// No connection could be opened; nothing was sent.
    #[display("no connection")]
    Unreachable,
    /// The connection ended before the complete answer.
    #[display("the connection ended before the whole answer")]
    Disconnected,
    /// The deadline passed before the complete answer.
    #[display("the deadline passed before the whole answer")]
    DeadlineExceeded,
    /// The answer belongs to another request.
    #[display("the answer belongs to another request")]
    WrongRequest,
    /// The body of the answer is larger than the limit.
    #[display("the answer is larger than {} bytes", limits::ANSWER_BYTES)]
    TooLarge,
    /// The answer is not valid HTTP or does not state the length of its body.
    #[display("the answer is malformed")]
    Malformed,
}

impl BackendError {
    /// Returns whether no byte of the request was sent.
    ///
    /// ```
    /// use entry::backend::BackendError;
    /// assert!(BackendError::Unreachable.is_unsent());
    /// assert!(!BackendError::Disconnected.is_unsent());
    /// ```
    pub const fn is_unsent(self) -> bool {
        matches!(self, Self::ConnectionLimit | Self::Unreachable)
    }
}

/// State of a client's only connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnState {
    /// No connection is open, so nothing can have been sent.
    Closed,
    /// A connection was opened; bytes of the current request may have been sent.
    Open,
}

#[derive(Debug)]
struct Conn {
    client: Client,
    state: Rc<Cell<ConnState>>,
}

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    since: Millis,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<IdleConn>,
    busy: usize,
}

/// Connection pools of all backend servers.
#[derive(Debug)]
pub struct Backends {
    client_cfg: SharedCfg,
    answers: Rc<Answers>,
    idle_limit: Millis,
    pools: RefCell<SortedMap<net::SocketAddr, Pool>>,
}

impl Backends {
    /// Creates empty pools. Large answers take their memory from `answers`.
    pub fn new(connect_timeout: Millis, idle_limit: Millis, answers: Rc<Answers>) -> Self {
        let io = IoConfig::new().set_connect_timeout(ntex::time::Millis(connect_timeout.0 as u32));
        Self {
            client_cfg: SharedCfg::new("BACKEND").add(io).into(),
            answers,
            idle_limit,
            pools: RefCell::default(),
        }
    }

    /// Sends `request` to `server` and returns the answer if it arrives in full within `timeout`.
    ///
    /// At most `limit` requests to one server are in flight at the same time.
    pub async fn send(
        &self,
        server: net::SocketAddr,
        request: &BackendRequest,
        timeout: Millis,
        limit: usize,
    ) -> Result<Answer, BackendError> {
        let _busy = self
            .reserve(server, limit)
            .ok_or(BackendError::ConnectionLimit)?;
        let conn = match self.take_idle(server) {
            Some(conn) => conn,
            None => self.connect().await?,
        };
        let exchange = conn.exchange(server, request, timeout, &self.answers);
        let answer = match time::timeout(timeout.to_duration(), exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(BackendError::DeadlineExceeded),
        };
        match answer {
            Ok(answer) => {
                self.keep(server, conn);
                Ok(answer)
            }
            Err(_) if conn.state.get() == ConnState::Closed => Err(BackendError::Unreachable),
            Err(error) => Err(error),
        }
    }

    /// Closes connections that have been idle for too long or whose server was removed.
    pub fn prune(&self, is_known: impl Fn(&net::SocketAddr) -> bool) {
        let now = clock::now();
        self.pools.borrow_mut().retain(|addr, pool| {
            pool.idle
                .retain(|idle| self.is_fresh(idle, now) && is_known(addr));
            pool.busy > 0 || !pool.idle.is_empty()
        });
    }

    /// Returns the number of requests in flight and of idle connections.
    pub fn counts(&self) -> (usize, usize) {
        let pools = self.pools.borrow();
        let busy = pools.values().map(|p| p.busy).sum();
        (busy, pools.values().map(|p| p.idle.len()).sum())
    }

    fn reserve(&self, server: net::SocketAddr, limit: usize) -> Option<BusyConn<'_>> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_or_default(server);
        if pool.busy >= limit {
            return None;
        }
        pool.busy += 1;
        // Idle connections are open too, so the oldest ones over the limit are closed.
        let available = limit - pool.busy;
        let excess = pool.idle.len().saturating_sub(available.max(1));
        pool.idle.drain(..excess);
        Some(BusyConn {
            backends: self,
            server,
        })
    }

    fn take_idle(&self, server: net::SocketAddr) -> Option<Conn> {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        let idle = pools.get_mut(&server)?.idle.pop()?;
        self.is_fresh(&idle, now).then_some(idle.conn)
    }

    fn keep(&self, server: net::SocketAddr, conn: Conn) {
        let since = clock::now();
        let mut pools = self.pools.borrow_mut();
        pools
            .get_or_default(server)
            .idle
            .push(IdleConn { conn, since });
    }

    fn is_fresh(&self, idle: &IdleConn, now: Millis) -> bool {
        now.since(idle.since) < self.idle_limit
    }

    async fn connect(&self) -> Result<Conn, BackendError> {
        let state = Rc::new(Cell::new(ConnState::Closed));
        let connect_state = state.clone();
        let tcp = connect::Connector::new();
        let connector =
            service::apply_fn_factory(tcp, async move |target: connect::Connect<Uri>, svc| {
                connect_state.set(ConnState::Closed);
                let io = svc.call(target).await?;
                connect_state.set(ConnState::Open);
                Ok(io)
            });
        let client = Client::builder()
            // ntex does not use this type parameter.
            .connector::<()>(Connector::new().connector(connector).limit(1))
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .build(self.client_cfg.clone())
            .await
            .map_err(|_| BackendError::Unreachable)?;
        Ok(Conn { client, state })
    }
}

/// Counts one connection of a server as in use until it is dropped.
struct BusyConn<'a> {
    backends: &'a Backends,
    server: net::SocketAddr,
}

impl Drop for BusyConn<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.backends.pools.borrow_mut().get_mut(&self.server) {
            pool.busy -= 1;
        }
    }
}

impl Conn {
    async fn exchange(
        &self,
        server: net::SocketAddr,
        request: &BackendRequest,
        timeout: Millis,
        answers: &Rc<Answers>,
    ) -> Result<Answer, BackendError> {
        let mut req = self
            .client
            .post(format!("http://{server}/run/{}", request.operation))
            .address(server)
            .header(REQUEST_ID, &*request.id)
            .header(ORGANISATION, request.organisation.as_str())
            .header(DEADLINE, timeout.0.to_string());
        if let Some(content_type) = &request.content_type {
            req = req.header("content-type", content_type.clone());
        }
        let body = ntex::util::Bytes::copy_from_slice(&request.body);
        let response = req.send_body(body).await.map_err(|e| exchange_error(&e))?;
        read_answer(&request.id, &response, answers).await
    }
}

/// Reads the body of `response` and checks that the answer is complete and belongs to request `id`.
async fn read_answer(
    id: &str,
    response: &ClientResponse,
    answers: &Rc<Answers>,
) -> Result<Answer, BackendError> {
    let header = |name: &str| response.headers().get(name);
    let text = |name: &str| header(name).and_then(|v| v.to_str().ok());
    if text(REQUEST_ID) != Some(id) {
        return Err(BackendError::WrongRequest);
    }
    // Without one of these headers, the body ends with the connection, so a truncated answer would
    // look complete.
    let states_length = header("content-length").is_some() || header("transfer-encoding").is_some();
    if !states_length && !has_no_body(response.status()) {
        return Err(BackendError::Malformed);
    }
    let declared = text("content-length").and_then(|v| v.parse().ok());
    let memory = match declared.unwrap_or(limits::ANSWER_BYTES) {
        ..=SMALL_ANSWER => None,
        bytes => Some(Rc::new(
            answers.reserve(bytes.min(limits::ANSWER_BYTES)).await,
        )),
    };
    let body = response.body().limit(limits::ANSWER_BYTES);
    let body = body.timeout(ntex::time::Millis::ZERO).await;
    let body = body.map_err(|e| match e {
        PayloadError::Overflow => BackendError::TooLarge,
        PayloadError::Incomplete(_) | PayloadError::Io(_) => BackendError::Disconnected,
        _ => BackendError::Malformed,
    })?;
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    Ok(Answer {
        status: response.status(),
        content_type: header("content-type").cloned(),
        body: Bytes::copy_from_slice(&body),
        memory,
        load: text(LOAD).and_then(parse_load),
        leaving: text(LEAVING) == Some("1"),
        not_run: is_unavailable && text(NOT_RUN) == Some("1"),
    })
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn parse_load(text: &str) -> Option<Load> {
    let (used, slots) = text.split_once('/')?;
    Some(Load {
        used: used.trim().parse().ok()?,
        slots: slots.trim().parse().ok()?,
    })
}

fn exchange_error(e: &ClientError) -> BackendError {
    match e {
        ClientError::Timeout => BackendError::DeadlineExceeded,
        ClientError::Response(_) => BackendError::Malformed,
        _ => BackendError::Disconnected,
    }
}
