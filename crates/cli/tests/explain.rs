//! Tests that the logs of all nodes tell why a job is not known, or is shown as failed or cancelled.

mod cluster;
mod common;

use std::{sync::atomic::Ordering, thread, time::Duration};

use cluster::{API_KEY, Cluster, TIMEOUT, config};
use common::wait_until;
use serde_json::{Value, json};

/// Time limit for the removal of an ended job: the margin for late commits and a few rounds.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of a write that the store carries out late, longer than a submission is repeated.
const WRITE_DELAY: Duration = Duration::from_secs(4);

fn path(id: u64) -> String {
    format!("/q/{id:016x}")
}

/// Returns the lines of all nodes with a message that have a value in a field.
fn lines(cluster: &Cluster, msg: &str, field: &str, value: &Value) -> Vec<Value> {
    let logs: Vec<String> = cluster.nodes.iter().map(common::Process::log).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let lines = lines.filter_map(|l| serde_json::from_str::<Value>(l).ok());
    let is_wanted = |l: &Value| l["msg"] == msg && l[field] == *value;
    lines.filter(is_wanted).collect()
}

/// Returns the first line about a job with a message.
fn line(cluster: &Cluster, msg: &str, id: u64) -> Value {
    let id = json!(format!("{id:016x}"));
    wait_until(msg, TIMEOUT, || {
        lines(cluster, msg, "job", &id).into_iter().next()
    })
}

fn has_line(cluster: &Cluster, msg: &str, id: u64) -> bool {
    !lines(cluster, msg, "job", &json!(format!("{id:016x}"))).is_empty()
}

fn number(line: &Value, field: &str) -> u64 {
    let value = line[field].as_u64();
    value.unwrap_or_else(|| panic!("{field}: {line}"))
}

fn status(cluster: &Cluster, method: &str, id: u64) -> u16 {
    let answer = cluster.call(0, method, &path(id), API_KEY, "");
    answer.expect("an answer").status
}

/// Guards against an answer 410 for which a removed job, a lost row and an id that was never accepted
/// look alike.
#[test]
fn a_job_that_is_not_known_was_removed_or_lost_or_never_accepted() {
    let settings = json!({"keep_ms": 1_000});
    let cluster = Cluster::start_with_settings("explain-unknown", 2, 1, 100, &settings);
    let (removed, lost, never) = (1, 2, 3);
    // No worker has the label, so that the job has no phase yet.
    let step = json!({"count": 1, "cpu": 1_000, "requirements": "other"});
    let answer = cluster.submit_step(1, lost, "work", &step).unwrap();
    assert_eq!(answer.status, 200);
    cluster
        .store
        .delete_in_parts("jobs", &format!("{lost:016x}.job"));
    assert_eq!(cluster.submit(1, removed, 1, false).unwrap().status, 200);
    wait_until("the job is removed", REMOVAL_TIMEOUT, || {
        (status(&cluster, "GET", removed) == 410).then_some(())
    });
    for id in [lost, never] {
        assert_eq!(status(&cluster, "GET", id), 410);
    }
    let read_at = |id| {
        number(
            &line(&cluster, "accept: no row of the job", id),
            "store_version",
        )
    };
    for id in [removed, lost] {
        let stored = number(&line(&cluster, "accept: stored", id), "version");
        assert!(stored <= read_at(id), "the read is not older than the row");
    }
    assert!(!has_line(&cluster, "accept: stored", never));
    assert!(!has_line(&cluster, "retention: job removed", lost));
    let removal = line(&cluster, "retention: job removed", removed);
    let stored = line(&cluster, "accept: stored", removed);
    assert_eq!(removal["version"], stored["version"]);
    assert!(number(&removal, "removed_version") <= read_at(removed));
    assert_eq!(removal["phase"], "completed");
}

/// Guards against a cancelled job for which nobody can tell who cancelled it, and against a phase that
/// can't be traced to the commit that stored it.
#[test]
fn a_cancelled_job_names_its_cancellation() {
    let cluster = Cluster::start("explain-cancelled", 2, 1, 60_000);
    assert_eq!(cluster.submit(1, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    for _ in 0..2 {
        assert_eq!(status(&cluster, "DELETE", 1), 200);
    }
    let end = line(&cluster, "commit: end stored", 1);
    cluster.wait_for_state(0, 1, "cancelled");
    let request = line(&cluster, "accept: cancellation stored", 1);
    assert_eq!(request["organisation"], "org");
    let read = line(&cluster, "intake: cancellation", 1);
    assert_eq!(read["version"], request["version"]);
    let change = line(&cluster, "batch: job phase changed", 1);
    assert_eq!(change["cause"], "cancelled");
    let repeated = line(&cluster, "accept: cancelled before", 1);
    assert_eq!(repeated["version"], request["version"]);
    // What has no value is left out.
    assert!(change.get("task").is_none(), "{change}");
    let shown = wait_until("the phase that was stored is shown", TIMEOUT, || {
        let id = json!(format!("{:016x}", 1));
        let shown = lines(&cluster, "accept: shown as ended", "job", &id);
        shown.into_iter().find(|l| l["source"] == "phase")
    });
    assert_eq!(shown["version"], end["version"]);
    let operators = cluster.operator_addrs[0];
    let answer = common::http::send(operators, "GET", "/metrics", &[], "").unwrap();
    let text = answer.body.as_str().unwrap();
    let series = "node_shown_phases_total{phase=\"cancelled\",source=\"phase\"}";
    assert!(text.contains(series), "{text}");
}

/// Guards against an unknown outcome without the id of its job, and against a repeated submission that
/// looks like a new one.
#[test]
fn a_submission_with_an_unknown_outcome_can_be_followed() {
    let cluster = Cluster::start("explain-unknown-outcome", 2, 1, 100);
    cluster.store.delay_writes(".job", WRITE_DELAY);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 504);
    cluster.store.delay_writes(".job", Duration::ZERO);
    let given_up = line(&cluster, "accept: no time left", 1);
    assert_eq!(given_up["request"], "submission");
    assert_eq!(given_up["unknown"], true);
    let read = line(&cluster, "intake: job", 1);
    assert_eq!(cluster.submit(1, 1, 1, false).unwrap().status, 200);
    let repeated = line(&cluster, "accept: stored", 1);
    assert_eq!(repeated["known"], true);
    assert_eq!(repeated["version"], read["version"]);
    assert!(number(&repeated, "age_ms") < 60_000);
    assert_eq!(cluster.submit(1, 2, 1, false).unwrap().status, 200);
    assert_eq!(line(&cluster, "accept: stored", 2)["known"], false);
}

/// Guards against requests that are refused after a change of the configuration, or by a node that the
/// store does not serve, with nothing in the log that tells one from the other.
#[test]
fn a_removed_key_and_a_node_without_the_store_are_told_apart() {
    let cluster = Cluster::start("explain-refused", 3, 1, 100);
    cluster
        .store
        .put("op", "config", &config(2, &["other-key"]));
    wait_until("the key is refused", TIMEOUT, || {
        let answer = cluster.get(0, "/q/")?;
        (answer.status == 401).then_some(())
    });
    let applied = &lines(&cluster, "config: applied", "version", &json!(2))[0];
    let counts = [
        "added_keys",
        "removed_keys",
        "changed_queues",
        "removed_queues",
    ];
    assert_eq!(counts.map(|f| number(applied, f)), [1, 1, 0, 0]);
    assert!(number(applied, "before_age_ms") < 60_000);
    thread::sleep(Duration::from_secs(1));
    cluster.refuse_first_node.store(true, Ordering::Relaxed);
    let refused = wait_until("the node is not ready", TIMEOUT, || {
        let lines = lines(&cluster, "node: not ready", "reason", &json!("store"));
        lines.into_iter().next()
    });
    assert_eq!(refused["before"], "ready");
    cluster.refuse_first_node.store(false, Ordering::Relaxed);
    wait_until("the node is ready again", TIMEOUT, || {
        let lines = lines(&cluster, "node: ready", "before", &json!("store"));
        lines.into_iter().next()
    });
    let regained = lines(
        &cluster,
        "store: answers again",
        "store",
        &json!("regained"),
    );
    assert!(number(&regained[0], "lost_ms") > 0, "{regained:?}");
}

/// Guards against an accepted job that stands still, for which nobody can tell whether the leader has
/// missed it, and whether a new one has loaded it.
#[test]
fn a_job_that_no_leader_has_read_is_told_from_a_loaded_one() {
    let mut cluster = Cluster::start("explain-takeover", 2, 1, 60_000);
    let leader = cluster.leader();
    cluster.store.hide_changes(".job");
    let answer = cluster.submit(1 - leader, 1, 1, false).unwrap();
    assert_eq!(answer.status, 200);
    let stored = number(&line(&cluster, "accept: stored", 1), "version");
    let addr = cluster.operator_addrs[leader];
    wait_until("the feed is beyond the job", TIMEOUT, || {
        let answer = common::http::send(addr, "GET", "/metrics", &[], "")?;
        let mut lines = answer.body.as_str()?.lines();
        let version = lines.find_map(|l| l.strip_prefix("node_feed_version "))?;
        (version.parse::<u64>().ok()? >= stored).then_some(())
    });
    assert!(!has_line(&cluster, "intake: job", 1), "it was not missed");
    cluster.nodes[leader].kill();
    let loaded = wait_until("the next leader has loaded the job", TIMEOUT, || {
        let lines = lines(&cluster, "leader: open jobs", "open", &json!(1));
        lines.into_iter().next()
    });
    assert_eq!(loaded["jobs"], format!("{:016x}", 1));
    let counts = &lines(&cluster, "leader: loaded", "fence", &loaded["fence"])[0];
    let fields = ["rows", "jobs", "open", "set_aside", "partly_removed"];
    assert_eq!(fields.map(|f| number(counts, f)), [1, 1, 1, 0, 0]);
}
