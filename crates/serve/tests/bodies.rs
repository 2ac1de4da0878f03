//! Bodies of single requests, without a crowd.

use std::{
    io::{Read, Write},
    net,
    rc::Rc,
    sync::mpsc,
    thread, time,
};

use base::clock::Millis;
use ntex::http::{Request, Response, StatusCode};
use serve::{Bodies, BodyError, BodySpec, Connections, Limits};

const MAX_BYTES: usize = 256 << 10;
const TIMEOUT: Millis = Millis(3_000);

async fn handle(bodies: Rc<Bodies>, mut req: Request) -> Response {
    let spec = BodySpec {
        organisation: None,
        declared: serve::declared_length(req.headers()),
        max_bytes: MAX_BYTES,
        timeout: TIMEOUT,
    };
    match bodies.read(req.take_payload(), spec).await {
        Ok(body) => Response::Ok().body(body.bytes.len().to_string()),
        Err(BodyError::TooSlow | BodyError::Full) => Response::ServiceUnavailable().finish(),
        Err(_) => Response::new(StatusCode::PAYLOAD_TOO_LARGE),
    }
}

/// Sends parts with a pause after each and returns what arrives.
fn exchange(parts: Vec<Vec<u8>>, pause: time::Duration) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    let client = thread::spawn(move || {
        let mut tcp = net::TcpStream::connect(addr).unwrap();
        for part in parts {
            if tcp.write_all(&part).is_err() {
                break;
            }
            thread::sleep(pause);
        }
        let mut answer = Vec::new();
        let _ = tcp.read_to_end(&mut answer);
        tx.send(String::from_utf8(answer).unwrap()).unwrap();
    });
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(async move {
        let bodies = Rc::new(Bodies::new(1 << 20, 2));
        let connections = Connections::new(bodies.clone());
        let closer = connections.clone();
        let handler = {
            let bodies = bodies.clone();
            move |req| handle(bodies.clone(), req)
        };
        let served = serve::listen("test", listener, Limits::default(), connections, handler);
        let closed = async {
            while !client.is_finished() {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            closer.close();
        };
        tokio::join!(served, closed).0.unwrap();
        assert_eq!((bodies.used(), bodies.under_way()), (0, 0));
    });
    rx.recv().unwrap()
}

fn declared(len: usize) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n")
        .into_bytes()
}

fn chunked() -> Vec<u8> {
    b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_vec()
}

/// Guards against a limit that a body inside of all limits meets on a slow link.
#[test]
fn a_large_body_may_take_most_of_its_time() {
    let body = vec![b'x'; MAX_BYTES - 3];
    let mut parts = vec![declared(body.len())];
    parts.extend(body.chunks(2_621).map(<[u8]>::to_vec));
    assert_eq!(parts.len(), 102);
    let answer = exchange(parts, time::Duration::from_millis(22));
    assert!(answer.ends_with("\r\n\r\n262141"), "{answer}");
}

/// Guards against a bound on chunks that a client with small ones meets.
#[test]
fn a_body_in_small_chunks_is_read() {
    let mut text = b"20\r\n01234567012345670123456701234567\r\n".repeat(MAX_BYTES / 32);
    text.extend_from_slice(b"0\r\n\r\n");
    let answer = exchange(vec![chunked(), text], time::Duration::ZERO);
    assert!(answer.ends_with("\r\n\r\n262144"), "{answer}");
}

/// Guards against a body in very many chunks, which takes more processor time than others.
#[test]
fn a_body_with_too_many_chunks_is_refused() {
    let text = b"1\r\nx\r\n".repeat(20_000);
    let answer = exchange(vec![chunked(), text], time::Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

/// Guards against a refusal that is lost because the connection is reset.
#[test]
fn a_body_over_the_limit_is_refused_with_an_answer() {
    let parts = vec![declared(2 * MAX_BYTES), vec![b'x'; 2 * MAX_BYTES]];
    let answer = exchange(parts, time::Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

/// Guards against a body that keeps its memory and its connection for good.
#[test]
fn a_body_that_stops_short_is_refused_and_its_connection_closed() {
    let parts = vec![declared(MAX_BYTES), vec![b'x'; MAX_BYTES - 1]];
    let answer = exchange(parts, time::Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(
        answer.to_ascii_lowercase().contains("connection: close"),
        "{answer}"
    );
}

/// Guards against read buffers that are too small for a legal head.
#[test]
fn a_long_head_is_read() {
    let filler = "y".repeat(12_000);
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\nx-filler: {filler}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nab"
    );
    let answer = exchange(vec![head.into_bytes()], time::Duration::ZERO);
    assert!(answer.ends_with("\r\n\r\n2"), "{answer}");
}

/// Guards against a header of a chunk that is kept until its end, whatever its length.
#[test]
fn a_chunk_header_without_end_closes_its_connection() {
    let parts = vec![chunked(), b"1;x=".to_vec(), vec![b'y'; 64 << 10]];
    let answer = exchange(parts, time::Duration::from_millis(20));
    assert_eq!(answer, "");
}

/// Guards against a limit that legal extensions of chunks meet.
#[test]
fn a_chunk_with_an_extension_is_read() {
    let mut text = format!("2;x={}\r\nab\r\n", "y".repeat(8 << 10)).into_bytes();
    text.extend_from_slice(b"0\r\n\r\n");
    let answer = exchange(vec![chunked(), text], time::Duration::ZERO);
    assert!(answer.ends_with("\r\n\r\n2"), "{answer}");
}

/// Guards against a head over the limit that is refused without an answer.
#[test]
fn a_head_over_the_limit_is_refused_with_an_answer() {
    let filler = "y".repeat((16 << 10) + 64);
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\nx-filler: {filler}");
    let answer = exchange(vec![head.into_bytes()], time::Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
}
