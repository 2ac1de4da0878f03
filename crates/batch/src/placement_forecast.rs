//! Expected run time of a unit on the workers chosen for it.

use base::clock::Millis;
use forecast::predictor::Slowness;

use crate::{
    candidates::Candidates,
    job::Step,
    observations,
    ranking::Unit,
    scheduler::JobScheduler,
    speed_class::{self, Preference},
};

/// What is expected of a placement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementForecast {
    /// Slowness of the slowest worker.
    pub(crate) slowness: Slowness,
    /// Run time on it.
    pub(crate) run_time: Millis,
    /// Whether the run times tell how fast the workers are.
    pub(crate) measures_speed: bool,
}

impl JobScheduler {
    /// Returns what is expected of a unit on the chosen candidates.
    pub(crate) fn placement_forecast(
        &self,
        unit: &Unit,
        step: &Step,
        candidates: &Candidates,
        chosen: &[usize],
    ) -> PlacementForecast {
        let slowness = chosen.iter().map(|i| candidates.all[*i].slowness);
        let slowest = slowness.max_by(|a, b| a.factor.total_cmp(&b.factor));
        let slowness = slowest.unwrap_or(Slowness::UNKNOWN);
        let queue = self.jobs.get(&unit.job).map(|j| &j.accepted.queue);
        let median = queue.map_or(step.estimate, |q| self.expected_run_time(q, step));
        PlacementForecast {
            slowness,
            run_time: speed_class::scaled(median, slowness.factor),
            measures_speed: observations::measures_speed(step, candidates, chosen),
        }
    }

    /// Returns the workers that a unit uses first.
    pub(crate) fn preference_of(
        &self,
        unit: &Unit,
        candidates: &Candidates,
        wall_now: Millis,
    ) -> Preference {
        if !candidates.has_slow_workers() {
            return Preference::None;
        }
        let Some(job) = self.jobs.get(&unit.job) else {
            return Preference::None;
        };
        let queue = self.config.queue(&job.accepted.queue);
        let service = queue.map_or(&job.accepted.service, |q| &q.service);
        let speeds = candidates
            .service(service)
            .and_then(|s| candidates.speeds(s));
        speeds.map_or(Preference::None, |s| self.preference(unit, s, wall_now))
    }
}
