//! Lasting work that has to run again while other work keeps all workers busy.

mod fleet;

use base::clock::Millis;
use batch::{
    job::Step,
    worker::{Action, Order, Outcome},
};
use fleet::{Fleet, lasting, long, step};

/// Time after its last run within which lasting work has to run again.
const RESTART_TIME: Millis = Millis(9_000);
/// Time after which the runs on a lost worker have ended.
const LEASE: Millis = Millis(6_000);
/// Interval between two passes.
const PASS: u64 = 250;
const WORKERS: u32 = 8;

/// Plays a lasting job of priority 1 whose worker goes away, beside jobs of the given priority of which
/// one comes every 4 s. Returns the number of stopped runs and the time until the job runs again.
fn play(other: &Step, priority: u32) -> (u64, Option<Millis>) {
    let mut fleet = Fleet::new(WORKERS as usize);
    fleet.submit("lasting", 1, lasting(1, 8));
    let lost = fleet.start_all()[0].worker.clone();
    let (mut running, mut lost_at): (Vec<Order>, _) = (Vec::new(), None);
    let (mut ends, mut stops) = (0, 0);
    for i in 0..140 {
        let now = fleet.advance(PASS).now;
        if i % 16 == 0 {
            fleet.submit(&format!("other-{i}"), priority, other.clone());
            let is_short = other.estimate <= Millis(4_000);
            for order in running.drain(..).filter(|_| is_short) {
                ends += 1;
                fleet.finish(&order, ends, Outcome::Done);
            }
        }
        if i == 60 {
            lost_at = Some(now);
            fleet.lose(&lost, now);
            fleet.infos.retain(|info| info.id != lost);
            fleet.list_workers();
            running.retain(|o| o.worker != lost);
        }
        if lost_at.is_some_and(|at| now == at + LEASE) {
            fleet.scheduler.handle_lease_expiry(&lost, now);
        }
        for order in fleet.plan().orders {
            if order.action == Action::Stop {
                (ends, stops) = (ends + 1, stops + 1);
                fleet.finish(&order, ends, Outcome::Stopped);
                continue;
            }
            fleet.take(&order);
            if &*order.task.job == "lasting" {
                return (stops, lost_at.map(|at| now.since(at)));
            }
            running.push(order);
        }
    }
    (stops, None)
}

fn is_in_time(wait: Option<Millis>) -> bool {
    wait.is_some_and(|w| w <= RESTART_TIME)
}

/// Guards against lasting work that never runs again after a crash, because the jobs that come later are
/// always before it.
#[test]
fn lasting_work_runs_again_before_later_jobs() {
    let short = Step {
        estimate: Millis(4_000),
        ..step(WORKERS - 1, 8)
    };
    for priority in [1, 2] {
        let (_, wait) = play(&short, priority);
        assert!(is_in_time(wait), "{wait:?}");
    }
}

/// Guards against lasting work that does not run again after a crash, because finite work fills the
/// service, and against stops of work that comes before it or of more than it needs.
#[test]
fn lasting_work_runs_again_in_a_full_service() {
    for (filler, needed) in [(long(WORKERS - 1, 8), 1), (long(2 * (WORKERS - 1), 4), 2)] {
        for priority in [1, 2] {
            let (stops, wait) = play(&filler, priority);
            assert!(is_in_time(wait) && stops == needed, "{wait:?} {stops}");
        }
        assert_eq!(play(&filler, 0), (0, None), "urgent work is not stopped");
    }
}
