//! Server side of the transport.

use std::{cell::Cell, future::Future, io, net, rc::Rc, time};

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use ntex::rt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    frame::{self, FrameError},
    message::{Effect, PROTOCOL, Reply, Request},
};

/// Most exchanges at the same time on one connection.
const STREAMS: u32 = 256;
/// Pause after a failed accept, so that a shortage of file descriptors does not use up the core.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

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

    /// Takes no new exchange and returns when all exchanges under way have ended.
    pub async fn shutdown(self) {
        let _ = self.stop.send(true);
        self.stop.closed().await;
    }
}

/// Serves `listener` on the current thread with `handler`.
pub fn serve<H, F>(listener: net::TcpListener, handler: H) -> io::Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = TcpListener::from_std(listener)?;
    let (stop, stopped) = watch::channel(false);
    rt::spawn(accept(listener, stopped, handler));
    Ok(Server { addr, stop })
}

async fn accept<H, F>(listener: TcpListener, mut stopped: watch::Receiver<bool>, handler: H)
where
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
                rt::spawn(connection(tcp, stopped.clone(), handler.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Runs one connection until the peer closes it or the server stops.
async fn connection<H, F>(tcp: TcpStream, mut stopped: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Reply> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(STREAMS)
        .initial_window_size(frame::FRAME_BYTES as u32)
        .initial_connection_window_size(4 * frame::FRAME_BYTES as u32);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(tcp).await else {
        return;
    };
    let opened = Rc::new(Cell::new(false));
    let mut stopping = false;
    loop {
        let accepted = tokio::select! {
            changed = stopped.changed(), if !stopping => {
                if changed.is_err() {
                    return;
                }
                stopping = true;
                connection.graceful_shutdown();
                continue;
            }
            accepted = connection.accept() => accepted,
        };
        let Some(Ok((req, respond))) = accepted else {
            return;
        };
        let exchange = exchange(req.into_body(), respond, handler.clone(), opened.clone());
        rt::spawn(exchange);
    }
}

async fn exchange<H, F>(
    mut body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: H,
    opened: Rc<Cell<bool>>,
) where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let reply = match frame::receive(&mut body).await {
        Ok(req) => answer(req, &handler, &opened).await,
        Err(FrameError::Stream { .. }) => return,
        Err(e) => refuse("bad_message", e.to_string()),
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
        // A failure here means that the peer has gone; it treats the answer as lost.
        let _ = stream.send_data(message, true);
    }
}

async fn answer<H, F>(req: Request, handler: &H, opened: &Cell<bool>) -> Reply
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    match req {
        Request::Hello { protocol: PROTOCOL } => {
            opened.set(true);
            Reply::Hello { protocol: PROTOCOL }
        }
        Request::Hello { protocol } => refuse(
            "unknown_protocol",
            format!("this process speaks protocol {PROTOCOL}, the peer speaks {protocol}"),
        ),
        _ if !opened.get() => refuse("no_hello", "the connection must open with Hello".into()),
        req => handler(req).await,
    }
}

fn refuse(code: &str, message: String) -> Reply {
    Reply::Failed {
        code: code.into(),
        message,
        done: Effect::None,
    }
}
