//! Stand-in for the platform: table service, object store and VM list.

use std::{io, net, sync};

use base::clock::{self, Millis};
use derive_more::Display;
use ntex::{
    http::{Method, StatusCode},
    time,
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use store::{
    objects::MAX_OBJECT_BYTES,
    table::{Commit, MAX_KEY_BYTES, MAX_SCAN_ROWS, MAX_TXN_BYTES, Row, Txn},
    vm::Vm,
    vms::VmList,
};

use crate::{
    faults::Faults,
    http_server::{Delivery, HttpServer, Reply, Request, Service},
    platform_cfg::PlatformCfg,
    platform_state::State,
    query,
};

/// Numbers of calls and rows since the start.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Deserialize, Serialize)]
#[display("{commits} commits, {gets} gets, {scans} scans")]
#[serde(default)]
pub struct Stats {
    /// Transactions received, including failed ones.
    pub commits: u64,
    /// Transactions that were applied.
    pub applied: u64,
    /// Transactions of which a check failed.
    pub conflicts: u64,
    /// Reads of single rows.
    pub gets: u64,
    /// Reads of row ranges.
    pub scans: u64,
    /// Rows written by applied transactions, including deletions.
    pub rows_written: u64,
    /// Rows returned by reads.
    pub rows_read: u64,
    /// Writes and deletions of objects.
    pub object_writes: u64,
    /// Reads of objects.
    pub object_reads: u64,
    /// Reads of the VM list.
    pub vm_reads: u64,
    /// Calls that were refused with 503 because of a fault.
    pub refused: u64,
    /// Calls whose request was lost, or whose answer was lost or truncated, because of a fault.
    pub lost: u64,
}

/// A running platform stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Handle {
    http: HttpServer,
    platform: Platform,
}

/// Starts a platform stand-in on its own thread.
///
/// ```
/// use standin::{platform, platform_cfg::PlatformCfg};
///
/// let mut handle = platform::start(PlatformCfg::default()).unwrap();
/// assert_ne!(handle.addr().port(), 0);
/// handle.stop();
/// ```
pub fn start(cfg: PlatformCfg) -> io::Result<Handle> {
    let listen = cfg.listen;
    let platform = Platform {
        max_connections: cfg.connections,
        state: sync::Arc::new(sync::Mutex::new(State::new(cfg))),
    };
    let http = HttpServer::start("standin-platform", vec![(listen, platform.clone())])?;
    Ok(Handle { http, platform })
}

impl Handle {
    /// Returns the address of the table service, the object store and the VM list.
    pub fn addr(&self) -> net::SocketAddr {
        self.http.addrs()[0]
    }

    /// Returns the base URL of the table service, the object store and the VM list.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Closes the listener and all connections. The stored data can't be served again.
    pub fn stop(&mut self) {
        self.http.stop();
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.platform.lock().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.platform.lock().faults.clone()
    }

    /// Replaces the VM list; callers see the new one after `vm_lag_ms`.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.platform.lock().set_vms(clock::now(), vms);
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.platform.lock().stats
    }

    /// Reads a row directly: without faults, without lag and without counting the read.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.platform.lock().row(key)
    }

    /// Reads all rows with this prefix directly: without faults, without lag and without counting
    /// the reads.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.platform.lock().rows(prefix)
    }
}

#[derive(Clone, Debug)]
struct Platform {
    max_connections: usize,
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Deserialize, Serialize)]
struct VersionBody {
    version: u64,
}

#[derive(Serialize)]
struct ConflictBody {
    conflict: Vec<store::table::Key>,
}

#[derive(Serialize)]
struct RowsBody {
    rows: Vec<Row>,
}

/// Fault of one call to the table service or the object store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallFault {
    /// The call is served.
    None,
    /// The call is refused with 503 and has no effect.
    Refused,
    /// The call has no effect and is never answered.
    Silent,
    /// The call has no effect, and its connection is closed.
    RequestLost,
    /// The call takes effect, but its connection is closed before the answer.
    AnswerLost,
    /// The call takes effect, but its answer ends in the middle of the body.
    AnswerTruncated,
}

fn validate_txn(txn: &Txn) -> Result<(), &'static str> {
    let checked_keys = txn.checks.iter().map(|c| &c.key);
    let written_keys = txn.writes.iter().map(|w| &w.key);
    if checked_keys
        .chain(written_keys)
        .any(|k| k.is_empty() || k.len() > MAX_KEY_BYTES)
    {
        return Err("a key has 1 to 512 bytes");
    }
    let values = txn.writes.iter().filter_map(|w| w.value.as_deref());
    for value in values {
        if serde_json::from_str::<serde::de::IgnoredAny>(value).is_err() {
            return Err("a value is no JSON text");
        }
    }
    Ok(())
}

impl Service for Platform {
    fn serve(&self, request: Request) -> impl Future<Output = Reply> + 'static {
        self.clone().route(request)
    }

    fn max_connections(&self) -> usize {
        self.max_connections
    }

    fn max_body_bytes(&self) -> usize {
        MAX_OBJECT_BYTES
    }
}

impl Platform {
    async fn route(self, request: Request) -> Reply {
        if request.path.starts_with("/tables/") || request.path.starts_with("/objects/") {
            return self.call_storage(request).await;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/vms") => self.get_vms(),
            (&Method::PUT, "/vms") => self.put_vms(&request),
            (&Method::GET, "/faults") => Reply::ok(&self.lock().faults),
            (&Method::PUT, "/faults") => self.put_faults(&request),
            (&Method::GET, "/stats") => Reply::ok(&self.lock().stats),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }

    /// Handles a call to the table service or the object store, with its faults.
    async fn call_storage(&self, request: Request) -> Reply {
        let (fault, delay) = self.select_fault(&request);
        match fault {
            CallFault::Refused => {
                return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
            }
            CallFault::Silent => {
                return Reply::empty(StatusCode::OK).with_delivery(Delivery::Never);
            }
            CallFault::RequestLost => {
                return Reply::empty(StatusCode::OK).with_delivery(Delivery::Disconnect);
            }
            CallFault::None | CallFault::AnswerLost | CallFault::AnswerTruncated => {}
        }
        if delay > Millis::ZERO {
            time::sleep(time::Millis(delay.0 as u32)).await;
        }
        let reply = self.apply(&request);
        match fault {
            CallFault::AnswerLost => reply.with_delivery(Delivery::Disconnect),
            CallFault::AnswerTruncated => reply.with_delivery(Delivery::Truncated),
            _ => reply,
        }
    }

    /// Selects and counts the fault of a call, and returns it with the delay of the call.
    fn select_fault(&self, request: &Request) -> (CallFault, Millis) {
        let is_write = request.method != Method::GET;
        let mut state = self.lock();
        let fault = state.select_fault(is_write);
        match fault {
            CallFault::Refused => state.stats.refused += 1,
            CallFault::RequestLost | CallFault::AnswerLost | CallFault::AnswerTruncated => {
                state.stats.lost += 1;
            }
            CallFault::None | CallFault::Silent => {}
        }
        (fault, state.faults.slow_ms)
    }

    fn apply(&self, request: &Request) -> Reply {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/tables/commit") => self.commit(request),
            (&Method::GET, "/tables/row") => self.get(request),
            (&Method::GET, "/tables/rows") => self.scan(request),
            (_, path) => match path.strip_prefix("/objects/").and_then(query::decode) {
                Some(name) if !name.is_empty() => self.object(request, name),
                _ => Reply::error(StatusCode::NOT_FOUND, "no such endpoint"),
            },
        }
    }

    fn commit(&self, request: &Request) -> Reply {
        self.lock().stats.commits += 1;
        if request.body.len() > MAX_TXN_BYTES {
            return Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "transaction too large");
        }
        let txn: Txn = match request.json() {
            Ok(txn) => txn,
            Err(reply) => return reply,
        };
        if let Err(error) = validate_txn(&txn) {
            return Reply::bad_request(error);
        }
        match self.lock().commit(clock::now(), txn) {
            Commit::Done { version } => Reply::ok(&VersionBody { version }),
            Commit::Conflict { keys } => {
                Reply::json(StatusCode::CONFLICT, &ConflictBody { conflict: keys })
            }
        }
    }

    fn get(&self, request: &Request) -> Reply {
        let Some(key) = query::parameter(&request.query, "key") else {
            return Reply::bad_request("the query needs key");
        };
        match self.lock().get(clock::now(), &key) {
            Some(row) => Reply::ok(&row),
            None => Reply::error(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn scan(&self, request: &Request) -> Reply {
        let parameter = |name| query::parameter(&request.query, name).unwrap_or_default();
        let limit =
            query::parameter(&request.query, "limit").map_or(Ok(MAX_SCAN_ROWS), |l| l.parse());
        let Ok(limit) = limit else {
            return Reply::bad_request("limit is no number");
        };
        let rows = self.lock().scan(
            clock::now(),
            &parameter("prefix"),
            &parameter("after"),
            limit.min(MAX_SCAN_ROWS),
        );
        Reply::ok(&RowsBody { rows })
    }

    fn object(&self, request: &Request, name: String) -> Reply {
        let mut state = self.lock();
        match request.method {
            Method::PUT => {
                state.stats.object_writes += 1;
                state.objects.insert(name, request.body.clone());
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Method::DELETE => {
                state.stats.object_writes += 1;
                state.objects.remove(name.as_str());
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Method::GET => {
                state.stats.object_reads += 1;
                let object: Option<Bytes> = state.objects.get(name.as_str()).cloned();
                object.map_or_else(
                    || Reply::error(StatusCode::NOT_FOUND, "no such object"),
                    |bytes| Reply::new(StatusCode::OK, bytes),
                )
            }
            _ => Reply::error(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
        }
    }

    fn get_vms(&self) -> Reply {
        let mut state = self.lock();
        state.stats.vm_reads += 1;
        if state.faults.vm_outage {
            state.stats.refused += 1;
            return Reply::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let vms = state.vms(clock::now());
        Reply::ok(&VmList { vms })
    }

    fn put_vms(&self, request: &Request) -> Reply {
        match request.json::<VmList>() {
            Ok(list) => {
                self.lock().set_vms(clock::now(), list.vms);
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Err(reply) => reply,
        }
    }

    fn put_faults(&self, request: &Request) -> Reply {
        match request.json::<Faults>() {
            Ok(faults) => {
                self.lock().faults = faults;
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Err(reply) => reply,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
