//! Compares the policies under the same load in a discrete-event simulation.
//!
//! The simulated servers have only slots, a short queue and a service time.
//! `cargo run --release -p route --example policies [-- overload]`

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque, thread};

use base::clock::Millis;
use hdrhistogram::Histogram;
use route::{
    admission::{AdmissionQueue, QueuedRequest},
    admission_cfg::AdmissionCfg,
    limits::{Limits, Policy},
    limits_cfg::LimitsCfg,
    outcome::{Load, Outcome, ServerId},
    retry::{FailedAttempt, RetryBudget, RetryDecision},
    retry_cfg::RetryCfg,
};
use schema::service::Class;

const ENTRIES: usize = 9;
const SERVERS: usize = 50;
const SLOTS: usize = 8;
const SERVER_QUEUE: usize = 16;
const MEAN_SERVICE_US: f64 = 50_000.0;
/// Network delay in one direction.
const ONE_WAY_US: u64 = 1_000;
const DEADLINE: Millis = Millis(1_000);
const EXCHANGE_INTERVAL_US: u64 = 200_000;
const TICK_INTERVAL_US: u64 = 50_000;
const WARM_UP_US: u64 = 2_000_000;
const END_US: u64 = 8_000_000;
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];
/// Requests per microsecond that all servers together complete.
const CAPACITY: f64 = (SERVERS * SLOTS) as f64 / MEAN_SERVICE_US;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    AllSound,
    OneSlow,
    OneFailsFast,
    UnevenLoad,
    StaleMembers,
    /// One request in ten fails on every server, after its full service time.
    PoisonRequests,
}

#[derive(Clone, Copy)]
struct Setup {
    policy: Policy,
    fault: Fault,
    load: f64,
    early_refusal: bool,
    budget: bool,
}

#[derive(Clone, Copy)]
enum Event {
    /// A new request arrives at an entry.
    Arrive,
    /// A request reaches its server.
    ReachServer(usize),
    /// A server has completed a request.
    Served(usize),
    /// An answer with the slots in use reaches the entry.
    Answer(usize, Outcome, u16),
    /// The deadline of an attempt has passed.
    Timeout(usize),
    Exchange,
    Tick,
}

struct Request {
    entry: usize,
    arrived_us: u64,
    deadline: Millis,
    poison: bool,
    tried: Vec<ServerId>,
    server: usize,
    sent: Millis,
    /// Whether an attempt is in flight.
    in_flight: bool,
}

#[derive(Default)]
struct Server {
    busy: usize,
    queue: VecDeque<usize>,
}

struct Entry {
    queue: AdmissionQueue,
    limits: Limits,
    retry_budget: RetryBudget,
    /// Requests to be retried, which take precedence over the admission queue.
    retry_queue: VecDeque<usize>,
}

struct Totals {
    arrived: u64,
    refused: u64,
    failed: u64,
    overruns: u64,
    good: u64,
    latency_us: Histogram<u64>,
}

struct Sim {
    setup: Setup,
    rng: fastrand::Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    pending: Vec<Event>,
    requests: Vec<Request>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    totals: Totals,
}

impl Sim {
    fn new(setup: Setup, seed: u64) -> Self {
        let ids: Vec<ServerId> = (0..SERVERS)
            .map(|i| format!("s{i}").parse().unwrap())
            .collect();
        let entries = (0..ENTRIES)
            .map(|i| Entry::new(setup, seed, i, &ids))
            .collect();
        Self {
            setup,
            rng: fastrand::Rng::with_seed(seed),
            now_us: 0,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            requests: Vec::new(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            entries,
            totals: Totals {
                arrived: 0,
                refused: 0,
                failed: 0,
                overruns: 0,
                good: 0,
                latency_us: Histogram::new(3).unwrap(),
            },
        }
    }

    fn run(mut self) -> Totals {
        self.after(0, Event::Arrive);
        self.after(0, Event::Exchange);
        self.after(0, Event::Tick);
        while let Some(Reverse((at, i))) = self.events.pop() {
            if at > END_US {
                break;
            }
            self.now_us = at;
            match self.pending[i] {
                Event::Arrive => self.arrive(),
                Event::ReachServer(id) => self.reach_server(id),
                Event::Served(id) => self.served(id),
                Event::Answer(id, outcome, used) => self.answer(id, outcome, Some(used)),
                Event::Timeout(id) => self.answer(id, Outcome::Broken, None),
                Event::Exchange => self.exchange(),
                Event::Tick => self.tick(),
            }
        }
        self.totals
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn after(&mut self, us: u64, event: Event) {
        let at = self.now_us + us;
        self.events.push(Reverse((at, self.pending.len())));
        self.pending.push(event);
    }

    fn exponential(&mut self, mean_us: f64) -> u64 {
        (-mean_us * (1.0 - self.rng.f64()).ln()) as u64
    }

    fn is_measured(&self, id: usize) -> bool {
        self.requests[id].arrived_us >= WARM_UP_US
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / (CAPACITY * self.setup.load));
        self.after(gap, Event::Arrive);
        let uneven = self.setup.fault == Fault::UnevenLoad && self.rng.bool();
        let entry = if uneven { 0 } else { self.rng.usize(..ENTRIES) };
        let id = self.requests.len();
        let poison = self.setup.fault == Fault::PoisonRequests && self.rng.usize(..10) == 0;
        let deadline = self.now() + DEADLINE;
        self.requests.push(Request {
            entry,
            arrived_us: self.now_us,
            deadline,
            poison,
            tried: Vec::new(),
            server: 0,
            sent: Millis::ZERO,
            in_flight: false,
        });
        self.totals.arrived += u64::from(self.is_measured(id));
        let request = QueuedRequest {
            id: id as u64,
            organisation: format!("org{}", self.rng.usize(..4)).parse().unwrap(),
            class: Class::Live,
            deadline,
            cost: 50,
        };
        let now = self.now();
        let e = &mut self.entries[entry];
        if e.queue.push(now, request).is_err() {
            self.totals.refused += u64::from(self.is_measured(id));
        }
        self.dispatch_waiting(entry);
    }

    fn dispatch_waiting(&mut self, entry: usize) {
        let now = self.now();
        loop {
            let e = &mut self.entries[entry];
            if !e.limits.has_available(now) {
                return;
            }
            if let Some(id) = e.retry_queue.front().copied()
                && self.retry(id)
            {
                continue;
            }
            let e = &mut self.entries[entry];
            let Some(next) = e.queue.pop(now) else {
                return;
            };
            e.retry_budget.record_request(now);
            let server = e.limits.pick(now, &[]).unwrap();
            self.send(next.id as usize, &server);
        }
    }

    /// Fails the first request to be retried if its deadline has passed, or else sends it to an
    /// available server that it has not tried; returns whether it left the retry queue.
    fn retry(&mut self, id: usize) -> bool {
        let now = self.now();
        let e = &mut self.entries[self.requests[id].entry];
        if now >= self.requests[id].deadline {
            e.retry_queue.pop_front();
            e.queue.finished(None);
            self.totals.failed += u64::from(self.is_measured(id));
            return true;
        }
        let Some(server) = e.limits.pick(now, &self.requests[id].tried) else {
            return false;
        };
        e.retry_queue.pop_front();
        self.send(id, &server);
        true
    }

    fn send(&mut self, id: usize, server: &ServerId) {
        let now = self.now();
        let index = server.as_str()[1..].parse().unwrap();
        let request = &mut self.requests[id];
        request.tried.push(server.clone());
        request.server = index;
        request.sent = now;
        request.in_flight = true;
        let left = request.deadline.since(now);
        self.entries[request.entry].limits.started(now, server);
        self.after(ONE_WAY_US, Event::ReachServer(id));
        self.after(left.0 * 1_000, Event::Timeout(id));
    }

    fn reach_server(&mut self, id: usize) {
        let index = self.requests[id].server;
        if self.setup.fault == Fault::OneFailsFast && index == 0 {
            return self.after(ONE_WAY_US, Event::Answer(id, Outcome::ServerError, 0));
        }
        if self.servers[index].busy < SLOTS {
            return self.serve(id, index);
        }
        self.totals.overruns += u64::from(self.is_measured(id));
        if self.servers[index].queue.len() >= SERVER_QUEUE {
            return self.after(ONE_WAY_US, Event::Answer(id, Outcome::NotRun, SLOTS as u16));
        }
        self.servers[index].queue.push_back(id);
    }

    fn serve(&mut self, id: usize, index: usize) {
        self.servers[index].busy += 1;
        let slow = self.setup.fault == Fault::OneSlow && index == 0;
        let took = self.exponential(if slow {
            MEAN_SERVICE_US * 10.0
        } else {
            MEAN_SERVICE_US
        });
        self.after(took, Event::Served(id));
    }

    fn served(&mut self, id: usize) {
        let index = self.requests[id].server;
        let used = self.servers[index].busy as u16;
        self.servers[index].busy -= 1;
        let failed = usize::from(self.requests[id].poison);
        let outcome = [Outcome::Answered, Outcome::ServerError][failed];
        self.after(ONE_WAY_US, Event::Answer(id, outcome, used));
        if let Some(next) = self.servers[index].queue.pop_front() {
            self.serve(next, index);
        }
    }

    fn answer(&mut self, id: usize, outcome: Outcome, used: Option<u16>) {
        let now = self.now();
        let request = &mut self.requests[id];
        // Ignores the timeout of an earlier attempt and the answer to an attempt that timed out.
        let is_obsolete_timeout = used.is_none() && now < request.deadline;
        if !request.in_flight || is_obsolete_timeout {
            return;
        }
        request.in_flight = false;
        let (entry, took) = (request.entry, now.since(request.sent));
        let deadline = request.deadline;
        let latency_us = self.now_us - request.arrived_us;
        let e = &mut self.entries[entry];
        let slots = SLOTS as u16;
        let load = used.map(|used| Load { used, slots });
        let server = self.requests[id].tried.last().unwrap();
        e.limits.finished(now, server, outcome, took, load);
        let attempt = FailedAttempt {
            repeatable: true,
            outcome,
            broken: 0,
            deadline,
            expected: e.queue.slow_service_time(),
        };
        if e.retry_budget.decide(now, attempt) == RetryDecision::Retry {
            e.retry_queue.push_back(id);
            return self.dispatch_waiting(entry);
        }
        e.queue.finished(Some(took));
        if self.is_measured(id) && outcome == Outcome::Answered {
            self.totals.good += 1;
            self.totals.latency_us.record(latency_us).unwrap();
        } else if self.is_measured(id) {
            self.totals.failed += 1;
        }
        self.dispatch_waiting(entry);
    }

    fn exchange(&mut self) {
        let now = self.now();
        for from in 0..ENTRIES {
            let counts = self.entries[from].limits.counts();
            for to in &mut self.entries {
                to.limits.set_peer_counts(now, from as u64 + 1, &counts);
            }
        }
        self.after(EXCHANGE_INTERVAL_US, Event::Exchange);
    }

    fn tick(&mut self) {
        let now = self.now();
        for entry in 0..ENTRIES {
            for expired in self.entries[entry].queue.take_expired(now) {
                self.totals.refused += u64::from(self.is_measured(expired.id as usize));
            }
            self.dispatch_waiting(entry);
        }
        self.after(TICK_INTERVAL_US, Event::Tick);
    }
}

impl Entry {
    fn new(setup: Setup, seed: u64, index: usize, servers: &[ServerId]) -> Self {
        let member_id = index as u64 + 1;
        let cfg = LimitsCfg {
            policy: setup.policy,
            ..LimitsCfg::default()
        };
        let mut limits = Limits::new(cfg, member_id, seed * 100 + member_id);
        let stale = setup.fault == Fault::StaleMembers && index == 0;
        let known = if stale { ENTRIES - 1 } else { ENTRIES };
        limits.set_members((1..=known as u64).collect());
        for server in servers {
            limits.add_server(server.clone());
        }
        let early_refusal = setup.early_refusal;
        let at_least = if setup.budget { 3 } else { u32::MAX };
        Self {
            queue: AdmissionQueue::new(AdmissionCfg {
                early_refusal,
                ..AdmissionCfg::default()
            }),
            limits,
            retry_queue: VecDeque::new(),
            retry_budget: RetryBudget::new(RetryCfg {
                at_least,
                ..RetryCfg::default()
            }),
        }
    }
}

fn report(setup: Setup) {
    let run = |seed: u64| thread::spawn(move || Sim::new(setup, seed).run());
    let mut all = Vec::new();
    for seeds in SEEDS.chunks(4) {
        let runs: Vec<_> = seeds.iter().map(|s| run(*s)).collect();
        all.extend(runs.into_iter().map(|r| r.join().unwrap()));
    }
    let spread = |f: &dyn Fn(&Totals) -> f64| {
        let values = all.iter().map(f);
        let (low, high) = values
            .clone()
            .fold((f64::MAX, 0.0), |(l, h), v| (v.min(l), v.max(h)));
        format!(
            "{:.1} ({low:.1}-{high:.1})",
            values.sum::<f64>() / all.len() as f64
        )
    };
    let ms = |q: f64| move |t: &Totals| t.latency_us.value_at_quantile(q) as f64 / 1_000.0;
    let share = |n: u64, t: &Totals| 100.0 * n as f64 / t.arrived as f64;
    let capacity = CAPACITY * (END_US - WARM_UP_US) as f64;
    println!(
        "| {:?} | {:.2} | {} | {} | {} | {} | {} | {} | {} |",
        setup.fault,
        setup.load,
        setup.policy,
        spread(&ms(0.5)),
        spread(&ms(0.99)),
        spread(&|t| share(t.refused, t)),
        spread(&|t| share(t.failed, t)),
        spread(&|t| share(t.overruns, t)),
        spread(&|t| 100.0 * t.good as f64 / capacity),
    );
}

fn main() {
    use Fault::{AllSound, OneFailsFast, OneSlow, PoisonRequests, StaleMembers, UnevenLoad};
    use Policy::{Exchange, ReportedLoad, StaticDivision, TwoChoices};
    let policies = [StaticDivision, TwoChoices, ReportedLoad, Exchange];
    println!(
        "| case | load | policy | p50 ms | p99 ms | refused % | failed % | overruns % | goodput % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let baseline = |policy, load| Setup {
        policy,
        fault: AllSound,
        load,
        early_refusal: true,
        budget: true,
    };
    if std::env::args().any(|a| a == "overload") {
        for policy in policies {
            report(baseline(policy, 1.0));
            report(baseline(policy, 3.0));
        }
        for policy in policies {
            for (early_refusal, budget) in [(true, true), (true, false), (false, true)] {
                println!("early refusal {early_refusal}, retry budget {budget}:");
                for load in [1.0, 3.0] {
                    let mut setup = baseline(policy, load);
                    setup.fault = PoisonRequests;
                    setup.early_refusal = early_refusal;
                    setup.budget = budget;
                    report(setup);
                }
            }
        }
        return;
    }
    for fault in [AllSound, OneSlow, OneFailsFast, UnevenLoad, StaleMembers] {
        for load in [0.5, 0.8, 0.95, 3.0] {
            for policy in policies {
                let mut setup = baseline(policy, load);
                setup.fault = fault;
                report(setup);
            }
        }
    }
}
