//! Context that all parts of the scheduler process share on one thread.

use std::{
    cell::{Cell, RefCell},
    net,
    rc::Rc,
};

use base::clock::{self, Millis};
use lease::machine::Lease;
use member::{fences::Fences, membership::Membership, rows::MemberRole};
use store::{
    client::Table,
    http::HttpTable,
    http_cfg::HttpCfg,
    table::{Key, StoreError},
    vms::Vms,
};
use tokio::sync::Notify;

use crate::{cfg::Settings, leader::Leader, worker_client::WorkerClient};

/// Timeout of a call that renews the lease; several attempts fit into `lease.hold_ms`.
const LEASE_CALL_TIMEOUT: Millis = Millis(1_000);

/// Shared reference to the context.
pub(crate) type Cx = Rc<Ctx>;

/// Context that all parts of the scheduler process share.
pub(crate) struct Ctx {
    pub(crate) cfg: Settings,
    /// Random incarnation id of this process.
    pub(crate) id: u64,
    /// Address of the wire listener.
    pub(crate) addr: net::SocketAddr,
    /// Membership of this process.
    pub(crate) membership: Membership,
    pub(crate) table: Table,
    /// Client for the lease. It has its own connections, so that a full pool does not delay a
    /// renewal.
    pub(crate) lease_table: Table,
    pub(crate) vms: Vms,
    pub(crate) worker_client: WorkerClient,
    pub(crate) lease: RefCell<Lease>,
    /// Address of the holder in the lease row as last read.
    pub(crate) holder: Cell<Option<net::SocketAddr>>,
    /// Current leadership; `None` while the lease is not held.
    pub(crate) leader: RefCell<Option<Rc<Leader>>>,
    /// Whether a planned stop has begun.
    pub(crate) stopping: Cell<bool>,
    /// Wakes the lease task.
    pub(crate) lease_changed: Notify,
    /// Time of the last answer from the table.
    pub(crate) table_answered_at: Cell<Millis>,
    /// Fencing tokens that this process has heard of.
    pub(crate) fences: RefCell<Fences>,
    /// Highest known revision of the configuration; `None` before the first one was read.
    pub(crate) revision: Cell<Option<u64>>,
    /// Wall clock minus the clock since boot at the start of the process.
    wall_offset: Millis,
}

impl Ctx {
    pub(crate) async fn new(cfg: Settings, addr: net::SocketAddr) -> Result<Self, StoreError> {
        let url = format!("http://{}", cfg.platform);
        let http = HttpCfg::default();
        let lease_http = HttpCfg {
            connections: 4,
            call_ms: LEASE_CALL_TIMEOUT,
            ..HttpCfg::default()
        };
        let id = fastrand::u64(1..);
        Ok(Self {
            id,
            addr,
            membership: Membership::new(id, addr, MemberRole::Scheduler),
            table: HttpTable::new(&url, http.clone()).await?.into(),
            lease_table: HttpTable::new(&url, lease_http).await?.into(),
            vms: Vms::new(&url, http).await?,
            worker_client: WorkerClient::new(&cfg.workers).await?,
            lease: RefCell::new(Lease::new(id, cfg.lease)),
            holder: Cell::new(None),
            leader: RefCell::new(None),
            stopping: Cell::new(false),
            lease_changed: Notify::new(),
            table_answered_at: Cell::new(Millis::ZERO),
            fences: RefCell::default(),
            revision: Cell::new(None),
            wall_offset: clock::wall().since(clock::now()),
            cfg,
        })
    }

    /// Returns the wall clock of the plan, which never goes back within one process.
    pub(crate) fn plan_now(&self) -> Millis {
        self.wall_offset + clock::now()
    }

    /// Sets the highest known revision unless a higher one is known.
    pub(crate) fn raise_revision(&self, revision: u64) {
        self.revision.set(self.revision.get().max(Some(revision)));
    }

    pub(crate) fn lease_key(&self) -> Key {
        format!("lease/{}", self.cfg.shard).into()
    }

    pub(crate) fn heartbeat_key(&self) -> Key {
        format!("beat/{}", self.cfg.shard).into()
    }

    /// Returns the leadership if its state is rebuilt and its lease is valid now.
    pub(crate) fn acting(&self) -> Option<Rc<Leader>> {
        let leader = self.leader.borrow().clone()?;
        (self.is_acting(&leader) && leader.is_ready()).then_some(leader)
    }

    /// Returns whether the leadership has not ended and its lease is valid now.
    pub(crate) fn is_acting(&self, leader: &Leader) -> bool {
        let held = self.lease.borrow().acting(clock::now());
        leader.is_alive() && held.is_some_and(|h| h.fence == leader.held.fence)
    }

    /// Returns whether the leadership may renew task leases at `now`: its own lease is valid, or a
    /// majority of the voters confirms it while the table does not answer.
    pub(crate) fn may_renew_tasks(&self, leader: &Leader, now: Millis) -> bool {
        let lapsed = self.lease.borrow().at_risk_from(leader.held);
        self.is_acting(leader) || lapsed.is_some_and(|at| leader.voters.borrow().may_renew(now, at))
    }

    /// Ends the leadership and drops all uncommitted decisions.
    pub(crate) fn end_leadership(&self, why: &str) {
        if let Some(leader) = self.leader.take() {
            log::warn!(
                "lease: leadership with fencing token {} ends: {why}",
                leader.held.fence
            );
            leader.end();
        }
        self.lease_changed.notify_one();
    }

    /// Marks the lease as lost to another holder and ends the leadership.
    pub(crate) fn lose_lease(&self, why: &str) {
        self.lease.borrow_mut().mark_lost();
        self.end_leadership(why);
    }
}

/// Sleeps for the given duration.
pub(crate) async fn sleep(span: Millis) {
    tokio::time::sleep(span.to_duration()).await;
}
