//! Life cycle of one gang, and recovery after a crash between any two steps.

mod fleet;

use base::clock::Millis;
use fleet::{Fleet, job, name, shape, worker};
use plan::{
    event::{Decision, Event, Report},
    order::{Action, Attempt},
    plan_cfg::PlanCfg,
    record::JobKey,
    state::Plan,
};
use schema::{config::Config, job::Phase, shape::Adjacency};

fn plan_with(workers: usize) -> Plan {
    let mut plan = Plan::new(PlanCfg::default());
    for i in 0..workers {
        let worker = worker(i, 4);
        plan.handle(Millis(1), Event::WorkerUp { worker });
    }
    plan
}

fn key(title: &str) -> JobKey {
    JobKey {
        organisation: name("org"),
        name: name(title),
    }
}

fn phase(plan: &Plan, title: &str) -> Phase {
    plan.job(&key(title)).unwrap().phase
}

fn submit(plan: &mut Plan, title: &str, members: u16, accelerators: u16) -> Decision {
    let job = job("org", title, shape(members, accelerators, Adjacency::Rack));
    plan.handle(Millis(10), Event::Submitted { job })
}

fn deliver(plan: &mut Plan, fleet: &mut Fleet, decision: Decision, now: Millis) -> Vec<Action> {
    let mut actions = Vec::new();
    let mut orders = decision.orders;
    while !orders.is_empty() {
        let events: Vec<Event> = orders
            .iter()
            .filter_map(|o| fleet.handle_order(now, o))
            .collect();
        actions.extend(orders.iter().map(|o| o.action));
        orders = events
            .into_iter()
            .flat_map(|event| plan.handle(now, event).orders)
            .collect();
    }
    actions
}

fn reported(title: &str, attempt: u32, worker: &str, report: Report) -> Event {
    let job = key(title);
    Event::Member {
        attempt: Attempt { job, attempt },
        worker: name(worker),
        report,
    }
}

/// Guards against a gang that never starts, or starts before all members hold.
#[test]
fn a_gang_holds_then_runs_then_ends() {
    let (mut plan, mut fleet) = (plan_with(4), Fleet::default());
    let decision = submit(&mut plan, "a", 3, 8);
    assert_eq!(phase(&plan, "a"), Phase::Holding);
    let actions = deliver(&mut plan, &mut fleet, decision, Millis(20));
    let go = actions.iter().position(|a| *a == Action::Go).unwrap();
    assert_eq!(go, 3, "go comes after all three holds");
    assert_eq!(phase(&plan, "a"), Phase::Running);
    let attempt = Attempt {
        job: key("a"),
        attempt: 1,
    };
    for event in fleet.end_tasks(&attempt, Report::Done) {
        plan.handle(Millis(30), event);
    }
    assert_eq!(phase(&plan, "a"), Phase::Done);
}

/// Guards against a gang that keeps running after the loss of a member.
#[test]
fn a_lost_member_stops_the_gang_in_the_same_decision() {
    let (mut plan, mut fleet) = (plan_with(4), Fleet::default());
    let decision = submit(&mut plan, "a", 3, 8);
    deliver(&mut plan, &mut fleet, decision, Millis(20));
    let lost = plan.job(&key("a")).unwrap().members[0].worker.clone();
    let decision = plan.handle(Millis(30), Event::WorkerLost { worker: lost });
    assert_eq!(phase(&plan, "a"), Phase::Stopping);
    let stops = decision.orders.iter();
    assert_eq!(
        stops
            .filter(|o| matches!(o.action, Action::Stop { .. }))
            .count(),
        2
    );
    deliver(&mut plan, &mut fleet, decision, Millis(40));
    let rec = plan.job(&key("a")).unwrap();
    assert_eq!((rec.phase, rec.attempt), (Phase::Running, 2));
}

/// Guards against a gang that stays half started because the old lease holder crashed before it
/// sent `Go`.
#[test]
fn a_new_holder_sends_go_again() {
    let mut plan = plan_with(2);
    submit(&mut plan, "a", 2, 8);
    plan.handle(Millis(11), reported("a", 1, "w0", Report::Held));
    plan.handle(Millis(12), reported("a", 1, "w1", Report::Held));
    let records = plan.records().cloned().collect();
    let mut plan = Plan::restore(PlanCfg::default(), Config::default(), records, Millis(50));
    let worker = worker(1, 4);
    let decision = plan.handle(Millis(60), Event::WorkerUp { worker });
    assert_eq!(decision.orders[0].action, Action::Go);
    assert_eq!(decision.orders[0].attempt.attempt, 1);
}

/// Guards against accelerators that stay allocated to an attempt the plan does not know.
#[test]
fn an_unknown_attempt_is_released_or_stopped() {
    let mut plan = plan_with(1);
    let held = plan.handle(Millis(11), reported("x", 4, "w0", Report::Held));
    assert_eq!(held.orders[0].action, Action::Release);
    let running = reported("x", 4, "w0", Report::Running { memory_mb: 1 });
    let running = plan.handle(Millis(11), running);
    assert_eq!(running.orders[0].action, Action::Stop { checkpoint: false });
}

/// Guards against a cancelled job that starts, or whose capacity is reused while it runs.
#[test]
fn a_cancelled_gang_stops_and_never_starts_again() {
    let (mut plan, mut fleet) = (plan_with(1), Fleet::default());
    let decision = submit(&mut plan, "a", 1, 8);
    deliver(&mut plan, &mut fleet, decision, Millis(20));
    submit(&mut plan, "b", 1, 8);
    let decision = plan.handle(Millis(30), Event::CancelAsked { job: key("a") });
    assert_eq!(
        phase(&plan, "b"),
        Phase::Waiting,
        "the stop is not confirmed"
    );
    deliver(&mut plan, &mut fleet, decision, Millis(40));
    assert_eq!(phase(&plan, "a"), Phase::Cancelled);
    assert_ne!(phase(&plan, "b"), Phase::Waiting);
}

/// Guards against a late report of an earlier attempt that ends the current one.
#[test]
fn a_report_of_an_earlier_attempt_changes_nothing() {
    let (mut plan, mut fleet) = (plan_with(1), Fleet::default());
    submit(&mut plan, "a", 1, 8);
    let decision = plan.handle(Millis(11), reported("a", 1, "w0", Report::NotHeld));
    assert!(decision.orders.iter().all(|o| o.action == Action::Release));
    let decision = plan.handle(Millis(3_000), Event::Tick);
    deliver(&mut plan, &mut fleet, decision, Millis(3_010));
    for report in [Report::Done, Report::Failed, Report::NotHeld] {
        plan.handle(Millis(3_020), reported("a", 1, "w0", report));
        let rec = plan.job(&key("a")).unwrap();
        assert_eq!((rec.phase, rec.attempt), (Phase::Running, 2));
    }
}
