//! Callers' requests about jobs: submission, phase, cancellation and the length of a queue.

use base::clock::{self, Millis};
use batch::{
    job::{AcceptedJob, SpecError, Text},
    progress::Phase,
};
use ntex::http::Response;
use platform::job;
use serde::Deserialize;
use serve::{Body, BodyError};
use store::table::{Commit, Row, StoreError, Txn};

use crate::{
    authorise::Authorised,
    cx::Cx,
    peers,
    refusal::Refusal,
    retried_write::{Request, RetriedWrite},
    rows::{self, CancelRow, JobRow, JobRowKind, PhaseRow},
    shown_phase::{ShownPhase, Source},
};

/// Duration of the reads for an answer from which on they are logged.
const SLOW_READ: Millis = Millis(1_000);

/// Copies of a job's record that count during its transaction: the record, the one in the transaction, its
/// base64 and the encoded request.
const RECORD_COPIES: usize = 4;

/// Maximum age of the number of pending jobs that callers are told.
const MAX_COUNT_AGE: Millis = Millis(2_000);

/// A job in the form in which it is stored. The decoded one, which is many times larger, is dropped
/// before the store is called.
struct Submission<'a> {
    authorised: &'a Authorised,
    record: String,
}

impl<'a> Submission<'a> {
    /// Decodes and checks the body of a submission.
    fn decode(cx: &Cx, authorised: &'a Authorised, body: &[u8]) -> Result<Self, Refusal> {
        let spec = job::decode(body).map_err(|reason| {
            log_invalid(cx, &authorised.path_suffix, &reason);
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
            log_invalid(cx, &accepted.id, &reason.to_string());
            return Err(Refusal::TooLarge);
        }
        Ok(Self { authorised, record })
    }

    fn id(&self) -> &str {
        &self.authorised.path_suffix
    }

    fn organisation(&self) -> Option<&Text> {
        self.authorised.organisation.as_ref()
    }

    /// Checks that a stored job is the one that was submitted, by its organisation, queue and work. An
    /// id belongs to one job of the whole deployment, because workers know subtasks by it.
    fn check_same(&self, row: &Row) -> Result<(), Refusal> {
        let known = rows::from_json::<AcceptedJob>(row);
        let submitted = serde_json::from_str::<AcceptedJob>(&self.record).ok();
        let (Some(known), Some(submitted)) = (known, submitted) else {
            return Err(Refusal::Unknown);
        };
        if submitted.is_repetition_of(&known) {
            return Ok(());
        }
        log::info!(
            job:% = submitted.id, queue:% = submitted.queue, organisation = submitted.organisation.as_deref(),
            stored_queue:% = known.queue, stored_organisation = known.organisation.as_deref(),
            stored_version = row.version;
            "accept: another job has the id"
        );
        Err(Refusal::IdInUse)
    }
}

fn log_invalid(cx: &Cx, id: &str, reason: &str) {
    if let Some(suppressed) = cx.log_limits.take("invalid_job") {
        let reason = serve::log_text(reason);
        log::info!(job = id, reason, suppressed; "accept: invalid job");
    }
}

/// Stores a job, which is accepted once it is stored. A repeated submission has no further effect.
pub(crate) async fn submit(
    cx: &Cx,
    authorised: &Authorised,
    body: Body,
    deadline: Millis,
) -> Result<Response, Refusal> {
    let submission = Submission::decode(cx, authorised, &body.bytes)?;
    let memory = body.into_memory();
    let resized = memory.resize(submission.record.len() * RECORD_COPIES);
    let remaining = deadline.since(clock::now()).to_duration();
    let resized = tokio::time::timeout(remaining, resized).await;
    resized
        .unwrap_or(Err(BodyError::TooSlow))
        .map_err(Refusal::of_body)?;
    let mut write = RetriedWrite::new(Request::Submission, submission.id(), deadline);
    let stored = store_job(cx, &mut write, &submission).await?;
    log::info!(
        job = submission.id(), queue:% = authorised.queue.name, organisation = authorised.organisation.as_deref(),
        config = cx.config().version, version = stored.version, known = stored.known,
        age_ms = stored.age.map(|a| a.0), tries = write.tries(), unknown = write.is_unknown(),
        ms = write.age().0;
        "accept: stored"
    );
    cx.metrics
        .count_submission(match (stored.known, write.is_unknown()) {
            (false, _) => "stored",
            (true, false) => "known",
            (true, true) => "known_after_unknown",
        });
    Ok(Response::Ok().finish())
}

/// The row of a job that counts as accepted.
struct AcceptedRow {
    version: u64,
    /// Whether it was there before: of an earlier request, or of an attempt whose answer was lost.
    known: bool,
    /// Its age by the store's clock, if it was there before.
    age: Option<Millis>,
}

/// Stores the row of a job, unless the job is already stored, another job has its id or the id is
/// cancelled.
///
/// An attempt without an answer may be applied later. It checks that there is no cancellation, so that
/// it has no effect after one was answered.
async fn store_job(
    cx: &Cx,
    write: &mut RetriedWrite,
    submission: &Submission<'_>,
) -> Result<AcceptedRow, Refusal> {
    let (job, cancel) = (
        rows::job_key(submission.id()),
        rows::cancel_key(submission.id()),
    );
    let mut cancel_version = 0;
    loop {
        let txn = Txn::default()
            .check(job.clone(), 0)
            .check(cancel.clone(), cancel_version)
            .put(job.clone(), submission.record.clone());
        if let Commit::Done { version } = write.commit(cx, &txn).await? {
            return Ok(AcceptedRow {
                version,
                known: false,
                age: None,
            });
        }
        let stored = read_job(cx, submission.id()).await;
        let stored = stored.map_err(|_| write.refusal())?;
        if let Some(row) = &stored.job {
            submission.check_same(row)?;
            return Ok(AcceptedRow {
                version: row.version,
                known: true,
                age: rows::age_of_job(row, cx.store_clock.now()),
            });
        }
        if stored.is_cancelled_for(submission.organisation()) {
            log::info!(
                job = submission.id(), organisation = submission.authorised.organisation.as_deref(),
                version = stored.cancel_version(), age_ms = stored.cancel_age(cx).map(|a| a.0);
                "accept: the id was cancelled before"
            );
            return Err(Refusal::Cancelled);
        }
        cancel_version = stored.cancel.map_or(0, |(_, version)| version);
    }
}

/// Returns the phase of a job.
pub(crate) async fn phase(cx: &Cx, authorised: &Authorised) -> Result<Response, Refusal> {
    let id = &authorised.path_suffix;
    let started = clock::now();
    let shown = read_phase(cx, authorised).await;
    let took = clock::now().since(started);
    if took >= SLOW_READ {
        let result = shown
            .as_ref()
            .map_or_else(|r| r.name(), |s| s.source.name());
        log::info!(job = id, ms = took.0, result; "accept: slow reads for a phase");
    }
    let shown = shown?;
    shown.record(cx, id);
    Ok(Response::Ok()
        .content_type("application/json")
        .body(job::encode_phase(shown.phase)))
}

async fn read_phase(cx: &Cx, authorised: &Authorised) -> Result<ShownPhase, Refusal> {
    let id = &authorised.path_suffix;
    let started = clock::now();
    let row = cx.table.get_row(rows::PHASES, id).await;
    let row = row.map_err(|e| read_failure(cx, id, started, &e))?;
    let phase: Option<PhaseRow> = row.as_ref().map(decode).transpose()?;
    let found = row.as_ref().zip(phase.as_ref());
    let store_now = cx.store_clock.now();
    if let Some((row, phase)) = found
        && !phase.is_expired(store_now, cx.cfg.keep_ms)
    {
        check_owner(authorised, phase.organisation.as_ref(), row)?;
        return Ok(ShownPhase::of_row(Source::Phase, phase, row, store_now));
    }
    let stored = read_job(cx, id).await?;
    // The row of an expired end may be left of a removed job. The leader writes the phase of a job after
    // it has read the job.
    if let Some((row, phase)) = found
        && stored
            .job
            .as_ref()
            .is_none_or(|job| job.version < row.version)
    {
        check_owner(authorised, phase.organisation.as_ref(), row)?;
        return Ok(ShownPhase::of_row(
            Source::ExpiredPhase,
            phase,
            row,
            store_now,
        ));
    }
    let Some(row) = &stored.job else {
        if let Some(suppressed) = cx.log_limits.take("no_row") {
            log::info!(
                job = id, organisation = authorised.organisation.as_deref(),
                store_version = stored.read_at, cancel_version = stored.cancel_version(),
                cancel_age_ms = stored.cancel_age(cx).map(|a| a.0), store_ms = store_now.map(|t| t.0),
                suppressed;
                "accept: no row of the job"
            );
        }
        return Err(Refusal::NoJob);
    };
    let accepted: AcceptedJob = decode(row)?;
    check_owner(authorised, accepted.organisation.as_ref(), row)?;
    if stored.is_cancelled_for(authorised.organisation.as_ref()) {
        return Ok(ShownPhase {
            phase: Phase::Cancelled,
            source: Source::Cancellation,
            version: stored.cancel_version().unwrap_or_default(),
            age: stored.cancel_age(cx),
        });
    }
    Ok(ShownPhase {
        phase: Phase::Queued,
        source: Source::Job,
        version: row.version,
        age: None,
    })
}

/// Checks that the job belongs to the caller's organisation; other jobs are reported as unknown. `row`
/// is the one that names its organisation.
fn check_owner(authorised: &Authorised, owner: Option<&Text>, row: &Row) -> Result<(), Refusal> {
    if authorised.organisation.as_ref() == owner {
        return Ok(());
    }
    log::info!(
        job = authorised.path_suffix, organisation = authorised.organisation.as_deref(),
        owner = owner.map(|o| &**o), row:% = row.key, version = row.version;
        "accept: job of another organisation"
    );
    Err(Refusal::NoJob)
}

/// Decodes a row of a job. A malformed one does not show that the job is gone: a later version may
/// have written it.
fn decode<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, Refusal> {
    rows::from_json(row).ok_or(Refusal::Store)
}

fn read_failure(cx: &Cx, id: &str, started: Millis, error: &StoreError) -> Refusal {
    peers::record_loss(cx, "accept", started);
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
    /// Newest version of the store when it was read.
    read_at: u64,
}

impl StoredJob {
    fn is_cancelled_for(&self, organisation: Option<&Text>) -> bool {
        let cancel = self.cancel.as_ref();
        cancel.is_some_and(|(row, _)| row.applies_to(organisation))
    }

    fn cancel_version(&self) -> Option<u64> {
        self.cancel.as_ref().map(|(_, version)| *version)
    }

    /// Returns the age of the cancellation by the store's clock.
    fn cancel_age(&self, cx: &Cx) -> Option<Millis> {
        let (row, _) = self.cancel.as_ref()?;
        row.age(cx.store_clock.now())
    }
}

/// Reads the rows of a job.
async fn read_job(cx: &Cx, id: &str) -> Result<StoredJob, Refusal> {
    let table = rows::job_table(id);
    let started = clock::now();
    let page = cx
        .table
        .read(&table, &format!("{id}."), &format!("{id}/"))
        .await;
    let page = page.map_err(|e| read_failure(cx, id, started, &e))?;
    let mut stored = StoredJob {
        read_at: page.version,
        ..StoredJob::default()
    };
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
    let mut write = RetriedWrite::new(Request::Cancellation, id, deadline);
    loop {
        let stored = read_job(cx, id).await.map_err(|_| write.refusal())?;
        if let Some(row) = &stored.job {
            let owner = decode::<AcceptedJob>(row).map_err(|_| write.refusal())?;
            let owner = owner.organisation;
            check_owner(authorised, owner.as_ref(), row)?;
        }
        let known = stored.job.is_some();
        let answer = || known.then(|| Response::Ok().finish()).ok_or(Refusal::NoJob);
        let organisation = authorised.organisation.as_ref();
        if stored.is_cancelled_for(organisation) {
            log::info!(
                job = id, organisation = organisation.map(|o| &**o), known,
                version = stored.cancel_version(), age_ms = stored.cancel_age(cx).map(|a| a.0),
                tries = write.tries();
                "accept: cancelled before"
            );
            return answer();
        }
        let job_version = stored.job.as_ref().map_or(0, |row| row.version);
        let (before, version) = stored.cancel.unwrap_or_default();
        let row = before.and(organisation, cx.store_clock.now());
        let key = rows::cancel_key(id);
        let txn = Txn::default()
            .check(rows::job_key(id), job_version)
            .check(key.clone(), version)
            .put(key, rows::to_json(&row));
        if let Commit::Done { version } = write.commit(cx, &txn).await? {
            log::info!(
                job = id, organisation = organisation.map(|o| &**o), known, job_version, version,
                tries = write.tries(), ms = write.age().0;
                "accept: cancellation stored"
            );
            return answer();
        }
    }
}

/// Returns the number of jobs of a queue that have not started.
pub(crate) async fn pending(cx: &Cx, authorised: &Authorised) -> Result<Response, Refusal> {
    let (_, key) = rows::PENDING.split_once('/').unwrap_or_default();
    let started = clock::now();
    let row = cx.table.get_row(rows::CONTROL, key).await;
    let row = row.map_err(|e| read_failure(cx, &authorised.queue.name, started, &e))?;
    let Some(row) = row else {
        log::info!(queue:% = authorised.queue.name; "accept: pending jobs were never counted");
        return Err(Refusal::Count);
    };
    let counts: rows::PendingRow = decode(&row)?;
    // Earlier versions write no time.
    let counted_at = counts.get(rows::PENDING_AT).map(|at| Millis(*at));
    let age = counted_at.map(|at| cx.store_clock.now().unwrap_or_default().since(at));
    if let Some(age) = age.filter(|age| *age > MAX_COUNT_AGE) {
        log::info!(queue:% = authorised.queue.name, age_ms = age.0, version = row.version; "accept: pending jobs were counted too long ago");
        return Err(Refusal::Count);
    }
    let count = counts.get(&authorised.queue.name).copied();
    Ok(Response::Ok()
        .content_type("application/json")
        .body(job::encode_pending(count.unwrap_or(0))))
}
