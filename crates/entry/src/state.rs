//! State of an entry, which is owned by one thread.

use std::{
    cell::{Cell, RefCell},
    net,
    rc::Rc,
};

use base::{clock, clock::Millis, name::Name, sorted::SortedMap};
use claim::{claim_cfg::ClaimCfg, claims::Claims, driver::Driver};
use derive_more::Display;
use member::{fences::Fences, membership::Renewal};
use ntex::{http::HeaderMap, io::IoRef};
use route::limits_cfg::LimitsCfg;
use schema::service::Service;
use serde::Serialize;
use serve::{Answers, Bodies, Callers};
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg, table::StoreError, vms::Vms};

use crate::{
    auth::Identity,
    backend::Backends,
    balancer::Balancer,
    config::{self, CurrentConfig},
    entry_cfg::EntryCfg,
    members::Members,
    metrics::{GaugeValues, Metrics},
    refresh::Refresh,
    refusal::{Code, Refusal},
    schedulers::Schedulers,
    vm_list::VmList,
};

/// Attempts per confirmation; an attempt fails if another transaction is applied first.
const CONFIRM_ATTEMPTS: usize = 3;

/// Copies of a body that are counted: it is sent on as it was received.
const BODY_COPIES: usize = 1;

/// Phase in the lifecycle of an entry.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Requests are served.
    #[display("serving")]
    Serving,
    /// Requests are served, but `/ready` tells the load balancer to send no more.
    #[display("notice")]
    Notice,
    /// New requests are refused; those in flight are completed.
    #[display("draining")]
    Draining,
}

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub cfg: EntryCfg,
    /// Random incarnation id.
    pub id: u64,
    /// Phase in the lifecycle of the entry.
    pub phase: Cell<Phase>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Open connections from callers and operators.
    pub callers: Callers,
    /// Request bodies under way, and the budget for them.
    pub bodies: Rc<Bodies>,
    /// Answers that callers have not taken yet, and the budget for them.
    pub answers: Rc<Answers>,
    /// Configuration in force.
    pub config: CurrentConfig,
    /// Reads of the configuration.
    pub config_refresh: Refresh,
    /// Whether the last read of the configuration from the table service succeeded.
    pub table_reached: Cell<bool>,
    /// Member row of this entry, and the members as last read.
    pub members: Members,
    /// Fencing tokens of the leaders that this entry has heard of.
    pub fences: RefCell<Fences>,
    /// VM list.
    pub vm_list: VmList,
    /// Reads of the VM list.
    pub vm_refresh: Refresh,
    /// Connections to backend servers.
    pub backends: Backends,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Clients of the schedulers.
    pub schedulers: Schedulers,
    /// Client of the table service.
    pub table: Table,
    /// Metrics.
    pub metrics: Metrics,
    balancers: RefCell<SortedMap<Name, Rc<Balancer>>>,
    next_request: Cell<u64>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Rc<Entry>);

impl Entry {
    /// Creates the state and the driver of the claims, which has to run concurrently.
    ///
    /// Other members reach this entry at `members_addr`.
    pub async fn new(
        cfg: EntryCfg,
        members_addr: net::SocketAddr,
    ) -> Result<(Rc<Self>, Driver<Table>), StoreError> {
        let http = HttpCfg {
            call_ms: cfg.platform_timeout,
            ..HttpCfg::default()
        };
        let table = HttpTable::new(&format!("http://{}", cfg.table), http.clone()).await?;
        let table = Table::from(table);
        let vms = Vms::new(&format!("http://{}", cfg.vm_list), http).await?;
        let id = fastrand::u64(1..);
        let (claims, driver) = Claims::new(ClaimCfg::default(), table.clone(), id);
        let answers = Rc::new(Answers::new(cfg.body_memory));
        let entry = Self {
            id,
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            callers: Callers::default(),
            bodies: Rc::new(Bodies::new(cfg.body_memory, BODY_COPIES)),
            config: CurrentConfig::default(),
            config_refresh: Refresh::default(),
            vm_refresh: Refresh::default(),
            table_reached: Cell::new(false),
            members: Members::new(id, members_addr),
            fences: RefCell::default(),
            vm_list: VmList::new(vms),
            backends: Backends::new(cfg.connect_timeout, cfg.backend_idle, answers.clone()),
            answers,
            claims,
            schedulers: Schedulers::new(cfg.schedulers.clone()),
            table,
            metrics: Metrics::default(),
            balancers: RefCell::default(),
            next_request: Cell::new(0),
            cfg,
        };
        Ok((Rc::new(entry), driver))
    }

    /// Counts a request as in flight, or refuses it while the entry drains.
    pub fn begin_request(self: &Rc<Self>) -> Result<InFlightGuard, Refusal> {
        if self.phase.get() == Phase::Draining {
            let message = "this entry is stopping, use another one";
            return Err(Refusal::not_run(Code::Stopping, message));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        Ok(InFlightGuard(self.clone()))
    }

    /// Returns the number of connections from callers and operators.
    pub fn connections(&self) -> usize {
        self.callers.count()
    }

    /// Returns the number of connections whose answers are not yet handed to the system.
    pub fn unwritten(&self) -> usize {
        let unwritten = |io: &IoRef| !io.is_closed() && io.with_write_dst_buf(|b| b.len()) > 0;
        self.callers.count_where(unwritten)
    }

    /// Returns whether the load balancer should send requests to this entry.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.has_config()
            && self.config.is_confirmed(self.cfg.config_lease)
            && self.vm_list.age().is_some()
    }

    /// Returns whether a configuration is in force.
    pub fn has_config(&self) -> bool {
        self.config.revision() > 0
    }

    /// Authenticates the sender of a request.
    pub fn identify(&self, headers: &HeaderMap) -> Result<Identity, Refusal> {
        let active = self.config.get();
        active.tokens.identify(&self.cfg.operators, headers)
    }

    /// Returns a new request id, which is unique because it contains the incarnation id.
    pub fn request_id(&self) -> String {
        self.next_request.set(self.next_request.get() + 1);
        format!("{:016x}-{}", self.id, self.next_request.get())
    }

    /// Returns the balancer of a service and creates it at the first call.
    pub fn balancer(&self, service: &Service) -> Rc<Balancer> {
        if let Some(balancer) = self.balancers.borrow().get(&service.name) {
            return balancer.clone();
        }
        let limits = LimitsCfg {
            slots: service.slots,
            connections: service.connections,
            entries: self.cfg.expected_entries as u16,
            ..LimitsCfg::default()
        };
        let balancer = Rc::new(Balancer::new(limits, self.id));
        self.update_balancer(&service.name, &balancer);
        self.balancers
            .borrow_mut()
            .insert(service.name.clone(), balancer.clone());
        balancer
    }

    /// Returns all balancers with the names of their services.
    pub fn balancers(&self) -> Vec<(Name, Rc<Balancer>)> {
        let balancers = self.balancers.borrow();
        balancers
            .iter()
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect()
    }

    /// Updates every balancer from the VM list and closes idle connections to removed servers.
    pub fn update_balancers(&self) {
        for (service, balancer) in self.balancers() {
            self.update_balancer(&service, &balancer);
        }
        let servers = self.vm_list.servers();
        self.backends
            .prune(|addr| servers.values().any(|s| s.address == *addr));
    }

    /// Waits for a read of the VM list unless the last one is younger than `max_age`. After
    /// `platform_timeout` the list as it is known stays in use.
    pub async fn refresh_vm_list(&self, max_age: Millis) {
        let is_current = || self.vm_list.age().is_some_and(|age| age < max_age);
        let limit = self.cfg.platform_timeout;
        self.vm_refresh.wait(limit, is_current).await;
    }

    /// Reads the VM list.
    pub async fn read_vm_list(&self) {
        match self.vm_list.refresh(self.cfg.vm_poll).await {
            Ok(true) => self.update_balancers(),
            Ok(false) => {}
            Err(e) => {
                log::error!("entry: alarm: the VM list is unavailable: {e}");
                self.metrics.alarm("vm_list");
            }
        }
        self.vm_refresh.record_done();
    }

    /// Waits for a read that confirms the configuration unless its confirmation is younger than
    /// `max_age`, at most for `platform_timeout`.
    pub async fn refresh_config(&self, max_age: Millis) {
        let is_current = || self.config.is_confirmed(max_age);
        let limit = self.cfg.platform_timeout;
        self.config_refresh.wait(limit, is_current).await;
    }

    /// Reads and confirms the configuration.
    ///
    /// If the table service fails, a quorum of the members can confirm it.
    pub async fn read_config(&self) {
        let start = clock::now();
        match self.read_and_confirm().await {
            Ok(Renewal::Confirmed) => {
                self.table_reached.set(true);
                self.config.confirm(start);
            }
            Ok(Renewal::Renewed | Renewal::Retry | Renewal::Left) => self.table_reached.set(true),
            Err(e) => {
                log::error!("config: alarm: the configuration was not confirmed: {e}");
                self.metrics.alarm("config");
                self.table_reached.set(false);
                self.members.quorum_read(self, clock::now()).await;
            }
        }
        self.config_refresh.record_done();
    }

    /// Reads the newest configuration and renews the member row in a transaction that confirms that
    /// the configuration in force is the newest.
    ///
    /// Retries immediately when another transaction was applied first.
    async fn read_and_confirm(&self) -> Result<Renewal, config::ReadError> {
        let mut renewal = Renewal::Retry;
        for _ in 0..CONFIRM_ATTEMPTS {
            let (found, version) = self.config.refresh(&self.table).await?;
            if found < self.config.revision() {
                log::error!("config: alarm: the table shows the lower revision {found}");
                self.metrics.alarm("config");
            }
            let rev = (found == self.config.revision()).then_some(version);
            renewal = self.members.own.renew(&self.table, rev).await?;
            if matches!(renewal, Renewal::Confirmed | Renewal::Left) {
                break;
            }
        }
        Ok(renewal)
    }

    /// Returns the current values of all gauges.
    pub fn gauge_values(&self) -> GaugeValues {
        let (busy, idle) = self.backends.counts();
        let queued: usize = self
            .balancers()
            .iter()
            .map(|(_, balancer)| balancer.queued())
            .sum();
        GaugeValues {
            in_flight: self.in_flight.get() as u64,
            queued: queued as u64,
            connections: self.connections() as u64,
            backend_busy: busy as u64,
            backend_idle: idle as u64,
            config_revision: self.config.revision(),
            config_age: self.config.age().unwrap_or(Millis(u64::MAX)),
            vm_list_age: self.vm_list.age().unwrap_or(Millis(u64::MAX)),
            body_bytes: self.bodies.used() as u64,
            answer_bytes: self.answers.used() as u64,
            stalled_answers: self.answers.stalled(),
            refused_bodies: self.bodies.refused(),
            displaced_connections: self.callers.displaced(),
            ready: u64::from(self.is_ready()),
        }
    }

    fn update_balancer(&self, service: &Name, balancer: &Balancer) {
        let servers = self.vm_list.servers();
        let own = servers.iter().filter(|(_, s)| s.service == *service);
        balancer.set_servers(own, self.members.entries());
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
