//! Expected run times of subtasks on workers.

use base::clock::Millis;

use crate::{
    Name,
    observation::{Kind, Observation},
    stored::Stored,
};

/// Run time on a worker relative to that on a typical worker of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowness {
    /// Multiple of the run time on a typical worker.
    pub factor: f64,
    /// Confidence in the factor, from 0 (unknown) to 1.
    pub confidence: f64,
}

impl Slowness {
    /// Slowness of a worker of which nothing is known.
    pub const UNKNOWN: Self = Self {
        factor: 1.0,
        confidence: 0.0,
    };
}

/// Expected run time of a subtask on a typical worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTime {
    /// Half of the runs take at most this long.
    pub median: Millis,
    /// 85 of 100 runs take at most this long.
    pub likely: Millis,
    /// Confidence in the correction of the estimate, from 0 (none was learned) to 1.
    pub confidence: f64,
}

/// Learned speeds of workers and corrections of estimates.
///
/// ```
/// use forecast::predictor::{Forecast, Slowness};
/// assert_eq!(Forecast::default().slowness("w"), Slowness::UNKNOWN);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Forecast {}

impl Forecast {
    /// Records how far a run has come. A later observation of the same run replaces the earlier one.
    pub fn observe(&mut self, _obs: &Observation<'_>, _now: Millis) {}

    /// Recomputes speeds and corrections, at most every 250 ms.
    pub fn update(&mut self, _now: Millis) {}

    /// Returns the slowness of a worker.
    pub fn slowness(&self, _worker: &str) -> Slowness {
        Slowness::UNKNOWN
    }

    /// Returns the expected run time of a subtask on a typical worker.
    pub fn run_time(&self, _kind: &Kind, estimate: Millis) -> RunTime {
        RunTime {
            median: estimate,
            likely: estimate,
            confidence: 0.0,
        }
    }

    /// Forgets a worker that is gone.
    pub fn forget_worker(&mut self, _worker: &str) {}

    /// Returns the workers with the largest factors, slowest first.
    pub fn slowest(&self, _n: usize) -> Vec<(Name, Slowness)> {
        Vec::new()
    }

    /// Returns what the next leader needs.
    pub fn stored(&self, _now: Millis) -> Stored {
        Stored::default()
    }

    /// Restores what [`stored`](Self::stored) returned to an earlier leader.
    pub fn restore(_stored: &Stored, _now: Millis) -> Self {
        Self::default()
    }
}
