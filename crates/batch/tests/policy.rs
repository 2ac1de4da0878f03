//! Placement on queues with a policy service.

mod fleet;

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::{Config, Policy},
    job::Text,
    policy::PolicyRequest,
    worker::{Action, Order, Refusal, StartReply},
};
use fleet::{Fleet, config, gang, starts, step, stops};

/// Returns a fleet whose queues all require tickets.
fn fleet_with_policy(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(workers);
    fleet.scheduler.configure(&Rc::new(policy_config()));
    fleet
}

fn policy_config() -> Config {
    let mut config = config();
    for queue in &mut config.queues {
        queue.policy = Some(Policy {
            decision_time: Millis(100),
            time_per_worker: Millis(5),
            ticket_validity: Millis(3_000),
        });
    }
    config
}

/// Answers a request with tickets for the workers for which `is_allowed` returns true.
fn answer(fleet: &mut Fleet, request: &PolicyRequest, is_allowed: impl Fn(&str) -> bool) {
    let workers = request.workers.iter().map(|(id, _)| id);
    let allowed = workers.filter(|id| is_allowed(id));
    let allowed: Vec<(Text, Text)> = allowed
        .map(|id| (id.clone(), format!("t-{id}").into()))
        .collect();
    let sent = fleet.now;
    let now = fleet.advance(200).now;
    fleet
        .scheduler
        .handle_policy_answer(request, Some((&allowed, Millis(3_000))), sent, now);
}

fn ticket(order: &Order) -> Option<&str> {
    match &order.action {
        Action::Start { ticket, .. } => ticket.as_deref(),
        Action::Stop => None,
    }
}

/// Guards against starts that workers refuse because there is no ticket or the policy does not
/// allow the worker.
#[test]
fn only_workers_with_a_ticket_are_used() {
    let mut fleet = fleet_with_policy(4);
    fleet.submit("1", 1, gang(2, 8));
    assert!(starts(&fleet.plan()).is_empty());
    let requests = fleet.scheduler.take_policy_requests();
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert_eq!(requests[0].step.to_string(), "1.0.0");
    assert!(starts(&fleet.plan()).is_empty());
    assert!(
        fleet.scheduler.take_policy_requests().is_empty(),
        "a second request while the first is in flight"
    );
    answer(&mut fleet, &requests[0], |id| id == "w01" || id == "w03");
    let started = starts(&fleet.plan());
    let used: Vec<_> = started.iter().map(|o| (&*o.worker, ticket(o))).collect();
    assert_eq!(used, [("w01", Some("t-w01")), ("w03", Some("t-w03"))]);
}

/// Guards against a job that waits forever. Later requests cover the remaining workers, an
/// unanswered request is repeated after a delay, and denied workers are not requested again.
#[test]
fn tickets_are_requested_for_all_workers_in_turn() {
    let mut fleet = fleet_with_policy(40);
    fleet.submit("1", 1, step(1, 8));
    fleet.plan();
    let first = fleet.scheduler.take_policy_requests().remove(0);
    assert_eq!(first.workers.len(), 30);
    let now = fleet.now;
    fleet.scheduler.handle_policy_answer(&first, None, now, now);
    fleet.plan();
    assert!(
        fleet.scheduler.take_policy_requests().is_empty(),
        "no delay before the retry"
    );
    fleet.advance(300).plan();
    let again = fleet.scheduler.take_policy_requests().remove(0);
    assert_eq!(again.workers.len(), 30);
    answer(&mut fleet, &again, |_| false);
    fleet.plan();
    let rest = fleet.scheduler.take_policy_requests().remove(0);
    assert_eq!(rest.workers.len(), 10);
    answer(&mut fleet, &rest, |id| id == "w35" || id == "w02");
    let started = starts(&fleet.plan());
    assert_eq!(started.len(), 1);
    assert!(rest.workers.iter().any(|(id, _)| *id == started[0].worker));
}

/// Guards against the use of invalid tickets: a ticket that a worker refused is requested again,
/// and an expired one is not used.
#[test]
fn a_refused_or_expired_ticket_is_requested_again() {
    let mut fleet = fleet_with_policy(1);
    fleet.submit("1", 1, step(1, 8));
    fleet.plan();
    let request = fleet.scheduler.take_policy_requests().remove(0);
    answer(&mut fleet, &request, |_| true);
    let order = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    let refused = StartReply::Refused(Refusal::Ticket);
    fleet
        .scheduler
        .handle_start_reply(&order.task, 1, refused, now);
    assert!(starts(&fleet.plan()).is_empty());
    let request = fleet.scheduler.take_policy_requests().remove(0);
    answer(&mut fleet, &request, |_| true);
    fleet.advance(3_000);
    assert!(
        starts(&fleet.plan()).is_empty(),
        "an expired ticket is used"
    );
    let request = fleet.scheduler.take_policy_requests().remove(0);
    answer(&mut fleet, &request, |_| true);
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against starts that workers refuse because the new leader has no ticket for them.
#[test]
fn a_new_leader_repeats_no_start_without_a_ticket() {
    let mut fleet = fleet_with_policy(1);
    let config = Rc::new(policy_config());
    fleet.submit("1", 1, step(1, 8));
    fleet.plan();
    let request = fleet.scheduler.take_policy_requests().remove(0);
    answer(&mut fleet, &request, |_| true);
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.restart();
    fleet.scheduler.configure(&config);
    fleet.advance(20).report("w00", &[], Vec::new());
    let changes = fleet.plan();
    assert!(starts(&changes).is_empty());
    let order = stops(&changes).remove(0);
    let now = fleet.now;
    fleet.scheduler.handle_stop_reply(&order.task, 1, now);
    fleet.advance(20).report("w00", &[], Vec::new());
    fleet.plan();
    let request = fleet.scheduler.take_policy_requests().remove(0);
    answer(&mut fleet, &request, |_| true);
    assert_eq!(ticket(&starts(&fleet.plan())[0]), Some("t-w00"));
}
