//! Probation of workers that went down and up several times.

use base::{clock::Millis, sorted::SortedMap};

use crate::{job::Text, scheduler::JobScheduler, worker_state::Worker};

/// Number of flapping workers that show a common cause. Fewer may flap by themselves.
const MIN_FLAPPING: usize = 3;

/// Workers of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    listed: usize,
    /// Those that went down and up several times lately.
    flapping: usize,
    /// Those whose probation has been ended.
    ended: usize,
}

impl Service {
    /// Returns whether there are too few other workers for the work of those that flap.
    const fn is_short_of_others(self) -> bool {
        self.flapping >= MIN_FLAPPING && 2 * self.flapping > self.listed
    }
}

impl JobScheduler {
    /// Ends the probation of the workers of each service of which more than half flap.
    pub(crate) fn end_shared_probation(&mut self, now: Millis) {
        if !self.workers.values().any(|w| now < w.probation_until) {
            return;
        }
        let mut services: SortedMap<Text, Service> = SortedMap::default();
        for (worker, service) in self.workers.values().filter_map(with_service) {
            let service = services.get_or_default(service.clone());
            service.listed += 1;
            service.flapping += usize::from(worker.is_flapping(now));
        }
        for (_, worker) in self.workers.iter_mut() {
            let name = worker.info.as_ref().map(|i| &i.service);
            let service = name.and_then(|n| services.get_mut(n));
            let Some(service) = service.filter(|s| s.is_short_of_others()) else {
                continue;
            };
            service.ended += usize::from(now < worker.probation_until);
            worker.probation_until = Millis::ZERO;
        }
        for (name, service) in services.iter().filter(|(_, s)| s.ended > 0) {
            log::info!(
                service:% = name, ended = service.ended, flapping = service.flapping,
                workers = service.listed;
                "batch: probation ended, most workers of the service are on it"
            );
        }
    }
}

fn with_service(worker: &Worker) -> Option<(&Worker, &Text)> {
    let info = worker.info.as_ref()?;
    Some((worker, &info.service))
}
