//! Repetition of stop orders.
//!
//! A stop takes effect some time after its answer, and reports list the run until then. A leader that
//! took each of them for a lost stop would send several for each run, and most of them while many
//! runs are stopped at once.

use base::clock::Millis;

/// Maximum time that a stop takes at a worker, if the settings don't tell.
pub(crate) const DEFAULT_STOP_TIME: Millis = Millis(1_000);
/// Time after which an order that failed, or one without effect, is sent again.
const RETRY_DELAY: Millis = Millis(400);

/// What became of a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopOrder {
    /// It waits for its turn or for its answer.
    UnderWay,
    /// The worker answered it at this time.
    Answered(Millis),
    /// It was given up without an answer at this time.
    Unanswered(Millis),
}

impl StopOrder {
    /// Returns whether a report that still lists the run calls for another order. A stop takes up
    /// to `stop_time` at the worker.
    pub(crate) fn is_due_again(self, stop_time: Millis, now: Millis) -> bool {
        match self {
            Self::UnderWay => false,
            Self::Answered(at) => now.since(at) >= stop_time + RETRY_DELAY,
            Self::Unanswered(at) => now.since(at) >= RETRY_DELAY,
        }
    }
}
