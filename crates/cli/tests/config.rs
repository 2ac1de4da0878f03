//! Tests that accepted configuration is in force everywhere and never reverts.

mod common;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use base::clock::Millis;
use common::{Builder, System, wait_until};
use serde_json::{Value, json};
use standin::faults::Faults;

/// Maximum time until a change is accepted, which it is once it is in force everywhere.
const MAX_ACCEPT_TIME: time::Duration = time::Duration::from_secs(3);

/// Returns a placement record, in schema version 2 for an even `i` and version 1 for an odd one.
fn placement(i: u64) -> String {
    let percent = i % 10 * 10;
    let record = match i % 2 {
        0 => json!({"schema": 2, "kind": "placement", "spec": {"fragmentation_percent": percent}}),
        _ => json!({"version": 1, "type": "policy", "packing": percent / 10}),
    };
    record.to_string()
}

/// Applies one change and returns its revision if it was accepted.
fn accepted(system: &System, entry: usize, change: u64) -> Option<u64> {
    let answer = system.apply(entry, change, &[placement(change)])?;
    (answer.status == 200).then(|| answer.body["revision"].as_u64().unwrap())
}

/// Returns the revision that an entry serves with; `None` while it refuses to serve.
fn serving_revision(system: &System, entry: usize) -> Option<u64> {
    let http = system.entries[entry].http;
    let dump = common::get(http, "/dump")?;
    let Value::Bool(true) = dump.body["ready"] else {
        return None;
    };
    dump.body["config_revision"].as_u64()
}

/// Asserts that no entry serves with a lower revision than the accepted one.
fn assert_in_force(system: &System, entries: &[usize], revision: u64) {
    for entry in entries {
        if let Some(serving) = serving_revision(system, *entry) {
            assert!(
                serving >= revision,
                "entry {entry} serves with revision {serving}, but {revision} is accepted"
            );
        }
    }
}

/// Guards against a change that is accepted before every entry has its revision, and against slow
/// acceptance.
#[test]
fn accepted_means_in_force_everywhere() {
    let system = Builder {
        entries: 3,
        ..Builder::default()
    }
    .start("in-force");
    for change in 10..30 {
        let start = time::Instant::now();
        let revision = accepted(&system, (change % 3) as usize, change).unwrap();
        let took = start.elapsed();
        println!("change {change} accepted after {took:?}");
        assert!(took < MAX_ACCEPT_TIME, "change {change} took {took:?}");
        assert_in_force(&system, &[0, 1, 2], revision);
    }
}

/// Guards against an entry that confirms its configuration with a stale read of the table. The last
/// entry can't reach the schedulers, so the table is its only source.
#[test]
fn stale_reads_do_not_confirm_the_configuration() {
    let builder = Builder {
        entries: 3,
        entry_without_schedulers: Some(2),
        ..Builder::default()
    };
    let system = builder.start("stale-reads");
    let faults = Faults {
        read_lag_ms: Millis(3_500),
        ..Faults::default()
    };
    system.platform.set_faults(faults);
    for change in 10..14 {
        let revision = accepted(&system, 0, change).unwrap();
        assert_in_force(&system, &[0, 1, 2], revision);
    }
}

/// Guards against an entry that serves with an old revision after it was frozen during a change, or
/// when it has just started.
#[test]
fn frozen_and_new_entries_never_serve_an_old_revision() {
    let mut system = Builder {
        entries: 3,
        ..Builder::default()
    }
    .start("frozen-entry");
    system.entries[1].freeze();
    let start = time::Instant::now();
    let revision = accepted(&system, 0, 20).unwrap();
    assert!(
        start.elapsed() < MAX_ACCEPT_TIME,
        "acceptance took {:?}",
        start.elapsed()
    );
    system.entries[1].thaw();
    assert_in_force(&system, &[0, 1, 2], revision);
    system.entries[2].kill();
    let revision = accepted(&system, 0, 21).unwrap();
    system.entries[2].restart();
    let restarted = || {
        assert_in_force(&system, &[2], revision);
        system.entries[2].is_ready().then_some(())
    };
    wait_until("the restarted entry is ready", common::TIMEOUT, restarted);
}

/// Guards against a lost change or a revision that decreases while several operators apply records
/// of both schema versions concurrently, the table loses answers and a scheduler is killed.
#[test]
fn racing_operators_never_revert_a_revision() {
    let mut system = Builder {
        entries: 3,
        schedulers: 3,
        ..Builder::default()
    }
    .start("racing");
    system.platform.set_faults(Faults {
        lost_answers: 0.1,
        ..Faults::default()
    });
    let stop = AtomicBool::new(false);
    let accepted_changes = Mutex::new(Vec::new());
    let served = Mutex::new(vec![Vec::new(); 3]);
    let killed = system.schedulers.swap_remove(0);
    let (system, mut killed) = (&system, killed);
    thread::scope(|scope| {
        for entry in 0..3 {
            let (stop, served) = (&stop, &served);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Some(revision) = serving_revision(system, entry) {
                        served.lock().unwrap()[entry].push(revision);
                    }
                }
            });
        }
        let operators: Vec<_> = (0..3)
            .map(|operator| {
                let accepted_changes = &accepted_changes;
                scope.spawn(move || {
                    for i in 0..12 {
                        let change = 1_000 * (operator + 1) + i;
                        // A change without a known outcome is repeated with the same id.
                        let revision =
                            wait_until("the change is accepted", 2 * common::TIMEOUT, || {
                                accepted(system, operator as usize, change)
                            });
                        accepted_changes.lock().unwrap().push((change, revision));
                    }
                })
            })
            .collect();
        thread::sleep(time::Duration::from_millis(700));
        killed.kill();
        for operator in operators {
            operator.join().unwrap();
        }
        stop.store(true, Ordering::Relaxed);
    });
    let accepted_changes = accepted_changes.into_inner().unwrap();
    let mut revisions: Vec<u64> = accepted_changes.iter().map(|(_, r)| *r).collect();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!(
        revisions.len(),
        accepted_changes.len(),
        "two changes have the same revision"
    );
    for (change, revision) in &accepted_changes {
        let row = system.platform.row(&format!("audit/{revision:012}"));
        let value = row.expect("every accepted change has its audit row").value;
        assert!(
            value.contains(&change.to_string()),
            "revision {revision}: {value}"
        );
    }
    for (entry, served) in served.into_inner().unwrap().iter().enumerate() {
        let decrease = served.windows(2).find(|w| w[1] < w[0]);
        assert!(
            decrease.is_none(),
            "the revision of entry {entry} decreased: {decrease:?}"
        );
        assert!(!served.is_empty(), "entry {entry} never served");
    }
}
