//! Tests of how long the rows of a job are kept after its end.

mod cluster;
mod common;

use std::{thread, time};

use cluster::Cluster;
use common::wait_until;
use platform_standin::{store::Fault, worker::Worker};
use serde_json::json;

/// Time for which the phase of a job can be read after its end, in ms.
const KEEP_MS: u64 = 12_000;
/// Time limit for the removal of rows after that: the margin for late commits, a takeover and a few
/// rounds.
const REMOVAL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time by which a node's estimate of the store's clock is late at most, on a local connection, and
/// for which an attempt of a commit may be under way.
const MAX_CLOCK_LAG_MS: u64 = 100;
/// Time from the takeover of a leader of the version before to its first removals.
const OLD_ROUND: time::Duration = time::Duration::from_secs(5);
/// Time limit for the start of a job whose id was that of a removed one. A round of the retention
/// takes 5 s.
const REUSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

fn start(test: &str, nodes: usize, run_ms: u64, keep_ms: u64) -> Cluster {
    Cluster::start_with_settings(test, nodes, 2, run_ms, &json!({"keep_ms": keep_ms}))
}

/// Kills the leader and waits for the next one, which is asked through `node`.
fn replace_leader(cluster: &mut Cluster, node: usize) {
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    cluster.nodes[leader].restart();
    wait_until("the node answers", cluster::TIMEOUT, || {
        cluster.get(node, "/q/").filter(|a| a.status == 200)
    });
}

fn assert_kept(cluster: &Cluster, node: usize, id: u64, until: time::Instant) {
    while time::Instant::now() < until {
        let state = cluster.state(node, id);
        assert!(state == "completed" || state.is_empty(), "{state}");
        let status = cluster
            .get(node, &format!("/q/{id:016x}"))
            .map(|a| a.status);
        assert_ne!(status, Some(410), "the job is kept for {KEEP_MS} ms");
        thread::sleep(time::Duration::from_millis(200));
    }
}

fn wait_until_removed(cluster: &Cluster) {
    wait_until("all rows of jobs are removed", REMOVAL_TIMEOUT, || {
        let tables = ["jobs", "phases", "progress"];
        let rows: usize = tables.iter().map(|t| cluster.store.count(t)).sum();
        (rows == 0).then_some(())
    });
}

/// Guards against rows of cancelled ids that are kept for good, because no job was ever stored for them,
/// or that are removed while their submission may still be applied.
#[test]
fn a_cancellation_without_a_job_is_kept_for_the_retention_time() {
    let mut cluster = start("node-keep-cancel", 2, 300, KEEP_MS);
    for id in [1, 2] {
        let path = format!("/q/{id:016x}");
        let answer = cluster.call(0, "DELETE", &path, cluster::API_KEY, "");
        assert_eq!(answer.unwrap().status, 410);
        if id == 1 {
            replace_leader(&mut cluster, 0);
        }
    }
    let until = time::Instant::now() + time::Duration::from_millis(KEEP_MS / 2);
    while time::Instant::now() < until {
        assert_eq!(cluster.store.count("jobs"), 2);
        thread::sleep(time::Duration::from_millis(200));
    }
    wait_until_removed(&cluster);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
}

/// Guards against a new leader that counts the retention time of an ended job from its acceptance.
#[test]
fn an_ended_job_is_kept_for_its_retention_time_across_leaders() {
    let mut cluster = start("retention-takeover", 2, KEEP_MS * 3 / 4, KEEP_MS);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let until = time::Instant::now() + time::Duration::from_millis(KEEP_MS);
    replace_leader(&mut cluster, 0);
    assert_kept(&cluster, 0, 1, until);
    wait_until_removed(&cluster);
}

/// Guards against rows without the time of the end, as earlier versions wrote them, that are removed
/// by the age of the job, and against rows that each new leader keeps for another retention time.
#[test]
fn an_ended_job_without_a_stored_end_is_kept_once_for_its_retention_time() {
    let mut cluster = start("retention-old-rows", 2, 100, KEEP_MS);
    // An earlier version deleted the progress of an ended job. The part of the job's row is a hash of
    // its id, which a job that was submitted before has shown.
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let key = format!("{:016x}", 1);
    cluster.store.delete("progress", &key);
    thread::sleep(time::Duration::from_millis(KEEP_MS * 3 / 4));
    replace_leader(&mut cluster, 0);
    let replaced = time::Instant::now();
    assert_kept(
        &cluster,
        0,
        1,
        replaced + time::Duration::from_millis(KEEP_MS),
    );
    replace_leader(&mut cluster, 0);
    wait_until_removed(&cluster);
}

/// Guards against ends that have no time when a leader of the version before takes over again in a
/// rolling restart, and that it removes by the age of the jobs in its first round.
#[test]
fn ends_without_a_time_get_one_soon_after_a_takeover() {
    let jobs = 150;
    let mut cluster = start("retention-unknown", 2, 1, KEEP_MS);
    let step = json!({"count": 1, "cpu": 100});
    for id in 0..jobs {
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
    }
    for id in 0..jobs {
        cluster.wait_for_state(0, id, "completed");
    }
    for id in 0..jobs {
        cluster.store.delete("progress", &format!("{id:016x}"));
    }
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    wait_until("the other node leads", cluster::TIMEOUT, || {
        (cluster.leader() != leader).then_some(())
    });
    wait_until("all ends have a time", OLD_ROUND, || {
        (cluster.store.count("progress") == jobs as usize).then_some(())
    });
}

/// Guards against jobs that end faster than their rows are removed.
#[test]
fn rows_of_ended_jobs_are_removed_as_fast_as_jobs_end() {
    let cluster = start("retention-rate", 1, 1, 1_000);
    for id in 0..150 {
        assert_eq!(cluster.submit(0, id, 1, false).unwrap().status, 200);
    }
    for id in 0..150 {
        wait_until("the job is completed", cluster::TIMEOUT, || {
            let status = cluster.get(0, &format!("/q/{id:016x}"))?.status;
            (status == 410 || cluster.state(0, id) == "completed").then_some(())
        });
    }
    wait_until_removed(&cluster);
}

/// Guards against a job that is accepted and never runs because an earlier one had the same id.
#[test]
fn an_id_can_be_used_again_after_the_removal_of_its_job() {
    let cluster = start("retention-reuse", 1, 100, 1_000);
    for _ in 0..2 {
        assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
        cluster.wait_for_state(0, 1, "completed");
        wait_until_removed(&cluster);
    }
}

/// Guards against rows that stay for ever because a leader ended between the two transactions that
/// remove a job.
#[test]
fn rows_of_a_partly_removed_job_are_removed_by_the_next_leader() {
    let mut cluster = start("retention-orphans", 2, 100, 1_000);
    let phase = json!({"phase": "completed", "organisation": "org"});
    cluster.store.put("phases", &format!("{:016x}", 1), &phase);
    let progress = json!({"phase": "completed", "queue": "q", "at": 1, "ended_at": 1});
    for id in 1..3 {
        let key = format!("{id:016x}");
        cluster.store.put("progress", &key, &progress);
    }
    replace_leader(&mut cluster, 0);
    wait_until_removed(&cluster);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
}

/// Guards against a deletion that is sent again after its answer was lost, and hits a later job, and
/// against a later job that waits for the next read of the whole table.
#[test]
fn a_repeated_removal_spares_later_jobs_with_the_same_ids() {
    // The removals come 25 and 30 s after the start, and the whole table is read after 20 and 40 s.
    let cluster = start("retention-repeated", 1, 1, 10_000);
    let jobs = 40;
    let step = json!({"count": 1, "cpu": 100});
    let submit = |id| cluster.submit_step(0, id, "work", &step).unwrap().status;
    for id in 0..jobs {
        assert_eq!(submit(id), 200);
    }
    let is_job = |(table, _): &(String, String)| table == "jobs";
    let left = || cluster.store.keys().into_iter().filter(is_job);
    // The answers are lost from the second deletion on.
    let deadline = time::Instant::now() + REMOVAL_TIMEOUT;
    while left().count() == jobs as usize {
        assert!(time::Instant::now() < deadline, "no job is removed");
        thread::yield_now();
    }
    cluster.store.set_fault(Fault::LosesAnswers);
    thread::sleep(time::Duration::from_millis(300));
    let left: Vec<String> = left().map(|(_, key)| key).collect();
    let is_left = |id: &u64| left.contains(&format!("{id:016x}.job"));
    let again: Vec<u64> = (0..jobs).filter(|id| !is_left(id)).collect();
    cluster.store.set_fault(Fault::None);
    for id in &again {
        assert_eq!(submit(*id), 200);
    }
    wait_until("the later jobs have run", REUSE_TIMEOUT, || {
        let runs: usize = cluster.workers.iter().map(|w| w.runs().len()).sum();
        (runs == jobs as usize + again.len()).then_some(())
    });
}

/// Guards against rows of a partly removed job that are taken for those of a later job with its id.
#[test]
fn a_job_does_not_inherit_the_end_of_a_removed_one() {
    let mut cluster = start("retention-inherited", 2, 100, 1_000);
    let phase = json!({"phase": "completed", "organisation": "org"});
    let progress = json!({"phase": "completed", "queue": "q", "at": 1, "ended_at": 1});
    let key = format!("{:016x}", 1);
    cluster.store.put("phases", &key, &phase);
    cluster.store.put("progress", &key, &progress);
    // No worker has the label, so that the job waits for one.
    let step = json!({"count": 1, "cpu": 1_000, "requirements": "other"});
    let answer = cluster.submit_step(0, 1, "work", &step).unwrap();
    assert_eq!(answer.status, 200);
    replace_leader(&mut cluster, 0);
    cluster.wait_for_state(0, 1, "queued");
    let until = time::Instant::now() + REMOVAL_TIMEOUT / 2;
    while time::Instant::now() < until {
        let state = cluster.state(0, 1);
        assert!(state == "queued" || state.is_empty(), "{state}");
        thread::sleep(time::Duration::from_millis(200));
    }
}

/// Lets a job end in an outage of the store, at the end of which its end is stored. Returns the time
/// at which the outage ended, by the store's clock and by the wall clock.
fn end_in_outage(cluster: &Cluster) -> (u64, u64) {
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    wait_until("the job runs", cluster::TIMEOUT, || {
        let is_running = |w: &Worker| !w.runs().is_empty();
        cluster.workers.iter().any(is_running).then_some(())
    });
    // The leader learns of the end before its lease lapses, and stores it after the outage.
    thread::sleep(time::Duration::from_millis(1_700));
    cluster.store.set_fault(Fault::Refuses);
    thread::sleep(time::Duration::from_secs(7));
    let until = (cluster.store.clock_ms(), base::clock::wall().0);
    cluster.store.set_fault(Fault::None);
    cluster.wait_for_state(0, 1, "completed");
    until
}

/// Guards against ends that count as lost in the log because an outage of the store delays them.
#[test]
fn an_end_that_is_not_stored_yet_is_not_logged_as_unknown() {
    let cluster = start("retention-outage", 1, 2_000, KEEP_MS);
    end_in_outage(&cluster);
    let log = wait_until("the leader acts again", cluster::TIMEOUT, || {
        let log = cluster.nodes[0].log();
        log.contains("leader: valid lease again").then_some(log)
    });
    assert!(!log.contains("the time of an end is not known"), "{log}");
}

/// Guards against a retention time that counts from before the end could be seen: a leader that is
/// killed after the commit of the end leaves no other time.
#[test]
fn an_end_that_waited_for_an_outage_counts_from_its_commit() {
    let cluster = start("retention-late-commit", 1, 2_000, KEEP_MS);
    let (until, wall_until) = end_in_outage(&cluster);
    let rows = cluster.store.history("progress", &format!("{:016x}", 1));
    let end = rows.iter().find(|r| r["phase"] == "completed").unwrap();
    assert!(
        end["ended_at"].as_u64().unwrap() + MAX_CLOCK_LAG_MS >= until,
        "{end}"
    );
    // A leader of the version before counts from this time.
    assert!(
        end["at"].as_u64().unwrap() + MAX_CLOCK_LAG_MS >= wall_until,
        "{end}"
    );
}

/// Guards against "there is no such job" for an accepted job whose rows can't be read, as those of a
/// later version.
#[test]
fn a_job_whose_rows_cannot_be_read_is_neither_gone_nor_queued() {
    let cluster = start("retention-unreadable", 1, 100, KEEP_MS);
    let path = format!("/q/{:016x}", 1);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let status = |method| {
        let answer = cluster.call(0, method, &path, cluster::API_KEY, "");
        answer.unwrap().status
    };
    let unreadable = json!({"phase": "of a later version"});
    cluster
        .store
        .replace("phases", &format!("{:016x}", 1), &unreadable);
    assert_eq!(status("GET"), 503);
    cluster.store.delete("phases", &format!("{:016x}", 1));
    cluster
        .store
        .replace("jobs", &format!("{:016x}.job", 1), &unreadable);
    assert_eq!(status("GET"), 503);
    assert_eq!(status("DELETE"), 503);
}

/// Guards against the phase of a removed job that is shown for an accepted one with its id, while no
/// leader has deleted the row.
#[test]
fn the_phase_of_a_removed_job_is_not_shown_for_a_later_one() {
    let mut cluster = start("retention-phase", 2, 100, KEEP_MS);
    let phase = json!({"phase": "completed", "organisation": "org", "ended_at": 1});
    cluster.store.put("phases", &format!("{:016x}", 1), &phase);
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    let node = 1 - leader;
    assert_eq!(cluster.state(node, 1), "completed", "it is not removed");
    assert_eq!(cluster.submit(node, 1, 1, false).unwrap().status, 200);
    assert_eq!(cluster.state(node, 1), "queued");
    cluster.wait_for_state(node, 1, "completed");
}
