//! The clock of the store, which all processes share.

use std::cell::Cell;

use base::clock::{self, Millis};

/// Maximum amount by which the estimate is ahead of the clock, because the local clock runs faster
/// or times are rounded.
const MAX_LEAD: Millis = Millis(100);

/// Estimate of the time of the store's clock, from the times in its answers.
///
/// The clock is steady and the same for all processes, unlike the wall clocks of VMs. The estimate
/// is late by at most the time that the fastest of the answers took. An answer that is read late, as
/// after a suspension of the process, does not set it back.
///
/// ```
/// use base::clock::{self, Millis};
/// use store::store_clock::StoreClock;
///
/// let clock = StoreClock::default();
/// assert_eq!(clock.now(), None);
/// clock.record(clock::now(), Millis(51_230));
/// assert!(clock.now() >= Some(Millis(51_230)));
/// ```
#[derive(Debug, Default)]
pub struct StoreClock {
    /// Time in an answer, and the time of this process when it arrived.
    last: Cell<Option<(Millis, Millis)>>,
}

impl StoreClock {
    /// Records the time `now` in an answer that has just arrived, to a call that was sent at `sent`.
    ///
    /// ```
    /// # use base::clock::{self, Millis};
    /// store::store_clock::StoreClock::default().record(clock::now(), Millis(1));
    /// ```
    pub fn record(&self, sent: Millis, now: Millis) {
        let arrived = clock::now();
        let is_older = |(last, at): (Millis, Millis)| {
            // The answer was written after `sent`. Otherwise the clock has started anew.
            let is_same_clock = now + at + MAX_LEAD >= last + sent;
            is_same_clock && now < last + arrived.since(at)
        };
        if !self.last.get().is_some_and(is_older) {
            self.last.set(Some((now, arrived)));
        }
    }

    /// Returns the time of the store's clock, or `None` before the first answer.
    ///
    /// ```
    /// assert_eq!(store::store_clock::StoreClock::default().now(), None);
    /// ```
    pub fn now(&self) -> Option<Millis> {
        let (now, at) = self.last.get()?;
        Some(now + clock::now().since(at))
    }
}
