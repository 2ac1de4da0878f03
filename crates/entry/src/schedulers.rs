//! Calls to the leading scheduler.

use std::{cell::Cell, cell::RefCell, net};

use base::{clock, clock::Millis, sorted::SortedMap};
use tokio::time;
use wire::{
    client::{Client, WireError},
    message::{Reply, Request},
};

use crate::refusal::{Code, Refusal};

/// Pause after a round in which no scheduler led.
const ROUND_PAUSE: Millis = Millis(100);
/// Longest wait for one scheduler; an accepted change takes up to the lapse of a serving lease.
const CALL_TIMEOUT: Millis = Millis(5_000);

/// The schedulers that this entry knows.
#[derive(Debug)]
pub struct Schedulers {
    known: Vec<net::SocketAddr>,
    clients: RefCell<SortedMap<net::SocketAddr, Client>>,
    leader: Cell<Option<net::SocketAddr>>,
}

/// What a round of calls came to.
struct Round {
    sent: bool,
    reason: String,
}

impl Schedulers {
    /// Starts with the schedulers of the settings.
    pub fn new(known: Vec<net::SocketAddr>) -> Self {
        Self {
            known,
            clients: RefCell::default(),
            leader: Cell::new(None),
        }
    }

    /// Returns the scheduler that led when it last answered.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        self.leader.get()
    }

    /// Sends `req` to the leader and returns its answer.
    ///
    /// Every request may be repeated: schedulers recognise the job, the cancellation and the id
    /// of the change. So a lost answer leads to another try until `timeout` has passed.
    pub async fn call(&self, req: &Request, timeout: Millis) -> Result<Reply, Refusal> {
        let end = clock::now() + timeout;
        let mut round = Round {
            sent: false,
            reason: "no scheduler is known".into(),
        };
        while clock::now() < end {
            if let Some(reply) = self.round(req, end, &mut round).await {
                return Ok(reply);
            }
            time::sleep(ROUND_PAUSE.to_duration()).await;
        }
        if round.sent {
            return Err(Refusal::unknown(Code::DecisionUnknown, round.reason));
        }
        Err(Refusal::not_run(Code::NoLeader, round.reason))
    }

    /// Sends `req` once to the scheduler that led last, if there is one.
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

    /// Asks the schedulers in turn, following each hint to the leader once.
    async fn round(&self, req: &Request, end: Millis, round: &mut Round) -> Option<Reply> {
        let mut waiting: Vec<net::SocketAddr> = self.known.clone();
        waiting.reverse();
        waiting.extend(self.leader.get());
        let mut asked = Vec::new();
        let mut unavailable = None;
        while let Some(addr) = waiting.pop() {
            if asked.contains(&addr) || clock::now() >= end {
                continue;
            }
            asked.push(addr);
            match self.client(addr).call(req).await {
                Ok(Reply::NotLeader { leader }) => {
                    round.reason = format!("{addr} does not lead");
                    waiting.extend(leader);
                }
                // A former leader that was frozen may believe that it leads; another one may.
                Ok(reply) if reply.is_unavailable() => unavailable = Some(reply),
                Ok(reply) => {
                    self.leader.set(Some(addr));
                    return Some(reply);
                }
                Err(e) => {
                    round.sent |= matches!(e, WireError::Lost { .. });
                    round.reason = format!("scheduler {addr}: {e}");
                }
            }
        }
        self.leader.set(None);
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
