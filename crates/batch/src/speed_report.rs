//! What operators and the next leader learn about the speed of workers.

use base::clock::Millis;
use forecast::{
    predictor::Forecast,
    stored::{StoredKind, StoredWorker},
};

use crate::{job::Text, scheduler::JobScheduler, speed_class};

/// Stored form of what a scheduler has learned about speeds and run times.
pub type StoredForecast = forecast::stored::Stored;

/// Difference of the logarithm of a worker's factor, in hundredths, from which it is stored again: 15%.
const MATERIAL_DIFFERENCE: u16 = 14;
/// The same for the mean ratio of run times to estimates of a kind.
const MATERIAL_RATIO: f32 = 0.14;

/// A worker and how much longer runs take there than on a typical one.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct SlowWorker {
    /// Id of the worker.
    pub worker: Text,
    /// Multiple of the run time on a typical worker.
    pub factor: f64,
    /// Confidence in the factor, from 0 to 1.
    pub confidence: f64,
}

impl JobScheduler {
    /// Returns the forecast to store, if it differs materially from what is stored.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::speed_report::StoredForecast;
    /// let scheduler = batch::scheduler::JobScheduler::default();
    /// assert!(scheduler.forecast_to_store(&StoredForecast::default(), Millis(1)).is_none());
    /// ```
    pub fn forecast_to_store(
        &self,
        stored: &StoredForecast,
        now: Millis,
    ) -> Option<StoredForecast> {
        let current = self.forecast.stored(now);
        differs(&current, stored).then_some(current)
    }

    /// Restores what an earlier leader has stored.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let mut scheduler = batch::scheduler::JobScheduler::default();
    /// scheduler.restore_forecast(&Default::default(), Millis(1));
    /// ```
    pub fn restore_forecast(&mut self, stored: &StoredForecast, now: Millis) {
        self.forecast = Forecast::restore(stored, now);
    }

    /// Returns the workers with the largest known factors, slowest first.
    ///
    /// ```
    /// assert!(batch::scheduler::JobScheduler::default().slowest_workers(3).is_empty());
    /// ```
    pub fn slowest_workers(&self, n: usize) -> Vec<SlowWorker> {
        let all = self.forecast.slowest(usize::MAX).into_iter();
        let known = all.filter(|(_, s)| speed_class::is_known(*s));
        let workers = known.map(|(worker, s)| SlowWorker {
            worker,
            factor: s.factor,
            confidence: s.confidence,
        });
        workers.take(n).collect()
    }

    /// Returns the number of workers that were slow for urgent work in the last pass that placed work.
    ///
    /// ```
    /// assert_eq!(batch::scheduler::JobScheduler::default().slow_workers(), 0);
    /// ```
    pub const fn slow_workers(&self) -> usize {
        self.slow_workers
    }
}

/// Returns whether workers or kinds of two forecasts differ materially. Weights grow with every run and
/// don't count.
fn differs(a: &StoredForecast, b: &StoredForecast) -> bool {
    let worker_differs = |(x, y): (&StoredWorker, &StoredWorker)| {
        x.0 != y.0 || x.1.abs_diff(y.1) >= MATERIAL_DIFFERENCE
    };
    let kind_differs = |(x, y): (&StoredKind, &StoredKind)| {
        let is_same = (&x.queue, &x.image, x.gang) == (&y.queue, &y.image, y.gang);
        !is_same || (x.regression[2] - y.regression[2]).abs() >= MATERIAL_RATIO
    };
    a.workers.len() != b.workers.len()
        || a.kinds.len() != b.kinds.len()
        || a.workers.iter().zip(&b.workers).any(worker_differs)
        || a.kinds.iter().zip(&b.kinds).any(kind_differs)
}
