//! Random histories with crashes and restores. Checks safety at every commit and progress at the
//! end.

mod fleet;

use base::clock::Millis;
use fleet::{
    config, job, name, shape,
    simulation::{Op, Scenario, Simulation},
    worker,
};
use plan::{check, record::JobRecord};
use quickcheck::{Gen, QuickCheck, TestResult};
use schema::{
    config::Config,
    job::{Job, Phase, StopMode},
    shape::Adjacency,
};

fn random_job(n: u8, i: usize) -> Job {
    let adjacency = [Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre][usize::from(n % 3)];
    let members = u16::from(n / 3 % 4) + 1;
    let accelerators = [1, 2, 4, 8][usize::from(n / 16 % 4)];
    let organisation = ["org", "other"][i % 2];
    let mut job = job(
        organisation,
        &format!("j{i}"),
        shape(members, accelerators, adjacency),
    );
    job.shape.cores = u16::from(n / 8) / 2 + 1;
    job.run_time_ms = Millis(10_000 + u64::from(n) * 1_000);
    job.urgent = n.is_multiple_of(5);
    job.stop = [StopMode::Checkpoint, StopMode::Restart, StopMode::Never][usize::from(n / 7 % 3)];
    job
}

fn guaranteed() -> Config {
    let mut pair = shape(2, 8, Adjacency::Rack);
    pair.cores = 16;
    let mut half = shape(1, 4, Adjacency::Worker);
    half.cores = 16;
    config(1, &[("org", 1, pair), ("org", 2, half), ("other", 1, pair)])
}

fn reduced_guarantees() -> Config {
    config(
        2,
        &[
            ("org", 1, shape(1, 8, Adjacency::Worker)),
            ("other", 2, shape(2, 4, Adjacency::Rack)),
        ],
    )
}

fn scenario() -> Scenario {
    Scenario {
        jobs: random_job,
        configs: vec![guaranteed(), reduced_guarantees(), Config::default()],
        workers: (0..6).map(|i| worker(i, 3)).collect(),
    }
}

fn run(ops: &[Op], settled: fn(&mut Simulation)) -> TestResult {
    let mut simulation = Simulation::new(scenario());
    for op in ops {
        simulation.step(op);
        if let Some(error) = &simulation.error {
            return TestResult::error(error);
        }
    }
    simulation.settle();
    simulation.check_settled();
    settled(&mut simulation);
    match simulation.error {
        Some(error) => TestResult::error(error),
        None => TestResult::passed(),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that quickcheck calls"
)]
fn any_history(ops: Vec<Op>) -> TestResult {
    run(&ops, |_| {})
}

/// Histories in which no worker is lost, leaves or fails a job, and the configuration does not
/// change.
fn stable_history(ops: Vec<Op>) -> TestResult {
    let changes = |op: &Op| {
        matches!(
            op,
            Op::Lose(_) | Op::Leave(_) | Op::Configure(_) | Op::End(_, false)
        )
    };
    let ops: Vec<Op> = ops.into_iter().filter(|op| !changes(op)).collect();
    run(&ops, |simulation| {
        if simulation.plan.unlocated() > 0 {
            simulation.fail("a guarantee has no capacity set aside".into());
        }
        check_unclaimed_guarantee(simulation);
    })
}

/// Checks that an urgent job with the shape of an unclaimed guarantee runs as soon as the borrowed
/// work has stopped.
fn check_unclaimed_guarantee(simulation: &mut Simulation) {
    let organisation = name("other");
    let claims = |r: &&JobRecord| r.claim.is_some() && r.job.organisation == organisation;
    if simulation.records.values().any(|r| claims(&r)) {
        return;
    }
    let shape = guaranteed()
        .organisations
        .get(&organisation)
        .unwrap()
        .guarantees[0]
        .shape;
    let mut job = job("other", "claim", shape);
    job.urgent = true;
    job.stop = StopMode::Never;
    let rec = JobRecord::submitted(job.clone(), simulation.now);
    simulation.submit_and_deliver(job);
    let phase = simulation.records.get(&rec.key()).map(|r| r.phase);
    if phase != Some(Phase::Running) {
        simulation.fail(format!("the claim of a guarantee is {phase:?}"));
    }
}

fn check_all(property: fn(Vec<Op>) -> TestResult) {
    for seed in 1..=4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(120, seed))
            .tests(150)
            .quickcheck(property);
    }
}

/// Guards against accelerators that are allocated twice, partial gangs, starts after a final phase,
/// gangs that hang after a crash, and borrowed work that blocks a guarantee.
#[test]
fn any_history_is_safe_and_settles() {
    check_all(any_history);
}

/// Guards against guarantees that lose their reservation although no worker is lost.
#[test]
fn guarantees_stay_set_aside_while_the_workers_stay() {
    let workers: Vec<_> = scenario().workers;
    check::check_config(&guaranteed(), &workers).unwrap();
    check_all(stable_history);
}
