//! Tests of nodes as real processes on stand-ins for the users' platform, judged by what callers and
//! workers see.

mod cluster;
mod common;

use std::{sync::atomic::Ordering, time};

use cluster::{API_KEY, Cluster, ROW_BYTES, TIMEOUT, config, proxy::Mode};
use common::wait_until;
use platform_standin::{store::Fault, worker::Worker};
use serde_json::json;

/// Guards against a failure anywhere between a caller and a worker, in either direction.
#[test]
fn a_job_runs_and_every_node_reports_it() {
    let cluster = Cluster::start("node-job", 2, 3, 300);
    assert_eq!(cluster.submit(0, 1, 3, true).unwrap().status, 200);
    // Submitting the same job again, to another node, doesn't create a second one.
    assert_eq!(cluster.submit(1, 1, 3, true).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    assert_eq!(cluster.state(1, 1), "completed");
    assert_eq!(
        cluster.check_runs().values().copied().collect::<Vec<_>>(),
        [3]
    );
    assert_eq!(
        cluster.get(1, &format!("/q/{:016x}", 2)).unwrap().status,
        410
    );
}

/// Guards against outgoing calls that are missing from the metrics, and against metrics of them that
/// are exported but not documented.
#[test]
fn the_metrics_list_the_outgoing_calls_by_purpose() {
    let cluster = Cluster::start("node-call-metrics", 1, 3, 300);
    assert_eq!(cluster.submit(0, 1, 3, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let addr = cluster.operator_addrs[0];
    // A feed is answered when something changes or its wait is over.
    let is_feed_answered = |text: &str| text.contains("node_call_seconds_count{purpose=\"feed\"}");
    let text = wait_until("a feed is answered", TIMEOUT, || {
        let answer = common::http::send(addr, "GET", "/metrics", &[], "")?;
        let text = answer.body.as_str()?.to_owned();
        is_feed_answered(&text).then_some(text)
    });
    let value = |series: &str| -> f64 {
        let line = text.lines().find_map(|l| l.strip_prefix(series));
        line.map_or(0.0, |v| v.trim().parse().unwrap())
    };
    for purpose in [
        "renewal", "start", "list", "feed", "commit", "lease", "config", "read",
    ] {
        let labels = format!("{{outcome=\"answered\",purpose=\"{purpose}\"}}");
        let calls = value(&format!("node_calls_total{labels}"));
        assert!(calls >= 1.0, "{purpose}: {text}");
        let bytes = |name: &str| value(&format!("node_call_{name}_bytes_total{labels}"));
        assert!(bytes("sent") > 100.0 * calls && bytes("received") > 100.0 * calls);
        let by_purpose = format!("{{purpose=\"{purpose}\"}}");
        assert!(
            value(&format!("node_call_seconds_count{by_purpose}"))
                .total_cmp(&calls)
                .is_eq()
        );
        let all = format!("node_call_seconds_bucket{{purpose=\"{purpose}\",le=\"+Inf\"}}");
        assert!(value(&all).total_cmp(&calls).is_eq());
    }
    let starts = value("node_calls_total{outcome=\"answered\",purpose=\"start\"}");
    assert!(starts.total_cmp(&3.0).is_eq(), "{text}");
    let types = text.lines().filter_map(|l| l.strip_prefix("# TYPE "));
    let doc = include_str!("../../../docs/metrics.md");
    for name in types.filter_map(|t| t.split(' ').next()) {
        assert!(doc.contains(&format!("| `{name}` |")), "{name}");
    }
}

/// Guards against a leader whose calls stay unanswered, and a job that waits, without a line about it.
#[test]
fn calls_without_an_answer_and_waits_are_logged_in_numbers() {
    let cluster = Cluster::start_behind_proxies("node-load", 1, 2, 60_000);
    assert_eq!(cluster.submit(0, 1, 2, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    assert_eq!(cluster.submit(0, 2, 2, true).unwrap().status, 200);
    cluster.worker_proxies[0].set(Mode::DropAll);
    let line_of = |msg: &str, has: &dyn Fn(&serde_json::Value) -> bool| {
        wait_until(msg, TIMEOUT, || {
            let log = cluster.nodes[0].log();
            let lines = log.lines().filter_map(|l| serde_json::from_str(l).ok());
            lines
                .filter(|l: &serde_json::Value| l["msg"] == msg)
                .find(|l| has(l))
        })
    };
    let load = line_of("leader: load", &|l| l["no_answers"].as_u64() > Some(0));
    let numbers = [
        "ms",
        "calls",
        "closed",
        "starts",
        "repeated_starts",
        "stops",
        "repeated_stops",
        "extensions",
        "awaited_starts",
        "answer_ms",
        "sent_bytes",
        "received_bytes",
        "longest_wait_ms",
        "silent_workers",
        "capacity",
        "used",
        "listed",
    ];
    for name in numbers {
        assert!(load[name].is_u64(), "{name}: {load}");
    }
    assert!(
        load["calls"].as_u64() > load["no_answers"].as_u64(),
        "{load}"
    );
    assert!(load["sent_bytes"].as_u64() > Some(0), "{load}");
    let room = line_of("batch: waits for room", &|l| l["silent"] == 1);
    assert_eq!(room["job"], "0000000000000002");
    for (name, value) in [
        ("of_service", 2),
        ("full", 1),
        ("fitting", 0),
        ("attempts", 0),
    ] {
        assert_eq!(room[name], value, "{name}: {room}");
    }
    println!("{load}\n{room}");
}

/// Guards against invalid input that is accepted, is not answered or gets a status other than the
/// interface specifies.
#[test]
fn invalid_input_gets_the_specified_status() {
    let cluster = Cluster::start("node-input", 1, 1, 100);
    let id = format!("/q/{:016x}", 7);
    let cases: [(&str, &str, &str, &str, u16); 9] = [
        ("POST", "/q/zz", API_KEY, "{}", 400),
        ("POST", &id, API_KEY, "not json", 400),
        ("POST", &id, API_KEY, r#"{"spec":"x","steps":[]}"#, 400),
        (
            "POST",
            &id,
            API_KEY,
            r#"{"spec":"x","steps":[{"count":4000000000}]}"#,
            400,
        ),
        (
            "POST",
            &id,
            API_KEY,
            r#"{"spec":"x","steps":[{"count":1,"after":[0]}]}"#,
            400,
        ),
        (
            "POST",
            &id,
            "other",
            r#"{"spec":"x","steps":[{"count":1}]}"#,
            401,
        ),
        ("GET", "/elsewhere/", API_KEY, "", 404),
        ("GET", &id, API_KEY, "", 410),
        ("DELETE", &id, API_KEY, "", 410),
    ];
    for (method, path, key, body, status) in cases {
        let answer = cluster.call(0, method, path, key, body);
        assert_eq!(
            answer.map(|a| a.status),
            Some(status),
            "{method} {path} {body}"
        );
    }
    let large = "x".repeat(30_000);
    assert_eq!(
        cluster
            .call(0, "POST", &id, API_KEY, &large)
            .unwrap()
            .status,
        413
    );
    assert!(cluster.check_runs().is_empty());
}

/// Guards against a job that is refused although it can run, and against progress that is longer
/// than a row or a transaction of the store, which blocked all further decisions.
#[test]
fn a_job_with_thousands_of_subtasks_runs() {
    let mut cluster = Cluster::start("node-large", 2, 2, 300);
    let step = |after: &[u32]| json!({"count": 900, "cpu": 100, "mem-mb": 1, "after": after});
    let body = json!({"spec": "work", "steps": [step(&[]), step(&[0])]}).to_string();
    let path = format!("/q/{:016x}", 1);
    let answer = cluster.call(0, "POST", &path, API_KEY, &body).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    cluster.wait_for_state(0, 1, "running");
    // The next leader reads the progress from several rows.
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    cluster.nodes[leader].restart();
    cluster.wait_for_state(1 - leader, 1, "completed");
    let runs = cluster.check_runs();
    assert!(runs.values().sum::<usize>() >= 1_800, "{runs:?}");
    // Jobs submitted later are not held up.
    assert_eq!(cluster.submit(1 - leader, 2, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1 - leader, 2, "completed");
}

/// Guards against a job whose record does not fit in a row: the store refuses it for ever, which
/// looked like a store that does not serve the node.
#[test]
fn a_record_longer_than_a_row_is_refused_for_good() {
    let cluster = Cluster::start("node-record", 1, 1, 50);
    let submit = |id: u64, steps: usize| {
        let body = json!({"spec": "work", "steps": vec![json!({"count": 1, "cpu": 1}); steps]});
        let path = format!("/q/{id:016x}");
        cluster.call(0, "POST", &path, API_KEY, &body.to_string())
    };
    let status = |id, steps| submit(id, steps).map(|a| a.status);
    // A step takes about 70 bytes of the record.
    assert_eq!(status(1, ROW_BYTES / 100), Some(200));
    assert_eq!(status(2, ROW_BYTES / 50), Some(413));
    cluster.wait_for_state(0, 1, "completed");
    assert_eq!(
        cluster.get(0, &format!("/q/{:016x}", 2)).unwrap().status,
        410
    );
}

/// Guards against a job that runs on after its cancellation, or whose cancellation loses it.
#[test]
fn a_cancelled_job_is_stopped() {
    let cluster = Cluster::start("node-cancel", 1, 2, 60_000);
    assert_eq!(cluster.submit(0, 1, 2, true).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    let path = format!("/q/{:016x}", 1);
    assert_eq!(
        cluster
            .call(0, "DELETE", &path, API_KEY, "")
            .unwrap()
            .status,
        200
    );
    cluster.wait_for_state(0, 1, "cancelled");
    wait_until("all runs are stopped", TIMEOUT, || {
        let mut runs = cluster.workers.iter().flat_map(Worker::runs);
        runs.all(|r| r.ended.is_some()).then_some(())
    });
    assert_eq!(
        cluster
            .call(0, "DELETE", &path, API_KEY, "")
            .unwrap()
            .status,
        200
    );
}

/// Guards against a removed key that is still accepted after the bound for a change of the
/// configuration, or again after it was refused, and against a new key that is refused.
///
/// A submission that was authorised just before the change arrived may still be stored: the store
/// has no transactions over the parts of a job and of the configuration.
#[test]
fn a_change_of_keys_is_in_force_within_its_bound() {
    let cluster = Cluster::start("node-keys", 2, 1, 100);
    cluster.store.put("op", "config", &config(2, &["key-two"]));
    let changed = time::Instant::now();
    let bound = time::Duration::from_secs(2);
    let mut id = 0;
    let mut submit = |node: usize| {
        id += 1;
        cluster.submit(node, id, 1, false).map(|a| a.status)
    };
    for node in 0..2 {
        wait_until("the removed key is refused", bound, || {
            (submit(node) == Some(401)).then_some(())
        });
        for _ in 0..5 {
            assert_eq!(submit(node), Some(401));
        }
        wait_until("the new key is known", bound, || {
            let answer = cluster.call(node, "GET", "/q/", "key-two", "")?;
            (answer.status == 200).then_some(())
        });
        assert_eq!(cluster.get(node, "/q/").unwrap().status, 401);
    }
    let took = changed.elapsed();
    assert!(took < bound, "{took:?}");
}

/// Guards against a node that has lost the store and still accepts the keys that it has cached.
#[test]
fn a_node_without_the_store_refuses_before_its_configuration_is_too_old() {
    let cluster = Cluster::start("node-age", 1, 1, 100);
    cluster.store.set_fault(Fault::Refuses);
    let start = time::Instant::now();
    let answer = cluster.submit(0, 1, 1, false).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    // The request is refused at once instead of waiting until the caller gives up.
    assert!(start.elapsed() < time::Duration::from_secs(1));
    std::thread::sleep(time::Duration::from_secs(5));
    assert_eq!(cluster.get(0, "/q/").unwrap().status, 503);
    cluster.store.set_fault(Fault::None);
    wait_until("the node serves again", TIMEOUT, || {
        cluster.submit(0, 2, 1, false).filter(|a| a.status == 200)
    });
    cluster.wait_for_state(0, 2, "completed");
    assert_eq!(cluster.check_runs().len(), 1, "the refused job never runs");
}

/// Guards against callers that stay with a node which alone has lost the store: the load balancer
/// takes it out, and its refusals tell callers to retry at once. If the store serves no node, all
/// nodes stay in the balancer and callers are told to wait.
#[test]
fn a_node_that_is_refused_alone_leaves_callers_to_others() {
    let cluster = Cluster::start("node-alone", 3, 1, 100);
    let is_ready = |i: usize| {
        common::get(cluster.ready_addrs[i], "/-/readiness").is_some_and(|a| a.status == 200)
    };
    // Nodes that start at the same time discover each other within seconds.
    wait_until(
        "the other nodes are known",
        time::Duration::from_secs(3),
        || {
            let dump = common::get(cluster.operator_addrs[0], "/dump")?;
            (dump.body["nodes_known"] == 2).then_some(())
        },
    );
    cluster.refuse_first_node.store(true, Ordering::Relaxed);
    let retry_at_once = || {
        let answer = cluster.submit(0, 1, 1, false)?;
        assert_eq!(answer.status, 503, "{answer:?}");
        answer.head.contains("retry-after: 0\r\n").then_some(())
    };
    wait_until("callers are told to retry at once", TIMEOUT, retry_at_once);
    wait_until("the node is not ready", TIMEOUT, || {
        (!is_ready(0)).then_some(())
    });
    assert!(is_ready(1) && is_ready(2));
    assert_eq!(cluster.submit(1, 1, 1, false).unwrap().status, 200);

    cluster.store.set_fault(Fault::Refuses);
    wait_until("all nodes are ready", TIMEOUT, || {
        (is_ready(0) && is_ready(1) && is_ready(2)).then_some(())
    });
    for i in 0..3 {
        let answer = cluster.submit(i, 2, 1, false).unwrap();
        assert_eq!(answer.status, 503);
        assert!(
            answer.head.contains("retry-after: 1\r\n"),
            "{}",
            answer.head
        );
    }

    cluster.refuse_first_node.store(false, Ordering::Relaxed);
    cluster.store.set_fault(Fault::None);
    wait_until("the node serves again", TIMEOUT, || {
        cluster.submit(0, 3, 1, false).filter(|a| a.status == 200)
    });
    wait_until("the node is ready again", TIMEOUT, || {
        is_ready(0).then_some(())
    });
}

/// Guards against a submission that is reported as refused although it was stored.
#[test]
fn a_lost_answer_of_the_store_is_not_reported_as_a_refusal() {
    let cluster = Cluster::start("node-lost", 1, 1, 100);
    cluster.store.set_fault(Fault::LosesAnswers);
    let answer = cluster.submit(0, 1, 1, false);
    let status = answer.map_or(0, |a| a.status);
    assert!(status != 429 && status != 503, "{status}");
    assert!(cluster.store.lost_answers() > 0);
    cluster.store.set_fault(Fault::None);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    assert_eq!(cluster.check_runs().len(), 1);
}

/// Guards against runs that end during an outage of the store sooner than a lease lasts, so that
/// nothing is left for a takeover after it.
#[test]
fn no_run_lapses_within_a_lease_of_the_loss_of_the_store() {
    const WORKERS: u64 = 6;
    let lease = time::Duration::from_secs(6);
    let cluster = Cluster::start_behind_proxies("node-outage", 1, WORKERS as usize, 60_000);
    // The renewals of the workers are spread over the 1.5 s for which each waits at its worker.
    for id in 0..WORKERS {
        assert_eq!(cluster.submit(0, id, 1, false).unwrap().status, 200);
        cluster.wait_for_state(0, id, "running");
        std::thread::sleep(time::Duration::from_millis(250));
    }
    let lost = time::Instant::now();
    cluster.store_proxies[0].set(Mode::DropAll);
    std::thread::sleep(lease);
    let runs: Vec<_> = cluster.workers.iter().flat_map(Worker::runs).collect();
    assert_eq!(runs.len() as u64, WORKERS);
    let ended = runs.iter().filter_map(|r| r.ended);
    let ended: Vec<_> = ended
        .map(|(t, how)| (t.duration_since(lost), how))
        .collect();
    assert!(ended.is_empty(), "{ended:?}");
}

/// Guards against a leader that runs out of descriptors: each run of a worker had a connection.
#[test]
fn the_runs_of_a_worker_share_its_connections() {
    let cluster = Cluster::start_behind_proxies("node-connections", 1, 1, 60_000);
    let step = json!({"count": 40, "cpu": 10, "mem-mb": 1});
    let answer = cluster.submit_step(0, 1, "work", &step).unwrap();
    assert_eq!(answer.status, 200);
    wait_until("all runs start", TIMEOUT, || {
        (cluster.workers[0].runs().len() == 40).then_some(())
    });
    // One renews the lease, one carries orders; a call may find the one before it still open.
    let opened = cluster.worker_proxies[0].accepted();
    assert!(opened <= 4, "{opened}");
}

/// Guards against a slow worker that gets all of its orders at once, each on a connection of its own.
#[test]
fn the_orders_to_a_slow_worker_follow_each_other() {
    let cluster = Cluster::start_behind_proxies("node-slow-worker", 1, 1, 60_000);
    cluster.worker_proxies[0].set(Mode::Slow);
    let step = json!({"count": 20, "cpu": 10, "mem-mb": 1});
    let answer = cluster.submit_step(0, 1, "work", &step).unwrap();
    assert_eq!(answer.status, 200);
    wait_until("all runs start", TIMEOUT, || {
        (cluster.workers[0].runs().len() == 20).then_some(())
    });
    let opened = cluster.worker_proxies[0].accepted();
    assert!(opened <= 4, "{opened}");
}

/// Guards against jobs that are accepted after an outage of the store and not found by the leader
/// until a call from before its end has timed out.
#[test]
fn jobs_start_soon_after_an_outage_of_the_store() {
    let cluster = Cluster::start_behind_proxies("node-regained", 1, 2, 100);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    cluster.store_proxies[0].set(Mode::DropAll);
    // The feed of jobs, which answers after 2 s at the latest, is sent again during the outage.
    std::thread::sleep(time::Duration::from_millis(3_300));
    cluster.store_proxies[0].set(Mode::Forward);
    wait_until("the node serves again", TIMEOUT, || {
        cluster.submit(0, 2, 1, false).filter(|a| a.status == 200)
    });
    let bound = time::Duration::from_secs(1);
    wait_until("the job starts", bound, || {
        let runs: usize = cluster.workers.iter().map(|w| w.runs().len()).sum();
        (runs >= 2).then_some(())
    });
}

/// Guards against lost or duplicate work when the leader is killed repeatedly.
#[test]
fn jobs_survive_the_loss_of_leaders() {
    let mut cluster = Cluster::start("node-kill", 3, 3, 1_500);
    for round in 0..3_u64 {
        for job in 0..3 {
            let id = round * 10 + job;
            assert_eq!(
                cluster.submit(0, id, 2, job == 0).map(|a| a.status),
                Some(200)
            );
        }
        let leader = cluster.leader();
        // Node 0 receives the submissions and keeps running, so that each is answered.
        if leader != 0 {
            cluster.nodes[leader].kill();
            cluster.nodes[leader].restart();
        }
    }
    for round in 0..3_u64 {
        for job in 0..3 {
            cluster.wait_for_state(0, round * 10 + job, "completed");
        }
    }
    assert_eq!(cluster.check_runs().len(), 9);
}

/// Guards against a planned stop that drops requests or does not hand over the leadership.
#[test]
fn a_planned_stop_hands_over_and_ends_with_0() {
    let mut cluster = Cluster::start("node-stop", 2, 2, 1_000);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    cluster.nodes[0].terminate();
    // The node serves until the load balancer has noticed the stop.
    assert_eq!(cluster.submit(0, 2, 1, false).unwrap().status, 200);
    assert_eq!(cluster.nodes[0].wait(), Some(0));
    cluster.wait_for_state(1, 1, "completed");
    cluster.wait_for_state(1, 2, "completed");
    assert_eq!(cluster.check_runs().len(), 2);
}
