//! The scheduler process: start and stop.

use std::{io, net, sync::mpsc, thread};

use base::clock::{self, Millis};
use derive_more::{Display, Error, From};
use ntex::rt;
use store::table::StoreError;
use tokio::sync::mpsc as control;
use wire::server;

use crate::{
    cfg::Settings,
    ctx::{self, Ctx, Cx},
    http, lease_task, members, server as requests,
};

/// Longest wait for open decisions and exchanges at a planned stop.
const DRAIN_LIMIT: Millis = Millis(3_000);
/// Time between two looks at open decisions at a planned stop.
const DRAIN_POLL: Millis = Millis(10);

/// Why the process does not run.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A listener can't be opened.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// A client of the platform can't be made.
    #[display("{_0}")]
    Store(StoreError),
}

enum Control {
    Stop,
    Kill,
    Exec(Box<dyn FnOnce() + Send>),
}

/// A running scheduler on its own thread; dropping it ends it without hand-over.
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

    /// Hands the lease over and waits for the end.
    pub fn stop(&mut self) {
        self.end(Control::Stop);
    }

    /// Ends the scheduler at once, as a crash does.
    pub fn kill(&mut self) {
        self.end(Control::Kill);
    }

    /// Runs `f` on the thread of the scheduler; a function that blocks freezes it.
    pub fn exec(&self, f: impl FnOnce() + Send + 'static) {
        // A scheduler that has ended has no thread to run on.
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
            wire: net::TcpListener::bind(cfg.wire)?,
            http: net::TcpListener::bind(cfg.http)?,
        })
    }
}

/// Starts a scheduler on its own thread.
///
/// # Errors
///
/// Returns an error if a listener can't be opened.
///
/// ```
/// let mut handle = sched::process::start(sched::cfg::Settings::default()).unwrap();
/// assert_ne!(handle.addr().port(), 0);
/// handle.kill();
/// ```
pub fn start(cfg: Settings) -> Result<Handle, ProcessError> {
    let listeners = Listeners::open(&cfg)?;
    let (addr, http_addr) = (listeners.wire.local_addr()?, listeners.http.local_addr()?);
    let (control, orders) = control::unbounded_channel();
    let (tx, rx) = mpsc::channel();
    let thread = thread::Builder::new().name("sched".into()).spawn(move || {
        let system = rt::System::new("sched", rt::DefaultRuntime);
        if let Err(e) = system.block_on(serve(cfg, listeners, orders)) {
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

/// Runs a scheduler on the current thread until SIGTERM or SIGINT, then hands the lease over.
pub fn run(cfg: Settings) -> Result<(), ProcessError> {
    let listeners = Listeners::open(&cfg)?;
    log::info!(
        "sched: wire on {}, HTTP on {}",
        listeners.wire.local_addr()?,
        listeners.http.local_addr()?
    );
    let (control, orders) = control::unbounded_channel();
    let system = rt::System::new("sched", rt::DefaultRuntime);
    system.block_on(async move {
        rt::spawn(async move {
            if let Err(e) = wait_for_signal().await {
                return log::error!("sched: signals are not available: {e}");
            }
            let _ = control.send(Control::Stop);
            // The channel stays open, because its end counts as a kill.
            std::future::pending::<()>().await;
        })
        .detach();
        serve(cfg, listeners, orders).await
    })
}

async fn wait_for_signal() -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}

async fn serve(
    cfg: Settings,
    listeners: Listeners,
    mut orders: control::UnboundedReceiver<Control>,
) -> Result<(), ProcessError> {
    let cx: Cx = Ctx::new(cfg, listeners.wire.local_addr()?).await?.into();
    let handler_cx = cx.clone();
    let server = server::serve(listeners.wire, move |req| {
        requests::handle(handler_cx.clone(), req)
    })?;
    rt::spawn(http::serve(cx.clone(), listeners.http)).detach();
    rt::spawn(members::run_own(cx.clone())).detach();
    let lease = rt::spawn(lease_task::run(cx.clone()));
    loop {
        match orders.recv().await {
            Some(Control::Exec(f)) => f(),
            Some(Control::Stop) => break,
            Some(Control::Kill) | None => return Ok(()),
        }
    }
    cx.stopping.set(true);
    // Exchanges end with the decisions that they wait for.
    let drained = tokio::time::timeout(DRAIN_LIMIT.to_duration(), server.shutdown());
    let _ = tokio::join!(drained, drain(&cx));
    cx.lease.borrow_mut().stop();
    cx.lease_changed.notify_one();
    let _ = lease.await;
    members::remove_own(&cx).await;
    log::info!("sched: stopped");
    Ok(())
}

/// Waits until all decisions are committed.
async fn drain(cx: &Cx) {
    let limit = clock::now() + DRAIN_LIMIT;
    while clock::now() < limit {
        let Some(leader) = cx.acting() else { return };
        if leader.with(|s| s.queue.is_empty()) == Some(true) {
            return;
        }
        ctx::sleep(DRAIN_POLL).await;
    }
}
