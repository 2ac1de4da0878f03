//! Configuration changes: in force at all members, applied once, and never lost.

mod cluster;

use std::cell::Cell;

use base::clock::{self, Millis};
use cluster::{Cluster, apply, fast_lease};
use member::{
    membership::{Membership, Renewal},
    rows::{MEMBERS_KEY, MemberList, MemberRole, member_key},
};
use sched::cfg::Settings;
use standin::faults::Faults;
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg, table::Txn};
use wire::{
    client::Client,
    message::{Effect, Reply, Request},
};

fn placement(percent: u8) -> Vec<String> {
    vec![format!(
        "{{schema: 2, kind: 'placement', spec: {{fragmentation_percent: {percent}}}}}"
    )]
}

async fn cluster(schedulers: usize) -> (Cluster, Client) {
    let mut cluster = Cluster::new(1, 0);
    for _ in 0..schedulers {
        cluster.add_scheduler(fast_lease);
    }
    let client = cluster.configure().await;
    (cluster, client)
}

/// A simulated entry: a membership row and requests for the configuration.
struct Entry {
    id: u64,
    known: Cell<u64>,
}

impl Entry {
    async fn join(cluster: &Cluster, id: u64) -> Self {
        let url = cluster.platform.url();
        let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
        let table = Table::from(table);
        let own = Membership::new(id, "127.0.0.1:1".parse().unwrap(), MemberRole::Entry);
        cluster::eventually("the member is registered", async || {
            let renewed = own.renew(&table, None).await.unwrap();
            (renewed == Renewal::Renewed).then_some(())
        })
        .await;
        let known = Cell::new(0);
        Self { id, known }
    }

    /// Requests the configuration once and puts a newer one in force.
    async fn poll(&self, client: &Client) {
        let request = Request::Current {
            member: self.id,
            known_revision: self.known.get(),
        };
        if let Ok(Reply::Current { revision, .. }) = client.call(&request).await {
            self.known.set(self.known.get().max(revision));
        }
    }
}

/// Waits until the leader has read the membership rows.
async fn wait_for_members(cluster: &Cluster) {
    // The leader reads the rows once a second.
    cluster::pause(1_200).await;
    cluster.leader().await;
}

/// Guards against a change that is answered before every member has the revision in force.
#[ntex::test]
async fn accepted_means_in_force_at_all_members() {
    let (cluster, client) = cluster(1).await;
    let entries = [
        Entry::join(&cluster, 1).await,
        Entry::join(&cluster, 2).await,
    ];
    wait_for_members(&cluster).await;
    let request = apply(2, None, &placement(30));
    let change = client.call(&request);
    let polls = async {
        loop {
            for entry in &entries {
                entry.poll(&client).await;
                cluster::pause(150).await;
            }
        }
    };
    let reply = tokio::select! {
        reply = change => reply.unwrap(),
        () = polls => unreachable!(),
    };
    assert_eq!(reply, Reply::Applied { revision: 2 });
    assert!(entries.iter().all(|e| e.known.get() == 2));
}

/// Guards against a change that is answered before the serving lease of a silent member lapses, and
/// against one that waits for a member which has exited.
#[ntex::test]
async fn a_silent_member_delays_acceptance_by_its_serving_lease() {
    let (cluster, client) = cluster(1).await;
    let entries = [1, 2, 3].map(|id| Entry::join(&cluster, id));
    let entries = futures_util::future::join_all(entries).await;
    wait_for_members(&cluster).await;
    let start = clock::now();
    let request = apply(2, None, &placement(30));
    let change = client.call(&request);
    let polls = async {
        loop {
            entries[0].poll(&client).await;
            entries[1].poll(&client).await;
            cluster::pause(50).await;
        }
    };
    let reply = tokio::select! {
        reply = change => reply.unwrap(),
        () = polls => unreachable!(),
    };
    let took = clock::now().since(start);
    assert_eq!(reply, Reply::Applied { revision: 2 });
    assert!(took >= Millis(2_000) && took < Millis(3_000), "{took}");
}

/// Guards against a change that is answered while only a minority has the revision in force.
#[ntex::test]
async fn a_minority_is_not_enough() {
    let mut cluster = Cluster::new(1, 0);
    cluster.add_scheduler(|cfg| cfg.config.accept_ms = Millis(3_000));
    let client = cluster.configure().await;
    let entries = [1, 2, 3].map(|id| Entry::join(&cluster, id));
    let entries = futures_util::future::join_all(entries).await;
    wait_for_members(&cluster).await;
    let request = apply(2, None, &placement(30));
    let (reply, ()) = tokio::join!(client.call(&request), entries[0].poll(&client));
    let Ok(Reply::Failed { code, done, .. }) = reply else {
        panic!("{reply:?}")
    };
    assert_eq!((code.as_str(), done), ("outcome_unknown", Effect::Maybe));
}

/// Guards against a change that is answered without waiting for members that the leader can't read.
#[ntex::test]
async fn a_change_is_not_accepted_without_a_readable_member_list() {
    let mut cluster = Cluster::new(1, 0);
    cluster.add_scheduler(|cfg| {
        fast_lease(cfg);
        cfg.config.accept_ms = Millis(2_000);
    });
    let client = cluster.configure().await;
    let url = cluster.platform.url();
    let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
    let later = r#"{"members":[{"id":1,"address":"127.0.0.1:1","role":"of a later version"}]}"#;
    let txn = store::table::Txn::default().put(MEMBERS_KEY, later.into());
    table.commit(&txn).await.unwrap();
    let reply = client.call(&apply(2, None, &placement(30))).await.unwrap();
    assert!(matches!(reply, Reply::Failed { .. }), "{reply:?}");
}

/// Guards against a partitioned entry that finds a majority without a newer revision. Standby
/// schedulers count as members and know the revision; one that has not read it yet gives no answer.
#[ntex::test]
async fn standby_schedulers_know_the_revision() {
    let (mut cluster, client) = cluster(3).await;
    wait_for_members(&cluster).await;
    let reply = client.call(&apply(2, None, &placement(30))).await.unwrap();
    assert_eq!(reply, Reply::Applied { revision: 2 });
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    cluster.add_scheduler(|_| {});
    let list = MemberList::read(cluster.platform.row(MEMBERS_KEY).as_ref()).unwrap();
    let id = |addr| {
        list.members
            .iter()
            .find(|m| m.address == addr)
            .map_or(0, |m| m.id)
    };
    let mut known = Vec::new();
    for sched in &cluster.schedulers {
        let member = id(sched.addr());
        let request = Request::QuorumRead {
            member,
            known_revision: 1,
        };
        match Client::new(sched.addr()).call(&request).await.unwrap() {
            Reply::QuorumRead { revision, .. } => known.push(revision),
            Reply::Failed { code, .. } => assert_eq!(code, "no_revision"),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(known, [2, 2, 2]);
}

/// Guards against a change that silently overwrites a concurrent one.
#[ntex::test]
async fn one_of_two_concurrent_changes_is_refused() {
    let (_site, client) = cluster(1).await;
    let requests = [2, 3].map(|id| apply(id, Some(1), &placement(id as u8)));
    let (a, b) = tokio::join!(client.call(&requests[0]), client.call(&requests[1]));
    let replies = [a.unwrap(), b.unwrap()];
    let applied = |r: &&Reply| **r == Reply::Applied { revision: 2 };
    let refused = |r: &&Reply| matches!(r, Reply::Failed { code, done: Effect::None, .. } if code == "revision_conflict");
    assert_eq!(replies.iter().filter(applied).count(), 1, "{replies:?}");
    assert_eq!(replies.iter().filter(refused).count(), 1, "{replies:?}");
}

/// Guards against a repeated change that is applied twice, also by the next leader, or that reverts
/// a later change.
#[ntex::test]
async fn a_repeated_change_gets_the_same_answer() {
    // Three schedulers, because the killed one counts as a member until its row is removed, and two
    // of three are a majority.
    let (mut cluster, client) = cluster(3).await;
    let first = apply(2, None, &placement(30));
    let same = apply(4, None, &placement(40));
    for request in [
        &first,
        &first,
        &apply(3, None, &placement(40)),
        &same,
        &first,
    ] {
        client.call(request).await.unwrap();
    }
    let reply = client.call(&first).await.unwrap();
    assert_eq!(reply, Reply::Applied { revision: 2 });
    let leader = cluster.leader().await;
    cluster.schedulers[leader].kill();
    let client = cluster.client().await;
    let replies = [
        client.call(&first).await.unwrap(),
        client.call(&same).await.unwrap(),
    ];
    assert_eq!(replies[0], Reply::Applied { revision: 2 });
    assert_eq!(replies[1], Reply::Applied { revision: 4 });
    assert_eq!(cluster.platform.rows("audit/").len(), 4);
    let row = cluster.platform.row("placement").unwrap();
    assert!(row.value.contains("40"), "{}", row.value);
}

/// Guards against a change that is made twice, because a stale read hides it from the new leader.
#[ntex::test]
async fn a_repeated_change_is_known_after_a_takeover_with_stale_reads() {
    let (mut cluster, client) = cluster(3).await;
    cluster.platform.set_faults(Faults {
        read_lag_ms: Millis(4_000),
        read_lag_prefix: "audit/".into(),
        ..Faults::default()
    });
    let change = apply(7, None, &placement(40));
    let reply = client.call(&change).await.unwrap();
    assert_eq!(reply, Reply::Applied { revision: 2 });
    let leader = cluster.leader().await;
    cluster.schedulers[leader].kill();
    let reply = cluster.client().await.call(&change).await.unwrap();
    assert_eq!(reply, Reply::Applied { revision: 2 });
}

/// Guards against a change that is lost or applied twice when an answer from the table is lost.
#[ntex::test]
async fn lost_answers_from_the_table_are_resolved() {
    let (cluster, client) = cluster(1).await;
    cluster.platform.set_faults(Faults {
        lost_answers: 0.5,
        read_lag_ms: Millis(150),
        ..Faults::default()
    });
    for id in 2..8 {
        let request = apply(id, None, &placement(id as u8));
        let reply = client.call(&request).await.unwrap();
        assert_eq!(reply, Reply::Applied { revision: id });
    }
    assert_eq!(cluster.platform.rows("audit/").len(), 7);
}

/// Guards against a refused change of which some records are applied, and against an unclear error.
#[ntex::test]
async fn a_bad_record_changes_nothing() {
    let (cluster, client) = cluster(1).await;
    let mut records = placement(30);
    records.push("{version: 1, type: 'group', tenant: 'nobody', group: 'g', max_gpus: 8}".into());
    let reply = client.call(&apply(2, None, &records)).await.unwrap();
    let Reply::Failed {
        code,
        message,
        done,
    } = reply
    else {
        panic!("{reply:?}")
    };
    assert_eq!((code.as_str(), done), ("bad_record", Effect::None));
    assert!(message.contains("nobody"), "{message}");
    assert_eq!(cluster.platform.rows("audit/").len(), 1);
}

/// Guards against accepted guarantees that can't be met after the loss of a worker.
#[ntex::test]
async fn impossible_guarantees_are_refused() {
    let (cluster, client) = cluster(1).await;
    let shape = "shape: {members: 1, accelerators: 8, cores: 1, memory_mb: 1}";
    let record = format!(
        "{{schema: 2, kind: 'organisation', spec: {{name: 'org', guarantees: [{{gangs: 1, {shape}}}]}}}}"
    );
    let reply = client.call(&apply(2, None, &[record])).await.unwrap();
    let Reply::Failed { code, done, .. } = reply else {
        panic!("{reply:?}")
    };
    assert_eq!(
        (code.as_str(), done),
        ("impossible_guarantee", Effect::None)
    );
    assert_eq!(cluster.platform.rows("audit/").len(), 1);
}

/// Shortens the time after which a member is removed.
fn short_membership(cfg: &mut Settings) {
    cfg.members.remove_ms = Millis(1_500);
    cfg.members.renew_ms = Millis(300);
    cfg.members.list_ms = Millis(100);
}

/// Guards against dead members that stay because the row of another member can't be read.
#[ntex::test]
async fn an_unreadable_member_row_does_not_keep_dead_members() {
    let mut cluster = Cluster::new(1, 0);
    cluster.add_scheduler(short_membership);
    cluster.leader().await;
    let url = cluster.platform.url();
    let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
    let unreadable = Txn::default().put(member_key(0), "{}".into());
    table.commit(&unreadable).await.unwrap();
    Entry::join(&cluster, 7).await;
    cluster::eventually("the dead member is removed", async || {
        cluster.platform.row(&member_key(7)).is_none().then_some(())
    })
    .await;
    assert!(cluster.platform.row(&member_key(0)).is_some());
}

/// Guards against members that stay in the list after their process has exited.
#[ntex::test]
async fn rows_that_are_not_renewed_are_removed() {
    let mut cluster = Cluster::new(1, 0);
    cluster.add_scheduler(short_membership);
    cluster.leader().await;
    Entry::join(&cluster, 7).await;
    cluster::eventually("the row is removed", async || {
        cluster.platform.row(&member_key(7)).is_none().then_some(())
    })
    .await;
    assert_eq!(cluster.platform.rows("member/").len(), 1);
    // Members can't renew while the table is down, so they are not removed for it.
    Entry::join(&cluster, 8).await;
    cluster::pause(500).await;
    cluster.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    cluster::pause(2_500).await;
    cluster.platform.set_faults(Faults::default());
    cluster::pause(700).await;
    assert!(cluster.platform.row(&member_key(8)).is_some());
}

/// Guards against claims that stay in progress for ever after their entry has exited.
#[ntex::test]
async fn claims_without_an_owner_become_unknown() {
    use claim::{fingerprint, record};
    let (cluster, _) = cluster(1).await;
    Entry::join(&cluster, 7).await;
    wait_for_members(&cluster).await;
    let url = cluster.platform.url();
    let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
    for (owner, key) in [(7, "alive"), (9, "gone")] {
        let row = record::Record {
            fingerprint: fingerprint::of(&cluster::name("a"), &cluster::name("b"), b""),
            owner,
            nonce: 1,
            written_ms: clock::wall(),
            state: record::State::InProgress,
        };
        let value = serde_json::to_string(&row).unwrap();
        let txn = Txn::default().put(record::claim_key(&cluster::name("org"), key), value);
        table.commit(&txn).await.unwrap();
    }
    let value = |key| {
        let key = record::claim_key(&cluster::name("org"), key);
        cluster.platform.row(&key).unwrap().value
    };
    let before = value("alive");
    cluster::eventually("the claim is unknown", async || {
        value("gone").contains("unknown").then_some(())
    })
    .await;
    assert_eq!(value("alive"), before);
}
