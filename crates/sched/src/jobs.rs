//! Jobs controller: submit, cancel, status and list.

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
    queue::Settled,
};

/// Longest wait for the commit of a decision; shorter than the wait of a client.
const COMMIT_LIMIT: Millis = Millis(4_000);
/// Longest wait until no start of a cancelled job can reach a worker any more.
const START_LIMIT: Millis = Millis(1_500);
/// Time between two looks at starts under way.
const START_POLL: Millis = Millis(5);
/// Most jobs in one answer.
const LIST_LIMIT: u32 = 1_000;

/// Accepts a job, or refuses it durably.
pub(crate) async fn submit(cx: &Cx, leader: &Rc<Leader>, job: Job) -> Reply {
    let key = JobKey {
        organisation: job.organisation.clone(),
        name: job.name.clone(),
    };
    if let Some(reply) = leader.with(|s| refuse(&s.config, &job)).flatten() {
        return reply;
    }
    let known = leader
        .with(|s| s.plan.job(&key).map(|r| r.job.clone()))
        .flatten();
    if known.as_ref().is_some_and(|known| *known != job) {
        let message = format!("another job has the name {key}");
        return answer::failed("job_conflict", message, Effect::None);
    }
    if known.is_none()
        && let Some(reply) = busy(cx, leader)
    {
        return reply;
    }
    let settled = leader.event_and_wait(cx, Event::Submitted { job });
    answer_when_settled(leader, settled, &key).await
}

fn refuse(config: &Config, job: &Job) -> Option<Reply> {
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

/// Refuses what needs a commit while none is possible or too many wait.
fn busy(cx: &Cx, leader: &Leader) -> Option<Reply> {
    let (stuck, records) = leader
        .with(|s| (s.stuck, s.queue.records()))
        .unwrap_or((true, 0));
    if stuck {
        return Some(answer::unavailable("the table service takes no writes"));
    }
    (records >= cx.cfg.commit.backlog).then(|| {
        answer::failed(
            "busy",
            "too many decisions wait for their commit",
            Effect::None,
        )
    })
}

/// Cancels a job; repeating it is safe.
pub(crate) async fn cancel(cx: &Cx, leader: &Rc<Leader>, key: JobKey) -> Reply {
    if leader.with(|s| s.plan.job(&key).is_none()) == Some(true) {
        return unknown(&key);
    }
    if let Some(reply) = busy(cx, leader) {
        return reply;
    }
    let settled = leader.event_and_wait(cx, Event::CancelAsked { job: key.clone() });
    let reply = answer_when_settled(leader, settled, &key).await;
    wait_for_starts(leader, &key).await;
    reply
}

/// Waits until no start of the job is on its way, so that none happens after the answer.
async fn wait_for_starts(leader: &Leader, key: &JobKey) {
    let limit = clock::now() + START_LIMIT;
    while clock::now() < limit && leader.with(|s| s.may_start(key)) == Some(true) {
        ctx::sleep(START_POLL).await;
    }
}

async fn answer_when_settled(
    leader: &Leader,
    settled: Option<oneshot::Receiver<Settled>>,
    key: &JobKey,
) -> Reply {
    let Some(settled) = settled else {
        return answer::unavailable("the leadership has ended");
    };
    match tokio::time::timeout(COMMIT_LIMIT.to_duration(), settled).await {
        Ok(Ok(Settled::Committed)) => status(leader, key),
        Ok(Ok(Settled::Dropped)) => answer::unavailable("the leadership has ended"),
        Ok(Ok(Settled::Unknown) | Err(_)) | Err(_) => {
            let message = "the commit is not settled; repeating the request is safe";
            answer::failed("outcome_unknown", message, Effect::Maybe)
        }
    }
}

/// Returns the committed state of a job.
pub(crate) fn status(leader: &Leader, key: &JobKey) -> Reply {
    let status = leader.with(|s| s.committed.get(key).map(|s| show(&s.record)));
    match status.flatten() {
        Some(status) => Reply::Job { status },
        None => unknown(key),
    }
}

fn unknown(key: &JobKey) -> Reply {
    answer::failed(
        "unknown_job",
        format!("there is no job {key}"),
        Effect::None,
    )
}

/// Lists jobs in key order.
pub(crate) fn list(leader: &Leader, organisation: Option<Name>, limit: u32) -> Reply {
    let jobs = leader.with(|s| {
        let records = s.committed.values().map(|s| &s.record);
        let wanted = records.filter(|r| {
            organisation
                .as_ref()
                .is_none_or(|o| r.job.organisation == *o)
        });
        wanted
            .take(limit.min(LIST_LIMIT) as usize)
            .map(show)
            .collect()
    });
    Reply::Jobs {
        jobs: jobs.unwrap_or_default(),
    }
}

fn show(record: &JobRecord) -> JobStatus {
    JobStatus {
        organisation: record.job.organisation.clone(),
        name: record.job.name.clone(),
        phase: record.phase,
        attempt: record.attempt,
        workers: record.members.iter().map(|m| m.worker.clone()).collect(),
        reason: record.reason.clone(),
    }
}
