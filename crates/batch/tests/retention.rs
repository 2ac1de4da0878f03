//! Tests of the time for which ended jobs are kept.

use base::clock::Millis;
use batch::{
    job::{AcceptedJob, Spec, Step},
    progress::{Phase, Progress},
    scheduler::JobScheduler,
};

/// Retention time in the tests.
const KEEP: Millis = Millis(120_000);
/// Time for which a job is kept in addition, at most.
const MAX_MARGIN: Millis = Millis(15_000);

fn accepted() -> AcceptedJob {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    AcceptedJob {
        id: "job".into(),
        queue: "q".into(),
        service: "s".into(),
        organisation: None,
        at: Millis(1),
        spec: Spec {
            steps: vec![step],
            ..Spec::default()
        },
    }
}

fn ended(ended_at: Option<Millis>) -> Progress {
    Progress {
        phase: Phase::Completed,
        ended_at,
        ..Progress::default()
    }
}

/// A leader that has loaded one ended job.
fn lead(progress: Progress) -> JobScheduler {
    let mut scheduler = JobScheduler::default();
    scheduler.restore(accepted(), Some(progress)).unwrap();
    scheduler
}

/// Runs a round of the retention as a leader does, and returns whether the job was removed.
fn round(scheduler: &mut JobScheduler, now: Millis) -> bool {
    if !scheduler.mark_unknown_ends(now, 10).is_empty() {
        scheduler.take_changes();
        scheduler.record_stored_ends(&["job".into()], now);
    }
    !scheduler.expired_jobs(now, KEEP, 10).is_empty()
}

/// Guards against a job that is removed before its retention time is over, or is never removed.
#[test]
fn an_ended_job_is_kept_from_its_end_and_not_for_ever() {
    let now = Millis(1_000_000);
    // Time of the end, and the time from which the job is kept.
    let cases = [
        (Some(now), now),
        (Some(Millis(990_000)), Millis(990_000)),
        (None, now),
        // A time of another clock.
        (Some(Millis(1_791_185_254_579)), now),
    ];
    for (ended_at, since) in cases {
        let mut scheduler = lead(ended(ended_at));
        let last = since.0 + KEEP.0 - 1;
        for t in [now.0, now.0 + 1, last] {
            assert!(!round(&mut scheduler, Millis(t)), "{ended_at:?} at {t}");
        }
        let removed = round(&mut scheduler, since + KEEP + MAX_MARGIN);
        assert!(removed, "{ended_at:?}");
    }
}

/// Guards against each new leader starting the retention time again.
#[test]
fn the_next_leader_reads_the_time_of_the_end() {
    let mut first = JobScheduler::default();
    assert!(first.accept(accepted()));
    assert!(first.cancel("job", Millis(7), Millis(8)));
    let changes = first.take_changes();
    let (_, progress) = &changes.records[0];
    let stored = serde_json::to_string(&progress.of_ended_job(Some(Millis(500_000)))).unwrap();
    let mut next = lead(serde_json::from_str(&stored).unwrap());
    assert!(!round(&mut next, Millis(500_000) + KEEP));
    assert!(round(&mut next, Millis(500_000) + KEEP + MAX_MARGIN));
}

/// Guards against an end that counts from before an outage of the store, in which callers saw none.
#[test]
fn an_end_is_stored_again_after_a_long_commit() {
    let mut scheduler = JobScheduler::default();
    assert!(scheduler.accept(accepted()));
    assert!(scheduler.cancel("job", Millis(7), Millis(8)));
    assert_eq!(scheduler.take_changes().records.len(), 1);
    assert_eq!(scheduler.mark_unknown_ends(Millis(505_000), 10).len(), 1);
    scheduler.record_stored_ends(&["job".into()], Millis(520_000));
    let (_, progress) = &scheduler.take_changes().records[0];
    assert_eq!(progress.ended_at, Some(Millis(520_000)));
}

/// Guards against a leader of an earlier version that removes a job early during a rolling restart:
/// it reads the wall-clock time of the end from the progress, and knows no other field.
#[test]
fn earlier_versions_read_the_end_of_a_job() {
    let progress = Progress {
        at: Millis(1_791_185_254_579),
        queue: "q".into(),
        ..ended(None)
    };
    let stored = serde_json::to_value(progress.of_ended_job(Some(Millis(5)))).unwrap();
    assert_eq!(
        stored,
        serde_json::json!({"phase": "completed", "queue": "q", "at": 1_791_185_254_579_u64,
            "ended_at": 5, "occurrences": []})
    );
}
