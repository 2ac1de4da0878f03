//! Admission, load balancing and retries for one service.

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

use crate::vm_list::Server;

/// Admission, limits and retry budget of one service.
#[derive(Debug)]
pub struct Balancer {
    inner: RefCell<Inner>,
    connection_cap: usize,
}

#[derive(Debug)]
struct Inner {
    admission: AdmissionQueue,
    limits: Limits,
    retry_budget: RetryBudget,
    /// Where the results of queued requests are sent, by request id.
    waiters: SortedMap<u64, oneshot::Sender<Result<ServerId, AdmissionError>>>,
    servers: SortedMap<ServerId, ServerState>,
    next_id: u64,
}

/// State of a server as last passed to the limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ServerState {
    address: net::SocketAddr,
    leaving: bool,
}

/// Result of one attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Duration of the attempt.
    pub took: Millis,
    /// Load that the server reported.
    pub load: Option<Load>,
}

impl AttemptResult {
    /// The attempt was abandoned before anything was sent.
    pub const CANCELLED: Self = Self {
        outcome: Outcome::Cancelled,
        took: Millis::ZERO,
        load: None,
    };
}

/// A queued request; dropping it removes the request from the queue.
#[derive(Debug)]
pub struct QueuedCall<'a> {
    balancer: &'a Balancer,
    id: u64,
    grant: oneshot::Receiver<Result<ServerId, AdmissionError>>,
}

impl Balancer {
    /// Creates a balancer without servers for the entry with member id `member_id`.
    pub fn new(limits: LimitsCfg, member_id: u64) -> Self {
        let connection_cap = usize::from(limits.connection_cap());
        let inner = Inner {
            admission: AdmissionQueue::new(AdmissionCfg::default()),
            limits: Limits::new(limits, member_id, member_id),
            retry_budget: RetryBudget::new(RetryCfg::default()),
            waiters: SortedMap::default(),
            servers: SortedMap::default(),
            next_id: 0,
        };
        Self {
            inner: RefCell::new(inner),
            connection_cap,
        }
    }

    /// Returns the maximum number of connections from this entry to one server.
    pub const fn connection_cap(&self) -> usize {
        self.connection_cap
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.inner.borrow().admission.len()
    }

    /// Updates the servers from the VM list and the ids of the entries that share them.
    pub fn set_servers<'a>(
        &self,
        servers: impl Iterator<Item = (&'a ServerId, &'a Server)>,
        entries: Vec<u64>,
    ) {
        let mut inner = self.inner.borrow_mut();
        inner.limits.set_members(entries);
        let listed: SortedMap<ServerId, ServerState> = servers
            .map(|(id, server)| {
                let state = ServerState {
                    address: server.address,
                    leaving: server.leaving,
                };
                (id.clone(), state)
            })
            .collect();
        let previous: Vec<ServerId> = inner.servers.keys().cloned().collect();
        for id in previous.iter().filter(|id| listed.get(*id).is_none()) {
            inner.limits.remove_server(id);
        }
        for (id, state) in listed.iter() {
            if inner.servers.get(id) == Some(state) {
                continue;
            }
            if state.leaving {
                inner.limits.set_leaving(id);
            } else {
                inner.limits.add_server(id.clone());
            }
        }
        inner.servers = listed;
        drop(inner);
        self.dispatch_queued();
    }

    /// Queues a request; [`QueuedCall::wait`] returns a server when one has a free slot.
    pub fn enqueue(
        &self,
        organisation: &Name,
        class: Class,
        deadline: Millis,
    ) -> Result<QueuedCall<'_>, AdmissionError> {
        let now = clock::now();
        let (tx, grant) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        inner.next_id += 1;
        let id = inner.next_id;
        let request = QueuedRequest {
            id,
            organisation: organisation.clone(),
            class,
            cost: 1,
            deadline,
        };
        inner.admission.push(now, request)?;
        inner.waiters.insert(id, tx);
        drop(inner);
        self.dispatch_queued();
        Ok(QueuedCall {
            balancer: self,
            id,
            grant,
        })
    }

    /// Assigns servers with free slots to queued requests and refuses expired requests.
    pub fn dispatch_queued(&self) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        for expired in inner.admission.take_expired(now) {
            if let Some(waiter) = inner.waiters.remove(&expired.id) {
                let expected = inner
                    .admission
                    .expected_response_time(&expired.organisation, expired.class);
                let _ = waiter.send(Err(AdmissionError::DeadlineUnreachable { expected }));
            }
        }
        while !inner.admission.is_empty() {
            let Some(server) = inner.limits.pick(now, &[]) else {
                return;
            };
            let Some(next) = inner.admission.pop(now) else {
                return;
            };
            inner.limits.started(now, &server);
            // Only admitted requests add to the budget; if refused ones did, overload would allow
            // more retries.
            inner.retry_budget.record_request(now);
            let waiter = inner.waiters.remove(&next.id);
            if waiter.is_none_or(|w| w.send(Ok(server.clone())).is_err()) {
                let AttemptResult { outcome, took, .. } = AttemptResult::CANCELLED;
                inner.limits.finished(now, &server, outcome, took, None);
                inner.admission.finished(None);
            }
        }
    }

    /// Reserves a slot on a server that is not in `tried` for another attempt.
    pub fn pick_for_retry(&self, tried: &[ServerId]) -> Option<ServerId> {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let server = inner.limits.pick(now, tried)?;
        inner.limits.started(now, &server);
        Some(server)
    }

    /// Records the result of an attempt at `server`.
    pub fn attempt_finished(&self, server: &ServerId, result: AttemptResult) {
        let now = clock::now();
        let mut inner = self.inner.borrow_mut();
        let limits = &mut inner.limits;
        limits.finished(now, server, result.outcome, result.took, result.load);
    }

    /// Records the end of an admitted request with the service time of its answer, if any.
    pub fn request_finished(&self, service_time: Option<Millis>) {
        self.inner.borrow_mut().admission.finished(service_time);
        self.dispatch_queued();
    }

    /// Decides whether a failed attempt is retried, and charges the retry to the budget.
    pub fn decide_retry(&self, attempt: FailedAttempt) -> RetryDecision {
        let mut inner = self.inner.borrow_mut();
        inner.retry_budget.decide(clock::now(), attempt)
    }

    /// Stops sending new requests to a server that marked itself as leaving.
    pub fn set_leaving(&self, server: &ServerId) {
        let mut inner = self.inner.borrow_mut();
        inner.limits.set_leaving(server);
        if let Some(state) = inner.servers.get_mut(server) {
            state.leaving = true;
        }
    }

    /// Returns the address of a server unless it is leaving or removed.
    pub fn available_address(&self, server: &ServerId) -> Option<net::SocketAddr> {
        let inner = self.inner.borrow();
        let state = inner.servers.get(server).filter(|s| !s.leaving);
        state.map(|s| s.address)
    }

    /// Returns the number of requests in flight at each server.
    pub fn in_flight(&self) -> Vec<(ServerId, u16)> {
        let inner = self.inner.borrow();
        let servers = inner.servers.keys();
        servers
            .map(|id| (id.clone(), inner.limits.in_flight(id)))
            .collect()
    }
}

impl QueuedCall<'_> {
    /// Waits for a server; the request counts as in flight there from then on.
    pub async fn wait(mut self) -> Result<ServerId, AdmissionError> {
        match (&mut self.grant).await {
            Ok(granted) => granted,
            Err(_) => Err(AdmissionError::QueueFull),
        }
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let mut inner = self.balancer.inner.borrow_mut();
        inner.admission.cancel(self.id);
        inner.waiters.remove(&self.id);
        drop(inner);
        // Frees the slot of a granted server that was not used, which would otherwise stay in use.
        if let Ok(Ok(server)) = self.grant.try_recv() {
            self.balancer
                .attempt_finished(&server, AttemptResult::CANCELLED);
            self.balancer.request_finished(None);
        }
    }
}
