//! Settings that the platform makes of `deploy/node.json`.

use base::clock::Millis;
use node::node_cfg::{self, NodeCfg};

const TEMPLATE: &str = include_str!("../../../deploy/node.json");

/// A figure of the deployment: its name in the template, a usual value, and what a node reads.
type Figure = (&'static str, f64, fn(&NodeCfg) -> f64);

const FIGURES: [Figure; 15] = [
    ("platform.row-bytes", 65_536.0, |c| c.row_bytes as f64),
    ("heartbeat-ms", 1_500.0, |c| ms(c.worker_heartbeat_ms)),
    ("bounds.hold-max-ms", 6_000.0, |c| ms(c.worker_lease_ms)),
    ("bounds.drain-ms", 2_000.0, |c| ms(c.worker_drain_ms)),
    ("bounds.stop-timeout-ms", 400.0, |c| ms(c.worker_stop_ms)),
    ("bounds.revoke-ms", 5_000.0, |c| ms(c.revoke_ms)),
    ("bounds.evacuate-ms", 5_000.0, |c| {
        c.evacuate_ms.map_or(0.0, ms)
    }),
    ("bounds.restore-ms", 600.0, |c| ms(c.restore_ms)),
    ("bounds.status_s", 120.0, |c| ms(c.keep_ms) / 1_000.0),
    ("bounds.grace-s", 6.0, |c| ms(c.grace_ms) / 1_000.0),
    ("limits.memory-mb", 260.0, |c| c.memory_mb as f64),
    ("limits.max-fds", 4_100.0, |c| {
        c.max_fds.unwrap_or_default() as f64
    }),
    ("limits.cpu-share", 0.25, |c| c.cpu_share),
    ("limits.cores", 1.0, |c| c.cores),
    ("limits.link-mbps", 100.0, |c| c.link_mbps),
];

fn ms(t: Millis) -> f64 {
    t.0 as f64
}

/// Fills in the template as the platform does, with `number` as the figure at `path`, or without it.
fn render(path: &str, number: Option<&str>) -> String {
    let value = |name: &str| match name {
        _ if name == path => number.map(Into::into),
        "ip" => Some("127.0.0.1".into()),
        "internal-ports.0" => Some("7000".into()),
        "node|json" | "zone|json" => Some("\"name\"".into()),
        "listen.front|json" | "listen.ready|json" | "platform.address|json" => {
            Some("\"127.0.0.1:80\"".into())
        }
        _ => {
            let figure = FIGURES.iter().find(|(figure, ..)| *figure == name);
            figure.map(|(_, plain, _)| plain.to_string())
        }
    };
    let mut text = TEMPLATE.to_owned();
    while let Some((before, rest)) = text.split_once("{{#") {
        let (name, rest) = rest.split_once("}}").unwrap();
        let (body, after) = rest.split_once(&format!("{{{{/{name}}}}}")).unwrap();
        let body = value(name).map_or("", |_| body);
        text = format!("{before}{body}{after}");
    }
    while let Some((before, rest)) = text.split_once("{{") {
        let (name, after) = rest.split_once("}}").unwrap();
        text = format!("{before}{}{after}", value(name).expect(name));
    }
    text
}

/// Guards against a figure of a deployment that is read differently, or keeps nodes from starting,
/// because of the form in which the platform writes it, or because it is left out.
#[test]
fn figures_are_read_in_each_form() {
    for (path, plain, read) in FIGURES {
        let forms = [
            format!("{plain:.2}"),
            format!("{plain:e}"),
            format!("{}E-1", plain * 10.0),
        ];
        for form in forms.into_iter().chain([plain.to_string()]) {
            let cfg = node_cfg::read(&render(path, Some(&form)));
            let found = cfg.map(|c| read(&c));
            let is_exact = found.as_ref().is_ok_and(|n| (n - plain).abs() < 1e-9);
            assert!(is_exact, "{path} {form}: {found:?}");
        }
        let cfg = node_cfg::read(&render(path, None));
        assert!(cfg.is_ok(), "without {path}: {cfg:?}");
    }
}

/// Guards against a bound that is rounded so that more time is taken than the platform grants, or
/// less is given than it asks for.
#[test]
fn fractions_are_rounded_to_the_safe_side() {
    let cases = [
        ("heartbeat-ms", "1500.5", 1_501.0),
        ("bounds.hold-max-ms", "6000.9", 6_000.0),
        ("bounds.drain-ms", "0.5", 0.0),
        ("bounds.stop-timeout-ms", "0.5", 1.0),
        ("bounds.revoke-ms", "5000.9", 5_000.0),
        ("bounds.evacuate-ms", "5000.9", 5_000.0),
        ("bounds.restore-ms", "0.1", 1.0),
        ("bounds.status_s", "0.0001", 0.001),
        ("bounds.status_s", "120.25", 120.25),
        ("bounds.grace-s", "6.5", 6.5),
        ("bounds.grace-s", "6.0009", 6.0),
        ("limits.memory-mb", "260.9", 260.0),
        ("limits.max-fds", "4100.9", 4_100.0),
    ];
    for (path, form, expected) in cases {
        let (.., read) = FIGURES
            .into_iter()
            .find(|(name, ..)| *name == path)
            .unwrap();
        let found = read(&node_cfg::read(&render(path, Some(form))).unwrap());
        assert!((found - expected).abs() < 1e-9, "{path} {form}: {found}");
    }
}

/// Guards against nodes that do not start because of one figure that can't be used.
#[test]
fn a_useless_figure_does_not_keep_a_node_from_starting() {
    for (path, ..) in FIGURES {
        for form in ["-1", "true", "\"six\"", "[6]", "0", "1e300", "NaN"] {
            let text = render(path, Some(form));
            let problems = node_cfg::read_for_start(&text).map(|cfg| cfg.problems.len());
            let is_always_useless = !["0", "1e300", "NaN"].contains(&form);
            let is_handled = problems
                .as_ref()
                .is_ok_and(|n| *n == 1 || !is_always_useless);
            assert!(is_handled, "{path} {form}: {problems:?}");
            assert!(!is_always_useless || node_cfg::read(&text).is_err());
        }
    }
}

/// Guards against settings files of earlier versions that can't be read any more, and against two
/// values for one duration.
#[test]
fn durations_are_read_in_milliseconds_too() {
    let cfg = node_cfg::read("{ grace_ms: 6000, lease: { hold_s: 0.9 } }").unwrap();
    assert_eq!(
        (cfg.grace_ms, cfg.lease.hold_ms),
        (Millis(6_000), Millis(900))
    );
    let e = node_cfg::read_for_start("{ grace_ms: 6000, grace_s: 6 }").unwrap_err();
    assert!(e.to_string().contains("grace_ms is given as well"), "{e}");
}
