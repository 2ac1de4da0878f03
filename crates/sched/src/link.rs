//! What the scheduler knows about one worker; pure, without I/O.

use base::{clock::Millis, name::Name, sorted::SortedMap};
use plan::{
    event::{Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    record::Member,
};
use serde::{Deserialize, Serialize};

use crate::cfg::WorkersCfg;

/// Pause before the first poll for the result of an order; doubled up to the renewal interval.
const FIRST_POLL: Millis = Millis(10);
/// Time beyond the lease after which tasks on a silent worker count as stopped.
const LEASE_MARGIN: Millis = Millis(2_000);

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Call {
    /// Fencing number of the sender.
    pub fence: u64,
    /// Lease of the renewed tasks.
    pub lease_ms: Millis,
    /// Attempts whose leases are renewed.
    pub renew: Vec<Attempt>,
    /// Orders, in sequence.
    pub orders: Vec<Order>,
}

/// Answer to `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Answer {
    /// Tasks of the worker.
    pub tasks: Vec<Task>,
}

/// State of one task on a worker.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Task {
    /// The attempt.
    pub attempt: Attempt,
    /// Accelerators of the task.
    pub accelerators: u32,
    /// What the worker reports.
    pub report: Report,
}

/// Answer with status 409.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Fenced {
    /// Highest fencing number that the worker has seen.
    pub highest_fence: u64,
}

/// What the scheduler knows about one worker.
///
/// ```
/// use base::clock::Millis;
/// use sched::{cfg::WorkersCfg, link::Link};
///
/// let link = Link::new("w-1".parse().unwrap(), WorkersCfg::default(), Millis(5));
/// assert!(!link.is_suspected());
/// ```
#[derive(Clone, Debug)]
pub struct Link {
    name: Name,
    cfg: WorkersCfg,
    info: Option<WorkerInfo>,
    /// Attempts with a member here, by committed records.
    assigned: Vec<Attempt>,
    outbox: Vec<Order>,
    in_flight: Vec<Order>,
    in_flight_renew: Vec<Attempt>,
    /// Last order of each attempt whose result is not known.
    awaited: SortedMap<Attempt, Action>,
    /// Last report of each attempt that was passed on.
    passed: SortedMap<Attempt, Report>,
    /// Last answer.
    tasks: Vec<Task>,
    poll: Millis,
    started: Millis,
    contact: Millis,
    renewed: Millis,
    silence: Silence,
    leaving: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Silence {
    None,
    Suspected,
    Lost,
}

impl Link {
    /// Creates the link to a worker that was not reached yet.
    pub fn new(name: Name, cfg: WorkersCfg, now: Millis) -> Self {
        Self {
            name,
            cfg,
            info: None,
            assigned: Vec::new(),
            outbox: Vec::new(),
            in_flight: Vec::new(),
            in_flight_renew: Vec::new(),
            awaited: SortedMap::default(),
            passed: SortedMap::default(),
            tasks: Vec::new(),
            poll: cfg.renew_ms,
            started: Millis::ZERO,
            contact: now,
            renewed: now,
            silence: Silence::None,
            leaving: false,
        }
    }

    /// Returns whether the worker is silent for so long that it gets no renewals.
    pub fn is_suspected(&self) -> bool {
        self.silence != Silence::None
    }

    /// Returns whether the leases of all tasks on the worker have lapsed.
    pub fn is_lost(&self) -> bool {
        self.silence == Silence::Lost
    }

    /// Returns whether the worker must be asked what it is before it gets orders.
    pub fn needs_info(&self) -> bool {
        self.info.is_none() || self.is_suspected()
    }

    /// Returns the description of the worker once it has given it.
    pub fn info(&self) -> Option<&WorkerInfo> {
        self.info.as_ref()
    }

    /// Returns the number of attempts with a member here.
    pub fn assigned(&self) -> usize {
        self.assigned.len()
    }

    /// Adds or removes an attempt whose committed record has a member here.
    pub fn assign(&mut self, attempt: &Attempt, here: bool) {
        match (self.assigned.binary_search(attempt), here) {
            (Err(i), true) => self.assigned.insert(i, attempt.clone()),
            (Ok(i), false) => {
                self.assigned.remove(i);
            }
            _ => {}
        }
    }

    /// Queues an order; a stop or release takes the place of earlier orders of its attempt.
    pub fn push(&mut self, order: Order) {
        if matches!(order.action, Action::Stop { .. } | Action::Release) {
            let same = |o: &Order| o.attempt == order.attempt && !ends(o.action);
            self.outbox.retain(|o| !same(o));
        }
        for order in self.expand(order) {
            if !self.outbox.contains(&order) {
                self.awaited.insert(order.attempt.clone(), order.action);
                self.outbox.push(order);
            }
        }
        self.poll = FIRST_POLL;
    }

    /// Replaces an order for an attempt that has no record by one for each of its tasks.
    fn expand(&self, order: Order) -> Vec<Order> {
        if order.member.accelerators != 0 {
            return vec![order];
        }
        let tasks = self.tasks.iter().filter(|t| t.attempt == order.attempt);
        tasks
            .map(|t| order_for(&self.name, t, order.action))
            .collect()
    }

    /// Returns whether a start of the attempt may still reach the worker.
    pub fn may_start(&self, job: &plan::record::JobKey) -> bool {
        let go = |o: &Order| o.action == Action::Go && o.attempt.job == *job;
        self.outbox.iter().chain(&self.in_flight).any(go)
    }

    /// Returns when the next call is due.
    pub fn due(&self) -> Millis {
        if !self.outbox.is_empty() && !self.is_suspected() {
            return Millis::ZERO;
        }
        self.started + self.poll.min(self.cfg.renew_ms)
    }

    /// Starts a call.
    pub fn call(&mut self, now: Millis, fence: u64) -> Call {
        self.started = now;
        self.in_flight = std::mem::take(&mut self.outbox);
        self.in_flight_renew.clone_from(&self.assigned);
        if !self.assigned.is_empty() {
            self.renewed = now;
        }
        Call {
            fence,
            lease_ms: self.cfg.task_lease_ms,
            renew: self.assigned.clone(),
            orders: self.in_flight.clone(),
        }
    }

    /// Takes the description of the worker; returns the event for the plan.
    pub fn informed(&mut self, now: Millis, info: WorkerInfo) -> Option<Event> {
        self.contact = now;
        self.started = now;
        let known = self.info.as_ref() == Some(&info) && !self.is_suspected();
        self.silence = Silence::None;
        self.info = Some(info.clone());
        (!known && !self.leaving).then_some(Event::WorkerUp { worker: info })
    }

    /// Takes the state of the worker in the VM list; returns the event for the plan.
    pub fn listed(&mut self, leaving: bool) -> Option<Event> {
        if self.leaving == leaving {
            return None;
        }
        self.leaving = leaving;
        match (leaving, &self.info) {
            (true, _) => Some(self.leaving_event()),
            (false, Some(info)) => Some(Event::WorkerUp {
                worker: info.clone(),
            }),
            (false, None) => None,
        }
    }

    /// Forgets what is known about the machine, because another one has taken its name.
    pub fn replaced(&mut self) {
        self.info = None;
        self.tasks.clear();
    }

    fn leaving_event(&self) -> Event {
        Event::WorkerLeaving {
            worker: self.name.clone(),
        }
    }

    /// Takes the failure of a call; orders that are not superseded are sent again.
    pub fn failed(&mut self) {
        self.in_flight_renew.clear();
        let newer = std::mem::take(&mut self.outbox);
        self.outbox = std::mem::take(&mut self.in_flight);
        for order in newer {
            self.push(order);
        }
    }

    /// Notes silence: after a while the worker gets no new work, and it is lost when the leases of
    /// its tasks have certainly lapsed.
    pub fn check(&mut self, now: Millis) -> Option<Event> {
        match self.silence {
            Silence::None if now.since(self.contact) >= self.cfg.suspect_ms => {
                self.silence = Silence::Suspected;
                Some(self.leaving_event())
            }
            Silence::Suspected if now.since(self.renewed) >= self.lapse() => {
                self.silence = Silence::Lost;
                self.outbox.clear();
                self.awaited = SortedMap::default();
                self.passed = SortedMap::default();
                Some(Event::WorkerLost {
                    worker: self.name.clone(),
                })
            }
            _ => None,
        }
    }

    fn lapse(&self) -> Millis {
        self.cfg.task_lease_ms + LEASE_MARGIN
    }

    /// Takes the answer to a call; returns the events for the plan.
    pub fn answered(&mut self, now: Millis, tasks: Vec<Task>) -> Vec<Event> {
        self.contact = now;
        let ordered = std::mem::take(&mut self.in_flight);
        let renewed = std::mem::take(&mut self.in_flight_renew);
        self.tasks = tasks;
        let mut attempts: Vec<Attempt> = self.tasks.iter().map(|t| t.attempt.clone()).collect();
        attempts.extend(renewed);
        attempts.sort();
        attempts.dedup();
        let mut events = Vec::new();
        for attempt in &attempts {
            let asked = ordered.iter().any(|o| o.attempt == *attempt);
            events.extend(self.look_at(attempt, asked));
        }
        self.passed.retain(|a, _| attempts.binary_search(a).is_ok());
        let queued = &self.outbox;
        self.awaited.retain(|a, _| {
            attempts.binary_search(a).is_ok() || queued.iter().any(|o| o.attempt == *a)
        });
        self.next_poll();
        events
    }

    fn next_poll(&mut self) {
        self.poll = if self.awaited.is_empty() {
            self.cfg.renew_ms
        } else {
            Millis(self.poll.0 * 2).min(self.cfg.renew_ms)
        };
    }

    /// Returns the event for one attempt if its state is new or was asked for.
    fn look_at(&mut self, attempt: &Attempt, asked: bool) -> Option<Event> {
        let mine: Vec<&Task> = self
            .tasks
            .iter()
            .filter(|t| t.attempt == *attempt)
            .collect();
        if mine.is_empty() && self.outbox.iter().any(|o| o.attempt == *attempt) {
            return None;
        }
        let report = match combine(&mine) {
            Combined::One(report) => report,
            Combined::StopRest(rest) => {
                let orders: Vec<Order> = rest.iter().map(|t| self.stop_order(t)).collect();
                for order in orders {
                    self.push(order);
                }
                return None;
            }
        };
        if self
            .awaited
            .get(attempt)
            .is_some_and(|a| answers(*a, report))
        {
            self.awaited.remove(attempt);
        }
        let before = self.passed.insert(attempt.clone(), report);
        (asked || before != Some(report)).then(|| Event::Member {
            attempt: attempt.clone(),
            worker: self.name.clone(),
            report,
        })
    }

    fn stop_order(&self, task: &Task) -> Order {
        order_for(&self.name, task, Action::Stop { checkpoint: true })
    }
}

fn order_for(worker: &Name, task: &Task, action: Action) -> Order {
    Order {
        attempt: task.attempt.clone(),
        member: Member {
            worker: worker.clone(),
            accelerators: task.accelerators,
        },
        action,
    }
}

enum Combined {
    One(Report),
    /// Some members ended badly while these still run.
    StopRest(Vec<Task>),
}

/// Combines the reports of all members of one attempt on one worker.
///
/// The plan frees the accelerators of all of them at the first report of an end, so a bad end is
/// passed on only when none of them runs any more.
fn combine(tasks: &[&Task]) -> Combined {
    let any = |f: fn(&Report) -> bool| tasks.iter().any(|t| f(&t.report));
    let running = |r: &Report| matches!(r, Report::Running { .. });
    let bad = |r: &Report| matches!(r, Report::Failed | Report::NotHeld | Report::Stopped { .. });
    if tasks.is_empty() {
        return Combined::One(Report::NotHeld);
    }
    if any(running) && any(bad) {
        let rest = tasks.iter().filter(|t| running(&t.report));
        return Combined::StopRest(rest.map(|t| (*t).clone()).collect());
    }
    if any(|r| *r == Report::Failed) {
        return Combined::One(Report::Failed);
    }
    if any(|r| *r == Report::NotHeld) {
        return Combined::One(Report::NotHeld);
    }
    if any(bad) {
        let checkpoint = !any(|r| *r == Report::Stopped { checkpoint: false });
        return Combined::One(Report::Stopped { checkpoint });
    }
    if any(|r| *r == Report::Held) {
        return Combined::One(Report::Held);
    }
    let memory = |t: &&Task| match t.report {
        Report::Running { memory_mb } => Some(memory_mb),
        _ => None,
    };
    match tasks.iter().filter_map(memory).max() {
        Some(memory_mb) => Combined::One(Report::Running { memory_mb }),
        None => Combined::One(Report::Done),
    }
}

fn ends(action: Action) -> bool {
    matches!(action, Action::Stop { .. } | Action::Release)
}

/// Returns whether the report tells the result of the order.
fn answers(action: Action, report: Report) -> bool {
    match action {
        Action::Hold { .. } | Action::Throttle => true,
        Action::Go => report != Report::Held,
        Action::Stop { .. } | Action::Release => {
            !matches!(report, Report::Held | Report::Running { .. })
        }
    }
}
