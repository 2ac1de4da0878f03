//! `/ready`, `/dump` and `/metrics` over HTTP, on the thread of the scheduler.

use std::{io, net, rc::Rc};

use base::clock::{self, Millis};
use ntex::{
    Pipeline, ServiceFactory, SharedCfg, fn_service,
    http::{HttpService, Request, Response, StatusCode, error::HttpError},
    io::Io,
    rt, time,
};
use schema::job::Phase;
use serde::Serialize;

use crate::{ctx::Cx, metrics::Metrics};

/// Pause after a failed accept, so that a shortage of file descriptors does not use up the core.
const ACCEPT_PAUSE: time::Millis = time::Millis(50);

/// State of the process as shown on `/dump`.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Dump {
    id: u64,
    shard: String,
    pub(crate) leading: bool,
    pub(crate) fence: u64,
    pub(crate) revision: u64,
    pub(crate) stuck: bool,
    pub(crate) table_age_ms: Millis,
    pub(crate) records_waiting: usize,
    pub(crate) workers: usize,
    pub(crate) workers_up: usize,
    pub(crate) workers_silent: usize,
    pub(crate) guarantees_unlocated: usize,
    pub(crate) jobs: Vec<JobCount>,
}

#[derive(Debug, Serialize)]
pub(crate) struct JobCount {
    pub(crate) phase: Phase,
    pub(crate) jobs: usize,
}

/// Serves `listener`; it returns only if that is not possible.
pub(crate) async fn serve(cx: Cx, listener: net::TcpListener) {
    if let Err(e) = accept(cx, listener).await {
        log::error!("sched: /ready, /dump and /metrics are not served: {e}");
    }
}

async fn accept(cx: Cx, listener: net::TcpListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let cfg: SharedCfg = SharedCfg::new("sched-http").into();
    let metrics = Rc::new(Metrics::default());
    let http = HttpService::new(fn_service(move |req: Request| {
        let resp = respond(&cx, &metrics, &req);
        async move { Ok::<_, HttpError>(resp) }
    }));
    let http = ServiceFactory::<Io, SharedCfg>::create(&http, cfg.clone()).await;
    let http = Pipeline::new(http.map_err(|()| io::Error::other("no HTTP service"))?);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let io = stream.into_std();
        let Ok(io) = io.and_then(|s| rt::from_tcp_stream(s, cfg.clone())) else {
            continue;
        };
        let http = http.clone();
        rt::spawn(async move {
            // The error tells about one connection only.
            let _ = http.call(io).await;
        })
        .detach();
    }
}

fn respond(cx: &Cx, metrics: &Metrics, req: &Request) -> Response {
    match req.path() {
        "/ready" if is_ready(cx) => Response::Ok().body("ready"),
        "/ready" => Response::ServiceUnavailable().body("not ready"),
        "/dump" => Response::Ok()
            .content_type("application/json")
            .body(serde_json::to_vec(&dump(cx)).unwrap_or_default()),
        "/metrics" => Response::Ok()
            .content_type("text/plain")
            .body(metrics.text(&dump(cx))),
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}

/// A standby is ready as well: it can take over.
fn is_ready(cx: &Cx) -> bool {
    let leads = cx.lease.borrow().held().is_some();
    !cx.stopping.get() && (!leads || cx.acting().is_some())
}

fn dump(cx: &Cx) -> Dump {
    let mut dump = Dump {
        id: cx.id,
        shard: cx.cfg.shard.to_string(),
        revision: cx.revision.get().unwrap_or_default(),
        table_age_ms: clock::now().since(cx.table_seen.get()),
        ..Dump::default()
    };
    let Some(leader) = cx.leader.borrow().clone() else {
        return dump;
    };
    dump.leading = cx.is_acting(&leader);
    dump.fence = leader.held.fence;
    leader.with(|s| {
        dump.stuck = s.stuck;
        dump.records_waiting = s.queue.records();
        dump.guarantees_unlocated = s.plan.unlocated();
        dump.workers = s.contacts.len();
        let up = s.contacts.values().filter(|c| !c.link.needs_info());
        dump.workers_up = up.count();
        dump.workers_silent = s
            .contacts
            .values()
            .filter(|c| c.link.is_suspected())
            .count();
        let mut phases: Vec<Phase> = s.committed.values().map(|j| j.record.phase).collect();
        phases.sort();
        let runs = phases.chunk_by(|a, b| a == b);
        dump.jobs = runs
            .map(|run| JobCount {
                phase: run[0],
                jobs: run.len(),
            })
            .collect();
    });
    dump
}
