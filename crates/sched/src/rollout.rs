//! Tells when a committed revision is in force at all members, without I/O.

use base::clock::Millis;

/// Margin after the serving lease for the transfer time of an answer and the resolution of the
/// clocks.
const MARGIN: Millis = Millis(100);

/// Progress of a revision at the members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// The revision is in force everywhere.
    InForce,
    /// The revision is not yet in force everywhere.
    Wait {
        /// Time of the next check unless an acknowledgement arrives earlier.
        until: Millis,
    },
}

/// Returns whether a revision committed at `committed` is in force everywhere.
///
/// `acked` has one item for each member. A member that has not acknowledged stops serving when
/// its serving lease lapses. It serves longer only if a majority of the members knows no higher
/// revision, so a majority of acknowledgements is required: the two majorities overlap.
///
/// ```
/// use base::clock::Millis;
/// use sched::rollout::{self, RolloutState};
///
/// let lease = Millis(2_000);
/// assert_eq!(rollout::state(Millis(5), Millis(0), lease, &[true, true]), RolloutState::InForce);
/// let wait = RolloutState::Wait { until: Millis(2_100) };
/// assert_eq!(rollout::state(Millis(5), Millis(0), lease, &[true, true, false]), wait);
/// let late = rollout::state(Millis(2_100), Millis(0), lease, &[true, true, false]);
/// assert_eq!(late, RolloutState::InForce);
/// ```
pub fn state(now: Millis, committed: Millis, lease: Millis, acked: &[bool]) -> RolloutState {
    let acked_count = acked.iter().filter(|a| **a).count();
    let lapsed = committed + lease + MARGIN;
    if acked_count == acked.len() || (now >= lapsed && acked_count * 2 > acked.len()) {
        return RolloutState::InForce;
    }
    let until = if now < lapsed { lapsed } else { now + lease };
    RolloutState::Wait { until }
}
