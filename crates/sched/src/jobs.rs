//! Jobs controller: submission, cancellation, status and list.

use std::rc::Rc;

use base::{
    clock::{self, Millis},
    name::Name,
};
use plan::{
    event::Event,
    record::{JobKey, JobRecord},
};
use schema::{
    config::{Config, TeamKey},
    job::Job,
};
use tokio::sync::oneshot;
use wire::message::{Effect, JobStatus, Reply};

use crate::{
    answer,
    ctx::{self, Cx},
    leader::Leader,
    queue::CommitOutcome,
    rows,
};

/// Maximum wait for the commit of a decision; shorter than the timeout of a client.
const COMMIT_TIMEOUT: Millis = Millis(4_000);
/// Maximum wait for start orders of a cancelled job that are queued or on their way.
const START_TIMEOUT: Millis = Millis(1_500);
/// Interval of the checks for such start orders.
const START_POLL: Millis = Millis(5);
/// Maximum number of jobs in one answer.
const MAX_LISTED: u32 = 1_000;

/// Submits a job and answers when its acceptance or refusal is committed; idempotent for the same
/// content.
pub(crate) async fn submit(cx: &Cx, leader: &Rc<Leader>, job: Job) -> Reply {
    let key = JobKey {
        organisation: job.organisation.clone(),
        name: job.name.clone(),
    };
    if let Some(reply) = leader
        .with_state(|s| check_references(&s.config, &job))
        .flatten()
    {
        return reply;
    }
    let row = rows::job_key(&key);
    if leader.with_state(|s| s.set_aside.binary_search(&row).is_ok()) == Some(true) {
        let message = format!("the stored record of {key} can't be read");
        return answer::failed("job_unreadable", message, Effect::None);
    }
    let known = leader
        .with_state(|s| s.plan.job(&key).map(|r| r.job.clone()))
        .flatten();
    if known.as_ref().is_some_and(|known| *known != job) {
        let message = format!("another job with the name {key} exists");
        return answer::failed("job_conflict", message, Effect::None);
    }
    if known.is_none()
        && let Some(reply) = check_capacity(cx, leader)
    {
        return reply;
    }
    let outcome = leader.handle_event_with_outcome(cx, Event::Submitted { job });
    answer_after_commit(leader, outcome, &key).await
}

/// Refuses a job of an unknown organisation or team.
fn check_references(config: &Config, job: &Job) -> Option<Reply> {
    if config.organisations.get(&job.organisation).is_none() {
        let message = format!("there is no organisation {}", job.organisation);
        return Some(answer::failed(
            "unknown_organisation",
            message,
            Effect::None,
        ));
    }
    let team = TeamKey {
        organisation: job.organisation.clone(),
        team: job.team.clone(),
    };
    if config.teams.get(&team).is_none() {
        let message = format!("there is no team {}/{}", job.organisation, job.team);
        return Some(answer::failed("unknown_team", message, Effect::None));
    }
    None
}

/// Refuses a request that needs a commit while the table is stuck or the backlog is full.
fn check_capacity(cx: &Cx, leader: &Leader) -> Option<Reply> {
    let (stuck, records) = leader
        .with_state(|s| (s.stuck, s.queue.records()))
        .unwrap_or((true, 0));
    if stuck {
        return Some(answer::unavailable("the table service accepts no writes"));
    }
    (records >= cx.cfg.commit.backlog).then(|| {
        answer::failed(
            "busy",
            "too many records wait for their commit",
            Effect::None,
        )
    })
}

/// Cancels a job; idempotent.
pub(crate) async fn cancel(cx: &Cx, leader: &Rc<Leader>, key: JobKey) -> Reply {
    if leader.with_state(|s| s.plan.job(&key).is_none()) == Some(true) {
        return unknown_job(&key);
    }
    if let Some(reply) = check_capacity(cx, leader) {
        return reply;
    }
    let outcome = leader.handle_event_with_outcome(cx, Event::CancelAsked { job: key.clone() });
    let reply = answer_after_commit(leader, outcome, &key).await;
    wait_for_starts(leader, &key).await;
    reply
}

/// Waits until no start order of the job is queued or on its way, so that the job can't start after
/// the answer.
async fn wait_for_starts(leader: &Leader, key: &JobKey) {
    let limit = clock::now() + START_TIMEOUT;
    while clock::now() < limit && leader.with_state(|s| s.may_start(key)) == Some(true) {
        ctx::sleep(START_POLL).await;
    }
}

async fn answer_after_commit(
    leader: &Leader,
    outcome: Option<oneshot::Receiver<CommitOutcome>>,
    key: &JobKey,
) -> Reply {
    let Some(outcome) = outcome else {
        return answer::unavailable("the leadership has ended");
    };
    match tokio::time::timeout(COMMIT_TIMEOUT.to_duration(), outcome).await {
        Ok(Ok(CommitOutcome::Committed)) => status(leader, key),
        Ok(Ok(CommitOutcome::Dropped)) => answer::unavailable("the leadership has ended"),
        Ok(Ok(CommitOutcome::Unknown) | Err(_)) | Err(_) => {
            let message = "the outcome of the commit is unknown; repeating the request is safe";
            answer::failed("outcome_unknown", message, Effect::Maybe)
        }
    }
}

/// Returns the committed status of a job.
pub(crate) fn status(leader: &Leader, key: &JobKey) -> Reply {
    let status = leader.with_state(|s| s.committed.get(key).map(|s| job_status(&s.record)));
    match status.flatten() {
        Some(status) => Reply::Job { status },
        None => unknown_job(key),
    }
}

fn unknown_job(key: &JobKey) -> Reply {
    answer::failed(
        "unknown_job",
        format!("there is no job {key}"),
        Effect::None,
    )
}

/// Lists jobs in key order.
pub(crate) fn list(leader: &Leader, organisation: Option<Name>, limit: u32) -> Reply {
    let jobs = leader.with_state(|s| {
        let records = s.committed.values().map(|s| &s.record);
        let wanted = records.filter(|r| {
            organisation
                .as_ref()
                .is_none_or(|o| r.job.organisation == *o)
        });
        wanted
            .take(limit.min(MAX_LISTED) as usize)
            .map(job_status)
            .collect()
    });
    Reply::Jobs {
        jobs: jobs.unwrap_or_default(),
    }
}

fn job_status(record: &JobRecord) -> JobStatus {
    JobStatus {
        organisation: record.job.organisation.clone(),
        name: record.job.name.clone(),
        phase: record.phase,
        attempt: record.attempt,
        workers: record.members.iter().map(|m| m.worker.clone()).collect(),
        reason: record.reason.clone(),
    }
}
