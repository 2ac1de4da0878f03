//! Calls from caller to server, configuration revisions, metrics and unknown routes.

use serde_json::json;
use standin::backend_cfg::BackendFaults;

use crate::setup::{self, OTHER_TOKEN, TOKEN};

/// Guards against an answer to a request that was not run, and against a lost answer.
#[test]
fn a_call_runs_on_a_server_and_returns_its_answer() {
    let system = setup::system().start();
    let got = setup::call(system.addr(), "score", &[], br#"{"key":"k7"}"#);
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.field("operation"), "score");
    assert_eq!(system.runs_of("k7"), 1);
    let run = &system.backends.server(0).history()[0];
    assert_eq!(run.organisation, setup::ORG);
}

/// Guards against calls that are served without a valid token.
#[test]
fn a_call_needs_a_known_token() {
    let system = setup::system().start();
    let path = "/call/refund/score";
    let cases = [
        (None, "unauthorised"),
        (Some("Bearer nobody"), "unauthorised"),
        (Some("Basic eHg6eQ=="), "unauthorised"),
        (Some("Bearer operator-token"), "forbidden"),
    ];
    for (value, code) in cases {
        let headers: Vec<(&str, &str)> = value.iter().map(|v| ("authorization", *v)).collect();
        let got = setup::send(system.addr(), "POST", path, &headers, b"{}");
        assert_eq!(got.refusal(), (code.into(), "not_run".into()), "{value:?}");
    }
    assert_eq!(system.runs(), 0);
}

/// Guards against an entry that keeps an old configuration or returns to one.
#[test]
fn a_higher_revision_is_installed_and_a_lower_one_is_not() {
    let system = setup::system().start();
    setup::put_config(system.platform.addr(), 5, &["new-org"]);
    let revision = || system.dump()["config_revision"].as_u64().unwrap();
    setup::eventually("revision 5 is in force", || revision() == 5);
    setup::put_rows(
        system.platform.addr(),
        &[("rev".into(), json!({ "revision": 4 }))],
    );
    setup::eventually("the entry has seen the lower revision", || {
        let text = String::from_utf8(system.get(0, "/metrics").body).unwrap();
        text.contains("entry_alarms_total{")
    });
    assert_eq!(revision(), 5);
    setup::put_rows(
        system.platform.addr(),
        &[("rev".into(), json!({ "revision": 5 }))],
    );
    setup::eventually("the entry is ready", || {
        system.get(0, "/ready").status == 200
    });
    let headers = [("authorization", "Bearer new-org")];
    let got = setup::send(system.addr(), "POST", "/call/refund/score", &headers, b"{}");
    assert_eq!(got.status, 200, "{got:?}");
}

/// Guards against metrics that are documented but not exported, or exported but not documented.
#[test]
fn exported_metrics_match_the_documentation() {
    let system = setup::system().servers(2).start();
    let refusing = setup::server_faults(|f| f.not_run = 1.0);
    system.set_faults(&refusing);
    system.call_repeatable();
    system.set_faults(&BackendFaults::default());
    system.pay("m1");
    system.platform.set_faults(standin::faults::Faults {
        vm_outage: true,
        ..Default::default()
    });
    let text = || String::from_utf8(system.get(0, "/metrics").body).unwrap();
    setup::eventually("an alarm is counted", || {
        text().contains("entry_alarms_total")
    });
    let text = text();
    let mut exported: Vec<&str> = text
        .lines()
        .filter_map(|l| l.strip_prefix("# TYPE ")?.split(' ').next())
        .collect();
    let doc = include_str!("../../../../docs/metrics.md");
    let rows = doc.lines().filter_map(|l| l.strip_prefix("| `entry_"));
    let names = rows.filter_map(|l| l.split('`').next());
    let mut documented: Vec<String> = names.map(|n| format!("entry_{n}")).collect();
    exported.sort_unstable();
    documented.sort_unstable();
    assert_eq!(exported, documented);
}

/// Guards against unknown paths, methods and names that are not answered with an error.
#[test]
fn unknown_paths_methods_and_names_are_refused() {
    let system = setup::system().start();
    let cases = [
        ("GET", "/nothing", 404, "not_found"),
        ("GET", "/call/refund/score", 405, "method_not_allowed"),
        ("POST", "/call/refund/score/more", 405, "method_not_allowed"),
        ("POST", "/call/nobody/score", 404, "unknown_service"),
        ("POST", "/call/refund/nothing", 404, "unknown_operation"),
    ];
    for (method, path, status, code) in cases {
        let got = system.control(method, path, TOKEN, &json!(null));
        assert_eq!(
            (got.status, &*got.field("code")),
            (status, code),
            "{method} {path}"
        );
    }
    let got = system.control("GET", "/config", OTHER_TOKEN, &json!(null));
    assert_eq!(got.field("code"), "forbidden");
}
