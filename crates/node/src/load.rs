//! Loads the state of all jobs at the start of a leadership.

use std::mem;

use base::sorted::SortedMap;
use batch::{job::Text, progress::Progress, scheduler::JobScheduler, speed_report::StoredForecast};
use store::{
    long_row, pages,
    table::{Row, StoreError},
};

use crate::{
    cancellations::Cancellations,
    checkpoints::Checkpoints,
    cx::Cx,
    leader::Leader,
    rows::{self, ChainRow, FailingRow, JobRowKind, PhaseRow},
    table_read::{self, TableRead},
};

/// Number of ids of open jobs in a line.
const LINE_JOBS: usize = 50;
/// Maximum number of such lines, which are written at once.
const MAX_JOB_LINES: usize = 20;

/// What was read for a load. It is kept when a read fails, so that the next attempt continues.
#[derive(Debug)]
pub(crate) struct Reads {
    /// Version of the row of the last commit before the reads, 0 for no row; `None` before it was
    /// read.
    chain: Option<u64>,
    jobs: Vec<TableRead>,
    progress: TableRead,
    phases: TableRead,
    checkpoints: TableRead,
}

impl Default for Reads {
    fn default() -> Self {
        Self {
            chain: None,
            jobs: rows::job_tables().map(TableRead::new).collect(),
            progress: TableRead::new(rows::PROGRESS),
            phases: TableRead::new(rows::PHASES),
            checkpoints: TableRead::new(rows::CHECKPOINTS),
        }
    }
}

impl Reads {
    /// Reads what is missing. Returns the rows of the last commit, the failing workers and the forecast.
    async fn run(&mut self, cx: &Cx) -> Result<[Option<Row>; 3], StoreError> {
        let (_, chain_key) = rows::CHAIN.split_once('/').unwrap_or_default();
        let (_, failing) = rows::FAILING.split_once('/').unwrap_or_default();
        let (_, forecast) = rows::FORECAST.split_once('/').unwrap_or_default();
        let version = |row: &Option<Row>| row.as_ref().map_or(0, |r| r.version);
        if self.chain.is_none() {
            self.chain = Some(version(&cx.table.get_row(rows::CONTROL, chain_key).await?));
        }
        let written = [&mut self.progress, &mut self.phases, &mut self.checkpoints];
        let tables = written.into_iter().chain(&mut self.jobs);
        pages::all(tables.map(|t| t.run(cx))).await?;
        let (chain, failing, forecast) = tokio::try_join!(
            cx.table.get_row(rows::CONTROL, chain_key),
            cx.table.get_row(rows::CONTROL, failing),
            cx.table.get_row(rows::CONTROL, forecast),
        )?;
        // The tables were read at different times, and fit together if no leader has written them
        // since.
        if self.chain != Some(version(&chain)) {
            *self = Self::default();
            return Err(StoreError::NotDone {
                reason: "another leader has committed during the load".into(),
            });
        }
        Ok([chain, failing, forecast])
    }
}

/// Loads the state of the scheduler, and returns the version from which to watch the table of jobs.
/// After a failure, the next call with the same `reads` continues.
pub(crate) async fn load(cx: &Cx, leader: &Leader, reads: &mut Reads) -> Result<u64, StoreError> {
    // Only the table of jobs still changes: all other rows are written in transactions that check
    // the lease. The feed reports the jobs that are accepted after the read.
    let [chain, failing, forecast] = reads.run(cx).await?;
    let reads = mem::take(reads);
    let (jobs, from) = table_read::join(reads.jobs);
    let (progress, _) = reads.progress.into_rows();
    let (mut phases, _) = reads.phases.into_rows();
    let (checkpoints, _) = reads.checkpoints.into_rows();
    let count = chain.as_ref().and_then(rows::from_json::<ChainRow>);
    let version = chain.map_or(0, |r| r.version);
    leader.chain.set((version, count.map_or(0, |c| c.count)));
    let progress = long_row::join(progress);
    *leader.progress_rows.borrow_mut() = progress
        .iter()
        .filter_map(|(row, rows)| Some((job_id(row)?, *rows)))
        .collect();
    let mut progress: Vec<Row> = progress.into_iter().map(|(row, _)| row).collect();
    let versions = job_versions(&jobs);
    let mut reused = leave_out_older(&versions, &mut progress);
    reused.extend(leave_out_older(&versions, &mut phases));
    let mut unreadable = Vec::new();
    let mut progress: SortedMap<Text, Progress> = decode(&progress, &mut unreadable);
    restore_checkpoints(leader, &checkpoints, &versions, &mut progress);
    let phases: SortedMap<Text, PhaseRow> = decode(&phases, &mut unreadable);
    let partly_removed = partly_removed(&jobs, &progress, &phases);
    for id in &partly_removed {
        let phase = phases.get(id).map(|p| p.phase.to_string());
        log::info!(job:% = id, phase; "leader: removing the rest of a removed job");
    }
    let removed = partly_removed.len();
    *leader.deleted_jobs.borrow_mut() = partly_removed;
    let mut scheduler = leader.scheduler.borrow_mut();
    *scheduler = JobScheduler::new(cx.cfg.restore_ms);
    scheduler.set_worker_heartbeat(cx.cfg.worker_heartbeat_ms);
    scheduler.set_stop_time(cx.cfg.worker_stop_ms);
    // Without its progress or phase, a job would count as new and run again.
    for id in unreadable {
        log::error!(job:% = id, reason = "malformed row"; "leader: job set aside");
        scheduler.set_aside(id);
    }
    let mut cancels: Vec<(&str, &Row)> = Vec::new();
    let mut ends_unknown = 0;
    let (now, wall_now) = (base::clock::now(), base::clock::wall());
    let store_now = cx.store_clock.now();
    for row in &jobs {
        let Some((id, kind)) = rows::parse_job_key(&row.key) else {
            continue;
        };
        if kind == JobRowKind::Cancel {
            cancels.push((id, row));
            continue;
        }
        if scheduler.knows(id) {
            continue;
        }
        let Some(accepted) = rows::accepted_job(row, store_now, wall_now) else {
            log::error!(job = id, reason = "malformed row of the job"; "leader: job set aside");
            scheduler.set_aside(id.into());
            continue;
        };
        let phase = phases.get(id).map(|p| p.phase).filter(|p| p.is_final());
        ends_unknown += usize::from(phase.is_some() && progress.get(id).is_none());
        // Earlier versions store nothing else about the end.
        let ended = phase.map(|phase| Progress {
            phase,
            queue: accepted.queue.clone(),
            at: wall_now,
            ..Progress::default()
        });
        if let Err(e) = scheduler.restore(accepted, progress.get(id).cloned().or(ended)) {
            log::error!(job = id, reason:% = e; "leader: job set aside");
        }
    }
    restore_workers(leader, &mut scheduler, failing.as_ref(), forecast.as_ref());
    let mut cancellations = Cancellations::default();
    let cancels_read = cancels.len();
    for (id, row) in cancels {
        cancellations.apply(&mut scheduler, id, row, store_now);
    }
    *leader.cancellations.borrow_mut() = cancellations;
    for id in &reused {
        log::info!(job:% = id; "leader: the id of a partly removed job is in use again");
        scheduler.mark_changed(id);
    }
    *leader.job_versions.borrow_mut() = versions;
    *leader.stored_phases.borrow_mut() =
        phases.iter().map(|(id, p)| (id.clone(), p.phase)).collect();
    let counts = scheduler.counts();
    log::info!(
        fence = leader.held.fence, rows = jobs.len(), jobs = counts.jobs, open = counts.open,
        runs = counts.runs, set_aside = counts.set_aside, cancellations = cancels_read, ends_unknown,
        partly_removed = removed, reused = reused.len(), version = from,
        commit = leader.chain.get().1, ms = now.since(leader.started_at).0;
        "leader: loaded"
    );
    log_open_jobs(leader.held.fence, &scheduler);
    leader.feed.set((from, now));
    Ok(from)
}

/// Restores what earlier leaders have stored about workers.
fn restore_workers(
    leader: &Leader,
    scheduler: &mut JobScheduler,
    failing: Option<&Row>,
    forecast: Option<&Row>,
) {
    let now = base::clock::now();
    let failing: FailingRow = failing.and_then(rows::from_json).unwrap_or_default();
    scheduler.restore_failing_workers(&failing, now);
    *leader.stored_failing.borrow_mut() = failing;
    let forecast: StoredForecast = forecast.and_then(rows::from_json).unwrap_or_default();
    scheduler.restore_forecast(&forecast, now);
    *leader.stored_forecast.borrow_mut() = forecast;
}

/// Logs the ids of the open jobs, so that it can be told for each whether it was loaded.
fn log_open_jobs(fence: u64, scheduler: &JobScheduler) {
    let ids: Vec<&str> = scheduler.open_jobs().map(|id| &**id).collect();
    for part in ids.chunks(LINE_JOBS).take(MAX_JOB_LINES) {
        log::info!(fence, open = ids.len(), jobs = part.join(" "); "leader: open jobs");
    }
}

/// Gives the progress of open jobs the checkpoints that are stored apart.
fn restore_checkpoints(
    leader: &Leader,
    stored: &[Row],
    versions: &SortedMap<Text, u64>,
    progress: &mut SortedMap<Text, Progress>,
) {
    let checkpoints = Checkpoints::restore(stored, |id, version| {
        let is_open = |p: &Progress| !p.phase.is_final();
        progress.get(id).is_some_and(is_open) && versions.get(id).is_some_and(|v| version > *v)
    });
    for (id, progress) in progress.iter_mut() {
        checkpoints.fill(id, progress);
    }
    *leader.checkpoints.borrow_mut() = checkpoints;
}

/// Returns the versions of the rows of accepted jobs by job id.
fn job_versions(jobs: &[Row]) -> SortedMap<Text, u64> {
    let version = |row: &Row| match rows::parse_job_key(&row.key)? {
        (id, JobRowKind::Job) => Some((id.into(), row.version)),
        (_, JobRowKind::Cancel) => None,
    };
    jobs.iter().filter_map(version).collect()
}

/// Leaves out the rows that are older than the row of the job with their id, and returns the ids. They
/// belong to an earlier job that is partly removed, because a leader writes the rows of a job after
/// it has read the job.
fn leave_out_older(versions: &SortedMap<Text, u64>, rows: &mut Vec<Row>) -> Vec<Text> {
    let mut ids = Vec::new();
    rows.retain(|row| {
        let id = job_id(row);
        let version = id.as_deref().and_then(|id| versions.get(id));
        let is_older = version.is_some_and(|v| row.version < *v);
        ids.extend(id.filter(|_| is_older));
        !is_older
    });
    ids
}

/// Returns the ids of ended jobs whose rows in the table of jobs are deleted and whose other rows are
/// not. A leader writes the latter after it has read the former, so the former once existed.
fn partly_removed(
    jobs: &[Row],
    progress: &SortedMap<Text, Progress>,
    phases: &SortedMap<Text, PhaseRow>,
) -> Vec<Text> {
    let ids = jobs.iter().filter_map(|r| rows::parse_job_key(&r.key));
    let ids: SortedMap<&str, ()> = ids.map(|(id, _)| (id, ())).collect();
    let ended = phases.iter().filter(|(_, p)| p.phase.is_final());
    let ended = ended.map(|(id, _)| id.clone());
    let ends = progress.iter().filter(|(_, p)| p.phase.is_final());
    let mut all: Vec<Text> = ended.chain(ends.map(|(id, _)| id.clone())).collect();
    all.sort_unstable();
    all.dedup();
    all.retain(|id| ids.get(&**id).is_none());
    all
}

/// Decodes rows by job id, and adds the ids of those that are malformed to `unreadable`.
fn decode<T: for<'a> serde::Deserialize<'a>>(
    rows: &[Row],
    unreadable: &mut Vec<Text>,
) -> SortedMap<Text, T> {
    let mut entry = |row: &Row| {
        let id = job_id(row)?;
        let value = rows::from_json(row);
        if value.is_none() {
            unreadable.push(id.clone());
        }
        Some((id, value?))
    };
    rows.iter().filter_map(&mut entry).collect()
}

/// Returns the id of the job that a row written by a leader belongs to.
fn job_id(row: &Row) -> Option<Text> {
    let (_, id) = row.key.split_once('/')?;
    Some(id.into())
}

/// Reads all accepted jobs and cancellations. Returns their rows and the version from which to
/// watch for changes.
pub(crate) async fn read_jobs(cx: &Cx) -> Result<(Vec<Row>, u64), StoreError> {
    // The parts are read concurrently, so that a slow store takes as long for all as for one.
    let mut reads: Vec<_> = rows::job_tables().map(TableRead::new).collect();
    pages::all(reads.iter_mut().map(|r| r.run(cx))).await?;
    Ok(table_read::join(reads))
}

/// Reads all rows of a table. Returns them with the version of the first page.
pub(crate) async fn read_all(cx: &Cx, table: &str) -> Result<(Vec<Row>, u64), StoreError> {
    let mut read = TableRead::new(table);
    read.run(cx).await?;
    Ok(read.into_rows())
}
