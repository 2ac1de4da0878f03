//! Retention of claim rows, settlement by operators and fingerprints.

use base::clock::Millis;
use claim::{
    fingerprint,
    record::{self, Answer, Record, State},
    retention::{self, Fate},
    settle::{self, Settlement},
    ticket::Settled,
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
    let key = record::row_key(&"org".parse().unwrap(), key);
    let value = serde_json::to_string(record).unwrap();
    table.commit(&Txn::default().put(key, value));
}

fn state(table: &MemTable, key: &str) -> Option<State> {
    let row = table.get(&record::row_key(&"org".parse().unwrap(), key))?;
    Some(serde_json::from_str::<Record>(&row.value).unwrap().state)
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(work)
}

/// Guards against rows that are dropped while a caller may still retry, or kept for ever.
#[test]
fn rows_are_kept_by_state() {
    let answer = Answer::new(200, "text/plain", Vec::new());
    let table: [(State, Millis, bool, Fate); 9] = [
        (
            State::Completed(answer.clone()),
            hours(23),
            false,
            Fate::Keep,
        ),
        (State::Completed(answer), hours(24), true, Fate::Delete),
        (State::NotRun, hours(23), false, Fate::Keep),
        (State::NotRun, hours(24), false, Fate::Delete),
        (State::Unknown, hours(24 * 30 - 1), false, Fate::Keep),
        (State::Unknown, hours(24 * 30), false, Fate::Delete),
        (State::InProgress, hours(24 * 365), true, Fate::Keep),
        (State::InProgress, hours(24 * 365), false, Fate::MarkUnknown),
        (State::InProgress, hours(0), false, Fate::MarkUnknown),
    ];
    for (state, age, lives, fate) in table {
        let row = record(1, state);
        assert_eq!(
            retention::fate(&row, age, lives),
            fate,
            "{row:?} after {age}"
        );
    }
}

/// Guards against a sweep that takes more rows than its limit, or misses some.
#[test]
fn sweep_goes_on_in_bounded_steps() {
    block_on(async {
        let table = MemTable::default();
        for i in 0..10 {
            put(&table, &format!("k{i}"), &record(1, State::NotRun));
        }
        put(&table, "lost", &record(2, State::InProgress));
        put(&table, "runs", &record(1, State::InProgress));
        let (mut after, mut steps, mut deleted) = (String::new(), 0, 0);
        loop {
            let step = retention::sweep(&table, &after, 4, hours(48), &[1])
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

/// Guards against a list of members that is older than a claim: the claim of an entry that has just
/// started was set to `unknown` while the entry was about to send the request.
#[test]
fn sweep_marks_no_claim_of_an_owner_with_a_member_row() {
    block_on(async {
        let table = MemTable::default();
        table.commit(&Txn::default().put(record::member_key(1), "{}".into()));
        put(&table, "runs", &record(1, State::InProgress));
        put(&table, "lost", &record(2, State::InProgress));
        let step = retention::sweep(&table, "", 10, hours(0), &[])
            .await
            .unwrap();
        assert_eq!(step.marked, 1);
        assert_eq!(state(&table, "runs"), Some(State::InProgress));
        assert_eq!(state(&table, "lost"), Some(State::Unknown));
    });
}

/// Guards against an operator settling a claim whose owner may still send the request.
#[test]
fn only_unknown_claims_are_settled() {
    block_on(async {
        let table = MemTable::default();
        let org = "org".parse().unwrap();
        table.commit(&Txn::default().put(record::member_key(1), "{}".into()));
        put(&table, "runs", &record(1, State::InProgress));
        put(&table, "dead", &record(2, State::InProgress));
        put(&table, "lost", &record(1, State::Unknown));
        let gone = settle::settle(&table, &org, "dead", Settled::NotRun).await;
        assert_eq!(gone, Ok(Settlement::Done), "the owner has no member row");
        let refused = settle::settle(&table, &org, "runs", Settled::NotRun).await;
        assert_eq!(refused, Ok(Settlement::NotUnknown(State::InProgress)));
        let missing = settle::settle(&table, &org, "none", Settled::NotRun).await;
        assert_eq!(missing, Ok(Settlement::NotFound));
        for _ in 0..2 {
            let done = settle::settle(&table, &org, "lost", Settled::NotRun).await;
            assert_eq!(
                done,
                Ok(Settlement::Done),
                "a repeated settlement finds its own outcome"
            );
        }
        assert_eq!(state(&table, "lost"), Some(State::NotRun));
    });
}

/// Guards against a conflict for the same request, and against equal prints of different ones.
#[test]
fn fingerprint_is_canonical() {
    let of = |operation: &str, body: &[u8]| {
        fingerprint::of(&"s".parse().unwrap(), &operation.parse().unwrap(), body)
    };
    let nested = of("o", br#"{"b":{"y":1,"x":[1,2]},"a":null}"#);
    assert_eq!(
        nested,
        of("o", b"{ \"a\": null, \"b\": {\"x\":[1, 2], \"y\":1} }")
    );
    assert_ne!(nested, of("o", br#"{"b":{"y":1,"x":[2,1]},"a":null}"#));
    assert_ne!(of("o", b"1"), of("p", b"1"));
    assert_ne!(of("o", b"not json"), of("o", b"not  json"));
    assert_ne!(of("o", br#"{"sum":1,"sum":2}"#), of("o", br#"{"sum":2}"#));
    assert_ne!(of("o", b"0.10000000000000000001"), of("o", b"0.1"));
    assert_eq!(of("o", br#""a\u0062\"\\""#), of("o", br#" "ab\"\\" "#));
    assert_eq!(of("o", b"[ ]"), of("o", b"[]"));
}
