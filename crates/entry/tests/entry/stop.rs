//! Planned stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use serde_json::json;

use crate::setup::{self, Got};

/// Guards against a stop that cuts off requests, refuses without a truthful body, or begins to
/// refuse before the load balancer had time to see the change.
#[test]
fn a_planned_stop_cuts_off_nothing() {
    let system = setup::system()
        .service_ms(400)
        .set("stop_notice_ms", json!(300))
        .start();
    let addr = system.addr();
    let send = |key: &str| {
        let key = key.to_owned();
        thread::spawn(move || setup::pay(addr, &key))
    };
    let early: Vec<_> = (0..4).map(|i| send(&format!("early{i}"))).collect();
    setup::eventually("the early requests run", || system.runs() == 4);
    system.entries[0].begin_stop();
    setup::eventually("readiness is withdrawn", || {
        system.get(0, "/ready").status == 503
    });
    let noticed = send("noticed");
    let noticed = noticed.join().unwrap();
    assert_eq!(noticed.status, 200, "{noticed:?}");
    assert_eq!(noticed.header("connection").as_deref(), Some("close"));
    for handle in early {
        let got: Got = handle.join().unwrap();
        assert_eq!(got.status, 200, "{got:?}");
    }
}

/// Guards against new work during the drain, and against requests under way that are cut off when
/// the listener closes.
#[test]
fn a_draining_entry_refuses_new_work_truthfully() {
    let mut system = setup::system()
        .service_ms(600)
        .set("stop_notice_ms", json!(0))
        .start();
    let addr = system.addr();
    let running = thread::spawn(move || setup::pay(addr, "running"));
    setup::eventually("the request runs", || system.runs() == 1);
    system.entries[0].begin_stop();
    setup::eventually("the entry drains", || system.dump()["phase"] == "draining");
    let got = system.pay("late");
    assert_eq!(got.refusal(), ("stopping".into(), "not_run".into()));
    assert_eq!(running.join().unwrap().status, 200);
    let member = || system.platform.rows("member/").len();
    setup::eventually("the member row is gone", || member() == 0);
    system.entries.remove(0).stop();
    assert_eq!(system.runs(), 1);
    assert_eq!(system.platform.row("claim/rain-cover/late"), None);
    let row = system.platform.row("claim/rain-cover/running").unwrap();
    assert!(row.value.contains("completed"), "{}", row.value);
}

/// Guards against lost or repeated requests under load during a stop of one of two entries.
#[test]
fn requests_during_a_stop_have_a_whole_answer_or_a_truthful_refusal() {
    let mut system = setup::system().servers(2).entries(2).service_ms(20).start();
    let addr = system.addr();
    let done = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..6)
        .map(|t| {
            let done = done.clone();
            thread::spawn(move || {
                let mut results = Vec::new();
                while !done.load(Ordering::SeqCst) {
                    let key = format!("t{t}-{}", results.len());
                    let body = json!({ "key": key }).to_string();
                    let bearer = format!("Bearer {}", setup::TOKEN);
                    let headers = [("authorization", &*bearer), ("idempotency-key", &*key)];
                    let path = "/call/refund/pay";
                    let bytes = setup::request("POST", path, &headers, body.as_bytes());
                    results.push((key, setup::raw(addr, &bytes)));
                }
                results
            })
        })
        .collect();
    setup::eventually("the load runs", || system.runs() > 30);
    system.entries.remove(0).stop();
    done.store(true, Ordering::SeqCst);
    let mut answered = 0;
    for (key, got) in threads.into_iter().flat_map(|t| t.join().unwrap()) {
        let runs = system.runs_of(&key);
        match got {
            Some(got) if got.status == 200 => {
                assert_eq!(runs, 1, "{key}");
                answered += 1;
            }
            Some(got) => {
                assert_eq!(
                    (got.field("outcome").as_str(), runs),
                    ("not_run", 0),
                    "{got:?}"
                );
            }
            // The connection was refused or closed after the listener had closed.
            None => assert_eq!(runs, 0, "{key} was cut off"),
        }
    }
    assert!(answered > 30);
}

/// Guards against a drain that relies on the server's own time limit for its connections.
#[test]
fn a_request_that_takes_seconds_is_not_cut_off() {
    let mut system = setup::system().service_ms(3_000).start();
    let addr = system.addr();
    let running = thread::spawn(move || setup::call(addr, "score", &[], b"{}"));
    setup::eventually("the request runs", || system.runs() == 1);
    system.entries.remove(0).stop();
    assert_eq!(running.join().unwrap().status, 200);
}
