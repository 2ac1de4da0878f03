//! State of one leadership: the plan, the decisions to commit and the committed records.

use std::{net, rc::Rc};

use base::{
    clock::{self, Millis},
    name::Name,
    sorted::SortedMap,
};
use plan::{
    event::{Decision, Event, WorkerInfo},
    order::{Attempt, Order},
    plan_cfg::PlanCfg,
    record::{JobKey, JobRecord},
    state::Plan,
};
use schema::{config::Config, job::Phase};
use store::table::Key;
use tokio::sync::Notify;

use crate::{
    cfg::WorkersCfg,
    queue::Queue,
    row_ages::RowAges,
    voters::{self, Former},
    worker_link::WorkerLink,
};

/// Settings of the plan. The workers controller reports lost workers, also after it had to wait for
/// a former leader, so the plan's own limit comes later.
fn plan_cfg() -> PlanCfg {
    let cfg = PlanCfg::default();
    PlanCfg {
        absent_limit: voters::FORMER_LIMIT + cfg.absent_limit,
        ..cfg
    }
}

/// A job record with the version of its row in the table.
#[derive(Clone, Debug)]
pub(crate) struct StoredRecord {
    pub(crate) version: u64,
    /// Time by which the row was written, on the scale of [`RowAges`]. An ended job is not written
    /// again, so it is not earlier than the job's end.
    pub(crate) written_by: Millis,
    pub(crate) record: JobRecord,
}

/// A worker, which may be known from job records before it appears in the VM list.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) link: WorkerLink,
    /// Address according to the VM list; `None` before the worker was listed.
    pub(crate) address: Option<net::SocketAddr>,
    /// Wakes the task of the worker.
    pub(crate) wake: Rc<Notify>,
    /// Whether the worker is in the newest VM list.
    pub(crate) listed: bool,
}

/// State of one leadership.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) plan: Plan,
    pub(crate) queue: Queue,
    /// Ages of the rows of the table.
    pub(crate) ages: RowAges,
    /// Committed records, from which answers and renewals are derived.
    pub(crate) committed: SortedMap<JobKey, StoredRecord>,
    /// Sorted keys of the job rows that can't be read.
    pub(crate) set_aside: Vec<Key>,
    pub(crate) workers: SortedMap<Name, Worker>,
    /// Whether the sizes of all listed workers are known, as last told to the plan.
    fleet_known: bool,
    pub(crate) config: Config,
    /// Whether a transaction has been open for longer than `commit.stuck_ms`.
    pub(crate) stuck: bool,
    /// Time until which commits are limited to the recovery rate after an outage.
    pub(crate) recover_until: Millis,
    /// Former leaders, which may renew task leases.
    pub(crate) former: Former,
    workers_cfg: WorkersCfg,
}

impl State {
    pub(crate) fn new(workers_cfg: WorkersCfg) -> Self {
        Self {
            plan: Plan::new(plan_cfg()),
            queue: Queue::default(),
            ages: RowAges::new(clock::now()),
            committed: SortedMap::default(),
            set_aside: Vec::new(),
            workers: SortedMap::default(),
            fleet_known: false,
            config: Config::default(),
            stuck: false,
            recover_until: Millis::ZERO,
            former: Former::default(),
            workers_cfg,
        }
    }

    /// Returns whether the backlog of an outage is being written.
    pub(crate) fn is_recovering(&self, now: Millis) -> bool {
        now < self.recover_until
    }

    /// Rebuilds the state from the configuration and the job records in the table.
    pub(crate) fn restore(&mut self, config: Config, jobs: Vec<StoredRecord>, now: Millis) {
        let records = jobs.iter().map(|s| s.record.clone()).collect();
        self.plan = Plan::restore(plan_cfg(), config.clone(), records, now);
        self.config = config;
        self.committed = jobs.into_iter().map(|s| (s.record.key(), s)).collect();
        let workers: Vec<Name> = self.workers_in_use();
        for worker in workers {
            self.ensure_worker(&worker);
        }
    }

    fn workers_in_use(&self) -> Vec<Name> {
        let members = self.committed.values().flat_map(|s| &s.record.members);
        let mut workers: Vec<Name> = members.map(|m| m.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        workers
    }

    /// Returns a worker; an unknown one is added together with its attempts in the committed
    /// records.
    pub(crate) fn ensure_worker(&mut self, name: &Name) -> &mut Worker {
        if self.workers.get(name).is_none() {
            let mut link = WorkerLink::new(name.clone(), self.workers_cfg, clock::now());
            for stored in self.committed.values() {
                if let Some(attempt) = attempt_on(&stored.record, name) {
                    link.assign(&attempt, true);
                }
            }
            link.set_former_end(self.former.ends_at());
            let worker = Worker {
                link,
                address: None,
                wake: Rc::new(Notify::new()),
                listed: false,
            };
            self.workers.insert(name.clone(), worker);
        }
        self.workers.get_mut(name).expect("inserted above")
    }

    /// Records which members have heard of this leadership and returns the time until which a former
    /// leader may renew task leases.
    pub(crate) fn record_agreed(&mut self, now: Millis, agreed: &[u64]) -> Millis {
        self.former.record_agreed(now, agreed);
        let end = self.former.ends_at();
        let links = self.workers.iter_mut().map(|(_, w)| &mut w.link);
        links.for_each(|l| l.set_former_end(end));
        end
    }

    /// Returns the descriptions of all listed workers; `None` if some have not been received yet.
    pub(crate) fn listed_workers(&self) -> Option<Vec<WorkerInfo>> {
        let listed = self.workers.values().filter(|w| w.listed);
        listed.map(|w| w.link.info().cloned()).collect()
    }

    /// Returns the event for the plan if the sizes of all listed workers have become known or one
    /// has become unknown. The workers must have been listed since the state was rebuilt.
    pub(crate) fn check_fleet_known(&mut self) -> Option<Event> {
        let mut listed = self.workers.values().filter(|w| w.listed);
        let known = listed.all(|w| w.link.info().is_some());
        let before = std::mem::replace(&mut self.fleet_known, known);
        (known != before).then_some(Event::FleetKnown { known })
    }

    /// Passes an event to the plan and returns its decision.
    ///
    /// While a transaction is stuck, stop orders are sent at once instead of after the commit.
    pub(crate) fn decide(&mut self, now: Millis, event: Event) -> Decision {
        let mut decision = self.plan.handle(now, event);
        if self.stuck {
            let (stops, rest) = decision
                .orders
                .into_iter()
                .partition(|o| matches!(o.action, plan::order::Action::Stop { .. }));
            decision.orders = rest;
            self.send(stops);
        }
        decision
    }

    /// Queues orders for their workers.
    ///
    /// Orders to an unknown worker are dropped; the plan repeats them when the worker is up.
    pub(crate) fn send(&mut self, orders: Vec<Order>) {
        for order in orders {
            if let Some(worker) = self.workers.get_mut(&order.member.worker) {
                worker.link.push(order);
                worker.wake.notify_one();
            }
        }
    }

    /// Updates the committed records and the attempts of their workers after a commit.
    pub(crate) fn record_commit(&mut self, version: u64, records: Vec<JobRecord>) {
        let written_by = self.ages.time(clock::now());
        for record in records {
            let key = record.key();
            let before = self.committed.get(&key).map(|s| s.record.clone());
            if let Some(before) = before {
                self.assign(&before, false);
            }
            self.assign(&record, true);
            let stored = StoredRecord {
                version,
                written_by,
                record,
            };
            self.committed.insert(key, stored);
        }
    }

    fn assign(&mut self, record: &JobRecord, here: bool) {
        if !uses_workers(record) {
            return;
        }
        let attempt = attempt(record);
        for member in &record.members {
            if let Some(worker) = self.workers.get_mut(&member.worker) {
                worker.link.assign(&attempt, here);
            }
        }
    }

    /// Returns up to `limit` jobs that ended at least `keep` before `now`, a time since boot, with
    /// the versions of their rows.
    pub(crate) fn expired(&self, now: Millis, keep: Millis, limit: usize) -> Vec<(JobKey, u64)> {
        let time = self.ages.time(now);
        let old = |s: &&StoredRecord| s.record.phase.is_final() && time.since(s.written_by) >= keep;
        let stored = self.committed.values().filter(old);
        let keys = stored.map(|s| (s.record.key(), s.version));
        keys.take(limit).collect()
    }

    /// Drops jobs whose rows were removed.
    pub(crate) fn forget(&mut self, jobs: &[(JobKey, u64)]) {
        for (job, _) in jobs {
            self.committed.remove(job);
            self.plan.forget(job);
        }
    }

    /// Returns whether a start of the job is still queued or on its way to one of its workers.
    pub(crate) fn may_start(&self, job: &JobKey) -> bool {
        self.workers.values().any(|w| w.link.may_start(job))
    }
}

fn uses_workers(record: &JobRecord) -> bool {
    matches!(
        record.phase,
        Phase::Holding | Phase::Running | Phase::Stopping
    )
}

fn attempt(record: &JobRecord) -> Attempt {
    Attempt {
        job: record.key(),
        attempt: record.attempt,
    }
}

fn attempt_on(record: &JobRecord, worker: &Name) -> Option<Attempt> {
    let here = record.members.iter().any(|m| m.worker == *worker);
    (here && uses_workers(record)).then(|| attempt(record))
}
