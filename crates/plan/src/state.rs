//! State machine of the scheduler.

use std::collections::BTreeSet;

use base::{clock::Millis, name::Name, sorted::SortedMap};
use schema::{config::Config, job::Phase};

use crate::{
    corrections::{Correction, CorrectionKey},
    crash::Crash,
    event::{Decision, Event, WorkerInfo},
    jobs::{JobId, JobState, Jobs},
    order::{Action, Order},
    plan_cfg::PlanCfg,
    queue::{Queue, Usage},
    record::{JobKey, JobRecord},
    reservations::Reservations,
    resources::Resources,
    workers::{Status, Workers},
};

/// State of all jobs and workers of one shard, from which decisions are derived.
///
/// The records of a decision contain all durable changes. The caller commits them before it sends
/// the orders. A caller that can't commit them drops the plan, and its successor starts from
/// [`Plan::restore`].
///
/// Workers must repeat their last report when they receive an order for an attempt again. For an
/// attempt that they don't know, they must answer a `Stop` with `Stopped` and a `Go` with
/// `NotHeld`.
///
/// ```
/// use base::clock::Millis;
/// use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
///
/// let mut plan = Plan::new(PlanCfg::default());
/// assert!(plan.handle(Millis(1), Event::Tick).records.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) cfg: PlanCfg,
    pub(crate) config: Config,
    pub(crate) jobs: Jobs,
    /// Jobs in the phase holding, running or stopping.
    pub(crate) active: BTreeSet<JobId>,
    pub(crate) workers: Workers,
    pub(crate) reservations: Reservations,
    /// Jobs that await resources on chosen workers, usually until borrowed work has stopped.
    pub(crate) pending: Vec<JobId>,
    pub(crate) queue: Queue,
    pub(crate) usage: Usage,
    pub(crate) corrections: SortedMap<CorrectionKey, Correction>,
    /// Incremented whenever capacity becomes free or changes.
    pub(crate) generation: u64,
    /// Round-robin counter for the starving gangs whose held back workers are chosen again.
    pub(crate) hold_back_turn: usize,
    /// Generation in which all classes of waiting jobs were last tried.
    pub(crate) all_tried_at: u64,
    /// Sum of the weights of all organisations.
    pub(crate) total_weight: f64,
    /// Sum of the accelerators of all workers.
    pub(crate) total_accelerators: f64,
    pub(crate) restored_at: Millis,
    /// Time by which the clock of the leader is behind that of an earlier one. The plan adds it, so
    /// that its time never goes back.
    pub(crate) clock_lag: Millis,
    /// Whether the sizes of all listed workers are known. No job is refused for its size before.
    pub(crate) fleet_known: bool,
    /// Whether the waiting jobs must be checked against the limits again.
    pub(crate) recheck_limits: bool,
    /// Crashes of workers a short while ago.
    pub(crate) crashes: Vec<Crash>,
    /// Jobs changed by the restore whose records are part of the next decision.
    pub(crate) unsaved: Vec<JobId>,
}

/// Accumulated effects of one event.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) now: Millis,
    pub(crate) changed: Vec<JobId>,
    pub(crate) orders: Vec<Order>,
    /// Number of searches for victims so far.
    pub(crate) victim_searches: usize,
}

impl Step {
    fn at(now: Millis) -> Self {
        Self {
            now,
            ..Self::default()
        }
    }
}

impl Plan {
    /// Returns a plan without jobs, workers and configuration.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// assert_eq!(Plan::new(PlanCfg::default()).records().count(), 0);
    /// ```
    pub fn new(cfg: PlanCfg) -> Self {
        Self {
            cfg,
            config: Config::default(),
            jobs: Jobs::default(),
            active: BTreeSet::new(),
            workers: Workers::default(),
            reservations: Reservations::default(),
            pending: Vec::new(),
            queue: Queue::default(),
            usage: Usage::default(),
            corrections: SortedMap::default(),
            generation: 1,
            hold_back_turn: 0,
            all_tried_at: 0,
            total_weight: 0.0,
            total_accelerators: 0.0,
            restored_at: Millis::ZERO,
            clock_lag: Millis::ZERO,
            fleet_known: true,
            recheck_limits: false,
            crashes: Vec::new(),
            unsaved: Vec::new(),
        }
    }

    /// Restores a plan from the durable records of an earlier lease holder.
    ///
    /// The workers are reported with [`Event::WorkerUp`] afterwards, whereupon the outstanding
    /// orders of each worker are sent again. A worker that is used by a record and not reported
    /// within [`PlanCfg::absent_limit`] counts as lost. No job is refused for its size before
    /// [`Event::FleetKnown`].
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// let plan = Plan::restore(PlanCfg::default(), Config::default(), Vec::new(), Millis(1));
    /// assert_eq!(plan.records().count(), 0);
    /// ```
    pub fn restore(cfg: PlanCfg, config: Config, records: Vec<JobRecord>, now: Millis) -> Self {
        let mut plan = Self::new(cfg);
        plan.config = config;
        plan.clock_lag = latest_time(&records).since(now);
        let now = now + plan.clock_lag;
        plan.restored_at = now;
        plan.fleet_known = false;
        let mut ended: Vec<&JobRecord> = records.iter().filter(|r| r.phase.is_final()).collect();
        ended.sort_by_key(|r| r.ended_at);
        for rec in ended {
            plan.update_correction(rec);
        }
        for rec in records {
            plan.restore_job(rec, now);
        }
        let mut step = Step::at(now);
        plan.rebuild_reservations(&mut step);
        plan.update_totals();
        plan.unsaved = step.changed;
        plan
    }

    fn restore_job(&mut self, rec: JobRecord, now: Millis) {
        let id = self.jobs.insert(JobState::new(rec, now));
        let job = self.jobs.get(id);
        if job.rec.phase == Phase::Waiting {
            return self.queue_add(id);
        }
        if !job.rec.members.is_empty() {
            self.active.insert(id);
            self.workers
                .allocate(id, &job.rec.members, member_need(job));
            self.jobs.get_mut(id).expected_run_time = self.expected_run_time(id);
            self.count_usage(id, true);
            self.count_stopping(id, true);
        }
    }

    /// Handles an event. `now` is the wall clock; only differences and order matter.
    ///
    /// The records of the decision must be durable before any of its orders is sent.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// let mut plan = Plan::new(PlanCfg::default());
    /// let config = Config::default();
    /// assert!(plan.handle(Millis(1), Event::Configured { config }).orders.is_empty());
    /// ```
    pub fn handle(&mut self, now: Millis, event: Event) -> Decision {
        let mut step = Step::at(now + self.clock_lag);
        step.changed.append(&mut self.unsaved);
        match event {
            Event::Configured { config } => self.configured(&mut step, config),
            Event::WorkerUp { worker } => self.worker_up(&mut step, worker),
            Event::WorkerLeaving { worker } => self.worker_leaving(&mut step, &worker),
            Event::WorkerLost { worker } => self.worker_lost(&mut step, &worker),
            Event::WorkerRestarted { worker, silent } => {
                self.worker_restarted(&mut step, &worker, silent);
            }
            Event::FleetKnown { known } => self.set_fleet_known(known),
            Event::Submitted { job } => self.submitted(&mut step, job),
            // Cancellations do not place other jobs, so that a batch of them frees all its capacity
            // before any of it is used again. The next event of another kind places jobs.
            Event::CancelAsked { job } => {
                self.cancel(&mut step, &job);
                return self.finish(step);
            }
            Event::Member {
                attempt,
                worker,
                report,
            } => self.report(&mut step, &attempt, &worker, report),
            Event::Tick => self.tick(&mut step),
        }
        self.place(&mut step);
        self.finish(step)
    }

    fn finish(&self, mut step: Step) -> Decision {
        step.changed.sort_unstable();
        step.changed.dedup();
        let mut orders = step.orders;
        orders.retain(|order| self.is_current(order));
        let record = |id: &JobId| self.jobs.get(*id).rec.clone();
        Decision {
            records: step.changed.iter().map(record).collect(),
            orders,
        }
    }

    /// Returns whether an order still matches the state at the end of the decision. A single event
    /// may both place a gang and stop it again.
    fn is_current(&self, order: &Order) -> bool {
        let phase = match order.action {
            Action::Hold { .. } => Phase::Holding,
            Action::Go | Action::Throttle => Phase::Running,
            Action::Release | Action::Stop { .. } => return true,
        };
        let rec = self.job(&order.attempt.job);
        rec.is_some_and(|rec| rec.phase == phase && rec.attempt == order.attempt.attempt)
    }

    /// Returns the record of a job. Until the last decision is committed, it may be newer than the
    /// durable record.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// # use plan::record::JobKey;
    /// let key = JobKey { organisation: "a".parse().unwrap(), name: "b".parse().unwrap() };
    /// assert!(Plan::new(PlanCfg::default()).job(&key).is_none());
    /// ```
    pub fn job(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.find(key).map(|id| &self.jobs.get(id).rec)
    }

    /// Returns the records of all jobs.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// assert!(Plan::new(PlanCfg::default()).records().next().is_none());
    /// ```
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.iter().map(|(_, job)| &job.rec)
    }

    /// Removes a job in a final phase, so that its record can be deleted and its name reused.
    ///
    /// ```
    /// # use base::clock::Millis;
    /// # use plan::{event::Event, plan_cfg::PlanCfg, state::Plan};
    /// # use schema::config::Config;
    /// # use plan::record::JobKey;
    /// let key = JobKey { organisation: "a".parse().unwrap(), name: "b".parse().unwrap() };
    /// Plan::new(PlanCfg::default()).forget(&key);
    /// ```
    pub fn forget(&mut self, key: &JobKey) {
        let phase = self.job(key).map(|rec| rec.phase);
        if phase.is_some_and(Phase::is_final) {
            self.jobs.remove(key);
        }
    }

    fn configured(&mut self, step: &mut Step, config: Config) {
        self.config = config;
        self.update_totals();
        self.rebuild_reservations(step);
        self.capacity_changed();
        self.refuse_impossible(step);
    }

    fn worker_up(&mut self, step: &mut Step, info: WorkerInfo) {
        let known = self.workers.find(&info.name);
        let changed = known.is_some_and(|w| {
            let old = &self.workers.list[w].info;
            old.accelerators > 0 && *old != info
        });
        let id = self.workers.mark_up(info);
        self.update_totals();
        if changed {
            self.rebuild_reservations(step);
        }
        self.worker_available();
        for job in self.workers.jobs_on(id) {
            self.send_outstanding(step, job);
        }
    }

    fn worker_leaving(&mut self, step: &mut Step, name: &Name) {
        let Some(id) = self.workers.find(name) else {
            return;
        };
        if self.workers.list[id].status != Status::Up {
            return;
        }
        self.workers.list[id].status = Status::Leaving;
        self.worker_unavailable(id);
        for job in self.workers.jobs_on(id) {
            self.interrupt(step, job, "the worker is leaving");
        }
    }
}

/// Returns the latest time in the records, by the clocks of the leaders that wrote them.
fn latest_time(records: &[JobRecord]) -> Millis {
    let times = |r: &JobRecord| r.submitted_at.max(r.started_at).max(r.ended_at);
    records.iter().map(times).max().unwrap_or_default()
}

/// Returns the resources of each member of the job.
pub(crate) fn member_need(job: &JobState) -> Resources {
    Resources {
        memory_mb: job.charged_memory_mb(),
        ..Resources::of(&job.rec.job.shape)
    }
}
