//! Sessions with workers: lease renewals, reports, and the expiry of leases.

use std::{net, rc::Rc};

use base::clock::{self, Millis};
use batch::{
    call_queue::Place,
    call_window::Class,
    grant::{Expired, Grants},
    job::Text,
    worker::{Report, WorkerInfo},
};
use derive_more::Display;
use ntex::rt;
use platform::workers::{Renewal, Reply, Target};
use store::call_account::Purpose;
use tokio::time;

use crate::{
    calls::{Calls, Permit},
    cx::{self, Cx},
    leader::Leader,
    worker_lease,
};

/// Time for which a worker delays its reply to a renewal while no run finishes there.
pub(crate) const HOLD_TIME: Millis = Millis(1_500);
/// Age of a renewal up to which a lease needs no extension: half of [`HOLD_TIME`].
pub(crate) const RECENT_RENEWAL: Millis = Millis(750);
/// Delay after a failed renewal.
const RETRY_DELAY: Millis = Millis(200);
/// Maximum wait for the commit of reported finished runs before the next renewal.
const MAX_COMMIT_WAIT: Millis = Millis(500);

/// Reason why a renewal failed.
#[derive(Debug, Display)]
enum Failure {
    #[display("no known address")]
    NoAddress,
    #[display("the worker has seen a higher fencing token")]
    Fenced,
    /// A worker with another id answered at the address.
    #[display("another worker answers")]
    Replaced,
    Closed(String),
    NoAnswer(String),
}

impl Failure {
    /// Returns the name of the kind, a label of metrics and log lines.
    const fn kind(&self) -> &'static str {
        match self {
            Self::NoAddress => "no_address",
            Self::Fenced => "fenced",
            Self::Replaced => "replaced",
            Self::Closed(_) => "closed",
            Self::NoAnswer(_) => "silent",
        }
    }
}

/// Session with one worker.
#[derive(Debug, Default)]
pub(crate) struct WorkerSession {
    address: Option<net::SocketAddr>,
    /// Leases granted by this leader.
    pub(crate) grants: Grants,
    /// Time of the last renewal that the worker answered.
    renewed_at: Millis,
    /// Incarnation of the worker and the last sequence number that was acknowledged to it.
    acked: (u64, u64),
    /// Whether the worker may have restarted since its last report, because a call failed.
    pub(crate) may_have_restarted: bool,
    /// Whether a task renews the lease.
    is_active: bool,
    calls: Calls,
}

/// Updates the addresses and clocks of the sessions from the VM list.
pub(crate) fn update_addresses(leader: &Leader, infos: &[WorkerInfo]) {
    let now = clock::now();
    let mut sessions = leader.sessions.borrow_mut();
    for info in infos {
        let session = sessions.get_or_default(info.id.clone());
        match info.address.parse() {
            Ok(address) => session.address = Some(address),
            Err(e) => {
                log::warn!(worker:% = info.id, address:% = info.address, reason:% = e; "workers: invalid address");
            }
        }
        if session
            .grants
            .observe_entry(info.incarnation, info.clock, now)
        {
            session.acked = (info.incarnation, 0);
        }
    }
}

/// Adopts the addresses of workers that have runs of an earlier leader and are no longer listed.
pub(crate) fn adopt_addresses(leader: &Leader) {
    let unlisted = leader.scheduler.borrow().unlisted_workers();
    let mut sessions = leader.sessions.borrow_mut();
    for (id, incarnation, address) in unlisted {
        let Ok(address) = address.parse() else {
            log::warn!(worker:% = id, address:%; "workers: unlisted, with runs at an unknown address");
            continue;
        };
        let session = sessions.get_or_default(id);
        session.address.get_or_insert(address);
        session
            .grants
            .observe_entry(incarnation, Millis::ZERO, clock::now());
    }
}

/// Returns the destination of orders to a worker, or `None` if its address is unknown.
pub(crate) fn target(leader: &Leader, worker: &Text) -> Option<Target> {
    let address = leader.sessions.borrow().get(worker)?.address?;
    Some(Target {
        id: worker.clone(),
        address,
        fence: leader.held.fence,
    })
}

/// Returns the calls to a worker beside its renewals, or `None` if the worker is unknown.
pub(crate) fn calls(leader: &Leader, worker: &Text) -> Option<Calls> {
    let sessions = leader.sessions.borrow();
    sessions.get(worker).map(|s| s.calls.clone())
}

/// Starts a renewal task for each worker in use that has none.
pub(crate) fn start_sessions(cx: &Cx, leader: &Rc<Leader>) {
    let inactive = inactive_workers(leader);
    let mut sessions = leader.sessions.borrow_mut();
    for worker in inactive {
        sessions.get_or_default(worker.clone()).is_active = true;
        rt::spawn(run(cx.clone(), leader.clone(), worker)).detach();
    }
}

/// Returns the workers in use whose session is not active. Both lists have the order of the ids.
fn inactive_workers(leader: &Leader) -> Vec<Text> {
    let mut used = leader.scheduler.borrow().workers_in_use();
    let sessions = leader.sessions.borrow();
    let mut sessions = sessions.iter().peekable();
    used.retain(|worker| {
        while sessions.next_if(|(id, _)| *id < worker).is_some() {}
        let session = sessions.next_if(|(id, _)| *id == worker);
        !session.is_some_and(|(_, s)| s.is_active)
    });
    used
}

/// Renews the lease of a worker while a run may exist there, and until its finished runs are
/// acknowledged to it.
async fn run(cx: Cx, leader: Rc<Leader>, worker: Text) {
    let mut outage: Option<&'static str> = None;
    let mut answered_at: Option<Millis> = None;
    while !leader.ended.get() && is_needed(&leader, &worker, outage.is_some()) {
        if cx.acting().is_none() {
            cx::sleep(RETRY_DELAY).await;
            continue;
        }
        let to = target(&leader, &worker);
        let failure = match &to {
            Some(target) => renew(&cx, &leader, target).await.err(),
            None => Some(Failure::NoAddress),
        };
        let Some(failure) = failure else {
            answered_at = Some(clock::now());
            if outage.take().is_some() {
                log::info!(worker:%; "workers: answers again");
                end_outage(&leader, &worker);
            }
            continue;
        };
        if outage != Some(failure.kind()) {
            let runs = leader.scheduler.borrow().runs_on(&worker);
            let silent_ms = answered_at.map_or(0, |t| clock::now().since(t).0);
            log::warn!(worker:%, kind = failure.kind(), reason:% = failure, runs, silent_ms; "workers: no answer");
            cx.metrics.count_worker_outage(failure.kind());
            if outage.replace(failure.kind()).is_none() {
                // A renewal waits at the worker for most of the time, so a crash closes its connection.
                let alive_until = match failure {
                    Failure::Closed(_) if answered_at.is_some() => clock::now(),
                    _ => answered_at.unwrap_or_default(),
                };
                begin_outage(&leader, &worker, alive_until);
            }
        }
        let is_current =
            |to: &Target| target(&leader, &worker).is_some_and(|t| t.address == to.address);
        if matches!(failure, Failure::Replaced) && to.as_ref().is_some_and(is_current) {
            let (now, wall_now) = (clock::now(), clock::wall());
            leader
                .scheduler
                .borrow_mut()
                .handle_replaced(&worker, now, wall_now);
            leader.changed.notify_one();
            leader.dirty.notify_one();
            cx::sleep(RETRY_DELAY).await;
            continue;
        }
        let now = clock::now();
        let expired = worker_lease::expired(&cx, &leader, &worker, now);
        if expired != Expired::Nothing {
            let mut scheduler = leader.scheduler.borrow_mut();
            scheduler.handle_expired_runs(&worker, expired, now);
            drop(scheduler);
            leader.changed.notify_one();
        }
        cx::sleep(RETRY_DELAY).await;
    }
    if let Some(session) = leader.sessions.borrow_mut().get_mut(&worker) {
        session.is_active = false;
        session.grants.set_responding(true);
    }
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.set_responding(&worker, true, clock::now());
}

fn is_needed(leader: &Leader, worker: &Text, unresponsive: bool) -> bool {
    leader.scheduler.borrow().is_in_use(worker)
        || (!unresponsive && unsent_ack(leader, worker).is_some())
}

fn begin_outage(leader: &Leader, worker: &Text, alive_until: Millis) {
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.handle_outage(worker, alive_until, clock::now());
    drop(scheduler);
    if let Some(session) = leader.sessions.borrow_mut().get_mut(worker) {
        session.grants.set_responding(false);
    }
    leader.changed.notify_one();
}

fn end_outage(leader: &Leader, worker: &Text) {
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.set_responding(worker, true, clock::now());
    drop(scheduler);
    if let Some(session) = leader.sessions.borrow_mut().get_mut(worker) {
        session.grants.set_responding(true);
    }
    leader.changed.notify_one();
}

/// Returns for how long the worker may delay its reply to a renewal. Of runs that an earlier leader
/// placed, only a report tells whether they have started, and of those of a worker that may have restarted,
/// whether they still exist.
fn report_delay(leader: &Leader, worker: &Text) -> Millis {
    let sessions = leader.sessions.borrow();
    if sessions.get(worker).is_some_and(|s| s.may_have_restarted) {
        return Millis::ZERO;
    }
    let scheduler = leader.scheduler.borrow();
    // Of an unexpected run only the end is waited for.
    let has_runs = scheduler.runs_on(worker) > 0 || scheduler.has_unexpected_runs(worker);
    if has_runs && !scheduler.has_adopted_runs(worker) {
        HOLD_TIME
    } else {
        Millis::ZERO
    }
}

/// Renews the lease once.
async fn renew(cx: &Cx, leader: &Rc<Leader>, target: &Target) -> Result<(), Failure> {
    let worker = &target.id;
    let sent = clock::now();
    let acked = unsent_ack(leader, worker);
    let wait = report_delay(leader, worker);
    let call = Renewal {
        purpose: Purpose::Renewal,
        lease_end: worker_lease::renewed_end(cx, leader, worker),
        acked: acked.map_or(0, |(_, seq)| seq),
        wait,
    };
    let limit = HOLD_TIME + leader.window.call_limit();
    let answer = cx.workers.renew(target, call, limit).await;
    let acked = acked.filter(|_| answer.has_acked);
    if !matches!(answer.reply, Reply::Done(_)) {
        worker_lease::record_failed_renewal(leader, worker, call.lease_end.is_some());
    }
    match answer.reply {
        Reply::Done(report) => {
            record_renewal(leader, worker, sent);
            handle_report(leader, worker, &report, sent, acked);
            if !report.finished.is_empty() {
                // The worker replies at once while finished runs are not acknowledged.
                let acked = wait_for_ack(leader, worker);
                let _ = time::timeout(MAX_COMMIT_WAIT.to_duration(), acked).await;
            } else if !report.is_complete {
                // So it does while a finished run whose row is malformed is not acknowledged.
                cx::sleep(RETRY_DELAY).await;
            }
            Ok(())
        }
        Reply::Fenced => {
            log::warn!(worker:%; "workers: the worker has seen a higher fencing token");
            cx.lease.borrow_mut().mark_lost();
            cx.wake_lease_task.notify_one();
            Err(Failure::Fenced)
        }
        Reply::OtherWorker => Err(Failure::Replaced),
        Reply::Closed(reason) => Err(Failure::Closed(reason)),
        Reply::Failed(reason) => Err(Failure::NoAnswer(reason)),
    }
}

/// Waits until finished runs may be acknowledged to a worker, or the leadership has ended.
async fn wait_for_ack(leader: &Leader, worker: &Text) {
    while !leader.ended.get() {
        let committed = leader.committed.notified();
        if unsent_ack(leader, worker).is_some() {
            return;
        }
        committed.await;
    }
}

fn record_renewal(leader: &Leader, worker: &Text, sent: Millis) {
    if let Some(session) = leader.sessions.borrow_mut().get_mut(worker) {
        session.renewed_at = session.renewed_at.max(sent);
    }
}

/// Returns whether the lease of a worker was renewed so lately that an extension gains little.
fn is_renewed(leader: &Leader, worker: &Text) -> bool {
    let sessions = leader.sessions.borrow();
    sessions
        .get(worker)
        .is_some_and(|s| clock::now().since(s.renewed_at) < RECENT_RENEWAL)
}

/// Extends the lease of a worker at once, beside the sequential renewal, if the worker answers and
/// the lease was not renewed just before.
pub(crate) async fn extend_lease(cx: &Cx, leader: &Rc<Leader>, worker: &Text) {
    if is_renewed(leader, worker) {
        return;
    }
    let Some(calls) = calls(leader, worker) else {
        return;
    };
    let Some(permit) = calls
        .acquire(Place::First, &leader.window, (Class::Extension, 0))
        .await
    else {
        return;
    };
    let end = worker_lease::renewed_end(cx, leader, worker);
    if end.is_some() {
        fetch_report(cx, leader, worker, end, permit).await;
    }
}

/// Requests a report of a worker without a delay, and returns whether the worker answered within
/// `limit`. Like [`request_report`] it changes nothing.
pub(crate) async fn confirm_contact(
    cx: &Cx,
    leader: &Rc<Leader>,
    target: &Target,
    limit: Millis,
) -> bool {
    let sent = clock::now();
    let call = Renewal {
        purpose: Purpose::Contact,
        lease_end: None,
        acked: 0,
        wait: Millis::ZERO,
    };
    let reply = cx.workers.renew(target, call, limit).await.reply;
    let Reply::Done(report) = reply else {
        log::info!(
            worker:% = target.id, reply = reply.name(), reason = reply.reason();
            "workers: no contact before a start"
        );
        return false;
    };
    handle_report(leader, &target.id, &report, sent, None);
    true
}

/// Requests one report of a worker without a delay. It neither extends the lease nor acknowledges
/// finished runs, which is left to the sequential renewals.
pub(crate) async fn request_report(cx: &Cx, leader: &Rc<Leader>, worker: &Text) {
    let Some(calls) = calls(leader, worker) else {
        return;
    };
    let Some(permit) = calls.acquire_for_report(&leader.window).await else {
        return;
    };
    if leader.scheduler.borrow().runs_on(worker) > 0 {
        fetch_report(cx, leader, worker, None, permit).await;
    }
}

async fn fetch_report(
    cx: &Cx,
    leader: &Rc<Leader>,
    worker: &Text,
    lease_end: Option<Millis>,
    mut permit: Permit,
) {
    let Some(target) = target(leader, worker) else {
        return;
    };
    if leader.ended.get() || cx.acting().is_none() {
        return;
    }
    let sent = clock::now();
    let call = Renewal {
        purpose: lease_end.map_or(Purpose::Report, |_| Purpose::Extension),
        lease_end,
        acked: 0,
        wait: Millis::ZERO,
    };
    match cx.workers.renew(&target, call, permit.limit).await.reply {
        Reply::Done(report) => {
            permit.set_answered();
            if lease_end.is_some() {
                record_renewal(leader, worker, sent);
            }
            handle_report(leader, worker, &report, sent, None);
        }
        reply => {
            log::debug!(worker:%, reply:?; "workers: no report beside the renewals");
            worker_lease::record_failed_renewal(leader, worker, lease_end.is_some());
        }
    }
}

/// Returns the incarnation and sequence number up to which finished runs may be acknowledged,
/// unless that was already sent. It is sent right after a report of that incarnation, and not once the
/// VM list has named another one: after a restart under the same id it would refer to other runs.
fn unsent_ack(leader: &Leader, worker: &Text) -> Option<(u64, u64)> {
    let stored = leader.scheduler.borrow().stored_seq(worker)?;
    let sessions = leader.sessions.borrow();
    let session = sessions.get(worker)?;
    let is_current = stored.0 == session.grants.incarnation() && !session.may_have_restarted;
    (is_current && stored.1 > 0 && stored != session.acked).then_some(stored)
}

fn handle_report(
    leader: &Leader,
    worker: &Text,
    report: &Report,
    sent: Millis,
    acked: Option<(u64, u64)>,
) {
    if let (Some(acked), Some(session)) = (acked, leader.sessions.borrow_mut().get_mut(worker)) {
        session.acked = acked;
    }
    let scheduler = leader.scheduler.borrow();
    let is_outdated = scheduler.is_outdated(worker, report, sent);
    drop(scheduler);
    if is_outdated {
        log::info!(worker:%, life = report.incarnation; "workers: late report of an earlier life");
        return;
    }
    let now = clock::now();
    if let Some(session) = leader.sessions.borrow_mut().get_mut(worker) {
        let incarnation = report.incarnation;
        session.may_have_restarted = false;
        if session
            .grants
            .observe_report(incarnation, report.clock, sent, now)
        {
            session.acked = (incarnation, 0);
        }
    }
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.handle_report(worker, report, sent, now, clock::wall());
    // Most reports only confirm what is known. Ends are acknowledged with the next commit.
    if scheduler.has_changes() || !report.finished.is_empty() {
        leader.dirty.notify_one();
    }
    drop(scheduler);
    leader.changed.notify_one();
}
