//! Backend services and their operations.

use base::{clock::Millis, name::Name};
use serde::{Deserialize, Serialize};

/// A service that a set of backend servers offers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Requests that one backend server runs at the same time.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Connections that one backend server takes.
    #[serde(default = "default_connections")]
    pub connections: u16,
    /// Operations of the service.
    pub operations: Vec<Operation>,
}

/// One operation of a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name of the operation.
    pub name: Name,
    /// Whether somebody waits for the answer.
    pub class: Class,
    /// Whether the operation may run more than once for one request.
    pub repeatable: bool,
    /// Longest time from arrival to answer.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
}

/// Whether somebody waits for the answer of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits.
    Live,
    /// The work can wait.
    Deferrable,
}

fn default_slots() -> u16 {
    8
}

fn default_connections() -> u16 {
    60
}

fn default_deadline() -> Millis {
    Millis::from_secs(10)
}
