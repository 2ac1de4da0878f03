//! Entries of the platform's VM list.

use std::net;

use base::name::Name;
use serde::{Deserialize, Serialize};

/// One VM of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Address at which its backend server or worker listens.
    pub address: net::SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// What the VM is for.
    pub role: VmRole,
    /// Whether the VM takes new work.
    pub state: VmState,
}

/// What a VM is for.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum VmRole {
    /// A backend server of a service.
    Backend {
        /// Name of the service.
        service: Name,
    },
    /// A worker.
    Worker {
        /// Rack in which it stands.
        rack: Name,
    },
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM takes work.
    Live,
    /// The VM is about to stop; it gets no new work.
    Leaving,
}
