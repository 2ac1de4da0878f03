//! Client of the schedulers, which finds the leading one.

use std::{cell::Cell, cell::RefCell, net};

use base::{clock, clock::Millis, sorted::SortedMap};
use tokio::time;
use wire::{
    client::{Client, WireError},
    message::{Reply, Request},
};

use crate::refusal::{Code, Refusal};

/// Pause after a round in which no leader answered.
const ROUND_PAUSE: Millis = Millis(100);
/// Timeout of a call to one scheduler. Accepting a change can take until a serving lease expires.
const CALL_TIMEOUT: Millis = Millis(5_000);

/// The schedulers that this entry knows.
#[derive(Debug)]
pub struct Schedulers {
    addrs: Vec<net::SocketAddr>,
    clients: RefCell<SortedMap<net::SocketAddr, Client>>,
    leader: Cell<Option<net::SocketAddr>>,
}

/// State of a call over all rounds in which no leader answered.
struct CallProgress {
    /// Whether a scheduler may have received the request.
    sent: bool,
    /// Why the scheduler that was asked last did not decide the request.
    reason: String,
}

impl Schedulers {
    /// Creates a client of the schedulers at `addrs`; their leader is not known yet.
    pub fn new(addrs: Vec<net::SocketAddr>) -> Self {
        Self {
            addrs,
            clients: RefCell::default(),
            leader: Cell::new(None),
        }
    }

    /// Returns the address of the last known leader.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        self.leader.get()
    }

    /// Sends `req` to the leader and returns its answer.
    ///
    /// Every request is idempotent, because schedulers recognise a repeated job, cancellation or
    /// change id. So the request is retried after a lost answer until `timeout` has passed.
    pub async fn call(&self, req: &Request, timeout: Millis) -> Result<Reply, Refusal> {
        let end = clock::now() + timeout;
        let mut progress = CallProgress {
            sent: false,
            reason: "no scheduler is known".into(),
        };
        while clock::now() < end {
            if let Some(reply) = self.try_schedulers(req, end, &mut progress).await {
                return Ok(reply);
            }
            time::sleep(ROUND_PAUSE.to_duration()).await;
        }
        if progress.sent {
            return Err(Refusal::unknown(Code::DecisionUnknown, progress.reason));
        }
        Err(Refusal::not_run(Code::NoLeader, progress.reason))
    }

    /// Sends `req` once to the last known leader, if any.
    pub async fn call_leader(&self, req: &Request) -> Option<Reply> {
        let leader = self.leader.get()?;
        match self.client(leader).call(req).await {
            Ok(Reply::NotLeader { leader }) => {
                self.leader.set(leader);
                None
            }
            Ok(reply) => Some(reply),
            Err(_) => {
                self.leader.set(None);
                None
            }
        }
    }

    /// Sends `req` to the schedulers in turn until the leader answers; those that do not lead may
    /// name the leader.
    async fn try_schedulers(
        &self,
        req: &Request,
        end: Millis,
        progress: &mut CallProgress,
    ) -> Option<Reply> {
        let mut candidates: Vec<net::SocketAddr> = self.addrs.clone();
        candidates.reverse();
        candidates.extend(self.leader.get());
        let mut asked = Vec::new();
        let mut unavailable = None;
        while let Some(addr) = candidates.pop() {
            if asked.contains(&addr) || clock::now() >= end {
                continue;
            }
            asked.push(addr);
            match self.client(addr).call(req).await {
                Ok(Reply::NotLeader { leader }) => {
                    progress.reason = format!("{addr} is not the leader");
                    candidates.extend(leader);
                }
                // A former leader that was frozen may still believe that it leads, so the other
                // schedulers are asked as well.
                Ok(reply) if reply.is_unavailable() => unavailable = Some(reply),
                Ok(reply) => {
                    self.leader.set(Some(addr));
                    return Some(reply);
                }
                Err(e) => {
                    progress.sent |= matches!(e, WireError::Lost { .. });
                    progress.reason = format!("scheduler {addr}: {e}");
                }
            }
        }
        self.leader.set(None);
        if progress.sent {
            // Only the leader knows whether an earlier copy of the request took effect.
            return None;
        }
        unavailable
    }

    fn client(&self, addr: net::SocketAddr) -> Client {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(&addr) {
            return client.clone();
        }
        let client = Client::new(addr).with_timeout(CALL_TIMEOUT);
        clients.insert(addr, client.clone());
        client
    }
}
