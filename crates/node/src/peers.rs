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
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use store::{
    http_cfg::HttpCfg,
    http_client::HttpClient,
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
/// Time for which an answer is valid: two rounds and a slow answer.
const ANSWER_VALIDITY: Millis = Millis(1_200);
/// Age of the configuration below which the store counts as serving this node. The store delays its
/// answers by up to 0.8 s, so the age stays below 1.7 s while reads succeed.
const MAX_SERVED_AGE: Millis = Millis(2_000);
/// Path of the queries between nodes.
pub(crate) const PATH: &str = "/store";

/// Known state of the other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    client: HttpClient,
    others: RefCell<Vec<net::SocketAddr>>,
    /// Whether this node has lost the store.
    store_lost: Cell<bool>,
    store_lost_changed: Notify,
    /// Time when another node last answered that the store serves it.
    served_at: Cell<Option<Millis>>,
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
            store_lost: Cell::new(false),
            store_lost_changed: Notify::new(),
            served_at: Cell::new(None),
        })
    }

    /// Returns the number of known other nodes.
    pub(crate) fn count(&self) -> usize {
        self.others.borrow().len()
    }

    /// Records whether the store answers this node; returns whether that changed.
    pub(crate) fn set_store_answers(&self, answers: bool) -> bool {
        let changed = self.store_lost.replace(!answers) == answers;
        if changed {
            self.served_at.set(None);
            self.store_lost_changed.notify_waiters();
        }
        changed
    }

    /// Returns whether the store serves other nodes and not this one.
    pub(crate) fn others_are_served(&self) -> bool {
        let served_at = self.served_at.get();
        self.store_lost.get() && served_at.is_some_and(|t| clock::now().since(t) < ANSWER_VALIDITY)
    }

    async fn is_served(&self, address: net::SocketAddr) -> bool {
        let req = self.client.request_to(address, Method::GET, PATH);
        let answer = self.client.call(req, Bytes::new()).await;
        answer.is_ok_and(|a| a.status == StatusCode::OK)
    }
}

/// Returns whether the store serves this node.
pub(crate) fn is_served(cx: &Cx) -> bool {
    !cx.peers.store_lost.get() && cx.config_age().is_some_and(|age| age < MAX_SERVED_AGE)
}

/// Keeps the list of nodes up to date, and queries the nodes while the store does not serve this
/// one.
pub(crate) async fn watch(cx: Cx) {
    let mut registered = false;
    let mut interval = FIRST_LIST_INTERVAL;
    loop {
        if cx.peers.store_lost.get() {
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
            () = cx.peers.store_lost_changed.notified() => {}
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
        ntex::rt::spawn(async move {
            if !cx.peers.is_served(address).await {
                return;
            }
            if !cx.peers.others_are_served() {
                log::info!(node:% = address; "peers: the store serves another node");
            }
            cx.peers.served_at.set(Some(clock::now()));
        })
    });
    for answer in queries.collect::<Vec<_>>() {
        if let Err(e) = answer.await {
            log::warn!(reason:% = e; "peers: a query task failed");
        }
    }
}
