//! Settings: defaults, and errors that name path, value and expectation.

use sched::cfg;

#[test]
fn empty_settings_are_the_defaults() {
    assert_eq!(cfg::read("{}").unwrap(), cfg::Settings::default());
}

/// Guards against a refusal that does not tell the operator which value is wrong.
#[test]
fn errors_name_path_value_and_expectation() {
    let cases = [
        (
            "{ lease: { renew: 1 } }",
            "lease.renew: found 1, expected no such setting",
        ),
        (
            "{ wire: 'here' }",
            "wire: found \"here\", expected invalid socket address",
        ),
        ("{ lease: 3 }", "lease: found 3, expected an object"),
        (
            "{ lease: { hold_ms: 6000 } }",
            "lease.hold_ms: found 6000, expected less than lease.take_ms (6000)",
        ),
        (
            "{ commit: { batch: 0 } }",
            "commit.batch: found 0, expected at least 1",
        ),
        (
            "{ shard: 'Main' }",
            "shard: found \"Main\", expected a name has only",
        ),
        ("{ lease: ", "not JSON with comments"),
    ];
    for (text, want) in cases {
        let e = cfg::read(text).unwrap_err().to_string();
        assert!(e.contains(want), "{text}: {e}");
    }
}
