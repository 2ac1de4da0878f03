//! Ages of rows, measured without wall clocks.
//!
//! A row carries the version of the transaction that last wrote it, and versions only increase. The
//! leader marks from time to time which version the table has reached. A row whose version is not
//! higher than that of a mark was written before the mark.
//!
//! The marks are on a scale that counts only the time that leaders measured on their clocks since
//! boot, so a wall clock that jumps has no effect on it. Time without a leader does not count: a row
//! is at least as old as its age.

use base::clock::Millis;
use serde::{Deserialize, Serialize};
use store::table::Row;

/// Reciprocal of the maximum distance between the neighbours of a mark that is dropped, as a part of
/// its age.
const MARKS_PER_AGE: u64 = 16;

/// Content of the row `ages/{shard}`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RowAgesRow {
    /// Time that all leaders have measured.
    elapsed_ms: Millis,
    /// Marks before the one that this row itself makes, by version.
    marks: Vec<Mark>,
}

/// Version that the table had reached at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct Mark {
    version: u64,
    at_ms: Millis,
}

/// Ages of rows by their versions.
///
/// ```
/// use base::clock::Millis;
/// use sched::row_ages::RowAges;
///
/// let mut ages = RowAges::new(Millis(100));
/// ages.mark(Millis(200), 7);
/// assert_eq!(ages.age(Millis(900), 7), Millis(700));
/// assert_eq!(ages.age(Millis(900), 8), Millis(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RowAges {
    /// Time that earlier leaders measured.
    elapsed: Millis,
    /// Time since boot at which this leader began to measure.
    started_at: Millis,
    /// Version of the row; 0 if there is none.
    version: u64,
    /// Marks by version.
    marks: Vec<Mark>,
}

impl RowAges {
    /// Starts to measure at `now`, a time since boot, without knowledge of earlier rows.
    pub fn new(now: Millis) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Continues the measurement of earlier leaders at `now`, a time since boot. The row makes a
    /// mark itself. A row that can't be read is replaced, which makes all rows appear younger.
    pub fn read(row: Option<&Row>, now: Millis) -> Self {
        let Some(row) = row else {
            return Self::new(now);
        };
        let content: RowAgesRow = serde_json::from_str(&row.value).unwrap_or_else(|e| {
            log::error!(row:% = row.key, reason:% = e; "sched: ages of rows can't be read");
            RowAgesRow::default()
        });
        // A later mark is not of this table: its versions started anew after the mark was made.
        let is_earlier = |m: &Mark| m.version < row.version && m.at_ms <= content.elapsed_ms;
        let mut ages = Self {
            elapsed: content.elapsed_ms,
            started_at: now,
            version: 0,
            marks: content.marks.into_iter().filter(is_earlier).collect(),
        };
        ages.marks.sort_by_key(|m| m.version);
        ages.mark(now, row.version);
        ages
    }

    /// Returns the content of the row to write at `now`.
    pub fn row(&self, now: Millis) -> RowAgesRow {
        RowAgesRow {
            elapsed_ms: self.time(now),
            marks: self.marks.clone(),
        }
    }

    /// Returns the version of the row; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that the row was written with `version`, which was known at `now`.
    pub fn mark(&mut self, now: Millis, version: u64) {
        let at_ms = self.time(now);
        self.version = version;
        self.marks.push(Mark { version, at_ms });
        self.drop_close_marks(at_ms);
    }

    /// Returns the current time on the scale of the marks.
    pub fn time(&self, now: Millis) -> Millis {
        self.elapsed + now.since(self.started_at)
    }

    /// Returns a time at which a row that now has `version` was written already.
    pub fn written_by(&self, now: Millis, version: u64) -> Millis {
        let mark = self.marks.partition_point(|m| m.version < version);
        self.marks
            .get(mark)
            .map_or_else(|| self.time(now), |m| m.at_ms)
    }

    /// Returns the minimum age of a row with `version`.
    pub fn age(&self, now: Millis, version: u64) -> Millis {
        self.time(now).since(self.written_by(now, version))
    }

    /// Drops marks, so that their number grows with the logarithm of the time. A row whose mark is
    /// dropped appears younger.
    fn drop_close_marks(&mut self, time: Millis) {
        let marks = std::mem::take(&mut self.marks);
        for (i, mark) in marks.iter().enumerate() {
            let is_needed = match (self.marks.last(), marks.get(i + 1)) {
                (Some(older), Some(newer)) => {
                    let distance = newer.at_ms.since(older.at_ms).0;
                    distance > time.since(mark.at_ms).0 / MARKS_PER_AGE
                }
                _ => true,
            };
            if is_needed {
                self.marks.push(*mark);
            }
        }
    }
}
