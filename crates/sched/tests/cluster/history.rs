//! Checks the tasks that the workers ran.

use base::clock::Millis;
use plan::{event::Report, order::Attempt};
use standin::worker::Run;

use super::Cluster;

/// Maximum time for which only some members of a gang may run, at its start and at its end.
pub const PART_LIMIT: Millis = Millis(5_000);

/// Checks the histories of all workers. `ended` has the jobs whose refusal or cancellation was
/// answered, with the times of the answers.
///
/// - No accelerator is used by two tasks at the same time.
/// - The members of an attempt start and end together, within [`PART_LIMIT`].
/// - No task of a job starts after the job's refusal or cancellation was answered.
pub fn check(cluster: &Cluster, ended: &[(&str, Millis)]) {
    let mut all: Vec<Run> = Vec::new();
    for worker in cluster.workers.workers() {
        let runs = worker.history();
        check_accelerators(&runs);
        all.extend(runs);
    }
    for (job, at) in ended {
        let late = all
            .iter()
            .find(|r| r.attempt.job.name.as_str() == *job && r.started_at > *at);
        assert!(
            late.is_none(),
            "{job} started after its end was answered: {late:?}"
        );
    }
    all.sort_by(|a, b| a.attempt.cmp(&b.attempt));
    for gang in all.chunk_by(|a, b| a.attempt == b.attempt) {
        check_gang(cluster, &gang[0].attempt, gang);
    }
}

fn check_accelerators(runs: &[Run]) {
    for (i, a) in runs.iter().enumerate() {
        for b in &runs[i + 1..] {
            let shared = a.accelerators & b.accelerators != 0;
            let apart = a.ended_at.is_some_and(|end| end <= b.started_at)
                || b.ended_at.is_some_and(|end| end <= a.started_at);
            assert!(
                !shared || apart,
                "two tasks used one accelerator: {a:?} {b:?}"
            );
        }
    }
}

fn check_gang(cluster: &Cluster, attempt: &Attempt, runs: &[Run]) {
    let record = cluster
        .record(attempt.job.name.as_str())
        .expect("a task without a record");
    let members = usize::from(record.job.shape.members);
    assert!(
        runs.len() <= members,
        "{attempt} has too many members: {runs:?}"
    );
    let first = runs.iter().map(|r| r.started_at).min().unwrap();
    let last = runs.iter().map(|r| r.started_at).max().unwrap();
    assert!(
        last.since(first) < PART_LIMIT,
        "members of {attempt} did not start together: {runs:?}"
    );
    let now = base::clock::now();
    let end = |r: &Run| r.ended_at.unwrap_or(now);
    if runs.len() < members {
        let part = |r: &&Run| end(r).since(r.started_at) >= PART_LIMIT;
        let long = runs.iter().find(part);
        assert!(
            long.is_none(),
            "only some members of {attempt} ran: {runs:?}"
        );
    }
    let stopped = |r: &&Run| r.end.is_some_and(|e| e != Report::Done);
    let Some(stop) = runs.iter().filter(stopped).map(end).min() else {
        return;
    };
    let late = runs.iter().find(|r| end(r).since(stop) >= PART_LIMIT);
    assert!(
        late.is_none(),
        "members of {attempt} did not end together: {runs:?}"
    );
}
