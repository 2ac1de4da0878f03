//! Clocks and a time type with millisecond resolution.

use std::ops;

use derive_more::{Display, From};
use rustix::time;
use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds.
///
/// ```
/// use base::clock::Millis;
///
/// let start = Millis(1_000);
/// assert_eq!(start + Millis::from_secs(2), Millis(3_000));
/// assert_eq!(start.since(Millis(5_000)), Millis(0));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The span of zero length.
    pub const ZERO: Self = Self(0);

    /// Converts from whole seconds.
    ///
    /// ```
    /// assert_eq!(base::clock::Millis::from_secs(3).0, 3_000);
    /// ```
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert_eq!(Millis(9).since(Millis(4)), Millis(5));
    /// ```
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a standard duration.
    ///
    /// ```
    /// use base::clock::Millis;
    /// assert_eq!(Millis(1_500).to_duration().as_secs_f64(), 1.5);
    /// ```
    pub const fn to_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl ops::AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

/// Returns the time since boot.
///
/// This clock is monotonic and keeps running while the process or the VM is suspended, so an age
/// computed with it is correct after a suspension.
///
/// ```
/// let t = base::clock::now();
/// assert!(base::clock::now() >= t);
/// ```
pub fn now() -> Millis {
    let t = time::clock_gettime(time::ClockId::Boottime);
    Millis(t.tv_sec as u64 * 1_000 + t.tv_nsec as u64 / 1_000_000)
}

/// Returns the wall-clock time since the Unix epoch.
///
/// The wall clocks of different VMs may differ, so this is for retention and audit records only.
///
/// ```
/// assert!(base::clock::wall().0 > 1_600_000_000_000);
/// ```
pub fn wall() -> Millis {
    let t = time::clock_gettime(time::ClockId::Realtime);
    Millis(t.tv_sec as u64 * 1_000 + t.tv_nsec as u64 / 1_000_000)
}
