//! Estimate of how long calls to a service take at present.
//!
//! Calls of one kind take milliseconds on a healthy service and hundreds of times longer on an
//! overloaded one, so no fixed timeout distinguishes a slow answer from a lost one.

use base::clock::Millis;

/// Weight of the deviation in [`Latency::limit`], and divisors of the moving averages, as in the
/// retransmission timer of TCP (RFC 6298).
const DEVIATIONS: u64 = 4;
const MEAN_DIVISOR: u64 = 8;
const DEVIATION_DIVISOR: u64 = 4;
/// Factor by which the averages are scaled, so that integer arithmetic keeps fractions of a
/// millisecond.
const SCALE: u64 = 256;

/// Bounds of the limits that a [`Latency`] returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LatencyCfg {
    /// Smallest limit; covers the delays of a process that shares its core with others.
    pub min_ms: Millis,
    /// Largest limit, which is also the first one.
    pub max_ms: Millis,
}

/// Moving average of the latency of calls of one kind, and its mean deviation.
///
/// ```
/// use base::clock::Millis;
/// use store::latency::{Latency, LatencyCfg};
///
/// let cfg = LatencyCfg { min_ms: Millis(50), max_ms: Millis(1_000) };
/// let mut latency = Latency::new(cfg);
/// assert_eq!(latency.limit(), Millis(1_000));
/// for _ in 0..50 {
///     latency.record(Millis(4));
/// }
/// assert_eq!(latency.limit(), Millis(50));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    cfg: LatencyCfg,
    /// Mean and mean deviation in milliseconds times [`SCALE`]; `None` before the first call.
    averages: Option<(u64, u64)>,
    /// Number of times that the limit is doubled.
    doublings: u32,
}

impl Latency {
    /// Creates an estimate without any recorded call.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use store::latency::{Latency, LatencyCfg};
    /// let cfg = LatencyCfg { min_ms: Millis(1), max_ms: Millis(9) };
    /// assert_eq!(Latency::new(cfg).limit(), Millis(9));
    /// ```
    pub const fn new(cfg: LatencyCfg) -> Self {
        Self {
            cfg,
            averages: None,
            doublings: 0,
        }
    }

    /// Records the latency of an answered call.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use store::latency::{Latency, LatencyCfg};
    /// # let cfg = LatencyCfg { min_ms: Millis(1), max_ms: Millis(900) };
    /// let mut latency = Latency::new(cfg);
    /// latency.record(Millis(100));
    /// assert_eq!(latency.limit(), Millis(300));
    /// ```
    pub const fn record(&mut self, latency: Millis) {
        let sample = latency.0 * SCALE;
        self.doublings = 0;
        let (mean, deviation) = match self.averages {
            None => (sample, sample / 2),
            Some((mean, deviation)) => {
                let error = mean.abs_diff(sample);
                let deviation =
                    deviation - deviation / DEVIATION_DIVISOR + error / DEVIATION_DIVISOR;
                (
                    mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR,
                    deviation,
                )
            }
        };
        self.averages = Some((mean, deviation));
    }

    /// Records that a call exceeded the limit, which doubles: the service may have become slower.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use store::latency::{Latency, LatencyCfg};
    /// # let cfg = LatencyCfg { min_ms: Millis(50), max_ms: Millis(900) };
    /// let mut latency = Latency::new(cfg);
    /// latency.record(Millis(1));
    /// latency.record_timeout();
    /// assert_eq!(latency.limit(), Millis(100));
    /// ```
    pub fn record_timeout(&mut self) {
        if self.limit() < self.cfg.max_ms {
            self.doublings += 1;
        }
    }

    /// Returns the mean latency, or `None` before the first answered call.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use store::latency::{Latency, LatencyCfg};
    /// # let cfg = LatencyCfg { min_ms: Millis(50), max_ms: Millis(900) };
    /// let mut latency = Latency::new(cfg);
    /// latency.record(Millis(8));
    /// assert_eq!(latency.mean(), Some(Millis(8)));
    /// ```
    pub fn mean(&self) -> Option<Millis> {
        self.averages.map(|(mean, _)| Millis(mean / SCALE))
    }

    /// Returns the time after which an outstanding call is unusually late.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use store::latency::{Latency, LatencyCfg};
    /// # let cfg = LatencyCfg { min_ms: Millis(50), max_ms: Millis(900) };
    /// assert_eq!(Latency::new(cfg).limit(), Millis(900));
    /// ```
    pub fn limit(&self) -> Millis {
        let Some((mean, deviation)) = self.averages else {
            return self.cfg.max_ms;
        };
        let usual = Millis((mean + DEVIATIONS * deviation) / SCALE).max(self.cfg.min_ms);
        Millis(usual.0 << self.doublings).min(self.cfg.max_ms)
    }
}
