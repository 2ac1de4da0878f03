//! Tests of nodes as real processes: work whose worker crashes and comes back under its old id.

mod cluster;
mod common;

use std::{thread, time};

use cluster::{Cluster, TIMEOUT};
use common::wait_until;
use platform_standin::worker::Reborn;
use serde_json::json;

/// Time for which a crashed worker is down.
const DOWN: time::Duration = time::Duration::from_millis(600);
/// Maximum time from then until the work of the worker runs again: that of two calls and a commit.
const MAX_STAND: time::Duration = time::Duration::from_millis(900);
/// Time after which a stop without an answer is sent again.
const STOP_RETRY: time::Duration = time::Duration::from_millis(400);
/// Run time beyond that of the test.
const LONG: u64 = 30_000;

fn starts(cluster: &Cluster) -> usize {
    cluster.workers.iter().map(|w| w.runs().len()).sum()
}

/// Returns the time from now until a further run starts.
fn time_to_start(cluster: &Cluster, before: usize) -> time::Duration {
    let began = time::Instant::now();
    wait_until("a further run starts", TIMEOUT, || {
        (starts(cluster) > before).then_some(())
    });
    began.elapsed()
}

/// Guards against work that stands while the leader waits at the next life of its worker for the end of
/// a run of the former one.
#[test]
fn work_runs_again_soon_after_its_worker_is_back_under_its_old_id() {
    let cluster = Cluster::start_reborn("node-back", 1, 1, LONG, Reborn::SameId);
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 8, "estimated-ms": LONG});
    assert_eq!(
        cluster.submit_step(0, 1, "work", &step).unwrap().status,
        200
    );
    time_to_start(&cluster, 0);
    thread::sleep(time::Duration::from_secs(2));
    cluster.workers[0].crash();
    let took = time_to_start(&cluster, 1);
    eprintln!("took {took:?}");
    assert!(took <= DOWN + MAX_STAND, "{took:?}");
}

/// Guards against work that stands because its start met a worker that had just crashed.
#[test]
fn work_whose_start_meets_a_crashed_worker_runs_soon_after_that_is_back() {
    let cluster = Cluster::start_reborn("node-met", 1, 1, LONG, Reborn::SameId);
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 8, "estimated-ms": LONG});
    cluster.workers[0].crash();
    let sent = time::Instant::now();
    assert_eq!(
        cluster.submit_step(0, 1, "work", &step).unwrap().status,
        200
    );
    time_to_start(&cluster, 0);
    let took = sent.elapsed();
    eprintln!("took {took:?}");
    assert!(took <= DOWN + MAX_STAND + STOP_RETRY, "{took:?}");
}
