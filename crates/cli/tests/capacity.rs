//! Tests of nodes as real processes: workers without an admission check that lose capacity around a
//! change of leader.

mod cluster;
mod common;

use std::{thread, time};

use cluster::{API_KEY, Cluster, config, proxy::Mode};
use platform_standin::worker::Worker;
use serde_json::{Value, json};

/// Time after which a start beyond a capacity that has shrunk counts as an overload.
const SHRINK_GRACE: time::Duration = time::Duration::from_secs(5);
/// Time for which the new leader could give wrong orders: it leads within 1.7 s.
const WATCH_TIME: time::Duration = time::Duration::from_secs(3);

/// The entry in the VM list of a worker that has shrunk.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// It names the new capacity.
    Current,
    /// It names the capacity before.
    Old,
    /// The list has none, because it expired.
    Missing,
}

fn start(test: &str, nodes: usize, workers: usize) -> Cluster {
    let cluster = Cluster::start_behind_proxies(test, nodes, workers, 300);
    cluster.store.put("op", "config", &unchecked_config(2));
    cluster
}

fn unchecked_config(version: u64) -> Value {
    let mut config = config(version, &[API_KEY]);
    config["services"][0]["admission-check"] = json!(false);
    config
}

fn submit(cluster: &Cluster, node: usize, id: u64, count: u64) -> bool {
    let step = json!({"count": count, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 300});
    let answer = cluster.submit_step(node, id, "work", &step);
    answer.is_some_and(|a| a.status == 200)
}

/// Guards against a start that was stored before the worker shrank, and that the next leader sends.
#[test]
fn a_stored_start_is_not_sent_to_a_worker_that_has_shrunk() {
    play_stored_starts(Entry::Current);
}

/// Guards against such a start on the word of an entry from before.
#[test]
fn a_stored_start_is_not_sent_on_the_word_of_an_old_entry() {
    play_stored_starts(Entry::Old);
}

/// Guards against such a start while the capacity is unknown.
#[test]
fn a_stored_start_is_not_sent_to_a_worker_without_an_entry() {
    play_stored_starts(Entry::Missing);
}

/// Guards against such a start by a leader that has not read the configuration: each worker seems to
/// check its capacity itself.
#[test]
fn a_stored_start_is_not_sent_before_the_configuration_is_read() {
    let mut cluster = lose_starts("shrink-config", Entry::Old);
    cluster.store.delete("op", "config");
    cluster.nodes[0].restart();
    thread::sleep(WATCH_TIME);
    assert_eq!(cluster.workers[0].overloads(), 0);
    cluster.store.put("op", "config", &unchecked_config(3));
    assert_nothing_overloaded(&cluster);
}

fn play_stored_starts(entry: Entry) {
    let mut cluster = lose_starts(&format!("shrink-stored-{entry:?}"), entry);
    cluster.nodes[0].restart();
    thread::sleep(WATCH_TIME);
    assert_nothing_overloaded(&cluster);
}

/// Stores a job of 8 starts that don't reach the worker, kills the leader, and lets the worker
/// shrink to the size of one start.
fn lose_starts(test: &str, entry: Entry) -> Cluster {
    let mut cluster = start(test, 1, 1);
    // The first job shows that the configuration is in force.
    assert!(submit(&cluster, 0, 1, 1));
    cluster.wait_for_state(0, 1, "completed");
    cluster.worker_proxies[0].set(Mode::DropAll);
    assert!(submit(&cluster, 0, 2, 8));
    cluster.wait_for_state(0, 2, "running");
    cluster.nodes[0].kill();
    let worker = &cluster.workers[0];
    worker.set_silent(!matches!(entry, Entry::Current));
    worker.resize(1);
    if matches!(entry, Entry::Missing) {
        cluster.store.delete("servers", "i-0-1");
    }
    thread::sleep(SHRINK_GRACE);
    cluster.worker_proxies[0].set(Mode::Forward);
    cluster
}

/// Asserts that the worker has not been overloaded, nor is once it writes its entry again.
fn assert_nothing_overloaded(cluster: &Cluster) {
    let worker = &cluster.workers[0];
    assert_eq!(worker.overloads(), 0, "{:?}", worker.runs());
    worker.set_silent(false);
    cluster.wait_for_state(0, 2, "completed");
    assert_eq!(worker.overloads(), 0);
    cluster.check_runs();
}

/// Guards against starts on the word of an entry that was old before the new leader read it.
#[test]
fn a_new_leader_does_not_overload_a_worker_that_has_shrunk() {
    let mut cluster = start("shrink-takeover", 2, 2);
    assert!(submit(&cluster, 0, 1, 1));
    cluster.wait_for_state(0, 1, "completed");
    let (leader, begin) = (cluster.leader(), time::Instant::now());
    cluster.workers[0].set_silent(true);
    cluster.workers[0].resize(1);
    let (mut accepted, mut is_led_by_other) = (Vec::new(), false);
    for id in 2_u64.. {
        if begin.elapsed() > SHRINK_GRACE + WATCH_TIME {
            break;
        }
        if begin.elapsed() > SHRINK_GRACE && !is_led_by_other {
            cluster.nodes[leader].kill();
            is_led_by_other = true;
        }
        accepted.extend(submit(&cluster, 1 - leader, id, 8).then_some(id));
        thread::sleep(time::Duration::from_millis(150));
    }
    cluster.workers[0].set_silent(false);
    for id in &accepted {
        cluster.wait_for_state(1 - leader, *id, "completed");
    }
    assert!(accepted.len() > 20, "{} jobs", accepted.len());
    let overloads: Vec<usize> = cluster.workers.iter().map(Worker::overloads).collect();
    assert_eq!(overloads, [0, 0]);
    cluster.check_runs();
}
