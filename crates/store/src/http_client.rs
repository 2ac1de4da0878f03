//! HTTP client whose errors tell whether anything may have been sent.

use std::{cell::Cell, io, net, rc};

use base::clock::{self, Millis};
use futures_util::StreamExt;
use ntex::{
    client::{
        Client, ClientRequest, Connector,
        error::{ClientError, ConnectError},
    },
    http::{Method, StatusCode, header},
    io::IoConfig,
    service::cfg::SharedCfg,
    time,
    util::{Bytes, BytesMut},
};
use tokio::sync;
use transfer::{exchange::Exchange, limit::Limit};

use crate::{
    call_account::{CallAccount, OpenCall, Purpose},
    http_cfg::HttpCfg,
    table::StoreError,
};

/// Time after which the client closes an idle connection. The client closes it before the server
/// does, so that no call is sent on a connection that the server is closing.
const KEEP_ALIVE_SECS: u16 = 10;

/// HTTP client for one base URL; clones share its connections.
///
/// ```no_run
/// use ntex::{http::Method, util::Bytes};
/// use store::{http_cfg::HttpCfg, http_client::HttpClient};
///
/// # async fn run() -> Result<(), store::table::StoreError> {
/// let client = HttpClient::new("http://127.0.0.1:7000", HttpCfg::default()).await?;
/// let req = client.request(Method::GET, "/vms");
/// println!("{:?}", client.call(req, Bytes::new()).await);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: rc::Rc<Inner>,
    /// Account of the calls that name a purpose.
    account: rc::Rc<CallAccount>,
}

#[derive(Debug)]
struct Inner {
    base_url: String,
    address: Option<net::SocketAddr>,
    client: Client,
    permits: sync::Semaphore,
    cfg: HttpCfg,
    /// Time when part of an answer that is not a refusal last arrived.
    heard_at: Cell<Option<Millis>>,
}

/// A complete answer of the server.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Failure of a call that received no complete answer.
#[derive(Clone, Debug)]
pub enum CallError {
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent, because the server refused the connection: no process listens there.
    Refused(String),
    /// The request may have been sent, and the connection was closed or reset without an answer.
    ///
    /// This happens on an idle connection that the server has dropped, for example in a restart.
    Closed(String),
    /// The request may have been sent, and no complete answer was received.
    NoAnswer(String),
    /// The request was sent, and the answer exceeds the `answer_bytes` of the settings.
    TooLong(String),
}

impl CallError {
    /// Returns the description of the failure.
    ///
    /// ```
    /// use store::http_client::CallError;
    /// assert_eq!(CallError::Closed("reset".into()).reason(), "reset");
    /// ```
    pub fn reason(self) -> String {
        match self {
            Self::NotSent(reason)
            | Self::Refused(reason)
            | Self::Closed(reason)
            | Self::NoAnswer(reason)
            | Self::TooLong(reason) => reason,
        }
    }

    /// Converts the failure of a call that changes state.
    pub fn into_write_error(self) -> StoreError {
        match self {
            Self::NotSent(reason) | Self::Refused(reason) => StoreError::NotDone { reason },
            Self::Closed(reason) | Self::NoAnswer(reason) | Self::TooLong(reason) => {
                StoreError::Unknown { reason }
            }
        }
    }

    /// Converts the failure of a read, which has no effect in any case.
    pub fn into_read_error(self) -> StoreError {
        StoreError::NotDone {
            reason: self.reason(),
        }
    }
}

impl HttpClient {
    /// Creates a client without opening a connection.
    pub async fn new(base_url: &str, cfg: HttpCfg) -> Result<Self, StoreError> {
        let base_url = base_url.trim_end_matches('/').to_owned();
        let io = IoConfig::new().set_connect_timeout(time::Millis(cfg.connect_ms.0 as u32));
        let shared: SharedCfg = SharedCfg::new("store").add(io).into();
        // The permits limit the number of connections. The limit of the pool is one higher and
        // never reached, because a wait inside the pool can't be distinguished from a wait for the
        // answer.
        let connector = Connector::default()
            .limit(cfg.connections + 1)
            .keep_alive(time::Seconds(KEEP_ALIVE_SECS));
        let client = Client::builder()
            .connector::<Connector>(connector)
            .disable_redirects()
            .disable_timeout()
            .response_payload_timeout(time::Millis::ZERO)
            .build(shared)
            .await
            .map_err(|e| StoreError::NotDone {
                reason: e.to_string(),
            })?;
        let address = base_url
            .strip_prefix("http://")
            .and_then(|a| a.parse().ok());
        let inner = Inner {
            base_url,
            address,
            client,
            permits: sync::Semaphore::new(cfg.connections),
            cfg,
            heard_at: Cell::default(),
        };
        Ok(Self {
            inner: rc::Rc::new(inner),
            account: rc::Rc::default(),
        })
    }

    /// Counts the calls in `account`, which several clients may share.
    #[must_use]
    pub fn with_account(self, account: rc::Rc<CallAccount>) -> Self {
        Self { account, ..self }
    }

    /// Returns the time when part of an answer last arrived, or `None` before the first one. Refusals
    /// for lack of service don't count.
    pub fn heard_at(&self) -> Option<Millis> {
        self.inner.heard_at.get()
    }

    /// Creates a request to `path` under the base URL.
    pub fn request(&self, method: Method, path: &str) -> ClientRequest {
        let url = format!("{}{path}", self.inner.base_url);
        let req = self.inner.client.request(method, url);
        match self.inner.address {
            None => req,
            Some(address) => req.address(address),
        }
    }

    /// Creates a request to `path` on another server.
    pub fn request_to(
        &self,
        address: net::SocketAddr,
        method: Method,
        path: &str,
    ) -> ClientRequest {
        let url = format!("http://{address}{path}");
        self.inner.client.request(method, url).address(address)
    }

    /// Sends the request and reads the complete answer, unless it makes no progress for the `call_ms` of
    /// the settings.
    pub async fn call(&self, req: ClientRequest, body: Bytes) -> Result<Answer, CallError> {
        let (exchange, limit) = (Exchange::default(), self.inner.cfg.call_ms.into());
        self.within(limit, &exchange, req, body, || {}).await
    }

    /// Sends the request and reads the complete answer, unless it makes no progress for `limit`. The
    /// call is counted under its purpose.
    pub async fn call_for(
        &self,
        purpose: Purpose,
        req: ClientRequest,
        body: Bytes,
        limit: Millis,
    ) -> Result<Answer, CallError> {
        let exchange = rc::Rc::default();
        self.counted(purpose, req, body, limit.into(), &exchange)
            .await
    }

    /// Sends a request without a body and reads the complete answer as far as `limit` allows. Records
    /// what has arrived of it in `exchange`. The call is counted under its purpose.
    pub async fn get_for(
        &self,
        purpose: Purpose,
        req: ClientRequest,
        limit: Limit,
        exchange: &rc::Rc<Exchange>,
    ) -> Result<Answer, CallError> {
        self.counted(purpose, req, Bytes::new(), limit, exchange)
            .await
    }

    async fn counted(
        &self,
        purpose: Purpose,
        req: ClientRequest,
        body: Bytes,
        limit: Limit,
        exchange: &rc::Rc<Exchange>,
    ) -> Result<Answer, CallError> {
        let account = self.account.clone();
        let mut open = OpenCall::new(account, purpose, body.len() as u64, exchange.clone());
        let result = self
            .within(limit, exchange, req, body, || open.set_sent())
            .await;
        open.record(&result);
        result
    }

    async fn within(
        &self,
        limit: Limit,
        exchange: &Exchange,
        req: ClientRequest,
        body: Bytes,
        on_send: impl FnOnce(),
    ) -> Result<Answer, CallError> {
        let cfg = &self.inner.cfg;
        let permit = self.inner.permits.acquire();
        let Ok(Ok(_permit)) = time::timeout(to_ntex(cfg.queue_ms), permit).await else {
            return Err(CallError::NotSent(format!(
                "no free connection in {}",
                cfg.queue_ms
            )));
        };
        on_send();
        exchange.start();
        let sending = Millis(body.len() as u64 / cfg.min_send_rate.max(1));
        let limit = limit.after(sending);
        let call = self.inner.roundtrip(req, body, exchange);
        let result = limit.wait(exchange, call).await;
        result.unwrap_or_else(|| Err(CallError::NoAnswer(no_answer(exchange))))
    }
}

/// Describes an answer that is given up before it is complete.
fn no_answer(exchange: &Exchange) -> String {
    let now = clock::now();
    let took = now.since(exchange.started());
    let Some(last) = exchange.last() else {
        return format!("no answer in {took}");
    };
    let (bytes, age) = (exchange.bytes(), now.since(last));
    format!("no complete answer in {took}: {bytes} bytes arrived, the last {age} ago")
}

impl Inner {
    async fn roundtrip(
        &self,
        req: ClientRequest,
        body: Bytes,
        exchange: &Exchange,
    ) -> Result<Answer, CallError> {
        let max_bytes = self.cfg.answer_bytes;
        let sent = if body.is_empty() {
            req.send().await
        } else {
            req.send_body(body).await
        };
        let mut resp = sent.map_err(|e| classify(&e))?;
        let is_refusal =
            resp.status().is_server_error() || resp.status() == StatusCode::TOO_MANY_REQUESTS;
        let record = |bytes| {
            exchange.record(bytes);
            if !is_refusal {
                self.heard_at.set(exchange.last());
            }
        };
        record(0);
        let length = resp.headers().get(header::CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse().ok());
        if length.is_some_and(|l: usize| l > max_bytes) {
            return Err(too_long(max_bytes));
        }
        let mut body = BytesMut::new();
        while let Some(piece) = resp.next().await {
            let piece =
                piece.map_err(|e| CallError::NoAnswer(format!("incomplete answer: {e}")))?;
            if body.len() + piece.len() > max_bytes {
                return Err(too_long(max_bytes));
            }
            record(piece.len());
            body.extend_from_slice(&piece);
        }
        Ok(Answer {
            status: resp.status(),
            body: body.freeze(),
        })
    }
}

fn too_long(max_bytes: usize) -> CallError {
    CallError::TooLong(format!("the answer exceeds {max_bytes} bytes"))
}

/// Distinguishes a connection that could not be opened from one that was lost during the call.
///
/// The HTTP library reports a connection that closes without an answer as `Disconnected(None)`,
/// so only `Disconnected(Some(_))` proves that the connection was never opened.
fn classify(err: &ClientError) -> CallError {
    match err {
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            CallError::Closed("connection closed without an answer".into())
        }
        ClientError::Connect(ConnectError::Disconnected(Some(e)))
            if e.kind() == io::ErrorKind::ConnectionRefused =>
        {
            CallError::Refused(err.to_string())
        }
        ClientError::Send(_) => CallError::Closed(err.to_string()),
        ClientError::Connect(_) | ClientError::Url(_) => CallError::NotSent(err.to_string()),
        _ => CallError::NoAnswer(err.to_string()),
    }
}

fn to_ntex(t: Millis) -> time::Millis {
    time::Millis(t.0 as u32)
}
