//! Tests of a node as a real process whose link is narrow, and of what it repeats there.

mod cluster;
mod common;

use std::{thread, time::Duration};

use cluster::{API_KEY, Cluster, TIMEOUT};
use common::wait_until;
use serde_json::json;

/// Time that a stop may take on some sites (`stop-timeout-ms`).
const STOP_TIME: Duration = Duration::from_millis(900);

fn cancel(cluster: &Cluster, id: u64) {
    let path = format!("/q/{id:016x}");
    let answer = cluster.call(0, "DELETE", &path, API_KEY, "").unwrap();
    assert_eq!(answer.status, 200);
}

/// Guards against a leader that fills its link with stops, each sent again at the next report.
#[test]
fn a_worker_does_not_get_a_stop_again_that_it_has_answered() {
    let cluster = Cluster::start("node-stops", 1, 1, 20_000);
    let worker = &cluster.workers[0];
    worker.set_stop_time(STOP_TIME);
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 20_000});
    for id in 1..=8 {
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
    }
    let open_runs = || worker.runs().iter().filter(|r| r.ended.is_none()).count();
    wait_until("all subtasks run", TIMEOUT, || {
        (open_runs() == 8).then_some(())
    });
    // The end of each run brings a report that lists those whose stops are under way.
    for id in 1..=8 {
        cancel(&cluster, id);
        thread::sleep(Duration::from_millis(110));
    }
    wait_until("all runs are stopped", TIMEOUT, || {
        (open_runs() == 0).then_some(())
    });
    let stops = worker.stops();
    let repeats: Vec<_> = stops
        .iter()
        .enumerate()
        .filter(|(i, stop)| {
            stops[..*i]
                .iter()
                .any(|s| s.task == stop.task && stop.at - s.at < STOP_TIME)
        })
        .map(|(_, stop)| stop)
        .collect();
    assert!(
        repeats.is_empty(),
        "{} of {} stops: {repeats:?}",
        repeats.len(),
        stops.len()
    );
}
