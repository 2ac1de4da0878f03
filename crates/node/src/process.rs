//! Start and stop of a node.

use std::{future, io, net};

use base::clock::{self, Millis};
use derive_more::{Display, Error, From};
use ntex::{http::Request, rt};
use store::table::StoreError;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    config,
    cx::{self, Ctx, Cx},
    front, lease_task,
    node_cfg::NodeCfg,
    peers,
};

/// Time after SIGTERM in which new connections are still served: the balancer asks once a second
/// and leaves an entry out after two failures.
const NOTICE: Millis = Millis(2_600);
/// Time before the end of the grace period at which the process ends at the latest.
const EARLY: Millis = Millis(700);
/// Time between two looks at open requests.
const POLL: Millis = Millis(20);

/// Why the process does not run.
#[derive(Debug, Display, Error, From)]
pub enum ProcessError {
    /// A listener or a signal is not available.
    #[display("cannot listen: {_0}")]
    Io(io::Error),
    /// A client of the platform can't be made.
    #[display("{_0}")]
    Store(StoreError),
}

/// Runs a node on the current thread until SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a listener can't be opened.
pub fn run(cfg: NodeCfg) -> Result<(), ProcessError> {
    let front = net::TcpListener::bind(cfg.listen)?;
    let ready = net::TcpListener::bind(cfg.listen_ready)?;
    let metrics = net::TcpListener::bind(cfg.listen_metrics)?;
    log::info!(name:% = cfg.name, zone:% = cfg.zone, listen:% = cfg.listen, store:% = cfg.store; "node: start");
    rt::System::new("node", rt::DefaultRuntime).block_on(async move {
        let cx: Cx = Ctx::new(cfg).await?.into();
        serve(&cx, "front", front, front::serve);
        serve(&cx, "ready", ready, |cx, req| {
            future::ready(front::ready(&cx, &req))
        });
        serve(&cx, "metrics", metrics, |cx, req| {
            future::ready(front::operate(&cx, &req))
        });
        rt::spawn(config::follow(cx.clone())).detach();
        rt::spawn(peers::follow(cx.clone())).detach();
        let lease = rt::spawn(lease_task::run(cx.clone()));
        let stopped = wait_for_signal().await?;
        cx.stopping.set(true);
        log::info!(requests = cx.requests.get(); "node: stopping");
        cx.lease.borrow_mut().stop();
        cx.lease_changed.notify_one();
        let last = stopped + cx.cfg.grace_ms.since(EARLY);
        while clock::now() < last && (cx.requests.get() > 0 || clock::now().since(stopped) < NOTICE)
        {
            cx::sleep(POLL).await;
        }
        let left = last.since(clock::now()).to_duration();
        if tokio::time::timeout(left, lease).await.is_err() {
            log::warn!("node: the lease was not handed over in time");
        }
        log::info!(requests = cx.requests.get(), ms = clock::now().since(stopped).0; "node: stop");
        Ok(())
    })
}

fn serve<F, R>(cx: &Cx, name: &'static str, listener: net::TcpListener, f: F)
where
    F: Fn(Cx, Request) -> R + 'static,
    R: Future<Output = ntex::http::Response> + 'static,
{
    let limits = serve::Limits {
        max_connections: cx.cfg.connections,
        ..serve::Limits::default()
    };
    let cx = cx.clone();
    rt::spawn(async move {
        let served = serve::listen(name, listener, limits, move |req| f(cx.clone(), req));
        if let Err(e) = served.await {
            log::error!(listener = name, reason:% = e; "node: not served");
        }
    })
    .detach();
}

/// Waits for the order to stop and returns when it came.
async fn wait_for_signal() -> io::Result<Millis> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(clock::now()),
            _ = int.recv() => return Ok(clock::now()),
            _ = hup.recv() => log::info!("node: settings are read at the next start"),
        }
    }
}
