//! Run times of each kind of work: regression of log(run time) on log(estimate).

use base::{clock::Millis, sorted::SortedMap};

use crate::{
    fit::{StepPrior, StepValue},
    gauss::Gauss,
    observation::Kind,
};

/// Kinds that are kept. A kind that is not in use makes room for a new one.
pub(crate) const MAX_KINDS: usize = 64;
/// Confidence in the regression of a queue for a kind of it that was not observed.
const OTHERS: f64 = 0.5;
/// Number of observations that the prior (slope 1, intercept 0) is worth.
const PRIOR_WEIGHT: f64 = 5.0;
/// Variance of the logarithm of the estimates that the prior of the slope was seen on.
const PRIOR_SPREAD: f64 = 0.25;
/// Variance of log(run time / estimate) of a kind that is not known; 0.18 to 0.96 were measured as
/// standard deviation.
const PRIOR_VAR: f64 = 0.36;
/// Number of observations that the prior variance is worth.
const VAR_WEIGHT: f64 = 2.0;
/// Share that a step which is no longer observed keeps when the next one follows it.
const DECAY: f64 = 1.0 - 1.0 / 64.0;
/// Standard deviation of the logarithm of run times within a step that is no gang.
const SCATTER: f64 = 0.35;
/// Number of subtasks that the prior scatter is worth.
const SCATTER_WEIGHT: f64 = 8.0;
/// Standard deviation of the logarithm of run times within a gang.
const GANG_SCATTER: f64 = 0.03;
/// Standard score of the quantile 0.85.
const LIKELY: f64 = 1.036;

/// Weighted sums over steps, with `x` = ln(estimate) and `d` = ln(run time) - ln(estimate).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Sums {
    pub n: f64,
    pub x: f64,
    pub d: f64,
    pub xx: f64,
    pub xd: f64,
    pub dd: f64,
    /// Weighted sum of the variances with which the steps are known.
    pub var: f64,
    /// Weight and weighted sum of the variances within steps that have ended. Of a step under way
    /// the short runs are seen first, which looks like less scatter.
    pub scatter_n: f64,
    pub scatter: f64,
}

impl Sums {
    fn add(&mut self, step: &StepValue, weight: f64) {
        let (x, d) = (step.x, step.value - step.x);
        self.n += weight;
        self.x += weight * x;
        self.d += weight * d;
        self.xx += weight * x * x;
        self.xd += weight * x * d;
        self.dd += weight * d * d;
        self.var += weight * step.var;
    }

    pub fn scaled(&self, f: f64) -> Self {
        Self {
            n: self.n * f,
            x: self.x * f,
            d: self.d * f,
            xx: self.xx * f,
            xd: self.xd * f,
            dd: self.dd * f,
            var: self.var * f,
            scatter_n: self.scatter_n * f,
            scatter: self.scatter * f,
        }
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            n: self.n + other.n,
            x: self.x + other.x,
            d: self.d + other.d,
            xx: self.xx + other.xx,
            xd: self.xd + other.xd,
            dd: self.dd + other.dd,
            var: self.var + other.var,
            scatter_n: self.scatter_n + other.scatter_n,
            scatter: self.scatter + other.scatter,
        }
    }

    /// The sums with `d` less its expectation `at + slope * x`.
    fn less(&self, at: f64, slope: f64) -> Self {
        Self {
            d: self.d - at * self.n - slope * self.x,
            xd: self.xd - at * self.x - slope * self.xx,
            dd: self.dd - 2.0 * (at * self.d + slope * self.xd)
                + at * at * self.n
                + 2.0 * at * slope * self.x
                + slope * slope * self.xx,
            ..*self
        }
    }

    /// Moves all run times by `delta`.
    fn shifted(&self, delta: f64) -> Self {
        self.less(-delta, 0.0)
    }
}

/// Regression of a kind.
#[derive(Clone, Copy, Debug)]
struct Line {
    n: f64,
    center: f64,
    spread: f64,
    intercept: f64,
    slope: f64,
    var: f64,
    scatter: f64,
    /// Part of the variance that comes from how well the steps are known.
    observed: f64,
    confidence: f64,
}

impl Line {
    /// Regression without observations: slope 1 and intercept 0.
    const PRIOR: Self = Self {
        n: 0.0,
        center: 0.0,
        spread: 0.0,
        intercept: 0.0,
        slope: 0.0,
        var: PRIOR_VAR,
        scatter: SCATTER * SCATTER,
        observed: 0.0,
        confidence: 0.0,
    };

    /// Regression of `sums` with the regression `prior`.
    fn new(sums: &Sums, prior: &Self, gang: bool) -> Self {
        let s = sums.less(prior.intercept - prior.slope * prior.center, prior.slope);
        let (n, center) = if s.n > 0.0 {
            (s.n, s.x / s.n)
        } else {
            (1.0, prior.center)
        };
        let spread = (s.xx - s.x * center).max(0.0);
        let cross = s.xd - s.x * s.d / n;
        let slope = cross / (spread + PRIOR_WEIGHT * PRIOR_SPREAD);
        let intercept = s.d / (s.n + PRIOR_WEIGHT);
        let squares = s.dd - 2.0 * intercept * s.d + s.n * intercept * intercept
            - 2.0 * slope * cross
            + slope * slope * spread;
        let scatter = if gang {
            GANG_SCATTER * GANG_SCATTER
        } else {
            (SCATTER_WEIGHT * prior.scatter + s.scatter) / (SCATTER_WEIGHT + s.scatter_n)
        };
        let known = s.n / (s.n + PRIOR_WEIGHT);
        Self {
            n: s.n,
            center,
            spread,
            intercept: intercept + prior.intercept + prior.slope * (center - prior.center),
            slope: slope + prior.slope,
            var: (VAR_WEIGHT * prior.var + squares.max(0.0)) / (VAR_WEIGHT + s.n),
            scatter,
            observed: s.var / (VAR_WEIGHT + s.n),
            confidence: known + (1.0 - known) * OTHERS * prior.confidence,
        }
    }

    /// Mean and variance of the logarithm of the run time of a step.
    fn predict(&self, x: f64) -> (f64, f64) {
        let mean = x + self.intercept + self.slope * (x - self.center);
        let u = if self.n > 0.0 { x - self.center } else { 0.0 };
        let unsure =
            1.0 / (self.n + PRIOR_WEIGHT) + u * u / (self.spread + PRIOR_WEIGHT * PRIOR_SPREAD);
        (mean, self.var * (1.0 + unsure))
    }
}

#[derive(Clone, Debug)]
struct Entry {
    kind: Kind,
    /// Service on whose workers the kind runs.
    service: u32,
    /// Steps that are still observed.
    steps: u32,
    used_at: Millis,
    /// Sums over the steps that are no longer observed.
    past: Sums,
    /// Sums over all its steps at the last update.
    sums: Sums,
    line: Line,
}

/// Regressions of all kinds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    slots: SortedMap<Kind, u32>,
    entries: Vec<Entry>,
}

/// Expected run time on a typical worker, as logarithms.
pub(crate) struct Expected {
    pub median: f64,
    pub likely: f64,
    pub confidence: f64,
}

impl RunTimes {
    /// Returns the slot of a kind for a new step, or `None` if all slots are in use.
    pub fn add_step(&mut self, kind: &Kind, service: u32, now: Millis) -> Option<u32> {
        let slot = match self.slots.get(kind) {
            Some(&slot) => slot,
            None => self.insert(kind, Sums::default())?,
        };
        let e = &mut self.entries[slot as usize];
        e.service = service;
        e.steps += 1;
        e.used_at = now;
        Some(slot)
    }

    /// Adds a kind with the sums of an earlier leader.
    pub fn insert(&mut self, kind: &Kind, past: Sums) -> Option<u32> {
        let entry = Entry {
            kind: kind.clone(),
            service: u32::MAX,
            steps: 0,
            used_at: Millis::ZERO,
            past,
            sums: past,
            line: Line::new(&past, &self.prior_of(kind), kind.gang),
        };
        let slot = if self.entries.len() < MAX_KINDS {
            self.entries.push(entry);
            self.entries.len() - 1
        } else {
            let unused = self
                .entries
                .iter()
                .enumerate()
                .filter(|(_, e)| e.steps == 0);
            let slot = unused.min_by_key(|(_, e)| e.used_at)?.0;
            self.slots.remove(&self.entries[slot].kind);
            self.entries[slot] = entry;
            slot
        };
        self.slots.insert(kind.clone(), slot as u32);
        Some(slot as u32)
    }

    /// What is expected of a step before it is observed.
    pub fn prior(&self, slot: u32, x: f64) -> StepPrior {
        let line = &self.entries[slot as usize].line;
        let (mean, var) = line.predict(x);
        StepPrior {
            effect: Gauss::new(mean, var),
            scatter: line.scatter,
        }
    }

    /// Takes the steps that are no longer observed, moves run times by the change of the typical
    /// worker of each service, and recomputes the regressions with the steps under observation.
    pub fn update(&mut self, past: &[StepValue], shifts: &[f64], live: &[StepValue]) {
        for step in past {
            let e = &mut self.entries[step.kind as usize];
            e.steps -= 1;
            let weight = e.weight(step);
            if weight > 0.0 {
                e.past = e.past.scaled(DECAY);
                e.past.add(step, weight);
                e.past.scatter_n += step.scatter_n;
                e.past.scatter += step.scatter_n * step.scatter;
            }
        }
        for e in &mut self.entries {
            if let Some(&delta) = shifts.get(e.service as usize) {
                e.past = e.past.shifted(delta);
            }
        }
        for e in &mut self.entries {
            e.sums = e.past;
        }
        for step in live {
            let e = &mut self.entries[step.kind as usize];
            let weight = e.weight(step);
            e.sums.add(step, weight);
        }
        for i in 0..self.entries.len() {
            let e = &self.entries[i];
            let prior = self.prior_of(&e.kind);
            self.entries[i].line = Line::new(&e.sums, &prior, e.kind.gang);
        }
    }

    /// Regression over the other kinds of the same queue, which differ in their images.
    fn prior_of(&self, kind: &Kind) -> Line {
        let same = |e: &&Entry| {
            e.kind.gang == kind.gang && e.kind.queue == kind.queue && e.kind.image != kind.image
        };
        let others = self.entries.iter().filter(same);
        let sums = others.fold(Sums::default(), |sums, e| sums.plus(&e.sums));
        if sums.n > 0.0 {
            Line::new(&sums, &Line::PRIOR, kind.gang)
        } else {
            Line::PRIOR
        }
    }

    pub fn expected(&self, kind: &Kind, x: f64) -> Option<Expected> {
        let line = match self.slots.get(kind) {
            Some(&slot) => self.entries[slot as usize].line,
            None => Line::new(&Sums::default(), &self.prior_of(kind), kind.gang),
        };
        if line.confidence <= 0.0 {
            return None;
        }
        let (mean, var) = line.predict(x);
        // The scatter within steps is already part of the variance of a kind with narrow steps.
        let scatter = (line.scatter - line.observed).max(0.0);
        Some(Expected {
            median: mean,
            likely: mean + LIKELY * (var + scatter).sqrt(),
            confidence: line.confidence,
        })
    }

    /// Iterates over the kinds with the sums of all their steps at the last update.
    pub fn sums(&self) -> impl Iterator<Item = (&Kind, &Sums)> {
        self.entries.iter().map(|e| (&e.kind, &e.sums))
    }
}

impl Entry {
    /// Weight of a step, 1 if it is known much better than steps of the kind differ.
    fn weight(&self, step: &StepValue) -> f64 {
        if step.var.is_finite() {
            self.line.var / (self.line.var + step.var)
        } else {
            0.0
        }
    }
}
