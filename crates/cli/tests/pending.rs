//! Tests of the number of waiting jobs that callers are told.

mod cluster;
mod common;

use std::{thread, time::Duration};

use cluster::{Cluster, TIMEOUT};
use common::wait_until;
use serde_json::json;

/// Time after which a number that is not counted again is too old, and some more.
const TOO_OLD: Duration = Duration::from_millis(2_500);

/// Returns the status of a question for the number, and the number.
fn pending(cluster: &Cluster) -> (u16, Option<u64>) {
    let answer = cluster.get(0, "/q/").unwrap();
    (answer.status, answer.body["pending"].as_u64())
}

/// Guards against a number that is told though no leader has counted for long, as after a takeover that
/// takes its time, and against 0 for a row that is missing or malformed.
#[test]
fn a_number_of_waiting_jobs_that_is_not_known_is_refused() {
    let cluster = Cluster::start("pending", 1, 1, 60_000);
    for id in 1..=3 {
        assert_eq!(cluster.submit(0, id, 1, false).unwrap().status, 200);
    }
    wait_until("two jobs wait", TIMEOUT, || {
        (pending(&cluster) == (200, Some(2))).then_some(())
    });
    thread::sleep(TOO_OLD);
    assert_eq!(pending(&cluster), (200, Some(2)), "counted again");
    cluster.store.reject_key("pending");
    thread::sleep(TOO_OLD);
    let old = cluster.get(0, "/q/").unwrap();
    assert_eq!(old.status, 503);
    assert!(old.head.contains("retry-after: "), "{}", old.head);
    cluster.store.put("control", "pending", &json!([["q", 5]]));
    assert_eq!(pending(&cluster), (200, Some(5)), "of an earlier version");
    cluster.store.put_text("control", "pending", "[[\"q\", ");
    assert_eq!(pending(&cluster), (503, None), "malformed");
    cluster.store.delete("control", "pending");
    assert_eq!(pending(&cluster), (503, None), "missing");
    cluster.store.reject_key("");
    wait_until("the jobs are counted again", TIMEOUT, || {
        (pending(&cluster) == (200, Some(2))).then_some(())
    });
}
