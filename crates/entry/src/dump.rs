//! State of an entry as JSON, for operators.

use std::net;

use base::{clock::Millis, name::Name};
use serde::Serialize;

use crate::state::{Entry, Phase};

/// Answer to `GET /dump`.
#[derive(Debug, Serialize)]
pub struct Dump {
    id: String,
    data_centre: Name,
    phase: Phase,
    ready: bool,
    in_flight: usize,
    connections: usize,
    body_bytes: usize,
    config_revision: u64,
    config_age_ms: Option<Millis>,
    vm_list_age_ms: Option<Millis>,
    members: usize,
    leader: Option<net::SocketAddr>,
    claims_unsettled: usize,
    backend_busy: usize,
    backend_idle: usize,
    services: Vec<ServiceDump>,
    servers: Vec<ServerDump>,
}

#[derive(Debug, Serialize)]
struct ServiceDump {
    name: Name,
    queued: usize,
    in_flight: Vec<InFlightDump>,
}

#[derive(Debug, Serialize)]
struct InFlightDump {
    server: Name,
    requests: u16,
}

#[derive(Debug, Serialize)]
struct ServerDump {
    name: Name,
    service: Name,
    address: net::SocketAddr,
    leaving: bool,
}

impl Dump {
    /// Collects the state of an entry.
    pub fn of(cx: &Entry) -> Self {
        let (backend_busy, backend_idle) = cx.backends.counts();
        let balancers = cx.balancers();
        let services = balancers.into_iter().map(|(name, balancer)| ServiceDump {
            name,
            queued: balancer.queued(),
            in_flight: balancer
                .in_flight()
                .into_iter()
                .map(|(server, requests)| InFlightDump { server, requests })
                .collect(),
        });
        let servers = cx.vm_list.servers();
        let servers = servers.iter().map(|(name, server)| ServerDump {
            name: name.clone(),
            service: server.service.clone(),
            address: server.address,
            leaving: server.leaving,
        });
        Self {
            id: format!("{:016x}", cx.id),
            data_centre: cx.cfg.data_centre.clone(),
            phase: cx.phase.get(),
            ready: cx.is_ready(),
            in_flight: cx.in_flight.get(),
            connections: cx.connections(),
            body_bytes: cx.bodies.used(),
            config_revision: cx.config.revision(),
            config_age_ms: cx.config.age(),
            vm_list_age_ms: cx.vm_list.age(),
            members: cx.members.count(),
            leader: cx.schedulers.leader(),
            claims_unsettled: cx.claims.unsettled(),
            backend_busy,
            backend_idle,
            services: services.collect(),
            servers: servers.collect(),
        }
    }
}
