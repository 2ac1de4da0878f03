//! Configuration records: how they are given and how they are kept in the table.

use base::name::Name;
use derive_more::{Display, Error};
use schema::{
    config::{Config, Placement, TeamKey},
    organisation::{Organisation, Team},
    service::Service,
};
use serde::{Deserialize, Serialize};
use store::table::Key;

use crate::lease_task::to_json;

/// Prefixes of all rows of the configuration but `rev`.
pub const PREFIXES: [&str; 4] = ["org/", "service/", "team/", "placement"];

/// One record of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// An organisation.
    Organisation(Organisation),
    /// A team.
    Team(Team),
    /// A service.
    Service(Service),
    /// Settings of placement.
    Placement(Placement),
}

/// Why a record is refused.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum RecordError {
    /// The record is not readable.
    #[display("record {index}: {reason}")]
    Unreadable {
        /// Position in the change, from 0.
        index: usize,
        /// Where and why.
        reason: String,
    },
    /// A team of an organisation that does not exist.
    #[display("team {team}: there is no organisation {organisation}")]
    NoOrganisation {
        /// The team.
        team: Name,
        /// The organisation that it names.
        organisation: Name,
    },
}

/// Reads the records of a change.
///
/// ```
/// let text = r#"{"kind":"placement","fragmentation_percent":30}"#;
/// let read = sched::records::read(&[text.to_owned()]).unwrap();
/// assert_eq!(read.len(), 1);
/// ```
pub fn read(texts: &[String]) -> Result<Vec<Record>, RecordError> {
    let read = |(index, text): (usize, &String)| {
        serde_json::from_str(text).map_err(|e| RecordError::Unreadable {
            index,
            reason: e.to_string(),
        })
    };
    texts.iter().enumerate().map(read).collect()
}

/// Returns the configuration with the records in place, and checks it.
///
/// ```
/// let next = sched::records::apply(&schema::config::Config::default(), &[]).unwrap();
/// assert_eq!(next.revision, 1);
/// ```
pub fn apply(config: &Config, records: &[Record]) -> Result<Config, RecordError> {
    let mut next = config.clone();
    next.revision += 1;
    for record in records {
        insert(&mut next, record.clone());
    }
    for team in next.teams.values() {
        if next.organisations.get(&team.organisation).is_none() {
            return Err(RecordError::NoOrganisation {
                team: team.name.clone(),
                organisation: team.organisation.clone(),
            });
        }
    }
    Ok(next)
}

fn insert(config: &mut Config, record: Record) {
    match record {
        Record::Organisation(o) => {
            config.organisations.insert(o.name.clone(), o);
        }
        Record::Team(t) => {
            let key = TeamKey {
                organisation: t.organisation.clone(),
                team: t.name.clone(),
            };
            config.teams.insert(key, t);
        }
        Record::Service(s) => {
            config.services.insert(s.name.clone(), s);
        }
        Record::Placement(p) => config.placement = p,
    }
}

/// Returns the row in which a record is kept, as key and value.
///
/// ```
/// # use schema::config::Placement;
/// let row = sched::records::row(&sched::records::Record::Placement(Placement::default()));
/// assert_eq!(&*row.0, "placement");
/// ```
pub fn row(record: &Record) -> (Key, String) {
    match record {
        Record::Organisation(o) => (format!("org/{}", o.name).into(), to_json(o)),
        Record::Team(t) => {
            let key = format!("team/{}/{}", t.organisation, t.name);
            (key.into(), to_json(t))
        }
        Record::Service(s) => (format!("service/{}", s.name).into(), to_json(s)),
        Record::Placement(p) => ("placement".into(), to_json(p)),
    }
}

/// Puts a row of the table into the configuration; rows of other kinds are left out.
///
/// ```
/// let mut config = schema::config::Config::default();
/// sched::records::insert_row(&mut config, "placement", r#"{"fragmentation_percent":30}"#).unwrap();
/// assert_eq!(config.placement.fragmentation_percent, 30);
/// ```
pub fn insert_row(config: &mut Config, key: &str, value: &str) -> Result<(), serde_json::Error> {
    let record = match key.split('/').next() {
        Some("org") => Record::Organisation(serde_json::from_str(value)?),
        Some("team") => Record::Team(serde_json::from_str(value)?),
        Some("service") => Record::Service(serde_json::from_str(value)?),
        Some("placement") => Record::Placement(serde_json::from_str(value)?),
        _ => return Ok(()),
    };
    insert(config, record);
    Ok(())
}
