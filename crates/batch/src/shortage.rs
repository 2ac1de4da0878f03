//! Order of waiting units by cost of delay while they need more room than there is.

use base::{clock::Millis, sorted::SortedMap};

use crate::{
    candidates::Candidates,
    delay_cost::{Delay, OverloadRules, SortKey, WaitingOrder},
    job::{Resources, Step, Text},
    open_job::Job,
    placement::Pass,
    ranking::{Timeliness, Unit},
    scheduler::JobScheduler,
};

/// Mean work of the open jobs of each queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct MeanWork {
    /// Sum of the work and number of jobs.
    by_queue: SortedMap<Text, (f64, f64)>,
}

impl MeanWork {
    pub(crate) fn of(&self, queue: &Text) -> f64 {
        self.by_queue.get(queue).map_or(0.0, |(sum, n)| sum / n)
    }
}

/// Time that a shortage lasts before it is logged. Shorter ones end with the next runs.
const LOG_AFTER: Millis = Millis(1_000);

/// Time in which a service has too little room for its waiting work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    since: Millis,
    is_logged: bool,
}

/// Room of a service, and what its waiting units need.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    free: Resources,
    wanted: Resources,
    /// Sum of the expected run times of the waiting subtasks.
    run_time: u64,
    subtasks: u64,
}

impl Shortage {
    fn log_end(&self, service: &Text, now: Millis) {
        if self.is_logged {
            let lasted_ms = now.since(self.since).0;
            log::info!(service:%, lasted_ms; "batch: room for all again");
        }
    }
}

impl Balance {
    fn is_short(&self) -> bool {
        !self.wanted.fits_in(self.free)
    }

    /// Returns the typical run time of the waiting subtasks.
    fn generation(&self) -> Millis {
        Millis(self.run_time / self.subtasks.max(1))
    }
}

impl JobScheduler {
    /// Sets the rules that apply while waiting work exceeds the free room.
    ///
    /// ```
    /// use batch::{delay_cost::OverloadRules, scheduler::JobScheduler};
    /// JobScheduler::default().set_overload_rules(OverloadRules::default());
    /// ```
    pub const fn set_overload_rules(&mut self, rules: OverloadRules) {
        self.overload_rules = rules;
    }

    /// Sorts the units of the services that have too little room for them by their cost of delay.
    pub(crate) fn order_by_cost(&mut self, units: &mut [Unit], pass: &mut Pass) {
        if self.overload_rules.order == WaitingOrder::Due {
            return;
        }
        let balances = self.balances(units, &pass.candidates);
        self.record_shortages(&balances, units, pass.now);
        if !balances.iter().any(|(_, b)| b.is_short()) {
            return;
        }
        let mean_work = pass.mean_work.get_or_insert_with(|| self.mean_work());
        for unit in units.iter_mut() {
            let Some(job) = self.jobs.get(&unit.job) else {
                continue;
            };
            let balance = balances.get(self.service_of(job)).copied();
            let Some(balance) = balance.filter(Balance::is_short) else {
                continue;
            };
            let delay = self.delay_of(unit, job, mean_work);
            if let Some(age) = unit.claimed {
                unit.rank.put_first(SortKey::of_claim(age));
            } else if delay.is_overdue() {
                unit.rank.put_first(SortKey::NONE);
            } else if !job.accepted.spec.steps[unit.step].endless {
                let order = self.overload_rules.order;
                unit.rank
                    .order_by(delay.sort_key(order, balance.generation()));
            }
        }
        units.sort_by_key(|u| u.rank);
    }

    /// Records which services have too little room, and logs the beginning and the end of longer
    /// shortages.
    fn record_shortages(
        &mut self,
        balances: &SortedMap<Text, Balance>,
        units: &[Unit],
        now: Millis,
    ) {
        let is_short = |name: &Text| balances.get(name).is_some_and(Balance::is_short);
        self.shortages.retain(|name, shortage| {
            let is_short = is_short(name);
            if !is_short {
                shortage.log_end(name, now);
            }
            is_short
        });
        for (name, balance) in balances.iter().filter(|(_, b)| b.is_short()) {
            if self.shortages.get(name).is_none() {
                let shortage = Shortage {
                    since: now,
                    is_logged: false,
                };
                self.shortages.insert(name.clone(), shortage);
            }
            let Some(shortage) = self.shortages.get_mut(name) else {
                continue;
            };
            if shortage.is_logged || now.since(shortage.since) < LOG_AFTER {
                continue;
            }
            shortage.is_logged = true;
            let count = |timeliness| {
                let units = units.iter().filter(|u| u.rank.timeliness() == timeliness);
                units.count()
            };
            log::info!(
                service:% = name, wanted:% = balance.wanted, free:% = balance.free,
                subtasks = balance.subtasks, run_time_ms = balance.generation().0,
                in_time = count(Timeliness::InTime), late = count(Timeliness::Late),
                too_late = count(Timeliness::TooLate);
                "batch: too little room"
            );
        }
    }

    /// Ends all shortages, because nothing waits.
    pub(crate) fn end_shortages(&mut self, now: Millis) {
        for (name, shortage) in self.shortages.iter_mut() {
            shortage.log_end(name, now);
        }
        self.shortages = SortedMap::default();
    }

    /// Returns what the cost of delay of a unit depends on.
    pub(crate) fn delay_of(&self, unit: &Unit, job: &Job, mean_work: &MeanWork) -> Delay {
        let run_times = self.expected_run_times(job);
        let occurrence = job
            .progress
            .occurrences
            .get(unit.tasks[0].occurrence as usize);
        let tasks = occurrence.into_iter().flat_map(|o| &o.steps);
        let steps = job.accepted.spec.steps.iter().zip(&run_times).zip(tasks);
        let left = steps.map(|((step, run_time), tasks)| {
            let waiting = tasks.iter().filter(|t| !t.done).count();
            work_of(step, *run_time) * waiting as f64
        });
        Delay {
            priority: unit.priority,
            took: unit.took,
            objective: unit.objective,
            work: work_of_job(job, &run_times),
            work_left: left.sum(),
            mean_work: mean_work.of(&job.accepted.queue),
            waited: unit.waited,
        }
    }

    /// Returns the mean work of the open jobs of each queue.
    pub(crate) fn mean_work(&self) -> MeanWork {
        let mut mean = MeanWork::default();
        for job in self.jobs.open() {
            let work = work_of_job(job, &self.expected_run_times(job));
            let (sum, n) = mean.by_queue.get_or_default(job.accepted.queue.clone());
            *sum += work;
            *n += 1.0;
        }
        mean
    }

    pub(crate) fn service_of<'a>(&'a self, job: &'a Job) -> &'a Text {
        let queue = self.config.queue(&job.accepted.queue);
        queue.map_or(&job.accepted.service, |q| &q.service)
    }

    fn balances(&self, units: &[Unit], candidates: &Candidates) -> SortedMap<Text, Balance> {
        let mut balances: SortedMap<Text, Balance> = SortedMap::default();
        for unit in units {
            let Some(job) = self.jobs.get(&unit.job) else {
                continue;
            };
            let step = &job.accepted.spec.steps[unit.step];
            let run_time = self.expected_run_time(&job.accepted.queue, step);
            let balance = balances.get_or_default(self.service_of(job).clone());
            let subtasks = unit.tasks.len() as u64;
            balance.wanted.add(step.reserved(), subtasks);
            balance.run_time += run_time.0 * subtasks;
            balance.subtasks += subtasks;
        }
        for (name, balance) in balances.iter_mut() {
            let service = candidates.service(name);
            let of_service = candidates.all.iter().filter(|c| Some(c.service) == service);
            for candidate in of_service.filter(|c| !c.is_held_off) {
                balance.free.add(candidate.free, 1);
            }
        }
        balances
    }
}

/// Returns the work of a subtask in core milliseconds. That of lasting work has no end.
fn work_of(step: &Step, run_time: Millis) -> f64 {
    if step.endless {
        return 0.0;
    }
    step.need.weight() as f64 * run_time.0 as f64 / 1_000.0
}

fn work_of_job(job: &Job, run_times: &[Millis]) -> f64 {
    let steps = job.accepted.spec.steps.iter().zip(run_times);
    let work = steps.map(|(step, run_time)| work_of(step, *run_time) * f64::from(step.count));
    work.sum()
}
