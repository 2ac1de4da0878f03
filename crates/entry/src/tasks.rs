//! Tasks that run beside the requests: polling, renewal, answers to other members.

use std::{net, rc::Rc};

use base::{clock, clock::Millis};
use claim::driver::Driver;
use ntex::rt;
use store::client::Table;
use tokio::time;
use wire::message::{Effect, Reply, Request};

use crate::state::Entry;

/// Time between two looks at waiting requests, for late ones and for probes that become due.
const PUMP_PERIOD: Millis = Millis(20);

/// Longest wait for the configuration before the leader's push is answered; the leader waits 500 ms.
const CATCH_UP: Millis = Millis(400);

/// Starts all tasks.
pub fn start(cx: &Rc<Entry>, driver: Driver<Table>) {
    rt::spawn(driver.run());
    rt::spawn(poll_config(cx.clone()));
    rt::spawn(poll_leader(cx.clone()));
    rt::spawn(poll_vms(cx.clone()));
    rt::spawn(read_members(cx.clone()));
    rt::spawn(pump(cx.clone()));
}

/// Serves other members on `listener`.
pub fn serve_members(
    cx: Rc<Entry>,
    listener: net::TcpListener,
) -> std::io::Result<wire::server::Server> {
    wire::server::serve(listener, move |req| {
        let cx = cx.clone();
        async move { answer_member(&cx, req).await }
    })
}

async fn answer_member(cx: &Entry, req: Request) -> Reply {
    match req {
        Request::Ping => Reply::Pong,
        Request::QuorumRead { member, .. } => quorum_read(cx, member),
        Request::Current { known_revision, .. } => {
            catch_up(cx, known_revision).await;
            let force = cx.config.get();
            let revision = force.config.revision;
            let config = (revision > known_revision).then(|| force.config.clone());
            Reply::Current {
                revision,
                config,
                listed: false,
            }
        }
        _ => Reply::Failed {
            code: "not_a_scheduler".into(),
            message: "this member is an entry".into(),
            done: Effect::None,
        },
    }
}

/// Reads the configuration when another member has a newer one, so that a change does not wait for
/// the next poll.
async fn catch_up(cx: &Entry, revision: u64) {
    if revision > cx.config.revision() {
        let reading = cx.refresh_config(Millis::ZERO);
        let _ = time::timeout(CATCH_UP.to_duration(), reading).await;
    }
}

/// Answers a quorum read; a process that was not asked itself, or that knows no revision,
/// can't tell what a majority has acknowledged and abstains.
fn quorum_read(cx: &Entry, member: u64) -> Reply {
    let revision = cx.config.revision();
    if member != cx.id || revision == 0 {
        return Reply::Failed {
            code: "abstains".into(),
            message: "this process is another member or knows no revision yet".into(),
            done: Effect::None,
        };
    }
    Reply::QuorumRead {
        revision,
        table_reached: cx.table_reached.get(),
    }
}

async fn poll_config(cx: Rc<Entry>) {
    loop {
        let start = clock::now();
        cx.refresh_config(Millis::ZERO).await;
        pause(start, cx.cfg.config_poll).await;
    }
}

/// Tells the leader which revision is in force here and takes a newer one from it.
async fn poll_leader(cx: Rc<Entry>) {
    loop {
        let start = clock::now();
        let req = Request::Current {
            member: cx.id,
            known_revision: cx.config.revision(),
        };
        let reply = match cx.schedulers.leader() {
            Some(_) => cx.schedulers.call_leader(&req).await,
            None => cx.schedulers.call(&req, cx.cfg.config_poll).await.ok(),
        };
        if let Some(Reply::Current {
            revision,
            config,
            listed,
        }) = reply
        {
            if let Some(config) = config {
                cx.config.install(config);
            }
            // The leader waits for the acknowledgement of those members only that it has listed.
            if listed && revision == cx.config.revision() {
                cx.config.confirm(start);
            }
        }
        pause(start, cx.cfg.config_poll).await;
    }
}

async fn poll_vms(cx: Rc<Entry>) {
    loop {
        let start = clock::now();
        cx.refresh_vms(Millis::ZERO).await;
        pause(start, cx.cfg.vm_poll).await;
    }
}

async fn read_members(cx: Rc<Entry>) {
    loop {
        let start = clock::now();
        if let Err(e) = cx.members.read(&cx.table).await {
            log::warn!("entry: the list of members was not read: {e}");
        }
        pause(start, cx.cfg.member_poll).await;
    }
}

async fn pump(cx: Rc<Entry>) {
    loop {
        time::sleep(PUMP_PERIOD.to_duration()).await;
        for (_, balancer) in cx.balancers() {
            if balancer.queued() > 0 {
                balancer.pump();
            }
        }
    }
}

/// Waits until `period` has passed since `start`.
async fn pause(start: Millis, period: Millis) {
    let spent = clock::now().since(start);
    time::sleep(period.since(spent).max(Millis(1)).to_duration()).await;
}
