//! Simulated workers for tests.

use std::{future, io, net, sync};

use base::{
    clock::{self, Millis},
    limits,
};
use ntex::http::{Method, StatusCode};
use plan::{
    event::Report,
    order::{Attempt, Order},
};
use serde::{Deserialize, Serialize};

use crate::{
    http_server::{Delivery, HttpServer, Reply, Request, Service},
    worker_cfg::{Behaviour, WorkerCfg},
    worker_state::WorkerState,
};

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrdersBody {
    /// Fencing token of the scheduler.
    pub fence: u64,
    /// Duration of the task leases that this request grants or renews.
    pub lease_ms: Millis,
    /// Attempts whose task leases are renewed.
    #[serde(default)]
    pub renew: Vec<Attempt>,
    /// Orders, applied in this sequence.
    #[serde(default)]
    pub orders: Vec<Order>,
}

/// Body of the answer to `POST /orders`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrdersAnswer {
    /// State of every task that is held, is running, or has ended and was not removed yet.
    pub tasks: Vec<TaskReport>,
}

/// State of one task.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TaskReport {
    /// Attempt to which the task belongs.
    pub attempt: Attempt,
    /// Accelerators of the task on this worker, as a bit mask.
    pub accelerators: u32,
    /// State of the task.
    pub report: Report,
}

/// Body of the answer that refuses a request because its fencing token is too old.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct FencedBody {
    /// Highest fencing token that the worker has seen.
    pub highest_fence: u64,
}

/// One run of a task, from its start to its end.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// Attempt to which the task belongs.
    pub attempt: Attempt,
    /// Accelerators of the task on this worker, as a bit mask.
    pub accelerators: u32,
    /// Start time, on the clock of [`base::clock::now`].
    pub started_at: Millis,
    /// End time; `None` while the task runs.
    pub ended_at: Option<Millis>,
    /// Report on the ended task; `None` while the task runs.
    pub end: Option<Report>,
}

/// Handle to one or more running workers on one thread; dropping the handle stops the workers.
#[derive(Debug)]
pub struct Handle {
    http: HttpServer,
    workers: Vec<Worker>,
}

/// Starts one worker on a thread of its own.
///
/// ```
/// use standin::{worker, worker_cfg::WorkerCfg};
///
/// let mut handle = worker::start(WorkerCfg::default()).unwrap();
/// assert!(handle.worker(0).history().is_empty());
/// handle.stop();
/// ```
pub fn start(cfg: WorkerCfg) -> io::Result<Handle> {
    start_all(vec![cfg])
}

/// Starts several workers on one thread, each on its own address.
///
/// ```
/// use standin::{worker, worker_cfg::WorkerCfg};
///
/// let handle = worker::start_all(vec![WorkerCfg::default(), WorkerCfg::default()]).unwrap();
/// assert_eq!(handle.addrs().len(), 2);
/// ```
pub fn start_all(cfgs: Vec<WorkerCfg>) -> io::Result<Handle> {
    let workers: Vec<Worker> = cfgs.into_iter().map(Worker::new).collect();
    let services = workers.iter().map(|w| (w.listen, w.clone())).collect();
    let http = HttpServer::start("standin-worker", services)?;
    Ok(Handle { http, workers })
}

impl Handle {
    /// Returns the address of the first worker.
    pub fn addr(&self) -> net::SocketAddr {
        self.http.addrs()[0]
    }

    /// Returns the addresses of all workers.
    pub fn addrs(&self) -> &[net::SocketAddr] {
        self.http.addrs()
    }

    /// Returns the worker with this index.
    pub fn worker(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    /// Returns all workers.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Closes all listeners and connections; the tasks can't be reached afterwards.
    pub fn stop(&mut self) {
        self.http.stop();
    }
}

/// Handle to a simulated worker; clones share its state.
#[derive(Clone, Debug)]
pub struct Worker {
    listen: net::SocketAddr,
    max_connections: usize,
    state: sync::Arc<sync::Mutex<WorkerState>>,
}

impl Worker {
    fn new(cfg: WorkerCfg) -> Self {
        Self {
            listen: cfg.listen,
            max_connections: cfg.connections,
            state: sync::Arc::new(sync::Mutex::new(WorkerState::new(cfg))),
        }
    }

    /// Replaces the behaviour. Run times and outcomes of tasks that were started before, and stops
    /// that were ordered before, stay as they are.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        let mut state = self.lock();
        state.advance(clock::now());
        state.behaviour = behaviour;
    }

    /// Returns the behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.lock().behaviour.clone()
    }

    /// Returns all runs, ordered by start time.
    pub fn history(&self) -> Vec<Run> {
        let mut state = self.lock();
        state.advance(clock::now());
        state.history.clone()
    }

    fn route(&self, request: &Request) -> Reply {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/history") => Reply::ok(&self.history()),
            (&Method::GET, "/behaviour") => Reply::ok(&self.behaviour()),
            (&Method::PUT, "/behaviour") => self.put_behaviour(request),
            _ if self.lock().behaviour.silent => {
                Reply::empty(StatusCode::OK).with_delivery(Delivery::Never)
            }
            (&Method::GET, "/info") => Reply::ok(&self.lock().cfg.info),
            (&Method::POST, "/orders") => self.post_orders(request),
            _ => Reply::error(StatusCode::NOT_FOUND, "no such endpoint"),
        }
    }

    fn post_orders(&self, request: &Request) -> Reply {
        let body: OrdersBody = match request.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let mut state = self.lock();
        let own_name = &state.cfg.info.name;
        if body.orders.iter().any(|o| o.member.worker != *own_name) {
            return Reply::bad_request("an order is for another worker");
        }
        if body.orders.iter().any(|o| o.member.accelerators == 0) {
            return Reply::bad_request("an order has no accelerators");
        }
        match state.apply_orders(clock::now(), &body) {
            Ok(answer) => Reply::ok(&answer),
            Err(fenced) => {
                let highest_fence = fenced.highest_fence;
                Reply::json(StatusCode::CONFLICT, &FencedBody { highest_fence })
            }
        }
    }

    fn put_behaviour(&self, request: &Request) -> Reply {
        match request.json::<Behaviour>() {
            Ok(behaviour) => {
                self.set_behaviour(behaviour);
                Reply::empty(StatusCode::NO_CONTENT)
            }
            Err(reply) => reply,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, WorkerState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Service for Worker {
    fn serve(&self, request: Request) -> impl Future<Output = Reply> + 'static {
        future::ready(self.route(&request))
    }

    fn max_connections(&self) -> usize {
        self.max_connections
    }

    fn max_body_bytes(&self) -> usize {
        limits::BODY_BYTES
    }
}
