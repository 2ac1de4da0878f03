//! Takeovers by real nodes: what a new leader reads before it decides.

mod cluster;
mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use cluster::{API_KEY, Cluster, TIMEOUT, config};
use common::wait_until;

/// Guards against decisions by a restarted leader that has not read the configuration: it would
/// know neither the priorities of the queues nor which workers check their capacity.
#[test]
fn a_leader_without_the_configuration_starts_nothing() {
    let mut cluster = Cluster::start("takeover-config", 1, 1, 1_500);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    assert_eq!(cluster.submit(0, 2, 1, false).unwrap().status, 200);
    cluster.nodes[0].kill();
    cluster.store.delete("op", "config");
    cluster.nodes[0].restart();
    wait_until("the first job is done", TIMEOUT, || {
        let row = cluster.store.get("phases", &format!("{:016x}", 1))?;
        (row["phase"] == "completed").then_some(())
    });
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        assert_eq!(cluster.workers[0].runs().len(), 1, "nothing else starts");
        thread::sleep(Duration::from_millis(20));
    }
    cluster.store.put("op", "config", &config(2, &[API_KEY]));
    cluster.wait_for_state(0, 2, "completed");
}
