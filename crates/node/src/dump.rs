//! Dump of the state of a node for operators.

use base::clock::{self, Millis};
use batch::{job::Text, speed_report::SlowWorker, zone_evacuation::EvacuatedZone};
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
    evacuated: Vec<Evacuated>,
    nodes_known: usize,
    requests: usize,
    stopping: bool,
    leading: Option<Leading>,
}

/// A data centre whose evacuation the operator requests.
#[derive(Serialize)]
struct Evacuated {
    zone: Text,
    /// Version of the row of the request.
    row: u64,
    /// Time since this node has read the row.
    age_ms: Millis,
}

#[derive(Serialize)]
struct Leading {
    fence: u64,
    acting: bool,
    loaded: bool,
    since_ms: Millis,
    commits: u64,
    counts: batch::scheduler::Counts,
    /// What is left in each evacuated data centre.
    evacuated: Vec<EvacuatedZone>,
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
        evacuated: l.scheduler.borrow().evacuated_zones(),
        slow_workers: l.scheduler.borrow().slow_workers(),
        slowest_workers: l.scheduler.borrow().slowest_workers(MAX_SLOWEST),
    });
    let requests = cx.evacuations.borrow();
    let evacuated = requests.iter().map(|(zone, request)| Evacuated {
        zone: zone.clone(),
        row: request.version,
        age_ms: clock::now().since(request.seen_at),
    });
    let dump = Dump {
        name: &cx.cfg.name,
        id: cx.candidate.id,
        config_version: cx.config().version,
        config_age_ms: cx.config_age(),
        evacuated: evacuated.collect(),
        nodes_known: cx.peers.count(),
        requests: cx.requests.count(),
        stopping: cx.stopping.get(),
        leading,
    };
    serde_json::to_vec(&dump).expect("plain data has a JSON form")
}
