//! In-memory table with injected outages, lost answers, late writes and stale reads.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use claim::store::Store;
use store::{
    mem::MemTable,
    table::{Commit, Row, StoreError, Txn},
};

/// Probability of each fault, in percent of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The write does not take effect, and the answer says so.
    pub not_done: u8,
    /// The write takes effect and the answer is lost.
    pub lost_answer: u8,
    /// The answer is lost and the write may take effect during a later call.
    pub late_write: u8,
    /// The read does not see the row.
    pub stale_read: u8,
    pub failed_read: u8,
}

/// In-memory table with injected faults.
#[derive(Clone, Debug)]
pub struct FaultyTable {
    pub table: MemTable,
    shared: Rc<RefCell<Shared>>,
}

#[derive(Debug)]
struct Shared {
    rng: fastrand::Rng,
    faults: Faults,
    script: VecDeque<Faults>,
    /// Transactions without an answer that have not taken effect yet.
    late: Vec<Txn>,
    /// Answer of the next read of one row.
    stale_row: Option<Row>,
    transactions: usize,
    rows: usize,
}

impl FaultyTable {
    pub fn new(table: MemTable, seed: u64, faults: Faults) -> Self {
        let shared = Shared {
            rng: fastrand::Rng::with_seed(seed),
            faults,
            script: VecDeque::new(),
            late: Vec::new(),
            stale_row: None,
            transactions: 0,
            rows: 0,
        };
        let shared = Rc::new(RefCell::new(shared));
        Self { table, shared }
    }

    pub fn set_faults(&self, faults: Faults) {
        self.shared.borrow_mut().faults = faults;
    }

    /// Sets the faults of the next calls, one element per call.
    pub fn set_script(&self, script: impl IntoIterator<Item = Faults>) {
        self.shared.borrow_mut().script.extend(script);
    }

    /// Lets the next read of one row return this older version of it.
    pub fn set_stale_row(&self, row: Row) {
        self.shared.borrow_mut().stale_row = Some(row);
    }

    /// Number of transactions and of rows sent.
    pub fn sent(&self) -> (usize, usize) {
        let shared = self.shared.borrow();
        (shared.transactions, shared.rows)
    }

    /// Yields a random number of times, like the delay of a network.
    async fn delay(&self) {
        let yields = self.shared.borrow_mut().rng.u8(1..8);
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }

    /// Returns whether a fault is injected, by its probability.
    fn injects(&self, percent: impl Fn(&Faults) -> u8) -> bool {
        let mut shared = self.shared.borrow_mut();
        let percent = percent(&shared.faults);
        shared.rng.u8(..100) < percent
    }

    /// Takes the next faults of the script and may apply a late write.
    fn begin_call(&self) {
        let mut shared = self.shared.borrow_mut();
        if let Some(faults) = shared.script.pop_front() {
            shared.faults = faults;
        }
        if shared.rng.bool()
            && let Some(txn) = shared.late.pop()
        {
            self.table.commit(&txn);
        }
    }
}

impl Store for FaultyTable {
    async fn commit(&self, txn: &Txn) -> Result<Commit, StoreError> {
        self.delay().await;
        self.begin_call();
        {
            let mut shared = self.shared.borrow_mut();
            shared.transactions += 1;
            shared.rows += txn.writes.len();
        }
        let reason = "injected".to_owned();
        if self.injects(|f| f.not_done) {
            return Err(StoreError::NotDone { reason });
        }
        if self.injects(|f| f.late_write) {
            self.shared.borrow_mut().late.push(txn.clone());
            return Err(StoreError::Unknown { reason });
        }
        let answer = self.table.commit(txn);
        self.delay().await;
        if self.injects(|f| f.lost_answer) {
            return Err(StoreError::Unknown { reason });
        }
        Ok(answer)
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.delay().await;
        self.begin_call();
        if self.injects(|f| f.failed_read) {
            let reason = "injected".to_owned();
            return Err(StoreError::NotDone { reason });
        }
        if self.injects(|f| f.stale_read) {
            return Ok(None);
        }
        if let Some(row) = self.shared.borrow_mut().stale_row.take() {
            return Ok(Some(row));
        }
        Ok(self.table.get(key))
    }

    async fn scan(&self, prefix: &str, after: &str, n: usize) -> Result<Vec<Row>, StoreError> {
        Ok(self.table.scan(prefix, after, n))
    }
}
