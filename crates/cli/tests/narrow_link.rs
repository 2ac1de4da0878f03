//! Tests of a node as a real process whose link is narrow, and of what it repeats there.

mod cluster;
mod common;

use std::{thread, time::Duration};

use cluster::{API_KEY, Cluster, Peer, TIMEOUT, proxy::Link};
use common::wait_until;
use serde_json::json;

/// Time that a stop may take on some sites (`stop-timeout-ms`).
const STOP_TIME: Duration = Duration::from_millis(900);
/// Number of workers that share a link.
const WORKERS: usize = 48;
/// Bandwidth of a link until it becomes narrow, in bytes a second.
const WIDE: u64 = 10 << 20;

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

/// Guards against starts that are stopped and placed again because the answers to a burst of them
/// wait in the queue of the link.
#[test]
fn a_start_whose_answer_is_late_is_neither_stopped_nor_placed_again() {
    let link = Link::new(WIDE);
    let peers = [Peer::Worker];
    let cluster = Cluster::start_on_link("node-late-answers", WORKERS, 4_000, &link, &peers);
    // A start takes 2.4 KB and its answer 0.1 KB, so that one to each worker takes 1.8 s.
    link.set_bandwidth(64 << 10);
    let text = "x".repeat(2_000);
    let answer = cluster.submit_text(0, 1, &text, WORKERS as u64, false);
    assert_eq!(answer.unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let starts: usize = cluster.workers.iter().map(|w| w.runs().len()).sum();
    let stops: usize = cluster.workers.iter().map(|w| w.stops().len()).sum();
    assert_eq!((starts, stops), (WORKERS, 0), "runs and stops");
}
