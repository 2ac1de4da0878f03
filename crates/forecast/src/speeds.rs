//! Speeds of workers: what is kept of workers, steps and their runs.

use base::{clock::Millis, sorted::SortedMap};

use crate::{Name, fit::StepValue, gauss::Gauss, observation::Observation, run::Run};

/// Steps that are kept for a worker. At the design size, a worker runs about 6 subtasks.
const MAX_EDGES: usize = 8;
/// Time of load without a report after which a step that has not ended may be dropped, in ms.
/// Reports come every 1.5 s, and a step that is dropped while it runs would be counted twice.
const REPORTED: f64 = 4_000.0;
/// Runs of one step that are kept for a worker.
const MAX_RUNS: usize = 8;
pub(crate) const MAX_WORKERS: usize = 2_048;
const MAX_SERVICES: usize = 64;
/// Time of load after which an observation counts half, in ms. Runs take 2 to 9 s, so that two runs
/// outvote the earlier ones.
const HALF_LIFE: f64 = 6_000.0;
/// Time of load after which the evidence of steps that are no longer kept counts half, in ms.
const CARRY_HALF_LIFE: f64 = 30_000.0;
/// Highest precision of that evidence: standard deviation 0.1.
const CARRY_LIMIT: f64 = 100.0;
/// Precision of what is known of a worker that has restarted: standard deviation 0.35.
const RESTART_LIMIT: f64 = 8.0;

/// Runs of one step on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Edge {
    pub step: u32,
    pub runs: Vec<Run>,
    /// Load of the worker at the last observation that said something new.
    seen_at: f64,
    /// Load of the worker at the last observation.
    reported_at: f64,
    /// Median of the logarithm of the durations, and its variance that comes from the reports.
    pub value: f64,
    pub report_var: f64,
    /// Whether the value is only an upper bound.
    pub is_bound: bool,
    /// What the edge tells of the step and of the worker.
    pub to_step: Gauss,
    pub to_worker: Gauss,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub service: Option<u32>,
    pub edges: Vec<Edge>,
    /// Evidence from steps that are no longer kept.
    pub carry: Gauss,
    /// Time of load so far, in ms.
    load: f64,
    seen_at: Millis,
    /// Whether an earlier leader knew the worker.
    pub restored: bool,
    /// Logarithm of the factor, without and with the prior.
    pub evidence: Gauss,
    pub effect: Gauss,
}

#[derive(Clone, Debug)]
pub(crate) struct Step {
    id: u64,
    pub kind: u32,
    /// Logarithm of the estimate.
    pub x: f64,
    pub edges: u32,
    /// Edges whose value is not only an upper bound.
    pub exact: u32,
    /// Evidence from edges that were dropped. The first to end are the shortest runs, so that
    /// without it the step would look longer towards its end.
    pub carry: Gauss,
    pub effect: Gauss,
    /// What was observed when the most members were known, and the rank of that state.
    pub value: Option<StepValue>,
    pub best: u32,
    /// Mean effect of its workers and their service.
    pub speed: f64,
    pub service: Option<u32>,
}

#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub name: Name,
    /// Variance of the effects of its workers.
    pub spread: f64,
    /// Workers near the median that an earlier leader knew.
    pub typical: u32,
}

/// Workers and steps with their runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Speeds {
    pub workers: SortedMap<Name, Worker>,
    pub services: Vec<Service>,
    pub steps: Vec<Step>,
    free: Vec<u32>,
    slots: SortedMap<u64, u32>,
    past: Vec<StepValue>,
}

impl Edge {
    fn new(step: u32, run: Run, load: f64) -> Self {
        let mut edge = Self {
            step,
            runs: vec![run],
            seen_at: load,
            reported_at: load,
            value: 0.0,
            report_var: 0.0,
            is_bound: false,
            to_step: Gauss::default(),
            to_worker: Gauss::default(),
        };
        edge.summarize();
        edge
    }

    /// Takes an observation. Returns whether it says something new.
    fn observe(&mut self, obs: &Observation<'_>) -> bool {
        if let Some(run) = self.runs.iter_mut().find(|r| r.index == obs.index) {
            if !run.observe(obs) {
                return false;
            }
        } else if let Some(run) = Run::new(obs) {
            if self.runs.len() == MAX_RUNS {
                self.runs.remove(0);
            }
            self.runs.push(run);
        } else {
            return false;
        }
        self.summarize();
        true
    }

    fn summarize(&mut self) {
        let mut values = [0.0; MAX_RUNS];
        let n = self.runs.len();
        let mut report_var = 0.0;
        for (v, run) in values.iter_mut().zip(&self.runs) {
            *v = run.value();
            report_var += run.report_var();
        }
        self.value = median(&mut values[..n]);
        self.report_var = report_var / (n * n) as f64;
        self.is_bound = self.runs.iter().all(Run::is_bound);
    }

    /// Whether the edge may make room for a step that is new on the worker.
    fn is_over(&self, load: f64) -> bool {
        load - self.reported_at > REPORTED || self.runs.iter().all(Run::is_complete)
    }
}

/// Returns the median; of two middle values, their mean.
pub(crate) fn median(values: &mut [f64]) -> f64 {
    let n = values.len();
    if n == 0 {
        return 0.0;
    }
    let (below, &mut upper, _) = values.select_nth_unstable_by(n / 2, f64::total_cmp);
    if n % 2 == 1 {
        return upper;
    }
    let lower = below.iter().copied().fold(f64::MIN, f64::max);
    f64::midpoint(lower, upper)
}

impl Worker {
    /// A worker that an earlier leader knew.
    pub fn restore(carry: Gauss, now: Millis) -> Self {
        Self {
            carry,
            seen_at: now,
            restored: true,
            evidence: carry,
            effect: carry + Gauss::new(0.0, crate::fit::PRIOR_SPREAD),
            ..Self::default()
        }
    }

    /// Counts the time of load since the last observation.
    fn advance(&mut self, elapsed: Millis, now: Millis) {
        let load = now.since(self.seen_at).min(elapsed).0 as f64;
        self.seen_at = self.seen_at.max(now);
        self.load += load;
        self.carry = self.carry.scaled((-load / CARRY_HALF_LIFE).exp2());
    }

    /// Weight of an edge by its age.
    pub fn weight(load: f64, edge: &Edge) -> f64 {
        ((edge.seen_at - load) / HALF_LIFE).exp2()
    }

    pub fn load(&self) -> f64 {
        self.load
    }

    /// Returns whether a step that is new on the worker can be kept.
    fn has_room(&self) -> bool {
        self.edges.len() < MAX_EDGES || self.edges.iter().any(|e| e.is_over(self.load))
    }

    /// Drops an edge if there is no other room, and returns it.
    fn make_room(&mut self) -> Option<Edge> {
        if self.edges.len() < MAX_EDGES {
            return None;
        }
        let (edges, load) = (&self.edges, self.load);
        let over = (0..edges.len()).filter(|&i| edges[i].is_over(load));
        let oldest = over.min_by(|&a, &b| edges[a].seen_at.total_cmp(&edges[b].seen_at))?;
        let edge = self.edges.remove(oldest);
        self.fold(&edge);
        Some(edge)
    }

    /// Adds what an edge told to the carried evidence. Earlier evidence that contradicts it loses
    /// weight.
    fn fold(&mut self, edge: &Edge) {
        let differs = (edge.to_worker.mean() - self.carry.mean()).abs();
        let expected = 1.5 * (edge.to_worker.var() + self.carry.var()).sqrt();
        if differs > expected {
            self.carry = self.carry.scaled(expected / differs);
        }
        self.carry = (self.carry + edge.to_worker).limited(CARRY_LIMIT);
    }
}

impl Speeds {
    /// Records an observation. `kind` returns the slot of the kind of a new step whose workers are
    /// of the service in the given slot.
    pub fn observe(
        &mut self,
        obs: &Observation<'_>,
        now: Millis,
        kind: impl FnOnce(u32) -> Option<u32>,
    ) -> bool {
        let run = Run::new(obs);
        let known = self.slots.get(&obs.step).copied();
        if run.is_none() && known.is_none() {
            return false;
        }
        let Some(service) = self.service(obs.service) else {
            return false;
        };
        self.make_room(obs.worker);
        let worker = self.workers.get_or_default(obs.worker.clone());
        worker.service = Some(service);
        worker.advance(obs.elapsed, now);
        let load = worker.load;
        if let Some(edge) = worker.edges.iter_mut().find(|e| Some(e.step) == known) {
            edge.reported_at = load;
            let new = edge.observe(obs);
            if new {
                edge.seen_at = load;
            }
            return new;
        }
        let Some(run) = run.filter(|_| worker.has_room()) else {
            return false;
        };
        let step = match known {
            Some(step) => step,
            None => match kind(service) {
                Some(kind) => add_step(&mut self.steps, &mut self.free, obs, kind),
                None => return false,
            },
        };
        self.slots.insert(obs.step, step);
        self.steps[step as usize].edges += 1;
        let dropped = worker.make_room();
        worker.edges.push(Edge::new(step, run, load));
        self.release(dropped.as_slice());
        true
    }

    /// Returns the slot of a service.
    pub fn service(&mut self, name: &Name) -> Option<u32> {
        if let Some(i) = self.services.iter().position(|s| s.name == *name) {
            return Some(i as u32);
        }
        if self.services.len() == MAX_SERVICES {
            return None;
        }
        self.services.push(Service {
            name: name.clone(),
            spread: crate::fit::PRIOR_SPREAD,
            typical: 0,
        });
        Some(self.services.len() as u32 - 1)
    }

    /// Forgets the worker that was not observed for the longest time if a new one has no room.
    fn make_room(&mut self, worker: &Name) {
        if self.workers.len() < MAX_WORKERS || self.workers.get(worker).is_some() {
            return;
        }
        let oldest = self.workers.iter().min_by_key(|(_, w)| w.seen_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.forget(&name);
        }
    }

    pub fn forget(&mut self, worker: &str) {
        if let Some(w) = self.workers.remove(worker) {
            self.release(&w.edges);
        }
    }

    /// Keeps of a worker only what is known of its speed, with low confidence.
    pub fn restarted(&mut self, worker: &str) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.carry = w.evidence.limited(RESTART_LIMIT);
            w.evidence = w.carry;
            w.effect = w.carry + Gauss::new(0.0, crate::fit::PRIOR_SPREAD);
            let edges = std::mem::take(&mut w.edges);
            self.release(&edges);
        }
    }

    /// Counts edges off their steps. A step without edges ends.
    fn release(&mut self, edges: &[Edge]) {
        for edge in edges {
            let step = &mut self.steps[edge.step as usize];
            step.edges -= 1;
            step.carry += edge.to_step;
            if step.edges == 0 {
                let value = step.value.take();
                self.past
                    .push(value.unwrap_or_else(|| StepValue::unknown(step.kind)));
                self.slots.remove(&step.id);
                self.free.push(edge.step);
            }
        }
    }

    /// Number of pairs of a worker and a step that are kept.
    pub fn edges(&self) -> usize {
        self.workers.values().map(|w| w.edges.len()).sum()
    }

    /// Takes the steps that have ended since the last call.
    pub fn take_past(&mut self) -> Vec<StepValue> {
        std::mem::take(&mut self.past)
    }

    /// Iterates over what is known of the steps under observation.
    pub fn step_values(&self) -> impl Iterator<Item = StepValue> {
        let live = self.steps.iter().filter(|s| s.edges > 0);
        live.filter_map(|s| s.value)
    }
}

fn add_step(steps: &mut Vec<Step>, free: &mut Vec<u32>, obs: &Observation<'_>, kind: u32) -> u32 {
    let step = Step {
        id: obs.step,
        kind,
        x: (obs.estimate.0.max(1) as f64).ln(),
        edges: 0,
        exact: 0,
        carry: Gauss::default(),
        best: 0,
        effect: Gauss::default(),
        value: None,
        speed: 0.0,
        service: None,
    };
    if let Some(slot) = free.pop() {
        steps[slot as usize] = step;
        slot
    } else {
        steps.push(step);
        steps.len() as u32 - 1
    }
}
