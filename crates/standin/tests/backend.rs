//! Contract tests of the backend server interface.

mod common;

use std::{
    io::{Read, Write},
    net,
    time::Duration,
};

use base::{clock::Millis, limits};
use futures_util::future;
use ntex::{
    client::ClientResponse,
    http::{Method, StatusCode},
};
use standin::{
    backend::{self, Handle, Server},
    backend_cfg::{BackendCfg, BackendFaults, OperationTime, ServiceTime},
};

/// Returns a service time that is always `ms`.
fn fixed_time(ms: u64) -> ServiceTime {
    ServiceTime {
        min_ms: Millis(ms),
        mean_ms: Millis::ZERO,
        max_ms: Millis(ms),
    }
}

fn start(ms: u64) -> Handle {
    let cfg = BackendCfg {
        default_time: fixed_time(ms),
        ..BackendCfg::default()
    };
    backend::start(cfg).unwrap()
}

async fn run(addr: net::SocketAddr, id: &str, deadline: &str) -> Option<ClientResponse> {
    let headers = [
        ("x-request-id", id),
        ("x-organisation", "tulegenov"),
        ("x-deadline-ms", deadline),
    ];
    let url = format!("http://{addr}/run/score");
    let body = format!(r#"{{"key":"k-{id}"}}"#);
    common::send(Method::POST, url, &headers, body).await.ok()
}

fn header(answer: &ClientResponse, name: &str) -> String {
    let value = answer.headers().get(name);
    value.map_or_else(String::new, |v| v.to_str().unwrap().to_owned())
}

/// Returns the maximum number of executions that ran at the same time.
fn max_concurrent_runs(server: &Server) -> usize {
    let history = server.history();
    let running_at = |t| {
        history
            .iter()
            .filter(|e| e.started_at <= t && e.ended_at.unwrap() > t)
            .count()
    };
    history
        .iter()
        .map(|e| running_at(e.started_at))
        .max()
        .unwrap_or_default()
}

/// Guards against answers and history entries that differ from docs/platform.md.
#[ntex::test]
async fn runs_are_answered_and_recorded() {
    let handle = start(10);
    let answer = run(handle.addr(), "r1", "1000").await.unwrap();
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "x-request-id"), "r1");
    assert_eq!(header(&answer, "x-load"), "1/8");
    assert_eq!(header(&answer, "x-leaving"), "");
    let body = answer.body().await.unwrap();
    assert_eq!(
        body,
        r#"{"request_id":"r1","operation":"score","key":"k-r1"}"#
    );
    let run = handle.server(0).history().remove(0);
    let seen = (
        run.operation.as_str(),
        run.request_id.as_str(),
        run.organisation.as_str(),
    );
    assert_eq!(seen, ("score", "r1", "tulegenov"));
    assert_eq!(run.key.as_deref(), Some("k-r1"));
    assert!(run.ended_at.unwrap().since(run.started_at) >= Millis(9));
    let url = format!("http://{}/history", handle.addr());
    let answer = common::send(Method::GET, url, &[], String::new())
        .await
        .unwrap();
    let served: Vec<backend::Execution> = answer.json().await.unwrap();
    assert_eq!(served, handle.server(0).history());
}

/// What a caller receives in answer to a request.
#[derive(Debug, Eq, PartialEq)]
enum Received {
    /// A complete answer with this status.
    Complete(u16),
    /// An answer with `x-not-run: 1`.
    NotRun,
    /// An answer with the id of another request.
    OtherId,
    /// An answer that ends in the middle of the body.
    Truncated,
    /// An answer that is larger than the limit.
    Oversized,
    /// No answer.
    Nothing,
}

async fn read_answer(answer: Option<ClientResponse>, id: &str) -> Received {
    let Some(answer) = answer else {
        return Received::Nothing;
    };
    if header(&answer, "x-not-run") == "1" {
        return Received::NotRun;
    }
    if header(&answer, "x-request-id") != id {
        return Received::OtherId;
    }
    match answer.body().limit(limits::ANSWER_BYTES * 2).await {
        Err(_) => Received::Truncated,
        Ok(body) if body.len() > limits::ANSWER_BYTES => Received::Oversized,
        Ok(_) => Received::Complete(answer.status().as_u16()),
    }
}

/// Guards against faults that have another effect on the answer than configured, or that run a
/// request that they should not run.
#[ntex::test]
async fn faults_have_the_configured_effect() {
    let none = BackendFaults::default;
    let late_ms = Millis(4_000);
    #[rustfmt::skip]
    let cases = [
        ("none", none(), Received::Complete(200), 1),
        ("fails", BackendFaults { fail: 1.0, ..none() }, Received::Complete(500), 0),
        ("not run", BackendFaults { not_run: 1.0, ..none() }, Received::NotRun, 0),
        ("silent", BackendFaults { silent: true, ..none() }, Received::Nothing, 0),
        ("crossed", BackendFaults { crossed: 1.0, ..none() }, Received::OtherId, 1),
        ("late", BackendFaults { late_ms, ..none() }, Received::Nothing, 1),
        ("truncated", BackendFaults { truncated: 1.0, ..none() }, Received::Truncated, 1),
        ("oversized", BackendFaults { oversized: 1.0, ..none() }, Received::Oversized, 1),
        ("cut before", BackendFaults { cut_before: 1.0, ..none() }, Received::Nothing, 0),
        ("cut after", BackendFaults { cut_after: 1.0, ..none() }, Received::Nothing, 1),
    ];
    let handle = start(0);
    let server = handle.server(0);
    let mut runs = 0;
    for (name, faults, expected, run_count) in cases {
        server.set_faults(faults);
        let answer = run(handle.addr(), name, "1000").await;
        assert_eq!(read_answer(answer, name).await, expected, "{name}");
        runs += run_count;
        assert_eq!(server.history().len(), runs, "{name}");
    }
}

/// Guards against servers that run more requests than they have slots, or queue without limit.
#[ntex::test]
async fn slots_and_queue_are_bounded() {
    let handle = start(400);
    let ids: Vec<String> = (0..20).map(|i| format!("r{i}")).collect();
    let calls = ids.iter().map(|id| async {
        let answer = run(handle.addr(), id, "5000").await;
        read_answer(answer, id).await
    });
    let seen = future::join_all(calls).await;
    let server = handle.server(0);
    let count = |wanted: &Received| seen.iter().filter(|s| *s == wanted).count();
    let (done, not_run) = (count(&Received::Complete(200)), count(&Received::NotRun));
    assert_eq!((done, not_run), (16, 4), "{seen:?}");
    assert_eq!(server.history().len(), 16);
    assert_eq!(max_concurrent_runs(server), 8);
    let stats = server.stats();
    assert_eq!((stats.overruns, stats.not_run, stats.run), (12, 4, 16));
}

/// Guards against a request that is run although its deadline passed in the queue.
#[ntex::test]
async fn queued_requests_respect_their_deadline() {
    let cfg = BackendCfg {
        slots: 1,
        default_time: fixed_time(1_000),
        ..BackendCfg::default()
    };
    let handle = backend::start(cfg).unwrap();
    let first = run(handle.addr(), "r1", "5000");
    let second = async {
        common::wait_until("the slot is taken", || handle.server(0).stats().run == 1).await;
        let answer = run(handle.addr(), "r2", "50").await;
        read_answer(answer, "r2").await
    };
    let (_, second) = future::join(first, second).await;
    assert_eq!(second, Received::NotRun);
    assert_eq!(handle.server(0).history().len(), 1);
}

/// Guards against a server that accepts too many connections, or counts closed ones for ever.
#[ntex::test]
async fn connections_are_limited() {
    let handle = start(0);
    let open = || net::TcpStream::connect(handle.addr()).unwrap();
    let mut connections: Vec<net::TcpStream> = (0..60).map(|_| open()).collect();
    let mut refused = open();
    refused
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    assert_eq!(refused.read(&mut [0; 1]).unwrap(), 0);
    assert_eq!(handle.server(0).stats().connections_refused, 1);
    connections.pop();
    let is_answered = || {
        let mut stream = open();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        let sent = stream.write_all(b"GET /stats HTTP/1.1\r\nhost: a\r\n\r\n");
        sent.is_ok() && stream.read(&mut [0; 1]).is_ok_and(|n| n == 1)
    };
    common::wait_until("a connection is free", is_answered).await;
}

/// Guards against runs that stop when the caller disconnects, because the history would then not
/// show requests that were run twice.
#[ntex::test]
async fn runs_complete_after_the_caller_disconnects() {
    let handle = start(3_000);
    assert!(run(handle.addr(), "r1", "5000").await.is_none());
    let has_ended = || handle.server(0).history()[0].ended_at.is_some();
    common::wait_until("the run ends", has_ended).await;
}

/// Guards against servers of one process that share state, and against settings without effect.
#[ntex::test]
async fn servers_of_one_process_are_separate() {
    let cfg = BackendCfg {
        servers: 50,
        operations: vec![OperationTime {
            operation: "score".into(),
            time: fixed_time(20),
        }],
        report_load: false,
        ..BackendCfg::default()
    };
    let handle = backend::start(cfg).unwrap();
    let url = format!("http://{}/faults", handle.addrs()[7]);
    let faults = r#"{"slow_factor":10.0,"leaving":true}"#.to_owned();
    common::send(Method::PUT, url, &[], faults).await.unwrap();
    let calls = handle.addrs().iter().map(|addr| run(*addr, "r1", "1000"));
    let mut durations = Vec::new();
    for (i, answer) in future::join_all(calls).await.iter().enumerate() {
        let leaving = header(answer.as_ref().unwrap(), "x-leaving");
        assert_eq!(leaving, if i == 7 { "1" } else { "" });
        let runs = handle.server(i).history();
        assert_eq!(runs.len(), 1);
        durations.push(runs[0].ended_at.unwrap().since(runs[0].started_at));
    }
    let fastest = durations.iter().min().unwrap();
    assert!(
        durations[7] >= Millis(199) && *fastest < Millis(199),
        "{durations:?}"
    );
}
