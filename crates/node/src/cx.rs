//! Shared state of a node. All tasks run on one thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::clock::{self, Millis};
use batch::config::Config;
use lease::{machine::Lease, table::Candidate};
use platform::{advice::PolicyClient, table::Table, workers::Workers};
use serve::{Bodies, Connections, LogLimits};
use store::{
    call_account::{CallAccount, Purpose},
    http_cfg::HttpCfg,
    pace::Pace,
    store_clock::StoreClock,
    table::StoreError,
};
use tokio::sync::{Notify, watch};

use crate::{
    evacuation, leader::Leader, metrics::Metrics, node_cfg::NodeCfg, peers::Peers, readiness,
    requests::Requests, rows,
};

/// Maximum time for a transaction. One that a slow store applies later is repeated by its sender.
const STORE_TIMEOUT: Millis = Millis(2_500);
/// Timeout for opening a connection. One way between data centres takes about 1 ms, and a packet
/// that is dropped by a full queue is sent again after a second.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// Timeout of store calls for the lease. A renewal counts from its start, so a later answer is
/// useless.
const LEASE_TIMEOUT: Millis = Millis(1_600);
/// Timeout of a call to the policy service. Calls to workers have limits of their own.
const CALL_TIMEOUT: Millis = Millis(700);
/// Maximum number of connections to the store for callers' requests and decisions.
const STORE_CONNECTIONS: usize = 24;
/// Maximum number of connections to the store for the lease: a transaction and four reads.
const LEASE_CONNECTIONS: usize = 5;
/// Maximum number of connections to the store for change feeds.
const FEED_CONNECTIONS: usize = 4;
/// Maximum number of connections to the policy service, which refuses calls beyond 32 waiting ones.
const POLICY_CONNECTIONS: usize = 16;
/// Maximum number of connections to all workers together.
pub(crate) const WORKER_CONNECTIONS: usize = 1_500;
/// Copies of a body that are counted: the received one, and its decoded form or the row to be stored.
const BODY_COPIES: usize = 2;
/// Maximum size of an answer in bytes. A page of the store has at most 1 MB, in base64.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Shared handle to the state of the node.
pub(crate) type Cx = Rc<Ctx>;

/// The active configuration of this node and when it was last confirmed.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    pub(crate) config: Rc<Config>,
    /// Version of its row; 0 before the first configuration.
    pub(crate) row_version: u64,
    /// Start of the last read that confirmed it; `None` before the first one.
    pub(crate) confirmed_at: Option<Millis>,
}

/// Shared state of a node.
pub(crate) struct Ctx {
    pub(crate) cfg: NodeCfg,
    /// This process as a candidate for the leader lease.
    pub(crate) candidate: Candidate,
    pub(crate) table: Table,
    /// Client with separate connections for the lease, so that a full pool does not delay a
    /// renewal.
    pub(crate) lease_table: Table,
    /// Client with separate connections for change feeds, because each feed call waits for a
    /// change.
    pub(crate) feed_table: Table,
    /// Latency of the calls to the store.
    pub(crate) pace: Rc<Pace>,
    /// Account of the calls of all clients.
    pub(crate) calls: Rc<CallAccount>,
    /// Clock of the store, from the answers to all clients.
    pub(crate) store_clock: Rc<StoreClock>,
    pub(crate) workers: Workers,
    pub(crate) policy: Option<PolicyClient>,
    pub(crate) active_config: RefCell<ActiveConfig>,
    /// Requests to evacuate data centres, confirmed together with the configuration.
    pub(crate) evacuations: RefCell<evacuation::Requests>,
    /// Notified when the configuration or the set of evacuated data centres has changed.
    pub(crate) config_changed: Notify,
    pub(crate) lease: RefCell<Lease>,
    /// Wakes the lease task early, after the lease was marked as lost or is to be released.
    pub(crate) wake_lease_task: Notify,
    pub(crate) leader: RefCell<Option<Rc<Leader>>>,
    pub(crate) peers: Peers,
    pub(crate) metrics: Metrics,
    pub(crate) stopping: Cell<bool>,
    /// Readiness as last logged.
    pub(crate) readiness: readiness::Logged,
    /// Whether requests under way are to be refused because the process ends.
    pub(crate) answers_due: watch::Sender<bool>,
    /// Callers' requests under way.
    pub(crate) requests: Rc<Requests>,
    /// Connections of callers.
    pub(crate) connections: Connections,
    /// Limits of the log lines that callers' requests cause.
    pub(crate) log_limits: LogLimits,
}

impl Ctx {
    pub(crate) async fn new(cfg: NodeCfg) -> Result<Self, StoreError> {
        let min_send_rate = cfg.min_send_rate();
        let http = |connections, call_ms| HttpCfg {
            connections,
            queue_ms: Millis(500),
            connect_ms: CONNECT_TIMEOUT,
            call_ms,
            min_send_rate,
            answer_bytes: MAX_ANSWER_BYTES,
        };
        let store = cfg.store;
        let candidate = Candidate {
            id: fastrand::u64(1..),
            address: cfg.listen_metrics,
            lease_key: rows::LEASE.into(),
            heartbeat_key: rows::HEARTBEAT.into(),
        };
        let bodies = Rc::new(Bodies::new(cfg.body_memory(), BODY_COPIES));
        let calls: Rc<CallAccount> = Rc::default();
        let policy = match cfg.policy {
            Some(address) => {
                let client = PolicyClient::new(address, http(POLICY_CONNECTIONS, CALL_TIMEOUT));
                Some(client.await?.with_account(calls.clone()))
            }
            None => None,
        };
        let pace: Rc<Pace> = Rc::default();
        let store_clock: Rc<StoreClock> = Rc::default();
        let table = |connections, timeout| {
            let http = http(connections, timeout);
            Table::new(store, http, pace.clone(), store_clock.clone())
        };
        Ok(Self {
            table: table(STORE_CONNECTIONS, STORE_TIMEOUT)
                .await?
                .with_account(calls.clone(), None),
            lease_table: table(LEASE_CONNECTIONS, LEASE_TIMEOUT)
                .await?
                .with_account(calls.clone(), Some(Purpose::Lease)),
            feed_table: table(FEED_CONNECTIONS, STORE_TIMEOUT)
                .await?
                .with_account(calls.clone(), None),
            pace,
            store_clock,
            policy,
            workers: Workers::new(http(WORKER_CONNECTIONS, CALL_TIMEOUT))
                .await?
                .with_account(calls.clone()),
            active_config: RefCell::default(),
            evacuations: RefCell::default(),
            config_changed: Notify::new(),
            lease: RefCell::new(Lease::new(candidate.id, cfg.lease)),
            wake_lease_task: Notify::new(),
            leader: RefCell::default(),
            peers: Peers::new(calls.clone()).await?,
            calls,
            metrics: Metrics::default(),
            stopping: Cell::new(false),
            readiness: readiness::Logged::default(),
            answers_due: watch::Sender::default(),
            requests: Rc::default(),
            connections: Connections::new(bodies),
            log_limits: LogLimits::default(),
            candidate,
            cfg,
        })
    }

    /// Returns the active configuration.
    pub(crate) fn config(&self) -> Rc<Config> {
        self.active_config.borrow().config.clone()
    }

    /// Returns how long ago the configuration was confirmed, or `None` if it never was.
    pub(crate) fn config_age(&self) -> Option<Millis> {
        let confirmed_at = self.active_config.borrow().confirmed_at?;
        Some(clock::now().since(confirmed_at))
    }

    /// Returns whether starts may be decided and sent: the configuration was read, and the requests to
    /// evacuate data centres are new enough, if there may be any.
    pub(crate) fn may_start(&self) -> bool {
        let max_age = evacuation::max_age(self.cfg.evacuate_ms);
        let age = self.config_age();
        age.is_some_and(|age| max_age.is_none_or(|max| age <= max))
    }

    /// Returns the time within which a start that is sent now has to be carried out, if that matters.
    pub(crate) fn start_limit(&self) -> Option<Millis> {
        let bound = self.cfg.evacuate_ms?;
        Some(bound.since(self.config_age()?))
    }

    /// Returns whether the store has served a call of this node after `time`, at least in part.
    pub(crate) fn store_served_after(&self, time: Millis) -> bool {
        let tables = [&self.table, &self.lease_table, &self.feed_table];
        let heard_at = tables.into_iter().filter_map(Table::heard_at).max();
        heard_at.is_some_and(|at| at > time)
    }

    /// Returns the leader state if this process may currently act as the leader.
    pub(crate) fn acting(&self) -> Option<Rc<Leader>> {
        let held = self.lease.borrow().acting(clock::now())?;
        let leader = self.leader.borrow().clone()?;
        (leader.held.fence == held.fence).then_some(leader)
    }
}

/// Suspends the current task for `duration`.
pub(crate) async fn sleep(duration: Millis) {
    tokio::time::sleep(duration.to_duration()).await;
}
