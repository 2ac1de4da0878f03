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
    rows::{self, CancelRow, JobRow, JobRowKind, PhaseRow},
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
    store_job(cx, &mut write, &accepted, &record).await?;
    log::info!(
        job:% = accepted.id, queue:% = accepted.queue, organisation:? = accepted.organisation,
        config = cx.config().version, tries = write.tries, ms = clock::now().since(started).0;
        "accept: stored"
    );
    Ok(Response::Ok().finish())
}

/// Stores the row of a job, unless the job is already stored, another job has its id or the id is
/// cancelled.
///
/// An attempt without an answer may be applied later. It checks that there is no cancellation, so that
/// it has no effect after one was answered.
async fn store_job(
    cx: &Cx,
    write: &mut RetriedWrite,
    accepted: &AcceptedJob,
    record: &str,
) -> Result<(), Refusal> {
    let (job, cancel) = (rows::job_key(&accepted.id), rows::cancel_key(&accepted.id));
    let mut cancel_version = 0;
    loop {
        let txn = Txn::default()
            .check(job.clone(), 0)
            .check(cancel.clone(), cancel_version)
            .put(job.clone(), record.to_owned());
        let Commit::Conflict { .. } = write.commit(cx, &txn).await? else {
            return Ok(());
        };
        let stored = read_job(cx, &accepted.id).await;
        let stored = stored.map_err(|_| write.refusal())?;
        if let Some(row) = &stored.job {
            return check_same(accepted, row);
        }
        if stored.is_cancelled_for(accepted.organisation.as_ref()) {
            log::info!(job:% = accepted.id, organisation:? = accepted.organisation; "accept: the id was cancelled before");
            return Err(Refusal::Cancelled);
        }
        cancel_version = stored.cancel.map_or(0, |(_, version)| version);
    }
}

/// Checks that a stored job is the one that was submitted, by its organisation, queue and work. An id
/// belongs to one job of the whole deployment, because workers know subtasks by it.
fn check_same(accepted: &AcceptedJob, row: &Row) -> Result<(), Refusal> {
    let Some(known) = rows::from_json::<AcceptedJob>(row) else {
        return Err(Refusal::Unknown);
    };
    if accepted.is_repetition_of(&known) {
        return Ok(());
    }
    log::info!(
        job:% = accepted.id, queue:% = accepted.queue, organisation:? = accepted.organisation,
        stored_queue:% = known.queue, stored_version = row.version;
        "accept: another job has the id"
    );
    Err(Refusal::IdInUse)
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
                StoreError::Rejected { .. } => {
                    log::error!(tries = self.tries, unknown = self.unknown, reason:% = error; "accept: the store rejects the write");
                    return Err(self.rejection());
                }
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

    /// Returns the refusal to report for a write that never succeeds.
    const fn rejection(&self) -> Refusal {
        if self.unknown {
            Refusal::Unknown
        } else {
            Refusal::TooLarge
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
    let stored = read_job(cx, id).await?;
    let cancelled = stored.is_cancelled_for(authorised.organisation.as_ref());
    let stored = stored.job;
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

/// What the table of jobs holds about an id.
#[derive(Default)]
struct StoredJob {
    /// Row of the accepted job.
    job: Option<Row>,
    /// Cancellation and the version of its row.
    cancel: Option<(CancelRow, u64)>,
}

impl StoredJob {
    fn is_cancelled_for(&self, organisation: Option<&Text>) -> bool {
        let cancel = self.cancel.as_ref();
        cancel.is_some_and(|(row, _)| row.applies_to(organisation))
    }
}

/// Reads the rows of a job.
async fn read_job(cx: &Cx, id: &str) -> Result<StoredJob, Refusal> {
    let table = rows::job_table(id);
    let page = cx
        .table
        .read(&table, &format!("{id}."), &format!("{id}/"))
        .await;
    let page = page.map_err(|e| read_failure(cx, id, &e))?;
    let mut stored = StoredJob::default();
    for row in page.rows {
        match rows::parse_job_key(&row.key) {
            Some((_, JobRowKind::Job)) => stored.job = Some(row),
            Some((_, JobRowKind::Cancel)) => {
                let version = row.version;
                stored.cancel = Some((rows::from_json(&row).unwrap_or_default(), version));
            }
            None => log::error!(row:% = row.key; "accept: unknown kind of row"),
        }
    }
    Ok(stored)
}

/// Stores the cancellation of a job, which the leader carries out. That of a job that is not known is
/// stored too: its submission may be under way, and must not run after the answer.
pub(crate) async fn cancel(
    cx: &Cx,
    authorised: &Authorised,
    deadline: Millis,
) -> Result<Response, Refusal> {
    let id = &authorised.path_suffix;
    let mut write = RetriedWrite::new(deadline);
    loop {
        let stored = read_job(cx, id).await?;
        if let Some(row) = &stored.job {
            check_owner(
                authorised,
                decode::<AcceptedJob>(row)?.organisation.as_ref(),
            )?;
        }
        let known = stored.job.is_some();
        let answer = || known.then(|| Response::Ok().finish()).ok_or(Refusal::NoJob);
        let organisation = authorised.organisation.as_ref();
        if stored.is_cancelled_for(organisation) {
            return answer();
        }
        let (before, version) = stored.cancel.unwrap_or_default();
        let row = before.and(organisation, cx.store_clock.now());
        let key = rows::cancel_key(id);
        let txn = Txn::default()
            .check(rows::job_key(id), stored.job.map_or(0, |row| row.version))
            .check(key.clone(), version)
            .put(key, rows::to_json(&row));
        if let Commit::Done { .. } = write.commit(cx, &txn).await? {
            log::info!(job = id, known, tries = write.tries; "accept: cancellation stored");
            return answer();
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
