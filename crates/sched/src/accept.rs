//! When an accepted revision is in force everywhere; pure.

use base::clock::Millis;

/// Time beyond the serving lease that covers the way of an answer and the grain of the clocks.
const MARGIN: Millis = Millis(100);

/// Whether a revision is in force everywhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is.
    InForce,
    /// Not yet; look again at this time or at the next acknowledgement.
    Wait {
        /// When to look again.
        until: Millis,
    },
}

/// Tells whether a revision committed at `committed` is in force everywhere.
///
/// `acked` has one entry for each member. A member that has not acknowledged stops serving when
/// its serving lease has lapsed. The majority makes sure that a cut-off part of the members, which
/// serves on only if a majority of them knows no higher revision, includes one that knows it.
///
/// ```
/// use base::clock::Millis;
/// use sched::accept::{self, Verdict};
///
/// let lease = Millis(2_000);
/// assert_eq!(accept::verdict(Millis(5), Millis(0), lease, &[true, true]), Verdict::InForce);
/// let wait = Verdict::Wait { until: Millis(2_100) };
/// assert_eq!(accept::verdict(Millis(5), Millis(0), lease, &[true, true, false]), wait);
/// let late = accept::verdict(Millis(2_100), Millis(0), lease, &[true, true, false]);
/// assert_eq!(late, Verdict::InForce);
/// ```
pub fn verdict(now: Millis, committed: Millis, lease: Millis, acked: &[bool]) -> Verdict {
    let count = acked.iter().filter(|a| **a).count();
    let lapsed = committed + lease + MARGIN;
    if count == acked.len() || (now >= lapsed && count * 2 > acked.len()) {
        return Verdict::InForce;
    }
    let until = if now < lapsed { lapsed } else { now + lease };
    Verdict::Wait { until }
}
