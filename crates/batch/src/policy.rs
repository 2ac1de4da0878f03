//! Tickets of the policy service, which decides which workers may run the steps of a queue.
//!
//! On a queue with a policy, workers refuse a start without a ticket. Tickets are therefore
//! requested before a step is placed, first for the workers that have free resources for it. Steps
//! are requested in the order of placement, those that wait only for tickets before those that wait
//! for resources too, whose tickets may expire before they can be used.

use base::{clock::Millis, sorted::SortedMap};
use derive_more::Display;

use crate::{
    candidates::{Candidates, FreeAt},
    config::URGENT_PRIORITY,
    job::{Step, SubtaskId, Text},
    open_job::Job,
    policy_calls::ANSWER_LIMIT,
    ranking::Unit,
    scheduler::JobScheduler,
};

/// Maximum number of workers in one request. The response time grows with each worker, and callers'
/// completion objectives leave time for one request about 30 workers.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Delay before the next request after one that got no answer.
const RETRY_DELAY: Millis = Millis(300);
/// Minimum remaining validity of a ticket that is used. A start order takes a few milliseconds to
/// arrive, and a refused start costs only a new request.
const MIN_VALIDITY: Millis = Millis(250);
/// Maximum time between the service's decision and its answer's arrival, beyond the processing time.
const ANSWER_TRANSIT: Millis = Millis(250);

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// Id of the job.
    pub job: Text,
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: usize,
}

impl From<&SubtaskId> for StepId {
    fn from(task: &SubtaskId) -> Self {
        Self {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// A request to the policy service for tickets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicyRequest {
    /// Number of the request.
    pub id: u64,
    /// Step that the tickets are for.
    pub step: StepId,
    /// Ids and incarnations of the workers that tickets are requested for.
    pub workers: Vec<(Text, u64)>,
    /// Time that the service takes for the request, without the time in its queue.
    pub processing: Millis,
    /// Time after which the request is given up.
    pub limit: Millis,
}

/// A request that has not got a number.
#[derive(Debug)]
pub(crate) struct UnsentRequest {
    step: StepId,
    workers: Vec<(Text, u64)>,
    processing: Millis,
}

/// A ticket for one worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: Text,
    /// Incarnation of the worker that the ticket is for.
    incarnation: u64,
    valid_until: Millis,
}

/// Tickets and refusals for one step. A refusal by the policy service is final.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepTickets {
    by_worker: SortedMap<Text, Ticket>,
    denied: SortedMap<Text, ()>,
    /// Earliest time of the next request.
    retry_at: Millis,
}

impl StepTickets {
    /// Returns the ticket for a worker if it is valid for at least [`MIN_VALIDITY`].
    pub(crate) fn ticket(&self, worker: &str, incarnation: u64, now: Millis) -> Option<&Text> {
        let ticket = self.by_worker.get(worker)?;
        (ticket.incarnation == incarnation && ticket.valid_until > now + MIN_VALIDITY)
            .then_some(&ticket.text)
    }

    pub(crate) fn is_denied(&self, worker: &str) -> bool {
        self.denied.get(worker).is_some()
    }
}

impl JobScheduler {
    /// Returns whether the queue of a job requires tickets.
    pub(crate) fn needs_tickets(&self, job: &str) -> bool {
        let job = self.jobs.get(job);
        let queue = job.and_then(|j| self.config.queue(&j.accepted.queue));
        queue.is_some_and(|q| q.policy.is_some())
    }

    /// Returns a valid ticket for a start of the subtask on the worker.
    pub(crate) fn ticket(&self, task: &SubtaskId, worker: &Text, now: Millis) -> Option<Text> {
        let incarnation = self.workers.get(worker)?.incarnation;
        let tickets = self.step_tickets.get(&StepId::from(task))?;
        tickets.ticket(worker, incarnation, now).cloned()
    }

    /// Requests tickets for a unit that could not be placed, unless a request for its step is under
    /// way. If no subtask could be placed with further tickets either, the request waits for the end of
    /// the pass.
    pub(crate) fn request_tickets(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        candidates: &mut Candidates,
        now: Millis,
    ) {
        let queue = self.jobs.get(&unit.job).map(|j| &j.accepted.queue);
        let Some(policy) = queue.and_then(|q| self.config.queue(q)?.policy) else {
            return;
        };
        let room = self.policy_calls.room();
        if room == 0 {
            return;
        }
        let id = StepId::from(&unit.tasks[0]);
        let tickets = self.step_tickets.get(&id);
        if self.policy_calls.is_under_way(&id) || tickets.is_some_and(|t| now < t.retry_at) {
            return;
        }
        let mut search = self.search(unit, step, service, now);
        search.uses_held_off = search.may_use_held_off(candidates);
        if let Some(check) = &mut search.tickets {
            check.assumes_tickets = true;
        }
        let lacks_only_tickets = !search.find(candidates, FreeAt::Now).is_empty();
        let need = step.reserved();
        let undecided = search.usable(candidates).into_iter().filter_map(|i| {
            let candidate = &candidates.all[i];
            let incarnation = self.workers.get(&candidate.worker)?.incarnation;
            let ticket = tickets.and_then(|t| t.ticket(&candidate.worker, incarnation, now));
            let free = candidate.free_at(FreeAt::Now);
            let lacks_resources = need.count_in(free) == 0;
            let used = 3_000 - free.share_of(candidate.capacity).min(3_000);
            let order = (lacks_resources, used);
            ticket
                .is_none()
                .then(|| (order, candidate.worker.clone(), incarnation))
        });
        let mut undecided: Vec<_> = undecided.collect();
        if undecided.is_empty() {
            return;
        }
        undecided.sort();
        undecided.truncate(MAX_WORKERS_PER_REQUEST);
        let workers: Vec<_> = undecided
            .into_iter()
            .map(|(_, id, incarnation)| (id, incarnation))
            .collect();
        let processing =
            Millis(policy.decision_time.0 + policy.time_per_worker.0 * workers.len() as u64);
        let unsent = UnsentRequest {
            step: id,
            workers,
            processing,
        };
        // Urgent units make room for themselves.
        if lacks_only_tickets || unit.priority == URGENT_PRIORITY {
            self.send_request(unsent, now);
        } else if self.later_requests.len() < room {
            self.later_requests.push(unsent);
        }
    }

    /// Sends the requests that have waited for the end of a pass, as far as there is room.
    pub(crate) fn send_later_requests(&mut self, now: Millis) {
        for request in std::mem::take(&mut self.later_requests) {
            if self.policy_calls.room() > 0 {
                self.send_request(request, now);
            }
        }
    }

    fn send_request(&mut self, unsent: UnsentRequest, now: Millis) {
        let UnsentRequest {
            step,
            workers,
            processing,
        } = unsent;
        let id = self.policy_calls.send(step.clone(), processing, now);
        log::info!(
            step:%, workers = workers.len(), processing_ms = processing.0,
            limit_ms = ANSWER_LIMIT.0, unanswered = self.policy_calls.unanswered(),
            window = self.policy_calls.window_size();
            "policy: tickets requested"
        );
        self.policy_requests.push(PolicyRequest {
            id,
            step,
            workers,
            processing,
            limit: ANSWER_LIMIT,
        });
    }

    /// Handles the answer to a request: the allowed workers with their tickets, and the validity of
    /// the tickets counted from the time of the decision. `None` means that there was no answer.
    ///
    /// The decision is later than `sent` for a request that has waited in the service's queue.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{policy::{PolicyRequest, StepId}, scheduler::JobScheduler};
    /// let step = StepId { job: "1".into(), occurrence: 0, step: 0 };
    /// let (processing, limit) = (Millis(100), Millis(500));
    /// let request = PolicyRequest { id: 1, step, workers: Vec::new(), processing, limit };
    /// JobScheduler::default().handle_policy_answer(&request, None, Millis(1), Millis(2));
    /// ```
    pub fn handle_policy_answer(
        &mut self,
        request: &PolicyRequest,
        answer: Option<(&[(Text, Text)], Millis)>,
        sent: Millis,
        now: Millis,
    ) {
        self.policy_calls.end(request.id, answer.is_some(), now);
        let is_open = |j: &Job| !j.progress.phase.is_final();
        if !self.jobs.get(&request.step.job).is_some_and(is_open) {
            self.step_tickets.remove(&request.step);
            return;
        }
        let tickets = self.step_tickets.get_or_default(request.step.clone());
        let Some((allowed, validity)) = answer else {
            tickets.retry_at = now + RETRY_DELAY;
            return;
        };
        let in_transit = request.processing + ANSWER_TRANSIT;
        let valid_until = sent.max(now.since(in_transit)) + validity;
        log::info!(
            step:% = request.step, asked = request.workers.len(), allowed = allowed.len(),
            ms = now.since(sent).0, valid_ms = valid_until.since(now).0;
            "policy: tickets received"
        );
        for (worker, incarnation) in &request.workers {
            let found = allowed.iter().find(|(id, _)| id == worker);
            let Some((_, text)) = found else {
                tickets.denied.insert(worker.clone(), ());
                continue;
            };
            let ticket = Ticket {
                text: text.clone(),
                incarnation: *incarnation,
                valid_until,
            };
            tickets.by_worker.insert(worker.clone(), ticket);
        }
    }

    /// Returns the configured validity of the tickets that are requested.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{policy::{PolicyRequest, StepId}, scheduler::JobScheduler};
    /// let step = StepId { job: "1".into(), occurrence: 0, step: 0 };
    /// let (processing, limit) = (Millis(100), Millis(500));
    /// let request = PolicyRequest { id: 1, step, workers: Vec::new(), processing, limit };
    /// assert_eq!(JobScheduler::default().ticket_validity(&request), Millis::ZERO);
    /// ```
    pub fn ticket_validity(&self, request: &PolicyRequest) -> Millis {
        let job = self.jobs.get(&request.step.job);
        let policy = job.and_then(|j| self.config.queue(&j.accepted.queue)?.policy);
        policy.map_or(Millis::ZERO, |p| p.ticket_validity)
    }

    /// Removes a ticket that a worker refused, so that a new one is requested.
    pub(crate) fn remove_ticket(&mut self, task: &SubtaskId, worker: &Text) {
        if let Some(tickets) = self.step_tickets.get_mut(&StepId::from(task)) {
            tickets.by_worker.remove(worker);
        }
    }

    /// Removes the tickets of a job that has ended.
    pub(crate) fn remove_step_tickets(&mut self, job: &str) {
        self.step_tickets.retain(|step, _| &*step.job != job);
    }
}
