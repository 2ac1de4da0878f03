//! Load of the backend servers as one entry sees it, and the choice of a server for each request.

use base::{clock::Millis, sorted::SortedMap};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    health::Health,
    limits_cfg::LimitsCfg,
    outcome::{Load, Outcome, ServerId},
};

/// Inverse weight of the newest answer in the typical service time of all servers.
const TYPICAL_DIVISOR: f64 = 64.0;

/// How an entry selects servers and limits its requests to a server that it shares with others.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Each (server, slot) pair is assigned to one entry by rendezvous hashing over the members.
    #[display("static division")]
    StaticDivision,
    /// The better of two random servers by the entry's own requests in flight, up to a cap.
    #[display("two choices")]
    TwoChoices,
    /// The better of two random servers by the load that servers report, weighted by its age.
    #[display("reported load")]
    ReportedLoad,
    /// The better of two random servers by the counts that entries send one another.
    #[display("exchange")]
    Exchange,
}

/// Number of requests that one entry has in flight at one server, as sent to other entries.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct InFlightCount {
    /// The server.
    pub server: ServerId,
    /// Number of requests in flight.
    pub in_flight: u16,
}

/// Limits and load of the backend servers of one service, as one entry sees them.
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
    member_id: u64,
    /// Ids of the entries that share the servers, in order.
    members: Vec<u64>,
    servers: SortedMap<ServerId, Server>,
    peers: SortedMap<u64, Peer>,
    /// Moving average of the service times of all servers.
    typical_ms: f64,
    rng: fastrand::Rng,
}

#[derive(Debug, Default)]
struct Server {
    in_flight: u16,
    leaving: bool,
    removed: bool,
    /// Slots that belong to this entry under [`Policy::StaticDivision`].
    own_slots: u16,
    report: Option<Report>,
    health: Health,
}

/// Load report of a server.
#[derive(Debug)]
struct Report {
    at: Millis,
    /// Slots in use by other entries.
    used_by_others: u16,
}

/// Last counts that another entry sent.
#[derive(Debug, Default)]
struct Peer {
    at: Millis,
    counts: SortedMap<ServerId, u16>,
}

impl Limits {
    /// Creates limits without servers for the entry with the id `member_id`.
    pub fn new(cfg: LimitsCfg, member_id: u64, seed: u64) -> Self {
        Self {
            cfg,
            member_id,
            members: vec![member_id],
            servers: SortedMap::default(),
            peers: SortedMap::default(),
            typical_ms: 1.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Adds a server, or reactivates a leaving or removed one.
    pub fn add_server(&mut self, id: ServerId) {
        let own_slots = self.own_slots(&id);
        let server = self.servers.get_or_default(id);
        server.leaving = false;
        server.removed = false;
        server.own_slots = own_slots;
    }

    /// Stops new requests to a server; those in flight are completed.
    pub fn set_leaving(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.leaving = true;
        }
    }

    /// Removes a server; its counts are kept until its last request in flight has ended.
    pub fn remove_server(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.removed = true;
        }
        self.servers.retain(|_, s| !s.removed || s.in_flight > 0);
    }

    /// Sets the member ids of the entries that share the servers; this entry is always included.
    pub fn set_members(&mut self, mut members: Vec<u64>) {
        members.push(self.member_id);
        members.sort_unstable();
        members.dedup();
        self.members = members;
        self.peers.retain(|id, _| self.members.contains(id));
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            let own_slots = self.own_slots(&id);
            self.servers.get_or_default(id).own_slots = own_slots;
        }
    }

    /// Selects a server for one request, or returns `None` if no server may receive one now.
    ///
    /// Servers in `exclude` are not selected. The request is not counted yet: call
    /// [`Limits::started`] when it is sent.
    pub fn pick(&mut self, now: Millis, exclude: &[ServerId]) -> Option<ServerId> {
        let candidates: Vec<(&ServerId, &Server)> = self
            .servers
            .iter()
            .filter(|(id, s)| s.is_usable(now) && !exclude.contains(id))
            .filter(|(id, s)| self.has_capacity(now, id, s))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = self.rng.usize(..candidates.len());
        let mut second = self.rng.usize(..candidates.len());
        if second == first {
            second = (first + 1) % candidates.len();
        }
        let score = |i: usize| self.score(now, candidates[i].0, candidates[i].1);
        let best = if score(second) < score(first) {
            second
        } else {
            first
        };
        Some(candidates[best].0.clone())
    }

    /// Returns whether [`Limits::pick`] would select a server if none is excluded.
    pub fn has_available(&self, now: Millis) -> bool {
        self.servers
            .iter()
            .any(|(id, s)| s.is_usable(now) && self.has_capacity(now, id, s))
    }

    /// Counts a request that is sent to `id`.
    pub fn started(&mut self, _now: Millis, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.in_flight += 1;
            server.health.started();
        }
    }

    /// Counts the end of a request at `id` after `took`, with the load that the server reported.
    pub fn finished(
        &mut self,
        now: Millis,
        id: &ServerId,
        outcome: Outcome,
        took: Millis,
        reported: Option<Load>,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.health.record(&self.cfg.health, now, outcome, took);
        if let Some(load) = reported {
            // The answered request still held its slot when the server counted its slots in use.
            let used_by_others = load.used.saturating_sub(server.in_flight + 1);
            server.report = Some(Report {
                at: now,
                used_by_others,
            });
        }
        if outcome == Outcome::Answered {
            self.typical_ms += (took.0 as f64 - self.typical_ms) / TYPICAL_DIVISOR;
        }
        if server.removed && server.in_flight == 0 {
            self.servers.remove(id);
        }
    }

    /// Counts of the requests that this entry has in flight, to be sent to other entries.
    pub fn counts(&self) -> Vec<InFlightCount> {
        self.servers
            .iter()
            .filter(|(_, s)| s.in_flight > 0)
            .map(|(id, s)| InFlightCount {
                server: id.clone(),
                in_flight: s.in_flight,
            })
            .collect()
    }

    /// Stores the counts that another entry sent.
    pub fn set_peer_counts(&mut self, now: Millis, peer: u64, counts: &[InFlightCount]) {
        if peer == self.member_id || !self.members.contains(&peer) {
            return;
        }
        let counts = counts.iter().map(|c| (c.server.clone(), c.in_flight));
        let counts = counts.collect();
        self.peers.insert(peer, Peer { at: now, counts });
    }

    /// Number of requests that this entry has in flight at `id`.
    pub fn in_flight(&self, id: &ServerId) -> u16 {
        self.servers.get(id).map_or(0, |s| s.in_flight)
    }

    /// Returns whether the policy allows one more request at `server`.
    fn has_capacity(&self, now: Millis, id: &ServerId, server: &Server) -> bool {
        let own = server.in_flight;
        if own >= self.cfg.connection_cap() {
            return false;
        }
        match self.cfg.policy {
            Policy::StaticDivision => own < server.own_slots,
            Policy::TwoChoices => own < self.cfg.unreported_cap(),
            // Reports lag, so they never reduce the limit below the cap without reports. Free slots
            // that they show may be used beyond it.
            Policy::ReportedLoad | Policy::Exchange => {
                own < self.cfg.unreported_cap() || self.has_free_slot(now, id, server)
            }
        }
    }

    /// Returns whether fresh reports or counts show a free slot.
    fn has_free_slot(&self, now: Millis, id: &ServerId, server: &Server) -> bool {
        let is_fresh = |at: Millis| self.freshness(now, at) > 0.0;
        let others = match self.cfg.policy {
            Policy::StaticDivision | Policy::TwoChoices => None,
            Policy::ReportedLoad => server
                .report
                .as_ref()
                .filter(|r| is_fresh(r.at))
                .map(|r| r.used_by_others),
            Policy::Exchange => self
                .peers
                .values()
                .any(|p| is_fresh(p.at))
                .then(|| self.peers_in_flight(now, id) as u16),
        };
        others.is_some_and(|others| others + server.in_flight < self.cfg.slots)
    }

    /// Number of requests at `server` that are known under the policy.
    fn known_load(&self, now: Millis, id: &ServerId, server: &Server) -> f64 {
        let own = f64::from(server.in_flight);
        match self.cfg.policy {
            Policy::StaticDivision | Policy::TwoChoices => own,
            Policy::ReportedLoad => own + self.reported_load(now, server),
            Policy::Exchange => own + self.peers_in_flight(now, id),
        }
    }

    /// Load from other entries that the server reported, weighted by the freshness of the report.
    fn reported_load(&self, now: Millis, server: &Server) -> f64 {
        let Some(report) = &server.report else {
            return 0.0;
        };
        f64::from(report.used_by_others) * self.freshness(now, report.at)
    }

    /// Requests in flight at the server `id` by the fresh counts of other entries.
    fn peers_in_flight(&self, now: Millis, id: &ServerId) -> f64 {
        let fresh = self
            .peers
            .values()
            .filter(|p| self.freshness(now, p.at) > 0.0);
        let counts = fresh.filter_map(|p| p.counts.get(id));
        counts.map(|c| f64::from(*c)).sum()
    }

    /// Weight of a report: 1 when it is new, falling linearly to 0 at the maximum age.
    fn freshness(&self, now: Millis, at: Millis) -> f64 {
        let max = self.cfg.report_max_age_ms.0.max(1) as f64;
        (1.0 - now.since(at).0 as f64 / max).max(0.0)
    }

    /// Estimated time to an answer in milliseconds, used only to compare servers.
    fn score(&self, now: Millis, id: &ServerId, server: &Server) -> f64 {
        let health = &self.cfg.health;
        let average = server.health.average_ms(health, now, self.typical_ms);
        let load = self.known_load(now, id, server) + 1.0;
        if self.cfg.policy == Policy::StaticDivision {
            return average * load / f64::from(server.own_slots.max(1));
        }
        average * load
    }

    /// Number of slots at `id` for which this entry has the highest rendezvous weight.
    fn own_slots(&self, id: &ServerId) -> u16 {
        let is_own = |slot: &u16| {
            let weight_of = |member: u64| (rendezvous_weight(member, id, *slot), member);
            let mine = weight_of(self.member_id);
            self.members.iter().all(|m| weight_of(*m) <= mine)
        };
        (0..self.cfg.slots).filter(is_own).count() as u16
    }
}

impl Server {
    fn is_usable(&self, now: Millis) -> bool {
        !self.leaving && !self.removed && self.health.is_usable(now)
    }
}

/// Rendezvous weight of a (server, slot) pair for one member.
///
/// It is an FNV-1a hash, so that all builds compute the same weights.
fn rendezvous_weight(member: u64, server: &ServerId, slot: u16) -> u64 {
    let member = member.to_le_bytes();
    let slot = slot.to_le_bytes();
    let bytes = member.iter().chain(&slot).chain(server.as_str().as_bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    // The last bytes hardly affect the high bits of FNV-1a; this finaliser mixes them in.
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
