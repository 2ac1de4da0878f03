//! Tasks of one worker: holds, leases and stops, as a pure state machine.

use base::{clock::Millis, sorted::SortedMap};
use plan::{
    event::Report,
    order::{Action, Attempt, Order},
};

use crate::{
    worker::{OrdersAnswer, OrdersBody, Run, TaskReport},
    worker_cfg::{Behaviour, JobBehaviour, WorkerCfg},
};

/// One member of a gang on this worker: an attempt and its accelerators.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct TaskKey {
    attempt: Attempt,
    accelerators: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Held {
        until: Millis,
    },
    Running {
        started_at: Millis,
        ends_at: Millis,
        ends: Report,
        lease_until: Millis,
    },
    Stopping {
        started_at: Millis,
        until: Millis,
        checkpoint: bool,
    },
    Ended {
        report: Report,
        /// Fencing number of the last call whose answer carried the report; 0 before the first.
        told: u64,
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
pub(crate) struct Machine {
    pub(crate) cfg: WorkerCfg,
    pub(crate) behaviour: Behaviour,
    pub(crate) history: Vec<Run>,
    highest_fence: u64,
    tasks: SortedMap<TaskKey, Task>,
}

/// Refusal of a call with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Fenced {
    pub(crate) highest_fence: u64,
}

impl Machine {
    pub(crate) fn new(cfg: WorkerCfg) -> Self {
        Self {
            behaviour: cfg.behaviour.clone(),
            cfg,
            history: Vec::new(),
            highest_fence: 0,
            tasks: SortedMap::default(),
        }
    }

    /// Takes the orders of one call and reports on all tasks.
    pub(crate) fn orders(
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
        self.drop_ended(body);
        self.renew(now, body);
        for order in &body.orders {
            self.order(now, order, body.lease_ms);
        }
        self.advance(now);
        Ok(self.answer(now, body.fence))
    }

    /// Moves every task to its state at `now`.
    pub(crate) fn advance(&mut self, now: Millis) {
        let stop_ms = self.behaviour.stop_ms;
        for (key, task) in self.tasks.iter_mut() {
            if let Phase::Held { until } = task.phase
                && until <= now
            {
                task.phase = ended(Report::NotHeld);
            }
            if let Phase::Running {
                started_at,
                ends_at,
                ends,
                lease_until,
            } = task.phase
            {
                if ends_at <= now && ends_at <= lease_until {
                    task.phase = ended(ends);
                    close_run(&mut self.history, key, ends_at, ends);
                } else if lease_until <= now {
                    task.phase = Phase::Stopping {
                        started_at,
                        until: lease_until + stop_ms,
                        checkpoint: true,
                    };
                }
            }
            if let Phase::Stopping {
                until, checkpoint, ..
            } = task.phase
                && until <= now
            {
                let report = Report::Stopped { checkpoint };
                task.phase = ended(report);
                close_run(&mut self.history, key, until, report);
            }
        }
    }

    /// Drops ended tasks that this leader was told of and no longer lists.
    fn drop_ended(&mut self, body: &OrdersBody) {
        self.tasks.retain(|key, task| match task.phase {
            Phase::Ended { told, .. } => told != body.fence || body.renew.contains(&key.attempt),
            _ => true,
        });
    }

    fn renew(&mut self, now: Millis, body: &OrdersBody) {
        for (key, task) in self.tasks.iter_mut() {
            if let Phase::Running { lease_until, .. } = &mut task.phase
                && body.renew.contains(&key.attempt)
            {
                *lease_until = now + body.lease_ms;
            }
        }
    }

    fn order(&mut self, now: Millis, order: &Order, lease_ms: Millis) {
        let key = TaskKey {
            attempt: order.attempt.clone(),
            accelerators: order.member.accelerators,
        };
        match order.action {
            Action::Hold { cores, memory_mb } => self.hold(now, key, cores, memory_mb),
            Action::Go => self.go(now, key, lease_ms),
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
        let until = now + self.cfg.hold_ms;
        let known = self.tasks.get_mut(&key).map(|t| &mut t.phase);
        match known {
            Some(Phase::Held { until: u }) => return *u = until,
            None
            | Some(Phase::Ended {
                report: Report::NotHeld,
                ..
            }) => {}
            Some(_) => return,
        }
        let phase = if self.can_hold(&key, cores, memory_mb) {
            Phase::Held { until }
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

    fn can_hold(&self, key: &TaskKey, cores: u16, memory_mb: u32) -> bool {
        let info = &self.cfg.info;
        let all = 1_u64
            .checked_shl(info.accelerators.into())
            .unwrap_or(0)
            .wrapping_sub(1);
        let mask = u64::from(key.accelerators);
        if self.behaviour.refuses_holds || mask & !all != 0 || self.has_run(key) {
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

    /// Tells whether the task was started before; an attempt never starts twice.
    fn has_run(&self, key: &TaskKey) -> bool {
        let same = |r: &Run| r.attempt == key.attempt && r.accelerators == key.accelerators;
        self.history.iter().any(same)
    }

    fn go(&mut self, now: Millis, key: TaskKey, lease_ms: Millis) {
        let Some(task) = self.tasks.get_mut(&key) else {
            return self.end_unknown(key, Report::NotHeld);
        };
        if !matches!(task.phase, Phase::Held { .. }) {
            return;
        }
        let job = find_job(&self.behaviour, &key);
        let (run_ms, ends) = match job {
            _ if self.behaviour.fails_all => (Millis::ZERO, Report::Failed),
            Some(job) if job.fails => (job.run_ms, Report::Failed),
            Some(job) => (job.run_ms, Report::Done),
            None => (self.behaviour.run_ms, Report::Done),
        };
        task.phase = Phase::Running {
            started_at: now,
            ends_at: now + run_ms,
            ends,
            lease_until: now + lease_ms,
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
            None => self.end_unknown(key, Report::NotHeld),
            Some(task) => {
                if matches!(task.phase, Phase::Held { .. }) {
                    task.phase = ended(Report::NotHeld);
                }
            }
        }
    }

    fn stop(&mut self, now: Millis, key: TaskKey, checkpoint: bool) {
        let unstarted = Report::Stopped { checkpoint: false };
        let Some(task) = self.tasks.get_mut(&key) else {
            return self.end_unknown(key, unstarted);
        };
        match task.phase {
            Phase::Held { .. }
            | Phase::Ended {
                report: Report::NotHeld,
                ..
            } => task.phase = ended(unstarted),
            Phase::Running { started_at, .. } => {
                task.phase = Phase::Stopping {
                    started_at,
                    until: now + self.behaviour.stop_ms,
                    checkpoint,
                };
            }
            Phase::Stopping { .. } | Phase::Ended { .. } => {}
        }
    }

    /// Reports on a task that the worker does not know, so that the scheduler learns of it.
    fn end_unknown(&mut self, key: TaskKey, report: Report) {
        let task = Task {
            phase: ended(report),
            cores: 0,
            memory_mb: 0,
            throttled: false,
        };
        self.tasks.insert(key, task);
    }

    fn answer(&mut self, now: Millis, fence: u64) -> OrdersAnswer {
        let behaviour = &self.behaviour;
        let tasks = self.tasks.iter_mut().map(|(key, task)| {
            let report = match &mut task.phase {
                Phase::Held { .. } => Report::Held,
                Phase::Running { started_at, .. } | Phase::Stopping { started_at, .. } => {
                    let seen = now.since(behaviour.usage_lag_ms) >= *started_at;
                    let memory_mb = if seen { usage(behaviour, key, task) } else { 0 };
                    Report::Running { memory_mb }
                }
                Phase::Ended { report, told } => {
                    *told = fence;
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
    Phase::Ended { report, told: 0 }
}

fn find_job<'a>(behaviour: &'a Behaviour, key: &TaskKey) -> Option<&'a JobBehaviour> {
    behaviour
        .jobs
        .iter()
        .find(|j| j.job == key.attempt.job.name)
}

/// Memory in use, in MiB; a throttled task keeps to its declaration.
fn usage(behaviour: &Behaviour, key: &TaskKey, task: &Task) -> u32 {
    let wanted = find_job(behaviour, key).and_then(|j| j.memory_mb);
    let wanted = wanted.unwrap_or(task.memory_mb);
    if task.throttled {
        wanted.min(task.memory_mb)
    } else {
        wanted
    }
}

fn close_run(history: &mut [Run], key: &TaskKey, at: Millis, end: Report) {
    let open = history.iter_mut().rev().find(|r| {
        r.ended_at.is_none() && r.attempt == key.attempt && r.accelerators == key.accelerators
    });
    if let Some(run) = open {
        run.ended_at = Some(at);
        run.end = Some(end);
    }
}
