//! Members that confirm a leader during an outage of the table, or don't.

mod cluster;

use std::net;

use base::clock::Millis;
use cluster::{Cluster, job, submit};
use member::{
    membership::{Membership, Renewal},
    rows::MemberRole,
};
use sched::voters::VotersRow;
use standin::faults::Faults;
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg};
use wire::{
    message::{Effect, Reply, Request},
    server::{self, Server},
};

/// How a simulated member answers a leader.
#[derive(Clone, Copy, Debug)]
enum Answers {
    /// It has heard of this fencing token.
    Highest(u64),
    /// It is of the version before, which refuses messages that it does not know.
    Before { table_reached: bool },
    /// It answers with no vote.
    Nothing,
}

impl Answers {
    fn reply(self, req: &Request) -> Reply {
        match (self, req) {
            (Self::Highest(highest), Request::Fence { .. }) => Reply::Fence { highest },
            (Self::Before { .. }, Request::Fence { .. }) => Reply::Failed {
                code: "bad_message".into(),
                message: "unknown variant".into(),
                done: Effect::None,
            },
            (Self::Before { table_reached }, Request::QuorumRead { .. }) => Reply::QuorumRead {
                revision: 1,
                table_reached,
            },
            _ => Reply::Pong,
        }
    }
}

/// Registers a member with this id that answers as given.
async fn join(cluster: &Cluster, id: u64, answers: Answers) -> Server {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let server = server::serve(listener, move |req| async move { answers.reply(&req) }).unwrap();
    let url = cluster.platform.url();
    let table = Table::from(HttpTable::new(&url, HttpCfg::default()).await.unwrap());
    let own = Membership::new(id, server.addr(), MemberRole::Entry);
    cluster::eventually("the member is registered", async || {
        let renewed = own.renew(&table, None).await.unwrap();
        (renewed == Renewal::Renewed).then_some(())
    })
    .await;
    server
}

/// Returns how many members of a gang run after an outage that is longer than a task lease, beside
/// two members that answer as given.
async fn running_after_outage(answers: Answers) -> usize {
    let mut cluster = Cluster::new(2, 0);
    cluster.add_scheduler(|cfg| {
        cluster::fast_lease(cfg);
        cfg.workers.task_lease_ms = Millis(2_000);
        cfg.workers.renew_ms = Millis(250);
    });
    let client = cluster.configure().await;
    let _members = [
        join(&cluster, 1, answers).await,
        join(&cluster, 2, answers).await,
    ];
    cluster::eventually("the voters are stored", async || {
        let row = cluster.platform.row("voters/main")?;
        let row: VotersRow = serde_json::from_str(&row.value).unwrap();
        (row.voters.len() == 3).then_some(())
    })
    .await;
    submit(&client, job("a", 2, 4)).await;
    cluster.wait_for_running("a", 2).await;
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    cluster::pause(5_000).await;
    cluster.running("a")
}

/// Guards against gangs that stop in an outage although the members confirm the leader, also while
/// some of them are being updated.
#[ntex::test]
async fn gangs_run_on_while_the_members_confirm_the_leader() {
    for answers in [
        Answers::Highest(1),
        Answers::Before {
            table_reached: false,
        },
    ] {
        assert_eq!(running_after_outage(answers).await, 2, "{answers:?}");
    }
}

/// Guards against a leader that goes on behind a partition.
#[ntex::test]
async fn gangs_stop_when_the_members_do_not_confirm_the_leader() {
    for answers in [
        Answers::Highest(2),
        Answers::Before {
            table_reached: true,
        },
        Answers::Nothing,
    ] {
        assert_eq!(running_after_outage(answers).await, 0, "{answers:?}");
    }
}
