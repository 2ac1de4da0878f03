//! Organisations, their guaranteed capacity and their teams.

use base::name::Name;
use serde::{Deserialize, Serialize};

use crate::shape::Shape;

/// An organisation with its guaranteed capacity.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// SHA-256 hashes of its access tokens, as lower-case hexadecimal text.
    #[serde(default)]
    pub token_hashes: Vec<String>,
    /// Capacity that the organisation can always claim.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Share of capacity beyond the guarantees, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A number of gangs of one shape that can run at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Number of gangs.
    pub gangs: u16,
    /// Shape of each gang.
    pub shape: Shape,
}

/// A team of an organisation.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Organisation of the team.
    pub organisation: Name,
    /// Name of the team.
    pub name: Name,
    /// Maximum number of accelerators that the team's jobs may use in total.
    pub quota_accelerators: u32,
}

fn default_weight() -> u32 {
    1
}
