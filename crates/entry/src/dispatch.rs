//! Dispatch of one request to a backend server, with retries on other servers.

use std::rc::Rc;

use base::{clock, clock::Millis};
use route::outcome::{Load, Outcome, ServerId};

use crate::{
    backend::{Answer, Fault, Order},
    balancer::{Balancer, Ended},
    call::Call,
    refusal::{Code, Refusal},
    state::Entry,
};

/// Time from which a missing answer counts against the health of the server.
///
/// Without this bound a caller with very short deadlines could eject every server.
const FAIR_TIME: Millis = Millis(1_000);

/// Room at a server for one request; dropping it before an attempt gives the room back.
#[derive(Debug)]
pub struct Slot {
    balancer: Rc<Balancer>,
    server: Option<ServerId>,
    tried: Vec<ServerId>,
    took: Option<Millis>,
}

impl Slot {
    /// Takes over a server that the balancer has granted.
    pub fn new(balancer: Rc<Balancer>, server: ServerId) -> Self {
        Self {
            balancer,
            server: Some(server),
            tried: Vec::new(),
            took: None,
        }
    }

    /// Exchanges a server that takes no new work any more for another one.
    fn replace_leaving(&mut self) -> Option<(ServerId, std::net::SocketAddr)> {
        loop {
            let server = self.server.clone()?;
            if let Some(address) = self.balancer.open_address(&server) {
                return Some((server, address));
            }
            self.end(Ended::CANCELLED);
            self.next();
        }
    }

    fn end(&mut self, ended: Ended) {
        if let Some(server) = self.server.take() {
            self.balancer.ended(&server, ended);
            self.tried.push(server);
        }
    }

    /// Takes another server than those that were tried.
    fn next(&mut self) -> bool {
        self.server = self.balancer.pick_again(&self.tried);
        self.server.is_some()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end(Ended::CANCELLED);
        self.balancer.finished(self.took);
    }
}

/// How one attempt ended.
enum Attempt {
    Answered(Answer),
    Failed(Outcome, Refusal),
}

/// Sends `order` to servers until there is a whole answer or no further attempt is allowed.
///
/// No attempt starts after `latest`.
pub async fn run(
    cx: &Entry,
    call: &Call,
    latest: Millis,
    mut order: Order,
    mut slot: Slot,
) -> Result<Answer, Refusal> {
    let mut unknown: Option<Refusal> = None;
    loop {
        cx.refresh_vms(cx.cfg.vm_max_age).await;
        let Some((server, address)) = slot.replace_leaving() else {
            let message = "every server of the service that has room is leaving";
            let refusal = Refusal::not_run(Code::NoServer, message);
            return Err(unknown.unwrap_or(refusal));
        };
        let now = clock::now();
        let left = call.deadline.since(now);
        if now >= call.deadline.min(latest) {
            let refusal = Refusal::not_run(Code::Deadline, "the time for the dispatch is over");
            return Err(unknown.unwrap_or(refusal));
        }
        let start = clock::now();
        let limit = slot.balancer.connection_cap();
        let result = cx.backends.run(address, &order, left, limit).await;
        let took = clock::now().since(start);
        if result.as_ref().is_ok_and(|a| a.leaving) {
            cx.vms.mark_leaving(&server);
            slot.balancer.set_leaving(&server);
        }
        let load = result.as_ref().ok().and_then(|a| a.load);
        let load = load.map(|l| Load {
            used: l.used,
            slots: l.slots,
        });
        let (outcome, label) = classify(&result, left);
        cx.metrics.backend(label, took);
        slot.end(Ended {
            outcome,
            took,
            load,
        });
        match judge(result, outcome) {
            Attempt::Answered(answer) => {
                slot.took = Some(took);
                return Ok(answer);
            }
            Attempt::Failed(outcome, refusal) => {
                let repeatable = call.target.operation.repeatable;
                // Once an attempt may have been run, no later one can make "not run" true.
                if unknown.is_none() && !outcome.is_not_run() {
                    unknown = Some(refusal.clone());
                }
                let is_allowed = slot.balancer.may_retry(repeatable, outcome, call.deadline);
                if !is_allowed || !slot.next() {
                    return Err(unknown.unwrap_or(refusal));
                }
                cx.metrics.retry();
                order.id = cx.request_id();
            }
        }
    }
}

fn classify(result: &Result<Answer, Fault>, allowed: Millis) -> (Outcome, &'static str) {
    match result {
        Ok(answer) if answer.not_run => (Outcome::NotRun, "not_run"),
        Ok(answer) if answer.status.is_server_error() => (Outcome::ServerError, "server_error"),
        Ok(_) => (Outcome::Answered, "whole"),
        Err(Fault::Full) => (Outcome::Cancelled, "full"),
        Err(Fault::Unreachable) => (Outcome::NotSent, "unreachable"),
        Err(Fault::Cut) => (Outcome::Broken, "cut"),
        Err(Fault::Late) if allowed < FAIR_TIME => (Outcome::Cancelled, "late"),
        Err(Fault::Late) => (Outcome::Broken, "late"),
        Err(Fault::Crossed) => (Outcome::Broken, "crossed"),
        Err(Fault::Oversized) => (Outcome::Broken, "oversized"),
        Err(Fault::Malformed) => (Outcome::Broken, "malformed"),
    }
}

fn judge(result: Result<Answer, Fault>, outcome: Outcome) -> Attempt {
    match result {
        Ok(answer) if answer.not_run => Attempt::Failed(
            outcome,
            Refusal::not_run(Code::ServerRefused, "the server did not run the request"),
        ),
        Ok(answer) => Attempt::Answered(answer),
        // No byte was sent, so the attempt counts as not sent whatever the health of the server.
        Err(fault) if fault.is_unsent() => Attempt::Failed(
            Outcome::NotSent,
            Refusal::not_run(Code::Unreachable, fault.to_string()),
        ),
        Err(fault) => Attempt::Failed(
            outcome,
            Refusal::unknown(Code::OutcomeUnknown, fault.to_string()),
        ),
    }
}
