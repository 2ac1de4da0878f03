//! Checker of what the workers did.

use base::clock::Millis;
use plan::{event::Report, order::Attempt};
use standin::worker::Run;

use super::Site;

/// Longest time in which a gang may run in part, at its start and at its end.
pub const PART_LIMIT: Millis = Millis(5_000);

/// Checks the histories of all workers; `silenced` jobs were answered as cancelled or refused at
/// the given times.
///
/// - No accelerator is used by two tasks at the same time.
/// - The members of an attempt start and end together, within the limit.
/// - Nothing starts after its refusal or cancellation was answered.
pub fn check(site: &Site, silenced: &[(&str, Millis)]) {
    let mut all: Vec<Run> = Vec::new();
    for worker in site.workers.workers() {
        let runs = worker.history();
        check_accelerators(&runs);
        all.extend(runs);
    }
    for (job, at) in silenced {
        let late = all
            .iter()
            .find(|r| r.attempt.job.name.as_str() == *job && r.started_at > *at);
        assert!(
            late.is_none(),
            "{job} starts after its end was answered: {late:?}"
        );
    }
    all.sort_by(|a, b| a.attempt.cmp(&b.attempt));
    for gang in all.chunk_by(|a, b| a.attempt == b.attempt) {
        check_gang(site, &gang[0].attempt, gang);
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
                "two tasks on one accelerator: {a:?} {b:?}"
            );
        }
    }
}

fn check_gang(site: &Site, attempt: &Attempt, runs: &[Run]) {
    let record = site
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
        "{attempt} starts in part: {runs:?}"
    );
    let now = base::clock::now();
    let end = |r: &Run| r.ended_at.unwrap_or(now);
    if runs.len() < members {
        let part = |r: &&Run| end(r).since(r.started_at) >= PART_LIMIT;
        let long = runs.iter().find(part);
        assert!(long.is_none(), "{attempt} runs in part: {runs:?}");
    }
    let stopped = |r: &&Run| r.end.is_some_and(|e| e != Report::Done);
    let Some(stop) = runs.iter().filter(stopped).map(end).min() else {
        return;
    };
    let late = runs.iter().find(|r| end(r).since(stop) >= PART_LIMIT);
    assert!(late.is_none(), "{attempt} goes on in part: {runs:?}");
}
