//! Configuration records as given by operators, and the rows in which they are kept.

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

/// Prefixes of all rows of the configuration but `rev`.
pub const PREFIXES: [&str; 4] = ["org/", "service/", "team/", "placement"];

/// Why a change is refused; nothing of it is applied then.
#[derive(Clone, Debug, Display, Error)]
pub enum RecordError {
    /// A record is not readable.
    #[display("record {index}: {reason}")]
    Unreadable {
        /// Position in the change, from 0.
        index: usize,
        /// Where and why.
        reason: ReadError,
    },
    /// The records do not fit the configuration.
    #[display("{_0}")]
    Refused(ChangeError),
}

/// Returns the configuration with the records in place; its revision is one higher.
///
/// The revision also grows when the records change nothing, so that the change has its audit row
/// and a repetition of it gets the same answer.
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

/// Adds the writes that turn the rows of `old` into those of `new`.
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

/// Puts a row of the table into the configuration; rows of other kinds are left out.
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
