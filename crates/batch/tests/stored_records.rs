//! Stored records that do not fit together, as another version or a fault may leave them.

mod fleet;

use std::rc::Rc;

use base::clock::Millis;
use batch::{
    config::Config,
    job::{AcceptedJob, Spec, Step},
    progress::{Phase, Progress},
    scheduler::JobScheduler,
    worker::{Action, Order, Outcome},
};
use fleet::{Fleet, config, starts, step, subtask};

fn accepted(id: &str, steps: Vec<Step>) -> AcceptedJob {
    AcceptedJob {
        id: id.into(),
        queue: "q1".into(),
        service: "svc".into(),
        organisation: Some("org-a".into()),
        at: fleet::START,
        spec: Spec {
            text: "spec".into(),
            steps,
            repeat: None,
        },
    }
}

fn progress(json: &str) -> Progress {
    serde_json::from_str(json).unwrap()
}

/// Runs passes of a leader that has loaded the job, beside a valid one, and lets workers answer.
fn lead(job: &AcceptedJob, progress: &Progress) -> Option<Phase> {
    let mut fleet = Fleet::new(2);
    let restored = fleet.scheduler.restore(job.clone(), Some(progress.clone()));
    assert!(restored.is_err() && fleet.scheduler.knows(&job.id));
    assert!(!fleet.scheduler.accept(job.clone()), "it is no new job");
    fleet.submit("valid", 1, step(1, 1));
    for _ in 0..3 {
        for order in starts(&fleet.plan()) {
            fleet.take(&order);
        }
        let now = fleet.advance(1_000).now;
        fleet.scheduler.evacuate(now);
        for worker in fleet.scheduler.workers_in_use() {
            fleet.lose(&worker, now);
            fleet.replace(&worker);
        }
    }
    let (now, wall_now) = (fleet.now, fleet.wall());
    fleet.scheduler.cancel(&job.id, now, wall_now);
    fleet
        .scheduler
        .record_stored_ends(std::slice::from_ref(&job.id), Millis::ZERO);
    let expired = fleet
        .scheduler
        .expired_jobs(Millis(u64::MAX), Millis::ZERO, 10);
    for id in expired {
        fleet.scheduler.remove_job(&id);
    }
    let valid = fleet.scheduler.phase("valid");
    assert!(valid.is_some(), "the valid job is kept");
    fleet.scheduler.phase(&job.id)
}

/// Guards against a record that ends the process of each leader that loads it.
#[test]
fn records_that_do_not_fit_together_end_no_leader() {
    let run = r#"{"r":{"w":"w00","b":1}}"#;
    let two = accepted("job", vec![step(2, 1), step(1, 1)]);
    let cyclic = Step {
        after: vec![0, 1, 7],
        ..step(1, 1)
    };
    let cases = [
        (
            "no steps",
            accepted("job", Vec::new()),
            r#"{"occurrences":[{"steps":[]}]}"#.to_owned(),
        ),
        (
            "fewer steps",
            two.clone(),
            r#"{"occurrences":[{"steps":[]}]}"#.into(),
        ),
        (
            "more steps",
            two.clone(),
            format!(r#"{{"occurrences":[{{"steps":[[{run}],[{run}],[{run}]]}}]}}"#),
        ),
        (
            "fewer subtasks",
            two.clone(),
            format!(r#"{{"occurrences":[{{"steps":[[{run}],[]]}}]}}"#),
        ),
        (
            "more subtasks",
            two.clone(),
            format!(r#"{{"occurrences":[{{"steps":[[{run},{run},{run}],[{{}},{run}]]}}]}}"#),
        ),
        (
            "more occurrences",
            two,
            format!(r#"{{"occurrences":[{{"steps":[[{run}],[]]}},{{"steps":[]}}]}}"#),
        ),
        (
            "unknown steps",
            accepted("job", vec![cyclic.clone(), cyclic]),
            r"{}".into(),
        ),
    ];
    for (what, job, json) in cases {
        let phase = std::panic::catch_unwind(|| lead(&job, &progress(&json)));
        assert!(phase.is_ok(), "{what}");
    }
}

/// Guards against a job of a valid record that is lost or loses its progress.
#[test]
fn a_valid_record_is_restored_as_it_is() {
    let job = accepted("job", vec![step(2, 1)]);
    let stored =
        progress(r#"{"phase":"running","occurrences":[{"steps":[[{"d":true},{"a":3}]]}]}"#);
    let mut scheduler = JobScheduler::default();
    assert_eq!(scheduler.restore(job, Some(stored)), Ok(()));
    assert_eq!(scheduler.phase("job"), Some(Phase::Running));
}

/// Guards against starts without end of a job whose row the version before wrote, and whose queue is
/// removed then.
#[test]
fn a_row_without_a_limit_of_attempts_gets_that_of_its_queue() {
    let mut fleet = Fleet::new(1);
    let record = r#"{"phase":"running","queue":"q1","at":1,"occurrences":[{"steps":[[
        {"a":2,"f":1,"r":{"w":"w00","b":1}}]]}]}"#;
    let job = accepted("1", vec![step(1, 1)]);
    let restored = fleet.scheduler.restore(job, Some(progress(record)));
    assert_eq!(restored, Ok(()));
    fleet.set_up();
    let config = Config {
        queues: Vec::new(),
        ..config()
    };
    fleet.scheduler.configure(&Rc::new(config));
    let order = Order {
        worker: "w00".into(),
        task: subtask("1.0.0.0"),
        attempt: 2,
        action: Action::Stop,
    };
    fleet.finish(&order, 1, Outcome::Failed);
    assert_eq!(fleet.scheduler.phase("1"), Some(Phase::Failed));
}

/// Guards against records with checkpoints from which nothing will continue. A commit holds the whole
/// progress of its jobs, and on a narrow link orders wait behind it.
#[test]
fn a_subtask_that_is_done_keeps_no_checkpoint() {
    let mut fleet = Fleet::new(1);
    fleet.submit("1", 1, step(2, 1));
    let orders = starts(&fleet.plan());
    for order in &orders {
        fleet.take(order);
    }
    fleet.finish_with(&orders[0], 1, Outcome::Done, "saved-0");
    fleet.finish_with(&orders[1], 2, Outcome::Failed, "saved-1");
    let changes = fleet.plan();
    let stored = serde_json::to_string(&changes.records[0].1).unwrap();
    assert!(!stored.contains("saved-0"), "{stored}");
    assert!(stored.contains("saved-1"), "the other one continues");
}
