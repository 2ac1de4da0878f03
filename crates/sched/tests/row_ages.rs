//! Ages of rows across leaders.

use base::clock::Millis;
use sched::row_ages::RowAges;
use store::table::Row;

const MINUTE: Millis = Millis::from_secs(60);
const DAY: u64 = 24 * 60;

/// Stores the ages with the next version and continues as another leader, whose clock shows `now`.
fn hand_over(ages: &RowAges, now: Millis, version: u64, next_now: Millis) -> RowAges {
    let value = serde_json::to_string(&ages.row(now)).unwrap();
    let row = Row {
        key: "ages/main".into(),
        version,
        value,
    };
    RowAges::read(Some(&row), next_now)
}

/// Guards against rows that appear older than they are after a change of leader.
#[test]
fn ages_continue_across_leaders_and_never_exceed_the_time_measured() {
    let mut ages = RowAges::new(Millis(5_000_000));
    ages.mark(Millis(5_001_000), 10);
    let mut ages = hand_over(&ages, Millis(5_003_000), 20, Millis(70));
    assert_eq!(ages.age(Millis(70), 10), Millis(2_000));
    assert_eq!(ages.age(Millis(70), 20), Millis(0));
    assert_eq!(ages.age(Millis(570), 20), Millis(500));
    assert_eq!(ages.age(Millis(570), 21), Millis(0));
    ages.mark(Millis(1_070), 30);
    assert_eq!(ages.age(Millis(2_070), 21), Millis(1_000));
}

/// Guards against deletions after the row of the ages was lost or is malformed.
#[test]
fn without_readable_marks_all_rows_are_new() {
    let row = Row {
        key: "ages/main".into(),
        version: 8,
        value: "{}".into(),
    };
    for row in [None, Some(&row)] {
        assert_eq!(RowAges::read(row, Millis(9)).age(Millis(9), 1), Millis(0));
    }
}

/// Guards against a row that grows with each mark, and against rows that are never old enough.
#[test]
fn marks_of_forty_days_are_few_and_close() {
    let mut ages = RowAges::new(Millis(0));
    for minute in 1..=40 * DAY {
        ages.mark(Millis(MINUTE.0 * minute), minute);
        if minute % 500 == 0 {
            let now = Millis(MINUTE.0 * minute);
            ages = hand_over(&ages, now, minute, now);
        }
    }
    let now = Millis(MINUTE.0 * 40 * DAY);
    let stored = serde_json::to_string(&ages.row(now)).unwrap();
    assert!(stored.len() < 10_000, "{} bytes", stored.len());
    for days in [1, 7, 30] {
        let written = (40 - days) * DAY;
        let age = ages.age(now, written).0;
        let actual = MINUTE.0 * days * DAY;
        assert!(
            age <= actual && age * 8 >= actual * 7,
            "{days}: {age} of {actual}"
        );
    }
}

/// Guards against deletions after rows were copied into a table whose versions start anew.
#[test]
fn marks_of_another_table_count_for_no_row() {
    let mut ages = RowAges::new(Millis(0));
    ages.mark(Millis(1_000), 5_000);
    let ages = hand_over(&ages, Millis(DAY * MINUTE.0), 50, Millis(70));
    assert_eq!(ages.age(Millis(170), 40), Millis(100));
    assert_eq!(ages.age(Millis(170), 60), Millis(0));
}

/// Guards against rows that appear older than they are after an earlier row of the ages was put
/// back.
#[test]
fn an_earlier_row_of_the_ages_only_makes_rows_appear_younger() {
    let mut ages = RowAges::new(Millis(0));
    ages.mark(Millis(0), 10);
    let earlier = ages.clone();
    ages.mark(MINUTE, 20);
    let restored = hand_over(&earlier, Millis(0), 30, Millis(70));
    for version in [10, 15, 20, 30] {
        let real = ages.age(MINUTE, version);
        assert!(restored.age(Millis(70), version) <= real, "{version}");
    }
}
