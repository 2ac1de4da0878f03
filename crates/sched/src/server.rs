//! Handler of requests from other processes.

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
    voting,
};

/// Maximum age of the table's last answer at which the table counts as reachable.
const MAX_TABLE_AGE: Millis = Millis(2_000);

/// Handles one request.
pub(crate) async fn handle(cx: Cx, req: Request) -> Reply {
    match req {
        Request::Ping => return Reply::Pong,
        Request::QuorumRead { member, .. } => return quorum_read(&cx, member),
        Request::Fence {
            member,
            shard,
            fence,
        } => return voting::answer(&cx, member, &shard, fence),
        Request::Hello { .. } => {
            return answer::failed(
                "unexpected_hello",
                "the connection is already open",
                Effect::None,
            );
        }
        _ => {}
    }
    match (cx.acting(), req) {
        (Some(leader), req) => handle_as_leader(&cx, &leader, req).await,
        (
            None,
            Request::Current {
                member,
                known_revision,
            },
        ) => acknowledge_push(&cx, member, known_revision),
        (None, _) => not_leader(&cx),
    }
}

fn quorum_read(cx: &Cx, member: u64) -> Reply {
    // The request may be meant for an earlier process at this address, and this process does not
    // know what that one acknowledged.
    let revision = cx.revision.get().filter(|_| member == cx.id);
    let Some(revision) = revision else {
        return answer::failed("no_revision", "no revision is known yet", Effect::None);
    };
    let age = clock::now().since(cx.table_answered_at.get());
    Reply::QuorumRead {
        revision,
        table_reached: age < MAX_TABLE_AGE,
    }
}

/// Acknowledges a revision that the leader pushes; other senders are referred to the leader.
fn acknowledge_push(cx: &Cx, member: u64, revision: u64) -> Reply {
    if cx.lease.borrow().holder() != Some(member) {
        return not_leader(cx);
    }
    cx.raise_revision(revision);
    Reply::Current {
        revision: cx.revision.get().unwrap_or_default(),
        config: None,
        listed: false,
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

async fn handle_as_leader(cx: &Cx, leader: &Rc<Leader>, req: Request) -> Reply {
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
        Request::Hello { .. }
        | Request::QuorumRead { .. }
        | Request::Fence { .. }
        | Request::Ping => Reply::Pong,
    }
}
