//! Settings: defaults, and error messages with path, value and expectation.

use sched::cfg;

#[test]
fn empty_settings_are_the_defaults() {
    assert_eq!(cfg::read("{}").unwrap(), cfg::Settings::default());
}

/// Guards against an error message that does not show which value is invalid.
#[test]
fn errors_name_path_value_and_expectation() {
    let cases = [
        (
            "{ lease: { renew: 1 } }",
            "lease.renew: invalid value 1: unknown setting",
        ),
        (
            "{ wire: 'here' }",
            "wire: invalid value \"here\": invalid socket address",
        ),
        ("{ lease: 3 }", "lease: invalid value 3: must be an object"),
        (
            "{ lease: { hold_ms: 6000 } }",
            "lease.hold_ms: invalid value 6000: must be less than lease.take_ms (6000)",
        ),
        (
            "{ commit: { batch: 0 } }",
            "commit.batch: invalid value 0: must be at least 1",
        ),
        (
            "{ shard: 'Main' }",
            "shard: invalid value \"Main\": a name has only",
        ),
        ("{ lease: ", "not JSON with comments"),
    ];
    for (text, want) in cases {
        let e = cfg::read(text).unwrap_err().to_string();
        assert!(e.contains(want), "{text}: {e}");
    }
}
