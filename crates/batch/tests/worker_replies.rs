//! What answers, reports and silence of workers mean for subtasks.

mod fleet;

use base::clock::Millis;
use batch::{
    grant::Grants,
    progress::Phase,
    worker::{Outcome, Refusal, StartReply},
};
use fleet::{Fleet, gang, starts, step, stops};

/// Guards against a second run beside a first: a refused repeat of a start says nothing about the
/// start before it, which got no answer and may be carried out.
#[test]
fn a_refused_repeat_does_not_free_a_subtask() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    fleet
        .scheduler
        .handle_start_reply(&first.task, 1, StartReply::Unknown, now);
    let repeat = starts(&fleet.plan()).remove(0);
    assert_eq!((repeat.attempt, &repeat.worker), (1, &first.worker));
    let refused = StartReply::Refused(Refusal::Unhealthy);
    fleet
        .scheduler
        .handle_start_reply(&first.task, 1, refused, now);
    let batch = fleet.plan();
    assert!(starts(&batch).is_empty(), "{batch:?}");
    assert_eq!(stops(&batch).len(), 1);
    // Once the worker has taken the stop and shows no run, the start can't be carried out.
    fleet.scheduler.handle_stop_reply(&first.task, 1, now);
    fleet.after(10).report(&first.worker, &[], Vec::new());
    assert_eq!(starts(&fleet.plan())[0].attempt, 2);
}

/// Guards against waiting for a worker that refused the only start it ever got.
#[test]
fn a_refused_first_start_is_placed_again_at_once() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    let refused = StartReply::Refused(Refusal::Room);
    fleet
        .scheduler
        .handle_start_reply(&first.task, 1, refused, now);
    let second = starts(&fleet.plan()).remove(0);
    assert_eq!(second.attempt, 2);
    assert_ne!(second.worker, first.worker);
}

/// Guards against runs that wait for ever for a worker that hears renewals and does not answer:
/// each renewal would extend its lease.
#[test]
fn a_silent_worker_gets_no_more_time() {
    let mut grants = Grants::default();
    grants.observe_clock(Millis(1_000), Millis(1_000));
    grants.renewal(Millis(6_000), Millis(1_000));
    let over = grants.expires_at();
    grants.set_responding(false);
    for t in (1_500..9_000).step_by(500) {
        assert_eq!(grants.renewal(Millis(6_000), Millis(t)), None);
    }
    assert_eq!(grants.expires_at(), over);
    assert!(over < Millis(7_400), "{over}");
    // A clock that is 2% slow reaches 7,000 at 7,122 here.
    assert!(over > Millis(7_122), "{over}");
}

/// Guards against work on a worker that does not answer, or that answers only now and then: from
/// the second silence within 20 s on, a time without work follows that doubles with each.
#[test]
fn a_silent_worker_gets_no_work_until_its_probation_is_over() {
    let mut fleet = Fleet::new(1);
    for (round, probation) in [0, 500, 1_000].into_iter().enumerate() {
        let now = fleet.now;
        fleet.scheduler.set_responding("w00", false, now);
        let id = format!("{round}");
        fleet.submit(&id, 1, step(1, 1));
        assert!(starts(&fleet.plan()).is_empty(), "silent, round {round}");
        let now = fleet.after(100).now;
        fleet.scheduler.set_responding("w00", true, now);
        if probation > 0 {
            fleet.after(probation - 1);
            assert!(starts(&fleet.plan()).is_empty(), "probation, round {round}");
            fleet.after(1);
        }
        assert_eq!(starts(&fleet.plan()).len(), 1, "round {round}");
    }
    let now = fleet.after(21_000).now;
    fleet.scheduler.set_responding("w00", false, now);
    fleet.scheduler.set_responding("w00", true, now);
    fleet.submit("later", 1, step(1, 1));
    assert_eq!(starts(&fleet.plan()).len(), 1, "old silences count");
}

/// Guards against a gang that waits for seconds for a member that never ran: a stop of a run that
/// was never listed may end without a line in any report, so a report has to be asked for.
#[test]
fn a_stop_of_an_unlisted_run_asks_for_a_report() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, gang(2, 8));
    let members = starts(&fleet.plan());
    let [listed, unlisted] = &members[..] else {
        panic!("{members:?}");
    };
    fleet.report(&listed.worker.clone(), &[listed], vec![]);
    let now = fleet.after(10).now;
    assert!(!fleet.scheduler.handle_stop_reply(&listed.task, 1, now));
    assert!(fleet.scheduler.handle_stop_reply(&unlisted.task, 1, now));
    let sent = fleet.after(5).now;
    fleet.report_to(sent, &unlisted.worker.clone(), &[], vec![]);
    assert_eq!(fleet.scheduler.runs_on(&unlisted.worker), 0);
}

/// Guards against a job that never ends because its worker vanished.
#[test]
fn a_run_whose_lease_is_over_starts_elsewhere() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    fleet
        .scheduler
        .handle_start_reply(&first.task, 1, StartReply::Taken, now);
    fleet.scheduler.handle_lease_expiry(&first.worker, now);
    let second = starts(&fleet.plan()).remove(0);
    assert_eq!(second.attempt, 2);
    assert_ne!(second.worker, first.worker);
}

/// Guards against a gang that runs in part: when one member can't start, the others are stopped
/// and all start again with one number.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut fleet = Fleet::new(4);
    fleet.submit("1", 1, gang(3, 8));
    let first = starts(&fleet.plan());
    assert_eq!(first.len(), 3);
    let now = fleet.now;
    fleet
        .scheduler
        .handle_start_reply(&first[0].task, 1, StartReply::Taken, now);
    fleet
        .scheduler
        .handle_start_reply(&first[1].task, 1, StartReply::Taken, now);
    let refused = StartReply::Refused(Refusal::Room);
    fleet
        .scheduler
        .handle_start_reply(&first[2].task, 1, refused, now);
    let batch = fleet.plan();
    assert!(starts(&batch).is_empty());
    let stopped = stops(&batch);
    assert_eq!(stopped.len(), 2);
    fleet.after(2_000);
    for (seq, order) in stopped.iter().enumerate() {
        fleet.end(order, seq as u64 + 1, Outcome::Stopped);
    }
    let second = starts(&fleet.plan());
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|o| o.attempt == 2), "{second:?}");
}

/// Guards against a job shown as completed while a subtask is open, and one that stays open.
#[test]
fn a_job_completes_with_its_last_subtask() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(2, 1));
    let orders = starts(&fleet.plan());
    fleet.after(100).end(&orders[0], 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
    fleet.end(&orders[1], 2, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
}

/// Guards against attempts beyond the budget, and against a budget used up by other ends.
#[test]
fn a_subtask_is_given_up_after_its_failures_only() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    for (seq, outcome) in [Outcome::Failed, Outcome::Lapsed, Outcome::Stopped]
        .into_iter()
        .enumerate()
    {
        let order = starts(&fleet.plan()).remove(0);
        fleet.after(100).end(&order, seq as u64 + 1, outcome);
        assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
    }
    let order = starts(&fleet.plan()).remove(0);
    fleet.after(100).end(&order, 4, Outcome::Failed);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Failed));
    assert!(starts(&fleet.plan()).is_empty());
}

/// Guards against ends of a superseded run that are taken for the present one.
#[test]
fn an_end_of_an_earlier_run_changes_nothing() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    let now = fleet.now;
    fleet.scheduler.handle_lease_expiry(&first.worker, now);
    let second = starts(&fleet.plan()).remove(0);
    fleet.after(10).end(&first, 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
    fleet.end(&second, 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
}

/// Guards against a run that goes on after its job was cancelled, also when the stop is lost.
#[test]
fn a_cancelled_job_is_stopped_until_the_worker_shows_it() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    let (now, wall) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("1", now, wall));
    assert_eq!(stops(&fleet.plan()).len(), 1);
    fleet.after(1_000).report("w00", &[&order], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1, "the stop is repeated");
    fleet.end(&order, 1, Outcome::Stopped);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Cancelled));
    assert!(fleet.plan().orders.is_empty());
}

/// Guards against a restarted worker whose ends carry numbers that were seen before.
#[test]
fn ends_of_a_new_life_of_a_worker_are_taken() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    fleet.after(10).end(&first, 7, Outcome::Done);
    fleet.plan();
    for info in &mut fleet.infos {
        info.incarnation = 2;
    }
    fleet
        .scheduler
        .update_workers(fleet.infos.clone(), fleet.now);
    assert_eq!(fleet.scheduler.acked_seq("w00"), Some((2, 0)));
}

/// Guards against a stop that is repeated for ever: each answer to a repeat came after the call of
/// the report that shows no run, so that no report seemed young enough.
#[test]
fn a_repeated_stop_does_not_delay_the_end_of_a_run() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    for _ in 0..3 {
        let now = fleet.now;
        fleet
            .scheduler
            .handle_start_reply(&order.task, 1, StartReply::Unknown, now);
        fleet.plan();
    }
    // The report of a call that was sent before the answer to the stop tells nothing.
    let sent = fleet.now;
    let now = fleet.after(700).now;
    fleet.scheduler.handle_stop_reply(&order.task, 1, now);
    fleet.report_to(sent, "w00", &[], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1);
    let sent = fleet.after(1).now;
    let now = fleet.after(1).now;
    fleet.scheduler.handle_stop_reply(&order.task, 1, now);
    fleet.after(1_500).report_to(sent, "w00", &[], Vec::new());
    assert_eq!(starts(&fleet.plan())[0].attempt, 2);
}
