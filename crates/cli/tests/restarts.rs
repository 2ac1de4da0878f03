//! Tests of nodes as real processes: work whose worker crashes and comes back under its old id, and nodes
//! that start again with other settings.

mod cluster;
mod common;

use std::time;

use cluster::{Cluster, TIMEOUT};
use common::wait_until;
use platform_standin::worker::Reborn;
use serde_json::json;

/// Run time beyond that of the test.
const LONG: u64 = 30_000;

/// Guards against work that stands while the leader waits at the next life of its worker for the end of
/// a run of the former one.
#[test]
fn the_first_renewal_of_the_next_life_of_a_worker_does_not_wait() {
    let cluster = Cluster::start_reborn("node-back", 1, 1, LONG, Reborn::SameId);
    let worker = &cluster.workers[0];
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 8, "estimated-ms": LONG});
    let answer = cluster.submit_step(0, 1, "work", &step).unwrap();
    assert_eq!(answer.status, 200);
    wait_until("renewals that wait for an end", TIMEOUT, || {
        (!worker.runs().is_empty() && worker.renewals() > 2).then_some(())
    });
    worker.crash();
    let wait = wait_until("a renewal in the next life", TIMEOUT, || {
        worker.tick();
        worker.first_wait().filter(|_| worker.crashes() == 1)
    });
    assert_eq!(wait, time::Duration::ZERO);
    wait_until("the work runs again", TIMEOUT, || {
        (worker.runs().len() > 1).then_some(())
    });
}

/// Guards against nodes that are stopped in order and do not start again, because a figure of the
/// deployment is a fraction by now or can't be used.
#[test]
fn nodes_start_again_with_odd_figures() {
    let mut cluster = Cluster::start("node-figures", 3, 1, 100);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    for node in &mut cluster.nodes {
        node.change_setting("grace_s", json!(6.5));
        node.change_setting("restore_ms", json!("soon"));
        node.terminate();
        assert_eq!(node.wait(), Some(0));
        node.restart();
    }
    for i in 0..3 {
        cluster.wait_for_state(i, 1, "completed");
        let log = cluster.nodes[i].log();
        assert!(log.contains("node: a setting can't be used"), "{log}");
    }
    assert_eq!(cluster.submit(0, 2, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1, 2, "completed");
}
