//! State machine of the communication with one worker, without I/O.

use base::{clock::Millis, name::Name, sorted::SortedMap};
use plan::{
    event::{Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    record::Member,
};
use serde::{Deserialize, Serialize};

use crate::cfg::WorkersCfg;

/// Minimum pause before a poll for the result of an order.
const MIN_POLL: Millis = Millis(10);
/// Reciprocal of the maximum pause before a poll, up to the renewal interval, as a part of the time
/// since the order: the wait for a poll adds at most this part to the time that a stop takes.
const POLLS_PER_WAIT: u64 = 4;
/// Time after the end of the task leases at which the tasks of a silent worker count as stopped.
const LEASE_MARGIN: Millis = Millis(2_000);

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrdersBody {
    /// Fencing token of the sender.
    pub fence: u64,
    /// Duration of the lease that the renewed tasks get.
    pub lease_ms: Millis,
    /// Attempts whose leases are renewed.
    pub renew: Vec<Attempt>,
    /// Orders, in the sequence in which the worker executes them.
    pub orders: Vec<Order>,
}

/// Body of the answer to `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct OrdersAnswer {
    /// All tasks of the worker.
    pub tasks: Vec<TaskReport>,
}

/// State of one task on a worker.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TaskReport {
    /// Attempt to which the task belongs.
    pub attempt: Attempt,
    /// Accelerators of the task, as a bit mask.
    pub accelerators: u32,
    /// State of the task.
    pub report: Report,
}

/// Body of the answer with status 409, which rejects an outdated fencing token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct FencedBody {
    /// Highest fencing token that the worker has seen.
    pub highest_fence: u64,
}

/// State of the communication with one worker: queued orders, reported tasks and liveness.
///
/// ```
/// use base::clock::Millis;
/// use sched::{cfg::WorkersCfg, worker_link::WorkerLink};
///
/// let link = WorkerLink::new("w-1".parse().unwrap(), WorkersCfg::default(), Millis(5));
/// assert!(!link.is_suspected());
/// ```
#[derive(Clone, Debug)]
pub struct WorkerLink {
    name: Name,
    cfg: WorkersCfg,
    info: Option<WorkerInfo>,
    /// Attempts with a member on this worker according to the committed records, sorted.
    assigned: Vec<Attempt>,
    /// Orders for the next call.
    outbox: Vec<Order>,
    /// Orders of the open call.
    in_flight: Vec<Order>,
    /// Renewals of the open call.
    in_flight_renew: Vec<Attempt>,
    /// Last order of each attempt whose result is not known yet.
    awaited: SortedMap<Attempt, Action>,
    /// Last report of each attempt that was passed to the plan.
    reported: SortedMap<Attempt, Report>,
    /// Tasks of the last answer.
    tasks: Vec<TaskReport>,
    /// Time between two calls if no orders are queued.
    poll_interval: Millis,
    /// Start of the last call with orders.
    ordered_at: Millis,
    /// Start of the last call.
    last_call: Millis,
    last_answer: Millis,
    /// Start of the last call that renewed task leases.
    last_renewal: Millis,
    /// Time until which a former leader may renew task leases.
    former_end: Millis,
    /// Whether the worker has seen the fencing token of this leadership, so that it accepts no
    /// renewals of a former one.
    is_fenced: bool,
    liveness: Liveness,
    leaving: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Liveness {
    Alive,
    Suspected,
    Lost,
}

impl WorkerLink {
    /// Creates the state for a worker that has not been contacted yet.
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
            reported: SortedMap::default(),
            tasks: Vec::new(),
            poll_interval: cfg.renew_ms,
            ordered_at: Millis::ZERO,
            last_call: Millis::ZERO,
            last_answer: now,
            last_renewal: now,
            former_end: Millis::ZERO,
            is_fenced: false,
            liveness: Liveness::Alive,
            leaving: false,
        }
    }

    /// Returns whether the worker has been silent for so long that its task leases are no longer
    /// renewed.
    pub fn is_suspected(&self) -> bool {
        self.liveness != Liveness::Alive
    }

    /// Sets the time until which a former leader may renew task leases. It does not count once the
    /// worker has answered to orders.
    pub fn set_former_end(&mut self, at: Millis) {
        self.former_end = at;
    }

    /// Discounts the silence until `now`, because the worker was not called.
    pub fn on_pause(&mut self, now: Millis) {
        self.last_answer = now;
    }

    /// Returns whether the worker has been silent until all of its task leases lapsed.
    pub fn is_lost(&self) -> bool {
        self.liveness == Liveness::Lost
    }

    /// Returns whether the description of the worker must be requested before orders are sent.
    pub fn needs_info(&self) -> bool {
        self.info.is_none() || self.is_suspected()
    }

    /// Returns the description of the worker; `None` before it was received.
    pub fn info(&self) -> Option<&WorkerInfo> {
        self.info.as_ref()
    }

    /// Returns the number of attempts with a member on this worker.
    pub fn assigned_count(&self) -> usize {
        self.assigned.len()
    }

    /// Adds the attempt to those with a member on this worker, or removes it if `here` is false.
    pub fn assign(&mut self, attempt: &Attempt, here: bool) {
        match (self.assigned.binary_search(attempt), here) {
            (Err(i), true) => self.assigned.insert(i, attempt.clone()),
            (Ok(i), false) => {
                self.assigned.remove(i);
            }
            _ => {}
        }
    }

    /// Queues an order; a stop or release replaces queued holds, starts and limits of its attempt.
    pub fn push(&mut self, order: Order) {
        if matches!(order.action, Action::Stop { .. } | Action::Release) {
            let replaced = |o: &Order| o.attempt == order.attempt && !ends_attempt(o.action);
            self.outbox.retain(|o| !replaced(o));
        }
        for order in self.expand(order) {
            if !self.outbox.contains(&order) {
                self.awaited.insert(order.attempt.clone(), order.action);
                self.outbox.push(order);
            }
        }
        self.poll_interval = MIN_POLL;
    }

    /// Replaces an order without accelerators, which is for an attempt that has no record, by one
    /// order for each task of the attempt.
    fn expand(&self, order: Order) -> Vec<Order> {
        if order.member.accelerators != 0 {
            return vec![order];
        }
        let tasks = self.tasks.iter().filter(|t| t.attempt == order.attempt);
        tasks
            .map(|t| order_for(&self.name, t, order.action))
            .collect()
    }

    /// Returns whether a start of the job is queued or in an open call.
    pub fn may_start(&self, job: &plan::record::JobKey) -> bool {
        let go = |o: &Order| o.action == Action::Go && o.attempt.job == *job;
        self.outbox.iter().chain(&self.in_flight).any(go)
    }

    /// Returns the time of the next call.
    pub fn next_call_at(&self) -> Millis {
        if !self.outbox.is_empty() && !self.is_suspected() {
            return Millis::ZERO;
        }
        self.last_call + self.poll_interval.min(self.cfg.renew_ms)
    }

    /// Moves the queued orders into a call and returns its body.
    pub fn start_call(&mut self, now: Millis, fence: u64) -> OrdersBody {
        self.last_call = now;
        self.in_flight = std::mem::take(&mut self.outbox);
        self.in_flight_renew.clone_from(&self.assigned);
        if !self.in_flight.is_empty() {
            self.ordered_at = now;
        }
        if !self.assigned.is_empty() {
            self.last_renewal = now;
        }
        OrdersBody {
            fence,
            lease_ms: self.cfg.task_lease_ms,
            renew: self.assigned.clone(),
            orders: self.in_flight.clone(),
        }
    }

    /// Processes the description of the worker and returns the event for the plan.
    pub fn on_info(&mut self, now: Millis, info: WorkerInfo) -> Option<Event> {
        self.last_answer = now;
        self.last_call = now;
        let known = self.info.as_ref() == Some(&info) && !self.is_suspected();
        self.liveness = Liveness::Alive;
        self.info = Some(info.clone());
        (!known && !self.leaving).then_some(Event::WorkerUp { worker: info })
    }

    /// Updates whether the worker is leaving according to the VM list and returns the event for the
    /// plan.
    pub fn set_leaving(&mut self, leaving: bool) -> Option<Event> {
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

    /// Discards the description and the tasks of a machine that was replaced by another one of the
    /// same name.
    pub fn forget_machine(&mut self) {
        self.info = None;
        self.tasks.clear();
    }

    fn leaving_event(&self) -> Event {
        Event::WorkerLeaving {
            worker: self.name.clone(),
        }
    }

    /// Processes the failure of a call: queues its orders again, except those that newer orders
    /// replace.
    pub fn on_failure(&mut self) {
        self.in_flight_renew.clear();
        let newer = std::mem::take(&mut self.outbox);
        self.outbox = std::mem::take(&mut self.in_flight);
        for order in newer {
            self.push(order);
        }
    }

    /// Updates the liveness of a silent worker and returns the event for the plan.
    ///
    /// A suspected worker gets no new work. It counts as lost when the leases of its tasks have
    /// certainly lapsed.
    pub fn check_silence(&mut self, now: Millis) -> Option<Event> {
        match self.liveness {
            Liveness::Alive if now.since(self.last_answer) >= self.cfg.suspect_ms => {
                self.liveness = Liveness::Suspected;
                Some(self.leaving_event())
            }
            Liveness::Suspected if now >= self.lost_at() => {
                self.liveness = Liveness::Lost;
                self.outbox.clear();
                self.awaited = SortedMap::default();
                self.reported = SortedMap::default();
                Some(Event::WorkerLost {
                    worker: self.name.clone(),
                })
            }
            _ => None,
        }
    }

    /// Returns the time at which all leases of a silent worker have certainly lapsed.
    fn lost_at(&self) -> Millis {
        let former = if self.is_fenced {
            Millis::ZERO
        } else {
            self.former_end
        };
        self.last_renewal.max(former) + self.cfg.task_lease_ms + LEASE_MARGIN
    }

    /// Processes the answer to a call and returns the events for the plan.
    pub fn on_answer(&mut self, now: Millis, tasks: Vec<TaskReport>) -> Vec<Event> {
        let silent = now.since(std::mem::replace(&mut self.last_answer, now));
        self.is_fenced = true;
        let ordered = std::mem::take(&mut self.in_flight);
        let renewed = std::mem::take(&mut self.in_flight_renew);
        self.tasks = tasks;
        let has_restarted = self.has_lost_its_tasks(&renewed);
        let mut attempts: Vec<Attempt> = self.tasks.iter().map(|t| t.attempt.clone()).collect();
        attempts.extend(renewed);
        attempts.sort();
        attempts.dedup();
        let mut events = Vec::new();
        if has_restarted {
            events.push(Event::WorkerRestarted {
                worker: self.name.clone(),
                silent,
            });
        }
        for attempt in &attempts {
            let had_order = ordered.iter().any(|o| o.attempt == *attempt);
            events.extend(self.event_for(attempt, had_order));
        }
        self.reported
            .retain(|a, _| attempts.binary_search(a).is_ok());
        let queued = &self.outbox;
        self.awaited.retain(|a, _| {
            attempts.binary_search(a).is_ok() || queued.iter().any(|o| o.attempt == *a)
        });
        self.update_poll_interval(now);
        events
    }

    /// Returns whether the last answer lists none of the tasks that ran before.
    fn has_lost_its_tasks(&self, renewed: &[Attempt]) -> bool {
        let ran = |a: &&Attempt| matches!(self.reported.get(*a), Some(Report::Running { .. }));
        self.tasks.is_empty() && renewed.iter().any(|a| ran(&a))
    }

    fn update_poll_interval(&mut self, now: Millis) {
        self.poll_interval = if self.awaited.is_empty() {
            self.cfg.renew_ms
        } else {
            let part = Millis(now.since(self.ordered_at).0 / POLLS_PER_WAIT);
            part.max(MIN_POLL).min(self.cfg.renew_ms)
        };
    }

    /// Returns the event for one attempt if its report has changed or the call had an order for it.
    fn event_for(&mut self, attempt: &Attempt, had_order: bool) -> Option<Event> {
        let members: Vec<&TaskReport> = self
            .tasks
            .iter()
            .filter(|t| t.attempt == *attempt)
            .collect();
        if members.is_empty() && self.outbox.iter().any(|o| o.attempt == *attempt) {
            return None;
        }
        let report = match combine(&members) {
            CombinedReport::Report(report) => report,
            CombinedReport::StopRunning(running) => {
                let orders: Vec<Order> = running.iter().map(|t| self.stop_order(t)).collect();
                for order in orders {
                    self.push(order);
                }
                return None;
            }
        };
        if self
            .awaited
            .get(attempt)
            .is_some_and(|a| is_result(*a, report))
        {
            self.awaited.remove(attempt);
        }
        let before = self.reported.insert(attempt.clone(), report);
        (had_order || before != Some(report)).then(|| Event::Member {
            attempt: attempt.clone(),
            worker: self.name.clone(),
            report,
        })
    }

    fn stop_order(&self, task: &TaskReport) -> Order {
        order_for(&self.name, task, Action::Stop { checkpoint: true })
    }
}

fn order_for(worker: &Name, task: &TaskReport, action: Action) -> Order {
    Order {
        attempt: task.attempt.clone(),
        member: Member {
            worker: worker.clone(),
            accelerators: task.accelerators,
        },
        action,
    }
}

enum CombinedReport {
    Report(Report),
    /// Some members failed or stopped while these still run.
    StopRunning(Vec<TaskReport>),
}

/// Combines the reports of all members of one attempt on one worker.
///
/// The plan frees the accelerators of all members at the first report of an end, so a failure or
/// stop is reported only when none of the members runs any more.
fn combine(tasks: &[&TaskReport]) -> CombinedReport {
    let any = |f: fn(&Report) -> bool| tasks.iter().any(|t| f(&t.report));
    let running = |r: &Report| matches!(r, Report::Running { .. });
    let ended_early =
        |r: &Report| matches!(r, Report::Failed | Report::NotHeld | Report::Stopped { .. });
    if tasks.is_empty() {
        return CombinedReport::Report(Report::NotHeld);
    }
    if any(running) && any(ended_early) {
        let rest = tasks.iter().filter(|t| running(&t.report));
        return CombinedReport::StopRunning(rest.map(|t| (*t).clone()).collect());
    }
    if any(|r| *r == Report::Failed) {
        return CombinedReport::Report(Report::Failed);
    }
    if any(|r| *r == Report::NotHeld) {
        return CombinedReport::Report(Report::NotHeld);
    }
    if any(ended_early) {
        let checkpoint = !any(|r| *r == Report::Stopped { checkpoint: false });
        return CombinedReport::Report(Report::Stopped { checkpoint });
    }
    if any(|r| *r == Report::Held) {
        return CombinedReport::Report(Report::Held);
    }
    let memory = |t: &&TaskReport| match t.report {
        Report::Running { memory_mb } => Some(memory_mb),
        _ => None,
    };
    match tasks.iter().filter_map(memory).max() {
        Some(memory_mb) => CombinedReport::Report(Report::Running { memory_mb }),
        None => CombinedReport::Report(Report::Done),
    }
}

fn ends_attempt(action: Action) -> bool {
    matches!(action, Action::Stop { .. } | Action::Release)
}

/// Returns whether the report shows the result of the order.
fn is_result(action: Action, report: Report) -> bool {
    match action {
        Action::Hold { .. } | Action::Throttle => true,
        Action::Go => report != Report::Held,
        Action::Stop { .. } | Action::Release => {
            !matches!(report, Report::Held | Report::Running { .. })
        }
    }
}
