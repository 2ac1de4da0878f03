//! Contract tests of the worker interface over HTTP.

mod common;

use base::clock::Millis;
use ntex::{
    client::ClientResponse,
    http::{Method, StatusCode},
};
use plan::event::{Report, WorkerInfo};
use standin::{
    worker::{self, Handle, OrdersAnswer},
    worker_cfg::{Behaviour, WorkerCfg},
};

/// Order to hold two accelerators.
const HOLD: &str = r#"{"attempt":{"job":{"organisation":"o","name":"j"},"attempt":1},"member":{"worker":"worker-1","accelerators":3},"action":{"hold":{"cores":4,"memory_mb":100}}}"#;

/// Returns an order with this action for the member of [`HOLD`].
fn order(action: &str) -> String {
    HOLD.replace(r#"{"hold":{"cores":4,"memory_mb":100}}"#, action)
}

fn body(fence: u64, lease_ms: u64, orders: &[&str]) -> String {
    let orders = orders.join(",");
    format!(r#"{{"fence":{fence},"lease_ms":{lease_ms},"renew":[],"orders":[{orders}]}}"#)
}

async fn call(handle: &Handle, method: Method, path: &str, body: String) -> ClientResponse {
    let url = format!("http://{}{path}", handle.addr());
    common::send(method, url, &[], body).await.unwrap()
}

async fn post(handle: &Handle, body: String) -> (StatusCode, String) {
    let answer = call(handle, Method::POST, "/orders", body).await;
    let text = answer.body().await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    (answer.status(), text)
}

fn reports(text: &str) -> Vec<Report> {
    let answer: OrdersAnswer = serde_json::from_str(text).unwrap();
    answer.tasks.iter().map(|t| t.report).collect()
}

/// Guards against JSON that differs from docs/platform.md.
#[ntex::test]
async fn bodies_follow_the_specification() {
    let handle = worker::start(WorkerCfg::default()).unwrap();
    let info = call(&handle, Method::GET, "/info", String::new()).await;
    let info: WorkerInfo = info.json().await.unwrap();
    assert_eq!(info, WorkerCfg::default().info);
    let (status, text) = post(&handle, body(7, 30_000, &[HOLD])).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(
        text,
        r#"{"tasks":[{"attempt":{"job":{"organisation":"o","name":"j"},"attempt":1},"accelerators":3,"report":"held"}]}"#
    );
    let (_, text) = post(&handle, body(7, 30_000, &[&order("\"go\"")])).await;
    assert!(
        text.contains(r#""report":{"running":{"memory_mb":100}}"#),
        "{text}"
    );
    let (_, text) = post(
        &handle,
        body(7, 30_000, &[&order(r#"{"stop":{"checkpoint":true}}"#)]),
    )
    .await;
    assert!(text.contains("running"), "{text}");
    common::wait_until("the task stops", || {
        handle.worker(0).history()[0].end.is_some()
    })
    .await;
    let (_, text) = post(&handle, body(7, 30_000, &[])).await;
    assert!(
        text.contains(r#""report":{"stopped":{"checkpoint":true}}"#),
        "{text}"
    );
    let (status, text) = post(&handle, body(6, 30_000, &[HOLD])).await;
    assert_eq!(
        (status, text.as_str()),
        (StatusCode::CONFLICT, r#"{"highest_fence":7}"#)
    );
}

/// Guards against invalid calls that are applied in part.
#[ntex::test]
async fn invalid_calls_change_nothing() {
    let handle = worker::start(WorkerCfg::default()).unwrap();
    let other_worker = HOLD.replace("worker-1", "worker-2");
    let no_accelerators = HOLD.replace(r#""accelerators":3"#, r#""accelerators":0"#);
    let cases = [
        ("invalid JSON", "{".to_owned()),
        ("no fence", r#"{"lease_ms":1}"#.to_owned()),
        ("another worker", body(9, 1, &[HOLD, &other_worker])),
        ("no accelerators", body(9, 1, &[HOLD, &no_accelerators])),
        ("unknown action", body(9, 1, &[HOLD, &order("\"run\"")])),
    ];
    for (name, text) in cases {
        let (status, _) = post(&handle, text).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{name}");
    }
    let (status, text) = post(&handle, body(1, 1, &[])).await;
    assert_eq!((status, text.as_str()), (StatusCode::OK, r#"{"tasks":[]}"#));
}

/// Guards against holds and leases that expire only when a call arrives.
#[ntex::test]
async fn holds_and_leases_expire_with_time() {
    let cfg = WorkerCfg {
        hold_ms: Millis(100),
        ..WorkerCfg::default()
    };
    let handle = worker::start(cfg).unwrap();
    post(&handle, body(1, 100, &[HOLD])).await;
    let mut last = Vec::new();
    for _ in 0..1_000 {
        last = reports(&post(&handle, body(1, 100, &[])).await.1);
        if last != [Report::Held] {
            break;
        }
    }
    assert_eq!(last, [Report::NotHeld]);
    post(&handle, body(1, 100, &[HOLD, &order("\"go\"")])).await;
    common::wait_until("the lease expires", || {
        handle.worker(0).history()[0].end.is_some()
    })
    .await;
    let run = handle.worker(0).history().remove(0);
    assert_eq!(run.end, Some(Report::Stopped { checkpoint: true }));
    let duration = run.ended_at.unwrap().since(run.started_at);
    assert_eq!(duration, Millis(120));
}

/// Guards against a silent worker that answers or applies orders, and against workers of one
/// process that share state.
#[ntex::test]
async fn silent_workers_apply_no_orders() {
    let handle = worker::start_all(vec![WorkerCfg::default(); 2]).unwrap();
    let silent = r#"{"silent":true}"#.to_owned();
    let answer = call(&handle, Method::PUT, "/behaviour", silent).await;
    assert_eq!(answer.status(), StatusCode::NO_CONTENT);
    let start = body(1, 30_000, &[HOLD, &order("\"go\"")]);
    let urls: Vec<String> = handle
        .addrs()
        .iter()
        .map(|a| format!("http://{a}/orders"))
        .collect();
    let unanswered = common::send(Method::POST, urls[0].clone(), &[], start.clone()).await;
    assert!(unanswered.is_err());
    common::send(Method::POST, urls[1].clone(), &[], start)
        .await
        .unwrap();
    handle.worker(0).set_behaviour(Behaviour::default());
    assert_eq!(handle.worker(0).history(), []);
    assert_eq!(handle.worker(1).history().len(), 1);
    let history = call(&handle, Method::GET, "/history", String::new()).await;
    assert_eq!(history.body().await.unwrap(), "[]");
}
