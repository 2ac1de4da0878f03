//! Configuration records and jobs, independent of the schema version in which they were written.

use base::name::Name;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use crate::{
    config::Placement,
    job::Job,
    organisation::{Organisation, Team},
    service::Service,
};

/// Schema version in which a record is written.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum Version {
    /// Version 1, which is still accepted.
    #[display("1")]
    V1,
    /// Version 2, the current one.
    #[display("2")]
    V2,
}

/// Content of a record.
#[derive(Clone, Debug, Eq, From, PartialEq, Deserialize, Serialize)]
pub enum Record {
    /// An organisation with its guarantees.
    Organisation(Organisation),
    /// A team with its quota.
    Team(Team),
    /// A backend service.
    Service(Service),
    /// Placement settings.
    Placement(Placement),
    /// A job. Jobs are submitted and are not part of the configuration.
    Job(Job),
    /// Removal of an organisation, team or service.
    Remove(Target),
}

/// The object that a removal refers to.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum Target {
    /// An organisation.
    Organisation {
        /// Name of the organisation.
        name: Name,
    },
    /// A team.
    Team {
        /// Organisation of the team.
        organisation: Name,
        /// Name of the team.
        name: Name,
    },
    /// A backend service.
    Service {
        /// Name of the service.
        name: Name,
    },
}

/// A record with the schema version in which it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRecord {
    /// Schema version in which the record was written.
    pub version: Version,
    /// Content of the record.
    pub record: Record,
}

impl Record {
    /// Returns a short title such as `team akarihon/stock`, for use in messages.
    ///
    /// ```
    /// use schema::{config::Placement, record::Record};
    /// assert_eq!(Record::from(Placement::default()).title(), "placement");
    /// ```
    pub fn title(&self) -> String {
        match self {
            Self::Organisation(o) => format!("organisation {}", o.name),
            Self::Team(t) => format!("team {}/{}", t.organisation, t.name),
            Self::Service(s) => format!("service {}", s.name),
            Self::Placement(_) => "placement".into(),
            Self::Job(j) => format!("job {}/{}", j.organisation, j.name),
            Self::Remove(Target::Organisation { name }) => {
                format!("removal of organisation {name}")
            }
            Self::Remove(Target::Team { organisation, name }) => {
                format!("removal of team {organisation}/{name}")
            }
            Self::Remove(Target::Service { name }) => format!("removal of service {name}"),
        }
    }
}
