//! Commits decisions, then sends the orders that follow from them.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    job::Text,
    progress::{Phase, Progress},
    scheduler::PendingChanges,
};
use store::table::{Commit, StoreError, Txn};

use crate::{
    cx::{self, Cx},
    leader::Leader,
    orders,
    rows::{self, ChainRow, PendingRow, PhaseRow},
};

/// Most jobs in one transaction: it has at most 100 entries, two for each job and a few more.
const JOBS: usize = 40;
/// Most bytes of records in one transaction; its JSON form may have 1 MB, a third more in base64.
const BYTES: usize = 500_000;
/// Pause before a transaction without effect is sent again.
const RETRY: Millis = Millis(60);
/// Time between two writes of the numbers of waiting jobs.
const PENDING_EVERY: Millis = Millis(400);

/// A transaction that can't be committed any more: another process leads.
struct Deposed;

/// Commits until the leadership ends.
pub(crate) async fn run(cx: Cx, leader: Rc<Leader>) {
    let mut pending = Pending::default();
    while !leader.ended.get() {
        let batch = leader.book.borrow_mut().take_changes();
        if let Err(Deposed) = commit(&cx, &leader, batch, &mut pending).await {
            cx.lease.borrow_mut().mark_lost();
            cx.lease_changed.notify_one();
            return;
        }
        if leader.book.borrow().has_changes() {
            continue;
        }
        tokio::select! {
            () = leader.dirty.notified() => {}
            () = cx::sleep(PENDING_EVERY) => {}
        }
    }
}

/// Numbers of waiting jobs as last written.
#[derive(Default)]
struct Pending {
    written: Option<PendingRow>,
    at: Millis,
}

impl Pending {
    /// Returns the numbers if they have to be written.
    fn due(&self, leader: &Leader) -> Option<PendingRow> {
        if self.written.is_some() && clock::now().since(self.at) < PENDING_EVERY {
            return None;
        }
        let counts = leader.book.borrow().pending_by_queue();
        (self.written.as_ref() != Some(&counts)).then_some(counts)
    }
}

async fn commit(
    cx: &Cx,
    leader: &Rc<Leader>,
    batch: PendingChanges,
    pending: &mut Pending,
) -> Result<(), Deposed> {
    for (priority, waited) in &batch.started_jobs {
        cx.metrics.job_started(*priority, *waited);
    }
    let mut records = batch.records.into_iter().peekable();
    let mut forgotten = std::mem::take(&mut *leader.forgotten.borrow_mut());
    let mut counts = pending.due(leader);
    while records.peek().is_some() || !forgotten.is_empty() || counts.is_some() {
        let mut txn = Txn::default();
        let mut phases = Vec::new();
        let (mut jobs, mut bytes) = (0, 0);
        while jobs < JOBS && bytes < BYTES {
            let Some((id, progress)) = records.next() else {
                break;
            };
            jobs += 1;
            bytes += put(leader, &mut txn, &id, &progress, &mut phases);
        }
        if jobs < JOBS / 2 {
            for id in forgotten.drain(..) {
                txn = txn
                    .delete(format!("{}/{id}", rows::PROGRESS))
                    .delete(format!("{}/{id}", rows::PHASES));
            }
        }
        let written = counts.take();
        if let Some(counts) = &written {
            txn = txn.put(rows::PENDING, rows::to_json(counts));
        }
        store(cx, leader, txn).await?;
        let mut stored = leader.phases.borrow_mut();
        for (id, phase) in phases {
            stored.insert(id, phase);
        }
        if written.is_some() {
            pending.written = written;
            pending.at = clock::now();
        }
    }
    leader.book.borrow_mut().mark_committed(&batch.acks);
    leader.committed.notify_waiters();
    orders::send(cx, leader, batch.orders);
    Ok(())
}

/// Adds the rows of a job and returns their size.
fn put(
    leader: &Leader,
    txn: &mut Txn,
    id: &Text,
    progress: &Progress,
    phases: &mut Vec<(Text, Phase)>,
) -> usize {
    let key = format!("{}/{id}", rows::PROGRESS);
    let old = std::mem::take(txn);
    let mut bytes = 0;
    *txn = if progress.phase.is_final() && !progress.has_runs() {
        old.delete(key)
    } else {
        let value = rows::to_json(progress);
        bytes = value.len();
        old.put(key, value)
    };
    if leader.phases.borrow().get(id) != Some(&progress.phase) {
        let organisation = leader.book.borrow().organisation(id);
        let row = PhaseRow {
            phase: progress.phase,
            organisation,
        };
        let old = std::mem::take(txn);
        *txn = old.put(format!("{}/{id}", rows::PHASES), rows::to_json(&row));
        phases.push((id.clone(), progress.phase));
    }
    bytes
}

/// Commits one transaction as a link of the chain, however often that has to be tried.
async fn store(cx: &Cx, leader: &Leader, txn: Txn) -> Result<(), Deposed> {
    let (version, count) = leader.chain.get();
    let link = ChainRow {
        fence: leader.held.fence,
        count: count + 1,
    };
    let txn = txn
        .check(rows::LEASE, leader.held.version)
        .check(rows::CHAIN, version)
        .put(rows::CHAIN, rows::to_json(&link));
    let started = clock::now();
    let mut tries = 0;
    while !leader.ended.get() {
        tries += 1;
        let sent = clock::now();
        let result = cx.table.commit(&txn).await;
        let outcome = match &result {
            Ok(Commit::Done { .. }) => "done",
            Ok(Commit::Conflict { .. }) => "conflict",
            Err(StoreError::NotDone { .. }) => "not_done",
            Err(StoreError::Unknown { .. }) => "unknown",
        };
        cx.metrics.commit(outcome, clock::now().since(sent));
        match result {
            Ok(Commit::Done { version }) => {
                leader.chain.set((version, link.count));
                let ms = clock::now().since(started).0;
                log::debug!(count = link.count, tries, ms; "commit: done");
                return Ok(());
            }
            Ok(Commit::Conflict { keys }) => {
                if keys.iter().any(|k| &**k == rows::LEASE) {
                    return Err(Deposed);
                }
                // An earlier try may have been carried out without an answer.
                if let Some(version) = read_back(cx, link).await? {
                    leader.chain.set((version, link.count));
                    log::info!(count = link.count, tries; "commit: found done");
                    return Ok(());
                }
            }
            Err(e @ (StoreError::NotDone { .. } | StoreError::Unknown { .. })) => {
                log::info!(count = link.count, tries, reason:% = e; "commit: not done");
            }
        }
        cx::sleep(RETRY).await;
    }
    Err(Deposed)
}

/// Returns the version of the chain if it ends with `link`; none if it can't be read now.
async fn read_back(cx: &Cx, link: ChainRow) -> Result<Option<u64>, Deposed> {
    let (_, key) = rows::CHAIN.split_once('/').unwrap_or_default();
    let row = match cx.table.get_row(rows::CONTROL, key).await {
        Ok(row) => row,
        Err(e) => {
            log::info!(reason:% = e; "commit: the chain can't be read");
            return Ok(None);
        }
    };
    let found = row.as_ref().and_then(rows::from_json::<ChainRow>);
    if found == Some(link) {
        return Ok(row.map(|r| r.version));
    }
    log::warn!(expected:? = link, found:?; "commit: another process commits");
    Err(Deposed)
}
