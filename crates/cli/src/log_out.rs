//! Standard output as a log: it never blocks and its volume is bounded.

use std::io::{self, Write};

use base::clock::{self, Millis};
use rustix::{fs, stdio};

/// Most lines a second. The leader of 48 workers writes about 100 on a busy day; with 350 workers a
/// burst exceeds the bound for some seconds, and the dropped lines are counted. Writing takes
/// processor time.
const LINES_PER_S: u32 = 600;
/// Most bytes kept for a slow reader.
const KEPT_BYTES: usize = 256 << 10;
/// Length of the window in which lines are counted.
const WINDOW: Millis = Millis(1_000);

/// Writes whole lines to standard output; lines that exceed a bound are counted and dropped.
#[derive(Debug)]
pub struct LogOut {
    kept: Vec<u8>,
    window: Millis,
    lines: u32,
    dropped: u64,
}

impl LogOut {
    /// Makes standard output non-blocking.
    pub fn new() -> Self {
        let out = stdio::stdout();
        let set = fs::fcntl_getfl(out).and_then(|f| fs::fcntl_setfl(out, f | fs::OFlags::NONBLOCK));
        if let Err(e) = set {
            eprintln!("log: standard output may block: {e}");
        }
        Self {
            kept: Vec::new(),
            window: clock::now(),
            lines: 0,
            dropped: 0,
        }
    }

    fn admit(&mut self, line: &[u8]) {
        let now = clock::now();
        if now.since(self.window) >= WINDOW {
            self.window = now;
            self.lines = 0;
            self.report();
        }
        if self.lines >= LINES_PER_S || self.kept.len() + line.len() > KEPT_BYTES {
            self.dropped += 1;
            return;
        }
        self.lines += 1;
        self.kept.extend_from_slice(line);
    }

    /// Reports dropped lines once there is room.
    fn report(&mut self) {
        if self.dropped == 0 || self.kept.len() > KEPT_BYTES / 2 {
            return;
        }
        let t = clock::wall().0;
        let line = format!(
            "{{\"t\":{t},\"level\":\"WARN\",\"msg\":\"log: lines dropped\",\"count\":{}}}\n",
            self.dropped
        );
        self.kept.extend_from_slice(line.as_bytes());
        self.dropped = 0;
    }

    fn drain(&mut self) {
        while !self.kept.is_empty() {
            match rustix::io::write(stdio::stdout(), &self.kept) {
                // The rest is written with the next line.
                Ok(0) | Err(rustix::io::Errno::AGAIN) => return,
                Ok(n) => {
                    self.kept.drain(..n);
                }
                Err(_) => {
                    // Nobody reads any more.
                    self.kept.clear();
                    return;
                }
            }
        }
    }
}

impl Write for LogOut {
    /// Takes one line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.admit(line);
        self.drain();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
