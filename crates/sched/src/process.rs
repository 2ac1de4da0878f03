//! Starts and stops the scheduler process.

use std::{io, net, sync::mpsc, thread};

use base::clock::{self, Millis};
use derive_more::{Display, Error, From};
use ntex::rt;
use serve::{Connections, Signals};
use store::table::StoreError;
use tokio::{sync::mpsc as control, time};
use wire::server;

use crate::{
    cfg::Settings,
    ctx::{self, Ctx, Cx},
    http, lease_task, members, server as requests, voting,
};

/// Maximum wait for open decisions and exchanges at a planned stop.
const DRAIN_LIMIT: Millis = Millis(3_000);
/// Maximum wait for answers to operators at a planned stop.
const HTTP_LIMIT: Millis = Millis(1_000);
/// Interval of the checks for open decisions at a planned stop.
const DRAIN_POLL: Millis = Millis(10);

/// Error that prevents the process from running.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A listener can't be opened, or the thread can't be started.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// A client of the platform can't be created.
    #[display("{_0}")]
    Store(StoreError),
}

enum Control {
    Stop,
    Kill,
    Exec(Box<dyn FnOnce() + Send>),
}

/// A running scheduler on its own thread; dropping the handle ends it without releasing the lease.
#[derive(Debug)]
pub struct Handle {
    addr: net::SocketAddr,
    http_addr: net::SocketAddr,
    control: control::UnboundedSender<Control>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Handle {
    /// Returns the address of the wire listener.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Returns the address of `/ready`, `/dump` and `/metrics`.
    pub fn http_addr(&self) -> net::SocketAddr {
        self.http_addr
    }

    /// Stops the scheduler as planned: releases the lease and waits for the end of the thread.
    pub fn stop(&mut self) {
        self.end(Control::Stop);
    }

    /// Ends the scheduler at once without releasing the lease, as in a crash.
    pub fn kill(&mut self) {
        self.end(Control::Kill);
    }

    /// Runs `f` on the thread of the scheduler, which freezes while `f` blocks.
    pub fn exec(&self, f: impl FnOnce() + Send + 'static) {
        // The send fails if the scheduler has ended.
        let _ = self.control.send(Control::Exec(Box::new(f)));
    }

    fn end(&mut self, how: Control) {
        let _ = self.control.send(how);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Listeners {
    wire: net::TcpListener,
    http: net::TcpListener,
}

impl Listeners {
    fn open(cfg: &Settings) -> io::Result<Self> {
        Ok(Self {
            wire: serve::bind(cfg.wire)?,
            http: serve::bind(cfg.http)?,
        })
    }
}

/// Starts a scheduler on its own thread.
///
/// # Errors
///
/// Returns an error if a listener can't be opened or the thread can't be started.
///
/// ```
/// let mut handle = sched::process::start(sched::cfg::Settings::default()).unwrap();
/// assert_ne!(handle.addr().port(), 0);
/// handle.kill();
/// ```
pub fn start(cfg: Settings) -> Result<Handle, ProcessError> {
    let listeners = Listeners::open(&cfg)?;
    let (addr, http_addr) = (listeners.wire.local_addr()?, listeners.http.local_addr()?);
    let (control, commands) = control::unbounded_channel();
    let (tx, rx) = mpsc::channel();
    let thread = thread::Builder::new().name("sched".into()).spawn(move || {
        let system = rt::System::new("sched", rt::DefaultRuntime);
        if let Err(e) = system.block_on(serve(cfg, listeners, commands)) {
            log::error!("sched: {e}");
            let _ = tx.send(e);
        }
    })?;
    drop(rx);
    Ok(Handle {
        addr,
        http_addr,
        control,
        thread: Some(thread),
    })
}

/// Runs a scheduler on the current thread until SIGTERM or SIGINT, then releases the lease.
pub fn run(cfg: Settings) -> Result<(), ProcessError> {
    let system = rt::System::new("sched", rt::DefaultRuntime);
    system.block_on(async move {
        let mut signals = Signals::new()?;
        let listeners = Listeners::open(&cfg)?;
        log::info!(
            "sched: listening on {} (wire) and {} (HTTP)",
            listeners.wire.local_addr()?,
            listeners.http.local_addr()?
        );
        let (control, commands) = control::unbounded_channel();
        rt::spawn(async move {
            signals.stop("sched").await;
            let _ = control.send(Control::Stop);
            // Keeps the channel open, because its end counts as a kill.
            std::future::pending::<()>().await;
        })
        .detach();
        serve(cfg, listeners, commands).await
    })
}

async fn serve(
    cfg: Settings,
    listeners: Listeners,
    mut commands: control::UnboundedReceiver<Control>,
) -> Result<(), ProcessError> {
    let cx: Cx = Ctx::new(cfg, listeners.wire.local_addr()?).await?.into();
    let handler_cx = cx.clone();
    let server = server::serve(listeners.wire, move |req| {
        requests::handle(handler_cx.clone(), req)
    })?;
    let operators = Connections::default();
    let http = rt::spawn(http::serve(cx.clone(), listeners.http, operators.clone()));
    rt::spawn(members::run_membership(cx.clone())).detach();
    let lease = rt::spawn(lease_task::run(cx.clone()));
    loop {
        match commands.recv().await {
            Some(Control::Exec(f)) => f(),
            Some(Control::Stop) => break,
            Some(Control::Kill) | None => return Ok(()),
        }
    }
    cx.stopping.set(true);
    log::info!("sched: beginning a planned stop");
    // Open exchanges may wait for decisions, so both are drained together.
    let (answered, ()) = tokio::join!(server.shutdown(DRAIN_LIMIT), drain(&cx));
    if !answered {
        log::warn!("sched: exchanges were still open after {DRAIN_LIMIT}");
    }
    voting::withdraw(&cx).await;
    cx.lease.borrow_mut().stop();
    cx.lease_changed.notify_one();
    let _ = lease.await;
    members::leave(&cx).await;
    operators.close();
    if time::timeout(HTTP_LIMIT.to_duration(), http).await.is_err() {
        let open = operators.open();
        log::warn!("sched: {open} operators' connections were still open after {HTTP_LIMIT}");
    }
    log::info!("sched: stopped");
    Ok(())
}

/// Waits until all decisions are committed.
async fn drain(cx: &Cx) {
    let limit = clock::now() + DRAIN_LIMIT;
    while clock::now() < limit {
        let Some(leader) = cx.acting() else { return };
        if leader.with_state(|s| s.queue.is_empty()) == Some(true) {
            return;
        }
        ctx::sleep(DRAIN_POLL).await;
    }
}
