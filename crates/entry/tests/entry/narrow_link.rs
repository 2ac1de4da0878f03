//! Entries whose link to the platform is narrow.

use std::time::{Duration, Instant};

use serde_json::json;
use store::vm::Vm;

use crate::setup;

/// Rate of a link of 2 Mbit/s, in bytes a second.
const NARROW: u32 = 250_000;
/// Number of organisations or servers whose list takes longer on it than the platform may take to
/// answer.
const MANY: usize = 3_000;
/// Twice the time that the configuration takes on the link alone.
const LONG_READ: Duration = Duration::from_secs(8);

fn long_name(i: usize) -> String {
    format!("o{i:0>50}")
}

/// Guards against a configuration that is never read on a narrow link, because all of its rows together
/// have the time of one answer.
#[test]
fn a_long_configuration_is_read() {
    let system = setup::system()
        .set("platform_timeout_ms", json!(1_000))
        .on_link()
        .start();
    system.link.set_rate(NARROW);
    let names: Vec<String> = (0..MANY).map(long_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    setup::put_config(system.platform.addr(), 2, &names);
    let stored = Instant::now();
    setup::eventually("the new revision is in force", || {
        system.dump()["config_revision"] == json!(2)
    });
    let took = stored.elapsed();
    assert!(took < LONG_READ, "{took:?}");
    assert_eq!(system.call_repeatable().status, 200);
}

/// Guards against a list of servers that is never read on a narrow link.
#[test]
fn a_long_vm_list_is_read() {
    let system = setup::system()
        .set("platform_timeout_ms", json!(1_000))
        .on_link()
        .start();
    system.link.set_rate(NARROW);
    let last = Vm {
        name: "last".parse().unwrap(),
        ..system.vms[0].clone()
    };
    let others = (0..MANY).map(|i| Vm {
        name: long_name(i).parse().unwrap(),
        ..last.clone()
    });
    let vms: Vec<Vm> = others.chain([last.clone()]).collect();
    system.platform.set_vms(vms);
    setup::eventually("the last server is known", || {
        system.dump().to_string().contains("\"last\"")
    });
}
