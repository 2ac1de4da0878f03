//! Calls to a policy service that handles those of one VM one after another.

mod fleet;

use std::{collections::BTreeMap, rc::Rc};

use base::clock::Millis;
use batch::{
    config::Policy,
    job::{Step, Text},
    policy::PolicyRequest,
    worker::{Order, Outcome},
};
use fleet::{Fleet, config, gang, starts, step};

/// Time between two events of a play.
const TICK: u64 = 10;
/// Time that a run takes.
const RUN: Millis = Millis(1_000);
/// Validity of the tickets.
const VALIDITY: Millis = Millis(3_000);
/// Time after the end of the traffic by which all accepted jobs must have run (`finish_s`).
const FINISH: Millis = Millis(14_000);
/// Time in which urgent work within its guarantee must start (`reclaim-ms`).
const RECLAIM: Millis = Millis(2_900);
const WORKERS: usize = 30;

/// A request at the service.
struct Call {
    request: PolicyRequest,
    sent: Millis,
    answered_at: Millis,
    /// Whether the caller still waits for the answer.
    is_awaited: bool,
    is_lost: bool,
}

/// Returns whether the service allows a worker: every second one.
fn is_allowed(worker: &str) -> bool {
    worker.ends_with(['0', '2', '4', '6', '8'])
}

/// A fleet, its policy service and its runs.
struct Play {
    fleet: Fleet,
    /// Factor by which the service takes longer than configured.
    slowness: u64,
    /// Whether calls are lost on their way.
    loses_calls: bool,
    free_at: Millis,
    calls: Vec<Call>,
    /// Runs with the times when they end.
    runs: Vec<(Order, Millis)>,
    /// Last end reported by each worker.
    ends: BTreeMap<Text, u64>,
    submitted: usize,
    started: BTreeMap<Text, Millis>,
}

impl Play {
    fn new(slowness: u64) -> Self {
        let mut config = config();
        for queue in &mut config.queues {
            queue.policy = Some(Policy {
                decision_time: Millis(200),
                time_per_worker: Millis(10),
                ticket_validity: VALIDITY,
            });
        }
        let mut fleet = Fleet::new(WORKERS);
        fleet.scheduler.configure(&Rc::new(config));
        Self {
            fleet,
            slowness,
            loses_calls: false,
            free_at: Millis::ZERO,
            calls: Vec::new(),
            runs: Vec::new(),
            ends: BTreeMap::new(),
            submitted: 0,
            started: BTreeMap::new(),
        }
    }

    fn submit(&mut self, step: Step) -> Text {
        self.submit_to(1, step)
    }

    fn submit_to(&mut self, priority: u32, step: Step) -> Text {
        let id: Text = format!("{:04}", self.submitted).into();
        self.submitted += 1;
        self.fleet.submit(&id, priority, step);
        id
    }

    /// Submits jobs at an even rate, in thousandths of a job a second.
    fn traffic(&mut self, rate: u64, ms: u64) {
        for _ in 0..rate * ms / 1_000_000 {
            self.submit(step(1, 1));
            self.run_for(1_000_000 / rate);
        }
    }

    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / TICK {
            self.tick();
        }
    }

    fn tick(&mut self) {
        let now = self.fleet.advance(TICK).now;
        self.report_ends(now);
        let calls = self.calls.iter_mut().filter(|c| c.is_awaited);
        for call in calls {
            let is_answered = call.answered_at <= now && !call.is_lost;
            if !is_answered && now.since(call.sent) < call.request.limit {
                continue;
            }
            call.is_awaited = false;
            let workers = call.request.workers.iter().map(|(id, _)| id);
            let allowed = workers.filter(|id| is_allowed(id));
            let allowed = allowed.map(|id| (id.clone(), "t".into()));
            let allowed: Vec<(Text, Text)> = allowed.collect();
            let answer = is_answered.then_some((&allowed[..], VALIDITY));
            let scheduler = &mut self.fleet.scheduler;
            scheduler.handle_policy_answer(&call.request, answer, call.sent, now);
        }
        for order in starts(&self.fleet.plan()) {
            self.fleet.take(&order);
            self.started.entry(order.task.job.clone()).or_insert(now);
            self.runs.push((order, now + RUN));
        }
        for request in self.fleet.scheduler.take_policy_requests() {
            let is_lost = self.loses_calls;
            if !is_lost {
                let processing = 200 + 10 * request.workers.len() as u64;
                self.free_at = self.free_at.max(now) + Millis(processing * self.slowness);
            }
            self.calls.push(Call {
                request,
                sent: now,
                answered_at: self.free_at,
                is_awaited: true,
                is_lost,
            });
        }
    }

    fn report_ends(&mut self, now: Millis) {
        let (ended, running): (Vec<_>, Vec<_>) = self.runs.drain(..).partition(|r| r.1 <= now);
        self.runs = running;
        for (order, _) in ended {
            let seq = self.ends.entry(order.worker.clone()).or_default();
            *seq += 1;
            let end = fleet::finished(&order, *seq, Outcome::Done);
            let on_worker = self.runs.iter().filter(|(o, _)| o.worker == order.worker);
            let on_worker: Vec<&Order> = on_worker.map(|(o, _)| o).collect();
            self.fleet.report(&order.worker, &on_worker, vec![end]);
        }
    }

    fn handled(&self) -> usize {
        let now = self.fleet.now;
        self.calls.iter().filter(|c| c.answered_at <= now).count()
    }
}

/// Guards against a congestion collapse: requests that were given up while the service still had
/// them in its queue were sent again, and after a burst no answer arrived in time any more.
#[test]
fn a_burst_of_requests_does_not_outlive_its_cause() {
    let mut play = Play::new(1);
    play.traffic(1_500, 6_000);
    play.traffic(3_900, 4_000);
    play.traffic(1_500, 10_000);
    play.run_for(FINISH.0);
    assert_eq!(
        play.started.len(),
        play.submitted,
        "jobs started of those submitted"
    );
    assert_eq!(play.handled(), play.submitted, "requests for these jobs");
}

/// Guards against jobs that never start because each answer of a slow service is thrown away.
#[test]
fn answers_of_a_slow_service_are_used() {
    let mut play = Play::new(10);
    for _ in 0..4 {
        play.submit(step(1, 1));
        play.run_for(8_000);
    }
    play.run_for(FINISH.0);
    assert_eq!(play.started.len(), play.submitted);
}

/// Guards against a lost call that keeps the calls for all other steps from being sent.
#[test]
fn a_lost_call_does_not_hold_up_the_others() {
    let mut play = Play::new(1);
    play.loses_calls = true;
    let first = play.submit(step(1, 1));
    let second = play.submit(step(1, 1));
    play.run_for(100);
    play.loses_calls = false;
    let sent = play.fleet.now;
    play.run_for(10_000);
    for job in [first, second] {
        let started = play.started.get(&job).map(|t| t.since(sent));
        // A call is late 2 s after its processing time of 0.5 s, and two more calls follow.
        assert!(started.is_some_and(|t| t <= Millis(3_600)), "{started:?}");
    }
}

/// Guards against a service that is kept busy for steps that can't be placed, with tickets that
/// expire before they can be used, while others wait for their first ticket.
#[test]
fn steps_that_wait_for_resources_are_requested_last() {
    let mut play = Play::new(1);
    for _ in 0..12 {
        // Needs all workers, of which the service allows half.
        play.submit(Step {
            estimate: Millis(50_000),
            ..gang(WORKERS as u32, 5)
        });
    }
    play.run_for(12_000);
    let mut waits = Vec::new();
    for _ in 0..5 {
        // A long estimate has a late objective, so that the job comes after the gangs.
        let job = play.submit(Step {
            estimate: Millis(100_000),
            ..step(1, 1)
        });
        let submitted = play.fleet.now;
        play.run_for(3_000);
        waits.push(play.started.get(&job).map(|t| t.since(submitted)));
    }
    let in_time = |w: &Option<Millis>| w.is_some_and(|w| w <= Millis(2_000));
    assert!(waits.iter().all(in_time), "{waits:?}");
}

/// Guards against an urgent step whose call waits in the service's queue behind those for other steps.
#[test]
fn an_urgent_step_does_not_wait_for_a_backlog_of_calls() {
    let mut play = Play::new(1);
    for _ in 0..60 {
        play.submit(step(1, 1));
    }
    play.run_for(20_000);
    let urgent = play.submit_to(0, step(1, 1));
    let submitted = play.fleet.now;
    play.run_for(10_000);
    let started = play.started[&urgent].since(submitted);
    assert!(started <= RECLAIM, "{started}");
}
