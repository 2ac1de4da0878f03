//! Start and stop of a node.

use std::{future, io, net};

use base::clock::{self, Millis};
use derive_more::{Display, Error, From};
use ntex::{http::Request, rt};
use serve::Connections;
use store::table::StoreError;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    config,
    cx::{self, Ctx, Cx},
    front, lease_task,
    node_cfg::NodeCfg,
    peers,
};

/// Time after SIGTERM in which new connections are still accepted. The balancer checks once a
/// second and removes an entry after two failures.
const DRAIN_TIME: Millis = Millis(2_600);
/// Time by which the process exits before the end of the grace period, at the latest.
const EXIT_MARGIN: Millis = Millis(700);
/// Interval between two checks for requests in flight.
const POLL_INTERVAL: Millis = Millis(20);

/// Reason why the process ended with an error.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A listener or a signal handler could not be set up.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// A client of the platform could not be created.
    #[display("{_0}")]
    Store(StoreError),
}

/// Runs a node on the current thread until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a listener, a signal handler or a client can't be set up.
pub fn run(cfg: NodeCfg) -> Result<(), ProcessError> {
    let front = net::TcpListener::bind(cfg.listen)?;
    let ready = net::TcpListener::bind(cfg.listen_ready)?;
    let metrics = net::TcpListener::bind(cfg.listen_metrics)?;
    log::info!(name:% = cfg.name, zone:% = cfg.zone, listen:% = cfg.listen, store:% = cfg.store; "node: start");
    rt::System::new("node", rt::DefaultRuntime).block_on(async move {
        let cx: Cx = Ctx::new(cfg).await?.into();
        serve(&cx, "front", front, cx.connections.clone(), front::serve);
        serve(&cx, "ready", ready, Connections::default(), |cx, req| {
            future::ready(front::ready(&cx, &req))
        });
        serve(&cx, "metrics", metrics, Connections::default(), |cx, req| {
            future::ready(front::serve_operators(&cx, &req))
        });
        rt::spawn(config::watch(cx.clone())).detach();
        rt::spawn(peers::watch(cx.clone())).detach();
        let lease = rt::spawn(lease_task::run(cx.clone()));
        let stopped = wait_for_signal().await?;
        cx.stopping.set(true);
        let arrived = cx.requests.arrived();
        log::info!(requests = cx.requests.count(), connections = cx.connections.open(); "node: stopping");
        cx.lease.borrow_mut().stop();
        cx.wake_lease_task.notify_one();
        let exit_by = stopped + cx.cfg.grace_ms.since(EXIT_MARGIN);
        while clock::now() < exit_by && (cx.requests.count() > 0 || clock::now().since(stopped) < DRAIN_TIME)
        {
            cx::sleep(POLL_INTERVAL).await;
        }
        let remaining = exit_by.since(clock::now()).to_duration();
        if tokio::time::timeout(remaining, lease).await.is_err() {
            log::warn!("node: the lease was not released in time");
        }
        let now = clock::now();
        let oldest = cx.requests.oldest().map_or(0, |at| now.since(at).0);
        log::info!(
            requests = cx.requests.count(), oldest_ms = oldest, connections = cx.connections.open(),
            arrived = cx.requests.arrived() - arrived, ms = now.since(stopped).0;
            "node: stopped"
        );
        Ok(())
    })
}

fn serve<F, R>(
    cx: &Cx,
    name: &'static str,
    listener: net::TcpListener,
    connections: Connections,
    f: F,
) where
    F: Fn(Cx, Request) -> R + 'static,
    R: Future<Output = ntex::http::Response> + 'static,
{
    let limits = serve::Limits {
        max_connections: cx.cfg.connections,
        ..serve::Limits::default()
    };
    let cx = cx.clone();
    rt::spawn(async move {
        let served = serve::listen(name, listener, limits, connections, move |req| {
            f(cx.clone(), req)
        });
        if let Err(e) = served.await {
            log::error!(listener = name, reason:% = e; "node: listener failed");
        }
    })
    .detach();
}

/// Waits for SIGTERM or SIGINT and returns the time when it was received.
async fn wait_for_signal() -> io::Result<Millis> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(clock::now()),
            _ = int.recv() => return Ok(clock::now()),
            _ = hup.recv() => log::info!("node: SIGHUP is ignored, settings are read at start only"),
        }
    }
}
