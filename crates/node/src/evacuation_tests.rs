use base::clock::Millis;
use store::table::Row;

use crate::evacuation::{Requests, max_age};

fn row(key: &str, version: u64) -> Row {
    Row {
        key: format!("op/{key}").into(),
        version,
        value: "not read".into(),
    }
}

fn names(requests: &Requests) -> Vec<&str> {
    requests.zones().iter().map(|z| &**z).collect()
}

/// Guards against a request that is forgotten or never ends, and against other rows that count as one.
#[test]
fn requests_follow_the_rows() {
    let mut requests = Requests::default();
    let rows = [row("config", 1), row("evacuate/b", 2), row("evacuate/a", 3)];
    assert!(requests.replace(&rows, None));
    assert_eq!(names(&requests), ["a", "b"]);
    assert!(!requests.replace(&rows, None));
    assert!(!requests.apply(&row("evacuate/b", 4), false, None));
    assert!(!requests.apply(&row("evacuate/", 5), false, None));
    assert!(!requests.apply(&row("evacuated/c", 6), false, None));
    assert!(!requests.apply(&row("evacuate/c", 7), true, None));
    assert!(requests.apply(&row("evacuate/c", 8), false, None));
    assert!(requests.apply(&row("evacuate/a", 9), true, None));
    assert_eq!(names(&requests), ["b", "c"]);
    let known: Vec<u64> = requests.iter().map(|(_, r)| r.version).collect();
    assert_eq!(known, [4, 8]);
    assert!(requests.replace(&[row("evacuate/c", 8)], None));
    assert_eq!(names(&requests), ["c"]);
    assert!(requests.replace(&[], None));
    assert!(names(&requests).is_empty());
}

/// Guards against starts that are sent too late to be carried out within the bound, and against a small
/// bound with which nothing starts.
#[test]
fn the_maximum_age_leaves_time_for_a_start() {
    let age = |bound| max_age(Some(Millis(bound)));
    assert_eq!(max_age(None), None);
    assert_eq!(age(5_000), Some(Millis(3_500)));
    assert_eq!(age(2_000), Some(Millis(1_000)));
}
