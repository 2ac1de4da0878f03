//! Effects of workers' replies, reports and outages on subtasks.

mod fleet;

use base::clock::Millis;
use batch::{
    grant::Grants,
    progress::Phase,
    worker::{Order, Outcome, Refusal, StartReply},
};
use fleet::{Fleet, gang, starts, step, stops};

/// Guards against two concurrent runs of a subtask. The refusal of a repeated start says nothing
/// about the earlier, unanswered start, which may still be carried out.
#[test]
fn a_refused_repeat_does_not_end_the_first_start() {
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
    let changes = fleet.plan();
    assert!(starts(&changes).is_empty(), "{changes:?}");
    assert_eq!(stops(&changes).len(), 1);
    // Once the worker has acknowledged the stop and reports no run, the start can't be carried out.
    fleet.scheduler.handle_stop_reply(&first.task, 1, now);
    fleet.advance(10).report(&first.worker, &[], Vec::new());
    assert_eq!(starts(&fleet.plan())[0].attempt, 2);
}

/// Guards against two concurrent runs of a subtask: a start whose first try has no answer is refused
/// or taken when it is sent again, and the first try is still carried out, also by the next life of
/// the worker.
#[test]
fn a_start_with_a_lost_try_needs_a_stop() {
    let refused = StartReply::Refused(Refusal::Unhealthy);
    for reply in [refused, StartReply::Taken] {
        let mut fleet = Fleet::new(2);
        fleet.submit("1", 1, step(1, 1));
        let first = starts(&fleet.plan()).remove(0);
        let now = fleet.now;
        fleet.scheduler.handle_lost_start(&first.task, 1);
        fleet
            .scheduler
            .handle_start_reply(&first.task, 1, reply, now);
        if reply == StartReply::Taken {
            fleet.advance(10).report_life(&first.worker, 2);
        }
        let changes = fleet.plan();
        assert!(starts(&changes).is_empty(), "{reply:?}: {changes:?}");
        assert_eq!(stops(&changes).len(), 1, "{reply:?}");
    }
}

/// Guards against waiting for a report of a worker that refused the only start it got.
#[test]
fn a_refused_first_start_is_placed_again_immediately() {
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

/// Guards against a lease that never expires because the worker receives renewals but can't answer
/// them.
#[test]
fn an_unresponsive_worker_gets_no_renewal() {
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
    // A worker clock that is 2% slow reaches 7,000 at local time 7,122.
    assert!(over > Millis(7_122), "{over}");
}

/// Guards against work on a worker that is unresponsive or flapping. From the second outage within
/// 20 s on, the worker gets no work for a time that doubles with each outage.
#[test]
fn an_unresponsive_worker_gets_no_work_until_its_probation_ends() {
    let mut fleet = Fleet::new(1);
    for (round, probation) in [0, 500, 1_000].into_iter().enumerate() {
        let now = fleet.now;
        fleet.scheduler.set_responding("w00", false, now);
        let id = format!("{round}");
        fleet.submit(&id, 1, step(1, 1));
        assert!(
            starts(&fleet.plan()).is_empty(),
            "unresponsive, round {round}"
        );
        let now = fleet.advance(100).now;
        fleet.scheduler.set_responding("w00", true, now);
        if probation > 0 {
            fleet.advance(probation - 1);
            assert!(starts(&fleet.plan()).is_empty(), "probation, round {round}");
            fleet.advance(1);
        }
        assert_eq!(starts(&fleet.plan()).len(), 1, "round {round}");
    }
    let now = fleet.advance(21_000).now;
    fleet.scheduler.set_responding("w00", false, now);
    fleet.scheduler.set_responding("w00", true, now);
    fleet.submit("later", 1, step(1, 1));
    assert_eq!(starts(&fleet.plan()).len(), 1, "old outages count");
}

/// Guards against a gang that waits for seconds for a member that never ran. A run that was never
/// listed may not be reported as finished after its stop, so a report has to be requested.
#[test]
fn a_stop_of_an_unlisted_run_requests_a_report() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, gang(2, 8));
    let members = starts(&fleet.plan());
    let [listed, unlisted] = &members[..] else {
        panic!("{members:?}");
    };
    fleet.report(&listed.worker.clone(), &[listed], vec![]);
    let now = fleet.advance(10).now;
    assert!(!fleet.scheduler.handle_stop_reply(&listed.task, 1, now));
    assert!(fleet.scheduler.handle_stop_reply(&unlisted.task, 1, now));
    let sent = fleet.advance(5).now;
    fleet.report_to(sent, &unlisted.worker.clone(), &[], vec![]);
    assert_eq!(fleet.scheduler.runs_on(&unlisted.worker), 0);
}

/// Guards against a job that never ends because its worker disappeared.
#[test]
fn a_run_with_an_expired_lease_restarts_on_another_worker() {
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

/// Guards against a partially running gang. If one member can't start, the others are stopped and
/// all restart with the same attempt number.
#[test]
fn a_gang_starts_all_members_or_none() {
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
    let changes = fleet.plan();
    assert!(starts(&changes).is_empty());
    let stopped = stops(&changes);
    assert_eq!(stopped.len(), 2);
    fleet.advance(2_000);
    for (seq, order) in stopped.iter().enumerate() {
        fleet.finish(order, seq as u64 + 1, Outcome::Stopped);
    }
    let second = starts(&fleet.plan());
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|o| o.attempt == 2), "{second:?}");
}

/// Guards against a job that completes before its last subtask is done, or not at all.
#[test]
fn a_job_completes_with_its_last_subtask() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(2, 1));
    let orders = starts(&fleet.plan());
    fleet.advance(100).finish(&orders[0], 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
    fleet.finish(&orders[1], 2, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
}

/// Guards against more failures than `max_attempts`, and against other outcomes that count as
/// failures.
#[test]
fn only_failures_count_towards_max_attempts() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    for (seq, outcome) in [Outcome::Failed, Outcome::Lapsed, Outcome::Stopped]
        .into_iter()
        .enumerate()
    {
        let order = starts(&fleet.plan()).remove(0);
        fleet.advance(100).finish(&order, seq as u64 + 1, outcome);
        assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
    }
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(100).finish(&order, 4, Outcome::Failed);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Failed));
    assert!(starts(&fleet.plan()).is_empty());
}

/// Guards against mistaking the end of a superseded run for the end of the current one. Only a run that
/// was done before its lease was over counts, because its work is done.
#[test]
fn the_end_of_a_superseded_run_is_ignored_unless_it_is_done() {
    for outcome in [
        Outcome::Failed,
        Outcome::Stopped,
        Outcome::Lapsed,
        Outcome::Broken,
        Outcome::Alone,
    ] {
        let mut fleet = Fleet::new(2);
        let [first, second] = superseded(&mut fleet, step(1, 1));
        for seq in 1..4 {
            fleet.advance(10).finish(&first, seq, outcome);
        }
        assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
        assert!(fleet.plan().orders.is_empty(), "{outcome:?}");
        fleet.finish(&second, 1, Outcome::Done);
        assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
    }
}

/// Starts a job of one subtask, lets the lease of its run expire, and returns the orders of that run
/// and of the next one.
fn superseded(fleet: &mut Fleet, step: batch::job::Step) -> [Order; 2] {
    fleet.submit("1", 1, step);
    let first = starts(&fleet.plan()).remove(0);
    fleet.take(&first);
    let now = fleet.now;
    fleet.scheduler.handle_lease_expiry(&first.worker, now);
    let second = starts(&fleet.plan()).remove(0);
    assert_ne!(second.worker, first.worker);
    fleet.take(&second);
    [first, second]
}

/// Guards against work that is done again, and a next step that waits for it, because the worker was
/// cut off when the run ended and the lease was over when it could tell.
#[test]
fn a_run_that_was_done_before_its_lease_was_over_counts() {
    // Before the subtask is started again.
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    fleet.take(&first);
    let now = fleet.now;
    fleet.scheduler.handle_lease_expiry(&first.worker, now);
    fleet.advance(10).finish(&first, 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
    // While a second run is at work, which is stopped and whose end changes nothing.
    for outcome in [Outcome::Stopped, Outcome::Failed, Outcome::Done] {
        let mut fleet = Fleet::new(2);
        let [first, second] = superseded(&mut fleet, step(1, 1));
        fleet.advance(10).finish(&first, 1, Outcome::Done);
        assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
        let changes = fleet.plan();
        assert!(starts(&changes).is_empty());
        assert_eq!(stops(&changes)[0].worker, second.worker);
        fleet.advance(10).finish(&second, 1, outcome);
        assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
        assert!(fleet.plan().orders.is_empty());
    }
    // A worker that has restarted numbers its ends anew, and a leader that has seen no lease expire can't
    // tell the run from one of an earlier job with the id.
    let mut fleet = Fleet::new(2);
    let [first, second] = superseded(&mut fleet, step(1, 1));
    fleet.restart();
    fleet.advance(10).finish(&first, 1, Outcome::Done);
    fleet.report(&second.worker.clone(), &[&second], Vec::new());
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Running));
}

/// Guards against a gang of which some members run on after its work is done.
#[test]
fn a_gang_that_was_done_before_its_lease_was_over_counts() {
    let mut fleet = Fleet::new(4);
    fleet.submit("1", 1, gang(2, 8));
    let first = starts(&fleet.plan());
    for order in &first {
        fleet.take(order);
    }
    let now = fleet.now;
    for order in &first {
        fleet.scheduler.handle_lease_expiry(&order.worker, now);
    }
    let second = starts(&fleet.plan());
    assert_eq!(second.len(), 2);
    fleet.advance(10).finish(&first[1], 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Completed));
    assert_eq!(stops(&fleet.plan()).len(), 2);
}

/// Guards against a run that continues after its job was cancelled, even if the stop order is lost.
#[test]
fn a_stop_of_a_cancelled_job_is_repeated_until_the_run_ends() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    let (now, wall_now) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("1", now, wall_now));
    assert_eq!(stops(&fleet.plan()).len(), 1);
    let now = fleet.advance(500).now;
    fleet.scheduler.handle_unanswered_stop(&order.task, 1, now);
    fleet.advance(500).report("w00", &[&order], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1, "the stop is repeated");
    fleet.finish(&order, 1, Outcome::Stopped);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Cancelled));
    assert!(fleet.plan().orders.is_empty());
}

/// Guards against ignoring the finished runs of a restarted worker, whose sequence numbers start
/// again.
#[test]
fn a_new_incarnation_resets_the_acknowledged_sequence_number() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    fleet.advance(10).finish(&first, 7, Outcome::Done);
    fleet.plan();
    for info in &mut fleet.infos {
        info.incarnation = 2;
    }
    fleet
        .scheduler
        .replace_vm_list(fleet.infos.clone(), fleet.now);
    assert_eq!(fleet.scheduler.stored_seq("w00"), Some((2, 0)));
}

/// Guards against a stop that is repeated forever. A report without the run counts only if it was
/// requested after the reply to a stop. If the latest reply counted, the reply to each repeated
/// stop would come too late for the next report.
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
    // A report that was requested before the reply to the stop does not count.
    let sent = fleet.now;
    let now = fleet.advance(700).now;
    fleet.scheduler.handle_stop_reply(&order.task, 1, now);
    fleet.report_to(sent, "w00", &[], Vec::new());
    assert!(fleet.plan().orders.is_empty(), "it may still take effect");
    fleet.advance(1_500).report_to(sent, "w00", &[], Vec::new());
    assert_eq!(stops(&fleet.plan()).len(), 1);
    let sent = fleet.advance(1).now;
    let now = fleet.advance(1).now;
    fleet.scheduler.handle_stop_reply(&order.task, 1, now);
    fleet.advance(1_500).report_to(sent, "w00", &[], Vec::new());
    assert_eq!(starts(&fleet.plan())[0].attempt, 2);
}

/// Guards against a stop of work that runs, because the worker lists the run and leaves the start
/// without an answer.
#[test]
fn a_listed_run_with_an_unanswered_start_goes_on() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(500).report_running(&order, 1, 10);
    for _ in 0..3 {
        let now = fleet.advance(200).now;
        let unknown = StartReply::Unknown;
        fleet
            .scheduler
            .handle_start_reply(&order.task, 1, unknown, now);
        let orders = fleet.plan().orders;
        assert!(orders.is_empty(), "{orders:?}");
    }
}

/// Guards against a start of work that was cancelled or given up while its decision was stored.
#[test]
fn a_start_is_wanted_until_its_run_is_stopped_or_gone() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    fleet.submit("2", 1, step(1, 1));
    let orders = starts(&fleet.plan());
    let is_wanted = |fleet: &Fleet, i: usize| {
        fleet
            .scheduler
            .is_start_wanted(&orders[i].task, orders[i].attempt)
    };
    assert!(is_wanted(&fleet, 0) && is_wanted(&fleet, 1));
    let (now, wall_now) = (fleet.now, fleet.wall());
    assert!(fleet.scheduler.cancel("1", now, wall_now));
    assert!(!is_wanted(&fleet, 0), "its run is being stopped");
    let refused = StartReply::Refused(Refusal::Unhealthy);
    fleet
        .scheduler
        .handle_start_reply(&orders[1].task, 1, refused, now);
    assert!(!is_wanted(&fleet, 1), "its run is gone");
    fleet.advance(2_000);
    assert_eq!(starts(&fleet.plan())[0].attempt, 2);
    assert!(!is_wanted(&fleet, 1), "another run has been ordered");
}

/// Guards against runs that are started again while their lease is valid, because the VM list still
/// names the incarnation of the worker that has ended.
#[test]
fn an_old_entry_of_a_restarted_worker_does_not_end_its_leases() {
    let mut grants = Grants::default();
    grants.observe_entry(1, Millis(500_000), Millis(1_000));
    assert!(grants.observe_report(2, Millis(100), Millis(1_500), Millis(1_500)));
    grants.grant(Millis(6_000), Millis(1_500));
    let over = grants.expires_at();
    assert!(!grants.observe_entry(1, Millis(500_000), Millis(1_600)));
    assert_eq!(grants.expires_at(), over);
    assert!(grants.observe_entry(3, Millis(100), Millis(9_000)));
}

/// Guards against work that is stopped because a report of the life before arrives after one of the
/// current life.
#[test]
fn a_late_report_of_an_earlier_life_has_no_effect() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    let sent = fleet.now;
    fleet
        .scheduler
        .handle_start_reply(&first.task, 1, StartReply::Unknown, sent);
    fleet.advance(600).report_life("w00", 2);
    let repeated = starts(&fleet.plan()).remove(0);
    fleet.advance(5).take(&repeated);
    fleet.advance(5).report_to(sent, "w00", &[], vec![]);
    assert!(stops(&fleet.plan()).is_empty());
    fleet.advance(5).report_running(&repeated, 2, 10);
    assert_eq!(fleet.scheduler.runs_on("w00"), 1);
}

/// Guards against a worker whose reports are left out for good, because a late one of the life before
/// counted as that of a restart.
#[test]
fn a_late_report_does_not_hide_the_current_life() {
    let mut grants = Grants::default();
    grants.observe_report(1, Millis(9_000), Millis(1_000), Millis(1_000));
    assert!(grants.observe_entry(2, Millis(10), Millis(2_000)));
    assert!(grants.grant(Millis(6_000), Millis(2_000)).is_some());
    let end = grants.expires_at();
    assert!(!grants.observe_report(1, Millis(9_500), Millis(2_005), Millis(2_005)));
    assert_eq!(grants.expires_at(), end);
    // A leader that knows no earlier life can't tell that the report is late.
    let mut grants = Grants::default();
    grants.observe_entry(2, Millis(10), Millis(2_000));
    grants.observe_report(1, Millis(9_500), Millis(2_005), Millis(2_005));
    assert!(grants.observe_report(2, Millis(20), Millis(2_010), Millis(2_010)));

    let mut fleet = Fleet::new(1);
    fleet.report_life("w00", 1);
    fleet.infos[0].incarnation = 2;
    let (infos, now) = (fleet.infos.clone(), fleet.now);
    fleet.scheduler.replace_vm_list(infos, now);
    fleet.advance(5).report_life("w00", 1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    fleet.advance(5).report_running(&order, 2, 10);
    fleet.advance(5).report_life("w00", 1);
    fleet.advance(5).report_running(&order, 2, 20);
    assert!(stops(&fleet.plan()).is_empty());
    assert_eq!(fleet.scheduler.runs_on("w00"), 1);
}
