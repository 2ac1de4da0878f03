//! The plan: all jobs and workers, and the decisions about them.

use std::collections::BTreeSet;

use base::{clock::Millis, name::Name, sorted::SortedMap};
use schema::{config::Config, job::Phase};

use crate::{
    amount::Amount,
    event::{Decision, Event, WorkerInfo},
    jobs::{JobId, JobState, Jobs},
    learn::{Correction, KindKey},
    order::{Action, Order},
    plan_cfg::PlanCfg,
    queue::{Queue, Usage},
    record::{JobKey, JobRecord},
    slots::Slots,
    workers::{Status, Workers},
};

/// All jobs and workers of one shard, and the decisions about them.
///
/// Every change that matters is in the records of a decision. The caller commits these before
/// it sends the orders; a caller that can't commit them drops the plan, and the next one starts
/// from [`Plan::restore`].
///
/// Workers repeat their last report for an attempt when they get an order for it again, report
/// `Stopped` for a stop and `NotHeld` for a `Go` of an attempt that they don't know.
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
    /// Jobs that hold, run or stop.
    pub(crate) active: BTreeSet<JobId>,
    pub(crate) workers: Workers,
    pub(crate) slots: Slots,
    /// Jobs with a claim that wait until borrowed work is stopped.
    pub(crate) pending: Vec<JobId>,
    pub(crate) queue: Queue,
    pub(crate) usage: Usage,
    pub(crate) corrections: SortedMap<KindKey, Correction>,
    /// Raised whenever capacity becomes free or changes.
    pub(crate) generation: u64,
    /// Turn of the starving gangs whose held back workers are chosen anew.
    pub(crate) hold_turn: usize,
    /// Generation in which all classes of waiting jobs were tried.
    pub(crate) tried_at: u64,
    /// Sum of the weights of all organisations.
    pub(crate) total_weight: f64,
    /// Sum of the accelerators of all workers.
    pub(crate) total_accelerators: f64,
    pub(crate) restored_at: Millis,
    /// Whether all workers had the time to be reported.
    pub(crate) knows_fleet: bool,
    /// Whether the waiting jobs have to be compared with the limits again.
    pub(crate) recheck: bool,
    /// Jobs that changed while the plan was restored.
    pub(crate) unsaved: Vec<JobId>,
}

/// Changes that one event made so far.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) now: Millis,
    pub(crate) changed: Vec<JobId>,
    pub(crate) orders: Vec<Order>,
    /// Searches for work to stop for urgent jobs.
    pub(crate) searches: usize,
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
            slots: Slots::default(),
            pending: Vec::new(),
            queue: Queue::default(),
            usage: Usage::default(),
            corrections: SortedMap::default(),
            generation: 1,
            hold_turn: 0,
            tried_at: 0,
            total_weight: 0.0,
            total_accelerators: 0.0,
            restored_at: Millis::ZERO,
            knows_fleet: true,
            recheck: false,
            unsaved: Vec::new(),
        }
    }

    /// Rebuilds the plan of an earlier lease holder from the durable records.
    ///
    /// The workers are reported by [`Event::WorkerUp`] afterwards; the outstanding orders of a
    /// worker are sent again when it is reported. A worker that is in use by a record and is not
    /// reported within [`PlanCfg::absent_limit`] counts as lost.
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
        plan.restored_at = now;
        plan.knows_fleet = false;
        let mut ended: Vec<&JobRecord> = records.iter().filter(|r| r.phase.is_final()).collect();
        ended.sort_by_key(|r| r.ended_at);
        for rec in ended {
            plan.learn(rec);
        }
        for rec in records {
            plan.restore_job(rec, now);
        }
        let mut step = Step::at(now);
        plan.rebuild_slots(&mut step);
        plan.count_totals();
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
            self.workers.take(id, &job.rec.members, need(job));
            self.jobs.get_mut(id).expected = self.expected_run_time(id);
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
        let mut step = Step::at(now);
        step.changed.append(&mut self.unsaved);
        match event {
            Event::Configured { config } => self.configured(&mut step, config),
            Event::WorkerUp { worker } => self.worker_up(&mut step, worker),
            Event::WorkerLeaving { worker } => self.worker_leaving(&mut step, &worker),
            Event::WorkerLost { worker } => self.worker_lost(&mut step, &worker),
            Event::Submitted { job } => self.submitted(&mut step, job),
            // A wave of cancellations frees its capacity before any of it is used again: the
            // next event of another kind places.
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

    /// Returns whether an order still follows from the state at the end of the decision: a gang
    /// may be placed and stopped again by one event.
    fn is_current(&self, order: &Order) -> bool {
        let phase = match order.action {
            Action::Hold { .. } => Phase::Holding,
            Action::Go | Action::Throttle => Phase::Running,
            Action::Release | Action::Stop { .. } => return true,
        };
        let rec = self.job(&order.attempt.job);
        rec.is_some_and(|rec| rec.phase == phase && rec.attempt == order.attempt.attempt)
    }

    /// Returns the record of a job; it may be newer than the durable one until the last decision
    /// is committed.
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

    /// Removes a job in a final phase, so that its record can be deleted and its name be used
    /// again.
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
        self.count_totals();
        self.rebuild_slots(step);
        self.capacity_changed();
        self.refuse_impossible(step);
    }

    fn worker_up(&mut self, step: &mut Step, info: WorkerInfo) {
        let known = self.workers.find(&info.name);
        let changed = known.is_some_and(|w| {
            let old = &self.workers.list[w].info;
            old.accelerators > 0 && *old != info
        });
        let id = self.workers.up(info);
        self.count_totals();
        if changed {
            self.rebuild_slots(step);
        }
        self.worker_opened();
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
        self.worker_closed(id);
        for job in self.workers.jobs_on(id) {
            self.interrupt(step, job, "the worker is leaving");
        }
    }
}

/// Returns what each member of the job uses.
pub(crate) fn need(job: &JobState) -> Amount {
    Amount {
        memory_mb: job.charged_mb(),
        ..Amount::of(&job.rec.job.shape)
    }
}
