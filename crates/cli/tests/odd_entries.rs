//! Tests of nodes as real processes with entries of other writers among those of the workers.

mod cluster;
mod common;

use std::{thread, time::Duration};

use cluster::Cluster;
use serde_json::json;

/// Number of nested lists, more than a recursive parser has room for.
const DEPTH: usize = 30_000;
/// Time in which a node reads the VM list several times.
const READS_TIME: Duration = Duration::from_secs(3);

/// Returns entries that name no usable worker, by what is odd about them.
fn odd_entries() -> Vec<(&'static str, String)> {
    let entry = |field: &str, value: &str| {
        let mut fields = json!({"service": "svc", "address": "127.0.0.1:9", "zone": "z",
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "born": 1,
            "sequence": 1, "capacity": {"cpu": 64_000, "mem-mb": 262_144, "gpu": 8},
            "labels": ["a", "r1"], "clock-ms": 5});
        fields[field] = json!("ODD");
        fields.to_string().replace("\"ODD\"", value)
    };
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    vec![
        ("nested", nested.clone()),
        ("nested-field", entry("machine", &nested)),
        ("nested-unknown", entry("new", &nested) + "x"),
        ("number", entry("born", "1e999")),
        ("long-number", entry("clock-ms", &"9".repeat(400))),
        ("late-clock", entry("clock-ms", &u64::MAX.to_string())),
        ("late-birth", entry("born", &u64::MAX.to_string())),
        ("long-drain", entry("remaining-ms", &u64::MAX.to_string())),
        ("port", entry("address", "\"127.0.0.1:99999\"")),
        ("no-port", entry("address", "\"127.0.0.1\"")),
        ("port-zero", entry("address", "\"127.0.0.1:0\"")),
        ("negative-port", entry("address", "\"127.0.0.1:-80\"")),
    ]
}

/// Guards against nodes that end, stop reading the VM list or place work on an entry that names no
/// usable worker.
#[test]
fn entries_of_other_writers_stop_no_work() {
    let mut cluster = Cluster::start("node-odd-entries", 2, 2, 300);
    for (name, text) in odd_entries() {
        cluster.store.put_text("servers", name, &text);
        // An id that comes first among equally empty workers.
        cluster
            .store
            .put_text("servers", &format!("a-{name}"), &text);
    }
    thread::sleep(READS_TIME);
    for id in 1..=4 {
        let count = if id % 2 == 0 { 2 } else { 1 };
        let answer = cluster.submit(0, id, count, id % 2 == 0).unwrap();
        assert_eq!(answer.status, 200);
    }
    for id in 1..=4 {
        cluster.wait_for_state(1, id, "completed");
    }
    for node in &mut cluster.nodes {
        node.assert_running();
        let log = node.log();
        let placed = log.lines().filter(|l| l.contains("batch: placed"));
        let placed: Vec<&str> = placed.filter(|l| !l.contains("@i-")).collect();
        assert!(placed.is_empty(), "{placed:?}");
        let malformed = log.matches("workers: malformed entry").count();
        assert!(malformed <= 2 * odd_entries().len(), "{malformed} lines");
    }
    let runs = cluster.check_runs();
    assert_eq!(runs.values().sum::<usize>(), 6, "{runs:?}");
}
