//! Tests of nodes as real processes: cancellations of jobs that are not known yet.

mod cluster;
mod common;

use std::{thread, time::Duration};

use cluster::{API_KEY, Cluster, TIMEOUT, config};
use common::wait_until;
use platform_standin::{store::Fault, worker::Worker};
use serde_json::{Value, json};

/// Time that a run takes.
const RUN_MS: u64 = 300;
/// Delay of a write that the store carries out late, longer than a submission is repeated.
const WRITE_DELAY: Duration = Duration::from_secs(4);
/// Time in which an accepted job would have started.
const START_TIME: Duration = Duration::from_secs(2);
/// API key of a second organisation.
const OTHER_KEY: &str = "key-two";

fn path(id: u64) -> String {
    format!("/q/{id:016x}")
}

fn cancel(cluster: &Cluster, id: u64) -> u16 {
    let answer = cluster.call(1, "DELETE", &path(id), API_KEY, "");
    answer.expect("an answer to a cancellation").status
}

fn starts(cluster: &Cluster, id: u64) -> usize {
    let job = format!("{id:016x}");
    let runs = cluster.workers.iter().flat_map(Worker::runs);
    runs.filter(|r| r.task.starts_with(&job)).count()
}

/// Guards against a job that runs after its cancellation was answered, because the store carries out
/// its submission later.
#[test]
fn a_submission_that_is_stored_after_its_cancellation_does_not_run() {
    let cluster = Cluster::start("node-late-submission", 2, 1, RUN_MS);
    cluster.store.delay_writes(".job", WRITE_DELAY);
    let answer = cluster.submit(0, 1, 1, false).unwrap();
    assert_eq!(answer.status, 504);
    cluster.store.delay_writes(".job", Duration::ZERO);
    assert_eq!(cancel(&cluster, 1), 410);
    thread::sleep(WRITE_DELAY + START_TIME);
    assert_eq!(starts(&cluster, 1), 0);
    // Nor does the same submission when it arrives again.
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 410);
    assert_eq!(cluster.submit(0, 2, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 2, "completed");
    assert_eq!(starts(&cluster, 1), 0);
}

/// Guards against a job that runs after its cancellation, because the entry that stores it has an
/// earlier version and does not look for one.
#[test]
fn a_leader_cancels_a_job_that_is_stored_after_its_cancellation() {
    let mut cluster = Cluster::start("node-cancelled-first", 2, 1, RUN_MS);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let stored = cluster.store.history("jobs", &format!("{:016x}.job", 1));
    for (id, has_takeover) in [(2, false), (3, true)] {
        assert_eq!(cancel(&cluster, id), 410);
        // The leader has read the cancellation.
        thread::sleep(Duration::from_millis(500));
        if has_takeover {
            let leader = cluster.leader();
            cluster.nodes[leader].kill();
            cluster.nodes[leader].restart();
        }
        let mut late: Value = stored[0].clone();
        late["id"] = format!("{id:016x}").into();
        let (cancel_key, job_key) = (format!("{id:016x}.cancel"), format!("{id:016x}.job"));
        cluster
            .store
            .put_beside("jobs", &cancel_key, &job_key, &late);
        cluster.wait_for_state(1, id, "cancelled");
        thread::sleep(START_TIME);
        assert_eq!(starts(&cluster, id), 0, "job {id}");
    }
}

/// Guards against an organisation that keeps another one from using an id.
#[test]
fn a_cancellation_does_not_affect_other_organisations() {
    let cluster = Cluster::start("node-cancel-other", 2, 1, RUN_MS);
    let mut two = config(2, &[API_KEY]);
    let other = json!({"name": "two", "api-keys": [OTHER_KEY], "guaranteed": {"gpu": 0}});
    two["tenants"].as_array_mut().unwrap().push(other);
    cluster.store.put("op", "config", &two);
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": RUN_MS});
    let body = json!({"spec": "work", "steps": [step]}).to_string();
    let submit = |id| {
        let answer = cluster.call(0, "POST", &path(id), OTHER_KEY, &body)?;
        (answer.status != 401).then_some(answer.status)
    };
    assert_eq!(cancel(&cluster, 1), 410);
    let status = wait_until("the second key is in force", cluster::TIMEOUT, || submit(1));
    assert_eq!(status, 200);
    wait_until("the job completes", cluster::TIMEOUT, || {
        let answer = cluster.call(1, "GET", &path(1), OTHER_KEY, "")?;
        (answer.text("state") == "completed").then_some(())
    });
    assert_eq!(cancel(&cluster, 1), 410);
    assert_eq!(submit(2), Some(200));
}

/// Guards against a cancellation that is stored, and reported as not carried out because the job can't be
/// read again after the answer was lost.
#[test]
fn a_cancellation_whose_answer_was_lost_is_not_reported_as_refused() {
    let cluster = Cluster::start("cancel-lost", 2, 1, RUN_MS);
    assert_eq!(cluster.submit(1, 1, 1, false).unwrap().status, 200);
    let lost = cluster.store.lost_answers();
    cluster.store.set_fault(Fault::LosesAnswers);
    let store = cluster.store.clone();
    let row = format!("{:016x}.cancel", 1);
    let fault = thread::spawn(move || {
        wait_until("the cancellation is stored", TIMEOUT, || {
            let is_stored = store.keys().iter().any(|(_, key)| *key == row);
            (is_stored && store.lost_answers() > lost).then_some(())
        });
        store.refuse_range_reads("jobs");
        store.set_fault(Fault::None);
    });
    let status = cancel(&cluster, 1);
    fault.join().unwrap();
    assert_eq!(status, 504);
}
