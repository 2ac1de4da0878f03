//! Local copy of the VM list.

use std::{cell::Cell, cell::RefCell, net};

use base::{clock, clock::Millis, name::Name, sorted::SortedMap};
use store::{
    vm::{Vm, VmRole, VmState},
    vms::Vms,
};

/// Time for which `x-leaving: 1` from a server overrides the list, which lags behind.
const LEAVING_MARK_LIFETIME: Millis = Millis::from_secs(30);

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Service that it runs.
    pub service: Name,
    /// Address at which it listens.
    pub address: net::SocketAddr,
    /// Whether it gets no new requests because it is about to stop.
    pub leaving: bool,
}

/// Copy of the VM list as this entry last read it.
#[derive(Debug)]
pub struct VmList {
    vms: Vms,
    servers: RefCell<SortedMap<Name, Server>>,
    /// When servers last marked themselves as leaving.
    leaving_marks: RefCell<SortedMap<Name, Millis>>,
    /// Start of the last successful read.
    last_read: Cell<Option<Millis>>,
    last_failure: Cell<Option<Millis>>,
}

impl VmList {
    /// Creates an empty list that is read from `vms`.
    pub fn new(vms: Vms) -> Self {
        Self {
            vms,
            servers: RefCell::default(),
            leaving_marks: RefCell::default(),
            last_read: Cell::new(None),
            last_failure: Cell::new(None),
        }
    }

    /// Returns the age of the list, or `None` before the first read.
    pub fn age(&self) -> Option<Millis> {
        self.last_read.get().map(|at| clock::now().since(at))
    }

    /// Returns a copy of all backend servers.
    pub fn servers(&self) -> SortedMap<Name, Server> {
        self.servers.borrow().clone()
    }

    /// Returns the backend server `name`.
    pub fn server(&self, name: &Name) -> Option<Server> {
        self.servers.borrow().get(name).cloned()
    }

    /// Returns whether any server of `service` accepts new requests.
    pub fn has_available_server(&self, service: &Name) -> bool {
        let servers = self.servers.borrow();
        servers
            .values()
            .any(|s| s.service == *service && !s.leaving)
    }

    /// Records that a server marked itself as leaving in an answer.
    pub fn mark_leaving(&self, name: &Name) {
        self.leaving_marks
            .borrow_mut()
            .insert(name.clone(), clock::now());
        if let Some(server) = self.servers.borrow_mut().get_mut(name) {
            server.leaving = true;
        }
    }

    /// Reads the list unless the last read has failed less than `pause` ago.
    ///
    /// After a failure, the last list stays in use. Returns whether the list was replaced, or the
    /// error.
    pub async fn refresh(&self, pause: Millis) -> Result<bool, String> {
        let now = clock::now();
        let failed_at = self.last_failure.get();
        if failed_at.is_some_and(|at| now.since(at) < pause) {
            return Ok(false);
        }
        match self.vms.list().await {
            Ok(vms) => {
                self.replace(vms, now);
                Ok(true)
            }
            Err(e) => {
                self.last_failure.set(Some(clock::now()));
                Err(e.to_string())
            }
        }
    }

    fn replace(&self, vms: Vec<Vm>, now: Millis) {
        let mut marks = self.leaving_marks.borrow_mut();
        marks.retain(|_, at| now.since(*at) < LEAVING_MARK_LIFETIME);
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
        self.last_read.set(Some(now));
    }
}
