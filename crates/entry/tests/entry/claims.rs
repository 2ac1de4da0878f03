//! At-most-once execution under repeated keys, killed entries and a failing table service.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    thread,
};

use base::clock::Millis;
use serde_json::json;
use standin::{backend_cfg::BackendFaults, faults::Faults};

use crate::setup::{self, Response, TOKEN};

fn pay_with(system: &setup::System, key: &str, body: &[u8]) -> Response {
    setup::call(system.addr(), "pay", &[("idempotency-key", key)], body)
}

/// Guards against a second run of an answered request, and against a changed answer.
#[test]
fn a_repeated_request_gets_the_stored_answer() {
    let system = setup::system().entries(2).start();
    let first = system.pay("k1");
    assert_eq!((first.status, first.header("x-replayed")), (200, None));
    let row = || system.platform.row("claim/rain-cover/k1").unwrap().value;
    setup::eventually("the answer is stored", || row().contains("completed"));
    for entry in &system.entries {
        let again = setup::pay(entry.addr(), "k1");
        assert_eq!((again.status, &again.body), (200, &first.body));
        assert_eq!(again.header("x-replayed").as_deref(), Some("1"));
    }
    assert_eq!(system.runs_of("k1"), 1);
}

/// Guards against a key that is shared by different requests or different organisations.
#[test]
fn a_key_belongs_to_one_request_of_one_organisation() {
    let system = setup::system().start();
    assert_eq!(system.pay("k1").status, 200);
    let other = pay_with(&system, "k1", br#"{"key":"k1","sum":2}"#);
    assert_eq!((other.status, &*other.field("code")), (409, "key_conflict"));
    let headers = [
        ("authorization", "Bearer lamp-loans-token"),
        ("idempotency-key", "k1"),
    ];
    let got = setup::send(
        system.addr(),
        "POST",
        "/call/refund/pay",
        &headers,
        br#"{"key":"k1"}"#,
    );
    assert_eq!((got.status, got.header("x-replayed")), (200, None));
    assert_eq!(system.runs_of("k1"), 2);
}

/// Guards against two runs when the same request arrives many times concurrently at two entries.
#[test]
fn concurrent_requests_with_one_key_run_once() {
    let system = setup::system()
        .servers(2)
        .entries(2)
        .service_ms(100)
        .start();
    let addrs: Vec<_> = system.entries.iter().map(entry::Handle::addr).collect();
    let threads: Vec<_> = (0..12)
        .map(|i| {
            let addr = addrs[i % 2];
            thread::spawn(move || setup::pay(addr, "k1"))
        })
        .collect();
    let answers: Vec<Response> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    assert_eq!(system.runs_of("k1"), 1);
    for got in &answers {
        let is_in_progress = got.status == 409 && got.field("code") == "in_progress";
        assert!(got.status == 200 || is_in_progress, "{got:?}");
    }
    assert!(answers.iter().filter(|g| g.status == 200).count() >= 6);
}

/// Guards against a run of a request whose claim could not be written.
#[test]
fn a_table_outage_refuses_only_requests_that_are_not_repeatable() {
    let system = setup::system().start();
    let outage = setup::platform_faults(|f| f.outage = true);
    system.platform.set_faults(outage);
    let got = system.pay("k1");
    assert_eq!(got.refusal(), ("store_down".into(), "not_run".into()));
    assert_eq!(system.call_repeatable().status, 200);
    assert_eq!(system.runs_of("k1"), 0);
    system.platform.set_faults(Faults::default());
    setup::eventually("the key can be used", || system.pay("k1").status == 200);
    assert_eq!(system.runs_of("k1"), 1);
}

/// Guards against a second run, or a false `not_run`, when answers of the table service are lost.
#[test]
fn lost_answers_of_the_table_service_cause_at_most_one_run() {
    let system = setup::system().start();
    for (i, faults) in [
        setup::platform_faults(|f| f.lost_answers = 1.0),
        setup::platform_faults(|f| f.lost_requests = 1.0),
        setup::platform_faults(|f| {
            f.lost_answers = 0.5;
            f.lost_requests = 0.3;
        }),
    ]
    .into_iter()
    .enumerate()
    {
        system.platform.set_faults(faults);
        for j in 0..3 {
            let key = format!("k{i}-{j}");
            let got = system.pay(&key);
            let runs = system.runs_of(&key);
            match (got.status, &*got.field("outcome")) {
                (200, _) => assert_eq!(runs, 1, "{got:?}"),
                (503, "not_run") => assert_eq!(runs, 0, "{got:?}"),
                _ => panic!("{key}: {got:?}"),
            }
        }
    }
    system.platform.set_faults(Faults::default());
    let settled = || system.dump()["claims_unsettled"] == json!(0);
    setup::eventually("all claims are settled", settled);
    for i in 0..3 {
        for j in 0..3 {
            let key = format!("k{i}-{j}");
            setup::eventually("the key has its answer", || system.pay(&key).status == 200);
            assert_eq!(system.runs_of(&key), 1, "{key}");
        }
    }
}

/// Guards against a second run of a request whose outcome is unknown.
#[test]
fn an_unknown_outcome_stays_unknown_on_every_entry() {
    let system = setup::system().entries(2).start();
    let cut = setup::server_faults(|f| f.cut_after = 1.0);
    system.set_faults(&cut);
    assert_eq!(system.pay("k1").field("outcome"), "unknown");
    system.set_faults(&BackendFaults::default());
    let row = || system.platform.row("claim/rain-cover/k1").unwrap().value;
    setup::eventually("the outcome is stored", || row().contains("\"unknown\""));
    for entry in &system.entries {
        let again = setup::pay(entry.addr(), "k1");
        assert_eq!(
            (again.status, &*again.field("code")),
            (504, "outcome_unknown")
        );
    }
    assert_eq!(system.runs_of("k1"), 1);
}

/// Guards against a key that stays blocked, or a lost result, when the caller disconnects.
#[test]
fn a_request_completes_after_its_caller_disconnects() {
    let system = setup::system().service_ms(200).start();
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", &*bearer), ("idempotency-key", "k1")];
    let bytes = setup::request("POST", "/call/refund/pay", &headers, br#"{"key":"k1"}"#);
    let mut tcp = TcpStream::connect(system.addr()).unwrap();
    tcp.write_all(&bytes).unwrap();
    setup::eventually("the request runs", || system.runs_of("k1") == 1);
    tcp.shutdown(Shutdown::Both).unwrap();
    drop(tcp);
    let again = system.pay("k1");
    assert_eq!(
        (again.status, again.header("x-replayed").as_deref()),
        (200, Some("1"))
    );
    assert_eq!(system.runs_of("k1"), 1);
    let idle = || system.dump()["in_flight"] == json!(0);
    setup::eventually("no request is in flight", idle);
}

/// Guards against a second run after the entry that holds the claim was killed.
///
/// The test writes the row that an entry leaves when it is killed between claim and result.
#[test]
fn a_claim_of_a_killed_entry_is_never_run_again() {
    let system = setup::system().start();
    assert_eq!(system.pay("k1").status, 200);
    let key = "claim/rain-cover/k1";
    let row = || system.platform.row(key).unwrap().value;
    setup::eventually("the answer is stored", || row().contains("completed"));
    let mut record: serde_json::Value = serde_json::from_str(&row()).unwrap();
    record["state"] = json!("in_progress");
    record["owner"] = json!(77);
    setup::put_rows(system.platform.addr(), &[(key.into(), record)]);
    let again = system.pay("k1");
    assert_eq!(again.field("outcome"), "unknown", "{again:?}");
    assert_eq!(system.runs_of("k1"), 1);
}

/// Guards against a run after the deadline when a slow table service delays the claim.
#[test]
fn a_request_whose_claim_is_too_late_is_not_run() {
    let system = setup::system()
        .set("platform_timeout_ms", json!(3_000))
        .start();
    let slow = setup::platform_faults(|f| f.slow_ms = Millis(600));
    system.platform.set_faults(slow);
    let headers = [("idempotency-key", "k1"), ("x-deadline-ms", "200")];
    let got = setup::call(system.addr(), "pay", &headers, br#"{"key":"k1"}"#);
    assert_eq!(got.refusal(), ("store_down".into(), "not_run".into()));
    system.platform.set_faults(Faults::default());
    setup::eventually("the key can be used", || system.pay("k1").status == 200);
    assert_eq!(system.runs_of("k1"), 1);
}
