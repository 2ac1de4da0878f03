//! Tests of nodes as real processes: evacuation of data centres.

mod cluster;
mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use cluster::{Cluster, TIMEOUT, proxy::Mode};
use common::wait_until;
use platform_standin::worker::{Run, Worker};
use serde_json::{Value, json};

/// Bound in the settings of the nodes.
const BOUND: Duration = Duration::from_secs(5);
/// Maximum time from the request until the leader knows it, in a calm system on a busy machine.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Run time of subtasks in milliseconds.
const RUN_MS: u64 = 300;

fn settings() -> Value {
    json!({"evacuate_ms": BOUND.as_millis() as u64})
}

/// Starts nodes with an even number of workers, those with odd numbers in the data centre `b` and the others
/// in `a`.
fn start(test: &str, nodes: usize, workers: usize, run_ms: u64) -> Cluster {
    let cluster =
        Cluster::start_behind_proxies_with_settings(test, nodes, workers, run_ms, &settings());
    for (i, worker) in cluster.workers.iter().enumerate() {
        worker.set_zone(if i % 2 == 0 { "a" } else { "b" });
    }
    // The entries are written every 0.5 s and read every 0.8 s.
    thread::sleep(Duration::from_millis(2_500));
    cluster
}

/// Requests the evacuation of a data centre and returns the time of the acknowledgement.
fn evacuate(cluster: &Cluster, zone: &str) -> Instant {
    cluster
        .store
        .put("op", &format!("evacuate/{zone}"), &json!({}));
    Instant::now()
}

fn end(cluster: &Cluster, zone: &str) {
    cluster.store.delete("op", &format!("evacuate/{zone}"));
}

/// Returns the runs of the workers in `b`.
fn runs_in_b(cluster: &Cluster) -> Vec<Run> {
    let in_b = cluster.workers.iter().skip(1).step_by(2);
    in_b.flat_map(Worker::runs).collect()
}

/// Asserts that no run has started in `b` from `from` on.
fn assert_no_start_in_b(cluster: &Cluster, from: Instant) {
    let late: Vec<Run> = runs_in_b(cluster)
        .into_iter()
        .filter(|r| r.started > from)
        .collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Submits jobs of two whole workers for `time`, and returns the ids of those that were accepted.
fn submit_for(cluster: &Cluster, node: usize, ids: &mut u64, time: Duration) -> Vec<u64> {
    let until = Instant::now() + time;
    let mut accepted = Vec::new();
    while Instant::now() < until {
        *ids += 1;
        let answer = cluster.submit(node, *ids, 2, false);
        accepted.extend(answer.is_some_and(|a| a.status == 200).then_some(*ids));
        thread::sleep(Duration::from_millis(150));
    }
    accepted
}

fn wait_for_all(cluster: &Cluster, node: usize, ids: &[u64]) {
    for id in ids {
        cluster.wait_for_state(node, *id, "completed");
    }
}

/// Returns the value of a metric of a node.
fn metric(cluster: &Cluster, node: usize, name: &str) -> f64 {
    let addr = cluster.operator_addrs[node];
    let answer = common::http::send(addr, "GET", "/metrics", &[], "").unwrap();
    let text = answer.body.as_str().unwrap_or_default().to_owned();
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.map_or(0.0, |v| v.trim().parse().unwrap())
}

/// Guards against starts in an evacuated data centre by orders that were queued before the request, and
/// against a data centre that is not used again.
#[test]
fn queued_orders_are_not_sent_there() {
    let cluster = start("evacuate-queue", 1, 4, RUN_MS);
    // The first start is not answered, so that those behind it wait.
    for proxy in cluster.worker_proxies.iter().skip(1).step_by(2) {
        proxy.set(Mode::DropAll);
    }
    let step = json!({"count": 32, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 300});
    let answer = cluster.submit_step(0, 1, "work", &step);
    assert_eq!(answer.unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    let at = evacuate(&cluster, "b");
    thread::sleep(NOTICE_TIME);
    for proxy in cluster.worker_proxies.iter().skip(1).step_by(2) {
        proxy.set(Mode::Forward);
    }
    cluster.wait_for_state(0, 1, "completed");
    assert_no_start_in_b(&cluster, at + NOTICE_TIME);
    let dump = common::http::send(cluster.operator_addrs[0], "GET", "/dump", &[], "").unwrap();
    assert_eq!(dump.body["evacuated"][0]["zone"], "b", "{}", dump.body);
    assert_eq!(dump.body["leading"]["evacuated"][0]["workers"], 2);
    assert!((metric(&cluster, 0, "node_evacuated_zones") - 1.0).abs() < 0.1);
    let before = runs_in_b(&cluster).len();
    end(&cluster, "b");
    let answer = cluster.submit(0, 2, 4, true);
    assert_eq!(answer.unwrap().status, 200);
    cluster.wait_for_state(0, 2, "completed");
    assert_eq!(runs_in_b(&cluster).len(), before + 2);
    let log = cluster.nodes[0].log();
    for msg in ["evacuation: begins", "evacuation: ends"] {
        assert_eq!(log.matches(msg).count(), 1, "{msg}");
    }
    cluster.check_runs();
}

/// Guards against a new leader that has not read the request.
#[test]
fn a_new_leader_starts_nothing_there() {
    let mut cluster = start("evacuate-takeover", 2, 4, RUN_MS);
    let (leader, mut ids) = (cluster.leader(), 0);
    let mut accepted = submit_for(&cluster, 1 - leader, &mut ids, Duration::from_secs(1));
    assert!(!runs_in_b(&cluster).is_empty());
    let at = evacuate(&cluster, "b");
    cluster.nodes[leader].kill();
    accepted.extend(submit_for(&cluster, 1 - leader, &mut ids, BOUND));
    wait_for_all(&cluster, 1 - leader, &accepted);
    assert!(accepted.len() > 10, "{} jobs", accepted.len());
    assert_no_start_in_b(&cluster, at + NOTICE_TIME);
    cluster.check_runs();
}

/// Guards against a leader that goes on after a pause with what it knew before.
#[test]
fn a_leader_that_was_paused_reads_the_requests_first() {
    let cluster = start("evacuate-pause", 1, 4, 1_000);
    let mut ids = 0;
    let accepted = submit_for(&cluster, 0, &mut ids, Duration::from_secs(2));
    cluster.nodes[0].freeze();
    // The feed that is under way is answered before the request.
    thread::sleep(Duration::from_secs(1));
    let at = evacuate(&cluster, "b");
    thread::sleep(Duration::from_secs(3));
    // The lease is renewed before the requests can be read.
    cluster.store.refuse_feed("op");
    cluster.nodes[0].thaw();
    thread::sleep(Duration::from_secs(4));
    cluster.store.refuse_feed("");
    wait_for_all(&cluster, 0, &accepted);
    assert!(accepted.len() > 6, "{} jobs", accepted.len());
    assert_no_start_in_b(&cluster, at);
    cluster.check_runs();
}

/// Guards against a request that the feed does not tell, because the store has lost its history, and
/// against one that seems to go on for that reason.
#[test]
fn a_lost_history_hides_no_request() {
    let cluster = start("evacuate-history", 1, 4, RUN_MS);
    let mut ids = 0;
    cluster.store.hide_changes("/b");
    evacuate(&cluster, "b");
    cluster.store.forget_history();
    let at = Instant::now();
    let mut accepted = submit_for(&cluster, 0, &mut ids, Duration::from_secs(3));
    wait_for_all(&cluster, 0, &accepted);
    assert_no_start_in_b(&cluster, at + NOTICE_TIME);
    end(&cluster, "b");
    cluster.store.forget_history();
    accepted.extend(submit_for(&cluster, 0, &mut ids, Duration::from_secs(2)));
    wait_for_all(&cluster, 0, &accepted);
    assert!(
        runs_in_b(&cluster)
            .iter()
            .any(|r| r.started > at + NOTICE_TIME)
    );
    cluster.check_runs();
}

/// Guards against starts by a leader that can't know of a request, and against starts that wait for it
/// in a deployment without such requests.
#[test]
fn starts_wait_for_the_requests_only_if_there_may_be_some() {
    for (test, settings) in [("evacuate-stale", settings()), ("no-evacuation", json!({}))] {
        let may_be_requested = settings != json!({});
        let cluster = Cluster::start_with_settings(test, 1, 1, 4_000, &settings);
        let runs = || cluster.workers[0].runs().len();
        for id in 1..3 {
            assert_eq!(cluster.submit(0, id, 1, false).unwrap().status, 200);
        }
        wait_until("the first job runs", TIMEOUT, || {
            (runs() == 1).then_some(())
        });
        cluster.store.refuse_feed("op");
        if may_be_requested {
            thread::sleep(Duration::from_secs(6));
            assert_eq!(runs(), 1, "the second job waits");
            assert!(metric(&cluster, 0, "node_starts_held") > 0.5);
            cluster.store.refuse_feed("");
        } else {
            wait_until("the second job runs", TIMEOUT, || {
                (runs() == 2).then_some(())
            });
            cluster.store.refuse_feed("");
        }
        cluster.wait_for_state(0, 2, "completed");
    }
}
