//! Connections of callers to a node.

mod cluster;
mod common;

use std::{thread, time};

use cluster::{API_KEY, Cluster};
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
