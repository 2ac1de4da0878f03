//! Planned stops of an entry.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use base::limits;
use serde_json::json;

use crate::setup::{self, Response};

/// Guards against a stop that interrupts requests, or refuses them before the load balancer has
/// had time to see that the entry is not ready.
#[test]
fn a_planned_stop_interrupts_no_requests() {
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
    setup::eventually("the entry reports not ready", || {
        system.get(0, "/ready").status == 503
    });
    let noticed = send("noticed");
    let noticed = noticed.join().unwrap();
    assert_eq!(noticed.status, 200, "{noticed:?}");
    assert_eq!(noticed.header("connection").as_deref(), Some("close"));
    for handle in early {
        let got: Response = handle.join().unwrap();
        assert_eq!(got.status, 200, "{got:?}");
    }
}

/// Guards against new requests that are run during the drain, and against requests in flight that
/// are interrupted when the listener closes.
#[test]
fn a_draining_entry_refuses_new_requests_as_not_run() {
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
    setup::eventually("the member row is deleted", || member() == 0);
    system.entries.remove(0).stop();
    assert_eq!(system.runs(), 1);
    assert_eq!(system.platform.row("claim/rain-cover/late"), None);
    let row = system.platform.row("claim/rain-cover/running").unwrap();
    assert!(row.value.contains("completed"), "{}", row.value);
}

/// Guards against lost requests, second runs and false refusals when one of two entries is stopped
/// under load.
#[test]
fn requests_during_a_stop_are_answered_or_refused_as_not_run() {
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
                    results.push((key, setup::send_raw(addr, &bytes)));
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
            // The listener was already closed, so the connection was refused or closed.
            None => assert_eq!(runs, 0, "{key} ran but got no answer"),
        }
    }
    assert!(answered > 30);
}

/// Guards against a drain that is limited by the HTTP server's shutdown timeout.
#[test]
fn a_stop_waits_for_requests_that_take_seconds() {
    let mut system = setup::system().service_ms(3_000).start();
    let addr = system.addr();
    let running = thread::spawn(move || setup::call(addr, "score", &[], b"{}"));
    setup::eventually("the request runs", || system.runs() == 1);
    system.entries.remove(0).stop();
    assert_eq!(running.join().unwrap().status, 200);
}

/// Guards against a stop that ends while a caller still reads a long answer.
#[test]
fn a_stop_waits_for_callers_that_read_slowly() {
    let bytes = limits::ANSWER_BYTES - (64 << 10);
    let mut system = setup::system().answer_bytes(bytes).start();
    let mut tcp = TcpStream::connect(system.addr()).unwrap();
    tcp.set_read_timeout(Some(setup::TIMEOUT)).unwrap();
    let bearer = format!("Bearer {}", setup::TOKEN);
    let headers = [("authorization", &*bearer)];
    let request = setup::request("POST", "/call/refund/score", &headers, b"{}");
    tcp.write_all(&request).unwrap();
    setup::eventually("the request has run", || {
        system.runs() == 1 && system.dump()["in_flight"] == 0
    });
    let entry = system.entries.remove(0);
    let stop = thread::spawn(move || entry.stop());
    thread::sleep(Duration::from_secs(4));
    let got = setup::receive(&mut tcp).expect("a whole answer");
    assert!(got.body.len() > bytes, "{} bytes", got.body.len());
    stop.join().unwrap();
}
