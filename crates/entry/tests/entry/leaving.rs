//! Leaving servers and the VM list.

use std::{thread, time::Duration};

use base::clock::{self, Millis};
use serde_json::json;
use store::vm::VmState;

use crate::setup;

fn leave(system: &setup::System, index: usize) {
    let mut vms = system.vms.clone();
    vms[index].state = VmState::Leaving;
    system.platform.set_vms(vms);
}

fn runs_at(system: &setup::System, index: usize) -> usize {
    system.backends.server(index).history().len()
}

/// Guards against new work for a leaving server beyond the lag of the list plus 1 s.
#[test]
fn a_leaving_server_gets_no_new_work_within_three_seconds() {
    let lag = Millis(2_000);
    let system = setup::system()
        .servers(2)
        .set("vm_poll_ms", json!(500))
        .start();
    system
        .platform
        .set_faults(setup::table_faults(|f| f.vm_lag_ms = lag));
    for _ in 0..20 {
        assert_eq!(system.score().status, 200);
    }
    assert!(runs_at(&system, 1) > 0, "the server never got work");
    leave(&system, 1);
    let left = clock::now();
    while clock::now().since(left) < Millis(4_000) {
        assert_eq!(system.score().status, 200);
        thread::sleep(Duration::from_millis(2));
    }
    let last = system
        .backends
        .server(1)
        .history()
        .last()
        .unwrap()
        .started_at;
    assert!(
        last.since(left) < Millis(3_000),
        "work after {}",
        last.since(left)
    );
}

/// Guards against work for a server that marks itself while the list is down, and against an
/// entry that stops serving without the list.
#[test]
fn a_servers_own_mark_counts_while_the_list_is_down() {
    let system = setup::system().servers(2).start();
    system
        .platform
        .set_faults(setup::table_faults(|f| f.vm_outage = true));
    let leaving = setup::server_faults(|f| f.leaving = true);
    system.backends.server(0).set_faults(leaving);
    setup::eventually("the mark was seen", || {
        assert_eq!(system.score().status, 200);
        system.dump()["servers"][0]["leaving"] == json!(true)
    });
    let before = runs_at(&system, 0);
    for _ in 0..30 {
        assert_eq!(system.score().status, 200);
    }
    assert_eq!(runs_at(&system, 0), before);
}

/// Guards against a mark that the lagging list, which still shows the server as live, erases.
#[test]
fn a_servers_own_mark_outlives_reads_of_the_list() {
    let system = setup::system().servers(2).start();
    let leaving = setup::server_faults(|f| f.leaving = true);
    system.backends.server(0).set_faults(leaving);
    setup::eventually("the mark was seen", || {
        system.score();
        system.dump()["servers"][0]["leaving"] == json!(true)
    });
    let reads = || system.platform.stats().vm_reads;
    let before = reads();
    setup::eventually("the list was read again", || reads() > before + 3);
    let runs = runs_at(&system, 0);
    for _ in 0..30 {
        assert_eq!(system.score().status, 200);
    }
    assert_eq!(runs_at(&system, 0), runs);
}

/// Guards against a dispatch by an old list, as after a freeze of the process: the poll is so slow
/// here that only the check before the dispatch can read the list.
#[test]
fn an_old_list_is_read_again_before_a_dispatch() {
    let system = setup::system()
        .servers(2)
        .set("vm_poll_ms", json!(60_000))
        .set("vm_max_age_ms", json!(100))
        .start();
    leave(&system, 0);
    let age = || system.dump()["vm_list_age_ms"].as_u64().unwrap();
    setup::eventually("the list is old", || age() > 100);
    let before = runs_at(&system, 0);
    for _ in 0..20 {
        assert_eq!(system.score().status, 200);
    }
    assert_eq!(runs_at(&system, 0), before);
}

/// Guards against a queue in front of a service without servers.
#[test]
fn a_service_without_servers_is_refused_at_once() {
    let system = setup::system().start();
    leave(&system, 0);
    setup::eventually("the server is known to leave", || {
        system.score().refusal() == ("no_server".into(), "not_run".into())
    });
}
