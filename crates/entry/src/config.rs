//! Configuration in force: read from the table service, confirmed by table, leader or members.

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

/// Rows read by one scan.
const SCAN_ROWS: usize = 1_000;

/// A configuration with the indices that requests need.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub config: Config,
    /// Organisations by access token.
    pub tokens: Tokens,
}

/// The configuration in force at this entry; its revision never goes down.
#[derive(Debug, Default)]
pub struct Current {
    force: RefCell<Rc<InForce>>,
    confirmed: Cell<Option<Millis>>,
}

/// Why the table's configuration could not be read.
#[derive(Clone, Debug, Display, Error)]
pub enum ReadError {
    /// The table service failed.
    #[display("the table service failed: {_0}")]
    Store(StoreError),
    /// The revision changed while rows were read.
    #[display("the revision changed during the read")]
    Changed,
    /// A row holds something else than expected.
    #[display("row {key} can't be used: {reason}")]
    Row {
        /// Key of the row.
        key: String,
        /// What was seen.
        reason: String,
    },
}

impl From<StoreError> for ReadError {
    fn from(e: StoreError) -> Self {
        Self::Store(e)
    }
}

impl Current {
    /// Returns the configuration in force.
    pub fn get(&self) -> Rc<InForce> {
        self.force.borrow().clone()
    }

    /// Returns the revision in force; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.force.borrow().config.revision
    }

    /// Puts `config` in force unless its revision is lower than the one in force.
    ///
    /// ```
    /// use schema::config::Config;
    /// let current = entry::config::Current::default();
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
        *self.force.borrow_mut() = Rc::new(InForce { config, tokens });
    }

    /// Records that the revision in force was the newest one at `at`.
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

    /// Reads the table's revision and puts a newer configuration in force.
    ///
    /// The read may be stale, so it confirms nothing. Returns the revision found with the version
    /// of its row.
    pub async fn refresh(&self, table: &Table) -> Result<(u64, u64), ReadError> {
        let (found, version) = revision(table).await?;
        if found > self.revision() {
            let config = read(table, found, version).await?;
            self.install(config);
        }
        Ok((found, version))
    }
}

/// Reads all rows of revision `found`.
///
/// The rows count only if `rev` is the same afterwards and no row is newer than `rev`, because
/// one transaction writes all rows of a revision.
async fn read(table: &Table, found: u64, version: u64) -> Result<Config, ReadError> {
    let mut config = Config {
        revision: found,
        ..Config::default()
    };
    let organisations = rows::<Organisation>(table, "org/", version).await?;
    config.organisations = by(organisations, |o| o.name.clone());
    let teams = rows::<Team>(table, "team/", version).await?;
    config.teams = by(teams, |t| TeamKey {
        organisation: t.organisation.clone(),
        team: t.name.clone(),
    });
    let services = rows::<Service>(table, "service/", version).await?;
    config.services = by::<Name, _>(services, |s| s.name.clone());
    if let Some(row) = table.get("placement").await? {
        config.placement = parse(&row, version)?;
    }
    if revision(table).await? != (found, version) {
        return Err(ReadError::Changed);
    }
    Ok(config)
}

async fn revision(table: &Table) -> Result<(u64, u64), ReadError> {
    let Some(row) = table.get(REVISION_KEY).await? else {
        return Ok((0, 0));
    };
    let rev: RevisionRow = parse(&row, row.version)?;
    Ok((rev.revision, row.version))
}

async fn rows<T: DeserializeOwned>(
    table: &Table,
    prefix: &str,
    version: u64,
) -> Result<Vec<T>, ReadError> {
    let mut found = Vec::new();
    let mut after = String::new();
    loop {
        let rows = table.scan(prefix, &after, SCAN_ROWS).await?;
        for row in &rows {
            found.push(parse(row, version)?);
        }
        match rows.last() {
            Some(last) if rows.len() == SCAN_ROWS => after = last.key.to_string(),
            _ => return Ok(found),
        }
    }
}

fn parse<T: DeserializeOwned>(row: &Row, version: u64) -> Result<T, ReadError> {
    if row.version > version {
        return Err(ReadError::Changed);
    }
    serde_json::from_str(&row.value).map_err(|e| ReadError::Row {
        key: row.key.to_string(),
        reason: e.to_string(),
    })
}

fn by<K: Ord, T>(items: Vec<T>, key: impl Fn(&T) -> K) -> SortedMap<K, T> {
    items.into_iter().map(|item| (key(&item), item)).collect()
}
