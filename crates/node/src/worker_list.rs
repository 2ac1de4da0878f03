//! Reads the VM list, in which the workers register.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::job::Text;
use platform::servers;
use store::table::Row;

use crate::{
    cx::{self, Cx},
    leader::Leader,
    load, worker_session,
};

/// Minimum interval between two reads.
const MIN_INTERVAL: Millis = Millis(800);
/// Pause between two reads, as a multiple of the time that the last one took. The list of all workers
/// is long for the link of a small VM.
const PAUSE_FACTOR: u64 = 4;
/// Time from the reading of the list to the last start that follows from it.
const START_TIME: Millis = Millis(400);
/// Delay after a failed read.
const RETRY_DELAY: Millis = Millis(200);

/// The rows of the VM list.
#[derive(Debug)]
pub(crate) struct VmList {
    rows: Vec<Row>,
    /// Time when the reading began.
    read_at: Millis,
}

/// Reads the list once; `None` if that fails.
pub(crate) async fn fetch(cx: &Cx) -> Option<VmList> {
    let read_at = clock::now();
    match load::read_all(cx, servers::TABLE).await {
        Ok((rows, _)) => Some(VmList { rows, read_at }),
        Err(e) => {
            log::info!(reason:% = e; "workers: failed to read the VM list");
            None
        }
    }
}

/// Applies the first list of a leadership, so that the first pass knows the workers.
pub(crate) fn apply_first(leader: &Leader, list: &VmList) {
    update(leader, list, &mut SortedMap::default());
}

/// Reads the list until the leadership ends.
pub(crate) async fn poll(cx: Cx, leader: Rc<Leader>) {
    let mut malformed = SortedMap::default();
    while !leader.ended.get() {
        let Some(list) = fetch(&cx).await else {
            cx::sleep(RETRY_DELAY).await;
            continue;
        };
        let took = clock::now().since(list.read_at);
        update(&leader, &list, &mut malformed);
        cx::sleep(pause(took, cx.cfg.worker_drain_ms)).await;
    }
}

/// Returns the pause after a read that took `took`. A worker must get no new work `drain` after it
/// announced its shutdown, which the next read may miss and the one after it shows.
fn pause(took: Millis, drain: Millis) -> Millis {
    let latest = drain.since(Millis(2 * took.0) + START_TIME);
    let wanted = Millis(PAUSE_FACTOR * took.0);
    wanted.min(latest).max(MIN_INTERVAL)
}

/// Applies the list. A malformed entry is skipped, and logged once unless its error changes.
fn update(leader: &Leader, list: &VmList, malformed: &mut SortedMap<Text, String>) {
    let mut infos = Vec::with_capacity(list.rows.len());
    for row in &list.rows {
        match servers::decode(row) {
            Ok(info) => infos.push(info),
            Err(reason) if malformed.get(&row.key) == Some(&reason) => {}
            Err(reason) => {
                log::warn!(row:% = row.key, reason; "workers: malformed entry");
                malformed.insert(row.key.clone(), reason);
            }
        }
    }
    worker_session::update_addresses(leader, &infos);
    leader
        .scheduler
        .borrow_mut()
        .apply_vm_list(infos, list.read_at, clock::now());
    leader.changed.notify_one();
}
