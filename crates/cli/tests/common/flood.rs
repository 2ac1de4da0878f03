//! Callers that send without end, leave their answers unread, or close and come again.

use std::{
    io::{Read, Write},
    net,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
        mpsc,
    },
    thread, time,
};

/// Time after which a caller looks whether the flood is over.
const IO_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Time for which a caller keeps the connection of one round.
const ROUND_TIME: time::Duration = time::Duration::from_millis(50);
/// Size of one write.
const WRITE_BYTES: usize = 16 << 10;

/// What each caller sends on one connection.
#[derive(Clone, Debug)]
pub struct Script {
    pub start: Vec<u8>,
    /// Sent after the start, `times` times.
    pub repeated: Vec<u8>,
    pub times: usize,
    pub then: Then,
}

/// What a caller does once it has sent its script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Then {
    /// Keeps the connection open and reads nothing.
    Stay,
    /// Reads its answers, and counts them.
    Read,
    /// Closes the connection and begins again.
    ComeAgain,
}

/// Connections of a flood, which are closed when this is dropped.
pub struct Flood {
    over: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl Flood {
    /// Starts `count` callers with one of the `scripts` each, in turn. Returns once all have sent theirs
    /// for the first time, or after `limit`; the others go on then.
    pub fn start(
        addr: net::SocketAddr,
        count: usize,
        scripts: &[Script],
        limit: time::Duration,
    ) -> Self {
        let (over, answers) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (tx, rx) = mpsc::channel::<()>();
        let callers = (0..count).map(|i| {
            let caller = Caller {
                addr,
                script: scripts[i % scripts.len()].clone(),
                over: over.clone(),
                answers: answers.clone(),
            };
            let tx = tx.clone();
            thread::spawn(move || caller.run(tx))
        });
        let callers = callers.collect();
        drop(tx);
        // Each caller drops its sender; nothing is sent.
        let _ = rx.recv_timeout(limit);
        Self {
            over,
            answers,
            callers,
        }
    }

    /// Returns how many answers the callers have read so far.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.join().unwrap();
        }
    }
}

struct Caller {
    addr: net::SocketAddr,
    script: Script,
    over: Arc<AtomicBool>,
    answers: Arc<AtomicUsize>,
}

impl Caller {
    fn run(self, tx: mpsc::Sender<()>) {
        let mut first = Some(tx);
        while !self.is_over() {
            let tcp = self.connect();
            drop(first.take());
            if self.script.then == Then::ComeAgain {
                thread::sleep(ROUND_TIME);
                continue;
            }
            while !self.is_over() {
                thread::sleep(IO_TIMEOUT);
            }
            drop(tcp);
        }
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Connects and sends the script, as far as the process takes it.
    fn connect(&self) -> Option<net::TcpStream> {
        let mut tcp =
            net::TcpStream::connect_timeout(&self.addr, time::Duration::from_secs(2)).ok()?;
        tcp.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
        tcp.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
        let reader = (self.script.then == Then::Read)
            .then(|| tcp.try_clone().ok())
            .flatten();
        thread::scope(|scope| {
            if let Some(reader) = reader {
                scope.spawn(|| self.read_answers(reader));
            }
            self.send(&mut tcp)
        })?;
        Some(tcp)
    }

    fn send(&self, tcp: &mut net::TcpStream) -> Option<()> {
        let script = &self.script;
        self.write(tcp, &script.start)?;
        let in_a_write = (WRITE_BYTES / script.repeated.len().max(1)).clamp(1, script.times.max(1));
        let part = script.repeated.repeat(in_a_write);
        for _ in 0..script.times.div_ceil(in_a_write) {
            self.write(tcp, &part)?;
        }
        Some(())
    }

    /// Writes all bytes; `None` if the flood is over or the connection has ended.
    fn write(&self, tcp: &mut net::TcpStream, mut bytes: &[u8]) -> Option<()> {
        while !bytes.is_empty() {
            if self.is_over() {
                return None;
            }
            match tcp.write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if is_timeout(&e) => {}
                Err(_) => return None,
            }
        }
        Some(())
    }

    fn read_answers(&self, mut tcp: net::TcpStream) {
        let mut buf = vec![0; WRITE_BYTES];
        while !self.is_over() {
            match tcp.read(&mut buf) {
                Ok(0) => return,
                Ok(n) => {
                    let answers = buf[..n].windows(9).filter(|w| *w == b"HTTP/1.1 ").count();
                    self.answers.fetch_add(answers, Ordering::Relaxed);
                }
                Err(e) if is_timeout(&e) => {}
                Err(_) => return,
            }
        }
    }
}

fn is_timeout(e: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(
        e.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
