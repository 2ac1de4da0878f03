//! HTTP client for tests that keeps its connection open between requests.

use std::{
    io::{self, Read, Write},
    net, time,
};

use serde_json::Value;

use super::TIMEOUT;

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered { status: u16 },
    /// The connection ended without a whole answer, this long after the request was sent.
    Cut { after: time::Duration },
    /// The connection had ended before the request was sent.
    NotSent,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    tcp: net::TcpStream,
    /// Whether the server has asked to close it.
    closing: bool,
    /// Body of the last answer.
    body: Vec<u8>,
}

impl Connection {
    pub fn open(addr: net::SocketAddr) -> io::Result<Self> {
        let tcp = net::TcpStream::connect_timeout(&addr, time::Duration::from_secs(2))?;
        tcp.set_read_timeout(Some(TIMEOUT))?;
        tcp.set_nodelay(true)?;
        let (closing, body) = (false, Vec::new());
        Ok(Self { tcp, closing, body })
    }

    /// Sets the time after which an answer that has not arrived is given up.
    pub fn set_limit(&self, limit: time::Duration) -> io::Result<()> {
        self.tcp.set_read_timeout(Some(limit))
    }

    /// Returns the body of the last answer as JSON; null if it is not JSON.
    pub fn body(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns whether the connection takes another request.
    pub fn is_open(&self) -> bool {
        if self.closing || self.tcp.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.tcp.peek(&mut [0]);
        let is_idle = matches!(&peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        is_idle && self.tcp.set_nonblocking(false).is_ok()
    }

    /// Sends a request and reads its answer.
    pub fn send(&mut self, method: &str, path: &str, key: &str, body: &str) -> Outcome {
        if !self.is_open() {
            return Outcome::NotSent;
        }
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: callers.example\r\nauthorization: Bearer {key}\r\n\
             x-deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if self.tcp.write_all(text.as_bytes()).is_err() {
            return Outcome::NotSent;
        }
        let sent = time::Instant::now();
        self.read_status().map_or_else(
            || Outcome::Cut {
                after: sent.elapsed(),
            },
            |status| Outcome::Answered { status },
        )
    }

    /// Reads a whole answer with a `content-length`; `None` if the connection ends before.
    fn read_status(&mut self) -> Option<u16> {
        let mut buf = Vec::new();
        let head = loop {
            if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break end + 4;
            }
            self.read_some(&mut buf)?;
        };
        let text = String::from_utf8_lossy(&buf[..head]).to_ascii_lowercase();
        self.closing |= text.contains("\r\nconnection: close");
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(Some(0), |l| l.trim().parse().ok())?;
        while buf.len() < head + length {
            self.read_some(&mut buf)?;
        }
        self.body = buf.split_off(head);
        text.split(' ').nth(1)?.parse().ok()
    }

    fn read_some(&mut self, buf: &mut Vec<u8>) -> Option<()> {
        let mut part = [0; 4 << 10];
        let n = self.tcp.read(&mut part).ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&part[..n]);
        Some(())
    }
}
