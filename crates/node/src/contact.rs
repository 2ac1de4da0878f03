//! Contact to workers: renewals of their leases, their reports, and when a lease is over.

use std::{net, rc::Rc};

use base::clock::{self, Millis};
use batch::{
    job::Text,
    worker::{Info, Report},
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
/// Clocks of workers may be this much slower than ours, in percent.
const SLOW_PERCENT: u64 = 2;
/// Added to the computed end of a lease for rounding and for the way of an order.
const MARGIN: Millis = Millis(150);

/// Contact to one worker.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    address: Option<net::SocketAddr>,
    /// A time on the worker's clock and the time here at which it was reached for certain.
    clock: Option<(Millis, Millis)>,
    /// Latest end of a lease granted here, on the worker's clock.
    granted: Millis,
    /// Start of the worker's life and the number up to which it forgot its ends.
    forgotten: (u64, u64),
    /// Whether a task keeps the contact.
    kept: bool,
}

impl Contact {
    fn heard(&mut self, clock: Millis, now: Millis) {
        if clock.0 > 0 {
            self.clock = Some((clock, now));
        }
    }

    /// Returns a lease end on the worker's clock; it is not later than `lease` from now there.
    fn grant(&mut self, lease: Millis, now: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        let end = clock + now.since(at) + lease;
        self.granted = self.granted.max(end);
        Some(end)
    }

    /// Returns when all leases granted here are over for certain.
    fn over_at(&self) -> Millis {
        let Some((clock, at)) = self.clock else {
            return Millis::ZERO;
        };
        at + slow(self.granted.since(clock)) + MARGIN
    }
}

/// Returns the longest time here in which a worker's clock advances by `span`.
fn slow(span: Millis) -> Millis {
    Millis(span.0 * 100 / (100 - SLOW_PERCENT) + 1)
}

/// Takes the addresses and clocks of the list.
pub(crate) fn listed(leader: &Leader, infos: &[Info]) {
    let now = clock::now();
    let mut contacts = leader.contacts.borrow_mut();
    for info in infos {
        let contact = contacts.entry(info.id.clone());
        match info.address.parse() {
            Ok(address) => contact.address = Some(address),
            Err(e) => {
                log::warn!(worker:% = info.id, address:% = info.address, reason:% = e; "workers: no address");
            }
        }
        let restarted = contact.forgotten.0 != 0 && info.born != contact.forgotten.0;
        if contact.clock.is_none() || restarted {
            contact.heard(info.clock, now);
            contact.forgotten = (info.born, 0);
            contact.granted = contact.granted.min(info.clock);
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
    contacts
        .get_mut(worker)?
        .grant(cx.cfg.worker_lease_ms, clock::now())
}

/// Notes the clock in an answer.
pub(crate) fn heard(leader: &Leader, worker: &Text, clock: Millis) {
    if let Some(contact) = leader.contacts.borrow_mut().get_mut(worker) {
        contact.heard(clock, clock::now());
    }
}

/// Starts a task for each worker on which something may run.
pub(crate) fn keep(cx: &Cx, leader: &Rc<Leader>) {
    let used = leader.book.borrow().used();
    for worker in used {
        let mut contacts = leader.contacts.borrow_mut();
        let contact = contacts.entry(worker.clone());
        if contact.kept {
            continue;
        }
        contact.kept = true;
        rt::spawn(run(cx.clone(), leader.clone(), worker)).detach();
    }
}

/// Keeps the contact to a worker while something may run there.
async fn run(cx: Cx, leader: Rc<Leader>, worker: Text) {
    let mut silent = false;
    while !leader.ended.get() && leader.book.borrow().is_used(&worker) {
        if cx.acting().is_none() {
            cx::sleep(RETRY).await;
            continue;
        }
        let failure = match target(&leader, &worker) {
            Some(target) => renew(&cx, &leader, &target).await,
            None => Some(String::from("no address")),
        };
        let Some(reason) = failure else {
            if silent {
                log::info!(worker:%; "workers: answers again");
            }
            silent = false;
            continue;
        };
        if !silent {
            log::warn!(worker:%, reason; "workers: no answer");
        }
        silent = true;
        if clock::now() > over_at(&cx, &leader, &worker) {
            leader.book.borrow_mut().lapsed(&worker, clock::now());
            leader.changed.notify_one();
        }
        cx::sleep(RETRY).await;
    }
    if let Some(contact) = leader.contacts.borrow_mut().get_mut(&worker) {
        contact.kept = false;
    }
}

/// Returns when nothing runs on a silent worker any more. An earlier leader may have granted
/// leases until this leadership began.
fn over_at(cx: &Cx, leader: &Leader, worker: &Text) -> Millis {
    let before = leader.since + slow(cx.cfg.worker_lease_ms) + MARGIN;
    let contacts = leader.contacts.borrow();
    contacts
        .get(worker)
        .map_or(before, |c| c.over_at().max(before))
}

/// Renews the lease once; returns why it failed.
async fn renew(cx: &Cx, leader: &Rc<Leader>, target: &Target) -> Option<String> {
    let worker = &target.id;
    let sent = clock::now();
    let acked = unforgotten(leader, worker);
    let call = Renew {
        lease_end: grant(cx, leader, worker),
        acked: acked.map_or(0, |(_, seq)| seq),
        wait: WAIT,
    };
    match cx.workers.renew(target, call, WAIT + ANSWER).await {
        Reply::Done(report) => {
            reported(leader, worker, &report, sent, acked);
            if !report.ends.is_empty() {
                // Ends that are not acknowledged would be answered again at once.
                let committed = leader.committed.notified();
                let _ = tokio::time::timeout(COMMIT.to_duration(), committed).await;
            }
            None
        }
        Reply::Fenced => {
            log::warn!(worker:%; "workers: a higher fencing number was seen");
            cx.lease.borrow_mut().lost();
            cx.lease_changed.notify_one();
            Some("fenced".into())
        }
        Reply::OtherWorker => Some("another worker answers".into()),
        Reply::Failed(reason) => Some(reason),
    }
}

/// Returns the ends that the worker may forget and was not told so. A number is sent once only:
/// after a restart under the same id it would name other ends.
fn unforgotten(leader: &Leader, worker: &Text) -> Option<(u64, u64)> {
    let acked = leader.book.borrow().acked(worker)?;
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
        contact.heard(report.clock, now);
        if let Some(acked) = acked {
            contact.forgotten = acked;
        }
    }
    let mut book = leader.book.borrow_mut();
    book.reported(worker, report, sent, now, clock::wall());
    drop(book);
    leader.changed.notify_one();
    leader.dirty.notify_one();
}
