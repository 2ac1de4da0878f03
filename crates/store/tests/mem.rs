//! Compares the in-memory table with a simple reference model.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use store::{
    mem::MemTable,
    table::{Commit, Row, Txn},
};

const SEED: u64 = 20_261_204;

/// Number of keys that transactions use. It is small, so that transactions share keys.
const KEYS: u8 = 6;

#[derive(Clone, Debug)]
struct RandomTxn {
    /// Checks as (key, offset): the expected version is the key's current version plus the offset,
    /// so a check with offset 0 passes and one with offset 1 fails.
    checks: Vec<(u8, u64)>,
    /// Writes as (key, value); `None` deletes the row.
    writes: Vec<(u8, Option<u8>)>,
}

impl Arbitrary for RandomTxn {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut checks: Vec<(u8, u64)> = Arbitrary::arbitrary(g);
        checks.truncate(3);
        for (key, offset) in &mut checks {
            *key %= KEYS;
            // About one check in eight fails.
            *offset = u64::from(*offset % 8 == 0);
        }
        let mut writes: Vec<(u8, Option<u8>)> = Arbitrary::arbitrary(g);
        writes.truncate(4);
        for (key, _) in &mut writes {
            *key %= KEYS;
        }
        Self { checks, writes }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let writes = self.writes.clone();
        let smaller = self.checks.shrink().map(move |checks| Self {
            checks,
            writes: writes.clone(),
        });
        Box::new(smaller)
    }
}

/// Reference model: rows in the order of their last write, with linear search.
#[derive(Default)]
struct Model {
    version: u64,
    rows: Vec<Row>,
}

impl Model {
    fn version_of(&self, key: &str) -> u64 {
        let row = self.rows.iter().find(|r| &*r.key == key);
        row.map_or(0, |r| r.version)
    }

    fn commit(&mut self, txn: &Txn) -> Commit {
        let mut failed = txn.checks.clone();
        failed.retain(|c| self.version_of(&c.key) != c.version);
        if !failed.is_empty() {
            let keys = failed.into_iter().map(|c| c.key).collect();
            return Commit::Conflict { keys };
        }
        self.version += 1;
        for write in &txn.writes {
            self.rows.retain(|r| r.key != write.key);
            if let Some(value) = &write.value {
                self.rows.push(Row {
                    key: write.key.clone(),
                    version: self.version,
                    value: value.clone(),
                });
            }
        }
        Commit::Done {
            version: self.version,
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let mut rows = self.rows.clone();
        rows.retain(|r| r.key.starts_with(prefix) && &*r.key > after);
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows.truncate(limit);
        rows
    }
}

fn key(number: u8) -> String {
    format!("{}/{}", ["a", "b"][usize::from(number % 2)], number / 2)
}

fn txn(random: &RandomTxn, model: &Model) -> Txn {
    let mut txn = Txn::default();
    for (k, offset) in &random.checks {
        let key = key(*k);
        txn = txn.check(key.as_str(), model.version_of(&key) + offset);
    }
    for (k, value) in &random.writes {
        txn = match value {
            Some(value) => txn.put(key(*k), value.to_string()),
            None => txn.delete(key(*k)),
        };
    }
    txn
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn matches_model(txns: Vec<RandomTxn>) -> bool {
    let table = MemTable::default();
    let mut model = Model::default();
    txns.iter().all(|random| {
        let txn = txn(random, &model);
        let same_commit = table.commit(&txn) == model.commit(&txn);
        let same_versions = (0..KEYS).all(|k| {
            let found = table.get(&key(k)).map_or(0, |r| r.version);
            found == model.version_of(&key(k))
        });
        let scans = [
            ("", "", 9),
            ("a/", "", 2),
            ("b/", "b/0", 9),
            ("a/", "b", 9),
            ("", "a/1", 3),
        ];
        let same_scans = scans.iter().all(|(prefix, after, limit)| {
            table.scan(prefix, after, *limit) == model.scan(prefix, after, *limit)
        });
        same_commit && same_versions && same_scans
    })
}

/// Guards against an in-memory table that applies writes despite a failed check, reports too few
/// conflicts, reuses versions or scans out of order.
#[test]
fn in_memory_table_matches_reference_model() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(matches_model as fn(Vec<RandomTxn>) -> bool);
}
