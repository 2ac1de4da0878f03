//! Watches the jobs and cancellations that entries store.

use std::rc::Rc;

use base::clock::{self, Millis};
use platform::table::Changes;
use store::table::Row;
use transfer::limit::Limit;

use crate::{
    cx::{self, Cx},
    leader::Leader,
    load, peers,
    rows::{self, JobRowKind},
};

/// Time for which the store delays its answer while nothing changes.
const FEED_WAIT: Millis = Millis(2_000);
/// Limit of a read: the wait and time for a slow answer.
const FEED_LIMIT: Limit = Limit {
    answer: Millis(2_900),
    pause: Millis(900),
};
/// Delay after a failed read.
const RETRY_DELAY: Millis = Millis(100);
/// Interval between two reads of a part of the table, in case the feed misses a change. One is
/// found after 16 intervals and the time of a feed, or 23 s.
const PART_READ_INTERVAL: Millis = Millis(1_250);
/// Maximum number of parts that are read one after another after a delay.
const MAX_OVERDUE_PARTS: u64 = 2;

/// Returns whether the last answer of the feed is older than a wait for changes takes, so that jobs which
/// were stored since may be missing.
pub(crate) fn is_late(leader: &Leader) -> bool {
    let (_, answered_at) = leader.feed.get();
    clock::now().since(answered_at) > FEED_LIMIT.answer
}

/// Watches the table of jobs from `version` on until the leadership ends.
pub(crate) async fn watch(cx: Cx, leader: Rc<Leader>, mut version: u64) {
    let mut rereads = PartReads::new(clock::now());
    let mut wait = FEED_WAIT;
    while !leader.ended.get() {
        // No read is under way, and later ones return no older row.
        leader
            .removed_jobs
            .borrow_mut()
            .retain(|_, job| job.deleted > version);
        rereads.run(&cx, &leader).await;
        let exchange = Rc::default();
        let feed = cx
            .feed_table
            .changes(rows::JOBS, version, wait, FEED_LIMIT, &exchange);
        // After a failure it is found out at once whether submissions were missed.
        wait = Millis::ZERO;
        let suspected = async || cx.peers.suspected().await;
        let feed = tokio::select! {
            feed = peers::wait_unless(suspected, &exchange, feed) => match feed {
                Some(feed) => feed,
                None => continue,
            },
            () = leader.read_again.notified() => {
                read_all(&cx, &leader).await;
                continue;
            }
        };
        match feed {
            Ok(Changes::Rows {
                rows,
                version: next,
            }) => {
                let rows = rows.iter().filter(|(_, deleted)| !deleted);
                apply(&cx, &leader, rows.map(|(row, _)| row));
                version = next;
                leader.feed.set((version, clock::now()));
                wait = FEED_WAIT;
            }
            Ok(Changes::HistoryGone) => {
                log::warn!(version; "intake: the store has no history since this version, reading again");
                match read_all(&cx, &leader).await {
                    Some(next) => version = next,
                    None => cx::sleep(RETRY_DELAY).await,
                }
            }
            Err(e) => {
                log::info!(reason:% = e; "intake: failed to read changes from the store");
                cx::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads of the parts of the table in turn.
struct PartReads {
    tables: Vec<String>,
    next: usize,
    due: Millis,
}

impl PartReads {
    fn new(now: Millis) -> Self {
        Self {
            tables: rows::job_tables().collect(),
            next: 0,
            due: now + PART_READ_INTERVAL,
        }
    }

    /// Reads the parts that are due. One that can't be read stays the next one.
    async fn run(&mut self, cx: &Cx, leader: &Leader) {
        for _ in 0..MAX_OVERDUE_PARTS {
            if clock::now() < self.due || leader.ended.get() {
                return;
            }
            match load::read_all(cx, &self.tables[self.next]).await {
                Ok((rows, _)) => {
                    apply(cx, leader, rows.iter());
                    self.next = (self.next + 1) % self.tables.len();
                    self.due += PART_READ_INTERVAL;
                }
                Err(e) => {
                    log::debug!(reason:% = e; "intake: failed to read a part again");
                    self.due = clock::now() + PART_READ_INTERVAL;
                    return;
                }
            }
        }
        // After an outage the parts are not read in a burst.
        let overdue = clock::now().since(self.due);
        if overdue >= PART_READ_INTERVAL {
            self.due = clock::now();
        }
    }
}

/// Reads the whole table and returns its version.
async fn read_all(cx: &Cx, leader: &Leader) -> Option<u64> {
    let (rows, version) = load::read_jobs(cx).await.ok()?;
    apply(cx, leader, rows.iter());
    Some(version)
}

fn apply<'a>(cx: &Cx, leader: &Leader, rows: impl Iterator<Item = &'a Row>) {
    let mut scheduler = leader.scheduler.borrow_mut();
    let phases = leader.stored_phases.borrow();
    let removed = leader.removed_jobs.borrow();
    let mut versions = leader.job_versions.borrow_mut();
    let has_ended = |id: &str| phases.get(id).is_some_and(|p| p.is_final());
    let is_removed = |id: &str, row: &Row| removed.get(id).is_some_and(|j| row.version <= j.row);
    let store_now = cx.store_clock.now();
    let mut cancellations = leader.cancellations.borrow_mut();
    let mut cancels = Vec::new();
    let mut changed = false;
    for row in rows {
        match rows::parse_job_key(&row.key) {
            // A removed job does not start again.
            Some((id, JobRowKind::Job)) if is_removed(id, row) => {}
            // A known job is not decoded again. A later one with its id waits for its removal.
            Some((id, JobRowKind::Job)) if scheduler.knows(id) => {
                if let Some(known) = versions.get(id).filter(|v| row.version > **v) {
                    leader.has_skipped_jobs.set(true);
                    log::info!(
                        job = id, version = row.version, known_version = *known;
                        "intake: the job waits for the removal of an earlier one"
                    );
                }
            }
            // So does one whose predecessor has left rows of its progress.
            Some((id, JobRowKind::Job)) if has_ended(id) => {
                leader.has_skipped_jobs.set(true);
                log::info!(
                    job = id, version = row.version;
                    "intake: the job waits for the removal of an earlier one"
                );
            }
            Some((id, JobRowKind::Job)) => {
                let Some(accepted) = rows::accepted_job(row, store_now, clock::wall()) else {
                    log::error!(job = id, reason = "malformed row of the job"; "intake: job set aside");
                    scheduler.set_aside(id.into());
                    continue;
                };
                let wall_now = clock::wall();
                let first = accepted.spec.repeat.map(|r| r.first);
                let age = wall_now.since(accepted.at);
                cx.metrics.record_intake(age);
                log::info!(
                    job:% = accepted.id, queue:% = accepted.queue, version = row.version,
                    age_ms = age.0,
                    due_ms = first.map(|at| at.since(wall_now).0);
                    "intake: job"
                );
                versions.insert(accepted.id.clone(), row.version);
                changed |= scheduler.accept(accepted);
                cancellations.apply_to_new(&mut scheduler, id, store_now);
            }
            Some((id, JobRowKind::Cancel)) => cancels.push((id, row)),
            None => log::error!(row:% = row.key; "intake: unknown kind of row"),
        }
    }
    for (id, row) in cancels {
        changed |= cancellations.apply(&mut scheduler, id, row, store_now);
    }
    drop((scheduler, phases, removed, versions, cancellations));
    if changed {
        leader.changed.notify_one();
    }
}
