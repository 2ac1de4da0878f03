//! Retention: records of jobs that ended long ago, so that a takeover does not read them, and claims.

use std::rc::Rc;

use base::clock::{self, Millis};
use claim::retention;
use store::table::Txn;

use crate::{
    ctx::{self, Cx},
    executor,
    leader::Leader,
    rows,
};

/// Time between two sweeps.
const SWEEP: Millis = Millis(1_000);

/// Most claims read, and so most changed, in one second.
const CLAIMS: usize = 50;

/// Applies the retention of claims until the leadership ends.
pub(crate) async fn run_claims(cx: &Cx, leader: &Rc<Leader>) {
    let mut after = String::new();
    while leader.is_alive() {
        ctx::sleep(SWEEP).await;
        let stuck = leader.with(|s| s.stuck).unwrap_or(true);
        let Some(members) = leader.config.member_ids() else {
            continue;
        };
        if stuck || !cx.is_acting(leader) {
            continue;
        }
        match retention::sweep(&cx.table, &after, CLAIMS, clock::wall(), &members).await {
            Ok(step) => after = step.next.unwrap_or_default(),
            Err(e) => log::debug!("claim: the sweep is not done: {e}"),
        }
    }
}

/// Removes outdated records until the leadership ends.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) {
    while leader.is_alive() {
        ctx::sleep(SWEEP).await;
        let stuck = leader.with(|s| s.stuck).unwrap_or(true);
        if !stuck && cx.is_acting(leader) {
            sweep(cx, leader).await;
        }
    }
}

async fn sweep(cx: &Cx, leader: &Leader) {
    let (cfg, now) = (&cx.cfg.jobs, cx.plan_now());
    let jobs = leader.with(|s| s.outdated(now, cfg.keep_ms, cfg.removals_per_s));
    let jobs = jobs.unwrap_or_default();
    if jobs.is_empty() {
        return;
    }
    let mut txn = Txn::default().check(cx.lease_key(), leader.held.version);
    for (job, version) in &jobs {
        txn = txn.check(rows::job_key(job), *version);
        txn = txn.delete(rows::job_key(job));
    }
    match executor::settle(cx, leader, &txn).await {
        Ok(_) => {
            leader.with(|s| s.forget(&jobs));
        }
        Err(e) => log::warn!("sched: outdated job records are not removed: {e:?}"),
    }
}
