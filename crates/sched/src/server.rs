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
        Request::QuorumRead { member, .. } => return quorum_read(&cx, member),
        Request::Hello { .. } => {
            return answer::failed("unexpected_hello", "the connection is open", Effect::None);
        }
        _ => {}
    }
    match (cx.acting(), req) {
        (Some(leader), req) => lead(&cx, &leader, req).await,
        (
            None,
            Request::Current {
                member,
                known_revision,
            },
        ) => pushed(&cx, member, known_revision),
        (None, _) => not_leader(&cx),
    }
}

fn quorum_read(cx: &Cx, member: u64) -> Reply {
    // A process that has just started would answer for what its predecessor at this address knew.
    let revision = cx.revision.get().filter(|_| member == cx.id);
    let Some(revision) = revision else {
        return answer::failed("no_revision", "no revision is known yet", Effect::None);
    };
    let age = clock::now().since(cx.table_seen.get());
    Reply::QuorumRead {
        revision,
        table_reached: age < TABLE_REACHED,
    }
}

/// Acknowledges a revision that the leader pushes; others are told to ask the leader.
fn pushed(cx: &Cx, member: u64, revision: u64) -> Reply {
    if cx.lease.borrow().holder() != Some(member) {
        return not_leader(cx);
    }
    cx.note_revision(revision);
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
        Request::Hello { .. } | Request::QuorumRead { .. } | Request::Ping => Reply::Pong,
    }
}
