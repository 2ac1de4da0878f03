//! Table, objects and VM list of the platform stand-in, and the selection of faults.

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
    platform::{CallFault, Stats},
    platform_cfg::PlatformCfg,
};

/// State of the platform stand-in.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) faults: Faults,
    pub(crate) stats: Stats,
    pub(crate) objects: SortedMap<String, Bytes>,
    table: MemTable,
    /// Copy of `table` that reads see; it lags by `read_lag_ms`.
    replica: MemTable,
    /// Transactions that `replica` has not applied yet, with the time of their commit.
    unreplicated: VecDeque<(Millis, Txn)>,
    /// VM lists with the time at which each was set, oldest first; never empty.
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
            unreplicated: VecDeque::new(),
            vm_lists: VecDeque::from([(Millis::ZERO, cfg.vms)]),
            rng: fastrand::Rng::with_seed(cfg.seed),
        }
    }

    /// Selects the fault of the next call to the table service or the object store.
    pub(crate) fn select_fault(&mut self, is_write: bool) -> CallFault {
        let faults = &self.faults;
        let mut occurs = |share: f64| share > 0.0 && self.rng.f64() < share;
        if faults.silent {
            return CallFault::Silent;
        }
        if faults.outage || occurs(faults.refused) {
            return CallFault::Refused;
        }
        if is_write && occurs(faults.lost_requests) {
            return CallFault::RequestLost;
        }
        if is_write && occurs(faults.lost_answers) {
            return CallFault::AnswerLost;
        }
        if occurs(faults.cut_answers) {
            return CallFault::AnswerTruncated;
        }
        CallFault::None
    }

    /// Commits a transaction to the table and queues it for the replica.
    pub(crate) fn commit(&mut self, now: Millis, txn: Txn) -> Commit {
        let result = self.table.commit(&txn);
        match &result {
            Commit::Done { .. } => {
                self.stats.applied += 1;
                self.stats.rows_written += txn.writes.len() as u64;
                self.unreplicated.push_back((now, txn));
            }
            Commit::Conflict { .. } => self.stats.conflicts += 1,
        }
        self.catch_up(now);
        result
    }

    /// Reads a row from the replica.
    pub(crate) fn get(&mut self, now: Millis, key: &str) -> Option<Row> {
        self.catch_up(now);
        self.stats.gets += 1;
        let row = self.table_for_reads(key).get(key);
        self.stats.rows_read += u64::from(row.is_some());
        row
    }

    /// Reads a range of rows from the replica.
    pub(crate) fn scan(
        &mut self,
        now: Millis,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Vec<Row> {
        self.catch_up(now);
        self.stats.scans += 1;
        let rows = self.table_for_reads(prefix).scan(prefix, after, limit);
        self.stats.rows_read += rows.len() as u64;
        rows
    }

    /// Returns the table that reads of keys with this prefix see.
    fn table_for_reads(&self, prefix: &str) -> &MemTable {
        if prefix.starts_with(&self.faults.read_lag_prefix) {
            &self.replica
        } else {
            &self.table
        }
    }

    /// Reads a row from the table, without lag.
    pub(crate) fn row(&self, key: &str) -> Option<Row> {
        self.table.get(key)
    }

    /// Reads all rows with this prefix from the table, without lag.
    pub(crate) fn rows(&self, prefix: &str) -> Vec<Row> {
        let mut rows: Vec<Row> = Vec::new();
        loop {
            let after = rows.last().map(|r| r.key.clone()).unwrap_or_default();
            let page = self.table.scan(prefix, &after, MAX_SCAN_ROWS);
            let is_full = page.len() == MAX_SCAN_ROWS;
            rows.extend(page);
            if !is_full {
                return rows;
            }
        }
    }

    pub(crate) fn set_vms(&mut self, now: Millis, vms: Vec<Vm>) {
        self.vm_lists.push_back((now, vms));
    }

    /// Returns the newest VM list that is at least as old as the lag, or else the oldest one.
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
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    /// Applies the transactions to the replica that are at least as old as the lag.
    ///
    /// They are applied in the order of their commits, so that the replica assigns the same
    /// versions.
    fn catch_up(&mut self, now: Millis) {
        let lag = self.faults.read_lag_ms;
        while let Some((committed_at, _)) = self.unreplicated.front() {
            if now.since(*committed_at) < lag {
                return;
            }
            if let Some((_, txn)) = self.unreplicated.pop_front() {
                self.replica.commit(&txn);
            }
        }
    }
}
