//! The complete configuration of one revision.

use base::{name::Name, sorted::SortedMap};
use serde::{Deserialize, Serialize};

use crate::{
    organisation::{Organisation, Team},
    service::Service,
};

/// Key of a team: its organisation and its name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct TeamKey {
    /// Organisation of the team.
    pub organisation: Name,
    /// Name of the team.
    pub team: Name,
}

/// The complete configuration of one revision.
///
/// ```
/// assert_eq!(schema::config::Config::default().revision, 0);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Config {
    /// Revision; it never decreases.
    pub revision: u64,
    /// Organisations by name.
    pub organisations: SortedMap<Name, Organisation>,
    /// Teams by organisation and name.
    pub teams: SortedMap<TeamKey, Team>,
    /// Services by name.
    pub services: SortedMap<Name, Service>,
    /// Placement settings of the scheduler.
    pub placement: Placement,
}

/// Placement settings of the scheduler.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Weight of fragmentation relative to completion time, 0 to 100 percent.
    pub fragmentation_percent: u8,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            fragmentation_percent: 50,
        }
    }
}
