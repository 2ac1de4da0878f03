//! Tests of nodes as real processes whose workers are crashed by a subtask.

mod cluster;
mod common;

use std::{thread, time};

use cluster::Cluster;
use common::wait_until;
use platform_standin::worker::{DEADLY, Worker};
use serde_json::json;

/// Time limit for giving up a deadly subtask: three crashes, each with a start that waits for the
/// worker's lease (6.3 s).
const GIVE_UP_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Maximum number of workers that a deadly subtask may crash.
const MAX_CRASHES: u64 = 5;

fn crashes(cluster: &Cluster) -> u64 {
    cluster.workers.iter().map(Worker::crashes).sum()
}

/// Guards against a subtask that crashes worker after worker for ever, and against neighbours that
/// are given up with it.
#[test]
fn a_subtask_that_crashes_its_workers_is_given_up() {
    let cluster = Cluster::start("node-deadly", 2, 4, 1_000);
    let step = json!({"count": 8, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1_000});
    for id in 10..13 {
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
    }
    let one = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1_000});
    let answer = cluster.submit_step(0, 1, DEADLY, &one).unwrap();
    assert_eq!(answer.status, 200);
    wait_until("the deadly job fails", GIVE_UP_TIMEOUT, || {
        (cluster.state(0, 1) == "failed").then_some(())
    });
    let lost = crashes(&cluster);
    assert!((2..=MAX_CRASHES).contains(&lost), "{lost} crashes");
    for id in 10..13 {
        cluster.wait_for_state(0, id, "completed");
    }
    // It is not started again.
    thread::sleep(time::Duration::from_secs(1));
    assert_eq!(crashes(&cluster), lost);
    cluster.check_runs();
}
