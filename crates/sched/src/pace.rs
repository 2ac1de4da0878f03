//! Pace of writes to the table service.

use base::clock::Millis;

/// Limits writes to a number per second, with bursts of at most one second's worth.
///
/// ```
/// use base::clock::Millis;
/// use sched::pace::Pace;
///
/// let mut pace = Pace::default();
/// assert_eq!(pace.wait(Millis(1_000), 100, 200), Millis(0));
/// assert_eq!(pace.wait(Millis(1_000), 100, 200), Millis(0));
/// assert_eq!(pace.wait(Millis(1_000), 100, 200), Millis(500));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// Time at which all earlier writes are paid for.
    paid: Millis,
}

impl Pace {
    /// Returns how long to wait before `writes` more writes at `per_s` writes a second.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(sched::pace::Pace::default().wait(Millis(1_000), 1, 200), Millis(0));
    /// ```
    pub fn wait(&mut self, now: Millis, writes: usize, per_s: u32) -> Millis {
        let earliest = now.since(Millis::from_secs(1));
        let cost = Millis(writes as u64 * 1_000 / u64::from(per_s.max(1)));
        self.paid = self.paid.max(earliest) + cost;
        self.paid.since(now)
    }

    /// Takes away the burst, as after an outage.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut pace = sched::pace::Pace::default();
    /// pace.empty(Millis(1_000));
    /// assert_eq!(pace.wait(Millis(1_000), 100, 200), Millis(500));
    /// ```
    pub fn empty(&mut self, now: Millis) {
        self.paid = self.paid.max(now);
    }
}
