//! Tests of a node as a real process whose configuration is long for its link.

mod cluster;
mod common;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    thread,
    time::{Duration, Instant},
};

use cluster::{
    API_KEY, Cluster, Peer, TIMEOUT,
    proxy::{Link, Mode, Proxy},
};
use common::{Process, wait_until};
use platform_standin::store::{Fault, Store};
use serde_json::{Value, json};

/// Bandwidth of a link of 2 Mbit/s, in bytes a second.
const NARROW: u64 = 250_000;
/// Bandwidth on which the configuration takes 11 s, longer than keys may be used after their removal.
const VERY_NARROW: u64 = 45_000;
/// Number of routes by which the configuration grows, to 336 KB.
const ROUTES: usize = 1_400;
/// Time after which a changed configuration is in force (`config-apply-ms`).
const APPLY_TIME: Duration = Duration::from_secs(3);
/// Time after which most of the configuration has arrived on the narrow link, and not all.
const MOSTLY_ARRIVED: Duration = Duration::from_millis(1_500);
/// Time after which no call with a removed key is carried out (`revoke-ms`).
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Number of routes of each configuration of a series, to 214 KB, and the number and interval of changes.
const ROUTES_OF_SERIES: usize = 900;
const CHANGES: u64 = 16;
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of outages of the store in a row.
const OUTAGES: u32 = 6;
const NEW_KEY: &str = "key-two";

fn long_config(version: u64, keys: &[&str]) -> Value {
    config_with(ROUTES, version, keys)
}

/// Returns a configuration with many routes of the length that the platform gives them.
fn config_with(count: usize, version: u64, keys: &[&str]) -> Value {
    let mut config = cluster::config(version, keys);
    let routes = config["routes"].as_array_mut().unwrap();
    let last = routes[0].clone();
    for i in 0..count {
        let mut route = last.clone();
        route["name"] = json!(format!("r-{i:07}"));
        route["path-prefix"] = json!(format!("/r-{i:07}/"));
        route["comment"] = json!("x".repeat(60));
        routes.push(route);
    }
    config
}

fn start(test: &str, link: &Link) -> Cluster {
    Cluster::start_on_link(test, 1, 300, link, &[Peer::Store])
}

fn pending(cluster: &Cluster, path: &str, key: &str) -> u16 {
    let answer = cluster.call(0, "GET", path, key, "");
    answer.map_or(0, |a| a.status)
}

/// Returns a metric without labels.
fn metric(cluster: &Cluster, name: &str) -> f64 {
    let addr = cluster.operator_addrs[0];
    let answer = common::http::send(addr, "GET", "/metrics", &[], "").unwrap();
    let text = answer.body.as_str().unwrap_or_default().to_owned();
    assert!(text.contains("# TYPE"), "{text}");
    // A counter has no line before it counts for the first time.
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    line.map_or(0.0, |l| l.trim().parse().unwrap())
}

/// Guards against nodes that refuse all calls for good after a configuration that takes as long as the
/// limit of a read on their link.
#[test]
fn a_long_configuration_is_in_force_in_time_and_no_call_is_refused() {
    let link = Link::new(10 << 20);
    let cluster = start("long-config", &link);
    // Limits that follow the time of answers have settled on short ones.
    thread::sleep(Duration::from_secs(2));
    link.set_bandwidth(NARROW);
    cluster
        .store
        .put("op", "config", &long_config(2, &[API_KEY]));
    let stored = Instant::now();
    let mut in_force = None;
    let mut id = 0;
    while stored.elapsed() < Duration::from_secs(8) {
        id += 1;
        let answer = cluster.submit(0, id, 1, false);
        let status = answer.map_or(0, |a| a.status);
        assert_eq!(status, 200, "submission {id} after {:?}", stored.elapsed());
        if in_force.is_none() && pending(&cluster, "/r-0001399/", API_KEY) == 200 {
            in_force = Some(stored.elapsed());
        }
        thread::sleep(Duration::from_millis(100));
    }
    let took = in_force.expect("the new routes are in force");
    assert!(took < APPLY_TIME, "{took:?}");
    let losses = metric(&cluster, "node_store_losses_total");
    assert!(losses < 1.0, "the store counted as lost {losses} times");
}

/// Guards against a configuration that is given up while it arrives, because a call beside it has
/// failed and the store counts as lost.
#[test]
fn a_call_that_fails_does_not_stop_a_configuration_that_arrives() {
    let link = Link::new(10 << 20);
    let cluster = start("long-beside", &link);
    link.set_bandwidth(NARROW);
    cluster.store.refuse_range_reads("phases");
    cluster
        .store
        .put("op", "config", &long_config(2, &[API_KEY]));
    let stored = Instant::now();
    thread::sleep(MOSTLY_ARRIVED);
    assert_eq!(cluster.state(0, 1), "", "the read is refused");
    wait_until("the new routes are in force", TIMEOUT, || {
        (pending(&cluster, "/r-0001399/", API_KEY) == 200).then_some(())
    });
    let took = stored.elapsed();
    assert!(took > MOSTLY_ARRIVED && took < APPLY_TIME, "{took:?}");
    let losses = metric(&cluster, "node_store_losses_total");
    assert!(losses < 1.0, "the store counted as lost {losses} times");
}

/// Guards against a node that falls behind a series of changes more and more: the changes that were
/// stored while it read one come as one answer, which takes longer.
#[test]
fn a_series_of_long_configurations_is_followed() {
    let link = Link::new(10 << 20);
    let cluster = start("long-series", &link);
    link.set_bandwidth(NARROW);
    for version in 2..2 + CHANGES {
        let config = config_with(ROUTES_OF_SERIES, version, &[API_KEY]);
        cluster.store.put("op", "config", &config);
        let stored = Instant::now();
        while stored.elapsed() < CHANGE_INTERVAL {
            let status = pending(&cluster, "/q/", API_KEY);
            assert_eq!(status, 200, "version {version} is the newest");
            thread::sleep(Duration::from_millis(50));
        }
    }
    let last = config_with(ROUTES_OF_SERIES + 1, 2 + CHANGES, &[API_KEY]);
    cluster.store.put("op", "config", &last);
    let stored = Instant::now();
    let path = format!("/r-{ROUTES_OF_SERIES:07}/");
    wait_until("the last configuration is in force", TIMEOUT, || {
        (pending(&cluster, &path, API_KEY) == 200).then_some(())
    });
    let took = stored.elapsed();
    assert!(took < APPLY_TIME, "{took:?}");
}

/// Guards against a configuration that each node reads from its first byte on after an outage, when
/// the link is needed for what has waited.
#[test]
fn an_unchanged_configuration_is_not_read_again_after_an_outage() {
    let link = Link::new(10 << 20);
    let cluster = start("long-outage", &link);
    let config = long_config(2, &[API_KEY]);
    cluster.store.put("op", "config", &config);
    wait_until("the new routes are in force", TIMEOUT, || {
        (pending(&cluster, "/r-0001399/", API_KEY) == 200).then_some(())
    });
    let sent = link.sent();
    for outage in 1..=OUTAGES {
        cluster.store.set_fault(Fault::Refuses);
        wait_until("the store counts as lost", TIMEOUT, || {
            let losses = metric(&cluster, "node_store_losses_total");
            (losses >= f64::from(outage)).then_some(())
        });
        // Either the lease or the configuration is the first to be read again.
        thread::sleep(Duration::from_millis(u64::from(outage) * 70));
        cluster.store.set_fault(Fault::None);
        thread::sleep(Duration::from_millis(900));
        assert_eq!(pending(&cluster, "/r-0001399/", API_KEY), 200);
    }
    let bytes = link.sent() - sent;
    let whole = config.to_string().len() as u64;
    assert!(
        bytes < whole,
        "{bytes} bytes, the configuration has {whole}"
    );
}

/// Guards against a removed key that can be used while the configuration that removes it still arrives.
#[test]
fn a_removed_key_is_refused_while_the_configuration_arrives() {
    let link = Link::new(10 << 20);
    let cluster = start("long-revocation", &link);
    link.set_bandwidth(VERY_NARROW);
    cluster
        .store
        .put("op", "config", &long_config(2, &[NEW_KEY]));
    let stored = Instant::now();
    let mut refused_at = None;
    wait_until("the new key is in force", Duration::from_secs(30), || {
        let sent = stored.elapsed();
        let status = pending(&cluster, "/q/", API_KEY);
        if status == 200 {
            assert!(sent < REVOKE_TIME, "the removed key is used after {sent:?}");
        } else {
            refused_at.get_or_insert(sent);
        }
        (pending(&cluster, "/q/", NEW_KEY) == 200).then_some(())
    });
    assert!(
        refused_at.is_some_and(|t| t < REVOKE_TIME),
        "{refused_at:?}"
    );
    assert_eq!(pending(&cluster, "/q/", API_KEY), 401);
}

/// Starts a node; returns its address for operators too.
fn start_node(test: &str, store: SocketAddr) -> (Process, SocketAddr) {
    let [callers, ready, operators] = [(); 3].map(|()| common::free_addr());
    let cfg = json!({"name": "n0", "zone": "z", "listen": callers, "listen_ready": ready,
        "listen_metrics": operators, "store": store});
    let settings = common::write_settings(&common::temp_dir(test), "node-0", &cfg);
    (Process::start("node", settings, callers), operators)
}

/// Guards against a long configuration that a node reads twice at its start.
#[test]
fn a_node_reads_a_long_configuration_once_at_its_start() {
    let stop = Arc::new(AtomicBool::new(false));
    let store = Store::start(&stop).unwrap();
    let config = long_config(1, &[API_KEY]);
    store.put("op", "config", &config);
    let link = Link::new(NARROW);
    let proxy = Proxy::start_on(store.addr(), Some(link.clone())).unwrap();
    let (_node, operators) = start_node("long-start", proxy.addr());
    wait_until("the configuration is in force", TIMEOUT, || {
        let text = common::http::send(operators, "GET", "/metrics", &[], "")?.body;
        text.as_str()?
            .contains("node_config_version 1")
            .then_some(())
    });
    thread::sleep(Duration::from_secs(1));
    let whole = config.to_string().len() as u64;
    assert!(link.sent() < 2 * whole, "{} bytes of {whole}", link.sent());
}

/// Guards against a node that asks for the configuration without a pause as long as there is none.
#[test]
fn a_node_without_a_configuration_waits_for_one() {
    let stop = Arc::new(AtomicBool::new(false));
    let store = Store::start(&stop).unwrap();
    let (_node, operators) = start_node("no-config", store.addr());
    let calls = || {
        let text = common::http::send(operators, "GET", "/metrics", &[], "")?.body;
        let text = text.as_str()?.to_owned();
        let of_config = |l: &&str| l.starts_with("node_calls_total") && l.contains("\"config\"");
        let counts = text.lines().filter(of_config);
        let counts = counts.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok());
        Some(counts.sum::<u64>()).filter(|n| *n > 0)
    };
    wait_until("the store is asked", TIMEOUT, calls);
    thread::sleep(Duration::from_secs(3));
    // A call waits for 0.8 s.
    let calls = calls().unwrap();
    assert!(calls < 8, "{calls} calls");
}

/// Guards against a configuration that never arrives because its connection went silent in its middle.
#[test]
fn a_long_configuration_arrives_after_its_connection_went_silent() {
    let link = Link::new(10 << 20);
    let cluster = start("long-silence", &link);
    link.set_bandwidth(NARROW);
    cluster
        .store
        .put("op", "config", &long_config(2, &[API_KEY]));
    thread::sleep(Duration::from_millis(600));
    cluster.store_proxies[0].set(Mode::DropAnswers);
    thread::sleep(Duration::from_millis(400));
    // Connections that have dropped bytes stay silent, new ones work.
    cluster.store_proxies[0].set(Mode::Forward);
    wait_until("the new routes are in force", TIMEOUT, || {
        (pending(&cluster, "/r-0001399/", API_KEY) == 200).then_some(())
    });
}
