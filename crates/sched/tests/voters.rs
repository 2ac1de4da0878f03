//! Right of a leader without the table, and its end at the next leader.

use base::clock::Millis;
use sched::voters::{FORMER_LIMIT, Former, MAX_OUTAGE, RIGHT, Voter, Voters, VotersRow};
use store::table::Row;

fn list(ids: &[u64]) -> Vec<Voter> {
    let address = "127.0.0.1:7100".parse().unwrap();
    ids.iter().map(|id| Voter { id: *id, address }).collect()
}

fn stored(ids: &[u64]) -> Voters {
    let mut voters = Voters::new(0);
    voters.begin_write(&list(ids));
    voters.finish_write(1);
    voters
}

/// Returns what the next leader knows of the leader 1 after a takeover at time 0.
fn former(ids: &[u64]) -> Former {
    let row = VotersRow {
        holder: 1,
        fence: 1,
        voters: list(ids),
    };
    Former::read(
        Some(&row_of(&serde_json::to_string(&row).unwrap())),
        Millis(0),
    )
}

fn row_of(value: &str) -> Row {
    Row {
        key: "voters/main".into(),
        version: 1,
        value: value.into(),
    }
}

fn subset(of: &[u64], mask: u32) -> (Vec<u64>, Vec<u64>) {
    let picked = |(i, _): &(usize, &u64)| mask & (1 << i) != 0;
    let (told, rest): (Vec<_>, Vec<_>) = of.iter().enumerate().partition(picked);
    let ids = |v: Vec<(usize, &u64)>| v.into_iter().map(|(_, id)| *id).collect();
    (ids(told), ids(rest))
}

/// Guards against a former leader that finds a majority after the next one took it for stopped, and
/// against one that is waited for although it can't find a majority.
#[test]
fn the_former_leader_is_over_exactly_when_it_finds_no_majority() {
    for n in 1..=8 {
        let ids: Vec<u64> = (1..=n).collect();
        for mask in 0..1 << n {
            let (told, rest) = subset(&ids, mask);
            let mut former = former(&ids);
            former.record_agreed(Millis(9), &told);
            let granted = stored(&ids).record_round(Millis(9), &rest);
            let is_over = former.is_over(Millis(9));
            assert_eq!(is_over, told.contains(&1) || !granted, "{told:?} of {n}");
            let end = if is_over {
                Millis(9) + RIGHT
            } else {
                FORMER_LIMIT
            };
            assert_eq!(former.ends_at(), end, "{told:?} of {n}");
        }
    }
}

/// Guards against a list of voters that changes just before the table fails: the next leader may
/// find either list.
#[test]
fn both_lists_must_agree_while_a_write_is_under_way() {
    let (before, after) = ([1, 2, 3, 4], [1, 4, 5, 6, 7]);
    let mut voters = stored(&before);
    voters.begin_write(&list(&after));
    let all: Vec<u64> = voters.to_ask().iter().map(|v| v.id).collect();
    assert_eq!(all, [1, 2, 3, 4, 5, 6, 7]);
    for mask in 0..1 << all.len() {
        let (told, rest) = subset(&all, mask);
        let is_over = [&before[..], &after[..]].iter().any(|ids| {
            let mut former = former(ids);
            former.record_agreed(Millis(9), &told);
            former.is_over(Millis(9))
        });
        let granted = voters.clone().record_round(Millis(9), &rest);
        assert!(!(is_over && granted && !told.contains(&1)), "{told:?}");
    }
}

/// Guards against a right that outlasts what the next leader waits for.
#[test]
fn the_right_ends_with_time() {
    let mut voters = stored(&[1]);
    assert!(!voters.may_renew(Millis(0), Millis(0)), "nobody was asked");
    let last = MAX_OUTAGE.since(Millis(1));
    assert!(voters.record_round(last, &[1]));
    assert!(voters.may_renew(last, Millis(0)));
    assert!(!voters.may_renew(MAX_OUTAGE, Millis(0)));
    assert!(!voters.may_renew(last + RIGHT, Millis(9_000)));
    assert!(voters.record_round(Millis(5), &[1]), "an earlier round");
    assert!(voters.may_renew(last, Millis(0)));
    assert_eq!(voters.withdraw(), Some(1));
    assert!(!voters.may_renew(last, Millis(0)));
    assert!(!voters.record_round(last, &[1]));
}

/// Guards against a leader that renews before the next one can know its voters.
#[test]
fn a_leader_without_stored_voters_has_no_right() {
    let mut voters = Voters::new(3);
    voters.begin_write(&list(&[1]));
    assert!(!voters.record_round(Millis(5), &[1]));
    assert_eq!(voters.withdraw(), None);
}

/// Guards against a row of a later version that counts as a leader without voters.
#[test]
fn an_unreadable_row_leaves_the_time_limit() {
    let mut former = Former::read(Some(&row_of("[]")), Millis(7));
    former.record_agreed(Millis(9), &[1, 2, 3]);
    assert!(!former.is_over(Millis(9)));
    assert_eq!(former.ends_at(), Millis(7) + FORMER_LIMIT);
    assert!(former.is_over(former.ends_at()));
    assert!(Former::read(None, Millis(7)).is_over(Millis(7)));
}
