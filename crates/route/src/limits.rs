//! Load view of the backend servers and the choice of a server for each request.

use base::{clock::Millis, sorted::SortedMap};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    health::Health,
    limits_cfg::LimitsCfg,
    outcome::{Load, Outcome, ServerId},
};

/// How an entry limits its requests to a server whose load by other entries it can't see.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Each (server, slot) pair belongs to one entry by rendezvous hashing over the members.
    #[display("static division")]
    StaticDivision,
    /// The better of two random servers by the entry's own requests in flight, up to a cap.
    #[display("two choices")]
    TwoChoices,
    /// The better of two random servers by the load that servers report, aged.
    #[display("reported load")]
    ReportedLoad,
    /// The better of two random servers by the counts that entries send one another.
    #[display("exchange")]
    Exchange,
}

/// Requests that one entry has in flight at one server, as sent to other entries.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Count {
    /// The server.
    pub server: ServerId,
    /// Requests in flight.
    pub in_flight: u16,
}

/// Load view of one entry over the backend servers of one service.
///
/// ```
/// use base::clock::Millis;
/// use route::{limits::Limits, limits_cfg::LimitsCfg, outcome::Outcome};
///
/// let mut limits = Limits::new(LimitsCfg::default(), 1, 7);
/// let server: route::outcome::ServerId = "s1".parse().unwrap();
/// limits.add_server(server.clone());
/// let picked = limits.pick(Millis(0), &[]).unwrap();
/// limits.started(Millis(0), &picked);
/// limits.finished(Millis(5), &picked, Outcome::Answered, Millis(5), None);
/// assert_eq!(limits.pick(Millis(5), &[server]), None);
/// ```
#[derive(Debug)]
pub struct Limits {
    cfg: LimitsCfg,
    me: u64,
    members: Vec<u64>,
    servers: SortedMap<ServerId, Server>,
    rng: fastrand::Rng,
}

#[derive(Debug, Default)]
struct Server {
    in_flight: u16,
    leaving: bool,
    removed: bool,
    health: Health,
}

impl Limits {
    /// Creates a view without servers for the entry with member id `me`.
    pub fn new(cfg: LimitsCfg, me: u64, seed: u64) -> Self {
        Self {
            cfg,
            me,
            members: vec![me],
            servers: SortedMap::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a server, or takes a leaving or removed one back.
    pub fn add_server(&mut self, id: ServerId) {
        let server = self.servers.entry(id);
        server.leaving = false;
        server.removed = false;
    }

    /// Gives a server no new requests; those in flight run to their end.
    pub fn set_leaving(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.leaving = true;
        }
    }

    /// Removes a server; it is forgotten when its last request in flight has ended.
    pub fn remove_server(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.removed = true;
        }
        self.servers.retain(|_, s| !s.removed || s.in_flight > 0);
    }

    /// Sets the member ids of all entries that share the servers, this one included.
    pub fn set_members(&mut self, mut members: Vec<u64>) {
        members.push(self.me);
        members.sort_unstable();
        members.dedup();
        self.members = members;
    }

    /// Selects a server for one request, or `None` if no server may take one now.
    ///
    /// Servers in `exclude` are not selected. The selection is not yet counted: call
    /// [`Limits::started`] when the request is sent.
    pub fn pick(&mut self, now: Millis, exclude: &[ServerId]) -> Option<ServerId> {
        let cap = self.cfg.connection_cap();
        let open: Vec<&ServerId> = self
            .servers
            .iter()
            .filter(|(id, s)| s.is_open(now, cap) && !exclude.contains(id))
            .map(|(id, _)| id)
            .collect();
        if open.is_empty() {
            return None;
        }
        let i = self.rng.usize(..open.len());
        Some(open[i].clone())
    }

    /// Counts a request that is sent to `id`.
    pub fn started(&mut self, _now: Millis, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight += 1;
            server.health.started();
        }
    }

    /// Counts the end of a request at `id`, after `took`, with the load that the server reported.
    pub fn finished(
        &mut self,
        now: Millis,
        id: &ServerId,
        outcome: Outcome,
        took: Millis,
        _reported: Option<Load>,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.health.record(&self.cfg.health, now, outcome, took);
        if server.removed && server.in_flight == 0 {
            self.servers.remove(id);
        }
    }

    /// Requests in flight of this entry, for the exchange between entries.
    pub fn counts(&self) -> Vec<Count> {
        self.servers
            .iter()
            .filter(|(_, s)| s.in_flight > 0)
            .map(|(id, s)| Count {
                server: id.clone(),
                in_flight: s.in_flight,
            })
            .collect()
    }

    /// Takes the counts of another entry.
    pub fn peer_counts(&mut self, _now: Millis, _peer: u64, _counts: &[Count]) {}

    /// Requests that this entry has in flight at `id`.
    pub fn in_flight(&self, id: &ServerId) -> u16 {
        self.servers.get(id).map_or(0, |s| s.in_flight)
    }
}

impl Server {
    fn is_open(&self, now: Millis, cap: u16) -> bool {
        !self.leaving && !self.removed && self.in_flight < cap && self.health.is_usable(now)
    }
}
