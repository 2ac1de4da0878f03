//! Random histories with crashes and restores: safety at every commit, progress at the end.

mod fleet;

use base::clock::Millis;
use fleet::{
    config, job, name, shape, worker,
    world::{Op, Setting, World},
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

fn shrunk() -> Config {
    config(
        2,
        &[
            ("org", 1, shape(1, 8, Adjacency::Worker)),
            ("other", 2, shape(2, 4, Adjacency::Rack)),
        ],
    )
}

fn setting() -> Setting {
    Setting {
        jobs: random_job,
        configs: vec![guaranteed(), shrunk(), Config::default()],
        workers: (0..6).map(|i| worker(i, 3)).collect(),
    }
}

fn run(ops: &[Op], settled: fn(&mut World)) -> TestResult {
    let mut world = World::new(setting());
    for op in ops {
        world.step(op);
        if let Some(error) = &world.error {
            return TestResult::error(error);
        }
    }
    world.settle();
    world.check_settled();
    settled(&mut world);
    match world.error {
        Some(error) => TestResult::error(error),
        None => TestResult::passed(),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that quickcheck calls"
)]
fn any(ops: Vec<Op>) -> TestResult {
    run(&ops, |_| {})
}

/// Histories in which neither workers nor the configuration change.
fn steady(ops: Vec<Op>) -> TestResult {
    let changes = |op: &Op| {
        matches!(
            op,
            Op::Lose(_) | Op::Leave(_) | Op::Configure(_) | Op::End(_, false)
        )
    };
    let ops: Vec<Op> = ops.into_iter().filter(|op| !changes(op)).collect();
    run(&ops, |world| {
        if world.plan.unlocated() > 0 {
            world.fail("a guarantee has no capacity set aside".into());
        }
        claim_whole(world);
    })
}

/// An urgent job of an unclaimed guaranteed shape must run as soon as the borrowed work stopped.
fn claim_whole(world: &mut World) {
    let organisation = name("other");
    let claims = |r: &&JobRecord| r.claim.is_some() && r.job.organisation == organisation;
    if world.db.values().any(|r| claims(&r)) {
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
    let rec = JobRecord::submitted(job.clone(), world.now);
    world.claim(job);
    let phase = world.db.get(&rec.key()).map(|r| r.phase);
    if phase != Some(Phase::Running) {
        world.fail(format!("the claim of a guarantee is {phase:?}"));
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

/// Guards against accelerators used twice, partial gangs, starts after a final phase, gangs that
/// hang after a crash, and borrowed work in the way of a guarantee.
#[test]
fn any_history_is_safe_and_settles() {
    check_all(any);
}

/// Guards against guarantees that are lost although no worker is.
#[test]
fn guarantees_stay_set_aside_while_the_workers_stay() {
    let workers: Vec<_> = setting().workers;
    check::check_config(&guaranteed(), &workers).unwrap();
    check_all(steady);
}
