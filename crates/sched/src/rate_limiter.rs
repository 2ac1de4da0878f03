//! Rate limiter for writes to the table service.

use base::clock::Millis;

/// Limits the rate of writes, with bursts of at most the writes of one second.
///
/// ```
/// use base::clock::Millis;
/// use sched::rate_limiter::RateLimiter;
///
/// let mut limiter = RateLimiter::default();
/// assert_eq!(limiter.reserve(Millis(1_000), 100, 200), Millis(0));
/// assert_eq!(limiter.reserve(Millis(1_000), 100, 200), Millis(0));
/// assert_eq!(limiter.reserve(Millis(1_000), 100, 200), Millis(500));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimiter {
    /// Time up to which the rate is used by earlier writes.
    reserved_until: Millis,
}

impl RateLimiter {
    /// Reserves `writes` writes at a rate of `per_s` and returns the time to wait before them.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut limiter = sched::rate_limiter::RateLimiter::default();
    /// assert_eq!(limiter.reserve(Millis(1_000), 1, 200), Millis(0));
    /// ```
    pub fn reserve(&mut self, now: Millis, writes: usize, per_s: u32) -> Millis {
        let earliest = now.since(Millis::from_secs(1));
        let cost = Millis(writes as u64 * 1_000 / u64::from(per_s.max(1)));
        self.reserved_until = self.reserved_until.max(earliest) + cost;
        self.reserved_until.since(now)
    }

    /// Discards the unused burst, as after an outage.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// let mut limiter = sched::rate_limiter::RateLimiter::default();
    /// limiter.drop_burst(Millis(1_000));
    /// assert_eq!(limiter.reserve(Millis(1_000), 100, 200), Millis(500));
    /// ```
    pub fn drop_burst(&mut self, now: Millis) {
        self.reserved_until = self.reserved_until.max(now);
    }
}
