//! Crashes of workers that a job causes.

mod fleet;

use base::clock::Millis;
use fleet::{Fleet, job, name, shape, worker};
use plan::{
    event::{Event, Report},
    order::Attempt,
    plan_cfg::PlanCfg,
    record::{JobKey, JobRecord},
    state::Plan,
};
use schema::{config::Config, job::Phase, shape::Adjacency};

/// A plan with workers that carry out all orders.
struct Site {
    plan: Plan,
    fleet: Fleet,
    now: Millis,
}

impl Site {
    fn new(workers: usize) -> Self {
        let mut site = Self {
            plan: Plan::new(PlanCfg::default()),
            fleet: Fleet::default(),
            now: Millis(1_000),
        };
        for i in 0..workers {
            let worker = worker(i, 4);
            site.handle(Event::WorkerUp { worker });
        }
        site
    }

    /// Handles an event and everything that follows from it.
    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let orders = self.plan.handle(self.now, event).orders;
            let answers = orders
                .iter()
                .filter_map(|o| self.fleet.handle_order(self.now, o));
            events.extend(answers);
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now += Millis(ms);
        self.handle(Event::Tick);
    }

    fn submit(&mut self, title: &str, accelerators: u16) {
        let job = job("org", title, shape(1, accelerators, Adjacency::Rack));
        self.handle(Event::Submitted { job });
    }

    fn job(&self, title: &str) -> JobRecord {
        let key = JobKey {
            organisation: name("org"),
            name: name(title),
        };
        self.plan.job(&key).unwrap().clone()
    }

    /// Crashes the worker of a job; it was alive until now, and restarts after 3 s.
    fn crash_worker_of(&mut self, title: &str) {
        let worker = self.job(title).members[0].worker.clone();
        let alive_until = self.now;
        self.fleet.workers.remove(&worker);
        self.now += Millis(3_000);
        let running: Vec<Attempt> = self
            .plan
            .records()
            .filter(|r| r.members.iter().any(|m| m.worker == worker))
            .map(|r| Attempt {
                job: r.key(),
                attempt: r.attempt,
            })
            .collect();
        let crash = Event::WorkerRestarted {
            worker: worker.clone(),
            silent: self.now.since(alive_until),
        };
        self.handle(crash);
        for attempt in running {
            self.handle(Event::Member {
                attempt,
                worker: worker.clone(),
                report: Report::NotHeld,
            });
        }
    }
}

/// Guards against a job that crashes worker after worker and starts again each time.
#[test]
fn a_job_that_crashes_its_workers_fails() {
    let mut site = Site::new(4);
    site.submit("deadly", 2);
    for crashes in 1..=3 {
        assert_eq!(site.job("deadly").phase, Phase::Running, "{crashes}");
        site.advance(100);
        site.crash_worker_of("deadly");
    }
    let rec = site.job("deadly");
    assert_eq!(rec.phase, Phase::Failed);
    assert_eq!(rec.reason, "it crashes its workers");
}

/// Guards against giving up a job that only shares its worker with others that crash it.
#[test]
fn a_neighbour_of_jobs_that_crash_its_worker_runs_on() {
    let mut site = Site::new(1);
    site.submit("neighbour", 2);
    for round in 0..8 {
        site.advance(10_000);
        let deadly = format!("deadly-{round}");
        site.submit(&deadly, 2);
        site.advance(100);
        site.crash_worker_of(&deadly);
        let job = site.job(&deadly).key();
        site.handle(Event::CancelAsked { job });
        site.advance(5_000);
        assert_eq!(site.job("neighbour").phase, Phase::Running, "{round}");
    }
    assert_eq!(site.job("neighbour").crash_weight, 0);
}

/// Guards against giving up a long job whose workers crash now and then.
#[test]
fn rare_crashes_under_a_long_job_have_little_weight() {
    let mut site = Site::new(4);
    site.submit("long", 8);
    for _ in 0..5 {
        site.advance(3_600_000);
        site.crash_worker_of("long");
        site.advance(5_000);
        assert_eq!(site.job("long").phase, Phase::Running);
    }
}

/// Guards against a long job that is blamed for a crash right after a change of leader as if it had
/// just started.
#[test]
fn a_crash_after_a_restore_counts_the_run_time_before_it() {
    let mut site = Site::new(4);
    site.submit("long", 8);
    site.advance(3_600_000);
    let records: Vec<JobRecord> = site.plan.records().cloned().collect();
    site.plan = Plan::restore(PlanCfg::default(), Config::default(), records, site.now);
    for i in 0..4 {
        let worker = worker(i, 4);
        site.handle(Event::WorkerUp { worker });
    }
    site.advance(500);
    site.crash_worker_of("long");
    assert_eq!(site.job("long").crash_weight, 1);
}
