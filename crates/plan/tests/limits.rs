//! Refusals, quotas, wrong declarations, and faulty workers and jobs.

mod fleet;

use base::clock::Millis;
use fleet::{job, name, shape, worker};
use plan::{
    event::{Decision, Event, Report, WorkerInfo},
    order::{Action, Attempt},
    plan_cfg::PlanCfg,
    record::{JobKey, JobRecord},
    state::Plan,
};
use schema::{
    config::{Config, TeamKey},
    job::{Job, Phase},
    organisation::Team,
    shape::Adjacency,
};

fn plan_with(workers: usize) -> Plan {
    let mut plan = Plan::new(PlanCfg::default());
    for i in 0..workers {
        let worker = worker(i, 4);
        plan.handle(Millis(1), Event::WorkerUp { worker });
    }
    plan
}

fn quota(accelerators: u32) -> Event {
    let team = Team {
        organisation: name("org"),
        name: name("team"),
        quota_accelerators: accelerators,
    };
    let key = TeamKey {
        organisation: name("org"),
        team: name("team"),
    };
    let mut config = Config::default();
    config.teams.insert(key, team);
    Event::Configured { config }
}

fn rec<'a>(plan: &'a Plan, title: &str) -> &'a JobRecord {
    let key = JobKey {
        organisation: name("org"),
        name: name(title),
    };
    plan.job(&key).unwrap()
}

fn submit(plan: &mut Plan, now: u64, job: Job) -> JobRecord {
    let title = job.name.clone();
    plan.handle(Millis(now), Event::Submitted { job });
    rec(plan, title.as_str()).clone()
}

fn report(plan: &mut Plan, now: u64, title: &str, report: Report) -> Decision {
    let rec = rec(plan, title).clone();
    let event = Event::Member {
        attempt: Attempt {
            job: rec.key(),
            attempt: rec.attempt,
        },
        worker: rec.members[0].worker.clone(),
        report,
    };
    plan.handle(Millis(now), event)
}

fn single(title: &str) -> Job {
    job("org", title, shape(1, 1, Adjacency::Worker))
}

/// Guards against impossible jobs that wait for ever, and against refusals that do not name the
/// limit.
#[test]
fn impossible_jobs_are_refused_with_the_largest_possible_value() {
    let mut plan = plan_with(4);
    plan.handle(Millis(5), quota(16));
    let cases = [
        (
            shape(65, 1, Adjacency::DataCentre),
            "a gang has 1 to 64 members, not 65",
        ),
        (
            shape(1, 9, Adjacency::Worker),
            "a worker has at most 8 accelerators; a member needs 9",
        ),
        (
            shape(2, 5, Adjacency::Worker),
            "one worker holds at most 1 such members; the gang has 2",
        ),
        (
            shape(3, 8, Adjacency::Rack),
            "the quota of the team is 16 accelerators; the job needs 24",
        ),
    ];
    for (i, (shape, reason)) in cases.into_iter().enumerate() {
        let rec = submit(&mut plan, 10, job("org", &format!("j{i}"), shape));
        assert_eq!((rec.phase, rec.reason.as_str()), (Phase::Refused, reason));
    }
}

/// Guards against a job that keeps waiting after a configuration change made it impossible.
#[test]
fn a_waiting_job_is_refused_when_its_quota_shrinks() {
    let mut plan = plan_with(1);
    submit(
        &mut plan,
        10,
        job("org", "first", shape(1, 8, Adjacency::Worker)),
    );
    submit(
        &mut plan,
        20,
        job("org", "second", shape(1, 8, Adjacency::Worker)),
    );
    plan.handle(Millis(30), quota(4));
    assert_eq!(rec(&plan, "second").phase, Phase::Refused);
    assert_eq!(
        rec(&plan, "first").phase,
        Phase::Holding,
        "it was placed before"
    );
}

/// Guards against a team that uses more than its quota.
#[test]
fn a_quota_limits_what_runs_at_once() {
    let mut plan = plan_with(4);
    plan.handle(Millis(5), quota(8));
    submit(
        &mut plan,
        10,
        job("org", "first", shape(1, 8, Adjacency::Worker)),
    );
    let second = submit(&mut plan, 20, single("second"));
    assert_eq!(second.phase, Phase::Waiting);
    report(&mut plan, 30, "first", Report::Held);
    report(&mut plan, 40, "first", Report::Done);
    assert_eq!(rec(&plan, "second").phase, Phase::Holding);
}

/// Guards against a faulty worker that attracts and fails all jobs, and against healthy jobs that
/// are blamed for it.
#[test]
fn a_worker_that_fails_different_jobs_is_quarantined_and_probed() {
    let mut plan = plan_with(1);
    for (i, title) in ["a", "b", "c"].into_iter().enumerate() {
        submit(&mut plan, 10 + i as u64, single(title));
        report(&mut plan, 20, title, Report::Held);
    }
    for title in ["a", "b", "c"] {
        report(&mut plan, 30, title, Report::Failed);
    }
    let fourth = submit(&mut plan, 40, single("d"));
    assert_eq!(fourth.phase, Phase::Waiting, "the worker is in quarantine");
    plan.handle(Millis(61_000), Event::Tick);
    let held = ["a", "b", "c", "d"].map(|t| rec(&plan, t).phase == Phase::Holding);
    assert_eq!(
        held.iter().filter(|h| **h).count(),
        1,
        "one job probes the worker"
    );
}

/// Guards against a faulty job that fails on all workers in turn.
#[test]
fn a_job_that_fails_on_three_workers_ends() {
    let mut plan = plan_with(4);
    submit(&mut plan, 10, single("a"));
    for i in 0..3 {
        assert_eq!(rec(&plan, "a").phase, Phase::Holding);
        report(&mut plan, 20 + i, "a", Report::Held);
        report(&mut plan, 20 + i, "a", Report::Failed);
    }
    assert_eq!(rec(&plan, "a").phase, Phase::Failed);
}

/// Guards against a faulty job that is retried for ever on the only worker.
#[test]
fn a_job_that_fails_again_and_again_on_one_worker_ends() {
    let mut plan = plan_with(1);
    submit(&mut plan, 10, single("a"));
    for i in 0..6 {
        assert_eq!(rec(&plan, "a").phase, Phase::Holding, "after {i} failures");
        report(&mut plan, 20 + i, "a", Report::Held);
        report(&mut plan, 20 + i, "a", Report::Failed);
    }
    assert_eq!(rec(&plan, "a").phase, Phase::Failed);
}

/// Guards against work that uses the memory of other work on its worker.
#[test]
fn work_beyond_its_memory_is_throttled_then_stopped_then_charged() {
    let mut plan = plan_with(1);
    submit(&mut plan, 10, single("a"));
    report(&mut plan, 20, "a", Report::Held);
    let over = Report::Running { memory_mb: 2_000 };
    let throttle = report(&mut plan, 1_000, "a", over);
    assert_eq!(throttle.orders[0].action, Action::Throttle);
    let stop = report(&mut plan, 12_000, "a", over);
    assert!(matches!(stop.orders[0].action, Action::Stop { .. }));
    report(&mut plan, 12_100, "a", Report::Stopped { checkpoint: true });
    assert_eq!(rec(&plan, "a").charged_memory_mb, 2_000);
    report(&mut plan, 12_200, "a", Report::Held);
    report(&mut plan, 12_300, "a", Report::Running { memory_mb: 5_000 });
    report(&mut plan, 23_000, "a", Report::Running { memory_mb: 5_000 });
    report(&mut plan, 23_100, "a", Report::Stopped { checkpoint: true });
    assert_eq!(
        rec(&plan, "a").phase,
        Phase::Failed,
        "beyond four times its declaration"
    );
}

/// Guards against unbounded corrections, and against corrections that are lost by a restore.
#[test]
fn memory_corrections_are_learned_bounded_and_restored() {
    let mut plan = plan_with(1);
    for i in 0..20 {
        let title = format!("j{i}");
        submit(&mut plan, 10, single(&title));
        report(&mut plan, 20, &title, Report::Held);
        report(&mut plan, 30, &title, Report::Running { memory_mb: 9_000 });
        report(&mut plan, 40, &title, Report::Done);
    }
    let charged = submit(&mut plan, 50, single("next")).charged_memory_mb;
    assert!((3_900..=4_096).contains(&charged), "{charged}");
    let records = plan
        .records()
        .filter(|r| r.phase == Phase::Done)
        .cloned()
        .collect();
    let mut plan = Plan::restore(PlanCfg::default(), Config::default(), records, Millis(60));
    let worker = worker(0, 4);
    plan.handle(Millis(70), Event::WorkerUp { worker });
    assert_eq!(
        submit(&mut plan, 80, single("next")).charged_memory_mb,
        charged
    );
}

/// Guards against a burst of submissions that makes one decision too large, and against a batch of
/// cancellations that leaves jobs or members behind.
#[test]
fn a_burst_and_a_wave_of_cancellations_stay_bounded() {
    let mut plan = plan_with(8);
    let mut largest = 0;
    for i in 0..10_000 {
        let job = single(&format!("j{i}"));
        let decision = plan.handle(Millis(10 + i / 10), Event::Submitted { job });
        largest = largest.max(decision.records.len());
    }
    for i in 0..5_000 {
        let job = rec(&plan, &format!("j{}", i * 2)).key();
        let decision = plan.handle(Millis(1_100), Event::CancelAsked { job });
        assert!(decision.records.len() <= 1);
    }
    largest = largest.max(plan.handle(Millis(2_000), Event::Tick).records.len());
    assert!(largest <= 200, "{largest} records in one decision");
    let open = plan.records().filter(|r| !r.phase.is_final()).count();
    assert_eq!(open, 5_000);
    let cancelled = plan.records().filter(|r| r.cancelled);
    assert!(
        cancelled
            .into_iter()
            .all(|r| r.phase == Phase::Cancelled && r.members.is_empty())
    );
}

/// Guards against the refusal of an accepted gang because the large workers have not yet answered
/// the new leader.
#[test]
fn a_new_leader_refuses_no_job_before_it_knows_all_workers() {
    let large = job("org", "large", shape(1, 8, Adjacency::Worker));
    let accepted = vec![JobRecord::submitted(large, Millis(2))];
    let mut plan = Plan::restore(PlanCfg::default(), Config::default(), accepted, Millis(10));
    let small = WorkerInfo {
        accelerators: 4,
        ..worker(1, 4)
    };
    plan.handle(Millis(11), Event::WorkerUp { worker: small });
    plan.handle(Millis(60_000), Event::Tick);
    assert_eq!(rec(&plan, "large").phase, Phase::Waiting);
    plan.handle(Millis(61_000), Event::FleetKnown { known: true });
    plan.handle(Millis(62_000), Event::Tick);
    assert_eq!(rec(&plan, "large").phase, Phase::Refused);
}
