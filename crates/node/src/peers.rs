//! Whether the store serves the other nodes.
//!
//! A node that the store does not serve can't tell by itself whether the store is unavailable to
//! all nodes, so it asks some of them. If others are served, this node reports itself as not ready
//! to the balancer, and refused callers may retry at once at another node. If none is served,
//! refused callers should wait.

use std::{
    cell::{Cell, RefCell},
    net, pin,
    rc::Rc,
};

use base::clock::{self, Millis};
use ntex::{
    http::{Method, Response, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use store::{
    call_account::{CallAccount, Purpose},
    http_cfg::HttpCfg,
    http_client::HttpClient,
    reach::Reach,
    table::{Commit, Row, StoreError, Txn},
};
use tokio::sync::Notify;
use transfer::exchange::Exchange;

use crate::{
    cx::{self, Cx},
    load, readiness, rows,
};

/// Maximum interval between two reads of the list of nodes, which changes when VMs are added or
/// replaced.
const MAX_LIST_INTERVAL: Millis = Millis(10_000);
/// Interval between the first two reads; it doubles after each. All nodes start within 0.3 s, so
/// the first read misses some.
const FIRST_LIST_INTERVAL: Millis = Millis(400);
/// Time after which a node writes its row in the list of nodes again.
const REGISTER_INTERVAL: Millis = Millis(600_000);
/// Time over which these writes of all nodes are spread.
const REGISTER_SPREAD: Millis = Millis(300_000);
/// Age of a row from which on its node counts as gone: twice the longest time between two writes.
const MAX_ROW_AGE: Millis = Millis(1_800_000);
/// Maximum number of rows of nodes that are gone which one transaction deletes.
const MAX_REMOVED: usize = 40;
/// Interval between two rounds of queries while the store does not serve this node.
const QUERY_INTERVAL: Millis = Millis(400);
/// Timeout of a query, within the interval between two rounds.
const CALL_TIMEOUT: Millis = Millis(350);
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
    /// Notified when a call to the store has failed beside others that are served.
    call_failed: Notify,
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
    /// Time of the write by the store's clock; earlier versions write none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    written_at: Option<Millis>,
}

impl NodeRow {
    /// Returns the age of the row; zero for a row without a time, which tells nothing.
    fn age(&self, store_now: Option<Millis>) -> Millis {
        let age = |at| store_now.unwrap_or_default().since(at);
        self.written_at.map_or(Millis::ZERO, age)
    }
}

impl Peers {
    pub(crate) async fn new(account: Rc<CallAccount>) -> Result<Self, StoreError> {
        let cfg = HttpCfg {
            connections: NODES_PER_ROUND + 1,
            queue_ms: Millis(100),
            connect_ms: Millis(150),
            call_ms: CALL_TIMEOUT,
            answer_bytes: 1 << 10,
            ..HttpCfg::default()
        };
        Ok(Self {
            client: HttpClient::new("http://nodes", cfg)
                .await?
                .with_account(account),
            others: RefCell::default(),
            reach: Cell::default(),
            changed: Notify::new(),
            call_failed: Notify::new(),
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

    /// Waits until calls that were sent before may stay without an answer: the store is lost or
    /// regained, or a call has failed beside others that are served. Connections go silent together.
    pub(crate) async fn suspected(&self) {
        tokio::select! {
            () = self.changed() => {}
            () = self.call_failed.notified() => {}
        }
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
    let now = clock::now();
    let lost = cx.peers.reach().lost_for(now).unwrap_or_default();
    if cx.peers.update(|r| r.record_answer(now)) {
        cx.metrics.record_store_loss(lost);
        let config_age_ms = cx.config_age().map(|a| a.0);
        log::info!(store = "regained", lost_ms = lost.0, config_age_ms; "store: answers again");
        cx.peers.changed.notify_waiters();
    }
    readiness::record(cx);
}

/// Records that the store has refused or not answered a call of this node that was sent at `sent`.
///
/// A node that the store has served since then has not lost it: the connection of the call may be
/// silent, or its answer too long for the link.
pub(crate) fn record_loss(cx: &Cx, call: &str, sent: Millis) {
    if cx.store_served_after(sent) {
        log::debug!(call; "store: a call has failed beside others that are served");
        cx.peers.call_failed.notify_waiters();
        return;
    }
    let now = clock::now();
    let answer_age_ms = cx.peers.reach().answer_age(now).map(|a| a.0);
    if cx.peers.update(|r| r.record_loss(now)) {
        cx.metrics.count_store_loss();
        let config_age_ms = cx.config_age().map(|a| a.0);
        log::warn!(store = "lost", call, answer_age_ms, config_age_ms; "store: no answer");
        cx.peers.changed.notify_waiters();
    }
}

/// Waits for the answer to a `call` to the store. Returns `None` if `stale` ends before any of the answer
/// has arrived.
pub(crate) async fn wait_unless<T>(
    stale: impl AsyncFn(),
    exchange: &Exchange,
    call: impl Future<Output = T>,
) -> Option<T> {
    let mut call = pin::pin!(call);
    loop {
        tokio::select! {
            result = &mut call => return Some(result),
            () = stale() => {}
        }
        exchange.first()?;
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
        readiness::record(&cx);
        if cx.peers.reach().is_lost() {
            query_others(&cx).await;
            cx::sleep(QUERY_INTERVAL).await;
            continue;
        }
        if !registered {
            registered = register(&cx).await;
        }
        if registered && let Some(is_current) = read_list(&cx).await {
            interval = MAX_LIST_INTERVAL.min(Millis(2 * interval.0));
            registered = is_current;
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
        written_at: cx.store_clock.now(),
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

/// Reads the list of nodes, and removes the nodes that are gone if this one leads. Returns whether the
/// row of this node is there and current, or `None` without an answer.
async fn read_list(cx: &Cx) -> Option<bool> {
    let read = load::read_all(cx, rows::NODES).await;
    let rows = match read {
        Ok((rows, _)) => rows,
        Err(e) => {
            log::info!(reason:% = e; "peers: failed to read the list of nodes");
            return None;
        }
    };
    let now = cx.store_clock.now();
    let own_key = format!("{}/{}", rows::NODES, cx.cfg.name);
    let spread = Millis(cx.candidate.id % REGISTER_SPREAD.0);
    let max_own_age = REGISTER_INTERVAL + spread;
    let mut others = Vec::new();
    let mut gone = Vec::new();
    let mut own_age = None;
    for row in &rows {
        let Some(node) = rows::from_json::<NodeRow>(row) else {
            continue;
        };
        if *row.key == *own_key {
            // A row without a time is that of the version before, under the same name.
            own_age = node.written_at.map(|_| node.age(now));
        } else if node.age(now) > MAX_ROW_AGE {
            gone.push((row, node));
        } else if node.address != cx.cfg.listen_metrics {
            others.push(node.address);
        }
    }
    let is_current = own_age.is_some_and(|age| age < max_own_age);
    if !is_current {
        // After a long outage of the store the rows of all nodes are old.
        others.extend(gone.iter().map(|(_, node)| node.address));
    }
    *cx.peers.others.borrow_mut() = others;
    // All nodes that run have read the list since this row was written, and have written theirs.
    let had_time = own_age.is_some_and(|age| age > MAX_LIST_INTERVAL);
    if is_current && had_time && !gone.is_empty() && cx.acting().is_some() {
        remove(cx, &gone, now).await;
    }
    Some(is_current)
}

/// Removes rows of nodes that are gone, unless they have changed.
async fn remove(cx: &Cx, gone: &[(&Row, NodeRow)], now: Option<Millis>) {
    let gone = gone.iter().take(MAX_REMOVED);
    let txn = gone.clone().fold(Txn::default(), |txn, (row, _)| {
        txn.check(row.key.clone(), row.version)
            .delete(row.key.clone())
    });
    let (outcome, reason) = match cx.table.commit(&txn).await {
        Ok(Commit::Done { .. }) => ("done", None),
        Ok(Commit::Conflict { .. }) => ("conflict", None),
        Err(e) => ("failed", Some(e.to_string())),
    };
    for (row, node) in gone {
        let age_ms = node.age(now).0;
        log::info!(node:% = row.key, age_ms, outcome, reason; "peers: removing the row of a node that is gone");
    }
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
    let answer = match cx
        .peers
        .client
        .call_for(Purpose::Peer, req, Bytes::new(), CALL_TIMEOUT)
        .await
    {
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
        readiness::record(cx);
    }
}
