//! Queue of decisions that wait for their commit, and the batches in which they are committed.
//!
//! Decisions are committed in the order in which they were made. Decisions that arrive while a
//! transaction is open are committed together in the next one.

use std::collections::VecDeque;

use plan::{
    event::Decision,
    order::{Action, Order},
    record::{JobKey, JobRecord},
};
use tokio::sync::oneshot;

/// Outcome of the commit of a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The records of the decision are durable.
    Committed,
    /// The decision was dropped and certainly has no effect.
    Dropped,
    /// The decision was dropped during its commit, so it may have an effect.
    Unknown,
}

/// A decision in the queue and the sender for its outcome, if somebody waits for it.
#[derive(Debug, Default)]
struct QueuedDecision {
    decision: Decision,
    waiter: Option<oneshot::Sender<CommitOutcome>>,
}

/// Queue of decisions that wait for their commit.
///
/// ```
/// let mut queue = sched::queue::Queue::default();
/// assert!(queue.next_batch(10).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    items: VecDeque<QueuedDecision>,
    records: usize,
}

/// Decisions that are committed in one transaction.
#[derive(Debug, Default)]
pub struct Batch {
    /// One record per job, in its newest state.
    pub records: Vec<JobRecord>,
    /// Orders to send after the commit.
    pub orders: Vec<Order>,
    waiters: Vec<oneshot::Sender<CommitOutcome>>,
}

impl Queue {
    /// Adds a decision.
    ///
    /// ```
    /// let mut queue = sched::queue::Queue::default();
    /// queue.push(plan::event::Decision::default());
    /// assert!(queue.next_batch(10).is_some());
    /// ```
    pub fn push(&mut self, decision: Decision) {
        self.records += decision.records.len();
        self.items.push_back(QueuedDecision {
            decision,
            waiter: None,
        });
    }

    /// Adds a decision and returns a receiver of its outcome.
    ///
    /// A decision without records also waits for all earlier ones, so an answer never shows a state
    /// that may still be dropped.
    ///
    /// ```
    /// let mut queue = sched::queue::Queue::default();
    /// let mut outcome = queue.push_with_outcome(plan::event::Decision::default());
    /// assert!(outcome.try_recv().is_err());
    /// ```
    pub fn push_with_outcome(&mut self, decision: Decision) -> oneshot::Receiver<CommitOutcome> {
        let (tx, rx) = oneshot::channel();
        self.push(decision);
        if let Some(item) = self.items.back_mut() {
            item.waiter = Some(tx);
        }
        rx
    }

    /// Returns the number of queued records.
    ///
    /// ```
    /// assert_eq!(sched::queue::Queue::default().records(), 0);
    /// ```
    pub fn records(&self) -> usize {
        self.records
    }

    /// Returns whether the queue has no decisions.
    ///
    /// ```
    /// assert!(sched::queue::Queue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes the first decisions, up to `limit` records but at least one decision; `None` if the
    /// queue is empty.
    ///
    /// ```
    /// # use plan::event::Decision;
    /// let mut queue = sched::queue::Queue::default();
    /// queue.push(Decision::default());
    /// queue.push(Decision::default());
    /// assert!(queue.next_batch(1).is_some());
    /// assert!(queue.is_empty());
    /// ```
    pub fn next_batch(&mut self, limit: usize) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut keys: Vec<JobKey> = Vec::new();
        let mut taken = 0;
        while let Some(item) = self.items.front() {
            let more = item.decision.records.len();
            if taken > 0 && keys.len() + more > limit {
                break;
            }
            taken += 1;
            let Some(item) = self.items.pop_front() else {
                break;
            };
            self.records -= more;
            batch.add(item, &mut keys);
        }
        (taken > 0).then_some(batch)
    }

    /// Removes and returns the stop orders of all queued decisions.
    ///
    /// While the table is down, stop orders may be sent before their records are committed. If the
    /// records are never committed, the next holder handles such a task like one that stopped by
    /// itself.
    ///
    /// ```
    /// assert!(sched::queue::Queue::default().take_stops().is_empty());
    /// ```
    pub fn take_stops(&mut self) -> Vec<Order> {
        let mut stops = Vec::new();
        for item in &mut self.items {
            stops.extend(split_stops(&mut item.decision.orders));
        }
        stops
    }

    /// Drops all decisions and reports [`CommitOutcome::Dropped`] for them.
    ///
    /// ```
    /// let mut queue = sched::queue::Queue::default();
    /// queue.push(plan::event::Decision::default());
    /// queue.clear();
    /// assert!(queue.is_empty());
    /// ```
    pub fn clear(&mut self) {
        self.records = 0;
        for item in self.items.drain(..) {
            if let Some(waiter) = item.waiter {
                let _ = waiter.send(CommitOutcome::Dropped);
            }
        }
    }
}

impl Batch {
    fn add(&mut self, item: QueuedDecision, keys: &mut Vec<JobKey>) {
        for record in item.decision.records {
            let key = record.key();
            if let Some(i) = keys.iter().position(|k| *k == key) {
                self.records[i] = record;
            } else {
                keys.push(key);
                self.records.push(record);
            }
        }
        self.orders.extend(item.decision.orders);
        self.waiters.extend(item.waiter);
    }

    /// Removes and returns the stop orders, which may be sent before the commit.
    ///
    /// ```
    /// assert!(sched::queue::Batch::default().take_stops().is_empty());
    /// ```
    pub fn take_stops(&mut self) -> Vec<Order> {
        split_stops(&mut self.orders)
    }

    /// Reports the outcome to all waiters and returns the orders.
    ///
    /// ```
    /// let orders = sched::queue::Batch::default().finish(sched::queue::CommitOutcome::Committed);
    /// assert!(orders.is_empty());
    /// ```
    pub fn finish(self, outcome: CommitOutcome) -> Vec<Order> {
        for waiter in self.waiters {
            // The receiver is dropped if the caller no longer waits.
            let _ = waiter.send(outcome);
        }
        self.orders
    }
}

fn split_stops(orders: &mut Vec<Order>) -> Vec<Order> {
    let all = std::mem::take(orders);
    let (stops, rest) = all
        .into_iter()
        .partition(|o| matches!(o.action, Action::Stop { .. }));
    *orders = rest;
    stops
}
