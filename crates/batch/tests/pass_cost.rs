//! Cost of one pass on the heaviest load of the largest sites.

mod fleet;

use std::time::Duration;

use batch::{
    job::{Resources, Spec, Step},
    worker::StartReply,
};
use fleet::{Fleet, gang, starts, step};
use rustix::time::{ClockId, clock_gettime};

/// Workers of the largest site.
const WORKERS: usize = 350;
/// Urgent gangs that wait at the peak of a burst.
const URGENT: usize = 60;
/// Deferrable jobs that wait meanwhile.
const DEFERRABLE: usize = 80;
/// Jobs that ended and can still be read.
const ENDED: usize = 1_000;

/// Most processor time of a pass: a leader acts for 1.7 s after its last renewal, and the smallest
/// VM has 0.12 of a core.
const BOUND: Duration = Duration::from_millis(200);

/// Guards against a pass that outlasts the lease: the leader loses it before its decisions are
/// committed, the next leader has the same load, and nothing is placed any more.
#[test]
fn a_pass_over_full_workers_ends_within_the_lease() {
    let mut fleet = Fleet::new(WORKERS);
    for i in 0..ENDED {
        fleet.submit(&format!("ended-{i}"), 2, step(1, 1));
        let (now, wall) = (fleet.now, fleet.wall());
        fleet.scheduler.cancel(&format!("ended-{i}"), now, wall);
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
    fleet.after(1_000);
    let begin = processor_time();
    fleet.plan();
    let took = processor_time().saturating_sub(begin);
    assert!(took < BOUND, "a pass took {took:?}");
}

/// Returns the processor time of this thread; other processes on the machine don't count.
fn processor_time() -> Duration {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// Guards against deferrable work that is passed over because a larger need was tried first: a
/// search that failed stands only for needs that are at least as large.
#[test]
fn small_work_starts_behind_large_work_that_does_not_fit() {
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
    let of = |job: &str| started.iter().filter(|o| &*o.task.job == job).count();
    assert_eq!((of("large"), of("small"), of("cores")), (0, 2, 0));
}
