//! Requests about jobs and the configuration, which the leading scheduler decides.

use std::net::SocketAddr;

use schema::{config::Config, job::Phase};
use serde_json::{Value, json};
use wire::message::{Effect, JobStatus, Reply, Request};

use crate::setup::{self, OPERATOR_TOKEN, ORG, Scheduler, TOKEN};

pub fn job_of(organisation: &str) -> Value {
    json!({ "schema": 2, "kind": "job", "spec": {
        "organisation": organisation, "team": "nightly", "name": "check-1", "kind": "orchard",
        "run_time_ms": 60_000, "stop": "checkpoint",
        "shape": { "members": 1, "accelerators": 1, "cores": 1, "memory_mb": 1,
            "adjacency": "rack" },
    } })
}

fn status() -> JobStatus {
    JobStatus {
        organisation: ORG.parse().unwrap(),
        name: "check-1".parse().unwrap(),
        phase: Phase::Waiting,
        attempt: 0,
        workers: Vec::new(),
        reason: String::new(),
    }
}

fn failed(code: &str, done: Effect) -> Reply {
    Reply::Failed {
        code: code.into(),
        message: "refused by the test".into(),
        done,
    }
}

/// Guards against changed job requests to the leader, and against lost replies.
#[test]
fn job_requests_are_forwarded_to_the_leader() {
    let replies = vec![
        Reply::Job { status: status() },
        Reply::Jobs {
            jobs: vec![status()],
        },
        Reply::Job { status: status() },
        Reply::Job { status: status() },
    ];
    let system = setup::system().replies(replies).start();
    let none = json!(null);
    let got = system.control("POST", "/jobs", TOKEN, &job_of(ORG));
    assert_eq!(
        (got.status, &*got.field("phase")),
        (202, "waiting"),
        "{got:?}"
    );
    let got = system.control("GET", "/jobs", TOKEN, &none);
    assert_eq!(got.json()["jobs"][0]["name"], "check-1");
    let path = format!("/jobs/{ORG}/check-1");
    assert_eq!(system.control("GET", &path, TOKEN, &none).status, 200);
    assert_eq!(system.control("DELETE", &path, TOKEN, &none).status, 200);
    let requests = system.scheduler.requests.lock().unwrap();
    let own = Some(ORG.parse().unwrap());
    assert!(matches!(&requests[0], Request::Submit { job } if job.name.as_str() == "check-1"));
    assert!(matches!(&requests[1], Request::Jobs { organisation, .. } if *organisation == own));
    assert!(matches!(&requests[3], Request::Cancel { .. }));
}

/// Guards against an organisation that can see or cancel the jobs of another one.
#[test]
fn an_organisation_can_access_only_its_own_jobs() {
    let system = setup::system().start();
    for method in ["GET", "DELETE"] {
        let got = system.control(method, "/jobs/lamp-loans/j", TOKEN, &json!(null));
        assert_eq!(got.refusal(), ("forbidden".into(), "not_run".into()));
    }
    assert!(system.scheduler.requests.lock().unwrap().is_empty());
}

/// Guards against a change that is sent without the operator's name or without its id.
#[test]
fn a_change_contains_the_operator_and_its_id() {
    let system = setup::system()
        .replies(vec![Reply::Applied { revision: 9 }])
        .start();
    let body = json!({ "records": [{ "a": 1 }, "text"], "expected_revision": 8, "change": 42 });
    let got = system.control("POST", "/config", OPERATOR_TOKEN, &body);
    assert_eq!(got.json(), json!({ "revision": 9, "change": 42 }));
    let expected = Request::Apply {
        change: 42,
        operator: "aigerim".parse().unwrap(),
        records: vec![r#"{"a":1}"#.into(), "text".into()],
        expected_revision: Some(8),
    };
    assert_eq!(system.scheduler.requests.lock().unwrap()[0], expected);
}

/// Guards against a read of the configuration that counts as an acknowledgement.
#[test]
fn the_configuration_is_shown_to_operators() {
    let config = Some(Config {
        revision: 4,
        ..Config::default()
    });
    let replies = vec![Reply::Current {
        revision: 4,
        config,
        listed: false,
    }];
    let system = setup::system().replies(replies).start();
    let got = system.control("GET", "/config", OPERATOR_TOKEN, &json!(null));
    assert_eq!(got.json()["revision"], 4);
    let requests = system.scheduler.requests.lock().unwrap();
    assert!(matches!(requests[0], Request::Current { member: 0, .. }));
}

/// Guards against refusals of the scheduler that lose their code or outcome.
#[test]
fn refusals_of_the_scheduler_keep_their_code_and_outcome() {
    let cases = [
        ("unknown_organisation", Effect::None, 404, "not_run"),
        ("revision_conflict", Effect::None, 409, "not_run"),
        ("over_quota", Effect::None, 429, "not_run"),
        ("too_large", Effect::None, 422, "not_run"),
        ("lost", Effect::Maybe, 504, "unknown"),
    ];
    let replies = cases
        .iter()
        .map(|(code, done, ..)| failed(code, *done))
        .collect();
    let system = setup::system().replies(replies).start();
    for (code, _, status, outcome) in cases {
        let got = system.control("POST", "/jobs", TOKEN, &job_of(ORG));
        assert_eq!(got.status, status, "{code}");
        assert_eq!(got.refusal(), (code.into(), outcome.into()));
    }
}

/// Guards against an entry that does not find the leader, or answers `unknown` when no scheduler
/// made a decision.
#[test]
fn the_leader_is_found_and_its_absence_reported() {
    let leader = Scheduler::start(vec![Reply::Job { status: status() }]);
    let hint = Reply::NotLeader {
        leader: Some(leader.addr),
    };
    let system = setup::system().replies(vec![hint]).start();
    assert_eq!(
        system.control("POST", "/jobs", TOKEN, &job_of(ORG)).status,
        202
    );
    let closed: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let unreachable_leader = Reply::NotLeader {
        leader: Some(closed),
    };
    let system = setup::system()
        .set("scheduler_timeout_ms", json!(300))
        .replies(vec![unreachable_leader])
        .start();
    let got = system.control("POST", "/jobs", TOKEN, &job_of(ORG));
    assert_eq!(
        (got.status, got.refusal()),
        (503, ("no_leader".into(), "not_run".into()))
    );
}

/// Guards against a refusal by a scheduler that was frozen and still believes that it leads, while
/// the current leader would accept the job.
#[test]
fn a_former_leader_does_not_refuse_for_the_current_one() {
    let former = Scheduler::start(vec![failed("unavailable", Effect::None)]);
    let current = Scheduler::start(vec![Reply::Job { status: status() }]);
    let both = json!([former.addr, current.addr]);
    let system = setup::system().set("schedulers", both).start();
    let got = system.control("POST", "/jobs", TOKEN, &job_of(ORG));
    assert_eq!(got.status, 202, "{got:?}");
    assert_eq!(former.requests.lock().unwrap().len(), 1);
    // If no other scheduler accepts the request, the refusal is returned immediately.
    let single = Scheduler::start(vec![failed("unavailable", Effect::None)]);
    let system = setup::system()
        .set("schedulers", json!([single.addr]))
        .start();
    let start = std::time::Instant::now();
    let got = system.control("POST", "/jobs", TOKEN, &job_of(ORG));
    assert_eq!((got.status, &*got.field("code")), (503, "unavailable"));
    assert!(start.elapsed().as_millis() < 500);
}
