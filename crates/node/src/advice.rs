//! Carries questions to the policy service.

use std::rc::Rc;

use base::clock;
use batch::advice::PolicyRequest;
use ntex::rt;

use crate::{cx::Cx, leader::Leader};

/// Sends the questions of a pass, each on its own; the answers go to the book.
pub(crate) fn send(cx: &Cx, leader: &Rc<Leader>) {
    let questions = leader.book.borrow_mut().take_policy_requests();
    for question in questions {
        rt::spawn(ask(cx.clone(), leader.clone(), question)).detach();
    }
}

async fn ask(cx: Cx, leader: Rc<Leader>, question: PolicyRequest) {
    let sent = clock::now();
    let answer = match &cx.policy {
        Some(policy) => policy.ask(&question).await,
        None => Err("no policy service in the settings".into()),
    };
    let now = clock::now();
    let mut book = leader.book.borrow_mut();
    match answer {
        Ok(allowed) => {
            let valid = allowed
                .valid
                .unwrap_or_else(|| book.ticket_validity(&question));
            book.handle_policy_answer(&question, Some((&allowed.workers, valid)), sent, now);
        }
        Err(reason) => {
            log::warn!(step:% = question.step, ms = now.since(sent).0, reason; "advice: no answer");
            book.handle_policy_answer(&question, None, sent, now);
        }
    }
    drop(book);
    leader.changed.notify_one();
}
