//! Sends requests for tickets to the policy service.

use std::rc::{Rc, Weak};

use base::clock;
use batch::policy::PolicyRequest;
use ntex::rt;

use crate::{cx::Cx, leader::Leader};

/// Sends the requests of a scheduling pass concurrently and hands the answers to the scheduler.
pub(crate) fn send(cx: &Cx, leader: &Rc<Leader>) {
    let requests = leader.scheduler.borrow_mut().take_policy_requests();
    for request in requests {
        rt::spawn(send_one(cx.clone(), Rc::downgrade(leader), request)).detach();
    }
}

async fn send_one(cx: Cx, leader: Weak<Leader>, request: PolicyRequest) {
    let sent = clock::now();
    let answer = match &cx.policy {
        Some(policy) => policy.request_tickets(&request).await,
        None => Err("the settings name no policy service".into()),
    };
    // An answer may take far longer than the leadership.
    let Some(leader) = leader.upgrade() else {
        return;
    };
    let now = clock::now();
    let mut scheduler = leader.scheduler.borrow_mut();
    match answer {
        Ok(allowed) => {
            let validity = allowed
                .validity
                .unwrap_or_else(|| scheduler.ticket_validity(&request));
            scheduler.handle_policy_answer(&request, Some((&allowed.workers, validity)), sent, now);
        }
        Err(reason) => {
            log::warn!(step:% = request.step, ms = now.since(sent).0, reason; "policy: no usable answer from the policy service");
            scheduler.handle_policy_answer(&request, None, sent, now);
        }
    }
    drop(scheduler);
    leader.changed.notify_one();
}
