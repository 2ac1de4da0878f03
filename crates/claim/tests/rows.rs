//! Tests of the retention of claim rows, settlement by operators and fingerprints.

use base::clock::Millis;
use claim::{
    fingerprint,
    record::{self, Answer, Record, State},
    retention::{self, Action},
    settle::{self, Settlement},
    ticket::ExecutionOutcome,
};
use store::{mem::MemTable, table::Txn};

const HOUR: Millis = Millis::from_secs(3_600);

fn record(owner: u64, state: State) -> Record {
    let fingerprint = fingerprint::of(&"s".parse().unwrap(), &"o".parse().unwrap(), b"");
    let written_ms = Millis(0);
    Record {
        fingerprint,
        owner,
        nonce: 1,
        written_ms,
        state,
    }
}

fn hours(n: u64) -> Millis {
    Millis(HOUR.0 * n)
}

fn put(table: &MemTable, key: &str, record: &Record) {
    let key = record::claim_key(&"org".parse().unwrap(), key);
    let value = serde_json::to_string(record).unwrap();
    table.commit(&Txn::default().put(key, value));
}

fn state(table: &MemTable, key: &str) -> Option<State> {
    let row = table.get(&record::claim_key(&"org".parse().unwrap(), key))?;
    Some(serde_json::from_str::<Record>(&row.value).unwrap().state)
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(work)
}

/// Guards against rows that are deleted while a caller may still retry, or are never deleted.
#[test]
fn rows_are_kept_by_state() {
    let answer = Answer::new(200, "text/plain", Vec::new());
    let table: [(State, Millis, bool, Action); 9] = [
        (
            State::Completed(answer.clone()),
            hours(23),
            false,
            Action::Keep,
        ),
        (State::Completed(answer), hours(24), true, Action::Delete),
        (State::NotRun, hours(23), false, Action::Keep),
        (State::NotRun, hours(24), false, Action::Delete),
        (State::Unknown, hours(24 * 30 - 1), false, Action::Keep),
        (State::Unknown, hours(24 * 30), false, Action::Delete),
        (State::InProgress, hours(24 * 365), true, Action::Keep),
        (
            State::InProgress,
            hours(24 * 365),
            false,
            Action::MarkUnknown,
        ),
        (State::InProgress, hours(0), false, Action::MarkUnknown),
    ];
    for (state, age, owner_alive, action) in table {
        let row = record(1, state);
        assert_eq!(
            retention::action(&row, age, owner_alive),
            action,
            "{row:?} after {age}"
        );
    }
}

/// Guards against a sweep that changes more rows than its limit in one step, or misses rows.
#[test]
fn sweep_continues_in_bounded_steps() {
    block_on(async {
        let table = MemTable::default();
        for i in 0..10 {
            put(&table, &format!("k{i}"), &record(1, State::NotRun));
        }
        put(&table, "lost", &record(2, State::InProgress));
        put(&table, "runs", &record(1, State::InProgress));
        let (mut after, mut steps, mut deleted) = (String::new(), 0, 0);
        loop {
            let step = retention::sweep(&table, &after, 4, |_| hours(48), &[1])
                .await
                .unwrap();
            assert!(step.deleted + step.marked <= 4);
            steps += 1;
            deleted += step.deleted;
            let Some(next) = step.next else {
                break;
            };
            after = next;
        }
        assert_eq!((steps, deleted), (4, 10));
        assert_eq!(state(&table, "lost"), Some(State::Unknown));
        assert_eq!(state(&table, "runs"), Some(State::InProgress));
    });
}

/// Guards against a member list that is older than a claim: the claim of an entry that had just
/// started was set to `unknown` while the entry was about to send the request.
#[test]
fn sweep_skips_claims_whose_owner_has_a_member_row() {
    block_on(async {
        let table = MemTable::default();
        table.commit(&Txn::default().put(record::member_key(1), "{}".into()));
        put(&table, "runs", &record(1, State::InProgress));
        put(&table, "lost", &record(2, State::InProgress));
        let step = retention::sweep(&table, "", 10, |_| hours(0), &[])
            .await
            .unwrap();
        assert_eq!(step.marked, 1);
        assert_eq!(state(&table, "runs"), Some(State::InProgress));
        assert_eq!(state(&table, "lost"), Some(State::Unknown));
    });
}

/// Guards against settling a claim by an operator while its owner may still send the request.
#[test]
fn only_unknown_claims_are_settled() {
    block_on(async {
        let table = MemTable::default();
        let org = "org".parse().unwrap();
        table.commit(&Txn::default().put(record::member_key(1), "{}".into()));
        put(&table, "runs", &record(1, State::InProgress));
        put(&table, "dead", &record(2, State::InProgress));
        put(&table, "lost", &record(1, State::Unknown));
        let gone = settle::settle(&table, &org, "dead", ExecutionOutcome::NotRun).await;
        assert_eq!(gone, Ok(Settlement::Done), "the owner has no member row");
        let refused = settle::settle(&table, &org, "runs", ExecutionOutcome::NotRun).await;
        assert_eq!(refused, Ok(Settlement::NotUnknown(State::InProgress)));
        let missing = settle::settle(&table, &org, "none", ExecutionOutcome::NotRun).await;
        assert_eq!(missing, Ok(Settlement::NotFound));
        for _ in 0..2 {
            let done = settle::settle(&table, &org, "lost", ExecutionOutcome::NotRun).await;
            assert_eq!(done, Ok(Settlement::Done), "a repeated settlement succeeds");
        }
        assert_eq!(state(&table, "lost"), Some(State::NotRun));
    });
}

/// Guards against different fingerprints of the same request, which cause a conflict, and against
/// equal fingerprints of different requests.
#[test]
fn fingerprint_is_canonical() {
    let fingerprint = |operation: &str, body: &[u8]| {
        fingerprint::of(&"s".parse().unwrap(), &operation.parse().unwrap(), body)
    };
    let nested = fingerprint("o", br#"{"b":{"y":1,"x":[1,2]},"a":null}"#);
    assert_eq!(
        nested,
        fingerprint("o", b"{ \"a\": null, \"b\": {\"x\":[1, 2], \"y\":1} }")
    );
    assert_ne!(
        nested,
        fingerprint("o", br#"{"b":{"y":1,"x":[2,1]},"a":null}"#)
    );
    assert_ne!(fingerprint("o", b"1"), fingerprint("p", b"1"));
    assert_ne!(
        fingerprint("o", b"not json"),
        fingerprint("o", b"not  json")
    );
    assert_ne!(
        fingerprint("o", br#"{"sum":1,"sum":2}"#),
        fingerprint("o", br#"{"sum":2}"#)
    );
    assert_ne!(
        fingerprint("o", b"0.10000000000000000001"),
        fingerprint("o", b"0.1")
    );
    assert_eq!(
        fingerprint("o", br#""a\u0062\"\\""#),
        fingerprint("o", br#" "ab\"\\" "#)
    );
    assert_eq!(fingerprint("o", b"[ ]"), fingerprint("o", b"[]"));
}
