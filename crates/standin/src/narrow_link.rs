//! Stand-in for a network link of limited bandwidth.

use std::{
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Size of the pieces that the connections send in turn.
const PIECE_BYTES: usize = 1_500;

/// A link that passes on requests to a server and its answers at a limited rate over all connections, in
/// each direction.
#[derive(Debug)]
pub struct NarrowLink {
    addr: SocketAddr,
    bytes_per_s: Arc<AtomicU32>,
}

/// One direction of a link; clones share it.
#[derive(Clone, Debug)]
struct Direction {
    bytes_per_s: Arc<AtomicU32>,
    free_at: Arc<Mutex<Instant>>,
}

impl NarrowLink {
    /// Starts a link to `server` with `bytes_per_s` for all connections together, in each direction.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    ///
    /// ```
    /// # fn main() -> std::io::Result<()> {
    /// let link = standin::narrow_link::NarrowLink::start("127.0.0.1:7000".parse().unwrap(), 250_000)?;
    /// assert_ne!(link.addr().port(), 7_000);
    /// # Ok(())
    /// # }
    /// ```
    pub fn start(server: SocketAddr, bytes_per_s: u32) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let bytes_per_s = Arc::new(AtomicU32::new(bytes_per_s));
        let direction = || Direction {
            bytes_per_s: bytes_per_s.clone(),
            free_at: Arc::new(Mutex::new(Instant::now())),
        };
        let (up, down) = (direction(), direction());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A connection that can't be passed on is closed.
                let _ = connect(&client, server, &up, &down);
            }
        });
        Ok(Self { addr, bytes_per_s })
    }

    /// Returns the address at which the server is reached through the link.
    ///
    /// ```no_run
    /// # let server = "127.0.0.1:7000".parse().unwrap();
    /// let link = standin::narrow_link::NarrowLink::start(server, 250_000).unwrap();
    /// println!("{}", link.addr());
    /// ```
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the rate for what is sent from now on.
    ///
    /// ```no_run
    /// # let server = "127.0.0.1:7000".parse().unwrap();
    /// let link = standin::narrow_link::NarrowLink::start(server, 10 << 20).unwrap();
    /// link.set_rate(250_000);
    /// ```
    pub fn set_rate(&self, bytes_per_s: u32) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }
}

impl Direction {
    /// Waits until the link has sent `n` bytes more.
    fn wait(&self, n: usize) {
        let sent_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let start = (*free_at).max(Instant::now());
            *free_at =
                start + Duration::from_secs(n as u64) / self.bytes_per_s.load(Ordering::Relaxed);
            *free_at
        };
        thread::sleep(sent_at.saturating_duration_since(Instant::now()));
    }
}

fn connect(
    client: &TcpStream,
    server: SocketAddr,
    up: &Direction,
    down: &Direction,
) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    let (to_client, to_server) = (client.try_clone()?, server.try_clone()?);
    let (client, up, down) = (client.try_clone()?, up.clone(), down.clone());
    thread::spawn(move || pass(client, to_server, &up));
    thread::spawn(move || pass(server, to_client, &down));
    Ok(())
}

/// Passes on bytes in one direction. When it ends, both are closed.
fn pass(mut from: TcpStream, mut to: TcpStream, direction: &Direction) {
    let mut buf = [0; PIECE_BYTES];
    while let Ok(n @ 1..) = from.read(&mut buf) {
        direction.wait(n);
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
