//! What all parts of the scheduler process share; everything lives on one thread.

use std::{
    cell::{Cell, RefCell},
    net,
    rc::Rc,
};

use base::clock::{self, Millis};
use lease::machine::Lease;
use member::{membership::Membership, rows::MemberRole};
use store::{
    client::Table,
    http::HttpTable,
    http_cfg::HttpCfg,
    table::{Key, StoreError},
    vms::Vms,
};
use tokio::sync::Notify;

use crate::{cfg::Settings, leader::Leader, worker_client::WorkerClient};

/// Longest call for a lease renewal; several fit into the time for which the holder acts.
const LEASE_CALL: Millis = Millis(1_000);

/// Shared context.
pub(crate) type Cx = Rc<Ctx>;

/// What all parts of the scheduler process share.
pub(crate) struct Ctx {
    pub(crate) cfg: Settings,
    /// Random incarnation id.
    pub(crate) id: u64,
    /// Address of the wire listener.
    pub(crate) addr: net::SocketAddr,
    /// Membership of this process.
    pub(crate) own: Membership,
    pub(crate) table: Table,
    /// The lease has its own connections, so that a full pool does not delay a renewal.
    pub(crate) lease_table: Table,
    pub(crate) vms: Vms,
    pub(crate) worker_client: WorkerClient,
    pub(crate) lease: RefCell<Lease>,
    /// Address of the holder that was last seen in the lease row.
    pub(crate) holder: Cell<Option<net::SocketAddr>>,
    pub(crate) leader: RefCell<Option<Rc<Leader>>>,
    pub(crate) stopping: Cell<bool>,
    pub(crate) lease_changed: Notify,
    /// When the table last answered.
    pub(crate) table_seen: Cell<Millis>,
    /// Highest revision that this process knows of; `None` before it has learnt any.
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
            call_ms: LEASE_CALL,
            ..HttpCfg::default()
        };
        let id = fastrand::u64(1..);
        Ok(Self {
            id,
            addr,
            own: Membership::new(id, addr, MemberRole::Scheduler),
            table: HttpTable::new(&url, http.clone()).await?.into(),
            lease_table: HttpTable::new(&url, lease_http).await?.into(),
            vms: Vms::new(&url, http).await?,
            worker_client: WorkerClient::new(&cfg.workers).await?,
            lease: RefCell::new(Lease::new(id, cfg.lease)),
            holder: Cell::new(None),
            leader: RefCell::new(None),
            stopping: Cell::new(false),
            lease_changed: Notify::new(),
            table_seen: Cell::new(Millis::ZERO),
            revision: Cell::new(None),
            wall_offset: clock::wall().since(clock::now()),
            cfg,
        })
    }

    /// Returns the wall clock of the plan, which never goes back while the process lives.
    pub(crate) fn plan_now(&self) -> Millis {
        self.wall_offset + clock::now()
    }

    /// Notes a revision; the known one never goes down.
    pub(crate) fn note_revision(&self, revision: u64) {
        self.revision.set(self.revision.get().max(Some(revision)));
    }

    pub(crate) fn lease_key(&self) -> Key {
        format!("lease/{}", self.cfg.shard).into()
    }

    pub(crate) fn beat_key(&self) -> Key {
        format!("beat/{}", self.cfg.shard).into()
    }

    /// Returns the leadership if its state is rebuilt and the lease lets it act now.
    pub(crate) fn acting(&self) -> Option<Rc<Leader>> {
        let leader = self.leader.borrow().clone()?;
        (self.is_acting(&leader) && leader.is_ready()).then_some(leader)
    }

    pub(crate) fn is_acting(&self, leader: &Leader) -> bool {
        let held = self.lease.borrow().acting(clock::now());
        leader.is_alive() && held.is_some_and(|h| h.fence == leader.held.fence)
    }

    /// Ends the leadership; everything that is not done is dropped.
    pub(crate) fn end_leadership(&self, why: &str) {
        if let Some(leader) = self.leader.take() {
            log::warn!(
                "lease: leadership with fencing number {} ends: {why}",
                leader.held.fence
            );
            leader.end();
        }
        self.lease_changed.notify_one();
    }

    /// Ends the leadership because another holder exists.
    pub(crate) fn lose_lease(&self, why: &str) {
        self.lease.borrow_mut().mark_lost();
        self.end_leadership(why);
    }
}

/// Pauses for a span.
pub(crate) async fn sleep(span: Millis) {
    tokio::time::sleep(span.to_duration()).await;
}
