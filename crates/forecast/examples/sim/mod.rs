//! Simulated workers that run steps and report progress in percent every 1.5 s.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::{Duration, Instant};

use base::clock::Millis;
use forecast::{
    Name,
    observation::{Kind, Observation},
    predictor::Forecast,
};

const TICK: u64 = 25;
const REPORT: u64 = 1_500;

/// A kind of work of the simulated deployment.
#[derive(Clone)]
pub struct Work {
    pub kind: Kind,
    pub members: usize,
    /// Median run time in ms on a worker of factor 1 and standard deviation of its logarithm.
    pub median: f64,
    pub spread: f64,
    /// Mean and standard deviation of ln(estimate / run time).
    pub bias: f64,
    pub error: f64,
    /// Standard deviation of the logarithm of run times within a step.
    pub scatter: f64,
}

impl Work {
    pub fn new(queue: &str, gang: bool, members: usize, median: f64) -> Self {
        let kind = Kind {
            queue: Some(queue.into()),
            image: None,
            gang,
        };
        Self {
            kind,
            members,
            median,
            spread: 0.35,
            bias: 0.0,
            error: 0.9,
            scatter: if gang { 0.0 } else { 0.25 },
        }
    }
}

/// How the workers of a step are chosen among those with room.
#[derive(Clone, Copy, PartialEq)]
pub enum Choice {
    Random,
    /// Workers that the forecast takes for alike.
    Alike,
}

struct Run {
    step: usize,
    index: usize,
    worker: usize,
    /// Run time on a worker of factor 1.
    base: f64,
    elapsed: f64,
    progress: f64,
}

struct Step {
    work: usize,
    estimate: Millis,
    members: usize,
    left: usize,
}

pub struct Sim {
    pub names: Vec<Name>,
    pub factors: Vec<f64>,
    pub work: Vec<Work>,
    pub choice: Choice,
    pub forecast: Forecast,
    pub now: u64,
    pub rng: fastrand::Rng,
    /// Share of the slots that are in use.
    pub load: f64,
    pub slots: usize,
    /// Times of the calls of `update` that computed something.
    pub costs: Vec<Duration>,
    /// Predictions at the start of steps.
    pub predictions: Vec<Prediction>,
    used: Vec<usize>,
    runs: Vec<Run>,
    steps: Vec<Step>,
    service: Name,
}

/// Logarithms of predicted values over the run time of a subtask on a typical worker.
pub struct Prediction {
    pub work: usize,
    pub median: f64,
    pub likely: f64,
    pub estimate: f64,
}

impl Sim {
    pub fn new(factors: Vec<f64>, work: Vec<Work>, seed: u64) -> Self {
        let names = (0..factors.len()).map(|i| format!("worker-{i:04}").into());
        Self {
            names: names.collect(),
            used: vec![0; factors.len()],
            factors,
            work,
            choice: Choice::Random,
            forecast: Forecast::default(),
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            load: 0.7,
            slots: 8,
            costs: Vec::new(),
            predictions: Vec::new(),
            runs: Vec::new(),
            steps: Vec::new(),
            service: "batch".into(),
        }
    }

    pub fn normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }

    /// Factor of the typical worker.
    pub fn typical(&self) -> f64 {
        let mut f = self.factors.clone();
        f.sort_by(f64::total_cmp);
        f[f.len() / 2]
    }

    /// Natural logarithm of the learned factor over the true one, for the workers that are known
    /// with at least the confidence.
    pub fn errors(&self, confidence: f64) -> Vec<f64> {
        let typical = self.typical();
        let pairs = self.names.iter().zip(&self.factors);
        let pairs = pairs.map(|(name, f)| (self.forecast.slowness(name), f / typical));
        let pairs = pairs.filter(|(s, _)| s.confidence >= confidence);
        pairs.map(|(s, f)| (s.factor / f).ln()).collect()
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            self.start_steps();
            self.work();
            self.report();
            let begin = Instant::now();
            self.forecast.update(Millis(self.now));
            let took = begin.elapsed();
            if took > Duration::from_micros(5) {
                self.costs.push(took);
            }
        }
    }

    /// Mean absolute error of the predicted median, that of the estimate, and the share of
    /// subtasks within the likely run time, of one kind.
    pub fn run_times(&self, work: usize) -> (f64, f64, f64) {
        let p = self.predictions.iter().filter(|p| p.work == work);
        let n = p.clone().count().max(1) as f64;
        let within = p.clone().filter(|p| p.likely >= 0.0).count() as f64 / n;
        let median = mean_abs(p.clone().map(|p| p.median));
        (median, mean_abs(p.map(|p| p.estimate)), within)
    }

    fn start_steps(&mut self) {
        let room = (self.factors.len() * self.slots) as f64 * self.load;
        while (self.runs.len() as f64) < room {
            let work = self.rng.usize(..self.work.len());
            let w = self.work[work].clone();
            let base = w.median * (w.spread * self.normal()).exp();
            let estimate = Millis((base * (w.bias + w.error * self.normal()).exp()) as u64 + 1);
            let Some(workers) = self.choose(w.members) else {
                return;
            };
            for (index, worker) in workers.into_iter().enumerate() {
                let base = base * (w.scatter * self.normal()).exp();
                if index == 0 {
                    self.predict(work, base, estimate);
                }
                self.used[worker] += 1;
                self.runs.push(Run {
                    step: self.steps.len(),
                    index,
                    worker,
                    base,
                    elapsed: 0.0,
                    progress: 0.0,
                });
            }
            self.steps.push(Step {
                work,
                estimate,
                members: w.members,
                left: w.members,
            });
        }
    }

    fn choose(&mut self, members: usize) -> Option<Vec<usize>> {
        let free = |w: &usize| self.slots - self.used[*w];
        let mut open = (0..self.names.len())
            .filter(|w| free(w) > 0)
            .collect::<Vec<_>>();
        self.rng.shuffle(&mut open);
        if self.choice == Choice::Alike && !open.is_empty() {
            let like = self.forecast.slowness(&self.names[open[0]]).factor.ln();
            let off = |w: &usize| {
                let factor = self.forecast.slowness(&self.names[*w]).factor;
                ((factor.ln() - like).abs() * 1e3) as u64
            };
            open.sort_by_cached_key(off);
        }
        open.truncate(members);
        (open.len() == members).then_some(open)
    }

    fn predict(&mut self, work: usize, base: f64, estimate: Millis) {
        let actual = base * self.typical();
        let p = self.forecast.run_time(&self.work[work].kind, estimate);
        let over = |ms: Millis| (ms.0.max(1) as f64 / actual).ln();
        self.predictions.push(Prediction {
            work,
            median: over(p.median),
            likely: over(p.likely),
            estimate: over(estimate),
        });
    }

    fn work(&mut self) {
        let mut ended = Vec::new();
        for (i, r) in self.runs.iter_mut().enumerate() {
            let before = r.progress;
            r.elapsed += TICK as f64;
            r.progress = (before + TICK as f64 / (r.base * self.factors[r.worker])).min(1.0);
            if r.progress >= 1.0 && before < 1.0 {
                self.steps[r.step].left -= 1;
                ended.push(i);
            }
        }
        for i in ended {
            let r = &self.runs[i];
            let gang = self.work[self.steps[r.step].work].kind.gang;
            // Of a gang, the end of the slowest member ends the gang.
            if !gang || self.steps[r.step].left == 0 {
                self.observe(i);
            }
        }
        let (steps, work, used) = (&self.steps, &self.work, &mut self.used);
        self.runs.retain(|r| {
            let step = &steps[r.step];
            let ended = if work[step.work].kind.gang {
                step.left == 0
            } else {
                r.progress >= 1.0
            };
            used[r.worker] -= usize::from(ended);
            !ended
        });
    }

    /// Each worker reports all its runs once per interval, at its own phase.
    fn report(&mut self) {
        for i in 0..self.runs.len() {
            let phase = self.runs[i].worker as u64 * 7 * TICK;
            if (self.now + phase).is_multiple_of(REPORT) {
                self.observe(i);
            }
        }
    }

    fn observe(&mut self, run: usize) {
        let r = &self.runs[run];
        let step = &self.steps[r.step];
        let progress = (r.progress * 100.0).floor() / 100.0;
        if progress <= 0.0 {
            return;
        }
        let obs = Observation {
            step: r.step as u64,
            index: r.index,
            kind: &self.work[step.work].kind,
            worker: &self.names[r.worker],
            service: &self.service,
            estimate: step.estimate,
            elapsed: Millis(r.elapsed as u64),
            progress,
        };
        self.forecast.observe(&obs, Millis(self.now));
    }
}

/// Mean of absolute values.
pub fn mean_abs(values: impl IntoIterator<Item = f64>) -> f64 {
    let values = values.into_iter().map(f64::abs).collect::<Vec<_>>();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
