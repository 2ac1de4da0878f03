//! The order in which changes are stored, and what is sent when, on a store that applies one small
//! transaction after another.

use base::clock::Millis;
use batch::{
    job::{SubtaskId, Text},
    outbox::{self, Outbox},
    progress::{Phase, Progress},
    scheduler::PendingChanges,
    worker::{Action, Order},
};

const NOW: Millis = Millis(1_000);

fn progress(phase: Phase) -> Progress {
    Progress {
        phase,
        ..Progress::default()
    }
}

fn stop(job: &str) -> Order {
    Order {
        worker: "w".into(),
        task: SubtaskId {
            job: job.into(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        attempt: 1,
        action: Action::Stop,
    }
}

fn records(ids: impl IntoIterator<Item = String>) -> PendingChanges {
    let record = |id: String| (Text::from(id), progress(Phase::Running));
    PendingChanges {
        records: ids.into_iter().map(record).collect(),
        ..PendingChanges::default()
    }
}

/// A thousand jobs have ended or moved on when an urgent job is placed. Guards against a start that
/// waits until all of them are stored, which took 12 s on a store with 0.7 s for a transaction.
#[test]
fn jobs_with_orders_are_stored_first_and_their_orders_sent_at_once() {
    let mut outbox = Outbox::default();
    outbox.add(records((0..1_000).map(|i| format!("old-{i:04}"))), NOW);
    let mut urgent = records([String::from("urgent")]);
    urgent.orders = vec![stop("urgent")];
    assert!(outbox.add(urgent, NOW).orders.is_empty(), "not stored yet");
    let first: Vec<Text> = outbox.due(NOW, Millis::ZERO)[..40]
        .iter()
        .map(|(id, _)| (*id).clone())
        .collect();
    assert_eq!(&*first[0], "urgent");
    assert_eq!(outbox.mark_stored(&first).orders, [stop("urgent")]);
    // The others follow in the order in which they came.
    let rest = outbox.due(NOW, Millis::ZERO);
    assert_eq!((rest.len(), &**rest[0].0), (961, "old-0039"));
}

/// Guards against a finished run that is acknowledged before its outcome is stored: it would run
/// again under the next leader.
#[test]
fn runs_are_acknowledged_once_all_jobs_of_their_time_are_stored() {
    let mut outbox = Outbox::default();
    let mut changes = records([String::from("a"), String::from("b")]);
    changes.acks = vec![("w".into(), 1, 5)];
    assert!(outbox.add(changes, NOW).acks.is_empty());
    let mut later = records([String::from("c")]);
    later.acks = vec![("w".into(), 1, 7)];
    outbox.add(later, NOW);
    assert!(outbox.mark_stored(&["a".into()]).acks.is_empty());
    let released = outbox.mark_stored(&["b".into()]);
    assert_eq!(released.acks, [("w".into(), 1, 5)]);
    assert_eq!(outbox.mark_stored(&["c".into()]).acks, [("w".into(), 1, 7)]);
    let idle = PendingChanges {
        acks: vec![("w".into(), 1, 8)],
        ..PendingChanges::default()
    };
    assert_eq!(outbox.add(idle, NOW).acks.len(), 1, "nothing waits");
}

/// Guards against an older state of a job that is stored after a newer one, and against orders of
/// one job that change places.
#[test]
fn the_newest_state_of_a_job_is_stored_once() {
    let mut outbox = Outbox::default();
    let mut first = records([String::from("a")]);
    first.orders = vec![stop("a")];
    outbox.add(first, NOW);
    let mut second = PendingChanges::default();
    second
        .records
        .push(("a".into(), progress(Phase::Completed)));
    let mut again = stop("a");
    again.attempt = 2;
    second.orders = vec![again.clone()];
    outbox.add(second, NOW);
    let order = outbox.due(NOW, Millis::ZERO);
    assert_eq!(order.len(), 1);
    assert_eq!(order[0].1.phase, Phase::Completed);
    let released = outbox.mark_stored(&["a".into()]);
    assert_eq!(released.orders, [stop("a"), again]);
    assert!(outbox.is_empty());
    // A repeated stop changes nothing that is stored.
    let repeated = PendingChanges {
        orders: vec![stop("a")],
        ..PendingChanges::default()
    };
    assert_eq!(outbox.add(repeated, NOW).orders, [stop("a")]);
}

/// Guards against a leader that does little else than to encode a large job again and again: the
/// replies to its orders wait, so that each commit covers few of them.
#[test]
fn commits_leave_most_of_the_time_to_other_work() {
    for encoded_in in [1, 5, 12] {
        let pause = outbox::pause_after(Millis(encoded_in));
        assert!(
            5 * encoded_in <= encoded_in + pause.0,
            "{encoded_in}: {pause}"
        );
    }
    // Small commits follow each other at once, and no other job waits for long.
    assert_eq!(outbox::pause_after(Millis(0)), Millis(0));
    assert!(outbox::pause_after(Millis(1_000)) <= Millis(50));
}

/// Guards against a job whose whole progress is stored at the end of each of its runs: on a narrow
/// link, the commits took four fifths of it and starts waited behind them.
#[test]
fn finished_runs_of_a_job_are_stored_together_while_answers_are_slow() {
    let deferral = Millis(800);
    let mut outbox = Outbox::default();
    let mut stored = 0;
    for i in 0..8 {
        let now = NOW + Millis(100 * i);
        outbox.add(records([String::from("a")]), now);
        stored += outbox.due(now, deferral).len();
    }
    assert_eq!(stored, 0, "stored for each run");
    assert_eq!(outbox.next_at(deferral), Some(NOW + deferral));
    assert_eq!(outbox.due(NOW + deferral, deferral).len(), 1);
    // Without a shortage nothing waits.
    assert_eq!(outbox.due(NOW, Millis::ZERO).len(), 1);
}

/// Guards against starts, stops and ends of jobs that wait with what nothing waits for.
#[test]
fn jobs_with_orders_and_ended_jobs_are_stored_at_once() {
    let deferral = Millis(800);
    let mut outbox = Outbox::default();
    let mut changes = records([String::from("runs"), String::from("stops")]);
    changes.orders = vec![stop("stops")];
    changes
        .records
        .push(("ended".into(), progress(Phase::Completed)));
    outbox.add(changes, NOW);
    let due = outbox.due(NOW, deferral);
    let ids: Vec<&str> = due.iter().map(|(id, _)| &***id).collect();
    assert_eq!(ids, ["stops", "ended"]);
    // A stop of the job that waits brings its turn forward.
    let mut later = records([String::from("runs")]);
    later.orders = vec![stop("runs")];
    outbox.add(later, NOW + Millis(9));
    assert_eq!(outbox.due(NOW + Millis(9), deferral).len(), 3);
}
