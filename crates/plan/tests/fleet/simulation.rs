//! Simulation of a plan with its durable records, fake workers, messages in flight and crashes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{clock::Millis, name::Name};
use plan::{
    event::{Decision, Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    plan_cfg::PlanCfg,
    record::{Claim, JobKey, JobRecord, Member},
    state::Plan,
};
use quickcheck::{Arbitrary, Gen};
use schema::{
    config::Config,
    job::{Job, Phase, StopMode},
};

use super::{
    Fleet, TaskState,
    packing::{FreeResources, all_fit},
};

/// One operation of a random history.
#[derive(Clone, Debug)]
pub enum Op {
    Submit(u8),
    Cancel(u8),
    Lose(u8),
    Up(u8),
    Leave(u8),
    End(u8, bool),
    Configure(u8),
    Deliver(u8),
    DropOrder,
    DropReport,
    Wait(u16),
    /// The scheduler crashes before it commits the next decision.
    CrashBeforeCommit,
    /// The scheduler crashes after it commits the next decision, whose orders are lost.
    CrashAfterCommit,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=7 => Self::Submit(n),
            8 | 9 => Self::Cancel(n),
            10 => Self::Lose(n),
            11 | 12 => Self::Up(n),
            13 => Self::Leave(n),
            14..=16 => Self::End(n, bool::arbitrary(g)),
            17 => Self::Configure(n),
            18..=24 => Self::Deliver(n),
            25 => Self::DropOrder,
            26 => Self::DropReport,
            27..=29 => Self::Wait(u16::arbitrary(g) % 6_000),
            30 => Self::CrashBeforeCommit,
            _ => Self::CrashAfterCommit,
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Crash {
    BeforeCommit,
    AfterCommit,
}

/// Inputs of a random history.
pub struct Scenario {
    pub jobs: fn(u8, usize) -> Job,
    pub configs: Vec<Config>,
    pub workers: Vec<WorkerInfo>,
}

/// A plan and its simulated environment.
pub struct Simulation {
    pub scenario: Scenario,
    pub plan: Plan,
    pub config: Config,
    pub records: BTreeMap<JobKey, JobRecord>,
    pub fleet: Fleet,
    pub up: BTreeMap<Name, WorkerInfo>,
    pub now: Millis,
    pub error: Option<String>,
    submitted: Vec<JobKey>,
    /// Holds whose confirmation was delivered to the plan, by attempt and worker.
    confirmed_holds: BTreeSet<(Attempt, Name)>,
    orders: VecDeque<Order>,
    reports: VecDeque<Event>,
    crash: Option<Crash>,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let mut simulation = Self {
            config: scenario.configs[0].clone(),
            plan: Plan::new(PlanCfg::default()),
            scenario,
            records: BTreeMap::new(),
            fleet: Fleet::default(),
            up: BTreeMap::new(),
            now: Millis(1_000),
            error: None,
            submitted: Vec::new(),
            confirmed_holds: BTreeSet::new(),
            orders: VecDeque::new(),
            reports: VecDeque::new(),
            crash: None,
        };
        let config = simulation.config.clone();
        simulation.handle(Event::Configured { config });
        for i in 0..simulation.scenario.workers.len() {
            simulation.worker_up(i);
        }
        simulation
    }

    pub fn fail(&mut self, text: String) {
        self.error.get_or_insert(text);
    }

    pub fn step(&mut self, op: &Op) {
        self.now += Millis(10);
        match *op {
            Op::Submit(n) => self.submit(n),
            Op::Cancel(n) => self.cancel(n),
            Op::Lose(n) => self.lose(n),
            Op::Up(n) => self.worker_up(usize::from(n) % self.scenario.workers.len()),
            Op::Leave(n) => self.leave(n),
            Op::End(n, done) => self.end(n, done),
            Op::Configure(n) => self.configure(n),
            Op::Deliver(n) => self.deliver(usize::from(n) + 1),
            Op::DropOrder => drop(self.orders.pop_front()),
            Op::DropReport => drop(self.reports.pop_front()),
            Op::Wait(ms) => self.wait(Millis(ms.into())),
            Op::CrashBeforeCommit => self.crash = Some(Crash::BeforeCommit),
            Op::CrashAfterCommit => self.crash = Some(Crash::AfterCommit),
        }
    }

    /// Delivers all messages and advances the clock, without further faults.
    pub fn settle(&mut self) {
        self.crash = None;
        for _ in 0..90 {
            self.deliver(usize::MAX);
            self.wait(Millis(1_000));
        }
    }

    /// Submits a job and delivers all messages that follow, without advancing the clock.
    pub fn submit_and_deliver(&mut self, job: Job) {
        self.now += Millis(10);
        self.handle(Event::Submitted { job });
        self.deliver(usize::MAX);
    }

    fn handle(&mut self, event: Event) {
        let lost = match &event {
            Event::WorkerLost { worker } => Some(worker.clone()),
            _ => None,
        };
        if let Event::Member {
            attempt,
            worker,
            report: Report::Held,
        } = &event
        {
            self.confirmed_holds
                .insert((attempt.clone(), worker.clone()));
        }
        let decision = self.plan.handle(self.now, event);
        match self.crash.take() {
            Some(Crash::BeforeCommit) => self.restore(),
            Some(Crash::AfterCommit) => {
                self.commit(lost.as_ref(), &decision);
                self.restore();
            }
            None => {
                self.commit(lost.as_ref(), &decision);
                self.orders.extend(decision.orders);
            }
        }
    }

    fn restore(&mut self) {
        let records = self.records.values().cloned().collect();
        self.plan = Plan::restore(PlanCfg::default(), self.config.clone(), records, self.now);
        let workers: Vec<WorkerInfo> = self.up.values().cloned().collect();
        for worker in workers {
            self.handle(Event::WorkerUp { worker });
        }
        self.handle(Event::FleetKnown { known: true });
    }

    fn commit(&mut self, lost: Option<&Name>, decision: &Decision) {
        for rec in &decision.records {
            let old = self.records.insert(rec.key(), rec.clone());
            let old = old.map_or((Phase::Waiting, false), |r| (r.phase, !r.borrowed));
            if let Some(violation) = self.record_violation(old, rec) {
                self.fail(format!("{violation}: {rec:?}"));
            }
        }
        self.check_orders(decision);
        self.check_usage();
        self.check_guarantees();
        if let Some(worker) = lost {
            self.check_lost(worker);
        }
    }

    /// Returns the rule that a change of a record violates, if any. `old` is the previous phase,
    /// and whether the job ran on guaranteed capacity.
    fn record_violation(&self, old: (Phase, bool), rec: &JobRecord) -> Option<&'static str> {
        let attempt = Attempt {
            job: rec.key(),
            attempt: rec.attempt,
        };
        let holds = |m: &Member| {
            self.confirmed_holds
                .contains(&(attempt.clone(), m.worker.clone()))
        };
        let started = old.0 == Phase::Holding && rec.phase == Phase::Running;
        let kept = old == (Phase::Running, true) && !rec.borrowed;
        let reclaimed = kept && rec.reason.starts_with("stopped for");
        match rec {
            _ if old.0.is_final() => Some("a record in a final phase changed"),
            _ if started && !rec.members.iter().all(holds) => {
                Some("a gang started before all members were held")
            }
            _ if reclaimed => Some("guaranteed work was stopped for other work"),
            _ => None,
        }
    }

    /// Checks that each order follows from the durable record of its attempt.
    fn check_orders(&mut self, decision: &Decision) {
        let allowed = |order: &Order| {
            let rec = &self.records.get(&order.attempt.job)?;
            let current = rec.attempt == order.attempt.attempt;
            let phase = match order.action {
                Action::Hold { .. } => Phase::Holding,
                Action::Go | Action::Throttle => Phase::Running,
                Action::Stop { .. } | Action::Release => return Some(()),
            };
            (current && rec.phase == phase && rec.members.contains(&order.member)).then_some(())
        };
        let wrong = decision.orders.iter().find(|o| {
            let end = matches!(o.action, Action::Stop { .. } | Action::Release);
            !end && allowed(o).is_none()
        });
        if let Some(order) = wrong {
            let text = format!("an order does not follow from its record: {order:?}");
            self.fail(text);
        }
    }

    /// Checks that no accelerator, core or memory is allocated twice.
    fn check_usage(&mut self) {
        let mut used: BTreeMap<Name, (u32, u32, u32)> = BTreeMap::new();
        let mut twice = None;
        for rec in self.records.values() {
            let memory = rec.charged_memory_mb.max(rec.job.shape.memory_mb);
            for member in &rec.members {
                let sum = used.entry(member.worker.clone()).or_default();
                if sum.0 & member.accelerators != 0 {
                    twice = Some(rec.key());
                }
                sum.0 |= member.accelerators;
                sum.1 += u32::from(rec.job.shape.cores);
                sum.2 += memory;
            }
        }
        let over = self.scenario.workers.iter().find(|w| {
            let sum = used.get(&w.name).copied().unwrap_or_default();
            sum.1 > w.cores.into() || sum.2 > w.memory_mb
        });
        if twice.is_some() || over.is_some() {
            self.fail(format!("resources are allocated twice: {twice:?} {over:?}"));
        }
    }

    /// Checks that work that can't be stopped does not run on borrowed capacity, and that the
    /// unclaimed guarantees fit beside the claims whenever the plan reports all of them as located.
    fn check_guarantees(&mut self) {
        let active: Vec<&JobRecord> = self
            .records
            .values()
            .filter(|r| !r.members.is_empty())
            .collect();
        let never = |r: &&&JobRecord| r.borrowed && r.job.stop == StopMode::Never;
        if let Some(rec) = active.iter().find(never) {
            let text = format!("a job that can't be stopped runs on borrowed capacity: {rec:?}");
            return self.fail(text);
        }
        if self.plan.unlocated() > 0 {
            return;
        }
        let mut left: BTreeMap<Name, FreeResources> = BTreeMap::new();
        for worker in self.up.values() {
            left.insert(worker.name.clone(), FreeResources::of(worker));
        }
        for rec in active.iter().filter(|r| !r.borrowed) {
            for member in &rec.members {
                if let Some(left) = left.get_mut(&member.worker) {
                    left.allocate(&rec.job.shape);
                }
            }
        }
        let mut unclaimed = Vec::new();
        for org in self.config.organisations.values() {
            for (i, g) in org.guarantees.iter().enumerate() {
                for gang in 0..g.gangs {
                    let claim = Some(Claim {
                        guarantee: i as u16,
                        gang,
                    });
                    let claims =
                        |r: &&JobRecord| r.claim == claim && r.job.organisation == org.name;
                    if !active.iter().any(claims) {
                        unclaimed.push(g.shape);
                    }
                }
            }
        }
        unclaimed.sort_by_key(|s| std::cmp::Reverse(s.total_accelerators()));
        let mut free: Vec<FreeResources> = left.into_values().collect();
        if !all_fit(&unclaimed, &mut free) {
            let text = format!("unclaimed guarantees don't fit: {unclaimed:?} in {free:?}");
            self.fail(text);
        }
    }

    /// Checks that the loss of a worker stops its gangs in the same decision.
    fn check_lost(&mut self, worker: &Name) {
        let on = |rec: &&JobRecord| rec.members.iter().any(|m| m.worker == *worker);
        let active = |rec: &&JobRecord| matches!(rec.phase, Phase::Holding | Phase::Running);
        if let Some(rec) = self.records.values().filter(on).find(active) {
            let text = format!("a gang continues after the loss of a member: {rec:?}");
            self.fail(text);
        }
    }

    /// Checks that running gangs run on all their workers and that nothing else runs, once all
    /// messages were delivered.
    pub fn check_settled(&mut self) {
        let mut wrong = None;
        for rec in self.records.values() {
            let attempt = Attempt {
                job: rec.key(),
                attempt: rec.attempt,
            };
            let runs = |m: &&Member| {
                let tasks = self.fleet.workers.get(&m.worker).map(|w| &w.tasks);
                let task = tasks.and_then(|t| t.get(&attempt));
                task.is_some_and(|(_, task)| {
                    matches!(task, TaskState::Running | TaskState::Ended(Report::Done))
                })
            };
            let running = rec.members.iter().filter(runs).count();
            let ok = match rec.phase {
                Phase::Running => running == rec.members.len(),
                Phase::Holding | Phase::Stopping => false,
                _ => true,
            };
            if !ok {
                wrong = Some(format!("{rec:?} with {running} members running"));
            }
        }
        for (name, worker) in &self.fleet.workers {
            for (attempt, (_, task)) in &worker.tasks {
                let rec = self.records.get(&attempt.job);
                let wanted =
                    rec.is_some_and(|r| r.attempt == attempt.attempt && r.phase == Phase::Running);
                if !matches!(task, TaskState::Ended(_)) && !wanted {
                    wrong = Some(format!("{name} has {task:?} of {attempt}"));
                }
            }
        }
        if let Some(text) = wrong {
            self.fail(format!("not settled: {text}"));
        }
    }

    fn submit(&mut self, n: u8) {
        let job = (self.scenario.jobs)(n, self.submitted.len());
        self.submitted.push(JobKey {
            organisation: job.organisation.clone(),
            name: job.name.clone(),
        });
        self.handle(Event::Submitted { job });
    }

    fn cancel(&mut self, n: u8) {
        if !self.submitted.is_empty() {
            let job = self.submitted[usize::from(n) % self.submitted.len()].clone();
            self.handle(Event::CancelAsked { job });
        }
    }

    fn lose(&mut self, n: u8) {
        let name = self.scenario.workers[usize::from(n) % self.scenario.workers.len()]
            .name
            .clone();
        if self.up.remove(&name).is_none() {
            return;
        }
        self.fleet.workers.remove(&name);
        self.orders.retain(|o| o.member.worker != name);
        self.reports
            .retain(|e| !matches!(e, Event::Member { worker, .. } if *worker == name));
        self.handle(Event::WorkerLost { worker: name });
    }

    fn worker_up(&mut self, i: usize) {
        let worker = self.scenario.workers[i].clone();
        self.up.insert(worker.name.clone(), worker.clone());
        self.handle(Event::WorkerUp { worker });
    }

    fn leave(&mut self, n: u8) {
        let worker = self.scenario.workers[usize::from(n) % self.scenario.workers.len()]
            .name
            .clone();
        self.handle(Event::WorkerLeaving { worker });
    }

    fn configure(&mut self, n: u8) {
        let n = usize::from(n) % self.scenario.configs.len();
        self.config = self.scenario.configs[n].clone();
        let config = self.config.clone();
        self.handle(Event::Configured { config });
    }

    fn end(&mut self, n: u8, done: bool) {
        let running: Vec<Attempt> = self
            .records
            .values()
            .filter(|r| r.phase == Phase::Running)
            .map(|r| Attempt {
                job: r.key(),
                attempt: r.attempt,
            })
            .collect();
        if running.is_empty() {
            return;
        }
        let attempt = &running[usize::from(n) % running.len()];
        let report = if done { Report::Done } else { Report::Failed };
        self.reports.extend(self.fleet.end_tasks(attempt, report));
    }

    fn deliver(&mut self, count: usize) {
        for _ in 0..count {
            if let Some(order) = self.orders.pop_front() {
                if self.up.contains_key(&order.member.worker) {
                    self.reports
                        .extend(self.fleet.handle_order(self.now, &order));
                }
            } else if let Some(event) = self.reports.pop_front() {
                self.handle(event);
            } else {
                return;
            }
        }
    }

    fn wait(&mut self, time: Millis) {
        self.now += time;
        self.fleet.expire(self.now);
        self.handle(Event::Tick);
    }
}
