//! Backend services and their operations.

use base::{clock::Millis, name::Name};
use serde::{Deserialize, Serialize};

/// A service provided by a set of backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Maximum number of requests that one backend server processes concurrently.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Maximum number of connections that one backend server accepts.
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
    /// Whether a client waits for the answer.
    pub class: Class,
    /// Whether the operation may be executed more than once for one request.
    pub repeatable: bool,
    /// Maximum time from the arrival of a request to its answer.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Millis,
}

/// Whether a client waits for the answer to a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A client waits for the answer.
    Live,
    /// No client waits, so the work can be deferred.
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
