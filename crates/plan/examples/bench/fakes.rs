//! The plan with a fake clock and fake workers that only answer orders.

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

/// Time until a worker answers an order.
const ANSWER: Millis = Millis(20);
/// Time until a worker took a checkpoint and stopped.
const STOP: Millis = Millis(1_000);

enum Due {
    Arrive,
    Tick,
    Answer(Event),
    End(Attempt),
}

struct Seen {
    rec: JobRecord,
    left: Millis,
    first_start: Option<Millis>,
}

/// One figure of a run.
pub struct Figure {
    pub name: String,
    pub value: f64,
}

pub struct Fakes<'a> {
    pub now: Millis,
    /// Whether it was a tick, and the processor time of the decision in microseconds.
    pub times: Vec<(bool, f64)>,
    pub arriving: bool,
    pub waiting: HashSet<JobKey>,
    pub open: usize,
    plan: Plan,
    site: &'a Site,
    fleet: Vec<WorkerInfo>,
    rng: fastrand::Rng,
    due: BTreeMap<(Millis, usize), Due>,
    next: usize,
    arrived: usize,
    jobs: HashMap<JobKey, Seen>,
    used: HashMap<Name, u32>,
    /// Utilisation, largest adjacent gang, and whether a waiting gang lacks only adjacency.
    samples: Vec<[f64; 3]>,
    stops: f64,
}

impl<'a> Fakes<'a> {
    pub fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let cfg = PlanCfg {
            policy,
            ..PlanCfg::default()
        };
        let mut fakes = Self {
            now: Millis::from_secs(1),
            times: Vec::new(),
            arriving: true,
            waiting: HashSet::new(),
            open: 0,
            plan: Plan::new(cfg),
            site,
            fleet: site.fleet(),
            rng: fastrand::Rng::with_seed(seed),
            due: BTreeMap::new(),
            next: 0,
            arrived: 0,
            jobs: HashMap::new(),
            used: HashMap::new(),
            samples: Vec::new(),
            stops: 0.0,
        };
        let config = site.config();
        check::check_config(&config, &fakes.fleet).expect("the guarantees fit");
        for worker in fakes.fleet.clone() {
            fakes.handle(Event::WorkerUp { worker });
        }
        fakes.handle(Event::Configured { config });
        fakes.at(Millis(0), Due::Tick);
        fakes.at(Millis(0), Due::Arrive);
        fakes
    }

    pub fn tasks(&self) -> usize {
        let running = self.jobs.values().filter(|s| s.rec.phase == Phase::Running);
        running.map(|s| s.rec.members.len()).sum()
    }

    fn at(&mut self, after: Millis, due: Due) {
        self.next += 1;
        self.due.insert((self.now + after, self.next), due);
    }

    pub fn step(&mut self) {
        let Some(((time, _), due)) = self.due.pop_first() else {
            return;
        };
        self.now = time;
        match due {
            Due::Tick => {
                self.handle(Event::Tick);
                self.at(Millis::from_secs(1), Due::Tick);
                if self.arriving && (time.0 / 1_000).is_multiple_of(60) {
                    self.sample();
                }
            }
            Due::Arrive if self.arriving => {
                self.arrive();
                let rate: f64 = self.site.rates().iter().sum();
                let wait = -(1.0 - self.rng.f64()).ln() / rate;
                self.at(Millis(wait as u64), Due::Arrive);
            }
            Due::Arrive => {}
            Due::Answer(event) => self.handle(event),
            Due::End(attempt) => self.end(&attempt),
        }
    }

    pub fn arrive(&mut self) {
        let (job, left) = self.site.job(&mut self.rng, self.arrived);
        self.arrived += 1;
        self.open += 1;
        let seen = Seen {
            rec: JobRecord::submitted(job.clone(), self.now),
            left,
            first_start: None,
        };
        self.jobs.insert(seen.rec.key(), seen);
        self.handle(Event::Submitted { job });
    }

    fn handle(&mut self, event: Event) {
        let tick = event == Event::Tick;
        let start = cpu_micros();
        let decision = self.plan.handle(self.now, event);
        self.times.push((tick, cpu_micros() - start));
        for rec in decision.records {
            self.note(rec);
        }
        for order in decision.orders {
            self.answer(order);
        }
    }

    fn note(&mut self, rec: JobRecord) {
        let seen = self.jobs.get_mut(&rec.key()).expect("the job arrived");
        for member in &seen.rec.members {
            *self.used.entry(member.worker.clone()).or_default() &= !member.accelerators;
        }
        for member in &rec.members {
            *self.used.entry(member.worker.clone()).or_default() |= member.accelerators;
        }
        self.waiting.remove(&rec.key());
        match rec.phase {
            Phase::Waiting => drop(self.waiting.insert(rec.key())),
            Phase::Running => drop(seen.first_start.get_or_insert(self.now)),
            Phase::Stopping => {
                self.stops += 1.0;
                seen.left = seen.left.since(self.now.since(rec.started_at));
            }
            phase if phase.is_final() => self.open -= 1,
            _ => {}
        }
        seen.rec = rec;
    }

    fn answer(&mut self, order: Order) {
        let (after, report) = match order.action {
            Action::Hold { .. } => (ANSWER, Report::Held),
            Action::Go => (ANSWER, Report::Running { memory_mb: 1 }),
            Action::Stop { checkpoint } => (STOP, Report::Stopped { checkpoint }),
            Action::Release | Action::Throttle => return,
        };
        let seen = &self.jobs[&order.attempt.job];
        if order.action == Action::Go && seen.rec.members.first() == Some(&order.member) {
            self.at(seen.left, Due::End(order.attempt.clone()));
        }
        let event = Event::Member {
            attempt: order.attempt,
            worker: order.member.worker,
            report,
        };
        self.at(after, Due::Answer(event));
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

    /// Notes the state once a minute; the largest adjacent gang is counted in whole workers.
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
        let lacks = f64::from(u8::from(fragmented));
        self.samples.push([used, f64::from(largest * 8), lacks]);
    }

    pub fn figures(&self) -> Vec<Figure> {
        let wait = |s: &Seen| s.first_start.unwrap_or(self.now).since(s.rec.submitted_at);
        let took = |s: &Seen| {
            let ended = s.rec.phase.is_final();
            let end = if ended { s.rec.ended_at } else { self.now };
            end.since(s.rec.submitted_at)
        };
        let list = |which: &dyn Fn(&Job) -> bool, of: &dyn Fn(&Seen) -> Millis| -> Vec<f64> {
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
            mean(&list(&|j| j.urgent, &took)),
        );
        add("completion of all mean, s", mean(&list(&|_| true, &took)));
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
            let list = list(&own, &took);
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

/// Processor time of this thread, which other load on the machine does not inflate.
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
