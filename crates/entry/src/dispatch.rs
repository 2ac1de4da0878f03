//! Dispatch of a request to a backend server, with retries on other servers.

use std::rc::Rc;

use base::{clock, clock::Millis};
use route::{
    outcome::{Load, Outcome, ServerId},
    retry::{FailedAttempt, RetryDecision},
};

use crate::{
    backend::{Answer, BackendError, BackendRequest},
    balancer::{AttemptResult, Balancer},
    call::Call,
    refusal::{Code, Refusal},
    state::Entry,
};

/// Shortest timeout after which a missing answer counts against the health of the server.
///
/// Otherwise a caller with very short deadlines could get every server ejected.
const MIN_FAILURE_TIMEOUT: Millis = Millis(1_000);

/// Slot on a server for one request; dropping it frees the slot and ends the request.
#[derive(Debug)]
pub struct Slot {
    balancer: Rc<Balancer>,
    server: Option<ServerId>,
    tried: Vec<ServerId>,
    /// Service time of the answer, if there is one.
    service_time: Option<Millis>,
}

impl Slot {
    /// Creates a slot on a server that the balancer has granted.
    pub fn new(balancer: Rc<Balancer>, server: ServerId) -> Self {
        Self {
            balancer,
            server: Some(server),
            tried: Vec::new(),
            service_time: None,
        }
    }

    /// Returns the server of this slot, replaced by another one if it is leaving or removed.
    fn available_server(&mut self) -> Option<(ServerId, std::net::SocketAddr)> {
        loop {
            let server = self.server.clone()?;
            if let Some(address) = self.balancer.available_address(&server) {
                return Some((server, address));
            }
            self.end_attempt(AttemptResult::CANCELLED);
            self.pick_next();
        }
    }

    fn end_attempt(&mut self, result: AttemptResult) {
        if let Some(server) = self.server.take() {
            self.balancer.attempt_finished(&server, result);
            self.tried.push(server);
        }
    }

    /// Selects a server that was not tried yet; returns whether there is one.
    fn pick_next(&mut self) -> bool {
        self.server = self.balancer.pick_for_retry(&self.tried);
        self.server.is_some()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.end_attempt(AttemptResult::CANCELLED);
        self.balancer.request_finished(self.service_time);
    }
}

/// What one attempt means for the request.
enum Attempt {
    Answered(Answer),
    Failed(Outcome, Refusal),
}

/// Sends `request` to servers until there is a complete answer or no further attempt is allowed.
///
/// No attempt starts after `latest_start`.
pub async fn run(
    cx: &Entry,
    call: &Call,
    latest_start: Millis,
    mut request: BackendRequest,
    mut slot: Slot,
) -> Result<Answer, Refusal> {
    let mut unknown: Option<Refusal> = None;
    let mut broken = 0;
    loop {
        cx.refresh_vm_list(cx.cfg.vm_max_age).await;
        let Some((server, address)) = slot.available_server() else {
            let message = "every server of the service with a free slot is leaving";
            let refusal = Refusal::not_run(Code::NoServer, message);
            return Err(unknown.unwrap_or(refusal));
        };
        let now = clock::now();
        let left = call.deadline.since(now);
        if now >= call.deadline.min(latest_start) {
            let refusal = Refusal::not_run(
                Code::Deadline,
                "the time limit for sending the request to a server has passed",
            );
            return Err(unknown.unwrap_or(refusal));
        }
        let start = clock::now();
        let limit = slot.balancer.connection_cap();
        let result = cx.backends.send(address, &request, left, limit).await;
        let took = clock::now().since(start);
        if result.as_ref().is_ok_and(|a| a.leaving) {
            cx.vm_list.mark_leaving(&server);
            slot.balancer.set_leaving(&server);
        }
        let load = result.as_ref().ok().and_then(|a| a.load);
        let load = load.map(|l| Load {
            used: l.used,
            slots: l.slots,
        });
        let (outcome, label) = classify(&result, left);
        cx.metrics.backend(label, took);
        slot.end_attempt(AttemptResult {
            outcome,
            took,
            load,
        });
        match evaluate(result, outcome) {
            Attempt::Answered(answer) => {
                slot.service_time = Some(took);
                return Ok(answer);
            }
            Attempt::Failed(outcome, refusal) => {
                broken += u32::from(outcome == Outcome::Broken);
                // Once an attempt may have run, a later one can't change the outcome to `not_run`.
                if unknown.is_none() && !outcome.is_not_run() {
                    unknown = Some(refusal.clone());
                }
                let decision = slot.balancer.decide_retry(FailedAttempt {
                    repeatable: call.target.operation.repeatable,
                    outcome,
                    broken,
                    deadline: call.deadline,
                    expected: Millis(1),
                });
                if decision == RetryDecision::TooManyBroken {
                    log::warn!(request:% = request.id, servers:? = slot.tried, broken; "entry: the request may break its servers, not sent again");
                }
                if decision != RetryDecision::Retry || !slot.pick_next() {
                    return Err(unknown.unwrap_or(refusal));
                }
                cx.metrics.retry();
                request.id = cx.request_id();
            }
        }
    }
}

fn classify(result: &Result<Answer, BackendError>, timeout: Millis) -> (Outcome, &'static str) {
    match result {
        Ok(answer) if answer.not_run => (Outcome::NotRun, "not_run"),
        Ok(answer) if answer.status.is_server_error() => (Outcome::ServerError, "server_error"),
        Ok(_) => (Outcome::Answered, "whole"),
        Err(BackendError::ConnectionLimit) => (Outcome::Cancelled, "full"),
        Err(BackendError::Unreachable) => (Outcome::NotSent, "unreachable"),
        Err(BackendError::Disconnected) => (Outcome::Broken, "cut"),
        Err(BackendError::DeadlineExceeded) if timeout < MIN_FAILURE_TIMEOUT => {
            (Outcome::Cancelled, "late")
        }
        Err(BackendError::DeadlineExceeded) => (Outcome::Broken, "late"),
        Err(BackendError::WrongRequest) => (Outcome::Broken, "crossed"),
        Err(BackendError::TooLarge) => (Outcome::Broken, "oversized"),
        Err(BackendError::Malformed) => (Outcome::Broken, "malformed"),
    }
}

fn evaluate(result: Result<Answer, BackendError>, outcome: Outcome) -> Attempt {
    match result {
        Ok(answer) if answer.not_run => Attempt::Failed(
            outcome,
            Refusal::not_run(Code::ServerRefused, "the server did not run the request"),
        ),
        Ok(answer) => Attempt::Answered(answer),
        // No byte was sent, so the request can be retried even if the attempt does not count as a
        // failure of the server.
        Err(error) if error.is_unsent() => Attempt::Failed(
            Outcome::NotSent,
            Refusal::not_run(Code::Unreachable, error.to_string()),
        ),
        Err(error) => Attempt::Failed(
            outcome,
            Refusal::unknown(Code::OutcomeUnknown, error.to_string()),
        ),
    }
}
