//! Configuration controller: changes, and their way to all members.

use std::{cell::RefCell, net, rc::Rc, sync::Arc};

use base::{
    clock::{self, Millis},
    limits,
    name::Name,
    sorted::SortedMap,
};
use member::rows::{MEMBERS_KEY, RevisionRow};
use ntex::rt;
use plan::{
    check,
    event::{Event, WorkerInfo},
};
use schema::config::Config;
use store::table::{StoreError, Txn};
use tokio::sync::{Mutex, Notify, oneshot};
use wire::{
    client::Client,
    message::{Effect, Reply, Request},
};

use crate::{
    accept::{self, Verdict},
    answer,
    ctx::{self, Cx},
    executor::{self, Abandoned},
    leader::Leader,
    lease_task::to_json,
    members, records,
    rows::{self, AuditRow},
};

/// Changes that are remembered, so that a repetition gets the same answer.
const REMEMBERED: u64 = 1_000;
/// Tries to commit a change while members come and go.
const MEMBERS_TRIES: usize = 50;
/// Longest wait for the answer to a push.
const PUSH_TIMEOUT: Millis = Millis(500);

/// A change as asked for.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) id: u64,
    pub(crate) operator: Name,
    pub(crate) records: Vec<String>,
    pub(crate) expected: Option<u64>,
}

/// State of the configuration in one leadership.
#[derive(Debug, Default)]
pub(crate) struct ConfigState {
    inner: RefCell<Inner>,
    /// Changes are made one after the other.
    lock: Arc<Mutex<()>>,
    /// Wakes whoever waits for acknowledgements.
    acked: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    /// Version of the `rev` row.
    rev: u64,
    /// Revisions by change id.
    changes: SortedMap<u64, u64>,
    /// Time of the last commit, or of the takeover.
    committed: Millis,
    /// All other members, entries and schedulers; `None` before the first reading.
    members: Option<Vec<Member>>,
    /// Members to which a push is under way.
    pushing: Vec<u64>,
    /// Version of the row from which the members were read.
    members_version: u64,
    /// Revision that each member has in force.
    acks: SortedMap<u64, u64>,
}

/// Another member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Member {
    pub(crate) id: u64,
    pub(crate) address: net::SocketAddr,
}

impl ConfigState {
    /// Takes the state over from the table.
    pub(crate) fn restore(&self, rev: u64, audits: Vec<AuditRow>) {
        let mut inner = self.inner.borrow_mut();
        inner.rev = rev;
        inner.committed = clock::now();
        inner.changes = audits.iter().map(|a| (a.change, a.revision)).collect();
    }

    /// Takes the other members on the list of this version, unless a newer one is known.
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

    fn is_listed(&self, member: u64) -> bool {
        let inner = self.inner.borrow();
        inner.members.iter().flatten().any(|m| m.id == member)
    }

    /// Returns the ids of all other members; `None` before the list was read.
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

    fn verdict(&self, revision: u64, lease: Millis) -> Verdict {
        let inner = self.inner.borrow();
        let now = clock::now();
        let Some(members) = &inner.members else {
            return Verdict::Wait { until: now + lease };
        };
        let acked = |m: &Member| inner.acks.get(&m.id).is_some_and(|r| *r >= revision);
        // A cut-off entry asks entries and schedulers alike, so the majority is one of all members.
        let mut acked: Vec<bool> = members.iter().map(acked).collect();
        acked.push(true);
        accept::verdict(now, inner.committed, lease, &acked)
    }

    fn missing(&self, revision: u64) -> Vec<Member> {
        let inner = self.inner.borrow();
        let behind = |m: &&Member| inner.acks.get(&m.id).is_none_or(|r| *r < revision);
        let members = inner.members.iter().flatten();
        members.filter(behind).copied().collect()
    }
}

/// Reads the audit rows of the newest changes.
pub(crate) async fn read_audits(cx: &Cx, revision: u64) -> Result<Vec<AuditRow>, StoreError> {
    let after = rows::audit_key(revision.saturating_sub(REMEMBERED));
    let page = cx.table.scan("audit/", &after, REMEMBERED as usize).await?;
    let read = |row: &store::table::Row| serde_json::from_str(&row.value).ok();
    Ok(page.iter().filter_map(read).collect())
}

/// Answers the question for the configuration; it also is the acknowledgement of a member.
pub(crate) fn current(leader: &Leader, member: u64, known: u64) -> Reply {
    leader.config.ack(member, known);
    let config = leader.with(|s| s.config.clone()).unwrap_or_default();
    Reply::Current {
        revision: config.revision,
        config: (config.revision > known).then_some(config),
        listed: leader.config.is_listed(member),
    }
}

/// Makes a change and answers when it is in force everywhere.
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
        return answer::unavailable("an earlier change is not settled");
    };
    let (tx, rx) = oneshot::channel();
    let (task_cx, task_leader) = (cx.clone(), leader.clone());
    // The commit goes on when the caller has gone, because its outcome must be known before the
    // next change.
    rt::spawn(async move {
        let _guard = guard;
        let _ = tx.send(commit(&task_cx, &task_leader, change).await);
    })
    .detach();
    let left = limit.since(clock::now());
    match tokio::time::timeout(left.to_duration(), rx).await {
        Ok(Ok(Ok(revision))) => wait_in_force(cx, leader, revision, limit).await,
        Ok(Ok(Err(reply))) => reply,
        Ok(Err(_)) | Err(_) => open("the commit is not settled"),
    }
}

fn open(what: &str) -> Reply {
    let message = format!("{what}; repeat the change with the same id to learn its outcome");
    answer::failed("outcome_unknown", message, Effect::Maybe)
}

/// Commits a change and returns its revision.
async fn commit(cx: &Cx, leader: &Rc<Leader>, change: Change) -> Result<u64, Reply> {
    if let Some(revision) = leader.config.inner.borrow().changes.get(&change.id) {
        return Ok(*revision);
    }
    let stuck = leader.with(|s| s.stuck).unwrap_or(true);
    if stuck || !cx.is_acting(leader) {
        return Err(answer::unavailable(
            "the table service does not take changes",
        ));
    }
    let old = leader.with(|s| s.config.clone()).unwrap_or_default();
    let next = next(&old, &change)?;
    check_guarantees(leader, &old, &next)?;
    match settle(cx, leader, &old, &next, &change).await {
        Ok(version) => {
            in_force(cx, leader, change.id, version, next);
            Ok(leader.with(|s| s.config.revision).unwrap_or_default())
        }
        Err(Abandoned::Lost { maybe: true }) => Err(open("the lease was lost")),
        Err(Abandoned::Lost { maybe: false }) => Err(answer::unavailable("the lease was lost")),
        Err(Abandoned::Conflict { keys }) if keys == [MEMBERS_KEY.into()] => {
            Err(answer::unavailable("members come and go, try again"))
        }
        Err(Abandoned::Conflict { .. }) => {
            cx.end_leadership("the revision is not as expected, the state is rebuilt");
            let message = "another change came first".to_owned();
            Err(answer::failed("revision_conflict", message, Effect::None))
        }
    }
}

/// Commits a change together with a check of the list of members, so that every member either is
/// waited for or registers after the commit and finds the new revision.
async fn settle(
    cx: &Cx,
    leader: &Rc<Leader>,
    old: &Config,
    next: &Config,
    change: &Change,
) -> Result<u64, Abandoned> {
    for _ in 0..MEMBERS_TRIES {
        let txn = transaction(cx, leader, old, next, change);
        match executor::settle(cx, leader, &txn).await {
            Err(Abandoned::Conflict { keys }) if keys.iter().all(|k| **k == *MEMBERS_KEY) => {}
            settled => return settled,
        }
        // A read may be stale, so the next try may come too early.
        if let Err(e) = members::read_list(cx, leader).await {
            log::debug!("config: the list of members is not available: {e}");
        }
        ctx::sleep(cx.cfg.commit.retry_ms).await;
    }
    Err(Abandoned::Conflict {
        keys: vec![MEMBERS_KEY.into()],
    })
}

fn next(old: &Config, change: &Change) -> Result<Config, Reply> {
    if let Some(expected) = change.expected
        && expected != old.revision
    {
        let message = format!(
            "the change was made against revision {expected}, in force is {}",
            old.revision
        );
        return Err(answer::failed("revision_conflict", message, Effect::None));
    }
    records::apply(old, &change.records)
        .map_err(|e| answer::failed("bad_record", e.to_string(), Effect::None))
}

/// Refuses guarantees that can't all hold together with any one worker lost.
///
/// Other changes pass also when the loss of workers has made the present guarantees impossible.
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
    let workers: Option<Option<Vec<WorkerInfo>>> = leader.with(|s| {
        let listed = s.contacts.values().filter(|c| c.listed);
        listed.map(|c| c.link.info().cloned()).collect()
    });
    let Some(Some(workers)) = workers else {
        return Err(answer::unavailable("some workers have not answered yet"));
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
        (inner.rev, inner.members_version)
    };
    let txn = Txn::default()
        .check(cx.lease_key(), leader.held.version)
        .check("rev", rev)
        .check(MEMBERS_KEY, members);
    // The audit row comes last: it is the one that is read back when the answer is lost.
    records::writes(txn, old, next)
        .put("rev", to_json(&RevisionRow { revision }))
        .put(rows::audit_key(revision), to_json(&audit))
}

/// Puts a committed revision in force here and pushes it to the members.
fn in_force(cx: &Cx, leader: &Rc<Leader>, change: u64, version: u64, config: Config) {
    let revision = config.revision;
    {
        let mut inner = leader.config.inner.borrow_mut();
        inner.rev = version;
        inner.committed = clock::now();
        inner.changes.insert(change, revision);
    }
    cx.note_revision(revision);
    leader.with(|s| s.config = config.clone());
    leader.event(cx, Event::Configured { config });
    log::info!("config: revision {revision} is committed");
    push_missing(cx, leader);
}

/// Tells all members that have not acknowledged the revision in force about it.
pub(crate) fn push_missing(cx: &Cx, leader: &Rc<Leader>) {
    let revision = leader.with(|s| s.config.revision).unwrap_or_default();
    for member in leader.config.missing(revision) {
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

/// Tells a member about the revision in force until it has it or is gone.
async fn push(cx: &Cx, leader: &Leader, member: Member) {
    let client = Client::new(member.address).with_timeout(PUSH_TIMEOUT);
    while leader.is_alive() {
        let revision = leader.with(|s| s.config.revision).unwrap_or_default();
        if !leader.config.missing(revision).contains(&member) {
            return;
        }
        let request = Request::Current {
            member: cx.id,
            known_revision: revision,
        };
        if let Ok(Reply::Current { revision: has, .. }) = client.call(&request).await {
            leader.config.ack(member.id, has);
        }
        ctx::sleep(cx.cfg.config.push_ms).await;
    }
}

async fn wait_in_force(cx: &Cx, leader: &Leader, revision: u64, limit: Millis) -> Reply {
    loop {
        let acked = leader.config.acked.notified();
        let until = match leader
            .config
            .verdict(revision, cx.cfg.config.serving_lease_ms)
        {
            Verdict::InForce => return Reply::Applied { revision },
            Verdict::Wait { until } => until.min(limit),
        };
        let now = clock::now();
        if now >= limit || !leader.is_alive() {
            return open("the change is committed, but not known to be in force everywhere");
        }
        tokio::select! {
            () = acked => {}
            () = ctx::sleep(until.since(now)) => {}
        }
    }
}
