//! What operators and the next leader learn about the speed of workers.

use base::clock::Millis;
use forecast::predictor::Forecast;

use crate::{job::Text, scheduler::JobScheduler, speed_class};

/// Stored form of what a scheduler has learned about speeds and run times.
pub type StoredForecast = forecast::stored::Stored;

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
        current.differs_from(stored).then_some(current)
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
