//! Tasks of one worker: a state machine of holds, leases and stops without I/O or a clock.

use base::{clock::Millis, sorted::SortedMap};
use plan::{
    event::Report,
    order::{Action, Attempt, Order},
};

use crate::{
    worker::{OrdersAnswer, OrdersBody, Run, TaskReport},
    worker_cfg::{Behaviour, JobBehaviour, WorkerCfg},
};

/// Identifies a task, which is one member of a gang, by its attempt and its accelerators.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TaskKey {
    attempt: Attempt,
    accelerators: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The resources are held, and the task is not started.
    Held { expires_at: Millis },
    Running {
        started_at: Millis,
        ends_at: Millis,
        /// Report on the task when it reaches `ends_at`.
        outcome: Report,
        lease_expires_at: Millis,
    },
    Stopping {
        started_at: Millis,
        stops_at: Millis,
        checkpoint: bool,
    },
    Ended {
        report: Report,
        /// Fencing token of the last call whose answer contained the report; 0 before the first.
        reported_fence: u64,
    },
}

#[derive(Clone, Debug)]
struct Task {
    phase: Phase,
    cores: u16,
    memory_mb: u32,
    throttled: bool,
}

/// State of one worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) cfg: WorkerCfg,
    pub(crate) behaviour: Behaviour,
    pub(crate) history: Vec<Run>,
    highest_fence: u64,
    tasks: SortedMap<TaskKey, Task>,
}

/// Refusal of a call whose fencing token is too old.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Fenced {
    pub(crate) highest_fence: u64,
}

impl WorkerState {
    pub(crate) fn new(cfg: WorkerCfg) -> Self {
        Self {
            behaviour: cfg.behaviour.clone(),
            cfg,
            history: Vec::new(),
            highest_fence: 0,
            tasks: SortedMap::default(),
        }
    }

    /// Renews leases, applies the orders of one call and reports on all tasks.
    pub(crate) fn apply_orders(
        &mut self,
        now: Millis,
        body: &OrdersBody,
    ) -> Result<OrdersAnswer, Fenced> {
        self.advance(now);
        if body.fence < self.highest_fence {
            return Err(Fenced {
                highest_fence: self.highest_fence,
            });
        }
        self.highest_fence = body.fence;
        self.remove_reported(body);
        self.renew_leases(now, body);
        for order in &body.orders {
            self.apply_order(now, order, body.lease_ms);
        }
        self.advance(now);
        Ok(self.answer(now, body.fence))
    }

    /// Applies the expiries and ends of tasks that are due at `now`.
    pub(crate) fn advance(&mut self, now: Millis) {
        let stop_ms = self.behaviour.stop_ms;
        for (key, task) in self.tasks.iter_mut() {
            if let Phase::Held { expires_at } = task.phase
                && expires_at <= now
            {
                task.phase = ended(Report::NotHeld);
            }
            if let Phase::Running {
                started_at,
                ends_at,
                outcome,
                lease_expires_at,
            } = task.phase
            {
                if ends_at <= now && ends_at <= lease_expires_at {
                    task.phase = ended(outcome);
                    end_run(&mut self.history, key, ends_at, outcome);
                } else if lease_expires_at <= now {
                    task.phase = Phase::Stopping {
                        started_at,
                        stops_at: lease_expires_at + stop_ms,
                        checkpoint: true,
                    };
                }
            }
            if let Phase::Stopping {
                stops_at,
                checkpoint,
                ..
            } = task.phase
                && stops_at <= now
            {
                let report = Report::Stopped { checkpoint };
                task.phase = ended(report);
                end_run(&mut self.history, key, stops_at, report);
            }
        }
    }

    /// Removes ended tasks whose report was sent to this scheduler and that it no longer lists in
    /// `renew`.
    fn remove_reported(&mut self, body: &OrdersBody) {
        self.tasks.retain(|key, task| match task.phase {
            Phase::Ended { reported_fence, .. } => {
                reported_fence != body.fence || body.renew.contains(&key.attempt)
            }
            _ => true,
        });
    }

    fn renew_leases(&mut self, now: Millis, body: &OrdersBody) {
        for (key, task) in self.tasks.iter_mut() {
            if let Phase::Running {
                lease_expires_at, ..
            } = &mut task.phase
                && body.renew.contains(&key.attempt)
            {
                *lease_expires_at = now + body.lease_ms;
            }
        }
    }

    fn apply_order(&mut self, now: Millis, order: &Order, lease_ms: Millis) {
        let key = TaskKey {
            attempt: order.attempt.clone(),
            accelerators: order.member.accelerators,
        };
        match order.action {
            Action::Hold { cores, memory_mb } => self.hold(now, key, cores, memory_mb),
            Action::Go => self.start(now, key, lease_ms),
            Action::Release => self.release(key),
            Action::Stop { checkpoint } => self.stop(now, key, checkpoint),
            Action::Throttle => {
                if let Some(task) = self.tasks.get_mut(&key) {
                    task.throttled = true;
                }
            }
        }
    }

    fn hold(&mut self, now: Millis, key: TaskKey, cores: u16, memory_mb: u32) {
        let hold_end = now + self.cfg.hold_ms;
        let phase = self.tasks.get_mut(&key).map(|t| &mut t.phase);
        match phase {
            Some(Phase::Held { expires_at }) => return *expires_at = hold_end,
            None
            | Some(Phase::Ended {
                report: Report::NotHeld,
                ..
            }) => {}
            Some(_) => return,
        }
        let phase = if self.can_hold(&key, cores, memory_mb) {
            Phase::Held {
                expires_at: hold_end,
            }
        } else {
            ended(Report::NotHeld)
        };
        let task = Task {
            phase,
            cores,
            memory_mb,
            throttled: false,
        };
        self.tasks.insert(key, task);
    }

    /// Returns whether the accelerators, cores and memory exist and are free.
    fn can_hold(&self, key: &TaskKey, cores: u16, memory_mb: u32) -> bool {
        let info = &self.cfg.info;
        let existing = 1_u64
            .checked_shl(info.accelerators.into())
            .unwrap_or(0)
            .wrapping_sub(1);
        let requested = u64::from(key.accelerators);
        if self.behaviour.refuses_holds || requested & !existing != 0 || self.was_started(key) {
            return false;
        }
        let active = |t: &&(&TaskKey, &Task)| !matches!(t.1.phase, Phase::Ended { .. });
        let active: Vec<_> = self.tasks.iter().filter(|t| active(&t)).collect();
        let used_cores: u32 = active.iter().map(|t| u32::from(t.1.cores)).sum();
        let used_memory: u64 = active.iter().map(|t| u64::from(t.1.memory_mb)).sum();
        active
            .iter()
            .all(|t| t.0.accelerators & key.accelerators == 0)
            && used_cores + u32::from(cores) <= u32::from(info.cores)
            && used_memory + u64::from(memory_mb) <= u64::from(info.memory_mb)
    }

    /// Returns whether the task was started before; a task never starts twice.
    fn was_started(&self, key: &TaskKey) -> bool {
        let is_same = |r: &Run| r.attempt == key.attempt && r.accelerators == key.accelerators;
        self.history.iter().any(is_same)
    }

    fn start(&mut self, now: Millis, key: TaskKey, lease_ms: Millis) {
        let Some(task) = self.tasks.get_mut(&key) else {
            return self.insert_ended(key, Report::NotHeld);
        };
        if !matches!(task.phase, Phase::Held { .. }) {
            return;
        }
        let job = find_job(&self.behaviour, &key);
        let (run_ms, outcome) = match job {
            _ if self.behaviour.fails_all => (Millis::ZERO, Report::Failed),
            Some(job) if job.fails => (job.run_ms, Report::Failed),
            Some(job) => (job.run_ms, Report::Done),
            None => (self.behaviour.run_ms, Report::Done),
        };
        task.phase = Phase::Running {
            started_at: now,
            ends_at: now + run_ms,
            outcome,
            lease_expires_at: now + lease_ms,
        };
        self.history.push(Run {
            attempt: key.attempt,
            accelerators: key.accelerators,
            started_at: now,
            ended_at: None,
            end: None,
        });
    }

    fn release(&mut self, key: TaskKey) {
        match self.tasks.get_mut(&key) {
            None => self.insert_ended(key, Report::NotHeld),
            Some(task) => {
                if matches!(task.phase, Phase::Held { .. }) {
                    task.phase = ended(Report::NotHeld);
                }
            }
        }
    }

    fn stop(&mut self, now: Millis, key: TaskKey, checkpoint: bool) {
        let not_started = Report::Stopped { checkpoint: false };
        let Some(task) = self.tasks.get_mut(&key) else {
            return self.insert_ended(key, not_started);
        };
        match task.phase {
            Phase::Held { .. }
            | Phase::Ended {
                report: Report::NotHeld,
                ..
            } => task.phase = ended(not_started),
            Phase::Running { started_at, .. } => {
                task.phase = Phase::Stopping {
                    started_at,
                    stops_at: now + self.behaviour.stop_ms,
                    checkpoint,
                };
            }
            Phase::Stopping { .. } | Phase::Ended { .. } => {}
        }
    }

    /// Records an unknown task as ended, so that the scheduler gets a report on it.
    fn insert_ended(&mut self, key: TaskKey, report: Report) {
        let task = Task {
            phase: ended(report),
            cores: 0,
            memory_mb: 0,
            throttled: false,
        };
        self.tasks.insert(key, task);
    }

    /// Returns the reports on all tasks and notes which ended tasks were reported.
    fn answer(&mut self, now: Millis, fence: u64) -> OrdersAnswer {
        let behaviour = &self.behaviour;
        let tasks = self.tasks.iter_mut().map(|(key, task)| {
            let report = match &mut task.phase {
                Phase::Held { .. } => Report::Held,
                Phase::Running { started_at, .. } | Phase::Stopping { started_at, .. } => {
                    let is_visible = now.since(behaviour.usage_lag_ms) >= *started_at;
                    let memory_mb = if is_visible {
                        memory_usage(behaviour, key, task)
                    } else {
                        0
                    };
                    Report::Running { memory_mb }
                }
                Phase::Ended {
                    report,
                    reported_fence,
                } => {
                    *reported_fence = fence;
                    *report
                }
            };
            TaskReport {
                attempt: key.attempt.clone(),
                accelerators: key.accelerators,
                report,
            }
        });
        OrdersAnswer {
            tasks: tasks.collect(),
        }
    }
}

fn ended(report: Report) -> Phase {
    Phase::Ended {
        report,
        reported_fence: 0,
    }
}

fn find_job<'a>(behaviour: &'a Behaviour, key: &TaskKey) -> Option<&'a JobBehaviour> {
    behaviour
        .jobs
        .iter()
        .find(|j| j.job == key.attempt.job.name)
}

/// Returns the memory in use, in MiB. A throttled task uses at most the declared memory.
fn memory_usage(behaviour: &Behaviour, key: &TaskKey, task: &Task) -> u32 {
    let unthrottled = find_job(behaviour, key).and_then(|j| j.memory_mb);
    let unthrottled = unthrottled.unwrap_or(task.memory_mb);
    if task.throttled {
        unthrottled.min(task.memory_mb)
    } else {
        unthrottled
    }
}

/// Records the end of the run of a task in the history.
fn end_run(history: &mut [Run], key: &TaskKey, ended_at: Millis, end: Report) {
    let unfinished = history.iter_mut().rev().find(|r| {
        r.ended_at.is_none() && r.attempt == key.attempt && r.accelerators == key.accelerators
    });
    if let Some(run) = unfinished {
        run.ended_at = Some(ended_at);
        run.end = Some(end);
    }
}
