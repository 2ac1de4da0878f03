//! Crashes of workers under lasting work, which is restarted however it ends.

mod fleet;

use base::clock::Millis;
use batch::{
    job::Step,
    progress::Phase,
    worker::{Order, Outcome},
};
use fleet::{Fleet, gang, starts, step};

/// Time in which a lasting subtask must run again after its last run.
const MAX_GAP: Millis = Millis(9_000);
/// Time after which another worker answers at the address of one that has crashed.
const REBOOT: u64 = 3_000;
/// Interval between two passes.
const PASS: u64 = 250;
/// Number of workers that one subtask may crash in quick succession.
const MAX_QUICK_CRASHES: usize = 3;

/// Starts and crashes of one subtask.
#[derive(Debug, Default)]
struct Seen {
    starts: Vec<Millis>,
    crashes: Vec<Millis>,
    /// Number of starts on workers with other work, after the third crash.
    shared: usize,
}

impl Seen {
    /// Returns the times from a crash to the next start.
    fn gaps(&self) -> Vec<Millis> {
        let next = |crash: &Millis| self.starts.iter().find(|t| *t > crash).copied();
        let gap = |crash: &Millis| next(crash).map(|t| t.since(*crash));
        self.crashes.iter().filter_map(gap).collect()
    }
}

fn lasting(count: u32) -> Step {
    Step {
        endless: true,
        ..step(count, 1)
    }
}

fn start_all(fleet: &mut Fleet) -> Vec<Order> {
    let orders = starts(&fleet.plan());
    for order in &orders {
        fleet.take(order);
    }
    orders
}

/// Plays a lasting job for `ms` on a fleet with one lasting job on half of the workers. The worker of
/// its first subtask crashes `after` each start, at most `crashes` times.
fn play(job: Step, after: u64, crashes: usize, ms: u64) -> (Fleet, Seen) {
    play_beside(lasting(4), job, after, crashes, ms)
}

/// The same beside a job with one subtask a worker.
fn play_beside(other: Step, job: Step, after: u64, crashes: usize, ms: u64) -> (Fleet, Seen) {
    let mut fleet = Fleet::new(8);
    let other = Step {
        max_per_worker: 1,
        ..other
    };
    fleet.submit("other", 1, other);
    let other: Vec<_> = start_all(&mut fleet)
        .into_iter()
        .map(|o| o.worker)
        .collect();
    fleet.advance(5_000);
    let is_gang = job.gang;
    fleet.submit("odd", 1, job);
    let mut seen = Seen::default();
    let mut due: Option<(Order, Millis)> = None;
    let mut back: Option<(Order, Millis)> = None;
    let mut members: Vec<Order> = Vec::new();
    let end = fleet.now + Millis(ms);
    while fleet.now < end {
        for order in start_all(&mut fleet) {
            if &*order.task.job != "odd" {
                continue;
            }
            if order.task.index > 0 {
                members.push(order);
                continue;
            }
            seen.starts.push(fleet.now);
            if seen.crashes.len() >= MAX_QUICK_CRASHES && other.contains(&order.worker) {
                seen.shared += 1;
            }
            if seen.crashes.len() < crashes {
                let at = fleet.now + Millis(after);
                due = Some((order, at));
            }
        }
        let now = fleet.advance(PASS).now;
        if let Some((order, _)) = due.take_if(|(_, at)| *at <= now) {
            seen.crashes.push(now);
            fleet.lose(&order.worker, now);
            if is_gang {
                for (seq, member) in members.drain(..).enumerate() {
                    if member.worker != order.worker {
                        fleet.finish(&member, now.0 * 100 + seq as u64, Outcome::Broken);
                    }
                }
            }
            back = Some((order, now + Millis(REBOOT)));
        }
        if let Some((order, _)) = back.take_if(|(_, at)| *at <= now) {
            fleet.replace(&order.worker);
        }
    }
    (fleet, seen)
}

/// Guards against lasting work that is given up because its worker goes down by itself.
#[test]
fn lasting_work_outlives_workers_that_go_down() {
    for (after, crashes) in [(10, 2), (10, 6), (1_400, 3), (4_000, 5), (61_000, 3)] {
        let ms = (after + 20_000) * crashes as u64;
        let (fleet, seen) = play(lasting(1), after, crashes, ms);
        let phase = fleet.scheduler.phase("odd");
        assert_eq!(phase, Some(Phase::Running), "{after} {crashes}");
        assert_eq!(seen.starts.len(), crashes + 1, "{after} {crashes}");
        let is_back = |gap: &Millis| *gap <= MAX_GAP;
        assert!(
            seen.gaps().iter().all(is_back),
            "{after} {crashes}: {seen:?}"
        );
    }
}

/// Guards against lasting work that takes one worker after the other down: after three in quick
/// succession it rests, longer each time, and runs on workers of its own.
#[test]
fn deadly_lasting_work_crashes_workers_ever_more_slowly() {
    for job in [
        lasting(1),
        lasting(3),
        Step {
            endless: true,
            ..gang(3, 8)
        },
    ] {
        let (fleet, seen) = play(job.clone(), 10, usize::MAX, 120_000);
        assert_eq!(fleet.scheduler.phase("odd"), Some(Phase::Running));
        let gaps = seen.gaps();
        assert!(gaps.iter().all(|g| *g <= MAX_GAP), "{job:?}: {gaps:?}");
        let slow = &gaps[MAX_QUICK_CRASHES..];
        assert!(slow.is_sorted(), "{job:?}: {gaps:?}");
        assert!(
            slow[2..].iter().all(|g| *g >= Millis(6_000)),
            "{job:?}: {gaps:?}"
        );
        assert_eq!(seen.shared, 0, "{job:?}");
        assert_eq!(fleet.scheduler.phase("other"), Some(Phase::Running));
    }
}

/// Guards against lasting work that waits until the work on a worker of its own has ended.
#[test]
fn lasting_work_does_not_wait_for_a_worker_to_become_idle() {
    let other = Step {
        estimate: Millis(600_000),
        ..step(8, 1)
    };
    let (_, seen) = play_beside(other, lasting(1), 10, 6, 80_000);
    assert_eq!(seen.starts.len(), 7);
    let gaps = seen.gaps();
    assert!(gaps.iter().all(|g| *g <= MAX_GAP), "{gaps:?}");
}

/// Guards against a new leader that counts the crashes of lasting work from the beginning, or gives it
/// up by the count of the one before.
#[test]
fn the_count_of_lasting_work_survives_a_takeover() {
    let (mut fleet, seen) = play(lasting(1), 10, 4, 60_000);
    assert_eq!(seen.crashes.len(), 4);
    assert_eq!(fleet.crashes("odd"), 4);
    fleet.restart();
    assert_eq!(fleet.scheduler.phase("odd"), Some(Phase::Running));
}
