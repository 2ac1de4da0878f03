//! Servers that are leaving, and a VM list that is outdated or unavailable.

use std::{thread, time::Duration};

use base::clock::{self, Millis};
use serde_json::json;
use store::vm::VmState;

use crate::setup;

fn set_leaving_in_vm_list(system: &setup::System, index: usize) {
    let mut vms = system.vms.clone();
    vms[index].state = VmState::Leaving;
    system.platform.set_vms(vms);
}

fn request_count(system: &setup::System, index: usize) -> usize {
    system.backends.server(index).history().len()
}

/// A leaving server must get no new requests once the lag of the VM list (2 s) plus 1 s has passed.
#[test]
fn a_leaving_server_gets_no_new_requests_after_three_seconds() {
    let lag = Millis(2_000);
    let system = setup::system()
        .servers(2)
        .set("vm_poll_ms", json!(500))
        .start();
    system
        .platform
        .set_faults(setup::platform_faults(|f| f.vm_lag_ms = lag));
    for _ in 0..20 {
        assert_eq!(system.call_repeatable().status, 200);
    }
    assert!(
        request_count(&system, 1) > 0,
        "the server never got a request"
    );
    set_leaving_in_vm_list(&system, 1);
    let left_at = clock::now();
    while clock::now().since(left_at) < Millis(4_000) {
        assert_eq!(system.call_repeatable().status, 200);
        thread::sleep(Duration::from_millis(2));
    }
    let last_request_at = system
        .backends
        .server(1)
        .history()
        .last()
        .unwrap()
        .started_at;
    assert!(
        last_request_at.since(left_at) < Millis(3_000),
        "last request {} after the server was marked as leaving",
        last_request_at.since(left_at)
    );
}

/// Guards against new requests to a server that marks itself as leaving while the VM list is
/// unavailable, and against an entry that stops serving without the list.
#[test]
fn a_server_can_mark_itself_as_leaving_while_the_vm_list_is_unavailable() {
    let system = setup::system().servers(2).start();
    system
        .platform
        .set_faults(setup::platform_faults(|f| f.vm_outage = true));
    let leaving = setup::server_faults(|f| f.leaving = true);
    system.backends.server(0).set_faults(leaving);
    setup::eventually("the entry has recorded the server as leaving", || {
        assert_eq!(system.call_repeatable().status, 200);
        system.dump()["servers"][0]["leaving"] == json!(true)
    });
    let before = request_count(&system, 0);
    for _ in 0..30 {
        assert_eq!(system.call_repeatable().status, 200);
    }
    assert_eq!(request_count(&system, 0), before);
}

/// Guards against a leaving mark that is lost when the lagging VM list still shows the server as
/// live.
#[test]
fn a_leaving_mark_persists_across_reads_of_the_vm_list() {
    let system = setup::system().servers(2).start();
    let leaving = setup::server_faults(|f| f.leaving = true);
    system.backends.server(0).set_faults(leaving);
    setup::eventually("the entry has recorded the server as leaving", || {
        system.call_repeatable();
        system.dump()["servers"][0]["leaving"] == json!(true)
    });
    let reads = || system.platform.stats().vm_reads;
    let before = reads();
    setup::eventually("the list was read again", || reads() > before + 3);
    let requests = request_count(&system, 0);
    for _ in 0..30 {
        assert_eq!(system.call_repeatable().status, 200);
    }
    assert_eq!(request_count(&system, 0), requests);
}

/// Guards against a dispatch with an outdated VM list, for example after the process was suspended.
///
/// The poll interval is so long that only the check before a dispatch can read the list.
#[test]
fn an_outdated_vm_list_is_read_again_before_a_dispatch() {
    let system = setup::system()
        .servers(2)
        .set("vm_poll_ms", json!(60_000))
        .set("vm_max_age_ms", json!(100))
        .start();
    set_leaving_in_vm_list(&system, 0);
    let age = || system.dump()["vm_list_age_ms"].as_u64().unwrap();
    setup::eventually("the list is outdated", || age() > 100);
    let before = request_count(&system, 0);
    for _ in 0..20 {
        assert_eq!(system.call_repeatable().status, 200);
    }
    assert_eq!(request_count(&system, 0), before);
}

/// Guards against requests that are queued for a service without servers.
#[test]
fn a_service_without_servers_refuses_requests() {
    let system = setup::system().start();
    set_leaving_in_vm_list(&system, 0);
    setup::eventually("the entry refuses the request", || {
        system.call_repeatable().refusal() == ("no_server".into(), "not_run".into())
    });
}
