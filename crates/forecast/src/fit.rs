//! Fit of step effects and worker effects.
//!
//! Alternating weighted least squares: step effects from the observations less the worker effects,
//! then worker effects from the observations less the step effects. Each pass weighs an observation
//! also by how well the other effect is known from the other observations, so that a gang whose
//! members are all on slow workers tells nothing of their speed. Both directions are reweighted
//! (Huber), which limits the effect of outliers.

use crate::{
    gauss::Gauss,
    speeds::{Service, Speeds, Step, Worker, median},
};

/// Variance of worker effects in a service of which nothing is known: standard deviation 0.5.
pub(crate) const PRIOR_SPREAD: f64 = 0.25;
/// Number of workers that this variance is worth.
const PRIOR_WORKERS: f64 = 2.0;
/// Least variance of worker effects, so that a worker that becomes slow is noticed.
const MIN_SPREAD: f64 = 0.002_5;
/// Alternations in one update, which starts from the result of the earlier one. With few
/// observations, as at the start, there are twice as many: in the bench example this reduces the
/// mean error of speeds after the first second from 0.084 to 0.072.
const PASSES: usize = 2;
const FEW_EDGES: usize = 1_000;
/// Standard deviations from which an observation loses weight.
const HUBER: f64 = 1.5;

/// Part of the stretch that one update corrects, and the weight of no stretch in it.
const STRETCH_GAIN: f64 = 0.1;
const STRETCH_WEIGHT: f64 = 10.0;

/// What is expected of a step before it is observed.
pub(crate) struct StepPrior {
    /// Logarithm of the run time.
    pub effect: Gauss,
    /// Variance of the logarithm of run times within the step.
    pub scatter: f64,
}

/// What was observed of a step, as logarithms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepValue {
    pub kind: u32,
    /// Estimate.
    pub x: f64,
    /// Run time on a typical worker: median over the members.
    pub value: f64,
    /// Variance of the value.
    pub var: f64,
    /// Variance of the run times within the step and its weight.
    pub scatter: f64,
    pub scatter_n: f64,
}

/// What the runs of a step on one worker tell of the step.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    /// Logarithm of the run time on a typical worker.
    value: f64,
    /// Effect of the worker.
    speed: f64,
    runs: f64,
}

impl StepValue {
    /// A step that ended before it took part in a fit.
    pub fn unknown(kind: u32) -> Self {
        Self {
            kind,
            x: 0.0,
            value: 0.0,
            var: f64::INFINITY,
            scatter: 0.0,
            scatter_n: 0.0,
        }
    }
}

/// Weight of an observation that is `residual` off.
fn huber(residual: f64, var: f64) -> f64 {
    let limit = HUBER * var.sqrt();
    if residual.abs() <= limit {
        1.0
    } else {
        limit / residual.abs()
    }
}

impl Speeds {
    /// Fits the effects. Returns by how much the typical worker of each service moved.
    pub fn fit(&mut self, prior: impl Fn(u32, f64) -> StepPrior) -> Vec<f64> {
        let priors = self.steps.iter().map(|s| prior(s.kind, s.x));
        let priors = priors.collect::<Vec<_>>();
        self.clear_steps(&priors);
        self.count_exact();
        for (_, w) in self.workers.iter_mut() {
            w.effect = w.evidence + worker_prior(&self.services, w);
            for e in &w.edges {
                self.steps[e.step as usize].effect += e.to_step;
            }
        }
        let passes = if self.edges() < FEW_EDGES {
            2 * PASSES
        } else {
            PASSES
        };
        for _ in 0..passes {
            self.pass_to_steps(&priors);
            self.pass_to_workers(&priors);
        }
        let shifts = self.center();
        self.update_spreads();
        self.summarize_steps();
        self.stretch(&priors, &shifts);
        shifts
    }

    fn clear_steps(&mut self, priors: &[StepPrior]) {
        for (step, prior) in self.steps.iter_mut().zip(priors) {
            step.effect = prior.effect + step.carry;
        }
    }

    fn count_exact(&mut self) {
        for step in &mut self.steps {
            step.exact = 0;
        }
        for (_, w) in self.workers.iter() {
            for e in w.edges.iter().filter(|e| !e.is_bound) {
                self.steps[e.step as usize].exact += 1;
            }
        }
    }

    /// Recomputes the step effects from the worker effects.
    fn pass_to_steps(&mut self, priors: &[StepPrior]) {
        let steps = &self.steps;
        for (_, w) in self.workers.iter_mut() {
            let effect = w.effect;
            for e in &mut w.edges {
                let rest = effect - e.to_worker;
                let noise = e.noise(priors[e.step as usize].scatter);
                let var = noise + rest.var();
                let value = e.value - rest.mean();
                let step = &steps[e.step as usize];
                let residual = value - step.effect.mean();
                // A step that is new may be far from the expectation of its kind.
                let weight = if e.is_bound && step.exact > 0 {
                    0.0
                } else if e.to_step.precision > 0.0 {
                    huber(residual, var)
                } else {
                    1.0
                };
                e.to_step = Gauss::new(value, var).scaled(weight);
            }
        }
        self.clear_steps(priors);
        for (_, w) in self.workers.iter() {
            for e in &w.edges {
                self.steps[e.step as usize].effect += e.to_step;
            }
        }
    }

    /// Recomputes the worker effects from the step effects.
    fn pass_to_workers(&mut self, priors: &[StepPrior]) {
        for (_, w) in self.workers.iter_mut() {
            let prior = worker_prior(&self.services, w);
            let now = w.effect.mean();
            let load = w.load();
            let mut evidence = w.carry.scaled(huber(w.carry.mean() - now, w.carry.var()));
            for e in &mut w.edges {
                let rest = self.steps[e.step as usize].effect - e.to_step;
                let var = e.noise(priors[e.step as usize].scatter) + rest.var();
                let value = e.value - rest.mean();
                let weight = if e.is_bound && value > now {
                    0.0
                } else {
                    Worker::weight(load, e) * huber(value - now, var)
                };
                e.to_worker = Gauss::new(value, var).scaled(weight);
                evidence += e.to_worker;
            }
            w.evidence = evidence;
            w.effect = evidence + prior;
        }
    }

    /// Moves the worker effects so that their median is zero in each service.
    fn center(&mut self) -> Vec<f64> {
        let mut means = vec![Vec::new(); self.services.len()];
        let mut new = vec![0; self.services.len()];
        for (_, w) in self.workers.iter() {
            if let (Some(service), true) = (w.service, w.evidence.precision > 0.0) {
                means[service as usize].push(w.effect.mean());
                new[service as usize] += u32::from(!w.restored);
            }
        }
        for ((means, service), new) in means.iter_mut().zip(&self.services).zip(&new) {
            let unseen = service.typical.saturating_sub(*new) as usize;
            means.extend(std::iter::repeat_n(0.0, unseen));
        }
        let shifts = means.iter_mut().map(|m| median(m)).collect::<Vec<_>>();
        for (_, w) in self.workers.iter_mut() {
            let Some(service) = w.service else {
                continue;
            };
            let delta = shifts[service as usize];
            w.carry = w.carry.shifted(-delta);
            w.evidence = w.evidence.shifted(-delta);
            w.effect = w.effect.shifted(-delta);
            for e in &mut w.edges {
                e.to_worker = e.to_worker.shifted(-delta);
                e.to_step = e.to_step.shifted(delta);
            }
        }
        for step in &mut self.steps {
            if let Some(&delta) = step.service.and_then(|s| shifts.get(s as usize)) {
                step.carry = step.carry.shifted(delta);
                if let Some(value) = &mut step.value {
                    value.value += delta;
                }
            }
        }
        shifts
    }

    /// Measures how much the workers of each service differ.
    fn update_spreads(&mut self) {
        let mut sums = vec![(PRIOR_WORKERS, PRIOR_WORKERS * PRIOR_SPREAD); self.services.len()];
        for (_, w) in self.workers.iter() {
            if let (Some(service), true) = (w.service, w.evidence.precision > 0.0) {
                let excess = w.evidence.mean().powi(2) - w.evidence.var();
                let (n, sum) = &mut sums[service as usize];
                *n += 1.0;
                *sum += excess.clamp(-PRIOR_SPREAD, 1.0);
            }
        }
        for (service, (n, sum)) in self.services.iter_mut().zip(sums) {
            service.spread = (sum / n).max(MIN_SPREAD);
        }
    }

    /// Undoes the shrinkage of effects that the fit itself can't see.
    ///
    /// If gangs run on workers of like speed, reports within a gang don't tell slow gangs from long
    /// steps, and the prior draws all effects to zero, a little in each update. Then steps on slow
    /// workers look longer than their kind, and those on fast workers shorter. The slope of this
    /// over all steps is the amount by which the effects are too small.
    fn stretch(&mut self, priors: &[StepPrior], shifts: &[f64]) {
        let mut sums = vec![(0.0, 0.0); self.services.len()];
        for (step, prior) in self.steps.iter().zip(priors) {
            let (Some(value), Some(service)) = (step.value, step.service) else {
                continue;
            };
            let expected = prior.effect.mean() + shifts[service as usize];
            let weight = 1.0 / (prior.effect.var() + value.var);
            let (cross, square) = &mut sums[service as usize];
            *cross += weight * step.speed * (value.value - expected);
            *square += weight * step.speed * step.speed;
        }
        for (_, w) in self.workers.iter_mut() {
            let Some(service) = w.service else {
                continue;
            };
            let (cross, square) = sums[service as usize];
            let stretch = cross / (square + STRETCH_WEIGHT);
            w.stretch(1.0 + STRETCH_GAIN * stretch.clamp(-0.5, 0.5));
        }
    }

    /// Computes the median run time of each step on a typical worker and the scatter around it.
    fn summarize_steps(&mut self) {
        let mut starts = Vec::with_capacity(self.steps.len());
        let mut total = 0;
        for step in &self.steps {
            starts.push(total);
            total += step.used() as usize;
        }
        let mut members = vec![Member::default(); total];
        let mut precisions = vec![0.0; self.steps.len()];
        for (_, w) in self.workers.iter() {
            for e in &w.edges {
                let exact = self.steps[e.step as usize].exact;
                if exact == 0 || !e.is_bound {
                    let at = &mut starts[e.step as usize];
                    members[*at] = Member {
                        value: e.value - w.effect.mean(),
                        speed: w.effect.mean(),
                        runs: e.runs.len() as f64,
                    };
                    *at += 1;
                }
                precisions[e.step as usize] += e.to_step.precision;
                self.steps[e.step as usize].service = w.service;
            }
        }
        let mut scratch = Vec::new();
        for ((step, &end), &precision) in self.steps.iter_mut().zip(&starts).zip(&precisions) {
            if step.edges > 0 && step.rank() >= step.best {
                let members = &members[end - step.used() as usize..end];
                step.summarize(members, precision, &mut scratch);
            }
        }
    }
}

impl crate::speeds::Edge {
    /// Variance of the value around step effect and worker effect.
    fn noise(&self, scatter: f64) -> f64 {
        scatter / self.runs.len() as f64 + self.report_var
    }
}

impl Worker {
    /// Multiplies the effect.
    fn stretch(&mut self, by: f64) {
        self.carry.sum *= by;
        self.evidence.sum *= by;
        self.effect.sum *= by;
        for e in &mut self.edges {
            e.to_worker.sum *= by;
        }
    }
}

impl Step {
    /// Number of edges that tell its value. Upper bounds count if there is nothing else.
    fn used(&self) -> u32 {
        if self.exact > 0 {
            self.exact
        } else {
            self.edges
        }
    }

    /// Order of states of the step by how much they tell.
    fn rank(&self) -> u32 {
        if self.exact > 0 {
            u32::MAX / 2 + self.exact
        } else {
            self.edges
        }
    }

    fn summarize(&mut self, members: &[Member], precision: f64, scratch: &mut Vec<f64>) {
        self.best = self.rank();
        self.speed = members.iter().map(|m| m.speed).sum::<f64>() / members.len() as f64;
        scratch.clear();
        scratch.extend(members.iter().map(|m| m.value));
        let value = median(scratch);
        scratch.clear();
        scratch.extend(
            members
                .iter()
                .map(|m| (m.value - value).abs() * m.runs.sqrt()),
        );
        // The median of absolute deviations of a normal distribution is 0.674 standard deviations.
        let scatter = (median(scratch) / 0.674).powi(2);
        self.value = Some(StepValue {
            kind: self.kind,
            x: self.x,
            value,
            var: 1.0 / precision,
            scatter,
            scatter_n: if members.len() >= 4 {
                members.len() as f64 - 1.0
            } else {
                0.0
            },
        });
    }
}

fn worker_prior(services: &[Service], w: &Worker) -> Gauss {
    let spread = match w.service {
        Some(service) => services[service as usize].spread,
        None => PRIOR_SPREAD,
    };
    // A worker that differs more than the others is not held near them.
    Gauss::new(0.0, spread).scaled(huber(w.effect.mean(), spread))
}
