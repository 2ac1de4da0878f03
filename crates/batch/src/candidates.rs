//! Workers that can take new subtasks, with their free resources during one scheduling pass.

use base::clock::Millis;
use forecast::predictor::Slowness;

use crate::{
    isolation::{Isolation, IsolationState},
    job::{Resources, Text},
    open_job::Job,
    progress::RunState,
    scheduler::JobScheduler,
    speed_class::{SpeedClass, SpeedSet, Speeds},
};

/// Runs that are expected to end within this time count as free for waiting gangs. It is the length
/// of a typical deferrable run, so held resources are used within about one generation of runs.
const SOON_LIMIT: Millis = Millis(8_000);

/// Time within which runs end that urgent work waits for rather than use slow workers. It is about half
/// of an urgent run, so that several of those under way end within it.
pub(crate) const SHORT_WAIT: Millis = Millis(1_000);

/// A worker that takes new work, with its free resources.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of a worker"
)]
pub(crate) struct Candidate {
    pub(crate) worker: Text,
    /// Position of the worker in the list of all workers.
    pub(crate) position: usize,
    /// Index of the rack in [`Candidates::by_rack`].
    pub(crate) rack: usize,
    /// Index of the service in [`Candidates::services`].
    pub(crate) service: usize,
    /// Resources that are free now and not held for a unit of higher rank.
    pub(crate) free: Resources,
    /// Resources that are free once the ordered stops have taken effect.
    pub(crate) free_after_stops: Resources,
    /// Resources that are free once the runs that end within [`SOON_LIMIT`] have ended.
    pub(crate) free_soon: Resources,
    /// Resources that are free once the runs that end within [`SHORT_WAIT`] have ended.
    pub(crate) free_shortly: Resources,
    /// Total resources of the worker.
    pub(crate) capacity: Resources,
    /// Resources by which runs exceed a capacity that has shrunk, once the ordered stops have taken
    /// effect.
    pub(crate) excess: Resources,
    /// Whether the worker gets no work that others have room for, after failures or outages.
    pub(crate) is_held_off: bool,
    /// Whether the worker is still slow.
    pub(crate) is_cold: bool,
    /// Whether only urgent work may be placed here.
    pub(crate) reserved_for_urgent: bool,
    /// Whether a run on the worker has a response time target.
    pub(crate) has_latency_target: bool,
    /// Whether a run on the worker uses only leftover processor time.
    pub(crate) has_filler: bool,
    pub(crate) isolation: IsolationState,
    pub(crate) slowness: Slowness,
    /// Class by its speed if its service has [speeds](Candidates::speeds).
    pub(crate) speed: SpeedClass,
}

/// Point in time whose free resources a search considers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FreeAt {
    Now,
    AfterStops,
    Shortly,
    Soon,
}

impl Candidate {
    pub(crate) fn free_at(&self, when: FreeAt) -> Resources {
        match when {
            FreeAt::Now => self.free,
            FreeAt::AfterStops => self.free_after_stops,
            FreeAt::Shortly => self.free_shortly,
            FreeAt::Soon => self.free_soon,
        }
    }

    pub(crate) fn take(&mut self, need: Resources) {
        self.free = self.free.saturating_sub(need);
        self.free_after_stops = self.free_after_stops.saturating_sub(need);
        self.free_shortly = self.free_shortly.saturating_sub(need);
        self.free_soon = self.free_soon.saturating_sub(need);
    }

    /// Adds resources that a further stop frees.
    pub(crate) fn free_after_stop(&mut self, freed: Resources) {
        self.free_after_stops
            .add(freed.saturating_sub(self.excess), 1);
        self.excess = self.excess.saturating_sub(freed);
    }

    fn is_idle(&self) -> bool {
        self.free == self.capacity
    }
}

/// What a search asks for. If it finds nothing, neither does any search that it
/// [covers](SearchRequest::covers).
#[derive(Clone, Debug)]
pub(crate) struct SearchRequest {
    pub(crate) when: FreeAt,
    pub(crate) service: Text,
    /// Resources of one subtask.
    pub(crate) need: Resources,
    /// Number of subtasks that have to be placed together.
    pub(crate) count: usize,
    /// Whether all subtasks have to be placed on one rack.
    pub(crate) one_rack: bool,
    /// Whether workers that are reserved for urgent work count.
    pub(crate) urgent: bool,
    /// Workers that count by their speed.
    pub(crate) speeds: SpeedSet,
}

impl SearchRequest {
    /// Returns whether `other` can't succeed if `self` failed.
    fn covers(&self, other: &Self) -> bool {
        self.when == other.when
            && self.need.fits_in(other.need)
            && self.count <= other.count
            && (other.one_rack || !self.one_rack)
            && (self.urgent || !other.urgent)
            && self.speeds.covers(other.speeds)
            && self.service == other.service
    }
}

/// All workers that take new work, as one scheduling pass sees them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    /// Candidates, sorted by worker id.
    pub(crate) all: Vec<Candidate>,
    /// Names of the services.
    services: Vec<Text>,
    /// Whether more than half of each service is free, in the order of `services`.
    have_ample_room: Vec<bool>,
    /// Whether a worker is held off.
    pub(crate) has_held_off: bool,
    /// Whether more than half of each service was free, that of workers that are held off included.
    are_half_idle: Vec<bool>,
    /// Speeds of each service that has slow workers, in the order of `services`.
    speeds: Vec<Option<Speeds>>,
    /// Names of the racks, sorted.
    racks: Vec<Text>,
    /// Indices of the candidates of each rack, in the order of `racks`.
    rack_members: Vec<Vec<usize>>,
    /// Failed searches; they stay valid because free resources only shrink during a pass.
    failed: Vec<SearchRequest>,
    /// Number of accelerators that deferrable work has to leave free.
    pub(crate) reserve: u64,
    /// Number of waiting units that hold resources in this pass.
    pub(crate) holding_units: usize,
    /// Whether what runs on a worker, or is expected there, keeps ordinary work from it.
    has_isolated: bool,
}

impl Candidates {
    fn new(mut candidates: Vec<(Text, Candidate)>, services: Vec<Text>) -> Self {
        // Neighbours are often in the same rack.
        let mut racks: Vec<Text> = Vec::new();
        for (rack, _) in &candidates {
            if racks.last() != Some(rack) {
                racks.push(rack.clone());
            }
        }
        racks.sort_unstable();
        racks.dedup();
        let mut rack_members = vec![Vec::new(); racks.len()];
        let mut index = 0;
        for (i, (rack, candidate)) in candidates.iter_mut().enumerate() {
            if racks.get(index) != Some(rack) {
                // `racks` contains the rack of every candidate, so the search always succeeds.
                index = racks.binary_search(rack).unwrap_or_default();
            }
            candidate.rack = index;
            rack_members[index].push(i);
        }
        let all: Vec<Candidate> = candidates
            .into_iter()
            .map(|(_, candidate)| candidate)
            .collect();
        let services_with = |is_counted: fn(&&Candidate) -> bool| -> Vec<bool> {
            let has_room = |service| has_ample_room(all.iter().filter(is_counted), service);
            (0..services.len()).map(has_room).collect()
        };
        Self {
            have_ample_room: services_with(|c| !c.is_held_off),
            are_half_idle: services_with(|_| true),
            has_held_off: all.iter().any(|c| c.is_held_off),
            has_isolated: all.iter().any(|c| c.isolation.excludes_ordinary()),
            all,
            services,
            racks,
            rack_members,
            ..Self::default()
        }
    }

    /// Returns the index of a worker, if it is a candidate.
    pub(crate) fn index_of(&self, worker: &str) -> Option<usize> {
        let found = self.all.binary_search_by(|c| (*c.worker).cmp(worker));
        found.ok()
    }

    /// Returns the index of a service, if a candidate belongs to it.
    pub(crate) fn service(&self, name: &Text) -> Option<usize> {
        self.services.iter().position(|s| s == name)
    }

    /// Returns the speeds of a service, if it has workers that are slow for urgent work.
    pub(crate) fn speeds(&self, service: usize) -> Option<&Speeds> {
        self.speeds.get(service)?.as_ref()
    }

    /// Returns whether a service has workers that are slow for urgent work.
    pub(crate) fn has_slow_workers(&self) -> bool {
        self.speeds.iter().any(Option::is_some)
    }

    /// Returns the number of workers that are slow for urgent work.
    pub(crate) fn slow_workers(&self) -> usize {
        let slow = self.all.iter().filter(|c| c.speed == SpeedClass::Slow);
        slow.count()
    }

    /// Sets the speeds of a service and the classes of its workers.
    fn set_speeds(&mut self, service: usize, limit: f64) {
        let of_service = |c: &&Candidate| c.service == service;
        let all: Vec<Slowness> = self
            .all
            .iter()
            .filter(of_service)
            .map(|c| c.slowness)
            .collect();
        let Some(speeds) = Speeds::of(&all, limit) else {
            return;
        };
        for candidate in self.all.iter_mut().filter(|c| c.service == service) {
            candidate.speed = speeds.class(candidate.slowness);
        }
        self.speeds.resize(self.services.len(), None);
        self.speeds[service] = Some(speeds);
    }

    /// Returns whether more than half of a service was free at the beginning of the pass.
    pub(crate) fn has_ample_room(&self, service: usize) -> bool {
        self.have_ample_room[service]
    }

    /// Returns whether more than half of a service was free at the beginning of the pass, that of
    /// workers that are held off included.
    pub(crate) fn is_half_idle(&self, service: usize) -> bool {
        self.are_half_idle[service]
    }

    /// Returns the indices of the candidates of each rack.
    pub(crate) fn by_rack(&self) -> &[Vec<usize>] {
        &self.rack_members
    }

    /// Returns the indices of the candidates of the named rack.
    pub(crate) fn rack(&self, name: &Text) -> &[usize] {
        let found = self.racks.binary_search(name);
        found.map_or(&[], |i| &self.rack_members[i])
    }

    /// Returns whether work of the given isolation may be kept from a worker by what else runs there.
    pub(crate) const fn may_exclude(&self, isolation: Isolation) -> bool {
        self.has_isolated || !matches!(isolation, Isolation::None)
    }

    /// Changes what keeps work from a candidate, by a run that starts there or one that waits for it.
    pub(crate) fn isolate(&mut self, index: usize, change: impl FnOnce(&mut IsolationState)) {
        let state = &mut self.all[index].isolation;
        change(state);
        self.has_isolated |= state.excludes_ordinary();
    }

    /// Returns whether a failed search of this pass covers the request.
    pub(crate) fn has_failed(&self, req: &SearchRequest) -> bool {
        self.failed.iter().any(|f| f.covers(req))
    }

    /// Records that a search found nothing.
    pub(crate) fn record_failure(&mut self, req: SearchRequest) {
        self.failed.retain(|f| !req.covers(f));
        self.failed.push(req);
    }

    /// Discards the failed searches that count ordered stops, because new stops free more
    /// resources.
    pub(crate) fn invalidate_after_stops(&mut self) {
        self.failed.retain(|f| f.when != FreeAt::AfterStops);
    }

    /// Reserves idle workers for urgent work until they have `reserve` accelerators in total.
    /// Urgent jobs often need all accelerators of several workers in one rack, so free accelerators
    /// scattered over busy workers don't help them, nor do workers that are slow for urgent work. A
    /// service with ample room needs no reserve.
    pub(crate) fn reserve_for_urgent(&mut self, reserve: u64) {
        self.reserve = reserve;
        let idle = |rack: &Vec<usize>| -> Vec<usize> {
            let here = rack.iter().copied();
            let may_be_reserved = |c: &Candidate| {
                c.is_idle()
                    && !c.is_held_off
                    && c.speed != SpeedClass::Slow
                    && !self.has_ample_room(c.service)
            };
            here.filter(|i| may_be_reserved(&self.all[*i])).collect()
        };
        let mut racks: Vec<Vec<usize>> = self.rack_members.iter().map(idle).collect();
        // Racks with the most idle workers come first; the sort is stable, so ties keep rack order.
        racks.sort_by_key(|rack| usize::MAX - rack.len());
        let mut reserved = 0;
        for i in racks.into_iter().flatten() {
            if reserved >= reserve {
                return;
            }
            self.all[i].reserved_for_urgent = true;
            reserved += self.all[i].capacity.accelerators;
        }
    }
}

/// Returns whether more than half of the accelerators of a service are free, or of its processors if
/// it has none.
fn has_ample_room<'a>(all: impl Iterator<Item = &'a Candidate>, service: usize) -> bool {
    let (mut free, mut capacity) = (Resources::default(), Resources::default());
    for candidate in all.filter(|c| c.service == service) {
        free.add(candidate.free, 1);
        capacity.add(candidate.capacity, 1);
    }
    match capacity.accelerators {
        0 => 2 * free.cpu > capacity.cpu,
        accelerators => 2 * free.accelerators > accelerators,
    }
}

impl JobScheduler {
    /// Returns all workers that take new work, if need be while they are held off, with their free
    /// resources.
    pub(crate) fn candidates(&self, now: Millis) -> Candidates {
        let open = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, (_, w))| w.accepts_work(now) && self.is_capacity_known(w, now))
            .filter(|(_, (_, w))| !self.is_evacuated(w));
        // Neighbouring runs often belong to the same job.
        let mut last: Option<&Job> = None;
        let mut services: Vec<Text> = Vec::new();
        let candidates = open.filter_map(|(position, (id, worker))| {
            let info = worker.info.as_ref()?;
            let known = services.iter().position(|s| *s == info.service);
            let service = known.unwrap_or_else(|| {
                services.push(info.service.clone());
                services.len() - 1
            });
            let free = worker.free();
            let mut candidate = Candidate {
                worker: id.clone(),
                rack: 0,
                position,
                service,
                free,
                free_after_stops: free,
                free_shortly: free,
                free_soon: free,
                capacity: info.capacity,
                excess: Resources::default(),
                is_held_off: now < worker.held_off_until(),
                is_cold: worker.is_cold(now),
                reserved_for_urgent: false,
                has_latency_target: false,
                has_filler: false,
                isolation: IsolationState::default(),
                slowness: self.forecast.slowness(id),
                speed: SpeedClass::default(),
            };
            let mut stopping = Resources::default();
            let (mut ending_shortly, mut ending) = (Resources::default(), Resources::default());
            for (task, need) in &worker.runs {
                if last.is_none_or(|j| j.accepted.id != task.job) {
                    last = self.jobs.get(&task.job);
                }
                let Some(job) = last else {
                    continue;
                };
                let Some((subtask, run)) =
                    job.subtask(task).and_then(|t| Some((t, t.run.as_ref()?)))
                else {
                    continue;
                };
                let step = job.step(task);
                let is_stopping = run.state == RunState::Stopping;
                if is_stopping {
                    stopping.add(*need, 1);
                }
                let remaining = (!step.endless).then(|| run.expected_remaining(step, now));
                if is_stopping || remaining.is_some_and(|t| t <= SOON_LIMIT) {
                    ending.add(*need, 1);
                }
                if is_stopping || remaining.is_some_and(|t| t <= SHORT_WAIT) {
                    ending_shortly.add(*need, 1);
                }
                candidate.has_latency_target |= step.target.is_some();
                candidate.has_filler |= step.fills;
                let (isolation, age) = (run.isolation(subtask), run.known_age(now));
                candidate.isolation.add_run(isolation, age, step.endless);
            }
            let used = worker.used();
            let after_stops = used.saturating_sub(stopping);
            candidate.free_after_stops = info.capacity.saturating_sub(after_stops);
            candidate.excess = after_stops.saturating_sub(info.capacity);
            let after = |ending| info.capacity.saturating_sub(used.saturating_sub(ending));
            candidate.free_shortly = after(ending_shortly);
            candidate.free_soon = after(ending);
            Some((worker.rack().cloned().unwrap_or_default(), candidate))
        });
        let candidates = candidates.collect();
        let mut candidates = Candidates::new(candidates, services);
        for (i, service) in candidates.services.clone().iter().enumerate() {
            let limit = self
                .typical_work
                .limit(service, &self.config, &self.forecast);
            if let Some(limit) = limit {
                candidates.set_speeds(i, limit);
            }
        }
        candidates
    }
}
