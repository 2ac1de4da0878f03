//! Tests of nodes as real processes: workers that crash or lose capacity, and records that can't be
//! read.

mod cluster;
mod common;

use std::{thread, time};

use cluster::{API_KEY, Cluster, TIMEOUT, config, proxy::Mode};
use common::wait_until;
use platform_standin::{
    store::Fault,
    worker::{DEADLY, Reborn, Worker},
};
use serde_json::json;

/// Time limit for giving up a deadly subtask: three crashes, each with a start that waits for the
/// worker's lease (6.3 s).
const GIVE_UP_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time in which a worker restarts and is listed, below its lease.
const RESTART_TIME: time::Duration = time::Duration::from_secs(2);
/// Maximum number of workers that a deadly subtask may crash.
const MAX_CRASHES: u64 = 5;

fn crashes(cluster: &Cluster) -> u64 {
    cluster.workers.iter().map(Worker::crashes).sum()
}

/// Guards against a subtask that crashes worker after worker for ever, and against neighbours that
/// are given up with it.
#[test]
fn a_subtask_that_crashes_its_workers_is_given_up() {
    for (name, reborn) in [("other", Reborn::OtherId), ("same", Reborn::SameId)] {
        play_deadly_job(&format!("node-deadly-{name}"), reborn);
    }
}

fn play_deadly_job(test: &str, reborn: Reborn) {
    let cluster = Cluster::start_reborn(test, 2, 4, 1_000, reborn);
    let step = json!({"count": 8, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1_000});
    for id in 10..13 {
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
    }
    let one = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 1_000});
    let answer = cluster.submit_step(0, 1, DEADLY, &one).unwrap();
    assert_eq!(answer.status, 200);
    wait_until("the deadly job fails", GIVE_UP_TIMEOUT, || {
        (cluster.state(0, 1) == "failed").then_some(())
    });
    let lost = crashes(&cluster);
    assert!((2..=MAX_CRASHES).contains(&lost), "{lost} crashes");
    for id in 10..13 {
        cluster.wait_for_state(0, id, "completed");
    }
    // It is not started again.
    thread::sleep(time::Duration::from_secs(1));
    assert_eq!(crashes(&cluster), lost);
    cluster.check_runs();
}

/// Guards against a job that is shown as failed although none of its starts reached a worker: two of
/// them met workers that were cut off and crashed behind the cut.
#[test]
fn a_job_whose_starts_meet_cut_off_workers_is_not_given_up() {
    let run = 500;
    let cluster = Cluster::start_reborn_behind_proxies("node-cuts", 1, 4, run, Reborn::SameId);
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": run});
    // Of equally empty workers the first gets a new subtask. One whose worker has ended is started on
    // the last.
    let (first, last) = (0, 3);
    cluster.worker_proxies[first].set(Mode::Close);
    assert_eq!(
        cluster.submit_step(0, 1, "work", &step).unwrap().status,
        200
    );
    thread::sleep(time::Duration::from_secs(1));
    cluster.worker_proxies[last].set(Mode::Close);
    for (i, cut_time) in [(first, 500), (last, 2_500)] {
        thread::sleep(time::Duration::from_millis(cut_time));
        cluster.workers[i].crash();
        thread::sleep(time::Duration::from_secs(1));
        cluster.worker_proxies[i].set(Mode::Forward);
    }
    wait_until("the job ends", TIMEOUT, || {
        let state = cluster.state(0, 1);
        ["completed", "failed"]
            .contains(&state.as_str())
            .then_some(())
    });
    assert_eq!(cluster.state(0, 1), "completed");
    cluster.check_runs();
}

/// Guards against ends in the next life of a worker that are acknowledged, and so forgotten, before
/// they are read.
#[test]
fn an_acknowledgement_is_not_repeated_to_the_next_life_of_a_worker() {
    let run = 1_500;
    let cluster = Cluster::start_reborn_behind_proxies("node-acks", 1, 1, run, Reborn::SameId);
    let worker = &cluster.workers[0];
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": run});
    let submit = |id| cluster.submit_step(0, id, "work", &step).unwrap().status;
    assert_eq!(submit(1), 200);
    thread::sleep(time::Duration::from_millis(run / 2));
    assert_eq!(submit(2), 200);
    wait_until("the first end is acknowledged", TIMEOUT, || {
        (!worker.acks().is_empty()).then_some(())
    });
    // The VM list names the next life before a report does.
    cluster.worker_proxies[0].set(Mode::Close);
    worker.crash();
    thread::sleep(RESTART_TIME);
    cluster.worker_proxies[0].set(Mode::Forward);
    wait_until("the second job runs again", TIMEOUT, || {
        (worker.runs().len() > 2).then_some(())
    });
    assert_eq!(worker.acks(), [1]);
    cluster.wait_for_state(0, 2, "completed");
    cluster.check_runs();
}

/// Guards against ends in the next life of a worker that are forgotten unread, because a renewal whose
/// connection closed in the crash is sent again with the acknowledgement for the life before.
#[test]
fn an_acknowledgement_without_an_answer_is_not_repeated() {
    let run = 1_500;
    for id in [1, 11, 21] {
        let test = format!("node-repeated-ack-{id}");
        let cluster = Cluster::start_reborn(&test, 1, 1, run, Reborn::SameId);
        let worker = &cluster.workers[0];
        let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": run});
        let submit = |id| cluster.submit_step(0, id, "work", &step).unwrap().status;
        worker.crash_on_ack();
        assert_eq!(submit(id), 200);
        thread::sleep(time::Duration::from_millis(run / 2));
        assert_eq!(submit(id + 1), 200);
        for id in [id, id + 1] {
            cluster.wait_for_state(0, id, "completed");
        }
        assert_eq!(worker.crashes(), 1);
        assert_eq!(worker.unknown_acks(), 0);
        wait_until(
            "the ends of the next life are acknowledged",
            TIMEOUT,
            || (worker.acks().len() > 1).then_some(()),
        );
        cluster.check_runs();
    }
}

/// Guards against starts on workers that have less capacity than before, also while the store that
/// would tell so is out.
#[test]
fn workers_that_shrink_are_not_overloaded() {
    let cluster = Cluster::start("node-shrink", 2, 3, 300);
    let mut unchecked = config(2, &[API_KEY]);
    unchecked["services"][0]["admission-check"] = json!(false);
    cluster.store.put("op", "config", &unchecked);
    let step = json!({"count": 12, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 300});
    let mut accepted = Vec::new();
    let start = time::Instant::now();
    for id in 1_u64.. {
        let ms = start.elapsed().as_millis();
        if ms > 12_000 {
            break;
        }
        cluster.workers[0].resize(if ms < 1_000 { 8 } else { 1 });
        cluster.workers[1].resize(if (3_000..8_000).contains(&ms) { 2 } else { 8 });
        let is_out = (2_500..6_500).contains(&ms);
        let fault = if is_out { Fault::Refuses } else { Fault::None };
        cluster.store.set_fault(fault);
        let answer = cluster.submit_step(0, id, "work", &step);
        if answer.is_some_and(|a| a.status == 200) {
            accepted.push(id);
        }
        thread::sleep(time::Duration::from_millis(150));
    }
    for id in &accepted {
        cluster.wait_for_state(0, *id, "completed");
    }
    assert!(accepted.len() > 20, "{} jobs", accepted.len());
    let overloads: Vec<usize> = cluster.workers.iter().map(Worker::overloads).collect();
    assert_eq!(overloads, [0, 0, 0]);
    wait_until("the shrunk worker is in use", TIMEOUT, || {
        (!cluster.workers[0].runs().is_empty()).then_some(())
    });
    cluster.check_runs();
}

/// Guards against a record that stops each leader that loads it, and against work that runs again
/// because the record of its progress can't be read.
#[test]
fn a_malformed_record_stops_only_its_own_job() {
    let mut cluster = Cluster::start("node-record-fault", 2, 2, 3_000);
    let step = json!({"count": 2, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 3_000});
    for id in 1..=3 {
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
        cluster.wait_for_state(0, id, "running");
        // The state is stored before the starts are sent.
        let job = format!("{id:016x}");
        wait_until("both subtasks run", TIMEOUT, || {
            let runs = cluster.workers.iter().flat_map(Worker::runs);
            let started = runs.filter(|r| r.task.starts_with(&job)).count();
            (started == 2).then_some(())
        });
    }
    for node in &mut cluster.nodes {
        node.kill();
    }
    let misfit = json!({"phase": "running", "occurrences": [{"steps": []}]});
    for (id, record) in [(1, json!("not a record")), (2, misfit)] {
        cluster
            .store
            .put("progress", &format!("{id:016x}"), &record);
    }
    for node in &mut cluster.nodes {
        node.restart();
    }
    cluster.wait_for_state(0, 3, "completed");
    assert_eq!(cluster.submit(1, 4, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1, 4, "completed");
    let runs = cluster.check_runs();
    for id in 1..=2 {
        assert_eq!(
            runs[&format!("{id:016x}")],
            2,
            "each subtask of job {id} ran once"
        );
        assert_eq!(cluster.state(0, id), "running");
    }
}
