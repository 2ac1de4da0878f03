//! Callers' requests about jobs: submission, phase, cancellation and the length of a queue.

use base::clock::{self, Millis};
use batch::{
    job::{AcceptedJob, SpecError, Text},
    progress::Phase,
};
use ntex::http::Response;
use platform::job;
use serde::Deserialize;
use store::table::{Commit, Row, StoreError, Txn};

use crate::{
    authorise::Authorised,
    cx::{self, Cx},
    peers,
    refusal::Refusal,
    rows::{self, JobRow, JobRowKind, PhaseRow},
};

/// Delay before a refused or unanswered write is sent again.
const RETRY_DELAY: Millis = Millis(60);
/// Time for which a write that the store refuses is repeated. A refusal costs the caller less than
/// a longer wait, and the store may serve another entry.
const MAX_REFUSED_TIME: Millis = Millis(200);

/// Stores a job, which is accepted once it is stored. A repeated submission has no further effect.
pub(crate) async fn submit(
    cx: &Cx,
    authorised: &Authorised,
    body: &[u8],
    deadline: Millis,
) -> Result<Response, Refusal> {
    let spec = job::decode(body).map_err(|reason| {
        log::info!(job = authorised.path_suffix, reason; "accept: invalid job");
        Refusal::Invalid
    })?;
    let accepted = AcceptedJob {
        id: authorised.path_suffix.as_str().into(),
        queue: authorised.queue.name.clone(),
        service: authorised.queue.service.clone(),
        organisation: authorised.organisation.clone(),
        at: clock::wall(),
        spec,
    };
    let record = rows::to_json(&JobRow {
        job: &accepted,
        stored_at: cx.store_clock.now(),
    });
    if record.len() > cx.cfg.row_bytes {
        let (bytes, max) = (record.len(), cx.cfg.row_bytes);
        let reason = SpecError::Record { bytes, max };
        log::info!(job:% = accepted.id, reason:%; "accept: invalid job");
        return Err(Refusal::TooLarge);
    }
    let started = clock::now();
    let mut write = RetriedWrite::new(deadline);
    let key = rows::job_key(&accepted.id);
    let txn = Txn::default().check(key.clone(), 0).put(key, record);
    // A conflict means that the job is already stored.
    write.commit(cx, &txn).await?;
    log::info!(
        job:% = accepted.id, queue:% = accepted.queue, organisation:? = accepted.organisation,
        config = cx.config().version, tries = write.tries, ms = clock::now().since(started).0;
        "accept: stored"
    );
    Ok(Response::Ok().finish())
}

/// A write that is repeated until its outcome is known or the deadline passes.
struct RetriedWrite {
    deadline: Millis,
    refused_since: Option<Millis>,
    /// Whether an earlier attempt may still be applied.
    unknown: bool,
    tries: u32,
}

impl RetriedWrite {
    const fn new(deadline: Millis) -> Self {
        Self {
            deadline,
            refused_since: None,
            unknown: false,
            tries: 0,
        }
    }

    /// Commits `txn`, which must be idempotent.
    async fn commit(&mut self, cx: &Cx, txn: &Txn) -> Result<Commit, Refusal> {
        loop {
            if cx.peers.reach().is_out() {
                log::info!(tries = self.tries, unknown = self.unknown; "accept: the store answers nothing");
                return Err(self.refusal());
            }
            self.tries += 1;
            let remaining = self.deadline.since(clock::now()).to_duration();
            let result = tokio::time::timeout(remaining, cx.table.commit(txn)).await;
            let error = match result {
                Ok(Ok(commit)) => return Ok(commit),
                Ok(Err(e)) => e,
                Err(_) => StoreError::Unknown {
                    reason: "the time of the caller is over".into(),
                },
            };
            let now = clock::now();
            match &error {
                StoreError::Unknown { .. } => self.unknown = true,
                StoreError::NotDone { .. } => {
                    peers::record_loss(cx, "accept");
                    let since = *self.refused_since.get_or_insert(now);
                    if !self.unknown && now.since(since) >= MAX_REFUSED_TIME {
                        log::info!(tries = self.tries, reason:% = error; "accept: the store refuses");
                        return Err(self.refusal());
                    }
                }
            }
            if now + RETRY_DELAY >= self.deadline {
                log::info!(tries = self.tries, unknown = self.unknown, reason:% = error; "accept: no time left");
                return Err(self.refusal());
            }
            cx::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the refusal to report: a write that may have been applied must not count as refused.
    const fn refusal(&self) -> Refusal {
        if self.unknown {
            Refusal::Unknown
        } else {
            Refusal::Store
        }
    }
}

/// Returns the phase of a job.
pub(crate) async fn phase(cx: &Cx, authorised: &Authorised) -> Result<Response, Refusal> {
    let id = &authorised.path_suffix;
    let row = cx.table.get_row(rows::PHASES, id).await;
    let row = row.map_err(|e| read_failure(cx, id, &e))?;
    let phase: Option<PhaseRow> = row.as_ref().map(decode).transpose()?;
    if let Some(phase) = &phase
        && !phase.is_expired(cx.store_clock.now(), cx.cfg.keep_ms)
    {
        check_owner(authorised, phase.organisation.as_ref())?;
        return Ok(phase_response(phase.phase));
    }
    let (stored, cancelled) = read_job(cx, id).await?;
    // The row of an expired end may be left of a removed job. The leader writes the phase of a job after
    // it has read the job.
    if let (Some(row), Some(phase)) = (&row, &phase)
        && stored.as_ref().is_none_or(|job| job.version < row.version)
    {
        check_owner(authorised, phase.organisation.as_ref())?;
        return Ok(phase_response(phase.phase));
    }
    let accepted = accepted_job(id, stored.as_ref())?;
    check_owner(authorised, accepted.organisation.as_ref())?;
    Ok(phase_response(if cancelled {
        Phase::Cancelled
    } else {
        Phase::Queued
    }))
}

fn phase_response(phase: Phase) -> Response {
    Response::Ok()
        .content_type("application/json")
        .body(job::encode_phase(phase))
}

/// Checks that the job belongs to the caller's organisation; other jobs are reported as unknown.
fn check_owner(authorised: &Authorised, owner: Option<&Text>) -> Result<(), Refusal> {
    if authorised.organisation.as_ref() == owner {
        return Ok(());
    }
    log::info!(job = authorised.path_suffix, organisation:? = authorised.organisation; "accept: job of another organisation");
    Err(Refusal::NoJob)
}

/// Decodes the row of an accepted job.
fn accepted_job(id: &str, row: Option<&Row>) -> Result<AcceptedJob, Refusal> {
    let Some(row) = row else {
        log::info!(job = id; "accept: no row of the job");
        return Err(Refusal::NoJob);
    };
    decode(row)
}

/// Decodes a row of a job. A malformed one does not show that the job is gone: a later version may
/// have written it.
fn decode<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, Refusal> {
    rows::from_json(row).ok_or(Refusal::Store)
}

fn read_failure(cx: &Cx, id: &str, error: &StoreError) -> Refusal {
    peers::record_loss(cx, "accept");
    log::info!(job = id, reason:% = error; "accept: failed to read from the store");
    Refusal::Store
}

/// Reads the row of an accepted job, and whether its cancellation is stored.
async fn read_job(cx: &Cx, id: &str) -> Result<(Option<Row>, bool), Refusal> {
    let table = rows::job_table(id);
    let page = cx
        .table
        .read(&table, &format!("{id}."), &format!("{id}/"))
        .await;
    let page = page.map_err(|e| read_failure(cx, id, &e))?;
    let (mut stored, mut cancelled) = (None, false);
    for row in page.rows {
        match rows::parse_job_key(&row.key) {
            Some((_, JobRowKind::Job)) => stored = Some(row),
            Some((_, JobRowKind::Cancel)) => cancelled = true,
            None => log::error!(row:% = row.key; "accept: unknown kind of row"),
        }
    }
    Ok((stored, cancelled))
}

/// Stores the cancellation of a job, which the leader carries out.
pub(crate) async fn cancel(
    cx: &Cx,
    authorised: &Authorised,
    deadline: Millis,
) -> Result<Response, Refusal> {
    let id = &authorised.path_suffix;
    let mut write = RetriedWrite::new(deadline);
    loop {
        let (stored, cancelled) = read_job(cx, id).await?;
        let accepted = accepted_job(id, stored.as_ref())?;
        let row = stored.ok_or(Refusal::NoJob)?;
        check_owner(authorised, accepted.organisation.as_ref())?;
        if cancelled {
            return Ok(Response::Ok().finish());
        }
        let txn = Txn::default()
            .check(row.key.clone(), row.version)
            .put(rows::cancel_key(id), String::from("{}"));
        if let Commit::Done { .. } = write.commit(cx, &txn).await? {
            log::info!(job = id, tries = write.tries; "accept: cancellation stored");
            return Ok(Response::Ok().finish());
        }
    }
}

/// Returns the number of jobs of a queue that have not started.
pub(crate) async fn pending(cx: &Cx, authorised: &Authorised) -> Result<Response, Refusal> {
    let (_, key) = rows::PENDING.split_once('/').unwrap_or_default();
    let row = cx.table.get_row(rows::CONTROL, key).await;
    let row = row.map_err(|e| read_failure(cx, &authorised.queue.name, &e))?;
    let counts = row.as_ref().and_then(rows::from_json::<rows::PendingRow>);
    let count = counts.and_then(|c| c.get(&authorised.queue.name).copied());
    Ok(Response::Ok()
        .content_type("application/json")
        .body(job::encode_pending(count.unwrap_or(0))))
}
