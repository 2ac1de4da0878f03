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
        self.crash_workers_of(&[title]);
    }

    /// Crashes the workers of jobs at the same time.
    fn crash_workers_of(&mut self, titles: &[&str]) {
        let members = titles.iter().flat_map(|title| self.job(title).members);
        let workers: Vec<_> = members.map(|m| m.worker).collect();
        let alive_until = self.now;
        for worker in &workers {
            self.fleet.workers.remove(worker);
        }
        self.now += Millis(3_000);
        let silent = self.now.since(alive_until);
        for worker in workers.clone() {
            self.handle(Event::WorkerRestarted { worker, silent });
        }
        for worker in workers {
            let running: Vec<Attempt> = self
                .plan
                .records()
                .filter(|r| r.members.iter().any(|m| m.worker == worker))
                .map(|r| Attempt {
                    job: r.key(),
                    attempt: r.attempt,
                })
                .collect();
            for attempt in running {
                self.handle(Event::Member {
                    attempt,
                    worker: worker.clone(),
                    report: Report::NotHeld,
                });
            }
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

/// Returns the weight that a crash has for a job that had just started, beside crashes of workers with
/// older jobs.
fn weight_beside(others: &[&str]) -> u32 {
    let mut site = Site::new(8);
    for other in others {
        site.submit(other, 8);
    }
    site.advance(10_000);
    site.submit("new", 8);
    site.advance(100);
    // The order of the events does not matter.
    let (before, after) = others.split_at(others.len() / 2);
    site.crash_workers_of(&[before, &["new"], after].concat());
    for other in others {
        let weight = site.job(other).crash_weight;
        assert!(weight <= 1, "{other}: {weight}");
    }
    site.job("new").crash_weight
}

/// Guards against a job that is given up because it starts again and again as many workers crash.
#[test]
fn an_outage_of_many_workers_has_no_weight() {
    assert_eq!(weight_beside(&["a", "b", "c"]), 0);
    assert_eq!(weight_beside(&["a", "b"]), 2);
}

/// Guards against deadly jobs that are taken for innocent because they crash their workers together.
#[test]
fn jobs_that_start_and_crash_together_keep_their_weight() {
    let mut site = Site::new(8);
    let jobs = ["a", "b", "c", "d"];
    for job in jobs {
        site.submit(job, 8);
    }
    site.advance(100);
    site.crash_workers_of(&jobs);
    for job in jobs {
        assert_eq!(site.job(job).crash_weight, 2, "{job}");
    }
}

#[test]
fn a_gang_that_crashes_all_of_its_workers_keeps_its_weight() {
    let mut site = Site::new(4);
    let job = job("org", "gang", shape(4, 8, Adjacency::Rack));
    site.handle(Event::Submitted { job });
    site.advance(10_000);
    site.crash_workers_of(&["gang"]);
    assert_eq!(site.job("gang").crash_weight, 4, "one for each worker");
}

/// Guards against a deadly job that is taken for innocent because workers crash at other times.
#[test]
fn crashes_at_other_times_clear_no_job() {
    let mut site = Site::new(8);
    let others = ["a", "b", "c"];
    for other in others {
        site.submit(other, 8);
    }
    site.advance(10_000);
    site.crash_workers_of(&others);
    site.submit("new", 8);
    site.advance(100);
    site.crash_worker_of("new");
    assert_eq!(site.job("new").crash_weight, 2);
}
