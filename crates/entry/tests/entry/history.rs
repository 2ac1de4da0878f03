//! Histories of concurrent requests under mixed faults of servers and the table service.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use serde_json::json;
use standin::{backend_cfg::BackendFaults, faults::Faults};

use crate::setup;

const SEED: u64 = 20_261_204;
const CLIENTS: u64 = 6;
const KEYS: u64 = 20;
const ATTEMPTS: usize = 4;

fn server_faults(rng: &mut fastrand::Rng) -> BackendFaults {
    let mut probability = || if rng.bool() { rng.f64() * 0.3 } else { 0.0 };
    BackendFaults {
        not_run: probability(),
        crossed: probability(),
        truncated: probability(),
        cut_before: probability(),
        cut_after: probability(),
        ..BackendFaults::default()
    }
}

fn table_faults(rng: &mut fastrand::Rng) -> Faults {
    let mut probability = || if rng.bool() { rng.f64() * 0.5 } else { 0.0 };
    Faults {
        refused: probability(),
        lost_answers: probability(),
        lost_requests: probability(),
        ..Faults::default()
    }
}

/// Sends requests with one key to the entries in turn and returns the status and the outcome of
/// each answer.
fn history(entries: &[std::net::SocketAddr], key: &str) -> Vec<(u16, String)> {
    let mut answers = Vec::new();
    for i in 0..ATTEMPTS {
        let body = json!({ "key": key }).to_string();
        let headers = [("idempotency-key", key), ("x-deadline-ms", "1000")];
        let got = setup::call(entries[i % 2], "pay", &headers, body.as_bytes());
        answers.push((got.status, got.field("outcome")));
    }
    answers
}

/// Guards against two runs of one key, an answer without a run, and a run of a request that got
/// only `not_run`.
#[test]
fn every_key_runs_at_most_once_under_mixed_faults() {
    let system = setup::system().servers(3).entries(2).start();
    let entries: Vec<_> = system.entries.iter().map(entry::Handle::addr).collect();
    let done = AtomicBool::new(false);
    let histories = thread::scope(|scope| {
        scope.spawn(|| {
            let mut rng = fastrand::Rng::with_seed(SEED);
            while !done.load(Ordering::SeqCst) {
                system.platform.set_faults(table_faults(&mut rng));
                for server in system.backends.servers() {
                    server.set_faults(server_faults(&mut rng));
                }
                thread::sleep(Duration::from_millis(40));
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|c| {
                let entries = &entries;
                scope.spawn(move || {
                    let keys = (0..KEYS).map(|k| format!("c{c}-{k}"));
                    keys.map(|key| (history(entries, &key), key))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let all: Vec<_> = clients
            .into_iter()
            .flat_map(|c| c.join().unwrap())
            .collect();
        done.store(true, Ordering::SeqCst);
        all
    });
    let mut answered = 0;
    for (answers, key) in histories {
        let runs = system.runs_of(&key);
        assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
        if answers.iter().any(|(status, _)| *status == 200) {
            assert_eq!(runs, 1, "{key}: {answers:?}");
            answered += 1;
        }
        if answers.iter().all(|(_, outcome)| outcome == "not_run") {
            assert_eq!(runs, 0, "{key}: {answers:?}");
        }
    }
    assert!(answered > 30, "only {answered} keys were answered");
}
