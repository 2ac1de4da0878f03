//! One HTTP call to the platform, with failures told apart by whether anything was sent.

use std::{net, rc};

use base::clock::Millis;
use ntex::{
    client::{
        Client, ClientRequest, Connector,
        error::{ClientError, ConnectError},
    },
    http::{Method, StatusCode},
    io::IoConfig,
    service::cfg::SharedCfg,
    time,
    util::Bytes,
};
use tokio::sync;

use crate::{http_cfg::HttpCfg, table::StoreError};

/// Idle connections are closed by the client first, so that a call does not meet a closing one.
const IDLE_SECS: u16 = 10;

/// Client for one base URL; clones share its connections.
///
/// ```no_run
/// use ntex::{http::Method, util::Bytes};
/// use store::{caller::Caller, http_cfg::HttpCfg};
///
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let caller = Caller::new("http://127.0.0.1:7000", HttpCfg::default()).await?;
/// let req = caller.request(Method::GET, "/vms");
/// println!("{:?}", caller.call(req, Bytes::new()).await);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Caller {
    inner: rc::Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    base: String,
    address: Option<net::SocketAddr>,
    client: Client,
    permits: sync::Semaphore,
    cfg: HttpCfg,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its whole body.
    pub body: Bytes,
}

/// A call that got no whole answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// No byte was sent.
    NotSent(String),
    /// Something may have been sent, and the connection was closed or reset without an answer. An
    /// idle connection that the server has left behind fails so.
    Closed(String),
    /// Something may have been sent.
    NoAnswer(String),
}

impl Failure {
    /// Returns why there is no whole answer.
    ///
    /// ```
    /// use store::caller::Failure;
    /// assert_eq!(Failure::Closed("reset".into()).reason(), "reset");
    /// ```
    pub fn reason(self) -> String {
        match self {
            Self::NotSent(reason) | Self::Closed(reason) | Self::NoAnswer(reason) => reason,
        }
    }

    /// Classifies a failed call that changes state.
    pub fn of_write(self) -> StoreError {
        match self {
            Self::NotSent(reason) => StoreError::NotDone { reason },
            Self::Closed(reason) | Self::NoAnswer(reason) => StoreError::Unknown { reason },
        }
    }

    /// Classifies a failed read, which has no effect in any case.
    pub fn of_read(self) -> StoreError {
        StoreError::NotDone {
            reason: self.reason(),
        }
    }
}

impl Caller {
    /// Makes a client; no connection is opened yet.
    pub async fn new(base: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let base = base.trim_end_matches('/').to_owned();
        let io = IoConfig::new().set_connect_timeout(time::Millis(cfg.connect_ms.0 as u32));
        let shared: SharedCfg = SharedCfg::new("store").add(io).into();
        // The permits limit the connections. The pool's own limit is never reached, because a
        // wait inside the pool can't be told from a wait for the answer.
        let connector = Connector::default()
            .limit(cfg.connections + 1)
            .keep_alive(time::Seconds(IDLE_SECS));
        let client = Client::builder()
            .connector::<Connector>(connector)
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(cfg.answer_bytes)
            .response_payload_timeout(time::Millis::ZERO)
            .build(shared)
            .await
            .map_err(|e| StoreError::NotDone {
                reason: e.to_string(),
            })?;
        let address = base.strip_prefix("http://").and_then(|a| a.parse().ok());
        let inner = Inner {
            base,
            address,
            client,
            permits: sync::Semaphore::new(cfg.connections),
            cfg,
        };
        Ok(Self {
            inner: rc::Rc::new(inner),
        })
    }

    /// Begins a request to the base URL.
    pub fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("{}{path}", self.inner.base);
        let req = self.inner.client.request(method, url);
        match self.inner.address {
            None => req,
            Some(address) => req.address(address),
        }
    }

    /// Begins a request to another server.
    pub fn request_to(
        &self,
        address: net::SocketAddr,
        method: Method,
        path: &str,
    ) -> ClientRequest {
        let url = format!("http://{address}{path}");
        self.inner.client.request(method, url).address(address)
    }

    /// Sends the request and reads the whole answer.
    pub async fn call(&self, req: ClientRequest, body: Bytes) -> Result<Answer, Failure> {
        self.call_within(req, body, self.inner.cfg.call_ms).await
    }

    /// Sends the request and reads the whole answer within `limit`.
    pub async fn call_within(
        &self,
        req: ClientRequest,
        body: Bytes,
        limit: Millis,
    ) -> Result<Answer, Failure> {
        let cfg = &self.inner.cfg;
        let permit = self.inner.permits.acquire();
        let Ok(Ok(_permit)) = time::timeout(to_ntex(cfg.queue_ms), permit).await else {
            return Err(Failure::NotSent("no connection got free in time".into()));
        };
        let exchange = time::timeout(to_ntex(limit), exchange(req, body));
        match exchange.await {
            Ok(result) => result,
            Err(()) => Err(Failure::NoAnswer(format!("no answer in {limit}"))),
        }
    }
}

async fn exchange(req: ClientRequest, body: Bytes) -> Result<Answer, Failure> {
    let sent = if body.is_empty() {
        req.send().await
    } else {
        req.send_body(body).await
    };
    let resp = sent.map_err(|e| classify(&e))?;
    let status = resp.status();
    match resp.body().await {
        Ok(body) => Ok(Answer { status, body }),
        Err(e) => Err(Failure::NoAnswer(format!("incomplete answer: {e}"))),
    }
}

/// Tells a connection that could not be opened from one that was lost during the call.
///
/// The HTTP library reports a connection that closes without an answer as `Disconnected(None)`,
/// so only `Disconnected(Some(_))` proves that the connection was never opened.
fn classify(err: &ClientError) -> Failure {
    match err {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            Failure::Closed("connection closed without an answer".into())
        }
        ClientError::Send(_) => Failure::Closed(err.to_string()),
        ClientError::Connect(_) | ClientError::Url(_) => Failure::NotSent(err.to_string()),
        _ => Failure::NoAnswer(err.to_string()),
    }
}

fn to_ntex(t: Millis) -> time::Millis {
    time::Millis(t.0 as u32)
}
