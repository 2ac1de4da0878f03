//! Confirmation of the configuration: serving lease and quorum reads.

use base::clock::Millis;
use serde_json::{Value, json};
use standin::faults::Faults;
use wire::message::{Reply, Request};

use crate::setup::{self, Scheduler};

fn outage() -> Faults {
    setup::platform_faults(|f| f.outage = true)
}

/// Adds other members to the member list, each of which answers every request with its reply.
fn add_members(system: &setup::System, replies: &[Reply]) -> Vec<Scheduler> {
    let members: Vec<Scheduler> = replies
        .iter()
        .map(|reply| Scheduler::start(vec![reply.clone()]))
        .collect();
    let numbered = (1..).zip(&members);
    let rows: Vec<Value> = numbered
        .map(|(i, m)| json!({ "id": i, "address": m.addr, "role": "entry" }))
        .collect();
    let list = json!({ "members": rows });
    setup::put_rows(system.platform.addr(), &[("members".into(), list)]);
    members
}

fn quorum_read(revision: u64, table_reached: bool) -> Reply {
    Reply::QuorumRead {
        revision,
        table_reached,
    }
}

fn start(replies: &[Reply]) -> (setup::System, Vec<Scheduler>) {
    let system = setup::system()
        .set("member_poll_ms", json!(50))
        .set("config_lease_ms", json!(500))
        .start();
    let members = add_members(&system, replies);
    let known = || system.dump()["members"] == json!(replies.len() + 1);
    setup::eventually("the members are known", known);
    (system, members)
}

/// Guards against a partitioned minority that serves an old configuration.
#[test]
fn an_entry_without_a_quorum_stops_serving() {
    let cases = [
        (
            "a higher revision",
            vec![quorum_read(2, false), quorum_read(1, false)],
        ),
        (
            "a member that reaches the table service",
            vec![quorum_read(1, true), quorum_read(1, false)],
        ),
        ("silent members", vec![Reply::Pong, Reply::Pong]),
    ];
    for (name, replies) in cases {
        let (system, _members) = start(&replies);
        system.platform.set_faults(outage());
        setup::eventually(name, || system.get(0, "/ready").status == 503);
        let got = system.call_repeatable();
        assert_eq!(
            got.refusal(),
            ("config_unconfirmed".into(), "not_run".into()),
            "{name}"
        );
        system.platform.set_faults(Faults::default());
        setup::eventually("the entry serves again", || {
            system.call_repeatable().status == 200
        });
    }
}

/// Guards against an entry that confirms an old configuration alone because it can't read the list
/// of members.
#[test]
fn an_entry_without_a_readable_member_list_is_no_quorum() {
    let system = setup::system()
        .set("member_poll_ms", json!(50))
        .set("config_lease_ms", json!(500))
        .start();
    let unknown = json!({ "id": 1, "address": "127.0.0.1:1", "role": "of a later version" });
    let rows = [("members".into(), json!({ "members": [unknown] }))];
    setup::put_rows(system.platform.addr(), &rows);
    std::thread::sleep(std::time::Duration::from_millis(300));
    system.platform.set_faults(outage());
    setup::eventually("the entry stops serving", || {
        system.get(0, "/ready").status == 503
    });
}

/// Guards against an outage of the table service that stops entries although a majority agrees on
/// the revision.
#[test]
fn a_quorum_keeps_serving_during_a_table_outage() {
    let (system, members) = start(&[
        quorum_read(1, false),
        quorum_read(0, false),
        Reply::Pong,
        Reply::Pong,
    ]);
    system.platform.set_faults(outage());
    let quorum_reads = || members[0].requests.lock().unwrap().len();
    // The lease of 500 ms expires several times during these requests.
    let end = std::time::Instant::now() + std::time::Duration::from_secs(2);
    while std::time::Instant::now() < end {
        assert_eq!(system.call_repeatable().status, 200);
        assert_eq!(system.get(0, "/ready").status, 200);
    }
    assert!(quorum_reads() > 3);
}

/// Guards against a newly started entry that serves the old revision of a stale read.
#[test]
fn a_new_entry_does_not_serve_the_revision_of_a_stale_read() {
    let system = setup::system().start();
    let lag = setup::platform_faults(|f| f.read_lag_ms = Millis(1_500));
    system.platform.set_faults(lag);
    setup::put_config(system.platform.addr(), 2, &["new-org"]);
    let addr = system.platform.addr();
    let cfg = json!({ "table": addr, "vm_list": addr, "config_poll_ms": 50 });
    let cfg = entry::entry_cfg::EntryCfg::from_value(cfg).unwrap();
    let second = entry::start(cfg).unwrap();
    let get = |path: &str| setup::send(second.addr(), "GET", path, &[], b"");
    let mut saw_old = false;
    setup::eventually("the new entry is ready", || {
        let is_ready = get("/ready").status == 200;
        let revision = get("/dump").json()["config_revision"].clone();
        saw_old |= revision == 1;
        assert!(!is_ready || revision == 2, "ready with revision {revision}");
        is_ready
    });
    assert!(saw_old, "the read was not stale");
}

/// Guards against a process that votes for its predecessor at the same address, although it does
/// not know which revision the predecessor acknowledged.
#[test]
fn a_quorum_read_for_another_member_gets_no_vote() {
    let system = setup::system().start();
    let row = system.platform.row("members").unwrap();
    let list: Value = serde_json::from_str(&row.value).unwrap();
    let me = &list["members"][0];
    let addr = me["address"].as_str().unwrap().parse().unwrap();
    let id = me["id"].as_u64().unwrap();
    let ask = |member| {
        let runtime = ntex::rt::System::new("client", ntex::rt::DefaultRuntime);
        runtime.block_on(async move {
            let req = Request::QuorumRead {
                member,
                known_revision: 1,
            };
            wire::client::Client::new(addr).call(&req).await.unwrap()
        })
    };
    assert!(matches!(ask(id), Reply::QuorumRead { revision: 1, .. }));
    let other = ask(id ^ 1);
    assert!(
        matches!(&other, Reply::Failed { code, .. } if code == "abstains"),
        "{other:?}"
    );
}

/// Guards against a second run: an entry that claims keys although its member row is not renewed,
/// is taken for dead after 10 s, and its claims may then be settled and used again.
#[test]
fn an_entry_that_does_not_renew_its_member_row_sends_no_claimed_request() {
    let (system, _members) = start(&[quorum_read(1, false), quorum_read(1, false)]);
    assert_eq!(system.pay("before").status, 200);
    // The quorum confirms the configuration, and the table still takes claims.
    setup::put_rows(
        system.platform.addr(),
        &[("rev".into(), json!("unreadable"))],
    );
    std::thread::sleep(std::time::Duration::from_millis(9_500));
    assert_eq!(system.call_repeatable().status, 200);
    let got = system.pay("late");
    assert_eq!(got.refusal().1, "not_run", "{got:?}");
    assert_eq!(system.runs_of("late"), 0);
}
