//! Expected run times of subtasks on workers.

use base::clock::Millis;

use crate::{
    Name,
    gauss::Gauss,
    observation::{Kind, Observation},
    run_times::{MAX_KINDS, RunTimes, Sums},
    speeds::{MAX_WORKERS, Speeds, Worker},
    stored::{Stored, StoredKind, StoredWorker},
};

/// Least time between two computations.
const INTERVAL: Millis = Millis(250);
/// Number of observations up to which this is the time. With more it grows in proportion, because
/// the leader may run on a tenth of a core.
const INTERVAL_EDGES: u64 = 3_000;
/// Standard deviation of the logarithm of a factor at which the confidence is zero. It is that of
/// workers of which nothing is known.
const UNKNOWN_DEVIATION: f64 = 0.5;
/// Difference of the logarithm of a factor from 0 that is worth storing: 15%.
const STORED_DIFFERENCE: f64 = 0.14;
/// Confidence of a factor that is worth storing: standard deviation 0.15 of its logarithm.
const STORED_CONFIDENCE: f64 = 0.7;
/// Share of its precision that evidence keeps in the next leader.
const RESTORED_SHARE: f64 = 0.5;

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
/// use base::clock::Millis;
/// use forecast::{
///     observation::{Kind, Observation},
///     predictor::{Forecast, Slowness},
/// };
///
/// let mut forecast = Forecast::default();
/// assert_eq!(forecast.slowness("c"), Slowness::UNKNOWN);
/// let kind = Kind { gang: true, ..Kind::default() };
/// for (index, (worker, progress)) in [("a", 0.41), ("b", 0.41), ("c", 0.17)].iter().enumerate() {
///     let obs = Observation {
///         step: 1,
///         index,
///         kind: &kind,
///         worker: &(*worker).into(),
///         service: &"batch".into(),
///         estimate: Millis(5_000),
///         elapsed: Millis(1_485),
///         progress: *progress,
///     };
///     forecast.observe(&obs, Millis(1_485));
/// }
/// forecast.update(Millis(1_485));
/// assert!(forecast.slowness("c").factor > 2.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    speeds: Speeds,
    run_times: RunTimes,
    updated_at: Option<Millis>,
    changed: bool,
}

impl Forecast {
    /// Records how far a run has come. A later observation of the same run replaces the earlier one.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use forecast::{observation::{Kind, Observation}, predictor::Forecast};
    ///
    /// let mut forecast = Forecast::default();
    /// let obs = Observation {
    ///     step: 1,
    ///     index: 0,
    ///     kind: &Kind::default(),
    ///     worker: &"w".into(),
    ///     service: &"s".into(),
    ///     estimate: Millis(1_000),
    ///     elapsed: Millis(1_500),
    ///     progress: 0.5,
    /// };
    /// forecast.observe(&obs, Millis(1_500));
    /// forecast.update(Millis(1_500));
    /// let run_time = forecast.run_time(obs.kind, Millis(1_000));
    /// assert!(run_time.median > Millis(1_000));
    /// ```
    pub fn observe(&mut self, obs: &Observation<'_>, now: Millis) {
        if !(obs.progress > 0.0 && obs.progress.is_finite()) {
            return;
        }
        let run_times = &mut self.run_times;
        self.changed |= self.speeds.observe(obs, now, |service| {
            run_times.add_step(obs.kind, service, now)
        });
    }

    /// Recomputes speeds and corrections, at most every 250 ms and only after new observations.
    ///
    /// ```
    /// use base::clock::Millis;
    /// let mut forecast = forecast::predictor::Forecast::default();
    /// forecast.update(Millis(0));
    /// assert!(forecast.slowest(1).is_empty());
    /// ```
    pub fn update(&mut self, now: Millis) {
        let load = (self.speeds.edges() as u64).max(INTERVAL_EDGES);
        let interval = Millis(INTERVAL.0 * load / INTERVAL_EDGES);
        let early = self.updated_at.is_some_and(|t| now.since(t) < interval);
        if !self.changed || early {
            return;
        }
        (self.updated_at, self.changed) = (Some(now), false);
        let run_times = &self.run_times;
        let shifts = self.speeds.fit(|kind, x| run_times.prior(kind, x));
        let past = self.speeds.take_past();
        let live = self.speeds.step_values().collect::<Vec<_>>();
        self.run_times.update(&past, &shifts, &live);
    }

    /// Returns the slowness of a worker.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use forecast::{observation::{Kind, Observation}, predictor::{Forecast, Slowness}};
    /// # let mut forecast = Forecast::default();
    /// # let kind = Kind { gang: true, ..Kind::default() };
    /// # let runs = [("a", 0.4), ("b", 0.4), ("c", 0.2)];
    /// # for (i, (worker, progress)) in runs.iter().cycle().take(9).enumerate() {
    /// #     let obs = Observation {
    /// #         step: i as u64 / 3, index: i % 3, kind: &kind, worker: &(*worker).into(),
    /// #         service: &"s".into(), estimate: Millis(5_000), elapsed: Millis(2_000),
    /// #         progress: *progress,
    /// #     };
    /// #     forecast.observe(&obs, Millis(2_000));
    /// # }
    /// # forecast.update(Millis(2_000));
    /// assert!(forecast.slowness("c").factor > 1.5);
    /// assert_eq!(forecast.slowness("d"), Slowness::UNKNOWN);
    /// ```
    pub fn slowness(&self, worker: &str) -> Slowness {
        let worker = self.speeds.workers.get(worker);
        worker.map_or(Slowness::UNKNOWN, Slowness::of)
    }

    /// Returns the expected run time of a subtask on a typical worker.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use forecast::{observation::Kind, predictor::Forecast};
    /// let run_time = Forecast::default().run_time(&Kind::default(), Millis(700));
    /// assert_eq!((run_time.median, run_time.confidence), (Millis(700), 0.0));
    /// ```
    pub fn run_time(&self, kind: &Kind, estimate: Millis) -> RunTime {
        let x = (estimate.0.max(1) as f64).ln();
        match self.run_times.expected(kind, x) {
            Some(e) => RunTime {
                median: Millis(e.median.exp().round() as u64),
                likely: Millis(e.likely.exp().round() as u64),
                confidence: e.confidence,
            },
            None => RunTime {
                median: estimate,
                likely: estimate,
                confidence: 0.0,
            },
        }
    }

    /// Forgets a worker that is gone.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use forecast::{observation::{Kind, Observation}, predictor::{Forecast, Slowness}};
    /// # let mut forecast = Forecast::default();
    /// # let kind = Kind { gang: true, ..Kind::default() };
    /// # let runs = [("a", 0.4), ("b", 0.4), ("c", 0.2)];
    /// # for (i, (worker, progress)) in runs.iter().cycle().take(9).enumerate() {
    /// #     let obs = Observation {
    /// #         step: i as u64 / 3, index: i % 3, kind: &kind, worker: &(*worker).into(),
    /// #         service: &"s".into(), estimate: Millis(5_000), elapsed: Millis(2_000),
    /// #         progress: *progress,
    /// #     };
    /// #     forecast.observe(&obs, Millis(2_000));
    /// # }
    /// # forecast.update(Millis(2_000));
    /// forecast.forget_worker("c");
    /// assert_eq!(forecast.slowness("c"), Slowness::UNKNOWN);
    /// ```
    pub fn forget_worker(&mut self, worker: &str) {
        self.speeds.forget(worker);
    }

    /// Keeps the speed of a worker with low confidence, as after a restart on the same hardware.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use forecast::{observation::{Kind, Observation}, predictor::{Forecast, Slowness}};
    /// # let mut forecast = Forecast::default();
    /// # let kind = Kind { gang: true, ..Kind::default() };
    /// # let runs = [("a", 0.4), ("b", 0.4), ("c", 0.2)];
    /// # for (i, (worker, progress)) in runs.iter().cycle().take(9).enumerate() {
    /// #     let obs = Observation {
    /// #         step: i as u64 / 3, index: i % 3, kind: &kind, worker: &(*worker).into(),
    /// #         service: &"s".into(), estimate: Millis(5_000), elapsed: Millis(2_000),
    /// #         progress: *progress,
    /// #     };
    /// #     forecast.observe(&obs, Millis(2_000));
    /// # }
    /// # forecast.update(Millis(2_000));
    /// let before = forecast.slowness("c");
    /// forecast.worker_restarted("c");
    /// assert!(forecast.slowness("c").confidence < before.confidence);
    /// ```
    pub fn worker_restarted(&mut self, worker: &str) {
        self.speeds.restarted(worker);
    }

    /// Returns the workers with the largest factors, slowest first.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use forecast::{observation::{Kind, Observation}, predictor::{Forecast, Slowness}};
    /// # let mut forecast = Forecast::default();
    /// # let kind = Kind { gang: true, ..Kind::default() };
    /// # let runs = [("a", 0.4), ("b", 0.4), ("c", 0.2)];
    /// # for (i, (worker, progress)) in runs.iter().cycle().take(9).enumerate() {
    /// #     let obs = Observation {
    /// #         step: i as u64 / 3, index: i % 3, kind: &kind, worker: &(*worker).into(),
    /// #         service: &"s".into(), estimate: Millis(5_000), elapsed: Millis(2_000),
    /// #         progress: *progress,
    /// #     };
    /// #     forecast.observe(&obs, Millis(2_000));
    /// # }
    /// # forecast.update(Millis(2_000));
    /// assert_eq!(&*forecast.slowest(1)[0].0, "c");
    /// ```
    pub fn slowest(&self, n: usize) -> Vec<(Name, Slowness)> {
        let all = self.speeds.workers.iter();
        let mut all = all
            .map(|(name, w)| (name, Slowness::of(w)))
            .collect::<Vec<_>>();
        all.sort_by(|a, b| b.1.factor.total_cmp(&a.1.factor));
        let first = all.into_iter().take(n);
        first.map(|(name, s)| (name.clone(), s)).collect()
    }

    /// Returns what the next leader needs.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use forecast::{observation::{Kind, Observation}, predictor::{Forecast, Slowness}};
    /// # let mut forecast = Forecast::default();
    /// # let kind = Kind { gang: true, ..Kind::default() };
    /// # let runs = [("a", 0.4), ("b", 0.4), ("c", 0.2)];
    /// # for (i, (worker, progress)) in runs.iter().cycle().take(9).enumerate() {
    /// #     let obs = Observation {
    /// #         step: i as u64 / 3, index: i % 3, kind: &kind, worker: &(*worker).into(),
    /// #         service: &"s".into(), estimate: Millis(5_000), elapsed: Millis(2_000),
    /// #         progress: *progress,
    /// #     };
    /// #     forecast.observe(&obs, Millis(2_000));
    /// # }
    /// # forecast.update(Millis(2_000));
    /// let stored = forecast.stored(Millis(2_000));
    /// assert_eq!(&*stored.workers[0].0, "c");
    /// ```
    pub fn stored(&self, _now: Millis) -> Stored {
        let mut stored = Stored::default();
        let mut typical = vec![0; self.speeds.services.len()];
        for (name, w) in self.speeds.workers.iter() {
            let (mean, known) = (w.effect.mean(), Slowness::of(w).confidence);
            if known < STORED_CONFIDENCE {
                continue;
            }
            if mean.abs() > STORED_DIFFERENCE {
                let log = (mean * 100.0).round() as i16;
                let weight = w.evidence.precision.round().clamp(1.0, 255.0) as u8;
                stored.workers.push(StoredWorker(name.clone(), log, weight));
            } else if let Some(service) = w.service {
                typical[service as usize] += 1;
            }
        }
        let services = self.speeds.services.iter().zip(typical);
        let services = services.map(|(s, n)| (s.name.clone(), n.max(s.typical)));
        stored.services = services.collect();
        let kinds = self.run_times.sums().filter(|(_, sums)| sums.n > 0.0);
        stored.kinds = kinds.map(|(kind, sums)| sums.store(kind)).collect();
        stored
    }

    /// Restores what [`stored`](Self::stored) returned to an earlier leader.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use forecast::{observation::{Kind, Observation}, predictor::{Forecast, Slowness}};
    /// # let mut forecast = Forecast::default();
    /// # let kind = Kind { gang: true, ..Kind::default() };
    /// # let runs = [("a", 0.4), ("b", 0.4), ("c", 0.2)];
    /// # for (i, (worker, progress)) in runs.iter().cycle().take(9).enumerate() {
    /// #     let obs = Observation {
    /// #         step: i as u64 / 3, index: i % 3, kind: &kind, worker: &(*worker).into(),
    /// #         service: &"s".into(), estimate: Millis(5_000), elapsed: Millis(2_000),
    /// #         progress: *progress,
    /// #     };
    /// #     forecast.observe(&obs, Millis(2_000));
    /// # }
    /// # forecast.update(Millis(2_000));
    /// let stored = forecast.stored(Millis(2_000));
    /// let restored = Forecast::restore(&stored, Millis(0));
    /// assert!(restored.slowness("c").factor > 1.5);
    /// ```
    pub fn restore(stored: &Stored, now: Millis) -> Self {
        let mut forecast = Self::default();
        for StoredWorker(name, log, weight) in stored.workers.iter().take(MAX_WORKERS) {
            let var = 1.0 / (RESTORED_SHARE * f64::from(*weight).max(1.0));
            let carry = Gauss::new(f64::from(*log) / 100.0, var);
            let worker = Worker::restore(carry, now);
            forecast.speeds.workers.insert(name.clone(), worker);
        }
        for (name, typical) in &stored.services {
            if let Some(slot) = forecast.speeds.service(name) {
                let service = &mut forecast.speeds.services[slot as usize];
                service.typical = (*typical).min(MAX_WORKERS as u32);
            }
        }
        for kind in stored.kinds.iter().take(MAX_KINDS) {
            if let Some(sums) = Sums::restore(&kind.regression) {
                let sums = sums.scaled(RESTORED_SHARE);
                forecast.run_times.insert(&kind.kind(), sums);
            }
        }
        forecast
    }
}

impl Slowness {
    fn of(worker: &Worker) -> Self {
        if worker.evidence.precision <= 0.0 {
            return Self::UNKNOWN;
        }
        let deviation = worker.effect.var().sqrt();
        Self {
            factor: worker.effect.mean().exp(),
            confidence: (1.0 - deviation / UNKNOWN_DEVIATION).clamp(0.0, 1.0),
        }
    }
}

impl Sums {
    fn store(&self, kind: &Kind) -> StoredKind {
        let (n, scatter_n) = (self.n, self.scatter_n);
        let (x, d) = (self.x / n, self.d / n);
        let scatter = if scatter_n > 0.0 {
            self.scatter / scatter_n
        } else {
            0.0
        };
        let means = [
            n,
            x,
            d,
            self.xx / n - x * x,
            self.xd / n - x * d,
            self.dd / n - d * d,
            self.var / n,
            scatter_n,
            scatter,
        ];
        StoredKind {
            queue: kind.queue.clone(),
            image: kind.image.clone(),
            gang: kind.gang,
            regression: means.map(|v| ((v * 1e4).round() / 1e4) as f32),
        }
    }

    /// Returns the sums, or `None` if they can't come from observations.
    fn restore(regression: &[f32; 9]) -> Option<Self> {
        let [n, x, d, xx, xd, dd, var, scatter_n, scatter] = regression.map(f64::from);
        let positive = [n, xx, dd, var, scatter_n, scatter]
            .iter()
            .all(|v| *v >= 0.0);
        let bounded = regression.iter().all(|v| v.abs() < 1e6);
        (positive && bounded && n > 0.0).then_some(Self {
            n,
            x: n * x,
            d: n * d,
            xx: n * (xx + x * x),
            xd: n * (xd + x * d),
            dd: n * (dd + d * d),
            var: n * var,
            scatter_n,
            scatter: scatter_n * scatter,
        })
    }
}
