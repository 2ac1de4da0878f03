//! Connections to backend servers and the check that an answer is whole.
//!
//! Each connection has an ntex client of its own that opens at most one connection. A client is
//! kept only after a whole answer to its own request; dropping it closes its connection, so
//! bytes of a late or mixed-up answer can never be read as the answer to a later request.

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
use tokio::time;

/// Header that ties an answer to its request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the organisation of the caller.
pub const ORGANISATION: &str = "x-organisation";
/// Header with the time left for the answer.
pub const DEADLINE: &str = "x-deadline-ms";
const LOAD: &str = "x-load";
const LEAVING: &str = "x-leaving";
const NOT_RUN: &str = "x-not-run";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct Order {
    /// Id that the answer must carry.
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

/// Whole answer of a backend server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
    /// Requests under way and slots of the server at the time of the answer.
    pub load: Option<Load>,
    /// Whether the server gets no new work from now on.
    pub leaving: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
}

/// Load of a backend server as told in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests under way.
    pub used: u16,
    /// Slots.
    pub slots: u16,
}

/// Why there is no whole answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Error)]
pub enum Fault {
    /// The connection limit of the server is reached; nothing was sent.
    #[display("all connections to the server are in use")]
    Full,
    /// No connection could be opened; nothing was sent.
    #[display("no connection")]
    Unreachable,
    /// The connection ended before the whole answer.
    #[display("the connection ended before the whole answer")]
    Cut,
    /// The deadline passed before the whole answer.
    #[display("the deadline passed before the whole answer")]
    Late,
    /// The answer belongs to another request.
    #[display("the answer belongs to another request")]
    Crossed,
    /// The answer is larger than the limit.
    #[display("the answer is larger than {} bytes", limits::ANSWER_BYTES)]
    Oversized,
    /// The answer is no valid HTTP or does not tell its length.
    #[display("the answer is malformed")]
    Malformed,
}

impl Fault {
    /// Returns whether certainly no byte of the request was sent.
    ///
    /// ```
    /// use entry::backend::Fault;
    /// assert!(Fault::Unreachable.is_unsent());
    /// assert!(!Fault::Cut.is_unsent());
    /// ```
    pub const fn is_unsent(self) -> bool {
        matches!(self, Self::Full | Self::Unreachable)
    }
}

/// State of the one connection of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Dial {
    /// No connection is open, so nothing can have been sent.
    Closed,
    /// A connection was opened; bytes of the current request may have been sent.
    Open,
}

#[derive(Debug)]
struct Conn {
    client: Client,
    dial: Rc<Cell<Dial>>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Millis,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Idle>,
    busy: usize,
}

/// Connections to all backend servers.
#[derive(Debug)]
pub struct Backends {
    shared: SharedCfg,
    idle_limit: Millis,
    pools: RefCell<SortedMap<net::SocketAddr, Pool>>,
}

impl Backends {
    /// Creates pools without connections.
    pub fn new(connect_timeout: Millis, idle_limit: Millis) -> Self {
        let io = IoConfig::new().set_connect_timeout(ntex::time::Millis(connect_timeout.0 as u32));
        Self {
            shared: SharedCfg::new("BACKEND").add(io).into(),
            idle_limit,
            pools: RefCell::default(),
        }
    }

    /// Sends `order` to `server` and returns the whole answer if it arrives within `timeout`.
    ///
    /// At most `limit` requests use connections to the server at the same time.
    pub async fn run(
        &self,
        server: net::SocketAddr,
        order: &Order,
        timeout: Millis,
        limit: usize,
    ) -> Result<Answer, Fault> {
        let _busy = self.occupy(server, limit).ok_or(Fault::Full)?;
        let conn = match self.take_idle(server) {
            Some(conn) => conn,
            None => self.connect().await?,
        };
        let exchange = conn.exchange(server, order, timeout);
        let answer = match time::timeout(timeout.to_duration(), exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(Fault::Late),
        };
        match answer {
            Ok(answer) => {
                self.keep(server, conn);
                Ok(answer)
            }
            Err(_) if conn.dial.get() == Dial::Closed => Err(Fault::Unreachable),
            Err(fault) => Err(fault),
        }
    }

    /// Closes connections that have been idle for too long or whose server is gone.
    pub fn prune(&self, is_known: impl Fn(&net::SocketAddr) -> bool) {
        let now = clock::now();
        self.pools.borrow_mut().retain(|addr, pool| {
            pool.idle
                .retain(|idle| self.is_fresh(idle, now) && is_known(addr));
            pool.busy > 0 || !pool.idle.is_empty()
        });
    }

    /// Returns the number of requests under way and of idle connections.
    pub fn counts(&self) -> (usize, usize) {
        let pools = self.pools.borrow();
        let busy = pools.values().map(|p| p.busy).sum();
        (busy, pools.values().map(|p| p.idle.len()).sum())
    }

    fn occupy(&self, server: net::SocketAddr, limit: usize) -> Option<Busy<'_>> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_or_default(server);
        if pool.busy >= limit {
            return None;
        }
        pool.busy += 1;
        // Idle connections count as open, so the oldest make room.
        let room = limit - pool.busy;
        let excess = pool.idle.len().saturating_sub(room.max(1));
        pool.idle.drain(..excess);
        Some(Busy {
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
        pools.get_or_default(server).idle.push(Idle { conn, since });
    }

    fn is_fresh(&self, idle: &Idle, now: Millis) -> bool {
        now.since(idle.since) < self.idle_limit
    }

    async fn connect(&self) -> Result<Conn, Fault> {
        let dial = Rc::new(Cell::new(Dial::Closed));
        let state = dial.clone();
        let tcp = connect::Connector::new();
        let connector =
            service::apply_fn_factory(tcp, async move |target: connect::Connect<Uri>, svc| {
                state.set(Dial::Closed);
                let io = svc.call(target).await?;
                state.set(Dial::Open);
                Ok(io)
            });
        let client = Client::builder()
            // The type parameter is unused in the signature of ntex.
            .connector::<()>(Connector::new().connector(connector).limit(1))
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .build(self.shared.clone())
            .await
            .map_err(|_| Fault::Unreachable)?;
        Ok(Conn { client, dial })
    }
}

/// Marks one connection of a server as in use.
struct Busy<'a> {
    backends: &'a Backends,
    server: net::SocketAddr,
}

impl Drop for Busy<'_> {
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
        order: &Order,
        timeout: Millis,
    ) -> Result<Answer, Fault> {
        let mut req = self
            .client
            .post(format!("http://{server}/run/{}", order.operation))
            .address(server)
            .header(REQUEST_ID, &*order.id)
            .header(ORGANISATION, order.organisation.as_str())
            .header(DEADLINE, timeout.0.to_string());
        if let Some(content_type) = &order.content_type {
            req = req.header("content-type", content_type.clone());
        }
        let body = ntex::util::Bytes::copy_from_slice(&order.body);
        let response = req.send_body(body).await.map_err(|e| fault(&e))?;
        whole(&order.id, &response).await
    }
}

/// Reads the body of `response` and checks that the answer is whole and belongs to request `id`.
async fn whole(id: &str, response: &ClientResponse) -> Result<Answer, Fault> {
    let header = |name: &str| response.headers().get(name);
    let text = |name: &str| header(name).and_then(|v| v.to_str().ok());
    if text(REQUEST_ID) != Some(id) {
        return Err(Fault::Crossed);
    }
    // Without one of these headers the end of the connection ends the body, so that an answer
    // that was cut off would look whole.
    let tells_length = header("content-length").is_some() || header("transfer-encoding").is_some();
    if !tells_length && !has_no_body(response.status()) {
        return Err(Fault::Malformed);
    }
    let body = response.body().limit(limits::ANSWER_BYTES);
    let body = body.timeout(ntex::time::Millis::ZERO).await;
    let body = body.map_err(|e| match e {
        PayloadError::Overflow => Fault::Oversized,
        PayloadError::Incomplete(_) | PayloadError::Io(_) => Fault::Cut,
        _ => Fault::Malformed,
    })?;
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    Ok(Answer {
        status: response.status(),
        content_type: header("content-type").cloned(),
        body: Bytes::copy_from_slice(&body),
        load: text(LOAD).and_then(load),
        leaving: text(LEAVING) == Some("1"),
        not_run: is_unavailable && text(NOT_RUN) == Some("1"),
    })
}

fn has_no_body(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

fn load(text: &str) -> Option<Load> {
    let (used, slots) = text.split_once('/')?;
    Some(Load {
        used: used.trim().parse().ok()?,
        slots: slots.trim().parse().ok()?,
    })
}

fn fault(e: &ClientError) -> Fault {
    match e {
        ClientError::Timeout => Fault::Late,
        ClientError::Response(_) => Fault::Malformed,
        _ => Fault::Cut,
    }
}
