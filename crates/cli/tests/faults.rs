//! Tests of process and platform faults: kills, freezes, planned stops and outages.

mod common;

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use base::clock::Millis;
use common::{Answer, Builder, System, wait_until};
use standin::{backend, backend_cfg, faults::Faults, worker, worker_cfg};
use store::vm::VmState;

/// Maximum time until work starts after the loss of the leading scheduler: a takeover, then the start.
const MAX_TAKEOVER_TIME: time::Duration = time::Duration::from_secs(12);

fn slow_backends(ms: u64) -> backend_cfg::BackendCfg {
    let time = backend_cfg::ServiceTime {
        min_ms: Millis(ms),
        mean_ms: Millis(0),
        max_ms: Millis(ms),
    };
    backend_cfg::BackendCfg {
        servers: 3,
        default_time: time,
        ..Default::default()
    }
}

fn long_jobs() -> worker_cfg::Behaviour {
    worker_cfg::Behaviour {
        run_ms: Millis::from_secs(3_600),
        ..Default::default()
    }
}

/// Sends payouts with distinct keys from `threads` threads until `f` returns. Returns the answers by
/// key.
fn payouts_during(
    system: &System,
    entry: usize,
    threads: usize,
    f: impl FnOnce(),
) -> BTreeMap<String, Option<Answer>> {
    let stop = AtomicBool::new(false);
    let answers = Mutex::new(BTreeMap::new());
    let addr = system.entries[entry].http;
    thread::scope(|scope| {
        for t in 0..threads {
            let (stop, answers) = (&stop, &answers);
            scope.spawn(move || {
                for i in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let key = format!("payout-{t}-{i}");
                    let answer = common::call(addr, "payout", Some(&key));
                    answers.lock().unwrap().insert(key, answer);
                }
            });
        }
        f();
        stop.store(true, Ordering::Relaxed);
    });
    answers.into_inner().unwrap()
}

/// Asserts that the answers agree with the executions of the backend servers.
fn check_payouts(system: &System, answers: &BTreeMap<String, Option<Answer>>) {
    for (key, answer) in answers {
        let executions = system.executions(key);
        assert!(executions <= 1, "{key} ran {executions} times");
        let Some(answer) = answer else { continue };
        match (answer.status, answer.text("outcome")) {
            (200, _) => assert_eq!(
                executions, 1,
                "{key}: answered with 200, but did not run: {answer:?}"
            ),
            (_, "not_run") => assert_eq!(
                executions, 0,
                "{key}: answered with not_run, but ran: {answer:?}"
            ),
            (_, "unknown") => {}
            _ => panic!("{key}: unexpected answer: {answer:?}"),
        }
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// Guards against a planned stop that drops requests in flight or exits with a failure.
#[test]
fn a_planned_stop_of_an_entry_cuts_nothing() {
    let builder = Builder {
        backends: slow_backends(150),
        ..Builder::default()
    };
    let mut system = builder.start("planned-stop");
    let answers = payouts_during(&system, 0, 8, || {
        sleep_ms(300);
        system.entries[0].terminate();
        wait_until("the entry is no longer ready", common::TIMEOUT, || {
            (!system.entries[0].is_ready()).then_some(())
        });
        sleep_ms(1_500);
    });
    let successful = answers
        .values()
        .flatten()
        .filter(|a| a.status == 200)
        .count();
    assert!(successful >= 8, "only {successful} successful answers");
    check_payouts(&system, &answers);
    for (key, answer) in &answers {
        let ran = system.executions(key) > 0;
        assert!(
            answer.is_some() || !ran,
            "{key} ran, but got no complete answer"
        );
    }
    assert_eq!(system.entries[0].wait(), Some(0));
}

/// Guards against a payout that runs again after the entry that dispatched it was killed.
#[test]
fn a_payout_of_a_killed_entry_never_runs_again() {
    let builder = Builder {
        backends: slow_backends(700),
        ..Builder::default()
    };
    let mut system = builder.start("killed-entry");
    let addr = system.entries[0].http;
    let first = thread::spawn(move || common::call(addr, "payout", Some("once")));
    wait_until("the payout runs", common::TIMEOUT, || {
        (system.executions("once") == 1).then_some(())
    });
    system.entries[0].kill();
    assert!(first.join().unwrap().is_none());
    // The owner of the claim counts as alive until its member row expires; then the outcome is
    // unknown.
    let last = wait_until("outcome unknown", 2 * common::TIMEOUT, || {
        let answer = system.call(1, "payout", Some("once"))?;
        assert_ne!(answer.status, 200, "{answer:?}");
        assert_eq!(system.executions("once"), 1);
        (answer.status == 504).then_some(answer)
    });
    assert_eq!(last.text("outcome"), "unknown");
    let settle = r#"{"organisation":"weddings","key":"once","outcome":"ran"}"#;
    let settled = system
        .send_as_operator(1, "POST", "/claims", settle)
        .unwrap();
    assert_eq!(settled.status, 200, "{settled:?}");
    assert_eq!(system.executions("once"), 1);
}

/// Guards against a second run when an entry is frozen between claim and dispatch, an operator
/// settles the claim, the key is used again and the entry resumes before the deadline.
#[test]
fn a_thawed_entry_does_not_use_an_old_claim() {
    let mut system = Builder::default().start("old-claim");
    // The table applies the claim 600 ms after it is sent; the entry is frozen in between.
    let slow = Faults {
        slow_ms: Millis(600),
        ..Faults::default()
    };
    system.platform.set_faults(slow);
    let frozen = system.entries[0].http;
    let first = thread::spawn(move || common::call(frozen, "transfer", Some("twice")));
    sleep_ms(300);
    system.entries[0].freeze();
    wait_until("the claim is written", common::TIMEOUT, || {
        system.platform.row("claim/weddings/twice")
    });
    system.platform.set_faults(Faults::default());
    assert_eq!(
        system.executions("twice"),
        0,
        "the entry was frozen only after the dispatch"
    );
    wait_until("outcome unknown", 2 * common::TIMEOUT, || {
        system
            .call(1, "transfer", Some("twice"))
            .filter(|a| a.status == 504)
    });
    let settle = r#"{"organisation":"weddings","key":"twice","outcome":"not_run"}"#;
    let settled = system
        .send_as_operator(1, "POST", "/claims", settle)
        .unwrap();
    assert_eq!(settled.status, 200, "{settled:?}");
    let again = system.call(1, "transfer", Some("twice")).unwrap();
    assert_eq!(again.status, 200, "{again:?}");
    system.entries[0].thaw();
    let late = first.join().unwrap();
    assert_eq!(system.executions("twice"), 1, "{late:?}");
    system.entries[0].assert_running();
    let late = late.expect("an answer of the thawed entry");
    let replayed = late.head.contains("x-replayed: 1");
    assert!(late.status != 200 || replayed, "{late:?}");
}

/// Guards against duplicates and false refusals while requests to the table service are lost before
/// or after they take effect, and callers send each payout to two entries at once.
#[test]
fn lost_calls_of_the_table_service_cause_no_duplicate() {
    let system = Builder::default().start("lost-calls");
    let faults = Faults {
        lost_answers: 0.2,
        lost_requests: 0.2,
        ..Faults::default()
    };
    system.platform.set_faults(faults);
    let entries = [system.entries[0].http, system.entries[1].http];
    let answers = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for t in 0..4 {
            let answers = &answers;
            for entry in entries {
                scope.spawn(move || {
                    for i in 0..25 {
                        let key = format!("lost-{t}-{i}");
                        let answer = common::call(entry, "payout", Some(&key));
                        answers.lock().unwrap().push((key, answer));
                    }
                });
            }
        }
    });
    system.platform.set_faults(Faults::default());
    let answers = answers.into_inner().unwrap();
    let successful = answers
        .iter()
        .filter(|(_, a)| a.as_ref().is_some_and(|a| a.status == 200));
    assert!(successful.count() > 20, "too few payouts succeeded");
    for (key, answer) in &answers {
        let executions = system.executions(key);
        assert!(executions <= 1, "{key} ran {executions} times");
        if answer.as_ref().is_some_and(|a| a.status == 200) {
            assert_eq!(
                executions, 1,
                "{key}: answered with 200, but did not run: {answer:?}"
            );
        }
    }
}

/// Guards against payouts without a claim, and against scores that fail because the table is down.
#[test]
fn an_outage_of_the_table_refuses_payouts_and_serves_scores() {
    let system = Builder::default().start("table-outage");
    system.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let start = time::Instant::now();
    let mut scores = 0;
    while start.elapsed() < time::Duration::from_secs(6) {
        let payout = system
            .call(0, "payout", Some(&format!("outage-{scores}")))
            .unwrap();
        assert_eq!(
            (payout.status, payout.text("outcome")),
            (503, "not_run"),
            "{payout:?}"
        );
        let score = system.call(0, "score", None).unwrap();
        assert_eq!(score.status, 200, "{score:?}");
        scores += 1;
        sleep_ms(100);
    }
    assert_eq!(
        (0..scores)
            .map(|i| system.executions(&format!("outage-{i}")))
            .sum::<usize>(),
        0
    );
    system.platform.set_faults(Faults::default());
    wait_until("payouts run again", common::TIMEOUT, || {
        system
            .call(0, "payout", Some("after"))
            .filter(|a| a.status == 200)
    });
}

/// Guards against new work for a leaving server from an entry that was frozen when it left.
#[test]
fn a_thawed_entry_sends_nothing_to_a_server_that_left() {
    let system = Builder::default().start("thawed-entry");
    assert_eq!(system.call(0, "score", None).unwrap().status, 200);
    system.entries[0].freeze();
    let mut vms = system.vms.clone();
    for vm in vms.iter_mut().filter(|vm| vm.name.as_str() == "refund-0") {
        vm.state = VmState::Leaving;
    }
    system.platform.set_vms(vms);
    // A server gets no new work 3 s after it began to leave, however long an entry was frozen.
    sleep_ms(3_000);
    let before = system.backends.server(0).history().len();
    system.entries[0].thaw();
    for _ in 0..30 {
        let answer = system.call(0, "score", None).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(system.backends.server(0).history().len(), before);
}

/// Guards against a gang that stops, or starts twice, when the leading scheduler is killed.
#[test]
fn gangs_outlive_the_scheduler_that_started_them() {
    let builder = Builder {
        behaviour: long_jobs(),
        ..Builder::default()
    };
    let mut system = builder.start("killed-scheduler");
    assert_eq!(system.submit(0, "first", 2).unwrap().status, 202);
    system.wait_for_phase("first", "running", common::TIMEOUT);
    let leader = leader(&system);
    system.schedulers[leader].kill();
    wait_until("the next job is accepted", MAX_TAKEOVER_TIME, || {
        system.submit(0, "second", 1).filter(|a| a.status == 202)
    });
    system.wait_for_phase("second", "running", MAX_TAKEOVER_TIME);
    assert_eq!(system.phase(0, "first"), "running");
    wait_for_start(&system, "second");
    let starts = check_runs(&system);
    assert_eq!((starts["first"], starts["second"]), (2, 1));
}

/// Guards against orders from a scheduler that was frozen while another took over.
#[test]
fn a_thawed_scheduler_gives_no_orders() {
    let builder = Builder {
        behaviour: long_jobs(),
        schedulers: 3,
        ..Builder::default()
    };
    let system = builder.start("thawed-scheduler");
    assert_eq!(system.submit(0, "first", 1).unwrap().status, 202);
    system.wait_for_phase("first", "running", common::TIMEOUT);
    let old = leader(&system);
    system.schedulers[old].freeze();
    wait_until("the next job is accepted", MAX_TAKEOVER_TIME, || {
        system.submit(0, "second", 2).filter(|a| a.status == 202)
    });
    system.wait_for_phase("second", "running", MAX_TAKEOVER_TIME);
    system.schedulers[old].thaw();
    assert_eq!(system.submit(0, "third", 1).unwrap().status, 202);
    system.wait_for_phase("third", "running", MAX_TAKEOVER_TIME);
    wait_for_start(&system, "third");
    let starts = check_runs(&system);
    assert_eq!(
        (starts["first"], starts["second"], starts["third"]),
        (1, 2, 1)
    );
}

/// Guards against a handover that waits until the lease expires, and against a failing exit code.
#[test]
fn a_planned_stop_of_the_leader_hands_over_at_once() {
    let mut system = Builder::default().start("hand-over");
    let old = leader(&system);
    let start = time::Instant::now();
    system.schedulers[old].terminate();
    wait_until("the next job is accepted", common::TIMEOUT, || {
        system.submit(0, "after", 1).filter(|a| a.status == 202)
    });
    // Without a handover the candidates wait 6 s until the lease expires.
    let took = start.elapsed();
    assert!(
        took < time::Duration::from_secs(4),
        "the handover took {took:?}"
    );
    assert_eq!(system.schedulers[old].wait(), Some(0));
    system.wait_for_phase("after", "done", common::TIMEOUT);
}

/// Guards against running gangs that are stopped because the table service is down.
#[test]
fn gangs_run_on_during_an_outage_of_the_table() {
    let builder = Builder {
        behaviour: long_jobs(),
        ..Builder::default()
    };
    let system = builder.start("gang-outage");
    assert_eq!(system.submit(0, "long", 2).unwrap().status, 202);
    system.wait_for_phase("long", "running", common::TIMEOUT);
    system.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    // Longer than the lease of a task, which is 30 s, so the gang runs on only if it is renewed.
    sleep_ms(34_000);
    let refused = system.submit(0, "during", 1).unwrap();
    assert_ne!(refused.status, 202, "{refused:?}");
    system.platform.set_faults(Faults::default());
    wait_until("jobs are accepted again", MAX_TAKEOVER_TIME, || {
        system.submit(0, "after", 1).filter(|a| a.status == 202)
    });
    system.wait_for_phase("after", "running", MAX_TAKEOVER_TIME);
    assert_eq!(check_runs(&system)["long"], 2);
    assert_eq!(system.phase(0, "long"), "running");
}

/// Guards against a replacement of processes that loses a job, a claim or the configuration: first
/// planned stops of all, one by one, then a kill of half of them at once.
#[test]
fn nothing_is_lost_while_all_processes_are_replaced() {
    let builder = Builder {
        behaviour: long_jobs(),
        ..Builder::default()
    };
    let mut system = builder.start("replacement");
    assert_eq!(system.submit(0, "long", 2).unwrap().status, 202);
    system.wait_for_phase("long", "running", common::TIMEOUT);
    let paid = system.call(0, "payout", Some("kept")).unwrap();
    assert_eq!(paid.status, 200, "{paid:?}");
    for i in 0..2 {
        for proc in [&mut system.entries[i], &mut system.schedulers[i]] {
            proc.terminate();
            assert_eq!(proc.wait(), Some(0));
            proc.restart();
        }
        wait_until("the entry is ready", common::TIMEOUT, || {
            system.entries[i].is_ready().then_some(())
        });
    }
    system.entries[0].kill();
    system.schedulers[0].kill();
    system.entries[0].restart();
    system.schedulers[0].restart();
    wait_until("the entry is ready", common::TIMEOUT, || {
        system.entries[0].is_ready().then_some(())
    });
    wait_until("jobs are accepted", 2 * MAX_TAKEOVER_TIME, || {
        system.submit(0, "after", 1).filter(|a| a.status == 202)
    });
    system.wait_for_phase("after", "running", MAX_TAKEOVER_TIME);
    assert_eq!(system.phase(1, "long"), "running");
    assert_eq!(check_runs(&system)["long"], 2);
    let again = system.call(0, "payout", Some("kept")).unwrap();
    assert!(
        again.status == 200 && again.head.contains("x-replayed: 1"),
        "{again:?}"
    );
    assert_eq!(system.executions("kept"), 1);
    let config = system.send_as_operator(0, "GET", "/config", "").unwrap();
    assert_eq!(config.body["revision"], 1, "{config:?}");
}

/// Returns the index of the scheduler that holds the lease.
fn leader(system: &System) -> usize {
    wait_until("a leader", common::TIMEOUT, || {
        system.schedulers.iter().position(|s| {
            let dump = common::get(s.http, "/dump");
            dump.is_some_and(|d| d.body["leading"] == true)
        })
    })
}

/// Waits until a task of a job has started. The phase is stored before the starts are sent.
fn wait_for_start(system: &System, job: &str) {
    wait_until("a task starts", MAX_TAKEOVER_TIME, || {
        let workers = system.workers.workers();
        let mut runs = workers.iter().flat_map(worker::Worker::history);
        runs.any(|run| run.attempt.job.name.to_string() == job)
            .then_some(())
    });
}

/// Asserts that no accelerator was used by two tasks at the same time; returns the number of task
/// starts by job.
fn check_runs(system: &System) -> BTreeMap<String, usize> {
    let mut starts = BTreeMap::new();
    for worker in system.workers.workers() {
        let runs = worker.history();
        for (i, a) in runs.iter().enumerate() {
            *starts.entry(a.attempt.job.name.to_string()).or_default() += 1;
            for b in &runs[i + 1..] {
                assert!(
                    !overlap(a, b),
                    "two tasks used an accelerator at the same time: {a:?} {b:?}"
                );
            }
        }
    }
    starts
}

fn overlap(a: &worker::Run, b: &worker::Run) -> bool {
    let ends = |run: &worker::Run| run.ended_at.unwrap_or(Millis(u64::MAX));
    a.accelerators & b.accelerators != 0 && a.started_at < ends(b) && b.started_at < ends(a)
}

/// Guards against checks that pass on empty histories: the stand-ins must record requests and tasks.
#[test]
fn requests_and_jobs_leave_a_history() {
    let system = Builder::default().start("history");
    assert_eq!(system.call(1, "payout", Some("seen")).unwrap().status, 200);
    assert_eq!(system.executions("seen"), 1);
    assert_eq!(system.submit(1, "seen", 4).unwrap().status, 202);
    system.wait_for_phase("seen", "done", common::TIMEOUT);
    assert_eq!(check_runs(&system)["seen"], 4);
    let total: usize = system
        .backends
        .servers()
        .iter()
        .map(|s: &backend::Server| s.history().len())
        .sum();
    assert_eq!(total, 1);
}
