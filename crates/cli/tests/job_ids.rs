//! Tests of nodes as real processes: one id for two jobs.

mod cluster;
mod common;

use cluster::{API_KEY, Cluster, TIMEOUT, config};
use common::wait_until;
use serde_json::{Value, json};

/// API key of a second organisation.
const OTHER_KEY: &str = "key-two";

/// Starts nodes with two organisations and a second queue.
fn start(test: &str) -> Cluster {
    let cluster = Cluster::start(test, 2, 2, 1_000);
    let mut two = config(2, &[API_KEY]);
    let other = json!({"name": "two", "api-keys": [OTHER_KEY], "guaranteed": {"gpu": 0}});
    two["tenants"].as_array_mut().unwrap().push(other);
    let mut queue = two["routes"][0].clone();
    queue["name"] = json!("r");
    queue["path-prefix"] = json!("/r/");
    two["routes"].as_array_mut().unwrap().push(queue);
    cluster.store.put("op", "config", &two);
    for node in 0..2 {
        wait_until("the second organisation is known", TIMEOUT, || {
            let answer = cluster.call(node, "GET", "/r/", OTHER_KEY, "")?;
            (answer.status == 200).then_some(())
        });
    }
    cluster
}

fn job(text: &str, count: u64) -> Value {
    let step =
        json!({"count": count, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1_000});
    json!({"spec": text, "steps": [step]})
}

fn post(cluster: &Cluster, node: usize, path: &str, key: &str, job: &Value) -> u16 {
    let answer = cluster.call(node, "POST", path, key, &job.to_string());
    answer.expect("an answer").status
}

/// Guards against a job that is accepted and not known later, because a job of another organisation has
/// its id, and against a caller who sees or cancels that job.
#[test]
fn an_id_of_another_organisation_is_refused() {
    let cluster = start("node-same-id");
    let path = "/q/00000000000000aa";
    assert_eq!(post(&cluster, 0, path, API_KEY, &job("one", 1)), 200);
    for node in 0..2 {
        assert_eq!(post(&cluster, node, path, OTHER_KEY, &job("one", 1)), 409);
        for method in ["GET", "DELETE"] {
            let answer = cluster.call(node, method, path, OTHER_KEY, "").unwrap();
            assert_eq!(answer.status, 410, "{method}");
        }
    }
    cluster.wait_for_state(1, 0xaa, "completed");
    assert_eq!(post(&cluster, 1, path, OTHER_KEY, &job("one", 1)), 409);
}

/// Guards against a job that counts as accepted although another one of its caller has the id, and
/// against a repeated submission that is refused.
#[test]
fn an_id_stays_with_its_job() {
    let cluster = start("node-reused-id");
    let path = "/q/00000000000000aa";
    let first = job("one", 2);
    assert_eq!(post(&cluster, 0, path, API_KEY, &first), 200);
    let others = [
        (path, job("two", 2)),
        (path, job("one", 3)),
        ("/r/00000000000000aa", first.clone()),
    ];
    for (path, other) in &others {
        assert_eq!(
            post(&cluster, 1, path, API_KEY, other),
            409,
            "{path} {other}"
        );
    }
    assert_eq!(post(&cluster, 1, path, API_KEY, &first), 200);
    cluster.wait_for_state(0, 0xaa, "completed");
    assert_eq!(post(&cluster, 1, path, API_KEY, &first), 200);
    let runs = cluster.check_runs();
    assert_eq!(runs.values().sum::<usize>(), 2, "{runs:?}");
}
