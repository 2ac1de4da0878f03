//! Start and stop of a node.

use std::{future, io, net};

use base::clock;
use derive_more::{Display, Error, From};
use ntex::{http::Request, rt};
use serve::{Connections, Signals};
use store::table::StoreError;

use crate::{
    config,
    cx::{Ctx, Cx},
    front, lease_task, link_log,
    node_cfg::NodeCfg,
    peers,
    stop::{self, Listener},
};

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
    rt::System::new("node", rt::DefaultRuntime).block_on(async move {
        let mut signals = Signals::new()?;
        let front = serve::bind(cfg.listen)?;
        let ready = serve::bind(cfg.listen_ready)?;
        let metrics = serve::bind(cfg.listen_metrics)?;
        log::info!(name:% = cfg.name, zone:% = cfg.zone, listen:% = cfg.listen, store:% = cfg.store; "node: start");
        let cx: Cx = Ctx::new(cfg).await?.into();
        let callers = serve::Limits {
            max_connections: cx.cfg.callers(),
            keep_alive_connections: serve::keep_alive_connections(cx.cfg.callers()),
            ..serve::Limits::default()
        };
        let operators = serve::Limits {
            max_connections: cx.cfg.operators(),
            ..serve::Limits::default()
        };
        let connections = cx.connections.clone();
        let callers = serve(&cx, "front", front, callers, connections, front::serve);
        let connections = Connections::default();
        let ready = serve(&cx, "ready", ready, operators, connections, |cx, req| {
            future::ready(front::ready(&cx, &req))
        });
        let connections = Connections::default();
        let metrics = serve(&cx, "metrics", metrics, operators, connections, |cx, req| {
            future::ready(front::serve_operators(&cx, &req))
        });
        rt::spawn(config::watch(cx.clone())).detach();
        rt::spawn(peers::watch(cx.clone())).detach();
        rt::spawn(link_log::watch(cx.clone())).detach();
        let lease = rt::spawn(lease_task::run(cx.clone()));
        signals.stop("node").await;
        stop::stop(&cx, clock::now(), callers, [ready, metrics], lease).await;
        Ok(())
    })
}

fn serve<F, R>(
    cx: &Cx,
    name: &'static str,
    listener: net::TcpListener,
    limits: serve::Limits,
    connections: Connections,
    f: F,
) -> Listener
where
    F: Fn(Cx, Request) -> R + 'static,
    R: Future<Output = ntex::http::Response> + 'static,
{
    let (cx, closable) = (cx.clone(), connections.clone());
    let served = rt::spawn(async move {
        let f = move |req| f(cx.clone(), req);
        if let Err(e) = serve::listen(name, listener, limits, closable, f).await {
            log::error!(listener = name, reason:% = e; "node: listener failed");
        }
    });
    Listener {
        connections,
        served,
    }
}
