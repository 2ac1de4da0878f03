//! Entries of the platform's VM list.

use std::net;

use base::name::Name;
use serde::{Deserialize, Serialize};

/// One VM of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Address on which the VM's backend server or worker listens.
    pub address: net::SocketAddr,
    /// Data centre in which the VM runs.
    pub data_centre: Name,
    /// Role of the VM.
    pub role: VmRole,
    /// Whether the VM accepts new work.
    pub state: VmState,
}

/// Role of a VM.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum VmRole {
    /// The VM runs a backend server of a service.
    Backend {
        /// Name of the service.
        service: Name,
    },
    /// The VM runs a worker.
    Worker {
        /// Rack of the worker.
        rack: Name,
    },
}

/// Whether a VM accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM accepts new work.
    Live,
    /// The VM is about to stop and gets no new work.
    Leaving,
}
