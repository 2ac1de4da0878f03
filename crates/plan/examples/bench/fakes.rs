//! The plan with a fake clock and fake workers that only answer orders.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    time::Instant,
};

use base::{clock::Millis, name::Name};
use plan::{
    event::{Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    plan_cfg::{PlanCfg, Policy},
    record::{JobKey, JobRecord},
    state::Plan,
};
use schema::job::Phase;

use super::{
    measure::{Result, mean, percentile},
    site::Site,
};

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
    run_time: Millis,
    left: Millis,
    first_start: Option<Millis>,
}

pub struct Fakes<'a> {
    pub now: Millis,
    pub decisions: Vec<u64>,
    pub submits: Vec<u64>,
    pub ticks: Vec<u64>,
    plan: Plan,
    site: &'a Site,
    fleet: Vec<WorkerInfo>,
    rng: fastrand::Rng,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    due: HashMap<u64, Due>,
    next: u64,
    arriving: bool,
    arrived: usize,
    jobs: HashMap<JobKey, Seen>,
    waiting: HashSet<JobKey>,
    open: usize,
    used: BTreeMap<Name, u32>,
    samples: Vec<(f64, f64, bool)>,
    stops: usize,
}

impl<'a> Fakes<'a> {
    pub fn new(site: &'a Site, policy: Policy, seed: u64) -> Self {
        let cfg = PlanCfg {
            policy,
            ..PlanCfg::default()
        };
        let mut fakes = Self {
            now: Millis::from_secs(1),
            decisions: Vec::new(),
            submits: Vec::new(),
            ticks: Vec::new(),
            plan: Plan::new(cfg),
            site,
            fleet: site.fleet(),
            rng: fastrand::Rng::with_seed(seed),
            heap: BinaryHeap::new(),
            due: HashMap::new(),
            next: 0,
            arriving: true,
            arrived: 0,
            jobs: HashMap::new(),
            waiting: HashSet::new(),
            open: 0,
            used: BTreeMap::new(),
            samples: Vec::new(),
            stops: 0,
        };
        plan::check::check_config(&site.config(), &fakes.fleet).expect("the guarantees fit");
        for worker in fakes.fleet.clone() {
            fakes.handle(Event::WorkerUp { worker });
        }
        let config = site.config();
        fakes.handle(Event::Configured { config });
        fakes.at(Millis(0), Due::Tick);
        fakes.at(Millis(0), Due::Arrive);
        fakes
    }

    pub fn stop_arrivals(&mut self) {
        self.arriving = false;
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn running_tasks(&self) -> usize {
        let running = self.jobs.values().filter(|s| s.rec.phase == Phase::Running);
        running.map(|s| s.rec.members.len()).sum()
    }

    fn at(&mut self, after: Millis, due: Due) {
        self.heap.push(Reverse((self.now + after, self.next)));
        self.due.insert(self.next, due);
        self.next += 1;
    }

    pub fn step(&mut self) {
        let Some(Reverse((time, id))) = self.heap.pop() else {
            return;
        };
        self.now = time;
        match self.due.remove(&id) {
            Some(Due::Tick) => {
                self.handle(Event::Tick);
                self.at(Millis::from_secs(1), Due::Tick);
                if (self.now.0 / 1_000).is_multiple_of(60) && self.arriving {
                    self.sample();
                }
            }
            Some(Due::Arrive) if self.arriving => {
                self.arrive();
                let wait = -self.site.interval() * (1.0 - self.rng.f64()).ln();
                self.at(Millis(wait as u64), Due::Arrive);
            }
            Some(Due::Answer(event)) => self.handle(event),
            Some(Due::End(attempt)) => self.end(&attempt),
            _ => {}
        }
    }

    pub fn arrive(&mut self) {
        let (job, run_time) = self.site.job(&mut self.rng, self.arrived);
        self.arrived += 1;
        let rec = JobRecord::submitted(job.clone(), self.now);
        let seen = Seen {
            rec,
            run_time,
            left: run_time,
            first_start: None,
        };
        self.jobs.insert(seen.rec.key(), seen);
        self.handle(Event::Submitted { job });
    }

    fn handle(&mut self, event: Event) {
        let (submit, tick) = (
            matches!(event, Event::Submitted { .. }),
            event == Event::Tick,
        );
        let start = Instant::now();
        let decision = self.plan.handle(self.now, event);
        let took = start.elapsed().as_nanos() as u64;
        self.decisions.push(took);
        if submit {
            self.submits.push(took);
        }
        if tick {
            self.ticks.push(took);
        }
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
        let was_open = seen.rec.attempt > 0 || seen.rec.phase != Phase::Waiting;
        match rec.phase {
            Phase::Waiting => drop(self.waiting.insert(rec.key())),
            Phase::Running => drop(seen.first_start.get_or_insert(self.now)),
            Phase::Stopping => {
                self.stops += 1;
                seen.left = seen.left.since(self.now.since(rec.started_at));
            }
            _ => {}
        }
        if rec.phase.is_final() {
            self.open -= 1;
        } else if !was_open && rec.submitted_at == self.now {
            self.open += 1;
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
        let first = self.jobs[&order.attempt.job].rec.members.first().cloned();
        if order.action == Action::Go && first.as_ref() == Some(&order.member) {
            let left = self.jobs[&order.attempt.job].left;
            self.at(left, Due::End(order.attempt.clone()));
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

    /// Notes utilisation, the largest adjacent gang of whole workers, and whether a waiting gang
    /// had enough free accelerators but no adjacent ones.
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
        let all = 8.0 * self.fleet.len() as f64;
        let sample = (
            1.0 - f64::from(free) / all,
            f64::from(largest * 8),
            fragmented,
        );
        self.samples.push(sample);
    }

    pub fn result(&self) -> Result {
        let jobs: Vec<&Seen> = self.jobs.values().collect();
        let of = |kind: &'static str| jobs.iter().filter(move |s| s.rec.job.kind.as_str() == kind);
        let secs = |ms: Millis| ms.0 as f64 / 1e3;
        let wait = |s: &&&Seen| {
            let start = s.first_start.unwrap_or(self.now);
            secs(start.since(s.rec.submitted_at))
        };
        let took = |s: &Seen| {
            let end = if s.rec.phase.is_final() {
                s.rec.ended_at
            } else {
                self.now
            };
            secs(end.since(s.rec.submitted_at))
        };
        let large: Vec<f64> = of("large").map(|s| wait(&s)).collect();
        let urgent: Vec<f64> = of("live").map(|s| wait(&s)).collect();
        let live: Vec<f64> = of("live").map(|s| took(s)).collect();
        let all: Vec<f64> = jobs.iter().map(|s| took(s)).collect();
        let samples = &self.samples;
        let share = samples.iter().map(|s| f64::from(u8::from(s.2)));
        let mut table = Vec::new();
        for kind in ["live", "batch", "large"] {
            for org in ["org0", "org1", "org2", "org3"] {
                let own = of(kind).filter(|s| s.rec.job.organisation.as_str() == org);
                let list: Vec<f64> = own.clone().map(|s| took(s)).collect();
                let ran: Vec<f64> = own.map(|s| secs(s.run_time)).collect();
                table.push(format!(
                    "{kind:5} {org} {:5} jobs, run {:7.0}, completion mean {:8.0} p50 {:8.0} p95 {:8.0}",
                    list.len(),
                    mean(&ran),
                    mean(&list),
                    percentile(list.clone(), 0.5),
                    percentile(list.clone(), 0.95),
                ));
            }
        }
        Result {
            large_wait_mean: mean(&large),
            large_wait_p95: percentile(large, 0.95),
            fragmented: mean(&share.collect::<Vec<_>>()),
            largest: mean(&samples.iter().map(|s| s.1).collect::<Vec<_>>()),
            live_mean: mean(&live),
            all_mean: mean(&all),
            urgent_p99: percentile(urgent, 0.99),
            utilisation: mean(&samples.iter().map(|s| s.0).collect::<Vec<_>>()),
            stops: self.stops as f64,
            decision_p99: percentile(
                self.decisions.iter().map(|n| *n as f64 / 1e3).collect(),
                0.99,
            ),
            table,
        }
    }
}
