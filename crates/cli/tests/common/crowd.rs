//! Callers that send requests just short of their end and keep their connections open.

use std::{
    fs,
    io::{self, Write},
    net::{self, Ipv4Addr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread, time,
};

use tokio::net::TcpSocket;

/// Time after which a caller gives up a write that the process does not take.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Pause between two pieces of a body.
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Size of a piece, and of the chunks of [`Shape::LargeChunks`].
const PIECE: usize = 16 << 10;

/// How the requests of a crowd are sent. None of them is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// A body of declared length, in one write.
    Whole,
    /// A body of declared length, in pieces with pauses.
    Pieces,
    LargeChunks,
    /// Chunks of one byte.
    TinyChunks,
    /// A request head without its end.
    Head,
}

/// What each request of a crowd consists of.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request line and headers other than those about the body.
    pub head: String,
    /// Number of bytes of the body; the last one is not sent.
    pub bytes: usize,
    pub shape: Shape,
}

/// Connections of a crowd, which are closed when this is dropped.
pub struct Crowd {
    over: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.thread().unpark();
            caller.join().unwrap();
        }
    }
}

/// Sends the request on `count` connections at once, which start from the `sources` in turn. Returns
/// once all have sent what they send, or after `limit`; the others go on then. Whether the process
/// takes or refuses the requests is not judged.
pub fn start(
    addr: net::SocketAddr,
    count: usize,
    sources: &[Ipv4Addr],
    req: &Request,
    limit: time::Duration,
) -> Crowd {
    let over: Arc<AtomicBool> = Arc::default();
    let (tx, rx) = mpsc::channel::<()>();
    let callers = (0..count).map(|i| {
        let (source, req) = (sources[i % sources.len()], req.clone());
        let (over, tx) = (over.clone(), tx.clone());
        thread::spawn(move || {
            let Some(mut tcp) = connect(addr, source) else {
                return;
            };
            tcp.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
            // The process may close the connection at any point.
            let _ = req.send(&mut tcp, &over);
            drop(tx);
            while !over.load(Ordering::Relaxed) {
                thread::park();
            }
        })
    });
    let callers = callers.collect();
    drop(tx);
    // Each caller drops its sender; nothing is sent.
    let _ = rx.recv_timeout(limit);
    Crowd { over, callers }
}

fn connect(addr: net::SocketAddr, source: Ipv4Addr) -> Option<net::TcpStream> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .ok()?;
    let tcp = runtime.block_on(async {
        let socket = TcpSocket::new_v4()?;
        socket.bind((source, 0).into())?;
        socket.connect(addr).await?.into_std()
    });
    let tcp = tcp.ok()?;
    tcp.set_nonblocking(false).ok()?;
    Some(tcp)
}

impl Request {
    fn send(&self, tcp: &mut net::TcpStream, over: &AtomicBool) -> io::Result<()> {
        let body = vec![b' '; self.bytes];
        let declared = format!("{}content-length: {}\r\n\r\n", self.head, self.bytes);
        match self.shape {
            Shape::Head => tcp.write_all(self.head.as_bytes()),
            Shape::Whole => {
                tcp.write_all(declared.as_bytes())?;
                tcp.write_all(&body[1..])
            }
            Shape::Pieces => {
                tcp.write_all(declared.as_bytes())?;
                for piece in body[1..].chunks(PIECE) {
                    tcp.write_all(piece)?;
                    thread::sleep(PIECE_PAUSE);
                }
                Ok(())
            }
            Shape::LargeChunks => self.send_chunks(tcp, &body[PIECE..], PIECE, over),
            Shape::TinyChunks => self.send_chunks(tcp, &body[1..], 1, over),
        }
    }

    fn send_chunks(
        &self,
        tcp: &mut net::TcpStream,
        body: &[u8],
        size: usize,
        over: &AtomicBool,
    ) -> io::Result<()> {
        let mut text = format!("{}transfer-encoding: chunked\r\n\r\n", self.head).into_bytes();
        let mut chunk = format!("{size:x}\r\n").into_bytes();
        chunk.extend_from_slice(&body[..size]);
        chunk.extend_from_slice(b"\r\n");
        text.extend_from_slice(&chunk.repeat(body.len() / size));
        // The last chunk is not sent whole.
        text.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        text.extend_from_slice(&body[..size - 1]);
        let mut parts = text.chunks(PIECE);
        parts
            .by_ref()
            .take_while(|_| !over.load(Ordering::Relaxed))
            .try_for_each(|part| tcp.write_all(part))
    }
}

/// Returns the largest resident memory of a process so far, in KiB.
pub fn peak_memory_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let value = line.and_then(|l| l.trim().strip_suffix(" kB"));
    value
        .and_then(|v| v.parse().ok())
        .expect("a running process")
}

/// Returns the number of open descriptors of a process.
pub fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
