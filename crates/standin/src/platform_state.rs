//! Tables, objects, VM list and fault choices of the platform stand-in.

use std::collections::VecDeque;

use base::{clock::Millis, sorted::SortedMap};
use ntex::util::Bytes;
use store::{
    mem::MemTable,
    table::{Commit, MAX_SCAN_ROWS, Row, Txn},
    vm::Vm,
};

use crate::{
    faults::Faults,
    platform::{Fate, Stats},
    platform_cfg::PlatformCfg,
};

/// State of the stand-in.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) faults: Faults,
    pub(crate) stats: Stats,
    pub(crate) objects: SortedMap<String, Bytes>,
    table: MemTable,
    /// Follows `table` at a distance of the read lag.
    replica: MemTable,
    /// Transactions that `replica` has not applied yet.
    behind: VecDeque<(Millis, Txn)>,
    /// VM lists with the time when each was set, oldest first; never empty.
    vm_lists: VecDeque<(Millis, Vec<Vm>)>,
    rng: fastrand::Rng,
}

impl State {
    pub(crate) fn new(cfg: PlatformCfg) -> Self {
        Self {
            faults: cfg.faults,
            stats: Stats::default(),
            objects: SortedMap::default(),
            table: MemTable::default(),
            replica: MemTable::default(),
            behind: VecDeque::new(),
            vm_lists: VecDeque::from([(Millis::ZERO, cfg.vms)]),
            rng: fastrand::Rng::with_seed(cfg.seed),
        }
    }

    /// Chooses what happens to the next call of table service or object store.
    pub(crate) fn fate(&mut self, writes: bool) -> Fate {
        let faults = &self.faults;
        let mut hit = |share: f64| share > 0.0 && self.rng.f64() < share;
        if faults.silent {
            return Fate::Silent;
        }
        if faults.outage || hit(faults.refused) {
            return Fate::Refused;
        }
        if writes && hit(faults.lost_requests) {
            return Fate::RequestLost;
        }
        if writes && hit(faults.lost_answers) {
            return Fate::AnswerLost;
        }
        if hit(faults.cut_answers) {
            return Fate::AnswerCut;
        }
        Fate::Served
    }

    pub(crate) fn commit(&mut self, now: Millis, txn: Txn) -> Commit {
        let result = self.table.commit(&txn);
        match &result {
            Commit::Done { .. } => {
                self.stats.applied += 1;
                self.stats.rows_written += txn.writes.len() as u64;
                self.behind.push_back((now, txn));
            }
            Commit::Conflict { .. } => self.stats.conflicts += 1,
        }
        self.catch_up(now);
        result
    }

    pub(crate) fn get(&mut self, now: Millis, key: &str) -> Option<Row> {
        self.catch_up(now);
        self.stats.gets += 1;
        let row = self.replica.get(key);
        self.stats.rows_read += u64::from(row.is_some());
        row
    }

    pub(crate) fn scan(
        &mut self,
        now: Millis,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Vec<Row> {
        self.catch_up(now);
        self.stats.scans += 1;
        let rows = self.replica.scan(prefix, after, limit);
        self.stats.rows_read += rows.len() as u64;
        rows
    }

    pub(crate) fn row(&self, key: &str) -> Option<Row> {
        self.table.get(key)
    }

    pub(crate) fn rows(&self, prefix: &str) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|r| r.key.clone()).unwrap_or_default();
            let page = self.table.scan(prefix, &after, MAX_SCAN_ROWS);
            let full = page.len() == MAX_SCAN_ROWS;
            rows.extend(page);
            if !full {
                return rows;
            }
        }
    }

    pub(crate) fn set_vms(&mut self, now: Millis, vms: Vec<Vm>) {
        self.vm_lists.push_back((now, vms));
    }

    /// Returns the newest list that is at least as old as the lag.
    pub(crate) fn vms(&mut self, now: Millis) -> Vec<Vm> {
        let lag = self.faults.vm_lag_ms;
        while let Some((set_at, _)) = self.vm_lists.get(1) {
            if now.since(*set_at) < lag {
                break;
            }
            self.vm_lists.pop_front();
        }
        self.vm_lists
            .front()
            .map(|l| l.1.clone())
            .unwrap_or_default()
    }

    /// Applies to the replica what is at least as old as the lag.
    ///
    /// The replica gets the same transactions in the same order, so its versions are the same.
    fn catch_up(&mut self, now: Millis) {
        let lag = self.faults.read_lag_ms;
        while let Some((applied_at, _)) = self.behind.front() {
            if now.since(*applied_at) < lag {
                return;
            }
            if let Some((_, txn)) = self.behind.pop_front() {
                self.replica.commit(&txn);
            }
        }
    }
}
