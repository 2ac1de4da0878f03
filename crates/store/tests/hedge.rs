//! Transactions and reads on a store that is fast, slow, silent, or loses answers.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    future,
    rc::Rc,
};

use base::clock::{self, Millis};
use store::{
    hedge::{self, Calls},
    pace::Pace,
    table::{Commit, Row, StoreError, Txn},
};
use tokio::time;
use transfer::exchange::Exchange;

/// Maximum time for a transaction in these tests.
const MAX: Millis = Millis(3_000);
const FAST: Millis = Millis(5);

/// A store that applies each transaction at once.
#[derive(Default)]
struct Fake {
    rows: RefCell<BTreeMap<String, Row>>,
    version: Cell<u64>,
    /// Time until a transaction is answered; `None` if it never is.
    write_latency: Option<Millis>,
    /// Whether transactions are applied.
    applies: bool,
    commits: Cell<u32>,
    /// Time until each read is answered, in order; later reads are answered at once.
    read_latencies: Vec<Millis>,
    reads: Cell<usize>,
}

async fn sleep(t: Millis) {
    time::sleep(t.to_duration()).await;
}

impl Calls for Fake {
    async fn commit_once(&self, txn: &Txn, limit: Millis) -> Result<Commit, StoreError> {
        self.commits.set(self.commits.get() + 1);
        let version = self.version.get() + 1;
        if self.applies {
            self.version.set(version);
            for write in &txn.writes {
                let row = Row {
                    key: write.key.clone(),
                    version,
                    value: write.value.clone().unwrap_or_default(),
                };
                self.rows.borrow_mut().insert(write.key.to_string(), row);
            }
        }
        let latency = self.write_latency.unwrap_or(Millis::from_secs(60));
        sleep(latency.min(limit)).await;
        if latency <= limit {
            return Ok(Commit::Done { version });
        }
        Err(StoreError::Unknown {
            reason: "no answer".into(),
        })
    }

    async fn row(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let i = self.reads.replace(self.reads.get() + 1);
        sleep(self.read_latencies.get(i).copied().unwrap_or(FAST)).await;
        Ok(self.rows.borrow().get(key).cloned())
    }
}

fn fast_pace() -> Pace {
    let pace = Pace::default();
    for _ in 0..20 {
        pace.record_write(Millis(8));
        pace.record_read(Millis(4));
    }
    pace
}

fn txn() -> Txn {
    Txn::default().put("a", "1".into()).put("proof", "7".into())
}

/// Guards against a lost answer that blocks everything behind it until the timeout of the call.
#[ntex::test]
async fn a_transaction_without_an_answer_is_read_back() {
    let store = Fake {
        applies: true,
        ..Fake::default()
    };
    let pace = fast_pace();
    let start = clock::now();
    let result = hedge::commit(&store, &txn(), &pace, MAX).await;
    assert_eq!(result, Ok(Commit::Done { version: 1 }));
    let took = clock::now().since(start);
    assert!(took < pace.write_limit(MAX), "{took}");
    assert_eq!(store.commits.get(), 1);
}

/// Guards against a transaction that counts as applied because of a row of an earlier one, and
/// against an unknown outcome that is reported as a refusal.
#[ntex::test]
async fn a_transaction_that_is_not_applied_stays_unknown() {
    let store = Fake::default();
    let old = Row {
        key: "proof".into(),
        version: 3,
        value: "6".into(),
    };
    store.rows.borrow_mut().insert("proof".into(), old);
    let pace = fast_pace();
    let limit = pace.write_limit(MAX);
    let read_back_after = pace.read_back_after();
    let start = clock::now();
    let result = hedge::commit(&store, &txn(), &pace, MAX).await;
    assert!(
        matches!(result, Err(StoreError::Unknown { .. })),
        "{result:?}"
    );
    assert!(clock::now().since(start) >= limit);
    assert!(
        pace.read_back_after() > read_back_after,
        "the next one gets more time"
    );
}

/// Guards against transactions that a slow store gets again and again, each just before the answer
/// to the one before.
#[ntex::test]
async fn a_slow_store_gets_each_transaction_once() {
    let store = Fake {
        applies: true,
        write_latency: Some(Millis(350)),
        // Reads queue behind the transactions of the store.
        read_latencies: vec![Millis(400); 100],
        ..Fake::default()
    };
    let pace = fast_pace();
    for round in 1..4 {
        let result = hedge::commit(&store, &txn(), &pace, MAX).await;
        assert!(matches!(result, Ok(Commit::Done { .. })), "{result:?}");
        assert_eq!(store.commits.get(), round);
    }
    let reads = store.reads.get();
    hedge::commit(&store, &txn(), &pace, MAX).await.unwrap();
    assert_eq!(store.reads.get(), reads, "the answer is not late any more");
}

/// Guards against a read that waits for its timeout on a connection that has gone silent.
#[ntex::test]
async fn a_late_read_is_sent_again() {
    let store = Fake {
        read_latencies: vec![Millis::from_secs(60)],
        ..Fake::default()
    };
    let pace = fast_pace();
    let start = clock::now();
    let row = hedge::read(&pace, |_| store.row("a")).await;
    assert_eq!(row, Ok(None));
    assert!(clock::now().since(start) < pace.read_limit());
    assert_eq!(store.reads.get(), 2);
}

/// Guards against a caller that waits for a store which answers no read at all.
#[ntex::test]
async fn a_read_of_a_silent_store_is_given_up() {
    let store = Fake {
        read_latencies: vec![Millis::from_secs(60); 100],
        ..Fake::default()
    };
    let pace = fast_pace();
    let limit = pace.read_limit();
    let start = clock::now();
    let row = hedge::read(&pace, |_| store.row("a")).await;
    assert!(matches!(row, Err(StoreError::NotDone { .. })), "{row:?}");
    // Half of the limit allows for a busy machine.
    let took = clock::now().since(start);
    assert!(
        took >= limit && took < limit + Millis(limit.0 / 2),
        "{took}"
    );
}

/// Records 40 pieces that arrive at the rate of a link of 2 Mbit/s, which takes 1.3 s.
async fn arrive(exchange: &Exchange) {
    for _ in 0..40 {
        sleep(Millis(32)).await;
        exchange.record(8_000);
    }
}

/// Guards against a long answer that is requested again while it arrives and then given up, by limits
/// that follow short answers: no answer was ever complete on a narrow link.
#[ntex::test]
async fn an_answer_that_is_long_for_the_link_is_read_once() {
    let pace = fast_pace();
    let reads = Cell::new(0);
    let read = async |exchange: Rc<Exchange>| {
        reads.set(reads.get() + 1);
        arrive(&exchange).await;
        Ok(())
    };
    assert_eq!(hedge::read(&pace, read).await, Ok(()));
    assert_eq!(reads.get(), 1);
    assert!(pace.read_limit() < Millis(600), "{}", pace.read_limit());
}

/// Guards against two requests for a long answer that share the link to the end, because the first
/// one was late to begin.
#[ntex::test]
async fn a_request_beside_an_answer_that_arrives_is_dropped() {
    let pace = fast_pace();
    let (reads, under_way) = (Cell::new(0), Rc::new(()));
    let counts = RefCell::new(Vec::new());
    let read = async |exchange: Rc<Exchange>| {
        let is_first = reads.replace(reads.get() + 1) == 0;
        let _call = under_way.clone();
        if !is_first {
            future::pending::<()>().await;
        }
        sleep(pace.second_read_after() + Millis(50)).await;
        arrive(&exchange).await;
        counts.borrow_mut().push(Rc::strong_count(&under_way) - 1);
        Ok(())
    };
    assert_eq!(hedge::read(&pace, read).await, Ok(()));
    assert_eq!((reads.get(), counts.take()), (2, vec![1]));
}

/// Guards against a read that waits for the rest of an answer on a connection that has gone silent.
#[ntex::test]
async fn an_answer_that_stops_is_requested_again() {
    let pace = fast_pace();
    let (reads, stopped) = (Cell::new(0), Cell::new(Millis::ZERO));
    let read = async |exchange: Rc<Exchange>| {
        if reads.replace(reads.get() + 1) == 0 {
            exchange.record(100_000);
            stopped.set(clock::now());
            future::pending::<()>().await;
        }
        Ok(())
    };
    assert_eq!(hedge::read(&pace, read).await, Ok(()));
    assert_eq!(reads.get(), 2);
    // As fast as for a connection that is silent from the start.
    let took = clock::now().since(stopped.get());
    assert!(took < pace.read_limit(), "{took}");
}

/// Guards against a read that hangs on a connection on which bytes trickle.
#[ntex::test]
async fn an_answer_that_trickles_is_requested_again() {
    let pace = fast_pace();
    let reads = Cell::new(0);
    let read = async |exchange: Rc<Exchange>| {
        if reads.replace(reads.get() + 1) == 0 {
            loop {
                exchange.record(10);
                sleep(Millis(50)).await;
            }
        }
        Ok(())
    };
    let read = time::timeout(Millis(6_000).to_duration(), hedge::read(&pace, read));
    assert_eq!(read.await, Ok(Ok(())));
    assert_eq!(reads.get(), 2);
}
