//! Applies sets of records to the configuration.

use derive_more::{Display, Error};

use crate::{
    check::{self, CheckError},
    config::{Config, TeamKey},
    record::{Record, Target, Version, VersionedRecord},
    v1_write::{self, UnsupportedInV1},
};

/// Reason why a set of records can't be applied. None of its records is applied.
#[derive(Clone, Debug, Display, Eq, PartialEq, Error)]
pub enum ChangeError {
    /// A version 1 record would replace a record with values that only version 2 can express.
    #[display(
        "record {index} ({title}) must be written in schema version 2, because version 1 would lose a current value: {lost}"
    )]
    Lossy {
        /// Position in the set, from 0.
        index: usize,
        /// Title of the record.
        title: String,
        /// The value that would be lost.
        lost: UnsupportedInV1,
    },
    /// The set contains a job, which is not part of the configuration.
    #[display("record {index} ({title}) is a job; submit it instead of applying it")]
    Job {
        /// Position in the set, from 0.
        index: usize,
        /// Title of the record.
        title: String,
    },
    /// Two records in the set change the same object.
    #[display("record {index} ({title}) changes the same object as an earlier record in the set")]
    Duplicate {
        /// Position in the set, from 0.
        index: usize,
        /// Title of the record.
        title: String,
    },
    /// The object to remove does not exist.
    #[display("record {index} ({title}): the object does not exist")]
    Missing {
        /// Position in the set, from 0.
        index: usize,
        /// Title of the record.
        title: String,
    },
    /// The resulting configuration would be invalid.
    #[display("{problem}")]
    Check {
        /// The failed check.
        problem: CheckError,
    },
}

/// Effect of a record on the configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Difference {
    /// The record adds an object.
    #[display("+ {title}")]
    Added {
        /// Title of the record.
        title: String,
    },
    /// The record changes an object.
    #[display("~ {title}")]
    Changed {
        /// Title of the record.
        title: String,
    },
    /// The record removes an object.
    #[display("- {title}")]
    Removed {
        /// Title of the record.
        title: String,
    },
    /// The record changes nothing.
    #[display("= {title}")]
    Unchanged {
        /// Title of the record.
        title: String,
    },
}

impl Difference {
    /// Returns whether the record changes the configuration.
    ///
    /// ```
    /// use schema::change::Difference;
    /// assert!(!Difference::Unchanged { title: "placement".into() }.is_change());
    /// ```
    pub const fn is_change(&self) -> bool {
        !matches!(self, Self::Unchanged { .. })
    }
}

/// Returns the configuration with all `records` applied, and the effect of each record.
///
/// The revision is incremented if anything changes. Applying the same records again changes
/// nothing.
///
/// ```
/// use schema::{change, config::Config, read};
///
/// let team = "{version: 1, type: 'group', tenant: 'a', group: 'g', max_gpus: 8}";
/// let org = "{version: 1, type: 'tenant', tenant: 'a'}";
/// let records = [read::read(org).unwrap(), read::read(team).unwrap()];
/// let (config, _) = change::apply(&Config::default(), &records).unwrap();
/// assert_eq!(config.revision, 1);
/// let (again, differences) = change::apply(&config, &records).unwrap();
/// assert_eq!(again, config);
/// assert!(!differences.iter().any(change::Difference::is_change));
/// ```
pub fn apply(
    config: &Config,
    records: &[VersionedRecord],
) -> Result<(Config, Vec<Difference>), ChangeError> {
    let mut next = config.clone();
    let mut differences = Vec::with_capacity(records.len());
    let mut seen: Vec<String> = Vec::new();
    for (index, versioned) in records.iter().enumerate() {
        let object = object_title(&versioned.record);
        if seen.contains(&object) {
            return Err(ChangeError::Duplicate {
                index,
                title: versioned.record.title(),
            });
        }
        seen.push(object);
        differences.push(apply_record(&mut next, index, versioned)?);
    }
    check::references(&next).map_err(|problem| ChangeError::Check { problem })?;
    if differences.iter().any(Difference::is_change) {
        next.revision += 1;
    }
    Ok((next, differences))
}

/// Returns the title of the object that a record writes or removes.
///
/// It is the same for a record and for the removal of the same object.
fn object_title(record: &Record) -> String {
    let title = record.title();
    title
        .strip_prefix("removal of ")
        .map_or_else(|| title.clone(), str::to_owned)
}

fn apply_record(
    config: &mut Config,
    index: usize,
    versioned: &VersionedRecord,
) -> Result<Difference, ChangeError> {
    let record = &versioned.record;
    let title = record.title();
    let previous = match record {
        Record::Job(_) => return Err(ChangeError::Job { index, title }),
        Record::Remove(target) => return remove(config, index, target, title),
        _ => current_record(config, record),
    };
    if previous.as_ref() == Some(record) {
        return Ok(Difference::Unchanged { title });
    }
    if versioned.version == Version::V1
        && let Some(previous) = &previous
        && let Err(lost) = v1_write::write(previous)
    {
        return Err(ChangeError::Lossy { index, title, lost });
    }
    insert(config, record.clone());
    Ok(match previous {
        Some(_) => Difference::Changed { title },
        None => Difference::Added { title },
    })
}

/// Returns the record that `record` would replace.
fn current_record(config: &Config, record: &Record) -> Option<Record> {
    match record {
        Record::Organisation(o) => config.organisations.get(&o.name).cloned().map(Record::from),
        Record::Team(t) => {
            let key = TeamKey {
                organisation: t.organisation.clone(),
                team: t.name.clone(),
            };
            config.teams.get(&key).cloned().map(Record::from)
        }
        Record::Service(s) => config.services.get(&s.name).cloned().map(Record::from),
        Record::Placement(_) => Some(Record::from(config.placement)),
        Record::Job(_) | Record::Remove(_) => None,
    }
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
        Record::Job(_) | Record::Remove(_) => {}
    }
}

fn remove(
    config: &mut Config,
    index: usize,
    target: &Target,
    title: String,
) -> Result<Difference, ChangeError> {
    let removed = match target {
        Target::Organisation { name } => config.organisations.remove(name).is_some(),
        Target::Service { name } => config.services.remove(name).is_some(),
        Target::Team { organisation, name } => {
            let key = TeamKey {
                organisation: organisation.clone(),
                team: name.clone(),
            };
            config.teams.remove(&key).is_some()
        }
    };
    if !removed {
        return Err(ChangeError::Missing { index, title });
    }
    Ok(Difference::Removed { title })
}
