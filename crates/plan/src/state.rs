//! The plan: all jobs and workers, and the decisions about them.

use base::clock::Millis;
use schema::{config::Config, job::Phase};

use crate::{
    event::{Decision, Event},
    jobs::{JobId, JobState, Jobs},
    order::Order,
    plan_cfg::PlanCfg,
    record::{JobKey, JobRecord},
    workers::{Need, Status, Workers},
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
    pub(crate) workers: Workers,
    pub(crate) restored_at: Millis,
}

/// Changes that one event made so far.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) now: Millis,
    pub(crate) changed: Vec<JobId>,
    pub(crate) orders: Vec<Order>,
}

impl Plan {
    /// Returns a plan without jobs, workers and configuration.
    pub fn new(cfg: PlanCfg) -> Self {
        Self {
            cfg,
            config: Config::default(),
            jobs: Jobs::default(),
            workers: Workers::default(),
            restored_at: Millis::ZERO,
        }
    }

    /// Rebuilds the plan of an earlier lease holder from the durable records.
    ///
    /// The workers are reported by [`Event::WorkerUp`] afterwards; the outstanding orders of a
    /// worker are sent again when it is reported. A worker that is in use by a record and is not
    /// reported within [`PlanCfg::absent_limit`] counts as lost.
    pub fn restore(cfg: PlanCfg, config: Config, records: Vec<JobRecord>, now: Millis) -> Self {
        let mut plan = Self::new(cfg);
        plan.config = config;
        plan.restored_at = now;
        for rec in records {
            plan.restore_job(rec, now);
        }
        plan
    }

    fn restore_job(&mut self, rec: JobRecord, now: Millis) {
        let id = self.jobs.insert(JobState::new(rec, now));
        let job = self.jobs.get(id);
        self.workers.take(id, &job.rec.members, need(job));
    }

    /// Handles an event. `now` is the wall clock; only differences and order matter.
    ///
    /// The records of the decision must be durable before any of its orders is sent.
    pub fn handle(&mut self, now: Millis, event: Event) -> Decision {
        let mut step = Step {
            now,
            ..Step::default()
        };
        match event {
            Event::Configured { config } => self.configured(&mut step, config),
            Event::WorkerUp { worker } => self.worker_up(&mut step, worker),
            Event::WorkerLeaving { worker } => self.worker_leaving(&mut step, &worker),
            Event::WorkerLost { worker } => self.worker_lost(&mut step, &worker),
            Event::Submitted { job } => self.submitted(&mut step, job),
            Event::CancelAsked { job } => self.cancel(&mut step, &job),
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
        let record = |id: &JobId| self.jobs.get(*id).rec.clone();
        Decision {
            records: step.changed.iter().map(record).collect(),
            orders: step.orders,
        }
    }

    /// Returns the record of a job.
    pub fn job(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.find(key).map(|id| &self.jobs.get(id).rec)
    }

    /// Returns the records of all jobs.
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.iter().map(|(_, job)| &job.rec)
    }

    /// Removes a job in a final phase, so that its record can be deleted and its name be used
    /// again.
    pub fn forget(&mut self, key: &JobKey) {
        let phase = self.job(key).map(|rec| rec.phase);
        if phase.is_some_and(Phase::is_final) {
            self.jobs.remove(key);
        }
    }

    fn configured(&mut self, step: &mut Step, config: Config) {
        self.config = config;
        self.refuse_impossible(step);
    }

    fn worker_up(&mut self, step: &mut Step, info: crate::event::WorkerInfo) {
        let id = self.workers.up(info);
        let mut jobs = self.workers.list[id].tasks.clone();
        jobs.sort_unstable();
        jobs.dedup();
        for job in jobs {
            self.send_outstanding(step, job);
        }
    }

    fn worker_leaving(&mut self, step: &mut Step, name: &base::name::Name) {
        let Some(id) = self.workers.find(name) else {
            return;
        };
        if self.workers.list[id].status == Status::Up {
            self.workers.list[id].status = Status::Leaving;
        }
        for job in self.workers.list[id].tasks.clone() {
            self.interrupt(step, job, "the worker is leaving");
        }
    }
}

/// Returns what each member of the job uses.
pub(crate) fn need(job: &JobState) -> Need {
    Need {
        accelerators: job.rec.job.shape.accelerators,
        cores: job.rec.job.shape.cores,
        memory_mb: job.charged_mb(),
    }
}
