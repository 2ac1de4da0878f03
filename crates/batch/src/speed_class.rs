//! Which workers are too slow for urgent work, and which workers a unit uses first.
//!
//! All functions take plain values, so that they can be tested and compared without a scheduler.
//!
//! ```
//! use base::clock::Millis;
//! use batch::speed_class::{Preference, SpeedClass, Speeds, Work};
//! use forecast::predictor::Slowness;
//!
//! let known = |factor| Slowness { factor, confidence: 0.9 };
//! // A typical urgent run takes 0.7 times its estimate and may take 1.5 times as long.
//! let all = [known(1.0), known(1.0), known(2.43), Slowness::UNKNOWN];
//! let speeds = Speeds::of(&all, 1.5 / 0.7).unwrap();
//! assert_eq!(speeds.class(all[0]), SpeedClass::Other);
//! assert_eq!(speeds.class(all[2]), SpeedClass::Slow);
//! assert_eq!(speeds.class(all[3]), SpeedClass::Unknown);
//! let urgent = Work {
//!     is_urgent: true,
//!     median: Millis(1_470),
//!     likely: Millis(1_600),
//!     rest: Millis::ZERO,
//!     due_in: Millis(3_400),
//!     useful_for: Millis(10_200),
//! };
//! assert!(matches!(speeds.preference(&urgent), Preference::AvoidSlow { .. }));
//! ```

use base::clock::Millis;
use forecast::predictor::Slowness;

/// Confidence from which the slowness of a worker counts as known: its logarithm has a standard
/// deviation of at most 0.3.
const KNOWN_CONFIDENCE: f64 = 0.4;
/// Standard deviation of the logarithm of a factor at which its confidence is zero.
const UNKNOWN_DEVIATION: f64 = 0.5;
/// Least share of the known workers that are slow, one in this number, unless one is slow for certain.
/// Among hundreds of workers whose factors are near the limit, some are above it by chance.
const MAX_WORKERS_PER_SLOW: usize = 50;
/// Least ratio of the factor of a slow worker to that of the others. The factors of equal workers
/// differ by up to 10%, so that a limit near them must not split them.
const MIN_CONTRAST: f64 = 1.2;

/// Factor around the middle of two groups of workers within which the gap between them is.
const GAP: f64 = 1.1;
/// Maximum share of the known workers in the gap: one in this number.
const MIN_GROUP_SHARE: usize = 10;

/// Class of a worker by its speed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SpeedClass {
    /// It is slow for urgent work.
    Slow,
    /// Its speed is not known well enough.
    #[default]
    Unknown,
    /// Its speed is known, and it is not slow.
    Other,
}

/// Speeds of the workers of a service some of which are slow for urgent work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speeds {
    /// Factor above which a worker is slow.
    limit: f64,
    /// Median factor of the slow workers.
    slow: f64,
    /// Median factor of the other workers whose speed is known.
    other: f64,
}

/// A unit as the choice of its workers sees it. Run times are those on a typical worker of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Whether the unit may preempt other work.
    pub is_urgent: bool,
    /// Median run time of its subtasks.
    pub median: Millis,
    /// Run time that most of them keep within.
    pub likely: Millis,
    /// Run time of the steps that follow on it.
    pub rest: Millis,
    /// Time left of the completion objective.
    pub due_in: Millis,
    /// Time left until the job is of no value any more.
    pub useful_for: Millis,
}

/// Workers that a unit uses first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Preference {
    /// The order does not depend on speeds.
    #[default]
    None,
    /// Workers that are not slow come first.
    AvoidSlow {
        /// Whether slow workers are used if the others have no room.
        uses_slow: bool,
        /// How much later the unit ends on slow workers.
        loss: Millis,
    },
    /// Slow workers come first, then unknown ones, then the others.
    SlowFirst {
        /// Factor above which a slow worker is used last, because the unit ends late there.
        max_factor: f64,
    },
}

/// End of a job relative to its objective, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum End {
    InTime,
    Late,
    TooLate,
}

impl Speeds {
    /// Returns the speeds if some of the workers are known to be slow and others are known not to be.
    /// On workers with a factor of up to `limit`, a typical urgent run meets its objective. If no other
    /// worker is known, as at the beginning of a leadership, unknown ones are taken for typical.
    #[must_use]
    pub fn of(workers: &[Slowness], limit: f64) -> Option<Self> {
        let known = workers.iter().filter(|w| is_known(**w)).map(|w| w.factor);
        let known: Vec<f64> = known.collect();
        let has_unknown = workers.iter().any(|w| !is_known(*w));
        let split = |limit: f64| {
            let (mut slow, mut other): (Vec<f64>, Vec<f64>) =
                known.iter().partition(|f| **f > limit);
            let typical = || (has_unknown && limit >= 1.0).then_some(1.0);
            let other = median(&mut other).or_else(typical)?;
            Some((other, median(&mut slow)?))
        };
        let (other, _) = split(limit)?;
        let limit = limit.max(MIN_CONTRAST * other);
        let (other, slow) = split(limit)?;
        let count = known.iter().filter(|f| **f > limit).count();
        let is_certain = |w: &Slowness| is_known(*w) && least_factor(*w) > limit;
        if count * MAX_WORKERS_PER_SLOW < known.len() && !workers.iter().any(is_certain) {
            return None;
        }
        // Factors become exact only after several runs. Where they form two groups, the gap between these
        // tells the groups apart sooner than the limit, which may be near the factor of the slow ones.
        let middle = (slow * other).sqrt();
        let is_near = |f: &&f64| (GAP.recip()..GAP).contains(&(**f / middle));
        let near = known.iter().filter(is_near).count();
        if middle >= limit || near * MIN_GROUP_SHARE > known.len() {
            return Some(Self { limit, slow, other });
        }
        let (other, slow) = split(middle)?;
        Some(Self {
            limit: middle,
            slow,
            other,
        })
    }

    /// Returns the class of a worker.
    #[must_use]
    pub fn class(&self, worker: Slowness) -> SpeedClass {
        match worker {
            w if !is_known(w) => SpeedClass::Unknown,
            w if w.factor > self.limit => SpeedClass::Slow,
            _ => SpeedClass::Other,
        }
    }

    /// Returns the workers that a unit uses first.
    #[must_use]
    pub fn preference(&self, work: &Work) -> Preference {
        // Urgent work goes to slow workers only if most of its runs are in time there.
        let cautious = if work.is_urgent {
            work.likely.max(work.median)
        } else {
            work.median
        };
        // Later steps of urgent work are not counted on to make up for a slow one: the other workers may
        // be full then.
        let rest_factor = if work.is_urgent {
            self.slow
        } else {
            self.other
        };
        let rest = scaled(work.rest, rest_factor);
        let end = |time: Millis| match time {
            t if t <= work.due_in => End::InTime,
            t if t <= work.useful_for => End::Late,
            _ => End::TooLate,
        };
        let on_slow = end(scaled(cautious, self.slow) + rest);
        let on_other = end(scaled(work.median + work.rest, self.other));
        let avoids = match (on_other, on_slow) {
            (_, End::InTime) | (End::TooLate, _) => false,
            // A late job loses value with time.
            (End::Late, End::Late) => work.is_urgent,
            _ => true,
        };
        if avoids {
            return Preference::AvoidSlow {
                uses_slow: !work.is_urgent && on_slow != End::TooLate,
                loss: scaled(work.median, self.slow - self.other),
            };
        }
        let time = match on_slow {
            End::InTime => work.due_in,
            End::Late => work.useful_for,
            End::TooLate => Millis(u64::MAX),
        };
        Preference::SlowFirst {
            max_factor: time.since(rest).0 as f64 / cautious.0.max(1) as f64,
        }
    }
}

impl Preference {
    /// Highest rank of workers on which the unit ends no later than it needs to.
    pub(crate) const LAST_GOOD_RANK: u8 = 2;

    /// Returns the rank of a worker; the lowest is used first.
    pub(crate) fn rank(self, class: SpeedClass, factor: f64) -> u8 {
        let from_fastest = match class {
            SpeedClass::Other => 0,
            SpeedClass::Unknown => 1,
            SpeedClass::Slow => 2,
        };
        match self {
            Self::None => 0,
            Self::AvoidSlow { .. } => from_fastest,
            Self::SlowFirst { max_factor } if class == SpeedClass::Slow && factor > max_factor => {
                Self::LAST_GOOD_RANK + 1
            }
            Self::SlowFirst { .. } => Self::LAST_GOOD_RANK - from_fastest,
        }
    }

    /// Returns the sets of workers that a search tries in turn.
    pub(crate) const fn sets(self, is_gang: bool) -> &'static [SpeedSet] {
        use SpeedSet::{Any, NotSlow, Slow};
        match (self, is_gang) {
            (
                Self::AvoidSlow {
                    uses_slow: false, ..
                },
                _,
            ) => &[NotSlow],
            // A gang goes at the pace of its slowest member.
            (Self::AvoidSlow { .. }, true) => &[NotSlow, Slow, Any],
            (Self::SlowFirst { .. }, true) => &[Slow, NotSlow, Any],
            _ => &[Any],
        }
    }

    /// Returns whether slow workers are left out.
    pub(crate) const fn excludes_slow(self) -> bool {
        matches!(
            self,
            Self::AvoidSlow {
                uses_slow: false,
                ..
            }
        )
    }

    /// Returns whether the unit ends sooner if it waits that long for workers that are not slow.
    pub(crate) fn gains_by_waiting(self, wait: Millis) -> bool {
        matches!(self, Self::AvoidSlow { loss, .. } if loss > wait)
    }

    /// Lets the unit use slow workers if the others have no room.
    pub(crate) const fn allow_slow(&mut self) {
        if let Self::AvoidSlow { uses_slow, .. } = self {
            *uses_slow = true;
        }
    }
}

/// Workers that a search considers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SpeedSet {
    Any,
    NotSlow,
    Slow,
}

impl SpeedSet {
    pub(crate) fn contains(self, class: SpeedClass) -> bool {
        match self {
            Self::Any => true,
            Self::NotSlow => class != SpeedClass::Slow,
            Self::Slow => class == SpeedClass::Slow,
        }
    }

    /// Returns whether all workers of `other` are in the set.
    pub(crate) fn covers(self, other: Self) -> bool {
        self == Self::Any || self == other
    }
}

/// Returns whether the slowness of a worker is known well enough to act on it.
pub(crate) fn is_known(worker: Slowness) -> bool {
    worker.confidence >= KNOWN_CONFIDENCE
}

/// Returns the factor less its standard deviation.
fn least_factor(worker: Slowness) -> f64 {
    worker.factor * (-UNKNOWN_DEVIATION * (1.0 - worker.confidence)).exp()
}

/// Returns the median, the upper one of two.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

pub(crate) fn scaled(time: Millis, factor: f64) -> Millis {
    Millis((time.0 as f64 * factor) as u64)
}
