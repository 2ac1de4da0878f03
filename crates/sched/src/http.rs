//! HTTP server for `/ready`, `/dump` and `/metrics` on the thread of the scheduler.

use std::{future, net};

use base::clock::{self, Millis};
use ntex::http::{Request, Response, StatusCode};
use schema::job::Phase;
use serde::Serialize;
use serve::Connections;

use crate::{ctx::Cx, metrics::Metrics};

/// State of the process, served as JSON at `/dump`.
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

/// Number of jobs in one phase.
#[derive(Debug, Serialize)]
pub(crate) struct JobCount {
    pub(crate) phase: Phase,
    pub(crate) jobs: usize,
}

/// Serves `listener` until the `connections` have been closed and have ended.
pub(crate) async fn serve(cx: Cx, listener: net::TcpListener, connections: Connections) {
    let metrics = Metrics::default();
    let handler = move |req: Request| future::ready(respond(&cx, &metrics, &req));
    let served = serve::listen(
        "sched-http",
        listener,
        serve::Limits::default(),
        connections,
        handler,
    );
    if let Err(e) = served.await {
        log::error!("sched: the HTTP server failed: {e}");
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

/// Returns whether the process is ready. A standby is ready too, because it can take over.
fn is_ready(cx: &Cx) -> bool {
    let holds_lease = cx.lease.borrow().held().is_some();
    !cx.stopping.get() && (!holds_lease || cx.acting().is_some())
}

fn dump(cx: &Cx) -> Dump {
    let mut dump = Dump {
        id: cx.id,
        shard: cx.cfg.shard.to_string(),
        revision: cx.revision.get().unwrap_or_default(),
        table_age_ms: clock::now().since(cx.table_answered_at.get()),
        ..Dump::default()
    };
    let Some(leader) = cx.leader.borrow().clone() else {
        return dump;
    };
    dump.leading = cx.is_acting(&leader);
    dump.fence = leader.held.fence;
    leader.with_state(|s| {
        dump.stuck = s.stuck;
        dump.records_waiting = s.queue.records();
        dump.guarantees_unlocated = s.plan.unlocated();
        dump.workers = s.workers.len();
        let up = s.workers.values().filter(|w| !w.link.needs_info());
        dump.workers_up = up.count();
        dump.workers_silent = s.workers.values().filter(|w| w.link.is_suspected()).count();
        let mut phases: Vec<Phase> = s.committed.values().map(|j| j.record.phase).collect();
        phases.sort();
        let groups = phases.chunk_by(|a, b| a == b);
        dump.jobs = groups
            .map(|group| JobCount {
                phase: group[0],
                jobs: group.len(),
            })
            .collect();
    });
    dump
}
