//! Resource requirements of gangs.

use serde::{Deserialize, Serialize};

/// How close together the members of a gang must be placed.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All members run on one worker.
    Worker,
    /// All members run in one rack.
    Rack,
    /// All members run in one data centre.
    #[default]
    DataCentre,
}

/// Resources that a gang needs: a number of members, each with the same resources on one worker.
///
/// ```
/// use schema::shape::{Adjacency, Shape};
///
/// let shape = Shape {
///     members: 4,
///     accelerators: 8,
///     cores: 32,
///     memory_mb: 65_536,
///     adjacency: Adjacency::Rack,
/// };
/// assert_eq!(shape.total_accelerators(), 32);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of members, 1 to 64.
    pub members: u16,
    /// Accelerators of each member.
    pub accelerators: u16,
    /// CPU cores of each member.
    pub cores: u16,
    /// Memory of each member, in MiB.
    pub memory_mb: u32,
    /// How close together the members must be placed.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns the number of accelerators of the whole gang.
    ///
    /// ```
    /// # use schema::shape::{Adjacency, Shape};
    /// let shape = Shape { members: 2, accelerators: 3, cores: 1, memory_mb: 1, adjacency: Adjacency::Rack };
    /// assert_eq!(shape.total_accelerators(), 6);
    /// ```
    pub fn total_accelerators(&self) -> u32 {
        u32::from(self.members) * u32::from(self.accelerators)
    }
}
