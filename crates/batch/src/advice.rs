//! Tickets of the policy service: which workers may run the steps of an advised queue.
//!
//! A start on such a queue is refused without a ticket, so the candidates for a step are asked
//! about before it is placed, those with room first.

use base::{clock::Millis, sorted::SortedMap};
use derive_more::Display;

use crate::{
    book::Book,
    job::{Step, TaskId, Text},
    order::Unit,
    rooms::{Rooms, When},
    search::Search,
};

/// Most workers in one question. The answer takes time for each worker, and callers' completion
/// objectives leave room for one question about 30.
const ASKED: usize = 30;
/// Most questions under way; the service answers those of one VM one after another and refuses
/// them all beyond 32.
const UNDER_WAY: usize = 8;
/// Pause after a question without an answer.
const RETRY: Millis = Millis(300);
/// A ticket with less time left is not used. The way of a start takes some milliseconds, and a refused
/// one costs only a new question.
const MARGIN: Millis = Millis(250);

/// Names one step of one occurrence.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// Id of the job.
    pub job: Text,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: usize,
}

impl From<&TaskId> for StepId {
    fn from(task: &TaskId) -> Self {
        Self {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// A question to the policy service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// The step.
    pub step: StepId,
    /// The workers that may be used if the policy allows it, with their lives.
    pub workers: Vec<(Text, u64)>,
    /// Longest time for the answer, once the service turns to it.
    pub limit: Millis,
}

/// A ticket of one worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: Text,
    /// Life of the worker for which it holds.
    born: u64,
    until: Millis,
}

/// What is known of one step. A worker that was asked about and has no ticket is not allowed, and
/// stays so.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    tickets: SortedMap<Text, Ticket>,
    refused: SortedMap<Text, ()>,
    /// Whether a question is under way.
    asked: bool,
    /// When the next question may be asked.
    retry_at: Millis,
}

impl Advice {
    /// Returns the ticket of a worker that can still be used.
    pub(crate) fn ticket(&self, worker: &str, born: u64, now: Millis) -> Option<&Text> {
        let ticket = self.tickets.get(worker)?;
        (ticket.born == born && ticket.until > now + MARGIN).then_some(&ticket.text)
    }
}

impl Book {
    /// Returns whether the queue of a job needs tickets.
    pub(crate) fn is_advised(&self, job: &str) -> bool {
        let job = self.jobs.get(job);
        let queue = job.and_then(|j| self.rules.queue(&j.rec.queue));
        queue.is_some_and(|q| q.policy.is_some())
    }

    /// Returns the ticket for a start.
    pub(crate) fn ticket(&self, task: &TaskId, worker: &Text, now: Millis) -> Option<Text> {
        let born = self.workers.get(worker)?.born;
        let advice = self.advice.get(&StepId::from(task))?;
        advice.ticket(worker, born, now).cloned()
    }

    /// Asks about workers for the subtasks of a unit that found no room, if none is asked yet.
    pub(crate) fn ask(
        &mut self,
        unit: &Unit,
        step: &Step,
        service: &Text,
        rooms: &Rooms,
        now: Millis,
    ) {
        let queue = self.jobs.get(&unit.job).map(|j| &j.rec.queue);
        let Some(policy) = queue.and_then(|q| self.rules.queue(q)?.policy) else {
            return;
        };
        if self.advice.values().filter(|a| a.asked).count() >= UNDER_WAY {
            return;
        }
        let id = StepId::from(&unit.tasks[0]);
        let known = self.advice.get_or_default(id.clone()).clone();
        if known.asked || now < known.retry_at {
            return;
        }
        let search = Search {
            book: self,
            unit,
            step,
            service,
            tickets: None,
        };
        let need = step.reserved();
        let candidates = search.usable(rooms).into_iter().filter_map(|i| {
            let room = &rooms.rooms[i];
            let born = self.workers.get(&room.worker)?.born;
            let has_ticket = known.ticket(&room.worker, born, now).is_some();
            let is_open = !has_ticket && known.refused.get(&room.worker).is_none();
            let missing = need.count_in(room.at(When::Now)) == 0;
            let used = 3_000 - room.at(When::Now).share_of(room.capacity).min(3_000);
            is_open.then(|| ((missing, used), room.worker.clone(), born))
        });
        let mut candidates: Vec<_> = candidates.collect();
        if candidates.is_empty() {
            return;
        }
        candidates.sort();
        candidates.truncate(ASKED);
        let workers: Vec<_> = candidates.into_iter().map(|(_, w, b)| (w, b)).collect();
        let limit = Millis(policy.decision.0 + policy.per_worker.0 * workers.len() as u64);
        log::info!(step:% = id, workers = workers.len(), limit_ms = limit.0; "advice: asked");
        self.advice.get_or_default(id.clone()).asked = true;
        self.questions.push(Question {
            step: id,
            workers,
            limit,
        });
    }

    /// Handles the answer to a question: the workers that are allowed, with their tickets and how
    /// long these hold, counted from `sent`. None if there was no answer.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{advice::{Question, StepId}, book::Book};
    /// let step = StepId { job: "1".into(), occurrence: 0, step: 0 };
    /// let question = Question { step, workers: Vec::new(), limit: Millis(100) };
    /// Book::default().advised(&question, None, Millis(1), Millis(2));
    /// ```
    pub fn advised(
        &mut self,
        question: &Question,
        answer: Option<(&[(Text, Text)], Millis)>,
        sent: Millis,
        now: Millis,
    ) {
        let is_open = |j: &crate::book::Job| !j.progress.phase.is_final();
        if !self.jobs.get(&question.step.job).is_some_and(is_open) {
            self.advice.remove(&question.step);
            return;
        }
        let advice = self.advice.get_or_default(question.step.clone());
        advice.asked = false;
        let Some((allowed, valid)) = answer else {
            advice.retry_at = now + RETRY;
            return;
        };
        log::info!(
            step:% = question.step, asked = question.workers.len(), allowed = allowed.len(),
            valid_ms = valid.0;
            "advice: answered"
        );
        for (worker, born) in &question.workers {
            let found = allowed.iter().find(|(id, _)| id == worker);
            let Some((_, text)) = found else {
                advice.refused.insert(worker.clone(), ());
                continue;
            };
            let ticket = Ticket {
                text: text.clone(),
                born: *born,
                until: sent + valid,
            };
            advice.tickets.insert(worker.clone(), ticket);
        }
    }

    /// Returns how long tickets hold by the configuration.
    ///
    /// ```
    /// use base::clock::Millis;
    /// use batch::{advice::{Question, StepId}, book::Book};
    /// let step = StepId { job: "1".into(), occurrence: 0, step: 0 };
    /// let question = Question { step, workers: Vec::new(), limit: Millis(100) };
    /// assert_eq!(Book::default().valid(&question), Millis::ZERO);
    /// ```
    pub fn valid(&self, question: &Question) -> Millis {
        let job = self.jobs.get(&question.step.job);
        let policy = job.and_then(|j| self.rules.queue(&j.rec.queue)?.policy);
        policy.map_or(Millis::ZERO, |p| p.valid)
    }

    /// Forgets a ticket that a worker did not take, so that the worker is asked about again.
    pub(crate) fn drop_ticket(&mut self, task: &TaskId, worker: &Text) {
        if let Some(advice) = self.advice.get_mut(&StepId::from(task)) {
            advice.tickets.remove(worker);
        }
    }

    /// Forgets the tickets of a job that has ended.
    pub(crate) fn forget_advice(&mut self, job: &str) {
        self.advice.retain(|step, _| &*step.job != job);
    }
}
