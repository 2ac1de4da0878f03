//! Stand-in for backend servers.

use std::{io, net, sync};

use base::{
    clock::{self, Millis},
    limits,
};
use ntex::{
    http::{Method, StatusCode},
    util::Bytes,
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time,
};

use crate::{
    backend_cfg::{BackendCfg, BackendFaults, OVERSIZED_ANSWER_BYTES, ServiceTime},
    http_server::{Delivery, HttpServer, Reply, Request, Service},
};

/// One execution of a request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Execution {
    /// Name of the operation.
    pub operation: String,
    /// Header `x-request-id`.
    pub request_id: String,
    /// Header `x-organisation`.
    pub organisation: String,
    /// Field `key` of the body; `None` if it is absent or the body is not valid JSON.
    pub key: Option<String>,
    /// Start time, on the clock of [`base::clock::now`].
    pub started_at: Millis,
    /// End time; `None` while the request runs.
    pub ended_at: Option<Millis>,
}

/// Counters of one server since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct BackendStats {
    /// Requests received.
    pub received: u64,
    /// Requests whose run was started.
    pub run: u64,
    /// Requests that found all slots in use.
    pub overruns: u64,
    /// Requests answered "not run".
    pub not_run: u64,
    /// Maximum number of requests in flight at the same time, including waiting ones.
    pub most_in_flight: usize,
    /// Connections closed because too many were open.
    pub connections_refused: u64,
}

/// One or more running backend servers on one thread; dropping it stops them.
#[derive(Debug)]
pub struct Handle {
    http: HttpServer,
    servers: Vec<Server>,
}

/// Starts the backend servers on a thread of their own.
///
/// ```
/// use standin::{backend, backend_cfg::BackendCfg};
///
/// let cfg = BackendCfg { servers: 3, ..BackendCfg::default() };
/// let mut handle = backend::start(cfg).unwrap();
/// assert_eq!(handle.addrs().len(), 3);
/// handle.stop();
/// ```
pub fn start(cfg: BackendCfg) -> io::Result<Handle> {
    let cfg = sync::Arc::new(cfg);
    let servers: Vec<Server> = (0..cfg.servers).map(|i| Server::new(&cfg, i)).collect();
    let services = servers.iter().enumerate().map(|(i, server)| {
        let mut addr = cfg.listen;
        if addr.port() != 0 {
            addr.set_port(addr.port() + i as u16);
        }
        (addr, server.clone())
    });
    let http = HttpServer::start("standin-backend", services.collect())?;
    Ok(Handle { http, servers })
}

impl Handle {
    /// Returns the address of the first server.
    pub fn addr(&self) -> net::SocketAddr {
        self.http.addrs()[0]
    }

    /// Returns the addresses of all servers.
    pub fn addrs(&self) -> &[net::SocketAddr] {
        self.http.addrs()
    }

    /// Returns the server with this index.
    pub fn server(&self, index: usize) -> &Server {
        &self.servers[index]
    }

    /// Returns all servers.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Closes all listeners and connections.
    pub fn stop(&mut self) {
        self.http.stop();
    }
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Server {
    cfg: sync::Arc<BackendCfg>,
    slots: sync::Arc<Semaphore>,
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug)]
struct State {
    faults: BackendFaults,
    stats: BackendStats,
    history: Vec<Execution>,
    in_flight: usize,
    waiting: usize,
    /// Request id and body of the previous answer, which a crossed answer repeats.
    last_answer: (String, Bytes),
    rng: fastrand::Rng,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    request_id: &'a str,
    operation: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

#[derive(Deserialize)]
struct KeyBody {
    key: Option<String>,
}

/// Effect of the injected faults on a request before it is run.
enum Admission {
    /// The request is run.
    Run,
    /// The request is not run and gets this answer.
    Refused(Reply),
}

impl Server {
    fn new(cfg: &sync::Arc<BackendCfg>, index: u16) -> Self {
        let state = State {
            faults: cfg.faults.clone(),
            stats: BackendStats::default(),
            history: Vec::new(),
            in_flight: 0,
            waiting: 0,
            last_answer: ("none".into(), Bytes::from_static(b"{}")),
            rng: fastrand::Rng::with_seed(cfg.seed.wrapping_add(u64::from(index))),
        };
        Self {
            cfg: cfg.clone(),
            slots: sync::Arc::new(Semaphore::new(cfg.slots)),
            state: sync::Arc::new(sync::Mutex::new(state)),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.lock().faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> BackendFaults {
        self.lock().faults.clone()
    }

    /// Returns all executions, ordered by start time.
    pub fn history(&self) -> Vec<Execution> {
        self.lock().history.clone()
    }

    /// Returns the counters.
    pub fn stats(&self) -> BackendStats {
        self.lock().stats
    }

    async fn route(self, request: Request) -> Reply {
        if let Some(operation) = request.path.strip_prefix("/run/") {
            if request.method != Method::POST {
                return Reply::error(StatusCode::METHOD_NOT_ALLOWED, "use POST");
            }
            return self.run(&request, operation).await;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/history") => Reply::ok(&self.lock().history),
            (&Method::GET, "/stats") => Reply::ok(&self.lock().stats),
            (&Method::GET, "/faults") => Reply::ok(&self.lock().faults),
            (&Method::PUT, "/faults") => self.put_faults(&request),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }

    fn put_faults(&self, request: &Request) -> Reply {
        match request.json::<BackendFaults>() {
            Ok(faults) => {
                self.lock().faults = faults;
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Err(reply) => reply,
        }
    }

    async fn run(&self, request: &Request, operation: &str) -> Reply {
        let _in_flight = InFlightGuard::new(self);
        if let Admission::Refused(reply) = self.admit(request) {
            return reply;
        }
        let Some(permit) = self.acquire_slot(request).await else {
            return self.not_run(request);
        };
        let key = serde_json::from_slice::<KeyBody>(&request.body);
        let key = key.ok().and_then(|b| b.key);
        self.execute(request, operation, key.as_deref()).await;
        drop(permit);
        let delay = self.lock().faults.late_ms;
        sleep(delay).await;
        self.answer(request, operation, key.as_deref())
    }

    /// Applies the faults that refuse a request before it is run.
    fn admit(&self, request: &Request) -> Admission {
        let mut state = self.lock();
        if state.faults.silent {
            let unanswered = Reply::empty(StatusCode::OK).with_delivery(Delivery::Never);
            return Admission::Refused(unanswered);
        }
        let (fail, cut_before, not_run) = (
            state.faults.fail,
            state.faults.cut_before,
            state.faults.not_run,
        );
        if state.occurs(cut_before) {
            return Admission::Refused(
                Reply::empty(StatusCode::OK).with_delivery(Delivery::Disconnect),
            );
        }
        if state.occurs(fail) {
            let failed = Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "failed");
            return Admission::Refused(self.with_headers(&state, request, failed));
        }
        if state.occurs(not_run) {
            drop(state);
            return Admission::Refused(self.not_run(request));
        }
        Admission::Run
    }

    /// Waits for a slot; `None` if the queue is full or the deadline passes first.
    async fn acquire_slot(&self, request: &Request) -> Option<SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        let _waiting = WaitingGuard::new(self)?;
        let acquire = self.slots.acquire();
        let deadline = request.header("x-deadline-ms").parse().map(Millis);
        let permit = match deadline {
            Ok(remaining) => time::timeout(remaining.to_duration(), acquire).await.ok()?,
            Err(_) => acquire.await,
        };
        permit.ok()
    }

    /// Records an execution that takes the service time of the operation.
    async fn execute(&self, request: &Request, operation: &str, key: Option<&str>) {
        let (index, service_time) = {
            let mut state = self.lock();
            state.stats.run += 1;
            state.history.push(Execution {
                operation: operation.to_owned(),
                request_id: request.header("x-request-id").to_owned(),
                organisation: request.header("x-organisation").to_owned(),
                key: key.map(ToOwned::to_owned),
                started_at: clock::now(),
                ended_at: None,
            });
            let service_time = state.draw_service_time(&self.cfg, operation);
            (state.history.len() - 1, service_time)
        };
        sleep(service_time).await;
        self.lock().history[index].ended_at = Some(clock::now());
    }

    /// Returns the answer to a request that was run, with the faults that affect answers.
    fn answer(&self, request: &Request, operation: &str, key: Option<&str>) -> Reply {
        let mut state = self.lock();
        let id = request.header("x-request-id").to_owned();
        let padding = " ".repeat(self.cfg.answer_bytes);
        let body = AnswerBody {
            request_id: &id,
            operation,
            key,
            padding: &padding,
        };
        let reply = Reply::ok(&body);
        let previous = std::mem::replace(&mut state.last_answer, (id, reply.body.clone()));
        let mut reply = self.with_headers(&state, request, reply);
        let faults = state.faults.clone();
        if state.occurs(faults.crossed) {
            reply.headers.retain(|h| h.0 != "x-request-id");
            reply.headers.push(("x-request-id", previous.0));
            reply.body = previous.1;
        }
        if state.occurs(faults.oversized) {
            reply.body = Bytes::from(vec![b' '; OVERSIZED_ANSWER_BYTES]);
        }
        if state.occurs(faults.truncated) {
            return reply.with_delivery(Delivery::Truncated);
        }
        if state.occurs(faults.cut_after) {
            return reply.with_delivery(Delivery::Disconnect);
        }
        reply
    }

    /// Returns and counts the answer "not run".
    fn not_run(&self, request: &Request) -> Reply {
        let mut state = self.lock();
        state.stats.not_run += 1;
        let mut reply = Reply::error(StatusCode::SERVICE_UNAVAILABLE, "not run");
        reply.headers.push(("x-not-run", "1".into()));
        self.with_headers(&state, request, reply)
    }

    /// Adds the headers that are common to all answers of `/run/`.
    fn with_headers(&self, state: &State, request: &Request, mut reply: Reply) -> Reply {
        let id = request.header("x-request-id").to_owned();
        reply.headers.push(("x-request-id", id));
        if self.cfg.report_load {
            let used = state.in_flight.min(self.cfg.slots);
            let load = format!("{used}/{}", self.cfg.slots);
            reply.headers.push(("x-load", load));
        }
        if state.faults.leaving {
            reply.headers.push(("x-leaving", "1".into()));
        }
        reply
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Service for Server {
    fn serve(&self, request: Request) -> impl Future<Output = Reply> + 'static {
        self.clone().route(request)
    }

    fn max_connections(&self) -> usize {
        self.cfg.connections
    }

    fn max_body_bytes(&self) -> usize {
        limits::BODY_BYTES
    }

    fn on_connection_refused(&self) {
        self.lock().stats.connections_refused += 1;
    }
}

impl State {
    /// Returns true with probability `share`.
    fn occurs(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.f64() < share
    }

    fn draw_service_time(&mut self, cfg: &BackendCfg, operation: &str) -> Millis {
        let configured = cfg.operations.iter().find(|o| o.operation == operation);
        let time: ServiceTime = configured.map_or(cfg.default_time, |o| o.time);
        let exponential = -(1.0 - self.rng.f64()).ln() * time.mean_ms.0 as f64;
        let drawn = (time.min_ms.0 as f64 + exponential).min(time.max_ms.0 as f64);
        Millis((drawn * self.faults.slow_factor) as u64)
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard<'a>(&'a Server);

impl<'a> InFlightGuard<'a> {
    fn new(server: &'a Server) -> Self {
        let mut state = server.lock();
        state.stats.received += 1;
        state.in_flight += 1;
        state.stats.most_in_flight = state.stats.most_in_flight.max(state.in_flight);
        Self(server)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Counts a request as waiting for a slot until it is dropped.
struct WaitingGuard<'a>(&'a Server);

impl<'a> WaitingGuard<'a> {
    /// Counts the request; `None` if the queue is full.
    fn new(server: &'a Server) -> Option<Self> {
        let mut state = server.lock();
        state.stats.overruns += 1;
        if state.waiting >= server.cfg.queue {
            return None;
        }
        state.waiting += 1;
        Some(Self(server))
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Sleeps for at least the given time. Timers of the HTTP library count from a time that may have been
/// read some milliseconds before.
async fn sleep(duration: Millis) {
    if duration > Millis::ZERO {
        time::sleep(duration.to_duration()).await;
    }
}
