//! Connections of callers to a node.

mod cluster;
mod common;

use std::{thread, time};

use cluster::{API_KEY, Cluster, proxy::Mode};
use common::keep_alive::{Connection, Outcome};

/// Time after which a caller uses a connection that it has opened in advance.
const LATE: time::Duration = time::Duration::from_secs(8);

/// Guards against a connection that is closed because its first request comes late.
#[test]
fn a_connection_may_wait_for_its_first_request() {
    let cluster = Cluster::start("connection-waits", 1, 1, 300);
    let mut connection = Connection::open(cluster.nodes[0].http).unwrap();
    thread::sleep(LATE);
    let outcome = connection.send("GET", "/q/00000000000000aa", API_KEY, "");
    assert_eq!(outcome, Outcome::Answered { status: 410 });
}

/// Guards against a read that is answered after its caller has left, because the store is slow.
#[test]
fn a_read_is_answered_within_the_time_of_its_caller() {
    let cluster = Cluster::start_behind_proxies("read-time", 1, 1, 300);
    let bearer = format!("Bearer {API_KEY}");
    let headers = [("authorization", &*bearer), ("x-deadline-ms", "500")];
    let addr = cluster.nodes[0].http;
    cluster.store_proxies[0].set(Mode::Slow);
    let sent = time::Instant::now();
    let path = "/q/00000000000000aa";
    let answer = common::http::send_with_host("callers.example", addr, "GET", path, &headers, "");
    assert!(sent.elapsed() < time::Duration::from_millis(500));
    assert_eq!(answer.map(|a| a.status), Some(503));
}
