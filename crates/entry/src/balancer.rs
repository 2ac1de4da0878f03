//! Admission and choice of server for one service.

use std::{cell::RefCell, net};

use base::{clock, clock::Millis, name::Name, sorted::SortedMap};
use route::{
    admission::{AdmissionError, AdmissionQueue, QueuedRequest},
    admission_cfg::AdmissionCfg,
    limits::Limits,
    limits_cfg::LimitsCfg,
    outcome::{Load, Outcome, ServerId},
    retry::{FailedAttempt, RetryBudget, RetryDecision},
    retry_cfg::RetryCfg,
};
use schema::service::Class;
use tokio::sync::oneshot;

use crate::vm_watch::Server;

/// Admission, limits and retry budget of one service.
#[derive(Debug)]
pub struct Balancer {
    inner: RefCell<Inner>,
    cap: usize,
}

#[derive(Debug)]
struct Inner {
    admit: AdmissionQueue,
    limits: Limits,
    budget: RetryBudget,
    waiters: SortedMap<u64, oneshot::Sender<Result<ServerId, AdmissionError>>>,
    servers: SortedMap<ServerId, Known>,
    next_id: u64,
}

/// A server as the limits of the balancer know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Known {
    address: net::SocketAddr,
    leaving: bool,
}

/// End of one attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its start.
    pub took: Millis,
    /// Load that the server reported.
    pub load: Option<Load>,
}

impl Ended {
    /// The request was given up before anything was sent.
    pub const CANCELLED: Self = Self {
        outcome: Outcome::Cancelled,
        took: Millis::ZERO,
        load: None,
    };
}

/// A place in the queue; dropping it gives up the place.
#[derive(Debug)]
pub struct Place<'a> {
    balancer: &'a Balancer,
    id: u64,
    grant: oneshot::Receiver<Result<ServerId, AdmissionError>>,
}

impl Balancer {
    /// Creates a balancer without servers for the entry with member id `me`.
    pub fn new(limits: LimitsCfg, me: u64) -> Self {
        let cap = usize::from(limits.connection_cap());
        let inner = Inner {
            admit: AdmissionQueue::new(AdmissionCfg::default()),
            limits: Limits::new(limits, me, me),
            budget: RetryBudget::new(RetryCfg::default()),
            waiters: SortedMap::default(),
            servers: SortedMap::default(),
            next_id: 0,
        };
        Self {
            inner: RefCell::new(inner),
            cap,
        }
    }

    /// Returns the most connections that this entry opens to one server.
    pub const fn connection_cap(&self) -> usize {
        self.cap
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.inner.borrow().admit.len()
    }

    /// Takes over the servers of the VM list and the ids of the entries that share them.
    pub fn set_servers<'a>(
        &self,
        servers: impl Iterator<Item = (&'a ServerId, &'a Server)>,
        entries: Vec<u64>,
    ) {
        let mut inner = self.inner.borrow_mut();
        inner.limits.set_members(entries);
        let listed: SortedMap<ServerId, Known> = servers
            .map(|(id, server)| {
                let known = Known {
                    address: server.address,
                    leaving: server.leaving,
                };
                (id.clone(), known)
            })
            .collect();
        let gone: Vec<ServerId> = inner.servers.keys().cloned().collect();
        for id in gone.iter().filter(|id| listed.get(*id).is_none()) {
            inner.limits.remove_server(id);
        }
        for (id, known) in listed.iter() {
            if inner.servers.get(id) == Some(known) {
                continue;
            }
            if known.leaving {
                inner.limits.set_leaving(id);
            } else {
                inner.limits.add_server(id.clone());
            }
        }
        inner.servers = listed;
        drop(inner);
        self.pump();
    }

    /// Queues a request; the place resolves to a server when one has room.
    pub fn queue(
        &self,
        organisation: &Name,
        class: Class,
        deadline: Millis,
    ) -> Result<Place<'_>, AdmissionError> {
        let now = clock::now();
        let (tx, grant) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        inner.next_id += 1;
        let id = inner.next_id;
        let waiting = QueuedRequest {
            id,
            organisation: organisation.clone(),
            class,
            cost: 1,
            deadline,
        };
        inner.admit.push(now, waiting)?;
        inner.waiters.insert(id, tx);
        drop(inner);
        self.pump();
        Ok(Place {
            balancer: self,
            id,
            grant,
        })
    }

    /// Gives servers with room to waiting requests and refuses those that are too late.
    pub fn pump(&self) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        for late in inner.admit.take_expired(now) {
            if let Some(waiter) = inner.waiters.remove(&late.id) {
                let expected = inner
                    .admit
                    .expected_response_time(&late.organisation, late.class);
                let _ = waiter.send(Err(AdmissionError::DeadlineUnreachable { expected }));
            }
        }
        while !inner.admit.is_empty() {
            let Some(server) = inner.limits.pick(now, &[]) else {
                return;
            };
            let Some(next) = inner.admit.pop(now) else {
                return;
            };
            inner.limits.started(now, &server);
            // Refused requests don't add to the budget: overload would multiply the retries.
            inner.budget.record_request(now);
            let waiter = inner.waiters.remove(&next.id);
            if waiter.is_none_or(|w| w.send(Ok(server.clone())).is_err()) {
                let Ended { outcome, took, .. } = Ended::CANCELLED;
                inner.limits.finished(now, &server, outcome, took, None);
                inner.admit.finished(None);
            }
        }
    }

    /// Takes a server other than those in `tried` for another attempt.
    pub fn pick_again(&self, tried: &[ServerId]) -> Option<ServerId> {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let server = inner.limits.pick(now, tried)?;
        inner.limits.started(now, &server);
        Some(server)
    }

    /// Records the end of an attempt at `server`.
    pub fn ended(&self, server: &ServerId, ended: Ended) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let limits = &mut inner.limits;
        limits.finished(now, server, ended.outcome, ended.took, ended.load);
    }

    /// Records the end of an admitted request with the service time of its answer, if any.
    pub fn finished(&self, took: Option<Millis>) {
        self.inner.borrow_mut().admit.finished(took);
        self.pump();
    }

    /// Returns whether a failed attempt may be tried again.
    pub fn may_retry(&self, repeatable: bool, outcome: Outcome, deadline: Millis) -> bool {
        let attempt = FailedAttempt {
            repeatable,
            outcome,
            deadline,
            expected: Millis(1),
        };
        let mut inner = self.inner.borrow_mut();
        inner.budget.decide(clock::now(), attempt) == RetryDecision::Retry
    }

    /// Gives a server no new requests because it marked itself as leaving.
    pub fn set_leaving(&self, server: &ServerId) {
        let mut inner = self.inner.borrow_mut();
        inner.limits.set_leaving(server);
        if let Some(known) = inner.servers.get_mut(server) {
            known.leaving = true;
        }
    }

    /// Returns the address of a server that takes new work.
    pub fn open_address(&self, server: &ServerId) -> Option<net::SocketAddr> {
        let inner = self.inner.borrow();
        let known = inner.servers.get(server).filter(|k| !k.leaving);
        known.map(|k| k.address)
    }

    /// Returns the requests in flight at each server.
    pub fn in_flight(&self) -> Vec<(ServerId, u16)> {
        let inner = self.inner.borrow();
        let servers = inner.servers.keys();
        servers
            .map(|id| (id.clone(), inner.limits.in_flight(id)))
            .collect()
    }
}

impl Place<'_> {
    /// Waits for a server; it counts as in use from then on.
    pub async fn wait(mut self) -> Result<ServerId, AdmissionError> {
        match (&mut self.grant).await {
            Ok(granted) => granted,
            Err(_) => Err(AdmissionError::QueueFull),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = self.balancer.inner.borrow_mut();
        inner.admit.cancel(self.id);
        inner.waiters.remove(&self.id);
        drop(inner);
        // A server that was granted and not taken would count as in use for ever.
        if let Ok(Ok(server)) = self.grant.try_recv() {
            self.balancer.ended(&server, Ended::CANCELLED);
            self.balancer.finished(None);
        }
    }
}
