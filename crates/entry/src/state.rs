//! State of an entry; all of it belongs to one thread.

use std::{
    cell::{Cell, RefCell},
    net,
    rc::Rc,
};

use base::{clock, clock::Millis, name::Name, sorted::SortedMap};
use claim::{claim_cfg::ClaimCfg, claims::Claims, driver::Driver};
use derive_more::Display;
use member::membership::Renewal;
use ntex::http::HeaderMap;
use route::limits_cfg::LimitsCfg;
use schema::service::Service;
use serde::Serialize;
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg, table::StoreError, vms::Vms};
use tokio::{sync::Mutex, time};

use crate::{
    auth::Identity,
    backend::Backends,
    balancer::Balancer,
    config::{self, Current},
    entry_cfg::EntryCfg,
    input::BodyMemory,
    members::Members,
    metrics::{Levels, Metrics},
    refusal::{Code, Refusal},
    schedulers::Schedulers,
    vm_watch::VmWatch,
};

/// Transactions that may come first before a confirmation is left to the next try.
const CONFIRM_TRIES: usize = 3;

/// Phase of an entry's life.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Requests are served.
    #[display("serving")]
    Serving,
    /// Requests are served, but readiness tells the load balancer to send no more.
    #[display("notice")]
    Notice,
    /// New requests are refused; those in flight run to their end.
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
    /// Phase of the entry's life.
    pub phase: Cell<Phase>,
    /// Requests under way.
    pub in_flight: Cell<usize>,
    /// Connections of callers and operators.
    pub connections: Cell<usize>,
    /// Memory for request bodies.
    pub bodies: Rc<BodyMemory>,
    /// Configuration in force.
    pub config: Current,
    /// Held while the configuration is read.
    pub config_read: Mutex<()>,
    /// Whether the last read of the configuration from the table service succeeded.
    pub table_reached: Cell<bool>,
    /// Members as last read, and this entry's own row.
    pub members: Members,
    /// VM list.
    pub vms: VmWatch,
    /// Connections to backend servers.
    pub backends: Backends,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Schedulers.
    pub schedulers: Schedulers,
    /// Table service.
    pub table: Table,
    /// Metrics.
    pub metrics: Metrics,
    balancers: RefCell<SortedMap<Name, Rc<Balancer>>>,
    next_request: Cell<u64>,
}

/// Counts one request as under way until it is dropped.
#[derive(Debug)]
pub struct Flight(Rc<Entry>);

impl Entry {
    /// Creates the state and the driver of the claims, which must run beside it.
    pub async fn new(
        cfg: EntryCfg,
        wire: net::SocketAddr,
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
        let entry = Self {
            id,
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            bodies: Rc::new(BodyMemory::new(cfg.body_memory)),
            config: Current::default(),
            config_read: Mutex::new(()),
            table_reached: Cell::new(false),
            members: Members::new(id, wire),
            vms: VmWatch::new(vms, cfg.platform_timeout),
            backends: Backends::new(cfg.connect_timeout, cfg.backend_idle),
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

    /// Counts a request as under way, unless the entry refuses new requests.
    pub fn enter(self: &Rc<Self>) -> Result<Flight, Refusal> {
        if self.phase.get() == Phase::Draining {
            let message = "this entry is stopping, use another one";
            return Err(Refusal::not_run(Code::Stopping, message));
        }
        self.in_flight.set(self.in_flight.get() + 1);
        Ok(Flight(self.clone()))
    }

    /// Returns whether the load balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && self.has_config()
            && self.config.is_confirmed(self.cfg.config_lease)
            && self.vms.age().is_some()
    }

    /// Returns whether any configuration is in force.
    pub fn has_config(&self) -> bool {
        self.config.revision() > 0
    }

    /// Returns who sent a request.
    pub fn identify(&self, headers: &HeaderMap) -> Result<Identity, Refusal> {
        let force = self.config.get();
        force.tokens.identify(&self.cfg.operators, headers)
    }

    /// Returns a new request id; it names this incarnation, so ids never repeat.
    pub fn request_id(&self) -> String {
        self.next_request.set(self.next_request.get() + 1);
        format!("{:016x}-{}", self.id, self.next_request.get())
    }

    /// Returns the balancer of a service.
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
        self.fill_balancer(&service.name, &balancer);
        self.balancers
            .borrow_mut()
            .insert(service.name.clone(), balancer.clone());
        balancer
    }

    /// Returns all balancers by service.
    pub fn balancers(&self) -> Vec<(Name, Rc<Balancer>)> {
        let balancers = self.balancers.borrow();
        balancers
            .iter()
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect()
    }

    /// Gives every balancer the servers of the VM list and closes connections to servers that are gone.
    pub fn spread_servers(&self) {
        for (service, balancer) in self.balancers() {
            self.fill_balancer(&service, &balancer);
        }
        let servers = self.vms.servers();
        self.backends
            .prune(|addr| servers.values().any(|s| s.address == *addr));
    }

    /// Reads the VM list if it is older than `max_age`.
    pub async fn refresh_vms(&self, max_age: Millis) {
        match self.vms.refresh(max_age, self.cfg.vm_poll).await {
            Ok(true) => self.spread_servers(),
            Ok(false) => {}
            Err(e) => {
                log::error!("entry: alarm: the VM list is unavailable: {e}");
                self.metrics.alarm("vm_list");
            }
        }
    }

    /// Reads and confirms the configuration if its confirmation is older than `max_age`.
    pub async fn refresh_config(&self, max_age: Millis) {
        if self.config.is_confirmed(max_age) {
            return;
        }
        let _reading = self.config_read.lock().await;
        if self.config.is_confirmed(max_age) {
            return;
        }
        let start = clock::now();
        let confirming = self.read_and_confirm();
        let read = time::timeout(self.cfg.platform_timeout.to_duration(), confirming).await;
        let problem = match read {
            Ok(Ok(Renewal::Confirmed)) => {
                self.table_reached.set(true);
                return self.config.confirm(start);
            }
            Ok(Ok(Renewal::Renewed | Renewal::Retry)) => {
                return self.table_reached.set(true);
            }
            Ok(Err(e)) => e.to_string(),
            Err(_) => format!("no answer in {}", self.cfg.platform_timeout),
        };
        log::error!("config: alarm: the configuration was not confirmed: {problem}");
        self.metrics.alarm("config");
        self.table_reached.set(false);
        self.members.quorum_read(self, clock::now()).await;
    }

    /// Reads the newest configuration and renews the member row, which confirms that the
    /// configuration in force is the newest.
    ///
    /// It tries again at once while transactions of others come first.
    async fn read_and_confirm(&self) -> Result<Renewal, config::ReadError> {
        let mut renewal = Renewal::Retry;
        for _ in 0..CONFIRM_TRIES {
            let (found, version) = self.config.refresh(&self.table).await?;
            if found < self.config.revision() {
                log::error!("config: alarm: the table shows the lower revision {found}");
                self.metrics.alarm("config");
            }
            let rev = (found == self.config.revision()).then_some(version);
            renewal = self.members.own.renew(&self.table, rev).await?;
            if renewal == Renewal::Confirmed {
                break;
            }
        }
        Ok(renewal)
    }

    /// Returns the levels that the metrics show.
    pub fn levels(&self) -> Levels {
        let (busy, idle) = self.backends.counts();
        let queued: usize = self
            .balancers()
            .iter()
            .map(|(_, balancer)| balancer.queued())
            .sum();
        Levels {
            in_flight: self.in_flight.get() as u64,
            queued: queued as u64,
            connections: self.connections.get() as u64,
            backend_busy: busy as u64,
            backend_idle: idle as u64,
            config_revision: self.config.revision(),
            config_age: self.config.age().unwrap_or(Millis(u64::MAX)),
            vm_list_age: self.vms.age().unwrap_or(Millis(u64::MAX)),
            body_bytes: self.bodies.used() as u64,
            ready: u64::from(self.is_ready()),
        }
    }

    fn fill_balancer(&self, service: &Name, balancer: &Balancer) {
        let servers = self.vms.servers();
        let mine = servers.iter().filter(|(_, s)| s.service == *service);
        balancer.set_servers(mine, self.members.entries());
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
