//! Changes of the configuration: in force everywhere, once, and never lost.

mod site;

use std::cell::Cell;

use base::clock::{self, Millis};
use member::{
    membership::{Membership, Renewal},
    rows::{MEMBERS_KEY, MemberList, MemberRole, member_key},
};
use site::{Site, apply, fast_lease};
use standin::faults::Faults;
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg};
use wire::{
    client::Client,
    message::{Effect, Reply, Request},
};

fn placement(percent: u8) -> Vec<String> {
    vec![format!(
        "{{schema: 2, kind: 'placement', spec: {{fragmentation_percent: {percent}}}}}"
    )]
}

async fn site(scheds: usize) -> (Site, Client) {
    let mut site = Site::new(1, 0);
    for _ in 0..scheds {
        site.add_sched(fast_lease);
    }
    let client = site.configure().await;
    (site, client)
}

/// An entry as the leader sees it: a membership row and questions for the revision.
struct Entry {
    id: u64,
    known: Cell<u64>,
}

impl Entry {
    async fn join(site: &Site, id: u64) -> Self {
        let url = site.platform.url();
        let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
        let table = Table::from(table);
        let own = Membership::new(id, "127.0.0.1:1".parse().unwrap(), MemberRole::Entry);
        site::eventually("the member is registered", async || {
            let renewed = own.renew(&table, None).await.unwrap();
            (renewed == Renewal::Renewed).then_some(())
        })
        .await;
        let known = Cell::new(0);
        Self { id, known }
    }

    /// Asks once and puts a newer configuration in force.
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

async fn read_members(site: &Site) {
    // The leader reads the rows once a second.
    site::pause(1_200).await;
    site.leader().await;
}

/// Guards against "accepted" before every member has the revision in force.
#[ntex::test]
async fn accepted_means_in_force_at_all_members() {
    let (site, client) = site(1).await;
    let entries = [Entry::join(&site, 1).await, Entry::join(&site, 2).await];
    read_members(&site).await;
    let request = apply(2, None, &placement(30));
    let change = client.call(&request);
    let polls = async {
        loop {
            for entry in &entries {
                entry.poll(&client).await;
                site::pause(150).await;
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

/// Guards against "accepted" that does not wait for the serving lease of a silent member, and
/// against one that needs a member which is gone.
#[ntex::test]
async fn a_silent_member_delays_acceptance_by_its_serving_lease() {
    let (site, client) = site(1).await;
    let entries = [1, 2, 3].map(|id| Entry::join(&site, id));
    let entries = futures_util::future::join_all(entries).await;
    read_members(&site).await;
    let start = clock::now();
    let request = apply(2, None, &placement(30));
    let change = client.call(&request);
    let polls = async {
        loop {
            entries[0].poll(&client).await;
            entries[1].poll(&client).await;
            site::pause(50).await;
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

/// Guards against "accepted" while only a minority has the revision in force.
#[ntex::test]
async fn a_minority_is_not_enough() {
    let mut site = Site::new(1, 0);
    site.add_sched(|cfg| cfg.config.accept_ms = Millis(3_000));
    let client = site.configure().await;
    let entries = [1, 2, 3].map(|id| Entry::join(&site, id));
    let entries = futures_util::future::join_all(entries).await;
    read_members(&site).await;
    let request = apply(2, None, &placement(30));
    let (reply, ()) = tokio::join!(client.call(&request), entries[0].poll(&client));
    let Ok(Reply::Failed { code, done, .. }) = reply else {
        panic!("{reply:?}")
    };
    assert_eq!((code.as_str(), done), ("outcome_unknown", Effect::Maybe));
}

/// Guards against a cut-off entry that finds a majority which does not know a newer revision: the
/// schedulers that stand by count as members and know it, and one without knowledge abstains.
#[ntex::test]
async fn schedulers_that_stand_by_know_the_revision() {
    let (mut site, client) = site(3).await;
    read_members(&site).await;
    let reply = client.call(&apply(2, None, &placement(30))).await.unwrap();
    assert_eq!(reply, Reply::Applied { revision: 2 });
    site.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    site.add_sched(|_| {});
    let list = MemberList::read(site.platform.row(MEMBERS_KEY).as_ref());
    let id = |addr| {
        list.members
            .iter()
            .find(|m| m.address == addr)
            .map_or(0, |m| m.id)
    };
    let mut known = Vec::new();
    for sched in &site.scheds {
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

/// Guards against two operators of whom one overwrites the other without notice.
#[ntex::test]
async fn one_of_two_racing_operators_is_told() {
    let (_site, client) = site(1).await;
    let requests = [2, 3].map(|id| apply(id, Some(1), &placement(id as u8)));
    let (a, b) = tokio::join!(client.call(&requests[0]), client.call(&requests[1]));
    let replies = [a.unwrap(), b.unwrap()];
    let won = |r: &&Reply| **r == Reply::Applied { revision: 2 };
    let told = |r: &&Reply| matches!(r, Reply::Failed { code, done: Effect::None, .. } if code == "revision_conflict");
    assert_eq!(replies.iter().filter(won).count(), 1, "{replies:?}");
    assert_eq!(replies.iter().filter(told).count(), 1, "{replies:?}");
}

/// Guards against a repeated change that is applied twice, also by the next leader, and against
/// one that reverts a later change.
#[ntex::test]
async fn a_repeated_change_gets_the_same_answer() {
    // Two of three members are a majority until the row of the killed one is removed.
    let (mut site, client) = site(3).await;
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
    let leader = site.leader().await;
    site.scheds[leader].kill();
    let client = site.client().await;
    let replies = [
        client.call(&first).await.unwrap(),
        client.call(&same).await.unwrap(),
    ];
    assert_eq!(replies[0], Reply::Applied { revision: 2 });
    assert_eq!(replies[1], Reply::Applied { revision: 4 });
    assert_eq!(site.platform.rows("audit/").len(), 4);
    let row = site.platform.row("placement").unwrap();
    assert!(row.value.contains("40"), "{}", row.value);
}

/// Guards against a change that is lost, or applied twice, when the answer of the table is lost.
#[ntex::test]
async fn lost_answers_of_the_table_are_settled() {
    let (site, client) = site(1).await;
    site.platform.set_faults(Faults {
        lost_answers: 0.5,
        read_lag_ms: Millis(150),
        ..Faults::default()
    });
    for id in 2..8 {
        let request = apply(id, None, &placement(id as u8));
        let reply = client.call(&request).await.unwrap();
        assert_eq!(reply, Reply::Applied { revision: id });
    }
    assert_eq!(site.platform.rows("audit/").len(), 7);
}

/// Guards against records that change the configuration in part, or that are refused unclearly.
#[ntex::test]
async fn a_bad_record_changes_nothing() {
    let (site, client) = site(1).await;
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
    assert_eq!(site.platform.rows("audit/").len(), 1);
}

/// Guards against guarantees that are accepted although they can't hold when a worker is lost.
#[ntex::test]
async fn impossible_guarantees_are_refused() {
    let (site, client) = site(1).await;
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
    assert_eq!(site.platform.rows("audit/").len(), 1);
}

/// Guards against members that stay in the list after their end.
#[ntex::test]
async fn rows_that_are_not_renewed_are_removed() {
    let mut site = Site::new(1, 0);
    site.add_sched(|cfg| {
        cfg.members.remove_ms = Millis(1_500);
        cfg.members.renew_ms = Millis(300);
        cfg.members.list_ms = Millis(100);
    });
    site.leader().await;
    Entry::join(&site, 7).await;
    site::eventually("the row is removed", async || {
        site.platform.row(&member_key(7)).is_none().then_some(())
    })
    .await;
    assert_eq!(site.platform.rows("member/").len(), 1);
    // Nobody renews while the table is down, so nobody is removed for it.
    Entry::join(&site, 8).await;
    site::pause(500).await;
    site.platform.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    site::pause(2_500).await;
    site.platform.set_faults(Faults::default());
    site::pause(700).await;
    assert!(site.platform.row(&member_key(8)).is_some());
}

/// Guards against claims of an entry that is gone and stay in progress for ever.
#[ntex::test]
async fn claims_without_an_owner_become_unknown() {
    use claim::{fingerprint, record};
    let (site, _) = site(1).await;
    Entry::join(&site, 7).await;
    read_members(&site).await;
    let url = site.platform.url();
    let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
    for (owner, key) in [(7, "alive"), (9, "gone")] {
        let row = record::Record {
            fingerprint: fingerprint::of(&site::name("a"), &site::name("b"), b""),
            owner,
            nonce: 1,
            written_ms: clock::wall(),
            state: record::State::InProgress,
        };
        let value = serde_json::to_string(&row).unwrap();
        let txn = store::table::Txn::default().put(record::row_key(&site::name("org"), key), value);
        table.commit(&txn).await.unwrap();
    }
    let value = |key| {
        let key = record::row_key(&site::name("org"), key);
        site.platform.row(&key).unwrap().value
    };
    let before = value("alive");
    site::eventually("the claim is unknown", async || {
        value("gone").contains("unknown").then_some(())
    })
    .await;
    assert_eq!(value("alive"), before);
}
