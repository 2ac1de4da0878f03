//! What is known of the clock of one incarnation of a worker.
//!
//! Each incarnation has a clock of its own, which starts at any value. Answers to orders don't name the
//! incarnation, so only their time on the worker's clock tells which one has answered.

use base::clock::Millis;

/// Maximum amount by which the rates of a worker's clock and the local clock differ, in percent.
pub(crate) const DRIFT_PERCENT: u64 = 2;
/// Maximum error of a reading, because both clocks are read in whole milliseconds.
const ROUNDING: Millis = Millis(5);

/// Bounds of a worker's clock at a local time.
///
/// ```
/// use base::clock::Millis;
/// use batch::worker_clock::WorkerClock;
///
/// let clock = WorkerClock::new(Millis(500_000), Millis(1_000), Millis(1_010));
/// assert!(clock.fits(Millis(501_000), Millis(2_000), Millis(2_010)));
/// assert!(!clock.fits(Millis(90), Millis(2_000), Millis(2_010)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    /// Local time of the bounds.
    at: Millis,
    earliest: Millis,
    latest: Millis,
}

impl WorkerClock {
    /// Returns the clock that showed `value` between the local times `after` and `by`.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::worker_clock::WorkerClock;
    /// let clock = WorkerClock::new(Millis(500), Millis(9), Millis(10));
    /// assert_eq!(clock.value_at(Millis(20)), Millis(510));
    /// ```
    pub const fn new(value: Millis, after: Millis, by: Millis) -> Self {
        Self {
            at: by,
            earliest: value,
            latest: fastest(value, by.since(after)),
        }
    }

    /// Adds a reading of the same clock.
    pub(crate) fn narrow(&mut self, value: Millis, after: Millis, by: Millis) {
        let added = Self::new(value, after, by);
        *self = Self {
            at: by,
            earliest: added.earliest.max(self.earliest_at(by)),
            latest: added.latest.min(self.latest_at(by)),
        };
        self.latest = self.latest.max(self.earliest);
    }

    /// Returns the local time of the bounds.
    pub(crate) const fn at(&self) -> Millis {
        self.at
    }

    /// Returns a value that the clock has reached at the local time of the bounds.
    pub(crate) const fn reached(&self) -> Millis {
        self.earliest
    }

    /// Returns the time on the clock at a local time, if both run at the same rate.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::worker_clock::WorkerClock;
    /// let clock = WorkerClock::new(Millis(500), Millis(10), Millis(10));
    /// assert_eq!(clock.value_at(Millis(10)), Millis(500));
    /// ```
    pub const fn value_at(&self, now: Millis) -> Millis {
        Millis(self.earliest.0 + now.since(self.at).0)
    }

    /// Returns whether this clock may have shown `value` between two local times.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::worker_clock::WorkerClock;
    /// let clock = WorkerClock::new(Millis(500), Millis(10), Millis(10));
    /// assert!(!clock.fits(Millis(9_000), Millis(20), Millis(30)));
    /// ```
    pub fn fits(&self, value: Millis, after: Millis, by: Millis) -> bool {
        let earliest = self.earliest_at(after).since(ROUNDING);
        let latest = self.latest_at(by) + ROUNDING;
        (earliest..=latest).contains(&value)
    }

    /// Returns the earliest time that the clock may show at a local time.
    fn earliest_at(&self, t: Millis) -> Millis {
        if t >= self.at {
            return slowest(self.earliest, t.since(self.at));
        }
        self.earliest.since(fastest(Millis::ZERO, self.at.since(t)))
    }

    /// Returns the latest time that the clock may show at a local time.
    pub(crate) fn latest_at(&self, t: Millis) -> Millis {
        if t >= self.at {
            return fastest(self.latest, t.since(self.at));
        }
        self.latest.since(slowest(Millis::ZERO, self.at.since(t)))
    }
}

const fn slowest(value: Millis, span: Millis) -> Millis {
    Millis(value.0 + span.0 * (100 - DRIFT_PERCENT) / 100)
}

const fn fastest(value: Millis, span: Millis) -> Millis {
    Millis(value.0 + span.0 * (100 + DRIFT_PERCENT) / 100 + 1)
}
