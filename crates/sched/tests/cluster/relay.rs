//! TCP relay between two processes that can delay, drop and close connections.

use std::{
    io::{Read, Write},
    net,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const PASS: u8 = 0;
const CUT: u8 = 1;
const LOSE_ANSWERS: u8 = 2;
const ENDED: u8 = 3;
const SLOW: u8 = 4;

/// A relay in front of a target; dropping it closes its connections.
pub struct Relay {
    pub addr: net::SocketAddr,
    mode: Arc<AtomicU8>,
    delay: Arc<AtomicU64>,
}

impl Relay {
    pub fn new(target: net::SocketAddr) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let mode = Arc::new(AtomicU8::new(PASS));
        let delay = Arc::new(AtomicU64::new(0));
        let (thread_mode, thread_delay) = (mode.clone(), delay.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                match thread_mode.load(Ordering::SeqCst) {
                    ENDED => return,
                    CUT => {}
                    _ => connect(stream, target, &thread_mode, &thread_delay),
                }
            }
        });
        Self { addr, mode, delay }
    }

    /// Forwards everything without delay.
    pub fn pass(&self) {
        self.mode.store(PASS, Ordering::SeqCst);
    }

    /// Delays each chunk of a request by `ms`.
    pub fn slow(&self, ms: u64) {
        self.delay.store(ms, Ordering::SeqCst);
        self.mode.store(SLOW, Ordering::SeqCst);
    }

    /// Closes all connections, also new ones.
    pub fn cut(&self) {
        self.mode.store(CUT, Ordering::SeqCst);
    }

    /// Forwards requests and closes the connection instead of forwarding the answer.
    pub fn lose_answers(&self) {
        self.mode.store(LOSE_ANSWERS, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.mode.store(ENDED, Ordering::SeqCst);
        let _ = net::TcpStream::connect(self.addr);
    }
}

fn connect(
    client: net::TcpStream,
    target: net::SocketAddr,
    mode: &Arc<AtomicU8>,
    delay: &Arc<AtomicU64>,
) {
    let Ok(server) = net::TcpStream::connect(target) else {
        return;
    };
    for (from, to, answers) in [(&client, &server, false), (&server, &client, true)] {
        let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
        let (mode, delay) = (mode.clone(), delay.clone());
        thread::spawn(move || copy(from, to, &mode, &delay, answers));
    }
}

fn copy(
    mut from: net::TcpStream,
    mut to: net::TcpStream,
    mode: &AtomicU8,
    delay: &AtomicU64,
    answers: bool,
) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buf = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buf);
        let mode = mode.load(Ordering::SeqCst);
        let stop = mode == CUT || mode == ENDED;
        if mode == SLOW && !answers && matches!(read, Ok(n) if n > 0) {
            thread::sleep(Duration::from_millis(delay.load(Ordering::SeqCst)));
        }
        match read {
            Err(e) if !stop && e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Ok(n)
                if n > 0
                    && !stop
                    && !(answers && mode == LOSE_ANSWERS)
                    && to.write_all(&buf[..n]).is_ok() =>
            {
                continue;
            }
            _ => {}
        }
        let _ = from.shutdown(net::Shutdown::Both);
        let _ = to.shutdown(net::Shutdown::Both);
        return;
    }
}
