//! A TCP proxy on the loopback address that injects network faults.

use std::{
    io::{self, Read, Write},
    net,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    thread, time,
};

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards both directions.
    Forward,
    /// Forwards both directions with a delay.
    Slow,
    /// Forwards requests and drops answers.
    DropAnswers,
    /// Drops both directions; connections stay open.
    DropAll,
    /// Closes connections.
    Close,
}

impl Mode {
    pub const ALL: [Self; 5] = [
        Self::Forward,
        Self::Slow,
        Self::DropAnswers,
        Self::DropAll,
        Self::Close,
    ];
}

/// Delay in each direction in [`Mode::Slow`].
const DELAY: time::Duration = time::Duration::from_millis(150);
/// Size of the pieces in which the connections of a link send in turn. A larger one would keep the link
/// silent for all others while it is on its way.
const PIECE_BYTES: usize = 4 << 10;
/// Read timeout, after which an idle connection checks the mode.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// A network link of limited bandwidth that all connections of its proxies share in both directions;
/// clones share it. Bytes wait in the order in which they arrive from any connection.
#[derive(Clone, Debug)]
pub struct Link(Arc<Mutex<Queue>>);

#[derive(Debug)]
struct Queue {
    bytes_per_s: u64,
    /// Time when the last byte in the queue has been sent.
    empty_at: time::Instant,
    sent: u64,
}

impl Link {
    pub fn new(bytes_per_s: u64) -> Self {
        Self(Arc::new(Mutex::new(Queue {
            bytes_per_s,
            empty_at: time::Instant::now(),
            sent: 0,
        })))
    }

    /// Changes the bandwidth for the bytes that arrive from now on.
    pub fn set_bandwidth(&self, bytes_per_s: u64) {
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        queue.bytes_per_s = bytes_per_s;
    }

    /// Returns the number of bytes that were added to the queue so far.
    pub fn sent(&self) -> u64 {
        let queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        queue.sent
    }

    /// Adds bytes to the queue and waits until the last of them has been sent.
    fn send(&self, bytes: usize) {
        let now = time::Instant::now();
        let mut queue = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let micros = bytes as u64 * 1_000_000 / queue.bytes_per_s;
        let sent_at = queue.empty_at.max(now) + time::Duration::from_micros(micros);
        queue.empty_at = sent_at;
        queue.sent += bytes as u64;
        drop(queue);
        thread::sleep(sent_at - now);
    }
}

/// A running proxy; clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: net::SocketAddr,
    mode: Arc<AtomicU8>,
    accepted: Arc<AtomicUsize>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: net::SocketAddr) -> io::Result<Self> {
        Self::start_on(target, None)
    }

    /// Starts a proxy whose connections share `link` with those of its other proxies.
    pub fn start_on(target: net::SocketAddr, link: Option<Link>) -> io::Result<Self> {
        let listener = net::TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let mode: Arc<AtomicU8> = Arc::default();
        let accepted: Arc<AtomicUsize> = Arc::default();
        let (thread_mode, count) = (mode.clone(), accepted.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::Relaxed);
                // A connection that can't be forwarded is closed.
                let _ = forward(&client, target, &thread_mode, link.as_ref());
            }
        });
        Ok(Self {
            addr,
            mode,
            accepted,
        })
    }

    /// Returns the number of connections that were opened so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sets the mode of all connections, open and new.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

fn current(mode: &AtomicU8) -> Mode {
    Mode::ALL[usize::from(mode.load(Ordering::Relaxed))]
}

fn forward(
    client: &net::TcpStream,
    target: net::SocketAddr,
    mode: &Arc<AtomicU8>,
    link: Option<&Link>,
) -> io::Result<()> {
    let server = net::TcpStream::connect(target)?;
    for tcp in [client, &server] {
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(READ_TIMEOUT))?;
    }
    let directions = [
        (client.try_clone()?, server.try_clone()?, false),
        (server, client.try_clone()?, true),
    ];
    for (from, to, is_answer) in directions {
        let (mode, link) = (mode.clone(), link.cloned());
        thread::spawn(move || {
            // When one direction ends, both are closed.
            let _ = copy(&from, &to, is_answer, &mode, link.as_ref());
            let _ = from.shutdown(net::Shutdown::Both);
            let _ = to.shutdown(net::Shutdown::Both);
        });
    }
    Ok(())
}

/// Copies bytes in one direction until either end closes or the mode is [`Mode::Close`]. A direction
/// that has dropped bytes forwards nothing any more, as across a network partition.
fn copy(
    mut from: &net::TcpStream,
    mut to: &net::TcpStream,
    is_answer: bool,
    mode: &AtomicU8,
    link: Option<&Link>,
) -> io::Result<()> {
    let mut buf = vec![0; 64 << 10];
    let mut dropping = false;
    loop {
        if current(mode) == Mode::Close {
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
        let piece_bytes = if link.is_some() { PIECE_BYTES } else { n };
        for piece in buf[..n].chunks(piece_bytes) {
            if let Some(link) = link {
                link.send(piece.len());
            }
            match current(mode) {
                Mode::Forward => {}
                Mode::Slow => thread::sleep(DELAY),
                Mode::DropAnswers => dropping |= is_answer,
                Mode::DropAll => dropping = true,
                Mode::Close => return Ok(()),
            }
            if !dropping {
                to.write_all(piece)?;
            }
        }
    }
}
