//! Server side of the transport.

use std::{cell::Cell, future::Future, io, net, rc::Rc};

use base::clock::Millis;
use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use ntex::rt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use crate::{
    frame::{self, FrameError},
    message::{Effect, PROTOCOL, Reply, Request},
    socket::Socket,
};

/// Maximum number of concurrent exchanges on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;
/// Delay after a failed accept, so that the loop does not use up a core while the process is out of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// A running server; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    addr: net::SocketAddr,
    stop: watch::Sender<bool>,
}

impl Server {
    /// Returns the address of the listener.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops accepting exchanges and waits until the peers have received the answers to all
    /// exchanges in progress, or until `limit` has passed; returns whether they have.
    pub async fn shutdown(self, limit: Millis) -> bool {
        let _ = self.stop.send(true);
        let ended = time::timeout(limit.to_duration(), self.stop.closed());
        ended.await.is_ok()
    }
}

/// Starts a server on the current thread that answers the requests on `listener` with `handler`.
pub fn serve<H, F>(listener: net::TcpListener, handler: H) -> io::Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let (stop, stopped) = watch::channel(false);
    rt::spawn(accept_connections(listener, stopped, handler));
    Ok(Server { addr, stop })
}

async fn accept_connections<H, F>(
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        let accepted = tokio::select! {
            _ = stopped.changed() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((tcp, _)) => {
                rt::spawn(serve_connection(tcp, stopped.clone(), handler.clone()));
            }
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await,
        }
    }
}

/// Serves one connection until the peer closes it or the server has stopped.
async fn serve_connection<H, F>(tcp: TcpStream, mut stopped: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .initial_window_size(frame::MAX_FRAME_BYTES as u32)
        .initial_connection_window_size(4 * frame::MAX_FRAME_BYTES as u32);
    let handshake = builder.handshake::<_, Bytes>(Socket::new(tcp));
    let mut connection = tokio::select! {
        _ = stopped.changed() => return,
        connection = handshake => match connection {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let hello_received = Rc::new(Cell::new(false));
    loop {
        let accepted = tokio::select! {
            changed = stopped.changed() => {
                if changed.is_err() {
                    return;
                }
                connection.graceful_shutdown();
                continue;
            }
            accepted = connection.accept() => accepted,
        };
        let Some(Ok((req, respond))) = accepted else {
            return;
        };
        let exchange = serve_exchange(
            req.into_body(),
            respond,
            handler.clone(),
            hello_received.clone(),
        );
        rt::spawn(exchange);
    }
}

async fn serve_exchange<H, F>(
    mut body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: H,
    hello_received: Rc<Cell<bool>>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let reply = match frame::receive(&mut body).await {
        Ok(req) => answer(req, &handler, &hello_received).await,
        Err(FrameError::Stream { .. }) => return,
        Err(e) => rejection("bad_message", e.to_string()),
    };
    let message = frame::encode(&reply).or_else(|e| {
        let reply = Reply::Failed {
            code: "answer_too_large".into(),
            message: e.to_string(),
            done: Effect::Maybe,
        };
        frame::encode(&reply)
    });
    let Ok(message) = message else {
        return;
    };
    if let Ok(mut stream) = respond.send_response(http::Response::new(()), false) {
        // Sending fails if the peer has closed the connection; the peer treats the answer as lost.
        let _ = stream.send_data(message, true);
    }
}

async fn answer<H, F>(req: Request, handler: &H, hello_received: &Cell<bool>) -> Reply
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    match req {
        Request::Hello { protocol: PROTOCOL } => {
            hello_received.set(true);
            Reply::Hello { protocol: PROTOCOL }
        }
        Request::Hello { protocol } => rejection(
            "unknown_protocol",
            format!("this process speaks protocol {PROTOCOL}, the peer speaks {protocol}"),
        ),
        _ if !hello_received.get() => {
            rejection("no_hello", "the connection must open with Hello".into())
        }
        req => handler(req).await,
    }
}

fn rejection(code: &str, message: String) -> Reply {
    Reply::Failed {
        code: code.into(),
        message,
        done: Effect::None,
    }
}
