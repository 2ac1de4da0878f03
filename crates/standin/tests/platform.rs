//! Contract tests of the platform interfaces: the clients against the stand-in.

mod common;

use std::{net, time::Duration};

use base::clock::{self, Millis};
use ntex::{
    http::{Method, StatusCode},
    time,
};
use standin::faults::Faults;
use store::{
    client::{Settled, Table},
    http::HttpTable,
    objects::Objects,
    table::{Commit, StoreError, Txn},
    vm::{Vm, VmRole, VmState},
    vms::Vms,
};

/// Classification of the result of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    Done,
    Conflict,
    NotDone,
    Unknown,
}

fn classify(result: &Result<Commit, StoreError>) -> Class {
    match result {
        Ok(Commit::Done { .. }) => Class::Done,
        Ok(Commit::Conflict { .. }) => Class::Conflict,
        Err(StoreError::NotDone { .. } | StoreError::Rejected { .. }) => Class::NotDone,
        Err(StoreError::Unknown { .. }) => Class::Unknown,
    }
}

fn insert(key: &str, id: &str) -> Txn {
    Txn::default().check(key, 0).put(key, format!("\"{id}\""))
}

fn no_faults() -> Faults {
    Faults::default()
}

/// Guards against a client and a stand-in that use different formats.
#[ntex::test]
async fn rows_written_by_the_client_can_be_read() {
    let (_platform, table) = common::platform_with(no_faults()).await;
    let txn = Txn::default()
        .check("a/1 ü%&", 0)
        .put("a/1 ü%&", "{\"x\":1}".into());
    assert_eq!(
        table.commit(&txn).await.unwrap(),
        Commit::Done { version: 1 }
    );
    let keys = vec!["a/1 ü%&".into()];
    assert_eq!(table.commit(&txn).await.unwrap(), Commit::Conflict { keys });
    let row = table.get("a/1 ü%&").await.unwrap().unwrap();
    assert_eq!((row.version, row.value.as_str()), (1, "{\"x\":1}"));
    assert_eq!(table.scan("a/", "", 10).await.unwrap(), [row]);
    assert_eq!(table.get("b").await.unwrap(), None);
}

/// Guards against scans that return only the first page.
#[ntex::test]
async fn scan_all_reads_every_page() {
    let (_platform, table) = common::platform_with(no_faults()).await;
    let mut txn = Txn::default().put("b", "1".into());
    for i in 0..2_000 {
        txn = txn.put(format!("a/{i:04}"), "1".into());
    }
    table.commit(&txn).await.unwrap();
    assert_eq!(table.scan("a/", "", usize::MAX).await.unwrap().len(), 1_000);
    let rows = Table::from(table).scan_all("a/").await.unwrap();
    assert_eq!(rows.len(), 2_000);
    assert_eq!(&*rows[1_999].key, "a/1999");
}

/// Guards against a wrong classification of commits with any fault.
#[ntex::test]
async fn commits_are_classified_by_fault() {
    let slow = Faults {
        slow_ms: Millis(2_000),
        ..no_faults()
    };
    #[rustfmt::skip]
    let cases = [
        ("none", no_faults(), Class::Done, true),
        ("outage", Faults { outage: true, ..no_faults() }, Class::NotDone, false),
        ("refused", Faults { refused: 1.0, ..no_faults() }, Class::NotDone, false),
        ("silent", Faults { silent: true, ..no_faults() }, Class::Unknown, false),
        ("slow", slow, Class::Unknown, true),
        ("lost answer", Faults { lost_answers: 1.0, ..no_faults() }, Class::Unknown, true),
        ("lost request", Faults { lost_requests: 1.0, ..no_faults() }, Class::Unknown, false),
        ("cut answer", Faults { cut_answers: 1.0, ..no_faults() }, Class::Unknown, true),
    ];
    for (name, faults, expected, applied) in cases {
        let (platform, table) = common::platform_with(faults).await;
        let result = table.commit(&insert("a", "w1")).await;
        assert_eq!(classify(&result), expected, "{name}: {result:?}");
        if applied {
            common::wait_until(name, || platform.row("a").is_some()).await;
        }
        assert_eq!(platform.row("a").is_some(), applied, "{name}");
    }
}

/// Guards against a wrong classification of invalid transactions.
#[ntex::test]
async fn invalid_transactions_are_not_done() {
    let (platform, table) = common::platform_with(no_faults()).await;
    let long = "k".repeat(513);
    let cases = [
        ("invalid JSON", Txn::default().put("a", "{".into())),
        ("empty key", Txn::default().put("", "1".into())),
        ("long key", Txn::default().put(long.as_str(), "1".into())),
        (
            "large",
            Txn::default().put("a", format!("\"{}\"", "x".repeat(4 << 20))),
        ),
    ];
    for (name, txn) in cases {
        let result = table.commit(&txn).await;
        assert_eq!(classify(&result), Class::NotDone, "{name}: {result:?}");
    }
    assert_eq!(platform.rows(""), []);
}

/// Guards against commits that are classified as unknown although their connection was never
/// opened, or as not done although their connection closed after the request was sent.
#[ntex::test]
async fn connection_failures_are_classified() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let url = format!("http://{addr}");
    let table = HttpTable::new(&url, common::short_timeout()).await.unwrap();
    let result = table.commit(&insert("a", "w1")).await;
    assert_eq!(classify(&result), Class::NotDone, "{result:?}");

    let (mut platform, table) = common::platform_with(no_faults()).await;
    table.commit(&insert("a", "w1")).await.unwrap();
    platform.stop();
    let result = table.commit(&insert("b", "w2")).await;
    assert!(result.is_err(), "{result:?}");
}

/// Guards against commits that are classified as unknown although opening their connection timed
/// out.
#[ntex::test]
async fn connections_that_hang_while_opening_are_not_done() {
    // The listener accepts no connections, so that those beyond its backlog never open.
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = ntex::server::create_tcp_listener(any, 1).unwrap();
    let addr = listener.local_addr().unwrap();
    let connect = |_| net::TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
    let _backlog: Vec<_> = (0..64).map_while(connect).collect();
    let mut cfg = common::short_timeout();
    cfg.connect_ms = Millis(300);
    let table = HttpTable::new(&format!("http://{addr}"), cfg)
        .await
        .unwrap();
    let (table, txn) = (&table, &insert("a", "w1"));
    let calls = (0..16).map(|i| async move {
        // Later calls wait for the first connection before they open their own.
        time::sleep(time::Millis(20 * i)).await;
        table.commit(txn).await
    });
    for result in futures_util::future::join_all(calls).await {
        assert_eq!(classify(&result), Class::NotDone, "{result:?}");
    }
}

/// Guards against calls that wait for a free connection without limit, or are classified as unknown
/// when the wait times out.
#[ntex::test]
async fn a_call_without_a_connection_is_not_done() {
    let (platform, _) = common::platform_with(Faults {
        silent: true,
        ..no_faults()
    })
    .await;
    let mut cfg = common::short_timeout();
    cfg.connections = 1;
    cfg.queue_ms = Millis(50);
    let table = HttpTable::new(&platform.url(), cfg).await.unwrap();
    let (a, b) = (insert("a", "w1"), insert("b", "w2"));
    let (first, second) = futures_util::join!(table.commit(&a), table.commit(&b));
    assert_eq!(classify(&first), Class::Unknown, "{first:?}");
    assert_eq!(classify(&second), Class::NotDone, "{second:?}");
}

/// Guards against `NotDone` for a write that is in the table, and `Done` for one that is not.
#[ntex::test]
async fn results_of_commits_agree_with_the_table() {
    let faults = Faults {
        refused: 0.2,
        lost_answers: 0.2,
        lost_requests: 0.1,
        cut_answers: 0.2,
        ..no_faults()
    };
    let (platform, table) = common::platform_with(faults.clone()).await;
    let keys: Vec<String> = (0..600).map(|i| format!("w/{i:03}")).collect();
    let mut results = Vec::new();
    for (round, batch) in keys.chunks(20).enumerate() {
        platform.set_faults(Faults {
            outage: round % 7 == 3,
            slow_ms: Millis(if round % 10 == 9 { 1_500 } else { 0 }),
            ..faults.clone()
        });
        let calls = batch.iter().map(|key| {
            let table = table.clone();
            async move { table.commit(&insert(key, key)).await }
        });
        results.extend(futures_util::future::join_all(calls).await);
    }
    platform.set_faults(no_faults());
    let table = Table::from(table);
    let mut counts = [0; 4];
    for (key, result) in keys.iter().zip(&results) {
        counts[classify(result) as usize] += 1;
        let row = platform.row(key);
        match classify(result) {
            Class::Done => assert!(row.is_some(), "{key} is lost"),
            Class::NotDone => assert!(row.is_none(), "{key} is applied: {result:?}"),
            Class::Conflict => panic!("{key} was written only once"),
            Class::Unknown => {
                let is_own = |value: &str| value == format!("\"{key}\"");
                let settled = table.settle(&insert(key, key), key, is_own).await;
                assert!(matches!(settled, Ok(Settled::Applied { .. })), "{key}");
                assert!(platform.row(key).is_some(), "{key} is lost");
            }
        }
    }
    assert!(
        counts[0] > 50 && counts[2] > 50 && counts[3] > 50,
        "{counts:?}"
    );
}

/// Guards against a settled commit that is applied twice, or is reported as applied although
/// another writer's commit was applied. Stale reads are included.
#[ntex::test]
async fn unknown_commits_are_settled() {
    let lost_answer = Faults {
        lost_answers: 1.0,
        ..no_faults()
    };
    let lost_request = Faults {
        lost_requests: 1.0,
        ..no_faults()
    };
    let lag = |ms| Faults {
        read_lag_ms: Millis(ms),
        ..no_faults()
    };
    let applied = Settled::Applied { version: 1 };
    #[rustfmt::skip]
    let cases = [
        ("answer lost", lost_answer.clone(), no_faults(), None, Ok(applied.clone())),
        ("request lost", lost_request.clone(), no_faults(), None, Ok(applied.clone())),
        ("answer lost, stale reads", lost_answer.clone(), lag(300), None, Ok(applied)),
        ("superseded", lost_request.clone(), no_faults(), Some("w2"), Ok(Settled::Superseded)),
        ("superseded, stale reads", lost_request, lag(300), Some("w2"), Ok(Settled::Superseded)),
        ("reads too stale", lost_answer.clone(), lag(60_000), None, Err(())),
        ("outage", lost_answer, Faults { outage: true, ..no_faults() }, None, Err(())),
    ];
    for (name, mut faults_during, faults_after, other_writer, expected) in cases {
        faults_during.read_lag_ms = faults_after.read_lag_ms;
        let (platform, table) = common::platform_with(faults_during).await;
        let txn = insert("a", "w1");
        assert_eq!(
            classify(&table.commit(&txn).await),
            Class::Unknown,
            "{name}"
        );
        let other_write = other_writer.map(|id| insert("a", id));
        platform.set_faults(faults_after);
        if let Some(write) = other_write {
            assert_eq!(classify(&table.commit(&write).await), Class::Done, "{name}");
        }
        let table = Table::from(table);
        for _ in 0..2 {
            let settled = table.settle(&txn, "a", |v| v == "\"w1\"").await;
            if let Err(e) = &settled {
                assert!(matches!(e, StoreError::Unknown { .. }), "{name}: {e}");
            }
            assert_eq!(settled.map_err(|_| ()), expected, "{name}");
        }
        assert_eq!(
            platform.stats().applied,
            1 + check_only_commits(&expected),
            "{name}"
        );
    }
}

/// Guards against a delayed copy of a settled commit that is applied a second time.
#[ntex::test]
async fn a_delayed_copy_of_a_settled_commit_conflicts() {
    let (platform, table) = common::platform_with(Faults {
        slow_ms: Millis(2_000),
        ..no_faults()
    })
    .await;
    let txn = insert("a", "w1");
    assert_eq!(classify(&table.commit(&txn).await), Class::Unknown);
    platform.set_faults(no_faults());
    let table = Table::from(table);
    let settled = table.settle(&txn, "a", |v| v == "\"w1\"").await;
    assert_eq!(settled, Ok(Settled::Applied { version: 1 }));
    common::wait_until("the delayed copy arrives", || platform.stats().commits == 2).await;
    let stats = platform.stats();
    assert_eq!((stats.applied, stats.conflicts), (1, 1));
}

/// Returns the number of check-only transactions with which two calls of `settle` confirm that
/// another write was applied.
fn check_only_commits(settled: &Result<Settled, ()>) -> u64 {
    match settled {
        Ok(Settled::Superseded) => 2,
        _ => 0,
    }
}

/// Guards against reads whose age differs from the configured lag.
#[ntex::test]
async fn reads_have_the_configured_lag() {
    let (platform, table) = common::platform_with(no_faults()).await;
    table.commit(&insert("a", "w1")).await.unwrap();
    platform.set_faults(Faults {
        read_lag_ms: Millis(300),
        ..no_faults()
    });
    let written_at = clock::now();
    let second = Txn::default().check("a", 1).put("a", "2".into());
    table.commit(&second).await.unwrap();
    let stale = table.get("a").await.unwrap().unwrap();
    if clock::now().since(written_at) < Millis(300) {
        assert_eq!(stale.version, 1);
    }
    while table.get("a").await.unwrap().unwrap().version == 1 {
        assert!(clock::now().since(written_at) < Millis::from_secs(10));
    }
    assert!(clock::now().since(written_at) >= Millis(300));
}

/// Guards against a wrong classification of object calls with any fault.
#[ntex::test]
async fn object_calls_are_classified_by_fault() {
    let (platform, _) = common::platform_with(no_faults()).await;
    let objects = Objects::new(&platform.url(), common::short_timeout())
        .await
        .unwrap();
    let bytes: Vec<u8> = (0..3_000_000_u32).map(|i| i as u8).collect();
    objects.put("dump/a b", bytes.clone()).await.unwrap();
    assert_eq!(objects.get("dump/a b").await.unwrap(), Some(bytes));
    objects.delete("dump/a b").await.unwrap();
    objects.delete("dump/a b").await.unwrap();
    assert_eq!(objects.get("dump/a b").await.unwrap(), None);
    #[rustfmt::skip]
    let cases = [
        (Faults { outage: true, ..no_faults() }, false, false),
        (Faults { silent: true, ..no_faults() }, true, false),
        (Faults { lost_answers: 1.0, ..no_faults() }, true, true),
        (Faults { lost_requests: 1.0, ..no_faults() }, true, false),
        (Faults { cut_answers: 1.0, ..no_faults() }, true, true),
    ];
    for (i, (faults, unknown, applied)) in cases.into_iter().enumerate() {
        let name = format!("case-{i}");
        platform.set_faults(faults.clone());
        let result = objects.put(&name, vec![1, 2]).await;
        let is_unknown = matches!(result, Err(StoreError::Unknown { .. }));
        assert!(
            result.is_err() && is_unknown == unknown,
            "{faults:?}: {result:?}"
        );
        platform.set_faults(no_faults());
        let found = objects.get(&name).await.unwrap().is_some();
        assert_eq!(found, applied, "{faults:?}");
    }
}

fn vm(state: VmState) -> Vm {
    Vm {
        name: "vm-1".parse().unwrap(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "dc-1".parse().unwrap(),
        role: VmRole::Backend {
            service: "refund".parse().unwrap(),
        },
        state,
    }
}

/// Guards against a VM list that is newer than the configured lag or is served during an outage.
#[ntex::test]
async fn the_vm_list_lags_and_fails_as_configured() {
    let (platform, _) = common::platform_with(no_faults()).await;
    let vms = Vms::new(&platform.url(), common::short_timeout())
        .await
        .unwrap();
    assert_eq!(vms.list().await.unwrap(), []);
    platform.set_vms(vec![vm(VmState::Live)]);
    assert_eq!(vms.list().await.unwrap(), [vm(VmState::Live)]);
    platform.set_faults(Faults {
        vm_lag_ms: Millis(300),
        outage: true,
        ..no_faults()
    });
    let changed_at = clock::now();
    platform.set_vms(vec![vm(VmState::Leaving)]);
    let list = vms.list().await.unwrap();
    if clock::now().since(changed_at) < Millis(300) {
        assert_eq!(list, [vm(VmState::Live)]);
    }
    while vms.list().await.unwrap() != [vm(VmState::Leaving)] {
        assert!(clock::now().since(changed_at) < Millis::from_secs(10));
    }
    assert!(clock::now().since(changed_at) >= Millis(300));
    platform.set_faults(Faults {
        vm_outage: true,
        ..no_faults()
    });
    let result = vms.list().await;
    assert!(
        matches!(result, Err(StoreError::NotDone { .. })),
        "{result:?}"
    );
}

/// Guards against faults that can't be changed and counters that can't be read over HTTP.
#[ntex::test]
async fn faults_and_counters_are_served_over_http() {
    let (platform, table) = common::platform_with(no_faults()).await;
    let put = |body: &str| {
        let url = format!("{}/faults", platform.url());
        common::send(Method::PUT, url, &[], body.to_owned())
    };
    let answer = put(r#"{"outage":true}"#).await.unwrap();
    assert_eq!(answer.status(), StatusCode::NO_CONTENT);
    assert_eq!(
        classify(&table.commit(&insert("a", "1")).await),
        Class::NotDone
    );
    let answer = put(r#"{"no-such-fault":true}"#).await.unwrap();
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    put("{}").await.unwrap();
    assert_eq!(
        classify(&table.commit(&insert("a", "1")).await),
        Class::Done
    );
    assert_eq!(
        classify(&table.commit(&insert("a", "1")).await),
        Class::Conflict
    );
    table.scan("", "", 9).await.unwrap();
    let url = format!("{}/stats", platform.url());
    let answer = common::send(Method::GET, url, &[], String::new())
        .await
        .unwrap();
    let stats: standin::platform::Stats = answer.json().await.unwrap();
    assert_eq!(stats, platform.stats());
    let counted = (
        stats.applied,
        stats.conflicts,
        stats.rows_written,
        stats.rows_read,
    );
    assert_eq!((counted, stats.refused), ((1, 1, 1, 1), 1));
}
