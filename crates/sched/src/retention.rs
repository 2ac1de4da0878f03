//! Retention of job records and claims. Records of jobs that ended long ago are removed, so that a
//! takeover does not have to read them.

use std::rc::Rc;

use base::clock::{self, Millis};
use claim::retention::{self, Step};
use store::table::{Row, Txn};

use crate::{
    ctx::{self, Cx},
    executor::{self, CommitError},
    leader::Leader,
    lease_task::to_json,
    rows,
};

/// Interval of the sweeps.
const SWEEP_INTERVAL: Millis = Millis(1_000);
/// Maximum number of claims that are read, and so of those that are changed, in one sweep.
const CLAIMS_PER_SWEEP: usize = 50;

/// Applies the retention of claims until the leadership ends.
pub(crate) async fn run_claims(cx: &Cx, leader: &Rc<Leader>) {
    let mut after = String::new();
    while leader.is_alive() {
        ctx::sleep(SWEEP_INTERVAL).await;
        let stuck = leader.with_state(|s| s.stuck).unwrap_or(true);
        let Some(members) = leader.config.member_ids() else {
            continue;
        };
        if stuck || !cx.is_acting(leader) {
            continue;
        }
        let Some(ages) = leader.with_state(|s| s.ages.clone()) else {
            continue;
        };
        let age = |row: &Row| ages.age(clock::now(), row.version);
        match retention::sweep(&cx.table, &after, CLAIMS_PER_SWEEP, age, &members).await {
            Ok(step) => {
                log_sweep(&step);
                after = step.next.unwrap_or_default();
            }
            Err(e) => log::debug!("claim: the sweep failed: {e}"),
        }
    }
}

fn log_sweep(step: &Step) {
    if step.deleted + step.marked > 0 {
        log::info!(deleted = step.deleted, unknown = step.marked; "claim: swept");
    }
}

/// Measures the ages of rows until the leadership ends.
pub(crate) async fn run_ages(cx: &Cx, leader: &Rc<Leader>) {
    while leader.is_alive() {
        ctx::sleep(cx.cfg.jobs.ages_ms).await;
        let stuck = leader.with_state(|s| s.stuck).unwrap_or(true);
        if !stuck && cx.is_acting(leader) {
            mark_version(cx, leader).await;
        }
    }
}

async fn mark_version(cx: &Cx, leader: &Leader) {
    let now = clock::now();
    let Some((row, version)) = leader.with_state(|s| (s.ages.row(now), s.ages.version())) else {
        return;
    };
    let key = rows::ages_key(&cx.cfg.shard);
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check(key.clone(), version)
        .put(key, to_json(&row));
    match executor::commit_txn(cx, leader, &txn).await {
        Ok(version) => {
            leader.with_state(|s| s.ages.mark(clock::now(), version));
        }
        Err(CommitError::Conflict { .. }) => {
            cx.end_leadership("the ages of rows have an unexpected version, the state is rebuilt");
        }
        Err(CommitError::Lost { .. }) => {}
    }
}

/// Removes expired job records until the leadership ends.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) {
    while leader.is_alive() {
        ctx::sleep(SWEEP_INTERVAL).await;
        let stuck = leader.with_state(|s| s.stuck).unwrap_or(true);
        if !stuck && cx.is_acting(leader) {
            remove_expired(cx, leader).await;
        }
    }
}

async fn remove_expired(cx: &Cx, leader: &Leader) {
    let cfg = &cx.cfg.jobs;
    let jobs = leader.with_state(|s| s.expired(clock::now(), cfg.keep_ms, cfg.removals_per_s));
    let jobs = jobs.unwrap_or_default();
    if jobs.is_empty() {
        return;
    }
    let mut txn = Txn::default().check(cx.lease_key(), leader.held.version);
    for (job, version) in &jobs {
        txn = txn.check(rows::job_key(job), *version);
        txn = txn.delete(rows::job_key(job));
    }
    match executor::commit_txn(cx, leader, &txn).await {
        Ok(_) => {
            for (job, version) in &jobs {
                log::info!(job:%, version; "sched: expired job record removed");
            }
            leader.with_state(|s| s.forget(&jobs));
        }
        Err(e) => log::warn!("sched: removal of expired job records failed: {e:?}"),
    }
}
