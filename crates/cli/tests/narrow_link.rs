//! Tests of a node as a real process whose link is narrow, and of what it repeats there.

mod cluster;
mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

use cluster::{API_KEY, Cluster, Peer, TIMEOUT, proxy::Link};
use common::wait_until;
use platform_standin::worker::{GANG, Run, Worker};
use serde_json::json;

/// Time that a stop may take on some sites (`stop-timeout-ms`).
const STOP_TIME: Duration = Duration::from_millis(900);
/// Number of workers that share a link.
const WORKERS: usize = 48;
/// Number of accelerators of these workers.
const ACCELERATORS: usize = 8 * WORKERS;
/// Bandwidth of a link until it becomes narrow, in bytes a second.
const WIDE: u64 = 10 << 20;
/// Bandwidth on which the calls for the load, each sent once, take 11 s.
const NARROW: u64 = 150_000;
/// Time from the end of the load until jobs are judged (`finish_s`).
const FINISH_TIME: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running after that (rule LOST).
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Number of jobs of the load; two of three are gangs.
const JOBS: u64 = 18;
/// Number of subtasks of a gang and of another job, with one accelerator each.
const GANG_SIZE: usize = 24;
const STEP_SIZE: usize = 10;
/// Time that a run of the load takes.
const RUN_TIME: Duration = Duration::from_secs(3);

fn cancel(cluster: &Cluster, id: u64) {
    let path = format!("/q/{id:016x}");
    let answer = cluster.call(0, "DELETE", &path, API_KEY, "").unwrap();
    assert_eq!(answer.status, 200);
}

/// Guards against a leader that fills its link with stops, each sent again at the next report.
#[test]
fn a_worker_does_not_get_a_stop_again_that_it_has_answered() {
    let cluster = Cluster::start("node-stops", 1, 1, 20_000);
    let worker = &cluster.workers[0];
    worker.set_stop_time(STOP_TIME);
    let step = json!({"count": 1, "cpu": 1_000, "mem-mb": 100, "gpu": 1, "estimated-ms": 20_000});
    for id in 1..=8 {
        let answer = cluster.submit_step(0, id, "work", &step).unwrap();
        assert_eq!(answer.status, 200);
    }
    let open_runs = || worker.runs().iter().filter(|r| r.ended.is_none()).count();
    wait_until("all subtasks run", TIMEOUT, || {
        (open_runs() == 8).then_some(())
    });
    // The end of each run brings a report that lists those whose stops are under way.
    for id in 1..=8 {
        cancel(&cluster, id);
        thread::sleep(Duration::from_millis(110));
    }
    wait_until("all runs are stopped", TIMEOUT, || {
        (open_runs() == 0).then_some(())
    });
    let stops = worker.stops();
    let repeats: Vec<_> = stops
        .iter()
        .enumerate()
        .filter(|(i, stop)| {
            stops[..*i]
                .iter()
                .any(|s| s.task == stop.task && stop.at - s.at < STOP_TIME)
        })
        .map(|(_, stop)| stop)
        .collect();
    assert!(
        repeats.is_empty(),
        "{} of {} stops: {repeats:?}",
        repeats.len(),
        stops.len()
    );
}

/// Guards against starts that are given up while their answers wait in the queue of the link.
#[test]
fn a_start_whose_answer_is_late_is_neither_stopped_nor_placed_again() {
    let link = Link::new(WIDE);
    let peers = [Peer::Worker];
    let cluster = Cluster::start_on_link("node-late-answers", WORKERS, 4_000, &link, &peers);
    // A start takes 2.4 KB and its answer 0.1 KB, so that one to each worker takes 1.8 s.
    link.set_bandwidth(64 << 10);
    let text = "x".repeat(2_000);
    let answer = cluster.submit_text(0, 1, &text, WORKERS as u64, false);
    assert_eq!(answer.unwrap().status, 200);
    cluster.wait_for_state(0, 1, "completed");
    let starts: usize = cluster.workers.iter().map(|w| w.runs().len()).sum();
    let stops: usize = cluster.workers.iter().map(|w| w.stops().len()).sum();
    assert_eq!((starts, stops), (WORKERS, 0), "runs and stops");
}

fn is_gang(id: u64) -> bool {
    !id.is_multiple_of(3)
}

fn is_cancelled(id: u64) -> bool {
    id.is_multiple_of(4)
}

/// Submits a job at once, as all callers do, and may cancel it soon after.
fn play_caller(cluster: &Cluster, id: u64) {
    let text = "x".repeat(2_000);
    let (text, count) = if is_gang(id) {
        (format!("{GANG}{GANG_SIZE} {text}"), GANG_SIZE)
    } else {
        (text, STEP_SIZE)
    };
    let step = json!({"count": count, "cpu": 1_000, "mem-mb": 100, "gpu": 1,
        "estimated-ms": RUN_TIME.as_millis() as u64, "gang": is_gang(id)});
    wait_until("the job is accepted", TIMEOUT, || {
        let answer = cluster.submit_step(0, id, &text, &step);
        answer.filter(|a| a.status == 200)
    });
    if !is_cancelled(id) {
        return;
    }
    thread::sleep(Duration::from_millis(600));
    let path = format!("/q/{id:016x}");
    cluster.call(0, "DELETE", &path, API_KEY, "");
}

fn is_of_job(id: u64, run: &Run) -> bool {
    run.task.starts_with(&format!("{id:016x}."))
}

/// Returns whether workers have done a job; one member that is done stands for its gang.
fn is_done(id: u64, runs: &[Run]) -> bool {
    let is_done = |r: &&Run| !r.lapsed && r.ended.is_some_and(|(_, how)| how == "done");
    let of_job = runs.iter().filter(|r| is_of_job(id, r));
    let done: BTreeSet<&str> = of_job.filter(is_done).map(|r| r.task.as_str()).collect();
    let needed = if is_gang(id) { 1 } else { STEP_SIZE };
    done.len() >= needed
}

fn is_running(id: u64, runs: &[Run]) -> bool {
    runs.iter().any(|r| is_of_job(id, r) && r.ended.is_none())
}

/// Guards against accepted work that stands still while repeated orders fill the leader's link.
#[test]
fn accepted_jobs_do_not_stand_still_after_a_load_on_a_narrow_link() {
    let link = Link::new(WIDE);
    let peers = [Peer::Store, Peer::Worker];
    let run_ms = RUN_TIME.as_millis() as u64;
    let cluster = Cluster::start_on_link("node-narrow-link", WORKERS, run_ms, &link, &peers);
    for worker in &cluster.workers {
        worker.set_stop_time(STOP_TIME);
    }
    link.set_bandwidth(NARROW);
    thread::scope(|scope| {
        for id in 1..=JOBS {
            let cluster = &cluster;
            scope.spawn(move || play_caller(cluster, id));
        }
    });
    let expected = (1..=JOBS).filter(|id| !is_cancelled(*id));
    let mut open: BTreeSet<u64> = expected.clone().collect();
    let load_end = Instant::now();
    // All jobs fit on the workers at once, so each runs to its end once it runs.
    let deadline = load_end + FINISH_TIME + MAX_IDLE + RUN_TIME;
    let mut busy_at: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut idle: BTreeSet<u64> = BTreeSet::new();
    while !open.is_empty() && Instant::now() < deadline {
        let runs: Vec<Run> = cluster.workers.iter().flat_map(Worker::runs).collect();
        open.retain(|id| !is_done(*id, &runs));
        let used = runs.iter().filter(|r| r.ended.is_none()).count();
        let now = Instant::now();
        for id in &open {
            let since = *busy_at.entry(*id).or_insert(load_end + FINISH_TIME);
            if is_running(*id, &runs) || used >= ACCELERATORS / 2 {
                busy_at.insert(*id, now.max(since));
            } else if now.saturating_duration_since(since) > MAX_IDLE {
                idle.insert(*id);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let runs = cluster.workers.iter().flat_map(Worker::runs);
    let alone = runs
        .filter(|r| r.ended.is_some_and(|(_, how)| how == "alone"))
        .filter(|r| expected.clone().any(|id| is_of_job(id, r)));
    assert_eq!(
        (open, idle, alone.count()),
        (BTreeSet::new(), BTreeSet::new(), 0),
        "jobs that are not done, jobs that stood still, and runs that waited for their gang in vain"
    );
    for id in expected {
        cluster.wait_for_state(0, id, "completed");
    }
    cluster.check_runs();
}
