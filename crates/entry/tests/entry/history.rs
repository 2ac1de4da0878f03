//! History of concurrent runs under mixed faults of servers and table service.

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
const TRIES: usize = 4;

fn server_faults(rng: &mut fastrand::Rng) -> BackendFaults {
    let mut share = || if rng.bool() { rng.f64() * 0.3 } else { 0.0 };
    BackendFaults {
        not_run: share(),
        crossed: share(),
        truncated: share(),
        cut_before: share(),
        cut_after: share(),
        ..BackendFaults::default()
    }
}

fn table_faults(rng: &mut fastrand::Rng) -> Faults {
    let mut share = || if rng.bool() { rng.f64() * 0.5 } else { 0.0 };
    Faults {
        refused: share(),
        lost_answers: share(),
        lost_requests: share(),
        ..Faults::default()
    }
}

/// Sends one key up to some times to both entries in turn and returns what it was told.
fn history(entries: &[std::net::SocketAddr], key: &str) -> Vec<(u16, String)> {
    let mut told = Vec::new();
    for i in 0..TRIES {
        let body = json!({ "key": key }).to_string();
        let headers = [("idempotency-key", key), ("x-deadline-ms", "1000")];
        let got = setup::call(entries[i % 2], "pay", &headers, body.as_bytes());
        told.push((got.status, got.field("outcome")));
    }
    told
}

/// Guards against two runs of one key, an answer without a run, and a run after only "not run".
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
    for (told, key) in histories {
        let runs = system.runs_of(&key);
        assert!(runs <= 1, "{key} ran {runs} times: {told:?}");
        if told.iter().any(|(status, _)| *status == 200) {
            assert_eq!(runs, 1, "{key}: {told:?}");
            answered += 1;
        }
        if told.iter().all(|(_, outcome)| outcome == "not_run") {
            assert_eq!(runs, 0, "{key}: {told:?}");
        }
    }
    assert!(answered > 30, "only {answered} keys were answered");
}
