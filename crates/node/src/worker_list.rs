//! Reads the list of workers.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    sorted::SortedMap,
};
use batch::job::Text;
use platform::servers;
use store::table::Row;

use crate::{
    contact,
    cx::{self, Cx},
    leader::Leader,
    load,
};

/// Time between two readings. A worker that leaves has to be left alone 2 s after it said so.
const EVERY: Millis = Millis(800);
/// Pause after a failed reading.
const RETRY: Millis = Millis(200);

/// Reads the list once, so that the first pass knows where the workers are.
pub(crate) async fn read(cx: &Cx, leader: &Leader) {
    match load::read_all(cx, servers::TABLE).await {
        Ok((rows, _)) => take(leader, &rows, &mut SortedMap::default()),
        Err(e) => log::info!(reason:% = e; "workers: the list can't be read"),
    }
}

/// Reads the list until the leadership ends.
pub(crate) async fn poll(cx: Cx, leader: Rc<Leader>) {
    let mut malformed = SortedMap::default();
    while !leader.ended.get() {
        match load::read_all(&cx, servers::TABLE).await {
            Ok((rows, _)) => {
                take(&leader, &rows, &mut malformed);
                cx::sleep(EVERY).await;
            }
            Err(e) => {
                log::info!(reason:% = e; "workers: the list can't be read");
                cx::sleep(RETRY).await;
            }
        }
    }
}

/// Hands the list on. A malformed entry names no worker and is logged once for each version.
fn take(leader: &Leader, rows: &[Row], malformed: &mut SortedMap<Text, String>) {
    let mut infos = Vec::with_capacity(rows.len());
    for row in rows {
        match servers::decode(row) {
            Ok(info) => infos.push(info),
            Err(reason) if malformed.get(&row.key) == Some(&reason) => {}
            Err(reason) => {
                log::warn!(row:% = row.key, reason; "workers: malformed entry");
                malformed.insert(row.key.clone(), reason);
            }
        }
    }
    contact::listed(leader, &infos);
    leader.book.borrow_mut().update_workers(infos, clock::now());
    leader.changed.notify_one();
}
