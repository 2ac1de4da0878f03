//! Jobs of callers: submission, phase, cancellation and the length of a queue.

use base::clock::{self, Millis};
use batch::{
    job::{AcceptedJob, Text},
    progress::Phase,
};
use ntex::http::Response;
use platform::job;
use store::table::{Commit, Row, StoreError, Txn};

use crate::{
    authorise::Authorised,
    cx::{self, Cx},
    refusal::Refusal,
    rows::{self, Intake},
};

/// Pause before a refused or unanswered write is sent again.
const RETRY: Millis = Millis(60);
/// Time for which a write is repeated that the store refuses: a refusal costs the caller less than
/// the wait, and another entry may be served.
const REFUSED_FOR: Millis = Millis(200);

/// Stores a job. It is accepted once it is stored; a repeated submission is the same job.
pub(crate) async fn submit(
    cx: &Cx,
    passed: &Authorised,
    body: &[u8],
    until: Millis,
) -> Result<Response, Refusal> {
    let spec = job::decode(body).map_err(|reason| {
        log::info!(job = passed.rest, reason; "accept: not a job");
        Refusal::Invalid
    })?;
    let rec = AcceptedJob {
        id: passed.rest.as_str().into(),
        queue: passed.queue.name.clone(),
        service: passed.queue.service.clone(),
        organisation: passed.organisation.clone(),
        at: clock::wall(),
        spec,
    };
    let started = clock::now();
    let mut write = Write::new(until);
    let key = rows::job(&rec.id);
    let txn = Txn::default()
        .check(key.clone(), 0)
        .put(key, rows::to_json(&rec));
    // A conflict shows that the job is stored already.
    write.commit(cx, &txn).await?;
    log::info!(
        job:% = rec.id, queue:% = rec.queue, organisation:? = rec.organisation,
        config = cx.rules().version, tries = write.tries, ms = clock::now().since(started).0;
        "accept: stored"
    );
    Ok(Response::Ok().finish())
}

/// A write that is repeated until its outcome is known or the caller gives up.
struct Write {
    until: Millis,
    refused_since: Option<Millis>,
    /// Whether an earlier try may still be carried out.
    unknown: bool,
    tries: u32,
}

impl Write {
    const fn new(until: Millis) -> Self {
        Self {
            until,
            refused_since: None,
            unknown: false,
            tries: 0,
        }
    }

    /// Commits `txn`, which must have the same effect when it is repeated.
    async fn commit(&mut self, cx: &Cx, txn: &Txn) -> Result<Commit, Refusal> {
        loop {
            self.tries += 1;
            let error = match cx.table.commit(txn).await {
                Ok(commit) => return Ok(commit),
                Err(e) => e,
            };
            let now = clock::now();
            match &error {
                StoreError::Unknown { .. } => self.unknown = true,
                StoreError::NotDone { .. } => {
                    if cx.peers.store_answers(false) {
                        cx.metrics.store_lost();
                        log::warn!(store = "lost", reason:% = error; "accept: the store does not serve this node");
                    }
                    let since = *self.refused_since.get_or_insert(now);
                    if !self.unknown && now.since(since) >= REFUSED_FOR {
                        log::info!(tries = self.tries, reason:% = error; "accept: the store refuses");
                        return Err(self.refusal());
                    }
                }
            }
            if now + RETRY >= self.until {
                log::info!(tries = self.tries, unknown = self.unknown, reason:% = error; "accept: no time left");
                return Err(self.refusal());
            }
            cx::sleep(RETRY).await;
        }
    }

    /// A request that may have been stored must not be reported as refused.
    const fn refusal(&self) -> Refusal {
        if self.unknown {
            Refusal::Unknown
        } else {
            Refusal::Store
        }
    }
}

/// Answers with the phase of a job.
pub(crate) async fn phase(cx: &Cx, passed: &Authorised) -> Result<Response, Refusal> {
    let id = &passed.rest;
    let row = cx.table.get_row(rows::PHASES, id).await;
    let row = row.map_err(|e| unread(id, &e))?;
    if let Some(row) = row.as_ref().and_then(rows::from_json::<rows::PhaseRow>) {
        owned(passed, row.organisation.as_ref())?;
        return Ok(show(row.phase));
    }
    let (stored, cancelled) = intake(cx, id).await?;
    let rec = stored.as_ref().and_then(rows::from_json::<AcceptedJob>);
    let rec = rec.ok_or(Refusal::NoJob)?;
    owned(passed, rec.organisation.as_ref())?;
    Ok(show(if cancelled {
        Phase::Cancelled
    } else {
        Phase::Queued
    }))
}

fn show(phase: Phase) -> Response {
    Response::Ok()
        .content_type("application/json")
        .body(job::state(phase))
}

/// A job of another organisation does not exist for the caller.
fn owned(passed: &Authorised, owner: Option<&Text>) -> Result<(), Refusal> {
    if passed.organisation.as_ref() == owner {
        return Ok(());
    }
    Err(Refusal::NoJob)
}

fn unread(id: &str, error: &StoreError) -> Refusal {
    log::info!(job = id, reason:% = error; "accept: the store can't be read");
    Refusal::Store
}

/// Reads the row of an accepted job and whether a cancellation is stored.
async fn intake(cx: &Cx, id: &str) -> Result<(Option<Row>, bool), Refusal> {
    let table = rows::job_table(id);
    let page = cx
        .table
        .read(&table, &format!("{id}."), &format!("{id}/"))
        .await;
    let page = page.map_err(|e| unread(id, &e))?;
    let (mut stored, mut cancelled) = (None, false);
    for row in page.rows {
        match rows::intake(&row.key) {
            Some((_, Intake::Job)) => stored = Some(row),
            Some((_, Intake::Cancel)) => cancelled = true,
            None => log::error!(row:% = row.key; "accept: unknown row"),
        }
    }
    Ok((stored, cancelled))
}

/// Stores the cancellation of a job. The leader acts on it.
pub(crate) async fn cancel(
    cx: &Cx,
    passed: &Authorised,
    until: Millis,
) -> Result<Response, Refusal> {
    let id = &passed.rest;
    let mut write = Write::new(until);
    loop {
        let (stored, cancelled) = intake(cx, id).await?;
        let Some(row) = stored else {
            return Err(Refusal::NoJob);
        };
        let rec = rows::from_json::<AcceptedJob>(&row).ok_or(Refusal::NoJob)?;
        owned(passed, rec.organisation.as_ref())?;
        if cancelled {
            return Ok(Response::Ok().finish());
        }
        let txn = Txn::default()
            .check(row.key.clone(), row.version)
            .put(rows::cancel(id), String::from("{}"));
        if let Commit::Done { .. } = write.commit(cx, &txn).await? {
            log::info!(job = id, tries = write.tries; "accept: cancellation stored");
            return Ok(Response::Ok().finish());
        }
    }
}

/// Answers with the number of jobs of a queue that have not begun.
pub(crate) async fn pending(cx: &Cx, passed: &Authorised) -> Result<Response, Refusal> {
    let (_, key) = rows::PENDING.split_once('/').unwrap_or_default();
    let row = cx.table.get_row(rows::CONTROL, key).await;
    let row = row.map_err(|e| unread(&passed.queue.name, &e))?;
    let counts = row.as_ref().and_then(rows::from_json::<rows::PendingRow>);
    let count = counts.and_then(|c| c.get(&passed.queue.name).copied());
    Ok(Response::Ok()
        .content_type("application/json")
        .body(job::pending(count.unwrap_or(0))))
}
