//! A proxy on the loopback address that disturbs the connections through it.

use std::{
    io::{self, Read, Write},
    net,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    thread, time,
};

/// What happens to the bytes on a way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Way {
    /// They pass.
    Open,
    /// They pass late.
    Slow,
    /// Requests pass, answers are lost.
    AnswersLost,
    /// All are lost; connections stay open.
    Silent,
    /// Connections are reset.
    Reset,
}

impl Way {
    pub const ALL: [Self; 5] = [
        Self::Open,
        Self::Slow,
        Self::AnswersLost,
        Self::Silent,
        Self::Reset,
    ];
}

/// Delay of a slow way in each direction.
const DELAY: time::Duration = time::Duration::from_millis(150);
/// Time between two looks at the state of a way on which nothing is sent.
const LOOK: time::Duration = time::Duration::from_millis(50);

/// A running proxy; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: net::SocketAddr,
    way: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = net::TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let way: Arc<AtomicU8> = Arc::default();
        let state = way.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A connection that can't be forwarded is closed.
                let _ = forward(&client, target, &state);
            }
        });
        Ok(Self { addr, way })
    }

    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sets what happens to the bytes from now on.
    pub fn set(&self, way: Way) {
        self.way.store(way as u8, Ordering::Relaxed);
    }
}

fn now(state: &AtomicU8) -> Way {
    Way::ALL[usize::from(state.load(Ordering::Relaxed))]
}

fn forward(
    client: &net::TcpStream,
    target: net::SocketAddr,
    state: &Arc<AtomicU8>,
) -> io::Result<()> {
    let server = net::TcpStream::connect(target)?;
    for tcp in [client, &server] {
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(LOOK))?;
    }
    let ways = [
        (client.try_clone()?, server.try_clone()?, false),
        (server, client.try_clone()?, true),
    ];
    for (from, to, is_answer) in ways {
        let state = state.clone();
        thread::spawn(move || {
            // The end of one direction ends both.
            let _ = copy(&from, &to, is_answer, &state);
            let _ = from.shutdown(net::Shutdown::Both);
            let _ = to.shutdown(net::Shutdown::Both);
        });
    }
    Ok(())
}

/// Copies until one end closes or the way is reset. A connection that lost bytes stays silent for
/// good, as one behind a partition does.
fn copy(
    mut from: &net::TcpStream,
    mut to: &net::TcpStream,
    is_answer: bool,
    state: &AtomicU8,
) -> io::Result<()> {
    let mut buf = vec![0; 64 << 10];
    let mut lost = false;
    loop {
        if now(state) == Way::Reset {
            return Ok(());
        }
        let n = match from.read(&mut buf) {
            Ok(0) => return Ok(()),
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(e) => return Err(e),
        };
        match now(state) {
            Way::Open => {}
            Way::Slow => thread::sleep(DELAY),
            Way::AnswersLost => lost |= is_answer,
            Way::Silent => lost = true,
            Way::Reset => return Ok(()),
        }
        if !lost {
            to.write_all(&buf[..n])?;
        }
    }
}
