//! Nodes as real processes on a stand-in of the users' platform. What counts is what callers and
//! workers see.

mod common;
mod site;

use std::{sync::atomic::Ordering, time};

use common::until;
use platform_standin::{store::Fault, worker::Worker};
use site::{KEY, LIMIT, Site, config};

/// Guards against a break anywhere on the way from a caller to a worker and back.
#[test]
fn a_job_runs_and_every_node_says_so() {
    let site = Site::start("node-job", 2, 3, 300);
    assert_eq!(site.submit(0, 1, 3, true).unwrap().status, 200);
    // The same job again, at another node, remains one job.
    assert_eq!(site.submit(1, 1, 3, true).unwrap().status, 200);
    site.until_state(0, 1, "completed");
    assert_eq!(site.state(1, 1), "completed");
    assert_eq!(site.check_runs().values().copied().collect::<Vec<_>>(), [3]);
    assert_eq!(site.get(1, &format!("/q/{:016x}", 2)).unwrap().status, 410);
}

/// Guards against bad input that is taken, lost or answered with something else than the interface
/// states.
#[test]
fn bad_input_gets_the_stated_answer() {
    let site = Site::start("node-input", 1, 1, 100);
    let id = format!("/q/{:016x}", 7);
    let cases: [(&str, &str, &str, &str, u16); 9] = [
        ("POST", "/q/zz", KEY, "{}", 400),
        ("POST", &id, KEY, "not json", 400),
        ("POST", &id, KEY, r#"{"spec":"x","steps":[]}"#, 400),
        (
            "POST",
            &id,
            KEY,
            r#"{"spec":"x","steps":[{"count":4000000000}]}"#,
            400,
        ),
        (
            "POST",
            &id,
            KEY,
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
        ("GET", "/elsewhere/", KEY, "", 404),
        ("GET", &id, KEY, "", 410),
        ("DELETE", &id, KEY, "", 410),
    ];
    for (method, path, key, body, status) in cases {
        let answer = site.call(0, method, path, key, body);
        assert_eq!(
            answer.map(|a| a.status),
            Some(status),
            "{method} {path} {body}"
        );
    }
    let large = "x".repeat(30_000);
    assert_eq!(site.call(0, "POST", &id, KEY, &large).unwrap().status, 413);
    assert!(site.check_runs().is_empty());
}

/// Guards against a job that runs on after its cancellation, and one that is lost by it.
#[test]
fn a_cancelled_job_is_stopped() {
    let site = Site::start("node-cancel", 1, 2, 60_000);
    assert_eq!(site.submit(0, 1, 2, true).unwrap().status, 200);
    site.until_state(0, 1, "running");
    let path = format!("/q/{:016x}", 1);
    assert_eq!(site.call(0, "DELETE", &path, KEY, "").unwrap().status, 200);
    site.until_state(0, 1, "cancelled");
    until("all runs are stopped", LIMIT, || {
        let mut runs = site.workers.iter().flat_map(Worker::runs);
        runs.all(|r| r.ended.is_some()).then_some(())
    });
    assert_eq!(site.call(0, "DELETE", &path, KEY, "").unwrap().status, 200);
}

/// Guards against a removed key that is still taken, and a new one that is refused.
#[test]
fn a_change_of_keys_is_in_force_at_once() {
    let site = Site::start("node-keys", 2, 1, 100);
    site.store.put("op", "config", &config(2, &["key-two"]));
    // A submission checks the newest configuration in its own transaction.
    assert_eq!(site.submit(0, 1, 1, false).unwrap().status, 401);
    let bound = time::Duration::from_secs(2);
    for node in 0..2 {
        until("the new key is known", bound, || {
            let answer = site.call(node, "GET", "/q/", "key-two", "")?;
            (answer.status == 200).then_some(())
        });
        assert_eq!(site.get(node, "/q/").unwrap().status, 401);
    }
}

/// Guards against an entry that has lost the store and goes on with the keys that it knows.
#[test]
fn a_node_without_the_store_refuses_before_its_configuration_is_too_old() {
    let site = Site::start("node-age", 1, 1, 100);
    site.store.set_fault(Fault::Refuses);
    let start = time::Instant::now();
    let answer = site.submit(0, 1, 1, false).unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    // It is refused at once, not held until the caller gives up.
    assert!(start.elapsed() < time::Duration::from_secs(1));
    std::thread::sleep(time::Duration::from_secs(5));
    assert_eq!(site.get(0, "/q/").unwrap().status, 503);
    site.store.set_fault(Fault::None);
    until("it serves again", LIMIT, || {
        site.submit(0, 2, 1, false).filter(|a| a.status == 200)
    });
    site.until_state(0, 2, "completed");
    assert_eq!(site.check_runs().len(), 1, "the refused job never runs");
}

/// Guards against callers that are kept at a node which the store does not serve while others are
/// served: the balancer leaves it out, and its refusals say that the next try may come at once. If
/// the store serves nobody, all nodes stay and callers are told to wait.
#[test]
fn a_node_that_is_refused_alone_leaves_callers_to_others() {
    let site = Site::start("node-alone", 3, 1, 100);
    let is_ready =
        |i: usize| common::get(site.ready[i], "/-/readiness").is_some_and(|a| a.status == 200);
    // Nodes that start at the same time find each other within seconds.
    until(
        "the other nodes are known",
        time::Duration::from_secs(3),
        || {
            let dump = common::get(site.operators[0], "/dump")?;
            (dump.body["nodes_known"] == 2).then_some(())
        },
    );
    site.first_refused.store(true, Ordering::Relaxed);
    let retry_at_once = || {
        let answer = site.submit(0, 1, 1, false)?;
        assert_eq!(answer.status, 503, "{answer:?}");
        answer.head.contains("retry-after: 0\r\n").then_some(())
    };
    until("callers are sent elsewhere", LIMIT, retry_at_once);
    until("the node is left out", LIMIT, || {
        (!is_ready(0)).then_some(())
    });
    assert!(is_ready(1) && is_ready(2));
    assert_eq!(site.submit(1, 1, 1, false).unwrap().status, 200);

    site.store.set_fault(Fault::Refuses);
    until("all nodes stay", LIMIT, || {
        (is_ready(0) && is_ready(1) && is_ready(2)).then_some(())
    });
    for i in 0..3 {
        let answer = site.submit(i, 2, 1, false).unwrap();
        assert_eq!(answer.status, 503);
        assert!(
            answer.head.contains("retry-after: 1\r\n"),
            "{}",
            answer.head
        );
    }

    site.first_refused.store(false, Ordering::Relaxed);
    site.store.set_fault(Fault::None);
    until("the node serves again", LIMIT, || {
        site.submit(0, 3, 1, false).filter(|a| a.status == 200)
    });
    until("the node is in again", LIMIT, || is_ready(0).then_some(()));
}

/// Guards against a submission that is reported as refused although it was stored.
#[test]
fn a_lost_answer_of_the_store_is_settled() {
    let site = Site::start("node-lost", 1, 1, 100);
    site.store.set_fault(Fault::LosesAnswers);
    let answer = site.submit(0, 1, 1, false);
    let status = answer.map_or(0, |a| a.status);
    assert!(status != 429 && status != 503, "{status}");
    assert!(site.store.lost_answers() > 0);
    site.store.set_fault(Fault::None);
    assert_eq!(site.submit(0, 1, 1, false).unwrap().status, 200);
    site.until_state(0, 1, "completed");
    assert_eq!(site.check_runs().len(), 1);
}

/// Guards against lost or doubled work when the process that leads is killed, again and again.
#[test]
fn jobs_survive_the_leaders_that_run_them() {
    let mut site = Site::start("node-kill", 3, 3, 1_500);
    for round in 0..3_u64 {
        for job in 0..3 {
            let id = round * 10 + job;
            assert_eq!(site.submit(0, id, 2, job == 0).map(|a| a.status), Some(200));
        }
        let leader = site.leader();
        // The node that takes the submissions stays, so that each is answered.
        if leader != 0 {
            site.nodes[leader].kill();
            site.nodes[leader].restart();
        }
    }
    for round in 0..3_u64 {
        for job in 0..3 {
            site.until_state(0, round * 10 + job, "completed");
        }
    }
    assert_eq!(site.check_runs().len(), 9);
}

/// Guards against a planned stop that cuts requests or takes the leadership with it.
#[test]
fn a_planned_stop_hands_over_and_ends_with_0() {
    let mut site = Site::start("node-stop", 2, 2, 1_000);
    assert_eq!(site.submit(0, 1, 1, false).unwrap().status, 200);
    site.until_state(0, 1, "running");
    site.nodes[0].terminate();
    // It still serves while the balancer takes notice.
    assert_eq!(site.submit(0, 2, 1, false).unwrap().status, 200);
    assert_eq!(site.nodes[0].wait(), Some(0));
    site.until_state(1, 1, "completed");
    site.until_state(1, 2, "completed");
    assert_eq!(site.check_runs().len(), 2);
}
