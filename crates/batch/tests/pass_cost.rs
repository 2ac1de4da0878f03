//! Processor time of one scheduling pass under peak load at the largest site.

mod fleet;

use std::{rc::Rc, time::Duration};

use base::clock::Millis;
use batch::{
    job::{Resources, Spec, Step},
    pacing,
    speed_report::StoredForecast,
    worker::StartReply,
};
use fleet::{Fleet, gang, starts, step};
use forecast::stored::StoredWorker;
use rustix::time::{ClockId, clock_gettime};

/// Number of workers of the largest site.
const WORKERS: usize = 350;
/// Number of urgent gangs that wait at the peak of a burst.
const URGENT: usize = 60;
/// Number of deferrable jobs that wait at the same time.
const DEFERRABLE: usize = 80;
/// Number of ended jobs that can still be queried.
const ENDED: usize = 1_000;

/// Maximum processor time of a pass: a leader may act for 1.7 s after its last renewal, and the
/// smallest VM has 0.12 of a core.
const MAX_PASS_TIME: Duration = Duration::from_millis(200);

/// Guards against a pass that takes longer than the leader's lease. The leader would lose the lease
/// before it commits its decisions, and so would every later leader, so nothing would be placed.
#[test]
fn a_pass_over_full_workers_ends_within_the_lease() {
    let took = pass_over_full_workers(&mut Fleet::new(WORKERS));
    assert!(took < MAX_PASS_TIME, "a pass took {took:?}");
}

/// Guards against the same where a third of the workers is slow, so that searches look at the classes of
/// workers one after another.
#[test]
fn a_pass_over_full_workers_of_two_classes_ends_within_the_lease() {
    let mut fleet = Fleet::new(WORKERS);
    let id = |i: usize| fleet.infos[i].id.clone();
    let log = |i: usize| if i.is_multiple_of(3) { 89 } else { 0 };
    let forecast = StoredForecast {
        workers: (0..WORKERS)
            .map(|i| StoredWorker(id(i), log(i), 250))
            .collect(),
        ..StoredForecast::default()
    };
    let now = fleet.now;
    fleet.scheduler.restore_forecast(&forecast, now);
    fleet.config.queues[0].slack_factor = 1.5;
    let config = Rc::new(fleet.config.clone());
    fleet.scheduler.configure(&config);
    let took = pass_over_full_workers(&mut fleet);
    assert_eq!(fleet.scheduler.slow_workers(), WORKERS.div_ceil(3));
    assert!(took < MAX_PASS_TIME, "a pass took {took:?}");
}

/// Returns the processor time of a pass at the peak of a burst, when deferrable work has filled the
/// workers.
fn pass_over_full_workers(fleet: &mut Fleet) -> Duration {
    for i in 0..ENDED {
        fleet.submit(&format!("ended-{i}"), 2, step(1, 1));
        let (now, wall_now) = (fleet.now, fleet.wall());
        fleet.scheduler.cancel(&format!("ended-{i}"), now, wall_now);
    }
    for i in 0..WORKERS / 5 {
        fleet.submit(&format!("low-{i}"), 2, step(40, 1));
    }
    let placed = starts(&fleet.plan());
    assert_eq!(placed.len(), WORKERS * 8);
    for order in &placed {
        let (now, attempt) = (fleet.now, order.attempt);
        let taken = StartReply::Taken;
        fleet
            .scheduler
            .handle_start_reply(&order.task, attempt, taken, now);
    }
    for i in 0..URGENT {
        let size = [1, 2, 4, 8, 8][i % 5];
        let step = Step {
            same_rack: i % 5 != 0,
            ..gang(3, size)
        };
        let spec = Spec {
            text: "spec".into(),
            steps: vec![step],
            repeat: None,
        };
        fleet.submit_spec(&format!("urgent-{i}"), 0, "org-b", spec);
    }
    for i in 0..DEFERRABLE {
        fleet.submit(&format!("wide-{i}"), 1, gang(13, 1 + (i as u64 % 8)));
    }
    fleet.advance(1_000);
    let begin = processor_time();
    fleet.plan();
    processor_time().saturating_sub(begin)
}

/// Guards against passes that look at jobs that have ended. They are kept for two minutes, and a large
/// site has a hundred times as many of them as of others.
#[test]
fn ended_jobs_cost_a_pass_nothing() {
    const MANY: usize = 30_000;
    let few = shortest_pass(0);
    let many = shortest_pass(MANY);
    assert!(many < few * 2, "{many:?} with ended jobs, {few:?} without");
}

/// Guards against passes that follow on each other so closely that nothing else is done. They must
/// leave most of the time to orders, reports and renewals, and urgent work starts within 250 ms.
#[test]
fn passes_leave_most_of_the_time_to_other_work() {
    for took in (0..=25).map(Millis) {
        let delay = pacing::delay_after(took);
        assert!(took.0 * 2 <= delay.0, "{took} after {delay}");
        assert!(delay + took < Millis(250), "{took} after {delay}");
    }
}

/// Returns the shortest processor time of several passes over full workers and waiting jobs.
fn shortest_pass(ended: usize) -> Duration {
    let mut fleet = Fleet::new(WORKERS);
    for i in 0..ended {
        let id = format!("job-{i}");
        fleet.submit(&id, 2, step(1, 1));
        let (now, wall_now) = (fleet.now, fleet.wall());
        fleet.scheduler.cancel(&id, now, wall_now);
    }
    for i in 0..WORKERS / 5 {
        fleet.submit(&format!("low-{i}"), 2, step(40, 1));
    }
    for i in 0..DEFERRABLE {
        fleet.submit(&format!("wide-{i}"), 1, gang(13, 1 + (i as u64 % 8)));
    }
    fleet.plan();
    let pass = |_| {
        fleet.advance(10);
        let begin = processor_time();
        let (now, wall_now) = (fleet.now, fleet.wall());
        fleet.scheduler.open_due_occurrences(wall_now);
        fleet.scheduler.place(now, wall_now);
        processor_time().saturating_sub(begin)
    };
    (0..5).map(pass).min().unwrap_or_default()
}

/// Returns the processor time of this thread, which other processes on the machine don't affect.
fn processor_time() -> Duration {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// Guards against deferrable work that is skipped because a search for larger work failed. A failed
/// search only rules out searches for at least the same resources.
#[test]
fn small_work_starts_although_larger_work_does_not_fit() {
    let mut fleet = Fleet::new(1);
    fleet.submit("first", 1, step(1, 6));
    assert_eq!(starts(&fleet.plan()).len(), 1);
    fleet.submit("large", 1, step(1, 4));
    fleet.submit("small", 1, step(3, 1));
    let same = Step {
        need: Resources {
            cpu: 64_000,
            memory_mb: 1,
            accelerators: 0,
        },
        ..step(1, 0)
    };
    fleet.submit("cores", 1, same);
    let started = starts(&fleet.plan());
    let start_count = |job: &str| started.iter().filter(|o| &*o.task.job == job).count();
    assert_eq!(
        (
            start_count("large"),
            start_count("small"),
            start_count("cores")
        ),
        (0, 2, 0)
    );
}
