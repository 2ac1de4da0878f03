//! The cases.

use std::{
    collections::BTreeSet,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    Verdict,
    cluster::{self, Cluster, Event, KEY, KEY_TWO, Plan, Record, wait_until},
};

type Outcome = Result<Verdict, String>;

/// Runs a case by its name.
pub fn run(case: &str, trouble: bool, record: &Record) -> Outcome {
    match case {
        "twice" => twice(trouble, record),
        "cuts" => cuts(trouble, record),
        "starved" => starved(trouble, record),
        "crashes" => crashes(trouble, record),
        "endless" => endless(trouble, record),
        "cancel" => cancel(trouble, record),
        "checkpoints" => checkpoints(trouble, record),
        "guarantee" => guarantee(trouble, record),
        "same-id" => same_id(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn plan(minions: usize) -> Plan {
    Plan {
        nodes: 2,
        minions,
        gpu: 8,
        config: cluster::config(1, 8),
        lost: None,
    }
}

fn id(n: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_d94b_3600 + n)
}

/// Returns the body of a job of one step.
fn job(count: u64, gpu: u64, step: &Value, work: &Value) -> String {
    let mut all = json!({"count": count, "cpu": 1_000, "mem-mb": 256, "gpu": gpu});
    for (name, value) in step.as_object().into_iter().flatten() {
        all[name] = value.clone();
    }
    let mut work = work.clone();
    work["gpu"] = gpu.into();
    json!({"spec": work.to_string(), "steps": [all]}).to_string()
}

fn submit(cluster: &Cluster, path: &str, key: &str, body: &str) -> Result<(), String> {
    let stored = wait_until(Duration::from_secs(10), || {
        let answer = cluster.call(0, "POST", path, key, body)?;
        (answer.status == 200).then_some(())
    });
    stored.ok_or_else(|| format!("{path} was not accepted"))
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// TWICE: a subtask runs on two minions, because the first start was carried out, its answer was
/// lost, and the start that was sent again at once was refused.
fn twice(trouble: bool, record: &Record) -> Outcome {
    let cluster = Cluster::start(plan(12), record)?;
    let id = id(1);
    let path = format!("/batch/{id}");
    // Of 41 starts on the first minion one loses its answer. Of equally empty minions, the one that
    // comes first is used.
    for n in 2..42 {
        let job = self::id(n);
        let body = job_of(20);
        submit(&cluster, &format!("/batch/{job}"), KEY, &body)?;
        let ended = wait_until(secs(5.0), || cluster.ends(&job).pop());
        let ended = ended.ok_or("a job before the trouble did not end")?;
        if ended.worker != cluster.minions[0].id {
            return Err(format!("a job before the trouble ran on {}", ended.worker));
        }
    }
    if trouble {
        cluster.turn_grey(0);
    }
    submit(&cluster, &path, KEY, &job_of(8_000))?;
    let state = wait_until(secs(30.0), || {
        thread::sleep(secs(0.5));
        let state = cluster.state(1, &path, KEY);
        matches!(&*state, "completed" | "failed").then_some(state)
    });
    // Runs that have not ended yet end with their lease.
    thread::sleep(secs(7.0));
    let overlaps = overlaps(&cluster, &id);
    Ok(match overlaps.first() {
        Some(overlap) => Verdict::Broken(format!("{overlap}; the job is {state:?}")),
        None => Verdict::Held(format!(
            "no subtask ran twice at a time; the job is {state:?}"
        )),
    })
}

/// Returns the body of a job of one subtask that works for `ms`.
fn job_of(ms: u64) -> String {
    job(1, 1, &json!({"estimated-ms": ms}), &json!({"ms": ms}))
}

/// Returns the pairs of runs of one subtask that ran at the same time on two minions.
fn overlaps(cluster: &Cluster, id: &str) -> Vec<String> {
    let mut runs: Vec<(Event, Option<Event>)> = Vec::new();
    for event in cluster
        .events()
        .into_iter()
        .filter(|e| e.task.starts_with(id))
    {
        if event.end.is_none() {
            runs.push((event, None));
            continue;
        }
        let is_of = |e: &Event| {
            e.worker == event.worker && e.task == event.task && e.attempt == event.attempt
        };
        if let Some(run) = runs.iter_mut().find(|(start, _)| is_of(start)) {
            run.1 = Some(event);
        }
    }
    let mut overlaps = Vec::new();
    for (i, (a, a_end)) in runs.iter().enumerate() {
        for (b, _) in &runs[i + 1..] {
            if a.task == b.task && a_end.as_ref().is_none_or(|e| b.at < e.at) {
                let ms = a_end
                    .as_ref()
                    .map(|e| e.at.duration_since(b.at).as_millis());
                overlaps.push(format!(
                    "{} ran as #{} on {} and as #{} on {}, both for {ms:?} ms",
                    a.task, a.attempt, a.worker, b.attempt, b.worker
                ));
            }
        }
    }
    overlaps
}

/// LOST: a job without a failed run is shown as failed, after two minions on which it ran crashed.
fn crashes(trouble: bool, record: &Record) -> Outcome {
    let mut cluster = Cluster::start(plan(8), record)?;
    let id = id(1);
    let path = format!("/urgent/{id}");
    let body = job_of(8_000);
    submit(&cluster, &path, KEY, &body)?;
    for (n, after) in [(0, 3.0), (1, 0.25)] {
        let start = wait_until(secs(15.0), || cluster.starts(&id).get(n).cloned());
        let start = start.ok_or("no start of the subtask")?;
        if !trouble {
            break;
        }
        thread::sleep(secs(after));
        let i = cluster.minions.iter().position(|m| m.id == start.worker);
        let i = i.ok_or("unknown minion")?;
        cluster.crash_minion(i);
        thread::sleep(secs(1.5));
        cluster.start_minion(i)?;
    }
    let last = wait_until(secs(40.0), || {
        thread::sleep(secs(0.3));
        let state = cluster.state(1, &path, KEY);
        matches!(&*state, "completed" | "failed" | "cancelled").then_some(state)
    });
    let failed = cluster.ends(&id);
    let failed = failed.iter().filter(|e| e.end.as_deref() == Some("failed"));
    let failed = failed.count();
    Ok(match last.as_deref() {
        Some("failed") => Verdict::Broken(format!(
            "the job is shown as failed; runs that ended failed: {failed}, max-attempts 4"
        )),
        Some(state) => Verdict::Held(format!("the job is {state}")),
        None => return Err("the job did not end".into()),
    })
}

/// LOST: a job that has never run is shown as failed, because two starts met minions that were cut off
/// and crashed behind the cut.
fn cuts(trouble: bool, record: &Record) -> Outcome {
    let mut cluster = Cluster::start(plan(12), record)?;
    let id = id(1);
    let path = format!("/urgent/{id}");
    // Of equally empty minions the first gets a new subtask. One whose minion has crashed is started
    // on the last.
    let (first, last) = (0, 11);
    if trouble {
        cluster.set_cut(first, true);
    }
    submit(&cluster, &path, KEY, &job_of(4_000))?;
    if trouble {
        thread::sleep(secs(1.0));
        cluster.set_cut(last, true);
        for i in [first, last] {
            thread::sleep(secs(1.0));
            cluster.crash_minion(i);
            thread::sleep(secs(0.5));
            cluster.start_minion(i)?;
            thread::sleep(secs(0.5));
            cluster.set_cut(i, false);
        }
    }
    let state = wait_until(secs(30.0), || {
        thread::sleep(secs(0.3));
        let state = cluster.state(1, &path, KEY);
        matches!(&*state, "completed" | "failed" | "cancelled").then_some(state)
    });
    let starts = cluster.starts(&id).len();
    Ok(match state.as_deref() {
        Some("failed") => Verdict::Broken(format!(
            "the job is shown as failed; runs that minions began: {starts}, max-attempts 4"
        )),
        Some(state) => Verdict::Held(format!(
            "the job is {state}; runs that minions began: {starts}"
        )),
        None => return Err("the job did not end".into()),
    })
}

/// LOST: a job whose minion crashed three times waits for ever, although most of the GPUs are free.
fn starved(trouble: bool, record: &Record) -> Outcome {
    let mut cluster = Cluster::start(plan(8), record)?;
    let (lasting, id) = (id(1), id(2));
    let step = json!({"long-running": true, "estimated-ms": 60_000, "max-per-server": 1});
    let work = json!({"endless": true});
    submit(
        &cluster,
        &format!("/batch/{lasting}"),
        KEY,
        &job(8, 1, &step, &work),
    )?;
    let all = wait_until(secs(10.0), || {
        (cluster.starts(&lasting).len() >= 8).then_some(())
    });
    all.ok_or("the lasting job did not start")?;
    let path = format!("/batch/{id}");
    submit(&cluster, &path, KEY, &job_of(6_000))?;
    for n in 0..3 {
        let start = wait_until(secs(15.0), || cluster.starts(&id).get(n).cloned());
        let start = start.ok_or("no start of the subtask")?;
        if !trouble {
            break;
        }
        thread::sleep(secs(2.0));
        let i = cluster.minions.iter().position(|m| m.id == start.worker);
        let i = i.ok_or("unknown minion")?;
        cluster.crash_minion(i);
        thread::sleep(secs(1.5));
        cluster.start_minion(i)?;
    }
    // finish_s after the last trouble, and for 3 s more.
    let starts = cluster.starts(&id).len();
    let again = wait_until(secs(17.0), || {
        (cluster.starts(&id).len() > starts).then_some(())
    });
    let state = wait_until(secs(40.0), || {
        thread::sleep(secs(0.5));
        let state = cluster.state(1, &path, KEY);
        matches!(&*state, "completed" | "failed" | "cancelled").then_some(state)
    });
    let last = cluster.state(1, &path, KEY);
    Ok(match (again, state.as_deref()) {
        (_, Some("completed")) => Verdict::Held("the job is completed".into()),
        (Some(()), state) => Verdict::Held(format!("the job was started again, {state:?}")),
        (None, _) => Verdict::Broken(format!(
            "a job of one GPU is not started for 57 s while 56 of 64 GPUs are free; state {last:?}"
        )),
    })
}

/// LOST: subtasks that last are not started again after they have failed once.
fn endless(trouble: bool, record: &Record) -> Outcome {
    let cluster = Cluster::start(plan(2), record)?;
    let id = id(1);
    let path = format!("/batch/{id}");
    let step = json!({"long-running": true, "estimated-ms": 60_000});
    submit(
        &cluster,
        &path,
        KEY,
        &job(16, 1, &step, &json!({"endless": true})),
    )?;
    let all = wait_until(secs(10.0), || {
        (cluster.starts(&id).len() >= 16).then_some(())
    });
    all.ok_or("the subtasks did not start")?;
    // Calm before the trouble.
    thread::sleep(secs(5.0));
    if trouble {
        for i in 0..2 {
            cluster.fail_runs(i);
        }
    }
    let failed_at = Instant::now();
    // From 6 s after the last run on, and for 3 s.
    thread::sleep(secs(9.0));
    let idle = idle(&cluster, &id);
    record.add(&format!(
        "9 s later: {} subtasks do not run: {idle:?}",
        idle.len()
    ));
    let back = wait_until(secs(40.0), || {
        self::idle(&cluster, &id)
            .is_empty()
            .then(|| failed_at.elapsed())
    });
    if idle.is_empty() {
        return Ok(Verdict::Held("all subtasks run".into()));
    }
    Ok(Verdict::Broken(format!(
        "{} of 16 subtasks that last do not run 9 s after their last run; all run again after {back:?}",
        idle.len()
    )))
}

/// Returns the subtasks of a job that have started and do not run.
fn idle(cluster: &Cluster, id: &str) -> BTreeSet<String> {
    let mut idle = BTreeSet::new();
    for event in cluster
        .events()
        .into_iter()
        .filter(|e| e.task.starts_with(id))
    {
        match event.end {
            Some(_) => idle.insert(event.task),
            None => idle.remove(&event.task),
        };
    }
    idle
}

/// UNASKED: a job runs although its cancelling was acknowledged, because its submission, to which
/// the store had not answered, was performed later.
fn cancel(trouble: bool, record: &Record) -> Outcome {
    let id = id(1);
    let path = format!("/batch/{id}");
    let key = format!("{id}.job");
    let writes = Arc::new(AtomicU32::new(0));
    let counted = writes.clone();
    let lost = Arc::new(AtomicU32::new(0));
    let counted_lost = lost.clone();
    let filter = move |body: &Value| {
        counted.fetch_add(1, Ordering::Relaxed);
        let writes = body["writes"].as_array()?;
        let is_lost = trouble && writes.iter().any(|w| w["key"] == key.as_str());
        is_lost.then(|| {
            counted_lost.fetch_add(1, Ordering::Relaxed);
            secs(6.0)
        })
    };
    let mut plan = plan(3);
    plan.lost = Some(Arc::new(filter));
    let cluster = Cluster::start(plan, record)?;
    writes.store(0, Ordering::Relaxed);
    // Other clients submit jobs all the while, so that the lost writes are a part of all.
    let (sent, status) = thread::scope(|scope| {
        let is_over = Arc::new(AtomicBool::new(false));
        let (others, stop) = (&cluster, is_over.clone());
        scope.spawn(move || {
            for n in 2.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let path = format!("/batch/{}", self::id(n));
                others.call(0, "POST", &path, KEY_TWO, &job_of(200));
                thread::sleep(secs(0.3));
            }
        });
        let sent = cluster.call(0, "POST", &path, KEY, &job_of(30_000));
        let status = wait_until(secs(3.0), || {
            let answer = cluster.call(1, "DELETE", &path, KEY, "")?;
            matches!(answer.status, 200 | 410).then_some(answer.status)
        });
        let acked = Instant::now();
        is_over.store(true, Ordering::Relaxed);
        (sent.map(|a| a.status), status.map(|s| (s, acked)))
    });
    let (status, acked) = status.ok_or("the cancelling was not acknowledged")?;
    let (lost, writes) = (lost.load(Ordering::Relaxed), writes.load(Ordering::Relaxed));
    record.add(&format!("{lost} of {writes} writes were lost"));
    if f64::from(lost) > 0.35 * f64::from(writes) {
        return Err(format!("{lost} of {writes} writes were lost"));
    }
    // cancel_ms, and long after that.
    let bound = acked + secs(3.0);
    thread::sleep(secs(15.0));
    let late = cluster.starts(&id).iter().filter(|e| e.at > bound).count();
    let runs = cluster.starts(&id).len() - cluster.ends(&id).len();
    let state = cluster.state(1, &path, KEY);
    let what = format!(
        "submission answered with {sent:?}, cancelling with {status}; starts more than 3 s later: {late}, running 15 s later: {runs}, state {state:?}"
    );
    Ok(if late > 0 || runs > 0 {
        Verdict::Broken(what)
    } else {
        Verdict::Held(what)
    })
}

/// LOST: the progress of one job does not fit in a transaction, and nothing else runs any more.
fn checkpoints(trouble: bool, record: &Record) -> Outcome {
    let cluster = Cluster::start(plan(4), record)?;
    let large = format!("/batch/{}", id(1));
    let step = json!({"cpu": 100, "mem-mb": 64, "checkpointing": true, "estimated-ms": 8_000});
    let bytes = if trouble { 300 } else { 16 };
    let work = json!({"ms": 8_000, "checkpoint_bytes": bytes});
    submit(&cluster, &large, KEY, &job(2_400, 0, &step, &work))?;
    let all = wait_until(secs(30.0), || {
        (cluster.starts(&id(1)).len() >= 2_400).then_some(())
    });
    all.ok_or("the large job did not start")?;
    // The first of its subtasks ends, and its progress is to be stored.
    let first = wait_until(secs(15.0), || cluster.ends(&id(1)).pop().map(drop));
    first.ok_or("no subtask of the large job ended")?;
    let small = id(2);
    let path = format!("/urgent/{small}");
    let body = job_of(500);
    submit(&cluster, &path, KEY, &body)?;
    let done = wait_until(secs(40.0), || {
        thread::sleep(secs(0.5));
        let state = cluster.state(1, &path, KEY);
        (state == "completed").then_some(())
    });
    let starts = cluster.starts(&small).len();
    Ok(match done {
        Some(()) => Verdict::Held("the small job is completed".into()),
        None => Verdict::Broken(format!(
            "an urgent job of 0.5 s is not completed after 40 s, starts: {starts}"
        )),
    })
}

/// RECLAIM: work that lasts keeps the GPUs that are guaranteed to another tenant.
fn guarantee(trouble: bool, record: &Record) -> Outcome {
    let cluster = Cluster::start(plan(2), record)?;
    let (lasting, urgent) = (id(1), id(2));
    let mut step = json!({"estimated-ms": 90_000});
    let mut work = json!({"ms": 90_000});
    if trouble {
        step["long-running"] = true.into();
        work["endless"] = true.into();
    }
    submit(
        &cluster,
        &format!("/batch/{lasting}"),
        KEY_TWO,
        &job(16, 1, &step, &work),
    )?;
    let all = wait_until(secs(10.0), || {
        (cluster.starts(&lasting).len() >= 16).then_some(())
    });
    all.ok_or("the lasting job did not start")?;
    thread::sleep(secs(5.0));
    let path = format!("/urgent/{urgent}");
    let body = job(2, 4, &json!({"estimated-ms": 2_000}), &json!({"ms": 2_000}));
    submit(&cluster, &path, KEY, &body)?;
    let acked = Instant::now();
    // reclaim-ms of the site.
    let within = wait_until(secs(2.7), || {
        (cluster.starts(&urgent).len() >= 2).then_some(())
    });
    let after = wait_until(secs(60.0), || {
        (cluster.starts(&urgent).len() >= 2).then(|| acked.elapsed())
    });
    Ok(match within {
        Some(()) => Verdict::Held(format!("the guaranteed job began after {after:?}")),
        None => Verdict::Broken(format!(
            "a job within its tenant's guarantee began after {after:?}, bound 2.7 s"
        )),
    })
}

/// LOST: a job is accepted under an id that another tenant's job has, and is not known later.
fn same_id(trouble: bool, record: &Record) -> Outcome {
    let cluster = Cluster::start(plan(2), record)?;
    let (first, second) = (id(1), if trouble { id(1) } else { id(2) });
    let body = job_of(500);
    submit(&cluster, &format!("/batch/{first}"), KEY, &body)?;
    let path = format!("/urgent/{second}");
    let body = job(1, 2, &json!({"estimated-ms": 700}), &json!({"ms": 700}));
    let answer = cluster
        .call(1, "POST", &path, KEY_TWO, &body)
        .ok_or("no answer")?;
    if answer.status != 200 {
        return Ok(Verdict::Held(format!("refused with {}", answer.status)));
    }
    thread::sleep(secs(4.0));
    let answer = cluster
        .call(0, "GET", &path, KEY_TWO, "")
        .ok_or("no answer")?;
    Ok(match answer.status {
        410 => Verdict::Broken("an accepted job is answered 410".into()),
        status => Verdict::Held(format!("{status} {}", answer.body)),
    })
}
