//! Crashes of workers: which subtasks they count for, and which jobs are given up.

mod fleet;

use std::iter;

use base::clock::Millis;
use batch::{
    job::{Repeat, Spec, Step, Text},
    progress::Phase,
    worker::{Order, Outcome, Refusal, StartReply},
};
use fleet::{Fleet, gang, starts, step};

/// Time after a start at which a deadly subtask crashes its worker.
const CRASH_DELAY: u64 = 10;

/// Starts everything that waits, lets the first subtask of job `deadly` crash its worker, and
/// returns whether it was started.
fn play_deadly_start(fleet: &mut Fleet) -> bool {
    let placed = starts(&fleet.plan());
    for order in &placed {
        fleet.take(order);
    }
    let is_deadly = |o: &&Order| &*o.task.job == "deadly" && o.task.index == 0;
    let Some(order) = placed.iter().find(is_deadly) else {
        return false;
    };
    let now = fleet.advance(CRASH_DELAY).now;
    fleet.lose(&order.worker, now);
    // The other members of a gang end at once, and what is left of it is stopped.
    for (seq, other) in placed.iter().enumerate() {
        if other.task.job == order.task.job && other.worker != order.worker {
            let seq = fleet.now.0 * 100 + seq as u64;
            fleet.finish(other, seq, Outcome::Broken);
        }
    }
    fleet.plan();
    fleet.advance(3_000).replace(&order.worker);
    true
}

/// Returns the number of workers that the job crashes until it is given up.
fn crashes_until_given_up(spec: Spec) -> u32 {
    let mut fleet = Fleet::new(8);
    fleet.submit_spec("deadly", 1, "org-a", spec);
    let mut crashes = 0;
    while fleet.scheduler.phase("deadly") != Some(Phase::Failed) {
        crashes += u32::from(play_deadly_start(&mut fleet));
        fleet.advance(1_000);
        assert!(crashes < 10, "not given up");
    }
    assert!(starts(&fleet.advance(1_000).plan()).is_empty());
    crashes
}

fn spec(step: Step) -> Spec {
    Spec {
        text: "spec".into(),
        steps: vec![step],
        repeat: None,
    }
}

/// Guards against a subtask that crashes worker after worker in any kind of job that ends. Lasting
/// jobs are in `lasting_crashes`.
#[test]
fn every_kind_of_deadly_job_is_given_up_after_two_crashes() {
    let repeat = Repeat {
        count: 2,
        first: Millis(0),
        interval: Millis(60_000_000),
    };
    let jobs = [
        spec(step(1, 1)),
        spec(step(5, 1)),
        spec(gang(3, 8)),
        spec(gang(4, 2)),
        Spec {
            repeat: Some(repeat),
            ..spec(step(1, 1))
        },
    ];
    for job in jobs {
        assert_eq!(crashes_until_given_up(job.clone()), 2, "{job:?}");
    }
}

/// Guards against giving up work that twice shared a worker with a deadly subtask.
#[test]
fn a_neighbour_of_two_deadly_subtasks_is_not_given_up() {
    let mut fleet = Fleet::new(2);
    fleet.submit("neighbour", 1, step(1, 4));
    let mut neighbour = starts(&fleet.plan()).remove(0);
    fleet.take(&neighbour);
    for round in 0..4 {
        fleet.advance(2_000);
        let deadly = format!("deadly-{round}");
        fleet.submit(&deadly, 0, step(1, 4));
        let start = starts(&fleet.plan()).remove(0);
        if round < 3 {
            assert_eq!(start.worker, neighbour.worker, "the fuller worker");
        } else {
            assert_ne!(start.worker, neighbour.worker, "it runs alone");
        }
        fleet.take(&start);
        fleet.advance(CRASH_DELAY).crash(&start.worker.clone());
        let (now, wall_now) = (fleet.now, fleet.wall());
        fleet.scheduler.cancel(&deadly, now, wall_now);
        if let Some(again) = starts(&fleet.plan()).pop() {
            neighbour = again;
            fleet.take(&neighbour);
        }
    }
    assert_eq!(fleet.scheduler.phase("neighbour"), Some(Phase::Running));
    fleet.advance(1_000).finish(&neighbour, 1, Outcome::Done);
    assert_eq!(fleet.scheduler.phase("neighbour"), Some(Phase::Completed));
}

/// Guards against a second crash that says nothing because several subtasks had just started.
#[test]
fn a_suspect_starts_apart_from_other_starts() {
    let mut fleet = Fleet::new(2);
    fleet.submit("suspect", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    fleet.take(&first);
    fleet.advance(CRASH_DELAY).crash(&first.worker);
    fleet.submit("other", 0, step(2, 1));
    let placed = starts(&fleet.plan());
    assert_eq!(placed.len(), 3);
    let worker = |job: &str| placed.iter().find(|o| &*o.task.job == job).unwrap();
    assert_ne!(worker("suspect").worker, worker("other").worker);
    for order in &placed {
        fleet.take(order);
    }
    // Nothing else starts beside it at first.
    let beside = |fleet: &mut Fleet, id: &str| {
        fleet.submit(id, 0, step(16, 1));
        let placed = starts(&fleet.plan());
        let suspect = &worker("suspect").worker;
        placed.iter().filter(|o| o.worker == *suspect).count()
    };
    assert_eq!(beside(&mut fleet, "early"), 0);
    fleet.advance(499);
    assert_eq!(beside(&mut fleet, "early-2"), 0);
    fleet.advance(1);
    assert!(beside(&mut fleet, "late") > 0);
}

/// Guards against giving up, or isolating, all work of a rack that lost power, however often.
#[test]
fn a_rack_without_power_counts_for_none_of_its_runs() {
    let mut fleet = Fleet::new(8);
    fleet.submit("job", 1, step(8, 4));
    for round in 0..5 {
        let placed = starts(&fleet.plan());
        assert_eq!(placed.len(), 8, "round {round}");
        for order in &placed {
            fleet.take(order);
        }
        let mut rack: Vec<_> = placed.iter().map(|o| o.worker.clone()).collect();
        rack.dedup();
        let alive_until = fleet.advance(1_000).now;
        fleet.advance(1_500);
        for worker in &rack {
            fleet.lose(worker, alive_until);
        }
        fleet.advance(3_000);
        for worker in &rack {
            fleet.replace(worker);
        }
    }
    fleet.submit("other", 0, step(4, 1));
    assert_eq!(starts(&fleet.plan()).len(), 12);
    assert_eq!(fleet.scheduler.phase("job"), Some(Phase::Running));
}

/// Guards against counting a lapsed lease, a silent worker or a shutdown as a crash.
#[test]
fn only_the_end_of_a_worker_is_a_crash() {
    let mut fleet = Fleet::new(3);
    fleet.submit("job", 1, step(1, 8));
    let restart = |fleet: &mut Fleet| {
        let order = starts(&fleet.plan()).remove(0);
        fleet.take(&order);
        fleet.advance(CRASH_DELAY);
        order
    };
    for _ in 0..4 {
        // Silence up to the end of the lease; the worker answers again later.
        let order = restart(&mut fleet);
        let alive_until = fleet.now;
        fleet.advance(2_000).lose(&order.worker, alive_until);
        let now = fleet.advance(6_300).now;
        fleet.scheduler.handle_lease_expiry(&order.worker, now);
        fleet.advance(1_000).report(&order.worker, &[], Vec::new());
        fleet.scheduler.set_responding(&order.worker, true, now);
        // An announced shutdown.
        let order = restart(&mut fleet);
        for info in fleet.infos.iter_mut().filter(|i| i.id == order.worker) {
            info.draining = true;
            info.remaining = Some(Millis(2_000));
        }
        let (infos, now) = (fleet.infos.clone(), fleet.now);
        fleet.scheduler.replace_vm_list(infos, now);
        fleet.advance(2_000).crash(&order.worker);
        fleet.advance(20_000);
    }
    // The first crash is the first that counts.
    let order = restart(&mut fleet);
    fleet.crash(&order.worker);
    assert_eq!(fleet.scheduler.phase("job"), Some(Phase::Running));
    let order = restart(&mut fleet);
    fleet.crash(&order.worker);
    assert_eq!(fleet.scheduler.phase("job"), Some(Phase::Failed));
}

/// Guards against crashes that are forgotten because the worker is back only after its lease, or at
/// another address.
#[test]
fn a_worker_that_returns_after_its_lease_explains_the_loss() {
    let mut fleet = Fleet::new(4);
    fleet.submit("job", 1, step(1, 1));
    for crashes in 1..=2 {
        let order = starts(&fleet.plan()).remove(0);
        fleet.take(&order);
        let now = fleet.advance(CRASH_DELAY).now;
        fleet.lose(&order.worker, now);
        let now = fleet.advance(6_300).now;
        fleet.scheduler.handle_lease_expiry(&order.worker, now);
        for info in fleet.infos.iter_mut().filter(|i| i.id == order.worker) {
            info.address = format!("127.0.0.1:20{crashes}").into();
        }
        fleet.advance(2_000).register_successor(&order.worker);
        if crashes == 1 {
            assert_eq!(fleet.scheduler.phase("job"), Some(Phase::Running));
        }
    }
    fleet.plan();
    assert_eq!(fleet.scheduler.phase("job"), Some(Phase::Failed));
}

/// Guards against a takeover that starts the count anew.
#[test]
fn the_count_survives_a_takeover() {
    let mut fleet = Fleet::new(4);
    fleet.submit("deadly", 1, step(1, 1));
    assert!(play_deadly_start(&mut fleet));
    fleet.plan();
    fleet.restart();
    // The next leader knows where to ask for a run, though the worker may not be listed any more.
    fleet.advance(1_000);
    let mut crashes = 1;
    while fleet.scheduler.phase("deadly") != Some(Phase::Failed) {
        let (now, wall_now) = (fleet.now, fleet.wall());
        let adopted = fleet.scheduler.workers_in_use();
        for worker in adopted {
            fleet.scheduler.handle_replaced(&worker, now, wall_now);
        }
        crashes += u32::from(play_deadly_start(&mut fleet));
        fleet.advance(1_000);
        assert!(crashes <= 3, "{crashes} crashes");
    }
}

/// Guards against a crash that no leader counts because the next one takes over before the worker's
/// end is known.
#[test]
fn a_crash_before_a_takeover_counts() {
    let mut fleet = Fleet::new(4);
    fleet.submit("deadly", 1, step(1, 1));
    let first = starts(&fleet.plan()).remove(0);
    fleet.advance(CRASH_DELAY).restart();
    fleet.lose(&first.worker, Millis::ZERO);
    fleet.advance(3_000).replace(&first.worker);
    assert_eq!(fleet.scheduler.phase("deadly"), Some(Phase::Running));
    assert!(play_deadly_start(&mut fleet));
    assert_eq!(fleet.scheduler.phase("deadly"), Some(Phase::Failed));
}

/// Guards against taking the crashes of two deadly subtasks in one rack for an outage because both
/// were noticed at a takeover, and against counting the loss of a whole rack.
#[test]
fn a_takeover_tells_two_crashes_from_the_loss_of_a_rack() {
    for (lost, counted) in [(2, true), (4, false)] {
        let mut fleet = Fleet::new(8);
        for job in 0..4 {
            fleet.submit(&format!("{job}"), 1, step(1, 8));
        }
        let placed = starts(&fleet.plan());
        fleet.advance(CRASH_DELAY).restart();
        for order in &placed[..lost] {
            fleet.lose(&order.worker, Millis::ZERO);
        }
        fleet.advance(3_000);
        for order in &placed[..lost] {
            fleet.replace(&order.worker);
        }
        fleet.plan();
        let crashes = fleet.crashes(&placed[0].task.job);
        assert_eq!(crashes > 0, counted, "{lost} workers lost");
    }
}

/// Guards against a leader that can't ask for the run of an earlier one because the list no longer
/// names its worker.
#[test]
fn the_address_of_a_run_is_stored_with_it() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    let address = fleet.infos.remove(0).address;
    fleet.restart();
    assert_eq!(
        fleet.scheduler.unlisted_workers(),
        [(order.worker, 1, address)]
    );
}

/// Guards against crashes that count for a start that the worker never carried out.
#[test]
fn an_unanswered_start_has_no_crash() {
    let mut fleet = Fleet::new(4);
    fleet.submit("job", 1, step(1, 1));
    for round in 0..4 {
        let order = starts(&fleet.plan()).remove(0);
        let now = fleet.advance(700).now;
        let unknown = StartReply::Unknown;
        fleet
            .scheduler
            .handle_start_reply(&order.task, order.attempt, unknown, now);
        fleet.plan();
        let now = fleet.advance(1_000).now;
        fleet.report_to(now, &order.worker.clone(), &[], Vec::new());
        fleet.crash(&order.worker);
        assert_eq!(
            fleet.scheduler.phase("job"),
            Some(Phase::Running),
            "round {round}"
        );
    }
}

/// Guards against crashes that go unnoticed because the worker comes back under the same id.
#[test]
fn a_restart_under_the_same_id_is_a_crash() {
    let mut fleet = Fleet::new(1);
    fleet.submit("deadly", 1, step(1, 1));
    for life in 2..=3 {
        let order = starts(&fleet.plan()).remove(0);
        fleet.take(&order);
        let now = fleet.advance(CRASH_DELAY).now;
        fleet.lose("w00", now);
        fleet.infos[0].incarnation = life;
        let (infos, now) = (fleet.infos.clone(), fleet.advance(3_000).now);
        fleet.scheduler.replace_vm_list(infos, now);
        fleet.scheduler.set_responding("w00", true, now);
        fleet.report_life("w00", life);
        fleet.advance(2_000);
    }
    assert_eq!(fleet.scheduler.phase("deadly"), Some(Phase::Failed));
}

/// Guards against a subtask that is not found because it crashes its workers before they answer the
/// start. Three crashes are allowed.
#[test]
fn a_start_that_closes_its_connection_has_a_crash() {
    let mut fleet = Fleet::new(4);
    fleet.submit("deadly", 1, step(1, 1));
    for (round, outage_comes_first) in [false, true, false].into_iter().enumerate() {
        assert_eq!(
            fleet.scheduler.phase("deadly").map(Phase::is_final),
            Some(false)
        );
        let order = starts(&fleet.plan()).remove(0);
        assert_eq!(fleet.scheduler.needs_contact(&order.task), round > 0);
        if round > 0 {
            fleet.report(&order.worker.clone(), &[], Vec::new());
        }
        // The leader that takes over in between knows of the first crash.
        if round == 1 {
            fleet.restart();
            assert!(fleet.scheduler.needs_contact(&order.task));
            fleet.report(&order.worker.clone(), &[], Vec::new());
            fleet.plan();
        }
        let now = fleet.advance(CRASH_DELAY).now;
        // The worker was idle before, so that nothing else shows how long it lived.
        if outage_comes_first {
            fleet.lose(&order.worker, Millis::ZERO);
        }
        let closed = StartReply::Closed;
        fleet
            .scheduler
            .handle_start_reply(&order.task, order.attempt, closed, now);
        fleet.plan();
        let refused = StartReply::Refused(Refusal::Unhealthy);
        fleet
            .scheduler
            .handle_start_reply(&order.task, order.attempt, refused, now);
        if !outage_comes_first {
            fleet.lose(&order.worker, Millis::ZERO);
        }
        fleet.advance(3_000).replace(&order.worker);
    }
    assert_eq!(fleet.scheduler.phase("deadly"), Some(Phase::Failed));
}

/// Guards against a job that is given up although none of its starts reached a worker: each of them
/// met one that was cut off, whose connections were reset, and that crashed behind the cut.
#[test]
fn a_start_on_a_worker_that_is_cut_off_has_no_crash() {
    let mut fleet = Fleet::new(8);
    fleet.submit("job", 1, step(1, 1));
    for round in 0..4 {
        let order = starts(&fleet.plan()).remove(0);
        let now = fleet.advance(1).now;
        fleet.lose(&order.worker, Millis::ZERO);
        for _ in 0..3 {
            let closed = StartReply::Closed;
            fleet
                .scheduler
                .handle_start_reply(&order.task, order.attempt, closed, now);
            fleet.plan();
        }
        fleet.advance(3_000).replace(&order.worker);
        assert_eq!(
            fleet.scheduler.phase("job"),
            Some(Phase::Running),
            "round {round}"
        );
        assert_eq!(fleet.crashes("job"), 0, "round {round}");
    }
}

/// Guards against a crash that counts for a start which was still under way, because the worker
/// answers orders late.
#[test]
fn a_late_start_that_closes_its_connection_has_no_crash() {
    let mut fleet = Fleet::new(4);
    fleet.submit("job", 1, step(1, 1));
    for _ in 0..4 {
        let order = starts(&fleet.plan()).remove(0);
        let now = fleet.advance(600).now;
        fleet
            .scheduler
            .handle_start_reply(&order.task, order.attempt, StartReply::Closed, now);
        fleet.plan();
        fleet.crash(&order.worker);
    }
    assert_eq!(fleet.scheduler.phase("job"), Some(Phase::Running));
}

/// Guards against a job that is given up because workers that go away in one millisecond are not
/// compared with each other.
#[test]
fn a_crash_under_the_first_run_of_an_idle_worker_is_compared_with_others() {
    let mut fleet = Fleet::new(4);
    fleet.submit("job", 1, step(1, 1));
    for round in 0..3 {
        let order = starts(&fleet.plan()).remove(0);
        let workers: Vec<_> = fleet.infos.iter().map(|i| i.id.clone()).collect();
        let other = workers.iter().find(|w| **w != order.worker).unwrap();
        fleet.report(&order.worker.clone(), &[], Vec::new());
        fleet.report(other, &[], Vec::new());
        let now = fleet.advance(CRASH_DELAY).now;
        let closed = StartReply::Closed;
        fleet
            .scheduler
            .handle_start_reply(&order.task, order.attempt, closed, now);
        fleet.plan();
        fleet.lose(&order.worker, Millis::ZERO);
        fleet.lose(other, now);
        fleet.advance(3_000).replace(&order.worker);
        fleet.replace(other);
        assert_eq!(
            fleet.scheduler.phase("job"),
            Some(Phase::Running),
            "round {round}"
        );
    }
}

/// Loses workers in the moment after a start, and replaces them.
fn play_outage(fleet: &mut Fleet, workers: &[Text]) {
    let now = fleet.advance(CRASH_DELAY).now;
    for worker in workers {
        fleet.lose(worker, now);
    }
    fleet.advance(3_000);
    for worker in workers {
        fleet.replace(worker);
    }
    fleet.advance(2_000);
}

/// Starts a job of one subtask and loses its worker with others.
fn start_in_outage(fleet: &mut Fleet, others: usize) {
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    let ids = fleet.infos.iter().map(|i| i.id.clone());
    let others = ids.filter(|w| *w != order.worker).take(others);
    let lost: Vec<_> = iter::once(order.worker.clone()).chain(others).collect();
    play_outage(fleet, &lost);
}

/// Guards against a job that is given up because it starts again and again as many workers crash.
#[test]
fn a_job_that_starts_as_many_workers_crash_is_not_given_up() {
    let mut fleet = Fleet::new(8);
    fleet.submit("job", 1, step(1, 1));
    for round in 0..6 {
        start_in_outage(&mut fleet, 3);
        let phase = fleet.scheduler.phase("job");
        assert_eq!(phase, Some(Phase::Running), "round {round}");
        assert_eq!(fleet.crashes("job"), 0, "round {round}");
    }
}

/// Guards against a deadly subtask that is taken for innocent because few other workers go away by
/// chance.
#[test]
fn two_other_crashes_clear_no_start() {
    let mut fleet = Fleet::new(8);
    fleet.submit("job", 1, step(1, 1));
    start_in_outage(&mut fleet, 2);
    fleet.plan();
    assert_eq!(fleet.crashes("job"), 1);
}

#[test]
fn one_worker_that_flaps_clears_no_start() {
    let mut fleet = Fleet::new(8);
    fleet.submit("job", 1, step(1, 1));
    let order = starts(&fleet.plan()).remove(0);
    fleet.take(&order);
    let ids = fleet.infos.iter().map(|i| i.id.clone());
    let other = ids.into_iter().find(|w| *w != order.worker).unwrap();
    for _ in 0..3 {
        let now = fleet.advance(CRASH_DELAY).now;
        fleet.lose(&other, now);
        fleet.scheduler.set_responding(&other, true, now);
    }
    play_outage(&mut fleet, &[order.worker]);
    fleet.plan();
    assert_eq!(fleet.crashes("job"), 1);
}

/// Guards against a deadly job that is taken for innocent because its older runs crash their workers
/// at the same time.
#[test]
fn older_runs_of_a_job_do_not_clear_its_new_one() {
    let mut fleet = Fleet::new(8);
    fleet.submit("deadly", 1, step(5, 8));
    let mut older = starts(&fleet.plan());
    for order in &older {
        fleet.take(order);
    }
    let mut rounds = 0;
    while fleet.scheduler.phase("deadly") != Some(Phase::Failed) {
        rounds += 1;
        assert!(rounds < 8, "not given up");
        // One run ends, so that its subtask starts anew beside the older runs.
        let stopped = older.iter().position(|o| o.task.index == 0).unwrap();
        let stopped = older.remove(stopped);
        fleet.advance(1_000);
        fleet.finish(&stopped, 1, Outcome::Stopped);
        let new = starts(&fleet.plan());
        for order in &new {
            fleet.take(order);
        }
        let lost: Vec<_> = older.iter().chain(&new).map(|o| o.worker.clone()).collect();
        play_outage(&mut fleet, &lost);
        older = starts(&fleet.plan());
        for order in &older {
            fleet.take(order);
        }
        fleet.advance(2_000);
    }
}
