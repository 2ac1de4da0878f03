//! Simulation of the plan with a fake clock and fake workers that only answer orders.

use std::collections::{BTreeMap, HashMap, HashSet};

use base::{clock::Millis, name::Name};
use plan::{
    check,
    event::{Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    plan_cfg::{PlanCfg, Policy},
    record::{JobKey, JobRecord},
    state::Plan,
};
use rustix::time::{ClockId, clock_gettime};
use schema::job::{Job, Phase};

use super::site::Site;

/// Delay until a worker answers an order.
const ANSWER_DELAY: Millis = Millis(20);
/// Delay until a worker has taken a checkpoint and stopped.
const STOP_DELAY: Millis = Millis(1_000);

enum Scheduled {
    Arrive,
    Tick,
    Answer(Event),
    End(Attempt),
}

struct TrackedJob {
    rec: JobRecord,
    run_time_left: Millis,
    first_start: Option<Millis>,
}

/// One measured value of a run.
pub struct Figure {
    pub name: String,
    pub value: f64,
}

pub struct Simulation<'a> {
    pub now: Millis,
    /// Whether the event was a tick, and the CPU time of the decision in microseconds.
    pub times: Vec<(bool, f64)>,
    pub arriving: bool,
    pub waiting: HashSet<JobKey>,
    pub open: usize,
    plan: Plan,
    site: &'a Site,
    fleet: Vec<WorkerInfo>,
    rng: fastrand::Rng,
    scheduled: BTreeMap<(Millis, usize), Scheduled>,
    next_sequence: usize,
    arrived: usize,
    jobs: HashMap<JobKey, TrackedJob>,
    used: HashMap<Name, u32>,
    /// Utilisation, size of the largest adjacent gang that fits, and whether a waiting gang lacks
    /// only adjacency.
    samples: Vec<[f64; 3]>,
    stops: f64,
}

impl<'a> Simulation<'a> {
    pub fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let cfg = PlanCfg {
            policy,
            ..PlanCfg::default()
        };
        let mut simulation = Self {
            now: Millis::from_secs(1),
            times: Vec::new(),
            arriving: true,
            waiting: HashSet::new(),
            open: 0,
            plan: Plan::new(cfg),
            site,
            fleet: site.fleet(),
            rng: fastrand::Rng::with_seed(seed),
            scheduled: BTreeMap::new(),
            next_sequence: 0,
            arrived: 0,
            jobs: HashMap::new(),
            used: HashMap::new(),
            samples: Vec::new(),
            stops: 0.0,
        };
        let config = site.config();
        check::check_config(&config, &simulation.fleet).expect("the guarantees fit");
        for worker in simulation.fleet.clone() {
            simulation.handle(Event::WorkerUp { worker });
        }
        simulation.handle(Event::Configured { config });
        simulation.schedule(Millis(0), Scheduled::Tick);
        simulation.schedule(Millis(0), Scheduled::Arrive);
        simulation
    }

    pub fn tasks(&self) -> usize {
        let running = self.jobs.values().filter(|s| s.rec.phase == Phase::Running);
        running.map(|s| s.rec.members.len()).sum()
    }

    fn schedule(&mut self, after: Millis, scheduled: Scheduled) {
        self.next_sequence += 1;
        self.scheduled
            .insert((self.now + after, self.next_sequence), scheduled);
    }

    pub fn step(&mut self) {
        let Some(((time, _), scheduled)) = self.scheduled.pop_first() else {
            return;
        };
        self.now = time;
        match scheduled {
            Scheduled::Tick => {
                self.handle(Event::Tick);
                self.schedule(Millis::from_secs(1), Scheduled::Tick);
                if self.arriving && (time.0 / 1_000).is_multiple_of(60) {
                    self.sample();
                }
            }
            Scheduled::Arrive if self.arriving => {
                self.arrive();
                let rate: f64 = self.site.rates().iter().sum();
                let wait = -(1.0 - self.rng.f64()).ln() / rate;
                self.schedule(Millis(wait as u64), Scheduled::Arrive);
            }
            Scheduled::Arrive => {}
            Scheduled::Answer(event) => self.handle(event),
            Scheduled::End(attempt) => self.end(&attempt),
        }
    }

    pub fn arrive(&mut self) {
        let (job, run_time_left) = self.site.job(&mut self.rng, self.arrived);
        self.arrived += 1;
        self.open += 1;
        let tracked = TrackedJob {
            rec: JobRecord::submitted(job.clone(), self.now),
            run_time_left,
            first_start: None,
        };
        self.jobs.insert(tracked.rec.key(), tracked);
        self.handle(Event::Submitted { job });
    }

    fn handle(&mut self, event: Event) {
        let tick = event == Event::Tick;
        let start = cpu_micros();
        let decision = self.plan.handle(self.now, event);
        self.times.push((tick, cpu_micros() - start));
        for rec in decision.records {
            self.record(rec);
        }
        for order in decision.orders {
            self.answer(order);
        }
    }

    fn record(&mut self, rec: JobRecord) {
        let tracked = self.jobs.get_mut(&rec.key()).expect("the job arrived");
        for member in &tracked.rec.members {
            *self.used.entry(member.worker.clone()).or_default() &= !member.accelerators;
        }
        for member in &rec.members {
            *self.used.entry(member.worker.clone()).or_default() |= member.accelerators;
        }
        self.waiting.remove(&rec.key());
        match rec.phase {
            Phase::Waiting => drop(self.waiting.insert(rec.key())),
            Phase::Running => drop(tracked.first_start.get_or_insert(self.now)),
            Phase::Stopping => {
                self.stops += 1.0;
                tracked.run_time_left = tracked.run_time_left.since(self.now.since(rec.started_at));
            }
            phase if phase.is_final() => self.open -= 1,
            _ => {}
        }
        tracked.rec = rec;
    }

    fn answer(&mut self, order: Order) {
        let (after, report) = match order.action {
            Action::Hold { .. } => (ANSWER_DELAY, Report::Held),
            Action::Go => (ANSWER_DELAY, Report::Running { memory_mb: 1 }),
            Action::Stop { checkpoint } => (STOP_DELAY, Report::Stopped { checkpoint }),
            Action::Release | Action::Throttle => return,
        };
        let tracked = &self.jobs[&order.attempt.job];
        if order.action == Action::Go && tracked.rec.members.first() == Some(&order.member) {
            self.schedule(tracked.run_time_left, Scheduled::End(order.attempt.clone()));
        }
        let event = Event::Member {
            attempt: order.attempt,
            worker: order.member.worker,
            report,
        };
        self.schedule(after, Scheduled::Answer(event));
    }

    fn end(&mut self, attempt: &Attempt) {
        let rec = &self.jobs[&attempt.job].rec;
        if rec.phase != Phase::Running || rec.attempt != attempt.attempt {
            return;
        }
        let mut workers: Vec<Name> = rec.members.iter().map(|m| m.worker.clone()).collect();
        workers.dedup();
        for worker in workers {
            self.handle(Event::Member {
                attempt: attempt.clone(),
                worker,
                report: Report::Done,
            });
        }
    }

    /// Samples the state once a minute; the largest adjacent gang is counted in whole workers.
    fn sample(&mut self) {
        let mut racks: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut free = 0;
        for worker in &self.fleet {
            let used = self
                .used
                .get(&worker.name)
                .map_or(0, |bits| bits.count_ones());
            free += 8 - used;
            *racks.entry(&worker.rack).or_default() += u32::from(used == 0);
        }
        let largest = racks.values().max().copied().unwrap_or(0);
        let gangs = self.waiting.iter().map(|key| &self.jobs[key].rec.job.shape);
        let fragmented = gangs
            .filter(|s| s.accelerators == 8)
            .any(|s| s.total_accelerators() <= free && u32::from(s.members) > largest);
        let used = 1.0 - f64::from(free) / (8.0 * self.fleet.len() as f64);
        let is_fragmented = f64::from(u8::from(fragmented));
        self.samples
            .push([used, f64::from(largest * 8), is_fragmented]);
    }

    pub fn figures(&self) -> Vec<Figure> {
        let wait = |s: &TrackedJob| s.first_start.unwrap_or(self.now).since(s.rec.submitted_at);
        let completion_time = |s: &TrackedJob| {
            let ended = s.rec.phase.is_final();
            let end = if ended { s.rec.ended_at } else { self.now };
            end.since(s.rec.submitted_at)
        };
        let list = |which: &dyn Fn(&Job) -> bool, of: &dyn Fn(&TrackedJob) -> Millis| -> Vec<f64> {
            let jobs = self.jobs.values().filter(|s| which(&s.rec.job));
            jobs.map(|s| of(s).0 as f64 / 1e3).collect()
        };
        let large = list(&|j| j.kind.as_str() == "large", &wait);
        let urgent = list(&|j| j.urgent, &wait);
        let sampled = |i: usize| mean(&self.samples.iter().map(|s| s[i]).collect::<Vec<_>>());
        let times: Vec<f64> = self.times.iter().map(|t| t.1).collect();
        let mut figures = Vec::new();
        let mut add = |name: &str, value| {
            let name = name.to_owned();
            figures.push(Figure { name, value });
        };
        add("wait of large gangs p95, s", percentile(&large, 0.95));
        add("share of time fragmented", sampled(2));
        add("largest adjacent gang, mean", sampled(1));
        add(
            "completion of live mean, s",
            mean(&list(&|j| j.urgent, &completion_time)),
        );
        add(
            "completion of all mean, s",
            mean(&list(&|_| true, &completion_time)),
        );
        add("wait of large gangs mean, s", mean(&large));
        add("urgent start p99, s", percentile(&urgent, 0.99));
        add("urgent start max, s", percentile(&urgent, 1.0));
        add("utilisation", sampled(0));
        add("stops of running jobs", self.stops);
        add("decision p50, us", percentile(&times, 0.5));
        add("decision p99, us", percentile(&times, 0.99));
        for (kind, org) in ["live", "batch", "large"]
            .iter()
            .flat_map(|k| ["org0", "org1", "org2", "org3"].map(|o| (*k, o)))
        {
            let own = |j: &Job| j.kind.as_str() == kind && j.organisation.as_str() == org;
            let list = list(&own, &completion_time);
            add(&format!("{kind} {org} completion mean, s"), mean(&list));
            add(
                &format!("{kind} {org} completion p50, s"),
                percentile(&list, 0.5),
            );
            add(
                &format!("{kind} {org} completion p95, s"),
                percentile(&list, 0.95),
            );
        }
        figures
    }
}

/// Returns the CPU time of this thread, which other load on the machine does not inflate.
fn cpu_micros() -> f64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as f64 * 1e6 + t.tv_nsec as f64 / 1e3
}

fn mean(list: &[f64]) -> f64 {
    list.iter().sum::<f64>() / (list.len() as f64).max(1.0)
}

pub fn percentile(list: &[f64], q: f64) -> f64 {
    let mut list = list.to_vec();
    list.sort_unstable_by(f64::total_cmp);
    let i = ((list.len() as f64 * q) as usize).min(list.len().saturating_sub(1));
    list.get(i).copied().unwrap_or(0.0)
}
