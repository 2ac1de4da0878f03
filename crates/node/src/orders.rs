//! Sends orders to workers.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::worker::{Action, Order, Refusal, StartReply};
use ntex::rt;
use platform::workers::{Reply, Start};

use crate::{
    contact,
    cx::{self, Cx},
    leader::Leader,
};

/// Time from a stop to the question whether the run is there. Clocks here count milliseconds, and
/// only a report to a call that was sent later than the answer counts.
const SETTLE: Millis = Millis(5);

/// Sends orders, each on its own; the answers go to the book.
pub(crate) fn send(cx: &Cx, leader: &Rc<Leader>, orders: Vec<Order>) {
    for order in orders {
        rt::spawn(carry_out(cx.clone(), leader.clone(), order)).detach();
    }
}

async fn carry_out(cx: Cx, leader: Rc<Leader>, order: Order) {
    if leader.ended.get() || cx.acting().is_none() {
        // The next leader, or this one after its next renewal, orders it again.
        log::info!(task:% = order.task; "orders: not sent without a valid lease");
        return unsent(&leader, &order);
    }
    let Some(target) = contact::target(&leader, &order.worker) else {
        log::warn!(task:% = order.task, worker:% = order.worker; "orders: no address");
        return unsent(&leader, &order);
    };
    match &order.action {
        Action::Start {
            text,
            checkpoint,
            ticket,
        } => {
            let Some(lease_end) = contact::grant(&cx, &leader, &order.worker) else {
                return unsent(&leader, &order);
            };
            let start = Start {
                task: order.task.clone(),
                attempt: order.attempt,
                text: text.clone(),
                checkpoint: checkpoint.clone(),
                ticket: ticket.clone(),
                lease_end,
            };
            let (reply, clock) = cx.workers.start(&target, &start).await;
            if let Some(clock) = clock {
                contact::heard(&leader, &order.worker, clock);
            }
            cx.metrics.order("start", outcome(reply));
            answered(&leader, &order, reply);
            if reply == StartReply::Refused(Refusal::Fenced) {
                cx.lease.borrow_mut().mark_lost();
                cx.lease_changed.notify_one();
            }
        }
        Action::Stop => {
            let reply = cx.workers.stop(&target, &order.task, order.attempt).await;
            log::info!(task:% = order.task, attempt = order.attempt, worker:% = order.worker, reply:?; "orders: stop");
            let outcome = if reply == Reply::Done(()) {
                "taken"
            } else {
                "unknown"
            };
            cx.metrics.order("stop", outcome);
            if reply != Reply::Done(()) {
                return;
            }
            let (task, attempt, now) = (&order.task, order.attempt, clock::now());
            let open = leader
                .book
                .borrow_mut()
                .handle_stop_reply(task, attempt, now);
            if open {
                cx::sleep(SETTLE).await;
                contact::ask(&cx, &leader, &target).await;
            }
        }
    }
}

const fn outcome(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Taken => "taken",
        StartReply::Unknown => "unknown",
        StartReply::Refused(refusal) => match refusal {
            Refusal::Fenced => "fenced",
            Refusal::Old => "old",
            Refusal::Late => "late",
            Refusal::Room => "room",
            Refusal::Ticket => "ticket",
            Refusal::OtherLife => "other_worker",
            Refusal::Unhealthy => "unhealthy",
            Refusal::Invalid => "invalid",
        },
    }
}

/// A start that was not sent counts as one without an answer: it is repeated or stopped.
fn unsent(leader: &Leader, order: &Order) {
    if matches!(order.action, Action::Start { .. }) {
        answered(leader, order, StartReply::Unknown);
    }
}

fn answered(leader: &Leader, order: &Order, reply: StartReply) {
    // A start that is taken shows in the end of its run.
    if reply != StartReply::Taken {
        log::info!(task:% = order.task, attempt = order.attempt, worker:% = order.worker, reply:?; "orders: start");
    }
    let mut book = leader.book.borrow_mut();
    book.handle_start_reply(&order.task, order.attempt, reply, clock::now());
    drop(book);
    leader.changed.notify_one();
}
