//! Nodes beside crowds of callers; [`crowds`] says what is checked.

mod cluster;
mod common;
mod crowds;

use std::net;

use cluster::{API_KEY, Cluster, TIMEOUT};
use common::{
    flood::{Flood, Script, Then},
    wait_until,
};
use crowds::{
    BODIES, BODY_BYTES, CALLERS, CHUNKED, CONNECTIONS, ENDLESS_BYTES, ORDINARY, REQUESTERS,
    SENDING, alone, authorization, check, endless, many, once, with_body,
};
use serde_json::json;

/// Number of callers whose bodies are whole and do not fit in the memory for bodies together.
const WHOLE_BODIES: usize = 600;
/// Setting `memory_mb` of the nodes.
const MEMORY_MB: usize = 120;
/// Bound of the bytes that a process logs for one refused request.
const LOG_BYTES_OF_REQUEST: usize = 512;

/// Returns the request line and the headers of a request to a node.
fn node_head(method: &str, id: usize, key: Option<&str>) -> String {
    let key = authorization(key);
    format!("{method} /q/{id:016x} HTTP/1.1\r\nhost: callers.example\r\n{key}")
}

fn start_node(test: &str) -> Cluster {
    let settings = json!({ "connections": CONNECTIONS, "memory_mb": MEMORY_MB });
    let cluster = Cluster::start_with_settings(test, 1, 2, 300, &settings);
    let mut config = cluster::config(2, &[API_KEY]);
    config["limits"]["max-body-bytes"] = json!(BODY_BYTES);
    cluster.store.put("op", "config", &config);
    let larger = " ".repeat(30_000);
    wait_until("the larger limit is in force", TIMEOUT, || {
        let answer = cluster.call(0, "POST", "/q/x", API_KEY, &larger)?;
        (answer.status == 400).then_some(())
    });
    cluster
}

/// Hands in a job and reads it.
fn ordinary_job(addr: net::SocketAddr, when: &str) {
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 8, "estimated-ms": 500});
    let body = json!({"spec": "work", "steps": [step]}).to_string();
    for (method, body) in [("POST", body.as_str()), ("GET", "")] {
        let status = send_ordinary(addr, method, body);
        assert_eq!(status, Some(200), "{method} {when}");
    }
}

fn send_ordinary(addr: net::SocketAddr, method: &str, body: &str) -> Option<u16> {
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/q/0000000000000001";
    let answer =
        common::http::send_with_host("callers.example", addr, method, path, &headers, body);
    answer.map(|a| a.status)
}

fn check_node(test: &str, callers: usize, scripts: &[Script]) {
    let _alone = alone();
    let mut cluster = start_node(test);
    let mut proc = cluster.nodes.remove(0);
    let addr = proc.http;
    check(&mut proc, addr, callers, scripts, |when| {
        ordinary_job(addr, when);
    });
}

/// Returns a body of `BODY_BYTES` of a job with as many steps as fit.
fn job_of(step: &str) -> String {
    let steps = vec![step; (BODY_BYTES - 100) / (step.len() + 1)].join(",");
    format!(r#"{{"spec":"work","steps":[{steps}]}}"#)
}

/// Returns scripts that hand in the body as jobs of different ids.
fn submissions(body: &str, then: Then) -> Vec<Script> {
    let submission = |id| once(with_body(&node_head("POST", id, Some(API_KEY)), body), then);
    (0..BODIES).map(|i| submission(0x1000 + i)).collect()
}

/// Guards against a node that keeps the header of a chunk until its end.
#[test]
fn a_node_stands_chunk_headers_without_end() {
    for key in [Some(API_KEY), None] {
        for callers in [1, CALLERS] {
            let head = node_head("POST", 0xaa, key);
            let script = endless(format!("{head}{CHUNKED}1;x="));
            check_node("chunk-headers", callers, &[script]);
        }
    }
}

/// Guards against a node that keeps the header of a chunk behind many small ones.
#[test]
fn a_node_stands_chunk_headers_without_end_after_chunks() {
    let head = node_head("POST", 0xaa, Some(API_KEY));
    let chunks = "1\r\n \r\n".repeat(100);
    let script = endless(format!("{head}{CHUNKED}{chunks}1;x="));
    check_node("late-chunk-headers", CALLERS, &[script]);
}

/// Guards against a node that keeps the size of a chunk, which may begin with any number of zeros.
#[test]
fn a_node_stands_chunk_sizes_of_zeros() {
    let head = node_head("POST", 0xaa, Some(API_KEY));
    let script = Script {
        repeated: b"0000000000000000".to_vec(),
        ..endless(format!("{head}{CHUNKED}"))
    };
    check_node("chunk-zeros", CALLERS, &[script]);
}

/// Guards against a node that keeps request lines, headers or trailers without end.
#[test]
fn a_node_stands_lines_without_end() {
    let head = node_head("POST", 0xaa, Some(API_KEY));
    let starts = [
        "GET /".to_owned(),
        format!("{head}x: "),
        format!("{head}{CHUNKED}0\r\nx: "),
    ];
    check_node("endless-lines", CALLERS, &starts.map(endless));
}

/// Guards against a node that keeps the fields of heads without end.
#[test]
fn a_node_stands_heads_of_many_fields() {
    let script = Script {
        start: node_head("POST", 0xaa, Some(API_KEY)).into_bytes(),
        repeated: b"a:b\r\n".to_vec(),
        times: ENDLESS_BYTES / 5,
        then: Then::Stay,
    };
    check_node("many-fields", CALLERS, &[script]);
}

/// Guards against a node whose account of bodies is wrong after some that were whole had to give way.
#[test]
fn a_node_stands_whole_bodies_that_give_way() {
    let _alone = alone();
    let mut cluster = start_node("whole-bodies");
    let mut proc = cluster.nodes.remove(0);
    let addr = proc.http;
    let scripts = submissions(&job_of("{}"), Then::Stay);
    check(&mut proc, addr, WHOLE_BODIES, &scripts, |when| {
        ordinary_job(addr, when);
    });
    wait_until("no body is under way", TIMEOUT, || {
        let answer = common::get(cluster.operator_addrs[0], "/metrics")?;
        let text = answer.body.as_str()?.to_owned();
        let is_zero = |name: &str| {
            let mut lines = text.lines().filter(|l| l.starts_with(name));
            lines.any(|l| l.ends_with(" 0"))
        };
        (is_zero("node_body_bytes") && is_zero("node_open_bodies")).then_some(())
    });
}

/// Guards against a node that decodes more steps than a job may have.
#[test]
fn a_node_stands_jobs_of_empty_steps() {
    let body = job_of("{}");
    check_node("empty-steps", BODIES, &submissions(&body, Then::Stay));
    check_node("empty-steps", BODIES, &submissions(&body, Then::ComeAgain));
}

/// Guards against a node that keeps the decoded form of many jobs.
#[test]
fn a_node_stands_jobs_of_many_steps() {
    let body = job_of(r#"{"count":1}"#);
    check_node("many-steps", BODIES, &submissions(&body, Then::ComeAgain));
    // The record of a job of 150 steps is still stored.
    let steps = vec![r#"{"count":1}"#; 150].join(",");
    let body = format!(r#"{{"spec":"work","steps":[{steps}]}}"#);
    check_node("valid-steps", BODIES, &submissions(&body, Then::ComeAgain));
}

/// Guards against a node that decodes any number of dependencies.
#[test]
fn a_node_stands_jobs_of_many_dependencies() {
    let step = format!(
        r#"{{"count":1,"after":[{}0]}}"#,
        "0,".repeat(BODY_BYTES / 2 - 100)
    );
    let body = format!(r#"{{"spec":"work","steps":[{{"count":1}},{step}]}}"#);
    let body = &body[..];
    check_node("dependencies", BODIES, &submissions(body, Then::ComeAgain));
}

/// Guards against a node whose callers come again with whole bodies and with bodies that stop short.
#[test]
fn a_node_stands_callers_that_come_again() {
    let body = " ".repeat(BODY_BYTES);
    let script = |i: usize| {
        let whole = with_body(&node_head("POST", i, Some(API_KEY)), &body);
        let len = if i == 0 { whole.len() } else { whole.len() - 1 };
        once(whole[..len].to_owned(), Then::ComeAgain)
    };
    let scripts: Vec<Script> = (0..5).map(script).collect();
    check_node("again", REQUESTERS, &scripts);
}

/// Guards against a node that answers without end what nobody reads.
#[test]
fn a_node_stands_requests_whose_answers_are_not_read() {
    for key in [Some(API_KEY), None] {
        let request = format!("{}\r\n", node_head("GET", 0xaa, key));
        let script = many(request, Then::Stay);
        check_node("unread-answers", REQUESTERS, &[script]);
    }
}

/// Guards against a node that answers a caller's requests one after the other while others wait: until
/// an ordinary request is answered, each other caller gets fewer than two answers on average.
#[test]
fn a_node_serves_callers_in_turn() {
    let _alone = alone();
    for key in [Some(API_KEY), None] {
        let mut cluster = start_node("in-turn");
        let mut proc = cluster.nodes.remove(0);
        let request = format!("{}\r\n", node_head("GET", 0xaa, key));
        let script = many(request, Then::Read);
        let flood = Flood::start(proc.http, REQUESTERS, &[script], SENDING);
        wait_until("the crowd is served", TIMEOUT, || {
            (flood.answers() > 10 * REQUESTERS).then_some(())
        });
        let counts = (0..ORDINARY).map(|_| {
            let before = flood.answers();
            assert_eq!(send_ordinary(proc.http, "GET", ""), Some(410));
            flood.answers() - before
        });
        let counts: Vec<usize> = counts.collect();
        println!("answers of the crowd before an ordinary one: {counts:?}");
        let fair = |n: &usize| *n <= 2 * REQUESTERS;
        assert!(counts.iter().all(fair), "key {key:?}: {counts:?}");
        proc.assert_running();
    }
}

/// Guards against a node that logs as much as callers send.
#[test]
fn a_node_logs_little_of_refused_requests() {
    let _alone = alone();
    let mut cluster = start_node("log-bytes");
    let mut proc = cluster.nodes.remove(0);
    let before = proc.log().len();
    let path = "x".repeat(8 << 10);
    for key in [Some(API_KEY), None] {
        let key = authorization(key);
        let request = format!("GET /q/{path} HTTP/1.1\r\nhost: callers.example\r\n{key}\r\n");
        let script = Script {
            times: 10,
            ..many(request, Then::Read)
        };
        let flood = Flood::start(proc.http, CALLERS, &[script], SENDING);
        wait_until("the crowd is answered", TIMEOUT, || {
            (flood.answers() >= 10 * CALLERS).then_some(())
        });
    }
    proc.assert_running();
    let bytes = proc.log().len() - before;
    println!("{bytes} bytes for {} requests", 20 * CALLERS);
    assert!(
        bytes <= 20 * CALLERS * LOG_BYTES_OF_REQUEST,
        "{bytes} bytes"
    );
}

/// Guards against a node whose other addresses have no bounds.
#[test]
fn a_node_stands_crowds_at_its_other_addresses() {
    for (i, path) in ["/dump", "/metrics", "/-/readiness"].iter().enumerate() {
        let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\n");
        let scripts = [
            many(format!("{head}\r\n"), Then::Stay),
            endless(format!("{head}{CHUNKED}1;x=")),
        ];
        for script in scripts {
            let _alone = alone();
            let mut cluster = start_node("other-addresses");
            let mut proc = cluster.nodes.remove(0);
            let addr = [cluster.operator_addrs[0], cluster.ready_addrs[0]][i / 2];
            let ordinary = proc.http;
            check(&mut proc, addr, CALLERS, &[script], |when| {
                ordinary_job(ordinary, when);
            });
        }
    }
}

/// Guards against connections that callers keep from others by requests without an end.
#[test]
fn a_node_stands_more_callers_than_connections() {
    let request = format!("{}\r\n", node_head("GET", 0xaa, Some(API_KEY)));
    let callers = CONNECTIONS + 100;
    check_node("full", callers, &[many(request, Then::Stay)]);
}

/// Guards against a node that keeps large incomplete heads and headers of chunks of many callers.
#[test]
fn a_node_stands_long_heads_that_stop_short() {
    let head = node_head("POST", 0xaa, Some(API_KEY));
    let filler = "y".repeat(15_000);
    let fields = "a:b\r\n".repeat(90);
    for request in [
        format!("{head}x: {filler}"),
        format!("{head}{fields}x: {filler}"),
        format!("{head}{CHUNKED}1;x={filler}"),
    ] {
        check_node("long-heads", WHOLE_BODIES, &[once(request, Then::Stay)]);
    }
}

/// Guards against a node that serves other protocols than HTTP/1.1 without its limits.
#[test]
fn a_node_stands_other_protocols() {
    for head in [
        "GET /q/1 HTTP/1.1\r\nhost: x\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n",
        "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET / HTTP/1.0\r\n\r\n",
    ] {
        check_node("protocols", CALLERS, &[endless(head.to_owned())]);
    }
}

/// Guards against a node that keeps bodies which it does not need, or that it has asked for.
#[test]
fn a_node_stands_bodies_that_it_drops() {
    let body = "y".repeat(BODY_BYTES);
    let get = with_body(&node_head("GET", 0xaa, Some(API_KEY)), &body);
    let head = node_head("POST", 0xaa, Some(API_KEY));
    let expecting = with_body(&format!("{head}expect: 100-continue\r\n"), &body);
    let head = node_head("GET", 0xaa, None);
    let chunks = "1\r\ny\r\n".repeat(10_000);
    let chunked = format!("{head}{CHUNKED}{chunks}");
    for request in [
        &get[..get.len() - 1],
        &expecting[..expecting.len() - 1],
        &chunked,
    ] {
        let script = once(request.to_owned(), Then::Stay);
        check_node("dropped-bodies", WHOLE_BODIES, &[script]);
    }
}

/// Guards against a leader that keeps the subtasks of all submitted jobs: each submission has less than 100
/// bytes, and is within all limits.
#[test]
fn a_node_stands_jobs_of_many_subtasks() {
    let step = r#"{"count":6000,"cpu":1000,"mem-mb":100,"gpu":8,"estimated-ms":500}"#;
    let body = format!(r#"{{"spec":"work","steps":[{step}]}}"#);
    check_node("many-subtasks", BODIES, &submissions(&body, Then::Stay));
}
