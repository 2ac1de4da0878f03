//! HTTP server on blocking sockets, for stand-ins that have a fixed address.

use std::{
    io::{self, BufRead, BufReader, Write},
    net, thread,
};

use platform_standin::http::{Answer, Request};
use serde_json::Value;

/// Serves `handler` until the process ends.
pub fn serve(
    listener: &net::TcpListener,
    handler: &(impl Fn(&Request) -> Answer + Clone + Send + 'static),
) {
    for stream in listener.incoming().flatten() {
        let handler = handler.clone();
        thread::spawn(move || drop(serve_connection(&stream, &handler)));
    }
}

fn serve_connection(
    stream: &net::TcpStream,
    handler: &impl Fn(&Request) -> Answer,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut writer = stream;
    while let Some(req) = read_request(&mut reader)? {
        let Some((status, body)) = handler(&req) else {
            return Ok(());
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut length = 0;
    let mut expected_worker = String::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':').unwrap_or((header, ""));
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "x-expected-instance" => value.trim().clone_into(&mut expected_worker),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Ok(Some(Request {
        target: format!("{method} {path}"),
        query: query.into(),
        expected_worker,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    }))
}
