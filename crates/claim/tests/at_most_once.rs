//! Tests that non-repeatable requests run at most once under faults and concurrent retries.

mod common;

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use base::{clock::Millis, name::Name};
use claim::{
    claim_cfg::ClaimCfg,
    claims::{ClaimOutcome, Claims},
    fingerprint::{self, Fingerprint},
    record::{self, Answer, Record, State},
    ticket::ExecutionOutcome,
};
use common::{Faults, FaultyTable};
use quickcheck::{Gen, QuickCheck};
use store::{
    mem::MemTable,
    table::{Row, Txn},
};
use tokio::{runtime, task};

const MIXED_FAULTS: Faults = Faults {
    not_done: 5,
    lost_answer: 10,
    late_write: 10,
    stale_read: 15,
    failed_read: 5,
};
const KEYS: usize = 12;
const CALLERS: usize = 40;

/// Number of executions of each key.
type Runs = Rc<RefCell<BTreeMap<usize, u32>>>;

fn run(test: impl Future<Output = ()>) {
    let rt = runtime::Builder::new_current_thread().enable_all().build();
    task::LocalSet::new().block_on(&rt.unwrap(), test);
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn fingerprint_of(body: &[u8]) -> Fingerprint {
    fingerprint::of(&name("refund"), &name("pay"), body)
}

fn answer(text: &str) -> Answer {
    Answer::new(200, "text/plain", text.as_bytes().to_vec())
}

fn start(store: &FaultyTable, owner: u64) -> Claims {
    let cfg = ClaimCfg {
        retry_ms: Millis(1),
        ..ClaimCfg::default()
    };
    store
        .table
        .commit(&Txn::default().put(record::member_key(owner), "{}".into()));
    let (claims, driver) = Claims::new(cfg, store.clone(), owner);
    task::spawn_local(driver.run());
    claims
}

fn row(table: &MemTable, key: &str) -> Record {
    let row = table.get(&record::claim_key(&name("org"), key)).unwrap();
    serde_json::from_str(&row.value).unwrap()
}

async fn begin(claims: &Claims, key: &str) -> ClaimOutcome {
    claims
        .begin(&name("org"), key, &fingerprint_of(key.as_bytes()))
        .await
}

async fn settled(claims: &Claims) {
    for _ in 0..5_000 {
        if claims.unsettled() == 0 {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    panic!("{} claims are not settled after 5 s", claims.unsettled());
}

/// A caller that tries its key up to four times, on a random entry each time.
async fn call(claims: Rc<[Claims; 2]>, key: usize, seed: u64, runs: Runs) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let text = format!("k{key}");
    for _ in 0..4 {
        let begin = begin(&claims[rng.usize(..2)], &text);
        // Some callers go away during their claim.
        let yields = rng.usize(1..60);
        let gone = async {
            for _ in 0..yields {
                task::yield_now().await;
            }
        };
        let outcome = if rng.u8(..10) == 0 {
            tokio::select! { outcome = begin => outcome, () = gone => continue }
        } else {
            begin.await
        };
        match outcome {
            ClaimOutcome::Run(ticket) => {
                task::yield_now().await;
                if rng.u8(..4) == 0 {
                    ticket.not_run();
                    continue;
                }
                *runs.borrow_mut().entry(key).or_default() += 1;
                match rng.u8(..4) {
                    0 => ticket.unknown(),
                    1 => drop(ticket),
                    _ => ticket.complete(answer(&text)),
                }
            }
            ClaimOutcome::Replay(stored) => {
                assert_eq!(
                    stored,
                    answer(&text),
                    "the stored answer belongs to another request"
                );
                assert_eq!(
                    runs.borrow().get(&key),
                    Some(&1),
                    "a replay without an execution"
                );
            }
            ClaimOutcome::Wait(waiter) => {
                waiter.wait().await;
            }
            ClaimOutcome::Conflict => panic!("a conflict between equal requests"),
            ClaimOutcome::InProgressElsewhere
            | ClaimOutcome::Unknown
            | ClaimOutcome::NotRunStoreDown => {}
        }
    }
}

/// Guards against two executions of one key on two entries, and against claims that stay in
/// progress, under outages, lost answers, late writes, stale reads and callers that go away.
#[test]
fn no_key_runs_twice() {
    fn property(seed: u64) -> bool {
        let runs = Runs::default();
        let seen = runs.clone();
        run(async move {
            let table = MemTable::default();
            let stores = [1, 2].map(|i| FaultyTable::new(table.clone(), seed ^ i, MIXED_FAULTS));
            let claims = Rc::new([start(&stores[0], 1), start(&stores[1], 2)]);
            let calls = (0..CALLERS).map(|i| {
                let seed = seed.wrapping_add(i as u64);
                task::spawn_local(call(claims.clone(), i % KEYS, seed, runs.clone()))
            });
            for call in calls.collect::<Vec<_>>() {
                call.await.unwrap();
            }
            for store in &stores {
                store.set_faults(Faults::default());
            }
            settled(&claims[0]).await;
            settled(&claims[1]).await;
            for row in table.scan(record::PREFIX, "", 1_000) {
                let record: Record = serde_json::from_str(&row.value).unwrap();
                assert_ne!(
                    record.state,
                    State::InProgress,
                    "{} is still in progress",
                    row.key
                );
            }
        });
        seen.borrow().values().all(|n| *n <= 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(150)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against a key that stays blocked after an outage, when its request was refused as not run
/// but the insert of its claim took effect.
#[test]
fn abandoned_claim_is_released_after_the_outage() {
    run(async {
        let lost = Faults {
            lost_answer: 100,
            failed_read: 100,
            ..Faults::default()
        };
        let store = FaultyTable::new(MemTable::default(), 1, lost);
        let claims = start(&store, 1);
        assert!(matches!(
            begin(&claims, "k").await,
            ClaimOutcome::NotRunStoreDown
        ));
        assert_eq!(row(&store.table, "k").state, State::InProgress);
        store.set_faults(Faults::default());
        settled(&claims).await;
        assert_eq!(row(&store.table, "k").state, State::NotRun);
        assert!(matches!(begin(&claims, "k").await, ClaimOutcome::Run(_)));
    });
}

/// Guards against refusing a request because the answer to the insert of its claim was lost.
#[test]
fn lost_answer_is_read_back() {
    run(async {
        let lost = Faults {
            lost_answer: 100,
            ..Faults::default()
        };
        let store = FaultyTable::new(MemTable::default(), 1, lost);
        let claims = start(&store, 1);
        let ClaimOutcome::Run(ticket) = begin(&claims, "k").await else {
            panic!("the claim is in the table");
        };
        assert_eq!(store.sent().0, 1);
        store.set_faults(Faults::default());
        ticket.complete(answer("paid"));
        settled(&claims).await;
        assert_eq!(
            row(&store.table, "k").state,
            State::Completed(answer("paid"))
        );
    });
}

/// Guards against a wrong outcome for a second request with a key, in each state of the first.
#[test]
fn outcome_of_a_second_request_depends_on_the_first() {
    run(async {
        let table = MemTable::default();
        let store = FaultyTable::new(table.clone(), 1, Faults::default());
        let (a, b) = (start(&store, 1), start(&store, 2));
        let ClaimOutcome::Run(ticket) = begin(&a, "k").await else {
            panic!("the key is free");
        };
        assert!(matches!(
            begin(&b, "k").await,
            ClaimOutcome::InProgressElsewhere
        ));
        let ClaimOutcome::Wait(waiter) = begin(&a, "k").await else {
            panic!("the request runs on this entry");
        };
        let other = a.begin(&name("org"), "k", &fingerprint_of(b"other")).await;
        assert!(matches!(other, ClaimOutcome::Conflict));
        let other = a.begin(&name("org2"), "k", &fingerprint_of(b"other")).await;
        let ClaimOutcome::Run(other) = other else {
            panic!("keys of organisations are separate");
        };
        other.not_run();
        let twice = tokio::join!(begin(&b, "k"), begin(&b, "k"));
        let elsewhere =
            |outcome: &ClaimOutcome| matches!(outcome, ClaimOutcome::InProgressElsewhere);
        assert!(elsewhere(&twice.0) && elsewhere(&twice.1), "{twice:?}");
        table.commit(&Txn::default().delete(record::member_key(1)));
        assert!(matches!(begin(&b, "k").await, ClaimOutcome::Unknown));
        ticket.complete(answer("paid"));
        assert_eq!(
            waiter.wait().await,
            ExecutionOutcome::Completed(answer("paid"))
        );
        settled(&a).await;
        assert!(
            matches!(begin(&b, "k").await, ClaimOutcome::Replay(stored) if stored == answer("paid"))
        );
        let other = b.begin(&name("org"), "k", &fingerprint_of(b"other")).await;
        assert!(matches!(other, ClaimOutcome::Conflict));
    });
}

/// Guards against a transaction per claim, and against a conflict that fails the other claims of
/// its transaction.
#[test]
fn claims_share_transactions() {
    run(async {
        let store = FaultyTable::new(MemTable::default(), 1, Faults::default());
        let claims = Rc::new([start(&store, 1), start(&store, 2)]);
        let ClaimOutcome::Run(taken) = begin(&claims[1], "k0").await else {
            panic!("the key is free");
        };
        let before = store.sent().0;
        let calls = (0..64).map(|i| {
            let claims = claims.clone();
            task::spawn_local(async move { begin(&claims[0], &format!("k{i}")).await })
        });
        let mut held = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            match call.await.unwrap() {
                ClaimOutcome::Run(ticket) => held.push(ticket),
                outcome => assert!(matches!(outcome, ClaimOutcome::InProgressElsewhere)),
            }
        }
        assert_eq!(held.len(), 63);
        assert!(
            store.sent().0 - before <= 3,
            "{} transactions",
            store.sent().0 - before
        );
        drop(taken);
    });
}

/// Guards against taking the row of an earlier transaction as proof that a later one took effect.
///
/// The first claim takes effect late and its row is read stale; then the answer to the transaction
/// with both claims is lost.
#[test]
fn read_back_uses_a_claim_of_the_same_transaction() {
    for seed in 0..40 {
        run(async move {
            let store = FaultyTable::new(MemTable::default(), seed, Faults::default());
            let claims = start(&store, 1);
            let none = Faults::default();
            let late = Faults {
                late_write: 100,
                ..none
            };
            let stale = Faults {
                stale_read: 100,
                ..none
            };
            store.set_script([late, stale, none, stale, late, none]);
            let first = claims.clone();
            let first = task::spawn_local(async move { begin(&first, "a").await });
            for _ in 0..3 {
                task::yield_now().await;
            }
            let second = begin(&claims, "b").await;
            if matches!(second, ClaimOutcome::Run(_)) {
                assert_eq!(
                    row(&store.table, "b").state,
                    State::InProgress,
                    "seed {seed}"
                );
            }
            drop((first.await, second));
        });
    }
}

/// Guards against a lost answer: a settlement that is dropped because a stale read shows the row of
/// an earlier claim on the key.
#[test]
fn a_settlement_outlives_a_stale_read() {
    run(async {
        let store = FaultyTable::new(MemTable::default(), 1, Faults::default());
        let key = record::claim_key(&name("org"), "k");
        let put = |record: &Record| {
            let value = serde_json::to_string(record).unwrap();
            store.table.commit(&Txn::default().put(key.clone(), value));
        };
        put(&Record {
            fingerprint: fingerprint_of(b"k"),
            owner: 9,
            nonce: 1,
            written_ms: Millis::ZERO,
            state: State::NotRun,
        });
        let before = store.table.get(&key).unwrap();
        let claims = start(&store, 1);
        let ClaimOutcome::Run(ticket) = begin(&claims, "k").await else {
            panic!("the key is free");
        };
        // The sweep takes the owner for dead, so that the settlement meets a conflict.
        put(&Record {
            state: State::Unknown,
            ..row(&store.table, "k")
        });
        store.set_stale_row(before);
        ticket.complete(answer("paid"));
        settled(&claims).await;
        assert_eq!(
            row(&store.table, "k").state,
            State::Completed(answer("paid"))
        );
    });
}

/// Writes a row of an earlier claim on `k` that was not run, and returns it.
fn put_not_run(store: &FaultyTable) -> Row {
    let key = record::claim_key(&name("org"), "k");
    let record = Record {
        fingerprint: fingerprint_of(b"k"),
        owner: 9,
        nonce: 1,
        written_ms: Millis::ZERO,
        state: State::NotRun,
    };
    let value = serde_json::to_string(&record).unwrap();
    store.table.commit(&Txn::default().put(key.clone(), value));
    store.table.get(&key).unwrap()
}

/// Guards against "store down" for a free key whose `not_run` row is removed during the claim.
#[test]
fn a_key_whose_row_is_removed_during_the_claim_is_free() {
    run(async {
        let store = FaultyTable::new(MemTable::default(), 1, Faults::default());
        let removed = put_not_run(&store);
        let claims = start(&store, 1);
        let claiming = task::spawn_local(async move { begin(&claims, "k").await });
        while store.sent().0 == 0 {
            task::yield_now().await;
        }
        let key = removed.key.clone();
        store.set_stale_row(removed);
        store.table.commit(&Txn::default().delete(key));
        let outcome = claiming.await.unwrap();
        assert!(matches!(outcome, ClaimOutcome::Run(_)), "{outcome:?}");
    });
}

/// Guards against a settlement that is tried for ever, and so blocks its key, after its row was
/// removed.
#[test]
fn a_settlement_ends_when_its_row_was_removed() {
    run(async {
        let store = FaultyTable::new(MemTable::default(), 1, Faults::default());
        let claims = start(&store, 1);
        let ClaimOutcome::Run(ticket) = begin(&claims, "k").await else {
            panic!("the key is free");
        };
        let key = record::claim_key(&name("org"), "k");
        store.table.commit(&Txn::default().delete(key));
        ticket.complete(answer("paid"));
        settled(&claims).await;
        assert_eq!(
            row(&store.table, "k").state,
            State::Completed(answer("paid"))
        );
    });
}
