//! Log output to standard output that never blocks and has a bounded volume.

use std::io::{self, Write};

use base::clock::{self, Millis};
use rustix::{fs, stdio};

/// Maximum number of lines per second, which bounds the processor time that logging takes. A leader
/// with 48 workers writes about 100 on a busy day; with 350 workers a burst exceeds the maximum for
/// some seconds, and the dropped lines are counted.
const MAX_LINES_PER_S: u32 = 600;
/// Maximum number of bytes buffered for a slow reader.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Length of the window for [`MAX_LINES_PER_S`].
const WINDOW: Millis = Millis(1_000);

/// Writes whole lines to standard output; lines that exceed a maximum are dropped and counted.
#[derive(Debug)]
pub struct LogWriter {
    buffer: Vec<u8>,
    window_start: Millis,
    lines_in_window: u32,
    dropped: u64,
}

impl LogWriter {
    /// Makes standard output non-blocking.
    pub fn new() -> Self {
        let out = stdio::stdout();
        let set = fs::fcntl_getfl(out).and_then(|f| fs::fcntl_setfl(out, f | fs::OFlags::NONBLOCK));
        if let Err(e) = set {
            eprintln!("log: standard output can't be made non-blocking: {e}");
        }
        Self {
            buffer: Vec::new(),
            window_start: clock::now(),
            lines_in_window: 0,
            dropped: 0,
        }
    }

    /// Buffers a line, or drops it if a maximum is reached.
    fn admit(&mut self, line: &[u8]) {
        let now = clock::now();
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.lines_in_window = 0;
            self.report_dropped();
        }
        if self.lines_in_window >= MAX_LINES_PER_S
            || self.buffer.len() + line.len() > MAX_BUFFERED_BYTES
        {
            self.dropped += 1;
            return;
        }
        self.lines_in_window += 1;
        self.buffer.extend_from_slice(line);
    }

    /// Writes the number of dropped lines to the log once half of the buffer is free.
    fn report_dropped(&mut self) {
        if self.dropped == 0 || self.buffer.len() > MAX_BUFFERED_BYTES / 2 {
            return;
        }
        let t = clock::wall().0;
        let line = format!(
            "{{\"t\":{t},\"level\":\"WARN\",\"msg\":\"log: lines dropped\",\"count\":{}}}\n",
            self.dropped
        );
        self.buffer.extend_from_slice(line.as_bytes());
        self.dropped = 0;
    }

    /// Writes as much of the buffer as standard output takes without blocking.
    fn drain(&mut self) {
        while !self.buffer.is_empty() {
            match rustix::io::write(stdio::stdout(), &self.buffer) {
                // The reader is slow: the rest is written with the next line.
                Ok(0) | Err(rustix::io::Errno::AGAIN) => return,
                Ok(n) => {
                    self.buffer.drain(..n);
                }
                Err(_) => {
                    // Writing failed, as when the reader has closed its end.
                    self.buffer.clear();
                    return;
                }
            }
        }
    }
}

impl Write for LogWriter {
    /// Accepts one line; it is written now or with a later line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.admit(line);
        self.drain();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
