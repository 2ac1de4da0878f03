//! Contact to workers: renewals of their leases, their reports, and when a lease is over.

use std::{net, rc::Rc};

use base::clock::{self, Millis};
use batch::{
    grant::{self, Grants},
    job::Text,
    worker::{Report, WorkerInfo},
};
use ntex::rt;
use platform::workers::{Renew, Reply, Target};

use crate::{
    cx::{self, Cx},
    leader::Leader,
};

/// How long a worker holds a renewal back while nothing ends there.
const WAIT: Millis = Millis(1_500);
/// Time for the answer beyond the wait.
const ANSWER: Millis = Millis(700);
/// Pause after a failed renewal.
const RETRY: Millis = Millis(200);
/// Longest wait for the commit of reported ends before the lease is renewed again.
const COMMIT: Millis = Millis(500);
/// Time after the begin of a leadership up to which an order of the leader before may still have
/// been sent: it checks its lease before each order, and a frozen process may wake in between.
const LAST_ORDER: Millis = Millis(150);

/// Contact to one worker.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    address: Option<net::SocketAddr>,
    /// Leases granted here.
    grants: Grants,
    /// Start of the worker's life as last reported.
    life: u64,
    /// Life of the worker and the number up to which it forgot its ends.
    forgotten: (u64, u64),
    /// Whether a task keeps the contact.
    kept: bool,
}

impl Contact {
    /// Takes another life of the worker, whose clock may have begun anew.
    fn restarted(&mut self, life: u64, clock: Millis, now: Millis) {
        self.life = life;
        self.forgotten = (life, 0);
        self.grants.reset(clock, now);
    }
}

/// Takes the addresses and clocks of the list.
pub(crate) fn listed(leader: &Leader, infos: &[WorkerInfo]) {
    let now = clock::now();
    let mut contacts = leader.contacts.borrow_mut();
    for info in infos {
        let contact = contacts.get_or_default(info.id.clone());
        match info.address.parse() {
            Ok(address) => contact.address = Some(address),
            Err(e) => {
                log::warn!(worker:% = info.id, address:% = info.address, reason:% = e; "workers: no address");
            }
        }
        if contact.life != info.incarnation {
            contact.restarted(info.incarnation, info.clock, now);
        }
    }
}

/// Returns where to send an order.
pub(crate) fn target(leader: &Leader, worker: &Text) -> Option<Target> {
    let address = leader.contacts.borrow().get(worker)?.address?;
    Some(Target {
        id: worker.clone(),
        address,
        fence: leader.held.fence,
    })
}

/// Returns the lease end for an order.
pub(crate) fn grant(cx: &Cx, leader: &Leader, worker: &Text) -> Option<Millis> {
    let mut contacts = leader.contacts.borrow_mut();
    let contact = contacts.get_mut(worker)?;
    contact.grants.grant(cx.cfg.worker_lease_ms, clock::now())
}

fn renewal(cx: &Cx, leader: &Leader, worker: &Text) -> Option<Millis> {
    let mut contacts = leader.contacts.borrow_mut();
    let contact = contacts.get_mut(worker)?;
    contact.grants.renewal(cx.cfg.worker_lease_ms, clock::now())
}

/// Notes the clock in an answer.
pub(crate) fn heard(leader: &Leader, worker: &Text, clock: Millis) {
    if let Some(contact) = leader.contacts.borrow_mut().get_mut(worker) {
        contact.grants.observe_clock(clock, clock::now());
    }
}

/// Starts a task for each worker on which something may run.
pub(crate) fn keep(cx: &Cx, leader: &Rc<Leader>) {
    let used = leader.book.borrow().workers_in_use();
    for worker in used {
        let mut contacts = leader.contacts.borrow_mut();
        let contact = contacts.get_or_default(worker.clone());
        if contact.kept {
            continue;
        }
        contact.kept = true;
        rt::spawn(run(cx.clone(), leader.clone(), worker)).detach();
    }
}

/// Keeps the contact to a worker while something may run there, and until it knows which ends it
/// may forget.
async fn run(cx: Cx, leader: Rc<Leader>, worker: Text) {
    let mut silent = false;
    while !leader.ended.get() && is_needed(&leader, &worker, silent) {
        if cx.acting().is_none() {
            cx::sleep(RETRY).await;
            continue;
        }
        let failure = match target(&leader, &worker) {
            Some(target) => renew(&cx, &leader, &target).await,
            None => Some(String::from("no address")),
        };
        if silent != failure.is_some() {
            silent = failure.is_some();
            note(&leader, &worker, failure.as_deref());
        }
        if failure.is_none() {
            continue;
        }
        if clock::now() > over_at(&cx, &leader, &worker) {
            leader
                .book
                .borrow_mut()
                .handle_lease_expiry(&worker, clock::now());
            leader.changed.notify_one();
        }
        cx::sleep(RETRY).await;
    }
    if let Some(contact) = leader.contacts.borrow_mut().get_mut(&worker) {
        contact.kept = false;
        contact.grants.set_responding(true);
    }
    let mut book = leader.book.borrow_mut();
    book.set_responding(&worker, true, clock::now());
}

fn is_needed(leader: &Leader, worker: &Text, silent: bool) -> bool {
    leader.book.borrow().is_in_use(worker) || (!silent && unforgotten(leader, worker).is_some())
}

/// Notes that a worker stopped answering, or answers again.
fn note(leader: &Leader, worker: &Text, failure: Option<&str>) {
    match failure {
        Some(reason) => log::warn!(worker:%, reason; "workers: no answer"),
        None => log::info!(worker:%; "workers: answers again"),
    }
    let mut book = leader.book.borrow_mut();
    book.set_responding(worker, failure.is_none(), clock::now());
    drop(book);
    if let Some(contact) = leader.contacts.borrow_mut().get_mut(worker) {
        contact.grants.set_responding(failure.is_none());
    }
    leader.changed.notify_one();
}

/// Returns when nothing runs on a silent worker any more. An earlier leader may have granted
/// leases until this leadership began.
fn over_at(cx: &Cx, leader: &Leader, worker: &Text) -> Millis {
    let lease = grant::max_local_duration(cx.cfg.worker_lease_ms);
    let before = leader.since + lease + LAST_ORDER;
    let contacts = leader.contacts.borrow();
    let granted = contacts.get(worker).map(|c| c.grants.expires_at());
    granted.unwrap_or_default().max(before)
}

/// Renews the lease once; returns why it failed.
async fn renew(cx: &Cx, leader: &Rc<Leader>, target: &Target) -> Option<String> {
    let worker = &target.id;
    let sent = clock::now();
    let acked = unforgotten(leader, worker);
    let waits = leader.book.borrow().runs_on(worker) > 0;
    let call = Renew {
        lease_end: renewal(cx, leader, worker),
        acked: acked.map_or(0, |(_, seq)| seq),
        wait: if waits { WAIT } else { Millis::ZERO },
    };
    match cx.workers.renew(target, call, WAIT + ANSWER).await {
        Reply::Done(report) => {
            reported(leader, worker, &report, sent, acked);
            if !report.finished.is_empty() {
                // Ends that are not acknowledged would be answered again at once.
                let committed = leader.committed.notified();
                let _ = tokio::time::timeout(COMMIT.to_duration(), committed).await;
            }
            None
        }
        Reply::Fenced => {
            log::warn!(worker:%; "workers: a higher fencing number was seen");
            cx.lease.borrow_mut().mark_lost();
            cx.lease_changed.notify_one();
            Some("fenced".into())
        }
        Reply::OtherWorker => Some("another worker answers".into()),
        Reply::Failed(reason) => Some(reason),
    }
}

/// Asks once what runs on a worker, without a wait. The lease and the ends that the worker may
/// forget are left to the renewals, which come one after another.
pub(crate) async fn ask(cx: &Cx, leader: &Rc<Leader>, target: &Target) {
    if leader.ended.get() || cx.acting().is_none() {
        return;
    }
    let sent = clock::now();
    let call = Renew {
        lease_end: None,
        acked: 0,
        wait: Millis::ZERO,
    };
    match cx.workers.renew(target, call, ANSWER).await {
        Reply::Done(report) => reported(leader, &target.id, &report, sent, None),
        reply => log::debug!(worker:% = target.id, reply:?; "workers: no report after a stop"),
    }
}

/// Returns the ends that the worker may forget and was not told so. A number is sent once only:
/// after a restart under the same id it would name other ends.
fn unforgotten(leader: &Leader, worker: &Text) -> Option<(u64, u64)> {
    let acked = leader.book.borrow().acked_seq(worker)?;
    let contacts = leader.contacts.borrow();
    let forgotten = contacts.get(worker)?.forgotten;
    (acked.1 > 0 && acked != forgotten).then_some(acked)
}

fn reported(
    leader: &Leader,
    worker: &Text,
    report: &Report,
    sent: Millis,
    acked: Option<(u64, u64)>,
) {
    let now = clock::now();
    if let Some(contact) = leader.contacts.borrow_mut().get_mut(worker) {
        if contact.life != report.incarnation {
            contact.restarted(report.incarnation, report.clock, now);
        }
        contact.grants.observe_clock(report.clock, now);
        if let Some(acked) = acked {
            contact.forgotten = acked;
        }
    }
    let mut book = leader.book.borrow_mut();
    book.handle_report(worker, report, sent, now, clock::wall());
    drop(book);
    leader.changed.notify_one();
    leader.dirty.notify_one();
}
