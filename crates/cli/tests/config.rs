//! Accepted configuration is in force everywhere and never reverts.

mod common;

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use base::clock::Millis;
use common::{Builder, System, until};
use serde_json::{Value, json};
use standin::faults::Faults;

/// Bound from the start of a change to its acceptance, which means that it is in force everywhere.
const IN_FORCE: time::Duration = time::Duration::from_secs(3);

/// Returns the record of a placement in schema version 1 or 2.
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

/// Returns the revision by which an entry serves; `None` while it refuses to serve.
fn serving_revision(system: &System, entry: usize) -> Option<u64> {
    let http = system.entries[entry].http;
    let dump = common::get(http, "/dump")?;
    let Value::Bool(true) = dump.body["ready"] else {
        return None;
    };
    dump.body["config_revision"].as_u64()
}

/// Fails if an entry serves by a lower revision than the accepted one.
fn check_in_force(system: &System, entries: &[usize], revision: u64) {
    for entry in entries {
        if let Some(serving) = serving_revision(system, *entry) {
            assert!(
                serving >= revision,
                "entry {entry} serves by {serving}, accepted {revision}"
            );
        }
    }
}

/// Guards against "accepted" before every entry has the revision, and against slow acceptance.
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
        assert!(took < IN_FORCE, "change {change} took {took:?}");
        check_in_force(&system, &[0, 1, 2], revision);
    }
}

/// Guards against an entry that takes a lagging read of the table for a confirmation; the last
/// entry does not reach the schedulers and has only the table.
#[test]
fn lagging_reads_confirm_nothing() {
    let builder = Builder {
        entries: 3,
        cut_off_entry: Some(2),
        ..Builder::default()
    };
    let system = builder.start("lagging-reads");
    let faults = Faults {
        read_lag_ms: Millis(3_500),
        ..Faults::default()
    };
    system.platform.set_faults(faults);
    for change in 10..14 {
        let revision = accepted(&system, 0, change).unwrap();
        check_in_force(&system, &[0, 1, 2], revision);
    }
}

/// Guards against an old revision on an entry that was frozen during a change or has just started.
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
        start.elapsed() < IN_FORCE,
        "acceptance took {:?}",
        start.elapsed()
    );
    system.entries[1].thaw();
    check_in_force(&system, &[0, 1, 2], revision);
    system.entries[2].kill();
    let revision = accepted(&system, 0, 21).unwrap();
    system.entries[2].restart();
    let restarted = || {
        check_in_force(&system, &[2], revision);
        system.entries[2].is_ready().then_some(())
    };
    until("the new entry is ready", common::LIMIT, restarted);
}

/// Guards against a lost change or a revision that goes back while operators race one another with
/// old and new records, the table loses answers and the leading scheduler is killed.
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
    let seen = Mutex::new(vec![Vec::new(); 3]);
    let victim = system.schedulers.swap_remove(0);
    let (system, mut victim) = (&system, victim);
    thread::scope(|scope| {
        for entry in 0..3 {
            let (stop, seen) = (&stop, &seen);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    if let Some(revision) = serving_revision(system, entry) {
                        seen.lock().unwrap()[entry].push(revision);
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
                        // An unknown outcome is asked for again with the same id.
                        let revision = until("a decision", 2 * common::LIMIT, || {
                            accepted(system, operator as usize, change)
                        });
                        accepted_changes.lock().unwrap().push((change, revision));
                    }
                })
            })
            .collect();
        thread::sleep(time::Duration::from_millis(700));
        victim.kill();
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
    for (entry, seen) in seen.into_inner().unwrap().iter().enumerate() {
        let back = seen.windows(2).find(|w| w[1] < w[0]);
        assert!(back.is_none(), "entry {entry} went back: {back:?}");
        assert!(!seen.is_empty(), "entry {entry} never served");
    }
}
