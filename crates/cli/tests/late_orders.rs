//! Tests of nodes as real processes with workers that leave orders without an answer and carry them
//! out later.

mod cluster;
mod common;

use std::{thread, time::Duration};

use cluster::{Cluster, TIMEOUT};
use common::wait_until;
use platform_standin::worker::LostStart;
use serde_json::json;

/// Time that a run takes, long enough to overlap with another one of its subtask.
const RUN_MS: u64 = 3_000;

/// Guards against a subtask that runs on two workers, because a refusal to the second try of a start
/// was taken for the outcome of the first try, whose connection had closed.
#[test]
fn a_refusal_to_a_repeated_start_does_not_free_the_subtask() {
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": RUN_MS});
    for (id, delay) in [(1, Duration::ZERO), (2, Duration::from_millis(800))] {
        let cluster = Cluster::start(&format!("node-late-start-{id}"), 1, 2, RUN_MS);
        for worker in &cluster.workers {
            let refusing = Duration::from_millis(400);
            worker.lose_start(LostStart { delay, refusing });
        }
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
        cluster.wait_for_state(0, id, "completed");
        thread::sleep(delay);
        cluster.check_runs();
    }
}

/// Guards against a leader that does nothing but ask a worker for reports while a run that it does not
/// know is being stopped there.
#[test]
fn an_unexpected_run_is_not_polled_for() {
    let cluster = Cluster::start("node-unexpected-run", 1, 1, 1_500);
    let worker = &cluster.workers[0];
    worker.set_stop_time(Duration::from_secs(1));
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1_500});
    assert_eq!(
        cluster.submit_step(0, 1, "work", &step).unwrap().status,
        200
    );
    wait_until("the subtask runs", TIMEOUT, || {
        (!worker.runs().is_empty()).then_some(())
    });
    // It goes on after the run that the leader knows.
    thread::sleep(Duration::from_millis(1_200));
    worker.start_unexpected("00000000000000ff.0.0.0");
    cluster.wait_for_state(0, 1, "completed");
    let before = worker.renewals();
    wait_until("the run is stopped", TIMEOUT, || {
        worker
            .runs()
            .iter()
            .all(|r| r.ended.is_some())
            .then_some(())
    });
    let renewals = worker.renewals() - before;
    assert!(renewals <= 10, "{renewals} renewals");
}
