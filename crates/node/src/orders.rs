//! Sends orders to workers.

use std::rc::Rc;

use base::clock::{self, Millis};
use batch::{
    call_queue::Place,
    call_window::Class,
    stop_order,
    worker::{Action, Order, Refusal, StartReply},
};
use ntex::rt;
use platform::workers::{Reply, Start, Target};

use crate::{
    calls::Permit,
    cx::{self, Cx},
    leader::Leader,
    worker_lease, worker_session,
};

/// Delay between the reply to a stop and the request for a report. Times are in milliseconds, and
/// only a report that was requested later than the reply shows whether the run still exists.
const REPORT_DELAY: Millis = Millis(5);

/// Interval at which an order that waits for a valid lease looks for it.
const LEASE_POLL_INTERVAL: Millis = Millis(20);
/// Interval at which a start that waits for the configuration looks for it.
const CONFIG_POLL_INTERVAL: Millis = Millis(20);

/// Sends orders concurrently and hands the replies to the scheduler.
pub(crate) fn send(cx: &Cx, leader: &Rc<Leader>, orders: Vec<Order>) {
    for order in orders {
        let position = leader.orders.get() + 1;
        leader.orders.set(position);
        rt::spawn(send_one(cx.clone(), leader.clone(), order, position)).detach();
    }
}

async fn send_one(cx: Cx, leader: Rc<Leader>, order: Order, position: u64) {
    let is_start = matches!(order.action, Action::Start { .. });
    let _pending = is_start.then(|| PendingStart::new(&leader));
    let Some(calls) = worker_session::calls(&leader, &order.worker) else {
        log::warn!(task:% = order.task, worker:% = order.worker; "orders: the address of the worker is unknown");
        return handle_unsent(&leader, &order);
    };
    let place = (class(&leader, &order), position);
    let permit = loop {
        wait_for_lease(&cx, &leader, &order).await;
        if is_start {
            wait_for_config(&cx, &leader).await;
        }
        let permit = calls.acquire(Place::Last, &leader.window, place).await;
        if leader.ended.get() {
            return;
        }
        let Some(permit) = permit else {
            log::info!(task:% = order.task, worker:% = order.worker; "orders: not sent to a silent worker");
            return handle_unsent(&leader, &order);
        };
        if cx.acting().is_some() && (!is_start || cx.may_start()) {
            break permit;
        }
        // The time until the lease is valid again, or the configuration is confirmed, says nothing about
        // the link or the worker.
        permit.cancel();
    };
    let Some(target) = worker_session::target(&leader, &order.worker) else {
        log::warn!(task:% = order.task, worker:% = order.worker; "orders: the address of the worker is unknown");
        return handle_unsent(&leader, &order);
    };
    match order.action {
        Action::Start { .. } => send_start(&cx, &leader, &order, &target, permit).await,
        Action::Stop => send_stop(&cx, &leader, &order, &target, permit).await,
    }
}

/// A start that waits for its turn or its answer, counted until it is dropped.
struct PendingStart(Rc<Leader>);

impl PendingStart {
    fn new(leader: &Rc<Leader>) -> Self {
        leader.pending_starts.set(leader.pending_starts.get() + 1);
        Self(leader.clone())
    }
}

impl Drop for PendingStart {
    fn drop(&mut self) {
        let pending = &self.0.pending_starts;
        pending.set(pending.get() - 1);
    }
}

fn class(leader: &Leader, order: &Order) -> Class {
    match order.action {
        Action::Stop => Class::Stop,
        Action::Start { .. } if leader.scheduler.borrow().is_urgent(&order.task) => {
            Class::UrgentStart
        }
        Action::Start { .. } => Class::Start,
    }
}

async fn send_start(
    cx: &Cx,
    leader: &Rc<Leader>,
    order: &Order,
    target: &Target,
    mut permit: Permit,
) {
    let Action::Start {
        text,
        checkpoint,
        ticket,
    } = &order.action
    else {
        return;
    };
    let began = clock::now();
    if leader.scheduler.borrow().needs_contact(&order.task) {
        let limit = Millis(permit.limit.0 / 2);
        if !worker_session::confirm_contact(cx, leader, target, limit).await {
            return refuse_unsent(cx, leader, order, Refusal::Unhealthy);
        }
        permit.set_answered();
        if cx.acting().is_none() || !cx.may_start() {
            drop(permit);
            return send(cx, leader, vec![order.clone()]);
        }
    }
    let limit = permit.limit.since(clock::now().since(began));
    let limit = cx.start_limit().map_or(limit, |max| limit.min(max));
    let wanted = leader
        .scheduler
        .borrow()
        .is_start_wanted(&order.task, order.attempt);
    if !wanted {
        log::info!(task:% = order.task, attempt = order.attempt; "orders: start not sent, its run was stopped or is known");
        cx.metrics.count_order("start", "not_sent");
        let mut scheduler = leader.scheduler.borrow_mut();
        return scheduler.handle_unwanted_start(&order.task, order.attempt);
    }
    if !is_admitted_by_zone(cx, leader, order) {
        cx.metrics.count_order("start", "evacuated");
        leader.changed.notify_one();
        return;
    }
    let fits = {
        let mut scheduler = leader.scheduler.borrow_mut();
        // The configuration may have been read after the last pass.
        scheduler.configure(&cx.config());
        scheduler.admits_start(&order.task, &order.worker, clock::now())
    };
    if !fits {
        return refuse_unsent(cx, leader, order, Refusal::Room);
    }
    let Some(lease_end) = worker_lease::grant(cx, leader, &order.worker) else {
        return handle_unsent(leader, order);
    };
    let start = Start {
        task: order.task.clone(),
        attempt: order.attempt,
        text: text.clone(),
        checkpoint: checkpoint.clone(),
        ticket: ticket.clone(),
        lease_end,
    };
    let sent = clock::now();
    let mut answer = cx.workers.start(target, &start, limit).await;
    if answer.clock.is_some() {
        permit.set_answered();
        drop(permit);
        if !worker_lease::is_known_to_answer(cx, leader, target, answer.clock, sent).await {
            answer.reply = answer.reply.of_other_incarnation();
        }
    } else {
        answer.reply = answer.reply.of_other_incarnation();
    }
    if matches!(answer.reply, StartReply::Unknown | StartReply::Closed) {
        worker_lease::record_unanswered_start(leader, &order.worker);
    }
    if answer.has_lost_try {
        let mut scheduler = leader.scheduler.borrow_mut();
        scheduler.handle_lost_start(&order.task, order.attempt);
    }
    cx.metrics.count_order("start", outcome(answer.reply));
    handle_start_reply(leader, order, answer.reply);
    if answer.reply == StartReply::Refused(Refusal::Fenced) {
        cx.lease.borrow_mut().mark_lost();
        cx.wake_lease_task.notify_one();
    }
}

async fn send_stop(
    cx: &Cx,
    leader: &Rc<Leader>,
    order: &Order,
    target: &Target,
    mut permit: Permit,
) {
    let (task, attempt) = (&order.task, order.attempt);
    let is_wanted = leader
        .scheduler
        .borrow()
        .is_stop_wanted(&order.worker, task, attempt);
    if !is_wanted {
        cx.metrics.count_order("stop", "not_sent");
        return;
    }
    let sent = clock::now();
    let answer = cx.workers.stop(target, task, attempt, permit.limit).await;
    let mut reply = answer.reply;
    if reply == Reply::Done(()) {
        permit.set_answered();
        if !worker_lease::is_known_to_answer(cx, leader, target, answer.clock, sent).await {
            reply = Reply::OtherWorker;
        }
    }
    log::info!(
        task:%, attempt, worker:% = order.worker, reply = reply.name(), reason = reply.reason();
        "orders: stop"
    );
    let outcome = if reply == Reply::Done(()) {
        "taken"
    } else {
        "unknown"
    };
    cx.metrics.count_order("stop", outcome);
    if reply != Reply::Done(()) {
        drop(permit);
        handle_unanswered_stop(leader, order);
        // Only a report that lists the run repeats the stop.
        cx::sleep(stop_order::RETRY_DELAY).await;
        return worker_session::request_report(cx, leader, &order.worker).await;
    }
    drop(permit);
    let open = leader
        .scheduler
        .borrow_mut()
        .handle_stop_reply(task, attempt, clock::now());
    if open {
        cx::sleep(REPORT_DELAY).await;
        worker_session::request_report(cx, leader, &order.worker).await;
    }
}

/// Handles a start that was not sent like one that the worker refused.
fn refuse_unsent(cx: &Cx, leader: &Leader, order: &Order, refusal: Refusal) {
    cx.metrics.count_order("start", "not_sent");
    handle_start_reply(leader, order, StartReply::Refused(refusal));
}

/// Waits until the leader has a valid lease, or its leadership has ended. An order that is given up
/// instead would be decided and stored anew, or leave a run that should have been stopped.
async fn wait_for_lease(cx: &Cx, leader: &Leader, order: &Order) {
    if leader.ended.get() || cx.acting().is_some() {
        return;
    }
    log::info!(task:% = order.task, attempt = order.attempt; "orders: waits for a valid lease");
    while !leader.ended.get() && cx.acting().is_none() {
        cx::sleep(LEASE_POLL_INTERVAL).await;
    }
}

/// Waits until the configuration has been read, and confirmed recently enough if data centres may be
/// evacuated. Without it, each worker seems to check its capacity itself.
async fn wait_for_config(cx: &Cx, leader: &Leader) {
    while !leader.ended.get() && !cx.may_start() {
        cx::sleep(CONFIG_POLL_INTERVAL).await;
    }
}

/// Returns whether a start may be sent to the data centre of its worker. One that may not is rolled back:
/// it may have waited for its turn since before the request to evacuate.
fn is_admitted_by_zone(cx: &Cx, leader: &Leader, order: &Order) -> bool {
    let (mut scheduler, now) = (leader.scheduler.borrow_mut(), clock::now());
    scheduler.set_evacuated(cx.evacuations.borrow().zones(), now);
    let is_evacuated = scheduler.is_start_evacuated(&order.task, &order.worker);
    if is_evacuated {
        scheduler.roll_back_start(&order.task, order.attempt, now);
    }
    !is_evacuated
}

const fn outcome(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Taken => "taken",
        StartReply::NotSent => "not_sent",
        StartReply::Unknown | StartReply::Closed => "unknown",
        StartReply::Refused(refusal) => refusal.name(),
    }
}

/// Returns the reply to a start as a field of log lines.
const fn reply_name(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Unknown => "no_answer",
        StartReply::Closed => "closed",
        StartReply::Taken | StartReply::NotSent | StartReply::Refused(_) => outcome(reply),
    }
}

/// Handles an order that was not sent: it is repeated, or given up if it is a start.
fn handle_unsent(leader: &Leader, order: &Order) {
    match order.action {
        Action::Start { .. } => handle_start_reply(leader, order, StartReply::NotSent),
        Action::Stop => handle_unanswered_stop(leader, order),
    }
}

fn handle_unanswered_stop(leader: &Leader, order: &Order) {
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.handle_unanswered_stop(&order.task, order.attempt, clock::now());
}

fn handle_start_reply(leader: &Leader, order: &Order, reply: StartReply) {
    // An accepted start is not logged, because the end of its run is.
    if reply != StartReply::Taken {
        log::info!(task:% = order.task, attempt = order.attempt, worker:% = order.worker, reply = reply_name(reply); "orders: start");
    }
    let mut scheduler = leader.scheduler.borrow_mut();
    scheduler.handle_start_reply(&order.task, order.attempt, reply, clock::now());
    drop(scheduler);
    leader.changed.notify_one();
}
