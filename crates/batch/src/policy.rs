//! Tickets of the policy service, which decides which workers may run the steps of a queue.
//!
//! On a queue with a policy, workers refuse a start without a ticket. Tickets are therefore
//! requested before a step is placed, first for the workers that have free resources for it.

use base::{clock::Millis, sorted::SortedMap};
use derive_more::Display;

use crate::{
    candidates::{Candidates, FreeAt},
    job::{Step, SubtaskId, Text},
    open_job::Job,
    ranking::Unit,
    scheduler::JobScheduler,
    search::Search,
};

/// Maximum number of workers in one request. The response time grows with each worker, and callers'
/// completion objectives leave time for one request about 30 workers.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Maximum number of concurrent requests. The policy service handles the requests of one VM one
/// after another and refuses all of them beyond 32.
const MAX_CONCURRENT_REQUESTS: usize = 8;
/// Delay before the next request after one that got no answer.
const RETRY_DELAY: Millis = Millis(300);
/// Minimum remaining validity of a ticket that is used. A start order takes a few milliseconds to
/// arrive, and a refused start costs only a new request.
const MIN_VALIDITY: Millis = Millis(250);

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
    /// Step that the tickets are for.
    pub step: StepId,
    /// Ids and incarnations of the workers that tickets are requested for.
    pub workers: Vec<(Text, u64)>,
    /// Maximum processing time, without the time in the service's queue.
    pub limit: Millis,
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
    /// Whether a request is in flight.
    in_flight: bool,
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

    /// Requests tickets for a unit that could not be placed, unless a request for its step is in
    /// flight.
    pub(crate) fn request_tickets(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        candidates: &Candidates,
        now: Millis,
    ) {
        let queue = self.jobs.get(&unit.job).map(|j| &j.accepted.queue);
        let Some(policy) = queue.and_then(|q| self.config.queue(q)?.policy) else {
            return;
        };
        if self.step_tickets.values().filter(|t| t.in_flight).count() >= MAX_CONCURRENT_REQUESTS {
            return;
        }
        let id = StepId::from(&unit.tasks[0]);
        let tickets = self.step_tickets.get_or_default(id.clone()).clone();
        if tickets.in_flight || now < tickets.retry_at {
            return;
        }
        let search = Search {
            scheduler: self,
            unit,
            step,
            service,
            now,
            tickets: None,
        };
        let need = step.reserved();
        let candidates = search.usable(candidates).into_iter().filter_map(|i| {
            let candidate = &candidates.all[i];
            let incarnation = self.workers.get(&candidate.worker)?.incarnation;
            let has_ticket = tickets
                .ticket(&candidate.worker, incarnation, now)
                .is_some();
            let is_undecided = !has_ticket && tickets.denied.get(&candidate.worker).is_none();
            let lacks_resources = need.count_in(candidate.free_at(FreeAt::Now)) == 0;
            let used = 3_000
                - candidate
                    .free_at(FreeAt::Now)
                    .share_of(candidate.capacity)
                    .min(3_000);
            is_undecided.then(|| {
                (
                    (lacks_resources, used),
                    candidate.worker.clone(),
                    incarnation,
                )
            })
        });
        let mut candidates: Vec<_> = candidates.collect();
        if candidates.is_empty() {
            return;
        }
        candidates.sort();
        candidates.truncate(MAX_WORKERS_PER_REQUEST);
        let workers: Vec<_> = candidates
            .into_iter()
            .map(|(_, id, incarnation)| (id, incarnation))
            .collect();
        let limit =
            Millis(policy.decision_time.0 + policy.time_per_worker.0 * workers.len() as u64);
        log::info!(step:% = id, workers = workers.len(), limit_ms = limit.0; "policy: tickets requested");
        self.step_tickets.get_or_default(id.clone()).in_flight = true;
        self.policy_requests.push(PolicyRequest {
            step: id,
            workers,
            limit,
        });
    }

    /// Handles the answer to a request: the allowed workers with their tickets, and the validity of
    /// the tickets counted from `sent`. `None` means that there was no answer.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{policy::{PolicyRequest, StepId}, scheduler::JobScheduler};
    /// let step = StepId { job: "1".into(), occurrence: 0, step: 0 };
    /// let request = PolicyRequest { step, workers: Vec::new(), limit: Millis(100) };
    /// JobScheduler::default().handle_policy_answer(&request, None, Millis(1), Millis(2));
    /// ```
    pub fn handle_policy_answer(
        &mut self,
        request: &PolicyRequest,
        answer: Option<(&[(Text, Text)], Millis)>,
        sent: Millis,
        now: Millis,
    ) {
        let is_open = |j: &Job| !j.progress.phase.is_final();
        if !self.jobs.get(&request.step.job).is_some_and(is_open) {
            self.step_tickets.remove(&request.step);
            return;
        }
        let tickets = self.step_tickets.get_or_default(request.step.clone());
        tickets.in_flight = false;
        let Some((allowed, validity)) = answer else {
            tickets.retry_at = now + RETRY_DELAY;
            return;
        };
        log::info!(
            step:% = request.step, asked = request.workers.len(), allowed = allowed.len(),
            valid_ms = validity.0;
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
                valid_until: sent + validity,
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
    /// let request = PolicyRequest { step, workers: Vec::new(), limit: Millis(100) };
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
