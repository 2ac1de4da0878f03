//! Background tasks of an entry: polling, renewal of the member row, and the members' server.

use std::{net, rc::Rc};

use base::{clock, clock::Millis};
use claim::driver::Driver;
use ntex::rt;
use store::client::Table;
use tokio::time;
use wire::message::{Effect, Reply, Request};

use crate::state::Entry;

/// Interval at which queues are checked for expired requests and for probes that have become due.
const QUEUE_POLL_PERIOD: Millis = Millis(20);

/// Timeout for reading the configuration before the leader's push is answered; the leader waits
/// 500 ms for the answer.
const CATCH_UP_TIMEOUT: Millis = Millis(400);

/// Starts all background tasks.
pub fn start(cx: &Rc<Entry>, driver: Driver<Table>) {
    rt::spawn(driver.run());
    rt::spawn(poll_config(cx.clone()));
    rt::spawn(poll_leader(cx.clone()));
    rt::spawn(poll_vms(cx.clone()));
    rt::spawn(poll_members(cx.clone()));
    rt::spawn(poll_queues(cx.clone()));
}

/// Serves requests of other members on `listener`.
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
        Request::QuorumRead { member, .. } => answer_quorum_read(cx, member),
        Request::Fence {
            member,
            shard,
            fence,
        } if member == cx.id => Reply::Fence {
            highest: cx.fences.borrow_mut().raise(&shard, fence),
        },
        Request::Current { known_revision, .. } => {
            catch_up(cx, known_revision).await;
            let active = cx.config.get();
            let revision = active.config.revision;
            let config = (revision > known_revision).then(|| active.config.clone());
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

/// Reads the configuration if `revision` of another member is newer, so that a change takes effect
/// before the next poll.
async fn catch_up(cx: &Entry, revision: u64) {
    if revision > cx.config.revision() {
        let is_current = || cx.config.revision() >= revision;
        cx.config_refresh.wait(CATCH_UP_TIMEOUT, is_current).await;
    }
}

/// Answers a quorum read addressed to `member`.
///
/// Abstains if that is another member or if no revision is known here yet, because this process
/// then can't tell what a majority has acknowledged.
fn answer_quorum_read(cx: &Entry, member: u64) -> Reply {
    let revision = cx.config.revision();
    if member != cx.id || revision == 0 {
        return Reply::Failed {
            code: "abstains".into(),
            message: "the request is for another member, or no revision is known here yet".into(),
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
        cx.read_config().await;
        cx.config_refresh.due(start, cx.cfg.config_poll).await;
    }
}

/// Polls the leader: acknowledges the revision in force here and installs a newer one.
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
            // The leader waits for acknowledgements only from members that it has listed.
            if listed && revision == cx.config.revision() {
                cx.config.confirm(start);
            }
        }
        sleep_until_next(start, cx.cfg.config_poll).await;
    }
}

async fn poll_vms(cx: Rc<Entry>) {
    loop {
        let start = clock::now();
        cx.read_vm_list().await;
        cx.vm_refresh.due(start, cx.cfg.vm_poll).await;
    }
}

async fn poll_members(cx: Rc<Entry>) {
    loop {
        let start = clock::now();
        if let Err(e) = cx.members.read(&cx.table).await {
            log::warn!("entry: could not read the member list: {e}");
        }
        sleep_until_next(start, cx.cfg.member_poll).await;
    }
}

async fn poll_queues(cx: Rc<Entry>) {
    loop {
        time::sleep(QUEUE_POLL_PERIOD.to_duration()).await;
        for (_, balancer) in cx.balancers() {
            if balancer.queued() > 0 {
                balancer.dispatch_queued();
            }
        }
    }
}

/// Waits until `period` has passed since `start`.
async fn sleep_until_next(start: Millis, period: Millis) {
    let spent = clock::now().since(start);
    time::sleep(period.since(spent).max(Millis(1)).to_duration()).await;
}
