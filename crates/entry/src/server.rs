//! Start and planned stop of an entry.

use std::{io, net, rc::Rc, sync::mpsc, thread};

use base::{clock, clock::Millis, limits};
use derive_more::{Display, Error, From};
use ntex::{
    SharedCfg,
    http::{HttpService, HttpServiceConfig, error::DispatchError, h1::Control},
    io::{Filter, Io},
    rt, server,
    service::{chain_factory, fn_service},
    time::Seconds,
    web,
};
use serve::{Bodies, Signals};
use store::table::StoreError;
use tokio::{sync::watch, time};

use crate::{
    entry_cfg::EntryCfg,
    http,
    state::{Entry, Phase},
    tasks,
};

/// Connections accepted over the limit: those that get a refusal, and as many that are closed at
/// once, so that an entry whose connections are all open still sees that others come.
const SPARE_CONNECTIONS: usize = 2 * http::SPARE_CONNECTIONS;
/// Interval at which a planned stop checks for requests in flight and unsettled claims.
const DRAIN_POLL_PERIOD: Millis = Millis(5);
/// Time in which callers have to receive their answers in a planned stop.
const WRITE_TIMEOUT: Millis = Millis(10_000);
/// Time for which a drained entry still answers requests that arrive late.
const LATE_REQUEST_GRACE: Millis = Millis(100);
/// Timeout for each of the last writes to the table service in a planned stop.
const FLUSH_TIMEOUT: Millis = Millis(2_000);
/// Timeout for answers to other members in a planned stop.
const MEMBERS_TIMEOUT: Millis = Millis(1_000);

/// Why an entry could not start or run.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// An address could not be bound, a thread not started, or a signal handler not installed.
    #[display("entry: {_0}")]
    Io(io::Error),
    /// A client of the platform could not be created.
    #[display("entry: {_0}")]
    Store(StoreError),
    /// The entry's thread ended during its start.
    #[display("entry: the server ended during its start")]
    Ended,
}

/// A running entry; dropping the handle performs a planned stop.
#[derive(Debug)]
pub struct Handle {
    addr: net::SocketAddr,
    members_addr: net::SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Handle {
    /// Returns the address on which callers and operators are served.
    pub const fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the address on which other members are served.
    pub const fn members_addr(&self) -> net::SocketAddr {
        self.members_addr
    }

    /// Begins a planned stop and returns immediately.
    pub fn begin_stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Performs a planned stop, which lets the requests in flight complete.
    pub fn stop(mut self) {
        self.join();
    }

    fn join(&mut self) {
        self.begin_stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.join();
    }
}

/// Starts an entry on its own threads and returns when it listens.
pub fn start(cfg: EntryCfg) -> Result<Handle, EntryError> {
    let listener = serve::bind(cfg.listen)?;
    let members = serve::bind(cfg.listen_members)?;
    let (addr, members_addr) = (listener.local_addr()?, members.local_addr()?);
    let (stop, stopped) = watch::channel(false);
    let (started, starting) = mpsc::channel();
    let thread = thread::Builder::new().name("entry".into()).spawn(move || {
        let system = rt::System::new("entry", rt::DefaultRuntime);
        system.block_on(main(cfg, listener, members, stopped, started));
    })?;
    match starting.recv() {
        Ok(Ok(())) => Ok(Handle {
            addr,
            members_addr,
            stop,
            thread: Some(thread),
        }),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(EntryError::Ended),
    }
}

/// Runs an entry until SIGTERM or SIGINT, and then performs a planned stop.
pub fn run(cfg: EntryCfg) -> Result<(), EntryError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut signals = {
        let _guard = runtime.enter();
        Signals::new()?
    };
    let handle = start(cfg)?;
    log::info!("entry: listening on {}", handle.addr());
    runtime.block_on(signals.stop("entry"));
    log::info!("entry: beginning a planned stop");
    handle.stop();
    Ok(())
}

/// What the worker thread needs to build its state.
struct WorkerParts {
    cfg: EntryCfg,
    members: net::TcpListener,
    stopped: watch::Receiver<bool>,
    started: mpsc::Sender<Result<(), EntryError>>,
    drained: watch::Sender<bool>,
}

async fn main(
    cfg: EntryCfg,
    listener: net::TcpListener,
    members: net::TcpListener,
    stopped: watch::Receiver<bool>,
    started: mpsc::Sender<Result<(), EntryError>>,
) {
    let (drained_tx, mut drained) = watch::channel(false);
    let connections = cfg.connections;
    let failed = started.clone();
    let parts = std::sync::Arc::new(std::sync::Mutex::new(Some(WorkerParts {
        cfg,
        members,
        stopped,
        started,
        drained: drained_tx,
    })));
    let factory = async move |_: server::Config| {
        // The server has one worker thread, so the service is built only once.
        let parts = parts.lock().ok().and_then(|mut p| p.take());
        let cx = match parts {
            Some(parts) => build(parts).await,
            None => None,
        };
        let app_cx = cx.clone();
        let app = web::App::new().default_service(web::to(
            move |req: web::HttpRequest, payload: web::types::Payload| {
                let cx = app_cx.clone();
                async move { answer(cx, req, payload).await }
            },
        ));
        let bodies = cx.as_ref().map_or_else(no_bodies, |cx| cx.bodies.clone());
        let limit = fn_service(move |io: Io| {
            let io = serve::limit_reads(io, bodies.clone());
            async move { Ok::<_, DispatchError>(io) }
        });
        let http = HttpService::new(app).h1_control(fn_service(move |control| {
            let ack = on_control(cx.as_ref(), control);
            async move { Ok::<_, io::Error>(ack) }
        }));
        chain_factory(limit).and_then(http)
    };
    let server = server::build()
        .workers(1)
        .maxconn(connections + SPARE_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(ntex::time::Millis(2_000))
        .listen("entry", listener, factory);
    let server = match server {
        Ok(server) => server.config("entry", shared_cfg()).run(),
        Err(e) => {
            let _ = failed.send(Err(e.into()));
            return;
        }
    };
    drop(failed);
    // This also returns when the sender is dropped, because the state could not be built.
    let _ = drained.changed().await;
    server.stop(true).await;
}

fn shared_cfg() -> SharedCfg {
    let timeout = Seconds(limits::HEADER_TIMEOUT.0.div_ceil(1_000) as u16);
    let http = HttpServiceConfig::new()
        .set_max_buf_size(limits::HEADER_BYTES)
        .set_headers_read_rate(timeout, timeout, u32::MAX)
        .set_payload_read_rate(timeout, Seconds::ZERO, 1)
        .set_keepalive_timeout(Seconds(75));
    let io = serve::io_config().set_disconnect_timeout(Seconds(1));
    SharedCfg::new("ENTRY").add(http).add(io).into()
}

async fn build(parts: WorkerParts) -> Option<Rc<Entry>> {
    let members_addr = parts.members.local_addr();
    let built = match members_addr {
        Ok(addr) => Entry::new(parts.cfg, addr).await.map_err(EntryError::from),
        Err(e) => Err(e.into()),
    };
    let (cx, driver) = match built {
        Ok(built) => built,
        Err(e) => {
            let _ = parts.started.send(Err(e));
            return None;
        }
    };
    let wire = match tasks::serve_members(cx.clone(), parts.members) {
        Ok(wire) => wire,
        Err(e) => {
            let _ = parts.started.send(Err(e.into()));
            return None;
        }
    };
    tasks::start(&cx, driver);
    let stopping = cx.clone();
    rt::spawn(async move {
        stop(&stopping, parts.stopped).await;
        if !wire.shutdown(MEMBERS_TIMEOUT).await {
            log::warn!("entry: a member did not end its connection in {MEMBERS_TIMEOUT}");
        }
        let _ = parts.drained.send(true);
    });
    let _ = parts.started.send(Ok(()));
    Some(cx)
}

async fn answer(
    cx: Option<Rc<Entry>>,
    req: web::HttpRequest,
    payload: web::types::Payload,
) -> web::HttpResponse {
    match cx {
        Some(cx) => http::serve(cx, req, payload).await,
        None => web::HttpResponse::ServiceUnavailable().finish(),
    }
}

fn on_control<F: Filter, E: ntex::http::ResponseError>(
    cx: Option<&Rc<Entry>>,
    control: Control<F, E>,
) -> ntex::http::h1::ControlAck<F> {
    match cx {
        Some(cx) => http::on_control(cx, control),
        None => control.ack(),
    }
}

/// Waits for a stop request, drains the entry and removes it from the members.
async fn stop(cx: &Rc<Entry>, mut stopped: watch::Receiver<bool>) {
    let _ = stopped.wait_for(|stop| *stop).await;
    let began = clock::now();
    cx.phase.set(Phase::Notice);
    log::info!(
        "entry: not ready, draining in {}, {} requests under way",
        cx.cfg.stop_notice,
        cx.in_flight.get()
    );
    time::sleep(cx.cfg.stop_notice.to_duration()).await;
    cx.phase.set(Phase::Draining);
    let max_duration = cx.cfg.max_deadline.max(cx.cfg.scheduler_timeout) + cx.cfg.body_timeout;
    let end = clock::now() + max_duration;
    while cx.in_flight.get() > 0 && clock::now() < end {
        time::sleep(DRAIN_POLL_PERIOD.to_duration()).await;
    }
    let end = clock::now() + WRITE_TIMEOUT;
    while cx.unwritten() > 0 && clock::now() < end {
        time::sleep(DRAIN_POLL_PERIOD.to_duration()).await;
    }
    let (requests, answers) = (cx.in_flight.get(), cx.unwritten());
    if requests + answers > 0 {
        log::error!("entry: stops with {requests} requests under way and {answers} answers unread");
    }
    let connections = cx.connections();
    let took = clock::now().since(began);
    log::info!("entry: callers drained in {took}, {connections} connections are open");
    time::sleep(LATE_REQUEST_GRACE.to_duration()).await;
    flush_and_leave(cx).await;
}

/// Waits until all claims are settled, and deletes the member row.
async fn flush_and_leave(cx: &Entry) {
    let end = clock::now() + FLUSH_TIMEOUT;
    while cx.claims.unsettled() > 0 && clock::now() < end {
        time::sleep(DRAIN_POLL_PERIOD.to_duration()).await;
    }
    let leaving = cx.members.own.leave(&cx.table);
    match time::timeout(FLUSH_TIMEOUT.to_duration(), leaving).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => log::warn!("entry: could not delete the member row: {e}"),
        Err(_) => {
            log::warn!("entry: could not delete the member row: no answer in {FLUSH_TIMEOUT}");
        }
    }
}

/// Returns the budget of an entry whose state could not be built, which serves no body.
fn no_bodies() -> Rc<Bodies> {
    Rc::new(Bodies::new(0, 1))
}
