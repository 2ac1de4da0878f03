//! Follows what entries store: new jobs and cancellations.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::job::AcceptedJob;
use platform::table::Changes;
use store::table::Row;

use crate::{
    cx::{self, Cx},
    leader::Leader,
    load,
    rows::{self, Intake},
};

/// How long the store holds a read back while nothing changes.
const WAIT: Millis = Millis(2_000);
/// Longest read: the wait and a slow answer.
const READ: Millis = Millis(2_900);
/// Pause after a failed read.
const RETRY: Millis = Millis(100);
/// Time between two whole reads, in case the feed misses a change.
const SWEEP: Millis = Millis(20_000);

/// Follows the table of jobs from `version` until the leadership ends.
pub(crate) async fn follow(cx: Cx, leader: Rc<Leader>, mut version: u64) {
    let mut swept = clock::now();
    while !leader.ended.get() {
        if clock::now().since(swept) >= SWEEP {
            swept = clock::now();
            sweep(&cx, &leader).await;
        }
        let feed = cx.feed_table.changes(rows::JOBS, version, WAIT, READ).await;
        match feed {
            Ok(Changes::Rows {
                rows,
                version: next,
            }) => {
                let rows = rows.iter().filter(|(_, deleted)| !deleted);
                take(&leader, rows.map(|(row, _)| row));
                version = next;
            }
            Ok(Changes::Forgotten) => {
                log::warn!(version; "intake: the store has no history from this version, reading again");
                match sweep(&cx, &leader).await {
                    Some(next) => version = next,
                    None => cx::sleep(RETRY).await,
                }
            }
            Err(e) => {
                log::info!(reason:% = e; "intake: no answer from the store");
                cx::sleep(RETRY).await;
            }
        }
    }
}

/// Reads the whole table and returns its version.
async fn sweep(cx: &Cx, leader: &Leader) -> Option<u64> {
    let (rows, version) = load::read_jobs(cx).await.ok()?;
    take(leader, rows.iter());
    Some(version)
}

fn take<'a>(leader: &Leader, rows: impl Iterator<Item = &'a Row>) {
    let mut book = leader.book.borrow_mut();
    let phases = leader.phases.borrow();
    let is_over = |id: &str| phases.get(id).is_some_and(|p| p.is_final());
    let mut cancels = Vec::new();
    let mut changed = false;
    for row in rows {
        match rows::intake(&row.key) {
            // A job that is known is not decoded again, and one that ended and was forgotten does
            // not begin again.
            Some((id, Intake::Job)) if book.phase(id).is_none() && !is_over(id) => {
                let Some(rec) = rows::from_json::<AcceptedJob>(row) else {
                    continue;
                };
                log::info!(job:% = rec.id, queue:% = rec.queue, version = row.version; "intake: job");
                changed |= book.accept(rec);
            }
            Some((id, Intake::Cancel)) => cancels.push(id),
            Some(_) => {}
            None => log::error!(row:% = row.key; "intake: unknown row"),
        }
    }
    for id in cancels {
        changed |= book.cancel(id, clock::now(), clock::wall());
    }
    drop(book);
    if changed {
        leader.changed.notify_one();
    }
}
