//! Client side of the transport.

use std::{future, net, rc};

use base::clock::Millis;
use bytes::Bytes;
use derive_more::{Display, Error};
use h2::{Reason, client::SendRequest};
use ntex::rt;
use tokio::{net::TcpStream, sync::Mutex, time};
use transfer::{exchange::Exchange, limit::Limit};

use crate::{
    frame::{self, FrameError},
    message::{PROTOCOL, Reply, Request},
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);
/// Maximum time without progress of a call unless [`Client::with_timeout`] sets another.
const DEFAULT_CALL_TIMEOUT: Millis = Millis(5_000);
/// Rate, in bytes per ms, at which a request is sent at least: a quarter of a link of 2 Mbit/s.
const MIN_SEND_RATE: u64 = 64;

/// Failure of a call.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum WireError {
    /// The request was not sent or not processed, so it had no effect.
    #[display("not sent: {reason}")]
    NotSent {
        /// Cause of the failure.
        reason: String,
    },
    /// The request was sent but no complete answer arrived; it may have had an effect.
    #[display("answer lost: {reason}")]
    Lost {
        /// Cause of the failure.
        reason: String,
    },
}

impl WireError {
    fn not_sent(reason: &impl ToString) -> Self {
        Self::NotSent {
            reason: reason.to_string(),
        }
    }

    fn lost(reason: &impl ToString) -> Self {
        Self::Lost {
            reason: reason.to_string(),
        }
    }
}

impl From<FrameError> for WireError {
    fn from(e: FrameError) -> Self {
        Self::lost(&e)
    }
}

/// Client of one peer; it keeps one connection and reconnects when needed.
///
/// Clones share the connection. The client can't be sent to other threads.
///
/// ```
/// let client = wire::client::Client::new("127.0.0.1:7100".parse().unwrap());
/// assert_eq!(client.addr().port(), 7100);
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    addr: net::SocketAddr,
    timeout: Millis,
    connection: rc::Rc<Mutex<Option<SendRequest<Bytes>>>>,
}

impl Client {
    /// Creates a client; the first call opens the connection.
    ///
    /// ```
    /// let client = wire::client::Client::new("127.0.0.1:1".parse().unwrap());
    /// assert_eq!(client.addr().port(), 1);
    /// ```
    pub fn new(addr: net::SocketAddr) -> Self {
        Self {
            addr,
            timeout: DEFAULT_CALL_TIMEOUT,
            connection: rc::Rc::default(),
        }
    }

    /// Sets the maximum time without progress of a call. A long answer is waited for while it arrives.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let addr = "127.0.0.1:1".parse().unwrap();
    /// let client = wire::client::Client::new(addr).with_timeout(Millis(500));
    /// assert_eq!(client.addr(), addr);
    /// ```
    #[must_use]
    pub fn with_timeout(mut self, timeout: Millis) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the address of the peer.
    ///
    /// ```
    /// let client = wire::client::Client::new("127.0.0.1:1".parse().unwrap());
    /// assert_eq!(client.addr().to_string(), "127.0.0.1:1");
    /// ```
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sends `req` and returns the answer.
    pub async fn call(&self, req: &Request) -> Result<Reply, WireError> {
        let message = frame::encode(req).map_err(|e| WireError::not_sent(&e))?;
        let sender = self.sender().await?;
        let sending = Millis(message.len() as u64 / MIN_SEND_RATE);
        let limit = Limit::from(self.timeout).after(sending);
        let exchange = Exchange::default();
        match limit
            .wait(&exchange, roundtrip(sender, message, &exchange))
            .await
        {
            Some(Ok(reply)) => Ok(reply),
            Some(Err(e)) => {
                self.disconnect().await;
                Err(e)
            }
            // The connection to a peer that does not answer may be dead, so the next call opens a
            // new one.
            None => {
                self.disconnect().await;
                let bytes = exchange.bytes();
                Err(WireError::lost(&format!(
                    "no answer from {} in {}, {bytes} bytes arrived",
                    self.addr, self.timeout
                )))
            }
        }
    }

    async fn disconnect(&self) {
        *self.connection.lock().await = None;
    }

    async fn sender(&self) -> Result<SendRequest<Bytes>, WireError> {
        let mut connection = self.connection.lock().await;
        if let Some(sender) = connection.as_mut()
            && is_open(sender).await
        {
            return Ok(sender.clone());
        }
        *connection = None;
        let connecting = time::timeout(CONNECT_TIMEOUT.to_duration(), connect(self.addr));
        let sender = connecting
            .await
            .map_err(|_| WireError::not_sent(&format!("{} does not answer", self.addr)))??;
        *connection = Some(sender.clone());
        Ok(sender)
    }
}

async fn is_open(sender: &mut SendRequest<Bytes>) -> bool {
    future::poll_fn(|cx| match sender.poll_ready(cx) {
        std::task::Poll::Ready(Err(_)) => std::task::Poll::Ready(false),
        // A connection whose streams are all in use is open; the call waits for a free stream.
        _ => std::task::Poll::Ready(true),
    })
    .await
}

async fn connect(addr: net::SocketAddr) -> Result<SendRequest<Bytes>, WireError> {
    let tcp = TcpStream::connect(addr)
        .await
        .map_err(|e| WireError::not_sent(&e))?;
    tcp.set_nodelay(true).map_err(|e| WireError::not_sent(&e))?;
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(frame::MAX_FRAME_BYTES as u32)
        .initial_connection_window_size(4 * frame::MAX_FRAME_BYTES as u32);
    let (sender, connection) = builder
        .handshake(tcp)
        .await
        .map_err(|e| WireError::not_sent(&e))?;
    rt::spawn(async move {
        // The error is also returned by every pending call on this connection.
        let _ = connection.await;
    });
    let hello = frame::encode(&Request::Hello { protocol: PROTOCOL })?;
    let reply = roundtrip(sender.clone(), hello, &Exchange::default())
        .await
        .map_err(|e| WireError::not_sent(&e))?;
    match reply {
        Reply::Hello { .. } => Ok(sender),
        Reply::Failed { message, .. } => Err(WireError::not_sent(&message)),
        other => Err(WireError::not_sent(&format!(
            "unexpected answer to Hello: {other:?}"
        ))),
    }
}

async fn roundtrip(
    sender: SendRequest<Bytes>,
    message: Bytes,
    exchange: &Exchange,
) -> Result<Reply, WireError> {
    let mut sender = sender.ready().await.map_err(|e| WireError::not_sent(&e))?;
    let req = http::Request::post("http://peer/")
        .body(())
        .map_err(|e| WireError::not_sent(&e))?;
    let (response, mut body) = sender
        .send_request(req, false)
        .map_err(|e| WireError::not_sent(&e))?;
    body.send_data(message, true)
        .map_err(|e| WireError::lost(&e))?;
    let response = response.await.map_err(|e| {
        if is_unprocessed(&e) {
            WireError::not_sent(&e)
        } else {
            WireError::lost(&e)
        }
    })?;
    exchange.record(0);
    let mut body = response.into_body();
    let reply = frame::receive_with(&mut body, |bytes| exchange.record(bytes)).await?;
    Ok(reply)
}

/// Returns whether the peer states that it has not processed the request: a graceful GOAWAY fails
/// only the streams above the last one that the peer has accepted.
fn is_unprocessed(e: &h2::Error) -> bool {
    e.is_remote() && e.is_go_away() && e.reason() == Some(Reason::NO_ERROR)
}
