//! Configuration controller: commits changes and distributes them to all members.

use std::{cell::RefCell, net, rc::Rc, sync::Arc};

use base::{
    clock::{self, Millis},
    limits,
    name::Name,
    sorted::SortedMap,
};
use member::rows::{MEMBERS_KEY, RevisionRow};
use ntex::rt;
use plan::{check, event::Event};
use schema::config::Config;
use store::table::{Row, StoreError, Txn};
use tokio::sync::{Mutex, Notify, oneshot};
use wire::{
    client::Client,
    message::{Effect, Reply, Request},
};

use crate::{
    answer,
    ctx::{self, Cx},
    executor::{self, CommitError},
    leader::Leader,
    lease_task::to_json,
    members, records,
    rollout::{self, RolloutState},
    rows::{self, AuditRow},
};

/// Number of changes that are remembered, so that a retry gets the same answer.
const REMEMBERED_CHANGES: u64 = 1_000;
/// Maximum number of attempts to commit a change while the member list changes.
const COMMIT_TRIES: usize = 50;
/// Timeout of a push.
const PUSH_TIMEOUT: Millis = Millis(500);

/// A requested change.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// Id chosen by the client.
    pub(crate) id: u64,
    pub(crate) operator: Name,
    pub(crate) records: Vec<String>,
    /// Revision on which the change is based; `None` for any.
    pub(crate) expected: Option<u64>,
}

/// State of the configuration in one leadership.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    inner: RefCell<Inner>,
    /// Serialises changes.
    lock: Arc<Mutex<()>>,
    /// Notified when an acknowledgement arrives or the members change.
    acked: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    /// Version of the `rev` row.
    rev_version: u64,
    /// Revisions of the remembered changes by change id.
    changes: SortedMap<u64, u64>,
    /// Time of the last commit, or of the takeover.
    committed: Millis,
    /// All other members, both entries and schedulers; `None` before the first read.
    members: Option<Vec<Member>>,
    /// Members with an open push.
    pushing: Vec<u64>,
    /// Version of the row of the member list from which `members` was read.
    members_version: u64,
    /// Highest revision that each member has acknowledged.
    acks: SortedMap<u64, u64>,
}

/// Another member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Member {
    pub(crate) id: u64,
    pub(crate) address: net::SocketAddr,
}

impl ConfigState {
    /// Sets the state to the one read from the table.
    pub(crate) fn restore(&self, rev: u64, audits: Vec<AuditRow>) {
        let mut inner = self.inner.borrow_mut();
        inner.rev_version = rev;
        inner.committed = clock::now();
        inner.changes = audits.iter().map(|a| (a.change, a.revision)).collect();
    }

    /// Sets the other members unless a newer version of the member list is known.
    pub(crate) fn set_members(&self, version: u64, members: Vec<Member>) {
        let mut inner = self.inner.borrow_mut();
        if inner.members.is_some() && version < inner.members_version {
            return;
        }
        inner.members_version = version;
        inner
            .acks
            .retain(|id, _| members.iter().any(|m| m.id == *id));
        inner.members = Some(members);
        drop(inner);
        self.acked.notify_waiters();
    }

    /// Waits for an acknowledgement or a read of the member list.
    pub(crate) fn changed(&self) -> impl Future<Output = ()> {
        self.acked.notified()
    }

    /// Returns all other members; `None` before the first read of the list.
    pub(crate) fn members(&self) -> Option<Vec<Member>> {
        self.inner.borrow().members.clone()
    }

    fn is_listed(&self, member: u64) -> bool {
        let inner = self.inner.borrow();
        inner.members.iter().flatten().any(|m| m.id == member)
    }

    /// Returns the ids of all other members; `None` before the first read of the list.
    pub(crate) fn member_ids(&self) -> Option<Vec<u64>> {
        let inner = self.inner.borrow();
        let members = inner.members.as_ref()?;
        Some(members.iter().map(|m| m.id).collect())
    }

    fn ack(&self, member: u64, revision: u64) {
        let mut inner = self.inner.borrow_mut();
        let known = inner.acks.get_or_default(member);
        *known = revision.max(*known);
        drop(inner);
        self.acked.notify_waiters();
    }

    fn rollout_state(&self, revision: u64, lease: Millis) -> RolloutState {
        let inner = self.inner.borrow();
        let now = clock::now();
        let Some(members) = &inner.members else {
            return RolloutState::Wait { until: now + lease };
        };
        let acked = |m: &Member| inner.acks.get(&m.id).is_some_and(|r| *r >= revision);
        // A partitioned entry asks entries and schedulers alike, so the majority is one of all
        // members, including this one.
        let mut acked: Vec<bool> = members.iter().map(acked).collect();
        acked.push(true);
        rollout::state(now, inner.committed, lease, &acked)
    }

    /// Returns the members that have not acknowledged the revision.
    fn unacknowledged(&self, revision: u64) -> Vec<Member> {
        let inner = self.inner.borrow();
        let behind = |m: &&Member| inner.acks.get(&m.id).is_none_or(|r| *r < revision);
        let members = inner.members.iter().flatten();
        members.filter(behind).copied().collect()
    }
}

/// Reads the audit rows of the newest changes.
pub(crate) async fn read_audits(cx: &Cx, revision: u64) -> Result<Vec<Row>, StoreError> {
    let after = rows::audit_key(revision.saturating_sub(REMEMBERED_CHANGES));
    let scan = cx.table.scan("audit/", &after, REMEMBERED_CHANGES as usize);
    scan.await
}

/// Answers a member's request for the configuration, which also acknowledges the revision in force
/// at the member.
pub(crate) fn current(leader: &Leader, member: u64, known: u64) -> Reply {
    leader.config.ack(member, known);
    let config = leader.with_state(|s| s.config.clone()).unwrap_or_default();
    Reply::Current {
        revision: config.revision,
        config: (config.revision > known).then_some(config),
        listed: leader.config.is_listed(member),
    }
}

/// Commits a change and answers when it is in force everywhere.
pub(crate) async fn apply(cx: &Cx, leader: &Rc<Leader>, change: Change) -> Reply {
    if change.records.len() > limits::APPLY_RECORDS {
        let most = limits::APPLY_RECORDS;
        let message = format!(
            "a change has at most {most} records, this one has {}",
            change.records.len()
        );
        return answer::failed("too_many_records", message, Effect::None);
    }
    let limit = clock::now() + cx.cfg.config.accept_ms;
    let guard = leader.config.lock.clone().lock_owned();
    let Ok(guard) = tokio::time::timeout(cx.cfg.config.accept_ms.to_duration(), guard).await else {
        return answer::unavailable("an earlier change is not finished");
    };
    let (tx, rx) = oneshot::channel();
    let (task_cx, task_leader) = (cx.clone(), leader.clone());
    // The commit continues after the caller has given up, because its outcome must be known before
    // the next change.
    rt::spawn(async move {
        let _guard = guard;
        let _ = tx.send(commit(&task_cx, &task_leader, change).await);
    })
    .detach();
    let left = limit.since(clock::now());
    match tokio::time::timeout(left.to_duration(), rx).await {
        Ok(Ok(Ok(revision))) => wait_until_in_force(cx, leader, revision, limit).await,
        Ok(Ok(Err(reply))) => reply,
        Ok(Err(_)) | Err(_) => outcome_unknown("the outcome of the commit is unknown"),
    }
}

fn outcome_unknown(reason: &str) -> Reply {
    let message = format!("{reason}; repeat the change with the same id to learn its outcome");
    answer::failed("outcome_unknown", message, Effect::Maybe)
}

/// Commits a change and returns its revision.
async fn commit(cx: &Cx, leader: &Rc<Leader>, change: Change) -> Result<u64, Reply> {
    if let Some(revision) = leader.config.inner.borrow().changes.get(&change.id) {
        return Ok(*revision);
    }
    let stuck = leader.with_state(|s| s.stuck).unwrap_or(true);
    if stuck || !cx.is_acting(leader) {
        return Err(answer::unavailable("the table service accepts no writes"));
    }
    let old = leader.with_state(|s| s.config.clone()).unwrap_or_default();
    let next = next_config(&old, &change)?;
    check_guarantees(leader, &old, &next)?;
    match commit_with_members(cx, leader, &old, &next, &change).await {
        Ok(version) => {
            put_in_force(cx, leader, change.id, version, next);
            Ok(leader.with_state(|s| s.config.revision).unwrap_or_default())
        }
        Err(CommitError::Lost { maybe: true }) => Err(outcome_unknown("the lease was lost")),
        Err(CommitError::Lost { maybe: false }) => Err(answer::unavailable("the lease was lost")),
        Err(CommitError::Conflict { keys }) if keys == [MEMBERS_KEY.into()] => Err(
            answer::unavailable("the member list keeps changing, try again"),
        ),
        Err(CommitError::Conflict { .. }) => {
            cx.end_leadership("the revision row has an unexpected version, the state is rebuilt");
            let message = "another change was committed first".to_owned();
            Err(answer::failed("revision_conflict", message, Effect::None))
        }
    }
}

/// Commits a change together with a check of the member list, so that every member is either waited
/// for or registers after the commit and reads the new revision.
async fn commit_with_members(
    cx: &Cx,
    leader: &Rc<Leader>,
    old: &Config,
    next: &Config,
    change: &Change,
) -> Result<u64, CommitError> {
    for _ in 0..COMMIT_TRIES {
        let txn = transaction(cx, leader, old, next, change);
        match executor::commit_txn(cx, leader, &txn).await {
            Err(CommitError::Conflict { keys }) if keys.iter().all(|k| **k == *MEMBERS_KEY) => {}
            result => return result,
        }
        // The read may be stale, and then the next attempt also meets a conflict.
        if let Err(e) = members::read_list(cx, leader).await {
            log::warn!("config: the member list is unavailable: {e}");
        }
        ctx::sleep(cx.cfg.commit.retry_ms).await;
    }
    Err(CommitError::Conflict {
        keys: vec![MEMBERS_KEY.into()],
    })
}

fn next_config(old: &Config, change: &Change) -> Result<Config, Reply> {
    if let Some(expected) = change.expected
        && expected != old.revision
    {
        let message = format!(
            "the change is based on revision {expected}, but revision {} is in force",
            old.revision
        );
        return Err(answer::failed("revision_conflict", message, Effect::None));
    }
    records::apply(old, &change.records)
        .map_err(|e| answer::failed("bad_record", e.to_string(), Effect::None))
}

/// Refuses guarantees that can't all be met after the loss of any one worker.
///
/// Changes that leave the guarantees as they are pass even if the loss of workers has already made
/// them impossible.
fn check_guarantees(leader: &Leader, old: &Config, next: &Config) -> Result<(), Reply> {
    let guarantees = |config: &Config| -> Vec<_> {
        let all = config.organisations.values();
        all.map(|o| (o.name.clone(), o.guarantees.clone()))
            .filter(|(_, guarantees)| !guarantees.is_empty())
            .collect()
    };
    if guarantees(old) == guarantees(next) {
        return Ok(());
    }
    let Some(workers) = leader.with_state(|s| s.listed_workers()).flatten() else {
        return Err(answer::unavailable(
            "not all listed workers have been reached yet",
        ));
    };
    check::check_config(next, &workers)
        .map_err(|e| answer::failed("impossible_guarantee", e.to_string(), Effect::None))
}

fn transaction(cx: &Cx, leader: &Leader, old: &Config, next: &Config, change: &Change) -> Txn {
    let revision = next.revision;
    let audit = AuditRow {
        revision,
        change: change.id,
        operator: change.operator.clone(),
        at: clock::wall(),
        records: change.records.clone(),
    };
    let (rev, members) = {
        let inner = leader.config.inner.borrow();
        (inner.rev_version, inner.members_version)
    };
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check("rev", rev)
        .check(MEMBERS_KEY, members);
    // The audit row comes last, because the last row is read back if the answer is lost.
    records::writes(txn, old, next)
        .put("rev", to_json(&RevisionRow { revision }))
        .put(rows::audit_key(revision), to_json(&audit))
}

/// Puts a committed revision in force at this process and pushes it to the members.
fn put_in_force(cx: &Cx, leader: &Rc<Leader>, change: u64, version: u64, config: Config) {
    let revision = config.revision;
    {
        let mut inner = leader.config.inner.borrow_mut();
        inner.rev_version = version;
        inner.committed = clock::now();
        inner.changes.insert(change, revision);
    }
    cx.raise_revision(revision);
    leader.with_state(|s| s.config = config.clone());
    leader.handle_event(cx, Event::Configured { config });
    log::info!("config: revision {revision} is committed");
    push_revision(cx, leader);
}

/// Pushes the revision in force to all members that have not acknowledged it.
pub(crate) fn push_revision(cx: &Cx, leader: &Rc<Leader>) {
    let revision = leader.with_state(|s| s.config.revision).unwrap_or_default();
    for member in leader.config.unacknowledged(revision) {
        if leader.config.inner.borrow().pushing.contains(&member.id) {
            continue;
        }
        leader.config.inner.borrow_mut().pushing.push(member.id);
        let (cx, leader) = (cx.clone(), leader.clone());
        rt::spawn(async move {
            push(&cx, &leader, member).await;
            let mut inner = leader.config.inner.borrow_mut();
            inner.pushing.retain(|id| *id != member.id);
        })
        .detach();
    }
}

/// Pushes the revision in force to a member until it acknowledges it or leaves the member list.
async fn push(cx: &Cx, leader: &Leader, member: Member) {
    let client = Client::new(member.address).with_timeout(PUSH_TIMEOUT);
    while leader.is_alive() {
        let revision = leader.with_state(|s| s.config.revision).unwrap_or_default();
        if !leader.config.unacknowledged(revision).contains(&member) {
            return;
        }
        let request = Request::Current {
            member: cx.id,
            known_revision: revision,
        };
        if let Ok(Reply::Current {
            revision: acked, ..
        }) = client.call(&request).await
        {
            leader.config.ack(member.id, acked);
        }
        ctx::sleep(cx.cfg.config.push_ms).await;
    }
}

async fn wait_until_in_force(cx: &Cx, leader: &Leader, revision: u64, limit: Millis) -> Reply {
    loop {
        let acked = leader.config.acked.notified();
        let until = match leader
            .config
            .rollout_state(revision, cx.cfg.config.serving_lease_ms)
        {
            RolloutState::InForce => return Reply::Applied { revision },
            RolloutState::Wait { until } => until.min(limit),
        };
        let now = clock::now();
        if now >= limit || !leader.is_alive() {
            return outcome_unknown(
                "the change is committed, but not known to be in force everywhere",
            );
        }
        tokio::select! {
            () = acked => {}
            () = ctx::sleep(until.since(now)) => {}
        }
    }
}
