//! The clock of the store, which all processes share.

use std::cell::Cell;

use base::clock::{self, Millis};

/// Estimate of the time of the store's clock, from the times in its answers.
///
/// The clock is steady and the same for all processes, unlike the wall clocks of VMs. The estimate
/// is late by at most the time that the last answer took.
///
/// ```
/// use base::clock::Millis;
/// use store::store_clock::StoreClock;
///
/// let clock = StoreClock::default();
/// assert_eq!(clock.now(), None);
/// clock.record(Millis(51_230));
/// assert!(clock.now() >= Some(Millis(51_230)));
/// ```
#[derive(Debug, Default)]
pub struct StoreClock {
    /// Time in the last answer, and the time of this process when it arrived.
    last: Cell<Option<(Millis, Millis)>>,
}

impl StoreClock {
    /// Records the time in an answer that has just arrived.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// store::store_clock::StoreClock::default().record(Millis(1));
    /// ```
    pub fn record(&self, now: Millis) {
        self.last.set(Some((now, clock::now())));
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
