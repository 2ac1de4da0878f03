//! How soon a scheduling pass follows on the one before.

use base::clock::Millis;

/// Delay between an event and the pass for it, so that one pass handles many runs that finish
/// together.
const MIN_DELAY: Millis = Millis(4);
/// Delay as a multiple of the duration of the pass before. A large site has an event each millisecond.
/// Passes must leave most of the processor time to orders, reports and renewals of leases.
const DELAY_FACTOR: u64 = 3;
/// Maximum delay. Urgent work is to start within 250 ms.
const MAX_DELAY: Millis = Millis(100);

/// Returns the delay between an event and the pass for it, if the pass before took `took`.
///
/// ```
/// use base::clock::Millis;
/// assert_eq!(batch::pacing::delay_after(Millis::ZERO), Millis(4));
/// ```
pub fn delay_after(took: Millis) -> Millis {
    Millis(took.0 * DELAY_FACTOR).clamp(MIN_DELAY, MAX_DELAY)
}
