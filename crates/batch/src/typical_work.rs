//! Recent work of each queue, and how its run times relate to the submitted estimates.

use std::collections::VecDeque;

use base::{clock::Millis, sorted::SortedMap};
use forecast::{observation::Kind, predictor::Forecast};

use crate::{
    config::{Config, URGENT_PRIORITY},
    job::{Step, Text},
    speed_class,
};

/// Number of recent steps of a queue that are kept. Their median is steady, and at several jobs a second
/// it follows a change within seconds.
const KEPT_STEPS: usize = 32;
/// Maximum number of queues whose steps are kept.
const MAX_QUEUES: usize = 64;

/// Recently placed steps by queue, as kind and estimate. They are not stored: without them no worker
/// is slow for urgent work, and a new leader takes them from the units that wait first.
#[derive(Clone, Debug, Default)]
pub(crate) struct TypicalWork {
    steps: SortedMap<Text, VecDeque<(Kind, Millis)>>,
}

impl TypicalWork {
    pub(crate) fn record(&mut self, queue: &Text, step: &Step) {
        if step.endless || step.fills || step.estimate == Millis::ZERO {
            return;
        }
        if self.steps.get(queue).is_none() && self.steps.len() >= MAX_QUEUES {
            return;
        }
        let steps = self.steps.get_or_default(queue.clone());
        if steps.len() == KEPT_STEPS {
            steps.pop_front();
        }
        steps.push_back((kind_of(queue, step), step.estimate));
    }

    pub(crate) fn knows(&self, queue: &str) -> bool {
        self.steps.get(queue).is_some()
    }

    /// Returns the median ratio of run time on a typical worker to estimate in a queue, if work of it is
    /// known.
    pub(crate) fn ratio(&self, queue: &str, forecast: &Forecast) -> Option<f64> {
        let ratio = |(kind, estimate): &(Kind, Millis)| {
            forecast.run_time(kind, *estimate).median.0 as f64 / estimate.0 as f64
        };
        let mut ratios: Vec<f64> = self.steps.get(queue)?.iter().map(ratio).collect();
        speed_class::median(&mut ratios)
    }

    /// Returns the factor up to which workers of a service can meet the tightest objective of its urgent
    /// queues with a typical run.
    pub(crate) fn limit(
        &self,
        service: &Text,
        config: &Config,
        forecast: &Forecast,
    ) -> Option<f64> {
        let urgent = config.queues.iter();
        let urgent = urgent.filter(|q| q.priority == URGENT_PRIORITY && q.service == *service);
        let limits = urgent.filter_map(|q| {
            let ratio = self.ratio(&q.name, forecast)?;
            Some(q.slack_factor / ratio.max(f64::MIN_POSITIVE))
        });
        limits.min_by(f64::total_cmp)
    }
}

/// Returns the kind of work that a step of a queue is.
pub(crate) fn kind_of(queue: &Text, step: &Step) -> Kind {
    Kind {
        queue: Some(queue.clone()),
        image: step.image.clone(),
        gang: step.gang,
    }
}
