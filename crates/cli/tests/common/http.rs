//! HTTP client for tests, with a new connection for each request.

use std::{
    io::{Read, Write},
    net, time,
};

use serde_json::Value;

use super::TIMEOUT;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// Status line and headers in lower case.
    pub head: String,
    /// Body as JSON, or as a string if it is not JSON.
    pub body: Value,
}

impl Answer {
    /// Returns a field of the body as text; empty if it is missing or not text.
    pub fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or_default()
    }
}

/// Sends one request on a new connection; `None` without a complete answer.
pub fn send(
    addr: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    send_with_host(&addr.to_string(), addr, method, path, headers, body)
}

/// Sends one request with a `host` header that differs from the address.
pub fn send_with_host(
    host: &str,
    addr: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut tcp = net::TcpStream::connect_timeout(&addr, time::Duration::from_secs(2)).ok()?;
    tcp.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\nconnection: close\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n{body}", body.len());
    tcp.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    if let Err(e) = tcp.read_to_end(&mut answer) {
        let bytes = answer.len();
        eprintln!("{method} {path} to {addr}: no complete answer, {bytes} bytes read: {e}");
        return None;
    }
    let text = String::from_utf8_lossy(&answer);
    let parsed = parse(&text);
    if parsed.is_none() {
        eprintln!("{method} {path} to {addr}: incomplete or malformed answer {text:?}");
    }
    parsed
}

fn parse(text: &str) -> Option<Answer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let body = match length {
        Some(length) if body.len() != length.trim().parse::<usize>().ok()? => return None,
        Some(_) => body.to_owned(),
        None => join_chunks(body)?,
    };
    let value = serde_json::from_str(&body).unwrap_or(Value::String(body));
    Some(Answer {
        status,
        head,
        body: value,
    })
}

/// Joins the chunks of a body; `None` if the last chunk is missing.
fn join_chunks(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (length, after) = rest.split_once("\r\n")?;
        let length = usize::from_str_radix(length.trim(), 16).ok()?;
        if length == 0 {
            return Some(body);
        }
        body += after.get(..length)?;
        rest = after.get(length + 2..)?;
    }
}

/// Sends a `GET` without a token.
pub fn get(addr: net::SocketAddr, path: &str) -> Option<Answer> {
    send(addr, "GET", path, &[], "")
}
