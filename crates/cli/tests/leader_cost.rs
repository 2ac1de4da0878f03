//! Processor time of a leader with the workers and jobs of the largest site.
//!
//! Besides: `perf record -e cpu-clock -g -p PID` with the printed process id.
//!
//! `cargo test --release -p buckthorncove --test leader_cost -- --ignored --nocapture`

mod cluster;
mod common;

use std::{fs, sync, thread, time};

use cluster::{Cluster, TIMEOUT};
use common::wait_until;
use serde_json::json;

const WORKERS: usize = 1_100;
/// Run time of a subtask in milliseconds.
const RUN_MS: u64 = 6_000;
/// Jobs a second and subtasks of a job.
const JOBS_PER_S: u64 = 22;
const SUBTASKS: u64 = 28;
/// Time in which the workers fill up before the measurement.
const WARM_UP: time::Duration = time::Duration::from_secs(8);
const MEASUREMENT_TIME: time::Duration = time::Duration::from_secs(12);
const SUBMITTERS: u64 = 4;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

#[test]
#[ignore = "a measurement"]
fn leader_with_the_load_of_the_largest_site() {
    let cluster = Cluster::start("leader-cost", 1, WORKERS, RUN_MS);
    wait_until("a leader", TIMEOUT, || {
        cluster.store.get("control", "lease")
    });
    let pid = cluster.nodes[0].pid();
    println!("node {pid}");
    let stop = sync::atomic::AtomicBool::new(false);
    thread::scope(|s| {
        for i in 0..SUBMITTERS {
            let (cluster, stop) = (&cluster, &stop);
            s.spawn(move || {
                let pause = time::Duration::from_millis(1_000 * SUBMITTERS / JOBS_PER_S);
                let mut id = 1 + i;
                while !stop.load(sync::atomic::Ordering::Relaxed) {
                    let step = json!({"count": SUBTASKS, "cpu": 1_000, "mem-mb": 100, "gpu": 1 + id % 5,
                        "estimated-ms": RUN_MS, "gang": id.is_multiple_of(3)});
                    cluster.submit_step(0, id.wrapping_mul(0x9E37_79B9_7F4A_7C15), "work", &step);
                    id += SUBMITTERS;
                    thread::sleep(pause);
                }
            });
        }
        thread::sleep(WARM_UP);
        let before = ticks(pid);
        thread::sleep(MEASUREMENT_TIME);
        let used = (ticks(pid) - before) as f64 / TICKS_PER_S;
        println!(
            "{:.1} % of a core",
            used / MEASUREMENT_TIME.as_secs_f64() * 100.0
        );
        let runs: usize = cluster.workers.iter().map(|w| w.runs().len()).sum();
        println!("{runs} runs");
        stop.store(true, sync::atomic::Ordering::Relaxed);
    });
}

/// Returns the processor time of a process.
fn ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let rest = stat.rsplit_once(')').unwrap().1;
    // The rest starts with field 3; utime and stime are fields 14 and 15.
    let fields: Vec<&str> = rest.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}
