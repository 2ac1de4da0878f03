//! Tests of nodes as real processes with jobs whose checkpoints are long.

mod cluster;
mod common;

use std::time::Duration;

use cluster::{Cluster, ROW_BYTES, TIMEOUT};
use common::wait_until;
use platform_standin::worker::{CHECKPOINTS, Run, Worker};
use serde_json::json;

/// Number of subtasks of a large job.
const SUBTASKS: usize = 400;
/// Length of checkpoints of which the subtasks of a large job have more than fits into a transaction.
const LONG: usize = 4_000;
/// Time limit for the end of a large job.
const LARGE_JOB_TIMEOUT: Duration = Duration::from_mins(1);

/// Time that a run takes whose checkpoint is reported while it goes on: longer than a report waits.
const RUN_MS: u64 = 2_500;
/// Number of subtasks that run at the same time on a worker.
const SHARE: usize = 32;

fn submit(cluster: &Cluster, id: u64, count: usize, bytes: usize) {
    let step = json!({"count": count, "cpu": 64_000 / SHARE, "mem-mb": 10, "gpu": 0, "estimated-ms": 1_000,
        "checkpointing": true});
    let text = format!("{CHECKPOINTS}{bytes}");
    let answer = cluster.submit_step(0, id, &text, &step).unwrap();
    assert_eq!(answer.status, 200);
}

fn runs(cluster: &Cluster, id: u64) -> Vec<Run> {
    let job = format!("{id:016x}.");
    let runs = cluster.workers.iter().flat_map(Worker::runs);
    runs.filter(|r| r.task.starts_with(&job)).collect()
}

fn wait_for_end(cluster: &Cluster, id: u64) {
    wait_until(&format!("job {id} ends"), LARGE_JOB_TIMEOUT, || {
        (cluster.state(0, id) == "completed").then_some(())
    });
}

/// Guards against a job whose progress exceeds a transaction, so that nothing is stored any more for
/// any job.
#[test]
fn a_job_with_long_checkpoints_stops_no_commit() {
    let cluster = Cluster::start("node-long-checkpoints", 2, 2, 1_500);
    submit(&cluster, 1, SUBTASKS, LONG);
    wait_until("its first subtask is done", TIMEOUT, || {
        runs(&cluster, 1)
            .iter()
            .any(|r| r.ended.is_some())
            .then_some(())
    });
    assert_eq!(cluster.submit(1, 2, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1, 2, "completed");
    wait_for_end(&cluster, 1);
    let refused = cluster.store.refused_for_good();
    assert!(refused.is_empty(), "{refused:?}");
    cluster.check_runs();
}

/// Returns the sum of a counter over all nodes.
fn counter(cluster: &Cluster, name: &str) -> u64 {
    let text = |addr| {
        let answer = common::http::send(addr, "GET", "/metrics", &[], "")?;
        answer.body.as_str().map(ToOwned::to_owned)
    };
    let texts = cluster.operator_addrs.iter().filter_map(|a| text(*a));
    let lines = texts.collect::<Vec<_>>().join("\n");
    let values = lines.lines().filter(|l| l.starts_with(name));
    let values = values.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}

/// Guards against saved work that is lost with the leader, because it does not fit into the progress.
#[test]
fn long_checkpoints_survive_the_loss_of_the_leader() {
    let mut cluster = Cluster::start("node-kept-checkpoints", 2, 2, 2_000);
    submit(&cluster, 1, 6 * SHARE, ROW_BYTES - 100);
    wait_until("checkpoints are stored", LARGE_JOB_TIMEOUT, || {
        (cluster.store.count("checkpoints") > 0).then_some(())
    });
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    for worker in &cluster.workers {
        worker.crash();
    }
    cluster.nodes[leader].restart();
    wait_for_end(&cluster, 1);
    let all = runs(&cluster, 1);
    let resumed: Vec<&Run> = all.iter().filter(|r| !r.checkpoint.is_empty()).collect();
    assert!(!resumed.is_empty());
    for run in resumed {
        let is_before = |r: &&Run| r.task == run.task && r.attempt < run.attempt;
        let mut before = all.iter().filter(is_before);
        assert!(before.any(|r| r.own_checkpoint() == run.checkpoint));
    }
    wait_until("their rows are deleted", TIMEOUT, || {
        (cluster.store.count("checkpoints") == 0).then_some(())
    });
    assert!(cluster.store.refused_for_good().is_empty());
}

/// Guards against a job that fails or waits because its checkpoints are longer than a row, and against
/// one that is left out although it fits.
#[test]
fn checkpoints_are_stored_up_to_the_length_of_a_row() {
    // The row is {"c":"..."}.
    let longest = ROW_BYTES - 8;
    for (bytes, is_stored) in [(longest, true), (longest + 1, false)] {
        let cluster = Cluster::start(&format!("node-checkpoint-{bytes}"), 1, 2, RUN_MS);
        submit(&cluster, 1, 6 * SHARE, bytes);
        let mut stored = 0;
        wait_until("the job ends", LARGE_JOB_TIMEOUT, || {
            stored = stored.max(cluster.store.count("checkpoints"));
            (cluster.state(0, 1) == "completed").then_some(())
        });
        assert_eq!(stored > 0, is_stored, "{stored} rows");
        let left_out = counter(&cluster, "node_unstored_total");
        assert_eq!(left_out > 0, !is_stored, "{left_out} left out");
        assert!(cluster.store.refused_for_good().is_empty());
    }
}

/// Guards against a row that the store rejects for good, and that holds up the commits of all jobs.
#[test]
fn a_rejected_row_holds_up_no_other_job() {
    let cluster = Cluster::start("node-rejected-row", 2, 2, 300);
    cluster.store.reject_key(&format!("{:016x}", 1));
    for id in 1..=6 {
        assert_eq!(cluster.submit(0, id, 1, false).unwrap().status, 200);
    }
    for id in 2..=6 {
        cluster.wait_for_state(1, id, "completed");
    }
    assert_eq!(cluster.state(0, 1), "queued");
    assert!(counter(&cluster, "node_unstored_total") > 0);
    cluster.store.reject_key("");
    cluster.wait_for_state(0, 1, "completed");
    let runs = cluster.check_runs();
    assert_eq!(runs[&format!("{:016x}", 1)], 1);
}
