//! Leases of workers, and the lives of a worker that its answers come from.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    grant::{self, Expired, Grants},
    job::Text,
};
use platform::workers::Target;

use crate::{cx::Cx, leader::Leader, worker_session};

/// Time after the start of a leadership in which the previous leader may still send an order. It
/// checks its lease before each order, but its process may be suspended between the check and the
/// send.
const MAX_ORDER_DELAY: Millis = Millis(150);

/// Returns the end of the lease for a start order, or `None` if the worker's clock is unknown.
pub(crate) fn grant(cx: &Cx, leader: &Leader, worker: &Text) -> Option<Millis> {
    let mut sessions = leader.sessions.borrow_mut();
    let session = sessions.get_mut(worker)?;
    session.grants.grant(cx.cfg.worker_lease_ms, clock::now())
}

/// Returns the end of a renewed lease, or `None` if the lease must not be extended.
pub(crate) fn renewed_end(cx: &Cx, leader: &Leader, worker: &Text) -> Option<Millis> {
    let mut sessions = leader.sessions.borrow_mut();
    let session = sessions.get_mut(worker)?;
    session.grants.renewal(cx.cfg.worker_lease_ms, clock::now())
}

/// Takes over the leases that earlier leaders have granted to workers with runs.
pub(crate) fn adopt(cx: &Cx, leader: &Leader) {
    let scheduler = leader.scheduler.borrow();
    let last_call_at = leader.started_at + MAX_ORDER_DELAY;
    let mut sessions = leader.sessions.borrow_mut();
    for worker in scheduler.workers_with_runs() {
        let (incarnation, _) = scheduler.life(&worker);
        let lease = cx.cfg.worker_lease_ms;
        sessions.get_or_default(worker).grants =
            Grants::inherited(incarnation, lease, last_call_at);
    }
}

/// Returns whether the incarnation of the worker that the leader knows has given an answer, whose
/// connection was open from `sent` on. If another one has, a report is requested, which names it.
pub(crate) async fn is_known_to_answer(
    cx: &Cx,
    leader: &Rc<Leader>,
    target: &Target,
    clock: Option<Millis>,
    sent: Millis,
) -> bool {
    let answered_at = clock::now();
    let is_known = || {
        let life = leader.scheduler.borrow().life(&target.id).0;
        let mut sessions = leader.sessions.borrow_mut();
        let grants = sessions.get_mut(&target.id).map(|s| &mut s.grants);
        grants.zip(clock).is_some_and(|(g, clock)| {
            g.observe_answer(clock, sent, answered_at) && g.incarnation() == life
        })
    };
    if is_known() {
        return true;
    }
    let now = clock::now();
    {
        let mut sessions = leader.sessions.borrow_mut();
        if let Some(session) = sessions.get_mut(&target.id) {
            session.may_have_restarted = true;
            log::info!(
                worker:% = target.id, life = session.grants.incarnation(), clock_ms = clock.map(|c| c.0),
                expected_ms = session.grants.clock_at(now).map(|c| c.0);
                "orders: answer of another life of the worker"
            );
        }
    }
    worker_session::confirm_contact(cx, leader, target, leader.window.call_limit()).await
        && is_known()
}

/// Records that a start was given up without an answer.
pub(crate) fn record_unanswered_start(leader: &Leader, worker: &Text) {
    if let Some(session) = leader.sessions.borrow_mut().get_mut(worker) {
        session.grants.record_unanswered_start(clock::now());
        session.may_have_restarted = true;
    }
}

/// Records a renewal, or a request for a report, without an answer.
pub(crate) fn record_failed_renewal(leader: &Leader, worker: &Text, has_lease: bool) {
    if let Some(session) = leader.sessions.borrow_mut().get_mut(worker) {
        if has_lease {
            session.grants.record_unanswered(clock::now());
        }
        session.may_have_restarted = true;
    }
}

/// Returns which runs can no longer exist on an unresponsive worker. The previous leader may have granted
/// leases until this leadership began.
pub(crate) fn expired(cx: &Cx, leader: &Leader, worker: &Text, now: Millis) -> Expired {
    let lease = grant::max_local_duration(cx.cfg.worker_lease_ms);
    if now <= leader.started_at + lease + MAX_ORDER_DELAY {
        return Expired::Nothing;
    }
    let (life, is_listed) = leader.scheduler.borrow().life(worker);
    let sessions = leader.sessions.borrow();
    let expired = sessions
        .get(worker)
        .map(|s| s.grants.expired(life, is_listed, now));
    expired.unwrap_or(Expired::All)
}
