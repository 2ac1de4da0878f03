//! Duration of one run, from its reports.

use crate::observation::Observation;

/// Progress below which a run that is no member of a gang is not used.
const MIN_PROGRESS: f64 = 0.1;
/// Progress of a gang member below which rounding hides its pace.
const MIN_GANG_PROGRESS: f64 = 0.02;
/// Progress is known to a hundredth; half of it is the error of one report.
const ROUNDING: f64 = 0.005;
/// Standard deviation of the logarithm for a gang member that was first seen at its end. It may
/// have waited there for the other members since any time after the previous report.
const WAITED: f64 = 0.25;
/// Change of pace between two reports from which the earlier part of the run is left out.
const CHANGED: f64 = 1.25;
/// Change of pace between two reports that is a standstill and not a change of speed.
const STOOD_STILL: f64 = 3.0;

/// A run, measured from a base point, which is its start unless the pace has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub index: usize,
    elapsed: f64,
    progress: f64,
    base_elapsed: f64,
    base_progress: f64,
    waited: bool,
}

impl Run {
    /// Returns the run, or `None` if the progress is too coarse.
    pub fn new(obs: &Observation<'_>) -> Option<Self> {
        let min = if obs.kind.gang {
            MIN_GANG_PROGRESS
        } else {
            MIN_PROGRESS
        };
        let usable = obs.progress >= min && obs.elapsed.0 > 0;
        usable.then(|| Self {
            index: obs.index,
            elapsed: obs.elapsed.0 as f64,
            progress: obs.progress.min(1.0),
            base_elapsed: 0.0,
            base_progress: 0.0,
            waited: obs.kind.gang && obs.progress >= 1.0,
        })
    }

    /// Takes a later observation of the run. Returns whether it says something new.
    pub fn observe(&mut self, obs: &Observation<'_>) -> bool {
        let (elapsed, progress) = (obs.elapsed.0 as f64, obs.progress.min(1.0));
        if elapsed < self.elapsed {
            // A new run of the same subtask on the same worker.
            let Some(run) = Self::new(obs) else {
                return false;
            };
            *self = run;
            return true;
        }
        // Without progress the run stands still, or it is a gang member that waits for the others.
        // A member that has just ended may have waited for most of the time since its last report.
        if progress <= self.progress || elapsed <= self.elapsed {
            return false;
        }
        if obs.kind.gang && progress >= 1.0 {
            return false;
        }
        self.rebase(elapsed - self.elapsed, progress - self.progress);
        (self.elapsed, self.progress) = (elapsed, progress);
        true
    }

    /// Moves the base if the pace over the last time differs from that before.
    fn rebase(&mut self, elapsed: f64, progress: f64) {
        let pace = self.duration();
        let at_least = elapsed / (progress + 2.0 * ROUNDING);
        if at_least > STOOD_STILL * pace {
            self.base_elapsed += elapsed - progress * pace;
        } else if at_least > CHANGED * pace
            || progress > 6.0 * ROUNDING && elapsed / (progress - 2.0 * ROUNDING) < pace / CHANGED
        {
            (self.base_elapsed, self.base_progress) = (self.elapsed, self.progress);
        }
    }

    fn duration(&self) -> f64 {
        (self.elapsed - self.base_elapsed) / (self.progress - self.base_progress)
    }

    /// Whether the value is only an upper bound.
    pub fn is_bound(&self) -> bool {
        self.waited
    }

    /// Whether no further progress can be reported.
    pub fn is_complete(&self) -> bool {
        self.progress >= 1.0
    }

    /// Logarithm of the duration in milliseconds.
    pub fn value(&self) -> f64 {
        self.duration().max(1.0).ln()
    }

    /// Variance of the value that comes from the report and not from the run.
    pub fn report_var(&self) -> f64 {
        if self.waited {
            return WAITED * WAITED;
        }
        let mut var = 0.0;
        if self.progress < 1.0 {
            var += ROUNDING * ROUNDING;
        }
        if self.base_progress > 0.0 {
            var += ROUNDING * ROUNDING;
        }
        var / (self.progress - self.base_progress).powi(2)
    }
}
