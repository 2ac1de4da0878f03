//! Work that is kept from a worker because of what else runs there: each such exclusion has an end.

mod fleet;

use base::clock::Millis;
use batch::{
    job::Step,
    worker::{Order, Outcome},
};
use fleet::{Fleet, lasting, long, step};

/// Maximum wait of work that fits on the only worker with its label.
const MAX_WAIT: Millis = Millis(4_000);
/// Interval between two passes.
const PASS: u64 = 250;
/// Time after which a worker that has crashed is back.
const REBOOT: u64 = 2_000;
const LABEL: &str = "big";
const OTHER_LABEL: &str = "small";

/// Returns a fleet of which one worker has [`LABEL`], and all others have [`OTHER_LABEL`].
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(8);
    for (i, info) in fleet.infos.iter_mut().enumerate() {
        let label = if i == 0 { LABEL } else { OTHER_LABEL };
        info.labels.insert(0, label.into());
    }
    fleet.list_workers();
    fleet
}

fn labelled(step: Step) -> Step {
    Step {
        label: Some(LABEL.into()),
        ..step
    }
}

/// Waits until a subtask of the job is started.
fn start_of(fleet: &mut Fleet, job: &str) -> Order {
    for _ in 0..400 {
        let mut orders = fleet.start_all().into_iter();
        if let Some(order) = orders.find(|o| &*o.task.job == job) {
            return order;
        }
        fleet.advance(PASS);
    }
    panic!("{job} is not started");
}

/// Submits a job and returns the time until it is started.
fn wait_of(fleet: &mut Fleet, priority: u32, step: Step) -> Millis {
    let submitted = fleet.now;
    fleet.submit("other", priority, step);
    start_of(fleet, "other");
    fleet.now.since(submitted)
}

/// Crashes a worker, which is back after a while.
fn crash(fleet: &mut Fleet, worker: &str) {
    fleet.lose(worker, fleet.now);
    fleet.advance(REBOOT).replace(worker);
}

/// Plays a job whose worker crashes `crashes` times, some time after each start.
fn play_crashes(fleet: &mut Fleet, step: Step, crashes: u32) {
    fleet.submit("suspect", 1, labelled(step));
    for _ in 0..crashes {
        let order = start_of(fleet, "suspect");
        crash(fleet.advance(7_000), &order.worker);
    }
}

/// Guards against a subtask that keeps all other work from a worker for as long as it runs there,
/// because three workers have crashed under it.
#[test]
fn a_suspect_that_runs_on_shares_its_worker() {
    for (suspect, crashes) in [(lasting(1, 1), 3), (lasting(1, 1), 8), (long(1, 1), 3)] {
        for (takes_over, after) in [(false, 0), (false, 10_000), (true, 0), (true, 10_000)] {
            let mut fleet = fleet();
            play_crashes(&mut fleet, suspect.clone(), crashes);
            let run = start_of(&mut fleet, "suspect");
            fleet.advance(after);
            if takes_over {
                fleet.restart();
                fleet.report(&run.worker, &[&run], vec![]);
            }
            let wait = wait_of(&mut fleet, 2, labelled(step(1, 1)));
            assert!(wait <= MAX_WAIT, "{wait} {takes_over} {after}: {suspect:?}");
        }
    }
}

/// Guards against a subtask that is kept apart because of crashes before a run that proved sound.
#[test]
fn a_run_that_lasts_clears_its_subtask() {
    let mut fleet = fleet();
    play_crashes(&mut fleet, lasting(1, 1), 3);
    let run = start_of(&mut fleet, "suspect");
    assert_eq!(fleet.crashes("suspect"), 3);
    fleet.advance(61_000).report_running(&run, 4, 100);
    fleet.plan();
    assert_eq!(fleet.crashes("suspect"), 0);
}

/// Guards against lasting work that waits for a worker which is held for a subtask that has to be
/// alone there.
#[test]
fn a_held_worker_takes_lasting_work() {
    let mut fleet = fleet();
    // Fills the other workers, so that the service has no ample room and a long hold is allowed.
    let busy = Step {
        label: Some(OTHER_LABEL.into()),
        ..long(7, 8)
    };
    fleet.submit("busy", 1, busy);
    play_crashes(&mut fleet, long(1, 1), 3);
    // Urgent work comes first, so that the worker is not idle.
    fleet.submit("beside", 0, labelled(long(1, 1)));
    start_of(&mut fleet, "beside");
    let wait = wait_of(&mut fleet, 2, labelled(lasting(1, 1)));
    assert!(wait <= MAX_WAIT, "{wait}");
}

/// Guards against a subtask that never runs again after one crash, because something else starts in each
/// pass on the only worker it can use.
#[test]
fn a_suspect_starts_where_something_always_starts() {
    let suspects = [lasting(1, 1), long(1, 1)];
    for (suspect, priority) in suspects.iter().flat_map(|s| [(s, 0), (s, 2)]) {
        let mut fleet = fleet();
        play_crashes(&mut fleet, suspect.clone(), 1);
        let back = fleet.now;
        let mut running: Vec<Order> = Vec::new();
        while !running.iter().any(|o| &*o.task.job == "suspect") {
            let wait = fleet.now.since(back);
            assert!(wait <= MAX_WAIT, "{wait} {priority}: {suspect:?}");
            for (order, seq) in running.drain(..).zip(fleet.now.0..) {
                fleet.finish(&order, seq, Outcome::Done);
            }
            fleet.submit(&format!("short-{wait}"), priority, labelled(step(1, 1)));
            running = fleet.start_all();
            fleet.advance(PASS);
        }
    }
}

/// Guards against work that never starts because a suspect, of higher rank, always starts where it has
/// to run.
#[test]
fn work_starts_where_suspects_always_start() {
    let mut fleet = fleet();
    for i in 0..40 {
        fleet.submit(&format!("suspect-{i}"), 1, labelled(long(1, 0)));
    }
    let worker = fleet.start_all()[0].worker.clone();
    crash(fleet.advance(3_000), &worker);
    let (submitted, mut wait) = (fleet.now, None);
    let mut started: Vec<Millis> = Vec::new();
    fleet.submit("other", 2, labelled(step(1, 1)));
    for _ in 0..200 {
        for order in fleet.start_all() {
            match &*order.task.job {
                "other" => wait = Some(fleet.now.since(submitted)),
                _ => started.push(fleet.now),
            }
        }
        fleet.advance(PASS);
    }
    assert!(wait.is_some_and(|w| w <= MAX_WAIT), "{wait:?}");
    assert_eq!(started.len(), 40, "all suspects run again");
    let is_apart = |pair: &[Millis]| pair[1].since(pair[0]) >= Millis(500);
    assert!(
        started.windows(2).all(is_apart),
        "two suspects start together"
    );
}
