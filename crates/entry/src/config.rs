//! Configuration in force, read from the table service and confirmed as the newest by the table
//! service, the leading scheduler or a quorum of the members.

use std::{cell::Cell, cell::RefCell, rc::Rc};

use base::{clock, clock::Millis, name::Name, sorted::SortedMap};
use derive_more::{Display, Error};
use member::rows::{REVISION_KEY, RevisionRow};
use schema::{
    config::{Config, TeamKey},
    organisation::{Organisation, Team},
    service::Service,
};
use serde::de::DeserializeOwned;
use store::{
    client::Table,
    table::{Row, StoreError},
};

use crate::auth::Tokens;

/// Maximum number of rows that one scan returns.
const SCAN_PAGE_ROWS: usize = 1_000;

/// A configuration with indices for authentication.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: Config,
    /// Organisations by the hashes of their access tokens.
    pub tokens: Tokens,
}

/// The configuration in force at this entry; its revision never decreases.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    active: RefCell<Rc<ActiveConfig>>,
    confirmed: Cell<Option<Millis>>,
}

/// Why the configuration could not be read from the table service.
#[derive(Clone, Debug, Display, Error)]
pub enum ReadError {
    /// The table service failed.
    #[display("the table service failed: {_0}")]
    Store(StoreError),
    /// The revision changed while rows were read.
    #[display("the revision changed during the read")]
    Changed,
    /// A row does not have the expected content.
    #[display("row {key} is invalid: {reason}")]
    Row {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl From<StoreError> for ReadError {
    fn from(e: StoreError) -> Self {
        Self::Store(e)
    }
}

impl CurrentConfig {
    /// Returns the configuration in force.
    pub fn get(&self) -> Rc<ActiveConfig> {
        self.active.borrow().clone()
    }

    /// Returns the revision in force; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.active.borrow().config.revision
    }

    /// Puts `config` in force if its revision is higher than the one in force.
    ///
    /// ```
    /// use schema::config::Config;
    /// let current = entry::config::CurrentConfig::default();
    /// current.install(Config { revision: 3, ..Config::default() });
    /// current.install(Config { revision: 2, ..Config::default() });
    /// assert_eq!(current.revision(), 3);
    /// ```
    pub fn install(&self, config: Config) {
        if config.revision <= self.revision() {
            return;
        }
        log::info!("config: revision {} is in force", config.revision);
        let tokens = Tokens::new(&config);
        *self.active.borrow_mut() = Rc::new(ActiveConfig { config, tokens });
    }

    /// Records that the revision in force was the newest at the time `at`.
    pub fn confirm(&self, at: Millis) {
        if self.confirmed.get().is_none_or(|old| old < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Returns the age of the last confirmation, or `None` before the first one.
    pub fn age(&self) -> Option<Millis> {
        self.confirmed.get().map(|at| clock::now().since(at))
    }

    /// Returns whether the last confirmation is younger than `lease`.
    pub fn is_confirmed(&self, lease: Millis) -> bool {
        self.age().is_some_and(|age| age < lease)
    }

    /// Reads the revision from the table service and puts a newer configuration in force.
    ///
    /// The read may be stale, so it does not confirm the configuration. Returns the revision that
    /// was read and the version of its row.
    pub async fn refresh(&self, table: &Table) -> Result<(u64, u64), ReadError> {
        let (found, version) = read_revision(table).await?;
        if found > self.revision() {
            let config = read_config(table, found, version).await?;
            self.install(config);
        }
        Ok((found, version))
    }
}

/// Reads all rows of revision `found`.
///
/// One transaction writes all rows of a revision, so the rows are consistent only if `rev` is
/// unchanged after the read and no row has a higher version than `rev`.
async fn read_config(table: &Table, found: u64, version: u64) -> Result<Config, ReadError> {
    let mut config = Config {
        revision: found,
        ..Config::default()
    };
    let organisations = read_rows::<Organisation>(table, "org/", version).await?;
    config.organisations = index_by(organisations, |o| o.name.clone());
    let teams = read_rows::<Team>(table, "team/", version).await?;
    config.teams = index_by(teams, |t| TeamKey {
        organisation: t.organisation.clone(),
        team: t.name.clone(),
    });
    let services = read_rows::<Service>(table, "service/", version).await?;
    config.services = index_by::<Name, _>(services, |s| s.name.clone());
    if let Some(row) = table.get("placement").await? {
        config.placement = parse_row(&row, version)?;
    }
    if read_revision(table).await? != (found, version) {
        return Err(ReadError::Changed);
    }
    Ok(config)
}

async fn read_revision(table: &Table) -> Result<(u64, u64), ReadError> {
    let Some(row) = table.get(REVISION_KEY).await? else {
        return Ok((0, 0));
    };
    let rev: RevisionRow = parse_row(&row, row.version)?;
    Ok((rev.revision, row.version))
}

async fn read_rows<T: DeserializeOwned>(
    table: &Table,
    prefix: &str,
    version: u64,
) -> Result<Vec<T>, ReadError> {
    let mut found = Vec::new();
    let mut after = String::new();
    loop {
        let rows = table.scan(prefix, &after, SCAN_PAGE_ROWS).await?;
        for row in &rows {
            found.push(parse_row(row, version)?);
        }
        match rows.last() {
            Some(last) if rows.len() == SCAN_PAGE_ROWS => after = last.key.to_string(),
            _ => return Ok(found),
        }
    }
}

fn parse_row<T: DeserializeOwned>(row: &Row, version: u64) -> Result<T, ReadError> {
    if row.version > version {
        return Err(ReadError::Changed);
    }
    serde_json::from_str(&row.value).map_err(|e| ReadError::Row {
        key: row.key.to_string(),
        reason: e.to_string(),
    })
}

fn index_by<K: Ord, T>(items: Vec<T>, key: impl Fn(&T) -> K) -> SortedMap<K, T> {
    items.into_iter().map(|item| (key(&item), item)).collect()
}
