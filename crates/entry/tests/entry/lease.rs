//! Serving lease of the configuration.

use serde_json::json;
use standin::faults::Faults;
use wire::message::Reply;

use crate::setup::{self, Scheduler};

fn outage() -> Faults {
    Faults {
        outage: true,
        ..Faults::default()
    }
}

/// Writes the row of another member that answers `reply` to everything.
fn add_member(system: &setup::System, id: u64, reply: Reply) -> Scheduler {
    let member = Scheduler::start(vec![reply]);
    let row = json!({ "id": id, "address": member.addr, "role": "entry", "renewed": 1 });
    let key = format!("member/{id:016x}");
    setup::put_rows(system.platform.addr(), &[(key, row)]);
    member
}

fn vouch(revision: u64, table_reached: bool) -> Reply {
    Reply::Vouch {
        revision,
        table_reached,
    }
}

fn start(replies: &[Reply]) -> (setup::System, Vec<Scheduler>) {
    let system = setup::system()
        .set("member_renewal_ms", json!(50))
        .set("config_lease_ms", json!(500))
        .start();
    let numbered = (1..).zip(replies.iter().cloned());
    let members = numbered.map(|(i, r)| add_member(&system, i, r)).collect();
    let known = || system.dump()["members"] == json!(replies.len() + 1);
    setup::eventually("the members are known", known);
    (system, members)
}

/// Guards against a cut-off minority that serves an old configuration.
#[test]
fn an_entry_without_a_vouching_majority_stops_serving() {
    let cases = [
        ("a higher revision", vec![vouch(2, false), vouch(1, false)]),
        (
            "a member that reaches the table",
            vec![vouch(1, true), vouch(1, false)],
        ),
        ("silent members", vec![Reply::Pong, Reply::Pong]),
    ];
    for (name, replies) in cases {
        let (system, _members) = start(&replies);
        system.platform.set_faults(outage());
        setup::eventually(name, || system.get(0, "/ready").status == 503);
        let got = system.score();
        assert_eq!(
            got.refusal(),
            ("config_unconfirmed".into(), "not_run".into()),
            "{name}"
        );
        system.platform.set_faults(Faults::default());
        setup::eventually("the entry serves again", || system.score().status == 200);
    }
}

/// Guards against an outage of the table service that ends live work although a majority vouches.
#[test]
fn a_vouching_majority_keeps_serving_while_the_table_is_down() {
    let (system, members) = start(&[vouch(1, false), vouch(0, false), Reply::Pong, Reply::Pong]);
    system.platform.set_faults(outage());
    let asked = || members[0].asked.lock().unwrap().len();
    // The lease of 500 ms lapses several times in the time of these questions.
    let end = std::time::Instant::now() + std::time::Duration::from_secs(2);
    while std::time::Instant::now() < end {
        assert_eq!(system.score().status, 200);
        assert_eq!(system.get(0, "/ready").status, 200);
    }
    assert!(asked() > 3);
}
