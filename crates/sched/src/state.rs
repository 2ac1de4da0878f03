//! State of one leadership: the plan, the decisions to commit and the committed records.

use std::{net, rc::Rc};

use base::{
    clock::{self, Millis},
    name::Name,
    sorted::SortedMap,
};
use plan::{
    event::{Decision, Event},
    order::{Attempt, Order},
    plan_cfg::PlanCfg,
    record::{JobKey, JobRecord},
    state::Plan,
};
use schema::{config::Config, job::Phase};
use tokio::sync::Notify;

use crate::{cfg::WorkersCfg, link::Link, queue::Queue};

/// A record as it is in the table.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) version: u64,
    pub(crate) record: JobRecord,
}

/// A worker with its address, which is not known before it is in the VM list.
#[derive(Debug)]
pub(crate) struct Contact {
    pub(crate) link: Link,
    pub(crate) address: Option<net::SocketAddr>,
    pub(crate) wake: Rc<Notify>,
    pub(crate) listed: bool,
}

/// State of one leadership.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) plan: Plan,
    pub(crate) queue: Queue,
    /// Records as committed, which answers and renewals are made from.
    pub(crate) committed: SortedMap<JobKey, Stored>,
    pub(crate) contacts: SortedMap<Name, Contact>,
    pub(crate) config: Config,
    /// Whether a transaction has been open for longer than usual.
    pub(crate) stuck: bool,
    /// Time until which the backlog of an outage is taken to be written.
    pub(crate) recover_until: Millis,
    workers_cfg: WorkersCfg,
}

impl State {
    pub(crate) fn new(workers_cfg: WorkersCfg) -> Self {
        Self {
            plan: Plan::new(PlanCfg::default()),
            queue: Queue::default(),
            committed: SortedMap::default(),
            contacts: SortedMap::default(),
            config: Config::default(),
            stuck: false,
            recover_until: Millis::ZERO,
            workers_cfg,
        }
    }

    /// Returns whether the backlog of an outage is being written.
    pub(crate) fn is_recovering(&self, now: Millis) -> bool {
        now < self.recover_until
    }

    /// Rebuilds the state from the rows of the table.
    pub(crate) fn restore(&mut self, config: Config, jobs: Vec<Stored>, now: Millis) {
        let records = jobs.iter().map(|s| s.record.clone()).collect();
        self.plan = Plan::restore(PlanCfg::default(), config.clone(), records, now);
        self.config = config;
        self.committed = jobs.into_iter().map(|s| (s.record.key(), s)).collect();
        let workers: Vec<Name> = self.workers_in_use();
        for worker in workers {
            self.contact(&worker);
        }
    }

    fn workers_in_use(&self) -> Vec<Name> {
        let members = self.committed.values().flat_map(|s| &s.record.members);
        let mut workers: Vec<Name> = members.map(|m| m.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        workers
    }

    /// Returns the contact of a worker, made from the committed records if it is new.
    pub(crate) fn contact(&mut self, worker: &Name) -> &mut Contact {
        if self.contacts.get(worker).is_none() {
            let mut link = Link::new(worker.clone(), self.workers_cfg, clock::now());
            for stored in self.committed.values() {
                if let Some(attempt) = attempt_on(&stored.record, worker) {
                    link.assign(&attempt, true);
                }
            }
            let contact = Contact {
                link,
                address: None,
                wake: Rc::new(Notify::new()),
                listed: false,
            };
            self.contacts.insert(worker.clone(), contact);
        }
        self.contacts.get_mut(worker).expect("inserted above")
    }

    /// Lets the plan decide about an event.
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

    /// Hands orders to the links of their workers.
    ///
    /// Orders to a worker that is not known yet are dropped; the plan repeats them when it is up.
    pub(crate) fn send(&mut self, orders: Vec<Order>) {
        for order in orders {
            if let Some(contact) = self.contacts.get_mut(&order.member.worker) {
                contact.link.push(order);
                contact.wake.notify_one();
            }
        }
    }

    /// Notes records as committed.
    pub(crate) fn committed(&mut self, version: u64, records: Vec<JobRecord>) {
        for record in records {
            let key = record.key();
            let before = self.committed.get(&key).map(|s| s.record.clone());
            if let Some(before) = before {
                self.assign(&before, false);
            }
            self.assign(&record, true);
            self.committed.insert(key, Stored { version, record });
        }
    }

    fn assign(&mut self, record: &JobRecord, here: bool) {
        if !uses_workers(record) {
            return;
        }
        let attempt = attempt(record);
        for member in &record.members {
            if let Some(contact) = self.contacts.get_mut(&member.worker) {
                contact.link.assign(&attempt, here);
            }
        }
    }

    /// Returns up to `limit` final records that ended at least `keep` ago and are settled.
    pub(crate) fn outdated(&self, now: Millis, keep: Millis, limit: usize) -> Vec<(JobKey, u64)> {
        let old = |s: &&Stored| s.record.phase.is_final() && now.since(s.record.ended_at) >= keep;
        let stored = self.committed.values().filter(old);
        let keys = stored.map(|s| (s.record.key(), s.version));
        keys.take(limit).collect()
    }

    /// Forgets jobs whose rows are removed.
    pub(crate) fn forget(&mut self, jobs: &[(JobKey, u64)]) {
        for (job, _) in jobs {
            self.committed.remove(job);
            self.plan.forget(job);
        }
    }

    /// Returns whether a start of the job may still reach one of its workers.
    pub(crate) fn may_start(&self, job: &JobKey) -> bool {
        self.contacts.values().any(|c| c.link.may_start(job))
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
