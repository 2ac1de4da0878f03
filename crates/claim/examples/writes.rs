//! Measures table writes per request, and counts executions under retries with and without claims.
//!
//! `cargo run --release -p claim --example writes`

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use claim::{
    claim_cfg::ClaimCfg,
    claims::{ClaimOutcome, Claims},
    fingerprint,
    record::Answer,
    store::Store,
};
use store::{
    mem::MemTable,
    table::{Commit, Row, StoreError, Txn},
};
use tokio::{runtime, task, time};

const REQUESTS: usize = 1_920;
const STORE_LATENCY: Duration = Duration::from_millis(4);
const BACKEND_LATENCY: Duration = Duration::from_millis(20);
const LOST_ANSWERS_PERCENT: u8 = 20;
const TRIES: usize = 5;

/// Table with the latency of a network call that counts transactions and written rows.
#[derive(Clone, Default)]
struct CountingTable {
    table: MemTable,
    transactions: Rc<Cell<usize>>,
    rows: Rc<Cell<usize>>,
}

impl Store for CountingTable {
    async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        self.transactions.set(self.transactions.get() + 1);
        self.rows.set(self.rows.get() + txn.writes.len());
        time::sleep(STORE_LATENCY).await;
        Ok(self.table.commit(txn))
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        time::sleep(STORE_LATENCY).await;
        Ok(self.table.get(key))
    }

    async fn scan(&self, prefix: &str, after: &str, n: usize) -> Result<Vec<Row>, StoreError> {
        Ok(self.table.scan(prefix, after, n))
    }
}

fn block_on(work: impl Future<Output = ()>) {
    let rt = runtime::Builder::new_current_thread().enable_all().build();
    task::LocalSet::new().block_on(&rt.unwrap(), work);
}

/// Claims `key` and executes its request; returns whether it was executed.
async fn execute(claims: &Claims, key: String, executions: &Cell<usize>) -> bool {
    let organisation = "org".parse().unwrap();
    let service = "refund".parse().unwrap();
    let fingerprint = fingerprint::of(&service, &service, key.as_bytes());
    let ClaimOutcome::Run(ticket) = claims.begin(&organisation, &key, &fingerprint).await else {
        return false;
    };
    time::sleep(BACKEND_LATENCY).await;
    executions.set(executions.get() + 1);
    ticket.complete(Answer::new(200, "text/plain", b"paid".to_vec()));
    true
}

/// Runs all requests with `concurrent` callers and prints the writes per request.
async fn measure_writes(concurrent: usize) {
    let store = CountingTable::default();
    let (claims, driver) = Claims::new(ClaimCfg::default(), store.clone(), 1);
    task::spawn_local(driver.run());
    let executions = Rc::new(Cell::new(0));
    let start = time::Instant::now();
    let callers = (0..concurrent).map(|caller| {
        let (claims, executions) = (claims.clone(), executions.clone());
        task::spawn_local(async move {
            for i in 0..REQUESTS / concurrent {
                assert!(execute(&claims, format!("{caller}-{i}"), &executions).await);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    while claims.unsettled() > 0 {
        time::sleep(STORE_LATENCY).await;
    }
    let elapsed = start.elapsed().as_secs_f64();
    let per_request = |n: &Cell<usize>| n.get() as f64 / REQUESTS as f64;
    println!(
        "| {concurrent} | {:.2} | {:.3} | {:.0} |",
        per_request(&store.rows),
        per_request(&store.transactions),
        REQUESTS as f64 / elapsed,
    );
}

/// Runs all requests with callers that retry after a lost answer, and prints the number of
/// executions.
async fn count_executions(with_claims: bool) {
    let (claims, driver) = Claims::new(ClaimCfg::default(), CountingTable::default(), 1);
    task::spawn_local(driver.run());
    let executions = Rc::new(Cell::new(0));
    let rng = Rc::new(RefCell::new(fastrand::Rng::with_seed(5)));
    let callers = (0..REQUESTS).map(|caller| {
        let (claims, executions, rng) = (claims.clone(), executions.clone(), rng.clone());
        task::spawn_local(async move {
            for _ in 0..TRIES {
                if with_claims {
                    execute(&claims, format!("{caller}"), &executions).await;
                } else {
                    time::sleep(BACKEND_LATENCY).await;
                    executions.set(executions.get() + 1);
                }
                if rng.borrow_mut().u8(..100) >= LOST_ANSWERS_PERCENT {
                    return;
                }
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    println!(
        "claims {with_claims}: {REQUESTS} requests, {} executions",
        executions.get()
    );
}

fn main() {
    println!("| concurrent | rows per request | transactions per request | requests/s |");
    println!("| --- | --- | --- | --- |");
    for concurrent in [1, 16, 64] {
        block_on(measure_writes(concurrent));
    }
    for with_claims in [false, true] {
        block_on(count_executions(with_claims));
    }
}
