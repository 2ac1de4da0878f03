//! What other nodes say of the store.
//!
//! A node that the store does not serve can't tell whether the store is down for all or for itself
//! alone. It answers the load of callers at such nodes: if others are served, the balancer should
//! leave this node out and a refused caller may come back at once, to another node; if nobody is
//! served, it should wait.

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

/// Longest time between two readings of the list of nodes; it changes when VMs are added or
/// replaced.
const LIST_EVERY: Millis = Millis(10_000);
/// Time between the first two readings; it doubles with each. All nodes start within 0.3 s, so the
/// first reading misses some.
const LIST_FIRST: Millis = Millis(400);
/// Time between two rounds of questions while the store does not serve this node.
const ASK_EVERY: Millis = Millis(400);
/// Nodes asked in a round: with a third of all nodes not served, one of three is served in 96% of
/// the rounds.
const ASKED: usize = 3;
/// Time for which an answer counts: two rounds and a slow answer.
const COUNTS_FOR: Millis = Millis(1_200);
/// Age of the configuration up to which the store counts as serving this node. Reads are held back
/// for 0.8 s, so the age stays below 1.7 s while they are answered.
const SERVED_AGE: Millis = Millis(2_000);
/// Path at which nodes ask each other.
pub(crate) const PATH: &str = "/store";

/// What is known of other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    caller: HttpClient,
    others: RefCell<Vec<net::SocketAddr>>,
    /// Whether the last call to the store failed.
    lost: Cell<bool>,
    lost_changed: Notify,
    /// When another node last said that the store serves it.
    served: Cell<Option<Millis>>,
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
            connections: ASKED + 1,
            queue_ms: Millis(100),
            connect_ms: Millis(150),
            call_ms: Millis(350),
            answer_bytes: 1 << 10,
        };
        Ok(Self {
            caller: HttpClient::new("http://nodes", cfg).await?,
            others: RefCell::default(),
            lost: Cell::new(false),
            lost_changed: Notify::new(),
            served: Cell::new(None),
        })
    }

    /// Returns how many other nodes are known.
    pub(crate) fn count(&self) -> usize {
        self.others.borrow().len()
    }

    /// Notes whether the store serves this node; returns whether that is a change.
    pub(crate) fn store_answers(&self, answers: bool) -> bool {
        let changed = self.lost.replace(!answers) == answers;
        if changed {
            self.served.set(None);
            self.lost_changed.notify_waiters();
        }
        changed
    }

    /// Returns whether the store serves other nodes and not this one.
    pub(crate) fn others_are_served(&self) -> bool {
        let said = self.served.get();
        self.lost.get() && said.is_some_and(|t| clock::now().since(t) < COUNTS_FOR)
    }

    async fn is_served(&self, address: net::SocketAddr) -> bool {
        let req = self.caller.request_to(address, Method::GET, PATH);
        let answer = self.caller.call(req, Bytes::new()).await;
        answer.is_ok_and(|a| a.status == StatusCode::OK)
    }
}

/// Returns whether the store serves this node.
pub(crate) fn is_served(cx: &Cx) -> bool {
    !cx.peers.lost.get() && cx.config_age().is_some_and(|age| age < SERVED_AGE)
}

/// Keeps the list of nodes, and asks them while the store does not serve this one.
pub(crate) async fn follow(cx: Cx) {
    let mut registered = false;
    let mut pause = LIST_FIRST;
    loop {
        if cx.peers.lost.get() {
            ask(&cx).await;
            cx::sleep(ASK_EVERY).await;
            continue;
        }
        if !registered {
            registered = register(&cx).await;
        }
        if registered && list(&cx).await {
            pause = LIST_EVERY.min(Millis(2 * pause.0));
        }
        tokio::select! {
            () = cx.peers.lost_changed.notified() => {}
            () = cx::sleep(pause) => {}
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
            log::info!(reason:% = e; "peers: not in the list of nodes yet");
            false
        }
    }
}

async fn list(cx: &Cx) -> bool {
    let read = load::read_all(cx, rows::NODES).await;
    let rows = match read {
        Ok((rows, _)) => rows,
        Err(e) => {
            log::info!(reason:% = e; "peers: the list of nodes can't be read");
            return false;
        }
    };
    let nodes = rows.iter().filter_map(rows::from_json::<NodeRow>);
    let others = nodes.map(|n| n.address);
    let others = others.filter(|a| *a != cx.cfg.listen_metrics);
    *cx.peers.others.borrow_mut() = others.collect();
    true
}

/// Asks some other nodes at the same time whether the store serves them.
async fn ask(cx: &Cx) {
    let mut others = cx.peers.others.borrow().clone();
    fastrand::shuffle(&mut others);
    let asked = others.into_iter().take(ASKED).map(|address| {
        let cx = cx.clone();
        ntex::rt::spawn(async move {
            if !cx.peers.is_served(address).await {
                return;
            }
            if !cx.peers.others_are_served() {
                log::info!(node:% = address; "peers: the store serves another node");
            }
            cx.peers.served.set(Some(clock::now()));
        })
    });
    for answer in asked.collect::<Vec<_>>() {
        if let Err(e) = answer.await {
            log::warn!(reason:% = e; "peers: a question was not asked");
        }
    }
}
