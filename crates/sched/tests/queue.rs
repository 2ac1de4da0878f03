//! Queue of decisions: order, batches and outcomes.

use base::clock::Millis;
use plan::{
    event::Decision,
    order::{Action, Attempt, Order},
    record::{JobRecord, Member},
};
use sched::queue::{CommitOutcome, Queue};
use schema::{
    job::{Job, Phase, StopMode},
    shape::{Adjacency, Shape},
};

fn record(name: &str, phase: Phase) -> JobRecord {
    let job = Job {
        organisation: "org".parse().unwrap(),
        team: "team".parse().unwrap(),
        name: name.parse().unwrap(),
        kind: "kind".parse().unwrap(),
        shape: Shape {
            members: 1,
            accelerators: 1,
            cores: 1,
            memory_mb: 1,
            adjacency: Adjacency::Worker,
        },
        run_time_ms: Millis(1),
        urgent: false,
        stop: StopMode::Checkpoint,
    };
    let mut record = JobRecord::submitted(job, Millis(1));
    record.phase = phase;
    record
}

fn decision(records: Vec<JobRecord>, actions: &[Action]) -> Decision {
    let order = |action: &Action| Order {
        attempt: Attempt {
            job: record("a", Phase::Waiting).key(),
            attempt: 1,
        },
        member: Member {
            worker: "w".parse().unwrap(),
            accelerators: 1,
        },
        action: *action,
    };
    Decision {
        records,
        orders: actions.iter().map(order).collect(),
    }
}

/// Guards against a job record that is overwritten by an older state of the job.
#[test]
fn a_batch_has_the_newest_state_of_each_job() {
    let mut queue = Queue::default();
    queue.push(decision(vec![record("a", Phase::Waiting)], &[]));
    queue.push(decision(vec![record("b", Phase::Waiting)], &[]));
    queue.push(decision(vec![record("a", Phase::Holding)], &[]));
    let batch = queue.next_batch(10).unwrap();
    let a = record("a", Phase::Holding);
    assert_eq!(batch.records, [a, record("b", Phase::Waiting)]);
    assert_eq!(queue.records(), 0);
}

/// Guards against transactions of unlimited size.
#[test]
fn batches_are_bounded() {
    let mut queue = Queue::default();
    for name in ["a", "b", "c"] {
        queue.push(decision(vec![record(name, Phase::Waiting)], &[]));
    }
    assert_eq!(queue.next_batch(2).unwrap().records.len(), 2);
    assert_eq!(queue.next_batch(2).unwrap().records.len(), 1);
    assert!(queue.next_batch(2).is_none());
}

/// Guards against an answer that shows a state before it is durable.
#[test]
fn a_decision_without_records_waits_for_the_earlier_ones() {
    let mut queue = Queue::default();
    for name in ["a", "b"] {
        queue.push(decision(vec![record(name, Phase::Waiting)], &[]));
    }
    let mut settled = queue.push_with_outcome(Decision::default());
    queue
        .next_batch(1)
        .unwrap()
        .finish(CommitOutcome::Committed);
    assert!(settled.try_recv().is_err());
    queue
        .next_batch(1)
        .unwrap()
        .finish(CommitOutcome::Committed);
    assert_eq!(settled.try_recv(), Ok(CommitOutcome::Committed));
}

/// Guards against starts that are sent before their records are committed, as stops may be.
#[test]
fn only_stops_are_taken_before_the_commit() {
    let stop = Action::Stop { checkpoint: true };
    let mut queue = Queue::default();
    queue.push(decision(Vec::new(), &[Action::Go, stop, Action::Release]));
    let stops: Vec<Action> = queue.take_stops().iter().map(|o| o.action).collect();
    assert_eq!(stops, [stop]);
    let batch = queue.next_batch(1).unwrap();
    let rest: Vec<Action> = batch.orders.iter().map(|o| o.action).collect();
    assert_eq!(rest, [Action::Go, Action::Release]);
}

/// Guards against a dropped decision that is reported as possibly committed.
#[test]
fn dropped_decisions_have_no_effect() {
    let mut queue = Queue::default();
    let mut settled = queue.push_with_outcome(Decision::default());
    queue.clear();
    assert_eq!(settled.try_recv(), Ok(CommitOutcome::Dropped));
}
