//! Takeovers by real nodes: what a new leader reads before it decides.

mod cluster;
mod common;

use std::{
    thread,
    time::{Duration, Instant},
};

use cluster::{API_KEY, Cluster, TIMEOUT, config, proxy::Mode};
use common::wait_until;
use serde_json::json;

/// Time limit for changes of the list of nodes, which is read every 10 s; a leader changes it from the
/// second read on.
const LIST_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval in which a leader reads the whole table of jobs again.
const REREAD_INTERVAL: Duration = Duration::from_secs(21);
/// Time limit for a job that the feed misses: the interval, a feed, and a busy machine.
const MISSED_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against decisions by a restarted leader that has not read the configuration: it would
/// know neither the priorities of the queues nor which workers check their capacity.
#[test]
fn a_leader_without_the_configuration_starts_nothing() {
    let mut cluster = Cluster::start("takeover-config", 1, 1, 1_500);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "running");
    assert_eq!(cluster.submit(0, 2, 1, false).unwrap().status, 200);
    cluster.nodes[0].kill();
    cluster.store.delete("op", "config");
    cluster.nodes[0].restart();
    wait_until("the first job is done", TIMEOUT, || {
        let row = cluster.store.get("phases", &format!("{:016x}", 1))?;
        (row["phase"] == "completed").then_some(())
    });
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        assert_eq!(cluster.workers[0].runs().len(), 1, "nothing else starts");
        thread::sleep(Duration::from_millis(20));
    }
    cluster.store.put("op", "config", &config(2, &[API_KEY]));
    cluster.wait_for_state(0, 2, "completed");
}

/// Guards against a start that was stored and not carried out, and that the next leader repeats only
/// after the worker has delayed its first report.
#[test]
fn a_new_leader_repeats_lost_starts_at_once() {
    let mut cluster = Cluster::start_behind_proxies("takeover-starts", 2, 1, 500);
    cluster.worker_proxies[0].set(Mode::DropAll);
    let leader = cluster.leader();
    assert_eq!(cluster.submit(1 - leader, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1 - leader, 1, "running");
    cluster.nodes[leader].kill();
    cluster.worker_proxies[0].set(Mode::Forward);
    cluster.wait_for_state(1 - leader, 1, "completed");
    let worker = &cluster.workers[0];
    let runs = worker.runs();
    let delay = runs[0].started.duration_since(worker.led_since());
    assert!(delay < Duration::from_secs(1), "started after {delay:?}");
}

/// Guards against a leader that starts to read again from the first row whenever a read fails, and
/// so never has its state.
#[test]
fn a_leader_loads_its_state_although_reads_fail() {
    let mut cluster = Cluster::start("takeover-flaky", 2, 1, 500);
    let leader = cluster.leader();
    assert_eq!(cluster.submit(1 - leader, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1 - leader, 1, "completed");
    cluster.store.refuse_some_reads("jobs");
    cluster.nodes[leader].kill();
    assert_eq!(cluster.submit(1 - leader, 2, 1, false).unwrap().status, 200);
    cluster.wait_for_state(1 - leader, 2, "completed");
}

/// Guards against jobs that the feed misses, and against a search for them that fills the link of
/// the leader with a read of the whole table.
#[test]
fn a_job_that_the_feed_misses_is_found_without_a_burst_of_reads() {
    let cluster = Cluster::start("takeover-missed", 1, 1, 100);
    assert_eq!(cluster.submit(0, 1, 1, false).unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let loaded = Instant::now();
    cluster.store.hide_changes(".job");
    assert_eq!(cluster.submit(0, 2, 1, false).unwrap().status, 200);
    wait_until("the job is done", MISSED_TIMEOUT, || {
        (cluster.state(0, 2) == "completed").then_some(())
    });
    thread::sleep((loaded + REREAD_INTERVAL).saturating_duration_since(Instant::now()));
    let reads: Vec<Instant> = cluster.store.reads("jobs");
    let reads: Vec<Instant> = reads.into_iter().filter(|r| *r > loaded).collect();
    let in_a_second = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        reads.iter().filter(|r| (*start..end).contains(r)).count()
    };
    let most = reads.iter().map(in_a_second).max();
    assert!(most.is_some_and(|n| n <= 6), "{most:?} reads in a second");
}

/// Guards against a second run of a subtask that a cut-off worker still runs: the leader before may
/// have extended its lease until the takeover.
#[test]
fn a_new_leader_waits_for_the_leases_that_it_has_not_granted() {
    let mut cluster = Cluster::start_behind_proxies("takeover-leases", 2, 2, 60_000);
    let leader = cluster.leader();
    assert_eq!(cluster.submit(1 - leader, 1, 1, false).unwrap().status, 200);
    let runs = |cluster: &Cluster, i: usize| cluster.workers[i].runs().len();
    let used = wait_until("the job runs", TIMEOUT, || {
        (0..2).find(|i| runs(&cluster, *i) == 1)
    });
    let (id, _) = cluster.workers[used].entry("r1", "ready").unwrap();
    cluster.worker_proxies[used].set(Mode::DropAll);
    // Without an entry the new leader can't extend the lease itself, which would hide a start too early.
    cluster.workers[used].set_silent(true);
    thread::sleep(Duration::from_millis(50));
    cluster.store.delete("servers", &id);
    cluster.nodes[leader].kill();
    wait_until("the job runs elsewhere", TIMEOUT, || {
        (runs(&cluster, 1 - used) == 1).then_some(())
    });
    cluster.check_runs();
}

/// Guards against runs at the expense of jobs on a worker on which everything fails, because only the
/// leader before knew it.
#[test]
fn a_new_leader_reads_on_which_workers_runs_fail() {
    let mut cluster = Cluster::start("takeover-failing", 2, 1, 100);
    let (worker, _) = cluster.workers[0].entry("r1", "ready").unwrap();
    cluster
        .store
        .put("control", "workers", &json!([[worker, 4]]));
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    assert_eq!(cluster.submit(1 - leader, 1, 1, false).unwrap().status, 200);
    wait_until("a node leads", TIMEOUT, || {
        (cluster.leader() != leader).then_some(())
    });
    let led = Instant::now();
    cluster.wait_for_state(1 - leader, 1, "completed");
    let delay = cluster.workers[0].runs()[0].started - led;
    assert!(delay > Duration::from_secs(3), "after {delay:?}");
    let row = cluster.store.get("control", "workers");
    assert_eq!(row, Some(json!([])));
}

/// Guards against a new leader that forgets which workers are slow, and against one that a malformed row
/// keeps from leading or from learning anew.
#[test]
fn a_new_leader_reads_which_workers_are_slow() {
    let mut cluster = Cluster::start("takeover-forecast", 2, 1, 100);
    let (worker, _) = cluster.workers[0].entry("r1", "ready").unwrap();
    let row = json!({"w": [[worker, 89, 200]], "s": [["batch", 3]]});
    cluster.store.put("control", "forecast", &row);
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    let slowest = wait_until("the new leader knows the slow worker", TIMEOUT, || {
        let dump = common::get(cluster.operator_addrs[1 - leader], "/dump")?.body;
        let slowest = &dump["leading"]["slowest_workers"][0];
        slowest["worker"].is_string().then(|| slowest.clone())
    });
    assert_eq!(slowest["worker"], json!(worker));
    assert!(slowest["factor"].as_f64().unwrap() > 2.0, "{slowest}");
    cluster.nodes[leader].restart();
    let malformed = json!({"w": "none"});
    cluster.store.put("control", "forecast", &malformed);
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    let mut id = 0;
    wait_until("the forecast is stored again", LIST_TIMEOUT, || {
        id += 1;
        cluster.submit(1 - leader, id, 1, false);
        thread::sleep(Duration::from_millis(200));
        let row = cluster.store.get("control", "forecast")?;
        row["k"].is_array().then_some(())
    });
}

/// Guards against ranks and claims by the clock of the node that accepted a job.
#[test]
fn the_wait_of_a_job_does_not_depend_on_the_clock_of_its_entry() {
    let mut cluster = Cluster::start("takeover-clocks", 2, 1, 3_000);
    for id in 1..4 {
        assert_eq!(cluster.submit(0, id, 1, false).unwrap().status, 200);
    }
    // The clock of the entry of the second job is an hour behind, so that it seems too late.
    let key = format!("{:016x}.job", 2);
    let mut row = cluster.store.history("jobs", &key).remove(0);
    row["at"] = json!(row["at"].as_u64().unwrap() - 3_600_000);
    cluster.store.replace("jobs", &key, &row);
    let leader = cluster.leader();
    cluster.nodes[leader].kill();
    cluster.nodes[leader].restart();
    wait_until("three runs", TIMEOUT, || {
        (cluster.workers[0].runs().len() == 3).then_some(())
    });
    let runs = cluster.workers[0].runs();
    assert!(runs[1].task.starts_with(&format!("{:016x}", 2)), "{runs:?}");
}

/// Guards against a list of nodes that grows for ever, and against the removal of a node that runs.
#[test]
fn nodes_that_are_gone_leave_the_list() {
    let cluster = Cluster::start("takeover-nodes", 2, 0, 100);
    let row = |written_at: u64| json!({"address": "127.0.0.1:1", "written_at": written_at});
    let now = cluster.store.clock_ms();
    cluster.store.put("nodes", "gone", &row(now - 1_900_000));
    cluster.store.put("nodes", "quiet", &row(now - 1_700_000));
    // A node of the version before writes no time, and only at its start.
    let old = json!({"address": "127.0.0.1:1"});
    cluster.store.put("nodes", "old", &old);
    let follower = 1 - cluster.leader();
    cluster.store.delete("nodes", &format!("n{follower}"));
    let names = || -> Vec<String> {
        let keys = cluster.store.keys().into_iter();
        keys.filter(|(t, _)| t == "nodes").map(|(_, k)| k).collect()
    };
    wait_until("the node that is gone is removed", LIST_TIMEOUT, || {
        (names() == ["n0", "n1", "old", "quiet"]).then_some(())
    });
}
