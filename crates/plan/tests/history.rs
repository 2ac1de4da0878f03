//! Random histories with crashes and restores: safety at every commit, progress at the end.

mod fleet;

use base::clock::Millis;
use fleet::{
    job, shape, worker,
    world::{Op, Setting, World},
};
use quickcheck::{Gen, QuickCheck, TestResult};
use schema::{config::Config, job::Job, shape::Adjacency};

fn random_job(n: u8, i: usize) -> Job {
    let adjacency = [Adjacency::Worker, Adjacency::Rack, Adjacency::DataCentre][usize::from(n % 3)];
    let members = u16::from(n / 3 % 4) + 1;
    let accelerators = [1, 2, 4, 8][usize::from(n / 16 % 4)];
    let mut job = job(
        "org",
        &format!("j{i}"),
        shape(members, accelerators, adjacency),
    );
    job.shape.cores = u16::from(n / 8) + 1;
    job.run_time_ms = Millis(10_000 + u64::from(n) * 1_000);
    job
}

fn setting() -> Setting {
    Setting {
        jobs: random_job,
        configs: vec![Config::default()],
        workers: (0..6).map(|i| worker(i, 3)).collect(),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the signature that quickcheck calls"
)]
fn run(ops: Vec<Op>) -> TestResult {
    let mut world = World::new(setting());
    for op in &ops {
        world.step(op);
        if let Some(error) = &world.error {
            return TestResult::error(error);
        }
    }
    world.settle();
    world.check_settled();
    match world.error {
        Some(error) => TestResult::error(error),
        None => TestResult::passed(),
    }
}

/// Guards against accelerators used twice, partial gangs, starts after a final phase, and gangs
/// that hang after a crash.
#[test]
fn any_history_is_safe_and_settles() {
    for seed in 1..=4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(120, seed))
            .tests(150)
            .quickcheck(run as fn(Vec<Op>) -> TestResult);
    }
}
