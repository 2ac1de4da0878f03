//! Queues with a policy service.

mod fleet;

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    advice::PolicyRequest,
    config::Policy,
    job::Text,
    worker::{Action, Order, Refusal, StartReply},
};
use fleet::{Fleet, gang, rules, starts, step};

/// A fleet whose queues all need tickets.
fn handle_policy_answer(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(workers);
    let mut rules = rules();
    for queue in &mut rules.queues {
        queue.policy = Some(Policy {
            decision_time: Millis(100),
            time_per_worker: Millis(5),
            ticket_validity: Millis(3_000),
        });
    }
    fleet.scheduler.configure(&Rc::new(rules));
    fleet
}

/// Answers a question: the workers for which `is_allowed` is true get tickets.
fn answer(fleet: &mut Fleet, request: &PolicyRequest, is_allowed: impl Fn(&str) -> bool) {
    let workers = request.workers.iter().map(|(id, _)| id);
    let allowed = workers.filter(|id| is_allowed(id));
    let allowed: Vec<(Text, Text)> = allowed
        .map(|id| (id.clone(), format!("t-{id}").into()))
        .collect();
    let sent = fleet.now;
    let now = fleet.after(200).now;
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

/// Guards against starts that the workers refuse: none is ordered without a ticket, and none on a
/// worker that the policy does not allow.
#[test]
fn only_workers_with_a_ticket_are_used() {
    let mut fleet = handle_policy_answer(4);
    fleet.submit("1", 1, gang(2, 8));
    assert!(starts(&fleet.plan()).is_empty());
    let requests = fleet.scheduler.take_policy_requests();
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert_eq!(requests[0].step.to_string(), "1.0.0");
    assert!(starts(&fleet.plan()).is_empty());
    assert!(
        fleet.scheduler.take_policy_requests().is_empty(),
        "one at a time"
    );
    answer(&mut fleet, &requests[0], |id| id == "w01" || id == "w03");
    let started = starts(&fleet.plan());
    let used: Vec<_> = started.iter().map(|o| (&*o.worker, ticket(o))).collect();
    assert_eq!(used, [("w01", Some("t-w01")), ("w03", Some("t-w03"))]);
}

/// Guards against a job that waits for ever: workers that were not asked about are asked next, a
/// question without an answer is repeated, and what the policy refused is not asked again.
#[test]
fn all_workers_are_asked_about_in_turn() {
    let mut fleet = handle_policy_answer(40);
    fleet.submit("1", 1, step(1, 8));
    fleet.plan();
    let first = fleet.scheduler.take_policy_requests().remove(0);
    assert_eq!(first.workers.len(), 30);
    let now = fleet.now;
    fleet.scheduler.handle_policy_answer(&first, None, now, now);
    fleet.plan();
    assert!(
        fleet.scheduler.take_policy_requests().is_empty(),
        "no pause"
    );
    fleet.after(300).plan();
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

/// Guards against tickets that do not hold any more: one that a worker refuses is asked for again,
/// and one that is too old is not used.
#[test]
fn a_refused_or_old_ticket_is_asked_for_again() {
    let mut fleet = handle_policy_answer(1);
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
    fleet.after(3_000);
    assert!(starts(&fleet.plan()).is_empty(), "an old ticket is used");
    let request = fleet.scheduler.take_policy_requests().remove(0);
    answer(&mut fleet, &request, |_| true);
    assert_eq!(starts(&fleet.plan()).len(), 1);
}
