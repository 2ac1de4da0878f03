//! What all parts of a node share; everything lives on one thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::clock::{self, Millis};
use batch::config::Config;
use lease::{machine::Lease, table::Candidate};
use platform::{advice::Policy, table::Table, workers::Workers};
use store::{http_cfg::HttpCfg, table::StoreError};
use tokio::sync::Notify;

use crate::{leader::Leader, metrics::Metrics, node_cfg::NodeCfg, peers::Peers, rows};

/// Longest call to the store for a caller or a decision. A store that is 60 times slower than
/// usual answers in 0.5 s.
const STORE_CALL: Millis = Millis(1_000);
/// Longest opening of a connection; one way between data centres takes about 1 ms, and a packet
/// that is lost when a queue is full is sent again after a second.
const CONNECT: Millis = Millis(400);
/// Longest call for the lease. A renewal counts from its start, so a later answer is of no use.
const LEASE_CALL: Millis = Millis(1_600);
/// Longest call with an order; three fit into the time that members of a gang wait for others.
const ORDER_CALL: Millis = Millis(700);
/// Connections to the store for callers' requests and decisions.
const STORE_CONNECTIONS: usize = 24;
/// Connections to the policy service; it refuses all beyond 32 calls that wait.
const POLICY_CONNECTIONS: usize = 16;
/// Connections to all workers together.
const WORKER_CONNECTIONS: usize = 1_500;
/// Largest answer, in bytes: a page of the store has at most 1 MB, in base64.
const ANSWER_BYTES: usize = 4 << 20;

/// Shared context.
pub(crate) type Cx = Rc<Ctx>;

/// The configuration in force here, with its age.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    pub(crate) rules: Rc<Config>,
    /// Version of the row.
    pub(crate) row: u64,
    /// Start of the last read that confirmed it; none before the first.
    pub(crate) confirmed: Option<Millis>,
}

/// What all parts of a node share.
pub(crate) struct Ctx {
    pub(crate) cfg: NodeCfg,
    /// Who this process is for the lease.
    pub(crate) who: Candidate,
    pub(crate) table: Table,
    /// The lease has its own connections, so that a full pool does not delay a renewal.
    pub(crate) lease_table: Table,
    /// Feeds have their own connections, because each waits for a change.
    pub(crate) feed_table: Table,
    pub(crate) workers: Workers,
    pub(crate) policy: Option<Policy>,
    pub(crate) in_force: RefCell<InForce>,
    pub(crate) config_changed: Notify,
    pub(crate) lease: RefCell<Lease>,
    pub(crate) lease_changed: Notify,
    pub(crate) leader: RefCell<Option<Rc<Leader>>>,
    pub(crate) peers: Peers,
    pub(crate) metrics: Metrics,
    pub(crate) stopping: Cell<bool>,
    /// Requests of callers under way.
    pub(crate) requests: Cell<usize>,
}

impl Ctx {
    pub(crate) async fn new(cfg: NodeCfg) -> Result<Self, StoreError> {
        let http = |connections, call_ms| HttpCfg {
            connections,
            queue_ms: Millis(500),
            connect_ms: CONNECT,
            call_ms,
            answer_bytes: ANSWER_BYTES,
        };
        let store = cfg.store;
        let who = Candidate {
            id: fastrand::u64(1..),
            address: cfg.listen_metrics,
            lease_key: rows::LEASE.into(),
            heartbeat_key: rows::BEAT.into(),
        };
        let policy = match cfg.policy {
            Some(address) => {
                Some(Policy::new(address, http(POLICY_CONNECTIONS, ORDER_CALL)).await?)
            }
            None => None,
        };
        Ok(Self {
            table: Table::new(store, http(STORE_CONNECTIONS, STORE_CALL)).await?,
            lease_table: Table::new(store, http(2, LEASE_CALL)).await?,
            feed_table: Table::new(store, http(4, STORE_CALL)).await?,
            policy,
            workers: Workers::new(http(WORKER_CONNECTIONS, ORDER_CALL)).await?,
            in_force: RefCell::default(),
            config_changed: Notify::new(),
            lease: RefCell::new(Lease::new(who.id, cfg.lease)),
            lease_changed: Notify::new(),
            leader: RefCell::default(),
            peers: Peers::new().await?,
            metrics: Metrics::default(),
            stopping: Cell::new(false),
            requests: Cell::new(0),
            who,
            cfg,
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn rules(&self) -> Rc<Config> {
        self.in_force.borrow().rules.clone()
    }

    /// Returns how long ago the configuration was confirmed; none if it never was.
    pub(crate) fn config_age(&self) -> Option<Millis> {
        let confirmed = self.in_force.borrow().confirmed?;
        Some(clock::now().since(confirmed))
    }

    /// Returns the leader if this process may act as such now.
    pub(crate) fn acting(&self) -> Option<Rc<Leader>> {
        let held = self.lease.borrow().acting(clock::now())?;
        let leader = self.leader.borrow().clone()?;
        (leader.held.fence == held.fence).then_some(leader)
    }
}

/// Pauses a task.
pub(crate) async fn sleep(span: Millis) {
    tokio::time::sleep(span.to_duration()).await;
}
