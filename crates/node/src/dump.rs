//! Dump of the state of a node for operators.

use base::clock::{self, Millis};
use batch::speed_report::SlowWorker;
use serde::Serialize;

use crate::cx::Cx;

/// Maximum number of slow workers in a dump.
const MAX_SLOWEST: usize = 20;

#[derive(Serialize)]
struct Dump<'a> {
    name: &'a str,
    id: u64,
    config_version: u64,
    config_age_ms: Option<Millis>,
    nodes_known: usize,
    requests: usize,
    stopping: bool,
    leading: Option<Leading>,
}

#[derive(Serialize)]
struct Leading {
    fence: u64,
    acting: bool,
    loaded: bool,
    since_ms: Millis,
    commits: u64,
    counts: batch::scheduler::Counts,
    /// Number of workers that are slow for urgent work.
    slow_workers: usize,
    slowest_workers: Vec<SlowWorker>,
}

/// Returns the state as JSON.
pub(crate) fn to_json(cx: &Cx) -> Vec<u8> {
    let leader = cx.leader.borrow().clone();
    let leading = leader.map(|l| Leading {
        fence: l.held.fence,
        acting: cx.acting().is_some(),
        loaded: l.loaded.get(),
        since_ms: clock::now().since(l.started_at),
        commits: l.chain.get().1,
        counts: l.scheduler.borrow().counts(),
        slow_workers: l.scheduler.borrow().slow_workers(),
        slowest_workers: l.scheduler.borrow().slowest_workers(MAX_SLOWEST),
    });
    let dump = Dump {
        name: &cx.cfg.name,
        id: cx.candidate.id,
        config_version: cx.config().version,
        config_age_ms: cx.config_age(),
        nodes_known: cx.peers.count(),
        requests: cx.requests.count(),
        stopping: cx.stopping.get(),
        leading,
    };
    serde_json::to_vec(&dump).expect("plain data has a JSON form")
}
