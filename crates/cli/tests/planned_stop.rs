//! Planned stops of nodes whose callers keep their connections open.

mod cluster;
mod common;

use std::{thread, time};

use cluster::{API_KEY, Cluster, proxy::Mode};
use common::keep_alive::{Connection, Outcome};

/// Time within which a request on a connection that is being closed may end without an answer.
const LOSS_SLACK: time::Duration = time::Duration::from_millis(200);
/// Interval between the requests of callers, and time for which they go on after the signal:
/// longer than the grace period.
const INTERVAL: time::Duration = time::Duration::from_millis(25);
const CALL_TIME: time::Duration = time::Duration::from_millis(6_200);
/// Time after the signal at which a caller sends a request whose time exceeds the grace period.
const LATE_CALL: time::Duration = time::Duration::from_millis(2_500);
/// Status of the answer about a job that does not exist.
const NO_JOB: u16 = 410;
/// Time after the signal by which the platform's balancer has taken the node out of rotation.
const IN_ROTATION: time::Duration = time::Duration::from_secs(2);

/// Stops a node and sends it a request each [`INTERVAL`], each with `connect`. Asserts that none is cut
/// later than [`LOSS_SLACK`], that those sent while the node is in rotation are served, and that the
/// process ends within the grace period.
fn stop_under_calls(cluster: &mut Cluster, mut connect: impl FnMut() -> Option<Connection>) {
    cluster.nodes[0].terminate();
    let began = time::Instant::now();
    let mut calls = Vec::new();
    while began.elapsed() < CALL_TIME {
        let at = began.elapsed();
        if let Some(mut connection) = connect() {
            let path = format!("/q/{:016x}", calls.len() + 1);
            calls.push((
                at,
                thread::spawn(move || connection.send("GET", &path, API_KEY, "")),
            ));
        }
        thread::sleep(INTERVAL);
    }
    let has_ended = cluster.nodes[0].has_ended();
    let calls: Vec<_> = calls
        .into_iter()
        .map(|(at, call)| (at, call.join().unwrap()))
        .collect();
    let is_late = |o: &Outcome| matches!(o, Outcome::Cut { after } if *after > LOSS_SLACK);
    let cut: Vec<_> = calls.iter().filter(|(_, o)| is_late(o)).collect();
    assert!(cut.is_empty(), "{} requests were cut: {cut:?}", cut.len());
    let in_rotation = calls.iter().copied().filter(|(at, _)| *at < IN_ROTATION);
    let (served, others): (Vec<_>, Vec<_>) =
        in_rotation.partition(|(_, o)| *o == Outcome::Answered { status: NO_JOB });
    assert!(served.len() > others.len(), "not served: {others:?}");
    assert!(has_ended, "the node outlives the grace period");
    assert_eq!(cluster.nodes[0].wait(), Some(0));
}

/// Starts a node whose store needs a third of a second for an answer.
fn start(test: &str) -> Cluster {
    let cluster = Cluster::start_behind_proxies(test, 1, 1, 300);
    cluster.store_proxies[0].set(Mode::Slow);
    cluster
}

/// Guards against a planned stop that goes on to take requests on idle connections and cuts them.
#[test]
fn a_stop_answers_requests_on_open_connections() {
    let mut cluster = start("stop-idle");
    let addr = cluster.nodes[0].http;
    let count = CALL_TIME.as_millis() / INTERVAL.as_millis();
    let mut idle: Vec<_> = (0..count)
        .map(|_| Connection::open(addr).unwrap())
        .collect();
    for connection in &mut idle {
        let warm = connection.send("GET", "/other/", API_KEY, "");
        assert!(matches!(warm, Outcome::Answered { .. }), "{warm:?}");
    }
    stop_under_calls(&mut cluster, || idle.pop());
}

/// Guards against a planned stop that cuts the requests of callers that connect until the end.
#[test]
fn a_stop_answers_requests_on_new_connections() {
    let mut cluster = start("stop-new");
    let addr = cluster.nodes[0].http;
    stop_under_calls(&mut cluster, || Connection::open(addr).ok());
}

/// Guards against a planned stop that leaves a write without an answer when the store is lost during it.
#[test]
fn a_stop_answers_a_write_whose_outcome_is_unknown() {
    let mut cluster = Cluster::start_behind_proxies("stop-lost", 1, 1, 300);
    let mut connection = Connection::open(cluster.nodes[0].http).unwrap();
    let body = r#"{"spec":"work","steps":[{"count":1,"cpu":100,"mem-mb":10,"gpu":1}]}"#;
    cluster.nodes[0].terminate();
    thread::sleep(LATE_CALL);
    cluster.store_proxies[0].set(Mode::DropAll);
    let outcome = connection.send("POST", "/q/00000000000000aa", API_KEY, body);
    assert_eq!(outcome, Outcome::Answered { status: 504 });
    assert_eq!(cluster.nodes[0].wait(), Some(0));
}

/// Sends requests to a stopping node that has no processor when it closes its connections, on
/// `kept` connections that were open before and on `queued` ones that it has not accepted.
fn call_while_starved(test: &str, kept: usize, queued: usize) {
    let mut cluster = Cluster::start(test, 1, 1, 300);
    let addr = cluster.nodes[0].http;
    let open = |_| Connection::open(addr).unwrap();
    let mut connections: Vec<_> = (0..kept).map(open).collect();
    cluster.nodes[0].terminate();
    thread::sleep(LATE_CALL);
    cluster.nodes[0].freeze();
    connections.extend((0..queued).map(open));
    let calls = connections.into_iter().map(|mut connection| {
        thread::spawn(move || connection.send("GET", "/q/0000000000000001", API_KEY, ""))
    });
    let calls: Vec<_> = calls.collect();
    thread::sleep(LOSS_SLACK * 2);
    cluster.nodes[0].thaw();
    let outcomes: Vec<Outcome> = calls.into_iter().map(|c| c.join().unwrap()).collect();
    let is_cut = |o: &Outcome| !matches!(o, Outcome::Answered { .. });
    assert!(!outcomes.iter().any(is_cut), "{outcomes:?}");
    assert_eq!(cluster.nodes[0].wait(), Some(0));
}

/// Guards against a planned stop that ends without a look at what arrived while it had no processor.
#[test]
fn a_starved_stop_answers_requests_on_open_connections() {
    call_while_starved("stop-starved", 8, 0);
}

/// Guards against a planned stop that resets connections which its runtime has not seen yet.
#[test]
fn a_starved_stop_answers_requests_on_queued_connections() {
    call_while_starved("stop-queued", 0, 8);
}
