//! Guarantees: the feasibility check of a configuration, reclaim and the choice of victims.

mod fleet;

use base::clock::Millis;
use fleet::{config, job, name, shape, worker};
use plan::{
    check::{self, ConfigRefusal},
    event::{Decision, Event, Report, WorkerInfo},
    order::{Action, Attempt},
    plan_cfg::PlanCfg,
    record::JobKey,
    state::Plan,
};
use schema::{
    config::Config,
    job::{Job, Phase, StopMode},
    shape::Adjacency,
};

fn workers(count: usize) -> Vec<WorkerInfo> {
    (0..count).map(|i| worker(i, 2)).collect()
}

fn plan_with(config: Config, count: usize) -> Plan {
    let mut plan = Plan::new(PlanCfg::default());
    plan.handle(Millis(1), Event::Configured { config });
    for worker in workers(count) {
        plan.handle(Millis(1), Event::WorkerUp { worker });
    }
    plan
}

/// Submits a job and confirms its holds.
fn submit_and_hold(plan: &mut Plan, now: u64, job: Job) -> Decision {
    let key = JobKey {
        organisation: job.organisation.clone(),
        name: job.name.clone(),
    };
    let decision = plan.handle(Millis(now), Event::Submitted { job });
    let rec = plan.job(&key).unwrap().clone();
    for member in &rec.members {
        let attempt = Attempt {
            job: key.clone(),
            attempt: rec.attempt,
        };
        plan.handle(
            Millis(now),
            Event::Member {
                attempt,
                worker: member.worker.clone(),
                report: Report::Held,
            },
        );
    }
    decision
}

fn key(organisation: &str, title: &str) -> JobKey {
    JobKey {
        organisation: name(organisation),
        name: name(title),
    }
}

fn stopped_jobs(decision: &Decision) -> Vec<String> {
    let stops = decision.orders.iter();
    let mut jobs: Vec<String> = stops
        .filter(|o| matches!(o.action, Action::Stop { .. }))
        .map(|o| o.attempt.job.name.to_string())
        .collect();
    jobs.sort();
    jobs.dedup();
    jobs
}

/// Guards against accepting guarantees that the loss of one worker breaks, by the totals or by
/// adjacency.
#[test]
fn guarantees_must_hold_with_any_worker_lost() {
    let pair = shape(2, 8, Adjacency::Rack);
    let fits = config(1, &[("a", 1, pair)]);
    assert_eq!(check::check_config(&fits, &workers(4)), Ok(()));
    let sum = config(1, &[("a", 1, pair), ("b", 1, pair)]);
    let refusal = check::check_config(&sum, &workers(4)).unwrap_err();
    let expected = ConfigRefusal::Total {
        resource: "accelerators",
        wanted: 32,
        available: 24,
    };
    assert_eq!(refusal, expected);
    // The totals suffice with 32 of 40 accelerators, but a loss in the first or second rack leaves
    // only one rack with two workers.
    let adjacency = check::check_config(&sum, &workers(5)).unwrap_err();
    assert!(matches!(
        adjacency,
        ConfigRefusal::Packing { placed: 0 | 1, .. }
    ));
    assert_eq!(check::check_config(&sum, &workers(6)), Ok(()));
}

/// Guards against a claim that waits behind borrowed work, or stops more work than it needs.
#[test]
fn an_urgent_claim_stops_the_cheapest_borrowed_work() {
    let mut plan = plan_with(config(1, &[("a", 1, shape(1, 8, Adjacency::Worker))]), 2);
    let mut restart = job("b", "restart", shape(1, 8, Adjacency::Worker));
    restart.stop = StopMode::Restart;
    submit_and_hold(&mut plan, 10, restart);
    submit_and_hold(
        &mut plan,
        20,
        job("b", "checkpoint", shape(1, 8, Adjacency::Worker)),
    );
    let mut claim = job("a", "claim", shape(1, 8, Adjacency::Worker));
    claim.urgent = true;
    let decision = submit_and_hold(&mut plan, 600_000, claim);
    assert_eq!(stopped_jobs(&decision), ["checkpoint"]);
    let attempt = Attempt {
        job: key("b", "checkpoint"),
        attempt: 1,
    };
    let worker = decision.orders[0].member.worker.clone();
    let report = Report::Stopped { checkpoint: true };
    let event = Event::Member {
        attempt,
        worker,
        report,
    };
    plan.handle(Millis(600_100), event);
    let claim = plan.job(&key("a", "claim")).unwrap();
    assert_eq!((claim.phase, claim.borrowed), (Phase::Holding, false));
}

/// Guards against a claim that stops the more expensive of two jobs on one worker.
#[test]
fn a_claim_stops_the_cheaper_job_of_a_worker() {
    let half = shape(1, 4, Adjacency::Worker);
    let mut plan = plan_with(config(1, &[("a", 1, half)]), 1);
    let mut restart = job("b", "restart", half);
    restart.stop = StopMode::Restart;
    submit_and_hold(&mut plan, 10, restart);
    submit_and_hold(&mut plan, 20, job("b", "checkpoint", half));
    let mut claim = job("a", "claim", half);
    claim.urgent = true;
    let decision = submit_and_hold(&mut plan, 600_000, claim);
    assert_eq!(stopped_jobs(&decision), ["checkpoint"]);
}

/// Guards against unstoppable work that blocks a guarantee.
#[test]
fn work_that_must_not_stop_needs_a_guarantee() {
    let mut plan = plan_with(config(1, &[("a", 1, shape(1, 4, Adjacency::Worker))]), 2);
    let mut never = job("a", "fits", shape(1, 4, Adjacency::Worker));
    never.stop = StopMode::Never;
    submit_and_hold(&mut plan, 10, never.clone());
    assert_eq!(plan.job(&key("a", "fits")).unwrap().phase, Phase::Running);
    never.name = name("second");
    submit_and_hold(&mut plan, 20, never.clone());
    assert_eq!(plan.job(&key("a", "second")).unwrap().phase, Phase::Waiting);
    never.name = name("large");
    never.shape.accelerators = 8;
    submit_and_hold(&mut plan, 30, never);
    let rec = plan.job(&key("a", "large")).unwrap();
    assert_eq!(rec.phase, Phase::Refused);
    assert!(
        rec.reason.contains("the largest is 1 members of 4"),
        "{}",
        rec.reason
    );
}

/// Guards against an unstoppable claim that loses its capacity when its guarantee is removed.
#[test]
fn a_claim_that_must_not_stop_outlives_its_guarantee() {
    let shape = shape(1, 8, Adjacency::Worker);
    let mut plan = plan_with(config(1, &[("a", 1, shape)]), 2);
    let mut never = job("a", "never", shape);
    never.stop = StopMode::Never;
    submit_and_hold(&mut plan, 10, never);
    let config = config(2, &[("b", 1, shape)]);
    plan.handle(Millis(20), Event::Configured { config });
    let mut claim = job("b", "claim", shape);
    claim.urgent = true;
    submit_and_hold(&mut plan, 30, claim);
    let kept = plan.job(&key("a", "never")).unwrap();
    let claim = plan.job(&key("b", "claim")).unwrap();
    assert_eq!((kept.phase, claim.phase), (Phase::Running, Phase::Running));
    assert_ne!(kept.members[0].worker, claim.members[0].worker);
}

/// Guards against urgent work beyond the guarantees that waits although stoppable work could make
/// room.
#[test]
fn urgent_work_takes_the_place_of_borrowed_work() {
    let mut plan = plan_with(config(1, &[("a", 0, shape(1, 1, Adjacency::Worker))]), 1);
    submit_and_hold(
        &mut plan,
        10,
        job("b", "batch", shape(1, 8, Adjacency::Worker)),
    );
    let mut urgent = job("a", "urgent", shape(1, 1, Adjacency::Worker));
    urgent.urgent = true;
    let decision = submit_and_hold(&mut plan, 1_000, urgent);
    assert_eq!(stopped_jobs(&decision), ["batch"]);
    let event = Event::Member {
        attempt: Attempt {
            job: key("b", "batch"),
            attempt: 1,
        },
        worker: name("w0"),
        report: Report::Stopped { checkpoint: true },
    };
    plan.handle(Millis(2_000), event);
    let urgent = plan.job(&key("a", "urgent")).unwrap();
    assert_eq!((urgent.phase, urgent.borrowed), (Phase::Holding, true));
}

fn report(plan: &mut Plan, now: u64, title: &str, report: Report) {
    let rec = plan.job(&key("b", title)).unwrap().clone();
    let event = Event::Member {
        attempt: Attempt {
            job: rec.key(),
            attempt: rec.attempt,
        },
        worker: rec.members[0].worker.clone(),
        report,
    };
    plan.handle(Millis(now), event);
}

/// Guards against a gang that waits although the small jobs in its way fit elsewhere.
#[test]
fn a_small_job_moves_for_a_starving_gang() {
    let mut plan = plan_with(Config::default(), 4);
    let single = |title, accelerators| {
        let mut job = job("b", title, shape(1, accelerators, Adjacency::Worker));
        job.run_time_ms = Millis::from_secs(10_000);
        job
    };
    for title in ["w", "x", "y", "z"] {
        submit_and_hold(&mut plan, 10, single(title, 8));
    }
    let worker_of = |plan: &Plan, title| {
        plan.job(&key("b", title)).unwrap().members[0]
            .worker
            .clone()
    };
    let (first, other) = (worker_of(&plan, "w"), worker_of(&plan, "y"));
    report(&mut plan, 20, "w", Report::Done);
    submit_and_hold(&mut plan, 20, single("four", 4));
    report(&mut plan, 20, "y", Report::Done);
    submit_and_hold(&mut plan, 20, single("five", 5));
    assert_eq!(
        (worker_of(&plan, "four"), worker_of(&plan, "five")),
        (first, other)
    );
    report(&mut plan, 30, "x", Report::Done);
    report(&mut plan, 30, "z", Report::Done);
    submit_and_hold(
        &mut plan,
        40,
        job("b", "gang", shape(2, 8, Adjacency::Rack)),
    );
    assert_eq!(plan.job(&key("b", "gang")).unwrap().phase, Phase::Waiting);
    let decision = plan.handle(Millis(100_000), Event::Tick);
    assert_eq!(
        stopped_jobs(&decision).len(),
        1,
        "one of the small jobs moves"
    );
    let moved = stopped_jobs(&decision).remove(0);
    let held = worker_of(&plan, &moved);
    submit_and_hold(&mut plan, 100_500, single("late", 4));
    assert_ne!(worker_of(&plan, "late"), held, "the worker is held back");
    report(
        &mut plan,
        101_000,
        &moved,
        Report::Stopped { checkpoint: true },
    );
    let gang = plan.job(&key("b", "gang")).unwrap();
    assert_eq!(gang.phase, Phase::Holding);
    assert_eq!(plan.job(&key("b", &moved)).unwrap().phase, Phase::Holding);
}

/// Guards against a guarantee that can't be reclaimed until the clock of a new leader has reached
/// the time at which an earlier leader, whose clock was ahead, accepted the job.
#[test]
fn a_claim_that_was_dated_ahead_is_reclaimed_after_a_restore() {
    const HOUR: u64 = 3_600_000;
    let guarantee = shape(1, 8, Adjacency::Worker);
    let config = config(1, &[("owner", 1, guarantee), ("other", 0, guarantee)]);
    let mut ahead = plan_with(config.clone(), 2);
    for title in ["a", "b"] {
        submit_and_hold(&mut ahead, HOUR, job("other", title, guarantee));
    }
    let claim = job("owner", "claim", guarantee);
    ahead.handle(Millis(HOUR), Event::Submitted { job: claim });
    let records = ahead.records().cloned().collect();
    let mut plan = Plan::restore(PlanCfg::default(), config, records, Millis(1));
    for worker in workers(2) {
        plan.handle(Millis(1), Event::WorkerUp { worker });
    }
    let reclaim_after = PlanCfg::default().reclaim_after.0;
    let ticks = (1..=reclaim_after / 500 + 2).map(|i| Millis(1 + i * 500));
    let stops = ticks.flat_map(|now| stopped_jobs(&plan.handle(now, Event::Tick)));
    let mut stopped: Vec<String> = stops.collect();
    // A stop without an answer is sent again.
    stopped.dedup();
    assert_eq!(stopped.len(), 1, "{stopped:?}");
}
