//! Tests of nodes as real processes at the size of a large site, judged by what callers and workers
//! see: accepted work that could run does run, and nothing runs twice.
//!
//! `cargo test --release -p buckthorncove --test fleet -- --ignored --nocapture --test-threads 1`
//! `FLEET_SEED`, `FLEET_SECONDS`, `FLEET_LOAD`, `FLEET_READERS`, `FLEET_SHARE`, `FLEET_SLICE=1` and
//! `FLEET_LIMIT_SECONDS` select other runs; `BUCKTHORNCOVE_BIN` is the path of another build to play.

mod cluster;
mod common;
mod site;

use std::{
    collections::{BTreeMap, BTreeSet},
    env, hint, iter,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use platform_standin::worker::{Run, Worker};
use site::{
    Fleet, Limit, ROOM, Short, WORKERS, judge,
    rotation::Rotation,
    traffic::{CLASSES, Callers, Fate, INTERVAL, Job},
    troubles::{Kind, Troubles},
};

/// Time after the traffic by which accepted work has to run, and the time after that which is judged.
const FINISH: time::Duration = time::Duration::from_secs(14);
const JUDGED: time::Duration = time::Duration::from_secs(8);
/// Time between two restarts after the traffic.
const LATE_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Time for which a job must stand to count as lost, and interval at which it is looked at.
const STAND: time::Duration = time::Duration::from_secs(3);
const STEP: time::Duration = time::Duration::from_millis(250);
/// Interval between two printed numbers of accelerators in use, and number of printed stands.
const USE_STEP: time::Duration = time::Duration::from_secs(4);
const PRINTED_STANDS: usize = 12;
/// Busy loops of a busy machine.
const LOOPS: usize = 6;
/// Callers that read states.
const READERS: f64 = 8.0;

fn env_or(name: &str, default: f64) -> f64 {
    env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// A subtask as its name has it: job, occurrence, step, index.
type Task = (u64, u64, usize, u64);

fn parse(task: &str) -> Option<Task> {
    let mut parts = task.split('.');
    let id = u64::from_str_radix(parts.next()?, 16).ok()?;
    let mut next = || parts.next()?.parse::<u64>().ok();
    Some((id, next()?, next()? as usize, next()?))
}

/// All runs, with what is derived from them.
struct Record {
    runs: Vec<(usize, Task, Run)>,
    done: BTreeMap<Task, time::Instant>,
}

impl Record {
    fn new(workers: &[Worker]) -> Self {
        let all = workers.iter().enumerate();
        let all = all.flat_map(|(w, worker)| worker.runs().into_iter().map(move |r| (w, r)));
        let runs: Vec<_> = all
            .filter_map(|(w, r)| Some((w, parse(&r.task)?, r)))
            .collect();
        let mut done = BTreeMap::new();
        for (_, task, run) in &runs {
            if let Some((at, "done")) = run.ended {
                let first = done.entry(*task).or_insert(at);
                *first = at.min(*first);
            }
        }
        Self { runs, done }
    }

    fn done_at(&self, job: &Job, task: Task) -> Option<time::Instant> {
        // One end of a gang stands for all.
        let members = if job.gang {
            0..job.steps[task.2]
        } else {
            task.3..task.3 + 1
        };
        members
            .filter_map(|i| self.done.get(&(task.0, task.1, task.2, i)).copied())
            .min()
    }

    fn step_done_at(&self, job: &Job, k: u64, step: usize) -> Option<time::Instant> {
        let ends = (0..job.steps[step]).map(|i| self.done_at(job, (job.id, k, step, i)));
        ends.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn is_done(&self, job: &Job) -> bool {
        (0..job.occurrences.max(1))
            .all(|k| (0..job.steps.len()).all(|s| self.step_done_at(job, k, s).is_some()))
    }

    /// Returns the number of accelerators in use at a time.
    fn in_use(&self, jobs: &[Job], at: time::Instant) -> u64 {
        let needs: BTreeMap<u64, u64> = jobs.iter().map(|j| (j.id, j.need[2])).collect();
        let runs = self
            .runs
            .iter()
            .filter(|(_, _, r)| r.started <= at && r.ended.is_none_or(|(t, _)| t >= at));
        runs.filter_map(|(_, task, _)| needs.get(&task.0)).sum()
    }

    /// Returns whether a subtask's turn has come at a time and none of it has been done by then.
    fn is_due(&self, job: &Job, at: time::Instant) -> bool {
        (0..job.occurrences.max(1)).any(|k| {
            let mut turn = Some(job.sent + INTERVAL * k as u32);
            (0..job.steps.len()).any(|step| {
                let end = self.step_done_at(job, k, step);
                let is_due = turn.is_some_and(|t| t <= at) && end.is_none_or(|t| t > at);
                turn = end;
                is_due
            })
        })
    }

    /// Returns for each stand of a job its index, begin and length, for stands beyond [`STAND`]
    /// within a time while less than half of the accelerators are in use and there is room twice over.
    fn stands(
        &self,
        jobs: &[Job],
        from: time::Instant,
        to: time::Instant,
    ) -> Vec<(usize, time::Instant, time::Duration)> {
        let needs: BTreeMap<u64, [u64; 3]> = jobs.iter().map(|j| (j.id, j.need)).collect();
        let mut open: BTreeMap<usize, time::Instant> = BTreeMap::new();
        let mut stands = Vec::new();
        let accepted = || {
            jobs.iter()
                .enumerate()
                .filter(|(_, j)| j.fate == Fate::Accepted)
        };
        let mut at = from;
        while at < to {
            let mut used = vec![[0; 3]; WORKERS];
            let mut running = BTreeSet::new();
            for (w, task, run) in &self.runs {
                if run.started <= at + STEP && run.ended.is_none_or(|(t, _)| t >= at) {
                    running.insert(task.0);
                    let need = needs.get(&task.0).copied().unwrap_or_default();
                    iter::zip(&mut used[*w], need).for_each(|(u, n)| *u += n);
                }
            }
            let in_use: u64 = used.iter().map(|u| u[2]).sum();
            let is_half_free = in_use < WORKERS as u64 * ROOM[2] / 2;
            let fits = |need: [u64; 3]| -> u64 {
                let on = |u: &[u64; 3]| {
                    (0..3)
                        .map(|i| ROOM[i].saturating_sub(u[i]) / need[i])
                        .min()
                        .unwrap_or(0)
                };
                used.iter().map(on).sum()
            };
            for (i, job) in accepted() {
                let wanted = 2 * if job.gang { job.steps[0] } else { 1 };
                let stands_now = is_half_free
                    && !running.contains(&job.id)
                    && job.sent + STEP < at
                    && self.is_due(job, at)
                    && self.is_due(job, at + STEP)
                    && fits(job.need) >= wanted;
                if stands_now {
                    open.entry(i).or_insert(at);
                } else if let Some(begin) = open.remove(&i) {
                    stands.push((i, begin, at - begin));
                }
            }
            at += STEP;
        }
        stands.extend(open.into_iter().map(|(i, begin)| (i, begin, to - begin)));
        stands.retain(|(_, _, length)| *length >= STAND);
        stands
    }
}

/// What happens beside the traffic.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    short: Short,
    /// Number of troubles of each kind.
    counts: &'static [(Kind, u32)],
    loops: usize,
    /// Number of restarts of most workers after the traffic.
    late_restarts: u32,
}

const CALM: Trouble = troubles(&[]);

const fn troubles(counts: &'static [(Kind, u32)]) -> Trouble {
    Trouble {
        short: Short::None,
        counts,
        loops: 0,
        late_restarts: 0,
    }
}

/// Plays the traffic and asserts the promises.
fn play(test: &str, trouble: Trouble) {
    let (seed, load) = (env_or("FLEET_SEED", 1.0) as u64, env_or("FLEET_LOAD", 1.0));
    let length = time::Duration::from_secs_f64(env_or("FLEET_SECONDS", 35.0));
    let limit = Limit {
        short: trouble.short,
        share: env_or("FLEET_SHARE", 0.12),
        by_slice: env::var_os("FLEET_SLICE").is_some(),
    };
    eprintln!("{test}: seed {seed}, load {load}, {length:?}, {trouble:?}, {limit:?}");
    let mut fleet = Fleet::start(test);
    let over: Arc<AtomicBool> = Arc::default();
    let rotation = Rotation::start(fleet.addrs.clone(), &fleet.ready_addrs, &over);
    let callers = Callers::new(rotation.clone(), env_or("FLEET_READERS", READERS) as usize);
    let (before, began) = (fleet.processor_time(), time::Instant::now());
    let limit_over: Arc<AtomicBool> = Arc::default();
    let limiter = fleet.limit(limit, limit_over.clone());
    let (limit_end, limit_time) = (limit_over.clone(), env_or("FLEET_LIMIT_SECONDS", 600.0));
    thread::spawn(move || {
        thread::sleep(time::Duration::from_secs_f64(limit_time));
        limit_end.store(true, Ordering::Relaxed);
    });
    spin(trouble.loops, &over);
    let player = callers.clone();
    let traffic = thread::spawn(move || player.play(seed, load, length));
    let mut troubles = Troubles::new(seed, length, trouble.counts);
    troubles.play(&mut fleet, || traffic.is_finished());
    traffic.join().unwrap();
    let ended = time::Instant::now();
    for _ in 0..trouble.late_restarts {
        troubles.restart_most(&fleet);
        thread::sleep(LATE_PAUSE);
    }
    thread::sleep(FINISH.saturating_sub(ended.elapsed()));
    let mut broken = ask_for_all(&callers);
    thread::sleep((FINISH + JUDGED).saturating_sub(ended.elapsed()));
    let judged_until = time::Instant::now();
    let leader = fleet.leader();
    let after = fleet.processor_time();
    over.store(true, Ordering::Relaxed);
    limit_over.store(true, Ordering::Relaxed);
    limiter.join().unwrap();
    callers.stop();
    let jobs = callers.jobs.lock().unwrap().clone();
    let accepted: Vec<&Job> = jobs.iter().filter(|j| j.fate == Fate::Accepted).collect();
    let answers: Vec<String> = accepted.iter().map(|j| callers.state(j)).collect();
    // The workers are asked later, so a job that is shown as completed has ended there.
    let record = Record::new(&fleet.workers);
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    for (job, state) in iter::zip(&accepted, &answers) {
        let seen = if record.is_done(job) { "done" } else { "open" };
        *states
            .entry(format!("{state} as callers, {seen} as workers see it"))
            .or_default() += 1;
    }
    let is_early = |(j, s): (&&Job, &String)| s == "completed" && !record.is_done(j);
    let early = iter::zip(&accepted, &answers)
        .filter(|(j, s)| is_early((j, s)))
        .count();
    eprintln!("states {states:?}");
    print_processor_time(leader, &before, &after, judged_until - began);
    print_counts(&jobs, &record);
    print_nodes(&fleet);
    print_use(&jobs, &record, began, judged_until);
    print_stands(&jobs, &record, "at any time", began, (began, judged_until));
    print_stands(
        &jobs,
        &record,
        "LOST",
        began,
        (ended + FINISH, judged_until),
    );
    let lost = record.stands(&jobs, ended + FINISH, judged_until);
    broken.extend(callers.seen.lock().unwrap().lost(&troubles.events, began));
    let ends = troubles.ends();
    eprintln!("refused connections {}, ends {ends}", rotation.refused());
    for line in &broken {
        eprintln!("  LOST: {line}");
    }
    let workers = fleet.workers.clone();
    drop(fleet);
    assert!(
        lost.is_empty(),
        "seed {seed}: {} accepted jobs stand still",
        lost.len()
    );
    cluster::check_runs(&workers);
    assert!(
        broken.is_empty(),
        "seed {seed}: {} cases of LOST",
        broken.len()
    );
    assert_eq!(ends, 0, "seed {seed}: processes ended by themselves");
    assert_eq!(early, 0, "seed {seed}: open jobs are shown as completed");
    let unknown = states.keys().find(|s| s.starts_with("410"));
    assert!(
        unknown.is_none(),
        "seed {seed}: accepted jobs are not known: {states:?}"
    );
}

/// Keeps processors busy until `over` is set.
fn spin(loops: usize, over: &Arc<AtomicBool>) {
    for _ in 0..loops {
        let over = over.clone();
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                hint::spin_loop();
            }
        });
    }
}

/// Asks for all accepted jobs; returns a line for each that is not known.
fn ask_for_all(callers: &Callers) -> Vec<String> {
    let jobs = callers.jobs.lock().unwrap().clone();
    let accepted = jobs.iter().filter(|j| j.fate == Fate::Accepted);
    let states: Vec<String> = accepted.map(|j| callers.state_at_last(j)).collect();
    judge::unknown(&jobs, &states)
}

fn print_processor_time(leader: usize, before: &[f64], after: &[f64], span: time::Duration) {
    let cpu: Vec<f64> = iter::zip(after, before).map(|(a, b)| a - b).collect();
    let (all, most) = (
        cpu.iter().sum::<f64>(),
        cpu.iter().copied().fold(0.0, f64::max),
    );
    eprintln!(
        "leader n{leader}: {:.2} s of processor time in {span:.0?}; all nodes {all:.1} s, most {most:.2} s",
        cpu[leader]
    );
}

fn print_nodes(fleet: &Fleet) {
    for (name, value) in fleet.metrics() {
        eprintln!("  {name} {value}");
    }
    for (name, count) in fleet.messages() {
        eprintln!("  log {count} x {name}");
    }
}

fn print_use(jobs: &[Job], record: &Record, from: time::Instant, to: time::Instant) {
    let times = iter::successors(Some(from), |t| Some(*t + USE_STEP)).take_while(|t| *t < to);
    let used: Vec<u64> = times.map(|t| record.in_use(jobs, t)).collect();
    eprintln!("accelerators in use each {USE_STEP:?}: {used:?}");
}

fn print_stands(
    jobs: &[Job],
    record: &Record,
    what: &str,
    began: time::Instant,
    (from, to): (time::Instant, time::Instant),
) {
    let stands = record.stands(jobs, from, to);
    let longest = stands.iter().map(|s| s.2).max().unwrap_or_default();
    eprintln!("{what}: {} stands, longest {longest:?}", stands.len());
    for (i, begin, length) in stands.iter().take(PRINTED_STANDS) {
        let job = &jobs[*i];
        let runs = record.runs.iter().filter(|(_, t, _)| t.0 == job.id).count();
        let (queue, gpu, at) = (CLASSES[job.class].queue, job.need[2], *begin - began);
        eprintln!(
            "  {queue} {:016x}: {gpu} x {:?}, {runs} runs, stands from {at:.1?} for {length:?}",
            job.id, job.steps
        );
    }
}

fn print_counts(jobs: &[Job], record: &Record) {
    for (i, class) in CLASSES.iter().enumerate() {
        let all: Vec<&Job> = jobs.iter().filter(|j| j.class == i).collect();
        let of = |fate| all.iter().filter(|j| j.fate == fate).count();
        let done = all
            .iter()
            .filter(|j| j.fate == Fate::Accepted && record.is_done(j))
            .count();
        eprintln!(
            "{}: {} jobs, accepted {}, of these done {done}, refused {}, unknown {}, cancelled {}",
            class.queue,
            all.len(),
            of(Fate::Accepted),
            of(Fate::Refused),
            of(Fate::Unknown),
            of(Fate::Cancelled)
        );
    }
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    let mut runs: BTreeMap<Task, usize> = BTreeMap::new();
    for (_, task, run) in &record.runs {
        *ends
            .entry(run.ended.map_or("runs", |(_, how)| how))
            .or_default() += 1;
        *runs.entry(*task).or_default() += 1;
    }
    let most = runs.values().max().copied().unwrap_or(0);
    eprintln!(
        "runs {} of {} subtasks, most of one {most}, ends {ends:?}",
        record.runs.len(),
        runs.len()
    );
}

/// Guards against work that stands still on a calm machine.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on() {
    play("fleet-calm", CALM);
}

/// Guards against a collapse of a leader that has little processor time.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_under_a_slow_leader() {
    play(
        "fleet-leader",
        Trouble {
            short: Short::Leader,
            ..CALM
        },
    );
}

/// Guards against a collapse of nodes that all have little processor time.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_on_slow_nodes() {
    play(
        "fleet-all",
        Trouble {
            short: Short::All,
            ..CALM
        },
    );
}

/// Guards against work that a new leader does not know.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_after_a_takeover() {
    play("fleet-kill", troubles(&[(Kind::Kill, 1)]));
}

/// Guards against work that stands still after takeovers in a row.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_after_two_takeovers() {
    play("fleet-kills", troubles(&[(Kind::Kill, 2)]));
}

/// Guards against work that stands still on a busy machine.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_on_a_busy_machine() {
    play(
        "fleet-busy",
        Trouble {
            loops: LOOPS,
            ..CALM
        },
    );
}

/// Guards against requests and jobs that planned stops of all nodes lose.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn nothing_is_lost_in_a_roll() {
    play("fleet-roll", troubles(&[(Kind::Roll, 1)]));
}

/// Guards against requests that planned stops cut because the nodes wait for a processor.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn nothing_is_lost_in_a_roll_on_a_busy_machine() {
    let loops = LOOPS;
    play(
        "fleet-busy-roll",
        Trouble {
            loops,
            ..troubles(&[(Kind::Roll, 2)])
        },
    );
}

/// Guards against requests that planned stops of nodes with little processor time cut.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn nothing_is_lost_in_a_roll_of_slow_nodes() {
    let short = Short::All;
    play(
        "fleet-slow-roll",
        Trouble {
            short,
            ..troubles(&[(Kind::Roll, 2)])
        },
    );
}

/// Guards against requests and jobs that planned work of all kinds loses when it overlaps.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn nothing_is_lost_in_overlapping_planned_work() {
    play(
        "fleet-planned",
        troubles(&[(Kind::Roll, 2), (Kind::Hup, 12), (Kind::Change, 12)]),
    );
}

/// Guards against jobs that are lost when nodes are killed beside planned work.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn nothing_is_lost_in_planned_work_beside_kills() {
    play(
        "fleet-planned-kills",
        troubles(&[
            (Kind::Kill, 3),
            (Kind::Roll, 2),
            (Kind::Hup, 6),
            (Kind::Change, 6),
        ]),
    );
}

/// Guards against jobs that are lost when many nodes are killed at once beside planned work.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn nothing_is_lost_when_many_nodes_are_killed() {
    play(
        "fleet-herd",
        troubles(&[
            (Kind::Kill, 1),
            (Kind::Herd, 3),
            (Kind::Roll, 1),
            (Kind::Change, 6),
        ]),
    );
}

/// Guards against work that stands still after workers have come back under their old ids, again and
/// again.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_after_restarts_under_old_ids() {
    play(
        "fleet-restarts",
        troubles(&[(Kind::Restart, 10), (Kind::LostStarts, 20)]),
    );
}

/// Guards against work that stands still after such restarts beside queues that come, go and change.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_after_restarts_beside_changes_of_queues() {
    play(
        "fleet-queues",
        troubles(&[
            (Kind::Restart, 8),
            (Kind::LostStarts, 10),
            (Kind::Queues, 14),
        ]),
    );
}

/// Guards against work that stands still beside workers that were out of reach several times in a row.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_after_late_restarts() {
    play(
        "fleet-late-restarts",
        Trouble {
            late_restarts: 5,
            ..troubles(&[(Kind::Restart, 6)])
        },
    );
}

/// Guards against work that stands still after such restarts beside takeovers.
#[test]
#[ignore = "350 workers and 33 processes for a minute"]
fn work_goes_on_after_restarts_beside_takeovers() {
    play(
        "fleet-restart-kills",
        troubles(&[(Kind::Kill, 2), (Kind::Restart, 8), (Kind::Queues, 6)]),
    );
}
