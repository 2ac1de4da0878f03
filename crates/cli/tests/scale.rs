//! Measurements of each role's cost by number of nodes, workers, tasks and jobs, for
//! `docs/CAPACITY.md`.
//!
//! `cargo test --release -p buckthorncove --test scale -- --ignored --nocapture --test-threads 1`

mod common;

use std::{
    collections::{BTreeMap, HashSet},
    fs, iter, net, process, thread, time,
};

use base::clock::Millis;
use common::{Builder, Process, System, wait_until};
use serde_json::json;
use standin::{platform::Stats, worker_cfg};

/// Duration of one idle measurement.
const MEASUREMENT_TIME: time::Duration = time::Duration::from_secs(12);
/// Delay between the readiness of a system and the start of a measurement.
const WARM_UP: time::Duration = time::Duration::from_secs(3);
/// Time limit for a system of this size to reach a state.
const SETUP_TIMEOUT: time::Duration = time::Duration::from_mins(1);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Maximum time until a change is accepted.
const MAX_ACCEPT_TIME: time::Duration = time::Duration::from_secs(3);
/// Maximum resident memory of a process.
const MAX_MEMORY_KB: u64 = 128 << 10;

/// Payload bytes and sent segments of TCP connections.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    sent: u64,
    received: u64,
    segments: u64,
}

impl Traffic {
    fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.received += other.received;
        self.segments += other.segments;
    }

    fn since(self, start: Self) -> Self {
        Self {
            sent: self.sent - start.sent,
            received: self.received - start.received,
            segments: self.segments - start.segments,
        }
    }
}

/// Process id, local address and peer address of a connection.
type Connection = (u32, net::SocketAddr, net::SocketAddr);
type Connections = BTreeMap<Connection, Traffic>;

/// Reads the kernel's counters for all established connections of `pids`.
fn connections(pids: &HashSet<u32>) -> Connections {
    let output = process::Command::new("ss")
        .arg("-tinpHO")
        .output()
        .expect("ss is installed");
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines()
        .filter_map(|line| {
            let pid = number(line, "pid=")? as u32;
            let mut words = line.split_whitespace().skip(3);
            let local = words.next()?.parse().ok()?;
            let peer = words.next()?.parse().ok()?;
            let traffic = Traffic {
                sent: number(line, " bytes_sent:").unwrap_or(0),
                received: number(line, " bytes_received:").unwrap_or(0),
                segments: number(line, " data_segs_out:").unwrap_or(0),
            };
            pids.contains(&pid).then_some(((pid, local, peer), traffic))
        })
        .collect()
}

/// Returns the number after `label`.
fn number(line: &str, label: &str) -> Option<u64> {
    let rest = &line[line.find(label)? + label.len()..];
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

/// Processor time in clock ticks, and current and peak resident memory in KiB.
#[derive(Clone, Copy, Debug)]
struct Usage {
    ticks: u64,
    rss_kb: u64,
    peak_kb: u64,
}

fn usage(pid: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let kb = |label: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(label)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    };
    // `fields` starts with field 3; utime and stime are fields 14 and 15.
    let ticks = |i: usize| fields[i].parse::<u64>().unwrap();
    Usage {
        ticks: ticks(11) + ticks(12),
        rss_kb: kb("VmRSS:"),
        peak_kb: kb("VmHWM:"),
    }
}

/// Cost of one process during a measurement.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_percent: f64,
    rss_kb: u64,
    peak_kb: u64,
    platform: Traffic,
    workers: Traffic,
    members: Traffic,
}

/// Cost of all processes during a measurement.
struct Measurement {
    seconds: f64,
    entries: Vec<Cost>,
    standbys: Vec<Cost>,
    leader: Cost,
    before: Stats,
    after: Stats,
    /// Number of connections that ended during the measurement, whose last bytes are not counted.
    ended: usize,
}

fn processes(system: &System) -> impl Iterator<Item = &Process> {
    system.entries.iter().chain(&system.schedulers)
}

fn is_leader(scheduler: &Process) -> bool {
    common::get(scheduler.http, "/dump").is_some_and(|a| a.body["leading"] == true)
}

fn measure(system: &System) -> Measurement {
    thread::sleep(WARM_UP);
    let leader = wait_until("a leader", SETUP_TIMEOUT, || {
        system.schedulers.iter().position(is_leader)
    });
    let pids: HashSet<u32> = processes(system).map(Process::pid).collect();
    let workers: HashSet<net::SocketAddr> = system.workers.addrs().iter().copied().collect();
    let before = system.platform.stats();
    let (start, initial) = (time::Instant::now(), connections(&pids));
    let ticks: BTreeMap<u32, u64> = pids.iter().map(|p| (*p, usage(*p).ticks)).collect();
    thread::sleep(MEASUREMENT_TIME);
    let seconds = start.elapsed().as_secs_f64();
    let after = system.platform.stats();
    let now = connections(&pids);
    let cost = |proc: &Process| {
        let used = usage(proc.pid());
        let mut cost = Cost {
            cpu_percent: (used.ticks - ticks[&proc.pid()]) as f64 / TICKS_PER_S / seconds * 100.0,
            rss_kb: used.rss_kb,
            peak_kb: used.peak_kb,
            ..Cost::default()
        };
        for (key, traffic) in now.iter().filter(|(k, _)| k.0 == proc.pid()) {
            let traffic = traffic.since(initial.get(key).copied().unwrap_or_default());
            match key.2 {
                peer if peer == system.platform.addr() => cost.platform.add(traffic),
                peer if workers.contains(&peer) => cost.workers.add(traffic),
                _ => cost.members.add(traffic),
            }
        }
        cost
    };
    let schedulers = system.schedulers.iter().enumerate();
    assert!(
        is_leader(&system.schedulers[leader]),
        "the leader has changed"
    );
    Measurement {
        seconds,
        entries: system.entries.iter().map(cost).collect(),
        standbys: schedulers
            .filter(|(i, _)| *i != leader)
            .map(|(_, s)| cost(s))
            .collect(),
        leader: cost(&system.schedulers[leader]),
        before,
        after,
        ended: initial.keys().filter(|k| !now.contains_key(k)).count(),
    }
}

impl Measurement {
    /// Prints one line for each role, and one for the platform.
    fn print(&self, point: &str) {
        let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
        println!(
            "## {point}: {:.1} s, load {}, {} connections ended",
            self.seconds,
            load.split(' ').next().unwrap_or_default(),
            self.ended
        );
        println!("| role | cpu % mean/max | rss/peak MB | platform | workers | members | B/s |");
        self.print_role("entry", &self.entries);
        self.print_role("standby", &self.standbys);
        self.print_role("leader", &[self.leader]);
        let rate = |f: fn(&Stats) -> u64| (f(&self.after) - f(&self.before)) as f64 / self.seconds;
        println!(
            "| platform a second | commits {:.1} | rows written {:.1} | gets {:.1} | scans {:.1} | rows read {:.1} | VM lists {:.1} |",
            rate(|s| s.commits),
            rate(|s| s.rows_written),
            rate(|s| s.gets),
            rate(|s| s.scans),
            rate(|s| s.rows_read),
            rate(|s| s.vm_reads)
        );
    }

    /// Prints the line of a role, with traffic as sent segments, sent bytes and received bytes per
    /// second.
    fn print_role(&self, name: &str, costs: &[Cost]) {
        if costs.is_empty() {
            return;
        }
        let n = costs.len() as f64;
        let mean = |f: fn(&Cost) -> f64| costs.iter().map(f).sum::<f64>() / n;
        let max = costs.iter().map(|c| c.cpu_percent).fold(0.0, f64::max);
        let traffic = |f: fn(&Cost) -> Traffic| {
            let mut sum = Traffic::default();
            for cost in costs {
                sum.add(f(cost));
            }
            let per_s = |v: u64| v as f64 / n / self.seconds;
            let (sent, received) = (per_s(sum.sent), per_s(sum.received));
            let text = format!("{:.1}: {sent:.0}+{received:.0}", per_s(sum.segments));
            (text, sent + received)
        };
        let all = [
            traffic(|c| c.platform),
            traffic(|c| c.workers),
            traffic(|c| c.members),
        ];
        let total: f64 = all.iter().map(|t| t.1).sum();
        println!(
            "| {name} | {:.2} / {max:.2} | {:.1} / {:.1} | {} | {} | {} | {total:.0} |",
            mean(|c| c.cpu_percent),
            mean(|c| c.rss_kb as f64 / 1024.0),
            mean(|c| c.peak_kb as f64 / 1024.0),
            all[0].0,
            all[1].0,
            all[2].0
        );
        let peak = costs.iter().map(|c| c.peak_kb).max().unwrap_or(0);
        assert!(peak <= MAX_MEMORY_KB, "{name}: peak memory of {peak} KiB");
    }
}

/// Starts a system whose jobs run for `run_ms` and whose team has a quota that no test reaches.
fn start_system(test: &str, nodes: usize, workers: usize, run_ms: u64) -> System {
    let builder = Builder {
        entries: nodes,
        schedulers: nodes,
        workers,
        behaviour: worker_cfg::Behaviour {
            run_ms: Millis(run_ms),
            ..Default::default()
        },
        ..Builder::default()
    };
    let system = builder.start(test);
    let team = json!({"version": 1, "type": "group", "tenant": "weddings", "group": "scoring",
        "max_gpus": 100_000});
    let accepted = |id| {
        let answer = system.apply(0, id, &[team.to_string()]);
        answer.filter(|a| a.status == 200).map(|_| ())
    };
    wait_until("the quota is raised", SETUP_TIMEOUT, || accepted(2));
    wait_until("the workers are known", SETUP_TIMEOUT, || {
        let known = |s: &Process| {
            let dump = common::get(s.http, "/dump")?.body;
            let all = dump["workers"] == workers && dump["workers_silent"] == 0;
            (all && dump["leading"] == true).then_some(())
        };
        system.schedulers.iter().find_map(known)
    });
    system
}

/// Submits gang jobs of `members` members with `accelerators` each, on 8 threads.
fn submit_jobs(system: &System, prefix: &str, jobs: usize, members: u16, accelerators: u16) {
    thread::scope(|scope| {
        for thread in 0..8 {
            scope.spawn(move || {
                for i in (thread..jobs).step_by(8) {
                    let job = json!({"schema": 2, "kind": "job", "spec": {
                        "organisation": "weddings", "team": "scoring",
                        "name": format!("{prefix}-{i}"), "kind": "score",
                        "shape": {"members": members, "accelerators": accelerators,
                            "cores": 1, "memory_mb": 1024, "adjacency": "data_centre"},
                        "run_time_ms": 3_600_000}});
                    let body = job.to_string();
                    wait_until("a job is accepted", SETUP_TIMEOUT, || {
                        let answer = system.send_as_operator(
                            i % system.entries.len(),
                            "POST",
                            "/jobs",
                            &body,
                        );
                        answer.filter(|a| a.status < 300).map(|_| ())
                    });
                }
            });
        }
    });
}

/// Returns the number of jobs in a phase that the leader reports.
fn count_jobs(system: &System, phase: &str) -> u64 {
    let dump = |s: &Process| {
        let body = common::get(s.http, "/dump")?.body;
        (body["leading"] == true).then_some(body)
    };
    let Some(dump) = system.schedulers.iter().find_map(dump) else {
        return 0;
    };
    let counts = dump["jobs"].as_array().cloned().unwrap_or_default();
    let count = counts.iter().find(|c| c["phase"] == phase);
    count.and_then(|c| c["jobs"].as_u64()).unwrap_or(0)
}

fn wait_for_jobs(system: &System, phase: &str, count: usize) {
    wait_until(&format!("{count} jobs {phase}"), SETUP_TIMEOUT, || {
        (count_jobs(system, phase) >= count as u64).then_some(())
    });
}

/// Guards against control traffic, memory or acceptance times that grow beyond their bounds with
/// the number of nodes.
#[test]
#[ignore = "takes minutes; see the module documentation"]
fn cost_by_nodes() {
    for nodes in [2, 4, 8, 12, 24] {
        let system = start_system("scale-nodes", nodes, 4, 300);
        measure(&system).print(&format!("{nodes} entries, {nodes} schedulers, 4 workers"));
        measure_changes(&system, nodes);
    }
}

/// Applies 20 changes and prints their durations and the number of rows written by each.
fn measure_changes(system: &System, nodes: usize) {
    let mut durations: Vec<time::Duration> = Vec::new();
    for change in 10..30 {
        let record = json!({"schema": 2, "kind": "placement",
            "spec": {"fragmentation_percent": change}});
        let start = time::Instant::now();
        let answer = system.apply(change as usize % nodes, change, &[record.to_string()]);
        assert_eq!(answer.map(|a| a.status), Some(200), "change {change}");
        durations.push(start.elapsed());
    }
    durations.sort();
    // All rows of a change are written in one transaction and have its version.
    let last = system.platform.row("rev").unwrap().version;
    let rows = system.platform.rows("");
    let rows = rows.iter().filter(|r| r.version == last).count();
    println!(
        "changes at {nodes} entries: p50 {:?}, max {:?}, {rows} rows each",
        durations[9], durations[19]
    );
    assert!(
        durations[19] <= MAX_ACCEPT_TIME,
        "a change took {:?}",
        durations[19]
    );
}

/// Guards against a leader that costs more than linearly with the number of workers.
#[test]
#[ignore = "takes minutes; see the module documentation"]
fn leader_by_workers() {
    for workers in [50, 100, 200, 400] {
        let system = start_system("scale-workers", 2, workers, 300);
        measure(&system).print(&format!("{workers} workers, no jobs"));
    }
}

/// Guards against a leader that costs more than linearly with the number of running tasks.
#[test]
#[ignore = "takes minutes; see the module documentation"]
fn leader_by_tasks() {
    let system = start_system("scale-tasks", 2, 200, 3_600_000);
    let mut running = 0;
    // 1,584 tasks leave two workers free for the guarantee of the configuration.
    for tasks in [400, 800, 1_584] {
        let wanted = tasks / 8;
        submit_jobs(&system, &format!("job-{tasks}"), wanted - running, 8, 1);
        running = wanted;
        wait_for_jobs(&system, "running", running);
        measure(&system).print(&format!("200 workers, {tasks} tasks in gangs of 8"));
    }
}

/// Guards against costs at the size expected in two years that an extrapolation of the other
/// measurements does not show.
#[test]
#[ignore = "takes minutes; see the module documentation"]
fn two_year_size() {
    let system = start_system("scale-two-years", 12, 890, 3_600_000);
    measure(&system).print("12 entries, 12 schedulers, 890 workers, no tasks");
    submit_jobs(&system, "job", 650, 8, 1);
    wait_for_jobs(&system, "running", 650);
    measure(&system).print("the same with 5,200 tasks in gangs of 8");
    measure_changes(&system, 12);
}

/// Guards against a leader whose idle cost grows with the number of waiting jobs.
#[test]
#[ignore = "takes minutes; see the module documentation"]
fn leader_by_waiting() {
    let system = start_system("scale-waiting", 2, 50, 3_600_000);
    submit_jobs(&system, "fill", 50, 1, 8);
    wait_for_jobs(&system, "running", 49);
    let mut waiting = 0;
    for wanted in [0, 500, 1_000] {
        submit_jobs(&system, &format!("wait-{wanted}"), wanted - waiting, 1, 8);
        waiting = wanted;
        wait_for_jobs(&system, "waiting", waiting);
        let found = count_jobs(&system, "waiting");
        measure(&system).print(&format!("50 full workers, {found} jobs waiting"));
    }
}

/// Prints the platform's operations during `f` for each of `units`, without those of an idle system.
fn measure_work(system: &System, units: usize, what: &str, f: impl FnOnce()) {
    let read = |s: Stats| [s.commits, s.rows_written, s.gets, s.scans].map(|v| v as f64);
    let sample = |f: Box<dyn FnOnce() + '_>| {
        let (start, before) = (time::Instant::now(), read(system.platform.stats()));
        f();
        let after = read(system.platform.stats());
        let seconds = start.elapsed().as_secs_f64();
        (
            iter::zip(after, before)
                .map(|(a, b)| a - b)
                .collect::<Vec<f64>>(),
            seconds,
        )
    };
    let (idle, idle_s) = sample(Box::new(|| thread::sleep(MEASUREMENT_TIME)));
    let ticks = || processes(system).map(|p| usage(p.pid()).ticks).sum::<u64>();
    let used = ticks();
    let (work, seconds) = sample(Box::new(f));
    let used = (ticks() - used) as f64 * 1_000.0 / TICKS_PER_S / units as f64;
    let each: Vec<String> = iter::zip(work, idle)
        .map(|(w, i)| format!("{:.2}", (w - i / idle_s * seconds) / units as f64))
        .collect();
    println!(
        "{what}: {units} in {seconds:.1} s; each: {} commits, {} rows written, {} gets, {} scans; {used:.2} ms of processor time in all processes",
        each[0], each[1], each[2], each[3]
    );
}

/// Guards against more table writes for each job or request than the platform sustains.
#[test]
#[ignore = "takes minutes; see the module documentation"]
fn rows_per_work() {
    let system = start_system("scale-rows", 2, 20, 2_000);
    for (members, count) in [(1, 150), (8, 20)] {
        measure_work(
            &system,
            count,
            &format!("jobs of {members} members"),
            || {
                submit_jobs(&system, &format!("m-{members}"), count, members, 1);
                let done = if members == 1 { 150 } else { 170 };
                wait_for_jobs(&system, "done", done);
            },
        );
    }
    for threads in [1, 16] {
        let requests = 50 * threads;
        measure_work(
            &system,
            requests,
            &format!("payouts on {threads} threads"),
            || {
                send_payouts(&system, threads, 50);
            },
        );
    }
}

/// Sends payouts with distinct keys and asserts that each succeeds.
fn send_payouts(system: &System, threads: usize, each: usize) {
    thread::scope(|scope| {
        for thread in 0..threads {
            scope.spawn(move || {
                for i in 0..each {
                    let key = format!("key-{threads}-{thread}-{i}");
                    let answer = system.call(thread % 2, "payout", Some(&key));
                    assert_eq!(answer.map(|a| a.status), Some(200), "{key}");
                }
            });
        }
    });
}
