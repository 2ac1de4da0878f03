//! Workers that are back under their id: what one life does is not counted to another.

mod fleet;

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::Config,
    grant::{Expired, Grants},
    worker::{Outcome, StartReply},
};
use fleet::{Fleet, finished, starts, step, stops};

const LEASE: Millis = Millis(6_000);
/// Time after which a worker no longer carries out a call, with a lease and its margin.
const LATE_LEASE: Millis = Millis(12_000 + 6_000 + 1_000);

/// Leases granted at 2,000 to the life 1, whose clock is far ahead of that of the next one.
fn granted() -> Grants {
    let mut grants = Grants::default();
    grants.observe_report(1, Millis(500_000), Millis(995), Millis(1_000));
    grants.grant(LEASE, Millis(2_000));
    grants
}

/// Guards against a second run of a subtask: the lease of the first one counted as over once the VM list
/// named the next life of its worker, which had taken the start.
#[test]
fn a_lease_that_the_next_life_may_have_taken_is_not_over() {
    let mut grants = Grants::default();
    grants.observe_entry(1, Millis(500_000), Millis(1_000));
    grants.grant(LEASE, Millis(2_000));
    grants.observe_entry(2, Millis(90), Millis(2_200));
    let end = grants.expires_at();
    assert!(end >= Millis(2_000) + LEASE, "{end}");
    for (known, now) in [(1, 8_000), (2, 8_000)] {
        assert_ne!(grants.expired(known, true, Millis(now)), Expired::All);
        assert_ne!(grants.expired(known, false, Millis(now)), Expired::All);
    }
    let late = Millis(2_200) + LATE_LEASE;
    assert_eq!(grants.expired(1, true, late), Expired::All);
}

/// Guards against runs that stand on a lost worker for hours, because an answer of its next life moved
/// the clock on which their leases were counted.
#[test]
fn an_answer_of_the_next_life_does_not_move_the_end_of_a_lease() {
    for clock in [90, 3_000_000] {
        let mut grants = granted();
        let before = grants.expires_at();
        assert!(!grants.observe_answer(Millis(clock), Millis(2_300), Millis(2_310)));
        assert_eq!(grants.expires_at(), before);
        assert!(before > Millis(8_000) && before < Millis(9_000), "{before}");
        assert_eq!(
            grants.expired(1, true, Millis(9_000)),
            Expired::Confirmed,
            "the next life has the run until 8,310 at least"
        );
        let late = Millis(2_310) + LATE_LEASE;
        assert_eq!(grants.expired(1, true, late), Expired::All);
    }
}

/// Guards against answers of the known life that count as those of another one: its clock may be 2% slow,
/// and the answer may take a while.
#[test]
fn an_answer_of_the_known_life_is_known() {
    for (clock, sent, now) in [
        (501_300, 2_300, 2_310),
        (500_980 + 300, 2_300, 4_000),
        (500_000 + 59_000, 61_000, 61_200),
        (500_000 + 60_000, 61_000, 61_200),
    ] {
        let mut grants = granted();
        let is_known = grants.observe_answer(Millis(clock), Millis(sent), Millis(now));
        assert!(is_known, "{clock} at {now}");
    }
}

/// Guards against a subtask that starts elsewhere while another life may still carry out its start, and
/// against one that waits for that although the known life shows that no other one got the start.
#[test]
fn an_unanswered_start_waits_until_the_known_life_is_heard_of() {
    let mut grants = granted();
    grants.record_unanswered(Millis(2_700));
    let over = Millis(9_000);
    assert_eq!(grants.expired(1, true, over), Expired::Confirmed);

    let mut heard = grants;
    assert!(heard.observe_answer(Millis(501_800), Millis(2_800), Millis(2_805)));
    assert_eq!(heard.expired(1, true, over), Expired::All);

    let mut listed = grants;
    listed.observe_entry(1, Millis(501_650), Millis(3_000));
    assert_eq!(listed.expired(1, true, over), Expired::Confirmed, "older");
    listed.observe_entry(1, Millis(501_800), Millis(3_000));
    assert_eq!(listed.expired(1, true, over), Expired::All);

    assert_eq!(
        grants.expired(1, false, Millis(9_500)),
        Expired::All,
        "gone"
    );
}

/// Guards against a start that is carried out 12 s after it was given up, beside another run.
#[test]
fn an_unanswered_start_may_be_carried_out_up_to_12_s_later() {
    let mut grants = granted();
    grants.record_unanswered_start(Millis(2_700));
    let last = Millis(2_700 + 12_000) + LEASE;
    assert_eq!(grants.expired(1, true, last), Expired::Confirmed);
    // An answer to a call that was sent before says nothing of one that was given up after it.
    assert!(grants.observe_answer(Millis(501_600), Millis(2_600), Millis(2_800)));
    assert_eq!(grants.expired(1, true, last), Expired::Confirmed);
    // Once a restart is known, it doesn't matter whether the worker is listed.
    grants.observe_entry(2, Millis(90), Millis(2_900));
    assert_eq!(grants.expired(2, false, last), Expired::Nothing);
}

/// Guards against work that waits for the leases of a life that is known to have ended.
#[test]
fn the_confirmed_runs_of_an_ended_life_are_over_at_once() {
    let mut grants = granted();
    assert_eq!(grants.expired(1, true, Millis(3_000)), Expired::Nothing);
    grants.observe_entry(2, Millis(90), Millis(3_000));
    assert_eq!(grants.expired(1, true, Millis(3_000)), Expired::Confirmed);
    assert_eq!(grants.expired(2, true, Millis(3_000)), Expired::Nothing);
}

/// Guards against work that waits longer than a lease on a lost worker, because the renewal that waited
/// there was given up after its start.
#[test]
fn a_lost_worker_keeps_its_runs_for_a_lease_after_its_last_start() {
    let mut grants = granted();
    grants.record_unanswered_start(Millis(2_700));
    grants.record_unanswered(Millis(4_400));
    assert_eq!(grants.expired(1, false, Millis(9_000)), Expired::All);
}

/// Guards against a next leader that starts a subtask elsewhere while a life that its predecessor did not
/// know of may have taken the start.
#[test]
fn a_takeover_does_not_shorten_the_lease_of_an_unknown_life() {
    let grants = Grants::inherited(1, LEASE, Millis(1_000));
    assert_ne!(grants.expired(1, true, Millis(9_000)), Expired::All);
    assert_eq!(
        grants.expired(1, true, Millis(1_000) + LATE_LEASE),
        Expired::All
    );
    let mut reported = grants;
    reported.observe_report(1, Millis(700), Millis(1_100), Millis(1_110));
    assert_eq!(reported.expired(1, true, Millis(9_000)), Expired::All);
    let mut restarted = grants;
    restarted.observe_entry(2, Millis(700), Millis(1_500));
    assert_ne!(restarted.expired(1, true, Millis(9_000)), Expired::All);
    // Entries don't tell the predecessor's calls from later ones, because no answer dates them.
    let mut silent = grants;
    silent.observe_entry(1, Millis(700), Millis(1_100));
    silent.observe_entry(1, Millis(60_000), Millis(3_000));
    assert_ne!(silent.expired(1, true, Millis(9_000)), Expired::All);
}

/// Guards against a lease that is over too soon in a life whose start came from a call to the life before.
#[test]
fn a_life_that_took_calls_for_the_former_one_keeps_its_lease() {
    let mut grants = granted();
    assert!(grants.observe_report(2, Millis(90), Millis(2_500), Millis(2_510)));
    assert_eq!(grants.expired(2, true, Millis(8_500)), Expired::Nothing);
    assert_eq!(grants.expired(2, false, Millis(8_500)), Expired::Nothing);
}

/// Guards against jobs that are given up for crashes that they have outlived: a start of an earlier leader
/// has reached the next life only.
#[test]
fn a_run_that_the_next_life_lists_is_no_crash_of_the_former_one() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.restart();
    let born = fleet.wall().0 + 5;
    fleet.advance(600).report_running(&order, born, 10);
    fleet.plan();
    assert_eq!(fleet.crashes("1"), 0);
    assert_eq!(fleet.scheduler.runs_on("w00"), 1);
}

/// Guards against a crash that counts for a job that was accepted after it, because an earlier leader had
/// placed it on the former life.
#[test]
fn a_crash_does_not_count_for_a_job_that_was_accepted_after_it() {
    for (born_after, counted) in [(5, 1), (0, 0)] {
        let mut fleet = Fleet::new(1);
        fleet.submit("1", 1, step(1, 1));
        let born = fleet.wall().0 + born_after;
        fleet.plan();
        fleet.restart();
        fleet.advance(600).report_life("w00", born);
        fleet.plan();
        assert_eq!(fleet.crashes("1"), counted, "born {born_after} ms after it");
    }
}

/// Guards against a crash that counts for no run, because the worker is back by the time it is found.
#[test]
fn a_confirmed_run_that_ends_with_its_life_is_a_crash() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(5).take(&order);
    fleet.advance(5).report_life("w00", 2);
    fleet.plan();
    assert_eq!(fleet.crashes("1"), 1);
}

/// Guards against a second run of a subtask whose start another life may have taken, when the runs of the
/// known life end.
#[test]
fn only_confirmed_runs_end_with_the_leases_of_the_known_life() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(2, 1));
    let orders = starts(&fleet.plan());
    fleet.advance(5).take(&orders[0]);
    let now = fleet.now;
    let unknown = StartReply::Taken.of_other_incarnation();
    fleet
        .scheduler
        .handle_start_reply(&orders[1].task, 1, unknown, now);
    fleet.advance(7_000);
    let now = fleet.now;
    let expire = |fleet: &mut Fleet, expired| {
        fleet.scheduler.handle_expired_runs("w00", expired, now);
        fleet.scheduler.runs_on("w00")
    };
    assert_eq!(expire(&mut fleet, Expired::Nothing), 2);
    assert_eq!(expire(&mut fleet, Expired::Confirmed), 1);
    assert_eq!(expire(&mut fleet, Expired::Confirmed), 1);
    assert_eq!(expire(&mut fleet, Expired::All), 0);
}

/// Guards against work that is done twice: the life that had the run is not the one that it was placed on.
#[test]
fn a_run_that_another_life_finished_before_its_lease_was_over_counts() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(20_000);
    let now = fleet.now;
    fleet.scheduler.handle_lease_expiry(&order.worker, now);
    let end = finished(&order, 1, Outcome::Done);
    for info in fleet.infos.iter_mut().filter(|i| i.id == order.worker) {
        info.incarnation = 2;
    }
    fleet.advance(5).report(&order.worker, &[], vec![end]);
    fleet.plan();
    let phase = fleet.scheduler.phase("1");
    assert!(
        phase.is_some_and(batch::progress::Phase::is_final),
        "{phase:?}"
    );
}

/// Guards against starts beyond the capacity of a worker that has shrunk: its next life, whose clock is
/// ahead, seemed to have written its entry only now, for as long as it was ahead.
#[test]
fn the_entry_of_a_life_is_not_dated_by_the_clock_of_the_one_before() {
    let mut fleet = Fleet::new(1);
    let config = Config {
        services_without_admission_check: vec!["svc".into()],
        ..fleet::config()
    };
    fleet.scheduler.configure(&Rc::new(config));
    fleet.resize("w00", 8);
    fleet.infos[0].incarnation = 2;
    fleet.infos[0].clock = Millis(8_000_000);
    let (infos, now) = (fleet.infos.clone(), fleet.advance(500).now);
    fleet.scheduler.replace_vm_list(infos, now);
    fleet.submit("1", 1, step(1, 1));
    fleet.advance(4_000);
    assert!(starts(&fleet.plan()).is_empty(), "the entry is 4 s old");
    let clock = fleet.infos[0].clock + Millis(4_000);
    fleet.infos[0].clock = clock;
    let (infos, now) = (fleet.infos.clone(), fleet.now);
    fleet.scheduler.replace_vm_list(infos, now);
    assert_eq!(starts(&fleet.plan()).len(), 1);
}

/// Guards against work that is stopped on the next life of a worker because the former one had announced its
/// shutdown.
#[test]
fn a_shutdown_is_that_of_one_life() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(5).take(&order);
    fleet.infos[0].draining = true;
    fleet.infos[0].remaining = Some(Millis(3_000));
    let (infos, now) = (fleet.infos.clone(), fleet.now);
    fleet.scheduler.replace_vm_list(infos, now);
    // The next life has the run; the list still has the entry of the former one.
    fleet.advance(3_500).report_running(&order, 2, 10);
    let now = fleet.now;
    fleet.scheduler.evacuate(now);
    assert!(stops(&fleet.plan()).is_empty());
}

/// Guards against jobs that are given up after one crash: a subtask that an earlier leader placed had reached
/// the next life only, and counted as crashed with the former one when its lease was over.
#[test]
fn a_lapsed_run_of_the_next_life_is_no_crash_of_the_former_one() {
    for is_listed in [true, false] {
        let mut fleet = Fleet::new(2);
        fleet.submit("1", 1, step(1, 1));
        let order = starts(&fleet.plan()).remove(0);
        fleet.restart();
        let worker = order.worker.clone();
        let now = fleet.advance(20_000).now;
        fleet.scheduler.handle_lease_expiry(&worker, now);
        let born = fleet.wall().0;
        for info in fleet.infos.iter_mut().filter(|i| i.id == worker) {
            info.incarnation = born;
        }
        let (infos, now) = (fleet.infos.clone(), fleet.advance(10).now);
        fleet.scheduler.replace_vm_list(infos.clone(), now);
        fleet.plan();
        assert_eq!(fleet.crashes("1"), 0, "nothing is known of the next life");
        assert!(fleet.scheduler.is_in_use(&worker), "it is to be asked");
        let end = finished(&order, 1, Outcome::Lapsed);
        let ends = if is_listed { vec![end] } else { vec![] };
        fleet.advance(5).report(&worker, &[], ends);
        fleet.scheduler.replace_vm_list(infos, now);
        fleet.plan();
        assert_eq!(fleet.crashes("1"), u32::from(!is_listed));
    }
}

/// Guards against a crash that an entry of an earlier life shows.
#[test]
fn an_entry_of_an_earlier_life_shows_no_crash() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(5).report_running(&order, 2, 10);
    let now = fleet.advance(20_000).now;
    fleet.scheduler.handle_lease_expiry(&order.worker, now);
    let (infos, now) = (fleet.infos.clone(), fleet.advance(10).now);
    fleet.scheduler.replace_vm_list(infos, now);
    fleet.plan();
    assert_eq!(fleet.crashes("1"), 0);
}

/// Guards against the leases of one life that end the runs of another.
#[test]
fn a_run_belongs_to_the_life_that_listed_it_last() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.advance(5).take(&order);
    fleet.advance(600).report_running(&order, 2, 10);
    let now = fleet.now;
    let scheduler = &mut fleet.scheduler;
    scheduler.handle_expired_runs("w00", Expired::Confirmed, now);
    assert_eq!(scheduler.runs_on("w00"), 0);
}

/// Guards against a leader that is busy with a worker whose address another one has, and counts its end again
/// and again.
#[test]
fn a_replaced_worker_is_not_asked_for_a_report() {
    let mut fleet = Fleet::new(2);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    let now = fleet.advance(20_000).now;
    fleet.scheduler.handle_lease_expiry(&order.worker, now);
    assert!(fleet.scheduler.is_in_use(&order.worker));
    fleet.plan();
    fleet.scheduler.handle_lease_expiry(&order.worker, now);
    assert!(fleet.plan().worker_ends.is_empty());
    let wall_now = fleet.wall();
    fleet
        .scheduler
        .handle_replaced(&order.worker, now, wall_now);
    assert!(!fleet.scheduler.is_in_use(&order.worker));
}
