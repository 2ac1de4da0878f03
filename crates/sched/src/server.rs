//! Requests of other processes.

use std::rc::Rc;

use base::clock::{self, Millis};
use plan::record::JobKey;
use wire::message::{Effect, Reply, Request};

use crate::{
    answer,
    config::{self, Change},
    ctx::Cx,
    jobs,
    leader::Leader,
};

/// Age of the last answer up to which the table counts as reached.
const TABLE_REACHED: Millis = Millis(2_000);

/// Answers one request.
pub(crate) async fn handle(cx: Cx, req: Request) -> Reply {
    match req {
        Request::Ping => return Reply::Pong,
        Request::Vouch { .. } => return vouch(&cx),
        Request::Hello { .. } => {
            return answer::failed("unexpected_hello", "the connection is open", Effect::None);
        }
        _ => {}
    }
    match cx.acting() {
        Some(leader) => lead(&cx, &leader, req).await,
        None => not_leader(&cx),
    }
}

fn vouch(cx: &Cx) -> Reply {
    let age = clock::now().since(cx.table_seen.get());
    Reply::Vouch {
        revision: cx.revision.get(),
        table_reached: age < TABLE_REACHED,
    }
}

fn not_leader(cx: &Cx) -> Reply {
    if cx.lease.borrow().held().is_some() {
        return answer::unavailable("the state is being rebuilt, or the table does not answer");
    }
    Reply::NotLeader {
        leader: cx.holder.get().filter(|a| *a != cx.addr),
    }
}

async fn lead(cx: &Cx, leader: &Rc<Leader>, req: Request) -> Reply {
    match req {
        Request::Submit { job } => jobs::submit(cx, leader, job).await,
        Request::Cancel { organisation, job } => {
            let key = JobKey {
                organisation,
                name: job,
            };
            jobs::cancel(cx, leader, key).await
        }
        Request::JobStatus { organisation, job } => {
            let key = JobKey {
                organisation,
                name: job,
            };
            jobs::status(leader, &key)
        }
        Request::Jobs {
            organisation,
            limit,
        } => jobs::list(leader, organisation, limit),
        Request::Apply {
            change,
            operator,
            records,
            expected_revision,
        } => {
            let change = Change {
                id: change,
                operator,
                records,
                expected: expected_revision,
            };
            config::apply(cx, leader, change).await
        }
        Request::Current {
            member,
            known_revision,
        } => config::current(leader, member, known_revision),
        Request::Hello { .. } | Request::Vouch { .. } | Request::Ping => Reply::Pong,
    }
}
