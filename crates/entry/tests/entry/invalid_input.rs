//! Invalid input: it is refused with a 4xx status and a code, and the entry continues to serve.

use std::{
    io::Write,
    net::TcpStream,
    time::{Duration, Instant},
};

use base::limits;
use serde_json::{Value, json};

use crate::{
    control_plane::job_of,
    setup::{self, OPERATOR_TOKEN, TOKEN},
};

/// Guards against malformed requests that are run, get no answer or get an answer without a code.
#[test]
fn malformed_requests_get_a_code() {
    let system = setup::system().start();
    let auth = format!("authorization: Bearer {TOKEN}\r\n");
    let call = "POST /call/refund/pay HTTP/1.1\r\nhost: e\r\n";
    let many: Vec<String> = (0..200).map(|i| format!("x-{i}: 1\r\n")).collect();
    let many = many.concat();
    let long = "a".repeat(limits::HEADER_BYTES);
    let key = "k".repeat(limits::KEY_BYTES + 1);
    let large = limits::BODY_BYTES + 1;
    let body = "x".repeat(large);
    let empty = "content-length: 0\r\n\r\n";
    let cases = [
        ("invalid HTTP", "banana\r\n\r\n".into(), 400, "bad_request"),
        (
            "long header",
            format!("{call}{auth}x: {long}\r\n{empty}"),
            431,
            "headers_too_large",
        ),
        (
            "many headers",
            format!("{call}{auth}{many}{empty}"),
            431,
            "headers_too_large",
        ),
        (
            "long path",
            format!("GET /{long} HTTP/1.1\r\n\r\n"),
            431,
            "headers_too_large",
        ),
        (
            "no key",
            format!("{call}{auth}{empty}"),
            400,
            "key_required",
        ),
        (
            "long key",
            format!("{call}{auth}idempotency-key: {key}\r\n{empty}"),
            400,
            "bad_key",
        ),
        (
            "key with /",
            format!("{call}{auth}idempotency-key: a/b\r\n{empty}"),
            400,
            "bad_key",
        ),
        (
            "invalid deadline",
            format!("{call}{auth}idempotency-key: a\r\nx-deadline-ms: soon\r\n{empty}"),
            400,
            "bad_header",
        ),
        (
            "large content-length",
            format!("{call}{auth}idempotency-key: a\r\ncontent-length: {large}\r\n\r\n{body}"),
            413,
            "body_too_large",
        ),
        (
            "large chunked body",
            format!(
                "{call}{auth}idempotency-key: a\r\ntransfer-encoding: chunked\r\n\r\n\
                 {large:x}\r\n{body}\r\n0\r\n\r\n"
            ),
            413,
            "body_too_large",
        ),
        (
            "negative content-length",
            format!("{call}{auth}content-length: -1\r\n\r\n"),
            400,
            "bad_request",
        ),
    ];
    for (name, text, status, code) in cases {
        let got = setup::send_raw(system.addr(), text.as_bytes()).expect(name);
        assert_eq!(
            (got.status, &*got.field("code")),
            (status, code),
            "{name}: {got:?}"
        );
        assert_eq!(got.field("outcome"), "not_run", "{name}");
    }
    assert_eq!(system.runs(), 0);
    assert_eq!(system.call_repeatable().status, 200);
}

/// Guards against invalid requests that reach the scheduler or are refused with a wrong code.
#[test]
fn invalid_records_are_not_forwarded_to_the_scheduler() {
    let system = setup::system().start();
    let records: Vec<Value> = (0..=limits::APPLY_RECORDS).map(|_| json!({})).collect();
    let job = job_of("lamp-loans");
    let cases = [
        ("/jobs", TOKEN, json!({ "name": 1 }), 400, "bad_record"),
        ("/jobs", TOKEN, json!("text"), 400, "bad_record"),
        ("/jobs", TOKEN, job, 403, "forbidden"),
        ("/jobs", "nobody", json!({}), 401, "unauthorised"),
        ("/config", TOKEN, json!({ "records": [] }), 403, "forbidden"),
        (
            "/config",
            OPERATOR_TOKEN,
            json!({ "record": [] }),
            400,
            "bad_json",
        ),
        (
            "/config",
            OPERATOR_TOKEN,
            json!({ "records": records }),
            413,
            "too_many_records",
        ),
    ];
    for (path, token, body, status, code) in cases {
        let got = system.control("POST", path, token, &body);
        assert_eq!(
            (got.status, &*got.field("code")),
            (status, code),
            "{path} {got:?}"
        );
    }
    assert!(system.scheduler.requests.lock().unwrap().is_empty());
}

/// Guards against a parser that overflows its stack, which would end the process.
#[test]
fn deeply_nested_json_does_not_end_the_process() {
    // No scheduler leads here, and the default timeout of 10 s is as long as that of the client.
    let system = setup::system()
        .set("scheduler_timeout_ms", json!(500))
        .start();
    let deep = "[".repeat(500_000);
    let record = format!(r#"{{"records":["{{a:{deep}"]}}"#);
    let cases = [
        ("/jobs", TOKEN, deep.as_bytes()),
        ("/jobs", TOKEN, b"\xff\xfe".as_slice()),
        ("/config", OPERATOR_TOKEN, deep.as_bytes()),
        ("/call/refund/score", TOKEN, deep.as_bytes()),
        ("/call/refund/pay", TOKEN, deep.as_bytes()),
        ("/config", OPERATOR_TOKEN, record.as_bytes()),
    ];
    for (path, token, body) in cases {
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", &*bearer), ("idempotency-key", "k1")];
        setup::send(system.addr(), "POST", path, &headers, body);
    }
    assert_eq!(system.call_repeatable().status, 200);
}

/// Guards against callers that occupy a connection or memory by sending slowly.
#[test]
fn slow_requests_are_refused_with_a_code() {
    let system = setup::system().set("body_timeout_ms", json!(300)).start();
    let mut slow = TcpStream::connect(system.addr()).unwrap();
    slow.set_read_timeout(Some(setup::TIMEOUT)).unwrap();
    slow.write_all(b"POST /call/refund/score HTTP/1.1\r\nhost:")
        .unwrap();
    let head = format!(
        "POST /call/refund/score HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 100\r\n\r\nsome"
    );
    let got = setup::send_raw(system.addr(), head.as_bytes()).unwrap();
    assert_eq!((got.status, &*got.field("code")), (408, "too_slow"));
    let started = Instant::now();
    let got = setup::receive(&mut slow).unwrap();
    assert_eq!((got.status, &*got.field("code")), (408, "too_slow"));
    assert!(started.elapsed() < Duration::from_secs(8));
}

/// Guards against an entry that stops accepting, or uses unbounded memory, under many connections.
#[test]
fn connections_over_the_limit_get_a_code() {
    let system = setup::system().set("connections", json!(8)).start();
    let addr = system.addr();
    let open = || system.dump()["connections"].as_u64().unwrap_or(0);
    setup::eventually("old connections are closed", || open() == 1);
    let held: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(addr).unwrap()).collect();
    setup::eventually("the connections are counted", || {
        let got = system.call_repeatable();
        (got.status, &*got.field("code")) == (429, "too_many_connections")
    });
    drop(held);
    setup::eventually("calls are served again", || {
        system.call_repeatable().status == 200
    });
}

/// Guards against bodies that together use more memory than the limit.
#[test]
fn the_memory_for_request_bodies_is_limited() {
    let system = setup::system()
        .set("body_memory_bytes", json!(1 << 20))
        .start();
    let head = format!(
        "POST /call/refund/score HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {}\r\n\r\n",
        limits::BODY_BYTES
    );
    let mut first = TcpStream::connect(system.addr()).unwrap();
    first.write_all(head.as_bytes()).unwrap();
    first.write_all(&vec![b'x'; 700_000]).unwrap();
    let body_bytes = || system.dump()["body_bytes"].as_u64().unwrap();
    setup::eventually("the body is in memory", || body_bytes() == 700_000);
    let got = setup::call(system.addr(), "score", &[], &vec![b'x'; 700_000]);
    assert_eq!((got.status, &*got.field("code")), (429, "body_memory_full"));
    drop(first);
    setup::eventually("the memory is freed", || body_bytes() == 0);
    let got = setup::call(system.addr(), "score", &[], &vec![b'x'; 700_000]);
    assert_eq!(got.status, 200);
}
