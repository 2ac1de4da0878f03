//! Whether the store serves the other nodes.
//!
//! A node that the store does not serve can't tell by itself whether the store is unavailable to
//! all nodes, so it asks some of them. If others are served, this node reports itself as not ready
//! to the balancer, and refused callers may retry at once at another node. If none is served,
//! refused callers should wait.

use std::{
    cell::{Cell, RefCell},
    net,
};

use base::clock::{self, Millis};
use ntex::{
    http::{Method, Response, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use store::{
    http_cfg::HttpCfg,
    http_client::HttpClient,
    reach::Reach,
    table::{StoreError, Txn},
};
use tokio::sync::Notify;

use crate::{
    cx::{self, Cx},
    load, rows,
};

/// Maximum interval between two reads of the list of nodes, which changes when VMs are added or
/// replaced.
const MAX_LIST_INTERVAL: Millis = Millis(10_000);
/// Interval between the first two reads; it doubles after each. All nodes start within 0.3 s, so
/// the first read misses some.
const FIRST_LIST_INTERVAL: Millis = Millis(400);
/// Interval between two rounds of queries while the store does not serve this node.
const QUERY_INTERVAL: Millis = Millis(400);
/// Number of nodes queried in a round. If a third of all nodes is not served, at least one of three
/// is served in 96% of the rounds.
const NODES_PER_ROUND: usize = 3;
/// Path of the queries between nodes.
pub(crate) const PATH: &str = "/store";

/// Known state of the store and of the other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    client: HttpClient,
    others: RefCell<Vec<net::SocketAddr>>,
    reach: Cell<Reach>,
    /// Notified when the store is lost or regained.
    changed: Notify,
}

/// Answer of a node to the question whether the store serves it.
#[derive(Deserialize, Serialize)]
struct ReachAnswer {
    /// Age of the last answer of the store to the node.
    age_ms: Millis,
}

/// Row of a node in the list of nodes.
#[derive(Deserialize, Serialize)]
struct NodeRow {
    /// Address for operators and other nodes.
    address: net::SocketAddr,
}

impl Peers {
    pub(crate) async fn new() -> Result<Self, StoreError> {
        let cfg = HttpCfg {
            connections: NODES_PER_ROUND + 1,
            queue_ms: Millis(100),
            connect_ms: Millis(150),
            call_ms: Millis(350),
            answer_bytes: 1 << 10,
        };
        Ok(Self {
            client: HttpClient::new("http://nodes", cfg).await?,
            others: RefCell::default(),
            reach: Cell::default(),
            changed: Notify::new(),
        })
    }

    /// Returns the number of known other nodes.
    pub(crate) fn count(&self) -> usize {
        self.others.borrow().len()
    }

    /// Returns what this node knows about who the store serves.
    pub(crate) const fn reach(&self) -> Reach {
        self.reach.get()
    }

    /// Returns whether the store serves other nodes and not this one.
    pub(crate) fn others_are_served(&self) -> bool {
        self.reach.get().others_are_served(clock::now())
    }

    /// Waits until the store is lost or regained.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn update<T>(&self, f: impl FnOnce(&mut Reach) -> T) -> T {
        let mut reach = self.reach.get();
        let result = f(&mut reach);
        self.reach.set(reach);
        result
    }
}

/// Records that the store has answered this node.
pub(crate) fn record_answer(cx: &Cx) {
    if cx.peers.update(|r| r.record_answer(clock::now())) {
        log::info!(store = "regained"; "store: answers again");
        cx.peers.changed.notify_waiters();
    }
}

/// Records that the store has refused or not answered a call of this node.
pub(crate) fn record_loss(cx: &Cx, call: &str) {
    if cx.peers.update(|r| r.record_loss(clock::now())) {
        cx.metrics.count_store_loss();
        let age = cx.config_age().map(|a| a.0);
        log::warn!(store = "lost", call, config_age_ms = age; "store: no answer");
        cx.peers.changed.notify_waiters();
    }
}

/// Records that a read which started after the loss of the store has failed too.
pub(crate) fn confirm_loss(cx: &Cx) {
    cx.peers.update(Reach::confirm_loss);
}

/// Returns the answer to the question of another node whether the store serves this one.
pub(crate) fn answer(cx: &Cx) -> Response {
    match cx.peers.reach().answer_age(clock::now()) {
        Some(age_ms) => Response::Ok()
            .content_type("application/json")
            .body(rows::to_json(&ReachAnswer { age_ms })),
        None => Response::ServiceUnavailable().finish(),
    }
}

/// Keeps the list of nodes up to date, and queries the nodes while the store does not serve this
/// one.
pub(crate) async fn watch(cx: Cx) {
    let mut registered = false;
    let mut interval = FIRST_LIST_INTERVAL;
    loop {
        if cx.peers.reach().is_lost() {
            query_others(&cx).await;
            cx::sleep(QUERY_INTERVAL).await;
            continue;
        }
        if !registered {
            registered = register(&cx).await;
        }
        if registered && read_list(&cx).await {
            interval = MAX_LIST_INTERVAL.min(Millis(2 * interval.0));
        }
        tokio::select! {
            () = cx.peers.changed() => {}
            () = cx::sleep(interval) => {}
        }
    }
}

async fn register(cx: &Cx) -> bool {
    let row = NodeRow {
        address: cx.cfg.listen_metrics,
    };
    let key = format!("{}/{}", rows::NODES, cx.cfg.name);
    let txn = Txn::default().put(key, rows::to_json(&row));
    match cx.table.commit(&txn).await {
        Ok(_) => true,
        Err(e) => {
            log::info!(reason:% = e; "peers: failed to register in the list of nodes");
            false
        }
    }
}

async fn read_list(cx: &Cx) -> bool {
    let read = load::read_all(cx, rows::NODES).await;
    let rows = match read {
        Ok((rows, _)) => rows,
        Err(e) => {
            log::info!(reason:% = e; "peers: failed to read the list of nodes");
            return false;
        }
    };
    let nodes = rows.iter().filter_map(rows::from_json::<NodeRow>);
    let others = nodes.map(|n| n.address);
    let others = others.filter(|a| *a != cx.cfg.listen_metrics);
    *cx.peers.others.borrow_mut() = others.collect();
    true
}

/// Asks some other nodes concurrently whether the store serves them.
async fn query_others(cx: &Cx) {
    let mut others = cx.peers.others.borrow().clone();
    fastrand::shuffle(&mut others);
    let queries = others.into_iter().take(NODES_PER_ROUND).map(|address| {
        let cx = cx.clone();
        ntex::rt::spawn(async move { query(&cx, address).await })
    });
    for answer in queries.collect::<Vec<_>>() {
        if let Err(e) = answer.await {
            log::warn!(reason:% = e; "peers: a query task failed");
        }
    }
}

async fn query(cx: &Cx, address: net::SocketAddr) {
    let asked_at = clock::now();
    let req = cx.peers.client.request_to(address, Method::GET, PATH);
    let answer = match cx.peers.client.call(req, Bytes::new()).await {
        Ok(answer) if answer.status == StatusCode::OK => answer,
        Ok(answer) => {
            log::debug!(node:% = address, status = answer.status.as_u16(); "peers: another node is not served");
            return;
        }
        Err(e) => {
            log::debug!(node:% = address, reason = e.reason(); "peers: no answer of another node");
            return;
        }
    };
    let age = match serde_json::from_slice::<ReachAnswer>(&answer.body) {
        Ok(answer) => answer.age_ms,
        Err(e) => {
            log::warn!(node:% = address, reason:% = e; "peers: malformed answer of another node");
            return;
        }
    };
    let was_served = cx.peers.others_are_served();
    let is_served = cx
        .peers
        .update(|r| r.record_report(asked_at, age, clock::now()));
    if is_served && !was_served {
        log::info!(node:% = address, age_ms = age.0; "peers: the store serves another node");
    }
}
