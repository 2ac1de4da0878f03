//! The VM list as this entry last read it.

use std::{cell::Cell, cell::RefCell, net};

use base::{clock, clock::Millis, name::Name, sorted::SortedMap};
use store::{
    vm::{Vm, VmRole, VmState},
    vms::Vms,
};
use tokio::{sync::Mutex, time};

/// Time for which a server's own leaving mark overrides the list, which lags behind.
const MARK_KEPT: Millis = Millis::from_secs(30);

/// One backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Service that it offers.
    pub service: Name,
    /// Address at which it listens.
    pub address: net::SocketAddr,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// The VM list as this entry last read it.
#[derive(Debug)]
pub struct VmWatch {
    vms: Vms,
    timeout: Millis,
    servers: RefCell<SortedMap<Name, Server>>,
    marks: RefCell<SortedMap<Name, Millis>>,
    read: Cell<Option<Millis>>,
    failed: Cell<Option<Millis>>,
    reading: Mutex<()>,
}

impl VmWatch {
    /// Starts with an empty list.
    pub fn new(vms: Vms, timeout: Millis) -> Self {
        Self {
            vms,
            timeout,
            servers: RefCell::default(),
            marks: RefCell::default(),
            read: Cell::new(None),
            failed: Cell::new(None),
            reading: Mutex::new(()),
        }
    }

    /// Returns the age of the list, or `None` before the first read.
    pub fn age(&self) -> Option<Millis> {
        self.read.get().map(|at| clock::now().since(at))
    }

    /// Returns a copy of the list of backend servers.
    pub fn servers(&self) -> SortedMap<Name, Server> {
        self.servers.borrow().clone()
    }

    /// Returns one backend server.
    pub fn server(&self, name: &Name) -> Option<Server> {
        self.servers.borrow().get(name).cloned()
    }

    /// Returns whether any server of `service` takes work.
    pub fn serves(&self, service: &Name) -> bool {
        let servers = self.servers.borrow();
        servers
            .values()
            .any(|s| s.service == *service && !s.leaving)
    }

    /// Records that a server marked itself as leaving.
    pub fn mark_leaving(&self, name: &Name) {
        self.marks.borrow_mut().insert(name.clone(), clock::now());
        if let Some(server) = self.servers.borrow_mut().get_mut(name) {
            server.leaving = true;
        }
    }

    /// Reads the list unless a read that started less than `max_age` ago succeeded.
    ///
    /// While the list is unavailable, reads start only `pause` after the last failure and the last
    /// list stays in use. Returns whether the list was replaced, or what went wrong.
    pub async fn refresh(&self, max_age: Millis, pause: Millis) -> Result<bool, String> {
        if self.age().is_some_and(|age| age < max_age) {
            return Ok(false);
        }
        let _reading = self.reading.lock().await;
        let now = clock::now();
        let is_young = |at: Option<Millis>, span| at.is_some_and(|at| now.since(at) < span);
        if is_young(self.read.get(), max_age) || is_young(self.failed.get(), pause) {
            return Ok(false);
        }
        let listed = time::timeout(self.timeout.to_duration(), self.vms.list()).await;
        match listed {
            Ok(Ok(vms)) => {
                self.replace(vms, now);
                Ok(true)
            }
            failure => {
                self.failed.set(Some(clock::now()));
                Err(match failure {
                    Ok(Err(e)) => e.to_string(),
                    _ => format!("no answer in {}", self.timeout),
                })
            }
        }
    }

    fn replace(&self, vms: Vec<Vm>, now: Millis) {
        let mut marks = self.marks.borrow_mut();
        marks.retain(|_, at| now.since(*at) < MARK_KEPT);
        let servers = vms.into_iter().filter_map(|vm| {
            let VmRole::Backend { service } = vm.role else {
                return None;
            };
            let leaving = vm.state == VmState::Leaving || marks.get(&vm.name).is_some();
            let server = Server {
                service,
                address: vm.address,
                leaving,
            };
            Some((vm.name, server))
        });
        *self.servers.borrow_mut() = servers.collect();
        self.read.set(Some(now));
    }
}
