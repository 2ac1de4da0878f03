//! Time that answers of workers take, and the time limit of calls that follows from it.

use base::clock::Millis;

/// Minimum time limit for the answer to a call. Three tries of a start fit into the time that the
/// members of a gang wait for each other (3 s).
pub const MIN_CALL_LIMIT: Millis = Millis(700);
/// Maximum time limit, so that a start and a stop after it fit into that time.
const MAX_CALL_LIMIT: Millis = Millis(2_000);
/// Weight of an answer in the mean, as the divisor of a moving average. Calls go to hundreds of
/// workers, of which some may be slow by themselves.
const MEAN_DIVISOR: f64 = 32.0;
/// Weight of an answer in the mean deviation, likewise.
const DEVIATION_DIVISOR: f64 = 16.0;
/// Mean deviation in milliseconds before any answer, when nothing tells a slow link from a silent worker.
const INITIAL_DEVIATION: f64 = 300.0;
/// Number of mean deviations above the mean that an answer may take, as for retransmissions of TCP.
const DEVIATIONS: f64 = 4.0;

/// Moving averages of the time that answers to calls take, over all workers of a leader.
///
/// ```
/// use base::clock::Millis;
/// use batch::answer_time::AnswerTime;
///
/// let mut time = AnswerTime::default();
/// for _ in 0..50 {
///     time.record(Millis(4));
/// }
/// assert_eq!(time.call_limit(), Millis(700));
/// for _ in 0..200 {
///     time.record(Millis(900));
/// }
/// assert!(time.call_limit() > Millis(900));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    mean: f64,
    deviation: f64,
}

impl Default for AnswerTime {
    fn default() -> Self {
        Self {
            mean: 0.0,
            deviation: INITIAL_DEVIATION,
        }
    }
}

impl AnswerTime {
    /// Records that an answer took `took`, or that a call was given up after it.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// batch::answer_time::AnswerTime::default().record(Millis(4));
    /// ```
    pub fn record(&mut self, took: Millis) {
        let error = took.0 as f64 - self.mean;
        self.mean += error / MEAN_DIVISOR;
        self.deviation += (error.abs() - self.deviation) / DEVIATION_DIVISOR;
    }

    /// Returns the mean time of an answer.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::answer_time::AnswerTime::default().mean(), Millis::ZERO);
    /// ```
    pub fn mean(&self) -> Millis {
        Millis(self.mean as u64)
    }

    /// Returns the time after which most calls to workers that answer are answered.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::answer_time::AnswerTime::default().usual_maximum(), Millis(1_200));
    /// ```
    pub fn usual_maximum(&self) -> Millis {
        Millis((self.mean + DEVIATIONS * self.deviation) as u64)
    }

    /// Returns the time limit for the answer to a call.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// assert_eq!(batch::answer_time::AnswerTime::default().call_limit(), Millis(1_200));
    /// ```
    pub fn call_limit(&self) -> Millis {
        self.usual_maximum().max(MIN_CALL_LIMIT).min(MAX_CALL_LIMIT)
    }
}
