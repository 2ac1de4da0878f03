//! Limits of calls to the store, from the latency of the calls before.

use std::cell::Cell;

use base::clock::Millis;

use crate::latency::{Latency, LatencyCfg};

/// Limits of reads. The smallest one covers the delays of a VM with an eighth of a core.
const READS: LatencyCfg = LatencyCfg {
    min_ms: Millis(120),
    max_ms: Millis(500),
};
/// Limits after which the outcome of a transaction is read back.
const WRITES: LatencyCfg = LatencyCfg {
    min_ms: Millis(80),
    max_ms: Millis(1_000),
};
/// Number of limits after which a read is given up.
const READ_LIMITS: u64 = 4;
/// Number of limits after which a transaction is given up. Until then each read-back shows whether
/// it was applied, and a repeated transaction would only add to the load of a slow store.
const WRITE_LIMITS: u64 = 5;
/// Minimum time after which a transaction is given up. A store that has just become slow would
/// otherwise get each transaction several times, and applies those of a part one after another.
const MIN_WRITE_LIMIT: Millis = Millis(1_000);

/// Latency of the calls to the store, shared by all its clients in a process.
///
/// ```
/// use base::clock::Millis;
/// use store::pace::Pace;
///
/// let pace = Pace::default();
/// assert_eq!(pace.second_read_after(), Millis(500));
/// pace.record_read(Millis(4));
/// assert_eq!(pace.second_read_after(), Millis(120));
/// ```
#[derive(Debug)]
pub struct Pace {
    reads: Cell<Latency>,
    writes: Cell<Latency>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            reads: Cell::new(Latency::new(READS)),
            writes: Cell::new(Latency::new(WRITES)),
        }
    }
}

impl Pace {
    /// Records the time from sending a read to the first byte of its answer.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// store::pace::Pace::default().record_read(Millis(4));
    /// ```
    pub fn record_read(&self, latency: Millis) {
        update(&self.reads, |l| l.record(latency));
    }

    /// Records that a read exceeded [`Self::second_read_after`].
    ///
    /// ```
    /// store::pace::Pace::default().record_late_read();
    /// ```
    pub fn record_late_read(&self) {
        update(&self.reads, Latency::record_timeout);
    }

    /// Records the latency of an answered transaction.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// store::pace::Pace::default().record_write(Millis(8));
    /// ```
    pub fn record_write(&self, latency: Millis) {
        update(&self.writes, |l| l.record(latency));
    }

    /// Records that a transaction was given up.
    ///
    /// ```
    /// store::pace::Pace::default().record_lost_write();
    /// ```
    pub fn record_lost_write(&self) {
        update(&self.writes, Latency::record_timeout);
    }

    /// Returns the mean latency of reads, or `None` before the first one.
    ///
    /// ```
    /// assert_eq!(store::pace::Pace::default().mean_read(), None);
    /// ```
    pub fn mean_read(&self) -> Option<Millis> {
        self.reads.get().mean()
    }

    /// Returns the time without progress after which a read is sent again on another connection.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert!(store::pace::Pace::default().second_read_after() > Millis::ZERO);
    /// ```
    pub fn second_read_after(&self) -> Millis {
        self.reads.get().limit()
    }

    /// Returns the time without progress after which a read is given up.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(store::pace::Pace::default().read_limit(), Millis(2_000));
    /// ```
    pub fn read_limit(&self) -> Millis {
        Millis(self.second_read_after().0 * READ_LIMITS)
    }

    /// Returns the time after which the outcome of a transaction is read back.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(store::pace::Pace::default().read_back_after(), Millis(1_000));
    /// ```
    pub fn read_back_after(&self) -> Millis {
        self.writes.get().limit()
    }

    /// Returns the time after which a transaction is given up, at most `max`.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let pace = store::pace::Pace::default();
    /// pace.record_write(Millis(8));
    /// assert_eq!(pace.write_limit(Millis(3_000)), Millis(1_000));
    /// assert_eq!(pace.write_limit(Millis(500)), Millis(500));
    /// ```
    pub fn write_limit(&self, max: Millis) -> Millis {
        let limit = Millis(self.read_back_after().0 * WRITE_LIMITS);
        limit.max(MIN_WRITE_LIMIT).min(max)
    }
}

fn update(cell: &Cell<Latency>, f: impl FnOnce(&mut Latency)) {
    let mut latency = cell.get();
    f(&mut latency);
    cell.set(latency);
}
