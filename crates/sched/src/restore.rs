//! Rebuilds the state of a new leadership from the table.

use std::rc::Rc;

use base::clock;
use derive_more::{Display, Error, From};
use member::rows::RevisionRow;
use plan::record::JobRecord;
use schema::config::Config;
use store::table::{Check, Commit, Key, Row, StoreError, Txn};

use crate::{
    config,
    ctx::Cx,
    leader::Leader,
    records,
    row_ages::RowAges,
    rows::{self, AuditRow},
    state::{State, StoredRecord},
    voters::{Former, Voters},
};

/// Number of rows in one page of a scan.
const PAGE_ROWS: usize = 1_000;
/// Number of rows whose versions are checked in one transaction.
const ROWS_PER_CHECK: usize = 500;

/// Error that prevents the state from being rebuilt.
#[derive(Clone, Debug, Display, Error, From)]
pub(crate) enum RestoreError {
    /// A call to the table service failed.
    #[display("{_0}")]
    Store(StoreError),
    /// A read returned an outdated version of a row.
    #[display("the reads are stale")]
    #[from(ignore)]
    Stale,
    /// A row is malformed.
    #[display("the row {key} is malformed: {reason}")]
    #[from(ignore)]
    Row {
        /// Key of the row.
        key: Key,
        /// Parse error.
        reason: String,
    },
}

/// Rebuilds the configuration, the jobs and the plan.
pub(crate) async fn run(cx: &Cx, leader: &Rc<Leader>) -> Result<(), RestoreError> {
    check_takeover(cx, leader).await?;
    let (config, rev) = read_config(cx).await?;
    let audits = read_audits(cx, config.revision).await?;
    let ages = read_ages(cx).await?;
    let (jobs, set_aside) = read_jobs(cx, &ages).await?;
    let (former, voters_version) = read_former(cx).await?;
    let mut state = State::new(cx.cfg.workers);
    state.former = former;
    state.ages = ages;
    state.set_aside = set_aside;
    cx.raise_revision(config.revision);
    leader.config.restore(rev, audits);
    leader.voters.replace(Voters::new(voters_version));
    state.restore(config, jobs, cx.plan_now());
    leader.state.replace(Some(state));
    Ok(())
}

/// Checks that reads include the takeover by this process. After it no other process writes rows of
/// this shard.
async fn check_takeover(cx: &Cx, leader: &Leader) -> Result<(), RestoreError> {
    let row = cx.table.get(&cx.lease_key()).await?;
    if row.is_none_or(|r| r.version < leader.held.version) {
        return Err(RestoreError::Stale);
    }
    Ok(())
}

/// Reads the configuration and the version of the `rev` row.
async fn read_config(cx: &Cx) -> Result<(Config, u64), RestoreError> {
    let mut rows = Vec::new();
    for prefix in records::PREFIXES {
        rows.extend(scan(cx, prefix).await?);
    }
    let rev = cx.table.get("rev").await?;
    let mut checks = checks(&rows);
    checks.push(Check {
        key: "rev".into(),
        version: rev.as_ref().map_or(0, |r| r.version),
    });
    confirm(cx, &checks).await?;
    let mut config = Config::default();
    for row in &rows {
        records::insert_row(&mut config, &row.key, &row.value).map_err(|e| unreadable(row, &e))?;
    }
    let Some(rev) = rev else {
        return Ok((config, 0));
    };
    let value: RevisionRow = serde_json::from_str(&rev.value).map_err(|e| unreadable(&rev, &e))?;
    config.revision = value.revision;
    Ok((config, rev.version))
}

/// Reads the audit rows of the remembered changes. The newest one was written together with the
/// revision, so a read that has it has all.
async fn read_audits(cx: &Cx, revision: u64) -> Result<Vec<AuditRow>, RestoreError> {
    let rows = config::read_audits(cx, revision).await?;
    let key = rows::audit_key(revision);
    let newest = rows.iter().find(|r| r.key == key);
    let version = newest.map_or(0, |r| r.version);
    confirm(cx, &[Check { key, version }]).await?;
    let read = |row: &Row| {
        let read = serde_json::from_str(&row.value);
        read.inspect_err(
            |e| log::error!(row:% = row.key, reason:% = e; "config: the audit row can't be read"),
        )
        .ok()
    };
    Ok(rows.iter().filter_map(read).collect())
}

/// Reads the jobs, and returns the sorted keys of malformed rows apart: if they failed the restore,
/// one of them would end the leadership of every process.
async fn read_jobs(cx: &Cx, ages: &RowAges) -> Result<(Vec<StoredRecord>, Vec<Key>), RestoreError> {
    let rows = scan(cx, "job/").await?;
    confirm(cx, &checks(&rows)).await?;
    let mut jobs = Vec::with_capacity(rows.len());
    let mut set_aside = Vec::new();
    for row in rows {
        match serde_json::from_str::<JobRecord>(&row.value) {
            Ok(record) => jobs.push(StoredRecord {
                version: row.version,
                written_by: ages.written_by(clock::now(), row.version),
                record,
            }),
            Err(e) => {
                log::error!(row:% = row.key, reason:% = e; "sched: job set aside");
                set_aside.push(row.key);
            }
        }
    }
    Ok((jobs, set_aside))
}

/// Reads the ages of rows that earlier leaders measured.
async fn read_ages(cx: &Cx) -> Result<RowAges, RestoreError> {
    let key = rows::ages_key(&cx.cfg.shard);
    let row = cx.table.get(&key).await?;
    let version = row.as_ref().map_or(0, |r| r.version);
    confirm(cx, &[Check { key, version }]).await?;
    Ok(RowAges::read(row.as_ref(), clock::now()))
}

/// Reads the voters of the leader before, and the version of their row.
async fn read_former(cx: &Cx) -> Result<(Former, u64), RestoreError> {
    let key = rows::voters_key(&cx.cfg.shard);
    let row = cx.table.get(&key).await?;
    let version = row.as_ref().map_or(0, |r| r.version);
    confirm(cx, &[Check { key, version }]).await?;
    Ok((Former::read(row.as_ref(), clock::now()), version))
}

/// Reads all rows whose keys have the prefix, page by page.
pub(crate) async fn scan(cx: &Cx, prefix: &str) -> Result<Vec<Row>, StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or("", |r| &*r.key).to_owned();
        let page = cx.table.scan(prefix, &after, PAGE_ROWS).await?;
        let full = page.len() >= PAGE_ROWS;
        rows.extend(page);
        if !full {
            return Ok(rows);
        }
    }
}

fn checks(rows: &[Row]) -> Vec<Check> {
    let check = |row: &Row| Check {
        key: row.key.clone(),
        version: row.version,
    };
    rows.iter().map(check).collect()
}

/// Checks with read-only transactions that the rows have not changed since they were read.
async fn confirm(cx: &Cx, checks: &[Check]) -> Result<(), RestoreError> {
    for part in checks.chunks(ROWS_PER_CHECK) {
        let txn = Txn {
            checks: part.to_vec(),
            writes: Vec::new(),
        };
        if let Commit::Conflict { .. } = cx.table.commit(&txn).await? {
            return Err(RestoreError::Stale);
        }
    }
    Ok(())
}

fn unreadable(row: &Row, e: &impl ToString) -> RestoreError {
    RestoreError::Row {
        key: row.key.clone(),
        reason: e.to_string(),
    }
}
