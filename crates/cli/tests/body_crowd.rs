//! Processes beside callers whose requests stop short of their end and stay open. Checked are the life
//! of the process, its memory, its descriptors, and one ordinary request; no times, and not which of
//! the incomplete requests are refused.

mod cluster;
mod common;

use std::{
    net::Ipv4Addr,
    sync::{Mutex, MutexGuard, PoisonError},
    thread, time,
};

use cluster::{API_KEY, Cluster, TIMEOUT};
use common::{
    Builder, ORGANISATION_TOKEN, Process,
    crowd::{self, Request, Shape},
    wait_until,
};
use serde_json::json;

/// Number of connections with bodies.
const BODIES: usize = 64;
/// Number of connections with chunks of one byte: fewer than 300 did not keep a node from its calls
/// to the store for long enough to refuse others.
const TINY_BODIES: usize = 300;
/// Number of connections with heads that stop short: more than a process admits in these tests.
const HEADS: usize = 200;
/// Size of a body: the limit of the configuration of these tests, and that of entries.
const BYTES: usize = 1 << 20;
/// Size of a body in chunks of one byte, each of which takes six bytes on the wire.
const TINY_BYTES: usize = 256 << 10;
/// Bound of the memory of a process: half of that of the smallest VM.
const MAX_MEMORY_KIB: u64 = 60 << 10;
/// Bound of the descriptors beside those before the crowd and the setting `connections`: 64
/// connections that get a refusal, and a few descriptors of the process's own.
const MORE_DESCRIPTORS: usize = 64 + 16;
/// Time after which the ordinary request is sent although the crowd still sends.
const SENDING: time::Duration = time::Duration::from_secs(2);
/// Time in which a process takes up what was sent before the ordinary request.
const SETTLE: time::Duration = time::Duration::from_millis(300);
const ONE: [Ipv4Addr; 1] = [Ipv4Addr::LOCALHOST];
const SEVERAL: [Ipv4Addr; 4] = [
    Ipv4Addr::new(127, 0, 0, 2),
    Ipv4Addr::new(127, 0, 0, 3),
    Ipv4Addr::new(127, 0, 0, 4),
    Ipv4Addr::new(127, 0, 0, 5),
];

/// Keeps the tests of this file from running at once.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the setting `connections` of the processes.
fn max_connections(shape: Shape) -> usize {
    match shape {
        Shape::TinyChunks => 400,
        Shape::Whole | Shape::Pieces | Shape::LargeChunks | Shape::Head => 100,
    }
}

/// Sends the crowd, then the ordinary request, and checks the process while the crowd is connected.
fn check(proc: &mut Process, sources: &[Ipv4Addr], req: &Request, ordinary: impl Fn()) {
    let pid = proc.pid();
    let before = crowd::descriptors(pid);
    let count = match req.shape {
        Shape::Head => HEADS,
        Shape::TinyChunks => TINY_BODIES,
        Shape::Whole | Shape::Pieces | Shape::LargeChunks => BODIES,
    };
    let crowd = crowd::start(proc.http, count, sources, req, SENDING);
    thread::sleep(SETTLE);
    proc.assert_running();
    let descriptors = crowd::descriptors(pid);
    ordinary();
    proc.assert_running();
    let memory = crowd::peak_memory_kib(pid);
    let shape = req.shape;
    println!("{shape:?}: {memory} KiB, {before} descriptors, then {descriptors}");
    assert!(memory <= MAX_MEMORY_KIB, "{shape:?}: {memory} KiB");
    let most = before + max_connections(shape) + MORE_DESCRIPTORS;
    assert!(
        descriptors <= most,
        "{shape:?}: {before}, then {descriptors}"
    );
    drop(crowd);
}

fn request(path: &str, host: &str, key: Option<&str>, shape: Shape) -> Request {
    let key = key.map_or_else(String::new, |k| format!("authorization: Bearer {k}\r\n"));
    Request {
        head: format!("POST {path} HTTP/1.1\r\nhost: {host}\r\n{key}"),
        bytes: if shape == Shape::TinyChunks {
            TINY_BYTES
        } else {
            BYTES
        },
        shape,
    }
}

/// Runs the crowds of one shape against nodes, each against a node of its own.
fn check_node(shape: Shape) {
    let _alone = alone();
    for key in [Some(API_KEY), None] {
        for sources in [&ONE[..], &SEVERAL] {
            let settings = json!({ "connections": max_connections(shape) });
            let mut cluster = Cluster::start_with_settings("body-crowd", 1, 2, 300, &settings);
            let mut config = cluster::config(2, &[API_KEY]);
            config["limits"]["max-body-bytes"] = json!(BYTES);
            cluster.store.put("op", "config", &config);
            let larger = " ".repeat(30_000);
            wait_until("the larger limit is in force", TIMEOUT, || {
                let answer = cluster.call(0, "POST", "/q/x", API_KEY, &larger)?;
                (answer.status == 400).then_some(())
            });
            let path = "/q/00000000000000aa";
            let req = request(path, "callers.example", key, shape);
            let mut proc = cluster.nodes.remove(0);
            let addr = proc.http;
            check(&mut proc, sources, &req, || {
                let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 8,
                    "estimated-ms": 500});
                let body = json!({"spec": "work", "steps": [step]}).to_string();
                let bearer = format!("Bearer {API_KEY}");
                let headers = [("authorization", bearer.as_str())];
                for (method, body) in [("POST", body.as_str()), ("GET", "")] {
                    let path = "/q/0000000000000001";
                    let answer = common::http::send_with_host(
                        "callers.example",
                        addr,
                        method,
                        path,
                        &headers,
                        body,
                    );
                    let status = answer.map(|a| a.status);
                    assert_eq!(status, Some(200), "{shape:?}, key {key:?}: {method}");
                }
            });
        }
    }
}

/// Runs the crowds of one shape against entries.
fn check_entry(shape: Shape) {
    let _alone = alone();
    for key in [Some(ORGANISATION_TOKEN), None] {
        for sources in [&ONE[..], &SEVERAL] {
            let builder = Builder {
                entries: 1,
                schedulers: 1,
                entry_settings: json!({"connections": max_connections(shape), "body_memory_bytes": 4 << 20}),
                ..Builder::default()
            };
            let mut system = builder.start("body-crowd-entry");
            let req = request("/call/refund/score", "x", key, shape);
            let mut proc = system.entries.remove(0);
            let addr = proc.http;
            check(&mut proc, sources, &req, || {
                let status = common::call(addr, "score", None).map(|a| a.status);
                assert_eq!(status, Some(200), "{shape:?}, key {key:?}");
            });
        }
    }
}

/// Guards against a node that keeps all of many large bodies.
#[test]
fn a_node_stands_whole_bodies() {
    check_node(Shape::Whole);
}

/// Guards against a node that keeps the pieces of many large bodies.
#[test]
fn a_node_stands_bodies_in_pieces() {
    check_node(Shape::Pieces);
}

/// Guards against a node that keeps the chunks of many large bodies of unknown length.
#[test]
fn a_node_stands_bodies_in_large_chunks() {
    check_node(Shape::LargeChunks);
}

/// Guards against a node whose processor time goes to chunks of one byte.
#[test]
fn a_node_stands_bodies_in_tiny_chunks() {
    check_node(Shape::TinyChunks);
}

/// Guards against a node whose connections are all taken by heads that stop short.
#[test]
fn a_node_stands_heads_that_stop_short() {
    check_node(Shape::Head);
}

/// Guards against an entry whose memory for bodies is taken by incomplete ones.
#[test]
fn an_entry_stands_whole_bodies() {
    check_entry(Shape::Whole);
}

/// Guards against an entry whose memory for bodies is taken by pieces.
#[test]
fn an_entry_stands_bodies_in_pieces() {
    check_entry(Shape::Pieces);
}

/// Guards against an entry whose memory for bodies is taken by large chunks.
#[test]
fn an_entry_stands_bodies_in_large_chunks() {
    check_entry(Shape::LargeChunks);
}

/// Guards against an entry whose processor time goes to chunks of one byte.
#[test]
fn an_entry_stands_bodies_in_tiny_chunks() {
    check_entry(Shape::TinyChunks);
}

/// Guards against an entry whose connections are all taken by heads that stop short.
#[test]
fn an_entry_stands_heads_that_stop_short() {
    check_entry(Shape::Head);
}
