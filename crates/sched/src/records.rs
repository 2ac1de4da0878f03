//! Applies configuration records from operators and converts the configuration to and from rows.

use base::sorted::SortedMap;
use derive_more::{Display, Error};
use schema::{
    change::{self, ChangeError},
    config::{Config, TeamKey},
    organisation::{Organisation, Team},
    read::{self, ReadError},
    service::Service,
};
use serde::Serialize;
use store::table::Txn;

use crate::lease_task::to_json;

/// Prefixes of the keys of all configuration rows except `rev`.
pub const PREFIXES: [&str; 4] = ["org/", "service/", "team/", "placement"];

/// Reason why a change is refused as a whole.
#[derive(Clone, Debug, Display, Error)]
pub enum RecordError {
    /// A record is malformed.
    #[display("record {index}: {reason}")]
    Unreadable {
        /// Index of the record in the change, from 0.
        index: usize,
        /// Position and cause of the error.
        reason: ReadError,
    },
    /// The records are inconsistent with the configuration.
    #[display("{_0}")]
    Refused(ChangeError),
}

/// Returns the configuration with the records applied and the revision increased by one.
///
/// The revision also increases if the records change nothing, so that the change has an audit row
/// and a retry of it gets the same answer.
///
/// ```
/// let text = "{schema: 2, kind: 'placement', spec: {fragmentation_percent: 30}}";
/// let next = sched::records::apply(&schema::config::Config::default(), &[text.into()]).unwrap();
/// assert_eq!(next.revision, 1);
/// ```
pub fn apply(config: &Config, texts: &[String]) -> Result<Config, RecordError> {
    let read = |(index, text): (usize, &String)| {
        read::read(text).map_err(|reason| RecordError::Unreadable { index, reason })
    };
    let records: Result<Vec<_>, _> = texts.iter().enumerate().map(read).collect();
    let (mut next, _) = change::apply(config, &records?).map_err(RecordError::Refused)?;
    next.revision = config.revision + 1;
    Ok(next)
}

/// Adds the writes that change the rows from `old` to `new` to the transaction.
///
/// ```
/// use schema::config::Config;
/// let (old, mut new) = (Config::default(), Config::default());
/// new.placement.fragmentation_percent = 30;
/// assert_eq!(sched::records::writes(store::table::Txn::default(), &old, &new).writes.len(), 1);
/// ```
#[must_use]
pub fn writes(txn: Txn, old: &Config, new: &Config) -> Txn {
    let mut txn = diff(txn, &old.organisations, &new.organisations, |name| {
        format!("org/{name}")
    });
    txn = diff(txn, &old.services, &new.services, |name| {
        format!("service/{name}")
    });
    txn = diff(txn, &old.teams, &new.teams, |key| {
        format!("team/{}/{}", key.organisation, key.team)
    });
    if old.placement != new.placement {
        txn = txn.put("placement", to_json(&new.placement));
    }
    txn
}

fn diff<K: Ord, V: Eq + Serialize>(
    mut txn: Txn,
    old: &SortedMap<K, V>,
    new: &SortedMap<K, V>,
    key: impl Fn(&K) -> String,
) -> Txn {
    for (k, v) in new.iter() {
        if old.get(k) != Some(v) {
            txn = txn.put(key(k), to_json(v));
        }
    }
    for k in old.keys() {
        if new.get(k).is_none() {
            txn = txn.delete(key(k));
        }
    }
    txn
}

/// Adds a row of the table to the configuration; rows of other kinds are ignored.
///
/// ```
/// let mut config = schema::config::Config::default();
/// sched::records::insert_row(&mut config, "placement", r#"{"fragmentation_percent":30}"#).unwrap();
/// assert_eq!(config.placement.fragmentation_percent, 30);
/// ```
pub fn insert_row(config: &mut Config, key: &str, value: &str) -> Result<(), serde_json::Error> {
    match key.split('/').next() {
        Some("org") => {
            let o: Organisation = serde_json::from_str(value)?;
            config.organisations.insert(o.name.clone(), o);
        }
        Some("team") => {
            let t: Team = serde_json::from_str(value)?;
            let key = TeamKey {
                organisation: t.organisation.clone(),
                team: t.name.clone(),
            };
            config.teams.insert(key, t);
        }
        Some("service") => {
            let s: Service = serde_json::from_str(value)?;
            config.services.insert(s.name.clone(), s);
        }
        Some("placement") => config.placement = serde_json::from_str(value)?,
        _ => {}
    }
    Ok(())
}
