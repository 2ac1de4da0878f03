//! HTTP client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net,
    time::Duration,
};

use serde_json::Value;

/// Status and body of an answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// Sends a request on a new connection and reads the answer.
pub fn send(
    addr: net::SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = net::TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        head += &format!("host: {addr}\r\n");
    }
    stream.write_all((head + "\r\n" + body).as_bytes())?;
    read_answer(BufReader::new(stream))
}

fn read_answer(mut reader: impl BufRead) -> io::Result<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("connection closed without an answer"))?;
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 || header.trim_end().is_empty() {
            break;
        }
        let (name, value) = header.split_once(':').unwrap_or((&header, ""));
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Answer {
        status,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}
